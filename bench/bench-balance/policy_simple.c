/*
 * Baselines: select a target at once; requests queue and are shed at the
 * target.
 */
#include "model.h"

#include <stdlib.h>

/* Delay that a refusal tells every caller, whatever the load. */
#define RETRY_AFTER_S 2

struct simple {
	struct model *model;
	struct rng rng;
	uint32_t *next_target;
	uint32_t *inflight;
	uint32_t n_targets_max;
};

static void *simple_open(struct model *model)
{
	const struct scenario *s = model_scenario(model);
	struct simple *p = calloc(1, sizeof(*p));

	p->model = model;
	p->rng.state = 7;
	p->n_targets_max = s->n_targets;
	p->next_target = calloc(s->n_entries, sizeof(*p->next_target));
	p->inflight = calloc((size_t)s->n_entries * s->n_targets,
			     sizeof(*p->inflight));
	for (uint32_t i = 0; i < s->n_entries; i++)
		p->next_target[i] =
			(uint32_t)(rng_next(&p->rng) % s->n_targets);
	return p;
}

static void simple_close(void *ctx)
{
	struct simple *p = ctx;

	free(p->next_target);
	free(p->inflight);
	free(p);
}

static uint32_t *inflight(struct simple *p, uint32_t entry, uint32_t target)
{
	return &p->inflight[(size_t)entry * p->n_targets_max + target];
}

static void send_to_target(struct simple *p, uint32_t job, uint32_t target)
{
	(*inflight(p, model_job(p->model, job)->entry, target))++;
	model_send(p->model, job, target);
}

static void round_submit(void *ctx, uint32_t job)
{
	struct simple *p = ctx;
	uint32_t entry = model_job(p->model, job)->entry;

	send_to_target(p, job,
		       p->next_target[entry]++ % model_targets(p->model));
}

static void hash_submit(void *ctx, uint32_t job)
{
	struct simple *p = ctx;

	send_to_target(p, job,
		       hash_u64(model_job(p->model, job)->caller, 1) %
			       model_targets(p->model));
}

static void least_submit(void *ctx, uint32_t job)
{
	struct simple *p = ctx;
	uint32_t entry = model_job(p->model, job)->entry;
	uint32_t n = model_targets(p->model);
	uint32_t start = (uint32_t)(rng_next(&p->rng) % n);
	uint32_t best = start;

	for (uint32_t i = 1; i < n; i++) {
		uint32_t t = (start + i) % n;

		if (*inflight(p, entry, t) < *inflight(p, entry, best))
			best = t;
	}
	send_to_target(p, job, best);
}

static void two_submit(void *ctx, uint32_t job)
{
	struct simple *p = ctx;
	uint32_t entry = model_job(p->model, job)->entry;
	uint32_t n = model_targets(p->model);
	uint32_t a = (uint32_t)(rng_next(&p->rng) % n);
	uint32_t b = (uint32_t)(rng_next(&p->rng) % n);

	send_to_target(p, job,
		       *inflight(p, entry, a) <= *inflight(p, entry, b) ? a
									: b);
}

static void simple_done(void *ctx, uint32_t job, enum outcome outcome)
{
	struct simple *p = ctx;
	struct job *j = model_job(p->model, job);

	(*inflight(p, j->entry, j->target))--;
	if (outcome == OUTCOME_SHED)
		model_refuse(p->model, job, RETRY_AFTER_S);
}

static void simple_tick(void *ctx, uint32_t entry)
{
	(void)ctx;
	(void)entry;
}

static void simple_join(void *ctx)
{
	(void)ctx;
}

#define SIMPLE(id, submit_fn)               \
	const struct policy policy_##id = { \
		.name = #id,                \
		.open = simple_open,        \
		.close = simple_close,      \
		.submit = submit_fn,        \
		.done = simple_done,        \
		.tick = simple_tick,        \
		.join = simple_join,        \
	}

SIMPLE(round, round_submit);
SIMPLE(hash, hash_submit);
SIMPLE(least, least_submit);
SIMPLE(two, two_submit);
