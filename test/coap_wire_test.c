#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "coap_wire.h"

/* CON GET, ID 0x1234, token AB, Observe 0, Uri-Path "feed", payload "x". */
static const uint8_t feed_open[] = { 0x41, 1,	0x12, 0x34, 0xab, 0x60, 0x54,
				     'f',  'e', 'e',  'd',  0xff, 'x' };

static void test_kind_and_flags_of_each_message(void **state)
{
	static const struct {
		uint8_t data[16];
		uint8_t n;
		uint8_t kind;
		uint16_t flags;
	} cases[] = {
		{ { 0x40, 1, 0, 1 },
		  4,
		  MESSAGE_REQUEST,
		  MESSAGE_CONFIRM | MESSAGE_IDEMPOTENT },
		{ { 0x50, 2, 0, 1 }, 4, MESSAGE_REQUEST, 0 }, /* POST */
		{ { 0x50, 3, 0, 1 }, 4, MESSAGE_REQUEST, MESSAGE_IDEMPOTENT },
		{ { 0x50, 4, 0, 1 }, 4, MESSAGE_REQUEST, MESSAGE_IDEMPOTENT },
		{ { 0x50, 5, 0, 1 }, 4, MESSAGE_REQUEST, MESSAGE_IDEMPOTENT },
		{ { 0x50, 6, 0, 1 }, 4, MESSAGE_REQUEST, 0 }, /* PATCH */
		{ { 0x50, 7, 0, 1 }, 4, MESSAGE_REQUEST, MESSAGE_IDEMPOTENT },
		{ { 0x50, 8, 0, 1 }, 4, MESSAGE_REQUEST, 0 }, /* unknown */
		{ { 0x40, 0, 0, 1 }, 4, MESSAGE_PROBE, MESSAGE_CONFIRM },
		{ { 0x60, 0, 0, 1 }, 4, MESSAGE_ACK, 0 },
		{ { 0x70, 0, 0, 1 }, 4, MESSAGE_RESET, 0 },
		{ { 0x60, 0x45, 0, 1 }, 4, MESSAGE_ANSWER, MESSAGE_PIGGYBACK },
		{ { 0x50, 0x45, 0, 1, 0x61, 9 },
		  6,
		  MESSAGE_ANSWER,
		  MESSAGE_FEED_OPEN },
		{ { 0x60, 0xa3, 0, 1 },
		  4,
		  MESSAGE_ANSWER, /* 5.03 */
		  MESSAGE_PIGGYBACK | MESSAGE_SHED },
		{ { 0x40, 0xa0, 0, 1 },
		  4,
		  MESSAGE_ANSWER, /* 5.00 */
		  MESSAGE_CONFIRM | MESSAGE_FAILED },
		{ { 0x50, 1, 0, 1, 0x60 },
		  5,
		  MESSAGE_REQUEST,
		  MESSAGE_IDEMPOTENT | MESSAGE_FEED_OPEN },
		{ { 0x50, 1, 0, 1, 0x61, 1 },
		  6,
		  MESSAGE_REQUEST,
		  MESSAGE_IDEMPOTENT | MESSAGE_FEED_CLOSE },
		/* POST, Block1 0/more, 1/more, 2/last, 0/last */
		{ { 0x50, 2, 0, 1, 0xd1, 14, 0x0a },
		  7,
		  MESSAGE_REQUEST,
		  MESSAGE_BLOCK | MESSAGE_MORE | MESSAGE_BODY |
			  MESSAGE_FIRST_BLOCK },
		{ { 0x50, 2, 0, 1, 0xd1, 14, 0x1a },
		  7,
		  MESSAGE_REQUEST,
		  MESSAGE_BLOCK | MESSAGE_MORE | MESSAGE_BODY },
		{ { 0x50, 2, 0, 1, 0xd1, 14, 0x22 },
		  7,
		  MESSAGE_REQUEST,
		  MESSAGE_BLOCK | MESSAGE_BODY },
		{ { 0x50, 2, 0, 1, 0xd1, 14, 0x02 }, 7, MESSAGE_REQUEST, 0 },
		/* GET, Block2 3 */
		{ { 0x50, 1, 0, 1, 0xd1, 10, 0x32 },
		  7,
		  MESSAGE_REQUEST,
		  MESSAGE_IDEMPOTENT | MESSAGE_BLOCK },
	};
	struct message msg;

	(void)state;
	for (uint32_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(
			coap_wire_parse(cases[i].data, cases[i].n, &msg), 0);
		assert_int_equal(msg.kind, cases[i].kind);
		assert_int_equal(msg.flags, cases[i].flags);
		assert_int_equal(msg.id, 1);
	}
}

static void test_malformed_datagram_is_rejected(void **state)
{
	static const struct {
		uint8_t data[8];
		uint8_t n;
	} cases[] = {
		{ { 0x40, 1, 0 }, 3 }, /* short header */
		{ { 0x80, 1, 0, 1 }, 4 }, /* version 2 */
		{ { 0x49, 1, 0, 1, 1, 2, 3, 4 }, 8 }, /* token of 9 */
		{ { 0x44, 1, 0, 1, 1, 2, 3 }, 7 }, /* token cut short */
		{ { 0x40, 1, 0, 1, 0xff }, 5 }, /* marker without payload */
		{ { 0x40, 1, 0, 1, 0x65, 1 }, 6 }, /* option cut short */
		{ { 0x50, 0, 0, 1 }, 4 }, /* empty NON */
		{ { 0x60, 1, 0, 1 }, 4 }, /* request in an ACK */
		{ { 0x70, 0x45, 0, 1 }, 4 }, /* answer in a RST */
		{ { 0x40, 0x20, 0, 1 }, 4 }, /* reserved class 1 */
		{ { 0x40, 0xe1, 0, 1 }, 4 }, /* signal of CoAP over TCP */
	};
	struct message msg;

	(void)state;
	for (uint32_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(coap_wire_parse(cases[i].data, cases[i].n,
						 &msg),
				 -EPROTO);
}

static struct action action_to_target(const uint8_t *data, uint32_t n)
{
	return (struct action){ .kind = ACT_TO_TARGET,
				.type = WIRE_CONFIRM,
				.id = 0xbeef,
				.token_len = 4,
				.token = { 9, 8, 7, 6 },
				.data = data,
				.size_bytes = n };
}

static void test_rewrite_keeps_options_and_payload(void **state)
{
	struct action a = action_to_target(feed_open, sizeof(feed_open));
	uint8_t out[64];
	int32_t n = coap_wire_rewrite(&a, out, sizeof(out));
	struct message msg;

	(void)state;
	assert_int_equal(n, sizeof(feed_open) + 3);
	assert_memory_equal(out + 8, feed_open + 5, sizeof(feed_open) - 5);
	assert_int_equal(coap_wire_parse(out, (uint32_t)n, &msg), 0);
	assert_int_equal(msg.id, 0xbeef);
	assert_int_equal(msg.token_len, 4);
	assert_memory_equal(msg.token, a.token, 4);
	assert_int_equal(msg.flags & MESSAGE_FEED_OPEN, MESSAGE_FEED_OPEN);
}

/*
 * A request with a Timeout option waits in a queue before it is forwarded. If
 * the option were forwarded unchanged, or a second one added of which the first
 * counts, the target would run a request whose caller no longer waits.
 */
static void test_rewrite_replaces_the_timeout(void **state)
{
	/* GET, Timeout 5000, option 65010 empty, payload. */
	static const uint8_t data[] = { 0x40, 1,    0,	  1,	0xe2,
					0xfc, 0xdb, 0x13, 0x88, 0xa1,
					0x77, 0xff, 'p' };
	struct action a = action_to_target(data, sizeof(data));
	struct message msg;
	uint8_t out[64];
	int32_t n;

	(void)state;
	assert_int_equal(coap_wire_parse(data, sizeof(data), &msg), 0);
	assert_int_equal(msg.timeout_ns, 5000 * NS_PER_MS);
	a.timeout_ns = 1200 * NS_PER_MS;
	n = coap_wire_rewrite(&a, out, sizeof(out));
	assert_int_equal(n, sizeof(data) + 4);
	assert_int_equal(coap_wire_parse(out, (uint32_t)n, &msg), 0);
	assert_int_equal(msg.timeout_ns, 1200 * NS_PER_MS);
	assert_memory_equal(out + n - 4, data + 9, 4);
}

/*
 * A request arrives with Timeout 0: its caller no longer waits. A timeout_ns of
 * 0 means no timeout in struct message, so the request would still be run.
 */
static void test_timeout_of_zero_is_not_unlimited(void **state)
{
	static const uint8_t data[] = { 0x40, 1, 0, 1, 0xe0, 0xfc, 0xdb };
	struct message msg;

	(void)state;
	assert_int_equal(coap_wire_parse(data, sizeof(data), &msg), 0);
	assert_int_equal(msg.timeout_ns, 1);
}

static void test_local_answers(void **state)
{
	struct action a = { .kind = ACT_ANSWER_CALLER,
			    .answer = ANSWER_NOT_RUN,
			    .type = WIRE_ACK,
			    .reason = REFUSE_QUEUE,
			    .id = 5,
			    .token_len = 1,
			    .token = { 0xab },
			    .retry_after_s = 300 };
	static const char refused[] = "not run: queue full";
	uint8_t out[96];
	int32_t n = coap_wire_local_answer(&a, out, sizeof(out));
	struct message msg;

	(void)state;
	assert_int_equal(coap_wire_parse(out, (uint32_t)n, &msg), 0);
	assert_int_equal(msg.flags, MESSAGE_PIGGYBACK | MESSAGE_SHED);
	assert_memory_equal(out + 5, ((uint8_t[]){ 0xd2, 1, 1, 44, 0xff }), 5);
	assert_memory_equal(out + 10, refused, sizeof(refused) - 1);
	a.answer = ANSWER_UNKNOWN;
	n = coap_wire_local_answer(&a, out, sizeof(out));
	assert_int_equal(out[1], 0xa4);
	assert_memory_equal(out + n - 15, "outcome unknown", 15);
	a.answer = ANSWER_FEED_LOST;
	n = coap_wire_local_answer(&a, out, sizeof(out));
	assert_int_equal(out[1], 0xa3);
	assert_memory_equal(out + n - 9, "feed lost", 9);
}

static void test_cancel_of_a_feed_closes_it(void **state)
{
	struct action a = action_to_target(feed_open, sizeof(feed_open));
	struct message msg;
	uint8_t out[64];
	int32_t n = coap_wire_cancel(&a, out, sizeof(out));

	(void)state;
	assert_int_equal(coap_wire_parse(out, (uint32_t)n, &msg), 0);
	assert_true(msg.flags & MESSAGE_FEED_CLOSE);
	assert_memory_equal(msg.token, a.token, 4);
	a.data = NULL;
	assert_int_equal(coap_wire_cancel(&a, out, sizeof(out)), -EPROTO);
}

/*
 * A request times out at its target, and the target has just used the request's
 * message ID for an update of a feed. A reset refers to a message of its
 * receiver, so a reset with that ID would end the feed and leave the request
 * running.
 */
static void test_cancel_of_a_request_is_not_a_reset(void **state)
{
	static const uint8_t post[] = { 0x42, 0x02, 0,	 7,    0xa,
					0xb,  0xb6, 'r', 'e',  'p',
					'o',  'r',  't', 0xff, 'x' };
	struct action a = action_to_target(post, sizeof(post));
	struct message msg;
	uint8_t out[64];
	int32_t n = coap_wire_cancel(&a, out, sizeof(out));

	(void)state;
	assert_int_equal(coap_wire_parse(out, (uint32_t)n, &msg), 0);
	assert_int_equal(msg.kind, MESSAGE_REQUEST);
	assert_true(msg.flags & MESSAGE_FEED_CLOSE);
	assert_true(msg.flags & MESSAGE_IDEMPOTENT);
	assert_memory_equal(msg.token, a.token, 4);
}

static void test_load_of_targets_is_parsed(void **state)
{
	static const uint8_t answer[] = { 0x52, 0x45, 0,   7,	0,   7,	  0xff,
					  '2',	' ',  '1', '1', ' ', '9', '0' };
	static const uint8_t option[] = { 0x60, 0x45, 0, 1, 0xe6, 0xfc, 0xdf,
					  0,	2,    1, 0, 0,	  5 };
	struct load_report report;
	struct message msg;
	uint8_t out[32];
	int32_t n = coap_wire_load_poll(7, out, sizeof(out));

	(void)state;
	assert_int_equal(coap_wire_parse(out, (uint32_t)n, &msg), 0);
	assert_int_equal(msg.flags, MESSAGE_IDEMPOTENT);
	assert_true(coap_wire_parse_load(answer, sizeof(answer), &report));
	assert_int_equal(report.running, 2);
	assert_int_equal(report.waiting, 11);
	assert_int_equal(report.connections, 90);
	assert_false(coap_wire_parse_load(answer, 11, &report));
	assert_int_equal(coap_wire_parse(option, sizeof(option), &msg), 0);
	assert_true(msg.has_load);
	assert_int_equal(msg.load.running, 2);
	assert_int_equal(msg.load.waiting, 256);
	assert_int_equal(msg.load.connections, 5);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_kind_and_flags_of_each_message),
		cmocka_unit_test(test_malformed_datagram_is_rejected),
		cmocka_unit_test(test_rewrite_keeps_options_and_payload),
		cmocka_unit_test(test_rewrite_replaces_the_timeout),
		cmocka_unit_test(test_timeout_of_zero_is_not_unlimited),
		cmocka_unit_test(test_local_answers),
		cmocka_unit_test(test_cancel_of_a_feed_closes_it),
		cmocka_unit_test(test_cancel_of_a_request_is_not_a_reset),
		cmocka_unit_test(test_load_of_targets_is_parsed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
