#include "model_state.h"

/*
 * A target that joined has its share of the load when it starts this part of
 * the mean number of requests in BALANCED_WINDOWS windows in a row.
 */
#define BALANCED_SHARE 0.8
#define BALANCED_WINDOWS 3

bool is_measuring(const struct model *model)
{
	return model->now_ns >= model->scenario->warmup_ns;
}

/*
 * Adds the requests at a target, multiplied by the time since the last call.
 * Must be called before their number changes.
 */
void measure_occupancy(const struct model *model, struct model_target *t)
{
	t->occupancy_ns +=
		(t->running + t->waiting) * (model->now_ns - t->changed_ns);
	t->changed_ns = model->now_ns;
}

static void note_balanced(struct model *model, uint32_t started, double mean)
{
	if (!model->scenario->join_ns ||
	    model->now_ns <= model->scenario->join_ns ||
	    model->balanced_windows >= BALANCED_WINDOWS)
		return;
	if (started < BALANCED_SHARE * mean) {
		model->balanced_windows = 0;
		return;
	}
	if (!model->balanced_windows++)
		model->balanced_after_ns =
			model->now_ns - model->scenario->join_ns;
}

void measure_window(struct model *model)
{
	uint32_t max_started = 0;
	uint64_t sum = 0;
	uint64_t max_occupancy_ns = 0;
	uint64_t occupancy_ns = 0;
	double mean;

	for (uint32_t i = 0; i < model->n_targets; i++) {
		measure_occupancy(model, &model->targets[i]);
		occupancy_ns += model->targets[i].occupancy_ns;
		if (model->targets[i].occupancy_ns > max_occupancy_ns)
			max_occupancy_ns = model->targets[i].occupancy_ns;
		model->targets[i].occupancy_ns = 0;
		sum += model->targets[i].started;
		if (model->targets[i].started > max_started)
			max_started = model->targets[i].started;
	}
	mean = (double)sum / model->n_targets;
	note_balanced(model, model->targets[model->n_targets - 1].started,
		      mean);
	if (is_measuring(model) && sum) {
		model->imbalance_sum += max_started / mean;
		model->occupancy_imbalance_sum += (double)max_occupancy_ns *
						  model->n_targets /
						  occupancy_ns;
		model->windows++;
	}
	for (uint32_t i = 0; i < model->n_targets; i++)
		model->targets[i].started = 0;
}

void measure_results(const struct model *model, struct results *out)
{
	double counted_s =
		(double)(model->scenario->end_ns - model->scenario->warmup_ns) /
		NS_PER_S;

	out->imbalance =
		model->windows ? model->imbalance_sum / model->windows : 0;
	out->occupancy_imbalance =
		model->windows ? model->occupancy_imbalance_sum / model->windows
			       : 0;
	out->wait_p50_ms = histogram_quantile(&model->wait_us, 0.5) / 1000.0;
	out->wait_p99_ms = histogram_quantile(&model->wait_us, 0.99) / 1000.0;
	out->refused = (double)model->refused / model->requests;
	out->late = (double)model->late / model->requests;
	out->goodput = model->good / counted_s;
	out->excess = model->excess;
	out->balanced_after_s =
		model->balanced_windows >= BALANCED_WINDOWS
			? (double)model->balanced_after_ns / NS_PER_S
			: -1;
	out->decision_ns = (double)model->decision_ns / model->decisions;
}
