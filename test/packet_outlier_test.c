/* Targets that open flows and fail their requests. */
#include "packet_bed.h"

#include "outlier.h"
#include "place.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)
#define TARGETS 6
#define ANSWER_BYTES 800
#define ERROR_BYTES 210

static void open_bed(struct bed *b)
{
	bed_open(b);
	for (uint32_t i = 1; i <= TARGETS; i++)
		bed_target(b, i, SERVICE, ZONE);
}

/* Reports on flows of their own, 30 ms apart. Target @fails answers with
 * @error_bytes. Return: how many it got. */
static uint32_t reports(struct bed *b, uint32_t first, uint32_t n,
			uint64_t fails, uint32_t error_bytes)
{
	uint32_t got = 0;

	for (uint32_t i = first; i < first + n; i++) {
		struct path_verdict v =
			bed_open_flow(b, CALLER + i, REPORT_VIP);
		bool here = v.target->news.id == fails;

		got += here;
		bed_data(b, CALLER + i, REPORT_VIP, v.target->cookie, 2, 1,
			 900);
		b->now_ns += 10 * MS;
		bed_data(b, CALLER + i, REPORT_VIP, v.target->cookie, 3,
			 1 + (here ? error_bytes : ANSWER_BYTES), 0);
		bed_advance(b, 20 * MS);
	}
	return got;
}

/*
 * Symptom: every sixth report fails for as long as one of six targets does, and
 * more than every sixth where requests are many. Sequence: a target answers
 * each request at once with an error; its connections and its health are good.
 * Cause: only silence counted against a target, and one that fails fast is
 * always the least loaded.
 */
static void test_target_that_answers_with_errors_gets_no_new_flows(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	reports(&b, 0, 60, 1, ANSWER_BYTES);
	reports(&b, 60, 60, 1, ERROR_BYTES);
	assert_int_equal(b.n_ejected, 1);
	assert_int_equal(b.ejected[0], 1);
	assert_int_equal(reports(&b, 120, 60, 1, ERROR_BYTES), 0);
	bed_close(&b);
}

/*
 * Symptom: reports wait out their deadlines. Sequence: a target takes requests
 * and does not answer, or resets their flows; a connection attempt finds it
 * alive. Cause: the connection attempt cleared the doubt each time.
 */
static void test_target_that_does_not_answer_gets_no_new_flows(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	for (uint32_t i = 0; i < 8; i++)
		bed_data(&b, CALLER + i, REPORT_VIP, target_cookie(1), 2, 1,
			 900);
	bed_advance(&b, 500 * MS);
	assert_int_equal(b.n_probes, 1);
	bed_end_probes(&b, 1, PROBE_OPEN);
	assert_int_equal(directory_by_id(b.directory, 1)->health, HEALTH_GOOD);
	assert_int_equal(b.n_ejected, 1);
	assert_int_equal(b.ejected[0], 1);
	bed_close(&b);
}

/* Under overload all are late: nobody stands out. */
static void test_overload_ejects_nobody(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	for (uint32_t round = 0; round < 20; round++) {
		for (uint32_t i = 1; i <= TARGETS; i++)
			outlier_failed(directory_by_id(b.directory, i),
				       &policy_usual, b.now_ns);
		bed_advance(&b, 100 * MS);
	}
	assert_int_equal(b.n_ejected, 0);
	bed_close(&b);
}

/*
 * Symptom: on a calm day a few good targets are out of use for seconds.
 * Sequence: feeds have small answers now and then; one target happens to have
 * five in two seconds. Cause: chance was not told from failure.
 */
static void test_chance_ejects_nobody(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	for (uint32_t i = 1; i <= TARGETS; i++)
		directory_by_id(b.directory, i)->peers_failures = 1.2f;
	directory_by_id(b.directory, 2)->peers_failures = 6;
	bed_advance(&b, 200 * MS);
	assert_int_equal(b.n_ejected, 0);
	directory_by_id(b.directory, 2)->peers_failures = 10;
	bed_advance(&b, 200 * MS);
	assert_int_equal(b.n_ejected, 1);
	bed_close(&b);
}

static void fail_much(struct bed *b, uint64_t id)
{
	for (uint32_t i = 0; i < 20; i++)
		outlier_failed(directory_by_id(b->directory, id), &policy_usual,
			       b->now_ns);
}

/*
 * Symptom: the last good targets are refused work and then overloaded.
 * Sequence: one after the other is ejected. Cause: no bound on their number.
 */
static void test_a_third_is_ejected_at_most(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	for (uint64_t id = 1; id <= 4; id++) {
		fail_much(&b, id);
		bed_advance(&b, 200 * MS);
	}
	assert_int_equal(b.n_ejected, TARGETS / 3);
	bed_close(&b);
}

/* Of @n flows, how many @t gets; load apart. */
static uint32_t placed(struct bed *b, uint32_t n, const struct target *t)
{
	struct place_query q = {
		.policy = &policy_usual,
		.service = t->news.service,
		.zone = t->news.zone,
		.kind = ROUTE_REPORT,
		.now_ns = b->now_ns,
	};
	struct rng rng = { 3 };
	uint32_t got = 0;

	for (uint32_t i = 0; i < n; i++)
		got += place_target(b->directory, &q, &rng) == t;
	return got;
}

/*
 * Symptom: each time that a failing target is tried again, dozens of reports
 * fail. Sequence: all entries' ejections end together, and the target is idle.
 * Cause: it got its whole share, and more, before its failures showed again.
 */
static void test_on_trial_it_gets_few_flows(void **state)
{
	struct bed b;
	struct target *t;

	(void)state;
	open_bed(&b);
	t = directory_by_id(b.directory, 1);
	fail_much(&b, 1);
	bed_advance(&b, 200 * MS);
	assert_int_equal(b.n_ejected, 1);
	b.now_ns = t->ejected_until_ns + MS;
	assert_true(outlier_on_trial(t, &policy_usual, b.now_ns));
	/* Of 1,200 an even share is 200. */
	assert_in_range(placed(&b, 1200, t), 20, 60);
	b.now_ns += 3 * NS_PER_S;
	assert_false(outlier_on_trial(t, &policy_usual, b.now_ns));
	assert_in_range(placed(&b, 1200, t), 140, 260);
	bed_close(&b);
}

/* Two failures are enough on trial, and it stays away for twice as long. */
static void test_failing_again_ejects_for_longer(void **state)
{
	struct bed b;
	struct target *t;
	uint64_t first_ns, second_ns;

	(void)state;
	open_bed(&b);
	t = directory_by_id(b.directory, 1);
	fail_much(&b, 1);
	bed_advance(&b, 200 * MS);
	first_ns = t->ejected_until_ns - b.now_ns;
	b.now_ns = t->ejected_until_ns + MS;
	outlier_failed(t, &policy_usual, b.now_ns);
	outlier_failed(t, &policy_usual, b.now_ns);
	outlier_failed(t, &policy_usual, b.now_ns);
	bed_advance(&b, 100 * MS);
	assert_int_equal(b.n_ejected, 2);
	second_ns = t->ejected_until_ns - b.now_ns;
	assert_in_range(second_ns, first_ns + NS_PER_S, 3 * first_ns);
	bed_close(&b);
}

/* One entry of many sees a request in seconds at each target. */
static void test_what_peers_saw_counts(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	directory_by_id(b.directory, 3)->peers_failures = 6;
	bed_advance(&b, 200 * MS);
	assert_int_equal(b.n_ejected, 1);
	assert_int_equal(b.ejected[0], 3);
	bed_close(&b);
}

/* Kinds are told apart: the usual answer to an upload is small. */
static void test_small_is_small_for_its_kind(void **state)
{
	struct answer_sizes s = { 0 };

	(void)state;
	for (uint32_t i = 0; i < 50; i++) {
		assert_false(
			outlier_small(&s, &policy_usual, ROUTE_FEED, 2400));
		assert_false(
			outlier_small(&s, &policy_usual, ROUTE_UPLOAD, 500));
	}
	assert_true(outlier_small(&s, &policy_usual, ROUTE_FEED, 500));
	assert_true(outlier_small(&s, &policy_usual, ROUTE_UPLOAD, 211));
	assert_false(outlier_small(&s, &policy_usual, ROUTE_UPLOAD, 500));
	assert_true(outlier_small(&s, &policy_usual, ROUTE_UPLOAD, 190));
}

static void test_failures_are_forgotten(void **state)
{
	struct bed b;
	struct target *t;

	(void)state;
	open_bed(&b);
	t = directory_by_id(b.directory, 1);
	fail_much(&b, 1);
	assert_true(outlier_failures(t, &policy_usual, b.now_ns) > 19.9f);
	assert_true(outlier_failures(t, &policy_usual,
				     b.now_ns + 10 * NS_PER_S) < 0.2f);
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_target_that_answers_with_errors_gets_no_new_flows),
		cmocka_unit_test(
			test_target_that_does_not_answer_gets_no_new_flows),
		cmocka_unit_test(test_overload_ejects_nobody),
		cmocka_unit_test(test_chance_ejects_nobody),
		cmocka_unit_test(test_a_third_is_ejected_at_most),
		cmocka_unit_test(test_on_trial_it_gets_few_flows),
		cmocka_unit_test(test_failing_again_ejects_for_longer),
		cmocka_unit_test(test_what_peers_saw_counts),
		cmocka_unit_test(test_small_is_small_for_its_kind),
		cmocka_unit_test(test_failures_are_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
