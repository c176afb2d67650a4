#include "flow_cache.h"

#include "directory.h"

#include "index.h"
#include "route_table.h"

#include <stdlib.h>

#define NONE UINT32_MAX

struct flow_cache {
	struct flow_seen *flows;
	uint32_t flows_max;
	uint32_t count;
	uint32_t used; /* slots that were ever in use */
	uint32_t spare; /* list of free slots, by @older */
	uint32_t newest;
	uint32_t oldest;
	struct index *by_key;
	struct waiting *waiting;
	uint32_t running[DIRECTORY_SERVICES_MAX];
};

/**
 * flow_cache_new() - an empty cache
 * @flows_max: most flows kept; the one seen longest ago makes room
 * @waiting: where packets of its flows wait; outlives this
 *
 * Return: cache, or NULL without memory.
 */
struct flow_cache *flow_cache_new(uint32_t flows_max, struct waiting *waiting)
{
	struct flow_cache *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->flows_max = flows_max;
	c->waiting = waiting;
	c->flows = calloc(flows_max, sizeof(*c->flows));
	c->by_key = index_new(flows_max);
	c->spare = c->newest = c->oldest = NONE;
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

static uint32_t number(const struct flow_cache *c, const struct flow_seen *f)
{
	return (uint32_t)(f - c->flows);
}

static void unlink_flow(struct flow_cache *c, struct flow_seen *f)
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

static void link_newest(struct flow_cache *c, struct flow_seen *f)
{
	uint32_t i = number(c, f);

	f->newer = NONE;
	f->older = c->newest;
	if (c->newest != NONE)
		c->flows[c->newest].newer = i;
	else
		c->oldest = i;
	c->newest = i;
}

/**
 * flow_cache_get() - a flow, if it was seen
 * @c: cache
 * @key: client and VIP
 *
 * Return: flow, or NULL.
 */
struct flow_seen *flow_cache_get(struct flow_cache *c,
				 const struct flow_key *key)
{
	uint32_t i = index_get(c->by_key, flow_hash(key));
	struct flow_seen *f = i == INDEX_NONE ? NULL : &c->flows[i];

	if (!f || f->key.caller != key->caller || f->key.vip != key->vip)
		return NULL;
	return f;
}

/* Counts at the target: open flows, feeds among them. */
static void count(struct flow_seen *f, int by)
{
	struct target *t = f->target;

	t->flows += (uint32_t)by;
	if (f->kind == ROUTE_FEED)
		t->feeds += (uint32_t)by;
}

/**
 * flow_cache_sent() - a flow's target has its request, or is done with it
 * @c: cache
 * @f: flow
 * @sent: which
 */
void flow_cache_sent(struct flow_cache *c, struct flow_seen *f, bool sent)
{
	uint32_t by = sent ? 1U : -1U;

	if (f->sent == sent)
		return;
	if (sent)
		f->service = f->target->advertised.service;
	f->sent = sent;
	f->target->running += by;
	c->running[f->service] += by;
}

/**
 * flow_cache_running() - requests that the targets of a service have from here
 * @c: cache
 * @service: number of its name
 *
 * Return: how many.
 */
uint32_t flow_cache_running(const struct flow_cache *c, uint32_t service)
{
	return c->running[service];
}

/**
 * flow_cache_busy() - a request begins or ends
 * @c: cache
 * @f: flow
 * @busy: a request is in progress
 */
void flow_cache_busy(struct flow_cache *c, struct flow_seen *f, bool busy)
{
	if (f->busy == busy)
		return;
	f->busy = busy;
	f->target->busy += busy ? 1U : -1U;
	if (f->kind != ROUTE_FEED)
		f->target->busy_short += busy ? 1U : -1U;
	if (busy)
		return;
	waiting_remove(c->waiting, f);
	flow_cache_sent(c, f, false);
	f->due_ns = 0;
}

/**
 * flow_cache_close() - a flow ended; it stays known for stray packets
 * @c: cache
 * @f: flow
 */
void flow_cache_close(struct flow_cache *c, struct flow_seen *f)
{
	if (f->stage == FLOW_CLOSED)
		return;
	flow_cache_busy(c, f, false);
	count(f, -1);
	f->stage = FLOW_CLOSED;
	f->due_ns = 0;
}

/**
 * flow_cache_move() - a flow's packets go to another target now
 * @c: cache
 * @f: flow
 * @to: that target
 *
 * A request in progress is none of the new target's.
 */
void flow_cache_move(struct flow_cache *c, struct flow_seen *f,
		     struct target *to)
{
	if (f->target == to)
		return;
	flow_cache_busy(c, f, false);
	if (f->stage != FLOW_CLOSED)
		count(f, -1);
	f->target->cached_flows--;
	f->target = to;
	to->cached_flows++;
	if (f->stage != FLOW_CLOSED)
		count(f, 1);
}

/**
 * flow_cache_remove() - forget a flow
 * @c: cache
 * @f: flow
 */
void flow_cache_remove(struct flow_cache *c, struct flow_seen *f)
{
	flow_cache_close(c, f);
	f->target->cached_flows--;
	unlink_flow(c, f);
	index_del(c->by_key, flow_hash(&f->key), number(c, f));
	f->older = c->spare;
	c->spare = number(c, f);
	c->count--;
}

static struct flow_seen *room(struct flow_cache *c)
{
	struct flow_seen *f;

	if (c->spare == NONE && c->used == c->flows_max)
		flow_cache_remove(c, &c->flows[c->oldest]);
	if (c->spare == NONE)
		return &c->flows[c->used++];
	f = &c->flows[c->spare];
	c->spare = f->older;
	return f;
}

/**
 * flow_cache_add() - begin to follow a flow
 * @c: cache
 * @key: client and VIP; not in the cache
 * @target: where its packets go
 * @kind: enum route_kind
 * @stage: enum flow_stage
 * @now_ns: time
 *
 * Return: the flow.
 */
struct flow_seen *flow_cache_add(struct flow_cache *c,
				 const struct flow_key *key,
				 struct target *target, uint8_t kind,
				 uint8_t stage, uint64_t now_ns)
{
	struct flow_seen *f = room(c);

	*f = (struct flow_seen){
		.key = *key,
		.target = target,
		.stage = stage,
		.kind = kind,
		.seen_ns = now_ns,
		.opened_ns = now_ns,
	};
	target->cached_flows++;
	count(f, 1);
	link_newest(c, f);
	index_put(c->by_key, flow_hash(key), number(c, f));
	c->count++;
	return f;
}

void flow_cache_touch(struct flow_cache *c, struct flow_seen *f,
		      uint64_t now_ns)
{
	f->seen_ns = now_ns;
	if (c->newest == number(c, f))
		return;
	unlink_flow(c, f);
	link_newest(c, f);
}

/**
 * flow_cache_expire() - forget flows that were not seen for long
 * @c: cache
 * @seen_before_ns: those last seen before this go
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

struct flow_seen *flow_cache_newest(struct flow_cache *c)
{
	return c->newest == NONE ? NULL : &c->flows[c->newest];
}

struct flow_seen *flow_cache_older(struct flow_cache *c,
				   const struct flow_seen *f)
{
	return f->older == NONE ? NULL : &c->flows[f->older];
}
