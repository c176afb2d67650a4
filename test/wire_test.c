#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <sodium.h>

#include "wire.h"

#define MAC_BYTES 16

static const uint8_t key[WIRE_KEY_BYTES] = { 1, 2, 3 };

static struct peer_msg claim_msg(void)
{
	struct peer_msg m = { .kind = PEER_CLAIM,
			      .from = ADDR(0x7f460001, 7000),
			      .incarnation = 1800000000000ULL,
			      .view = 9 };

	m.n_claims = 1;
	m.claims[0] = (struct claim){ .request = 0xfeedfacecafebeefULL,
				      .bucket = 77,
				      .claimer = m.from,
				      .target = ADDR(0x7f460201, 5683),
				      .state = CLAIM_OPEN,
				      .history_known = true };
	return m;
}

/*
 * Decodes an authentic datagram with body @body, as from a hostile peer that
 * has the key.
 */
static int decode_body(const uint8_t *body, uint32_t n, struct peer_msg *m)
{
	uint8_t buf[WIRE_MAX_BYTES] = { WIRE_VERSION };

	memcpy(buf + 1, body, n);
	crypto_shorthash_siphashx24(buf + 1 + n, buf, 1 + n, key);
	return wire_decode(buf, 1 + n + MAC_BYTES, key, m);
}

static void claim_survives_round_trip(void **state)
{
	struct peer_msg m = claim_msg();
	struct peer_msg got;
	uint8_t buf[WIRE_MAX_BYTES];
	int32_t n = wire_encode(&m, key, buf, sizeof(buf));

	(void)state;
	assert_true(n > 0);
	assert_int_equal(wire_decode(buf, (uint32_t)n, key, &got), 0);
	assert_memory_equal(&got, &m, sizeof(m));
}

static void data_points_into_datagram(void **state)
{
	static const uint8_t datagram[] = { 0x40, 1, 2, 3 };
	struct peer_msg m = { .kind = PEER_FORWARD,
			      .data = datagram,
			      .size_bytes = sizeof(datagram) };
	struct peer_msg got;
	uint8_t buf[WIRE_MAX_BYTES];
	int32_t n = wire_encode(&m, key, buf, sizeof(buf));

	(void)state;
	assert_int_equal(wire_decode(buf, (uint32_t)n, key, &got), 0);
	assert_int_equal(got.size_bytes, sizeof(datagram));
	assert_memory_equal(got.data, datagram, sizeof(datagram));
	assert_true(got.data > buf && got.data < buf + n);
}

static void small_buffer_is_refused(void **state)
{
	struct peer_msg m = claim_msg();
	uint8_t buf[WIRE_MAX_BYTES];
	int32_t n = wire_encode(&m, key, buf, sizeof(buf));

	(void)state;
	for (int32_t cap = 0; cap < n; cap++)
		assert_int_equal(wire_encode(&m, key, buf, (uint32_t)cap),
				 -EMSGSIZE);
}

/*
 * A datagram is forged, or a bit of it flips in transit. The checksum of UDP is
 * weak and does not prove the sender; an entry would act on a claim that no
 * entry made.
 */
static void flipped_bit_is_refused(void **state)
{
	struct peer_msg m = claim_msg();
	struct peer_msg got;
	uint8_t buf[WIRE_MAX_BYTES];
	uint32_t n = (uint32_t)wire_encode(&m, key, buf, sizeof(buf));

	(void)state;
	for (uint32_t bit = 8; bit < n * 8; bit++) {
		buf[bit / 8] ^= 1 << bit % 8;
		assert_int_equal(wire_decode(buf, n, key, &got), -EBADMSG);
		buf[bit / 8] ^= 1 << bit % 8;
	}
	buf[0]++;
	assert_int_equal(wire_decode(buf, n, key, &got), -EPROTONOSUPPORT);
}

/*
 * A peer with the key, of another release or faulty, sends counts, lengths or
 * types that the message cannot hold. Used without a check, they would
 * overwrite memory past an array, or let the process allocate gigabytes.
 */
static void out_of_bounds_values_are_refused(void **state)
{
	static const struct {
		uint8_t n;
		uint8_t body[16];
	} bad[] = {
		{ 4, { 0, 0, 1, 1 } }, /* no kind */
		{ 4, { PEER_KIND_COUNT, 0, 1, 1 } }, /* unknown kind */
		{ 6, { 1, 0xcd, 0x04, 0x00, 1, 1 } }, /* unknown field */
		{ 15, { 1, 0x40, 1, 1, 0xc4, 9, 1, 2, 3, 4, 5, 6, 7, 8, 9 } },
		{ 5, { 1, 1, 1, 1, 0xff } }, /* negative view */
		{ 5, { 1, 1, 1, 1, 0xc3 } }, /* boolean view */
		{ 9, { 1, 1, 1, 1, 0xdd, 0xff, 0xff, 0xff, 0xff } }, /* array */
		{ 9, { 1, 1, 1, 1, 0xdf, 0xff, 0xff, 0xff, 0xff } }, /* map */
		{ 5, { 1, 0, 1, 1, 0 } }, /* bytes left over */
		{ 3, { 1, 0, 1 } }, /* truncated */
		{ 9, { 1, 0x40, 1, 1, 0xc6, 0xff, 0xff, 0xff, 0xff } },
	};
	struct peer_msg got;

	(void)state;
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(decode_body(bad[i].body, bad[i].n, &got),
				 -EPROTO);
}

/* Complete lists with one element more than the message can hold. */
static void lists_that_exceed_the_message_are_refused(void **state)
{
	uint8_t body[256] = { 1, 0xcc, 0x80, 1, 1, GOSSIP_UPDATES_MAX + 1 };
	struct peer_msg got;

	(void)state;
	assert_int_equal(decode_body(body, 6 + 3 * (GOSSIP_UPDATES_MAX + 1),
				     &got),
			 -EPROTO);
	memcpy(body, ((uint8_t[]){ 1, 0xcd, 1, 0, 1, 1, CLAIMS_MAX + 1 }), 7);
	assert_int_equal(decode_body(body, 7 + 6 * (CLAIMS_MAX + 1), &got),
			 -EPROTO);
	body[6] = CLAIMS_MAX;
	assert_int_equal(decode_body(body, 7 + 6 * CLAIMS_MAX, &got), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(claim_survives_round_trip),
		cmocka_unit_test(data_points_into_datagram),
		cmocka_unit_test(small_buffer_is_refused),
		cmocka_unit_test(flipped_bit_is_refused),
		cmocka_unit_test(out_of_bounds_values_are_refused),
		cmocka_unit_test(lists_that_exceed_the_message_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
