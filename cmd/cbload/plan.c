/* When each request is sent: Poisson arrivals, and the wake on the hour. */
#include "load.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

/* Devices' clocks agree to this much, so they wake within it. */
#define WAKE_SPREAD_NS (250 * NS_PER_MS)
/* Feeds are opened over the first second, not in one burst. */
#define FEED_SPREAD_NS NS_PER_S

static bool served(const struct options *o, uint8_t kind)
{
	return kind == CALL_READINGS ? o->ingest != ADDR_NONE
				     : o->live != ADDR_NONE;
}

static void add(GArray *plan, const struct options *o, uint8_t kind,
		uint64_t at_ns)
{
	struct planned p = { .at_ns = at_ns, .kind = kind };

	if (served(o, kind))
		g_array_append_val(plan, p);
}

static uint8_t choose_kind(const struct options *o, gsl_rng *r)
{
	double sum = o->mix[CALL_FORECAST] + o->mix[CALL_REPORT] +
		     o->mix[CALL_READINGS];
	double x = gsl_rng_uniform(r) * sum;

	if (x < o->mix[CALL_FORECAST])
		return CALL_FORECAST;
	if (x < o->mix[CALL_FORECAST] + o->mix[CALL_REPORT])
		return CALL_REPORT;
	return CALL_READINGS;
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct planned *x = a;
	const struct planned *y = b;

	return x->at_ns < y->at_ns ? -1 : x->at_ns > y->at_ns;
}

/**
 * plan_make() - draw every arrival of a run
 * @o: command line; its seed makes the plan repeat
 *
 * Return: struct planned, sorted by time from the run's begin.
 */
GArray *plan_make(const struct options *o)
{
	GArray *plan = g_array_new(FALSE, FALSE, sizeof(struct planned));
	gsl_rng *r = gsl_rng_alloc(gsl_rng_mt19937);
	double end_s = o->seconds;
	uint32_t woken = 0;

	gsl_rng_set(r, o->seed);
	for (uint32_t i = 0; i < o->feeds; i++)
		add(plan, o, CALL_FEED, FEED_SPREAD_NS / o->feeds * i);
	for (double t = 0; o->rate > 0;) {
		t += gsl_ran_exponential(r, 1 / o->rate);
		if (t >= end_s)
			break;
		add(plan, o, choose_kind(o, r), (uint64_t)(t * NS_PER_S));
	}
	if (o->wake_at_s >= 0)
		woken = (uint32_t)(o->rate * o->wake_factor);
	for (uint32_t i = 0; i < woken; i++)
		add(plan, o, choose_kind(o, r),
		    (uint64_t)o->wake_at_s * NS_PER_S +
			    gsl_rng_uniform_int(r, WAKE_SPREAD_NS));
	gsl_rng_free(r);
	g_array_sort(plan, by_time);
	return plan;
}
