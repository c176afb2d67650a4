/* Comparison of the records of callers with the run logs of targets. */
#include "tally.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

#define RUN(id, service)                   \
	{                                  \
		id, 1000, service, "t1", 0 \
	}

static struct tally compare(const struct call_record *calls, uint32_t n_calls,
			    const struct run_record *runs, uint32_t n_runs)
{
	struct tally t;

	assert_int_equal(tally_compare(calls, n_calls, runs, n_runs, &t), 0);
	return t;
}

static void clean_run_passes(void **state)
{
	const struct call_record calls[] = {
		{ .id = 1,
		  .kind = CALL_REPORT,
		  .end = CALL_ANSWERED,
		  .answer_id = 1,
		  .answer_service = "live" },
		{ .id = 2,
		  .kind = CALL_READINGS,
		  .end = CALL_ANSWERED,
		  .answer_id = 2,
		  .answer_service = "ingest" },
		{ .id = 3, .kind = CALL_FORECAST, .end = CALL_REFUSED },
		{ .id = 4, .kind = CALL_REPORT, .end = CALL_UNKNOWN },
	};
	const struct run_record runs[] = { RUN(2, "ingest"), RUN(1, "live"),
					   RUN(4, "live"), RUN(9, "live") };
	struct tally t = compare(calls, 4, runs, 4);

	(void)state;
	assert_true(tally_is_clean(&t));
	assert_int_equal(t.sum.requests, 4);
	assert_int_equal(t.sum.answered, 2);
	assert_int_equal(t.sum.refused, 1);
	assert_int_equal(t.sum.unknown, 1);
	assert_int_equal(t.unknown_runs, 1);
}

/*
 * Two entries send a report to different targets: it runs twice, although its
 * caller gets one answer. A forecast that runs twice is no fault, since GET is
 * idempotent.
 */
static void report_that_ran_twice_is_doubled(void **state)
{
	const struct call_record calls[] = {
		{ .id = 1, .kind = CALL_REPORT, .end = CALL_ANSWERED },
		{ .id = 2, .kind = CALL_FORECAST, .end = CALL_ANSWERED },
	};
	const struct run_record runs[] = { RUN(1, "live"), RUN(2, "live"),
					   RUN(1, "live"), RUN(2, "live") };
	struct tally t = compare(calls, 2, runs, 4);

	(void)state;
	assert_int_equal(t.sum.doubled, 1);
	assert_int_equal(tally_weighted_ventolario(&t), 2);
	assert_int_equal(tally_weighted_tshwane(&t), 1);
	assert_false(tally_is_clean(&t));
}

/* The balancer refuses a request as not run after a target has started it. */
static void refused_report_that_ran_fails_the_run(void **state)
{
	const struct call_record call = { .id = 1,
					  .kind = CALL_REPORT,
					  .end = CALL_REFUSED };
	const struct run_record run = RUN(1, "live");
	struct tally t = compare(&call, 1, &run, 1);

	(void)state;
	assert_int_equal(t.sum.false_not_run, 1);
	assert_int_equal(tally_weighted_ventolario(&t), 2);
	assert_false(tally_is_clean(&t));
}

/*
 * A report runs at the ingest service, a caller gets the answer of another
 * request, or a service of another name answers. This happens when a token is
 * in use for two requests, or an entry routes by an outdated list of addresses.
 */
static void answers_and_runs_of_wrong_service_are_misrouted(void **state)
{
	const struct call_record calls[] = {
		{ .id = 1, .kind = CALL_REPORT, .end = CALL_ANSWERED },
		{ .id = 2,
		  .kind = CALL_REPORT,
		  .end = CALL_ANSWERED,
		  .answer_id = 1 },
		{ .id = 3,
		  .kind = CALL_READINGS,
		  .end = CALL_ANSWERED,
		  .answer_id = 3,
		  .answer_service = "live" },
		{ .id = 4,
		  .kind = CALL_FEED,
		  .end = CALL_ANSWERED,
		  .mismatched = 1 },
	};
	const struct run_record run = RUN(1, "ingest");
	struct tally t = compare(calls, 4, &run, 1);

	(void)state;
	assert_int_equal(t.sum.misrouted, 4);
	assert_false(tally_is_clean(&t));
}

/*
 * A request without an answer, a truncated upload and a stalled feed: each one
 * fails the run by itself. The total of broken flows counts feeds only.
 */
static void lost_cut_and_stalled_requests_fail_the_run(void **state)
{
	const struct call_record lost = { .id = 1,
					  .kind = CALL_REPORT,
					  .end = CALL_LOST };
	const struct call_record open = { .id = 1,
					  .kind = CALL_FORECAST,
					  .end = CALL_OPEN };
	const struct call_record cut = { .id = 1,
					 .kind = CALL_READINGS,
					 .end = CALL_CUT };
	const struct call_record stalled = {
		.id = 1, .kind = CALL_FEED, .end = CALL_ANSWERED, .stalled = 1
	};
	struct tally t = compare(&lost, 1, NULL, 0);

	(void)state;
	assert_int_equal(t.sum.lost, 1);
	assert_int_equal(t.sum.broken, 0);
	assert_int_equal(t.kind[CALL_REPORT].broken, 1);
	assert_false(tally_is_clean(&t));
	t = compare(&open, 1, NULL, 0);
	assert_int_equal(t.sum.lost, 1);
	t = compare(&cut, 1, NULL, 0);
	assert_int_equal(t.sum.cut, 1);
	assert_false(tally_is_clean(&t));
	t = compare(&stalled, 1, NULL, 0);
	assert_int_equal(t.sum.broken, 1);
	assert_false(tally_is_clean(&t));
}

static void truncated_lines_and_answers_are_refused(void **state)
{
	struct run_record r;
	char service[SERVICE_MAX_BYTES];
	uint64_t id;

	(void)state;
	assert_int_equal(
		run_record_parse("run 00000000000000ff live /report POST "
				 "t1 77\n",
				 &r),
		0);
	assert_int_equal(r.id, 0xff);
	assert_int_equal(r.at_ms, 77);
	assert_string_equal(r.service, "live");
	assert_string_equal(r.target, "t1");
	/*
	 * A target that is killed while it writes leaves a line without an end.
	 */
	assert_true(
		run_record_parse("run 00000000000000ff live /report POST t1 7",
				 &r) < 0);
	assert_true(run_record_parse("target t1 live\n", &r) < 0);
	assert_int_equal(answer_parse("00000000000000ff live t1 3", 26, &id,
				      service),
			 0);
	assert_int_equal(id, 0xff);
	assert_true(answer_parse("00000000000000ff live t1 3", 24, &id,
				 service) < 0);
	assert_true(answer_parse(NULL, 0, &id, service) < 0);
}

/*
 * One of two targets gets all requests, and the log of the other is empty. The
 * mean has to include targets without runs; otherwise the imbalance would be
 * 1.0, which means even.
 */
static void imbalance_includes_idle_targets(void **state)
{
	struct run_record runs[40];
	const uint8_t live[] = { 1, 1, 0 };
	uint32_t windows;
	double r;

	(void)state;
	for (uint32_t i = 0; i < 40; i++)
		runs[i] = (struct run_record){ i, 1000 + i, "live", "t", 0 };
	r = tally_imbalance(runs, 40, "live", live, 3, &windows);
	assert_int_equal(windows, 1);
	assert_true(r == 2.0);
	for (uint32_t i = 0; i < 40; i++)
		runs[i].log = i % 2;
	r = tally_imbalance(runs, 40, "live", live, 3, &windows);
	assert_true(r == 1.0);
	/* Too few runs for a result. */
	r = tally_imbalance(runs, 10, "live", live, 3, &windows);
	assert_int_equal(windows, 0);
	assert_true(r == 0.0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(clean_run_passes),
		cmocka_unit_test(report_that_ran_twice_is_doubled),
		cmocka_unit_test(refused_report_that_ran_fails_the_run),
		cmocka_unit_test(
			answers_and_runs_of_wrong_service_are_misrouted),
		cmocka_unit_test(lost_cut_and_stalled_requests_fail_the_run),
		cmocka_unit_test(truncated_lines_and_answers_are_refused),
		cmocka_unit_test(imbalance_includes_idle_targets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
