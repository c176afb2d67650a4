/* What one entry does when targets, entries or client accounts misbehave. */
#include "balance_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define ROUNDS 400

/* Submit one request that goes at once, end it and return its target. */
static uint32_t one_request(struct fixture *f, uint64_t slow_target,
			    uint64_t slow_ms, enum outcome slow_outcome)
{
	struct decision r = fixture_submit(f, 0, 5000);
	bool slow = r.target == slow_target;

	assert_int_equal(r.verdict, VERDICT_ADMITTED);
	fixture_done(f, r.target, slow ? slow_outcome : OUTCOME_OK,
		     slow ? slow_ms : 20);
	fixture_drain(f);
	return fixture_index(r.target);
}

static uint32_t count_at(struct fixture *f, uint32_t target, uint32_t rounds,
			 uint64_t slow_ms, enum outcome outcome)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < rounds; i++)
		n += one_request(f, fixture_target(target), slow_ms, outcome) ==
		     target;
	return n;
}

/*
 * Symptom: callers are refused although other targets stand idle.
 * Sequence: a target sheds a request, the retry and new requests go to it
 * again, since it has the fewest in flight, and are shed as well.
 * Cause: a shed makes a target look idle unless it is remembered.
 */
static void shedding_target_is_left_alone(void **state)
{
	struct fixture f;
	struct decision first;
	struct work retry;

	(void)state;
	fixture_open(&f, 3, 2, 100);
	first = fixture_submit(&f, 0, 5000);
	fixture_done(&f, first.target, OUTCOME_SHED, 1);
	retry = fixture_work(&f, 0, 5000);
	retry.avoid = first.target;
	assert_true(balance_take_retry(f.b, FIXTURE_VIP, f.now_ns));
	assert_int_not_equal(balance_submit(f.b, &retry, f.now_ns).target,
			     first.target);
	for (uint32_t i = 1; i < 4; i++)
		assert_int_not_equal(fixture_submit(&f, i, 5000).target,
				     first.target);
	f.now_ns += NS_PER_S;
	assert_int_equal(fixture_submit(&f, 4, 5000).target, first.target);
	fixture_close(&f);
}

/*
 * Symptom: one caller in three waits ten times longer, health is green.
 * Sequence: a target goes on answering, but slowly; it is chosen as before.
 * Cause: health is judged by errors and by the target's own word alone.
 */
static void crawling_target_is_ejected(void **state)
{
	struct fixture f;

	(void)state;
	fixture_open(&f, 6, 2, 100);
	count_at(&f, 0, ROUNDS, 400, OUTCOME_OK);
	assert_true(fixture_stats(&f, 0).ejected);
	assert_int_equal(fixture_ejected(&f), 1);
	assert_true(count_at(&f, 0, 60, 400, OUTCOME_OK) <= 1);
	fixture_close(&f);
}

/*
 * Symptom: a target that was mended gets no work until the entry restarts.
 * Sequence: it is ejected, then answers well again.
 * Cause: nothing is sent to it, so nothing shows that it is well.
 */
static void mended_target_comes_back(void **state)
{
	struct fixture f;

	(void)state;
	fixture_open(&f, 6, 2, 100);
	count_at(&f, 0, 60, 20, OUTCOME_ERROR);
	assert_true(fixture_stats(&f, 0).ejected);
	f.now_ns += 60 * NS_PER_S;
	assert_true(count_at(&f, 0, 60, 20, OUTCOME_OK) >= 5);
	assert_false(fixture_stats(&f, 0).ejected);
	fixture_close(&f);
}

/*
 * Symptom: the whole service is refused after a fault behind all its targets.
 * Sequence: a database behind them stalls; every target fails every request;
 * one after the other is ejected.
 * Cause: ejection without a limit turns a partial fault into an outage.
 */
static void most_targets_are_kept(void **state)
{
	struct fixture f;

	(void)state;
	fixture_open(&f, 6, 2, 100);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		struct decision r = fixture_submit(&f, 0, 5000);

		assert_int_equal(r.verdict, VERDICT_ADMITTED);
		fixture_done(&f, r.target, OUTCOME_ERROR, 20);
		assert_true(fixture_ejected(&f) <= 2);
	}
	assert_int_equal(fixture_ejected(&f), 2);
	fixture_close(&f);
}

/* Every target has one request of another entry; target 0 denies all. */
static void tell_loads(struct fixture *f, uint64_t own)
{
	for (uint32_t i = 0; i < 4; i++) {
		struct load_report r = { .running = 1 };

		r.running += fixture_target(i) == own;
		if (!i)
			r.running = 0;
		balance_record_load(f->b, fixture_target(i), &r, f->now_ns);
	}
}

/*
 * Symptom: one target has far more work than the others, its callers wait.
 * Sequence: its load endpoint always says idle; as the least loaded it is
 * chosen by every entry, each time.
 * Cause: reports believed against what the entry itself has there.
 */
static void lying_target_gets_its_part_only(void **state)
{
	struct fixture f;
	uint32_t n = 0;

	(void)state;
	fixture_open(&f, 4, 2, 100);
	balance_set_entries(f.b, 2, 0);
	for (uint32_t i = 0; i < 80; i++) {
		struct decision r = fixture_submit(&f, 0, 5000);

		n += r.target == fixture_target(0);
		f.now_ns += 50 * NS_PER_MS;
		tell_loads(&f, r.target);
		fixture_done(&f, r.target, OUTCOME_OK, 10);
		fixture_drain(&f);
	}
	assert_true(fixture_stats(&f, 0).trust_milli < 500);
	assert_int_equal(fixture_stats(&f, 1).trust_milli, 1000);
	assert_in_range(n, 15, 35);
	fixture_close(&f);
}

/*
 * Symptom: a burst of slow answers each time a target is added.
 * Sequence: a target joins with empty caches; as the one with nothing in
 * flight it is at once given the most work.
 * Cause: a new target is treated as if it were warm.
 */
static void cold_target_starts_slowly(void **state)
{
	struct fixture f;
	uint32_t at_first;

	(void)state;
	fixture_open(&f, 4, 2, 100);
	f.services[0].n_targets = 3;
	fixture_config(&f);
	f.services[0].n_targets = 4;
	fixture_config(&f);
	at_first = count_at(&f, 3, 80, 20, OUTCOME_OK);
	assert_true(at_first < 12);
	assert_true(at_first > 0);
	f.now_ns += 20 * NS_PER_S;
	assert_in_range(count_at(&f, 3, 80, 20, OUTCOME_OK), 18, 22);
	fixture_close(&f);
}

/*
 * Symptom: work reaches a target that is leaving, or waits for it in vain.
 * Sequence: at the hour, with full queues, a target drains; later all do.
 * Cause: queues that belong to targets, or that are not looked at again.
 */
static void draining_target_gets_pinned_work_only(void **state)
{
	struct fixture f;
	struct work pinned;
	struct decision r;
	uint32_t handle;

	(void)state;
	fixture_open(&f, 2, 1, 100);
	fixture_submit(&f, 0, 5000);
	fixture_submit(&f, 1, 5000);
	assert_int_equal(fixture_submit(&f, 2, 5000).verdict, VERDICT_QUEUED);
	f.services[0].targets[0].state = TARGET_DRAINING;
	fixture_config(&f);
	fixture_done(&f, fixture_target(0), OUTCOME_OK, 20);
	assert_false(balance_next(f.b, f.now_ns, &handle, &r));
	pinned = fixture_work(&f, 3, 5000);
	pinned.pinned = fixture_target(0);
	assert_int_equal(balance_submit(f.b, &pinned, f.now_ns).verdict,
			 VERDICT_ADMITTED);
	fixture_done(&f, fixture_target(1), OUTCOME_OK, 20);
	assert_true(balance_next(f.b, f.now_ns, &handle, &r));
	assert_int_equal(handle, 2);
	assert_int_equal(r.target, fixture_target(1));
	fixture_submit(&f, 4, 5000);
	f.services[0].targets[1].state = TARGET_DRAINING;
	fixture_config(&f);
	assert_true(balance_next(f.b, f.now_ns, &handle, &r));
	assert_int_equal(handle, 4);
	assert_int_equal(r.reason, REFUSE_NO_TARGET);
	fixture_close(&f);
}

/*
 * Symptom: after half of the entries are replaced, targets shed for a while.
 * Sequence: four of eight entries start anew and know of no request in flight;
 * each fills every target.
 * Cause: a cap kept by counting what one has sent oneself, without a share.
 */
static void restarted_entries_keep_to_their_share(void **state)
{
	uint32_t sum[15] = { 0 };

	(void)state;
	for (uint32_t rank = 0; rank < 8; rank++) {
		struct fixture f;

		fixture_open(&f, 15, 2, 100);
		balance_set_entries(f.b, 8, rank);
		for (uint32_t i = 0; i < 100; i++) {
			struct decision r = fixture_submit(&f, i, 5000);

			if (r.verdict == VERDICT_ADMITTED)
				sum[fixture_index(r.target)]++;
		}
		fixture_close(&f);
	}
	for (uint32_t i = 0; i < 15; i++)
		assert_in_range(sum[i], 2, 4);
}

/*
 * Symptom: an entry refuses callers while targets have idle slots.
 * Sequence: the fabric hands one entry twice its part of the callers; it fills
 * its own share, the shares of the others stay idle.
 * Cause: a share that is never lent.
 */
static void busy_entry_uses_idle_slots(void **state)
{
	const struct load_report idle = { 0 };
	const struct load_report full = { .running = 2 };
	struct fixture f;
	uint32_t go = 0;

	(void)state;
	fixture_open(&f, 15, 2, 100);
	balance_set_entries(f.b, 8, 3);
	for (uint32_t i = 0; i < 15; i++)
		balance_record_load(f.b, fixture_target(i),
				    i % 2 ? &idle : &full, f.now_ns);
	for (uint32_t i = 0; i < 20; i++)
		go += fixture_submit(&f, i, 5000).verdict == VERDICT_ADMITTED;
	assert_in_range(go, 5, 7);
	fixture_close(&f);
}

/*
 * Symptom: at 0.7 load one request in a hundred is refused, its retries spent.
 * Sequence: targets have no queue; a request past the own share crosses another
 * entry's and is shed, is tried again, and so is the next.
 * Cause: sheds pause a target for milliseconds, as if it were full just then.
 */
static void shed_extra_requests_become_rare(void **state)
{
	struct fixture f;
	uint32_t sheds = 0;

	(void)state;
	fixture_open(&f, 1, 2, 100);
	balance_set_entries(f.b, 2, 0);
	assert_int_equal(fixture_submit(&f, 0, 5000).verdict, VERDICT_ADMITTED);
	for (uint32_t i = 0; i < 50; i++) {
		if (fixture_submit(&f, 1, 5000).verdict == VERDICT_ADMITTED) {
			fixture_done(&f, fixture_target(0), OUTCOME_SHED, 1);
			sheds++;
		}
		balance_cancel(f.b, 1);
		f.now_ns += 40 * NS_PER_MS;
	}
	assert_in_range(sheds, 2, 4);
	fixture_close(&f);
}

/*
 * Symptom: the callers of a small client account get no answer on the hour.
 * Sequence: a large account, on the same targets, floods its queue; the small
 * one has a request now and then.
 * Cause: one queue for all, served in the order of arrival.
 */
static void flood_leaves_others_their_part(void **state)
{
	struct fixture f;
	uint32_t light = 0;

	(void)state;
	fixture_open(&f, 1, 1, 500);
	fixture_account(&f, 100);
	for (uint32_t i = 0; i < 300; i++)
		fixture_submit(&f, i, 60000);
	for (uint32_t i = 300; i < 310; i++) {
		struct work w = fixture_work(&f, i, 60000);

		w.vip = fixture_vip(1);
		assert_int_equal(balance_submit(f.b, &w, f.now_ns).verdict,
				 VERDICT_QUEUED);
	}
	for (uint32_t i = 0; i < 24; i++) {
		struct decision r;
		uint32_t handle;

		fixture_done(&f, fixture_target(0), OUTCOME_OK, 20);
		assert_true(balance_next(f.b, f.now_ns, &handle, &r));
		light += handle >= 300;
	}
	assert_int_equal(light, 10);
	fixture_close(&f);
}

/*
 * Symptom: ten minutes after the hour the peak comes again.
 * Sequence: a thousand callers are refused with the same Max-Age.
 * Cause: a pause that does not depend on how many were refused.
 */
static void refused_callers_are_spread(void **state)
{
	struct fixture f;
	uint32_t seen[128] = { 0 };
	uint32_t most = 0;
	uint32_t last = 0;

	(void)state;
	fixture_open(&f, 1, 1, 5);
	fixture_submit(&f, 0, 5000);
	for (uint32_t i = 1; i < 6; i++)
		fixture_submit(&f, i, 5000);
	for (uint32_t i = 0; i < 5; i++) {
		fixture_done(&f, fixture_target(0), OUTCOME_OK, 100);
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
	fixture_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(shedding_target_is_left_alone),
		cmocka_unit_test(crawling_target_is_ejected),
		cmocka_unit_test(mended_target_comes_back),
		cmocka_unit_test(most_targets_are_kept),
		cmocka_unit_test(lying_target_gets_its_part_only),
		cmocka_unit_test(cold_target_starts_slowly),
		cmocka_unit_test(draining_target_gets_pinned_work_only),
		cmocka_unit_test(restarted_entries_keep_to_their_share),
		cmocka_unit_test(busy_entry_uses_idle_slots),
		cmocka_unit_test(shed_extra_requests_become_rare),
		cmocka_unit_test(flood_leaves_others_their_part),
		cmocka_unit_test(refused_callers_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
