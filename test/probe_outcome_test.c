/* What connection attempts to doubted targets are taken for. */
#include "probe_outcome.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <uv.h>

/*
 * Symptom: thousands of live flows are reset while a fleet wakes. Sequence: a
 * target holds as many connections as it may, a request there goes unanswered,
 * and the entry that tries to connect is accepted and reset at once. Cause: that
 * was taken for a process that had ended, and all peers were told so.
 */
static void test_reset_after_the_handshake_is_a_sign_of_life(void **state)
{
	(void)state;
	assert_int_equal(probe_outcome(UV_ECONNRESET), PROBE_ACCEPTED);
}

static void test_nobody_listens(void **state)
{
	(void)state;
	assert_int_equal(probe_outcome(UV_ECONNREFUSED), PROBE_REFUSED);
}

static void test_no_answer(void **state)
{
	(void)state;
	assert_int_equal(probe_outcome(UV_ETIMEDOUT), PROBE_SILENT);
	assert_int_equal(probe_outcome(UV_EHOSTUNREACH), PROBE_SILENT);
	assert_int_equal(probe_outcome(UV_ENETUNREACH), PROBE_SILENT);
}

static void test_own_shortage_says_nothing(void **state)
{
	(void)state;
	assert_int_equal(probe_outcome(UV_EMFILE), PROBE_INCONCLUSIVE);
	assert_int_equal(probe_outcome(UV_ENOMEM), PROBE_INCONCLUSIVE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_reset_after_the_handshake_is_a_sign_of_life),
		cmocka_unit_test(test_nobody_listens),
		cmocka_unit_test(test_no_answer),
		cmocka_unit_test(test_own_shortage_says_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
