/* How many requests a target may have: the arithmetic alone. */
#include "work.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <math.h>
#include <cmocka.h>

#define MS ((int64_t)NS_PER_MS)

static float limit(const struct service_work *w, uint8_t kind, int64_t left_ns)
{
	struct policy policy = { .limit_percent = 100, .late_percent = 50 };
	struct work_query q = { kind, 3, 300 * MS, left_ns };

	return work_request_limit(w, &policy, &q);
}

static void measure(struct service_work *w, uint8_t kind, int64_t took_ns,
		    uint32_t times)
{
	for (uint32_t i = 0; i < times; i++)
		work_record(w, kind, (uint64_t)took_ns);
}

/* Nothing is held back on a guess. */
static void test_no_limit_before_the_first_answer(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	assert_true(isinf(limit(&w, ROUTE_FEED, 300 * MS)));
	measure(&w, ROUTE_REPORT, 50 * MS, 1);
	assert_true(isinf(limit(&w, ROUTE_FEED, 300 * MS)));
	assert_false(isinf(limit(&w, ROUTE_REPORT, 300 * MS)));
}

/* A quarter of 300 ms is what it may take: 1 and three times three. */
static void test_guess_before_the_first_answer(void **state)
{
	struct policy policy = { .limit_percent = 100, .guess_percent = 25 };
	struct work_query q = { ROUTE_FEED, 3, 300 * MS, 300 * MS };
	struct service_work w = { 0 };

	(void)state;
	assert_int_equal((int)work_request_limit(&w, &policy, &q), 12);
	q.objective_ns = q.remaining_ns = 0;
	assert_int_equal((int)work_request_limit(&w, &policy, &q), 3);
}

/* 300 ms less its own 50 are five times 50; three slots each, and the first. */
static void test_limit_is_what_is_done_in_time(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	measure(&w, ROUTE_FEED, 50 * MS, 1);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 300 * MS), 18);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 200 * MS), 12);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 100 * MS), 6);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 50 * MS), 3);
}

/* One that is late already counts as new, by a part. */
static void test_late_ones_have_a_part_of_it(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	measure(&w, ROUTE_FEED, 50 * MS, 1);
	assert_int_equal((int)(limit(&w, ROUTE_FEED, 49 * MS) * 10), 105);
	assert_int_equal((int)(limit(&w, ROUTE_FEED, -900 * MS) * 10), 105);
}

/* Work that is longer than the target latency leaves the slots, not less. */
static void test_slots_are_always_filled(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	measure(&w, ROUTE_FEED, 800 * MS, 1);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 300 * MS), 3);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 0), 3);
}

/*
 * Symptom: reports wait though their target would have answered in time.
 * Sequence: reports take longer than feeds, which are most. Cause: how long
 * others take was judged by the report's own time.
 */
static void test_others_take_the_mean_of_all(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	measure(&w, ROUTE_REPORT, 100 * MS, 4);
	measure(&w, ROUTE_FEED, 20 * MS, 12);
	/* 1 and (300 - 100) / 40, times three. */
	assert_in_range((int)limit(&w, ROUTE_REPORT, 300 * MS), 17, 18);
	/* 1 and (300 - 20) / 40, times three. */
	assert_in_range((int)limit(&w, ROUTE_FEED, 300 * MS), 23, 24);
}

static void test_means_follow_a_change(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	measure(&w, ROUTE_FEED, 20 * MS, 1000);
	assert_in_range(w.all.mean_ns, 19 * MS, 20 * MS);
	measure(&w, ROUTE_FEED, 60 * MS, 100);
	assert_in_range(w.all.mean_ns, 57 * MS, 60 * MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_limit_before_the_first_answer),
		cmocka_unit_test(test_guess_before_the_first_answer),
		cmocka_unit_test(test_limit_is_what_is_done_in_time),
		cmocka_unit_test(test_late_ones_have_a_part_of_it),
		cmocka_unit_test(test_slots_are_always_filled),
		cmocka_unit_test(test_others_take_the_mean_of_all),
		cmocka_unit_test(test_means_follow_a_change),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
