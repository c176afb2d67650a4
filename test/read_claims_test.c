/* Claims to read the platform, exchanged between data centres. */
#include "read_claims.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define OWN_ZONE 7
#define SELF_VM 100
#define OTHER_VM 200

static struct position at(uint64_t revision)
{
	return (struct position){ 0, revision };
}

/*
 * A dead reader counts as active forever: peers relay its last claim in a
 * circle, and each derives a slightly later time from its age. Times must not
 * decide which claim is later.
 */
static void test_claim_relayed_in_circle_expires(void **state)
{
	struct read_claims a = { 0 }, b = { 0 };
	struct read_claim c = { OWN_ZONE, OTHER_VM, { 0, 50 }, 1, NS_PER_S };

	(void)state;
	assert_true(read_claims_merge(&a, &c));
	for (uint32_t i = 0; i < 100; i++) {
		struct read_claims *to = i % 2 ? &a : &b;
		const struct read_claims *from = i % 2 ? &b : &a;

		c = *read_claims_get(from, OWN_ZONE);
		c.contact_ns += 10 * NS_PER_MS;
		read_claims_merge(to, &c);
	}
	assert_int_equal(read_claims_get(&a, OWN_ZONE)->contact_ns, NS_PER_S);
	assert_true(read_claims_get(&b, OWN_ZONE)->contact_ns <
		    NS_PER_S + 20 * NS_PER_MS);
}

static void test_later_answer_renews_claim(void **state)
{
	struct read_claims a = { 0 };
	struct read_claim old = {
		OWN_ZONE, OTHER_VM, { 0, 50 }, 9, 3 * NS_PER_S
	};

	(void)state;
	read_claims_renew(&a, OWN_ZONE, SELF_VM, at(60), NS_PER_S);
	assert_false(read_claims_merge(&a, &old));
	/* The platform answers without a change. */
	read_claims_renew(&a, OWN_ZONE, SELF_VM, at(60), 2 * NS_PER_S);
	assert_int_equal(read_claims_get(&a, OWN_ZONE)->seq, 2);
	assert_int_equal(read_claims_last_contact_ns(&a), 2 * NS_PER_S);
}

/* Two readers that began together both make the first claim at one position. */
static void test_claims_of_same_position_are_ordered(void **state)
{
	struct read_claims a = { 0 }, b = { 0 };
	struct read_claim of_a, of_b;

	(void)state;
	read_claims_renew(&a, OWN_ZONE, SELF_VM, at(5), 1);
	read_claims_renew(&b, OWN_ZONE, OTHER_VM, at(5), 1);
	of_a = *read_claims_get(&a, OWN_ZONE);
	of_b = *read_claims_get(&b, OWN_ZONE);
	assert_true(read_claims_merge(&a, &of_b) !=
		    read_claims_merge(&b, &of_a));
	assert_int_equal(read_claims_get(&a, OWN_ZONE)->reader,
			 read_claims_get(&b, OWN_ZONE)->reader);
}

/*
 * A change is in force late: the platform refuses the reader, and the other VMs
 * still rely on its last contact. A VM that is refused while another one reads
 * must not withdraw the claim of that one.
 */
static void test_failed_reader_withdraws_only_its_own_claim(void **state)
{
	struct read_claims a = { 0 };
	struct read_claim before;

	(void)state;
	read_claims_renew(&a, OWN_ZONE, SELF_VM, at(5), 4 * NS_PER_S);
	before = *read_claims_get(&a, OWN_ZONE);
	read_claims_withdraw(&a, OWN_ZONE, OTHER_VM, NS_PER_S);
	assert_int_equal(read_claims_get(&a, OWN_ZONE)->contact_ns,
			 4 * NS_PER_S);
	read_claims_withdraw(&a, OWN_ZONE, SELF_VM, NS_PER_S);
	assert_int_equal(read_claims_get(&a, OWN_ZONE)->contact_ns, NS_PER_S);
	assert_false(read_claims_merge(&a, &before));
}

static void test_two_data_centres_precede_all_others(void **state)
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
	/* No data centre was answered since: each one reads. */
	for (uint32_t zone = 1; zone <= 5; zone++)
		assert_int_equal(
			read_claims_readers_before(&a, zone, 4 * NS_PER_S), 0);
}

static void test_own_claim_is_selected_first(void **state)
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
	assert_int_equal(read_claims_select(&a, OWN_ZONE, out, 3), 3);
	assert_int_equal(out[0].zone, 5);
}

/* A claim from before a restore of the platform must not count forever. */
static void test_claim_of_later_epoch_wins(void **state)
{
	struct read_claims a = { 0 };
	struct read_claim old = {
		OWN_ZONE, OTHER_VM, { 1, 50 }, 9, 3 * NS_PER_S
	};
	struct position back = { 2, 40 };

	(void)state;
	read_claims_merge(&a, &old);
	read_claims_renew(&a, OWN_ZONE, SELF_VM, back, 4 * NS_PER_S);
	assert_int_equal(read_claims_get(&a, OWN_ZONE)->reader, SELF_VM);
	assert_int_equal(read_claims_get(&a, OWN_ZONE)->position.revision, 40);
	assert_false(read_claims_merge(&a, &old));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_claim_of_later_epoch_wins),
		cmocka_unit_test(test_claim_relayed_in_circle_expires),
		cmocka_unit_test(test_later_answer_renews_claim),
		cmocka_unit_test(test_claims_of_same_position_are_ordered),
		cmocka_unit_test(
			test_failed_reader_withdraws_only_its_own_claim),
		cmocka_unit_test(test_two_data_centres_precede_all_others),
		cmocka_unit_test(test_own_claim_is_selected_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
