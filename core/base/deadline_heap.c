#include "deadline_heap.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * deadline_heap_init() - allocate an empty heap
 * @heap: heap, overwritten
 * @handles_max: handles are numbers below this; all memory is allocated here
 *
 * Return: 0, or -ENOMEM with nothing to free.
 */
int deadline_heap_init(struct deadline_heap *heap, uint32_t handles_max)
{
	memset(heap, 0, sizeof(*heap));
	heap->handles_max = handles_max;
	heap->handles = calloc(handles_max, sizeof(*heap->handles));
	heap->position = malloc(handles_max * sizeof(*heap->position));
	heap->deadline_ns = calloc(handles_max, sizeof(*heap->deadline_ns));
	if (!heap->handles || !heap->position || !heap->deadline_ns) {
		deadline_heap_destroy(heap);
		return -ENOMEM;
	}
	memset(heap->position, 0xff, handles_max * sizeof(*heap->position));
	return 0;
}

/**
 * deadline_heap_destroy() - free the memory of a heap
 * @heap: heap; all zero afterwards
 */
void deadline_heap_destroy(struct deadline_heap *heap)
{
	free(heap->handles);
	free(heap->position);
	free(heap->deadline_ns);
	memset(heap, 0, sizeof(*heap));
}

static void set_position(struct deadline_heap *heap, uint32_t pos,
			 uint32_t handle)
{
	heap->handles[pos] = handle;
	heap->position[handle] = pos;
}

static uint64_t deadline_at(const struct deadline_heap *heap, uint32_t pos)
{
	return heap->deadline_ns[heap->handles[pos]];
}

static void sift_up(struct deadline_heap *heap, uint32_t pos)
{
	uint32_t handle = heap->handles[pos];

	while (pos > 0) {
		uint32_t parent = (pos - 1) / 2;

		if (deadline_at(heap, parent) <= heap->deadline_ns[handle])
			break;
		set_position(heap, pos, heap->handles[parent]);
		pos = parent;
	}
	set_position(heap, pos, handle);
}

static void sift_down(struct deadline_heap *heap, uint32_t pos)
{
	uint32_t handle = heap->handles[pos];

	for (;;) {
		uint32_t child = 2 * pos + 1;

		if (child >= heap->count)
			break;
		if (child + 1 < heap->count &&
		    deadline_at(heap, child + 1) < deadline_at(heap, child))
			child++;
		if (heap->deadline_ns[handle] <= deadline_at(heap, child))
			break;
		set_position(heap, pos, heap->handles[child]);
		pos = child;
	}
	set_position(heap, pos, handle);
}

/**
 * deadline_heap_add() - add a handle
 * @heap: heap
 * @handle: below @handles_max, not in the heap
 * @deadline_ns: its deadline
 */
void deadline_heap_add(struct deadline_heap *heap, uint32_t handle,
		       uint64_t deadline_ns)
{
	heap->deadline_ns[handle] = deadline_ns;
	set_position(heap, heap->count, handle);
	heap->count++;
	sift_up(heap, heap->count - 1);
}

/**
 * deadline_heap_remove() - remove a handle
 * @heap: heap
 * @handle: below @handles_max; ignored when it is not in the heap
 */
void deadline_heap_remove(struct deadline_heap *heap, uint32_t handle)
{
	uint32_t pos = heap->position[handle];

	if (pos == UINT32_MAX)
		return;
	heap->position[handle] = UINT32_MAX;
	heap->count--;
	if (pos == heap->count)
		return;
	set_position(heap, pos, heap->handles[heap->count]);
	sift_up(heap, pos);
	sift_down(heap, heap->position[heap->handles[pos]]);
}

/**
 * deadline_heap_earliest_ns() - earliest deadline in the heap
 * @heap: heap
 *
 * Return: the deadline, or UINT64_MAX when the heap is empty.
 */
uint64_t deadline_heap_earliest_ns(const struct deadline_heap *heap)
{
	return heap->count ? deadline_at(heap, 0) : UINT64_MAX;
}
