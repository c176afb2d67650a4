/* Simulated load on entries with narrow links. */
#include "world_bed.h"

#include "route_table.h"

#include <stdlib.h>

#define SEEDS 3
#define RUN_NS (20 * NS_PER_S)
/* 2 Mbit/s. */
#define LINK_BYTES_PER_S 250000
#define PERCENT 100

enum class_number { FEED, REPORT, UPLOAD };

/* Fifteen targets, six entries, uploads of 40 KB on average. */
static void fill_narrow_site(struct site *s)
{
	struct site_size size = { 3, 2, 5, 60, 40, 20 };
	static const struct site_class upload = {
		.name = "upload",
		.service = 1,
		.kind = ROUTE_UPLOAD,
		.priority = 2,
		.work_ns = { 5 * NS_PER_MS, 30, 30 * NS_PER_MS },
		.request_bytes = { 40000, 70, 240000 },
		.answer_bytes = { 300, 0, 0 },
		.objective_ns = 1200 * NS_PER_MS,
		.deadline_ns = 8 * NS_PER_S,
		.value = 1,
		.late_value = 0.1,
		.retries = 2,
	};

	site_default(s, &size);
	s->classes[s->n_classes++] = upload;
	for (uint32_t z = 0; z < s->n_zones; z++)
		s->zones[z].per_s[UPLOAD] = 3;
	s->link_bytes_per_s = LINK_BYTES_PER_S;
	s->link_is_known = true;
}

static struct world *run_world(uint64_t seed)
{
	struct world_conf conf = { .seed = seed };
	struct world *w;

	fill_narrow_site(&conf.site);
	w = world_new(&conf);
	assert_non_null(w);
	world_run(w, RUN_NS);
	return w;
}

static int by_time(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Percentile of the answer times of a class; UINT64_MAX when that many were not
 * answered.
 */
static uint64_t latency_ns(const struct world *w, uint8_t class,
			   uint32_t percent)
{
	uint32_t n, of = 0;
	const struct world_request *r = world_requests(w, &n);
	uint64_t *took = calloc(n, sizeof(*took));
	uint64_t at;

	for (uint32_t i = 0; i < n; i++)
		if (r[i].class == class)
			took[of++] =
				r[i].latency_ns ? r[i].latency_ns : UINT64_MAX;
	assert_int_not_equal(of, 0);
	qsort(took, of, sizeof(*took), by_time);
	at = took[(uint64_t)of * percent / PERCENT];
	free(took);
	return at;
}

/*
 * Guards against packets handed to the link as they arrive. Clients send
 * sixteen packets of an upload in a burst; the link loses what it cannot carry
 * within 50 ms, other clients' requests included, and after 200 ms the whole
 * burst is retransmitted. At normal load half of the uploads missed their
 * latency objective, and feeds and reports took a second and more.
 */
static void test_uploads_do_not_delay_feeds_and_reports(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct world *w = run_world(seed);

		assert_in_range(latency_ns(w, UPLOAD, 75), 1, 1200 * NS_PER_MS);
		assert_in_range(latency_ns(w, FEED, 99), 1, 500 * NS_PER_MS);
		assert_in_range(latency_ns(w, REPORT, 99), 1, 500 * NS_PER_MS);
		world_free(w);
	}
}

/*
 * Guards against resets of flows whose targets serve. On a full link packets
 * and probes to a target are lost, and the loss would be taken for a silent
 * target.
 */
static void test_full_link_breaks_no_flow(void **state)
{
	struct world_report r;

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct world *w = run_world(seed);

		world_report(w, &r);
		assert_int_equal(world_broken_rules(&r), 0);
		world_free(w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_uploads_do_not_delay_feeds_and_reports),
		cmocka_unit_test(test_full_link_breaks_no_flow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
