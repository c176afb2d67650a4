/* Load balancing at one entry when targets, entries or accounts fail. */
#include "balance_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define ROUNDS 400

/* Run a request, which must be admitted at once; return its target's index. */
static uint32_t run_request(struct fixture *f, uint64_t slow_target,
			    uint64_t slow_ms, enum outcome slow_outcome)
{
	struct decision r = fixture_submit(f, 0, 5000);
	bool is_slow = r.target == slow_target;

	assert_int_equal(r.verdict, VERDICT_ADMITTED);
	fixture_end_request(f, r.target, is_slow ? slow_outcome : OUTCOME_OK,
			    is_slow ? slow_ms : 20);
	fixture_drain(f);
	return fixture_target_index(r.target);
}

static uint32_t count_requests_at(struct fixture *f, uint32_t target,
				  uint32_t rounds, uint64_t slow_ms,
				  enum outcome outcome)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < rounds; i++)
		n += run_request(f, fixture_target_addr(target), slow_ms,
				 outcome) == target;
	return n;
}

/*
 * Guards against refusing callers while other targets are idle: after a shed,
 * the target has the fewest requests in flight, so the retry and new requests
 * would go to it again and be shed as well.
 */
static void target_gets_no_work_shortly_after_shed(void **state)
{
	struct fixture f;
	struct decision first;
	struct work retry;

	(void)state;
	fixture_init(&f, 3, 2, 100);
	first = fixture_submit(&f, 0, 5000);
	fixture_end_request(&f, first.target, OUTCOME_SHED, 1);
	retry = fixture_work(&f, 0, 5000);
	retry.avoid = first.target;
	assert_true(balance_take_retry(f.balancer, FIXTURE_VIP, f.now_ns));
	assert_int_not_equal(
		balance_submit(f.balancer, &retry, f.now_ns).target,
		first.target);
	for (uint32_t i = 1; i < 4; i++)
		assert_int_not_equal(fixture_submit(&f, i, 5000).target,
				     first.target);
	f.now_ns += NS_PER_S;
	assert_int_equal(fixture_submit(&f, 4, 5000).target, first.target);
	fixture_free(&f);
}

/*
 * Guards against sending work to a target that answers correctly but many times
 * more slowly than the others, which neither errors nor its own reports show.
 */
static void slow_target_is_ejected(void **state)
{
	struct fixture f;

	(void)state;
	fixture_init(&f, 6, 2, 100);
	count_requests_at(&f, 0, ROUNDS, 400, OUTCOME_OK);
	assert_true(fixture_target_stats(&f, 0).ejected);
	assert_int_equal(fixture_ejected_count(&f), 1);
	assert_true(count_requests_at(&f, 0, 60, 400, OUTCOME_OK) <= 1);
	fixture_free(&f);
}

/*
 * Guards against a permanent ejection: without trial requests nothing shows
 * that an ejected target has recovered, and it would get no work until the
 * entry restarts.
 */
static void recovered_target_is_readmitted(void **state)
{
	struct fixture f;

	(void)state;
	fixture_init(&f, 6, 2, 100);
	count_requests_at(&f, 0, 60, 20, OUTCOME_ERROR);
	assert_true(fixture_target_stats(&f, 0).ejected);
	f.now_ns += 60 * NS_PER_S;
	assert_true(count_requests_at(&f, 0, 60, 20, OUTCOME_OK) >= 5);
	assert_false(fixture_target_stats(&f, 0).ejected);
	fixture_free(&f);
}

/*
 * Guards against an outage by ejection: when a database behind all targets
 * stalls, each of them fails, and without a limit all would be ejected.
 */
static void at_most_a_third_is_ejected(void **state)
{
	struct fixture f;

	(void)state;
	fixture_init(&f, 6, 2, 100);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		struct decision r = fixture_submit(&f, 0, 5000);

		assert_int_equal(r.verdict, VERDICT_ADMITTED);
		fixture_end_request(&f, r.target, OUTCOME_ERROR, 20);
		assert_true(fixture_ejected_count(&f) <= 2);
	}
	assert_int_equal(fixture_ejected_count(&f), 2);
	fixture_free(&f);
}

/*
 * Each target has one request of another entry, and @own has one of this entry
 * as well. Target 0 always reports no request.
 */
static void report_loads(struct fixture *f, uint64_t own)
{
	for (uint32_t i = 0; i < 4; i++) {
		struct load_report r = { .running = 1 };

		r.running += fixture_target_addr(i) == own;
		if (!i)
			r.running = 0;
		balance_record_load(f->balancer, fixture_target_addr(i), &r,
				    f->now_ns);
	}
}

/*
 * Guards against overloading a target that always reports that it is idle: as
 * the least loaded it would be selected by all entries, although each knows of
 * its own requests there.
 */
static void target_with_wrong_reports_gets_no_extra_work(void **state)
{
	struct fixture f;
	uint32_t n = 0;

	(void)state;
	fixture_init(&f, 4, 2, 100);
	balance_set_entries(f.balancer, 2, 0);
	for (uint32_t i = 0; i < 80; i++) {
		struct decision r = fixture_submit(&f, 0, 5000);

		n += r.target == fixture_target_addr(0);
		f.now_ns += 50 * NS_PER_MS;
		report_loads(&f, r.target);
		fixture_end_request(&f, r.target, OUTCOME_OK, 10);
		fixture_drain(&f);
	}
	assert_true(fixture_target_stats(&f, 0).trust_milli < 500);
	assert_int_equal(fixture_target_stats(&f, 1).trust_milli, 1000);
	assert_in_range(n, 15, 35);
	fixture_free(&f);
}

/*
 * Guards against a burst of slow answers when a target is added: its caches are
 * empty, and with nothing in flight it would get the most work at once.
 */
static void new_target_gets_slow_start(void **state)
{
	struct fixture f;
	uint32_t n_in_slow_start;

	(void)state;
	fixture_init(&f, 4, 2, 100);
	f.services[0].n_targets = 3;
	fixture_apply_config(&f);
	f.services[0].n_targets = 4;
	fixture_apply_config(&f);
	n_in_slow_start = count_requests_at(&f, 3, 80, 20, OUTCOME_OK);
	assert_true(n_in_slow_start < 12);
	assert_true(n_in_slow_start > 0);
	f.now_ns += 20 * NS_PER_S;
	assert_in_range(count_requests_at(&f, 3, 80, 20, OUTCOME_OK), 18, 22);
	fixture_free(&f);
}

/*
 * Guards against sending new work to a draining target, or leaving work queued
 * for it: with full queues, first one target drains, then all do. Queues that
 * belong to targets, or are not rechecked after such a change, cause this.
 */
static void draining_target_gets_only_pinned_work(void **state)
{
	struct fixture f;
	struct work pinned;
	struct decision r;
	uint32_t handle;

	(void)state;
	fixture_init(&f, 2, 1, 100);
	fixture_submit(&f, 0, 5000);
	fixture_submit(&f, 1, 5000);
	assert_int_equal(fixture_submit(&f, 2, 5000).verdict, VERDICT_QUEUED);
	f.services[0].targets[0].state = TARGET_DRAINING;
	fixture_apply_config(&f);
	fixture_end_request(&f, fixture_target_addr(0), OUTCOME_OK, 20);
	assert_false(balance_next(f.balancer, f.now_ns, &handle, &r));
	pinned = fixture_work(&f, 3, 5000);
	pinned.pinned = fixture_target_addr(0);
	assert_int_equal(balance_submit(f.balancer, &pinned, f.now_ns).verdict,
			 VERDICT_ADMITTED);
	fixture_end_request(&f, fixture_target_addr(1), OUTCOME_OK, 20);
	assert_true(balance_next(f.balancer, f.now_ns, &handle, &r));
	assert_int_equal(handle, 2);
	assert_int_equal(r.target, fixture_target_addr(1));
	fixture_submit(&f, 4, 5000);
	f.services[0].targets[1].state = TARGET_DRAINING;
	fixture_apply_config(&f);
	assert_true(balance_next(f.balancer, f.now_ns, &handle, &r));
	assert_int_equal(handle, 4);
	assert_int_equal(r.reason, REFUSE_NO_TARGET);
	fixture_free(&f);
}

/*
 * Guards against overloading targets after half of the entries restart. A
 * restarted entry knows no request in flight; if it were limited only by the
 * requests that it has sent itself, each entry would fill every target.
 */
static void restarted_entries_do_not_overload_targets(void **state)
{
	uint32_t sum[15] = { 0 };

	(void)state;
	for (uint32_t rank = 0; rank < 8; rank++) {
		struct fixture f;

		fixture_init(&f, 15, 2, 100);
		balance_set_entries(f.balancer, 8, rank);
		for (uint32_t i = 0; i < 100; i++) {
			struct decision r = fixture_submit(&f, i, 5000);

			if (r.verdict == VERDICT_ADMITTED)
				sum[fixture_target_index(r.target)]++;
		}
		fixture_free(&f);
	}
	for (uint32_t i = 0; i < 15; i++)
		assert_in_range(sum[i], 2, 4);
}

/*
 * Guards against refusing callers while targets have idle slots: the fabric
 * sends one entry twice its part of the callers, and the shares of the others
 * remain unused.
 */
static void entry_above_its_share_uses_idle_slots(void **state)
{
	const struct load_report idle = { 0 };
	const struct load_report full = { .running = 2 };
	struct fixture f;
	uint32_t n_admitted = 0;

	(void)state;
	fixture_init(&f, 15, 2, 100);
	balance_set_entries(f.balancer, 8, 3);
	for (uint32_t i = 0; i < 15; i++)
		balance_record_load(f.balancer, fixture_target_addr(i),
				    i % 2 ? &idle : &full, f.now_ns);
	for (uint32_t i = 0; i < 20; i++)
		n_admitted +=
			fixture_submit(&f, i, 5000).verdict == VERDICT_ADMITTED;
	assert_in_range(n_admitted, 5, 7);
	fixture_free(&f);
}

/*
 * Guards against spending the retry budget on extra requests. Targets have no
 * queue; extra requests of two entries for the same idle slot arrive together,
 * one is shed and retried, again and again, when a shed pauses them for only
 * a few milliseconds.
 */
static void shed_extra_requests_back_off(void **state)
{
	struct fixture f;
	uint32_t sheds = 0;

	(void)state;
	fixture_init(&f, 1, 2, 100);
	balance_set_entries(f.balancer, 2, 0);
	assert_int_equal(fixture_submit(&f, 0, 5000).verdict, VERDICT_ADMITTED);
	for (uint32_t i = 0; i < 50; i++) {
		if (fixture_submit(&f, 1, 5000).verdict == VERDICT_ADMITTED) {
			fixture_end_request(&f, fixture_target_addr(0),
					    OUTCOME_SHED, 1);
			sheds++;
		}
		balance_cancel(f.balancer, 1);
		f.now_ns += 40 * NS_PER_MS;
	}
	assert_in_range(sheds, 2, 4);
	fixture_free(&f);
}

/*
 * Guards against starving a small client account while a large one with the
 * same targets floods its queue, as one queue in order of arrival would.
 */
static void flooding_account_does_not_starve_others(void **state)
{
	struct fixture f;
	uint32_t n_light = 0;

	(void)state;
	fixture_init(&f, 1, 1, 500);
	fixture_add_account(&f, 100);
	for (uint32_t i = 0; i < 300; i++)
		fixture_submit(&f, i, 60000);
	for (uint32_t i = 300; i < 310; i++) {
		struct work w = fixture_work(&f, i, 60000);

		w.vip = fixture_vip(1);
		assert_int_equal(
			balance_submit(f.balancer, &w, f.now_ns).verdict,
			VERDICT_QUEUED);
	}
	for (uint32_t i = 0; i < 24; i++) {
		struct decision r;
		uint32_t handle;

		fixture_end_request(&f, fixture_target_addr(0), OUTCOME_OK, 20);
		assert_true(balance_next(f.balancer, f.now_ns, &handle, &r));
		n_light += handle >= 300;
	}
	assert_int_equal(n_light, 10);
	fixture_free(&f);
}

/*
 * Guards against a second load spike when many callers are refused: with one
 * Max-Age that doesn't depend on their number, all would retry together.
 */
static void retry_times_of_refused_callers_are_spread(void **state)
{
	struct fixture f;
	uint32_t seen[128] = { 0 };
	uint32_t most = 0;
	uint32_t last = 0;

	(void)state;
	fixture_init(&f, 1, 1, 5);
	fixture_submit(&f, 0, 5000);
	for (uint32_t i = 1; i < 6; i++)
		fixture_submit(&f, i, 5000);
	for (uint32_t i = 0; i < 5; i++) {
		fixture_end_request(&f, fixture_target_addr(0), OUTCOME_OK,
				    100);
		fixture_drain(&f);
		fixture_submit(&f, 10 + i, 5000);
	}
	for (uint32_t i = 0; i < 200; i++) {
		struct decision r = fixture_submit(&f, 100, 5000);

		assert_int_equal(r.verdict, VERDICT_REFUSED);
		seen[r.retry_after_s]++;
		last = r.retry_after_s > last ? r.retry_after_s : last;
	}
	for (uint32_t i = 0; i < 128; i++)
		most = seen[i] > most ? seen[i] : most;
	assert_true(most < 40);
	assert_true(last >= 15);
	fixture_free(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(target_gets_no_work_shortly_after_shed),
		cmocka_unit_test(slow_target_is_ejected),
		cmocka_unit_test(recovered_target_is_readmitted),
		cmocka_unit_test(at_most_a_third_is_ejected),
		cmocka_unit_test(target_with_wrong_reports_gets_no_extra_work),
		cmocka_unit_test(new_target_gets_slow_start),
		cmocka_unit_test(draining_target_gets_only_pinned_work),
		cmocka_unit_test(restarted_entries_do_not_overload_targets),
		cmocka_unit_test(entry_above_its_share_uses_idle_slots),
		cmocka_unit_test(shed_extra_requests_back_off),
		cmocka_unit_test(flooding_account_does_not_starve_others),
		cmocka_unit_test(retry_times_of_refused_callers_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
