/* Ejection of targets that accept flows and fail their requests. */
#include "packet_bed.h"

#include "outlier.h"
#include "assign.h"
#include "route_table.h"

#include <math.h>
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

/*
 * Sends @n reports 30 ms apart, each on a new flow. Target @fails answers
 * with @error_bytes. Returns the number of reports that it got.
 */
static uint32_t send_reports(struct bed *b, uint32_t first, uint32_t n,
			     uint64_t fails, uint32_t error_bytes)
{
	uint32_t got = 0;

	for (uint32_t i = first; i < first + n; i++) {
		struct path_verdict v =
			bed_open_flow(b, CALLER + i, REPORT_VIP);
		bool is_failing = v.target->advertised.id == fails;

		got += is_failing;
		bed_data(b, CALLER + i, REPORT_VIP, v.target->cookie, 2, 1,
			 900);
		b->now_ns += 10 * MS;
		bed_data(b, CALLER + i, REPORT_VIP, v.target->cookie, 3,
			 1 + (is_failing ? error_bytes : ANSWER_BYTES), 0);
		bed_advance(b, 20 * MS);
	}
	return got;
}

/*
 * Guards against a target that accepts connections and answers each request at
 * once with an error: it is always the least loaded, so it would get a sixth of
 * the reports of six targets, and more when requests are many.
 */
static void test_target_that_answers_with_errors_is_ejected(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	send_reports(&b, 0, 60, 1, ANSWER_BYTES);
	send_reports(&b, 60, 60, 1, ERROR_BYTES);
	assert_int_equal(b.n_ejected, 1);
	assert_int_equal(b.ejected[0], 1);
	assert_int_equal(send_reports(&b, 120, 60, 1, ERROR_BYTES), 0);
	bed_close(&b);
}

/*
 * Guards against reports that wait until their deadlines. A target accepts
 * requests and does not answer, or resets their flows; probes succeed each time
 * and clear the suspicion.
 */
static void test_target_that_accepts_but_never_answers_is_ejected(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	for (uint32_t i = 0; i < 8; i++)
		bed_data(&b, CALLER + i, REPORT_VIP, target_cookie(1), 2, 1,
			 900);
	bed_advance(&b, 500 * MS);
	assert_int_equal(b.n_probes, 1);
	bed_end_probes(&b, 1, PROBE_ACCEPTED);
	assert_int_equal(directory_by_id(b.directory, 1)->health, HEALTH_GOOD);
	assert_int_equal(b.n_ejected, 1);
	assert_int_equal(b.ejected[0], 1);
	bed_close(&b);
}

/* Under overload all targets are late, so none is an outlier. */
static void test_overload_of_all_targets_ejects_none(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	for (uint32_t round = 0; round < 20; round++) {
		for (uint32_t i = 1; i <= TARGETS; i++)
			outlier_record_failure(directory_by_id(b.directory, i),
					       &policy_default, b.now_ns);
		bed_advance(&b, 100 * MS);
	}
	assert_int_equal(b.n_ejected, 0);
	bed_close(&b);
}

/*
 * Guards against the ejection of healthy targets at normal load: feeds have
 * small answers now and then, and one target has five in two seconds by chance.
 */
static void test_random_failures_eject_none(void **state)
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

static void record_many_failures(struct bed *b, uint64_t id)
{
	for (uint32_t i = 0; i < 20; i++)
		outlier_record_failure(directory_by_id(b->directory, id),
				       &policy_default, b->now_ns);
}

/* Guards against overload of the targets that remain after many ejections. */
static void test_at_most_a_third_of_targets_is_ejected(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b);
	for (uint64_t id = 1; id <= 4; id++) {
		record_many_failures(&b, id);
		bed_advance(&b, 200 * MS);
	}
	assert_int_equal(b.n_ejected, TARGETS / 3);
	bed_close(&b);
}

/* Assigns @n flows without load. Returns the number that @t gets. */
static uint32_t count_assigned(struct bed *b, uint32_t n,
			       const struct target *t)
{
	struct assign_query q = {
		.policy = &policy_default,
		.service = t->advertised.service,
		.zone = t->advertised.zone,
		.kind = ROUTE_REPORT,
		.now_ns = b->now_ns,
	};
	struct rng rng = { 3 };
	uint32_t got = 0;

	for (uint32_t i = 0; i < n; i++)
		got += assign_target(b->directory, &q, &rng) == t;
	return got;
}

/*
 * Guards against dozens of failed reports at the end of each ejection. It
 * ends at all entries together, the target is idle, and it would get its whole
 * share and more before its failures are seen again.
 */
static void test_target_on_trial_gets_few_flows(void **state)
{
	struct bed b;
	struct target *t;

	(void)state;
	open_bed(&b);
	t = directory_by_id(b.directory, 1);
	record_many_failures(&b, 1);
	bed_advance(&b, 200 * MS);
	assert_int_equal(b.n_ejected, 1);
	b.now_ns = t->ejected_until_ns + MS;
	assert_true(outlier_is_on_trial(t, &policy_default, b.now_ns));
	/* An even share of 1,200 flows is 200. */
	assert_in_range(count_assigned(&b, 1200, t), 20, 60);
	b.now_ns += 3 * NS_PER_S;
	assert_false(outlier_is_on_trial(t, &policy_default, b.now_ns));
	assert_in_range(count_assigned(&b, 1200, t), 140, 260);
	bed_close(&b);
}

/* On trial few failures are enough, and the next ejection is longer. */
static void test_second_ejection_lasts_longer(void **state)
{
	struct bed b;
	struct target *t;
	uint64_t first_ns, second_ns;

	(void)state;
	open_bed(&b);
	t = directory_by_id(b.directory, 1);
	record_many_failures(&b, 1);
	bed_advance(&b, 200 * MS);
	first_ns = t->ejected_until_ns - b.now_ns;
	b.now_ns = t->ejected_until_ns + MS;
	outlier_record_failure(t, &policy_default, b.now_ns);
	outlier_record_failure(t, &policy_default, b.now_ns);
	outlier_record_failure(t, &policy_default, b.now_ns);
	bed_advance(&b, 100 * MS);
	assert_int_equal(b.n_ejected, 2);
	second_ns = t->ejected_until_ns - b.now_ns;
	assert_in_range(second_ns, first_ns + NS_PER_S, 3 * first_ns);
	bed_close(&b);
}

/* With many entries, each sees only a request in seconds at a target. */
static void test_failures_seen_by_peers_count(void **state)
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

/*
 * Sends @n reports, each on a new flow. Answers take 20 ms, those of target 1
 * 500 ms.
 */
static void send_reports_to_slow_target(struct bed *b, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		struct path_verdict v =
			bed_open_flow(b, CALLER + i, REPORT_VIP);
		bool slow = v.target->advertised.id == 1;

		bed_data(b, CALLER + i, REPORT_VIP, v.target->cookie, 2, 1,
			 900);
		bed_advance(b, slow ? 500 * MS : 20 * MS);
		bed_data(b, CALLER + i, REPORT_VIP, v.target->cookie, 3,
			 1 + ANSWER_BYTES, 0);
		bed_advance(b, 20 * MS);
	}
}

static void open_bed_with_load_control(struct bed *b)
{
	static struct policy policy;

	policy = policy_default;
	policy.load_control = LOAD_CONTROL_ON;
	bed_open_with(b, &policy);
	for (uint32_t i = 1; i <= TARGETS; i++)
		bed_target(b, i, SERVICE, ZONE);
	send_reports(b, 1000, 60, 0, 0);
}

/* Guards against ejections of good targets that take long for a few requests:
 * each is overdue, and answered after all. */
static void test_late_answers_eject_none(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed_with_load_control(&b);
	t = directory_by_id(b.directory, 1);
	send_reports_to_slow_target(&b, 120);
	assert_int_equal(b.n_ejected, 0);
	assert_true(outlier_failure_count(t, &policy_default, b.now_ns) <
		    0.01f);
	bed_close(&b);
}

/* Guards against a target that never answers and stays in use, since overdue
 * requests may be taken back. */
static void test_lost_requests_eject_with_load_control(void **state)
{
	struct bed b, off;

	(void)state;
	open_bed_with_load_control(&b);
	open_bed(&off);
	for (uint32_t i = 0; i < 8; i++) {
		bed_data(&b, CALLER + i, REPORT_VIP, target_cookie(1), 2, 1,
			 900);
		bed_data(&off, CALLER + i, REPORT_VIP, target_cookie(1), 2, 1,
			 900);
	}
	bed_advance(&b, 500 * MS);
	bed_advance(&off, 500 * MS);
	assert_int_equal(b.n_ejected, 1);
	assert_int_equal(b.ejected[0], 1);
	assert_int_equal(off.n_ejected, 1);
	bed_close(&b);
	bed_close(&off);
}

/* Guards against a change for deployments that don't call for load control, and
 * against failures that are taken back by an error answer. */
static void test_late_error_answers_stay_counted(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	open_bed_with_load_control(&b);
	t = directory_by_id(b.directory, 1);
	bed_open_flow(&b, CALLER, REPORT_VIP);
	bed_data(&b, CALLER, REPORT_VIP, target_cookie(1), 2, 1, 900);
	bed_advance(&b, 500 * MS);
	bed_data(&b, CALLER, REPORT_VIP, target_cookie(1), 3, 1 + ERROR_BYTES,
		 0);
	assert_true(outlier_failure_count(t, &policy_default, b.now_ns) > 1.7f);
	bed_close(&b);
	open_bed(&b);
	t = directory_by_id(b.directory, 1);
	bed_data(&b, CALLER, REPORT_VIP, target_cookie(1), 2, 1, 900);
	bed_advance(&b, 500 * MS);
	bed_data(&b, CALLER, REPORT_VIP, target_cookie(1), 3, 1 + ANSWER_BYTES,
		 0);
	assert_true(outlier_failure_count(t, &policy_default, b.now_ns) > 0.9f);
	bed_close(&b);
}

/* Guards against failures of other requests that vanish: a request is taken
 * back with the weight that it still has. */
static void test_taken_back_failure_is_decayed_alike(void **state)
{
	struct target t = { 0 };
	float alone;

	(void)state;
	outlier_record_failure(&t, &policy_default, NS_PER_S);
	outlier_record_failure(&t, &policy_default, 2 * NS_PER_S);
	outlier_take_back_failure(&t, &policy_default, 1, NS_PER_S);
	alone = outlier_failure_count(&t, &policy_default, 3 * NS_PER_S);
	t = (struct target){ 0 };
	outlier_record_failure(&t, &policy_default, 2 * NS_PER_S);
	assert_float_equal(
		alone, outlier_failure_count(&t, &policy_default, 3 * NS_PER_S),
		0.0001);
	outlier_take_back_failure(&t, &policy_default, 1, 2 * NS_PER_S);
	outlier_take_back_failure(&t, &policy_default, 1, 2 * NS_PER_S);
	assert_true(t.failures >= 0);
}

static void test_failures_decay(void **state)
{
	struct bed b;
	struct target *t;

	(void)state;
	open_bed(&b);
	t = directory_by_id(b.directory, 1);
	record_many_failures(&b, 1);
	assert_true(outlier_failure_count(t, &policy_default, b.now_ns) >
		    19.9f);
	assert_true(outlier_failure_count(t, &policy_default,
					  b.now_ns + 10 * NS_PER_S) < 0.2f);
	bed_close(&b);
}

#define CALM_TARGETS 12
#define CALM_FEEDS 192
#define CALM_SLOTS 2
/* One request in 60 ms a target, which occupies half of its slots. */
#define CALM_ARRIVAL_NS (60 * MS / CALM_TARGETS)
#define CALM_NS (1200 * NS_PER_S)
#define LONG_WORK_FACTOR 7

/* An open feed; its request is answered at @done_ns, 0 for none. */
struct calm_feed {
	struct target *target;
	uint64_t done_ns;
	uint32_t ack;
	uint32_t seq;
};

struct calm {
	struct bed b;
	struct rng rng;
	struct calm_feed feeds[CALM_FEEDS];
	uint64_t slot_free_ns[CALM_TARGETS][CALM_SLOTS];
};

static double uniform(struct rng *rng)
{
	return ((double)(rng_next(rng) >> 11) + 0.5) / (double)(1ULL << 53);
}

static double log_normal(struct rng *rng, double mean, double sigma)
{
	double normal = sqrt(-2 * log(uniform(rng))) *
			cos(2 * 3.14159265358979 * uniform(rng));

	return mean * exp(sigma * normal - sigma * sigma / 2);
}

/* The end of a request of 47 ms that begins now or when a slot is free; 3 in 100
 * take LONG_WORK_FACTOR times as long. */
static uint64_t serve(struct calm *c, uint32_t target)
{
	uint64_t *slot = &c->slot_free_ns[target][0];
	double work_ns = log_normal(&c->rng, 47.0 * MS, 0.6);

	if (uniform(&c->rng) < 0.03)
		work_ns *= LONG_WORK_FACTOR;
	for (uint32_t i = 1; i < CALM_SLOTS; i++)
		if (c->slot_free_ns[target][i] < *slot)
			slot = &c->slot_free_ns[target][i];
	if (*slot < c->b.now_ns)
		*slot = c->b.now_ns;
	*slot += (uint64_t)work_ns;
	return *slot;
}

static void send_calm_request(struct calm *c)
{
	uint32_t i = (uint32_t)(rng_next(&c->rng) % CALM_FEEDS);
	struct calm_feed *f = &c->feeds[i];

	if (f->done_ns)
		return;
	f->seq += 2;
	bed_data(&c->b, CALLER + i, VIP, f->target->cookie, f->seq, f->ack,
		 100);
	f->done_ns = serve(c, (uint32_t)f->target->advertised.id - 1);
}

static void answer_calm_requests(struct calm *c)
{
	for (uint32_t i = 0; i < CALM_FEEDS; i++) {
		struct calm_feed *f = &c->feeds[i];

		if (!f->done_ns || f->done_ns > c->b.now_ns)
			continue;
		f->done_ns = 0;
		f->ack += (uint32_t)log_normal(&c->rng, 2400, 0.6);
		bed_data(&c->b, CALLER + i, VIP, f->target->cookie, f->seq + 1,
			 f->ack, 0);
	}
}

/* Ejections while feeds with a long tail of work are served; one entry sees what
 * all see together. */
static uint32_t calm_ejections(uint8_t load_control)
{
	static struct policy policy;
	static struct calm c;
	uint64_t next_ns, end_ns;

	policy = policy_default;
	policy.load_control = load_control;
	c = (struct calm){ .rng = { 11 } };
	bed_open_with(&c.b, &policy);
	for (uint32_t i = 1; i <= CALM_TARGETS; i++)
		bed_target(&c.b, i, SERVICE, ZONE);
	for (uint32_t i = 0; i < CALM_FEEDS; i++) {
		struct path_verdict v = bed_open_flow(&c.b, CALLER + i, VIP);

		c.feeds[i] = (struct calm_feed){
			.target = directory_by_id(c.b.directory,
						  v.target->advertised.id),
			.ack = 1,
			.seq = 1,
		};
	}
	next_ns = c.b.now_ns;
	for (end_ns = next_ns + CALM_NS; c.b.now_ns < end_ns;) {
		c.b.now_ns += MS;
		while (next_ns <= c.b.now_ns) {
			send_calm_request(&c);
			next_ns += (uint64_t)(-log(uniform(&c.rng)) *
					      CALM_ARRIVAL_NS);
		}
		answer_calm_requests(&c);
		if (c.b.now_ns / MS % 20 == 0)
			path_tick(c.b.path, c.b.now_ns);
	}
	bed_close(&c.b);
	return c.b.n_ejected;
}

/* Guards against ejections of good targets on a calm day whose requests have a
 * long tail: two may be ejected in all. */
static void test_calm_load_with_a_long_tail_ejects_none(void **state)
{
	(void)state;
	assert_in_range(calm_ejections(LOAD_CONTROL_ON), 0, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_target_that_answers_with_errors_is_ejected),
		cmocka_unit_test(
			test_target_that_accepts_but_never_answers_is_ejected),
		cmocka_unit_test(test_overload_of_all_targets_ejects_none),
		cmocka_unit_test(test_random_failures_eject_none),
		cmocka_unit_test(test_at_most_a_third_of_targets_is_ejected),
		cmocka_unit_test(test_target_on_trial_gets_few_flows),
		cmocka_unit_test(test_second_ejection_lasts_longer),
		cmocka_unit_test(test_failures_seen_by_peers_count),
		cmocka_unit_test(test_late_answers_eject_none),
		cmocka_unit_test(test_lost_requests_eject_with_load_control),
		cmocka_unit_test(test_late_error_answers_stay_counted),
		cmocka_unit_test(test_taken_back_failure_is_decayed_alike),
		cmocka_unit_test(test_calm_load_with_a_long_tail_ejects_none),
		cmocka_unit_test(test_failures_decay),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
