/* Microseconds and control bytes of feeds: opening, updates, changing hands. */
#include "pump.h"

#include <stdlib.h>

#define SIZES 3
#define NODES 3
#define TARGETS 16
#define SPACING_NS (NS_PER_S / 100)
#define WATCH_NS (40 * NS_PER_S)

static uint64_t spent_ns(const struct pump *p)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < p->n; i++)
		sum += p->nodes[i].spent_ns;
	return sum;
}

static struct pump *pump_of_feeds(uint32_t n, uint64_t probe_idle_ns)
{
	struct entry_conf conf = pump_conf();
	struct pump *p;

	conf.probe_idle_ns = probe_idle_ns;
	p = pump_new(NODES, &conf, TARGETS);
	for (uint32_t i = 0; i < n; i++) {
		struct flow_key key = pump_key(i);
		struct entry_explanation v = entry_explain(p->nodes[0].e, &key);

		pump_run(p, SPACING_NS);
		pump_caller(p, pump_node_of(p, v.pair.owner), &key, PUMP_FEED,
			    (uint16_t)i);
	}
	return p;
}

static uint64_t copies(const struct pump *p)
{
	return p->sent[PEER_FEED].bytes + p->sent[PEER_FEED_CLOSE].bytes;
}

/* Time that a pump with nothing to do spends on its own. */
static uint64_t idle_ns(struct pump *p, uint64_t for_ns)
{
	pump_reset(p);
	pump_run(p, for_ns);
	return spent_ns(p);
}

static uint32_t held(const struct pump *p, uint32_t node)
{
	return entry_gauges(p->nodes[node].e).feeds_held;
}

static void opens_and_updates(uint32_t n)
{
	static const uint8_t kinds[] = { PEER_FEED };
	struct pump *p = pump_of_feeds(n, 3600 * NS_PER_S);
	uint64_t before;
	uint64_t idle;

	pump_report_sent(p, kinds, sizeof(kinds));
	report("bytes_feed_open", n, (double)copies(p), "bytes");
	before = spent_ns(p);
	idle = idle_ns(p, n * SPACING_NS);
	report("us_feed_open_all", n,
	       before > idle ? (double)(before - idle) / 1000 : 0, "us");
	pump_reset(p);
	for (uint32_t i = 0; i < n; i++)
		pump_update(p, &p->feeds[i]);
	report("us_feed_update", n, (double)spent_ns(p) / 1000, "us");
	pump_free(p);
}

static void takeovers(uint32_t n, bool planned)
{
	struct pump *p = pump_of_feeds(n, 3600 * NS_PER_S);
	uint64_t idle = idle_ns(p, WATCH_NS);
	uint32_t moved = held(p, 0);
	uint64_t began_ns = p->now_ns;

	pump_reset(p);
	if (planned)
		pump_leave(p, 0);
	else
		pump_kill(p, 0);
	while (held(p, 1) + held(p, 2) < n && p->now_ns < began_ns + WATCH_NS)
		pump_run(p, NS_PER_S / 100);
	report(planned ? "ms_feeds_handed_over" : "ms_feeds_taken_over", moved,
	       (double)(p->now_ns - began_ns) / NS_PER_MS, "ms");
	pump_run(p, WATCH_NS - (p->now_ns - began_ns));
	report(planned ? "us_feed_handover" : "us_feed_takeover", moved,
	       spent_ns(p) > idle ? (double)(spent_ns(p) - idle) / 1000 : 0,
	       "us");
	report(planned ? "bytes_feed_handover" : "bytes_feed_takeover", moved,
	       (double)copies(p), "bytes");
	if (planned)
		report("bytes_feed_handover_leaver", moved,
		       (double)p->nodes[0].sent_bytes, "bytes");
	report(planned ? "feeds_held_after_leave" : "feeds_held_after_death", n,
	       held(p, 1) + held(p, 2), "feeds");
	pump_free(p);
}

/* Feeds that no update comes for are asked for again. */
static void silences(uint32_t n)
{
	struct pump *p = pump_of_feeds(n, 10 * NS_PER_S);
	struct pump *quiet = pump_of_feeds(1, 3600 * NS_PER_S);
	uint64_t asked = 0;
	uint64_t idle = idle_ns(quiet, WATCH_NS);

	for (uint32_t i = 0; i < NODES; i++)
		asked -= entry_counters(p->nodes[i].e)->feeds_revalidated;
	pump_reset(p);
	pump_run(p, WATCH_NS);
	for (uint32_t i = 0; i < NODES; i++)
		asked += entry_counters(p->nodes[i].e)->feeds_revalidated;
	report("us_feed_revalidated", (double)asked,
	       (double)(spent_ns(p) - idle) / 1000, "us");
	pump_free(p);
	pump_free(quiet);
}

void feed_slopes(void)
{
	static const uint32_t sizes[SIZES] = { 600, 1500, 4500 };

	for (uint32_t i = 0; i < SIZES; i++)
		opens_and_updates(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		takeovers(sizes[i], false);
	for (uint32_t i = 0; i < SIZES; i++)
		takeovers(sizes[i], true);
	for (uint32_t i = 0; i < SIZES; i++)
		silences(sizes[i]);
}
