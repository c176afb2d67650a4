/* Measures what leaves, joins and deaths of entries cost, by their number. */
#include "cluster.h"

#include <stdlib.h>

#define SIZES 3
#define TARGETS 16
#define COVER_NS (95 * NS_PER_S)
#define POLL_NS (20 * NS_PER_MS)
#define SETTLE_NS (20 * NS_PER_S)
#define RACK_ENTRIES 20

static const uint32_t sizes[SIZES] = { 8, 64, 458 };

static struct cluster *new_settled_cluster(uint32_t n)
{
	struct entry_conf conf = cluster_conf();
	struct cluster *p;

	conf.requests_max = 1024;
	conf.feeds_max = 256;
	conf.claims_max = 16384;
	conf.flows_max = 256;
	p = cluster_new(n, &conf, TARGETS);
	cluster_run(p, COVER_NS);
	cluster_reset_counters(p);
	return p;
}

static uint32_t count_not_ready(const struct cluster *p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->n; i++)
		n += p->nodes[i].e && !p->nodes[i].is_leaving &&
		     !entry_ready(p->nodes[i].e, p->now_ns);
	return n;
}

static uint64_t max_sent_bytes(const struct cluster *p)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < p->n; i++)
		most = MAX(most, p->nodes[i].sent_bytes);
	return most;
}

static uint64_t max_spent_ns(const struct cluster *p)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < p->n; i++)
		most = MAX(most, p->nodes[i].spent_ns);
	return most;
}

static double spent_us(const struct cluster *p)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < p->n; i++)
		sum += p->nodes[i].spent_ns;
	return (double)sum / 1000;
}

/* Measures the cost per second without requests and changes of membership. */
static void measure_idle(struct cluster *p)
{
	cluster_reset_counters(p);
	cluster_run(p, 10 * NS_PER_S);
	report("bytes_idle_per_s", p->n,
	       (double)cluster_peer_bytes(p) / p->n / 10, "bytes");
	report("us_idle_per_s", p->n, spent_us(p) / p->n / 10, "us");
}

/*
 * Makes @n claims at entry @node by POSTs, which it hands over when it leaves.
 */
static void fill_claims(struct cluster *p, uint32_t node, uint32_t n)
{
	uint32_t i = 0;

	while (n) {
		struct flow_key key = cluster_flow_key(i++);
		struct entry_explanation v =
			entry_explain(p->nodes[node].e, &key);

		if (v.pair.owner != p->nodes[node].vm)
			continue;
		cluster_run(p, NS_PER_MS);
		cluster_caller_request(p, node, &key, REQUEST_POST,
				       (uint16_t)i);
		n--;
	}
}

static void measure_leave(struct cluster *p, uint32_t node, const char *ms_name,
			  const char *bytes_name, const char *not_ready_name,
			  double size)
{
	uint64_t start_ns = p->now_ns;

	cluster_reset_counters(p);
	cluster_leave(p, node);
	while (p->nodes[node].e && p->now_ns < start_ns + 2 * SETTLE_NS)
		cluster_run(p, POLL_NS);
	report(ms_name, size, (double)(p->now_ns - start_ns) / NS_PER_MS, "ms");
	report(bytes_name, size,
	       (double)(p->sent[PEER_RECORD].bytes +
			p->sent[PEER_HANDOVER].bytes),
	       "bytes");
	report(not_ready_name, size, count_not_ready(p), "entries");
}

static void measure_leave_by_entries(struct cluster *p)
{
	measure_leave(p, 0, "ms_leave_entries", "bytes_leave_entries",
		      "not_ready_after_leave_entries", p->n);
	report("us_leave_most_entries", p->n, (double)max_spent_ns(p) / 1000,
	       "us");
	report("bytes_leave_most_entries", p->n, (double)max_sent_bytes(p),
	       "bytes");
}

/*
 * Measures a join: the entry that left starts again at its address without
 * state.
 */
static void measure_join(struct cluster *p, uint32_t node)
{
	uint64_t start_ns = p->now_ns;

	cluster_reset_counters(p);
	cluster_start(p, node);
	do
		cluster_run(p, POLL_NS);
	while (count_not_ready(p) && p->now_ns < start_ns + 2 * SETTLE_NS);
	report("ms_join_entries", p->n,
	       (double)(p->now_ns - start_ns) / NS_PER_MS, "ms");
	report("bytes_join_most_entries", p->n, (double)max_sent_bytes(p),
	       "bytes");
	report("us_join_most_entries", p->n, (double)max_spent_ns(p) / 1000,
	       "us");
	report("not_ready_after_join_entries", p->n, count_not_ready(p),
	       "entries");
}

static void measure_leave_by_claims(void)
{
	static const uint8_t kinds[] = { PEER_RECORD, PEER_HANDOVER };
	static const uint32_t claims[SIZES] = { 500, 2000, 4500 };

	for (uint32_t i = 0; i < SIZES; i++) {
		struct cluster *p = new_settled_cluster(24);

		fill_claims(p, 0, claims[i]);
		measure_leave(p, 0, "ms_leave_claims", "bytes_leave_claims",
			      "not_ready_after_leave_claims", claims[i]);
		cluster_report_sent(p, kinds, sizeof(kinds));
		cluster_free(p);
	}
}

/* Measures the three seconds after @lost entries died at once. */
static void measure_deaths(struct cluster *p, uint32_t lost,
			   const char *us_name, const char *bytes_name)
{
	for (uint32_t i = 0; i < lost; i++)
		cluster_kill(p, 1 + i);
	cluster_reset_counters(p);
	cluster_run(p, 3 * NS_PER_S);
	report(us_name, p->n, (double)max_spent_ns(p) / 1000, "us");
	report(bytes_name, p->n, (double)max_sent_bytes(p), "bytes");
}

void measure_fleet(void)
{
	for (uint32_t i = 0; i < SIZES; i++) {
		struct cluster *p = new_settled_cluster(sizes[i]);

		measure_idle(p);
		measure_leave_by_entries(p);
		cluster_run(p, COVER_NS);
		measure_join(p, 0);
		cluster_run(p, SETTLE_NS);
		measure_deaths(p, 1, "us_death_3s_most_entries",
			       "bytes_death_3s_most_entries");
		cluster_run(p, SETTLE_NS);
		if (sizes[i] > 2 * RACK_ENTRIES)
			measure_deaths(p, RACK_ENTRIES,
				       "us_rack_3s_most_entries",
				       "bytes_rack_3s_most_entries");
		cluster_free(p);
	}
	measure_leave_by_claims();
}
