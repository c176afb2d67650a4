#include "deal.h"

/* Part of @total that falls to the entry @distance places past the first. */
static uint32_t part(uint32_t total, uint32_t n, uint32_t distance)
{
	return total / n + (distance < total % n);
}

/* Targets that an entry should be able to choose from. */
#define CHOICE_MIN 4
/* Extra requests are at most this many times the slots. */
#define EXTRA_MAX 3

/**
 * deal_extra_total() - requests past its slots that a target may be sent
 * @o: order of the deal
 * @slots: slots of the target
 *
 * They wait in the target's own queue when two entries see the same idle slot
 * at once. As many as the slots are enough where a service has many targets;
 * with few of them, as many as give each entry a choice. An entry alone knows
 * every request in flight and needs none.
 *
 * Return: requests, over all entries.
 */
uint32_t deal_extra_total(const struct deal_order *o, uint32_t slots)
{
	uint32_t choice =
		(CHOICE_MIN * o->n_entries + o->n_targets - 1) / o->n_targets;
	uint32_t extra = choice > 2 * slots ? choice - slots : slots;

	if (o->n_entries < 2)
		return 0;
	return extra < EXTRA_MAX * slots ? extra : EXTRA_MAX * slots;
}

/*
 * With fewer slots than entries some would get none, and their callers would be
 * refused while targets stand idle. Then each entry has one request at one
 * target, by rank, and the connections there are shared by those it fell to.
 */
static struct deal deal_few(const struct deal_order *o, uint32_t connections,
			    uint32_t nth)
{
	uint32_t n = o->n_targets;
	uint32_t holders = part(o->n_entries, n, nth);
	struct deal d = { 0 };

	if (o->rank % n != nth)
		return d;
	d.own = 1;
	d.connections = part(connections, holders, o->rank / n);
	return d;
}

/**
 * deal_target() - one entry's share of one target
 * @o: order of the deal
 * @slots: requests the target runs at once
 * @connections: feeds it holds at once
 * @offset: slots of the targets dealt before it; each target's slots go to the
 *	entries that follow the last one served, so that the entries' totals
 *	differ by one at most
 * @nth: its number among the targets that are up
 *
 * Over all ranks the parts add up to @slots, to deal_extra_total() and to
 * @connections exactly; with fewer slots than entries, own parts to the entries
 * over the targets instead. Connections go to the entries with a part in the
 * slots, since a feed needs a slot to open.
 *
 * Return: the share.
 */
struct deal deal_target(const struct deal_order *o, uint32_t slots,
			uint32_t connections, uint64_t offset, uint32_t nth)
{
	uint32_t n = o->n_entries;
	uint32_t extra = deal_extra_total(o, slots);
	uint32_t distance = (o->rank + n - (uint32_t)(offset % n)) % n;
	uint32_t past = (distance + n - slots % n) % n;
	uint32_t holders = slots + extra < n ? slots + extra : n;
	struct deal d = { 0 };

	if (o->n_slots < n) {
		d = deal_few(o, connections, nth);
	} else {
		d.own = part(slots, n, distance);
		if (distance < holders)
			d.connections = part(connections, holders, distance);
	}
	d.extra = part(extra, n, past);
	return d;
}
