/*
 * How long connection attempts take to be answered, from which follows how long
 * to wait for one.
 *
 * The load that this is for: a large document comes over a narrow link, and
 * answers wait behind it. With a fixed wait all targets look silent by turns.
 */
#ifndef CB_TRIPS_H
#define CB_TRIPS_H

#include "policy.h"

/**
 * struct trips - the longest of late
 * @longest_ns: it
 * @heard_ns: when it was heard; 0 for never
 */
struct trips {
	uint64_t longest_ns;
	uint64_t heard_ns;
};

void trips_heard(struct trips *t, uint64_t took_ns, uint64_t now_ns);
uint64_t trips_wait_ns(const struct trips *t, const struct policy *policy,
		       uint64_t now_ns);

#endif
