/* Times of all requests: Poisson arrivals, and a load spike. */
#include "load.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

/* Devices' clocks agree to within this time, so a load spike spreads over it. */
#define WAKE_SPREAD_NS (250 * NS_PER_MS)
/* Feeds are opened evenly over this time, not in one burst. */
#define FEED_SPREAD_NS NS_PER_S

static bool is_served(const struct options *options, uint8_t kind)
{
	return kind == CALL_READINGS ? options->ingest != ADDR_NONE
				     : options->live != ADDR_NONE;
}

static void add_arrival(GArray *plan, const struct options *options,
			uint8_t kind, uint64_t at_ns)
{
	struct arrival arrival = { .at_ns = at_ns, .kind = kind };

	if (is_served(options, kind))
		g_array_append_val(plan, arrival);
}

static uint8_t choose_kind(const struct options *options, gsl_rng *rng)
{
	double sum = options->mix[CALL_FORECAST] + options->mix[CALL_REPORT] +
		     options->mix[CALL_READINGS];
	double x = gsl_rng_uniform(rng) * sum;

	if (x < options->mix[CALL_FORECAST])
		return CALL_FORECAST;
	if (x < options->mix[CALL_FORECAST] + options->mix[CALL_REPORT])
		return CALL_REPORT;
	return CALL_READINGS;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct arrival *x = a;
	const struct arrival *y = b;

	return x->at_ns < y->at_ns ? -1 : x->at_ns > y->at_ns;
}

/**
 * plan_arrivals() - draw every arrival of a run
 * @options: options of the command line; equal seeds give equal plans
 *
 * Return: struct arrival, sorted by time; owned by the caller.
 */
GArray *plan_arrivals(const struct options *options)
{
	GArray *plan = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	double end_s = options->seconds;
	uint32_t n_woken = 0;

	gsl_rng_set(rng, options->seed);
	for (uint32_t i = 0; i < options->feeds; i++)
		add_arrival(plan, options, CALL_FEED,
			    FEED_SPREAD_NS / options->feeds * i);
	for (double t = 0; options->rate > 0;) {
		t += gsl_ran_exponential(rng, 1 / options->rate);
		if (t >= end_s)
			break;
		add_arrival(plan, options, choose_kind(options, rng),
			    (uint64_t)(t * NS_PER_S));
	}
	if (options->wake_at_s >= 0)
		n_woken = (uint32_t)(options->rate * options->wake_factor);
	for (uint32_t i = 0; i < n_woken; i++)
		add_arrival(plan, options, choose_kind(options, rng),
			    (uint64_t)options->wake_at_s * NS_PER_S +
				    gsl_rng_uniform_int(rng, WAKE_SPREAD_NS));
	gsl_rng_free(rng);
	g_array_sort(plan, compare_times);
	return plan;
}
