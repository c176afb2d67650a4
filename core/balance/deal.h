/*
 * Shares of a target's slots and connections, dealt among the entries of a
 * data centre without a word between them: each computes the same deal from
 * the configuration, the number of entries and its own rank.
 */
#ifndef CB_DEAL_H
#define CB_DEAL_H

#include "types.h"

/**
 * struct deal - what one entry may use of one target
 * @own: requests that nobody else's share covers
 * @extra: further requests, allowed only while the target is seen to be idle
 * @connections: open feeds
 */
struct deal {
	uint32_t own;
	uint32_t extra;
	uint32_t connections;
};

/**
 * struct deal_order - how a service's targets are dealt out
 * @n_entries: entries of the data centre, at least 1
 * @rank: this entry's place among them, below @n_entries
 * @n_targets: targets that are up
 * @n_slots: slots of them all
 */
struct deal_order {
	uint32_t n_entries;
	uint32_t rank;
	uint32_t n_targets;
	uint32_t n_slots;
};

uint32_t deal_extra_total(const struct deal_order *o, uint32_t slots);
struct deal deal_target(const struct deal_order *o, uint32_t slots,
			uint32_t connections, uint64_t offset, uint32_t nth);

#endif
