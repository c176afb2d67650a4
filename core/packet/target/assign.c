#include "assign.h"

#include "cold.h"
#include "directory_impl.h"

#include "long_flows.h"
#include "outlier.h"
#include "track_record.h"

#define PERCENT 100.0f
/* Upper bound of policy's choices. */
#define CANDIDATES_MAX 16
/* Before any was observed, the load of a flow may be 0. */
#define FEED_LOAD_MIN 0.001f

/*
 * Load of a target in slots. Long flows are spread by their number,
 * since the load of one shows only over many requests. Short flows are spread
 * by the requests that the target runs at the moment, those of long flows included.
 */
static float load(const struct target *t, const struct assign_query *q)
{
	if (q->is_long)
		return long_flows_load(t, q->feed_load);
	return (float)t->running + t->peers_running;
}

static bool may_repeat(const struct assign_query *q)
{
	return !q->load_control || route_kind_is_idempotent(q->kind);
}

/* Factor by which a target's load exceeds that of an average target with the
 * same requests. */
static float slowness(const struct target *t, const struct assign_query *q)
{
	return q->load_control ? track_record_slowness(t, q->now_ns) : 1;
}

/* Load relative to the slots, with a penalty for another data centre. */
static float cost_if_slow(const struct target *t, const struct assign_query *q,
			  float slow)
{
	float cost = load(t, q) / target_slots(t) * slow;

	if (t->advertised.zone == q->zone)
		return cost;
	return cost + (float)q->policy->zone_penalty_percent / PERCENT;
}

static float cost(const struct target *t, const struct assign_query *q)
{
	return cost_if_slow(t, q, slowness(t, q));
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

/* Whether @t is the target that its cookie leads to. */
static bool is_reachable(const struct directory *d, const struct target *t)
{
	return directory_by_cookie(d, t->cookie) == t;
}

static bool is_doubtful(const struct target *t, const struct assign_query *q)
{
	return !may_repeat(q) && track_record_is_doubtful(t, q->now_ns);
}

/*
 * Targets with a lower rank are selected first, whatever their load. The rank
 * is the health; a target that is avoided, ejected, on trial, unresponsive or
 * doubtful for the request ranks one step worse. @may_doubt saves two calls for each target when
 * the request may be repeated.
 */
static uint32_t rank(const struct target *t, const struct assign_query *q,
		     bool allow_trial, bool may_doubt)
{
	uint32_t rank = t->health;

	if (t == q->avoid || outlier_is_ejected(t, q->now_ns) ||
	    (outlier_is_on_trial(t, q->policy, q->now_ns) && !allow_trial) ||
	    (may_doubt && is_doubtful(t, q)) ||
	    (q->load_control && track_record_is_unresponsive(t, q->now_ns)))
		rank++;
	return rank;
}

/* Whether @t has a free slot beside the flows that are about to bring a request. */
static bool has_free_slot(const struct target *t)
{
	return (float)t->running + t->peers_running + (float)t->openings <
	       target_slots(t);
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
 * @size: number of targets that it takes; 0 to keep the cheapest one only
 * @for_long: it is for long_flows_select()
 *
 * Uniform: each target of the group is equally likely to be in it.
 */
struct sample {
	struct target *candidates[CANDIDATES_MAX];
	uint32_t seen;
	uint32_t size;
	bool for_long;
};

/* Whether the flow goes by the shares of long_flows_select(). */
static bool is_shared_out(const struct assign_query *q)
{
	return q->load_control && q->is_long && !q->of_all &&
	       q->policy->choices;
}

/*
 * Whether @t goes before all targets without a free slot: the cheapest target may
 * have none, since the cost has other parts than the requests there.
 */
static bool is_free(const struct target *t, const struct assign_query *q,
		    uint32_t t_rank)
{
	return q->of_all && t_rank == HEALTH_GOOD && has_free_slot(t);
}

/* Size of a sample; 0 to consider all targets. */
static uint32_t sample_size(const struct assign_query *q)
{
	if (q->of_all)
		return 0;
	if (is_shared_out(q))
		return LONG_FLOW_CHOICES;
	return q->policy->choices < CANDIDATES_MAX ? q->policy->choices
						   : CANDIDATES_MAX;
}

static void sample_init(struct sample *s, const struct assign_query *q)
{
	s->seen = 0;
	s->size = sample_size(q);
	s->for_long = is_shared_out(q);
}

/* Without sampling the cheapest target is the only candidate. */
static void keep_cheapest(struct sample *s, struct target *t,
			  const struct assign_query *q)
{
	if (!s->seen || risk(t, q) < risk(s->candidates[0], q))
		s->candidates[0] = t;
	s->seen = 1;
}

/* A random number below @n. The remainder takes too long for the many candidates
 * of a long flow; other flows keep the numbers that it gives. */
static uint64_t random_below(const struct sample *s, uint64_t n,
			     struct rng *rng)
{
	if (s->for_long)
		return ((rng_next(rng) >> 32) * n) >> 32;
	return rng_next(rng) % n;
}

/* Reservoir sampling. */
static inline void sample_add(struct sample *s, struct target *t,
			      const struct assign_query *q, struct rng *rng)
{
	uint64_t at = s->seen;

	if (!s->size) {
		keep_cheapest(s, t, q);
		return;
	}
	if (s->seen >= s->size)
		at = random_below(s, s->seen + 1, rng);
	if (at < s->size)
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
	uint32_t n = s->seen < s->size || !s->size ? s->seen : s->size;
	uint32_t start = n ? (uint32_t)(rng_next(rng) % n) : 0;

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = s->candidates[(start + i) % n];

		if (!best || risk(t, q) < risk(best, q))
			best = t;
	}
	return best;
}

static uint32_t add_candidates(struct long_flow_candidate *candidates,
			       const struct sample *s,
			       const struct assign_query *q)
{
	uint32_t n = s->seen < s->size ? s->seen : s->size;
	float feed_load =
		q->feed_load > FEED_LOAD_MIN ? q->feed_load : FEED_LOAD_MIN;

	for (uint32_t i = 0; i < n; i++) {
		struct target *t = s->candidates[i];
		float slow = slowness(t, q);

		candidates[i] = (struct long_flow_candidate){
			.target = t,
			.cost = cost_if_slow(t, q, slow),
			.flows_per_cost = target_slots(t) / (feed_load * slow),
		};
	}
	return n;
}

static struct target *select_for_long(const struct sample *near,
				      const struct sample *far,
				      const struct assign_query *q,
				      struct rng *rng)
{
	struct long_flow_candidate candidates[LONG_FLOW_CANDIDATES_MAX];
	uint32_t n = add_candidates(candidates, near, q);

	n += add_candidates(candidates + n, far, q);
	return long_flows_select(candidates, n, near->seen + far->seen,
				 q->unseen_flows, rng);
}

/* The best of this data centre, unless one elsewhere is cheaper with all
 * penalties. */
static struct target *select_for_short(const struct sample *near,
				       const struct sample *far,
				       const struct assign_query *q,
				       struct rng *rng)
{
	struct target *here = cheapest(near, q, rng);
	struct target *elsewhere = cheapest(far, q, rng);

	if (!here || (elsewhere && cost(elsewhere, q) < cost(here, q)))
		return elsewhere;
	return here;
}

static bool is_eligible(const struct directory *d, const struct target *t,
			const struct assign_query *q)
{
	float per_s = d->services[q->service].cold.flows_per_s;

	return t->health != HEALTH_SILENT && target_is_serving(d, t) &&
	       !cold_denies_flow(t, per_s, q->now_ns);
}

/**
 * assign_select() - select a target for a new flow, which may not be opened yet
 * @d: directory
 * @q: the flow
 * @rng: random source
 *
 * Return: target, owned by @d; NULL when none can take the flow.
 */
struct target *assign_select(const struct directory *d,
			     const struct assign_query *q, struct rng *rng)
{
	struct target *const *all = NULL;
	uint32_t n = directory_service_targets(d, q->service, &all);
	struct sample near, far, spare, idle;
	bool allow_trial = rng_next(rng) % q->policy->trial_odds == 0;
	bool may_doubt = !may_repeat(q);
	uint32_t best_rank = UINT32_MAX;
	struct target *selected;

	sample_init(&near, q);
	sample_init(&far, q);
	sample_init(&spare, q);
	sample_init(&idle, q);
	for (uint32_t i = 0; i < n; i++) {
		struct target *t = all[i];
		uint32_t t_rank = rank(t, q, allow_trial, may_doubt);
		bool t_is_spare = may_doubt && is_spare(t, q);

		if ((t_rank > best_rank && !t_is_spare) ||
		    !is_eligible(d, t, q) || !is_reachable(d, t))
			continue;
		if (t_is_spare)
			sample_add(&spare, t, q, rng);
		if (is_free(t, q, t_rank))
			sample_add(&idle, t, q, rng);
		if (t_rank > best_rank)
			continue;
		if (t_rank < best_rank)
			near.seen = far.seen = 0;
		best_rank = t_rank;
		sample_add(t->advertised.zone == q->zone ? &near : &far, t, q,
			   rng);
	}
	if (is_shared_out(q))
		selected = select_for_long(&near, &far, q, rng);
	else
		selected = select_for_short(&near, &far, q, rng);
	if (!selected || has_free_slot(selected))
		return selected;
	if (idle.seen)
		return cheapest(&idle, q, rng);
	return spare.seen ? cheapest(&spare, q, rng) : selected;
}

/**
 * assign_record() - account for a new flow at its target
 * @d: directory
 * @target: target
 * @now_ns: current time
 *
 * Spends credit of the target if it is cold.
 */
void assign_record(const struct directory *d, struct target *target,
		   uint64_t now_ns)
{
	uint32_t service = target->advertised.service;

	track_record_assigned(target, now_ns);
	cold_spend_credit(target, d->services[service].cold.flows_per_s,
			  now_ns);
}

/**
 * assign_target() - select the target of a new flow and account for the flow
 * @d: directory
 * @q: the flow
 * @rng: random source
 *
 * Return: target, owned by @d; NULL when none can take the flow.
 */
struct target *assign_target(const struct directory *d,
			     const struct assign_query *q, struct rng *rng)
{
	struct target *selected = assign_select(d, q, rng);

	if (selected)
		assign_record(d, selected, q->now_ns);
	return selected;
}
