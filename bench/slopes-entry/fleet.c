/* What changes of the fleet cost, by its size. */
#include "pump.h"

#include <stdlib.h>

#define SIZES 3
#define TARGETS 16
#define COVER_NS (95 * NS_PER_S)
#define STEP_NS (20 * NS_PER_MS)
#define AFTER_NS (20 * NS_PER_S)
#define RACK 20

static const uint32_t sizes[SIZES] = { 8, 64, 458 };

static struct pump *fleet_new(uint32_t n)
{
	struct entry_conf conf = pump_conf();
	struct pump *p;

	conf.requests_max = 1024;
	conf.feeds_max = 256;
	conf.claims_max = 16384;
	conf.flows_max = 256;
	p = pump_new(n, &conf, TARGETS);
	pump_run(p, COVER_NS);
	pump_reset(p);
	return p;
}

static uint32_t not_ready(const struct pump *p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->n; i++)
		n += p->nodes[i].e && !p->nodes[i].leaving &&
		     !entry_ready(p->nodes[i].e, p->now_ns);
	return n;
}

static uint64_t most_sent(const struct pump *p)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < p->n; i++)
		most = MAX(most, p->nodes[i].sent_bytes);
	return most;
}

static uint64_t most_spent(const struct pump *p)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < p->n; i++)
		most = MAX(most, p->nodes[i].spent_ns);
	return most;
}

static double spent_us(const struct pump *p)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < p->n; i++)
		sum += p->nodes[i].spent_ns;
	return (double)sum / 1000;
}

/* A second in which nothing happens. */
static void idle(struct pump *p)
{
	pump_reset(p);
	pump_run(p, 10 * NS_PER_S);
	report("bytes_idle_per_s", p->n, (double)pump_bytes(p) / p->n / 10,
	       "bytes");
	report("us_idle_per_s", p->n, spent_us(p) / p->n / 10, "us");
}

/* POSTs to flows of one entry, whose records a leave has to hand over. */
static void fill_claims(struct pump *p, uint32_t node, uint32_t n)
{
	uint32_t i = 0;

	while (n) {
		struct flow_key key = pump_key(i++);
		struct entry_explanation v =
			entry_explain(p->nodes[node].e, &key);

		if (v.pair.owner != p->nodes[node].vm)
			continue;
		pump_run(p, NS_PER_MS);
		pump_caller(p, node, &key, PUMP_POST, (uint16_t)i);
		n--;
	}
}

static void leave(struct pump *p, uint32_t node, const char *ms_name,
		  const char *bytes_name, const char *rest_name, double size)
{
	uint64_t began_ns = p->now_ns;

	pump_reset(p);
	pump_leave(p, node);
	while (p->nodes[node].e && p->now_ns < began_ns + 2 * AFTER_NS)
		pump_run(p, STEP_NS);
	report(ms_name, size, (double)(p->now_ns - began_ns) / NS_PER_MS, "ms");
	report(bytes_name, size,
	       (double)(p->sent[PEER_RECORD].bytes +
			p->sent[PEER_HANDOVER].bytes),
	       "bytes");
	report(rest_name, size, not_ready(p), "entries");
}

static void leaves_by_fleet(struct pump *p)
{
	leave(p, 0, "ms_leave_entries", "bytes_leave_entries",
	      "not_ready_after_leave_entries", p->n);
	report("us_leave_most_entries", p->n, (double)most_spent(p) / 1000,
	       "us");
	report("bytes_leave_most_entries", p->n, (double)most_sent(p), "bytes");
}

/* The same VM comes back, with nothing. */
static void join(struct pump *p, uint32_t node)
{
	uint64_t began_ns = p->now_ns;

	pump_reset(p);
	pump_start(p, node);
	do
		pump_run(p, STEP_NS);
	while (not_ready(p) && p->now_ns < began_ns + 2 * AFTER_NS);
	report("ms_join_entries", p->n,
	       (double)(p->now_ns - began_ns) / NS_PER_MS, "ms");
	report("bytes_join_most_entries", p->n, (double)most_sent(p), "bytes");
	report("us_join_most_entries", p->n, (double)most_spent(p) / 1000,
	       "us");
	report("not_ready_after_join_entries", p->n, not_ready(p), "entries");
}

static void leaves_by_claims(void)
{
	static const uint8_t kinds[] = { PEER_RECORD, PEER_HANDOVER };
	static const uint32_t claims[SIZES] = { 500, 2000, 4500 };

	for (uint32_t i = 0; i < SIZES; i++) {
		struct pump *p = fleet_new(24);

		fill_claims(p, 0, claims[i]);
		leave(p, 0, "ms_leave_claims", "bytes_leave_claims",
		      "not_ready_after_leave_claims", claims[i]);
		pump_report_sent(p, kinds, sizeof(kinds));
		pump_free(p);
	}
}

/* From the loss of @lost entries on, over three seconds. */
static void deaths(struct pump *p, uint32_t lost, const char *us_name,
		   const char *bytes_name)
{
	for (uint32_t i = 0; i < lost; i++)
		pump_kill(p, 1 + i);
	pump_reset(p);
	pump_run(p, 3 * NS_PER_S);
	report(us_name, p->n, (double)most_spent(p) / 1000, "us");
	report(bytes_name, p->n, (double)most_sent(p), "bytes");
}

void fleet_slopes(void)
{
	for (uint32_t i = 0; i < SIZES; i++) {
		struct pump *p = fleet_new(sizes[i]);

		idle(p);
		leaves_by_fleet(p);
		pump_run(p, COVER_NS);
		join(p, 0);
		pump_run(p, AFTER_NS);
		deaths(p, 1, "us_death_3s_most_entries",
		       "bytes_death_3s_most_entries");
		pump_run(p, AFTER_NS);
		if (sizes[i] > 2 * RACK)
			deaths(p, RACK, "us_rack_3s_most_entries",
			       "bytes_rack_3s_most_entries");
		pump_free(p);
	}
	leaves_by_claims();
}
