/* Histograms: bucket bounds, quantiles and merging. */
#include "histogram.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

static void bound_is_at_most_a_quarter_above_sample(void **state)
{
	(void)state;
	for (uint64_t v = 0; v < 1ULL << 40; v = v * 9 / 8 + 1) {
		struct histogram h = { 0 };
		uint64_t bound;

		histogram_add(&h, v);
		bound = histogram_quantile(&h, 0.5);
		assert_true(bound >= v);
		assert_true(bound <= v + v / 4);
	}
}

static void upper_bounds_increase(void **state)
{
	(void)state;
	for (uint32_t i = 1; i < HISTOGRAM_BUCKETS; i++)
		assert_true(histogram_upper_bound(i) >
			    histogram_upper_bound(i - 1));
	assert_int_equal(histogram_upper_bound(HISTOGRAM_BUCKETS - 1),
			 UINT64_MAX);
}

static void quantiles_count_merged_samples(void **state)
{
	struct histogram a = { 0 };
	struct histogram b = { 0 };

	(void)state;
	assert_int_equal(histogram_quantile(&a, 0.99), 0);
	for (int i = 0; i < 90; i++)
		histogram_add(&a, 2);
	for (int i = 0; i < 10; i++)
		histogram_add(&b, 1000);
	histogram_add(&b, UINT64_MAX);
	histogram_merge(&a, &b);
	assert_int_equal(a.count, 101);
	assert_int_equal(histogram_quantile(&a, 0.0), 2);
	assert_int_equal(histogram_quantile(&a, 0.5), 2);
	assert_int_equal(histogram_quantile(&a, 0.95), 1023);
	assert_int_equal(histogram_quantile(&a, 1.0), UINT64_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bound_is_at_most_a_quarter_above_sample),
		cmocka_unit_test(upper_bounds_increase),
		cmocka_unit_test(quantiles_count_merged_samples),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
