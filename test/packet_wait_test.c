/* Requests that wait at an entry while their target has enough to do. */
#include "packet_bed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)
#define AIM_MS 300
#define TIMEOUT_MS 2000
#define WORK_NS (50 * MS)
#define SLOTS 3
/* Three slots, and for five times 50 ms beside its own 85 % of three each. */
#define LIMIT 16
/* Of the 85 %, 60 for those that will be late. */
#define LATE_LIMIT 11

struct fixture {
	struct bed bed;
	struct target *target;
	uint32_t flows;
	uint32_t answered;
};

/* Flows are numbered; the packets of each carry its number. */
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

static struct path_verdict ask(struct fixture *f, uint64_t vip)
{
	uint32_t flow = (uint32_t)open_flow(f, vip);

	return bed_data(&f->bed, caller(flow), vip, f->target->cookie, 2, 1,
			100);
}

static struct path_verdict answer_of(struct fixture *f, uint32_t flow,
				     uint64_t vip)
{
	return bed_data(&f->bed, caller(flow), vip, f->target->cookie, 2, 1001,
			0);
}

/* One target that takes 50 ms for a request, as an answer has shown. */
static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	bed_open(&f->bed);
	bed_times(&f->bed, AIM_MS, TIMEOUT_MS);
	f->target = bed_target(&f->bed, 1, SERVICE, ZONE);
	ask(f, VIP);
	f->bed.now_ns += WORK_NS;
	answer_of(f, 0, VIP);
	ask(f, REPORT_VIP);
	f->bed.now_ns += WORK_NS;
	answer_of(f, 1, REPORT_VIP);
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

static uint64_t count(const struct fixture *f, enum path_reason reason)
{
	return path_verdict_counts(f->bed.path)[reason];
}

/* Feeds ask until @n are at the target. Return: the first one's number. */
static uint32_t fill(struct fixture *f, uint32_t n)
{
	uint32_t first = f->flows;

	for (uint32_t i = 0; i < n; i++)
		assert_int_equal(ask(f, VIP).action, PATH_FORWARD);
	assert_int_equal(f->target->running, n);
	return first;
}

/* Answers to @n of those that waited at the target, of @fill's the first. */
static void answer(struct fixture *f, uint32_t first, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		answer_of(f, first + SLOTS + i, VIP);
}

/*
 * Symptom: in the seconds after a fleet woke no answer comes in time. Sequence:
 * more requests come than are worked off, the target takes them in turn. Cause:
 * each waited there for all that came before it, wanted or not.
 */
static void test_waits_here_while_the_target_has_enough(void **state)
{
	struct fixture *f = *state;
	struct path_verdict v;

	fill(f, LIMIT);
	v = ask(f, VIP);
	assert_int_equal(v.action, PATH_WAIT);
	assert_int_equal(v.reason, PATH_waits);
	assert_int_equal(f->target->running, LIMIT);
	assert_int_equal(path_queued_count(f->bed.path), 1);
	assert_int_equal(f->bed.n_sent, 0);
}

static void test_goes_when_an_answer_came(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill(f, LIMIT);

	ask(f, VIP);
	f->bed.now_ns += 10 * MS;
	answer_of(f, first, VIP);
	assert_int_equal(f->bed.n_sent, 1);
	assert_int_equal(f->bed.sent[0].caller, caller(f->flows - 1));
	assert_int_equal(f->bed.sent[0].first, (uint8_t)caller(f->flows - 1));
	assert_int_equal(f->target->running, LIMIT);
	assert_int_equal(path_queued_count(f->bed.path), 0);
	assert_int_equal(path_latencies(f->bed.path, ROUTE_FEED)->wait_us.count,
			 1);
}

/* The route's priority first, then the last to come. */
static void test_order_of_those_in_time(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill(f, LIMIT), feed, report;

	ask(f, VIP);
	report = f->flows;
	assert_int_equal(ask(f, REPORT_VIP).action, PATH_WAIT);
	f->bed.now_ns += MS;
	feed = f->flows;
	ask(f, VIP);
	answer(f, first, 3);
	assert_int_equal(f->bed.n_sent, 3);
	assert_int_equal(f->bed.sent[0].caller, caller(report));
	assert_int_equal(f->bed.sent[1].caller, caller(feed));
	assert_int_equal(f->bed.sent[2].caller, caller(feed - 2));
}

/*
 * Symptom: feeds expire though targets have slots free half of the time.
 * Sequence: peers' words of what they have there are some 100 ms old. Cause:
 * those that will be late went only when every slot was believed to be free.
 */
static void test_late_ones_go_when_there_is_room(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill(f, LIMIT), late = f->flows;

	ask(f, VIP);
	f->bed.now_ns += 10 * MS;
	ask(f, VIP);
	f->bed.now_ns += 280 * MS;
	answer(f, first, LIMIT - LATE_LIMIT);
	assert_int_equal(f->bed.n_sent, 0);
	answer(f, first + LIMIT - LATE_LIMIT, 1);
	assert_int_equal(f->bed.n_sent, 1);
	assert_int_equal(f->bed.sent[0].caller, caller(late));
}

/* One in time goes before one that is late, whatever their priorities. */
static void test_late_ones_go_last(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill(f, LIMIT), report = f->flows;

	ask(f, REPORT_VIP);
	f->bed.now_ns += 290 * MS;
	ask(f, VIP);
	answer(f, first, LIMIT - LATE_LIMIT + 2);
	assert_int_equal(f->bed.n_sent, 2);
	assert_int_equal(f->bed.sent[0].caller, caller(report + 1));
	assert_int_equal(f->bed.sent[1].caller, caller(report));
}

/*
 * Symptom: a target works on what nobody waits for. Sequence: newer requests
 * come all the time and go first. Cause: the old one was kept for ever.
 */
static void test_never_sent_after_its_timeout(void **state)
{
	struct fixture *f = *state;
	uint32_t old;

	f->target->peers_running = 10 * LIMIT;
	fill(f, 1);
	old = f->flows;
	assert_int_equal(ask(f, VIP).action, PATH_WAIT);
	for (uint32_t i = 0; i < TIMEOUT_MS / 100; i++) {
		assert_int_equal(count(f, PATH_expired), 0);
		bed_pass(&f->bed, 100 * MS);
		ask(f, VIP);
	}
	assert_int_equal(count(f, PATH_expired), 1);
	assert_in_range(f->bed.n_sent, 5, BED_EVENTS_MAX);
	for (uint32_t i = 0; i < f->bed.n_sent; i++)
		assert_int_not_equal(f->bed.sent[i].caller, caller(old));
}

/*
 * Symptom: a request that waits runs though its client said that it ended.
 * Sequence: the client resets its flow. Cause: its packet was still kept.
 */
static void test_client_that_ends_its_flow_waits_no_more(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill(f, LIMIT), flow = f->flows;
	struct packet k = {
		.flow = { caller(flow), VIP },
		.cookie = f->target->cookie,
		.seq = 102,
		.ack = 1,
		.flags = PACKET_RST,
	};
	struct path_verdict v;

	ask(f, VIP);
	path_packet(f->bed.path, &k, true, f->bed.now_ns, &v);
	assert_int_equal(path_queued_count(f->bed.path), 0);
	answer_of(f, first, VIP);
	assert_int_equal(f->bed.n_sent, 0);
}

/* The client repeats what nobody acknowledged; the target must not get it. */
static void test_repeats_of_what_waits_are_dropped(void **state)
{
	struct fixture *f = *state;
	uint32_t flow;

	fill(f, LIMIT);
	flow = f->flows;
	ask(f, VIP);
	f->bed.now_ns += 200 * MS;
	assert_int_equal(bed_data(&f->bed, caller(flow), VIP, f->target->cookie,
				  2, 1, 100)
				 .action,
			 PATH_WAIT);
	assert_int_equal(path_queued_count(f->bed.path), 1);
	assert_int_equal(f->bed.n_probes, 0);
}

/* What follows the first packet of an upload would overtake it. */
static void test_uploads_never_wait(void **state)
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

static void test_without_a_target_latency_nothing_waits(void **state)
{
	struct fixture *f = *state;

	bed_times(&f->bed, 0, TIMEOUT_MS);
	fill(f, 2 * LIMIT);
}

/*
 * Symptom: unanswered requests when a target is replaced under load. Sequence:
 * it is to leave and serves what it has for a few seconds. Cause: requests went
 * on waiting here for a target that ended meanwhile.
 */
static void test_goes_at_once_to_a_target_that_leaves(void **state)
{
	struct fixture *f = *state;
	struct target_news news = f->target->news;

	fill(f, LIMIT);
	for (uint32_t i = 0; i < 5; i++)
		ask(f, VIP);
	news.leaving = true;
	news.sequence++;
	bed_publish(&f->bed, &news);
	bed_pass(&f->bed, 20 * MS);
	assert_int_equal(f->bed.n_sent, 5);
	assert_int_equal(ask(f, VIP).action, PATH_FORWARD);
}

/* An entry that stops hands over what it has: its peers know nothing of it. */
static void test_nothing_waits_at_an_entry_that_stops(void **state)
{
	struct fixture *f = *state;

	fill(f, LIMIT);
	for (uint32_t i = 0; i < 5; i++)
		ask(f, VIP);
	path_stop(f->bed.path, f->bed.now_ns);
	assert_int_equal(f->bed.n_sent, 5);
	assert_int_equal(ask(f, VIP).action, PATH_FORWARD);
}

/* The flow is reset; a packet of it to whatever comes after would be foreign. */
static void test_dead_target_gets_nothing(void **state)
{
	struct fixture *f = *state;
	struct incarnation who = target_incarnation(f->target);

	fill(f, LIMIT);
	ask(f, VIP);
	path_peer_reported_dead(f->bed.path, &who);
	bed_pass(&f->bed, 3 * NS_PER_S);
	assert_int_equal(f->bed.n_sent, 0);
	assert_int_equal(path_queued_count(f->bed.path), 0);
	assert_int_equal(count(f, PATH_swept), f->flows);
}

/* What peers have there counts, but one of this entry's always goes. */
static void test_peers_requests_count(void **state)
{
	struct fixture *f = *state;

	f->target->peers_running = LIMIT + 100;
	fill(f, 1);
	assert_int_equal(ask(f, VIP).action, PATH_WAIT);
	f->target->peers_running = 0;
	bed_pass(&f->bed, 20 * MS);
	assert_int_equal(f->bed.n_sent, 1);
}

/*
 * Symptom: requests expire here though their target idles. Sequence: answers
 * were lost with a cut, or the target hangs. Cause: requests that nobody will
 * answer counted as work of the target's for ever.
 */
static void test_overdue_requests_are_not_counted(void **state)
{
	struct fixture *f = *state;

	fill(f, LIMIT);
	ask(f, VIP);
	bed_pass(&f->bed, 500 * MS);
	assert_int_equal(f->bed.n_sent, 1);
}

/*
 * Symptom: a target counts as loaded for ever. Sequence: a request goes after a
 * long wait, and is not answered. Cause: what is due was looked for only among
 * flows whose clients were heard of late.
 */
static void test_overdue_after_a_long_wait(void **state)
{
	struct fixture *f = *state;
	uint32_t first;

	f->target->peers_running = 10 * LIMIT;
	first = fill(f, 1);
	ask(f, VIP);
	for (uint32_t i = 0; i < 15; i++) {
		bed_pass(&f->bed, 100 * MS);
		bed_data(&f->bed, caller(first), VIP, f->target->cookie, 3 + i,
			 1, 100);
	}
	assert_int_equal(f->bed.n_sent, 0);
	bed_pass(&f->bed, 440 * MS);
	assert_int_equal(f->bed.n_sent, 1);
	assert_int_equal(f->target->running, 1);
	bed_pass(&f->bed, 400 * MS);
	assert_int_equal(f->target->running, 0);
}

/* A new process, of which @policy holds. */
static void start_again(struct fixture *f, const struct policy *policy)
{
	bed_close(&f->bed);
	bed_open_with(&f->bed, policy);
	f->flows = 0;
	bed_times(&f->bed, AIM_MS, TIMEOUT_MS);
	f->target = bed_target(&f->bed, 1, SERVICE, ZONE);
}

static struct path_verdict ask_unseen(struct fixture *f)
{
	return bed_data(&f->bed, caller(f->flows++), VIP, f->target->cookie, 2,
			1, 100);
}

/*
 * Symptom: requests that come after all entries were away wait behind those that
 * came before. Sequence: clients repeat these on flows that the new process has
 * not seen. Cause: they went as new ones, up to the limit.
 */
static void test_repeats_to_a_young_entry_get_free_slots(void **state)
{
	struct fixture *f = *state;
	struct policy policy = policy_usual;

	policy.young_ns = f->bed.now_ns + NS_PER_S;
	start_again(f, &policy);
	for (uint32_t i = 0; i < SLOTS; i++)
		assert_int_equal(ask_unseen(f).action, PATH_FORWARD);
	assert_int_equal(ask_unseen(f).action, PATH_WAIT);
	assert_int_equal(ask(f, VIP).action, PATH_FORWARD);
}

static void test_older_entry_takes_them_as_new(void **state)
{
	struct fixture *f = *state;

	start_again(f, &policy_usual);
	f->bed.now_ns += policy_usual.young_ns;
	for (uint32_t i = 0; i < 2 * SLOTS; i++)
		assert_int_equal(ask_unseen(f).action, PATH_FORWARD);
}

static void test_without_room_it_goes_at_once(void **state)
{
	struct fixture *f = *state;
	struct policy policy = policy_usual;

	policy.waiting_max = 2;
	start_again(f, &policy);
	ask(f, VIP);
	f->bed.now_ns += WORK_NS;
	answer_of(f, 0, VIP);
	fill(f, LIMIT);
	assert_int_equal(ask(f, VIP).action, PATH_WAIT);
	assert_int_equal(ask(f, VIP).action, PATH_WAIT);
	assert_int_equal(ask(f, VIP).action, PATH_FORWARD);
}

/*
 * Symptom: the work of a request is taken for longer and longer in overload,
 * and less and less is sent. Sequence: answers come late. Cause: the time that
 * requests waited at their target was taken for work.
 */
static void test_only_answers_that_found_a_slot_measure_work(void **state)
{
	struct fixture *f = *state;
	uint32_t first = fill(f, LIMIT);

	f->bed.now_ns += 200 * MS;
	answer(f, first, LIMIT - SLOTS);
	for (uint32_t i = SLOTS; i < LIMIT; i++)
		assert_int_equal(ask(f, VIP).action, PATH_FORWARD);
	assert_int_equal(ask(f, VIP).action, PATH_WAIT);
}

/*
 * What is refused at once by a loaded target teaches how many may be there at a
 * time; what an idle one fails at once, nothing.
 */
static void refuse(struct fixture *f, uint32_t n, float peers_running)
{
	for (uint32_t i = 0; i < n; i++) {
		uint32_t flow = f->flows;

		f->target->peers_running = peers_running;
		assert_int_equal(ask(f, VIP).action, PATH_FORWARD);
		f->bed.now_ns += MS;
		bed_data(&f->bed, caller(flow), VIP, f->target->cookie, 2, 101,
			 0);
	}
}

static void test_refusals_limit_what_is_at_the_service(void **state)
{
	struct fixture *f = *state;

	refuse(f, 1, SLOTS);
	fill(f, 4);
	refuse(f, 1, SLOTS);
	assert_int_equal(count(f, PATH_refused), 2);
	f->target->peers_running = 0;
	assert_int_equal(ask(f, VIP).action, PATH_FORWARD);
	assert_int_equal(ask(f, VIP).action, PATH_WAIT);
}

static void test_failures_of_an_idle_target_limit_nothing(void **state)
{
	struct fixture *f = *state;

	refuse(f, 20, 0);
	assert_int_equal(count(f, PATH_refused), 0);
	fill(f, LIMIT);
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_waits_here_while_the_target_has_enough),
		TEST(test_goes_when_an_answer_came),
		TEST(test_order_of_those_in_time),
		TEST(test_late_ones_go_when_there_is_room),
		TEST(test_late_ones_go_last),
		TEST(test_never_sent_after_its_timeout),
		TEST(test_client_that_ends_its_flow_waits_no_more),
		TEST(test_repeats_of_what_waits_are_dropped),
		TEST(test_uploads_never_wait),
		TEST(test_without_a_target_latency_nothing_waits),
		TEST(test_goes_at_once_to_a_target_that_leaves),
		TEST(test_nothing_waits_at_an_entry_that_stops),
		TEST(test_dead_target_gets_nothing),
		TEST(test_peers_requests_count),
		TEST(test_overdue_requests_are_not_counted),
		TEST(test_overdue_after_a_long_wait),
		TEST(test_refusals_limit_what_is_at_the_service),
		TEST(test_failures_of_an_idle_target_limit_nothing),
		TEST(test_repeats_to_a_young_entry_get_free_slots),
		TEST(test_older_entry_takes_them_as_new),
		TEST(test_without_room_it_goes_at_once),
		TEST(test_only_answers_that_found_a_slot_measure_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
