/* One run of an experiment. */
#include "experiment.h"

#include "world_state.h"

#include <errno.h>

#define WORST_WINDOWS 2

static void on_trouble(struct world *w, const struct event *e)
{
	const struct experiment *x = (const struct experiment *)e->a;
	const struct trouble *t = &x->troubles[e->b];

	trouble_kinds[t->kind].begin(w, t);
}

static double part(double of, double all)
{
	return all > 0 ? of / all : 0;
}

static void judge(const struct world *w, const struct windows *v,
		  struct outcome *out)
{
	const struct window *t = &v->total;
	struct world_report r;
	double n = (double)t->requests;

	world_report(w, &r);
	*out = (struct outcome){
		.earned = part(t->earned, t->owed),
		.worst = windows_worst(v, WORST_WINDOWS, false),
		.in_aim = part((double)t->in_aim, n),
		.served = part((double)(t->in_aim + t->late), n),
		.bound = part(t->bound, t->owed),
		.bound_worst = windows_worst(v, WORST_WINDOWS, true),
		.swamped = part((double)r.swamped, n),
		.far = part((double)r.far_bytes, n),
		.probes = part((double)r.probes, n),
		.imbalance = r.imbalance,
		.rules = world_broken_rules(&r),
	};
	for (uint32_t k = 0; k < CAUSES; k++)
		out->lost[k] = part(t->lost[k], t->owed);
}

/**
 * experiment_play() - one run
 * @x: experiment
 * @variant: number of its policy
 * @seed: of all chance
 * @out: filled
 * @windows: filled; windows_free() frees them
 *
 * Return: 0 or -ENOMEM.
 */
int experiment_play(const struct experiment *x, uint32_t variant, uint64_t seed,
		    struct outcome *out, struct windows *windows)
{
	struct world_conf conf = { .seed = seed,
				   .site = x->site,
				   .policy = &x->variants[variant].policy };
	struct world *w = world_new(&conf);
	int err;

	if (!w)
		return -ENOMEM;
	world_run(w, x->warm_up_ns);
	world_forget(w);
	for (uint32_t i = 0; i < x->n_troubles; i++)
		world_at(w, x->troubles[i].at_ns, on_trouble, (uint64_t)x, i,
			 0);
	world_run(w, x->run_ns);
	err = windows_of(w, windows);
	if (!err)
		judge(w, windows, out);
	world_free(w);
	return err;
}
