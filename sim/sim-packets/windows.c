#include "windows.h"

#include "bound.h"

#include <errno.h>
#include <stdlib.h>

/* Return: index of the window; UINT32_MAX before the first. */
static uint32_t window_at(const struct world *w, uint64_t arrival_ns)
{
	return arrival_ns < w->start_ns
		       ? UINT32_MAX
		       : (uint32_t)((arrival_ns - w->start_ns) / WINDOW_NS);
}

/* The last, incomplete window is left out: its requests may not have ended. */
static uint32_t count_windows(const struct world *w)
{
	return (uint32_t)((w->now_ns - w->start_ns) / WINDOW_NS);
}

static void add_request(struct window *v, const struct site_class *c,
			const struct world_request *r)
{
	double earned = c->value;

	v->requests++;
	v->offered += c->value;
	if (!r->latency_ns) {
		v->failed++;
		earned = 0;
	} else if (r->latency_ns > c->objective_ns) {
		v->late++;
		earned = c->late_value;
	} else {
		v->on_time++;
	}
	v->earned += earned;
	v->lost[r->cause] += c->value - earned;
}

static void sum_windows(struct windows *v)
{
	for (uint32_t i = 0; i < v->n; i++) {
		const struct window *o = &v->all[i];

		v->total.requests += o->requests;
		v->total.on_time += o->on_time;
		v->total.late += o->late;
		v->total.failed += o->failed;
		v->total.offered += o->offered;
		v->total.earned += o->earned;
		v->total.bound += o->bound;
		for (uint32_t k = 0; k < CAUSES; k++)
			v->total.lost[k] += o->lost[k];
	}
}

/**
 * windows_compute() - sum up a run by windows
 * @w: emulator, after its run
 * @out: receives the windows; free them with windows_free()
 *
 * Return: 0, or -ENOMEM.
 */
int windows_compute(const struct world *w, struct windows *out)
{
	struct bound_availability availability;

	*out = (struct windows){ .n = count_windows(w) };
	out->all = calloc(out->n + 1, sizeof(*out->all));
	if (!out->all || bound_availability(w, &availability)) {
		windows_free(out);
		return -ENOMEM;
	}
	for (uint32_t i = 0; i < out->n; i++)
		out->all[i].from_ns = i * WINDOW_NS;
	for (uint32_t i = 0; i < w->n_requests; i++) {
		const struct world_request *r = &w->requests[i];
		uint32_t at = window_at(w, r->arrival_ns);

		if (at < out->n)
			add_request(&out->all[at], &w->classes[r->class], r);
	}
	for (uint32_t i = 0; i < out->n; i++)
		out->all[i].bound =
			bound_earned_value(w, &availability,
					   w->start_ns + out->all[i].from_ns,
					   WINDOW_NS);
	free(availability.spans);
	sum_windows(out);
	return 0;
}

void windows_free(struct windows *v)
{
	free(v->all);
	v->all = NULL;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/**
 * windows_worst_share() - mean earned share of the worst windows
 * @v: windows of a run
 * @n: number of windows to average
 * @bound: use the upper bound instead of the earned value
 *
 * Return: mean of earned over offered value; 1 without windows, 0 without
 * memory.
 */
double windows_worst_share(const struct windows *v, uint32_t n, bool bound)
{
	double *parts = calloc(v->n + 1, sizeof(*parts));
	double all = 0;
	uint32_t used = 0;

	if (!parts)
		return 0;
	for (uint32_t i = 0; i < v->n; i++)
		if (v->all[i].offered > 0)
			parts[used++] =
				(bound ? v->all[i].bound : v->all[i].earned) /
				v->all[i].offered;
	qsort(parts, used, sizeof(*parts), compare);
	if (n > used)
		n = used;
	for (uint32_t i = 0; i < n; i++)
		all += parts[i];
	free(parts);
	return n ? all / n : 1;
}
