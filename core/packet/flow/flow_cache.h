/*
 * Cache of the flows that sent packets recently. Whether a packet is a copy, a
 * new request or a retransmission shows only in comparison with the packets
 * before it.
 * The cache is soft state: packets of a flow that is not in it are forwarded by
 * the cookie that they carry.
 */
#ifndef CB_FLOW_CACHE_H
#define CB_FLOW_CACHE_H

#include "flow_state.h"
#include "route_use.h"
#include "wait_queue.h"

struct flow_cache;

struct flow_cache *flow_cache_new(uint32_t flows_max,
				  struct wait_queue *wait_queue,
				  struct route_use *use);
void flow_cache_free(struct flow_cache *cache);
struct flow_state *flow_cache_find(struct flow_cache *cache,
				   const struct flow_key *key);
struct flow_state *flow_cache_add(struct flow_cache *cache,
				  const struct flow_key *key,
				  struct target *target, uint8_t kind,
				  bool is_long, uint8_t stage, uint64_t now_ns);
void flow_cache_touch(struct flow_cache *cache, struct flow_state *flow,
		      uint64_t now_ns);
void flow_cache_set_target(struct flow_cache *cache, struct flow_state *flow,
			   struct target *to);
void flow_cache_set_busy(struct flow_cache *cache, struct flow_state *flow,
			 bool busy);
void flow_cache_set_long(struct flow_state *flow);
void flow_cache_set_opening(struct flow_state *flow, bool opening);
void flow_cache_set_running(struct flow_cache *cache, struct flow_state *flow,
			    bool running);
uint32_t flow_cache_running_count(const struct flow_cache *cache,
				  uint32_t service);
void flow_cache_close(struct flow_cache *cache, struct flow_state *flow);
void flow_cache_remove(struct flow_cache *cache, struct flow_state *flow);
void flow_cache_expire(struct flow_cache *cache, uint64_t seen_before_ns);
uint32_t flow_cache_count(const struct flow_cache *cache);
struct flow_state *flow_cache_newest(struct flow_cache *cache);
struct flow_state *flow_cache_older(struct flow_cache *cache,
				    const struct flow_state *flow);

#endif
