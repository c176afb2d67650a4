/* Baselines: choose a target at once, wait and shed there. */
#include "world.h"

#include <stdlib.h>

/* What a plain refusal says to every caller alike. */
#define RETRY_AFTER_S 2

struct simple {
	struct world *w;
	struct rng rng;
	uint32_t *turn;
	uint32_t *inflight;
	uint32_t n_targets_max;
};

static void *simple_open(struct world *w)
{
	const struct scene *s = world_scene(w);
	struct simple *p = calloc(1, sizeof(*p));

	p->w = w;
	p->rng.state = 7;
	p->n_targets_max = s->n_targets;
	p->turn = calloc(s->n_entries, sizeof(*p->turn));
	p->inflight = calloc((size_t)s->n_entries * s->n_targets,
			     sizeof(*p->inflight));
	for (uint32_t i = 0; i < s->n_entries; i++)
		p->turn[i] = (uint32_t)(rng_next(&p->rng) % s->n_targets);
	return p;
}

static void simple_close(void *ctx)
{
	struct simple *p = ctx;

	free(p->turn);
	free(p->inflight);
	free(p);
}

static uint32_t *inflight(struct simple *p, uint32_t entry, uint32_t target)
{
	return &p->inflight[(size_t)entry * p->n_targets_max + target];
}

static void send(struct simple *p, uint32_t job, uint32_t target)
{
	(*inflight(p, world_job(p->w, job)->entry, target))++;
	world_send(p->w, job, target);
}

static void round_submit(void *ctx, uint32_t job)
{
	struct simple *p = ctx;
	uint32_t entry = world_job(p->w, job)->entry;

	send(p, job, p->turn[entry]++ % world_targets(p->w));
}

static void hash_submit(void *ctx, uint32_t job)
{
	struct simple *p = ctx;

	send(p, job,
	     hash_u64(world_job(p->w, job)->caller, 1) % world_targets(p->w));
}

static void least_submit(void *ctx, uint32_t job)
{
	struct simple *p = ctx;
	uint32_t entry = world_job(p->w, job)->entry;
	uint32_t n = world_targets(p->w);
	uint32_t start = (uint32_t)(rng_next(&p->rng) % n);
	uint32_t best = start;

	for (uint32_t i = 1; i < n; i++) {
		uint32_t t = (start + i) % n;

		if (*inflight(p, entry, t) < *inflight(p, entry, best))
			best = t;
	}
	send(p, job, best);
}

static void two_submit(void *ctx, uint32_t job)
{
	struct simple *p = ctx;
	uint32_t entry = world_job(p->w, job)->entry;
	uint32_t n = world_targets(p->w);
	uint32_t a = (uint32_t)(rng_next(&p->rng) % n);
	uint32_t b = (uint32_t)(rng_next(&p->rng) % n);

	send(p, job, *inflight(p, entry, a) <= *inflight(p, entry, b) ? a : b);
}

static void simple_done(void *ctx, uint32_t job, enum outcome outcome)
{
	struct simple *p = ctx;
	struct job *j = world_job(p->w, job);

	(*inflight(p, j->entry, j->target))--;
	if (outcome == OUTCOME_SHED)
		world_refuse(p->w, job, RETRY_AFTER_S);
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
