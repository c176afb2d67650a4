/* Counters of requests by service, kind and event. */
#include "load_stats.h"

#include "directory.h"
#include "route_table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

/* Guards against events of one class that are shown as those of another. */
static void test_events_are_counted_apart(void **state)
{
	struct load_stats *stats = load_stats_new();

	(void)state;
	assert_non_null(stats);
	load_stats_count(stats, 1, ROUTE_REPORT, LOAD_held);
	load_stats_count(stats, 1, ROUTE_REPORT, LOAD_held);
	load_stats_count(stats, 1, ROUTE_FEED, LOAD_late);
	assert_int_equal(load_stats_get(stats, 1, ROUTE_REPORT, LOAD_held), 2);
	assert_int_equal(load_stats_get(stats, 1, ROUTE_FEED, LOAD_held), 0);
	assert_int_equal(load_stats_get(stats, 1, ROUTE_FEED, LOAD_late), 1);
	assert_int_equal(load_stats_get(stats, 2, ROUTE_REPORT, LOAD_held), 0);
	load_stats_free(stats);
}

/* Guards against a write out of bounds for a service that no name has. */
static void test_unknown_service_is_ignored(void **state)
{
	struct load_stats *stats = load_stats_new();

	(void)state;
	load_stats_count(stats, DIRECTORY_SERVICE_NONE, ROUTE_FEED,
			 LOAD_offered);
	assert_int_equal(load_stats_get(stats, DIRECTORY_SERVICE_NONE,
					ROUTE_FEED, LOAD_offered),
			 0);
	load_stats_free(stats);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_events_are_counted_apart),
		cmocka_unit_test(test_unknown_service_is_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
