#include "world_state.h"

/* A target that joined is even with this share of the mean, three times. */
#define EVEN_SHARE 0.8

bool measure_counts(const struct world *w)
{
	return w->now_ns >= w->scene->warmup_ns;
}

/* Add up requests times time at a target, before their number changes. */
void measure_held(const struct world *w, struct model_target *t)
{
	t->held_ns += (t->running + t->waiting) * (w->now_ns - t->changed_ns);
	t->changed_ns = w->now_ns;
}

static void note_even(struct world *w, uint32_t started, double mean)
{
	if (!w->scene->join_ns || w->now_ns <= w->scene->join_ns ||
	    w->even_windows >= 3)
		return;
	if (started < EVEN_SHARE * mean) {
		w->even_windows = 0;
		return;
	}
	if (!w->even_windows++)
		w->even_ns = w->now_ns - w->scene->join_ns;
}

void measure_window(struct world *w)
{
	uint32_t most = 0;
	uint64_t sum = 0;
	uint64_t held_most = 0;
	uint64_t held = 0;
	double mean;

	for (uint32_t i = 0; i < w->n_targets; i++) {
		measure_held(w, &w->targets[i]);
		held += w->targets[i].held_ns;
		if (w->targets[i].held_ns > held_most)
			held_most = w->targets[i].held_ns;
		w->targets[i].held_ns = 0;
		sum += w->targets[i].started;
		if (w->targets[i].started > most)
			most = w->targets[i].started;
	}
	mean = (double)sum / w->n_targets;
	note_even(w, w->targets[w->n_targets - 1].started, mean);
	if (measure_counts(w) && sum) {
		w->imbalance_sum += most / mean;
		w->held_sum += (double)held_most * w->n_targets / held;
		w->windows++;
	}
	for (uint32_t i = 0; i < w->n_targets; i++)
		w->targets[i].started = 0;
}

void measure_figures(const struct world *w, struct figures *out)
{
	double counted_s =
		(double)(w->scene->end_ns - w->scene->warmup_ns) / NS_PER_S;

	out->imbalance = w->windows ? w->imbalance_sum / w->windows : 0;
	out->held = w->windows ? w->held_sum / w->windows : 0;
	out->wait_p50_ms = histogram_quantile(&w->wait_us, 0.5) / 1000.0;
	out->wait_p99_ms = histogram_quantile(&w->wait_us, 0.99) / 1000.0;
	out->refused = (double)w->refused / w->asked;
	out->late = (double)w->late / w->asked;
	out->goodput = w->good / counted_s;
	out->excess = w->excess;
	out->even_s = w->even_windows >= 3 ? (double)w->even_ns / NS_PER_S : -1;
	out->decide_ns = (double)w->decide_ns / w->decisions;
}
