#include "deadline_heap.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * deadline_heap_init() - allocate an empty heap
 * @h: heap, overwritten
 * @handles_max: handles are numbers below this; all memory is allocated here
 *
 * Return: 0, or -ENOMEM with nothing to free.
 */
int deadline_heap_init(struct deadline_heap *h, uint32_t handles_max)
{
	memset(h, 0, sizeof(*h));
	h->handles_max = handles_max;
	h->handles = calloc(handles_max, sizeof(*h->handles));
	h->position = malloc(handles_max * sizeof(*h->position));
	h->deadline_ns = calloc(handles_max, sizeof(*h->deadline_ns));
	if (!h->handles || !h->position || !h->deadline_ns) {
		deadline_heap_destroy(h);
		return -ENOMEM;
	}
	memset(h->position, 0xff, handles_max * sizeof(*h->position));
	return 0;
}

/**
 * deadline_heap_destroy() - free the memory of a heap
 * @h: heap; all zero afterwards
 */
void deadline_heap_destroy(struct deadline_heap *h)
{
	free(h->handles);
	free(h->position);
	free(h->deadline_ns);
	memset(h, 0, sizeof(*h));
}

static void set_position(struct deadline_heap *h, uint32_t pos, uint32_t handle)
{
	h->handles[pos] = handle;
	h->position[handle] = pos;
}

static uint64_t deadline_at(const struct deadline_heap *h, uint32_t pos)
{
	return h->deadline_ns[h->handles[pos]];
}

static void sift_up(struct deadline_heap *h, uint32_t pos)
{
	uint32_t handle = h->handles[pos];

	while (pos > 0) {
		uint32_t parent = (pos - 1) / 2;

		if (deadline_at(h, parent) <= h->deadline_ns[handle])
			break;
		set_position(h, pos, h->handles[parent]);
		pos = parent;
	}
	set_position(h, pos, handle);
}

static void sift_down(struct deadline_heap *h, uint32_t pos)
{
	uint32_t handle = h->handles[pos];

	for (;;) {
		uint32_t child = 2 * pos + 1;

		if (child >= h->count)
			break;
		if (child + 1 < h->count &&
		    deadline_at(h, child + 1) < deadline_at(h, child))
			child++;
		if (h->deadline_ns[handle] <= deadline_at(h, child))
			break;
		set_position(h, pos, h->handles[child]);
		pos = child;
	}
	set_position(h, pos, handle);
}

/**
 * deadline_heap_add() - add a handle
 * @h: heap
 * @handle: below @handles_max, not in the heap
 * @deadline_ns: its deadline
 */
void deadline_heap_add(struct deadline_heap *h, uint32_t handle,
		       uint64_t deadline_ns)
{
	h->deadline_ns[handle] = deadline_ns;
	set_position(h, h->count, handle);
	h->count++;
	sift_up(h, h->count - 1);
}

/**
 * deadline_heap_remove() - remove a handle
 * @h: heap
 * @handle: below @handles_max; ignored when it is not in the heap
 */
void deadline_heap_remove(struct deadline_heap *h, uint32_t handle)
{
	uint32_t pos = h->position[handle];

	if (pos == UINT32_MAX)
		return;
	h->position[handle] = UINT32_MAX;
	h->count--;
	if (pos == h->count)
		return;
	set_position(h, pos, h->handles[h->count]);
	sift_up(h, pos);
	sift_down(h, h->position[h->handles[pos]]);
}

/**
 * deadline_heap_earliest_ns() - earliest deadline in the heap
 * @h: heap
 *
 * Return: the deadline, or UINT64_MAX when the heap is empty.
 */
uint64_t deadline_heap_earliest_ns(const struct deadline_heap *h)
{
	return h->count ? deadline_at(h, 0) : UINT64_MAX;
}
