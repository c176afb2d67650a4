#include "model_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SEED 20261202
#define TIMEOUT_NS (2 * NS_PER_S)
#define TRIES_MAX 3
#define TICK_NS (20 * NS_PER_MS)
#define REPORT_NS (500 * NS_PER_MS)
#define SLOW_FACTOR 10
/*
 * A target that joins starts this many times slower and warms up over COLD_NS.
 */
#define COLD_FACTOR 4
#define COLD_NS (8 * NS_PER_S)

enum event_kind {
	EVENT_CALLER,
	EVENT_RETURN,
	EVENT_AT_TARGET,
	EVENT_FINISH,
	EVENT_ANSWER,
	EVENT_TICK,
	EVENT_REPORT,
	EVENT_WINDOW,
	EVENT_JOIN
};

const struct scenario *model_scenario(const struct model *model)
{
	return model->scenario;
}

uint64_t model_now_ns(const struct model *model)
{
	return model->now_ns;
}

uint32_t model_targets(const struct model *model)
{
	return model->n_targets;
}

struct job *model_job(struct model *model, uint32_t job)
{
	return &model->jobs[job];
}

static double uniform(struct model *model)
{
	return ((rng_next(&model->rng) >> 11) + 0.5) / 9007199254740992.0;
}

static uint64_t exponential(struct model *model, double mean_ns)
{
	return (uint64_t)(-log(uniform(model)) * mean_ns) + 1;
}

static uint32_t new_job(struct model *model)
{
	uint32_t job = model->free_job;

	if (job != NONE) {
		model->free_job = model->jobs[job].next;
		return job;
	}
	if (model->n_jobs == model->jobs_max) {
		model->jobs_max = model->jobs_max ? 2 * model->jobs_max : 1024;
		model->jobs = realloc(model->jobs,
				      model->jobs_max * sizeof(*model->jobs));
	}
	return model->n_jobs++;
}

static void free_job(struct model *model, uint32_t job)
{
	model->jobs[job].next = model->free_job;
	model->free_job = job;
}

void model_send(struct model *model, uint32_t job, uint32_t target)
{
	struct job *j = &model->jobs[job];

	j->target = target;
	j->sent_ns = model->now_ns;
	events_add(&model->events, model->now_ns + model->scenario->delay_ns,
		   EVENT_AT_TARGET, job);
}

void model_refuse(struct model *model, uint32_t job, uint32_t retry_after_s)
{
	struct job *j = &model->jobs[job];

	if (j->tries < TRIES_MAX) {
		events_add(&model->events,
			   model->now_ns + retry_after_s * NS_PER_S,
			   EVENT_RETURN, job);
		return;
	}
	model->refused += is_measuring(model);
	free_job(model, job);
}

static uint64_t wall_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

static void submit_job(struct model *model, uint32_t job)
{
	struct job *j = &model->jobs[job];
	uint64_t before_ns = wall_ns();

	j->tries++;
	j->arrive_ns = model->now_ns;
	j->deadline_ns = model->now_ns + TIMEOUT_NS;
	j->avoid = NONE;
	j->is_shed = false;
	j->is_expired = false;
	model->policy->submit(model->ctx, job);
	model->decision_ns += wall_ns() - before_ns;
	model->decisions++;
}

static uint64_t mean_gap_ns(const struct model *model)
{
	const struct scenario *s = model->scenario;
	uint64_t load = s->load_milli;
	uint64_t slots = (uint64_t)s->n_targets * s->slots;

	if (s->peak_ns && model->now_ns >= s->peak_ns &&
	    model->now_ns < s->peak_end_ns)
		load = s->peak_milli;
	return s->service_ns * 1000 / (slots * load);
}

static uint32_t select_entry(struct model *model, uint32_t caller)
{
	uint32_t n = model->scenario->n_entries;

	if (!model->scenario->is_skewed)
		return hash_u64(caller, SEED) % n;
	n = hash_u64(caller, SEED) % (n + 1);
	return n == model->scenario->n_entries ? 0 : n;
}

static void caller_event(struct model *model)
{
	uint32_t job = new_job(model);
	struct job *j = &model->jobs[job];

	memset(j, 0, sizeof(*j));
	j->caller = (uint32_t)rng_next(&model->rng);
	j->entry = select_entry(model, j->caller);
	j->service_ns = exponential(model, model->scenario->service_ns);
	model->requests += is_measuring(model);
	events_add(&model->events,
		   model->now_ns + exponential(model, mean_gap_ns(model)),
		   EVENT_CALLER, 0);
	submit_job(model, job);
}

static struct load_report load_report_of(const struct model *model,
					 uint32_t target)
{
	const struct model_target *t = &model->targets[target];

	if (model->scenario->reports_idle && !target)
		return (struct load_report){ 0 };
	return (struct load_report){ .running = t->running,
				     .waiting = t->waiting };
}

static uint64_t slot_time_ns(const struct model *model, uint32_t target,
			     uint64_t service_ns)
{
	const struct scenario *s = model->scenario;

	if (s->slow_from_ns && !target && model->now_ns >= s->slow_from_ns)
		return service_ns * SLOW_FACTOR;
	if (s->join_ns && target == s->n_targets - 1 &&
	    model->now_ns < s->join_ns + COLD_NS) {
		uint64_t left_ns = s->join_ns + COLD_NS - model->now_ns;

		return service_ns + service_ns * (COLD_FACTOR - 1) *
					    (left_ns / NS_PER_MS) /
					    (COLD_NS / NS_PER_MS);
	}
	return service_ns;
}

static void start_job(struct model *model, uint32_t job)
{
	struct job *j = &model->jobs[job];
	struct model_target *t = &model->targets[j->target];

	t->running++;
	t->started++;
	j->start_ns = model->now_ns;
	if (is_measuring(model))
		histogram_add(&model->wait_us,
			      (model->now_ns - j->arrive_ns) / 1000);
	events_add(&model->events,
		   model->now_ns +
			   slot_time_ns(model, j->target, j->service_ns),
		   EVENT_FINISH, job);
}

static void send_answer(struct model *model, uint32_t job)
{
	model->jobs[job].report =
		load_report_of(model, model->jobs[job].target);
	events_add(&model->events, model->now_ns + model->scenario->delay_ns,
		   EVENT_ANSWER, job);
}

static void target_event(struct model *model, uint32_t job)
{
	struct job *j = &model->jobs[job];
	struct model_target *t = &model->targets[j->target];
	uint32_t n_at_target = t->running + t->waiting + 1;

	measure_occupancy(model, t);
	if (n_at_target > model->scenario->slots &&
	    n_at_target - model->scenario->slots > model->excess)
		model->excess = n_at_target - model->scenario->slots;
	if (t->running < model->scenario->slots) {
		start_job(model, job);
		return;
	}
	if (t->waiting >= TARGET_QUEUE_MAX) {
		j->is_shed = true;
		send_answer(model, job);
		return;
	}
	j->next = NONE;
	if (t->waiting++)
		model->jobs[t->tail].next = job;
	else
		t->head = job;
	t->tail = job;
}

static void finish_event(struct model *model, uint32_t job)
{
	struct model_target *t = &model->targets[model->jobs[job].target];

	measure_occupancy(model, t);
	t->running--;
	send_answer(model, job);
	while (t->waiting && t->running < model->scenario->slots) {
		uint32_t next = t->head;

		t->head = model->jobs[next].next;
		t->waiting--;
		if (model->now_ns < model->jobs[next].deadline_ns) {
			start_job(model, next);
			continue;
		}
		model->jobs[next].is_expired = true;
		send_answer(model, next);
	}
}

static void answer_event(struct model *model, uint32_t job)
{
	struct job *j = &model->jobs[job];

	if (model->policy->report)
		model->policy->report(model->ctx, j->entry, j->target,
				      &j->report);
	if (j->is_shed) {
		model->policy->done(model->ctx, job, OUTCOME_SHED);
		return;
	}
	if (j->is_expired || model->now_ns > j->deadline_ns) {
		model->late += is_measuring(model);
		model->policy->done(model->ctx, job, OUTCOME_TIMEOUT);
	} else {
		model->good += is_measuring(model);
		model->policy->done(model->ctx, job, OUTCOME_OK);
	}
	free_job(model, job);
}

static void report_event(struct model *model, uint32_t entry)
{
	for (uint32_t i = 0; i < model->n_targets; i++) {
		struct load_report r = load_report_of(model, i);

		if (!model->policy->polls(model->ctx, entry, i))
			continue;

		model->policy->report(model->ctx, entry, i, &r);
	}
	events_add(&model->events, model->now_ns + REPORT_NS, EVENT_REPORT,
		   entry);
}

static void window_event(struct model *model)
{
	measure_window(model);
	events_add(&model->events, model->now_ns + NS_PER_S, EVENT_WINDOW, 0);
}

static void handle(struct model *model, const struct event *e)
{
	switch (e->kind) {
	case EVENT_CALLER:
		caller_event(model);
		break;
	case EVENT_RETURN:
		submit_job(model, e->id);
		break;
	case EVENT_AT_TARGET:
		target_event(model, e->id);
		break;
	case EVENT_FINISH:
		finish_event(model, e->id);
		break;
	case EVENT_ANSWER:
		answer_event(model, e->id);
		break;
	case EVENT_TICK:
		model->policy->tick(model->ctx, e->id);
		events_add(&model->events, model->now_ns + TICK_NS, EVENT_TICK,
			   e->id);
		break;
	case EVENT_REPORT:
		report_event(model, e->id);
		break;
	case EVENT_WINDOW:
		window_event(model);
		break;
	case EVENT_JOIN:
		model->n_targets++;
		model->policy->join(model->ctx);
		break;
	}
}

static void model_init(struct model *model)
{
	const struct scenario *s = model->scenario;
	struct rng phase = { SEED + 1 };

	model->now_ns = NS_PER_MS;
	model->rng.state = SEED;
	model->free_job = NONE;
	model->n_targets = s->n_targets - (s->join_ns != 0);
	model->ctx = model->policy->open(model);
	events_add(&model->events, model->now_ns, EVENT_CALLER, 0);
	events_add(&model->events, NS_PER_S, EVENT_WINDOW, 0);
	if (s->join_ns)
		events_add(&model->events, s->join_ns, EVENT_JOIN, 0);
	for (uint32_t i = 0; i < s->n_entries; i++) {
		events_add(&model->events,
			   model->now_ns + rng_next(&phase) % TICK_NS,
			   EVENT_TICK, i);
		if (model->policy->report)
			events_add(&model->events,
				   model->now_ns + rng_next(&phase) % REPORT_NS,
				   EVENT_REPORT, i);
	}
}

void model_run(const struct scenario *scenario, const struct policy *policy,
	       struct results *out)
{
	struct model *model = calloc(1, sizeof(*model));

	model->scenario = scenario;
	model->policy = policy;
	model_init(model);
	for (;;) {
		struct event e = events_pop(&model->events);

		if (e.at_ns >= scenario->end_ns)
			break;
		model->now_ns = e.at_ns;
		handle(model, &e);
	}
	measure_results(model, out);
	policy->close(model->ctx);
	free(model->events.heap);
	free(model->jobs);
	free(model);
}
