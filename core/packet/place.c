#include "place.h"

/*
 * A flow leaves its data centre when the best target there is busier by this
 * part of its slots than the best elsewhere. Own targets first keeps flows
 * alive when data centres are cut from each other and saves the bytes between
 * them; spilling keeps a data centre that lost its targets served.
 */
#define ZONE_PENALTY 0.4f
/* A target that has just started works about so much slower. */
#define COLD_FACTOR 1.6f
/* Equal costs are told apart by less than one short request on ten slots. */
#define JITTER 0.02f

/**
 * place_serving() - whether a target may be given new flows at all
 * @t: target
 * @now_ns: time
 *
 * Return: whether it is published as serving, or presumed to be.
 */
bool place_serving(const struct target *t, uint64_t now_ns)
{
	if (t->health == HEALTH_DEAD)
		return false;
	if (t->stage == TARGET_ABSENT)
		return now_ns < t->presumed_until_ns;
	return t->stage == TARGET_SERVING;
}

/*
 * Long flows are spread by their number, since the load of one shows only over
 * many requests; what is busy this moment matters to short ones alone.
 */
static float cost(const struct target *t, const struct place_query *q)
{
	float feeds = (float)t->feeds + t->peers_feeds;
	float busy = feeds * q->feed_load + t->peers_short;
	float slots = t->news.slots ? t->news.slots : 1;

	if (q->kind == ROUTE_FEED || t->short_mean > (float)t->busy_short)
		busy += t->short_mean;
	else
		busy += (float)t->busy_short;
	if (q->now_ns < t->cold_until_ns)
		slots /= COLD_FACTOR;
	return busy / slots + (t->news.zone == q->zone ? 0 : ZONE_PENALTY);
}

/* Whether the cookie of a flow at @t would lead to @t. */
static bool reachable(const struct directory *d, const struct target *t)
{
	return directory_by_cookie(d, t->cookie) == t;
}

/* Targets in better health come first whatever their load. */
static uint32_t rank(const struct target *t, const struct place_query *q)
{
	uint32_t rank = t->health;

	if (t == q->avoid)
		rank++;
	return rank;
}

/**
 * place_target() - choose the target of a new flow
 * @d: directory
 * @q: the flow
 * @rng: random source, for ties
 *
 * Return: target, or NULL when none can take it.
 */
struct target *place_target(const struct directory *d,
			    const struct place_query *q, struct rng *rng)
{
	struct target *const *all = NULL;
	uint32_t n = directory_of_service(d, q->service, &all);
	struct target *best = NULL;
	uint32_t best_rank = 0;
	float best_cost = 0;

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = all[i];
		uint32_t r = rank(t, q);
		float c;

		if (!place_serving(t, q->now_ns) || t->health == HEALTH_SILENT)
			continue;
		if (best && r > best_rank)
			continue;
		c = cost(t, q) +
		    JITTER * (float)(rng_next(rng) >> 40) / (float)(1 << 24);
		if (best && r == best_rank && c >= best_cost)
			continue;
		if (!reachable(d, t))
			continue;
		best = t;
		best_rank = r;
		best_cost = c;
	}
	return best;
}
