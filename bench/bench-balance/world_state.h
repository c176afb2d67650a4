/* The model's state, shared by its files only. */
#ifndef CB_BENCH_WORLD_STATE_H
#define CB_BENCH_WORLD_STATE_H

#include "events.h"
#include "histogram.h"
#include "world.h"

struct model_target {
	uint32_t running;
	uint32_t waiting;
	uint32_t head;
	uint32_t tail;
	uint32_t started;
	uint64_t held_ns;
	uint64_t changed_ns;
};

struct world {
	const struct scene *scene;
	const struct policy *policy;
	void *ctx;
	uint64_t now_ns;
	struct rng rng;
	struct events events;
	struct job *jobs;
	uint32_t n_jobs;
	uint32_t jobs_max;
	uint32_t free_job;
	struct model_target targets[TARGETS_MAX];
	uint32_t n_targets;
	struct histogram wait_us;
	double imbalance_sum;
	double held_sum;
	uint32_t windows;
	uint64_t asked;
	uint64_t refused;
	uint64_t late;
	uint64_t good;
	uint32_t excess;
	uint64_t even_ns;
	uint32_t even_windows;
	uint64_t decide_ns;
	uint64_t decisions;
};

/* measure.c */
bool measure_counts(const struct world *w);
void measure_held(const struct world *w, struct model_target *t);
void measure_window(struct world *w);
void measure_figures(const struct world *w, struct figures *out);

#endif
