/* sim-target: retransmitted messages and block-wise uploads. */
#include "sim-target/target.h"

#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define CAPACITY 4
#define WINDOW_NS 1000
#define PEER ADDR(0x7f0a0101, 4000)
#define OTHER_PEER ADDR(0x7f0a0102, 4000)

static int setup(void **state)
{
	*state = dedup_new(CAPACITY, WINDOW_NS);
	return 0;
}

static int teardown(void **state)
{
	dedup_free(*state);
	return 0;
}

static struct message_key key_of(uint64_t peer, uint16_t mid, uint8_t token)
{
	struct message_key key = {
		.peer = peer, .mid = mid, .token_len = 1, .token = { token }
	};

	return key;
}

static enum dedup_verdict record(struct dedup *d, struct message_key key,
				 uint64_t now_ns)
{
	const struct answer *answer;

	return dedup_record(d, &key, now_ns, &answer);
}

/*
 * libcoap 4.3.1 does not drop retransmissions: a CON that was retransmitted
 * while it ran and after its answer ran three times.
 */
static void retransmission_gets_the_recorded_answer(void **state)
{
	struct message_key key = key_of(PEER, 7, 1);
	struct answer recorded = { .code = 0x44, .body = "done" };
	const struct answer *answer = NULL;

	assert_int_equal(record(*state, key, 0), DEDUP_NEW);
	assert_int_equal(record(*state, key, 1), DEDUP_PENDING);
	dedup_record_answer(*state, &key, &recorded);
	assert_int_equal(dedup_record(*state, &key, 2, &answer),
			 DEDUP_ANSWERED);
	assert_int_equal(answer->code, 0x44);
	assert_string_equal(answer->body, "done");
}

/*
 * A caller got the answer of another caller when an endpoint reused a message
 * ID with another token, since only endpoint and message ID were compared.
 */
static void reused_message_id_is_not_a_retransmission(void **state)
{
	struct message_key first = key_of(PEER, 7, 1);
	struct message_key second = key_of(PEER, 7, 2);
	struct answer recorded = { .code = 0x44 };

	assert_int_equal(record(*state, first, 0), DEDUP_NEW);
	assert_int_equal(record(*state, second, 1), DEDUP_REUSED);
	dedup_record_answer(*state, &first, &recorded);
	assert_int_equal(record(*state, second, 2), DEDUP_PENDING);
}

static void messages_differ_by_endpoint_and_message_id(void **state)
{
	assert_int_equal(record(*state, key_of(PEER, 7, 1), 0), DEDUP_NEW);
	assert_int_equal(record(*state, key_of(OTHER_PEER, 7, 1), 0),
			 DEDUP_NEW);
	assert_int_equal(record(*state, key_of(PEER, 8, 1), 0), DEDUP_NEW);
}

static void message_is_new_after_its_exchange_lifetime(void **state)
{
	struct message_key key = key_of(PEER, 7, 1);

	assert_int_equal(record(*state, key, 0), DEDUP_NEW);
	assert_int_equal(record(*state, key, WINDOW_NS - 1), DEDUP_PENDING);
	assert_int_equal(record(*state, key, WINDOW_NS), DEDUP_NEW);
}

static void oldest_message_is_replaced_when_full(void **state)
{
	uint16_t mid;

	for (mid = 0; mid <= CAPACITY; mid++)
		assert_int_equal(record(*state, key_of(PEER, mid, 1), mid),
				 DEDUP_NEW);
	for (mid = CAPACITY; mid > 0; mid--)
		assert_int_equal(record(*state, key_of(PEER, mid, 1), mid),
				 DEDUP_PENDING);
	assert_int_equal(record(*state, key_of(PEER, 0, 1), 0), DEDUP_NEW);
}

/*
 * A body with a missing block was accepted as complete, since blocks were
 * matched by id alone or only the last one was checked. Here a block is
 * skipped, the next one comes from another endpoint, as after a handover
 * between entries, and a body is restarted half way.
 */
static void upload_with_missing_block_is_rejected(void **state)
{
	struct uploads *u = uploads_new(WINDOW_NS);

	(void)state;
	assert_int_equal(uploads_add_block(u, PEER, "a", 0, true, 0),
			 UPLOAD_MORE);
	assert_int_equal(uploads_add_block(u, PEER, "a", 2, false, 1),
			 UPLOAD_GAP);
	assert_int_equal(uploads_add_block(u, PEER, "a", 0, true, 2),
			 UPLOAD_MORE);
	assert_int_equal(uploads_add_block(u, OTHER_PEER, "a", 1, false, 3),
			 UPLOAD_GAP);
	assert_int_equal(uploads_add_block(u, PEER, "a", 1, true, 4),
			 UPLOAD_MORE);
	assert_int_equal(uploads_add_block(u, PEER, "a", 0, true, 5),
			 UPLOAD_MORE);
	assert_int_equal(uploads_add_block(u, PEER, "a", 1, false, 6),
			 UPLOAD_COMPLETE);
	assert_int_equal(uploads_add_block(u, PEER, "a", 1, false, 7),
			 UPLOAD_GAP);
	uploads_free(u);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			retransmission_gets_the_recorded_answer, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			reused_message_id_is_not_a_retransmission, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			messages_differ_by_endpoint_and_message_id, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			message_is_new_after_its_exchange_lifetime, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			oldest_message_is_replaced_when_full, setup, teardown),
		cmocka_unit_test(upload_with_missing_block_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
