/* Which target a new flow gets: load, data centres, targets that just came. */
#include "packet_bed.h"

#include "assign.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)

static struct target *place(struct bed *b, uint8_t kind, struct rng *rng)
{
	struct assign_query q = {
		.policy = &policy_usual,
		.service = directory_add_service(b->directory, SERVICE),
		.zone = (uint32_t)hash_text(ZONE),
		.kind = kind,
		.feed_load = 0.05f,
		.now_ns = b->now_ns,
	};

	return assign_target(b->directory, &q, rng);
}

/* Two targets of this data centre. */
struct pair {
	struct bed bed;
	struct target *one;
	struct target *other;
};

static void pair_open(struct pair *p)
{
	bed_open(&p->bed);
	p->one = bed_target(&p->bed, 1, SERVICE, ZONE);
	p->other = bed_target(&p->bed, 2, SERVICE, ZONE);
}

/* All flows of a kind go to one target. */
static void assert_all_go(struct pair *p, uint8_t kind,
			  const struct target *target)
{
	struct rng rng = { 3 };

	for (uint32_t i = 0; i < 64; i++)
		assert_ptr_equal(place(&p->bed, kind, &rng), target);
	bed_close(&p->bed);
}

static void test_own_data_centre_first(void **state)
{
	struct rng rng = { 3 };
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	for (uint32_t i = 2; i < 12; i++)
		bed_target(&b, i, SERVICE, OTHER_ZONE);
	for (uint32_t i = 0; i < 32; i++)
		assert_int_equal(place(&b, ROUTE_FEED, &rng)->advertised.id, 1);
	bed_close(&b);
}

static void test_spills_when_own_targets_are_busy(void **state)
{
	struct rng rng = { 3 };
	struct target *own;
	struct bed b;

	(void)state;
	bed_open(&b);
	own = bed_target(&b, 1, SERVICE, ZONE);
	bed_target(&b, 2, SERVICE, OTHER_ZONE);
	own->peers_running = 3;
	assert_int_equal(place(&b, ROUTE_REPORT, &rng)->advertised.id, 2);
	bed_close(&b);
}

static void test_less_loaded_gets_more(void **state)
{
	struct pair p;

	(void)state;
	pair_open(&p);
	p.one->peers_feeds = 20;
	assert_all_go(&p, ROUTE_FEED, p.other);
}

/*
 * Symptom: reports wait behind feeds' requests though a target nearby is idle.
 * Sequence: all feeds of one target ask in the same moment. Cause: reports went
 * by the mean number of feeds and of reports, which is the same at both.
 */
static void test_reports_go_by_what_targets_do_now(void **state)
{
	struct pair p;

	(void)state;
	pair_open(&p);
	p.one->peers_feeds = p.other->peers_feeds = 20;
	p.one->running = 1;
	p.one->peers_running = 2;
	assert_all_go(&p, ROUTE_REPORT, p.other);
}

/* Where feeds happen to ask says nothing of where the next one should be. */
static void test_feeds_do_not_go_by_the_moment(void **state)
{
	struct pair p;

	(void)state;
	pair_open(&p);
	p.other->peers_feeds = 1;
	p.one->running = 3;
	assert_all_go(&p, ROUTE_FEED, p.one);
}

/*
 * Symptom: at low load the targets published first run twice the requests of
 * the last. Sequence: two idle targets are drawn. Cause: the first drawn won,
 * and those are drawn in the order of their publication.
 */
static void test_equal_targets_get_equal_shares(void **state)
{
	struct rng rng = { 3 };
	uint32_t got[7] = { 0 };
	struct bed b;

	(void)state;
	bed_open(&b);
	for (uint32_t i = 1; i <= 6; i++)
		bed_target(&b, i, SERVICE, ZONE);
	for (uint32_t i = 0; i < 6000; i++)
		got[place(&b, ROUTE_REPORT, &rng)->advertised.id]++;
	for (uint32_t i = 1; i <= 6; i++)
		assert_in_range(got[i], 850, 1150);
	bed_close(&b);
}

/*
 * Symptom: while targets are replaced, reports are refused or reset by targets
 * that have just started, and the rest idles. Sequence: a new target comes with
 * no load; until the next heartbeat every entry sees it idle. Cause: each entry
 * gave it all of its new flows.
 */
static void test_new_target_is_not_swamped(void **state)
{
	uint32_t to_new = 0;

	(void)state;
	for (uint32_t entry = 0; entry < 26; entry++) {
		struct rng rng = { entry + 1 };
		struct bed b;

		bed_open(&b);
		for (uint32_t i = 1; i <= 40; i++)
			bed_target(&b, i, SERVICE, ZONE)->peers_feeds = 10;
		bed_target(&b, 41, SERVICE, ZONE);
		for (uint32_t i = 0; i < 5; i++)
			to_new +=
				place(&b, ROUTE_REPORT, &rng)->advertised.id ==
				41;
		bed_close(&b);
	}
	/* 130 flows; an even share is 3. */
	assert_in_range(to_new, 1, 15);
}

static void test_doubted_only_when_nothing_better(void **state)
{
	struct rng rng = { 3 };
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE)->health = HEALTH_SUSPECTED;
	t = bed_target(&b, 2, SERVICE, OTHER_ZONE);
	assert_int_equal(place(&b, ROUTE_FEED, &rng)->advertised.id, 2);
	t->health = HEALTH_DEAD;
	assert_int_equal(place(&b, ROUTE_FEED, &rng)->advertised.id, 1);
	directory_target_at(b.directory, 0)->health = HEALTH_SILENT;
	assert_null(place(&b, ROUTE_FEED, &rng));
	bed_close(&b);
}

/* Two ids of one cookie: among 200,000 some are, by the birthday bound. */
static void find_twins(uint64_t *one, uint64_t *other)
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
	fail_msg("no twins");
}

/*
 * Symptom: a flow's packets reach a target that does not know it. Sequence: two
 * targets have one cookie. Cause: entries that learned them in different order
 * understood the cookie differently.
 */
static void test_twins_share_no_flows(void **state)
{
	uint64_t one = 0, other = 0;

	(void)state;
	find_twins(&one, &other);
	for (uint32_t order = 0; order < 2; order++) {
		struct rng rng = { 3 };
		struct bed b;

		bed_open(&b);
		bed_target(&b, order ? one : other, SERVICE, ZONE);
		bed_target(&b, order ? other : one, SERVICE, ZONE);
		for (uint32_t i = 0; i < 16; i++)
			assert_int_equal(
				place(&b, ROUTE_FEED, &rng)->advertised.id,
				one);
		bed_close(&b);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_data_centre_first),
		cmocka_unit_test(test_spills_when_own_targets_are_busy),
		cmocka_unit_test(test_less_loaded_gets_more),
		cmocka_unit_test(test_reports_go_by_what_targets_do_now),
		cmocka_unit_test(test_feeds_do_not_go_by_the_moment),
		cmocka_unit_test(test_equal_targets_get_equal_shares),
		cmocka_unit_test(test_new_target_is_not_swamped),
		cmocka_unit_test(test_doubted_only_when_nothing_better),
		cmocka_unit_test(test_twins_share_no_flows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
