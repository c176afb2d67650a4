#include "flow_cache.h"

#include "directory.h"

#include "index.h"
#include "route_table.h"

#include <stdlib.h>

#define NONE UINT32_MAX

struct flow_cache {
	struct flow_state *flows;
	uint32_t flows_max;
	uint32_t count;
	uint32_t slots_used; /* slots that were ever in use */
	uint32_t free_list; /* linked by @older */
	uint32_t newest;
	uint32_t oldest;
	struct index *by_key;
	struct wait_queue *wait_queue;
	struct route_use *use;
	uint32_t running[DIRECTORY_SERVICES_MAX]; /* by number of the service */
};

/**
 * flow_cache_new() - create an empty cache
 * @flows_max: capacity in flows; a full cache evicts the least recently seen
 *	flow
 * @wait_queue: queue of the flows' requests; not owned, must outlive the cache
 * @use: counts the flows of each route; not owned, must outlive the cache
 *
 * Return: cache, to be freed with flow_cache_free(), or NULL when out of
 * memory.
 */
struct flow_cache *flow_cache_new(uint32_t flows_max,
				  struct wait_queue *wait_queue,
				  struct route_use *use)
{
	struct flow_cache *cache = calloc(1, sizeof(*cache));

	if (!cache)
		return NULL;
	cache->flows_max = flows_max;
	cache->wait_queue = wait_queue;
	cache->use = use;
	cache->flows = calloc(flows_max, sizeof(*cache->flows));
	cache->by_key = index_new(flows_max);
	cache->free_list = cache->newest = cache->oldest = NONE;
	if (cache->flows && cache->by_key)
		return cache;
	flow_cache_free(cache);
	return NULL;
}

void flow_cache_free(struct flow_cache *cache)
{
	if (!cache)
		return;
	index_free(cache->by_key);
	free(cache->flows);
	free(cache);
}

static uint32_t slot_of(const struct flow_cache *cache,
			const struct flow_state *flow)
{
	return (uint32_t)(flow - cache->flows);
}

static void unlink_flow(struct flow_cache *cache, struct flow_state *flow)
{
	if (flow->newer != NONE)
		cache->flows[flow->newer].older = flow->older;
	else
		cache->newest = flow->older;
	if (flow->older != NONE)
		cache->flows[flow->older].newer = flow->newer;
	else
		cache->oldest = flow->newer;
}

static void link_newest(struct flow_cache *cache, struct flow_state *flow)
{
	uint32_t i = slot_of(cache, flow);

	flow->newer = NONE;
	flow->older = cache->newest;
	if (cache->newest != NONE)
		cache->flows[cache->newest].newer = i;
	else
		cache->oldest = i;
	cache->newest = i;
}

/**
 * flow_cache_find() - look up a flow
 * @cache: cache
 * @key: client address and VIP
 *
 * Return: flow, valid until it is removed or evicted, or NULL when not cached.
 */
struct flow_state *flow_cache_find(struct flow_cache *cache,
				   const struct flow_key *key)
{
	uint32_t i = index_get(cache->by_key, flow_hash(key));
	struct flow_state *flow = i == INDEX_NONE ? NULL : &cache->flows[i];

	if (!flow || flow->key.caller != key->caller ||
	    flow->key.vip != key->vip)
		return NULL;
	return flow;
}

/* Add @by to the target's counts of open flows and of feeds among them. */
static void add_to_target_counts(struct flow_state *flow, int by)
{
	struct target *target = flow->target;

	target->flows += (uint32_t)by;
	if (flow->is_long)
		target->feeds += (uint32_t)by;
}

/**
 * flow_cache_set_opening() - set whether the flow's target is about to get its
 *	first request
 * @flow: flow
 * @opening: true when the opening is forwarded, false when the request is, or
 *	when the handshake or the request is overdue
 */
void flow_cache_set_opening(struct flow_state *flow, bool opening)
{
	if (flow->is_opening == opening)
		return;
	flow->is_opening = opening;
	flow->target->openings += opening ? 1U : -1U;
}

/**
 * flow_cache_set_running() - set whether the target has the flow's request, and
 *	update the counts of running requests
 * @cache: cache
 * @flow: flow
 * @running: true when the request is forwarded, false when it is answered,
 *	overdue or given up
 */
void flow_cache_set_running(struct flow_cache *cache, struct flow_state *flow,
			    bool running)
{
	uint32_t by = running ? 1U : -1U;

	if (flow->running == running)
		return;
	if (running) {
		flow->service = flow->target->advertised.service;
		flow_cache_set_opening(flow, false);
	}
	flow->running = running;
	flow->target->running += by;
	cache->running[flow->service] += by;
}

/**
 * flow_cache_running_count() - count the running requests of a service
 * @cache: cache
 * @service: number of the service in the directory
 *
 * Return: requests of this entry that are at targets of @service.
 */
uint32_t flow_cache_running_count(const struct flow_cache *cache,
				  uint32_t service)
{
	return cache->running[service];
}

/**
 * flow_cache_set_busy() - begin or end a request
 * @cache: cache
 * @flow: flow
 * @busy: whether a request is in progress; false also drops its queued packet
 *	and ends the wait for its answer
 */
void flow_cache_set_busy(struct flow_cache *cache, struct flow_state *flow,
			 bool busy)
{
	if (flow->busy == busy)
		return;
	flow->busy = busy;
	flow->target->busy += busy ? 1U : -1U;
	route_use_count_busy(cache->use, flow->route_slot, busy);
	if (!flow->is_long)
		flow->target->busy_short += busy ? 1U : -1U;
	if (busy)
		return;
	wait_queue_remove(cache->wait_queue, flow);
	flow_cache_set_running(cache, flow, false);
	flow->answer_due_ns = 0;
}

/**
 * flow_cache_set_long() - count a flow among the long ones from now on
 * @flow: flow, not closed
 */
void flow_cache_set_long(struct flow_state *flow)
{
	if (flow->is_long)
		return;
	if (flow->busy)
		flow->target->busy_short--;
	flow->is_long = true;
	flow->target->feeds++;
}

/**
 * flow_cache_close() - mark a flow as closed; it stays cached so that stray
 *	packets of it are recognised
 * @cache: cache
 * @flow: flow
 */
void flow_cache_close(struct flow_cache *cache, struct flow_state *flow)
{
	if (flow->stage == FLOW_CLOSED)
		return;
	flow_cache_set_busy(cache, flow, false);
	flow_cache_set_opening(flow, false);
	add_to_target_counts(flow, -1);
	route_use_count_flow(cache->use, flow->route_slot, false);
	flow->stage = FLOW_CLOSED;
	flow->answer_due_ns = 0;
	flow->download_ends_ns = 0;
}

/**
 * flow_cache_set_target() - assign a flow to another target
 * @cache: cache
 * @flow: flow
 * @to: new target; nothing happens when it is the present one
 *
 * Ends a request in progress, since the new target does not have it, and the
 * download that the flow is receiving.
 */
void flow_cache_set_target(struct flow_cache *cache, struct flow_state *flow,
			   struct target *to)
{
	if (flow->target == to)
		return;
	flow_cache_set_busy(cache, flow, false);
	flow_cache_set_opening(flow, false);
	flow->download_ends_ns = 0;
	if (flow->stage != FLOW_CLOSED)
		add_to_target_counts(flow, -1);
	flow->target->cached_flows--;
	flow->target = to;
	to->cached_flows++;
	if (flow->stage != FLOW_CLOSED)
		add_to_target_counts(flow, 1);
	if (flow->stage == FLOW_OPENING)
		flow_cache_set_opening(flow, true);
}

/**
 * flow_cache_remove() - close a flow and remove it from the cache
 * @cache: cache
 * @flow: flow; invalid afterwards
 */
void flow_cache_remove(struct flow_cache *cache, struct flow_state *flow)
{
	flow_cache_close(cache, flow);
	flow->target->cached_flows--;
	unlink_flow(cache, flow);
	index_del(cache->by_key, flow_hash(&flow->key), slot_of(cache, flow));
	flow->older = cache->free_list;
	cache->free_list = slot_of(cache, flow);
	cache->count--;
}

static struct flow_state *alloc_flow(struct flow_cache *cache)
{
	struct flow_state *flow;

	if (cache->free_list == NONE && cache->slots_used == cache->flows_max)
		flow_cache_remove(cache, &cache->flows[cache->oldest]);
	if (cache->free_list == NONE)
		return &cache->flows[cache->slots_used++];
	flow = &cache->flows[cache->free_list];
	cache->free_list = flow->older;
	return flow;
}

/**
 * flow_cache_add() - add a flow, evicting the least recently seen one when the
 *	cache is full
 * @cache: cache
 * @key: client address and VIP; must not be in the cache
 * @target: target that the flow is assigned to
 * @kind: enum route_kind
 * @is_long: the flow will carry many requests
 * @stage: enum flow_stage, not FLOW_CLOSED
 * @now_ns: current time
 *
 * Return: flow, never NULL.
 */
struct flow_state *flow_cache_add(struct flow_cache *cache,
				  const struct flow_key *key,
				  struct target *target, uint8_t kind,
				  bool is_long, uint8_t stage, uint64_t now_ns)
{
	struct flow_state *flow = alloc_flow(cache);

	*flow = (struct flow_state){
		.key = *key,
		.target = target,
		.stage = stage,
		.kind = kind,
		.is_long = is_long,
		.route_slot = route_use_slot(cache->use, key->vip, kind),
		.awaits_first = stage == FLOW_OPENING,
		.seen_ns = now_ns,
		.opened_ns = now_ns,
	};
	target->cached_flows++;
	add_to_target_counts(flow, 1);
	route_use_count_flow(cache->use, flow->route_slot, true);
	flow_cache_set_opening(flow, stage == FLOW_OPENING);
	link_newest(cache, flow);
	index_put(cache->by_key, flow_hash(key), slot_of(cache, flow));
	cache->count++;
	return flow;
}

void flow_cache_touch(struct flow_cache *cache, struct flow_state *flow,
		      uint64_t now_ns)
{
	flow->seen_ns = now_ns;
	if (cache->newest == slot_of(cache, flow))
		return;
	unlink_flow(cache, flow);
	link_newest(cache, flow);
}

/**
 * flow_cache_expire() - remove idle flows
 * @cache: cache
 * @seen_before_ns: flows whose last packet came before this time are removed
 */
void flow_cache_expire(struct flow_cache *cache, uint64_t seen_before_ns)
{
	while (cache->oldest != NONE &&
	       cache->flows[cache->oldest].seen_ns < seen_before_ns)
		flow_cache_remove(cache, &cache->flows[cache->oldest]);
}

uint32_t flow_cache_count(const struct flow_cache *cache)
{
	return cache->count;
}

struct flow_state *flow_cache_newest(struct flow_cache *cache)
{
	return cache->newest == NONE ? NULL : &cache->flows[cache->newest];
}

struct flow_state *flow_cache_older(struct flow_cache *cache,
				    const struct flow_state *flow)
{
	return flow->older == NONE ? NULL : &cache->flows[flow->older];
}
