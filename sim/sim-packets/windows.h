/*
 * Value earned in each time window of a run, with an upper bound of what any
 * assignment could have earned in it.
 */
#ifndef SIM_PACKETS_WINDOWS_H
#define SIM_PACKETS_WINDOWS_H

#include "world.h"

#define WINDOW_NS (2 * NS_PER_S)

/**
 * struct window - requests that arrived within one window
 * @from_ns: start of the window, relative to that of the clients
 * @requests: number of requests
 * @on_time: answered within the latency objective
 * @late: answered later
 * @failed: not answered
 * @offered: sum of the values of all requests
 * @earned: sum of the values of the answered requests
 * @bound: upper bound of @earned
 * @lost: value not earned, by enum world_cause
 */
struct window {
	uint64_t from_ns;
	uint64_t requests;
	uint64_t on_time;
	uint64_t late;
	uint64_t failed;
	double offered;
	double earned;
	double bound;
	double lost[CAUSES];
};

/**
 * struct windows - all windows of a run
 * @n: number of windows
 * @all: the windows, in order; freed by windows_free()
 * @total: sum over the windows
 */
struct windows {
	uint32_t n;
	struct window *all;
	struct window total;
};

int windows_compute(const struct world *w, struct windows *out);
void windows_free(struct windows *v);
double windows_worst_share(const struct windows *v, uint32_t n, bool bound);

#endif
