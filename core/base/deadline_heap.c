#include "deadline_heap.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * deadline_heap_init() - take the room for @max handles
 * @h: heap
 * @max: handles are below this
 *
 * Return: 0, or -ENOMEM.
 */
int deadline_heap_init(struct deadline_heap *h, uint32_t max)
{
	memset(h, 0, sizeof(*h));
	h->max = max;
	h->handle = calloc(max, sizeof(*h->handle));
	h->place = malloc(max * sizeof(*h->place));
	h->deadline_ns = calloc(max, sizeof(*h->deadline_ns));
	if (!h->handle || !h->place || !h->deadline_ns) {
		deadline_heap_clear(h);
		return -ENOMEM;
	}
	memset(h->place, 0xff, max * sizeof(*h->place));
	return 0;
}

/**
 * deadline_heap_clear() - give the room back
 * @h: heap
 */
void deadline_heap_clear(struct deadline_heap *h)
{
	free(h->handle);
	free(h->place);
	free(h->deadline_ns);
	memset(h, 0, sizeof(*h));
}

static void put(struct deadline_heap *h, uint32_t at, uint32_t handle)
{
	h->handle[at] = handle;
	h->place[handle] = at;
}

static uint64_t key(const struct deadline_heap *h, uint32_t at)
{
	return h->deadline_ns[h->handle[at]];
}

static void sift_up(struct deadline_heap *h, uint32_t at)
{
	uint32_t handle = h->handle[at];

	while (at > 0) {
		uint32_t parent = (at - 1) / 2;

		if (key(h, parent) <= h->deadline_ns[handle])
			break;
		put(h, at, h->handle[parent]);
		at = parent;
	}
	put(h, at, handle);
}

static void sift_down(struct deadline_heap *h, uint32_t at)
{
	uint32_t handle = h->handle[at];

	for (;;) {
		uint32_t child = 2 * at + 1;

		if (child >= h->n)
			break;
		if (child + 1 < h->n && key(h, child + 1) < key(h, child))
			child++;
		if (h->deadline_ns[handle] <= key(h, child))
			break;
		put(h, at, h->handle[child]);
		at = child;
	}
	put(h, at, handle);
}

/**
 * deadline_heap_add() - add a handle that is not in the heap
 * @h: heap
 * @handle: below the heap's maximum
 * @deadline_ns: its deadline
 */
void deadline_heap_add(struct deadline_heap *h, uint32_t handle,
		       uint64_t deadline_ns)
{
	h->deadline_ns[handle] = deadline_ns;
	put(h, h->n, handle);
	h->n++;
	sift_up(h, h->n - 1);
}

/**
 * deadline_heap_remove() - take a handle out; nothing when it is not there
 * @h: heap
 * @handle: below the heap's maximum
 */
void deadline_heap_remove(struct deadline_heap *h, uint32_t handle)
{
	uint32_t at = h->place[handle];

	if (at == UINT32_MAX)
		return;
	h->place[handle] = UINT32_MAX;
	h->n--;
	if (at == h->n)
		return;
	put(h, at, h->handle[h->n]);
	sift_up(h, at);
	sift_down(h, h->place[h->handle[at]]);
}

/**
 * deadline_heap_first_ns() - earliest deadline
 * @h: heap
 *
 * Return: the deadline, UINT64_MAX when the heap is empty.
 */
uint64_t deadline_heap_first_ns(const struct deadline_heap *h)
{
	return h->n ? key(h, 0) : UINT64_MAX;
}
