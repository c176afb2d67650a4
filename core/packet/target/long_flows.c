#include "long_flows.h"

#include <math.h>

/* Time constant of the count of openings. An entry of a large fleet opens less
 * than one long flow a second to a service. */
#define RATE_WINDOW_NS (2 * NS_PER_S)
/* Flows that a target may get within one heartbeat, for each slot: a flow sends
 * a request at once, and a slot runs about four requests in that time. The rest
 * is for the requests of its other flows. */
#define FLOWS_PER_SLOT 1.0f
/* A target may get this multiple of an even share in any case. With less, a
 * target that has too few flows would not catch up at high rates. */
#define EVEN_SHARES_MAX 2.0f
/* Each round finds targets that would get too many flows; later rounds find few
 * more of them. */
#define ROUNDS_MAX 3
#define RANDOM_BITS 24

static float decayed_count(const struct long_flow_rate *rate, uint64_t now_ns)
{
	float age_ns = (float)(now_ns - rate->updated_ns);

	return rate->recent * expf(-age_ns / (float)RATE_WINDOW_NS);
}

/**
 * long_flows_record_opening() - count a long flow that this entry opened
 * @rate: openings to its service
 * @now_ns: current time
 */
void long_flows_record_opening(struct long_flow_rate *rate, uint64_t now_ns)
{
	rate->recent = decayed_count(rate, now_ns) + 1;
	rate->updated_ns = now_ns;
}

/**
 * long_flows_unseen() - estimate the long flows that peers open without seeing
 *	those of the others
 * @rate: openings of this entry to the service
 * @peers: the peers; each is assumed to open as many as this entry
 * @policy: limits and switches
 * @now_ns: current time
 *
 * Return: number of flows opened since the peers' figures, and until the next
 * heartbeat.
 */
float long_flows_unseen(const struct long_flow_rate *rate,
			const struct long_flow_peers *peers,
			const struct policy *policy, uint64_t now_ns)
{
	float heartbeat_s = (float)policy->heartbeat_ns / (float)NS_PER_S;
	float window_s = (float)RATE_WINDOW_NS / (float)NS_PER_S;

	if (rate->recent <= 0)
		return 0;
	return decayed_count(rate, now_ns) / window_s *
	       (peers->ages_s + (float)peers->n * heartbeat_s);
}

/**
 * long_flows_load() - expected load of a target for a new long flow
 * @t: target
 * @feed_load: mean number of slots that an open long flow occupies
 *
 * Return: load in slots, from the flows of all entries. The requests that run
 * at the moment do not count: the load of a flow shows only over many requests.
 */
float long_flows_load(const struct target *t, float feed_load)
{
	return ((float)t->feeds + t->peers_feeds) * feed_load + t->short_mean +
	       t->peers_short;
}

/*
 * The cost that all candidates reach at most when @flows are added where the
 * cost is lowest. Newton's method: each step drops the candidates above the
 * level of the step before, so that the level only sinks.
 */
static float water_level(const struct long_flow_candidate *candidates,
			 uint32_t n, float flows)
{
	float level = INFINITY;
	uint32_t below_before = UINT32_MAX;

	for (;;) {
		float sum = flows, weight = 0;
		uint32_t below = 0;

		for (uint32_t i = 0; i < n; i++) {
			const struct long_flow_candidate *c = &candidates[i];

			if (c->is_full || c->cost >= level)
				continue;
			weight += c->flows_per_cost;
			sum += c->cost * c->flows_per_cost;
			below++;
		}
		if (!below || below >= below_before)
			return level;
		below_before = below;
		level = sum / weight;
	}
}

/* Set the shares that bring the candidates to @level, up to @most_per_slot.
 * Return: the sum of those that became full. */
static float set_shares(struct long_flow_candidate *candidates, uint32_t n,
			float level, float most_per_slot)
{
	float full = 0;

	for (uint32_t i = 0; i < n; i++) {
		struct long_flow_candidate *c = &candidates[i];
		float most = most_per_slot * target_slots(c->target);

		if (c->is_full)
			continue;
		c->share_flows =
			fmaxf(0, (level - c->cost) * c->flows_per_cost);
		if (c->share_flows <= most)
			continue;
		c->share_flows = most;
		c->is_full = true;
		full += most;
	}
	return full;
}

/* Divide @flows among the candidates. */
static void divide(struct long_flow_candidate *candidates, uint32_t n,
		   float flows)
{
	float rest = flows, all_slots = 0, full = 1, most_per_slot;

	for (uint32_t i = 0; i < n; i++) {
		all_slots += target_slots(candidates[i].target);
		candidates[i].is_full = false;
	}
	most_per_slot =
		fmaxf(FLOWS_PER_SLOT, EVEN_SHARES_MAX * flows / all_slots);
	for (uint32_t round = 0; full > 0 && round < ROUNDS_MAX; round++) {
		full = set_shares(candidates, n,
				  water_level(candidates, n, rest),
				  most_per_slot);
		rest -= full;
	}
}

/* A candidate, with a probability in proportion to its share. */
static struct target *draw(const struct long_flow_candidate *candidates,
			   uint32_t n, struct rng *rng)
{
	float part = (float)(rng_next(rng) >> (64 - RANDOM_BITS)) /
		     (float)(1 << RANDOM_BITS);
	struct target *last = NULL;
	float sum = 0;

	for (uint32_t i = 0; i < n; i++)
		sum += candidates[i].share_flows;
	part *= sum;
	for (uint32_t i = 0; i < n; i++) {
		if (candidates[i].share_flows <= 0)
			continue;
		last = candidates[i].target;
		part -= candidates[i].share_flows;
		if (part < 0)
			break;
	}
	return last;
}

/**
 * long_flows_select() - select the target of a long flow
 * @candidates: random sample of the targets that may take it
 * @n: number of @candidates
 * @n_eligible: number of targets that the sample was taken from
 * @unseen_flows: long flows that peers opened since their figures
 * @rng: random source
 *
 * If each entry chose the least loaded target, all would choose the same one
 * until the next heartbeat. So the unseen flows and those of one target, which
 * all reopen at once when it ends, are divided such that they even out the
 * loads, and each target is drawn with a probability in proportion to its
 * share. Every entry does the same, so that the flows of all of them arrive as
 * divided; a target that has just started gets no more than
 * FLOWS_PER_SLOT allows.
 *
 * Return: target, NULL when there is no candidate.
 */
struct target *long_flows_select(struct long_flow_candidate *candidates,
				 uint32_t n, uint32_t n_eligible,
				 float unseen_flows, struct rng *rng)
{
	float flows = 0;

	if (!n)
		return NULL;
	for (uint32_t i = 0; i < n; i++)
		flows += (float)candidates[i].target->feeds +
			 candidates[i].target->peers_feeds;
	flows = (unseen_flows + flows / (float)n) * (float)n /
		(float)n_eligible;
	divide(candidates, n, fmaxf(flows, 1));
	return draw(candidates, n, rng);
}
