/* Which VM reads the platform, and when. */
#include "source.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define MS NS_PER_MS
#define START_NS (100 * NS_PER_S)

static struct source_view view(uint64_t now_ns, uint32_t rank, uint64_t synced,
			       uint64_t others_contact_ns)
{
	return (struct source_view){ .policy = &policy_default,
				     .now_ns = now_ns,
				     .rank = rank,
				     .complete = synced,
				     .synced = synced,
				     .others_contact_ns = others_contact_ns };
}

static void test_new_process_lists_at_once(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS, 0, 0, 0);

	(void)state;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.now_ns += 10 * MS;
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

static void test_pages_until_the_last(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 0, 0);

	(void)state;
	source_begin(&s, SOURCE_LIST);
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	source_end(&s, SOURCE_OK, true, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	source_begin(&s, SOURCE_LIST);
	v.complete = v.synced = 9;
	source_end(&s, SOURCE_OK, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
}

/*
 * Symptom: a leaving target gets flows for seconds longer than it may. Sequence:
 * a large configuration changes three times a second; the reader's link takes a
 * second for each value, and a watch brings all of them, one behind the other.
 * Cause: the reader fell behind more with each answer.
 */
static void test_slow_answer_is_followed_by_a_listing(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 9, 0);

	(void)state;
	source_begin(&s, SOURCE_WATCH);
	s.transfer_ns = 1400 * MS;
	source_end(&s, SOURCE_OK, false, true, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	source_begin(&s, SOURCE_LIST);
	source_end(&s, SOURCE_OK, false, true, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	source_begin(&s, SOURCE_LIST);
	/* Nothing new: wait for the next change. */
	source_end(&s, SOURCE_OK, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
	source_begin(&s, SOURCE_WATCH);
	s.transfer_ns = 10 * MS;
	source_end(&s, SOURCE_OK, false, true, &v);
	v.now_ns += NS_PER_S;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
}

/*
 * Symptom: a VM that starts is ready late. Sequence: it lists the platform over
 * many pages, of which the first few bring what is newer than the ones before.
 * Cause: the pause that gathers changes was made between pages, too.
 */
static void test_pages_follow_at_once(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 0, 0);

	(void)state;
	for (uint32_t page = 0; page < 13; page++) {
		assert_int_equal(source_next(&s, &v), SOURCE_LIST);
		source_begin(&s, SOURCE_LIST);
		source_end(&s, SOURCE_OK, page < 12, true, &v);
	}
	/* Pages may have been old: what came since is asked for at once. */
	v.complete = 9;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
	assert_int_equal(source_watch_wait_ns(&v), 0);
	source_begin(&s, SOURCE_WATCH);
	v.complete = v.synced = 12;
	source_end(&s, SOURCE_OK, false, true, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.now_ns += 300 * MS;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
	assert_int_equal(source_watch_wait_ns(&v), SOURCE_WATCH_WAIT_MS * MS);
}

/*
 * Symptom: a VM starts over and over. Sequence: the platform forgets its
 * history; what a listing shows that may be old is older than that. Cause: the
 * changes since can't be had, and the next listing was an old one again.
 */
static void test_after_lost_history_pages_are_of_now(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 0, 0);

	(void)state;
	v.complete = 9;
	source_begin(&s, SOURCE_WATCH);
	assert_false(s.exact);
	source_end(&s, SOURCE_GONE, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	assert_true(s.exact);
}

/*
 * Symptom: after all VMs lost power hundreds serve nothing for a second.
 * Sequence: all start at once and list the platform; its link carries all
 * answers at the same time. Cause: each is answered last.
 */
static void test_first_listing_gives_way(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + 40 * MS, 0, 0, 0);

	(void)state;
	assert_true(source_may_send(&s, &v, 4 * MS));
	v.random = UINT64_MAX;
	for (uint32_t i = 0; i < 4; i++) {
		assert_int_equal(source_next(&s, &v), SOURCE_LIST);
		source_begin(&s, SOURCE_LIST);
		assert_false(source_may_send(&s, &v, 30 * MS));
		source_end(&s, SOURCE_DEFERRED, false, false, &v);
		assert_int_equal(s.failures, 0);
		assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
		assert_in_range(s.next_ns - v.now_ns, 50 * MS, 250 * MS);
		v.now_ns = s.next_ns;
	}
	/* The platform may be far away, and no peer there. */
	assert_true(source_may_send(&s, &v, 30 * MS));
	/* Who reads for others does not wait. */
	s.deferrals = 0;
	v.complete = v.synced = 9;
	assert_true(source_may_send(&s, &v, 30 * MS));
}

/* A VM that hears of many waits for what they read. */
static void test_young_process_in_a_crowd_waits(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + 300 * MS, 0, 0, 0);

	(void)state;
	v.live_peers = 11;
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	v.live_peers = 12;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.now_ns += 120 * MS;
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

/* A peer was faster: the other pages are not asked for. */
static void test_listing_that_is_needless_ends(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + 40 * MS, 1, 0, 0);

	(void)state;
	source_begin(&s, SOURCE_LIST);
	source_end(&s, SOURCE_OK, true, true, &v);
	source_cancel_listing(&s);
	v.complete = v.synced = 9;
	v.others_contact_ns = v.now_ns;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
}

static void test_one_reads_while_it_is_answered(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 1, 9, 0);

	(void)state;
	v.others_contact_ns = v.now_ns - NS_PER_S;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.rank = 0;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
}

/*
 * Symptom: a change isn't in force in a data centre for long. Sequence: its
 * reader is paused or turned away by the platform. Cause: nobody stood in.
 */
static void test_next_in_rank_stands_in(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + 10 * NS_PER_S, 1, 9, 0);

	(void)state;
	v.others_contact_ns = v.now_ns - SOURCE_CONTACT_NS - 350 * MS;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
	v.rank = 2;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.now_ns += 300 * MS;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
}

static void test_lost_history_lists_again(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 9, 0);

	(void)state;
	source_begin(&s, SOURCE_WATCH);
	source_end(&s, SOURCE_GONE, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

/*
 * Symptom: after all VMs were killed, hundreds of them serve nothing for half a
 * minute. Sequence: all list the platform, which refuses some pages. Cause: a
 * page that failed began the whole listing again.
 */
static void test_failed_page_is_asked_again(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 0, 0);

	(void)state;
	source_begin(&s, SOURCE_LIST);
	source_end(&s, SOURCE_OK, true, false, &v);
	source_begin(&s, SOURCE_LIST);
	source_end(&s, SOURCE_FAILED, false, false, &v);
	assert_true(s.listing);
	v.now_ns = s.next_ns;
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	/* But not for ever: the platform forgets its history. */
	for (uint32_t i = 0; i < 8 && s.listing; i++) {
		source_begin(&s, SOURCE_LIST);
		source_end(&s, SOURCE_FAILED, false, false, &v);
		v.now_ns = s.next_ns;
	}
	assert_false(s.listing);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

/* With another reader at work a young process first learns its rank. */
static void test_young_process_leaves_reading_to_others(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + 50 * MS, 0, 9, START_NS);

	(void)state;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.now_ns += 500 * MS;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
	v = view(START_NS + 50 * MS, 0, 9, 0);
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
}

/* The first in rank reads; who is given documents meanwhile need not. */
static void test_those_that_start_together_wait_for_the_first(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + 10 * MS, 0, 0, 0);

	(void)state;
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	v.rank = 2;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.now_ns += 120 * MS;
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	v.fetching = true;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.fetching = false;
	v.rank = 400;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.now_ns += NS_PER_S;
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

static void test_failures_are_retried_ever_later(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 9, 0);
	uint64_t pause_ns = 0;

	(void)state;
	for (uint32_t i = 0; i < 8; i++) {
		source_begin(&s, SOURCE_WATCH);
		source_end(&s, SOURCE_FAILED, false, false, &v);
		assert_true(s.next_ns - v.now_ns >= pause_ns);
		pause_ns = s.next_ns - v.now_ns;
		assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
		v.now_ns = s.next_ns;
	}
	assert_true(pause_ns <= NS_PER_S);
}

/*
 * Symptom: after all VMs lost power, clients wait on after the platform is
 * back. Sequence: the platform is down as well, for longer. Cause: processes
 * that knew nothing backed off like those that only miss news.
 */
static void test_who_knows_nothing_asks_often(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 0, 0);

	(void)state;
	for (uint32_t i = 0; i < 8; i++) {
		source_begin(&s, SOURCE_LIST);
		source_end(&s, SOURCE_FAILED, false, false, &v);
		assert_true(s.next_ns - v.now_ns <= 200 * MS);
	}
}

/* Guards against listings without end, as fast as the platform answers. */
static void test_history_that_is_gone_again_is_asked_for_less(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 9, 0);
	uint64_t end_ns = v.now_ns + 10 * NS_PER_S;
	uint32_t listings = 0;

	(void)state;
	for (; v.now_ns < end_ns; v.now_ns += 10 * MS) {
		enum source_step step = source_next(&s, &v);

		if (step == SOURCE_WAIT)
			continue;
		source_begin(&s, step);
		listings += step == SOURCE_LIST;
		source_end(&s, step == SOURCE_LIST ? SOURCE_OK : SOURCE_GONE,
			   false, false, &v);
	}
	assert_in_range(listings, 2, 20);
	/* Once a watch is answered, the next loss is listed at once. */
	source_begin(&s, SOURCE_WATCH);
	source_end(&s, SOURCE_OK, false, false, &v);
	source_begin(&s, SOURCE_WATCH);
	source_end(&s, SOURCE_GONE, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_process_lists_at_once),
		cmocka_unit_test(test_pages_until_the_last),
		cmocka_unit_test(test_slow_answer_is_followed_by_a_listing),
		cmocka_unit_test(test_pages_follow_at_once),
		cmocka_unit_test(test_after_lost_history_pages_are_of_now),
		cmocka_unit_test(test_first_listing_gives_way),
		cmocka_unit_test(test_young_process_in_a_crowd_waits),
		cmocka_unit_test(test_listing_that_is_needless_ends),
		cmocka_unit_test(test_one_reads_while_it_is_answered),
		cmocka_unit_test(test_next_in_rank_stands_in),
		cmocka_unit_test(test_young_process_leaves_reading_to_others),
		cmocka_unit_test(test_lost_history_lists_again),
		cmocka_unit_test(test_failed_page_is_asked_again),
		cmocka_unit_test(
			test_those_that_start_together_wait_for_the_first),
		cmocka_unit_test(test_failures_are_retried_ever_later),
		cmocka_unit_test(test_who_knows_nothing_asks_often),
		cmocka_unit_test(
			test_history_that_is_gone_again_is_asked_for_less),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
