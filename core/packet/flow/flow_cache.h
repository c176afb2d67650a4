/*
 * Flows seen here of late: what a packet means (a copy, a new request, a
 * repeat) can only be told beside the one before it. Soft state: a flow that
 * is not in it is served all the same, since its packets carry the cookie.
 */
#ifndef CB_FLOW_CACHE_H
#define CB_FLOW_CACHE_H

#include "flow_seen.h"
#include "waiting.h"

struct flow_cache;

struct flow_cache *flow_cache_new(uint32_t flows_max, struct waiting *waiting);
void flow_cache_free(struct flow_cache *c);
struct flow_seen *flow_cache_get(struct flow_cache *c,
				 const struct flow_key *key);
struct flow_seen *flow_cache_add(struct flow_cache *c,
				 const struct flow_key *key,
				 struct target *target, uint8_t kind,
				 uint8_t stage, uint64_t now_ns);
void flow_cache_touch(struct flow_cache *c, struct flow_seen *f,
		      uint64_t now_ns);
void flow_cache_move(struct flow_cache *c, struct flow_seen *f,
		     struct target *to);
void flow_cache_busy(struct flow_cache *c, struct flow_seen *f, bool busy);
void flow_cache_sent(struct flow_cache *c, struct flow_seen *f, bool sent);
uint32_t flow_cache_running(const struct flow_cache *c, uint32_t service);
void flow_cache_close(struct flow_cache *c, struct flow_seen *f);
void flow_cache_remove(struct flow_cache *c, struct flow_seen *f);
void flow_cache_expire(struct flow_cache *c, uint64_t seen_before_ns);
uint32_t flow_cache_count(const struct flow_cache *c);
struct flow_seen *flow_cache_newest(struct flow_cache *c);
struct flow_seen *flow_cache_older(struct flow_cache *c,
				   const struct flow_seen *f);

#endif
