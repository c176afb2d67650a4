/* Openings that wait at the entry, and refusals, while targets have no room. */
#include "packet_bed.h"

#include "admission.h"
#include "opening_queue.h"
#include "policy.h"
#include "track_record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define S NS_PER_S
#define OBJECTIVE_MS 300
#define TIMEOUT_MS 2500
#define WORK_NS (50 * MS)
#define CALLER ADDR(0x64400001, 1000)
/* Another client for each flow. */
#define CLIENT(i) (CALLER + ((uint64_t)(i) << 16))
#define SLOTS 3
/* Limit of a target, see packet_wait_test: its slots, and 85 % of three for
 * each of the five times 50 ms that remain beside a request's own work. */
#define LIMIT 16
/* 20 ms later the limit is 14.7. */

static const struct admission_query full = {
	.ahead = 10,
	.answers_per_s = 20,
	.work_ns = WORK_NS,
	.timeout_ns = TIMEOUT_MS * MS,
};

static enum admission decide(bool has_room, uint32_t ahead, bool refusing)
{
	struct admission_query q = full;

	q.has_room = has_room;
	q.ahead = ahead;
	q.refusing = refusing;
	return admission_decide(&q);
}

/* Guards against refusals while a target could serve the request. */
static void test_opening_with_room_is_never_refused(void **state)
{
	(void)state;
	assert_int_equal(decide(true, 1000, false), ADMISSION_ADMIT);
	assert_int_equal(decide(true, 1000, true), ADMISSION_ADMIT);
}

/* Guards against clients that wait for a handshake which comes too late: 30
 * openings ahead take 1.5 s at 20 answers a second, a client waits 1.4 s. */
static void test_opening_that_cannot_be_served_is_refused_at_once(void **state)
{
	(void)state;
	assert_int_equal(decide(false, 10, false), ADMISSION_HOLD);
	assert_int_equal(decide(false, 30, false), ADMISSION_REFUSE);
}

/* Guards against refusals before anything is known of the service. */
static void test_unknown_rate_does_not_refuse(void **state)
{
	struct admission_query q = full;

	(void)state;
	q.answers_per_s = 0;
	q.ahead = 200;
	assert_int_equal(admission_decide(&q), ADMISSION_HOLD);
}

/* Guards against refusals that begin and end with each answer: 1.1 s and 50 ms
 * are below the limit of 1.3 s, but above 80 % of it. */
static void test_refusals_end_below_the_limit_they_began_at(void **state)
{
	(void)state;
	assert_int_equal(decide(false, 22, false), ADMISSION_HOLD);
	assert_int_equal(decide(false, 22, true), ADMISSION_REFUSE);
	assert_int_equal(decide(false, 19, true), ADMISSION_HOLD);
}

static void test_answer_rate_follows_the_answers(void **state)
{
	struct answer_rate rate = { 0 };
	uint64_t now_ns = S;

	(void)state;
	answer_rate_update(&rate, now_ns);
	for (uint32_t i = 0; i < 200; i++) {
		rate.count += 2;
		now_ns += 20 * MS;
		answer_rate_update(&rate, now_ns);
	}
	assert_in_range((int)rate.per_s, 98, 100);
	now_ns += 5 * S;
	answer_rate_update(&rate, now_ns);
	assert_true(rate.per_s < 1);
}

static void hold(struct opening_queue *q, uint32_t i, uint64_t vip,
		 uint8_t priority, uint64_t arrived_ns, uint64_t objective_ns)
{
	struct opening o = {
		.key = { CLIENT(i), vip },
		.service = 1,
		.priority = priority,
		.arrived_ns = arrived_ns,
		.objective_deadline_ns = arrived_ns + objective_ns,
		.expires_ns = arrived_ns + ADMISSION_HOLD_MAX_NS,
	};

	assert_true(opening_queue_add(q, &o));
}

/* Admits the next opening. Returns its client, as the i of CLIENT(i). */
static uint32_t take(struct opening_queue *q, uint64_t now_ns)
{
	const struct opening *o = opening_queue_next(q, 1, WORK_NS, now_ns);
	uint32_t i = (uint32_t)((o->key.caller - CALLER) >> 16);

	opening_queue_take_turn(q, o->key.vip);
	opening_queue_remove(q, o);
	return i;
}

/* Guards against urgent requests behind others, and against answers that are
 * all late since the oldest openings come first. */
static void test_urgent_then_in_time_then_newest(void **state)
{
	struct opening_queue *q = opening_queue_new();

	(void)state;
	hold(q, 1, VIP, 2, 10 * MS, 300 * MS);
	hold(q, 2, VIP, 2, 20 * MS, 300 * MS);
	hold(q, 3, VIP, 2, 30 * MS, 30 * MS);
	hold(q, 4, VIP, 1, 5 * MS, 300 * MS);
	assert_int_equal(take(q, 100 * MS), 4);
	assert_int_equal(take(q, 100 * MS), 2);
	assert_int_equal(take(q, 100 * MS), 1);
	assert_int_equal(take(q, 100 * MS), 3);
	assert_null(opening_queue_next(q, 1, WORK_NS, 100 * MS));
	opening_queue_free(q);
}

/* Guards against late requests that starve: their clients give up in the order
 * in which they came. */
static void test_oldest_late_opening_comes_first(void **state)
{
	struct opening_queue *q = opening_queue_new();

	(void)state;
	hold(q, 1, VIP, 2, 20 * MS, 100 * MS);
	hold(q, 2, VIP, 2, 10 * MS, 100 * MS);
	assert_int_equal(take(q, S), 2);
	assert_int_equal(take(q, S), 1);
	opening_queue_free(q);
}

/* Guards against a route with many openings that leaves no room for another
 * route of the same priority. */
static void test_routes_of_equal_priority_take_turns(void **state)
{
	struct opening_queue *q = opening_queue_new();
	uint32_t quiet = 0;

	(void)state;
	for (uint32_t i = 0; i < 40; i++)
		hold(q, i, VIP, 1, i * MS, S);
	for (uint32_t i = 40; i < 44; i++)
		hold(q, i, REPORT_VIP, 1, MS, S);
	for (uint32_t i = 0; i < 8; i++)
		quiet += take(q, 100 * MS) >= 40;
	assert_int_equal(quiet, 4);
	opening_queue_free(q);
}

/* Guards against a write behind the end of the queue. */
static void test_full_queue_takes_no_opening(void **state)
{
	struct opening_queue *q = opening_queue_new();
	struct opening o = { .service = 1 };

	(void)state;
	for (uint32_t i = 0; i < OPENINGS_MAX; i++)
		assert_true(opening_queue_add(q, &o));
	assert_false(opening_queue_add(q, &o));
	opening_queue_free(q);
}

/* Targets whose work time of 50 ms is known from one answer of each kind. */
static void open_bed(struct bed *b, uint32_t targets, uint8_t load_control)
{
	static struct policy policy;
	struct target *t = NULL;

	policy = policy_default;
	policy.load_control = load_control;
	bed_open_with(b, &policy);
	bed_set_route_times(b, OBJECTIVE_MS, TIMEOUT_MS);
	for (uint32_t i = 1; i <= targets; i++)
		t = bed_target(b, i, SERVICE, ZONE);
	for (uint32_t i = 0; i < 2; i++) {
		uint64_t vip = i ? REPORT_VIP : VIP;
		struct path_verdict v = bed_open_flow(b, CLIENT(500 + i), vip);

		t = directory_by_id(b->directory, v.target->advertised.id);
		bed_data(b, CLIENT(500 + i), vip, t->cookie, 2, 1, 100);
		b->now_ns += WORK_NS;
		bed_data(b, CLIENT(500 + i), vip, t->cookie, 2, 1001, 0);
	}
}

/* Peers report as many requests at each target as it may have. */
static void fill_targets(struct bed *b)
{
	for (uint32_t i = 0; i < directory_target_count(b->directory); i++)
		directory_target_at(b->directory, i)->peers_running = LIMIT;
}

static uint64_t count(const struct bed *b, uint64_t vip, enum load_event event)
{
	const struct route *r =
		route_table_find(directory_route_table(b->directory), vip);

	return load_stats_get(path_load_stats(b->path), r->shares[0].service,
			      r->kind, event);
}

/*
 * Guards against requests that are lost with a target whose queue they never
 * left this entry for: while an opening is held, its target may end.
 */
static void test_held_opening_survives_the_end_of_a_target(void **state)
{
	struct incarnation who = { 1, 0 };
	struct bed b;

	(void)state;
	open_bed(&b, 2, LOAD_CONTROL_ON);
	fill_targets(&b);
	assert_int_equal(bed_syn(&b, CLIENT(1), REPORT_VIP, 0).reason,
			 PATH_held);
	assert_int_equal(b.n_resent, 0);
	path_peer_reported_dead(b.path, &who, b.now_ns);
	directory_target_at(b.directory, 1)->peers_running = 0;
	bed_advance(&b, 20 * MS);
	assert_int_equal(b.n_resent, 1);
	assert_int_equal(b.resent_to[0], 2);
	for (uint32_t i = 0; i < b.n_resets; i++)
		assert_true(b.resets[i] != CLIENT(1));
	bed_close(&b);
}

/* Guards against two openings of one request: a client sends copies of its SYN
 * after 200 and 600 ms. */
static void test_copy_of_a_held_opening_changes_nothing(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	fill_targets(&b);
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	bed_advance(&b, 200 * MS);
	assert_int_equal(bed_syn(&b, CLIENT(1), REPORT_VIP, 1).action,
			 PATH_WAIT);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_held), 1);
	assert_int_equal(path_admission(b.path, 0, b.now_ns).held, 1);
	bed_close(&b);
}

/* Guards against a client that waits for a handshake which nobody answers. */
static void test_opening_is_refused_before_its_client_gives_up(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	fill_targets(&b);
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	bed_advance(&b, 1280 * MS);
	assert_int_equal(b.n_resets, 0);
	bed_advance(&b, 60 * MS);
	assert_int_equal(b.n_resets, 1);
	assert_true(b.resets[0] == CLIENT(1));
	assert_int_equal(count(&b, REPORT_VIP, LOAD_refused_expired), 1);
	/* The client comes again at once. */
	bed_syn(&b, CLIENT(1) + 1, REPORT_VIP, 0);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_repeated), 1);
	bed_close(&b);
}

/* Guards against a slot that stays idle while openings wait, or that goes to a
 * less urgent one: reports are more urgent than feeds here. */
static void test_free_slot_goes_to_the_most_urgent(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	fill_targets(&b);
	bed_syn(&b, CLIENT(1), VIP, 0);
	bed_syn(&b, CLIENT(2), REPORT_VIP, 0);
	directory_target_at(b.directory, 0)->peers_running = LIMIT - 2;
	bed_advance(&b, 20 * MS);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_admitted), 2);
	assert_int_equal(count(&b, VIP, LOAD_admitted), 1);
	bed_close(&b);
}

/* Guards against all held openings at one target as soon as it has one slot:
 * their requests come a handshake later. */
static void test_admitted_openings_count_at_their_target(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	fill_targets(&b);
	for (uint32_t i = 0; i < 10; i++)
		bed_syn(&b, CLIENT(i), REPORT_VIP, 0);
	directory_target_at(b.directory, 0)->peers_running = LIMIT - 3;
	bed_advance(&b, 20 * MS);
	assert_int_equal(b.n_resent, 2);
	bed_close(&b);
}

/*
 * Guards against openings that are all held as long as a client waits, since
 * the prediction goes by answers whose slots requests on open flows take.
 */
static void test_prediction_goes_by_admissions_while_some_are_held(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	t->peers_running = 4 * LIMIT;
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	for (uint32_t i = 2; i < 50; i++) {
		/* An answer every 20 ms on an open flow; none is admitted. */
		bed_data(&b, CLIENT(500), VIP, t->cookie, 2 + 100 * i,
			 1001 + 1000 * i, 100);
		bed_advance(&b, 20 * MS);
	}
	for (uint32_t i = 60; i < 90; i++)
		bed_syn(&b, CLIENT(i), REPORT_VIP, 0);
	assert_true(count(&b, REPORT_VIP, LOAD_refused_timeout) > 0);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_admitted), 1);
	bed_close(&b);
}

/* Guards against a latency objective that begins anew when an opening was held:
 * its client has waited all the while. */
static void test_objective_counts_from_the_first_syn(void **state)
{
	struct flow_key key = { CLIENT(1), REPORT_VIP };
	struct target *t;
	struct bed b;
	uint64_t came_ns;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	fill_targets(&b);
	came_ns = b.now_ns;
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	bed_advance(&b, 100 * MS);
	t->peers_running = 0;
	bed_advance(&b, 20 * MS);
	b.now_ns += MS;
	bed_data(&b, CLIENT(1), REPORT_VIP, t->cookie, 1, 1, 0);
	bed_data(&b, CLIENT(1), REPORT_VIP, t->cookie, 2, 1, 100);
	assert_true(path_find_flow(b.path, &key)->objective_deadline_ns ==
		    came_ns + OBJECTIVE_MS * MS);
	bed_close(&b);
}

/* Guards against openings that are lost when the process stops as planned. */
static void test_planned_stop_admits_what_is_held(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	fill_targets(&b);
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	bed_syn(&b, CLIENT(2), VIP, 0);
	path_stop(b.path, b.now_ns);
	assert_int_equal(b.n_resent, 2);
	assert_int_equal(bed_syn(&b, CLIENT(3), VIP, 0).action, PATH_FORWARD);
	bed_close(&b);
}

/* Guards against a change for deployments that don't call for load control. */
static void test_nothing_is_held_without_load_control(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_AUTO);
	fill_targets(&b);
	assert_int_equal(bed_syn(&b, CLIENT(1), REPORT_VIP, 0).reason,
			 PATH_placed);
	bed_close(&b);
}

/* Guards against metrics without openings where load control is off. */
static void test_openings_are_counted_without_load_control(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_refused_no_target), 1);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_syn(&b, CLIENT(2), REPORT_VIP, 0);
	/* A copy of the SYN is no other opening. */
	bed_syn(&b, CLIENT(2), REPORT_VIP, 1);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_offered), 2);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_admitted), 1);
	bed_close(&b);
}

/* Openings come until one is refused, since the service answered one request in
 * the last tick. */
static void begin_refusals(struct bed *b)
{
	struct target *t = directory_target_at(b->directory, 0);
	uint32_t i = 0;

	bed_advance(b, 20 * MS);
	bed_data(b, CLIENT(501), REPORT_VIP, t->cookie, 102, 1001, 100);
	b->now_ns += MS;
	bed_data(b, CLIENT(501), REPORT_VIP, t->cookie, 102, 2001, 0);
	bed_advance(b, 20 * MS);
	fill_targets(b);
	while (bed_syn(b, CLIENT(i), REPORT_VIP, 0).action != PATH_RESET)
		assert_true(++i < 100);
}

/* Guards against refusals that an operator believes to go on, since the report
 * of their end fell into the second after that of their begin. */
static void test_end_of_refusals_is_reported_a_second_later(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	begin_refusals(&b);
	assert_int_equal(b.n_refusals, 1);
	assert_true(b.refusals.refusing);
	assert_true(b.refusals.predicted_wait_ns > 0);
	assert_true(b.refusals.answers_per_s > 0);
	assert_int_equal(b.refusals.held,
			 path_admission(b.path, 0, b.now_ns).held);
	path_stop(b.path, b.now_ns);
	assert_int_equal(b.n_refusals, 1);
	bed_advance(&b, 980 * MS);
	assert_int_equal(b.n_refusals, 1);
	bed_advance(&b, 40 * MS);
	assert_int_equal(b.n_refusals, 2);
	assert_false(b.refusals.refusing);
	bed_close(&b);
}

/* Guards against a predicted wait on the page that is that of an earlier
 * minute. */
static void test_predicted_wait_is_that_of_now(void **state)
{
	struct path_admission a;
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	begin_refusals(&b);
	a = path_admission(b.path, 0, b.now_ns);
	assert_true(a.refusing);
	assert_true(a.predicted_wait_ns ==
		    (uint64_t)((double)a.held / (double)a.answers_per_s *
			       NS_PER_S));
	path_stop(b.path, b.now_ns);
	a = path_admission(b.path, 0, b.now_ns);
	assert_int_equal(a.held, 0);
	assert_true(a.predicted_wait_ns == 0);
	bed_close(&b);
}

/* Guards against rejections that go on for as long as a burst: how many requests
 * a target queues is not published. */
static void test_limit_is_learned_from_rejections(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	bed_open_flow(&b, CLIENT(1), REPORT_VIP);
	bed_data(&b, CLIENT(1), REPORT_VIP, t->cookie, 2, 1, 100);
	t->peers_running = 8;
	b.now_ns += MS;
	bed_data(&b, CLIENT(1), REPORT_VIP, t->cookie, 2, 11, 0);
	assert_true(path_admission(b.path, 0, b.now_ns).limit_per_slot > 0);
	assert_int_equal(bed_syn(&b, CLIENT(2), REPORT_VIP, 0).reason,
			 PATH_placed);
	t->peers_running = 9;
	assert_int_equal(bed_syn(&b, CLIENT(3), REPORT_VIP, 0).reason,
			 PATH_held);
	bed_close(&b);
}

/* Guards against idle flows, as clients open them ahead of their requests, that
 * take up the room of a target until they are closed. */
static void test_idle_open_flow_takes_no_room(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	for (uint32_t i = 1; i <= LIMIT; i++)
		bed_open_flow(&b, CLIENT(i), VIP);
	assert_int_equal(t->openings, LIMIT);
	bed_advance(&b, 2 * S);
	assert_int_equal(t->openings, 0);
	assert_int_equal(t->flows, LIMIT + 2);
	bed_close(&b);
}

/* Guards against openings that count at a target without end, since a stall of
 * this process cancels the times at which they are due. */
static void test_opening_during_a_stall_takes_no_room(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	bed_syn(&b, CLIENT(1), VIP, 0);
	bed_open_flow(&b, CLIENT(2), VIP);
	assert_int_equal(t->openings, 2);
	path_process_stalled(b.path, b.now_ns);
	bed_advance(&b, 2 * S);
	assert_int_equal(t->openings, 0);
	bed_close(&b);
}

/* Guards against flows that a cold target or an unresponsive one can't get later,
 * since openings that stayed held were accounted for as if sent to it. */
static void test_held_opening_is_not_accounted_to_a_target(void **state)
{
	struct target *t;
	struct bed b;
	uint64_t trial_ns;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	fill_targets(&b);
	track_record_accepted(t, b.now_ns);
	trial_ns = t->trial_ns;
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	bed_advance(&b, 200 * MS);
	assert_int_equal(path_admission(b.path, 0, b.now_ns).held, 1);
	assert_true(t->trial_ns == trial_ns);
	t->peers_running = 0;
	bed_advance(&b, 20 * MS);
	assert_int_equal(b.n_resent, 1);
	assert_true(t->trial_ns > b.now_ns);
	bed_close(&b);
}

/* Guards against openings that wait while a target has a free slot: the number of
 * long flows, their mean load, the data centre and the service time may make
 * another target the cheapest one. */
static void test_no_opening_waits_beside_a_free_slot(void **state)
{
	struct target *busy, *idle;
	struct bed b;

	(void)state;
	open_bed(&b, 2, LOAD_CONTROL_ON);
	busy = directory_target_at(b.directory, 0);
	idle = directory_target_at(b.directory, 1);
	busy->peers_running = LIMIT;
	idle->peers_feeds = 1000;
	assert_ptr_equal(bed_syn(&b, CLIENT(1), VIP, 0).target, idle);
	idle->slowness = 8;
	idle->slowness_updated_ns = b.now_ns;
	idle->peers_running = 2 - (float)idle->running - (float)idle->openings;
	busy->peers_running = LIMIT;
	assert_int_equal(bed_syn(&b, CLIENT(2), REPORT_VIP, 0).action,
			 PATH_FORWARD);
	bed_close(&b);
}

/* Guards against refusals when demand begins again: without requests the rate of
 * answers sank to nothing. */
static void test_idle_time_does_not_lower_the_rate(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	for (uint32_t i = 20; i < 60; i++) {
		bed_open_flow(&b, CLIENT(i), REPORT_VIP);
		bed_data(&b, CLIENT(i), REPORT_VIP, t->cookie, 2, 1, 100);
		bed_advance(&b, 40 * MS);
		bed_data(&b, CLIENT(i), REPORT_VIP, t->cookie, 2, 1001, 0);
	}
	bed_advance(&b, 10 * S);
	t->peers_running = 100;
	for (uint32_t i = 1; i < 4; i++)
		assert_int_equal(bed_syn(&b, CLIENT(i), REPORT_VIP, 0).reason,
				 PATH_held);
	bed_close(&b);
}

/* Guards against the reset of an open flow: a packet with a cookie shows that
 * the held opening was answered through another entry. */
static void test_flow_that_is_open_is_not_refused(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	fill_targets(&b);
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	bed_data(&b, CLIENT(1), REPORT_VIP, t->cookie, 2, 1, 100);
	bed_advance(&b, 1400 * MS);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_refused_expired), 0);
	for (uint32_t i = 0; i < b.n_resets; i++)
		assert_true(b.resets[i] != CLIENT(1));
	bed_close(&b);
}

/* Guards against a less urgent opening that takes the slot which a heartbeat
 * showed free, while a more urgent one is held until the next tick. */
static void test_new_opening_does_not_overtake_an_urgent_one(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	fill_targets(&b);
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	directory_target_at(b.directory, 0)->peers_running = LIMIT - 1;
	bed_syn(&b, CLIENT(2), VIP, 0);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_admitted), 2);
	assert_int_equal(count(&b, VIP, LOAD_admitted), 1);
	bed_close(&b);
}

/* Guards against work for clients that gave up while this process was paused:
 * an answer is handled before the first tick. */
static void test_pause_admits_no_expired_opening(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	t = directory_target_at(b.directory, 0);
	bed_open_flow(&b, CLIENT(7), REPORT_VIP);
	bed_data(&b, CLIENT(7), REPORT_VIP, t->cookie, 2, 1, 100);
	fill_targets(&b);
	bed_syn(&b, CLIENT(1), REPORT_VIP, 0);
	b.now_ns += 5 * S;
	t->peers_running = 0;
	bed_data(&b, CLIENT(7), REPORT_VIP, t->cookie, 2, 1001, 0);
	assert_int_equal(b.n_resent, 0);
	assert_int_equal(count(&b, REPORT_VIP, LOAD_refused_expired), 1);
	bed_close(&b);
}

/* Guards against openings that are held longer than their clients wait: the
 * first SYN and a copy went to another entry. */
static void test_holding_counts_from_the_first_copy(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, 1, LOAD_CONTROL_ON);
	fill_targets(&b);
	bed_syn(&b, CLIENT(1), REPORT_VIP, 2);
	bed_advance(&b, 720 * MS);
	assert_int_equal(b.n_resets, 1);
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_opening_with_room_is_never_refused),
		cmocka_unit_test(
			test_opening_that_cannot_be_served_is_refused_at_once),
		cmocka_unit_test(test_unknown_rate_does_not_refuse),
		cmocka_unit_test(
			test_refusals_end_below_the_limit_they_began_at),
		cmocka_unit_test(test_answer_rate_follows_the_answers),
		cmocka_unit_test(test_urgent_then_in_time_then_newest),
		cmocka_unit_test(test_oldest_late_opening_comes_first),
		cmocka_unit_test(test_routes_of_equal_priority_take_turns),
		cmocka_unit_test(test_full_queue_takes_no_opening),
		cmocka_unit_test(
			test_held_opening_survives_the_end_of_a_target),
		cmocka_unit_test(test_copy_of_a_held_opening_changes_nothing),
		cmocka_unit_test(
			test_opening_is_refused_before_its_client_gives_up),
		cmocka_unit_test(test_free_slot_goes_to_the_most_urgent),
		cmocka_unit_test(test_admitted_openings_count_at_their_target),
		cmocka_unit_test(
			test_prediction_goes_by_admissions_while_some_are_held),
		cmocka_unit_test(test_objective_counts_from_the_first_syn),
		cmocka_unit_test(test_planned_stop_admits_what_is_held),
		cmocka_unit_test(test_nothing_is_held_without_load_control),
		cmocka_unit_test(test_limit_is_learned_from_rejections),
		cmocka_unit_test(test_idle_open_flow_takes_no_room),
		cmocka_unit_test(test_opening_during_a_stall_takes_no_room),
		cmocka_unit_test(
			test_openings_are_counted_without_load_control),
		cmocka_unit_test(
			test_end_of_refusals_is_reported_a_second_later),
		cmocka_unit_test(test_predicted_wait_is_that_of_now),
		cmocka_unit_test(
			test_held_opening_is_not_accounted_to_a_target),
		cmocka_unit_test(test_no_opening_waits_beside_a_free_slot),
		cmocka_unit_test(test_idle_time_does_not_lower_the_rate),
		cmocka_unit_test(test_flow_that_is_open_is_not_refused),
		cmocka_unit_test(
			test_new_opening_does_not_overtake_an_urgent_one),
		cmocka_unit_test(test_pause_admits_no_expired_opening),
		cmocka_unit_test(test_holding_counts_from_the_first_copy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
