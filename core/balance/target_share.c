#include "target_share.h"

/*
 * Part of @total, divided among @n entries, of the entry @distance ranks after
 * the one that gets the first unit.
 */
static uint32_t part_of_entry(uint32_t total, uint32_t n, uint32_t distance)
{
	return total / n + (distance < total % n);
}

/* Targets that each entry should be able to select from. */
#define TARGETS_PER_ENTRY_MIN 4
/* Limit of the extra requests per slot of a target. */
#define EXTRA_PER_SLOT_MAX 3

/**
 * target_share_extra_total() - requests beyond its slots that a target may get
 * @params: entries and targets of the service
 * @slots: slots of the target
 *
 * When two entries use the same idle slot at the same time, one request waits
 * in the target's own queue. As many extra requests as slots are enough for a
 * service with many targets; with few targets there are more, so that each
 * entry can select among several targets. A single entry knows all requests in
 * flight and needs no extra ones.
 *
 * Return: number of concurrent requests, for all entries together.
 */
uint32_t target_share_extra_total(const struct share_params *params,
				  uint32_t slots)
{
	uint32_t choice = (TARGETS_PER_ENTRY_MIN * params->n_entries +
			   params->n_targets - 1) /
			  params->n_targets;
	uint32_t extra = choice > 2 * slots ? choice - slots : slots;

	if (params->n_entries < 2)
		return 0;
	return extra < EXTRA_PER_SLOT_MAX * slots ? extra
						  : EXTRA_PER_SLOT_MAX * slots;
}

/*
 * With fewer slots than entries, some entries would get no slot and would
 * refuse their callers while targets are idle. Instead each entry may have one
 * request at one target, selected by rank; the entries of a target divide its
 * connections.
 */
static struct target_share share_few_slots(const struct share_params *params,
					   uint32_t connections, uint32_t nth)
{
	uint32_t n = params->n_targets;
	uint32_t n_holders = part_of_entry(params->n_entries, n, nth);
	struct target_share share = { 0 };

	if (params->rank % n != nth)
		return share;
	share.own = 1;
	share.connections =
		part_of_entry(connections, n_holders, params->rank / n);
	return share;
}

/**
 * target_share_compute() - share of one entry in one target
 * @params: entries and targets of the service
 * @slots: requests that the target runs concurrently
 * @connections: feeds that the target may have open
 * @offset: start value of the service plus the slots of the targets that were
 *	allocated before; the first slot goes to the entry of rank @offset
 *	modulo the number of entries, so that the totals of the entries differ
 *	by one at most
 * @nth: index of the target among the targets that are up
 *
 * The shares of all ranks add up to @slots, target_share_extra_total() and
 * @connections exactly. With fewer slots than entries, the own parts at all
 * targets add up to the number of entries instead. Connections go to entries
 * that have own or extra requests, since opening a feed needs a slot.
 *
 * Return: share of the entry of rank @params->rank.
 */
struct target_share target_share_compute(const struct share_params *params,
					 uint32_t slots, uint32_t connections,
					 uint64_t offset, uint32_t nth)
{
	uint32_t n = params->n_entries;
	uint32_t extra = target_share_extra_total(params, slots);
	uint32_t distance = (params->rank + n - (uint32_t)(offset % n)) % n;
	uint32_t extra_distance = (distance + n - slots % n) % n;
	uint32_t n_holders = slots + extra < n ? slots + extra : n;
	struct target_share share = { 0 };

	if (params->n_slots < n) {
		share = share_few_slots(params, connections, nth);
	} else {
		share.own = part_of_entry(slots, n, distance);
		if (distance < n_holders)
			share.connections =
				part_of_entry(connections, n_holders, distance);
	}
	share.extra = part_of_entry(extra, n, extra_distance);
	return share;
}
