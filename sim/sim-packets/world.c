#include "world_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Clients start this long after the entries. */
#define CLIENT_START_DELAY_NS NS_PER_S
#define PERCENT 100.0

const char *const world_cause_names[CAUSES] = { "in aim",  "cut",    "gone",
						"refused", "waited", "work",
						"failed" };

static bool is_earlier(const struct event *a, const struct event *b)
{
	return a->at_ns < b->at_ns ||
	       (a->at_ns == b->at_ns && a->order < b->order);
}

/* Schedule an event @delay_ns from now. */
void world_schedule(struct world *w, uint64_t delay_ns,
		    void (*run)(struct world *w, const struct event *e),
		    uint64_t a, uint64_t b, uint64_t c)
{
	struct event e = { w->now_ns + delay_ns, w->order++, run, a, b, c };
	uint32_t i = w->n_events;

	if (i == EVENTS_MAX)
		abort(); /* bug in the emulator: unbounded events */
	w->n_events++;
	for (; i && is_earlier(&e, &w->events[(i - 1) / 2]); i = (i - 1) / 2)
		w->events[i] = w->events[(i - 1) / 2];
	w->events[i] = e;
}

static struct event pop_event(struct world *w)
{
	struct event first = w->events[0];
	struct event last = w->events[--w->n_events];
	uint32_t i = 0;

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child + 1 < w->n_events &&
		    is_earlier(&w->events[child + 1], &w->events[child]))
			child++;
		if (child >= w->n_events ||
		    is_earlier(&last, &w->events[child]))
			break;
		w->events[i] = w->events[child];
		i = child;
	}
	w->events[i] = last;
	return first;
}

/**
 * world_run() - advance the simulated clock
 * @w: emulator
 * @ns: by how much
 */
void world_run(struct world *w, uint64_t ns)
{
	uint64_t end_ns = w->now_ns + ns;

	while (w->n_events && w->events[0].at_ns <= end_ns) {
		struct event e = pop_event(w);

		w->now_ns = e.at_ns;
		e.run(w, &e);
	}
	w->now_ns = end_ns;
}

/**
 * world_reset_report() - restart the totals, but keep the counts of broken
 *	rules
 * @w: emulator
 */
void world_reset_report(struct world *w)
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
		w->targets[i].requests_run = 0;
}

uint64_t world_now_ns(const struct world *w)
{
	return w->now_ns;
}

/**
 * world_next_event_delay_ns() - time until the next event is due
 * @w: emulator
 *
 * Return: nanoseconds; 0 when an event is due or none is left.
 */
uint64_t world_next_event_delay_ns(const struct world *w)
{
	return w->n_events && w->events[0].at_ns > w->now_ns
		       ? w->events[0].at_ns - w->now_ns
		       : 0;
}

/* Return: uniformly distributed number from 0 to below 1. */
double world_random_unit(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) / (double)(1ULL << 53);
}

static double sample_normal(struct rng *rng)
{
	double a = 1 - world_random_unit(rng), b = world_random_unit(rng);

	return sqrt(-2 * log(a)) * cos(2 * M_PI * b);
}

uint64_t world_sample(struct rng *rng, const struct site_spread *s)
{
	double sigma = s->sigma_percent / PERCENT;
	double drawn = (double)s->mean *
		       exp(sigma * sample_normal(rng) - sigma * sigma / 2);
	uint64_t v = drawn < 1 ? 1 : (uint64_t)drawn;

	return s->max && v > s->max ? s->max : v;
}

bool world_is_partitioned(const struct world *w, uint32_t zone_a,
			  uint32_t zone_b)
{
	return zone_a != zone_b &&
	       (w->partitioned_until_ns[zone_a] > w->now_ns ||
		w->partitioned_until_ns[zone_b] > w->now_ns);
}

uint64_t world_one_way_ns(const struct world *w, uint32_t zone_a,
			  uint32_t zone_b)
{
	return zone_a == zone_b ? w->conf.site.same_dc_delay_ns
				: w->conf.site.other_dc_delay_ns;
}

uint64_t route_vip(uint32_t route)
{
	return ADDR(0xc6120001, 1000 + route);
}

/* Index of the route that tests of the configuration add and drop. It follows
 * the routes of the site's classes. */
uint32_t extra_route_index(const struct world *w)
{
	return w->conf.site.n_classes;
}

static void *grow_list(void *list, uint32_t n, uint32_t *capacity, size_t size)
{
	void *more;

	if (n < *capacity)
		return list;
	*capacity = *capacity ? 2 * *capacity : 256;
	more = realloc(list, *capacity * size);
	if (!more)
		abort();
	return more;
}

void world_record_request(struct world *w, const struct world_request *r)
{
	w->requests = grow_list(w->requests, w->n_requests,
				&w->requests_capacity, sizeof(*w->requests));
	w->requests[w->n_requests++] = *r;
}

void world_record_entry_state(struct world *w, uint32_t entry, bool up)
{
	w->entry_changes = grow_list(w->entry_changes, w->n_entry_changes,
				     &w->entry_changes_capacity,
				     sizeof(*w->entry_changes));
	w->entry_changes[w->n_entry_changes++] =
		(struct entry_change){ w->now_ns, entry, up };
}

void world_record_slots(struct world *w, uint32_t service)
{
	uint32_t slots = 0;

	for (uint32_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].service == service && w->targets[i].alive)
			slots += w->targets[i].advertised.slots;
	w->slot_changes =
		grow_list(w->slot_changes, w->n_slot_changes,
			  &w->slot_changes_capacity, sizeof(*w->slot_changes));
	w->slot_changes[w->n_slot_changes++] =
		(struct slot_change){ w->now_ns, service, slots };
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
	world_schedule(w, 0, router_probe, 0, 0, 0);
}

/* Requests on the extra route are like those of the second class. */
static void make_classes(struct world *w)
{
	const struct site *s = &w->conf.site;

	memcpy(w->classes, s->classes, sizeof(s->classes));
	w->classes[s->n_classes] = s->classes[s->n_classes > 1 ? 1 : 0];
	w->classes[s->n_classes].kind = ROUTE_REPORT;
	w->classes[s->n_classes].long_flows = false;
}

static void init_hellos(struct world *w)
{
	for (uint32_t i = 0; i < HELLOS_IN_FLIGHT_MAX; i++)
		w->hellos_in_flight[i].next = i + 1;
}

/**
 * world_new() - create an emulator and start its entries
 * @conf: configuration; copied
 *
 * Clients start CLIENT_START_DELAY_NS after the entries; that time has passed
 * when this returns.
 *
 * Return: emulator, freed with world_free(); NULL without memory.
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
		w->conf.driver = emulated_entry_driver();
	w->rng.state = hash_u64(conf->seed, 1) | 1;
	w->arrival_rng.state = hash_u64(conf->seed, 2) | 1;
	w->now_ns = 1000 * NS_PER_S;
	w->epoch = 1;
	make_classes(w);
	init_hellos(w);
	store_publish_routes(w);
	make_targets(w);
	make_entries(w);
	world_run(w, CLIENT_START_DELAY_NS);
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
	free(w->stale_keys);
	free(w->copied_keys);
	free(w->requests);
	free(w->slot_changes);
	free(w->entry_changes);
	free(w->events);
	free(w);
}

/**
 * world_report() - read the totals so far
 * @w: emulator
 * @out: receives the totals
 */
void world_report(const struct world *w, struct world_report *out)
{
	uint64_t max = 0, sum = 0, n = 0;

	*out = w->report;
	for (uint32_t i = 0; i < w->n_targets; i++) {
		const struct sim_target *t = &w->targets[i];

		if (t->service != SERVICE_MAIN)
			continue;
		sum += t->requests_run;
		n++;
		if (t->requests_run > max)
			max = t->requests_run;
	}
	out->imbalance = sum ? (double)max * (double)n / (double)sum : 0;
}

/**
 * world_requests() - every request that ended, in order of its end
 * @w: emulator, which owns the list
 * @n: receives the number of requests
 *
 * Return: the first request.
 */
const struct world_request *world_requests(const struct world *w, uint32_t *n)
{
	*n = w->n_requests;
	return w->requests;
}

/**
 * world_broken_rules() - count the violations of rules that always hold
 * @r: totals of a run
 *
 * Return: number of violations.
 */
uint64_t world_broken_rules(const struct world_report *r)
{
	return r->misrouted + r->broken + r->late_drain + r->evacuated +
	       r->overrun + r->stale + r->doubled;
}

uint32_t world_entry_count(const struct world *w)
{
	return w->n_entries;
}

uint32_t world_target_count(const struct world *w)
{
	return w->n_targets;
}

uint32_t world_ready_count(struct world *w)
{
	uint32_t ready = 0;

	for (uint32_t i = 0; i < w->n_entries; i++)
		ready += w->conf.driver.ready(w->conf.driver.ctx, w, i);
	return ready;
}

/**
 * world_most_ejections() - how often the target was ejected that was ejected
 *	most often
 * @w: emulator
 *
 * Return: ejections of one target by all entries together since the start.
 */
uint32_t world_most_ejections(const struct world *w)
{
	uint32_t most = 0;

	for (uint32_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].ejections > most)
			most = w->targets[i].ejections;
	return most;
}
