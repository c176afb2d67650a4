/* Test bed: the two deployments of docs/design/load-parts.md, emulated at a tenth
 * of their size. */
#ifndef CB_DEMAND_BED_H
#define CB_DEMAND_BED_H

#include "world_bed.h"

#define DEMAND_SITES 2
#define DEMAND_FLAP_SEEDS 20

static void (*const demand_describe[DEMAND_SITES])(struct site *s) = {
	site_one_request_flows, site_long_flows
};

/* Return: emulator at the end of the warm-up; @policy as in world_conf. */
static inline struct world *demand_new(uint32_t site, uint64_t seed,
				       const struct policy *policy)
{
	struct world_conf conf = { .seed = seed, .policy = policy };
	struct world *w;

	demand_describe[site](&conf.site);
	w = world_new(&conf);
	assert_non_null(w);
	world_run(w, WORLD_WARM_UP_NS);
	return w;
}

/* Check the rules and the share of requests served, and free the emulator. */
static inline void demand_end(struct world *w, const char *what, uint32_t site,
			      uint64_t seed, double served_min)
{
	char rules[WORLD_RULES_BYTES];
	struct world_report r;
	double served;

	world_report(w, &r);
	served = (double)(r.on_time + r.late) / (double)r.requests;
	if (world_broken_rules(&r) || served < served_min)
		fail_msg("%s, site %u, seed %llu: served %.4f of %llu, %s",
			 what, site, (unsigned long long)seed, served,
			 (unsigned long long)r.requests,
			 world_bed_rules_text(&r, rules));
	assert_int_equal(world_ready_count(w), world_entry_count(w));
	world_free(w);
}

static inline uint32_t demand_count_unsafe_failures(const struct world *w,
						    const struct site *s)
{
	const struct world_request *r;
	uint32_t n, failed = 0;

	r = world_requests(w, &n);
	for (uint32_t i = 0; i < n; i++)
		failed += !r[i].latency_ns &&
			  s->classes[r[i].class].kind == ROUTE_REPORT;
	return failed;
}

/* Unsafe requests of all seeds that fail while targets flap. */
static inline uint32_t demand_run_flapping(uint32_t site, uint8_t load_control)
{
	struct policy policy = policy_default;
	struct site s;
	uint32_t failed = 0;

	demand_describe[site](&s);
	policy.load_control = load_control;
	for (uint64_t seed = 1; seed <= DEMAND_FLAP_SEEDS; seed++) {
		struct world *w = demand_new(site, seed, &policy);

		world_fault_find("targets_flap")->apply(w);
		world_run(w, WORLD_AFTER_NS);
		failed += demand_count_unsafe_failures(w, &s);
		world_free(w);
	}
	return failed;
}

#endif
