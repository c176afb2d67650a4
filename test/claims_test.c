/* Records of non-idempotent requests: kept for the cover time, then gone. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "claims.h"

#define KEEP_NS (10 * NS_PER_S)

static struct claim record(uint64_t request, uint32_t bucket)
{
	struct claim c = { .request = request,
			   .bucket = bucket,
			   .claimer = 1,
			   .state = CLAIM_OPEN };

	return c;
}

static uint32_t in_bucket(const struct claims *t, uint32_t bucket)
{
	uint32_t slot = claims_newest(t, bucket);
	uint32_t n = 0;

	for (; slot != CLAIM_SLOT_NONE; slot = claims_next_older(t, slot))
		n++;
	return n;
}

static void test_kept_for_the_cover_time(void **state)
{
	struct claims *t = claims_new(8, 4, KEEP_NS);
	struct claim c = record(7, 2);

	(void)state;
	assert_non_null(claims_put(t, &c, 0));
	claims_expire(t, KEEP_NS - 1);
	assert_non_null(claims_find(t, 7));
	claims_expire(t, KEEP_NS);
	assert_null(claims_find(t, 7));
	assert_int_equal(in_bucket(t, 2), 0);
	claims_free(t);
}

/*
 * Symptom: a command runs twice under load. Sequence: the table is full, the
 * oldest record makes room, its request is repeated and looks new. Cause:
 * room was made with a record that a caller could still repeat.
 */
static void test_full_table_keeps_what_may_be_repeated(void **state)
{
	struct claims *t = claims_new(4, 4, KEEP_NS);

	(void)state;
	for (uint64_t i = 1; i <= 4; i++) {
		struct claim c = record(i, (uint32_t)i % 4);

		assert_non_null(claims_put(t, &c, i));
	}
	struct claim fifth = record(5, 1);

	assert_null(claims_put(t, &fifth, 5));
	assert_non_null(claims_find(t, 1));
	assert_non_null(claims_put(t, &fifth, 1 + KEEP_NS));
	assert_null(claims_find(t, 1));
	assert_int_equal(in_bucket(t, 1), 1);
	claims_free(t);
}

static void test_round_and_round(void **state)
{
	struct claims *t = claims_new(16, 4, 8);

	(void)state;
	for (uint64_t i = 1; i < 1000; i++) {
		struct claim c = record(i, (uint32_t)i % 4);

		assert_non_null(claims_put(t, &c, i));
		assert_int_equal(claims_count(t), i < 8 ? i : 8);
		assert_true(in_bucket(t, (uint32_t)i % 4) <= 2);
	}
	claims_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_kept_for_the_cover_time),
		cmocka_unit_test(test_full_table_keeps_what_may_be_repeated),
		cmocka_unit_test(test_round_and_round),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
