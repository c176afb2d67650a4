/*
 * Table of claim records of non-idempotent requests. A record names the entry
 * that claimed a request, so that no second entry executes it, and is kept for
 * as long as a caller may retransmit the request.
 */
#ifndef CB_CLAIMS_H
#define CB_CLAIMS_H

#include "peer.h"

#define CLAIM_SLOT_NONE UINT32_MAX

struct claims;

struct claims *claims_new(uint32_t records_max, uint32_t n_buckets,
			  uint64_t keep_ns);
void claims_free(struct claims *table);
struct claim *claims_find(struct claims *table, uint64_t request);
struct claim *claims_put(struct claims *table, const struct claim *claim,
			 uint64_t now_ns);
void claims_expire(struct claims *table, uint64_t now_ns);
uint32_t claims_count(const struct claims *table);
uint32_t claims_newest(const struct claims *table, uint32_t bucket);
uint32_t claims_next_older(const struct claims *table, uint32_t slot);
const struct claim *claims_at(const struct claims *table, uint32_t slot);

#endif
