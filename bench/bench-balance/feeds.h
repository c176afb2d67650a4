/* Measures the distribution of long feeds over the targets. */
#ifndef CB_BENCH_FEEDS_H
#define CB_BENCH_FEEDS_H

#include "types.h"

void feeds_run(const char *deployment, uint32_t n_entries, uint32_t n_targets,
	       uint32_t slots);

#endif
