/* Timeout of connection attempts. */
#include "connect_rtt.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define MS NS_PER_MS
#define NOW_NS (100 * NS_PER_S)

static void test_default_timeout_on_a_fast_link(void **state)
{
	struct connect_rtt t = { 0 };

	(void)state;
	assert_int_equal(connect_rtt_timeout_ns(&t, &policy_default, NOW_NS),
			 policy_default.probe_wait_ns);
	connect_rtt_record(&t, 2 * MS, NOW_NS);
	assert_int_equal(connect_rtt_timeout_ns(&t, &policy_default, NOW_NS),
			 policy_default.probe_wait_ns);
}

/*
 * Guards against half of the targets looking silent in turn: a large document
 * arrives over the VM's link, answers queue behind it for 100 to 300 ms, and
 * a fixed timeout would give up each attempt.
 */
static void test_timeout_follows_slow_answers(void **state)
{
	struct connect_rtt t = { 0 };

	(void)state;
	connect_rtt_record(&t, 120 * MS, NOW_NS);
	connect_rtt_record(&t, 3 * MS, NOW_NS + 10 * MS);
	assert_int_equal(connect_rtt_timeout_ns(&t, &policy_default,
						NOW_NS + 20 * MS),
			 240 * MS);
	connect_rtt_record(&t, 300 * MS, NOW_NS + 30 * MS);
	assert_int_equal(connect_rtt_timeout_ns(&t, &policy_default,
						NOW_NS + 40 * MS),
			 600 * MS);
}

static void test_old_round_trip_is_discarded(void **state)
{
	struct connect_rtt t = { 0 };

	(void)state;
	connect_rtt_record(&t, 300 * MS, NOW_NS);
	assert_int_equal(connect_rtt_timeout_ns(&t, &policy_default,
						NOW_NS + 3 * NS_PER_S),
			 policy_default.probe_wait_ns);
	connect_rtt_record(&t, 40 * MS, NOW_NS + 3 * NS_PER_S);
	assert_int_equal(connect_rtt_timeout_ns(&t, &policy_default,
						NOW_NS + 3 * NS_PER_S),
			 80 * MS);
}

static void test_timeout_has_a_maximum(void **state)
{
	struct connect_rtt t = { 0 };

	(void)state;
	connect_rtt_record(&t, 5 * NS_PER_S, NOW_NS);
	assert_int_equal(connect_rtt_timeout_ns(&t, &policy_default, NOW_NS),
			 policy_default.probe_wait_max_ns);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_default_timeout_on_a_fast_link),
		cmocka_unit_test(test_timeout_follows_slow_answers),
		cmocka_unit_test(test_old_round_trip_is_discarded),
		cmocka_unit_test(test_timeout_has_a_maximum),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
