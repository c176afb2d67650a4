#include "world_state.h"

#include <stdlib.h>
#include <string.h>

const char *const service_names[SERVICES] = { "main", "other" };

static bool before(const struct event *a, const struct event *b)
{
	return a->at_ns < b->at_ns ||
	       (a->at_ns == b->at_ns && a->order < b->order);
}

/* Make something happen after @delay_ns. */
void world_at(struct world *w, uint64_t delay_ns,
	      void (*run)(struct world *w, const struct event *e), uint64_t a,
	      uint64_t b, uint64_t c)
{
	struct event e = { w->now_ns + delay_ns, w->order++, run, a, b, c };
	uint32_t i = w->n_events;

	if (i == EVENTS_MAX)
		abort(); /* a mistake of the emulator: events breed */
	w->n_events++;
	for (; i && before(&e, &w->events[(i - 1) / 2]); i = (i - 1) / 2)
		w->events[i] = w->events[(i - 1) / 2];
	w->events[i] = e;
}

static struct event pop(struct world *w)
{
	struct event first = w->events[0];
	struct event last = w->events[--w->n_events];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child + 1 < w->n_events &&
		    before(&w->events[child + 1], &w->events[child]))
			child++;
		if (child >= w->n_events || before(&last, &w->events[child]))
			break;
		w->events[i] = w->events[child];
		i = child;
	}
	w->events[i] = last;
	return first;
}

/**
 * world_run() - let time pass
 * @w: world
 * @ns: how much
 */
void world_run(struct world *w, uint64_t ns)
{
	uint64_t end_ns = w->now_ns + ns;

	while (w->n_events && w->events[0].at_ns <= end_ns) {
		struct event e = pop(w);

		w->now_ns = e.at_ns;
		e.run(w, &e);
	}
	w->now_ns = end_ns;
}

/**
 * world_next_ns() - time until the next event
 * @w: world
 *
 * Return: nanoseconds.
 */
uint64_t world_next_ns(const struct world *w)
{
	return w->n_events && w->events[0].at_ns > w->now_ns
		       ? w->events[0].at_ns - w->now_ns
		       : 0;
}

double world_chance(struct world *w)
{
	return (double)(rng_next(&w->rng) >> 11) / (double)(1ULL << 53);
}

/* Half to one and a half of the mean. */
uint64_t world_work_ns(struct world *w)
{
	return (uint64_t)((double)w->conf.work_ns * (0.5 + world_chance(w)));
}

bool world_cut(const struct world *w, uint32_t zone_a, uint32_t zone_b)
{
	return zone_a != zone_b && (w->cut_until_ns[zone_a] > w->now_ns ||
				    w->cut_until_ns[zone_b] > w->now_ns);
}

uint64_t world_way_ns(uint32_t zone_a, uint32_t zone_b)
{
	return zone_a == zone_b ? NEAR_NS : FAR_NS;
}

uint64_t route_vip(uint32_t route)
{
	return ADDR(0xc6120001, 1000 + route);
}

static void make_targets(struct world *w)
{
	for (uint32_t z = 0; z < w->conf.zones; z++) {
		for (uint32_t i = 0; i < w->conf.targets_a_zone; i++)
			targets_add(w, SERVICE_MAIN, z, 0);
		targets_add(w, SERVICE_OTHER, z, 0);
	}
}

static void make_entries(struct world *w)
{
	for (uint32_t z = 0; z < w->conf.zones; z++)
		for (uint32_t i = 0; i < w->conf.entries_a_zone; i++) {
			w->entries[w->n_entries].zone = z;
			world_start_entry(w, w->n_entries++);
		}
	world_at(w, 0, router_probe, 0, 0, 0);
}

/**
 * world_new() - a deployment that starts now; clients come a second later
 * @conf: what to emulate
 *
 * Return: world, or NULL without memory.
 */
struct world *world_new(const struct world_conf *conf)
{
	struct world *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->events = malloc(EVENTS_MAX * sizeof(*w->events));
	if (!w->events) {
		free(w);
		return NULL;
	}
	w->conf = *conf;
	if (!w->conf.driver.start)
		w->conf.driver = entries_emulated();
	w->rng.s = hash_u64(conf->seed, 1) | 1;
	w->now_ns = 1000 * NS_PER_S;
	store_routes(w);
	make_targets(w);
	make_entries(w);
	world_run(w, NS_PER_S);
	clients_start(w);
	return w;
}

void world_free(struct world *w)
{
	if (!w)
		return;
	for (uint32_t i = 0; i < w->n_entries; i++)
		node_free(w->entries[i].node);
	free(w->events);
	free(w);
}

/**
 * world_report() - what clients and targets saw so far
 * @w: world
 * @out: filled
 */
void world_report(const struct world *w, struct world_report *out)
{
	uint64_t most = 0, sum = 0, n = 0;

	*out = w->report;
	for (uint32_t i = 0; i < w->n_targets; i++) {
		const struct sim_target *t = &w->targets[i];

		if (t->service != SERVICE_MAIN)
			continue;
		sum += t->runs;
		n++;
		if (t->runs > most)
			most = t->runs;
	}
	out->imbalance = sum ? (double)most * (double)n / (double)sum : 0;
}

/**
 * world_broken_rules() - what must never happen
 * @r: report
 *
 * Return: how often it did.
 */
uint64_t world_broken_rules(const struct world_report *r)
{
	return r->misrouted + r->broken + r->late_drain + r->stale + r->doubled;
}

uint32_t world_entries(const struct world *w)
{
	return w->n_entries;
}

uint32_t world_targets(const struct world *w)
{
	return w->n_targets;
}

uint32_t world_ready(struct world *w)
{
	uint32_t ready = 0;

	for (uint32_t i = 0; i < w->n_entries; i++)
		ready += w->conf.driver.ready(w->conf.driver.ctx, w, i);
	return ready;
}
