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

/* The VMs whose bit is set. */
static void update(struct ring *r, uint32_t set, uint64_t now_ns)
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

	update(r, set, START_NS);
	return r;
}

static bool has(struct ring_pair p, uint64_t v)
{
	return p.owner == v || p.second == v;
}

static bool intersect(struct ring_pair a, struct ring_pair b)
{
	return has(a, b.owner) || (b.second && has(a, b.second));
}

static uint32_t bucket_of(const struct ring *r, uint64_t owner, uint64_t second)
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

static void one_member_owns_all(void **state)
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

static void leaving_self_owns_nothing(void **state)
{
	struct ring *r = ring_of(7);
	uint64_t now_ns = START_NS + NS_PER_S;
	uint32_t i;

	(void)state;
	update(r, 6, now_ns);
	for (i = 0; i < BUCKETS; i++) {
		assert_false(has(ring_current_pair(r, i), vm(0)));
		assert_false(ring_is_covered(r, i, now_ns + 2 * COVER_NS));
	}
	ring_free(r);
}

/*
 * Symptom: a valve command runs twice.
 * Events: owner and second of a bucket die together; one entry hears of both
 * deaths at once, another has yet to hear of either. Both claim the command.
 * Cause: pairs without a common member, so that no entry sees both claims.
 */
static void keeps_a_member_when_both_die(void **state)
{
	struct ring *r = ring_of(0xff);
	uint32_t b = bucket_of(r, vm(2), vm(5));
	uint64_t now_ns = START_NS + NS_PER_S;
	struct ring_pair p;

	(void)state;
	update(r, 0xff & ~(1U << 2 | 1U << 5), now_ns);
	p = ring_current_pair(r, b);
	assert_int_equal(p.owner, ring_desired_pair(r, b).owner);
	assert_int_equal(p.second, vm(5));
	assert_int_equal(ring_next_ns(r), now_ns + SETTLE_NS);
	update(r, 0xff & ~(1U << 2 | 1U << 5), now_ns + SETTLE_NS - 1);
	assert_int_equal(ring_current_pair(r, b).second, vm(5));
	update(r, 0xff & ~(1U << 2 | 1U << 5), now_ns + SETTLE_NS);
	assert_int_equal(ring_current_pair(r, b).second,
			 ring_desired_pair(r, b).second);
	assert_int_equal(ring_next_ns(r), UINT64_MAX);
	ring_free(r);
}

/*
 * Symptom: as above, while two new VMs start.
 * Events: both outrank a bucket's pair; one entry hears of both, two others
 * of one each.
 * Cause: dropping the old owner first leaves the others' pairs without it.
 */
static void keeps_the_owner_when_two_join(void **state)
{
	struct ring *r = ring_of(3), *first = ring_of(3), *last = ring_of(3);
	uint64_t now_ns = START_NS + NS_PER_S;
	uint32_t i, disjoint = 0;
	struct ring_pair want, p;

	(void)state;
	update(r, 15, now_ns);
	update(first, 7, now_ns);
	update(last, 11, now_ns);
	for (i = 0; i < BUCKETS; i++) {
		want = ring_desired_pair(r, i);
		p = ring_current_pair(r, i);
		if (has(want, vm(0)) || has(want, vm(1)))
			continue;
		disjoint++;
		assert_true(intersect(p, ring_current_pair(first, i)));
		assert_true(intersect(p, ring_current_pair(last, i)));
		assert_true(intersect(ring_current_pair(first, i),
				      ring_current_pair(last, i)));
	}
	assert_true(disjoint > 0);
	ring_free(r);
	ring_free(first);
	ring_free(last);
}

/*
 * Symptom: an upload runs twice, ten seconds apart.
 * Events: an entry joins, is asked whether a request was claimed before, and
 * says no: it was, at the pair before. Later it is paused and declared dead;
 * when it wakes its own ring never changed.
 * Cause: an entry that answers for a time in which it wasn't told.
 */
static void covers_after_a_whole_repeat_time(void **state)
{
	struct ring *r = ring_of(3);
	uint64_t now_ns = START_NS + COVER_NS;
	uint32_t b = 5;

	(void)state;
	assert_false(ring_is_covered(r, b, now_ns - 1));
	assert_true(ring_is_covered(r, b, now_ns));
	ring_reset_cover(r, now_ns);
	assert_false(ring_is_covered(r, b, now_ns + COVER_NS - 1));
	ring_mark_covered(r, b);
	assert_true(ring_is_covered(r, b, now_ns));
	update(r, 2, now_ns);
	assert_false(ring_is_covered(r, b, now_ns));
	ring_mark_covered(r, b);
	assert_false(ring_is_covered(r, b, now_ns));
	update(r, 3, now_ns + SETTLE_NS);
	assert_true(has(ring_current_pair(r, b), vm(0)));
	assert_false(ring_is_covered(r, b, now_ns + SETTLE_NS));
	ring_free(r);
}

/*
 * Symptom: two entries are both told to go on with one request.
 * Events: an entry has just placed its buckets, or changed a pair, or has a
 * step to go; another has yet to hear of what it heard.
 * Cause: claims by a pair that others may not have yet.
 */
static void steady_after_a_settle_time_at_rest(void **state)
{
	struct ring *r = ring_of(0xff);
	uint32_t b = bucket_of(r, vm(2), vm(5)), set = 0xff & ~(1U << 5);
	uint64_t now_ns = START_NS + SETTLE_NS;

	(void)state;
	assert_false(ring_is_settled(r, b, now_ns - 1));
	assert_true(ring_is_settled(r, b, now_ns));
	update(r, set, now_ns);
	assert_false(ring_is_settled(r, b, now_ns + SETTLE_NS - 1));
	assert_true(ring_is_settled(r, b, now_ns + SETTLE_NS));
	now_ns += SETTLE_NS;
	update(r, 0xff & ~(1U << 2 | 1U << 5), now_ns);
	update(r, 0xff & ~(1U << 2), now_ns + 1);
	assert_false(ring_is_settled(r, b, now_ns + SETTLE_NS));
	ring_free(r);
}

static void spreads_buckets_evenly(void **state)
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
		cmocka_unit_test(one_member_owns_all),
		cmocka_unit_test(leaving_self_owns_nothing),
		cmocka_unit_test(keeps_a_member_when_both_die),
		cmocka_unit_test(keeps_the_owner_when_two_join),
		cmocka_unit_test(covers_after_a_whole_repeat_time),
		cmocka_unit_test(steady_after_a_settle_time_at_rest),
		cmocka_unit_test(spreads_buckets_evenly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
