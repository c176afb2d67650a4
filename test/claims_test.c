/* Claim records of non-idempotent requests are kept for the cover time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "claims.h"

#define KEEP_NS (10 * NS_PER_S)

static struct claim make_record(uint64_t request, uint32_t bucket)
{
	struct claim c = { .request = request,
			   .bucket = bucket,
			   .claimer = 1,
			   .state = CLAIM_OPEN };

	return c;
}

static uint32_t count_in_bucket(const struct claims *t, uint32_t bucket)
{
	uint32_t slot = claims_newest(t, bucket);
	uint32_t n = 0;

	for (; slot != CLAIM_SLOT_NONE; slot = claims_next_older(t, slot))
		n++;
	return n;
}

static void record_expires_after_cover_time(void **state)
{
	struct claims *t = claims_new(8, 4, KEEP_NS);
	struct claim c = make_record(7, 2);

	(void)state;
	assert_non_null(claims_put(t, &c, 0));
	claims_expire(t, KEEP_NS - 1);
	assert_non_null(claims_find(t, 7));
	claims_expire(t, KEEP_NS);
	assert_null(claims_find(t, 7));
	assert_int_equal(count_in_bucket(t, 2), 0);
	claims_free(t);
}

/*
 * A command is executed twice under load: a full table evicts its oldest
 * record although a caller may still retransmit the request, which then looks
 * new.
 */
static void full_table_keeps_unexpired_records(void **state)
{
	struct claims *t = claims_new(4, 4, KEEP_NS);

	(void)state;
	for (uint64_t i = 1; i <= 4; i++) {
		struct claim c = make_record(i, (uint32_t)i % 4);

		assert_non_null(claims_put(t, &c, i));
	}
	struct claim fifth = make_record(5, 1);

	assert_null(claims_put(t, &fifth, 5));
	assert_non_null(claims_find(t, 1));
	assert_non_null(claims_put(t, &fifth, 1 + KEEP_NS));
	assert_null(claims_find(t, 1));
	assert_int_equal(count_in_bucket(t, 1), 1);
	claims_free(t);
}

static void ring_buffer_reuses_expired_slots(void **state)
{
	struct claims *t = claims_new(16, 4, 8);

	(void)state;
	for (uint64_t i = 1; i < 1000; i++) {
		struct claim c = make_record(i, (uint32_t)i % 4);

		assert_non_null(claims_put(t, &c, i));
		assert_int_equal(claims_count(t), i < 8 ? i : 8);
		assert_true(count_in_bucket(t, (uint32_t)i % 4) <= 2);
	}
	claims_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(record_expires_after_cover_time),
		cmocka_unit_test(full_table_keeps_unexpired_records),
		cmocka_unit_test(ring_buffer_reuses_expired_slots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
