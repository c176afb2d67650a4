#include "world_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Clients begin so long after the entries. */
#define LEAD_NS NS_PER_S
#define PERCENT 100.0

const char *const world_cause_names[CAUSES] = { "in aim",  "cut",    "gone",
						"refused", "waited", "work",
						"failed" };

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
 * world_forget() - what is reported begins now; what rules were broken stays
 * @w: world
 */
void world_forget(struct world *w)
{
	struct world_report r = w->report;

	w->start_ns = w->now_ns;
	w->n_requests = 0;
	w->report = (struct world_report){
		.misrouted = r.misrouted,
		.broken = r.broken,
		.late_drain = r.late_drain,
		.evacuated = r.evacuated,
		.overrun = r.overrun,
		.stale = r.stale,
		.doubled = r.doubled,
	};
	for (uint32_t i = 0; i < w->n_targets; i++)
		w->targets[i].runs = 0;
}

uint64_t world_now_ns(const struct world *w)
{
	return w->now_ns;
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

/* From 0 to below 1. */
double world_chance(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) / (double)(1ULL << 53);
}

static double normal(struct rng *rng)
{
	double a = 1 - world_chance(rng), b = world_chance(rng);

	return sqrt(-2 * log(a)) * cos(2 * M_PI * b);
}

uint64_t world_draw(struct rng *rng, const struct site_spread *s)
{
	double sigma = s->sigma_percent / PERCENT;
	double drawn =
		(double)s->mean * exp(sigma * normal(rng) - sigma * sigma / 2);
	uint64_t v = drawn < 1 ? 1 : (uint64_t)drawn;

	return s->most && v > s->most ? s->most : v;
}

bool world_cut(const struct world *w, uint32_t zone_a, uint32_t zone_b)
{
	return zone_a != zone_b && (w->cut_until_ns[zone_a] > w->now_ns ||
				    w->cut_until_ns[zone_b] > w->now_ns);
}

uint64_t world_way_ns(const struct world *w, uint32_t zone_a, uint32_t zone_b)
{
	return zone_a == zone_b ? w->conf.site.near_ns : w->conf.site.far_ns;
}

uint64_t route_vip(uint32_t route)
{
	return ADDR(0xc6120001, 1000 + route);
}

/* Beyond the kinds of request: a route that comes and goes. */
uint32_t probe_route(const struct world *w)
{
	return w->conf.site.n_classes;
}

static void *grown(void *list, uint32_t n, uint32_t *room, size_t size)
{
	void *more;

	if (n < *room)
		return list;
	*room = *room ? 2 * *room : 256;
	more = realloc(list, *room * size);
	if (!more)
		abort();
	return more;
}

/* A request ended. */
void world_note(struct world *w, const struct world_request *r)
{
	w->requests = grown(w->requests, w->n_requests, &w->requests_room,
			    sizeof(*w->requests));
	w->requests[w->n_requests++] = *r;
}

void world_mark_entry(struct world *w, uint32_t entry, bool up)
{
	w->runs = grown(w->runs, w->n_runs, &w->runs_room, sizeof(*w->runs));
	w->runs[w->n_runs++] = (struct entry_mark){ w->now_ns, entry, up };
}

void world_mark_capacity(struct world *w, uint32_t service)
{
	uint32_t slots = 0;

	for (uint32_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].service == service && w->targets[i].alive)
			slots += w->targets[i].news.slots;
	w->capacity = grown(w->capacity, w->n_capacity, &w->capacity_room,
			    sizeof(*w->capacity));
	w->capacity[w->n_capacity++] =
		(struct capacity_mark){ w->now_ns, service, slots };
}

static void make_targets(struct world *w)
{
	const struct site *s = &w->conf.site;

	for (uint32_t z = 0; z < s->n_zones; z++)
		for (uint32_t v = 0; v < s->n_services; v++)
			for (uint32_t i = 0; i < s->services[v].targets[z]; i++)
				targets_add(w, v, z, 0);
}

static void make_entries(struct world *w)
{
	const struct site *s = &w->conf.site;

	for (uint32_t z = 0; z < s->n_zones; z++)
		for (uint32_t i = 0; i < s->zones[z].entries; i++) {
			w->entries[w->n_entries].zone = z;
			world_start_entry(w, w->n_entries++);
		}
	world_at(w, 0, router_probe, 0, 0, 0);
}

/* What only tests the configuration looks like the second kind of request. */
static void make_classes(struct world *w)
{
	const struct site *s = &w->conf.site;

	memcpy(w->classes, s->classes, sizeof(s->classes));
	w->classes[s->n_classes] = s->classes[s->n_classes > 1 ? 1 : 0];
	w->classes[s->n_classes].kind = ROUTE_REPORT;
}

static void make_letters(struct world *w)
{
	for (uint32_t i = 0; i < LETTERS_MAX; i++)
		w->letters[i].next = i + 1;
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
	w->rng.state = hash_u64(conf->seed, 1) | 1;
	w->ask_rng.state = hash_u64(conf->seed, 2) | 1;
	w->now_ns = 1000 * NS_PER_S;
	w->epoch = 1;
	make_classes(w);
	make_letters(w);
	store_routes(w);
	make_targets(w);
	make_entries(w);
	world_run(w, LEAD_NS);
	w->start_ns = w->now_ns;
	arrivals_start(w);
	return w;
}

void world_free(struct world *w)
{
	if (!w)
		return;
	for (uint32_t i = 0; i < w->n_entries; i++)
		node_free(w->entries[i].node);
	for (uint32_t i = 0; i < w->n_targets; i++)
		free(w->targets[i].flows);
	free(w->old_keys);
	free(w->copied_keys);
	free(w->requests);
	free(w->capacity);
	free(w->runs);
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
 * world_requests() - every request that ended, in the order of its end
 * @w: world
 * @n: set to how many
 *
 * Return: the first of them.
 */
const struct world_request *world_requests(const struct world *w, uint32_t *n)
{
	*n = w->n_requests;
	return w->requests;
}

/**
 * world_broken_rules() - what must never happen
 * @r: report
 *
 * Return: how often it did.
 */
uint64_t world_broken_rules(const struct world_report *r)
{
	return r->misrouted + r->broken + r->late_drain + r->evacuated +
	       r->overrun + r->stale + r->doubled;
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
