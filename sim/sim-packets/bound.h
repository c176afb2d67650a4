/* Upper bound of the value that the entries could earn in a run. */
#ifndef SIM_PACKETS_BOUND_H
#define SIM_PACKETS_BOUND_H

#include "world_state.h"

/**
 * struct bound_span - interval of a run
 * @from_ns: its start; it lasts until the next one
 * @any: at least one entry runs
 */
struct bound_span {
	uint64_t from_ns;
	bool any;
};

/**
 * struct bound_availability - when at least one entry ran
 * @spans: intervals of a run, in order; owned by the caller
 * @n: number of @spans
 */
struct bound_availability {
	struct bound_span *spans;
	uint32_t n;
};

int bound_availability(const struct world *w, struct bound_availability *out);
double bound_earned_value(const struct world *w,
			  const struct bound_availability *availability,
			  uint64_t from_ns, uint64_t ns);

#endif
