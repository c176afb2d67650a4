/*
 * Simulated load experiments: the part of the requested value that a policy
 * serves, compared with the same seeds when one of its mechanisms is off.
 */
#include "experiment.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <cmocka.h>

#define SEEDS 2

/* Part of the requested value that a policy serves, the mean over seeds. */
static double earned(const char *experiment, const struct policy *policy)
{
	static struct experiment x;
	char path[128];
	struct mistakes m = { 0 };
	double sum = 0;

	snprintf(path, sizeof(path), "examples/experiments/%s.toml",
		 experiment);
	assert_int_equal(experiment_read(path, &x, &m), 0);
	x.variants[0].policy = *policy;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct windows windows;
		struct outcome out;

		assert_int_equal(experiment_run(&x, 0, seed, &out, &windows),
				 0);
		windows_free(&windows);
		assert_int_equal(out.rules, 0);
		sum += out.earned;
	}
	return sum / SEEDS;
}

static void assert_gain(const char *experiment, const struct policy *without,
			double gain_min)
{
	double with = earned(experiment, &policy_default);
	double baseline = earned(experiment, without);

	if (with < baseline + gain_min)
		fail_msg("%s: %.4f, without %.4f", experiment, with, baseline);
}

/*
 * Guards against an overload in which nearly no request is served in time: with
 * first-come first-served queues at the targets every request waits about as
 * long as its client's timeout.
 */
static void test_overload_is_served_in_time(void **state)
{
	struct policy without = policy_default;

	(void)state;
	without.waiting_max = 0;
	assert_gain("load-2.0-forecast", &without, 0.08);
	assert_gain("load-2.8-lift", &without, 0.02);
}

/*
 * Guards against targets that refuse half of all requests in a load spike,
 * until clients use up their retries. Each of 64 entries has one request or
 * none at a target; one is always allowed, so without a window nothing
 * limits their sum.
 */
static void test_many_entries_do_not_overflow_target_queues(void **state)
{
	struct policy without = policy_default;

	(void)state;
	without.window_percent = 0;
	assert_gain("load-5.2-lift-grown", &without, 0.05);
}

/* Restarted targets are cold and have lost their queues. */
static void test_restart_of_most_targets(void **state)
{
	struct policy without = policy_default;

	(void)state;
	without.waiting_max = 0;
	assert_gain("restarts-forecast", &without, 0.02);
}

/*
 * Guards against two seconds in which nearly every answer is late after all
 * entries lost power. Clients retransmit together, and new processes without a
 * limit would forward it all to the targets, where later requests queue behind.
 */
static void test_outage_of_all_entries(void **state)
{
	struct policy without = policy_default;

	(void)state;
	without.young_ns = 0;
	without.guess_percent = 0;
	assert_gain("outage-forecast", &without, 0.008);
	assert_gain("outage-lift", &without, -0.005);
}

/* While targets keep up, queueing at the entry must cost next to nothing. */
static void test_queueing_costs_nothing_below_full_load(void **state)
{
	struct policy without = policy_default;

	(void)state;
	without.waiting_max = 0;
	assert_gain("load-1.6-forecast", &without, -0.005);
	assert_gain("load-2.2-lift", &without, -0.005);
	assert_gain("load-3.5-pipe", &without, -0.005);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_overload_is_served_in_time),
		cmocka_unit_test(
			test_many_entries_do_not_overflow_target_queues),
		cmocka_unit_test(test_restart_of_most_targets),
		cmocka_unit_test(test_outage_of_all_entries),
		cmocka_unit_test(test_queueing_costs_nothing_below_full_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
