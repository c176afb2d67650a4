/* How many requests an entry has at a service, as refusals taught it. */
#include "window.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define MS ((uint64_t)NS_PER_MS)

static const struct policy policy = {
	.window_percent = 90,
	.window_refused_percent = 5,
	.window_pause_ns = 100 * MS,
};

static void test_no_limit_before_a_refusal(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	assert_true(window_is_open(&w, 1000000));
	window_record_answer(&w, 50);
	assert_true(window_is_open(&w, 1000000));
}

/*
 * Symptom: an entry of a small fleet holds requests back though targets have
 * room. Sequence: one answer in a hundred is a refusal. Cause: each of them made
 * the window smaller.
 */
static void test_single_refusals_are_no_sign(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	for (uint32_t i = 0; i < 1000; i++) {
		if (i % 100 == 0)
			window_record_refusal(&w, &policy, 50, i * 100 * MS);
		else
			window_record_answer(&w, 50);
	}
	assert_true(window_is_open(&w, 1000000));
}

/* Leaves a window of nine tenths of @running. */
static void cut(struct request_window *w, uint32_t running, uint64_t now_ns)
{
	window_record_refusal(w, &policy, running, now_ns);
	window_record_refusal(w, &policy, running, now_ns);
}

static void test_refusals_close_it(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	cut(&w, 50, NS_PER_S);
	assert_true(window_is_open(&w, 44));
	assert_false(window_is_open(&w, 45));
}

/* Requests that were on their way with the first refused one say nothing new. */
static void test_refusals_together_are_one(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	cut(&w, 50, NS_PER_S);
	for (uint32_t i = 0; i < 30; i++)
		window_record_refusal(&w, &policy, 50, NS_PER_S + 99 * MS);
	assert_true(window_is_open(&w, 44));
	window_record_refusal(&w, &policy, 50, NS_PER_S + 100 * MS);
	assert_false(window_is_open(&w, 44));
	assert_true(window_is_open(&w, 40));
}

/* One more with each of its requests answered, when it was in use. */
static void test_answers_open_it_again(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	cut(&w, 50, NS_PER_S);
	for (uint32_t i = 0; i < 100; i++)
		window_record_answer(&w, 20);
	assert_false(window_is_open(&w, 45));
	for (uint32_t i = 0; i < 44; i++)
		window_record_answer(&w, 45);
	assert_true(window_is_open(&w, 45));
	assert_false(window_is_open(&w, 46));
}

static void test_one_always_goes(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	for (uint32_t i = 0; i < 100; i++)
		window_record_refusal(&w, &policy, 1, i * NS_PER_S);
	assert_true(window_is_open(&w, 0));
	assert_false(window_is_open(&w, 1));
}

static void test_switched_off(void **state)
{
	struct policy none = policy;
	struct request_window w = { 0 };

	(void)state;
	none.window_percent = 0;
	for (uint32_t i = 0; i < 100; i++)
		window_record_refusal(&w, &none, 50, i * NS_PER_S);
	assert_true(window_is_open(&w, 1000000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_limit_before_a_refusal),
		cmocka_unit_test(test_single_refusals_are_no_sign),
		cmocka_unit_test(test_refusals_close_it),
		cmocka_unit_test(test_refusals_together_are_one),
		cmocka_unit_test(test_answers_open_it_again),
		cmocka_unit_test(test_one_always_goes),
		cmocka_unit_test(test_switched_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
