#include "fabric.h"

#include <errno.h>

/**
 * entries_set() - replace the list of entries
 * @e: entries
 * @addrs: addresses of the new entries
 * @n: number of addresses
 *
 * An entry that is also in the old list stays partitioned if it was.
 *
 * Return: 0, or -E2BIG if @n exceeds FABRIC_ENTRIES_MAX.
 */
int entries_set(struct entries *e, const uint64_t *addrs, uint32_t n)
{
	struct entries before = *e;
	uint32_t i;

	if (n > FABRIC_ENTRIES_MAX)
		return -E2BIG;
	for (i = 0; i < n; i++) {
		e->list[i].addr = addrs[i];
		e->list[i].partitioned =
			entries_is_partitioned(&before, addrs[i]);
	}
	e->n = n;
	return 0;
}

static struct fabric_entry *find(struct entries *e, uint64_t addr)
{
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		if (e->list[i].addr == addr)
			return &e->list[i];
	}
	return NULL;
}

/**
 * entries_set_partitioned() - partition an entry, or reconnect it
 * @e: entries
 * @addr: address of the entry
 * @partitioned: true to partition it, false to reconnect it
 *
 * Return: 0, or -ENOENT if the entry is not listed.
 */
int entries_set_partitioned(struct entries *e, uint64_t addr, bool partitioned)
{
	struct fabric_entry *slot = find(e, addr);

	if (!slot)
		return -ENOENT;
	slot->partitioned = partitioned;
	return 0;
}

/**
 * entries_select() - select an entry at random, whether it is alive or not
 * @e: entries
 * @rng: random numbers for the selection
 *
 * Return: entry, NULL if the list is empty.
 */
const struct fabric_entry *entries_select(const struct entries *e,
					  struct rng *rng)
{
	if (e->n == 0)
		return NULL;
	return &e->list[(rng_next(rng) >> 32) % e->n];
}

/**
 * entries_is_partitioned() - check whether an entry is partitioned
 * @e: entries
 * @addr: any address
 *
 * Return: true if @addr is a listed entry and partitioned.
 */
bool entries_is_partitioned(const struct entries *e, uint64_t addr)
{
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		if (e->list[i].addr == addr)
			return e->list[i].partitioned;
	}
	return false;
}
