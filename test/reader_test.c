/* Calls of the reader to the platform, and their order. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "reader.h"

static void count_call(void *ctx, enum reader_call kind, const char *key,
		       uint64_t after)
{
	uint32_t *calls = ctx;

	(void)kind;
	(void)key;
	(void)after;
	(*calls)++;
}

static void cancel(void *ctx)
{
	(void)ctx;
}

static void state(void *ctx, bool ok, bool caught_up)
{
	(void)ctx;
	(void)ok;
	(void)caught_up;
}

/*
 * Guards against a cb-watch that uses a whole core after it stopped being a
 * reader: its next deadline stayed in the past, so the event loop armed its
 * timer for the current time again and again.
 */
static void reader_switched_off_has_no_due_deadline(void **unused)
{
	uint32_t calls = 0;
	struct reader_port port = { .ctx = &calls,
				    .start_call = count_call,
				    .cancel_call = cancel,
				    .report_state = state };
	struct reader *r = reader_new("garda", port, (struct rng){ 7 }, 1);

	(void)unused;
	reader_set_mode(r, READER_ALL, 10);
	reader_tick(r, 10);
	assert_int_equal(calls, 1);
	reader_set_mode(r, READER_OFF, 20);
	reader_tick(r, 20);
	assert_int_equal(calls, 1);
	assert_true(reader_next_ns(r) > 20);
	reader_free(r);
}

/* Platform that records the last call. */
struct recorded_platform {
	struct reader *reader;
	enum reader_call last_call;
	char key[PUBLISHED_KEY_MAX_BYTES];
	bool relist;
};

static void record_call(void *ctx, enum reader_call kind, const char *key,
			uint64_t after)
{
	struct recorded_platform *b = ctx;

	(void)after;
	b->last_call = kind;
	strcpy(b->key, key);
}

static const struct version *known(void *ctx, const char *key)
{
	(void)ctx;
	(void)key;
	return NULL;
}

static int document(void *ctx, const char *key, const char *text,
		    uint32_t size_bytes, uint64_t revision,
		    char template[NAME_MAX_BYTES])
{
	struct recorded_platform *b = ctx;

	(void)key;
	(void)text;
	(void)size_bytes;
	(void)revision;
	(void)template;
	if (b->relist)
		reader_relist(b->reader);
	return 0;
}

static const char *each(void *ctx, uint32_t index)
{
	(void)ctx;
	(void)index;
	return NULL;
}

static void answer(struct recorded_platform *b, const char *body,
		   uint64_t now_ns)
{
	struct reader_answer a = { 200, 6, body, strlen(body) };

	reader_handle_answer(b->reader, &a, now_ns);
}

static void start_and_list(struct recorded_platform *b, const char *list)
{
	struct reader_port port = { .ctx = b,
				    .start_call = record_call,
				    .cancel_call = cancel,
				    .find_version = known,
				    .accept_document = document,
				    .key_at = each,
				    .report_state = state };

	*b = (struct recorded_platform){ 0 };
	b->reader = reader_new("garda", port, (struct rng){ 7 }, 1);
	reader_set_mode(b->reader, READER_ALL, 10);
	reader_tick(b->reader, 10);
	answer(b, list, 20);
}

/*
 * Guards against readers that give one VIP to different accounts. Two accounts
 * with the same VIP are listed together and the first one read gets it, so the
 * order of reading must not depend on the order of the list.
 */
static void listed_keys_are_read_in_order_of_name(void **unused)
{
	static const char *const lists[] = { "5 account/a\n6 account/b\n",
					     "5 account/b\n6 account/a\n" };
	struct recorded_platform b;

	(void)unused;
	for (size_t i = 0; i < 2; i++) {
		start_and_list(&b, lists[i]);
		assert_string_equal(b.key, "account/a");
		answer(&b, "", 30);
		assert_string_equal(b.key, "account/b");
		reader_free(b.reader);
	}
}

/*
 * Guards against an account that was refused for another account's VIP and,
 * after the other has given up the VIP, is read only when something else
 * changes or a watch ends, up to 20 s later. The relist is requested while a
 * document is accepted, with a clock that is past the time of the answer; the
 * list was then not due and a watch came first.
 */
static void requested_relist_precedes_next_watch(void **unused)
{
	struct recorded_platform b;

	(void)unused;
	start_and_list(&b, "5 account/a\n6 account/b\n");
	answer(&b, "", 30);
	b.relist = true;
	answer(&b, "", 40);
	assert_int_equal(b.last_call, CALL_LIST);
	b.relist = false;
	answer(&b, "", 50);
	assert_int_equal(b.last_call, CALL_WATCH);
	reader_free(b.reader);
}

static const struct version *known_at_26(void *ctx, const char *key)
{
	static const struct version v = { .generation = 3, .revision = 26 };

	(void)ctx;
	(void)key;
	return &v;
}

/*
 * Guards against a publication that is never read: the platform was restored
 * from an older copy, and its revisions have passed the known one again.
 */
static void key_listed_below_known_revision_is_read_once(void **unused)
{
	struct recorded_platform b;
	struct reader_port port = { .ctx = &b,
				    .start_call = record_call,
				    .cancel_call = cancel,
				    .find_version = known_at_26,
				    .accept_document = document,
				    .key_at = each,
				    .report_state = state };

	(void)unused;
	b = (struct recorded_platform){ 0 };
	b.reader = reader_new("garda", port, (struct rng){ 7 }, 1);
	reader_set_mode(b.reader, READER_ALL, 10);
	reader_tick(b.reader, 10);
	answer(&b, "24 account/a\n26 account/b\n30 template/t\n", 20);
	assert_int_equal(b.last_call, CALL_GET);
	assert_string_equal(b.key, "account/a");
	answer(&b, "", 30);
	assert_int_equal(b.last_call, CALL_WATCH);
	/* A watch reports a version that peers have already sent. */
	answer(&b, "25 account/a\n31 account/z\n", 40);
	assert_string_equal(b.key, "account/z");
	answer(&b, "", 50);
	assert_int_equal(b.last_call, CALL_WATCH);
	reader_free(b.reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reader_switched_off_has_no_due_deadline),
		cmocka_unit_test(listed_keys_are_read_in_order_of_name),
		cmocka_unit_test(requested_relist_precedes_next_watch),
		cmocka_unit_test(key_listed_below_known_revision_is_read_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
