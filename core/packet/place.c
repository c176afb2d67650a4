#include "place.h"

#include "outlier.h"

/*
 * A flow leaves its data centre when the best target there is busier by this
 * part of its slots than the best elsewhere. Own targets first keeps flows
 * alive when data centres are cut from each other and saves the bytes between
 * them; spilling keeps a data centre that lost its targets served.
 */
#define ZONE_PENALTY 0.4f
/* A target that has just started works about so much slower. */
#define COLD_FACTOR 1.6f
/*
 * Of a few targets drawn at random the least loaded gets the flow. The least
 * loaded of all would be the same one for every entry until the next heartbeat
 * tells: a target that has just started would be given every new flow of the
 * fleet. With 79 entries and 60 of 120 targets replaced, targets refused 2,620
 * of 42,670 requests then; of two drawn, none (one day each, the same seed).
 * Three or four gain nothing where entries are few.
 */
#define CHOICES 2
/* One flow in so many may go to a target on trial after its ejection. */
#define TRIAL_ODDS 8

/**
 * place_serving() - whether a target may be given new flows at all
 * @d: directory
 * @t: target
 *
 * Return: whether it is published as serving, or presumed to be, and nothing
 * says that its process has ended or that it never was one.
 */
bool place_serving(const struct directory *d, const struct target *t)
{
	if (t->health == HEALTH_DEAD || t->successor_ns)
		return false;
	if (!t->news.started_ms && directory_starts_told(d))
		return false;
	return t->stage == TARGET_SERVING ||
	       (t->stage == TARGET_ABSENT && t->presumed);
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
static uint32_t rank(const struct target *t, const struct place_query *q,
		     bool trial)
{
	uint32_t rank = t->health;

	if (t == q->avoid || outlier_ejected(t, q->now_ns) ||
	    (outlier_on_trial(t, q->now_ns) && !trial))
		rank++;
	return rank;
}

/* A few candidates drawn from a group, each as likely as any other. */
struct draw {
	struct target *picked[CHOICES];
	uint32_t seen;
};

static void draw(struct draw *d, struct target *t, struct rng *rng)
{
	uint64_t at = d->seen;

	if (d->seen >= CHOICES)
		at = rng_next(rng) % (d->seen + 1);
	if (at < CHOICES)
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
	uint32_t n = d->seen < CHOICES ? d->seen : CHOICES;
	uint32_t from = n ? (uint32_t)(rng_next(rng) % n) : 0;

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = d->picked[(from + i) % n];

		if (!best || cost(t, q) < cost(best, q))
			best = t;
	}
	return best;
}

static bool eligible(const struct directory *d, const struct target *t)
{
	return place_serving(d, t) && t->health != HEALTH_SILENT;
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
	bool trial = rng_next(rng) % TRIAL_ODDS == 0;
	uint32_t best = UINT32_MAX;

	for (uint32_t i = 0; i < n; i++)
		if (eligible(d, all[i]) && rank(all[i], q, trial) < best)
			best = rank(all[i], q, trial);
	for (uint32_t i = 0; i < n; i++) {
		struct target *t = all[i];

		if (!eligible(d, t) || rank(t, q, trial) != best ||
		    !reachable(d, t))
			continue;
		draw(t->news.zone == q->zone ? &near : &far, t, rng);
	}
	return cheapest(&far, q, cheapest(&near, q, NULL, rng), rng);
}
