/* Selection of a new flow's target by load, data centre and health. */
#include "packet_bed.h"

#include "assign.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)

static struct target *assign(struct bed *b, uint8_t kind, struct rng *rng)
{
	struct assign_query q = {
		.policy = &policy_default,
		.service = directory_add_service(b->directory, SERVICE),
		.zone = (uint32_t)hash_text(ZONE),
		.kind = kind,
		.is_long = kind == ROUTE_FEED,
		.feed_load = 0.05f,
		.now_ns = b->now_ns,
	};

	return assign_target(b->directory, &q, rng);
}

/* A directory with two targets in this data centre. */
struct pair {
	struct bed bed;
	struct target *one;
	struct target *other;
};

static void open_pair(struct pair *p)
{
	bed_open(&p->bed);
	p->one = bed_target(&p->bed, 1, SERVICE, ZONE);
	p->other = bed_target(&p->bed, 2, SERVICE, ZONE);
}

/* Checks that all flows of a kind go to one target; closes the bed. */
static void assert_all_flows_go_to(struct pair *p, uint8_t kind,
				   const struct target *target)
{
	struct rng rng = { 3 };

	for (uint32_t i = 0; i < 64; i++)
		assert_ptr_equal(assign(&p->bed, kind, &rng), target);
	bed_close(&p->bed);
}

static void test_prefers_targets_of_own_data_centre(void **state)
{
	struct rng rng = { 3 };
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	for (uint32_t i = 2; i < 12; i++)
		bed_target(&b, i, SERVICE, OTHER_ZONE);
	for (uint32_t i = 0; i < 32; i++)
		assert_int_equal(assign(&b, ROUTE_FEED, &rng)->advertised.id,
				 1);
	bed_close(&b);
}

static void test_leaves_data_centre_when_its_targets_are_busy(void **state)
{
	struct rng rng = { 3 };
	struct target *own;
	struct bed b;

	(void)state;
	bed_open(&b);
	own = bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, OTHER_ZONE);
	own->peers_running = 3;
	assert_int_equal(assign(&b, ROUTE_REPORT, &rng)->advertised.id, 2);
	bed_close(&b);
}

static void test_feeds_go_to_target_with_fewer_feeds(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	p.one->peers_feeds = 20;
	assert_all_flows_go_to(&p, ROUTE_FEED, p.other);
}

/*
 * Guards against reports that queue behind feeds' requests while another target
 * is idle. All feeds of one target send requests at the same moment; the mean
 * numbers of feeds and reports do not show that.
 */
static void test_reports_go_by_running_requests(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	p.one->peers_feeds = p.other->peers_feeds = 20;
	p.one->running = 1;
	p.one->peers_running = 2;
	assert_all_flows_go_to(&p, ROUTE_REPORT, p.other);
}

/* The requests of a moment do not predict the load of a long flow. */
static void test_feeds_ignore_running_requests(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	p.other->peers_feeds = 1;
	p.one->running = 3;
	assert_all_flows_go_to(&p, ROUTE_FEED, p.one);
}

/*
 * Guards against twice the requests at the targets published first: at low load
 * both sampled targets are idle, and the first one, in order of publication,
 * would be selected.
 */
static void test_idle_targets_get_equal_shares(void **state)
{
	struct rng rng = { 3 };
	uint32_t got[7] = { 0 };
	struct bed b;

	(void)state;
	bed_open(&b);
	for (uint32_t i = 1; i <= 6; i++)
		bed_target(&b, i, SERVICE, ZONE);
	for (uint32_t i = 0; i < 6000; i++)
		got[assign(&b, ROUTE_REPORT, &rng)->advertised.id]++;
	for (uint32_t i = 1; i <= 6; i++)
		assert_in_range(got[i], 850, 1150);
	bed_close(&b);
}

/*
 * Guards against reports that new targets refuse or reset while the others are
 * idle. A new target has no load, and until the next heartbeat every entry sees
 * it idle and would send it all new flows.
 */
static void test_new_target_is_not_overloaded_by_all_entries(void **state)
{
	uint32_t n_to_new = 0;

	(void)state;
	for (uint32_t entry = 0; entry < 26; entry++) {
		struct rng rng = { entry + 1 };
		struct bed b;

		bed_open(&b);
		for (uint32_t i = 1; i <= 40; i++)
			bed_target(&b, i, SERVICE, ZONE)->peers_feeds = 10;
		bed_target(&b, 41, SERVICE, ZONE);
		for (uint32_t i = 0; i < 5; i++)
			n_to_new +=
				assign(&b, ROUTE_REPORT, &rng)->advertised.id ==
				41;
		bed_close(&b);
	}
	/* 130 flows; an even share is 3. */
	assert_in_range(n_to_new, 1, 15);
}

static void test_suspected_target_only_without_a_healthy_one(void **state)
{
	struct rng rng = { 3 };
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE)->health = HEALTH_SUSPECTED;
	t = bed_target(&b, 2, SERVICE, OTHER_ZONE);
	assert_int_equal(assign(&b, ROUTE_FEED, &rng)->advertised.id, 2);
	t->health = HEALTH_DEAD;
	assert_int_equal(assign(&b, ROUTE_FEED, &rng)->advertised.id, 1);
	directory_target_at(b.directory, 0)->health = HEALTH_SILENT;
	assert_null(assign(&b, ROUTE_FEED, &rng));
	bed_close(&b);
}

/*
 * Finds two ids with the same cookie. By the birthday bound 200,000 ids contain
 * some.
 */
static void find_cookie_collision(uint64_t *one, uint64_t *other)
{
	enum { IDS = 200000, SLOTS = 1 << 20 };
	static uint32_t first[SLOTS];

	for (uint32_t id = 1; id < IDS; id++) {
		uint32_t cookie = target_cookie(id);
		uint32_t at = cookie % SLOTS;

		while (first[at] && target_cookie(first[at]) != cookie)
			at = (at + 1) % SLOTS;
		if (first[at]) {
			*one = first[at];
			*other = id;
			return;
		}
		first[at] = id;
	}
	fail_msg("no two ids have the same cookie");
}

/*
 * Guards against packets that reach a target which does not have their flow.
 * Two targets have the same cookie, and entries that learned them in different
 * order would map the cookie to different targets.
 */
static void test_only_oldest_target_of_a_cookie_gets_flows(void **state)
{
	uint64_t one = 0, other = 0;

	(void)state;
	find_cookie_collision(&one, &other);
	for (uint32_t order = 0; order < 2; order++) {
		struct rng rng = { 3 };
		struct bed b;

		bed_open(&b);
		bed_target(&b, order ? one : other, SERVICE, ZONE);
		bed_target(&b, order ? other : one, SERVICE, ZONE);
		for (uint32_t i = 0; i < 16; i++)
			assert_int_equal(
				assign(&b, ROUTE_FEED, &rng)->advertised.id,
				one);
		bed_close(&b);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_prefers_targets_of_own_data_centre),
		cmocka_unit_test(
			test_leaves_data_centre_when_its_targets_are_busy),
		cmocka_unit_test(test_feeds_go_to_target_with_fewer_feeds),
		cmocka_unit_test(test_reports_go_by_running_requests),
		cmocka_unit_test(test_feeds_ignore_running_requests),
		cmocka_unit_test(test_idle_targets_get_equal_shares),
		cmocka_unit_test(
			test_new_target_is_not_overloaded_by_all_entries),
		cmocka_unit_test(
			test_suspected_target_only_without_a_healthy_one),
		cmocka_unit_test(
			test_only_oldest_target_of_a_cookie_gets_flows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
