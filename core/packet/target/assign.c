#include "assign.h"

#include "cold.h"
#include "directory_impl.h"

#include "outlier.h"
#include "track_record.h"

#define PERCENT 100.0f
/* Upper bound of policy's choices. */
#define CANDIDATES_MAX 16

/*
 * Load of a target in slots. Long flows are spread by their number,
 * since the load of one shows only over many requests. Short flows are spread
 * by the requests that the target runs at the moment, those of long flows included.
 */
static float load(const struct target *t, const struct assign_query *q)
{
	if (q->is_long)
		return ((float)t->feeds + t->peers_feeds) * q->feed_load +
		       t->short_mean + t->peers_short;
	return (float)t->running + t->peers_running;
}

static float slots_of(const struct target *t)
{
	return t->advertised.slots ? t->advertised.slots : 1;
}

static bool may_repeat(const struct assign_query *q)
{
	return !q->load_control || route_kind_is_idempotent(q->kind);
}

/* Load relative to the slots, with a penalty for another data centre. */
static float cost(const struct target *t, const struct assign_query *q)
{
	float cost = load(t, q) / slots_of(t);

	if (q->load_control)
		cost *= track_record_slowness(t, q->now_ns);
	if (t->advertised.zone == q->zone)
		return cost;
	return cost + (float)q->policy->zone_penalty_percent / PERCENT;
}

/* Whether @t is the target that its cookie leads to. */
static bool is_reachable(const struct directory *d, const struct target *t)
{
	return directory_by_cookie(d, t->cookie) == t;
}

/*
 * Cost in the choice among targets of one data centre. A few failures at all
 * targets must not send flows to other data centres, where they are lost when
 * that is cut off; is_doubtful() rules out a target that fails far more.
 */
static float risk(const struct target *t, const struct assign_query *q)
{
	if (may_repeat(q))
		return cost(t, q);
	return cost(t, q) + track_record_failure_cost(t, q->policy, q->now_ns);
}

static bool is_doubtful(const struct target *t, const struct assign_query *q)
{
	return !may_repeat(q) && track_record_is_doubtful(t, q->now_ns);
}

/*
 * Targets with a lower rank are selected first, whatever their load. The rank
 * is the health; a target that is avoided, ejected, on trial, unresponsive or
 * doubtful for the request ranks one step worse.
 */
static uint32_t rank(const struct target *t, const struct assign_query *q,
		     bool allow_trial)
{
	uint32_t rank = t->health;

	if (t == q->avoid || outlier_is_ejected(t, q->now_ns) ||
	    (outlier_is_on_trial(t, q->policy, q->now_ns) && !allow_trial) ||
	    is_doubtful(t, q) ||
	    (q->load_control && track_record_is_unresponsive(t, q->now_ns)))
		rank++;
	return rank;
}

static bool has_free_slot(const struct target *t)
{
	return (float)t->running + t->peers_running < slots_of(t);
}

/*
 * Whether @t is better than none of the others having a free slot: a doubtful
 * target that shows no other sign of failure.
 */
static bool is_spare(const struct target *t, const struct assign_query *q)
{
	return is_doubtful(t, q) && t->health == HEALTH_GOOD && t != q->avoid &&
	       !outlier_is_ejected(t, q->now_ns) &&
	       !track_record_is_unresponsive(t, q->now_ns) && has_free_slot(t);
}

/**
 * struct sample - random sample of the targets of a group
 * @candidates: sampled targets
 * @seen: targets that were offered to the sample
 *
 * Uniform: each target of the group is equally likely to be in it.
 */
struct sample {
	struct target *candidates[CANDIDATES_MAX];
	uint32_t seen;
};

/* Size of a sample; 0 to consider all targets. */
static uint32_t sample_size(const struct assign_query *q)
{
	if (q->of_all)
		return 0;
	return q->policy->choices < CANDIDATES_MAX ? q->policy->choices
						   : CANDIDATES_MAX;
}

/* Without sampling the cheapest target is the only candidate. */
static void keep_cheapest(struct sample *s, struct target *t,
			  const struct assign_query *q)
{
	if (!s->seen || risk(t, q) < risk(s->candidates[0], q))
		s->candidates[0] = t;
	s->seen = 1;
}

/* Reservoir sampling. */
static void sample_add(struct sample *s, struct target *t,
		       const struct assign_query *q, struct rng *rng)
{
	uint64_t at = s->seen;

	if (!sample_size(q)) {
		keep_cheapest(s, t, q);
		return;
	}
	if (s->seen >= sample_size(q))
		at = rng_next(rng) % (s->seen + 1);
	if (at < sample_size(q))
		s->candidates[at] = t;
	s->seen++;
}

/*
 * The cheapest candidate; NULL when there is none. Starts at a random
 * candidate to break ties: candidates are in the order of publication, and at
 * low load, when most targets are idle, the first one published would get twice
 * the flows of the last.
 */
static struct target *cheapest(const struct sample *s,
			       const struct assign_query *q, struct rng *rng)
{
	struct target *best = NULL;
	uint32_t n = s->seen < sample_size(q) || !sample_size(q)
			     ? s->seen
			     : sample_size(q);
	uint32_t start = n ? (uint32_t)(rng_next(rng) % n) : 0;

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = s->candidates[(start + i) % n];

		if (!best || risk(t, q) < risk(best, q))
			best = t;
	}
	return best;
}

static bool is_eligible(const struct directory *d, const struct target *t,
			const struct assign_query *q)
{
	float per_s = d->services[q->service].cold.flows_per_s;

	return t->health != HEALTH_SILENT && target_is_serving(d, t) &&
	       !cold_denies_flow(t, per_s, q->now_ns);
}

/**
 * assign_target() - select the target of a new flow
 * @d: directory
 * @q: the flow
 * @rng: random source
 *
 * Spends credit of the selected target if it is cold.
 *
 * Return: target, owned by @d; NULL when none can take the flow.
 */
struct target *assign_target(const struct directory *d,
			     const struct assign_query *q, struct rng *rng)
{
	struct target *const *all = NULL;
	uint32_t n = directory_service_targets(d, q->service, &all);
	struct sample near = { 0 }, far = { 0 }, spare = { 0 };
	bool allow_trial = rng_next(rng) % q->policy->trial_odds == 0;
	uint32_t best_rank = UINT32_MAX;
	struct target *selected, *elsewhere;

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = all[i];
		uint32_t t_rank = rank(t, q, allow_trial);
		bool t_is_spare = is_spare(t, q);

		if ((t_rank > best_rank && !t_is_spare) ||
		    !is_eligible(d, t, q) || !is_reachable(d, t))
			continue;
		if (t_is_spare)
			sample_add(&spare, t, q, rng);
		if (t_rank > best_rank)
			continue;
		if (t_rank < best_rank)
			near.seen = far.seen = 0;
		best_rank = t_rank;
		sample_add(t->advertised.zone == q->zone ? &near : &far, t, q,
			   rng);
	}
	selected = cheapest(&near, q, rng);
	elsewhere = cheapest(&far, q, rng);
	if (!selected || (elsewhere && cost(elsewhere, q) < cost(selected, q)))
		selected = elsewhere;
	if (spare.seen && selected && !has_free_slot(selected))
		selected = cheapest(&spare, q, rng);
	if (!selected)
		return NULL;
	track_record_assigned(selected, q->now_ns);
	cold_spend_credit(selected, d->services[q->service].cold.flows_per_s,
			  q->now_ns);
	return selected;
}
