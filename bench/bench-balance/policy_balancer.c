/* The policy under test: each entry has the real struct balancer. */
#include "model.h"

#include <stdio.h>
#include <stdlib.h>

#define WORK_MIN 1024
#define WORK_PER_SLOT 4
#define QUEUE_MAX 200
#define VIP ADDR(0x7f010001, 5683)
#define TARGET(i) ADDR(0x7f020001 + (i), 5683)
#define TARGET_INDEX(a) (ADDR_IP(a) - 0x7f020001)

struct handles {
	uint32_t *job;
	uint32_t *free;
	uint32_t n_free;
};

struct balancer_policy {
	struct model *model;
	struct balancer **balancers;
	struct handles *handles;
	uint32_t n_entries;
	struct target_conf *targets;
	struct service_conf service;
	struct account_conf account;
	struct config config;
};

static void set_config(struct balancer_policy *p)
{
	p->service.n_targets = model_targets(p->model);
	for (uint32_t i = 0; i < p->n_entries; i++)
		balance_set_config(p->balancers[i], &p->config,
				   model_now_ns(p->model));
}

static void *balancer_open(struct model *model)
{
	const struct scenario *s = model_scenario(model);
	struct balancer_policy *p = calloc(1, sizeof(*p));
	uint32_t work_max;

	p->model = model;
	p->n_entries = s->n_entries;
	p->balancers = calloc(s->n_entries, sizeof(*p->balancers));
	p->handles = calloc(s->n_entries, sizeof(*p->handles));
	p->targets = calloc(s->n_targets, sizeof(*p->targets));
	for (uint32_t i = 0; i < s->n_targets; i++)
		p->targets[i] = (struct target_conf){ .addr = TARGET(i),
						      .state = TARGET_UP,
						      .weight = 100,
						      .slots = s->slots,
						      .connections = 2000 };
	p->service.vip = VIP;
	p->service.class = CLASS_REPORT;
	p->service.queue_max = QUEUE_MAX;
	p->service.targets = p->targets;
	snprintf(p->account.name, sizeof(p->account.name), "one");
	p->account.weight = 1;
	p->account.services = &p->service;
	p->account.n_services = 1;
	p->config.accounts = &p->account;
	p->config.n_accounts = 1;
	work_max = WORK_PER_SLOT * s->n_targets * s->slots / s->n_entries;
	if (work_max < WORK_MIN)
		work_max = WORK_MIN;
	for (uint32_t i = 0; i < s->n_entries; i++) {
		struct handles *h = &p->handles[i];

		p->balancers[i] = balance_new(work_max, (struct rng){ i + 1 });
		balance_set_entries(p->balancers[i], s->n_entries, i);
		h->job = calloc(work_max, sizeof(*h->job));
		h->free = calloc(work_max, sizeof(*h->free));
		for (h->n_free = 0; h->n_free < work_max; h->n_free++)
			h->free[h->n_free] = h->n_free;
	}
	set_config(p);
	return p;
}

static void balancer_close(void *ctx)
{
	struct balancer_policy *p = ctx;

	for (uint32_t i = 0; i < p->n_entries; i++) {
		balance_free(p->balancers[i]);
		free(p->handles[i].job);
		free(p->handles[i].free);
	}
	free(p->balancers);
	free(p->handles);
	free(p->targets);
	free(p);
}

static void free_handle(struct balancer_policy *p, uint32_t job)
{
	struct job *j = model_job(p->model, job);
	struct handles *h = &p->handles[j->entry];

	h->free[h->n_free++] = j->handle;
}

static void apply_decision(struct balancer_policy *p, uint32_t job,
			   const struct decision *decision)
{
	if (decision->verdict == VERDICT_ADMITTED) {
		model_send(p->model, job, TARGET_INDEX(decision->target));
	} else if (decision->verdict == VERDICT_REFUSED) {
		free_handle(p, job);
		model_refuse(p->model, job, decision->retry_after_s);
	}
}

static void decide_queued(struct balancer_policy *p, uint32_t entry)
{
	struct decision decision;
	uint32_t handle;

	while (balance_next(p->balancers[entry], model_now_ns(p->model),
			    &handle, &decision))
		apply_decision(p, p->handles[entry].job[handle], &decision);
}

static void submit(struct balancer_policy *p, uint32_t job)
{
	struct job *j = model_job(p->model, job);
	struct work work = { .handle = j->handle,
			     .vip = VIP,
			     .class = CLASS_REPORT,
			     .hash = j->caller,
			     .deadline_ns = j->deadline_ns };
	struct decision decision;

	if (j->avoid != NONE)
		work.avoid = TARGET(j->avoid);
	p->handles[j->entry].job[j->handle] = job;
	decision = balance_submit(p->balancers[j->entry], &work,
				  model_now_ns(p->model));
	apply_decision(p, job, &decision);
}

static void balancer_submit(void *ctx, uint32_t job)
{
	struct balancer_policy *p = ctx;
	struct job *j = model_job(p->model, job);
	struct handles *h = &p->handles[j->entry];

	if (!h->n_free) {
		model_refuse(p->model, job, 1);
		return;
	}
	j->handle = h->free[--h->n_free];
	submit(p, job);
}

static void balancer_done(void *ctx, uint32_t job, enum outcome outcome)
{
	struct balancer_policy *p = ctx;
	struct job *j = model_job(p->model, job);
	uint64_t now_ns = model_now_ns(p->model);
	struct balancer *balancer = p->balancers[j->entry];

	balance_record_end(balancer, VIP, TARGET(j->target), outcome,
			   now_ns - j->sent_ns, now_ns);
	if (outcome != OUTCOME_SHED) {
		free_handle(p, job);
	} else if (balance_take_retry(balancer, VIP, now_ns)) {
		j->avoid = j->target;
		j->is_shed = false;
		submit(p, job);
	} else {
		free_handle(p, job);
		model_refuse(p->model, job, 1);
	}
	decide_queued(p, j->entry);
}

static void balancer_report(void *ctx, uint32_t entry, uint32_t target,
			    const struct load_report *report)
{
	struct balancer_policy *p = ctx;

	balance_record_load(p->balancers[entry], TARGET(target), report,
			    model_now_ns(p->model));
}

/* An entry polls only the targets that it has a share of. */
static bool balancer_polls(void *ctx, uint32_t entry, uint32_t target)
{
	struct balancer_policy *p = ctx;
	struct target_stats t;
	uint32_t cursor = target;

	return balance_next_target_stats(p->balancers[entry], &cursor, &t) &&
	       t.own + t.extra;
}

static void balancer_tick(void *ctx, uint32_t entry)
{
	decide_queued(ctx, entry);
}

static void balancer_join(void *ctx)
{
	set_config(ctx);
}

const struct policy policy_balancer = {
	.name = "ours",
	.open = balancer_open,
	.close = balancer_close,
	.submit = balancer_submit,
	.done = balancer_done,
	.report = balancer_report,
	.polls = balancer_polls,
	.tick = balancer_tick,
	.join = balancer_join,
};
