/*
 * A calm day in the two deployments of docs/design/load-parts.md, emulated at a
 * tenth of their size: good targets keep getting flows.
 */
#include "demand_bed.h"

/* A period of the rates of the site with long flows. */
#define CALM_DAY_NS (60 * NS_PER_S)
/* The page: a good target is ejected at most twice on a calm day. */
#define EJECTIONS_MAX 2

static void run_calm_day(uint32_t site)
{
	for (uint64_t seed = 1; seed <= WORLD_SEEDS; seed++) {
		struct world *w = demand_new(site, seed, NULL);
		uint32_t most;

		world_run(w, CALM_DAY_NS);
		most = world_most_ejections(w);
		if (most > EJECTIONS_MAX)
			fail_msg("site %u, seed %llu: a good target was "
				 "ejected %u times",
				 site, (unsigned long long)seed, most);
		world_free(w);
	}
}

/*
 * Guards against ejections of good targets: answers of downloads, and requests
 * that take longer than others, were counted as failures.
 */
static void one_request_flows_eject_no_good_target(void **state)
{
	(void)state;
	run_calm_day(0);
}

/* The same with a long tail of the work, for 3 in 100 requests. */
static void long_flows_eject_no_good_target(void **state)
{
	(void)state;
	run_calm_day(1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_request_flows_eject_no_good_target),
		cmocka_unit_test(long_flows_eject_no_good_target),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
