/* Repeats at the target stand-in: the message window and block-wise bodies. */
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

static enum dedup_verdict see(struct dedup *d, struct message_key key,
			      uint64_t now_ns)
{
	const struct reply *answer;

	return dedup_see(d, &key, now_ns, &answer);
}

/*
 * Symptom: one report ran three times (trial: libcoap 4.3.1 drops no repeats).
 * Sequence: a CON, its repeat while it runs, its repeat after the answer.
 * Cause: nothing at the message layer remembered the message.
 */
static void repeat_gets_the_same_answer(void **state)
{
	struct message_key key = key_of(PEER, 7, 1);
	struct reply reply = { .code = 0x44, .body = "done" };
	const struct reply *answer = NULL;

	assert_int_equal(see(*state, key, 0), DEDUP_NEW);
	assert_int_equal(see(*state, key, 1), DEDUP_PENDING);
	dedup_answer(*state, &key, &reply);
	assert_int_equal(dedup_see(*state, &key, 2, &answer), DEDUP_ANSWERED);
	assert_int_equal(answer->code, 0x44);
	assert_string_equal(answer->body, "done");
}

/*
 * Symptom: a caller got another caller's answer.
 * Sequence: an endpoint uses a message ID again, with another token.
 * Cause: the window was keyed by endpoint and message ID alone.
 */
static void reused_id_is_no_repeat(void **state)
{
	struct message_key first = key_of(PEER, 7, 1);
	struct message_key second = key_of(PEER, 7, 2);
	struct reply reply = { .code = 0x44 };

	assert_int_equal(see(*state, first, 0), DEDUP_NEW);
	assert_int_equal(see(*state, second, 1), DEDUP_REUSED);
	dedup_answer(*state, &first, &reply);
	assert_int_equal(see(*state, second, 2), DEDUP_PENDING);
}

static void identity_is_endpoint_and_id(void **state)
{
	assert_int_equal(see(*state, key_of(PEER, 7, 1), 0), DEDUP_NEW);
	assert_int_equal(see(*state, key_of(OTHER_PEER, 7, 1), 0), DEDUP_NEW);
	assert_int_equal(see(*state, key_of(PEER, 8, 1), 0), DEDUP_NEW);
}

static void window_ends(void **state)
{
	struct message_key key = key_of(PEER, 7, 1);

	assert_int_equal(see(*state, key, 0), DEDUP_NEW);
	assert_int_equal(see(*state, key, WINDOW_NS - 1), DEDUP_PENDING);
	assert_int_equal(see(*state, key, WINDOW_NS), DEDUP_NEW);
}

static void oldest_leaves_when_full(void **state)
{
	uint16_t mid;

	for (mid = 0; mid <= CAPACITY; mid++)
		assert_int_equal(see(*state, key_of(PEER, mid, 1), mid),
				 DEDUP_NEW);
	for (mid = CAPACITY; mid > 0; mid--)
		assert_int_equal(see(*state, key_of(PEER, mid, 1), mid),
				 DEDUP_PENDING);
	assert_int_equal(see(*state, key_of(PEER, 0, 1), 0), DEDUP_NEW);
}

/*
 * Symptom: a body counted as whole although a block of it was missing.
 * Sequence: a block is skipped; the next comes from another endpoint, as
 *	after a handover between entries; a body is begun anew half way.
 * Cause: blocks were matched by id alone, or only the last one looked at.
 */
static void bodies_are_whole_or_refused(void **state)
{
	struct uploads *u = uploads_new(WINDOW_NS);

	(void)state;
	assert_int_equal(uploads_block(u, PEER, "a", 0, true, 0), UPLOAD_MORE);
	assert_int_equal(uploads_block(u, PEER, "a", 2, false, 1), UPLOAD_GAP);
	assert_int_equal(uploads_block(u, PEER, "a", 0, true, 2), UPLOAD_MORE);
	assert_int_equal(uploads_block(u, OTHER_PEER, "a", 1, false, 3),
			 UPLOAD_GAP);
	assert_int_equal(uploads_block(u, PEER, "a", 1, true, 4), UPLOAD_MORE);
	assert_int_equal(uploads_block(u, PEER, "a", 0, true, 5), UPLOAD_MORE);
	assert_int_equal(uploads_block(u, PEER, "a", 1, false, 6),
			 UPLOAD_WHOLE);
	assert_int_equal(uploads_block(u, PEER, "a", 1, false, 7), UPLOAD_GAP);
	uploads_free(u);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(repeat_gets_the_same_answer,
						setup, teardown),
		cmocka_unit_test_setup_teardown(reused_id_is_no_repeat, setup,
						teardown),
		cmocka_unit_test_setup_teardown(identity_is_endpoint_and_id,
						setup, teardown),
		cmocka_unit_test_setup_teardown(window_ends, setup, teardown),
		cmocka_unit_test_setup_teardown(oldest_leaves_when_full, setup,
						teardown),
		cmocka_unit_test(bodies_are_whole_or_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
