/* Binary heap of handles by deadline; all room is taken at the start. */
#ifndef CB_DEADLINE_HEAP_H
#define CB_DEADLINE_HEAP_H

#include "types.h"

/**
 * struct deadline_heap - handles, the earliest deadline first
 * @n: handles held
 * @max: handles are below this
 * @handle: heap order
 * @place: by handle, its place in @handle, or UINT32_MAX
 * @deadline_ns: by handle
 */
struct deadline_heap {
	uint32_t n;
	uint32_t max;
	uint32_t *handle;
	uint32_t *place;
	uint64_t *deadline_ns;
};

int deadline_heap_init(struct deadline_heap *h, uint32_t max);
void deadline_heap_clear(struct deadline_heap *h);
void deadline_heap_add(struct deadline_heap *h, uint32_t handle,
		       uint64_t deadline_ns);
void deadline_heap_remove(struct deadline_heap *h, uint32_t handle);
uint64_t deadline_heap_first_ns(const struct deadline_heap *h);

#endif
