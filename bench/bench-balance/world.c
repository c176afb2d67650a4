#include "world_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SEED 20261202
#define TIMEOUT_NS (2 * NS_PER_S)
#define TRIES_MAX 3
#define TICK_NS (20 * NS_PER_MS)
#define REPORT_NS (500 * NS_PER_MS)
#define CRAWL_FACTOR 10
/* A target that joins is this many times slower at first, over COLD_NS. */
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

const struct scene *world_scene(const struct world *w)
{
	return w->scene;
}

uint64_t world_now_ns(const struct world *w)
{
	return w->now_ns;
}

uint32_t world_targets(const struct world *w)
{
	return w->n_targets;
}

struct job *world_job(struct world *w, uint32_t job)
{
	return &w->jobs[job];
}

static double uniform(struct world *w)
{
	return ((rng_next(&w->rng) >> 11) + 0.5) / 9007199254740992.0;
}

static uint64_t exponential(struct world *w, double mean_ns)
{
	return (uint64_t)(-log(uniform(w)) * mean_ns) + 1;
}

static uint32_t new_job(struct world *w)
{
	uint32_t job = w->free_job;

	if (job != NONE) {
		w->free_job = w->jobs[job].next;
		return job;
	}
	if (w->n_jobs == w->jobs_max) {
		w->jobs_max = w->jobs_max ? 2 * w->jobs_max : 1024;
		w->jobs = realloc(w->jobs, w->jobs_max * sizeof(*w->jobs));
	}
	return w->n_jobs++;
}

static void free_job(struct world *w, uint32_t job)
{
	w->jobs[job].next = w->free_job;
	w->free_job = job;
}

void world_send(struct world *w, uint32_t job, uint32_t target)
{
	struct job *j = &w->jobs[job];

	j->target = target;
	j->sent_ns = w->now_ns;
	events_add(&w->events, w->now_ns + w->scene->delay_ns, EVENT_AT_TARGET,
		   job);
}

void world_refuse(struct world *w, uint32_t job, uint32_t retry_after_s)
{
	struct job *j = &w->jobs[job];

	if (j->tries < TRIES_MAX) {
		events_add(&w->events, w->now_ns + retry_after_s * NS_PER_S,
			   EVENT_RETURN, job);
		return;
	}
	w->refused += measure_counts(w);
	free_job(w, job);
}

static uint64_t wall_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

static void try_job(struct world *w, uint32_t job)
{
	struct job *j = &w->jobs[job];
	uint64_t before_ns = wall_ns();

	j->tries++;
	j->arrive_ns = w->now_ns;
	j->deadline_ns = w->now_ns + TIMEOUT_NS;
	j->avoid = NONE;
	j->shed = false;
	j->expired = false;
	w->policy->submit(w->ctx, job);
	w->decide_ns += wall_ns() - before_ns;
	w->decisions++;
}

static uint64_t mean_gap_ns(const struct world *w)
{
	const struct scene *s = w->scene;
	uint64_t load = s->load_milli;
	uint64_t slots = (uint64_t)s->n_targets * s->slots;

	if (s->peak_ns && w->now_ns >= s->peak_ns && w->now_ns < s->peak_end_ns)
		load = s->peak_milli;
	return s->service_ns * 1000 / (slots * load);
}

static uint32_t entry_of(struct world *w, uint32_t caller)
{
	uint32_t n = w->scene->n_entries;

	if (!w->scene->skew)
		return hash_u64(caller, SEED) % n;
	n = hash_u64(caller, SEED) % (n + 1);
	return n == w->scene->n_entries ? 0 : n;
}

static void caller_event(struct world *w)
{
	uint32_t job = new_job(w);
	struct job *j = &w->jobs[job];

	memset(j, 0, sizeof(*j));
	j->caller = (uint32_t)rng_next(&w->rng);
	j->entry = entry_of(w, j->caller);
	j->service_ns = exponential(w, w->scene->service_ns);
	w->asked += measure_counts(w);
	events_add(&w->events, w->now_ns + exponential(w, mean_gap_ns(w)),
		   EVENT_CALLER, 0);
	try_job(w, job);
}

static struct load_report report_of(const struct world *w, uint32_t target)
{
	const struct model_target *t = &w->targets[target];

	if (w->scene->lie && !target)
		return (struct load_report){ 0 };
	return (struct load_report){ .running = t->running,
				     .waiting = t->waiting };
}

static uint64_t slot_time_ns(const struct world *w, uint32_t target,
			     uint64_t service_ns)
{
	const struct scene *s = w->scene;

	if (s->crawl_ns && !target && w->now_ns >= s->crawl_ns)
		return service_ns * CRAWL_FACTOR;
	if (s->join_ns && target == s->n_targets - 1 &&
	    w->now_ns < s->join_ns + COLD_NS) {
		uint64_t left_ns = s->join_ns + COLD_NS - w->now_ns;

		return service_ns + service_ns * (COLD_FACTOR - 1) *
					    (left_ns / NS_PER_MS) /
					    (COLD_NS / NS_PER_MS);
	}
	return service_ns;
}

static void start(struct world *w, uint32_t job)
{
	struct job *j = &w->jobs[job];
	struct model_target *t = &w->targets[j->target];

	t->running++;
	t->started++;
	j->start_ns = w->now_ns;
	if (measure_counts(w))
		histogram_add(&w->wait_us, (w->now_ns - j->arrive_ns) / 1000);
	events_add(&w->events,
		   w->now_ns + slot_time_ns(w, j->target, j->service_ns),
		   EVENT_FINISH, job);
}

static void answer(struct world *w, uint32_t job)
{
	w->jobs[job].report = report_of(w, w->jobs[job].target);
	events_add(&w->events, w->now_ns + w->scene->delay_ns, EVENT_ANSWER,
		   job);
}

static void at_target_event(struct world *w, uint32_t job)
{
	struct job *j = &w->jobs[job];
	struct model_target *t = &w->targets[j->target];
	uint32_t here = t->running + t->waiting + 1;

	measure_held(w, t);
	if (here > w->scene->slots && here - w->scene->slots > w->excess)
		w->excess = here - w->scene->slots;
	if (t->running < w->scene->slots) {
		start(w, job);
		return;
	}
	if (t->waiting >= TARGET_QUEUE_MAX) {
		j->shed = true;
		answer(w, job);
		return;
	}
	j->next = NONE;
	if (t->waiting++)
		w->jobs[t->tail].next = job;
	else
		t->head = job;
	t->tail = job;
}

static void finish_event(struct world *w, uint32_t job)
{
	struct model_target *t = &w->targets[w->jobs[job].target];

	measure_held(w, t);
	t->running--;
	answer(w, job);
	while (t->waiting && t->running < w->scene->slots) {
		uint32_t next = t->head;

		t->head = w->jobs[next].next;
		t->waiting--;
		if (w->now_ns < w->jobs[next].deadline_ns) {
			start(w, next);
			continue;
		}
		w->jobs[next].expired = true;
		answer(w, next);
	}
}

static void answer_event(struct world *w, uint32_t job)
{
	struct job *j = &w->jobs[job];

	if (w->policy->report)
		w->policy->report(w->ctx, j->entry, j->target, &j->report);
	if (j->shed) {
		w->policy->done(w->ctx, job, OUTCOME_SHED);
		return;
	}
	if (j->expired || w->now_ns > j->deadline_ns) {
		w->late += measure_counts(w);
		w->policy->done(w->ctx, job, OUTCOME_TIMEOUT);
	} else {
		w->good += measure_counts(w);
		w->policy->done(w->ctx, job, OUTCOME_OK);
	}
	free_job(w, job);
}

static void report_event(struct world *w, uint32_t entry)
{
	for (uint32_t i = 0; i < w->n_targets; i++) {
		struct load_report r = report_of(w, i);

		if (!w->policy->polls(w->ctx, entry, i))
			continue;

		w->policy->report(w->ctx, entry, i, &r);
	}
	events_add(&w->events, w->now_ns + REPORT_NS, EVENT_REPORT, entry);
}

static void window_event(struct world *w)
{
	measure_window(w);
	events_add(&w->events, w->now_ns + NS_PER_S, EVENT_WINDOW, 0);
}

static void handle(struct world *w, const struct event *e)
{
	switch (e->kind) {
	case EVENT_CALLER:
		caller_event(w);
		break;
	case EVENT_RETURN:
		try_job(w, e->id);
		break;
	case EVENT_AT_TARGET:
		at_target_event(w, e->id);
		break;
	case EVENT_FINISH:
		finish_event(w, e->id);
		break;
	case EVENT_ANSWER:
		answer_event(w, e->id);
		break;
	case EVENT_TICK:
		w->policy->tick(w->ctx, e->id);
		events_add(&w->events, w->now_ns + TICK_NS, EVENT_TICK, e->id);
		break;
	case EVENT_REPORT:
		report_event(w, e->id);
		break;
	case EVENT_WINDOW:
		window_event(w);
		break;
	case EVENT_JOIN:
		w->n_targets++;
		w->policy->join(w->ctx);
		break;
	}
}

static void open_world(struct world *w)
{
	const struct scene *s = w->scene;
	struct rng phase = { SEED + 1 };

	w->now_ns = NS_PER_MS;
	w->rng.state = SEED;
	w->free_job = NONE;
	w->n_targets = s->n_targets - (s->join_ns != 0);
	w->ctx = w->policy->open(w);
	events_add(&w->events, w->now_ns, EVENT_CALLER, 0);
	events_add(&w->events, NS_PER_S, EVENT_WINDOW, 0);
	if (s->join_ns)
		events_add(&w->events, s->join_ns, EVENT_JOIN, 0);
	for (uint32_t i = 0; i < s->n_entries; i++) {
		events_add(&w->events, w->now_ns + rng_next(&phase) % TICK_NS,
			   EVENT_TICK, i);
		if (w->policy->report)
			events_add(&w->events,
				   w->now_ns + rng_next(&phase) % REPORT_NS,
				   EVENT_REPORT, i);
	}
}

void world_run(const struct scene *scene, const struct policy *policy,
	       struct figures *out)
{
	struct world *w = calloc(1, sizeof(*w));

	w->scene = scene;
	w->policy = policy;
	open_world(w);
	for (;;) {
		struct event e = events_take(&w->events);

		if (e.at_ns >= scene->end_ns)
			break;
		w->now_ns = e.at_ns;
		handle(w, &e);
	}
	measure_figures(w, out);
	policy->close(w->ctx);
	free(w->events.heap);
	free(w->jobs);
	free(w);
}
