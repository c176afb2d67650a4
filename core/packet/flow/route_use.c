#include "route_use.h"

#include "index.h"
#include "route_table.h"

#include <stdlib.h>

/* Flows in the moving averages: few enough to follow another use within
 * minutes, enough that a few flows which end early don't matter. */
#define FLOWS_AVERAGED 32
/* A route becomes long when this part of its flows carry a second request, and
 * short when fewer than the other part do. Between them it stays as it is: of a
 * long route, a release may close up to half of the flows early. */
#define LONG_PART 0.75f
#define SHORT_PART 0.25f
/* Interval of the samples of requests in progress: samples closer together than
 * a request takes show the same requests. */
#define SAMPLE_NS (100 * NS_PER_MS)
/* Time constant of the mean load. Some 30 flows with a request a second each
 * show their load to a tenth in it, and bursts of seconds are followed. */
#define LOAD_WINDOW_NS (4 * NS_PER_S)

/**
 * struct observed_route - observed use of a route
 * @vip: VIP of the route
 * @kind: enum route_kind
 * @is_long: its flows carry a second request; as @kind says at first
 * @observed: flows that were observed, at most FLOWS_AVERAGED
 * @second_part: part of them that carried a second request
 * @ended: flows observed from their opening to their end, at most
 *	FLOWS_AVERAGED
 * @requests: mean number of requests of those
 * @flows: open flows
 * @busy: of @flows, those with a request in progress
 * @flows_mean: @flows, averaged over LOAD_WINDOW_NS while there are any
 * @busy_mean: @busy, averaged alike
 */
struct observed_route {
	uint64_t vip;
	uint8_t kind;
	bool is_long;
	uint32_t observed;
	float second_part;
	uint32_t ended;
	float requests;
	uint32_t flows;
	uint32_t busy;
	float flows_mean;
	float busy_mean;
};

struct route_use {
	struct observed_route routes[ROUTE_USE_MAX];
	uint32_t n_routes;
	uint32_t next_reused;
	uint64_t sampled_ns;
	struct index *by_vip;
};

/**
 * route_use_new() - create an empty table
 *
 * Return: table, to be freed with route_use_free(), or NULL when out of memory.
 */
struct route_use *route_use_new(void)
{
	struct route_use *use = calloc(1, sizeof(*use));

	if (!use)
		return NULL;
	use->by_vip = index_new(ROUTE_USE_MAX);
	if (use->by_vip)
		return use;
	route_use_free(use);
	return NULL;
}

void route_use_free(struct route_use *use)
{
	if (!use)
		return;
	index_free(use->by_vip);
	free(use);
}

static const struct observed_route *find(const struct route_use *use,
					 uint64_t vip)
{
	uint32_t i = index_get(use->by_vip, hash_u64(vip, 0));

	return i == INDEX_NONE || use->routes[i].vip != vip ? NULL
							    : &use->routes[i];
}

static bool kind_is_long(uint8_t kind)
{
	return kind == ROUTE_FEED;
}

/* Forget what was observed, but not which flows are open. */
static void begin(struct observed_route *r, uint64_t vip, uint8_t kind)
{
	*r = (struct observed_route){
		.vip = vip,
		.kind = kind,
		.is_long = kind_is_long(kind),
		.flows = r->flows,
		.busy = r->busy,
		.flows_mean = 1,
		.busy_mean = ROUTE_USE_LOAD_INITIAL,
	};
}

/* A slot for another route; of a full table, one whose route has no open flow.
 * Looks at one slot a call, so that a flow costs the same with any table. */
static uint32_t take_slot(struct route_use *use)
{
	uint32_t i;

	if (use->n_routes < ROUTE_USE_MAX)
		return use->n_routes++;
	i = use->next_reused;
	use->next_reused = (i + 1) % ROUTE_USE_MAX;
	if (use->routes[i].flows)
		return ROUTE_USE_NONE;
	index_del(use->by_vip, hash_u64(use->routes[i].vip, 0), i);
	return i;
}

/**
 * route_use_slot() - get the slot of a route, adding the route if it is new
 * @use: table
 * @vip: VIP of the route
 * @kind: enum route_kind; another kind than before begins the observation anew
 *
 * Return: slot, valid while the route has open flows; ROUTE_USE_NONE when the
 * table is full.
 */
uint32_t route_use_slot(struct route_use *use, uint64_t vip, uint8_t kind)
{
	uint32_t i = index_get(use->by_vip, hash_u64(vip, 0));

	if (i != INDEX_NONE && use->routes[i].vip != vip)
		return ROUTE_USE_NONE;
	if (i == INDEX_NONE) {
		i = take_slot(use);
		if (i == ROUTE_USE_NONE)
			return ROUTE_USE_NONE;
		begin(&use->routes[i], vip, kind);
		index_put(use->by_vip, hash_u64(vip, 0), i);
	} else if (use->routes[i].kind != kind) {
		begin(&use->routes[i], vip, kind);
	}
	return i;
}

/**
 * route_use_count_flow() - count a flow as open, or no longer
 * @use: table
 * @slot: slot of its route
 * @open: whether it is open
 */
void route_use_count_flow(struct route_use *use, uint32_t slot, bool open)
{
	if (slot != ROUTE_USE_NONE)
		use->routes[slot].flows += open ? 1U : -1U;
}

/**
 * route_use_count_busy() - count a request as in progress, or no longer
 * @use: table
 * @slot: slot of its route
 * @busy: whether it is in progress
 */
void route_use_count_busy(struct route_use *use, uint32_t slot, bool busy)
{
	if (slot != ROUTE_USE_NONE)
		use->routes[slot].busy += busy ? 1U : -1U;
}

/* Count a flow that carried a second request, or none. */
static void observe(struct observed_route *r, bool second)
{
	if (r->observed < FLOWS_AVERAGED)
		r->observed++;
	r->second_part += ((float)second - r->second_part) / (float)r->observed;
	if (r->observed < ROUTE_USE_FLOWS_MIN)
		return;
	if (r->second_part >= LONG_PART)
		r->is_long = true;
	else if (r->second_part < SHORT_PART)
		r->is_long = false;
}

/**
 * route_use_request() - record that a request begins on a flow
 * @use: table
 * @slot: slot of the route
 * @number: 1 for the first request on the flow that was seen here
 */
void route_use_request(struct route_use *use, uint32_t slot, uint32_t number)
{
	if (slot != ROUTE_USE_NONE && number == 2)
		observe(&use->routes[slot], true);
}

/**
 * route_use_end() - record that a client closed a flow whose requests were all
 *	seen here and answered
 * @use: table
 * @slot: slot of the route
 * @requests: number of its requests
 */
void route_use_end(struct route_use *use, uint32_t slot, uint32_t requests)
{
	struct observed_route *r;

	if (slot == ROUTE_USE_NONE || !requests)
		return;
	r = &use->routes[slot];
	if (r->ended < FLOWS_AVERAGED)
		r->ended++;
	r->requests += ((float)requests - r->requests) / (float)r->ended;
	if (requests == 1)
		observe(r, false);
}

/**
 * route_use_sample() - update the mean loads; to be called each tick
 * @use: table
 * @now_ns: current time
 */
void route_use_sample(struct route_use *use, uint64_t now_ns)
{
	uint64_t since_ns = now_ns - use->sampled_ns;
	float weight = (float)since_ns / (float)LOAD_WINDOW_NS;

	if (since_ns < SAMPLE_NS)
		return;
	if (!use->sampled_ns || weight > 1)
		weight = (float)SAMPLE_NS / (float)LOAD_WINDOW_NS;
	use->sampled_ns = now_ns;
	for (uint32_t i = 0; i < use->n_routes; i++) {
		struct observed_route *r = &use->routes[i];

		if (!r->flows)
			continue;
		r->flows_mean += ((float)r->flows - r->flows_mean) * weight;
		r->busy_mean += ((float)r->busy - r->busy_mean) * weight;
	}
}

/**
 * route_use_is_long() - whether the flows of a route carry many requests
 * @use: table
 * @vip: VIP of the route
 * @kind: enum route_kind
 *
 * Return: as observed; as the kind says until ROUTE_USE_FLOWS_MIN flows were.
 */
bool route_use_is_long(const struct route_use *use, uint64_t vip, uint8_t kind)
{
	const struct observed_route *r = find(use, vip);

	return r && r->kind == kind ? r->is_long : kind_is_long(kind);
}

/**
 * route_use_requests_per_flow() - mean number of requests of a flow
 * @use: table
 * @vip: VIP of the route
 *
 * Return: mean over the latest flows that were seen from their opening to their
 * end; 0 before the first.
 */
float route_use_requests_per_flow(const struct route_use *use, uint64_t vip)
{
	const struct observed_route *r = find(use, vip);

	return r ? r->requests : 0;
}

/**
 * route_use_flow_load() - mean number of requests in progress of an open flow
 * @use: table
 * @vip: VIP of the route
 *
 * Return: mean over the open flows of the latest seconds, which begins at
 * ROUTE_USE_LOAD_INITIAL.
 */
float route_use_flow_load(const struct route_use *use, uint64_t vip)
{
	const struct observed_route *r = find(use, vip);

	return r ? r->busy_mean / r->flows_mean : ROUTE_USE_LOAD_INITIAL;
}
