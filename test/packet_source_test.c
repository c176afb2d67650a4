/* Scheduling of the calls to the platform: which VM reads, and when. */
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

static void test_listing_requests_every_page(void **state)
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
 * A leaving target gets flows for seconds too long. A large configuration
 * changes three times a second and the reader's link takes a second for each
 * value. A watch returns every value, so that the reader falls further behind
 * with each answer; a listing returns only the last one.
 */
static void test_slow_answer_is_followed_by_listing(void **state)
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
	/* No changes: wait for the next one. */
	source_end(&s, SOURCE_OK, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
	source_begin(&s, SOURCE_WATCH);
	s.transfer_ns = 10 * MS;
	source_end(&s, SOURCE_OK, false, true, &v);
	v.now_ns += NS_PER_S;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
}

/*
 * A VM that starts becomes ready late: the pause that batches changes must not
 * apply between the pages of a listing, of which the first ones bring newer
 * documents than the ones before.
 */
static void test_listing_does_not_pause_between_pages(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 0, 0);

	(void)state;
	for (uint32_t page = 0; page < 13; page++) {
		assert_int_equal(source_next(&s, &v), SOURCE_LIST);
		source_begin(&s, SOURCE_LIST);
		source_end(&s, SOURCE_OK, page < 12, true, &v);
	}
	/* Pages may have been stale: changes since are requested at once. */
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
 * A VM begins the listing over and over. The platform compacts its history, and
 * the position of a stale listing precedes what it keeps, so that the watch
 * fails. The next listing must not be stale again.
 */
static void test_listing_after_compaction_is_not_stale(void **state)
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
 * After a power failure of all VMs, hundreds serve nothing for a second. All
 * start at once and list the platform, whose link carries all answers at the
 * same time, so that all of them are late.
 */
static void test_first_listing_is_deferred_while_platform_is_busy(void **state)
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
	/* The platform may be far away, with no peer to fetch from. */
	assert_true(source_may_send(&s, &v, 30 * MS));
	/* A VM that reads for others does not wait. */
	s.deferrals = 0;
	v.complete = v.synced = 9;
	assert_true(source_may_send(&s, &v, 30 * MS));
}

/* A new process that knows many others waits for what they read. */
static void test_new_process_waits_in_mass_start(void **state)
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

/* A peer was faster: further pages must not be requested. */
static void test_listing_ends_after_documents_came_from_peer(void **state)
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

static void test_other_vms_do_not_read_while_reader_is_answered(void **state)
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
 * A change reaches a data centre late because its reader is paused, or refused
 * by the platform, and no other VM takes over.
 */
static void test_next_in_rank_reads_when_reader_is_silent(void **state)
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

static void test_compacted_history_causes_listing(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 9, 0);

	(void)state;
	source_begin(&s, SOURCE_WATCH);
	source_end(&s, SOURCE_GONE, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

/*
 * After all VMs were killed, hundreds serve nothing for half a minute: all list
 * the platform, which refuses some pages. A failed page must not restart the
 * listing.
 */
static void test_failed_page_does_not_restart_listing(void **state)
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
	/* Not without end: the platform compacts its history. */
	for (uint32_t i = 0; i < 8 && s.listing; i++) {
		source_begin(&s, SOURCE_LIST);
		source_end(&s, SOURCE_FAILED, false, false, &v);
		v.now_ns = s.next_ns;
	}
	assert_false(s.listing);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

/* While another VM reads, a new process waits until its rank is known. */
static void test_new_process_does_not_read_beside_active_reader(void **state)
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

/* The first in rank reads; the others fetch the documents from it. */
static void test_lower_ranks_wait_when_processes_start_together(void **state)
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

static void test_failed_calls_back_off(void **state)
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
 * After a power failure of all VMs, clients still wait when the platform
 * answers again. It was down for longer, and processes without documents must
 * not back off as long as those that only miss changes.
 */
static void test_process_without_documents_backs_off_less(void **state)
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

/* Listings must not repeat without end as fast as the platform answers. */
static void test_repeatedly_compacted_history_backs_off(void **state)
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
	/* After an answered watch, the next compaction is listed at once. */
	source_begin(&s, SOURCE_WATCH);
	source_end(&s, SOURCE_OK, false, false, &v);
	source_begin(&s, SOURCE_WATCH);
	source_end(&s, SOURCE_GONE, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
}

/* An entry would ask for the same changes until the platform has dropped them:
 * the answer is larger than the entry accepts and grows with each change. */
static void test_unreadable_watch_is_followed_by_listing(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 9, 0);

	(void)state;
	source_begin(&s, SOURCE_WATCH);
	source_end(&s, SOURCE_UNREADABLE, false, false, &v);
	assert_int_equal(source_next(&s, &v), SOURCE_LIST);
	assert_true(s.exact);
	source_begin(&s, SOURCE_LIST);
	source_end(&s, SOURCE_OK, true, true, &v);
	source_begin(&s, SOURCE_LIST);
	source_end(&s, SOURCE_OK, false, true, &v);
	assert_int_equal(s.failures, 0);
	v.now_ns = s.next_ns;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
}

/* Neither request may be repeated when the other one has not been tried, nor
 * may the two alternate as fast as the platform answers. */
static void test_unreadable_answers_alternate_with_pauses(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 9, 0);
	enum source_step step = SOURCE_WATCH;
	uint64_t pause_ns = 0;

	(void)state;
	for (uint32_t i = 0; i < 8; i++) {
		assert_int_equal(source_next(&s, &v), step);
		source_begin(&s, step);
		source_end(&s, SOURCE_UNREADABLE, false, false, &v);
		assert_true(s.next_ns - v.now_ns >= pause_ns);
		pause_ns = s.next_ns - v.now_ns;
		v.now_ns = s.next_ns;
		step = step == SOURCE_WATCH ? SOURCE_LIST : SOURCE_WATCH;
	}
	assert_in_range(pause_ns, 400 * MS, NS_PER_S);
}

/* Peers that are ahead run another release, and their documents are unreadable
 * here: the entry would keep what it has. */
static void test_entry_reads_when_peers_are_unreadable(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 5, 9, START_NS);

	(void)state;
	v.readers_before = 2;
	v.others_contact_ns = v.now_ns;
	v.fetch_failures = 2;
	assert_int_equal(source_next(&s, &v), SOURCE_WAIT);
	v.fetch_failures = 3;
	assert_int_equal(source_next(&s, &v), SOURCE_WATCH);
}

/* Without a position there is nothing to watch: the page is requested again,
 * and the listing does not go on without end. */
static void test_unreadable_page_of_first_listing_is_retried(void **state)
{
	struct source s = { .start_ns = START_NS };
	struct source_view v = view(START_NS + NS_PER_S, 0, 0, 0);

	(void)state;
	source_begin(&s, SOURCE_LIST);
	source_end(&s, SOURCE_OK, true, true, &v);
	for (uint32_t i = 0; i < 8; i++) {
		assert_true(s.listing);
		v.now_ns = s.next_ns;
		assert_int_equal(source_next(&s, &v), SOURCE_LIST);
		source_begin(&s, SOURCE_LIST);
		source_end(&s, SOURCE_UNREADABLE, false, false, &v);
		assert_true(s.next_ns > v.now_ns);
	}
	assert_false(s.listing);
	assert_true(s.relist);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_process_lists_at_once),
		cmocka_unit_test(test_listing_requests_every_page),
		cmocka_unit_test(test_slow_answer_is_followed_by_listing),
		cmocka_unit_test(test_listing_does_not_pause_between_pages),
		cmocka_unit_test(test_listing_after_compaction_is_not_stale),
		cmocka_unit_test(
			test_first_listing_is_deferred_while_platform_is_busy),
		cmocka_unit_test(test_new_process_waits_in_mass_start),
		cmocka_unit_test(
			test_listing_ends_after_documents_came_from_peer),
		cmocka_unit_test(
			test_other_vms_do_not_read_while_reader_is_answered),
		cmocka_unit_test(test_next_in_rank_reads_when_reader_is_silent),
		cmocka_unit_test(
			test_new_process_does_not_read_beside_active_reader),
		cmocka_unit_test(test_compacted_history_causes_listing),
		cmocka_unit_test(test_failed_page_does_not_restart_listing),
		cmocka_unit_test(
			test_lower_ranks_wait_when_processes_start_together),
		cmocka_unit_test(test_failed_calls_back_off),
		cmocka_unit_test(test_process_without_documents_backs_off_less),
		cmocka_unit_test(test_repeatedly_compacted_history_backs_off),
		cmocka_unit_test(test_unreadable_watch_is_followed_by_listing),
		cmocka_unit_test(test_unreadable_answers_alternate_with_pauses),
		cmocka_unit_test(test_entry_reads_when_peers_are_unreadable),
		cmocka_unit_test(
			test_unreadable_page_of_first_listing_is_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
