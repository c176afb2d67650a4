#include "fabric.h"

#include <errno.h>

/**
 * entries_set() - spray over these from now on
 * @e: entries
 * @addrs: their addresses
 * @n: how many
 *
 * An entry that stays in the list stays cut if it was.
 *
 * Return: 0, or -E2BIG.
 */
int entries_set(struct entries *e, const uint64_t *addrs, uint32_t n)
{
	struct entries before = *e;
	uint32_t i;

	if (n > FABRIC_ENTRIES_MAX)
		return -E2BIG;
	for (i = 0; i < n; i++) {
		e->list[i].addr = addrs[i];
		e->list[i].cut = entries_is_cut(&before, addrs[i]);
	}
	e->n = n;
	return 0;
}

static struct entry_slot *find(struct entries *e, uint64_t addr)
{
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		if (e->list[i].addr == addr)
			return &e->list[i];
	}
	return NULL;
}

/**
 * entries_cut() - cut an entry off, or heal it
 * @e: entries
 * @addr: entry
 * @cut: which
 *
 * Return: 0, or -ENOENT.
 */
int entries_cut(struct entries *e, uint64_t addr, bool cut)
{
	struct entry_slot *slot = find(e, addr);

	if (!slot)
		return -ENOENT;
	slot->cut = cut;
	return 0;
}

/**
 * entries_pick() - any entry; the fabric does not know which are alive
 * @e: entries
 * @rng: source of the choice
 *
 * Return: an entry, NULL when there is none.
 */
const struct entry_slot *entries_pick(const struct entries *e, struct rng *rng)
{
	if (e->n == 0)
		return NULL;
	return &e->list[(rng_next(rng) >> 32) % e->n];
}

/**
 * entries_is_cut() - whether an entry is cut off
 * @e: entries
 * @addr: entry, or an address that is none
 *
 * Return: true when it is.
 */
bool entries_is_cut(const struct entries *e, uint64_t addr)
{
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		if (e->list[i].addr == addr)
			return e->list[i].cut;
	}
	return false;
}
