/* Hash table from a 64-bit hash to a slot number; its size is fixed. */
#ifndef CB_INDEX_H
#define CB_INDEX_H

#include "types.h"

#define INDEX_NONE UINT32_MAX

struct index;

struct index *index_new(uint32_t entries_max);
void index_free(struct index *ix);
int index_put(struct index *ix, uint64_t key, uint32_t slot);
uint32_t index_get(const struct index *ix, uint64_t key);
void index_del(struct index *ix, uint64_t key, uint32_t slot);
void index_clear(struct index *ix);

#endif
