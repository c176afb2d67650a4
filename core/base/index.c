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
 * index_new() - allocate an empty table
 * @entries_max: most keys that it can contain
 *
 * Return: table, to be freed with index_free(), or NULL when out of memory.
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

static uint32_t home_cell(const struct index *ix, uint64_t key)
{
	return (uint32_t)(key >> 32 ^ key) & ix->mask;
}

static uint32_t find_cell(const struct index *ix, uint64_t key)
{
	uint32_t i = home_cell(ix, key);

	while (ix->cells[i].slot != INDEX_NONE && ix->cells[i].key != key)
		i = (i + 1) & ix->mask;
	return i;
}

/**
 * index_put() - set the slot of a key, replacing an earlier one
 * @ix: table
 * @key: hash
 * @slot: slot number, not INDEX_NONE
 *
 * Return: 0, or -ENOSPC when the table is full.
 */
int index_put(struct index *ix, uint64_t key, uint32_t slot)
{
	uint32_t i = find_cell(ix, key);

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
 * index_get() - look a key up
 * @ix: table
 * @key: hash
 *
 * Return: slot number, or INDEX_NONE. Two objects may have the same hash: the
 * caller compares the full key of the object in the slot.
 */
uint32_t index_get(const struct index *ix, uint64_t key)
{
	return ix->cells[find_cell(ix, key)].slot;
}

/*
 * Backward-shift deletion: moves later cells of the probe sequence into the
 * empty cell at @gap, so that no tombstones are needed.
 */
static void close_gap(struct index *ix, uint32_t gap)
{
	uint32_t i = gap;

	for (;;) {
		uint32_t home;

		i = (i + 1) & ix->mask;
		if (ix->cells[i].slot == INDEX_NONE)
			break;
		home = home_cell(ix, ix->cells[i].key);
		if (((i - home) & ix->mask) < ((i - gap) & ix->mask))
			continue;
		ix->cells[gap] = ix->cells[i];
		gap = i;
	}
	ix->cells[gap].slot = INDEX_NONE;
}

/**
 * index_del() - delete a key if it maps to the given slot
 * @ix: table
 * @key: hash
 * @slot: slot number; when the key maps to another slot, since two objects
 *	have the same hash, it is kept
 */
void index_del(struct index *ix, uint64_t key, uint32_t slot)
{
	uint32_t i = find_cell(ix, key);

	if (ix->cells[i].slot == INDEX_NONE || ix->cells[i].slot != slot)
		return;
	ix->used--;
	close_gap(ix, i);
}
