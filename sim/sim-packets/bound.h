/* The most that any fleet of entries could earn. */
#ifndef SIM_PACKETS_BOUND_H
#define SIM_PACKETS_BOUND_H

#include "world_state.h"

/**
 * struct bound_span - whether any entry runs from a time on
 * @from_ns: when
 * @any: whether
 */
struct bound_span {
	uint64_t from_ns;
	bool any;
};

/**
 * struct bound_reach - those of a run, in order
 * @spans: of them
 * @n: how many
 */
struct bound_availability {
	struct bound_span *spans;
	uint32_t n;
};

int bound_availability(const struct world *w, struct bound_availability *out);
double bound_earned_value(const struct world *w,
			  const struct bound_availability *reach,
			  uint64_t from_ns, uint64_t ns);

#endif
