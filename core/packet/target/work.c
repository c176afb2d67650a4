#include "work.h"

#include <math.h>

#define PERCENT 100.0f
/*
 * Samples in the moving averages: few enough to follow a release of another
 * version, enough to level out random differences.
 */
#define SAMPLES_MAX 32

static void add_sample(struct mean_time *m, uint64_t sample_ns)
{
	if (m->n < SAMPLES_MAX)
		m->n++;
	m->mean_ns += sample_ns / m->n - m->mean_ns / m->n;
}

/**
 * work_record() - record the service time of a request that was not queued at
 *	its target
 * @w: service times of its service
 * @kind: enum route_kind
 * @service_ns: time that the target took, without the packets' transit times
 */
void work_record(struct service_work *w, uint8_t kind, uint64_t service_ns)
{
	add_sample(&w->by_kind[kind], service_ns);
	add_sample(&w->all, service_ns);
}

/**
 * work_meets_objective() - whether a request sent now meets its latency
 *	objective
 * @w: service times of its service
 * @kind: enum route_kind
 * @remaining_ns: rest of its latency objective
 *
 * Return: true when the mean service time fits in the rest; before the first
 * answer that is taken as 0.
 */
bool work_meets_objective(const struct service_work *w, uint8_t kind,
			  int64_t remaining_ns)
{
	return remaining_ns >= (int64_t)w->by_kind[kind].mean_ns;
}

/**
 * work_request_limit() - number of requests at a target below which another may
 *	be sent there
 * @w: service times of the service
 * @policy: limits and switches
 * @q: the other request
 *
 * In the mean service time of all kinds a target serves as many requests as it
 * has slots. The request may wait for as long as its latency objective allows
 * beyond its own service time. So beside the requests that fill the slots,
 * another set of as many may be there for each mean service time in that wait.
 * Transit times of packets cancel out: they shorten the time left of the
 * objective and lengthen the time for which a request counts as running by the
 * same amount.
 *
 * Return: limit, at least the slots; INFINITY before the first answer when
 * policy's guess_percent is 0.
 */
float work_request_limit(const struct service_work *w,
			 const struct policy *policy,
			 const struct work_query *q)
{
	const struct mean_time *own = &w->by_kind[q->kind];
	int64_t guess_ns =
		q->objective_ns * policy->guess_percent / (int64_t)PERCENT;
	int64_t own_ns = own->n ? (int64_t)own->mean_ns : guess_ns;
	int64_t all_ns = w->all.n ? (int64_t)w->all.mean_ns : guess_ns;
	bool is_late = !work_meets_objective(w, q->kind, q->remaining_ns);
	float percent = (float)policy->limit_percent;
	int64_t spare_ns = (is_late ? q->objective_ns : q->remaining_ns) -
			   (int64_t)((double)own_ns * q->slowness);

	if (!own->n && !policy->guess_percent)
		return INFINITY;
	if (spare_ns <= 0)
		return q->slots;
	if (is_late)
		percent *= (float)policy->late_percent / PERCENT;
	return q->slots *
	       (1 + (float)spare_ns / (float)((double)all_ns * q->slowness) *
			    percent / PERCENT);
}
