/* State of the simulation, for the files that implement it. */
#ifndef CB_BENCH_MODEL_STATE_H
#define CB_BENCH_MODEL_STATE_H

#include "events.h"
#include "histogram.h"
#include "model.h"

struct model_target {
	uint32_t running;
	uint32_t waiting;
	uint32_t head;
	uint32_t tail;
	uint32_t started;
	uint64_t occupancy_ns;
	uint64_t changed_ns;
};

struct model {
	const struct scenario *scenario;
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
	double occupancy_imbalance_sum;
	uint32_t windows;
	uint64_t requests;
	uint64_t refused;
	uint64_t late;
	uint64_t good;
	uint32_t excess;
	uint64_t balanced_after_ns;
	uint32_t balanced_windows;
	uint64_t decision_ns;
	uint64_t decisions;
};

/* measure.c */
bool is_measuring(const struct model *model);
void measure_occupancy(const struct model *model, struct model_target *t);
void measure_window(struct model *model);
void measure_results(const struct model *model, struct results *out);

#endif
