/* Queue of requests at an entry whose targets have enough requests. */
#include "packet_bed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)
#define OBJECTIVE_MS 300
#define TIMEOUT_MS 2000
#define WORK_NS (50 * MS)
#define SLOTS 3
/* Limit of a request in time: the three slots, and for each of the five times
 * 50 ms that remain beside its own work 85 % of three. */
#define LIMIT 16
/* Limit of a late request: 60 % of three instead of 85 %. */
#define LATE_LIMIT 11

struct fixture {
	struct bed bed;
	struct target *target;
	uint32_t flows;
	uint32_t answered;
};

/* Client of a flow. The lowest byte of its address starts each packet of the
 * flow. */
static uint64_t caller(uint32_t flow)
{
	return CALLER + flow;
}

static uint64_t open_flow(struct fixture *f, uint64_t vip)
{
	uint32_t flow = f->flows++;

	bed_open_flow(&f->bed, caller(flow), vip);
	return flow;
}

static struct path_verdict send_request(struct fixture *f, uint64_t vip)
{
	uint32_t flow = (uint32_t)open_flow(f, vip);

	return bed_data(&f->bed, caller(flow), vip, f->target->cookie, 2, 1,
			100);
}

static struct path_verdict answer_request(struct fixture *f, uint32_t flow,
					  uint64_t vip)
{
	return bed_data(&f->bed, caller(flow), vip, f->target->cookie, 2, 1001,
			0);
}

/* One target whose work time of 50 ms is known from an answer of each kind. */
static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	bed_open(&f->bed);
	bed_set_route_times(&f->bed, OBJECTIVE_MS, TIMEOUT_MS);
	f->target = bed_target(&f->bed, 1, SERVICE, ZONE);
	send_request(f, VIP);
	f->bed.now_ns += WORK_NS;
	answer_request(f, 0, VIP);
	send_request(f, REPORT_VIP);
	f->bed.now_ns += WORK_NS;
	answer_request(f, 1, REPORT_VIP);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	bed_close(&f->bed);
	free(f);
	return 0;
}

static uint64_t events(const struct fixture *f, uint8_t kind,
		       enum load_event event)
{
	return load_stats_get(path_load_stats(f->bed.path),
			      f->target->advertised.service, kind, event);
}

static uint64_t count(const struct fixture *f, enum path_reason reason)
{
	return path_verdict_counts(f->bed.path)[reason];
}

/* Send requests of feeds until @n are at the target. Return: the first flow. */
static uint32_t fill_target(struct fixture *f, uint32_t n)
{
	uint32_t first = f->flows;

	for (uint32_t i = 0; i < n; i++)
		assert_int_equal(send_request(f, VIP).action, PATH_FORWARD);
	assert_int_equal(f->target->running, n);
	return first;
}

/* Answer @n requests that were queued at the target, beginning with the one
 * after SLOTS others; @first is the flow that fill_target() returned. */
static void answer_queued(struct fixture *f, uint32_t first, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		answer_request(f, first + SLOTS + i, VIP);
}

/*
 * In overload no answer would come in time, when many clients start at once:
 * the target serves requests in order of arrival, so that each waits for all
 * earlier ones, even those whose clients have given up.
 */
static void test_request_is_queued_at_limit_of_target(void **state)
{
	struct fixture *f = *state;
	struct path_verdict v;

	fill_target(f, LIMIT);
	v = send_request(f, VIP);
	assert_int_equal(v.action, PATH_WAIT);
	assert_int_equal(v.reason, PATH_waits);
	assert_int_equal(f->target->running, LIMIT);
	assert_int_equal(path_queued_count(f->bed.path), 1);
	assert_int_equal(f->bed.n_sent, 0);
}

static void test_queued_request_is_forwarded_after_an_answer(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill_target(f, LIMIT);

	send_request(f, VIP);
	f->bed.now_ns += 10 * MS;
	answer_request(f, first, VIP);
	assert_int_equal(f->bed.n_sent, 1);
	assert_int_equal(f->bed.sent[0].caller, caller(f->flows - 1));
	assert_int_equal(f->bed.sent[0].first, (uint8_t)caller(f->flows - 1));
	assert_int_equal(f->target->running, LIMIT);
	assert_int_equal(path_queued_count(f->bed.path), 0);
	assert_int_equal(path_latencies(f->bed.path, ROUTE_FEED)->wait_us.count,
			 1);
}

static void test_requests_in_time_go_by_priority_then_newest_first(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill_target(f, LIMIT), feed, report;

	send_request(f, VIP);
	report = f->flows;
	assert_int_equal(send_request(f, REPORT_VIP).action, PATH_WAIT);
	f->bed.now_ns += MS;
	feed = f->flows;
	send_request(f, VIP);
	answer_queued(f, first, 3);
	assert_int_equal(f->bed.n_sent, 3);
	assert_int_equal(f->bed.sent[0].caller, caller(report));
	assert_int_equal(f->bed.sent[1].caller, caller(feed));
	assert_int_equal(f->bed.sent[2].caller, caller(feed - 2));
}

/*
 * Feeds would expire though targets have free slots half of the time, if late
 * requests were forwarded only when all slots are believed to be free: the
 * loads that peers report are some 100 ms old.
 */
static void test_late_requests_go_below_their_limit(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill_target(f, LIMIT), late = f->flows;

	send_request(f, VIP);
	f->bed.now_ns += 10 * MS;
	send_request(f, VIP);
	f->bed.now_ns += 280 * MS;
	answer_queued(f, first, LIMIT - LATE_LIMIT);
	assert_int_equal(f->bed.n_sent, 0);
	answer_queued(f, first + LIMIT - LATE_LIMIT, 1);
	assert_int_equal(f->bed.n_sent, 1);
	assert_int_equal(f->bed.sent[0].caller, caller(late));
}

/* This holds even when the late one has the higher priority. */
static void test_late_request_goes_after_one_in_time(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill_target(f, LIMIT), report = f->flows;

	send_request(f, REPORT_VIP);
	f->bed.now_ns += 290 * MS;
	send_request(f, VIP);
	answer_queued(f, first, LIMIT - LATE_LIMIT + 2);
	assert_int_equal(f->bed.n_sent, 2);
	assert_int_equal(f->bed.sent[0].caller, caller(report + 1));
	assert_int_equal(f->bed.sent[1].caller, caller(report));
}

/*
 * A target would serve requests that no client waits for, if a queued request
 * were kept for ever while newer ones are forwarded before it.
 */
static void test_request_is_dropped_after_its_timeout(void **state)
{
	struct fixture *f = *state;
	uint32_t old;

	f->target->peers_running = 10 * LIMIT;
	fill_target(f, 1);
	old = f->flows;
	assert_int_equal(send_request(f, VIP).action, PATH_WAIT);
	for (uint32_t i = 0; i < TIMEOUT_MS / 100; i++) {
		assert_int_equal(count(f, PATH_expired), 0);
		bed_advance(&f->bed, 100 * MS);
		send_request(f, VIP);
	}
	assert_int_equal(count(f, PATH_expired), 1);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_expired), 1);
	assert_in_range(f->bed.n_sent, 5, BED_EVENTS_MAX);
	for (uint32_t i = 0; i < f->bed.n_sent; i++)
		assert_int_not_equal(f->bed.sent[i].caller, caller(old));
}

/* A queued request would run though its client has ended the flow. */
static void test_reset_by_client_removes_queued_request(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill_target(f, LIMIT), flow = f->flows;
	struct packet k = {
		.flow = { caller(flow), VIP },
		.cookie = f->target->cookie,
		.seq = 102,
		.ack = 1,
		.flags = PACKET_RST,
	};
	struct path_verdict v;

	send_request(f, VIP);
	path_packet(f->bed.path, &k, true, f->bed.now_ns, &v);
	assert_int_equal(path_queued_count(f->bed.path), 0);
	answer_request(f, first, VIP);
	assert_int_equal(f->bed.n_sent, 0);
}

/* The client repeats the packet since nobody acknowledged it. */
static void test_repeat_of_queued_request_is_not_forwarded(void **state)
{
	struct fixture *f = *state;
	uint32_t flow;

	fill_target(f, LIMIT);
	flow = f->flows;
	send_request(f, VIP);
	f->bed.now_ns += 200 * MS;
	assert_int_equal(bed_data(&f->bed, caller(flow), VIP, f->target->cookie,
				  2, 1, 100)
				 .action,
			 PATH_WAIT);
	assert_int_equal(path_queued_count(f->bed.path), 1);
	assert_int_equal(f->bed.n_probes, 0);
}

/*
 * The packets after the first one of an upload would reach the target before
 * it.
 */
static void test_uploads_are_not_queued(void **state)
{
	struct fixture *f = *state;
	struct target *t = bed_target(&f->bed, 2, OTHER_SERVICE, ZONE);
	uint32_t flow;

	for (uint32_t i = 0; i < 40; i++) {
		flow = (uint32_t)open_flow(f, OTHER_VIP);
		assert_int_equal(bed_data(&f->bed, caller(flow), OTHER_VIP,
					  t->cookie, 2, 1, 100)
					 .action,
				 PATH_FORWARD);
		if (!i) {
			f->bed.now_ns += WORK_NS;
			bed_data(&f->bed, caller(flow), OTHER_VIP, t->cookie, 3,
				 1001, 0);
		}
	}
}

static void test_requests_without_latency_objective_are_not_queued(void **state)
{
	struct fixture *f = *state;

	bed_set_route_times(&f->bed, 0, TIMEOUT_MS);
	fill_target(f, 2 * LIMIT);
}

/*
 * Requests would stay unanswered when a target is replaced under load: it
 * serves what it has for a few seconds, and would end while requests are still
 * queued for it.
 */
static void test_queue_is_released_when_target_leaves(void **state)
{
	struct fixture *f = *state;
	struct target_advertisement news = f->target->advertised;

	fill_target(f, LIMIT);
	for (uint32_t i = 0; i < 5; i++)
		send_request(f, VIP);
	news.leaving = true;
	news.sequence++;
	bed_publish(&f->bed, &news);
	bed_advance(&f->bed, 20 * MS);
	assert_int_equal(f->bed.n_sent, 5);
	assert_int_equal(send_request(f, VIP).action, PATH_FORWARD);
}

/*
 * An entry that stops forwards its queued requests, since its peers don't have
 * them.
 */
static void test_stopping_entry_releases_its_queue(void **state)
{
	struct fixture *f = *state;

	fill_target(f, LIMIT);
	for (uint32_t i = 0; i < 5; i++)
		send_request(f, VIP);
	path_stop(f->bed.path, f->bed.now_ns);
	assert_int_equal(f->bed.n_sent, 5);
	assert_int_equal(send_request(f, VIP).action, PATH_FORWARD);
}

/*
 * Their flows are reset; the next process at the address must get no packet of
 * them.
 */
static void test_queued_requests_of_dead_target_are_dropped(void **state)
{
	struct fixture *f = *state;
	struct incarnation who = target_incarnation(f->target);

	fill_target(f, LIMIT);
	send_request(f, VIP);
	path_peer_reported_dead(f->bed.path, &who, f->bed.now_ns);
	bed_advance(&f->bed, 3 * NS_PER_S);
	assert_int_equal(f->bed.n_sent, 0);
	assert_int_equal(path_queued_count(f->bed.path), 0);
	assert_int_equal(count(f, PATH_swept), f->flows);
}

/*
 * Requests of peers at the target count, but one of this entry's is always
 * forwarded.
 */
static void test_requests_of_peers_count_as_load(void **state)
{
	struct fixture *f = *state;

	f->target->peers_running = LIMIT + 100;
	fill_target(f, 1);
	assert_int_equal(send_request(f, VIP).action, PATH_WAIT);
	f->target->peers_running = 0;
	bed_advance(&f->bed, 20 * MS);
	assert_int_equal(f->bed.n_sent, 1);
}

/*
 * Requests would expire in the queue though their target is idle, if requests
 * that will never be answered counted for ever: their answers were lost in a
 * network partition, or the target hangs.
 */
static void test_overdue_requests_do_not_count_as_load(void **state)
{
	struct fixture *f = *state;

	fill_target(f, LIMIT);
	send_request(f, VIP);
	bed_advance(&f->bed, 500 * MS);
	assert_int_equal(f->bed.n_sent, 1);
}

/*
 * A target would count as loaded for ever when a request that was queued for
 * long is not answered, if only flows whose clients sent a packet recently were
 * checked.
 */
static void test_request_queued_for_long_becomes_overdue(void **state)
{
	struct fixture *f = *state;
	uint32_t first;

	f->target->peers_running = 10 * LIMIT;
	first = fill_target(f, 1);
	send_request(f, VIP);
	for (uint32_t i = 0; i < 15; i++) {
		bed_advance(&f->bed, 100 * MS);
		bed_data(&f->bed, caller(first), VIP, f->target->cookie, 3 + i,
			 1, 100);
	}
	assert_int_equal(f->bed.n_sent, 0);
	bed_advance(&f->bed, 440 * MS);
	assert_int_equal(f->bed.n_sent, 1);
	assert_int_equal(f->target->running, 1);
	bed_advance(&f->bed, 400 * MS);
	assert_int_equal(f->target->running, 0);
}

/* Replace the entry by a new process with @policy. */
static void restart_entry(struct fixture *f, const struct policy *policy)
{
	bed_close(&f->bed);
	bed_open_with(&f->bed, policy);
	f->flows = 0;
	bed_set_route_times(&f->bed, OBJECTIVE_MS, TIMEOUT_MS);
	f->target = bed_target(&f->bed, 1, SERVICE, ZONE);
}

static struct path_verdict send_unseen_request(struct fixture *f)
{
	return bed_data(&f->bed, caller(f->flows++), VIP, f->target->cookie, 2,
			1, 100);
}

/*
 * New requests would be queued behind old ones after an outage of all entries:
 * clients repeat the old ones on flows that the new process has not seen, and
 * these would be forwarded as new up to the limit.
 */
static void
test_presumed_repeats_get_only_free_slots_of_young_entry(void **state)
{
	struct fixture *f = *state;
	struct policy policy = policy_default;

	policy.young_ns = f->bed.now_ns + NS_PER_S;
	restart_entry(f, &policy);
	for (uint32_t i = 0; i < SLOTS; i++)
		assert_int_equal(send_unseen_request(f).action, PATH_FORWARD);
	assert_int_equal(send_unseen_request(f).action, PATH_WAIT);
	assert_int_equal(send_request(f, VIP).action, PATH_FORWARD);
}

static void test_older_entry_treats_unseen_requests_as_new(void **state)
{
	struct fixture *f = *state;

	restart_entry(f, &policy_default);
	f->bed.now_ns += policy_default.young_ns;
	for (uint32_t i = 0; i < 2 * SLOTS; i++)
		assert_int_equal(send_unseen_request(f).action, PATH_FORWARD);
}

static void test_request_is_forwarded_when_queue_is_full(void **state)
{
	struct fixture *f = *state;
	struct policy policy = policy_default;

	policy.waiting_max = 2;
	restart_entry(f, &policy);
	send_request(f, VIP);
	f->bed.now_ns += WORK_NS;
	answer_request(f, 0, VIP);
	fill_target(f, LIMIT);
	assert_int_equal(send_request(f, VIP).action, PATH_WAIT);
	assert_int_equal(send_request(f, VIP).action, PATH_WAIT);
	assert_int_equal(send_request(f, VIP).action, PATH_FORWARD);
}

/*
 * In overload the work of a request would be overestimated more and more, and
 * fewer and fewer requests forwarded, if the time that they were queued at the
 * target counted as work.
 */
static void test_time_in_queue_of_target_is_not_work(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill_target(f, LIMIT);

	f->bed.now_ns += 200 * MS;
	answer_queued(f, first, LIMIT - SLOTS);
	for (uint32_t i = SLOTS; i < LIMIT; i++)
		assert_int_equal(send_request(f, VIP).action, PATH_FORWARD);
	assert_int_equal(send_request(f, VIP).action, PATH_WAIT);
}

/*
 * Refuse @n requests after 1 ms, while peers have @peers_running requests at
 * the target. Refusals of a loaded target limit the requests there; failures of
 * an idle one don't.
 */
static void refuse(struct fixture *f, uint32_t n, float peers_running)
{
	for (uint32_t i = 0; i < n; i++) {
		uint32_t flow = f->flows;

		f->target->peers_running = peers_running;
		assert_int_equal(send_request(f, VIP).action, PATH_FORWARD);
		f->bed.now_ns += MS;
		bed_data(&f->bed, caller(flow), VIP, f->target->cookie, 2, 101,
			 0);
	}
}

static void test_refusals_of_loaded_target_limit_requests(void **state)
{
	struct fixture *f = *state;

	refuse(f, 1, SLOTS);
	fill_target(f, 4);
	refuse(f, 1, SLOTS);
	assert_int_equal(count(f, PATH_refused), 2);
	f->target->peers_running = 0;
	assert_int_equal(send_request(f, VIP).action, PATH_FORWARD);
	assert_int_equal(send_request(f, VIP).action, PATH_WAIT);
}

static void test_failures_of_idle_target_limit_no_requests(void **state)
{
	struct fixture *f = *state;

	refuse(f, 20, 0);
	assert_int_equal(count(f, PATH_refused), 0);
	fill_target(f, LIMIT);
}

/* Guards against a request that is counted twice, with its opening and when it
 * comes, or not at all since its flow was opened at another entry. */
static void test_each_request_is_offered_once(void **state)
{
	struct fixture *f = *state;

	/* One feed of setup() had a request. */
	assert_int_equal(events(f, ROUTE_FEED, LOAD_offered), 1);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_admitted), 1);
	bed_data(&f->bed, caller(0), VIP, f->target->cookie, 102, 1001, 100);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_offered), 2);
	bed_data(&f->bed, caller(0), VIP, f->target->cookie, 102, 1001, 100);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_offered), 2);
	send_unseen_request(f);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_offered), 3);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_admitted), 1);
	assert_int_equal(events(f, ROUTE_REPORT, LOAD_offered), 1);
}

/* Guards against late answers that the metrics count as good ones. */
static void test_answers_after_the_objective_are_late(void **state)
{
	struct fixture *f = *state;
	uint32_t flow = f->flows;

	send_request(f, VIP);
	f->bed.now_ns += OBJECTIVE_MS * MS;
	answer_request(f, flow, VIP);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_late), 0);
	flow = f->flows;
	send_request(f, VIP);
	f->bed.now_ns += OBJECTIVE_MS * MS + 1;
	answer_request(f, flow, VIP);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_late), 1);
}

/* Guards against a failing target whose answers look like rejections of a
 * loaded one, which more targets would mend. */
static void test_rejections_are_counted_apart_from_failures(void **state)
{
	struct fixture *f = *state;

	refuse(f, 2, SLOTS);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_rejected), 2);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_failed), 0);
	refuse(f, 3, 0);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_rejected), 2);
	assert_int_equal(events(f, ROUTE_FEED, LOAD_failed), 3);
}

/* Guards against an unanswered request that no counter shows. */
static void test_overdue_request_is_counted_as_failed(void **state)
{
	struct fixture *f = *state;

	send_request(f, REPORT_VIP);
	bed_advance(&f->bed, 3 * NS_PER_S);
	assert_int_equal(events(f, ROUTE_REPORT, LOAD_failed), 1);
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_request_is_queued_at_limit_of_target),
		TEST(test_queued_request_is_forwarded_after_an_answer),
		TEST(test_requests_in_time_go_by_priority_then_newest_first),
		TEST(test_late_requests_go_below_their_limit),
		TEST(test_late_request_goes_after_one_in_time),
		TEST(test_request_is_dropped_after_its_timeout),
		TEST(test_reset_by_client_removes_queued_request),
		TEST(test_repeat_of_queued_request_is_not_forwarded),
		TEST(test_uploads_are_not_queued),
		TEST(test_requests_without_latency_objective_are_not_queued),
		TEST(test_queue_is_released_when_target_leaves),
		TEST(test_stopping_entry_releases_its_queue),
		TEST(test_queued_requests_of_dead_target_are_dropped),
		TEST(test_requests_of_peers_count_as_load),
		TEST(test_overdue_requests_do_not_count_as_load),
		TEST(test_request_queued_for_long_becomes_overdue),
		TEST(test_refusals_of_loaded_target_limit_requests),
		TEST(test_failures_of_idle_target_limit_no_requests),
		TEST(test_presumed_repeats_get_only_free_slots_of_young_entry),
		TEST(test_older_entry_treats_unseen_requests_as_new),
		TEST(test_request_is_forwarded_when_queue_is_full),
		TEST(test_time_in_queue_of_target_is_not_work),
		TEST(test_each_request_is_offered_once),
		TEST(test_answers_after_the_objective_are_late),
		TEST(test_rejections_are_counted_apart_from_failures),
		TEST(test_overdue_request_is_counted_as_failed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
