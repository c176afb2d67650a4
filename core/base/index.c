#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct cell {
	uint64_t key;
	uint32_t slot;
};

struct index {
	struct cell *cells;
	uint32_t mask;
	uint32_t used;
	uint32_t used_max;
};

static uint32_t cells_for(uint32_t entries_max)
{
	uint32_t n = 16;

	while (n < entries_max * 2ULL && n < 1U << 31)
		n <<= 1;
	return n;
}

/**
 * index_new() - make an empty map
 * @entries_max: most entries it will hold
 *
 * Return: map, or NULL without memory.
 */
struct index *index_new(uint32_t entries_max)
{
	struct index *ix = calloc(1, sizeof(*ix));
	uint32_t n = cells_for(entries_max);

	if (!ix)
		return NULL;
	ix->cells = malloc((size_t)n * sizeof(*ix->cells));
	if (!ix->cells) {
		free(ix);
		return NULL;
	}
	ix->mask = n - 1;
	ix->used_max = entries_max;
	index_clear(ix);
	return ix;
}

void index_free(struct index *ix)
{
	if (!ix)
		return;
	free(ix->cells);
	free(ix);
}

void index_clear(struct index *ix)
{
	memset(ix->cells, 0xff, ((size_t)ix->mask + 1) * sizeof(*ix->cells));
	ix->used = 0;
}

static uint32_t home(const struct index *ix, uint64_t key)
{
	return (uint32_t)(key >> 32 ^ key) & ix->mask;
}

static uint32_t find(const struct index *ix, uint64_t key)
{
	uint32_t i = home(ix, key);

	while (ix->cells[i].slot != INDEX_NONE && ix->cells[i].key != key)
		i = (i + 1) & ix->mask;
	return i;
}

/**
 * index_put() - set the slot of a key, replacing an earlier one
 * @ix: map
 * @key: hash
 * @slot: slot number
 *
 * Return: 0, or -ENOSPC when the map is full.
 */
int index_put(struct index *ix, uint64_t key, uint32_t slot)
{
	uint32_t i = find(ix, key);

	if (ix->cells[i].slot == INDEX_NONE) {
		if (ix->used >= ix->used_max)
			return -ENOSPC;
		ix->used++;
	}
	ix->cells[i].key = key;
	ix->cells[i].slot = slot;
	return 0;
}

/**
 * index_get() - slot of a key
 * @ix: map
 * @key: hash
 *
 * Return: slot, or INDEX_NONE. Two keys may share a hash: the caller compares
 * the whole key with what the slot holds.
 */
uint32_t index_get(const struct index *ix, uint64_t key)
{
	return ix->cells[find(ix, key)].slot;
}

/* Close the gap at @gap, so that later probes need no marker of a deletion. */
static void close_gap(struct index *ix, uint32_t gap)
{
	uint32_t i = gap;

	for (;;) {
		uint32_t h;

		i = (i + 1) & ix->mask;
		if (ix->cells[i].slot == INDEX_NONE)
			break;
		h = home(ix, ix->cells[i].key);
		if (((i - h) & ix->mask) < ((i - gap) & ix->mask))
			continue;
		ix->cells[gap] = ix->cells[i];
		gap = i;
	}
	ix->cells[gap].slot = INDEX_NONE;
}

/**
 * index_del() - forget a key, if it still leads to this slot
 * @ix: map
 * @key: hash
 * @slot: slot that it has to lead to; another owner's entry stays
 */
void index_del(struct index *ix, uint64_t key, uint32_t slot)
{
	uint32_t i = find(ix, key);

	if (ix->cells[i].slot == INDEX_NONE || ix->cells[i].slot != slot)
		return;
	ix->used--;
	close_gap(ix, i);
}
