/*
 * Loads at their worst, replayed on the emulator: what each way of deciding
 * earns of the worth that clients asked for, beside the same seeds without it.
 */
#include "experiment.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <cmocka.h>

#define SEEDS 2

/* Part of the worth that a policy earns, the mean over seeds. */
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

		assert_int_equal(experiment_play(&x, 0, seed, &out, &windows),
				 0);
		windows_free(&windows);
		assert_int_equal(out.rules, 0);
		sum += out.earned;
	}
	return sum / SEEDS;
}

static void assert_gain(const char *experiment, const struct policy *without,
			double least)
{
	double with = earned(experiment, &policy_default);
	double before = earned(experiment, without);

	if (with < before + least)
		fail_msg("%s: %.4f, without %.4f", experiment, with, before);
}

/*
 * Symptom: while the fleet asks for more than targets can do, nearly none of it
 * is served in time. Sequence: every target has a queue of requests, as old as
 * their clients' patience. Cause: the queue was theirs, first come first
 * served.
 */
static void test_more_asked_than_can_be_done(void **state)
{
	struct policy none = policy_default;

	(void)state;
	none.waiting_max = 0;
	assert_gain("load-2.0-forecast", &none, 0.08);
	assert_gain("load-2.8-lift", &none, 0.02);
}

/*
 * Symptom: clients of a large fleet that wakes use up their tries, while
 * targets refuse half of all requests. Sequence: 64 entries each see one request
 * or none of their own at a target. Cause: one always goes, so nothing limited
 * their sum.
 */
static void test_many_entries_overrun_the_queues(void **state)
{
	struct policy none = policy_default;

	(void)state;
	none.window_percent = 0;
	assert_gain("load-5.2-lift-grown", &none, 0.05);
}

/* Targets that start again are cold, and hold nothing of what was asked. */
static void test_most_targets_restart(void **state)
{
	struct policy none = policy_default;

	(void)state;
	none.waiting_max = 0;
	assert_gain("restarts-forecast", &none, 0.02);
}

/*
 * Symptom: for two seconds after all entries lost power nearly every answer is
 * late, also to requests that came after their return. Sequence: clients repeat
 * together what they had sent; the new processes know no limit and give it all
 * to the targets. Cause: whoever comes next waits there behind all of it.
 */
static void test_all_entries_were_away(void **state)
{
	struct policy none = policy_default;

	(void)state;
	none.young_ns = 0;
	none.guess_percent = 0;
	assert_gain("outage-forecast", &none, 0.008);
	assert_gain("outage-lift", &none, -0.005);
}

/* Where targets keep up, waiting here must cost next to nothing. */
static void test_targets_keep_up(void **state)
{
	struct policy none = policy_default;

	(void)state;
	none.waiting_max = 0;
	assert_gain("load-1.6-forecast", &none, -0.005);
	assert_gain("load-2.2-lift", &none, -0.005);
	assert_gain("load-3.5-pipe", &none, -0.005);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_more_asked_than_can_be_done),
		cmocka_unit_test(test_many_entries_overrun_the_queues),
		cmocka_unit_test(test_most_targets_restart),
		cmocka_unit_test(test_all_entries_were_away),
		cmocka_unit_test(test_targets_keep_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
