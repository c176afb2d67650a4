/* Parts of the ring shared by core/member/ring*.c only. */
#ifndef CB_RING_IMPL_H
#define CB_RING_IMPL_H

#include "ring.h"
#include "timers.h"

/**
 * struct candidate - VM and its rendezvous score for a bucket
 * @vm: address, or ADDR_NONE
 * @score: score, the higher the better
 */
struct candidate {
	uint64_t vm;
	uint64_t score;
};

/**
 * struct bucket - current and desired pair of a bucket
 * @best: the two live VMs with the highest scores, highest first
 * @pair: pair in force; approaches @best by one member per change
 * @earliest_change_ns: the pair is not changed again before this
 * @history_known_from_ns: time from which this entry knows the bucket's
 *	complete claim history; DEADLINE_NEVER while it is not in @pair
 */
struct bucket {
	struct candidate best[2];
	struct ring_pair pair;
	uint64_t earliest_change_ns;
	uint64_t history_known_from_ns;
};

/**
 * struct ring - buckets, and the live VMs that they are assigned to
 * @n_buckets: number of buckets
 * @self: address of this VM
 * @settle_ns: least time between two changes of a bucket's pair
 * @cover_ns: time in a pair after which this entry has all claims
 * @observer: callback for changes
 * @is_placed: the first assignment has been made
 * @settled_from_ns: a settle time after the first assignment
 * @n_vms: number of live VMs
 * @cap_vms: capacity of @vms, @next_vms and @removed_vms
 * @vms: live VMs, sorted
 * @next_vms: space for the next set of live VMs
 * @removed_vms: space for the VMs that a change removes
 * @buckets: the buckets
 * @n_pending: number of pending buckets
 * @pending: indexes of the buckets whose pair is not the desired one yet
 * @next_ns: earliest time at which one of them may change, or DEADLINE_NEVER
 */
struct ring {
	uint32_t n_buckets;
	uint64_t self;
	uint64_t settle_ns;
	uint64_t cover_ns;
	struct ring_observer observer;
	bool is_placed;
	uint64_t settled_from_ns;
	uint32_t n_vms;
	uint32_t cap_vms;
	uint64_t *vms;
	uint64_t *next_vms;
	uint64_t *removed_vms;
	struct bucket *buckets;
	uint32_t n_pending;
	uint32_t *pending;
	uint64_t next_ns;
};

bool ring_set_live_vms(struct ring *r, const uint64_t *vms, uint32_t n);
bool ring_is_live(const struct ring *r, uint64_t vm);

#endif
