/*
 * What a run earned by windows of time, beside an upper bound of what any fleet
 * of entries could have earned there.
 */
#ifndef SIM_PACKETS_WINDOWS_H
#define SIM_PACKETS_WINDOWS_H

#include "world.h"

#define WINDOW_NS (2 * NS_PER_S)

/**
 * struct window - requests asked within one window
 * @from_ns: its begin, since clients began
 * @requests: how many
 * @in_aim: of them, answered in time
 * @late: answered later
 * @failed: not answered
 * @owed: worth of all, each answered in time
 * @earned: worth of what was answered
 * @bound: no fleet of entries could have earned more
 * @lost: worth that was not earned, by enum world_cause
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
 * struct windows - a run
 * @n: windows
 * @all: those, in order
 * @total: their sum
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
