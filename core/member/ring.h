/*
 * Which entry decides for a flow: flows are hashed to buckets, and buckets are
 * assigned to live entries by rendezvous hashing. The two entries with the
 * highest scores for a bucket are its owner and its second.
 */
#ifndef CB_RING_H
#define CB_RING_H

#include "member.h"

#define RING_BUCKETS 16384

/**
 * struct ring_pair - the entries that hold a bucket
 * @owner: decides for its flows; ADDR_NONE before the first assignment
 * @second: holds the second copy; ADDR_NONE with one live entry
 */
struct ring_pair {
	uint64_t owner;
	uint64_t second;
};

struct ring;

/**
 * struct ring_observer - callback for changes of pairs
 * @ctx: first argument of @changed
 * @changed: the pair of a bucket changes; may be NULL. During the call
 *	ring_history_known() still has the value from before the change
 */
struct ring_observer {
	void *ctx;
	void (*changed)(void *ctx, uint32_t bucket, struct ring_pair before,
			struct ring_pair after);
};

struct ring *ring_new(uint32_t n_buckets, uint64_t self, uint64_t settle_ns,
		      uint64_t cover_ns, struct ring_observer observer);
void ring_free(struct ring *r);
void ring_update(struct ring *r, const uint64_t *vms, uint32_t n,
		 uint64_t now_ns);
uint64_t ring_next_ns(const struct ring *r);
uint32_t ring_bucket(const struct ring *r, const struct flow_key *key);
struct ring_pair ring_current_pair(const struct ring *r, uint32_t bucket);
struct ring_pair ring_desired_pair(const struct ring *r, uint32_t bucket);
bool ring_is_settled(const struct ring *r, uint32_t bucket, uint64_t now_ns);
bool ring_history_known(const struct ring *r, uint32_t bucket, uint64_t now_ns);
void ring_mark_history_known(struct ring *r, uint32_t bucket);
void ring_restart_cover_time(struct ring *r, uint64_t now_ns);
uint64_t ring_memory_bytes(const struct ring *r);

#endif
