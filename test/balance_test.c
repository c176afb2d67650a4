/* Target selection, queues and refusals at one entry, on a fake clock. */
#include "balance_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

static void idle_targets_get_equal_shares_of_requests(void **state)
{
	struct fixture f;
	uint32_t seen[4] = { 0 };

	(void)state;
	fixture_init(&f, 4, 2, 100);
	for (uint32_t i = 0; i < 8; i++) {
		struct decision r = fixture_submit(&f, i, 5000);

		assert_int_equal(r.verdict, VERDICT_ADMITTED);
		seen[fixture_target_index(r.target)]++;
	}
	for (uint32_t i = 0; i < 4; i++)
		assert_int_equal(seen[i], 2);
	assert_int_equal(fixture_submit(&f, 8, 5000).verdict, VERDICT_QUEUED);
	fixture_free(&f);
}

static void requests_and_feeds_follow_weights(void **state)
{
	struct fixture f;
	uint32_t requests = 0;
	uint32_t feeds = 0;

	(void)state;
	fixture_init(&f, 2, 4, 100);
	f.services[0].targets[0].weight = 300;
	fixture_apply_config(&f);
	for (uint32_t i = 0; i < 80; i++) {
		struct decision r = fixture_submit(&f, 0, 5000);

		requests += r.target == fixture_target_addr(0);
		fixture_end_request(&f, r.target, OUTCOME_OK, 20);
	}
	for (uint32_t i = 0; i < 80; i++) {
		struct work w = fixture_work(&f, 0, 5000);
		struct decision r;

		w.feed = true;
		r = balance_submit(f.balancer, &w, f.now_ns);
		fixture_end_request(&f, r.target, OUTCOME_OK, 20);
		balance_change_feeds(f.balancer, FIXTURE_VIP, r.target, 1);
		feeds += r.target == fixture_target_addr(0);
	}
	assert_in_range(requests, 58, 62);
	assert_in_range(feeds, 58, 62);
	fixture_free(&f);
}

static void queued_request_starts_when_slot_is_freed(void **state)
{
	struct fixture f;
	struct decision r;
	uint32_t handle;

	(void)state;
	fixture_init(&f, 1, 1, 100);
	r = fixture_submit(&f, 0, 5000);
	assert_int_equal(fixture_submit(&f, 1, 5000).verdict, VERDICT_QUEUED);
	assert_false(balance_next(f.balancer, f.now_ns, &handle, &r));
	fixture_end_request(&f, fixture_target_addr(0), OUTCOME_OK, 50);
	assert_true(balance_next(f.balancer, f.now_ns, &handle, &r));
	assert_int_equal(handle, 1);
	assert_int_equal(r.verdict, VERDICT_ADMITTED);
	assert_false(balance_next(f.balancer, f.now_ns, &handle, &r));
	fixture_free(&f);
}

/*
 * Guards against refusing a caller long after its deadline, when the queue is
 * checked only as a slot becomes free: here the only target remains busy.
 */
static void queued_request_is_refused_at_deadline(void **state)
{
	struct fixture f;
	struct decision r;
	uint32_t handle;

	(void)state;
	fixture_init(&f, 1, 1, 100);
	fixture_submit(&f, 0, 5000);
	assert_int_equal(fixture_submit(&f, 1, 300).verdict, VERDICT_QUEUED);
	assert_true(balance_next_ns(f.balancer) <= f.now_ns + 300 * NS_PER_MS);
	f.now_ns += 300 * NS_PER_MS;
	assert_true(balance_next(f.balancer, f.now_ns, &handle, &r));
	assert_int_equal(handle, 1);
	assert_int_equal(r.verdict, VERDICT_REFUSED);
	assert_int_equal(r.reason, REFUSE_DEADLINE);
	assert_true(r.retry_after_s >= 1);
	fixture_free(&f);
}

/*
 * Guards against sending callers of one client account to another's targets at
 * some entries. Two accounts have the same VIP; with services sorted by VIP
 * alone, the sort would decide which of them is found, while the rest of the
 * entry uses the first by name.
 */
static void vip_of_two_accounts_belongs_to_first(void **state)
{
	struct fixture f;

	(void)state;
	fixture_init(&f, 1, 64, 100);
	for (uint32_t i = 1; i < FIXTURE_SERVICES_MAX; i++) {
		fixture_add_account(&f, 100);
		f.services[i].vip = FIXTURE_VIP;
		f.targets[i][0].addr = fixture_target_addr(i);
	}
	fixture_apply_config(&f);
	for (uint32_t i = 0; i < 8; i++)
		assert_int_equal(fixture_submit(&f, i, 5000).target,
				 fixture_target_addr(0));
	fixture_free(&f);
}

/*
 * Guards against sending all uploads to two of three idle targets. The first
 * block of an upload is assigned, the others are pinned and advance the pass of
 * the target too. Both other targets then have the same effective pass, limited
 * to one stride behind, and a tie would go to the one listed first.
 */
static void pinned_blocks_do_not_starve_a_target(void **state)
{
	struct fixture f;
	uint32_t seen[3] = { 0 };

	(void)state;
	fixture_init(&f, 3, 2, 100);
	for (uint32_t i = 0; i < 90; i++) {
		struct decision r = fixture_submit(&f, 0, 5000);
		struct work block = fixture_work(&f, 0, 5000);

		seen[fixture_target_index(r.target)]++;
		fixture_end_request(&f, r.target, OUTCOME_OK, 5);
		block.pinned = r.target;
		for (uint32_t k = 0; k < 3; k++) {
			balance_submit(f.balancer, &block, f.now_ns);
			fixture_end_request(&f, r.target, OUTCOME_OK, 5);
		}
	}
	for (uint32_t i = 0; i < 3; i++)
		assert_in_range(seen[i], 27, 33);
	fixture_free(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(idle_targets_get_equal_shares_of_requests),
		cmocka_unit_test(requests_and_feeds_follow_weights),
		cmocka_unit_test(queued_request_starts_when_slot_is_freed),
		cmocka_unit_test(queued_request_is_refused_at_deadline),
		cmocka_unit_test(vip_of_two_accounts_belongs_to_first),
		cmocka_unit_test(pinned_blocks_do_not_starve_a_target),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
