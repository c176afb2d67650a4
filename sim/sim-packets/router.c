/* The platform's routers, which select the entry for a client's packets. */
#include "world_state.h"

#define READY_NS (500 * NS_PER_MS)
#define MISSED_PROBES_MAX 2

/* Periodic readiness check of all entries. */
void router_probe(struct world *w, const struct event *event)
{
	(void)event;
	world_schedule(w, READY_NS, router_probe, 0, 0, 0);
	for (uint32_t i = 0; i < w->n_entries; i++) {
		struct sim_entry *e = &w->entries[i];

		if (w->conf.driver.ready(w->conf.driver.ctx, w, i))
			e->missed_probes = 0;
		else if (e->missed_probes < MISSED_PROBES_MAX)
			e->missed_probes++;
	}
}

static bool is_candidate(const struct world *w, uint32_t i, uint32_t zone,
			 bool all)
{
	const struct sim_entry *e = &w->entries[i];

	return (zone == UINT32_MAX || e->zone == zone) &&
	       (all || e->missed_probes < MISSED_PROBES_MAX);
}

/* Select by remainder: most flows move when an entry starts or stops. */
static uint32_t select_by_remainder(const struct world *w, uint64_t flow,
				    uint32_t zone, bool all)
{
	uint32_t candidates[ENTRIES_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n_entries; i++)
		if (is_candidate(w, i, zone, all))
			candidates[n++] = i;
	return n ? candidates[flow % n] : UINT32_MAX;
}

/* Rendezvous hashing: only flows of the entry that starts or stops move. */
static uint32_t select_by_hash(const struct world *w, uint64_t flow,
			       uint32_t zone, bool all)
{
	uint64_t best_hash = 0;
	uint32_t selected = UINT32_MAX;

	for (uint32_t i = 0; i < w->n_entries; i++) {
		uint64_t h = hash_u64(flow, i + 1);

		if (!is_candidate(w, i, zone, all) || h < best_hash)
			continue;
		best_hash = h;
		selected = i;
	}
	return selected;
}

static uint32_t select_entry(const struct world *w, uint64_t flow,
			     uint32_t zone, bool all)
{
	return w->conf.site.by_remainder
		       ? select_by_remainder(w, flow, zone, all)
		       : select_by_hash(w, flow, zone, all);
}

/*
 * Entry for a user's packets, UINT32_MAX for none. Entries that failed
 * MISSED_PROBES_MAX readiness checks are left out, unless more than half of the
 * data centre's entries did. With none left, packets go to another data centre.
 */
uint32_t router_select(struct world *w, const struct sim_user *u)
{
	struct flow_key key = { ADDR(u->ip, u->port), route_vip(u->class) };
	uint64_t flow = flow_hash(&key);
	uint32_t ready = 0, n = 0;

	for (uint32_t i = 0; i < w->n_entries; i++) {
		if (w->entries[i].zone != u->zone)
			continue;
		n++;
		ready += w->entries[i].missed_probes < MISSED_PROBES_MAX;
	}
	if (ready)
		return select_entry(w, flow, u->zone, ready * 2 < n);
	return select_entry(w, flow, UINT32_MAX, false) == UINT32_MAX
		       ? select_entry(w, flow, u->zone, true)
		       : select_entry(w, flow, UINT32_MAX, false);
}
