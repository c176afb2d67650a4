/* The balancer under test: a real struct balancer an entry. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>

#define WORK_MIN 1024
#define WORK_A_SLOT 4
#define QUEUE_MAX 200
#define VIP ADDR(0x7f010001, 5683)
#define TARGET(i) ADDR(0x7f020001 + (i), 5683)
#define TARGET_INDEX(a) (ADDR_IP(a) - 0x7f020001)

struct handles {
	uint32_t *job;
	uint32_t *free;
	uint32_t n_free;
};

struct ours {
	struct world *w;
	struct balancer **b;
	struct handles *handles;
	uint32_t n_entries;
	struct target_conf *targets;
	struct service_conf service;
	struct account_conf account;
	struct config config;
};

static void configure(struct ours *o)
{
	o->service.n_targets = world_targets(o->w);
	for (uint32_t i = 0; i < o->n_entries; i++)
		balance_set_config(o->b[i], &o->config, world_now_ns(o->w));
}

static void *ours_open(struct world *w)
{
	const struct scene *s = world_scene(w);
	struct ours *o = calloc(1, sizeof(*o));
	uint32_t work_max;

	o->w = w;
	o->n_entries = s->n_entries;
	o->b = calloc(s->n_entries, sizeof(*o->b));
	o->handles = calloc(s->n_entries, sizeof(*o->handles));
	o->targets = calloc(s->n_targets, sizeof(*o->targets));
	for (uint32_t i = 0; i < s->n_targets; i++)
		o->targets[i] = (struct target_conf){ .addr = TARGET(i),
						      .state = TARGET_UP,
						      .weight = 100,
						      .slots = s->slots,
						      .connections = 2000 };
	o->service.vip = VIP;
	o->service.class = CLASS_REPORT;
	o->service.queue_max = QUEUE_MAX;
	o->service.targets = o->targets;
	snprintf(o->account.name, sizeof(o->account.name), "one");
	o->account.weight = 1;
	o->account.services = &o->service;
	o->account.n_services = 1;
	o->config.accounts = &o->account;
	o->config.n_accounts = 1;
	work_max = WORK_A_SLOT * s->n_targets * s->slots / s->n_entries;
	if (work_max < WORK_MIN)
		work_max = WORK_MIN;
	for (uint32_t i = 0; i < s->n_entries; i++) {
		struct handles *h = &o->handles[i];

		o->b[i] = balance_new(work_max, (struct rng){ i + 1 });
		balance_set_entries(o->b[i], s->n_entries, i);
		h->job = calloc(work_max, sizeof(*h->job));
		h->free = calloc(work_max, sizeof(*h->free));
		for (h->n_free = 0; h->n_free < work_max; h->n_free++)
			h->free[h->n_free] = h->n_free;
	}
	configure(o);
	return o;
}

static void ours_close(void *ctx)
{
	struct ours *o = ctx;

	for (uint32_t i = 0; i < o->n_entries; i++) {
		balance_free(o->b[i]);
		free(o->handles[i].job);
		free(o->handles[i].free);
	}
	free(o->b);
	free(o->handles);
	free(o->targets);
	free(o);
}

static void release(struct ours *o, uint32_t job)
{
	struct job *j = world_job(o->w, job);
	struct handles *h = &o->handles[j->entry];

	h->free[h->n_free++] = j->handle;
}

static void rule(struct ours *o, uint32_t job, const struct decision *r)
{
	if (r->verdict == VERDICT_ADMITTED) {
		world_send(o->w, job, TARGET_INDEX(r->target));
	} else if (r->verdict == VERDICT_REFUSED) {
		release(o, job);
		world_refuse(o->w, job, r->retry_after_s);
	}
}

static void poll(struct ours *o, uint32_t entry)
{
	struct decision r;
	uint32_t handle;

	while (balance_next(o->b[entry], world_now_ns(o->w), &handle, &r))
		rule(o, o->handles[entry].job[handle], &r);
}

static void submit(struct ours *o, uint32_t job)
{
	struct job *j = world_job(o->w, job);
	struct work w = { .handle = j->handle,
			  .vip = VIP,
			  .class = CLASS_REPORT,
			  .hash = j->caller,
			  .deadline_ns = j->deadline_ns };
	struct decision r;

	if (j->avoid != NONE)
		w.avoid = TARGET(j->avoid);
	o->handles[j->entry].job[j->handle] = job;
	r = balance_submit(o->b[j->entry], &w, world_now_ns(o->w));
	rule(o, job, &r);
}

static void ours_submit(void *ctx, uint32_t job)
{
	struct ours *o = ctx;
	struct job *j = world_job(o->w, job);
	struct handles *h = &o->handles[j->entry];

	if (!h->n_free) {
		world_refuse(o->w, job, 1);
		return;
	}
	j->handle = h->free[--h->n_free];
	submit(o, job);
}

static void ours_done(void *ctx, uint32_t job, enum outcome outcome)
{
	struct ours *o = ctx;
	struct job *j = world_job(o->w, job);
	uint64_t now_ns = world_now_ns(o->w);
	struct balancer *b = o->b[j->entry];

	balance_record_end(b, VIP, TARGET(j->target), outcome,
			   now_ns - j->sent_ns, now_ns);
	if (outcome != OUTCOME_SHED) {
		release(o, job);
	} else if (balance_take_retry(b, VIP, now_ns)) {
		j->avoid = j->target;
		j->shed = false;
		submit(o, job);
	} else {
		release(o, job);
		world_refuse(o->w, job, 1);
	}
	poll(o, j->entry);
}

static void ours_report(void *ctx, uint32_t entry, uint32_t target,
			const struct load_report *r)
{
	struct ours *o = ctx;

	balance_record_load(o->b[entry], TARGET(target), r, world_now_ns(o->w));
}

/* An entry asks only the targets that it may use. */
static bool ours_polls(void *ctx, uint32_t entry, uint32_t target)
{
	struct ours *o = ctx;
	struct target_stats t;
	uint32_t cursor = target;

	return balance_next_target_stats(o->b[entry], &cursor, &t) &&
	       t.own + t.extra;
}

static void ours_tick(void *ctx, uint32_t entry)
{
	poll(ctx, entry);
}

static void ours_join(void *ctx)
{
	configure(ctx);
}

const struct policy policy_ours = {
	.name = "ours",
	.open = ours_open,
	.close = ours_close,
	.submit = ours_submit,
	.done = ours_done,
	.report = ours_report,
	.polls = ours_polls,
	.tick = ours_tick,
	.join = ours_join,
};
