/* Binary min-heap of handles by deadline, allocated once. */
#ifndef CB_DEADLINE_HEAP_H
#define CB_DEADLINE_HEAP_H

#include "types.h"

/**
 * struct deadline_heap - handles, the earliest deadline first
 * @count: handles in the heap
 * @handles_max: handles are numbers below this
 * @handles: the heap; the first @count are valid
 * @position: by handle: its index in @handles, UINT32_MAX when it is not in
 *	the heap
 * @deadline_ns: by handle: its deadline, valid while it is in the heap
 */
struct deadline_heap {
	uint32_t count;
	uint32_t handles_max;
	uint32_t *handles;
	uint32_t *position;
	uint64_t *deadline_ns;
};

int deadline_heap_init(struct deadline_heap *heap, uint32_t handles_max);
void deadline_heap_destroy(struct deadline_heap *heap);
void deadline_heap_add(struct deadline_heap *heap, uint32_t handle,
		       uint64_t deadline_ns);
void deadline_heap_remove(struct deadline_heap *heap, uint32_t handle);
uint64_t deadline_heap_earliest_ns(const struct deadline_heap *heap);

#endif
