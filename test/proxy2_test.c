#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "proxy2.h"

static const uint64_t caller = ADDR(0x7f460101, 40001);
static const uint64_t vip = ADDR(0x7f46000a, 5683);

static void test_round_trip(void **state)
{
	uint8_t buf[PROXY2_BYTES + 4] = { 0 };
	uint64_t source;
	uint64_t destination;

	(void)state;
	proxy2_write(buf, caller, vip);
	assert_int_equal(proxy2_read(buf, sizeof(buf), &source, &destination),
			 PROXY2_BYTES);
	assert_int_equal(source, caller);
	assert_int_equal(destination, vip);
}

/*
 * Symptom: the datagram's first bytes are read as part of the header.
 * Events: the fabric adds a field (TLV) behind the addresses.
 * Cause: the reader takes the header's size as fixed.
 */
static void test_extra_fields_are_skipped(void **state)
{
	uint8_t buf[PROXY2_BYTES + 5] = { 0 };
	uint64_t source;
	uint64_t destination;

	(void)state;
	proxy2_write(buf, caller, vip);
	buf[15] += 4;
	assert_int_equal(proxy2_read(buf, sizeof(buf), &source, &destination),
			 PROXY2_BYTES + 4);
}

/*
 * Symptom: a read past the datagram, or a caller that nobody named.
 * Events: a datagram is cut short, or is no PROXY header at all.
 * Cause: a length taken from the datagram without a check.
 */
static void test_bad_headers_are_refused(void **state)
{
	uint8_t good[PROXY2_BYTES];
	uint8_t bad[PROXY2_BYTES];
	uint64_t source;
	uint64_t destination;

	(void)state;
	proxy2_write(good, caller, vip);
	for (uint32_t n = 0; n < PROXY2_BYTES; n++)
		assert_int_equal(proxy2_read(good, n, &source, &destination),
				 -EPROTO);
	for (uint32_t i = 0; i < 16; i++) {
		memcpy(bad, good, sizeof(bad));
		bad[i] ^= 0x80;
		assert_int_equal(proxy2_read(bad, sizeof(bad), &source,
					     &destination),
				 -EPROTO);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_extra_fields_are_skipped),
		cmocka_unit_test(test_bad_headers_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
