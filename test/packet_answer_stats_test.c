/* Sizes of answers and times to them, by service and kind. */
#include "packet_bed.h"

#include "answer_stats.h"
#include "outlier.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)
#define SMALL_BYTES 500
#define LARGE_BYTES 20000

/* Guards against normal answers to uploads that count as errors: they are far
 * smaller than those of feeds. */
static void test_answer_size_is_compared_within_its_kind(void **state)
{
	struct answer_stats *s = answer_stats_new(&policy_default);

	(void)state;
	for (uint32_t i = 0; i < 50; i++) {
		assert_false(answer_stats_record_size(s, 0, ROUTE_FEED, 2400,
						      false));
		assert_false(answer_stats_record_size(s, 0, ROUTE_UPLOAD, 500,
						      false));
	}
	assert_true(answer_stats_record_size(s, 0, ROUTE_FEED, 500, false));
	assert_true(answer_stats_record_size(s, 0, ROUTE_UPLOAD, 211, false));
	assert_false(answer_stats_record_size(s, 0, ROUTE_UPLOAD, 500, false));
	assert_true(answer_stats_record_size(s, 0, ROUTE_UPLOAD, 190, false));
	answer_stats_free(s);
}

/* Guards against small answers of one service that count as errors beside the
 * large ones of another. */
static void test_answer_size_is_compared_within_its_service(void **state)
{
	struct answer_stats *s = answer_stats_new(&policy_default);

	(void)state;
	for (uint32_t i = 0; i < 50; i++) {
		assert_false(answer_stats_record_size(s, 0, ROUTE_FEED,
						      LARGE_BYTES, false));
		assert_false(answer_stats_record_size(s, 1, ROUTE_FEED,
						      SMALL_BYTES, false));
	}
	assert_true(
		answer_stats_record_size(s, 0, ROUTE_FEED, SMALL_BYTES, false));
	answer_stats_free(s);
}

/* A log-normal size with a deviation of 0.6 of its logarithm, mean 1,000. */
static uint32_t draw_size(struct rng *rng)
{
	double u = 0;

	for (uint32_t i = 0; i < 12; i++)
		u += (double)(rng_next(rng) >> 11) / (double)(1ULL << 53);
	return (uint32_t)(835 * exp(0.6 * (u - 6)));
}

/* Guards against good targets that are ejected since the sizes of good answers
 * vary: 15 in 100 are below the part of the mean that counts as small. */
static void test_sizes_that_vary_are_no_failures(void **state)
{
	struct answer_stats *s = answer_stats_new(&policy_default);
	struct rng rng = { 5 };
	uint32_t small = 0, small_by_mean = 0;

	(void)state;
	for (uint32_t i = 0; i < 4000; i++) {
		uint32_t bytes = draw_size(&rng);

		small +=
			answer_stats_record_size(s, 0, ROUTE_FEED, bytes, true);
		small_by_mean += answer_stats_record_size(s, 1, ROUTE_FEED,
							  bytes, false);
	}
	assert_in_range(small, 1, 4000 * 4 / 100);
	assert_in_range(small_by_mean, 4000 * 10 / 100, 4000);
	answer_stats_free(s);
}

/* Guards against errors that pass as good answers once there are many: half of
 * all answers fail here. */
static void test_errors_stay_far_smaller_than_usual(void **state)
{
	struct answer_stats *s = answer_stats_new(&policy_default);
	struct rng rng = { 5 };
	uint32_t errors = 0;

	(void)state;
	for (uint32_t i = 0; i < 200; i++)
		answer_stats_record_size(s, 0, ROUTE_FEED, draw_size(&rng),
					 true);
	for (uint32_t i = 0; i < 100; i++) {
		answer_stats_record_size(s, 0, ROUTE_FEED, draw_size(&rng),
					 true);
		errors += answer_stats_record_size(s, 0, ROUTE_FEED, 100, true);
	}
	assert_in_range(errors, 90, 100);
	answer_stats_free(s);
}

/* Guards against deadlines for the requests of one service that follow from the
 * answer times of another. */
static void test_times_are_kept_by_service_and_kind(void **state)
{
	struct answer_stats *s = answer_stats_new(&policy_default);
	uint64_t first_ns = answer_stats_time_ns(s, 1, ROUTE_FEED);

	(void)state;
	for (uint32_t i = 0; i < 300; i++) {
		answer_stats_record_time(s, 0, ROUTE_FEED, 50 * MS);
		answer_stats_record_time(s, 0, ROUTE_REPORT, 5 * MS);
	}
	assert_in_range(answer_stats_time_ns(s, 0, ROUTE_FEED), 49 * MS,
			51 * MS);
	assert_in_range(answer_stats_time_ns(s, 0, ROUTE_REPORT), 4 * MS,
			6 * MS);
	assert_int_equal(answer_stats_time_ns(s, 1, ROUTE_FEED), first_ns);
	answer_stats_free(s);
}

/* Guards against overdue requests before anything is known: the deadline is then
 * the longest. */
static void test_first_deadline_is_the_longest(void **state)
{
	struct answer_stats *s = answer_stats_new(&policy_default);

	(void)state;
	assert_int_equal(answer_stats_time_ns(s, 0, ROUTE_FEED) *
				 policy_default.request_due_means,
			 policy_default.request_due_max_ns);
	answer_stats_free(s);
}

/* Reports of two services. */
static void open_bed(struct bed *b, uint8_t load_control)
{
	static struct policy policy;
	struct route_table *t;

	policy = policy_default;
	policy.load_control = load_control;
	bed_open_with(b, &policy);
	t = bed_table(b, 2);
	t->routes[2].kind = ROUTE_REPORT;
	directory_set_routes(b->directory, t, b->now_ns);
	bed_target(b, 1, SERVICE, ZONE);
	bed_target(b, 2, OTHER_SERVICE, ZONE);
}

static void send_report(struct bed *b, uint64_t caller, uint64_t vip,
			uint32_t answer_bytes)
{
	struct path_verdict v = bed_open_flow(b, caller, vip);

	bed_data(b, caller, vip, v.target->cookie, 2, 1, 100);
	b->now_ns += 10 * MS;
	bed_data(b, caller, vip, v.target->cookie, 3, 1 + answer_bytes, 0);
}

static float failures_of_mixed_services(uint8_t load_control)
{
	struct bed b;
	float failures;

	open_bed(&b, load_control);
	for (uint32_t i = 0; i < 20; i++) {
		send_report(&b, CALLER + 2 * i, REPORT_VIP, SMALL_BYTES);
		send_report(&b, CALLER + 2 * i + 1, OTHER_VIP, LARGE_BYTES);
	}
	failures = directory_by_id(b.directory, 1)->failures;
	bed_close(&b);
	return failures;
}

/* Guards against good targets that count as failing since another service gives
 * larger answers to the same kind; without load control nothing changes. */
static void test_sizes_at_another_service_do_not_matter(void **state)
{
	(void)state;
	assert_true(failures_of_mixed_services(LOAD_CONTROL_ON) <= 0);
	assert_true(failures_of_mixed_services(LOAD_CONTROL_AUTO) > 1);
}

/* Guards against good targets that are ejected since a route of the same service
 * and kind always has short answers. */
static void test_sizes_of_another_route_do_not_matter(void **state)
{
	struct route_table *t;
	struct bed b;

	(void)state;
	open_bed(&b, LOAD_CONTROL_ON);
	t = bed_table(&b, 3);
	t->routes[2].kind = ROUTE_REPORT;
	t->routes[2].shares[0].service = t->routes[1].shares[0].service;
	directory_set_routes(b.directory, t, b.now_ns);
	for (uint32_t i = 0; i < 100; i++)
		send_report(&b, CALLER + i, i % 10 ? OTHER_VIP : REPORT_VIP,
			    i % 10 ? LARGE_BYTES : SMALL_BYTES);
	assert_true(directory_by_id(b.directory, 1)->failures <= 0);
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answer_size_is_compared_within_its_kind),
		cmocka_unit_test(
			test_answer_size_is_compared_within_its_service),
		cmocka_unit_test(test_sizes_that_vary_are_no_failures),
		cmocka_unit_test(test_errors_stay_far_smaller_than_usual),
		cmocka_unit_test(test_times_are_kept_by_service_and_kind),
		cmocka_unit_test(test_first_deadline_is_the_longest),
		cmocka_unit_test(test_sizes_at_another_service_do_not_matter),
		cmocka_unit_test(test_sizes_of_another_route_do_not_matter),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
