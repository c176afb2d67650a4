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

static void header_is_parsed_as_written(void **state)
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
 * The fabric adds a TLV field after the addresses. A parser that assumes a
 * header of fixed size would read the field as the beginning of the datagram.
 */
static void tlv_fields_are_skipped(void **state)
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
 * A datagram is truncated or has no PROXY header. A length that is used without
 * a check would lead to a read past the datagram, or to the address of a caller
 * that does not exist.
 */
static void malformed_headers_are_refused(void **state)
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
		cmocka_unit_test(header_is_parsed_as_written),
		cmocka_unit_test(tlv_fields_are_skipped),
		cmocka_unit_test(malformed_headers_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
