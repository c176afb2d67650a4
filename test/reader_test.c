/* The reader of the platform: when it calls, and when it waits. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#include "reader.h"

static void call(void *ctx, enum reader_call kind, const char *key,
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
 * Symptom: a cb-watch that isn't a reader takes a whole core. Sequence: it was
 * a reader, stops being one, and its next deadline stays in the past. Cause:
 * with nothing to do, the deadline that had come was left as it was, so the
 * loop armed its timer for now, for ever.
 */
static void test_a_reader_that_stops_waits(void **unused)
{
	uint32_t calls = 0;
	struct reader_port port = { .ctx = &calls,
				    .start_call = call,
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

/* A platform whose calls are written down. */
struct platform_book {
	struct reader *reader;
	enum reader_call last;
	char key[PUBLISHED_KEY_MAX_BYTES];
	bool relist;
};

static void note_call(void *ctx, enum reader_call kind, const char *key,
		      uint64_t after)
{
	struct platform_book *b = ctx;

	(void)after;
	b->last = kind;
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
	struct platform_book *b = ctx;

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

static void answer(struct platform_book *b, const char *body, uint64_t now_ns)
{
	struct reader_answer a = { 200, 6, body, strlen(body) };

	reader_handle_answer(b->reader, &a, now_ns);
}

static void open_book(struct platform_book *b, const char *list)
{
	struct reader_port port = { .ctx = b,
				    .start_call = note_call,
				    .cancel_call = cancel,
				    .find_version = known,
				    .accept_document = document,
				    .key_at = each,
				    .report_state = state };

	*b = (struct platform_book){ 0 };
	b->reader = reader_new("garda", port, (struct rng){ 7 }, 1);
	reader_set_mode(b->reader, READER_ALL, 10);
	reader_tick(b->reader, 10);
	answer(b, list, 20);
}

/*
 * Symptom: of two accounts that want one VIP, one reader takes one and another
 * reader the other. Sequence: both are listed at once. Cause: they were read
 * in the order of the platform's list, or the reverse of it.
 */
static void test_a_list_is_read_by_name(void **unused)
{
	static const char *const lists[] = { "5 account/a\n6 account/b\n",
					     "5 account/b\n6 account/a\n" };
	struct platform_book b;

	(void)unused;
	for (size_t i = 0; i < 2; i++) {
		open_book(&b, lists[i]);
		assert_string_equal(b.key, "account/a");
		answer(&b, "", 30);
		assert_string_equal(b.key, "account/b");
		reader_free(b.reader);
	}
}

/*
 * Symptom: an account that was refused for another's VIP comes in force twenty
 * seconds after the other has given it up. Sequence: the other's document is
 * taken, and from within the reader is told to list anew. Cause: a clock read
 * there was past the time of the answer under way, so the list was not due yet
 * and a watch came first, which ends when something else changes.
 */
static void test_a_relist_comes_before_the_watch(void **unused)
{
	struct platform_book b;

	(void)unused;
	open_book(&b, "5 account/a\n6 account/b\n");
	answer(&b, "", 30);
	b.relist = true;
	answer(&b, "", 40);
	assert_int_equal(b.last, CALL_LIST);
	b.relist = false;
	answer(&b, "", 50);
	assert_int_equal(b.last, CALL_WATCH);
	reader_free(b.reader);
}

static const struct version *known_at_26(void *ctx, const char *key)
{
	static const struct version v = { .generation = 3, .revision = 26 };

	(void)ctx;
	(void)key;
	return &v;
}

/* Guards against a publication that is passed over for good: the platform came
 * back from an older copy, and its revisions have passed the known one again. */
static void test_listed_below_the_known_revision_is_read(void **unused)
{
	struct platform_book b;
	struct reader_port port = { .ctx = &b,
				    .start_call = note_call,
				    .cancel_call = cancel,
				    .find_version = known_at_26,
				    .accept_document = document,
				    .key_at = each,
				    .report_state = state };

	(void)unused;
	b = (struct platform_book){ 0 };
	b.reader = reader_new("garda", port, (struct rng){ 7 }, 1);
	reader_set_mode(b.reader, READER_ALL, 10);
	reader_tick(b.reader, 10);
	answer(&b, "24 account/a\n26 account/b\n30 template/t\n", 20);
	assert_int_equal(b.last, CALL_GET);
	assert_string_equal(b.key, "account/a");
	answer(&b, "", 30);
	assert_int_equal(b.last, CALL_WATCH);
	/* A watch repeats what peers have told already. */
	answer(&b, "25 account/a\n31 account/z\n", 40);
	assert_string_equal(b.key, "account/z");
	answer(&b, "", 50);
	assert_int_equal(b.last, CALL_WATCH);
	reader_free(b.reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_reader_that_stops_waits),
		cmocka_unit_test(test_a_list_is_read_by_name),
		cmocka_unit_test(test_a_relist_comes_before_the_watch),
		cmocka_unit_test(test_listed_below_the_known_revision_is_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
