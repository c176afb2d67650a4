/*
 * Measures the time and the control bytes of feeds: opening, updates, handover,
 * takeover and revalidation.
 */
#include "cluster.h"

#include <stdlib.h>

#define SIZES 3
#define NODES 3
#define TARGETS 16
#define REQUEST_INTERVAL_NS (NS_PER_S / 100)
#define OBSERVATION_NS (40 * NS_PER_S)

static uint64_t spent_ns(const struct cluster *p)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < p->n; i++)
		sum += p->nodes[i].spent_ns;
	return sum;
}

static struct cluster *cluster_with_feeds(uint32_t n, uint64_t probe_idle_ns)
{
	struct entry_conf conf = cluster_conf();
	struct cluster *p;

	conf.probe_idle_ns = probe_idle_ns;
	p = cluster_new(NODES, &conf, TARGETS);
	for (uint32_t i = 0; i < n; i++) {
		struct flow_key key = cluster_flow_key(i);
		struct entry_explanation v = entry_explain(p->nodes[0].e, &key);

		cluster_run(p, REQUEST_INTERVAL_NS);
		cluster_caller_request(p, cluster_node_of(p, v.pair.owner),
				       &key, REQUEST_FEED, (uint16_t)i);
	}
	return p;
}

static uint64_t feed_copy_bytes(const struct cluster *p)
{
	return p->sent[PEER_FEED].bytes + p->sent[PEER_FEED_CLOSE].bytes;
}

/* Returns the time that the entries spend in @duration_ns without traffic. */
static uint64_t idle_ns(struct cluster *p, uint64_t duration_ns)
{
	cluster_reset_counters(p);
	cluster_run(p, duration_ns);
	return spent_ns(p);
}

static uint32_t n_feeds_held(const struct cluster *p, uint32_t node)
{
	return entry_gauges(p->nodes[node].e).feeds_held;
}

static void measure_opens_and_updates(uint32_t n)
{
	static const uint8_t kinds[] = { PEER_FEED };
	struct cluster *p = cluster_with_feeds(n, 3600 * NS_PER_S);
	uint64_t open_ns;
	uint64_t baseline_ns;

	cluster_report_sent(p, kinds, sizeof(kinds));
	report("bytes_feed_open", n, (double)feed_copy_bytes(p), "bytes");
	open_ns = spent_ns(p);
	baseline_ns = idle_ns(p, n * REQUEST_INTERVAL_NS);
	report("us_feed_open_all", n,
	       open_ns > baseline_ns ? (double)(open_ns - baseline_ns) / 1000
				     : 0,
	       "us");
	cluster_reset_counters(p);
	for (uint32_t i = 0; i < n; i++)
		cluster_feed_update(p, &p->feeds[i]);
	report("us_feed_update", n, (double)spent_ns(p) / 1000, "us");
	cluster_free(p);
}

static void measure_takeover(uint32_t n, bool is_planned)
{
	struct cluster *p = cluster_with_feeds(n, 3600 * NS_PER_S);
	uint64_t baseline_ns = idle_ns(p, OBSERVATION_NS);
	uint32_t moved = n_feeds_held(p, 0);
	uint64_t start_ns = p->now_ns;

	cluster_reset_counters(p);
	if (is_planned)
		cluster_leave(p, 0);
	else
		cluster_kill(p, 0);
	while (n_feeds_held(p, 1) + n_feeds_held(p, 2) < n &&
	       p->now_ns < start_ns + OBSERVATION_NS)
		cluster_run(p, NS_PER_S / 100);
	report(is_planned ? "ms_feeds_handed_over" : "ms_feeds_taken_over",
	       moved, (double)(p->now_ns - start_ns) / NS_PER_MS, "ms");
	cluster_run(p, OBSERVATION_NS - (p->now_ns - start_ns));
	report(is_planned ? "us_feed_handover" : "us_feed_takeover", moved,
	       spent_ns(p) > baseline_ns
		       ? (double)(spent_ns(p) - baseline_ns) / 1000
		       : 0,
	       "us");
	report(is_planned ? "bytes_feed_handover" : "bytes_feed_takeover",
	       moved, (double)feed_copy_bytes(p), "bytes");
	if (is_planned)
		report("bytes_feed_handover_leaver", moved,
		       (double)p->nodes[0].sent_bytes, "bytes");
	report(is_planned ? "feeds_held_after_leave" : "feeds_held_after_death",
	       n, n_feeds_held(p, 1) + n_feeds_held(p, 2), "feeds");
	cluster_free(p);
}

/* Measures the revalidation of feeds that get no updates. */
static void measure_revalidation(uint32_t n)
{
	struct cluster *p = cluster_with_feeds(n, 10 * NS_PER_S);
	struct cluster *quiet = cluster_with_feeds(1, 3600 * NS_PER_S);
	uint64_t n_revalidated = 0;
	uint64_t baseline_ns = idle_ns(quiet, OBSERVATION_NS);

	for (uint32_t i = 0; i < NODES; i++)
		n_revalidated -=
			entry_counters(p->nodes[i].e)->feeds_revalidated;
	cluster_reset_counters(p);
	cluster_run(p, OBSERVATION_NS);
	for (uint32_t i = 0; i < NODES; i++)
		n_revalidated +=
			entry_counters(p->nodes[i].e)->feeds_revalidated;
	report("us_feed_revalidated", (double)n_revalidated,
	       (double)(spent_ns(p) - baseline_ns) / 1000, "us");
	cluster_free(p);
	cluster_free(quiet);
}

void measure_feeds(void)
{
	static const uint32_t sizes[SIZES] = { 600, 1500, 4500 };

	for (uint32_t i = 0; i < SIZES; i++)
		measure_opens_and_updates(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_takeover(sizes[i], false);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_takeover(sizes[i], true);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_revalidation(sizes[i]);
}
