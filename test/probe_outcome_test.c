/* Outcomes of connection attempts to suspect targets. */
#include "probe_outcome.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <uv.h>

/*
 * During a load spike a target has as many connections as it allows. A request
 * there gets no answer, and the connection attempt of the entry is accepted and
 * reset at once. If that counted as an ended process, the entry would report
 * the target dead to all peers, and the flows of live targets would be reset.
 */
static void reset_after_handshake_means_alive(void **state)
{
	(void)state;
	assert_int_equal(probe_outcome_from_status(UV_ECONNRESET),
			 PROBE_ACCEPTED);
}

static void refused_connection_means_ended(void **state)
{
	(void)state;
	assert_int_equal(probe_outcome_from_status(UV_ECONNREFUSED),
			 PROBE_REFUSED);
}

static void timeout_and_unreachable_mean_silent(void **state)
{
	(void)state;
	assert_int_equal(probe_outcome_from_status(UV_ETIMEDOUT), PROBE_SILENT);
	assert_int_equal(probe_outcome_from_status(UV_EHOSTUNREACH),
			 PROBE_SILENT);
	assert_int_equal(probe_outcome_from_status(UV_ENETUNREACH),
			 PROBE_SILENT);
}

/* An entry would go on opening flows at an address that it cannot reach. */
static void refused_address_means_silent(void **state)
{
	static const int statuses[] = { UV_ENETDOWN, UV_EACCES, UV_EPERM,
					UV_EINVAL };

	(void)state;
	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++)
		assert_int_equal(probe_outcome_from_status(statuses[i]),
				 PROBE_SILENT);
}

static void local_resource_shortage_is_inconclusive(void **state)
{
	(void)state;
	assert_int_equal(probe_outcome_from_status(UV_EMFILE),
			 PROBE_INCONCLUSIVE);
	assert_int_equal(probe_outcome_from_status(UV_ENOMEM),
			 PROBE_INCONCLUSIVE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reset_after_handshake_means_alive),
		cmocka_unit_test(refused_connection_means_ended),
		cmocka_unit_test(timeout_and_unreachable_mean_silent),
		cmocka_unit_test(refused_address_means_silent),
		cmocka_unit_test(local_resource_shortage_is_inconclusive),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
