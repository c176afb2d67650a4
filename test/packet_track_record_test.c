/* What a target did lately, in the choice of a target. */
#include "packet_bed.h"

#include "assign.h"
#include "outlier.h"
#include "track_record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define FLOWS 400
#define S NS_PER_S

struct pair {
	struct bed bed;
	struct target *good;
	struct target *flapping;
};

static void open_pair(struct pair *p)
{
	bed_open(&p->bed);
	p->bed.now_ns = 100 * S;
	p->good = bed_target(&p->bed, 1, SERVICE, ZONE);
	p->flapping = bed_target(&p->bed, 2, SERVICE, ZONE);
}

/* Assigns FLOWS flows of a kind. Returns the number that @t gets. */
static uint32_t count_assigned(struct pair *p, uint8_t kind, bool load_control,
			       const struct target *t)
{
	struct assign_query q = {
		.policy = &policy_default,
		.service = t->advertised.service,
		.zone = t->advertised.zone,
		.kind = kind,
		.load_control = load_control,
		.now_ns = p->bed.now_ns,
	};
	struct rng rng = { 7 };
	uint32_t got = 0;

	for (uint32_t i = 0; i < FLOWS; i++)
		got += assign_target(p->bed.directory, &q, &rng) == t;
	return got;
}

/* Guards against requests that are lost at a target which goes down and up by
 * turns, each time that its ejection is over. */
static void test_unrepeatable_requests_avoid_target_after_ejection(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	p.flapping->ejected_until_ns = 110 * S;
	track_record_avoid(p.flapping, p.flapping->ejected_until_ns);
	p.bed.now_ns = 115500 * MS;
	assert_false(outlier_is_ejected(p.flapping, p.bed.now_ns));
	assert_int_equal(count_assigned(&p, ROUTE_REPORT, true, p.flapping), 0);
	assert_in_range(count_assigned(&p, ROUTE_FEED, true, p.flapping), 1,
			FLOWS);
	p.bed.now_ns = 116500 * MS;
	assert_in_range(count_assigned(&p, ROUTE_REPORT, true, p.flapping), 1,
			FLOWS);
	bed_close(&p.bed);
}

/* Guards against a change for deployments that don't call for load control. */
static void test_nothing_is_avoided_without_load_control(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	track_record_avoid(p.flapping, p.bed.now_ns);
	p.flapping->peers_failures = 2;
	assert_in_range(count_assigned(&p, ROUTE_REPORT, false, p.flapping), 1,
			FLOWS);
	bed_close(&p.bed);
}

/* Guards against requests that wait at the last good target while a target that
 * was down a moment ago is idle. */
static void test_avoided_target_serves_when_no_other_has_a_slot(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	track_record_avoid(p.flapping, p.bed.now_ns);
	p.good->peers_running = p.good->advertised.slots;
	assert_int_equal(count_assigned(&p, ROUTE_REPORT, true, p.flapping),
			 FLOWS);
	p.flapping->peers_running = p.flapping->advertised.slots;
	assert_int_equal(count_assigned(&p, ROUTE_REPORT, true, p.flapping), 0);
	bed_close(&p.bed);
}

/* Guards against the loss of all requests between the first failures that peers
 * report and the ejection, which takes five of them. */
static void test_unrepeatable_requests_avoid_first_failures(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	p.flapping->peers_failures = 1;
	assert_int_equal(count_assigned(&p, ROUTE_REPORT, true, p.flapping), 0);
	p.flapping->peers_failures = 0;
	outlier_record_failure(p.flapping, &policy_default, p.bed.now_ns);
	assert_int_equal(count_assigned(&p, ROUTE_UPLOAD, true, p.flapping), 0);
	p.bed.now_ns += 10 * MS;
	p.flapping->last_alive_ns = p.bed.now_ns;
	assert_in_range(count_assigned(&p, ROUTE_UPLOAD, true, p.flapping), 1,
			FLOWS);
	bed_close(&p.bed);
}

/* Guards against the loss of all requests at the second time that a target goes
 * down: entries see too few failures of it for an ejection, and have forgotten
 * them when it has been up for two seconds. */
static void test_suspicion_outlasts_the_failures(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	p.flapping->peers_failures = 3;
	bed_advance(&p.bed, 200 * MS);
	p.flapping->peers_failures = 0;
	bed_advance(&p.bed, 2500 * MS);
	assert_false(outlier_is_ejected(p.flapping, p.bed.now_ns));
	assert_int_equal(count_assigned(&p, ROUTE_REPORT, true, p.flapping), 0);
	bed_close(&p.bed);
}

/* Guards against good targets that are avoided while all targets of a service
 * fail some requests, as in overload. */
static void test_common_failures_are_no_suspicion(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	p.flapping->peers_failures = 4;
	p.good->peers_failures = 3;
	assert_false(outlier_is_suspicious(p.bed.directory, p.flapping,
					   &policy_default, p.bed.now_ns));
	p.good->peers_failures = 0.5f;
	assert_true(outlier_is_suspicious(p.bed.directory, p.flapping,
					  &policy_default, p.bed.now_ns));
	bed_close(&p.bed);
}

/*
 * Guards against openings that nobody answers, for as long as the store is away:
 * a process of another service got the address of a target that ended. It
 * accepts connection attempts, and ignores openings meant for that target.
 */
static void test_unresponsive_target_is_tried_once_at_a_time(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	track_record_accepted(p.flapping, p.bed.now_ns);
	assert_in_range(count_assigned(&p, ROUTE_FEED, true, p.flapping), 0, 1);
	track_record_unanswered(p.flapping, p.bed.now_ns);
	p.bed.now_ns += 900 * MS;
	assert_int_equal(count_assigned(&p, ROUTE_FEED, true, p.flapping), 0);
	p.bed.now_ns += 200 * MS;
	assert_int_equal(count_assigned(&p, ROUTE_FEED, true, p.flapping), 1);
	track_record_answered(p.flapping);
	assert_in_range(count_assigned(&p, ROUTE_FEED, true, p.flapping), 2,
			FLOWS);
	bed_close(&p.bed);
}

/* Guards against all targets that count as unresponsive when the link of this
 * VM was cut, and against a stampede to the first one that answers then. */
static void test_unanswered_openings_count_only_beside_answers(void **state)
{
	struct policy policy = policy_default;
	struct path_verdict v;
	struct bed b;
	struct target *t;

	(void)state;
	policy.load_control = LOAD_CONTROL_ON;
	bed_open_with(&b, &policy);
	t = bed_target(&b, 1, SERVICE, ZONE);
	bed_syn(&b, ADDR(0x64400001, 1), VIP, 0);
	bed_advance(&b, 60 * MS);
	assert_int_equal(t->unanswered, 0);
	bed_syn(&b, ADDR(0x64400001, 2), VIP, 0);
	b.now_ns += MS;
	v = bed_syn(&b, ADDR(0x64400001, 3), VIP, 0);
	bed_data(&b, ADDR(0x64400001, 3), VIP, v.target->cookie, 1, 1, 0);
	bed_advance(&b, 60 * MS);
	assert_int_equal(t->unanswered, 1);
	bed_close(&b);
}

/*
 * Guards against long unsafe flows at other data centres, where they are lost
 * when that is cut off, while all targets here fail a request now and then.
 */
static void
test_common_failures_move_no_flow_to_another_data_centre(void **state)
{
	struct target *other;
	struct pair p;

	(void)state;
	open_pair(&p);
	other = bed_target(&p.bed, 3, SERVICE, OTHER_ZONE);
	p.good->peers_failures = 0.8f;
	p.flapping->peers_failures = 0.9f;
	assert_int_equal(count_assigned(&p, ROUTE_REPORT, true, p.good) +
				 count_assigned(&p, ROUTE_REPORT, true,
						p.flapping),
			 FLOWS);
	assert_int_equal(other->advertised.zone == p.good->advertised.zone, 0);
	bed_close(&p.bed);
}

/* Guards against a target that is tried again every few seconds for as long as
 * it goes down and up. */
static void test_each_further_outage_doubles_the_time(void **state)
{
	static const uint64_t seconds[] = { 6, 12, 24, 48, 48 };
	struct target t = { 0 };
	uint64_t now_ns = S;

	(void)state;
	for (size_t i = 0; i < sizeof(seconds) / sizeof(seconds[0]); i++) {
		track_record_avoid(&t, now_ns);
		assert_true(track_record_is_doubtful(
			&t, now_ns + seconds[i] * S - 1));
		assert_false(
			track_record_is_doubtful(&t, now_ns + seconds[i] * S));
		now_ns += 2 * S;
	}
	now_ns += 120 * S;
	track_record_avoid(&t, now_ns);
	assert_false(track_record_is_doubtful(&t, now_ns + 6 * S));
}

/* Guards against one end that counts several times, as packets, probes and
 * peers show it one after the other. */
static void test_one_outage_counts_once(void **state)
{
	struct target t = { 0 };

	(void)state;
	track_record_avoid(&t, 10 * S);
	track_record_avoid(&t, 10 * S + 300 * MS);
	track_record_avoid(&t, 10 * S + 100 * MS);
	assert_int_equal(t.avoidances, 0);
	assert_true(t.avoid_until_ns == 16 * S + 300 * MS);
}

/* Guards against as many requests for a target that takes seven times as long
 * as for the others. */
static void test_slow_target_gets_fewer_requests(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	for (uint32_t i = 0; i < 8; i++)
		track_record_service_time(p.flapping, 385 * MS, 55 * MS,
					  p.bed.now_ns);
	assert_true(track_record_slowness(p.flapping, p.bed.now_ns) > 2.5f);
	p.good->peers_running = 1.5f;
	p.flapping->peers_running = 1;
	assert_int_equal(count_assigned(&p, ROUTE_FEED, true, p.flapping), 0);
	assert_int_equal(count_assigned(&p, ROUTE_FEED, false, p.flapping),
			 FLOWS);
	p.bed.now_ns += 60 * S;
	assert_true(track_record_slowness(p.flapping, p.bed.now_ns) < 1.01f);
	bed_close(&p.bed);
}

/* Guards against a good target that counts as slow since one of its requests
 * took long. */
static void test_single_long_request_matters_little(void **state)
{
	struct target t = { 0 };

	(void)state;
	track_record_service_time(&t, 2 * S, 50 * MS, S);
	assert_true(track_record_slowness(&t, S) < 1.4f);
}

/* Guards against a stampede to a target that is faster than the others. */
static void test_fast_target_counts_as_average(void **state)
{
	struct target t = { 0 };

	(void)state;
	for (uint32_t i = 0; i < 20; i++)
		track_record_service_time(&t, 10 * MS, 50 * MS, S);
	assert_true(track_record_slowness(&t, S) == 1.0f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_unrepeatable_requests_avoid_target_after_ejection),
		cmocka_unit_test(test_nothing_is_avoided_without_load_control),
		cmocka_unit_test(
			test_avoided_target_serves_when_no_other_has_a_slot),
		cmocka_unit_test(
			test_unrepeatable_requests_avoid_first_failures),
		cmocka_unit_test(test_suspicion_outlasts_the_failures),
		cmocka_unit_test(test_common_failures_are_no_suspicion),
		cmocka_unit_test(
			test_unresponsive_target_is_tried_once_at_a_time),
		cmocka_unit_test(
			test_unanswered_openings_count_only_beside_answers),
		cmocka_unit_test(
			test_common_failures_move_no_flow_to_another_data_centre),
		cmocka_unit_test(test_each_further_outage_doubles_the_time),
		cmocka_unit_test(test_one_outage_counts_once),
		cmocka_unit_test(test_slow_target_gets_fewer_requests),
		cmocka_unit_test(test_single_long_request_matters_little),
		cmocka_unit_test(test_fast_target_counts_as_average),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
