/*
 * Guards against requests that miss their deadlines for seconds after some
 * targets become seven times slower. Feeds stay open at such a target, where a
 * request of long work occupies a slot for a second and a half and those behind
 * it wait too long. An entry sends a slow target as many requests as the others,
 * since it measures the work of requests per service, not per target.
 */
#include "world_bed.h"

static void requests_meet_deadlines_with_slow_targets(void **state)
{
	const struct world_fault *f = world_fault_find("targets_crawl");

	(void)state;
	for (uint64_t seed = 1; seed <= WORLD_SEEDS; seed++)
		world_bed_run(f, seed, false);
}

/* The seeds among the first hundred that show the failure. */
static void requests_meet_deadlines_at_worst_seeds(void **state)
{
	static const uint64_t seeds[] = { 8, 16, 25, 75 };
	const struct world_fault *f = world_fault_find("targets_crawl");

	(void)state;
	for (size_t i = 0; i < sizeof(seeds) / sizeof(seeds[0]); i++)
		world_bed_run(f, seeds[i], false);
}

static void requests_meet_deadlines_when_routers_move_flows(void **state)
{
	(void)state;
	world_bed_run(world_fault_find("targets_crawl"), WORLD_SEED_REMAINDER,
		      true);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_meet_deadlines_with_slow_targets),
		cmocka_unit_test(requests_meet_deadlines_at_worst_seeds),
		cmocka_unit_test(
			requests_meet_deadlines_when_routers_move_flows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
