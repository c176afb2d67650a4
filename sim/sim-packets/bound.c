/*
 * Upper bound of the value that any assignment of requests could earn, derived
 * by relaxation. A request that arrives in a window is answered on time only if
 * (1) one of the packets that its client sends at fixed times reaches a running
 * entry early enough for its work to end within the objective, and (2) its work
 * is done between the start of the window and the longest objective after its
 * end, in the slots of the targets that live then. Of the requests that meet
 * (1), those of the highest value per work are chosen until the slot time is
 * used up (a fractional knapsack, optimal for any choice); all others count as
 * answered late if (1) allows that. Queues, the selection of targets, cold
 * targets and two requests on one flow are ignored, which can only raise the
 * bound.
 */
#include "bound.h"

#include <errno.h>
#include <stdlib.h>

/* Times after the arrival of a request at which its client may send a packet:
 * segments and their retransmissions, or SYNs, their copies and those of later
 * attempts. */
static const uint64_t send_times_ms[] = { 0,	200,  600,  1400, 1600, 2000,
					  2800, 3000, 3400, 4200, 4600, 5600 };

/**
 * struct candidate - a request that could be answered on time
 * @work_ns: its service time
 * @gain: its value on time, less its value when late
 */
struct candidate {
	uint64_t work_ns;
	double gain;
};

/**
 * bound_availability() - determine when at least one entry ran
 * @w: emulator, after its run
 * @out: receives the intervals; the caller frees @out->spans
 *
 * Routers send the packets of a data centre without a running entry to another
 * data centre, so that any running entry counts.
 *
 * Return: 0, or -ENOMEM.
 */
int bound_availability(const struct world *w, struct bound_availability *out)
{
	bool up[ENTRIES_MAX] = { false };
	uint32_t running = 0;

	*out = (struct bound_availability){
		calloc(w->n_entry_changes + 1, sizeof(struct bound_span)), 0
	};
	if (!out->spans)
		return -ENOMEM;
	for (uint32_t i = 0; i < w->n_entry_changes; i++) {
		const struct entry_change *m = &w->entry_changes[i];
		struct bound_span *s = &out->spans[out->n++];

		if (up[m->entry] != m->up)
			running += m->up ? 1U : -1U;
		up[m->entry] = m->up;
		s->from_ns = m->at_ns;
		s->any = running;
	}
	return 0;
}

static bool entry_ran_at(const struct bound_availability *availability,
			 uint64_t at_ns)
{
	uint32_t low = 0, high = availability->n;

	while (low < high) {
		uint32_t mid = (low + high) / 2;

		if (availability->spans[mid].from_ns <= at_ns)
			low = mid + 1;
		else
			high = mid;
	}
	return low && availability->spans[low - 1].any;
}

/* Return: when the first packet reaches a running entry; 0 if none does. */
static uint64_t first_arrival_ns(const struct world *w,
				 const struct bound_availability *availability,
				 const struct world_request *r)
{
	for (uint32_t i = 0;
	     i < sizeof(send_times_ms) / sizeof(send_times_ms[0]); i++) {
		uint64_t at_ns = r->arrival_ns + send_times_ms[i] * NS_PER_MS +
				 w->conf.site.client_delay_ns;

		if (entry_ran_at(availability, at_ns))
			return at_ns;
	}
	return 0;
}

/* Least latency: from the entry to a target of the same data centre, service
 * time, back to the client. */
static uint64_t
earliest_latency_ns(const struct world *w,
		    const struct bound_availability *availability,
		    const struct world_request *r)
{
	uint64_t at_entry_ns = first_arrival_ns(w, availability, r);

	return at_entry_ns ? at_entry_ns + w->conf.site.same_dc_delay_ns +
				     r->work_ns + w->conf.site.client_delay_ns -
				     r->arrival_ns
			   : UINT64_MAX;
}

static double slot_time_ns(const struct world *w, uint32_t service,
			   uint64_t from_ns, uint64_t to_ns)
{
	double total = 0;
	uint64_t at_ns = from_ns;
	uint32_t slots = 0;

	for (uint32_t i = 0; i < w->n_slot_changes; i++) {
		const struct slot_change *m = &w->slot_changes[i];

		if (m->service != service || m->at_ns >= to_ns)
			continue;
		if (m->at_ns > at_ns) {
			total += (double)slots * (double)(m->at_ns - at_ns);
			at_ns = m->at_ns;
		}
		slots = m->slots;
	}
	return total + (double)slots * (double)(to_ns - at_ns);
}

/* Slot time for the requests of a service's classes. Slots of a second service
 * that a class may use count for both, which can only raise the bound. */
static double usable_slot_time_ns(const struct world *w, uint32_t service,
				  uint64_t from_ns, uint64_t to_ns)
{
	bool usable[SERVICES_MAX] = { false };
	double total = 0;

	usable[service] = true;
	for (uint32_t c = 0; c < w->conf.site.n_classes; c++)
		if (w->classes[c].service == service &&
		    w->classes[c].other_percent)
			usable[w->classes[c].other_service] = true;
	for (uint32_t s = 0; s < w->conf.site.n_services; s++)
		if (usable[s])
			total += slot_time_ns(w, s, from_ns, to_ns);
	return total;
}

static int compare(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;
	double p = x->gain * (double)y->work_ns;
	double q = y->gain * (double)x->work_ns;

	return (p < q) - (p > q);
}

static double best_gain(struct candidate *candidates, uint32_t n,
			double capacity_ns)
{
	double gain = 0;

	qsort(candidates, n, sizeof(*candidates), compare);
	for (uint32_t i = 0; i < n && capacity_ns > 0; i++) {
		double work_ns = (double)candidates[i].work_ns;
		double share =
			work_ns <= capacity_ns ? 1 : capacity_ns / work_ns;

		gain += share * candidates[i].gain;
		capacity_ns -= work_ns;
	}
	return gain;
}

static double bound_of_service(const struct world *w,
			       const struct bound_availability *availability,
			       uint32_t service, uint64_t from_ns,
			       uint64_t to_ns, struct candidate *candidates)
{
	uint64_t latest_ns = 0;
	uint32_t n = 0;
	double late_total = 0;

	for (uint32_t i = 0; i < w->n_requests; i++) {
		const struct world_request *r = &w->requests[i];
		const struct site_class *c = &w->classes[r->class];
		uint64_t latency_ns;

		if (c->service != service || r->arrival_ns < from_ns ||
		    r->arrival_ns >= to_ns)
			continue;
		latency_ns = earliest_latency_ns(w, availability, r);
		if (latency_ns <= c->deadline_ns)
			late_total += c->late_value;
		if (latency_ns > c->objective_ns)
			continue;
		candidates[n++] =
			(struct candidate){ r->work_ns,
					    c->value - c->late_value };
		if (c->objective_ns > latest_ns)
			latest_ns = c->objective_ns;
	}
	return late_total + best_gain(candidates, n,
				      usable_slot_time_ns(w, service, from_ns,
							  to_ns + latest_ns));
}

/**
 * bound_earned_value() - upper bound of the value of a window's requests
 * @w: emulator, after its run
 * @availability: intervals of bound_availability()
 * @from_ns: start of the window
 * @ns: length of the window
 *
 * Return: sum of values; 0 without memory.
 */
double bound_earned_value(const struct world *w,
			  const struct bound_availability *availability,
			  uint64_t from_ns, uint64_t ns)
{
	struct candidate *candidates =
		calloc(w->n_requests + 1, sizeof(*candidates));
	double total = 0;

	if (!candidates)
		return 0;
	for (uint32_t s = 0; s < w->conf.site.n_services; s++)
		total += bound_of_service(w, availability, s, from_ns,
					  from_ns + ns, candidates);
	free(candidates);
	return total;
}
