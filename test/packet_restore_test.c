/*
 * The store is restored from a copy that is some seconds old: it assigns the
 * same revisions again, and what is written then has to come into force too.
 */
#include "world_bed.h"

/* Guards against drains and configurations that are late after a restore. */
static void restored_store_keeps_rules_and_serves_requests(void **state)
{
	(void)state;
	for (uint32_t i = 0; i < n_world_faults; i++)
		for (uint64_t seed = 1; seed <= WORLD_SEEDS; seed++)
			if (restores_store(&world_faults[i]))
				world_bed_run(&world_faults[i], seed, false);
}

static void restored_store_keeps_rules_when_routers_move_flows(void **state)
{
	(void)state;
	for (uint32_t i = 0; i < n_world_faults; i++)
		if (restores_store(&world_faults[i]))
			world_bed_run(&world_faults[i], WORLD_SEED_REMAINDER,
				      true);
}

/* The restore starts before or after each other fault. */
static void restored_store_keeps_rules_with_other_faults(void **state)
{
	const struct world_fault *restored = world_fault_find("store_restored");

	(void)state;
	for (uint32_t i = 0; i < n_world_faults; i++) {
		if (restores_store(&world_faults[i]))
			continue;
		world_bed_run_pair(restored, &world_faults[i], 200 + i, i % 2);
		world_bed_run_pair(&world_faults[i], restored, 300 + i, i % 2);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			restored_store_keeps_rules_and_serves_requests),
		cmocka_unit_test(
			restored_store_keeps_rules_when_routers_move_flows),
		cmocka_unit_test(restored_store_keeps_rules_with_other_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
