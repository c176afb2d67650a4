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
	uint32_t running[DIRECTORY_SERVICES_MAX]; /* by number of the service */
};

/**
 * flow_cache_new() - create an empty cache
 * @flows_max: capacity in flows; a full cache evicts the least recently seen flow
 * @wait_queue: queue of the flows' requests; not owned, must outlive the cache
 *
 * Return: cache, to be freed with flow_cache_free(), or NULL when out of memory.
 */
struct flow_cache *flow_cache_new(uint32_t flows_max,
				  struct wait_queue *wait_queue)
{
	struct flow_cache *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->flows_max = flows_max;
	c->wait_queue = wait_queue;
	c->flows = calloc(flows_max, sizeof(*c->flows));
	c->by_key = index_new(flows_max);
	c->free_list = c->newest = c->oldest = NONE;
	if (c->flows && c->by_key)
		return c;
	flow_cache_free(c);
	return NULL;
}

void flow_cache_free(struct flow_cache *c)
{
	if (!c)
		return;
	index_free(c->by_key);
	free(c->flows);
	free(c);
}

static uint32_t slot_of(const struct flow_cache *c, const struct flow_state *f)
{
	return (uint32_t)(f - c->flows);
}

static void unlink_flow(struct flow_cache *c, struct flow_state *f)
{
	if (f->newer != NONE)
		c->flows[f->newer].older = f->older;
	else
		c->newest = f->older;
	if (f->older != NONE)
		c->flows[f->older].newer = f->newer;
	else
		c->oldest = f->newer;
}

static void link_newest(struct flow_cache *c, struct flow_state *f)
{
	uint32_t i = slot_of(c, f);

	f->newer = NONE;
	f->older = c->newest;
	if (c->newest != NONE)
		c->flows[c->newest].newer = i;
	else
		c->oldest = i;
	c->newest = i;
}

/**
 * flow_cache_find() - look up a flow
 * @c: cache
 * @key: client address and VIP
 *
 * Return: flow, valid until it is removed or evicted, or NULL when not cached.
 */
struct flow_state *flow_cache_find(struct flow_cache *c,
				   const struct flow_key *key)
{
	uint32_t i = index_get(c->by_key, flow_hash(key));
	struct flow_state *f = i == INDEX_NONE ? NULL : &c->flows[i];

	if (!f || f->key.caller != key->caller || f->key.vip != key->vip)
		return NULL;
	return f;
}

/* Add @by to the target's counts of open flows and of feeds among them. */
static void add_to_target_counts(struct flow_state *f, int by)
{
	struct target *t = f->target;

	t->flows += (uint32_t)by;
	if (f->kind == ROUTE_FEED)
		t->feeds += (uint32_t)by;
}

/**
 * flow_cache_set_running() - set whether the target has the flow's request, and
 *	update the counts of running requests
 * @c: cache
 * @f: flow
 * @running: true when the request is forwarded, false when it is answered,
 *	overdue or given up
 */
void flow_cache_set_running(struct flow_cache *c, struct flow_state *f,
			    bool running)
{
	uint32_t by = running ? 1U : -1U;

	if (f->running == running)
		return;
	if (running)
		f->service = f->target->news.service;
	f->running = running;
	f->target->running += by;
	c->running[f->service] += by;
}

/**
 * flow_cache_running_count() - count the running requests of a service
 * @c: cache
 * @service: number of the service in the directory
 *
 * Return: requests of this entry that are at targets of @service.
 */
uint32_t flow_cache_running_count(const struct flow_cache *c, uint32_t service)
{
	return c->running[service];
}

/**
 * flow_cache_set_busy() - begin or end a request
 * @c: cache
 * @f: flow
 * @busy: whether a request is in progress; false also drops its queued packet and
 *	ends the wait for its answer
 */
void flow_cache_set_busy(struct flow_cache *c, struct flow_state *f, bool busy)
{
	if (f->busy == busy)
		return;
	f->busy = busy;
	f->target->busy += busy ? 1U : -1U;
	if (f->kind != ROUTE_FEED)
		f->target->busy_short += busy ? 1U : -1U;
	if (busy)
		return;
	wait_queue_remove(c->wait_queue, f);
	flow_cache_set_running(c, f, false);
	f->answer_due_ns = 0;
}

/**
 * flow_cache_close() - mark a flow as closed; it stays cached so that stray
 *	packets of it are recognised
 * @c: cache
 * @f: flow
 */
void flow_cache_close(struct flow_cache *c, struct flow_state *f)
{
	if (f->stage == FLOW_CLOSED)
		return;
	flow_cache_set_busy(c, f, false);
	add_to_target_counts(f, -1);
	f->stage = FLOW_CLOSED;
	f->answer_due_ns = 0;
}

/**
 * flow_cache_set_target() - assign a flow to another target
 * @c: cache
 * @f: flow
 * @to: new target; nothing happens when it is the present one
 *
 * Ends a request in progress, since the new target does not have it.
 */
void flow_cache_set_target(struct flow_cache *c, struct flow_state *f,
			   struct target *to)
{
	if (f->target == to)
		return;
	flow_cache_set_busy(c, f, false);
	if (f->stage != FLOW_CLOSED)
		add_to_target_counts(f, -1);
	f->target->held--;
	f->target = to;
	to->held++;
	if (f->stage != FLOW_CLOSED)
		add_to_target_counts(f, 1);
}

/**
 * flow_cache_remove() - close a flow and remove it from the cache
 * @c: cache
 * @f: flow; invalid afterwards
 */
void flow_cache_remove(struct flow_cache *c, struct flow_state *f)
{
	flow_cache_close(c, f);
	f->target->held--;
	unlink_flow(c, f);
	index_del(c->by_key, flow_hash(&f->key), slot_of(c, f));
	f->older = c->free_list;
	c->free_list = slot_of(c, f);
	c->count--;
}

static struct flow_state *alloc_flow(struct flow_cache *c)
{
	struct flow_state *f;

	if (c->free_list == NONE && c->slots_used == c->flows_max)
		flow_cache_remove(c, &c->flows[c->oldest]);
	if (c->free_list == NONE)
		return &c->flows[c->slots_used++];
	f = &c->flows[c->free_list];
	c->free_list = f->older;
	return f;
}

/**
 * flow_cache_add() - add a flow, evicting the least recently seen one when the
 *	cache is full
 * @c: cache
 * @key: client address and VIP; must not be in the cache
 * @target: target that the flow is assigned to
 * @kind: enum route_kind
 * @stage: enum flow_stage, not FLOW_CLOSED
 * @now_ns: current time
 *
 * Return: flow, never NULL.
 */
struct flow_state *flow_cache_add(struct flow_cache *c,
				  const struct flow_key *key,
				  struct target *target, uint8_t kind,
				  uint8_t stage, uint64_t now_ns)
{
	struct flow_state *f = alloc_flow(c);

	*f = (struct flow_state){
		.key = *key,
		.target = target,
		.stage = stage,
		.kind = kind,
		.seen_ns = now_ns,
		.opened_ns = now_ns,
	};
	target->held++;
	add_to_target_counts(f, 1);
	link_newest(c, f);
	index_put(c->by_key, flow_hash(key), slot_of(c, f));
	c->count++;
	return f;
}

void flow_cache_touch(struct flow_cache *c, struct flow_state *f,
		      uint64_t now_ns)
{
	f->seen_ns = now_ns;
	if (c->newest == slot_of(c, f))
		return;
	unlink_flow(c, f);
	link_newest(c, f);
}

/**
 * flow_cache_expire() - remove idle flows
 * @c: cache
 * @seen_before_ns: flows whose last packet came before this time are removed
 */
void flow_cache_expire(struct flow_cache *c, uint64_t seen_before_ns)
{
	while (c->oldest != NONE &&
	       c->flows[c->oldest].seen_ns < seen_before_ns)
		flow_cache_remove(c, &c->flows[c->oldest]);
}

uint32_t flow_cache_count(const struct flow_cache *c)
{
	return c->count;
}

struct flow_state *flow_cache_newest(struct flow_cache *c)
{
	return c->newest == NONE ? NULL : &c->flows[c->newest];
}

struct flow_state *flow_cache_older(struct flow_cache *c,
				    const struct flow_state *f)
{
	return f->older == NONE ? NULL : &c->flows[f->older];
}
