#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "ring.h"

#define BUCKETS 1024
#define SETTLE_NS (500 * NS_PER_MS)
#define COVER_NS (93 * NS_PER_S)
#define START_NS (10 * NS_PER_S)

static uint64_t vm(uint32_t i)
{
	return ADDR(0x7f320000U + i + 1, 7000);
}

/* Set the VMs whose bit in @set is set as live. */
static void set_live(struct ring *r, uint32_t set, uint64_t now_ns)
{
	uint64_t vms[32];
	uint32_t i, n = 0;

	for (i = 0; i < 32; i++)
		if (set & 1U << i)
			vms[n++] = vm(i);
	ring_update(r, vms, n, now_ns);
}

static struct ring *ring_of(uint32_t set)
{
	struct ring_observer watch = { 0 };
	struct ring *r = ring_new(BUCKETS, vm(0), SETTLE_NS, COVER_NS, watch);

	set_live(r, set, START_NS);
	return r;
}

static bool pair_contains(struct ring_pair p, uint64_t v)
{
	return p.owner == v || p.second == v;
}

static bool pairs_intersect(struct ring_pair a, struct ring_pair b)
{
	return pair_contains(a, b.owner) ||
	       (b.second && pair_contains(a, b.second));
}

static uint32_t find_bucket(const struct ring *r, uint64_t owner,
			    uint64_t second)
{
	struct ring_pair p;
	uint32_t i;

	for (i = 0; i < BUCKETS; i++) {
		p = ring_current_pair(r, i);
		if (p.owner == owner && p.second == second)
			return i;
	}
	fail();
	return 0;
}

static void single_vm_owns_all_buckets(void **state)
{
	struct ring *r = ring_of(1);
	uint32_t i;

	(void)state;
	for (i = 0; i < BUCKETS; i++) {
		assert_int_equal(ring_current_pair(r, i).owner, vm(0));
		assert_int_equal(ring_current_pair(r, i).second, ADDR_NONE);
	}
	assert_int_equal(ring_next_ns(r), UINT64_MAX);
	ring_free(r);
}

static void leaving_vm_owns_no_buckets(void **state)
{
	struct ring *r = ring_of(7);
	uint64_t now_ns = START_NS + NS_PER_S;
	uint32_t i;

	(void)state;
	set_live(r, 6, now_ns);
	for (i = 0; i < BUCKETS; i++) {
		assert_false(pair_contains(ring_current_pair(r, i), vm(0)));
		assert_false(ring_history_known(r, i, now_ns + 2 * COVER_NS));
	}
	ring_free(r);
}

/*
 * Guards against a non-idempotent request that runs twice. Owner and second of
 * a bucket die together; one entry has received both deaths and another
 * neither, and both claim the request. Their pairs need a common member that
 * receives both claims.
 */
static void pair_keeps_a_member_when_both_die(void **state)
{
	struct ring *r = ring_of(0xff);
	uint32_t b = find_bucket(r, vm(2), vm(5));
	uint64_t now_ns = START_NS + NS_PER_S;
	struct ring_pair p;

	(void)state;
	set_live(r, 0xff & ~(1U << 2 | 1U << 5), now_ns);
	p = ring_current_pair(r, b);
	assert_int_equal(p.owner, ring_desired_pair(r, b).owner);
	assert_int_equal(p.second, vm(5));
	assert_int_equal(ring_next_ns(r), now_ns + SETTLE_NS);
	set_live(r, 0xff & ~(1U << 2 | 1U << 5), now_ns + SETTLE_NS - 1);
	assert_int_equal(ring_current_pair(r, b).second, vm(5));
	set_live(r, 0xff & ~(1U << 2 | 1U << 5), now_ns + SETTLE_NS);
	assert_int_equal(ring_current_pair(r, b).second,
			 ring_desired_pair(r, b).second);
	assert_int_equal(ring_next_ns(r), UINT64_MAX);
	ring_free(r);
}

/*
 * Guards against the same while two new VMs start that outrank a bucket's pair.
 * One entry has received both joins, two others one each. If the old owner were
 * dropped first, the pairs of the others would not contain the remaining
 * member.
 */
static void pair_keeps_owner_when_two_join(void **state)
{
	struct ring *r = ring_of(3), *view_with_first = ring_of(3),
		    *view_with_second = ring_of(3);
	uint64_t now_ns = START_NS + NS_PER_S;
	uint32_t i, disjoint = 0;
	struct ring_pair want, p;

	(void)state;
	set_live(r, 15, now_ns);
	set_live(view_with_first, 7, now_ns);
	set_live(view_with_second, 11, now_ns);
	for (i = 0; i < BUCKETS; i++) {
		want = ring_desired_pair(r, i);
		p = ring_current_pair(r, i);
		if (pair_contains(want, vm(0)) || pair_contains(want, vm(1)))
			continue;
		disjoint++;
		assert_true(pairs_intersect(
			p, ring_current_pair(view_with_first, i)));
		assert_true(pairs_intersect(
			p, ring_current_pair(view_with_second, i)));
		assert_true(pairs_intersect(
			ring_current_pair(view_with_first, i),
			ring_current_pair(view_with_second, i)));
	}
	assert_true(disjoint > 0);
	ring_free(r);
	ring_free(view_with_first);
	ring_free(view_with_second);
}

/*
 * Guards against a request that runs twice, ten seconds apart. An entry joins a
 * pair and is asked whether a request was claimed before: it was, by the
 * previous pair, but the entry has no record of it. The same happens after a
 * pause during which the entry was declared dead, although its own ring did not
 * change.
 */
static void bucket_is_covered_after_cover_time(void **state)
{
	struct ring *r = ring_of(3);
	uint64_t now_ns = START_NS + COVER_NS;
	uint32_t b = 5;

	(void)state;
	assert_false(ring_history_known(r, b, now_ns - 1));
	assert_true(ring_history_known(r, b, now_ns));
	ring_restart_cover_time(r, now_ns);
	assert_false(ring_history_known(r, b, now_ns + COVER_NS - 1));
	ring_mark_history_known(r, b);
	assert_true(ring_history_known(r, b, now_ns));
	set_live(r, 2, now_ns);
	assert_false(ring_history_known(r, b, now_ns));
	ring_mark_history_known(r, b);
	assert_false(ring_history_known(r, b, now_ns));
	set_live(r, 3, now_ns + SETTLE_NS);
	assert_true(pair_contains(ring_current_pair(r, b), vm(0)));
	assert_false(ring_history_known(r, b, now_ns + SETTLE_NS));
	ring_free(r);
}

/*
 * Guards against two entries that are both granted one claim: an entry has just
 * assigned its buckets, or changed a pair, or still has a change to make, and
 * another has not received the updates that it has. Other entries may not have
 * that pair.
 */
static void pair_is_settled_after_a_settle_time_without_change(void **state)
{
	struct ring *r = ring_of(0xff);
	uint32_t b = find_bucket(r, vm(2), vm(5)), set = 0xff & ~(1U << 5);
	uint64_t now_ns = START_NS + SETTLE_NS;

	(void)state;
	assert_false(ring_is_settled(r, b, now_ns - 1));
	assert_true(ring_is_settled(r, b, now_ns));
	set_live(r, set, now_ns);
	assert_false(ring_is_settled(r, b, now_ns + SETTLE_NS - 1));
	assert_true(ring_is_settled(r, b, now_ns + SETTLE_NS));
	now_ns += SETTLE_NS;
	set_live(r, 0xff & ~(1U << 2 | 1U << 5), now_ns);
	set_live(r, 0xff & ~(1U << 2), now_ns + 1);
	assert_false(ring_is_settled(r, b, now_ns + SETTLE_NS));
	ring_free(r);
}

static void buckets_are_balanced(void **state)
{
	struct ring *r = ring_of(0xff);
	uint32_t i, owned[8] = { 0 };

	(void)state;
	for (i = 0; i < BUCKETS; i++)
		owned[ADDR_IP(ring_current_pair(r, i).owner) - 0x7f320001U]++;
	for (i = 0; i < 8; i++)
		assert_in_range(owned[i], BUCKETS / 8 * 3 / 4,
				BUCKETS / 8 * 5 / 4);
	ring_free(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(single_vm_owns_all_buckets),
		cmocka_unit_test(leaving_vm_owns_no_buckets),
		cmocka_unit_test(pair_keeps_a_member_when_both_die),
		cmocka_unit_test(pair_keeps_owner_when_two_join),
		cmocka_unit_test(bucket_is_covered_after_cover_time),
		cmocka_unit_test(
			pair_is_settled_after_a_settle_time_without_change),
		cmocka_unit_test(buckets_are_balanced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
