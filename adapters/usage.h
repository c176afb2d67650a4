/* Resource usage of this process, for its metrics. */
#ifndef CB_USAGE_H
#define CB_USAGE_H

#include "types.h"

/**
 * struct usage - resource usage of a process
 * @resident_bytes: resident memory
 * @cpu_us: processor time in user and kernel mode since its start, microseconds
 */
struct usage {
	uint64_t resident_bytes;
	uint64_t cpu_us;
};

int usage_read(struct usage *out);

#endif
