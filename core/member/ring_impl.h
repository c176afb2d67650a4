/* Parts of the ring that only core/member/ring*.c share. */
#ifndef CB_RING_IMPL_H
#define CB_RING_IMPL_H

#include "ring.h"

#define NEVER UINT64_MAX

/**
 * struct candidate - a VM and its score for a bucket
 */
struct candidate {
	uint64_t vm;
	uint64_t score;
};

/**
 * struct bucket - where a bucket is, and where it is to be
 * @best: the two live VMs with the highest scores
 * @pair: pair in force, which follows @best a member at a time
 * @change_deadline_ns: not changed again before this
 * @cover_deadline_ns: from then on self knows all claims, NEVER outside @pair
 */
struct bucket {
	struct candidate best[2];
	struct ring_pair pair;
	uint64_t change_deadline_ns;
	uint64_t cover_deadline_ns;
};

/**
 * struct ring - the buckets, and the set they are placed on
 * @placed: the first placement has been made
 * @steady_deadline_ns: from then on it has stood for a settle time
 * @vms: live VMs, sorted; @next_vms, @gone: room for the next change
 * @pending: buckets whose pair isn't the wanted one yet
 * @next_ns: earliest time at which one of them may change
 */
struct ring {
	uint32_t n_buckets;
	uint64_t self;
	uint64_t settle_ns;
	uint64_t cover_ns;
	struct ring_watch watch;
	bool placed;
	uint64_t steady_deadline_ns;
	uint32_t n_vms;
	uint32_t cap_vms;
	uint64_t *vms;
	uint64_t *next_vms;
	uint64_t *gone;
	struct bucket *bucket;
	uint32_t n_pending;
	uint32_t *pending;
	uint64_t next_ns;
};

bool ring_place(struct ring *r, const uint64_t *vms, uint32_t n);
bool ring_is_live(const struct ring *r, uint64_t vm);

#endif
