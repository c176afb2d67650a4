/* What this process uses of the machine, for its metrics. */
#ifndef CB_USAGE_H
#define CB_USAGE_H

#include "types.h"

/**
 * struct usage - a process's use of the machine
 * @resident_bytes: memory
 * @cpu_us: processor time since it started, microseconds
 */
struct usage {
	uint64_t resident_bytes;
	uint64_t cpu_us;
};

int usage_read(struct usage *out);

#endif
