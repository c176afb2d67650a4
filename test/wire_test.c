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
				      .covered = true };
	return m;
}

/* A datagram with body @body, authentic: the sender itself is hostile. */
static int decode_body(const uint8_t *body, uint32_t n, struct peer_msg *m)
{
	uint8_t buf[WIRE_MAX_BYTES] = { WIRE_VERSION };

	memcpy(buf + 1, body, n);
	crypto_shorthash_siphashx24(buf + 1 + n, buf, 1 + n, key);
	return wire_decode(buf, 1 + n + MAC_BYTES, key, m);
}

static void test_claim_round_trip(void **state)
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

static void test_data_points_into_datagram(void **state)
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

static void test_no_room(void **state)
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
 * Symptom: an entry acts on a claim that no entry made.
 * Events: a datagram is forged, or a bit of it turns on the way.
 * Cause: UDP's checksum is weak, and no proof of the sender.
 */
static void test_any_flipped_bit_is_refused(void **state)
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
 * Symptom: memory past an array of the message is overwritten, or the
 *	process asks for gigabytes.
 * Events: a peer with the key (another release, a fault) sends counts,
 *	lengths or types that the message can't hold.
 * Cause: counts are used before they are checked.
 */
static void test_out_of_bounds_is_refused(void **state)
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
		{ 3, { 1, 0, 1 } }, /* cut short */
		{ 9, { 1, 0x40, 1, 1, 0xc6, 0xff, 0xff, 0xff, 0xff } },
	};
	struct peer_msg got;

	(void)state;
	for (uint32_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(decode_body(bad[i].body, bad[i].n, &got),
				 -EPROTO);
}

/* The lists are whole, one element longer than the message has room for. */
static void test_long_lists_are_refused(void **state)
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
		cmocka_unit_test(test_claim_round_trip),
		cmocka_unit_test(test_data_points_into_datagram),
		cmocka_unit_test(test_no_room),
		cmocka_unit_test(test_any_flipped_bit_is_refused),
		cmocka_unit_test(test_out_of_bounds_is_refused),
		cmocka_unit_test(test_long_lists_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
