/* Who reads the platform, as data centres tell each other. */
#include "read_claims.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define HERE 7
#define SELF 100
#define OTHER 200

static struct position at(uint64_t revision)
{
	return (struct position){ 0, revision };
}

/*
 * Symptom: a reader that died is believed to read for ever. Sequence: its last
 * claim goes from peer to peer in a circle, each a little later than told.
 * Cause: what looks newer by time was taken for newer.
 */
static void test_a_claim_that_goes_round_grows_old(void **state)
{
	struct read_claims a = { 0 }, b = { 0 };
	struct read_claim c = { HERE, OTHER, { 0, 50 }, 1, NS_PER_S };

	(void)state;
	assert_true(read_claims_merge(&a, &c));
	for (uint32_t i = 0; i < 100; i++) {
		struct read_claims *to = i % 2 ? &a : &b;
		const struct read_claims *from = i % 2 ? &b : &a;

		c = *read_claims_get(from, HERE);
		c.contact_ns += 10 * NS_PER_MS;
		read_claims_merge(to, &c);
	}
	assert_int_equal(read_claims_get(&a, HERE)->contact_ns, NS_PER_S);
	assert_true(read_claims_get(&b, HERE)->contact_ns <
		    NS_PER_S + 20 * NS_PER_MS);
}

static void test_later_answers_are_newer(void **state)
{
	struct read_claims a = { 0 };
	struct read_claim old = { HERE, OTHER, { 0, 50 }, 9, 3 * NS_PER_S };

	(void)state;
	read_claims_renew(&a, HERE, SELF, at(60), NS_PER_S);
	assert_false(read_claims_merge(&a, &old));
	/* Nothing was published since. */
	read_claims_renew(&a, HERE, SELF, at(60), 2 * NS_PER_S);
	assert_int_equal(read_claims_get(&a, HERE)->seq, 2);
	assert_int_equal(read_claims_last_contact_ns(&a), 2 * NS_PER_S);
}

/* Two that began together, each with the first claim at one revision. */
static void test_of_two_alike_one_is_newer(void **state)
{
	struct read_claims a = { 0 }, b = { 0 };
	struct read_claim of_a, of_b;

	(void)state;
	read_claims_renew(&a, HERE, SELF, at(5), 1);
	read_claims_renew(&b, HERE, OTHER, at(5), 1);
	of_a = *read_claims_get(&a, HERE);
	of_b = *read_claims_get(&b, HERE);
	assert_true(read_claims_merge(&a, &of_b) !=
		    read_claims_merge(&b, &of_a));
	assert_int_equal(read_claims_get(&a, HERE)->reader,
			 read_claims_get(&b, HERE)->reader);
}

/*
 * Symptom: a change is in force late. Sequence: the platform turns the reader
 * away. Cause: the others went by its last contact. Somebody who is turned away
 * beside a reader takes nothing back.
 */
static void test_who_is_turned_away_takes_its_claim_back(void **state)
{
	struct read_claims a = { 0 };
	struct read_claim before;

	(void)state;
	read_claims_renew(&a, HERE, SELF, at(5), 4 * NS_PER_S);
	before = *read_claims_get(&a, HERE);
	read_claims_withdraw(&a, HERE, OTHER, NS_PER_S);
	assert_int_equal(read_claims_get(&a, HERE)->contact_ns, 4 * NS_PER_S);
	read_claims_withdraw(&a, HERE, SELF, NS_PER_S);
	assert_int_equal(read_claims_get(&a, HERE)->contact_ns, NS_PER_S);
	assert_false(read_claims_merge(&a, &before));
}

static void test_two_data_centres_come_first(void **state)
{
	struct read_claims a = { 0 };
	uint32_t readers = 0;

	(void)state;
	for (uint32_t zone = 1; zone <= 5; zone++) {
		struct read_claim c = { zone, zone, { 0, 5 }, 1, 4 * NS_PER_S };

		read_claims_merge(&a, &c);
	}
	for (uint32_t zone = 1; zone <= 5; zone++)
		readers +=
			read_claims_readers_before(&a, zone, 3 * NS_PER_S) < 2;
	assert_int_equal(readers, 2);
	/* None was answered of late: each reads. */
	for (uint32_t zone = 1; zone <= 5; zone++)
		assert_int_equal(
			read_claims_readers_before(&a, zone, 4 * NS_PER_S), 0);
}

static void test_own_claim_is_passed_on_first(void **state)
{
	struct read_claims a = { 0 };
	struct read_claim out[3];

	(void)state;
	for (uint32_t zone = 1; zone <= 5; zone++) {
		struct read_claim c = {
			zone, zone, { 0, 5 }, 1, zone * NS_PER_S
		};

		read_claims_merge(&a, &c);
	}
	assert_int_equal(read_claims_select(&a, 2, out, 3), 3);
	assert_int_equal(out[0].zone, 2);
	assert_int_equal(out[1].zone, 5);
	assert_int_equal(out[2].zone, 4);
	assert_int_equal(read_claims_select(&a, HERE, out, 3), 3);
	assert_int_equal(out[0].zone, 5);
}

/* Guards against a claim of before the store went back, believed for ever. */
static void test_claim_of_a_later_epoch_is_newer(void **state)
{
	struct read_claims a = { 0 };
	struct read_claim old = { HERE, OTHER, { 1, 50 }, 9, 3 * NS_PER_S };
	struct position back = { 2, 40 };

	(void)state;
	read_claims_merge(&a, &old);
	read_claims_renew(&a, HERE, SELF, back, 4 * NS_PER_S);
	assert_int_equal(read_claims_get(&a, HERE)->reader, SELF);
	assert_int_equal(read_claims_get(&a, HERE)->position.revision, 40);
	assert_false(read_claims_merge(&a, &old));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_claim_of_a_later_epoch_is_newer),
		cmocka_unit_test(test_a_claim_that_goes_round_grows_old),
		cmocka_unit_test(test_later_answers_are_newer),
		cmocka_unit_test(test_of_two_alike_one_is_newer),
		cmocka_unit_test(test_who_is_turned_away_takes_its_claim_back),
		cmocka_unit_test(test_two_data_centres_come_first),
		cmocka_unit_test(test_own_claim_is_passed_on_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
