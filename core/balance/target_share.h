/*
 * Division of a target's slots and connections among the entries of a data
 * centre. The entries don't communicate for it: each computes its own share
 * from the configuration, the number of entries and its rank among them.
 */
#ifndef CB_TARGET_SHARE_H
#define CB_TARGET_SHARE_H

#include "types.h"

/**
 * struct target_share - share of one target that one entry may use
 * @own: concurrent requests, in slots that are in no other entry's share
 * @extra: further concurrent requests, allowed only while the target has an
 *	idle slot according to its load reports
 * @connections: open feeds
 */
struct target_share {
	uint32_t own;
	uint32_t extra;
	uint32_t connections;
};

/**
 * struct share_params - input for the division of a service's targets
 * @n_entries: entries of the data centre, at least 1
 * @rank: rank of this entry among them, below @n_entries
 * @n_targets: targets of the service that are up
 * @n_slots: sum of the slots of these targets
 */
struct share_params {
	uint32_t n_entries;
	uint32_t rank;
	uint32_t n_targets;
	uint32_t n_slots;
};

uint32_t target_share_extra_total(const struct share_params *params,
				  uint32_t slots);
struct target_share target_share_compute(const struct share_params *params,
					 uint32_t slots, uint32_t connections,
					 uint64_t offset, uint32_t nth);

#endif
