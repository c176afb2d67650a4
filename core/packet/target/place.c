#include "place.h"

#include "cold.h"
#include "directory_impl.h"

#include "outlier.h"

#define PERCENT 100.0f
/* Room for the candidates of a draw. */
#define CHOICES_MAX 16

/*
 * Long flows are spread by their number, since the load of one shows only over
 * many requests. What a target has to do this moment, feeds' requests too,
 * matters to short ones alone.
 */
static float busy(const struct target *t, const struct place_query *q)
{
	if (q->kind == ROUTE_FEED)
		return ((float)t->feeds + t->peers_feeds) * q->feed_load +
		       t->short_mean + t->peers_short;
	return (float)t->running + t->peers_running;
}

static float cost(const struct target *t, const struct place_query *q)
{
	float slots = t->news.slots ? t->news.slots : 1;

	if (t->news.zone == q->zone)
		return busy(t, q) / slots;
	return busy(t, q) / slots +
	       (float)q->policy->zone_penalty_percent / PERCENT;
}

/* Whether the cookie of a flow at @t would lead to @t. */
static bool reachable(const struct directory *d, const struct target *t)
{
	return directory_by_cookie(d, t->cookie) == t;
}

/* Targets in better health come first whatever their load. */
static uint32_t rank(const struct target *t, const struct place_query *q,
		     bool trial)
{
	uint32_t rank = t->health;

	if (t == q->avoid || outlier_ejected(t, q->now_ns) ||
	    (outlier_on_trial(t, q->policy, q->now_ns) && !trial))
		rank++;
	return rank;
}

/* A few candidates drawn from a group, each as likely as any other. */
struct draw {
	struct target *picked[CHOICES_MAX];
	uint32_t seen;
};

static uint32_t choices(const struct place_query *q)
{
	return q->policy->choices < CHOICES_MAX ? q->policy->choices
						: CHOICES_MAX;
}

/* Without a draw the cheapest of all is the one candidate. */
static void keep_cheapest(struct draw *d, struct target *t,
			  const struct place_query *q)
{
	if (!d->seen || cost(t, q) < cost(d->picked[0], q))
		d->picked[0] = t;
	d->seen = 1;
}

static void draw(struct draw *d, struct target *t, const struct place_query *q,
		 struct rng *rng)
{
	uint64_t at = d->seen;

	if (!choices(q)) {
		keep_cheapest(d, t, q);
		return;
	}
	if (d->seen >= choices(q))
		at = rng_next(rng) % (d->seen + 1);
	if (at < choices(q))
		d->picked[at] = t;
	d->seen++;
}

/*
 * Of equal ones any: the first drawn is the one that was published first, and
 * at low load, when most are idle, that one got twice the flows of the last.
 */
static struct target *cheapest(const struct draw *d,
			       const struct place_query *q, struct target *best,
			       struct rng *rng)
{
	uint32_t n = d->seen < choices(q) || !choices(q) ? d->seen : choices(q);
	uint32_t from = n ? (uint32_t)(rng_next(rng) % n) : 0;

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = d->picked[(from + i) % n];

		if (!best || cost(t, q) < cost(best, q))
			best = t;
	}
	return best;
}

static bool eligible(const struct directory *d, const struct target *t,
		     const struct place_query *q)
{
	float per_s = d->services[q->service].cold.flows_per_s;

	return t->health != HEALTH_SILENT && target_serving(d, t) &&
	       !cold_full(t, per_s, q->now_ns);
}

/**
 * place_target() - choose the target of a new flow
 * @d: directory
 * @q: the flow
 * @rng: random source
 *
 * Return: target, or NULL when none can take it.
 */
struct target *place_target(const struct directory *d,
			    const struct place_query *q, struct rng *rng)
{
	struct target *const *all = NULL;
	uint32_t n = directory_of_service(d, q->service, &all);
	struct draw near = { 0 }, far = { 0 };
	bool trial = rng_next(rng) % q->policy->trial_odds == 0;
	uint32_t best = UINT32_MAX;
	struct target *chosen;

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = all[i];
		uint32_t its = rank(t, q, trial);

		if (its > best || !eligible(d, t, q) || !reachable(d, t))
			continue;
		if (its < best)
			near.seen = far.seen = 0;
		best = its;
		draw(t->news.zone == q->zone ? &near : &far, t, q, rng);
	}
	chosen = cheapest(&far, q, cheapest(&near, q, NULL, rng), rng);
	if (chosen)
		cold_opened(chosen, d->services[q->service].cold.flows_per_s,
			    q->now_ns);
	return chosen;
}
