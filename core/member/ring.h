/*
 * Which entry decides for a flow: buckets placed on live entries by
 * rendezvous hash, the best two of each are its owner and its second.
 */
#ifndef CB_RING_H
#define CB_RING_H

#include "member.h"

#define RING_BUCKETS 16384

/**
 * struct ring_pair - the entries that hold a bucket
 * @owner: decides for its flows
 * @second: holds the second copy; ADDR_NONE in a fleet of one
 */
struct ring_pair {
	uint64_t owner;
	uint64_t second;
};

struct ring;

/* Told of each bucket whose pair changed. */
struct ring_watch {
	void *ctx;
	void (*changed)(void *ctx, uint32_t bucket, struct ring_pair before,
			struct ring_pair after);
};

struct ring *ring_new(uint32_t n_buckets, uint64_t self, uint64_t settle_ns,
		      uint64_t cover_ns, struct ring_watch watch);
void ring_free(struct ring *r);
void ring_update(struct ring *r, const uint64_t *vms, uint32_t n,
		 uint64_t now_ns);
uint64_t ring_next_ns(const struct ring *r);
uint32_t ring_bucket(const struct ring *r, const struct flow_key *key);
struct ring_pair ring_at(const struct ring *r, uint32_t bucket);
struct ring_pair ring_wanted(const struct ring *r, uint32_t bucket);
bool ring_steady(const struct ring *r, uint32_t bucket, uint64_t now_ns);
bool ring_covered(const struct ring *r, uint32_t bucket, uint64_t now_ns);
void ring_cover(struct ring *r, uint32_t bucket);
void ring_uncover(struct ring *r, uint64_t now_ns);
uint64_t ring_bytes(const struct ring *r);

#endif
