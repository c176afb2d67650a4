/* One run of an experiment. */
#include "experiment.h"

#include "world_state.h"

#include <errno.h>

#define WORST_WINDOWS 2

static void on_incident(struct world *w, const struct event *e)
{
	const struct experiment *experiment =
		(const struct experiment *)e->arg0;
	const struct incident *t = &experiment->incidents[e->arg1];

	incident_kinds[t->kind].begin(w, t);
}

static double ratio(double part, double total)
{
	return total > 0 ? part / total : 0;
}

static void fill_outcome(const struct world *w, const struct windows *v,
			 struct outcome *out)
{
	const struct window *t = &v->total;
	struct world_report r;
	double n = (double)t->requests;

	world_report(w, &r);
	*out = (struct outcome){
		.earned = ratio(t->earned, t->offered),
		.worst = windows_worst_share(v, WORST_WINDOWS, false),
		.on_time = ratio((double)t->on_time, n),
		.served = ratio((double)(t->on_time + t->late), n),
		.bound = ratio(t->bound, t->offered),
		.bound_worst = windows_worst_share(v, WORST_WINDOWS, true),
		.queue_full = ratio((double)r.queue_full, n),
		.cross_dc_bytes = ratio((double)r.cross_dc_bytes, n),
		.probes = ratio((double)r.probes, n),
		.imbalance = r.imbalance,
		.rules = world_broken_rules(&r),
	};
	for (uint32_t k = 0; k < CAUSES; k++)
		out->lost[k] = ratio(t->lost[k], t->offered);
}

/**
 * experiment_run() - emulate one run of an experiment
 * @experiment: description
 * @variant: index of the policy
 * @seed: of the random numbers
 * @out: receives the results
 * @windows: receives the windows; free them with windows_free()
 *
 * Return: 0, or -ENOMEM.
 */
int experiment_run(const struct experiment *experiment, uint32_t variant,
		   uint64_t seed, struct outcome *out, struct windows *windows)
{
	struct world_conf conf = {
		.seed = seed,
		.site = experiment->site,
		.policy = &experiment->variants[variant].policy
	};
	struct world *w = world_new(&conf);
	int err;

	if (!w)
		return -ENOMEM;
	world_run(w, experiment->warm_up_ns);
	world_reset_report(w);
	for (uint32_t i = 0; i < experiment->n_incidents; i++)
		world_schedule(w, experiment->incidents[i].at_ns, on_incident,
			       (uint64_t)experiment, i, 0);
	world_run(w, experiment->run_ns);
	err = windows_compute(w, windows);
	if (!err)
		fill_outcome(w, windows, out);
	world_free(w);
	return err;
}
