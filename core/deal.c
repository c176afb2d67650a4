#include "deal.h"

/* Part of @total that falls to the entry @distance places past the first. */
static uint32_t part(uint32_t total, uint32_t n, uint32_t distance)
{
	return total / n + (distance < total % n);
}

/**
 * deal_extra_total() - requests past its slots that a target may be sent
 * @slots: slots of the target
 * @n_entries: entries of the data centre
 *
 * They wait in the target's own queue when two entries see the same idle slot
 * at once. An entry alone knows every request in flight and needs none.
 *
 * Return: requests, over all entries.
 */
uint32_t deal_extra_total(uint32_t slots, uint32_t n_entries)
{
	return n_entries > 1 ? slots : 0;
}

/**
 * deal_target() - one entry's share of one target
 * @slots: requests the target runs at once
 * @connections: feeds it holds at once
 * @offset: slots of the targets dealt before it; each target's slots go to the
 *	entries that follow the last one served, so that the entries' totals
 *	differ by one at most
 * @n_entries: entries of the data centre, at least 1
 * @rank: this entry's place among them, below @n_entries
 *
 * Over all ranks the parts add up to @slots, to deal_extra_total() and to
 * @connections exactly. Connections go to the entries with a part in the slots,
 * since a feed needs a slot to open.
 *
 * Return: the share.
 */
struct deal deal_target(uint32_t slots, uint32_t connections, uint64_t offset,
			uint32_t n_entries, uint32_t rank)
{
	uint32_t extra = deal_extra_total(slots, n_entries);
	uint32_t first = (uint32_t)(offset % n_entries);
	uint32_t distance = (rank + n_entries - first) % n_entries;
	uint32_t past = (distance + n_entries - slots % n_entries) % n_entries;
	uint32_t holders =
		slots + extra < n_entries ? slots + extra : n_entries;
	struct deal d;

	d.own = part(slots, n_entries, distance);
	d.extra = part(extra, n_entries, past);
	d.connections = 0;
	if (distance < holders)
		d.connections = part(connections, holders, distance);
	return d;
}
