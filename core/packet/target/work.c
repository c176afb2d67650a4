#include "work.h"

#include <math.h>

#define PERCENT 100.0f
/*
 * Answers that the means go over: soon enough for a release of another version,
 * enough for answers that differ by chance.
 */
#define ANSWERS 32

static void add(struct mean_time *m, uint64_t took_ns)
{
	if (m->n < ANSWERS)
		m->n++;
	m->mean_ns += took_ns / m->n - m->mean_ns / m->n;
}

/**
 * work_measured() - an answer came that had not waited at its target
 * @w: its service
 * @kind: enum route_kind of its request
 * @took_ns: time that the target took, without the packets' ways
 */
void work_measured(struct service_work *w, uint8_t kind, uint64_t took_ns)
{
	add(&w->kinds[kind], took_ns);
	add(&w->all, took_ns);
}

/**
 * work_in_time() - whether a request can be answered in time if it goes now
 * @w: its service
 * @kind: enum route_kind
 * @left_ns: what is left of its target latency
 *
 * Return: whether; true while nothing is known.
 */
bool work_in_time(const struct service_work *w, uint8_t kind, int64_t left_ns)
{
	return left_ns >= (int64_t)w->kinds[kind].mean_ns;
}

/**
 * work_limit() - up to how many requests may be at a target before another
 * @w: its service
 * @policy: figures to go by
 * @q: the other
 *
 * A target answers as many requests as it has slots in the mean time of one,
 * whoever is next. The target latency, less the request's own time, is what it
 * may wait for that: with each mean time that fits in, as many others may be
 * there as there are slots, beside those that fill the slots. The ways of the
 * packets drop out: they take from the target latency what they add to the time
 * for which a request counts as being there.
 *
 * Return: limit, at least the slots.
 */
float work_limit(const struct service_work *w, const struct policy *policy,
		 const struct work_query *q)
{
	const struct mean_time *own = &w->kinds[q->kind];
	int64_t guess_ns = q->aim_ns * policy->guess_percent / (int64_t)PERCENT;
	int64_t own_ns = own->n ? (int64_t)own->mean_ns : guess_ns;
	int64_t all_ns = w->all.n ? (int64_t)w->all.mean_ns : guess_ns;
	bool late = !work_in_time(w, q->kind, q->left_ns);
	float percent = (float)policy->limit_percent;
	int64_t spare_ns = (late ? q->aim_ns : q->left_ns) - own_ns;

	if (!own->n && !policy->guess_percent)
		return INFINITY;
	if (spare_ns <= 0)
		return q->slots;
	if (late)
		percent *= (float)policy->late_percent / PERCENT;
	return q->slots *
	       (1 + (float)spare_ns / (float)all_ns * percent / PERCENT);
}
