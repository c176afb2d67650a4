/* Arithmetic of the limit of requests at a target. */
#include "work.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <math.h>
#include <cmocka.h>

#define MS ((int64_t)NS_PER_MS)

static float limit(const struct service_work *w, uint8_t kind,
		   int64_t remaining_ns)
{
	struct policy policy = { .limit_percent = 100, .late_percent = 50 };
	struct work_query q = { kind, 3, 300 * MS, remaining_ns, 1 };

	return work_request_limit(w, &policy, &q);
}

static void record(struct service_work *w, uint8_t kind, int64_t service_ns,
		   uint32_t times)
{
	for (uint32_t i = 0; i < times; i++)
		work_record(w, kind, (uint64_t)service_ns);
}

/* Without a service time, measured or guessed, no request is queued. */
static void test_no_limit_before_the_first_answer_without_a_guess(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	assert_true(isinf(limit(&w, ROUTE_FEED, 300 * MS)));
	record(&w, ROUTE_REPORT, 50 * MS, 1);
	assert_true(isinf(limit(&w, ROUTE_FEED, 300 * MS)));
	assert_false(isinf(limit(&w, ROUTE_REPORT, 300 * MS)));
}

/* 25 % of 300 ms is 75 ms, which leaves 225 ms; (1 + 225 / 75) * 3 slots. */
static void test_guessed_service_time_before_the_first_answer(void **state)
{
	struct policy policy = { .limit_percent = 100, .guess_percent = 25 };
	struct work_query q = { ROUTE_FEED, 3, 300 * MS, 300 * MS, 1 };
	struct service_work w = { 0 };

	(void)state;
	assert_int_equal((int)work_request_limit(&w, &policy, &q), 12);
	q.objective_ns = q.remaining_ns = 0;
	assert_int_equal((int)work_request_limit(&w, &policy, &q), 3);
}

/* 300 ms less its own 50 ms leaves 5 * 50 ms; (1 + 5) * 3 slots. */
static void test_limit_is_what_meets_the_objective(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	record(&w, ROUTE_FEED, 50 * MS, 1);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 300 * MS), 18);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 200 * MS), 12);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 100 * MS), 6);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 50 * MS), 3);
}

/* A late request counts as a new one, with late_percent of the limit. */
static void test_late_request_gets_a_reduced_limit(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	record(&w, ROUTE_FEED, 50 * MS, 1);
	assert_int_equal((int)(limit(&w, ROUTE_FEED, 49 * MS) * 10), 105);
	assert_int_equal((int)(limit(&w, ROUTE_FEED, -900 * MS) * 10), 105);
}

/* A service time beyond the latency objective still allows all slots. */
static void test_limit_is_never_below_the_slots(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	record(&w, ROUTE_FEED, 800 * MS, 1);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 300 * MS), 3);
	assert_int_equal((int)limit(&w, ROUTE_FEED, 0), 3);
}

/*
 * Guards against reports that are queued although their target would answer in
 * time. Reports take longer than feeds, which are most of the requests ahead,
 * so the requests ahead must not be estimated by the report's own service time.
 */
static void test_requests_ahead_take_the_mean_of_all_kinds(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	record(&w, ROUTE_REPORT, 100 * MS, 4);
	record(&w, ROUTE_FEED, 20 * MS, 12);
	/* (1 + (300 - 100) / 40) * 3 slots. */
	assert_in_range((int)limit(&w, ROUTE_REPORT, 300 * MS), 17, 18);
	/* (1 + (300 - 20) / 40) * 3 slots. */
	assert_in_range((int)limit(&w, ROUTE_FEED, 300 * MS), 23, 24);
}

static void test_means_follow_a_changed_service_time(void **state)
{
	struct service_work w = { 0 };

	(void)state;
	record(&w, ROUTE_FEED, 20 * MS, 1000);
	assert_in_range(w.all.mean_ns, 19 * MS, 20 * MS);
	record(&w, ROUTE_FEED, 60 * MS, 100);
	assert_in_range(w.all.mean_ns, 57 * MS, 60 * MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_no_limit_before_the_first_answer_without_a_guess),
		cmocka_unit_test(
			test_guessed_service_time_before_the_first_answer),
		cmocka_unit_test(test_limit_is_what_meets_the_objective),
		cmocka_unit_test(test_late_request_gets_a_reduced_limit),
		cmocka_unit_test(test_limit_is_never_below_the_slots),
		cmocka_unit_test(
			test_requests_ahead_take_the_mean_of_all_kinds),
		cmocka_unit_test(test_means_follow_a_changed_service_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
