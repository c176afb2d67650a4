/* Limit of an entry's concurrent requests at a service after refusals. */
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
 * Guards against requests that are queued although targets have capacity: with
 * few entries, one answer in a hundred is a refusal, and each would reduce the
 * window.
 */
static void test_rare_refusals_do_not_limit(void **state)
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

/* Reduces a window without limit to nine tenths of @running. */
static void reduce(struct request_window *w, uint32_t running, uint64_t now_ns)
{
	window_record_refusal(w, &policy, running, now_ns);
	window_record_refusal(w, &policy, running, now_ns);
}

static void test_refusals_reduce_the_window(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	reduce(&w, 50, NS_PER_S);
	assert_true(window_is_open(&w, 44));
	assert_false(window_is_open(&w, 45));
}

/* Requests sent before the first refusal arrived carry no new information. */
static void test_simultaneous_refusals_reduce_it_once(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	reduce(&w, 50, NS_PER_S);
	for (uint32_t i = 0; i < 30; i++)
		window_record_refusal(&w, &policy, 50, NS_PER_S + 99 * MS);
	assert_true(window_is_open(&w, 44));
	window_record_refusal(&w, &policy, 50, NS_PER_S + 100 * MS);
	assert_false(window_is_open(&w, 44));
	assert_true(window_is_open(&w, 40));
}

/* It grows by one for each window of answers, only while fully used. */
static void test_answers_grow_a_fully_used_window(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	reduce(&w, 50, NS_PER_S);
	for (uint32_t i = 0; i < 100; i++)
		window_record_answer(&w, 20);
	assert_false(window_is_open(&w, 45));
	for (uint32_t i = 0; i < 44; i++)
		window_record_answer(&w, 45);
	assert_true(window_is_open(&w, 45));
	assert_false(window_is_open(&w, 46));
}

static void test_one_request_is_always_allowed(void **state)
{
	struct request_window w = { 0 };

	(void)state;
	for (uint32_t i = 0; i < 100; i++)
		window_record_refusal(&w, &policy, 1, i * NS_PER_S);
	assert_true(window_is_open(&w, 0));
	assert_false(window_is_open(&w, 1));
}

static void test_no_limit_when_switched_off(void **state)
{
	struct policy off = policy;
	struct request_window w = { 0 };

	(void)state;
	off.window_percent = 0;
	for (uint32_t i = 0; i < 100; i++)
		window_record_refusal(&w, &off, 50, i * NS_PER_S);
	assert_true(window_is_open(&w, 1000000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_limit_before_a_refusal),
		cmocka_unit_test(test_rare_refusals_do_not_limit),
		cmocka_unit_test(test_refusals_reduce_the_window),
		cmocka_unit_test(test_simultaneous_refusals_reduce_it_once),
		cmocka_unit_test(test_answers_grow_a_fully_used_window),
		cmocka_unit_test(test_one_request_is_always_allowed),
		cmocka_unit_test(test_no_limit_when_switched_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
