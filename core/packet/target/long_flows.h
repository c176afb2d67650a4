/*
 * Spreading of flows that carry many requests. Such a flow loads its target for
 * its whole lifetime, and an entry learns 200 ms late what its peers opened.
 */
#ifndef CB_LONG_FLOWS_H
#define CB_LONG_FLOWS_H

#include "policy.h"
#include "target.h"

/* Targets compared for a long flow, in each of two groups: this data centre and
 * the others. Figures 300 ms old do not tell more of them apart: 16 give the same
 * imbalance and cost more for each opening. */
#define LONG_FLOW_CHOICES 8
#define LONG_FLOW_CANDIDATES_MAX (2 * LONG_FLOW_CHOICES)

/**
 * struct long_flow_rate - long flows that this entry opens to a service
 * @recent: number of openings, decaying over time
 * @updated_ns: when @recent was last updated
 */
struct long_flow_rate {
	float recent;
	uint64_t updated_ns;
};

/**
 * struct long_flow_peers - age of what this entry knows of its peers
 * @n: number of live peers that use the same targets: those of this data
 *	centre, since flows rarely leave it
 * @ages_s: sum of the ages of their figures, seconds
 */
struct long_flow_peers {
	uint32_t n;
	float ages_s;
};

/**
 * struct long_flow_candidate - a target that may take a long flow
 * @target: the target
 * @cost: its load relative to its slots, with all penalties
 * @flows_per_cost: number of long flows that add 1 to @cost
 * @share_flows: of the flows that all entries are about to open, those that
 *	it should get; set by long_flows_select()
 * @is_full: @share_flows is the most that it may get
 */
struct long_flow_candidate {
	struct target *target;
	float cost;
	float flows_per_cost;
	float share_flows;
	bool is_full;
};

void long_flows_record_opening(struct long_flow_rate *rate, uint64_t now_ns);
float long_flows_unseen(const struct long_flow_rate *rate,
			const struct long_flow_peers *peers,
			const struct policy *policy, uint64_t now_ns);
float long_flows_load(const struct target *t, float feed_load);
struct target *long_flows_select(struct long_flow_candidate *candidates,
				 uint32_t n, uint32_t n_eligible,
				 float unseen_flows, struct rng *rng);

#endif
