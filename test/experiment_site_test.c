/* Parser of deployment files of sim-experiment. */
#include "experiment.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define RATE_TOLERANCE 1e-6

/* The keys of the work are in whole milliseconds. */
static void assert_same_class(const struct site_class *a,
			      const struct site_class *b)
{
	assert_string_equal(a->name, b->name);
	assert_int_equal(a->service, b->service);
	assert_int_equal(a->kind, b->kind);
	assert_int_equal(a->priority, b->priority);
	assert_int_equal(a->work_ns.mean / NS_PER_MS,
			 b->work_ns.mean / NS_PER_MS);
	assert_int_equal(a->work_ns.max / NS_PER_MS,
			 b->work_ns.max / NS_PER_MS);
	assert_int_equal(a->work_ns.sigma_percent, b->work_ns.sigma_percent);
	assert_memory_equal(&a->request_bytes, &b->request_bytes,
			    sizeof(a->request_bytes));
	assert_memory_equal(&a->answer_bytes, &b->answer_bytes,
			    sizeof(a->answer_bytes));
	assert_int_equal(a->objective_ns, b->objective_ns);
	assert_int_equal(a->deadline_ns, b->deadline_ns);
	assert_float_equal(a->value, b->value, RATE_TOLERANCE);
	assert_float_equal(a->late_value, b->late_value, RATE_TOLERANCE);
	assert_int_equal(a->retries, b->retries);
	assert_int_equal(a->long_flows, b->long_flows);
	assert_int_equal(a->other_percent, b->other_percent);
	assert_int_equal(a->other_service, b->other_service);
	assert_int_equal(a->tail_percent, b->tail_percent);
	assert_int_equal(a->tail_factor, b->tail_factor);
}

static void assert_same_zone(const struct site_zone *a,
			     const struct site_zone *b)
{
	assert_string_equal(a->name, b->name);
	assert_int_equal(a->entries, b->entries);
	assert_int_equal(a->users, b->users);
	assert_float_equal(a->amplitude, b->amplitude, RATE_TOLERANCE);
	assert_int_equal(a->period_ns, b->period_ns);
	assert_float_equal(a->phase, b->phase, RATE_TOLERANCE);
	for (uint32_t c = 0; c < CLASSES_MAX; c++)
		assert_float_equal(a->per_s[c], b->per_s[c], RATE_TOLERANCE);
}

/* Guards against keys of a deployment that a file can't express, or that are
 * dropped when it is read. */
static void example_is_the_site_of_the_tests(void **state)
{
	struct site from_file, built;
	struct mistakes m = { 0 };

	(void)state;
	assert_int_equal(
		site_read("examples/sites/long-flows.toml", &from_file, &m), 0);
	site_long_flows(&built);
	assert_string_equal(from_file.name, built.name);
	assert_int_equal(from_file.n_zones, built.n_zones);
	assert_int_equal(from_file.n_services, built.n_services);
	assert_int_equal(from_file.n_classes, built.n_classes);
	for (uint32_t z = 0; z < built.n_zones; z++)
		assert_same_zone(&from_file.zones[z], &built.zones[z]);
	for (uint32_t c = 0; c < built.n_classes; c++)
		assert_same_class(&from_file.classes[c], &built.classes[c]);
}

/* Guards against older files that mean something else now: without the key, a
 * feed has long flows and a report has not. */
static void kind_is_the_default_of_long_flows(void **state)
{
	struct mistakes m = { 0 };
	struct site s;

	(void)state;
	assert_int_equal(site_read("examples/sites/pipe.toml", &s, &m), 0);
	for (uint32_t c = 0; c < s.n_classes; c++)
		assert_int_equal(s.classes[c].long_flows,
				 s.classes[c].kind == ROUTE_FEED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(example_is_the_site_of_the_tests),
		cmocka_unit_test(kind_is_the_default_of_long_flows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
