/*
 * Flapping targets in the two deployments of docs/design/load-parts.md, emulated
 * at a tenth of their size: unsafe requests that fail with load control and
 * without it.
 */
#include "demand_bed.h"

/* The page: 134 of 194 unsafe requests that fail at flapping targets are sent
 * there because the ejections end; the others fail before an entry can know. */
#define FAILED 194
#define FAILED_BEFORE_EJECTION (FAILED - 134)

static void assert_fewer_fail(uint32_t site)
{
	uint32_t off = demand_run_flapping(site, LOAD_CONTROL_OFF);
	uint32_t on = demand_run_flapping(site, LOAD_CONTROL_ON);

	if (on * FAILED > off * FAILED_BEFORE_EJECTION)
		fail_msg(
			"%u unsafe requests fail with load control, %u without",
			on, off);
}

/* Guards against unsafe requests that are sent to a target again as soon as its
 * ejection ends, although others have free slots. */
static void one_request_flows_avoid_flapping_targets(void **state)
{
	(void)state;
	assert_fewer_fail(0);
}

/* The same for unsafe requests on long flows. */
static void long_flows_avoid_flapping_targets(void **state)
{
	(void)state;
	assert_fewer_fail(1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_request_flows_avoid_flapping_targets),
		cmocka_unit_test(long_flows_avoid_flapping_targets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
