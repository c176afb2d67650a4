/* The reader of the platform: when it calls, and when it waits. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
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
	struct reader_port port = {
		.ctx = &calls, .call = call, .cancel = cancel, .state = state
	};
	struct reader *r = reader_new("garda", port, (struct rng){ 7 }, 1);

	(void)unused;
	reader_mode(r, READER_ALL, 10);
	reader_tick(r, 10);
	assert_int_equal(calls, 1);
	reader_mode(r, READER_OFF, 20);
	reader_tick(r, 20);
	assert_int_equal(calls, 1);
	assert_true(reader_next_ns(r) > 20);
	reader_free(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_reader_that_stops_waits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
