#include "usage.h"

#include <uv.h>

#define US_PER_S 1000000

static uint64_t microseconds(uv_timeval_t t)
{
	return (uint64_t)t.tv_sec * US_PER_S + (uint64_t)t.tv_usec;
}

/**
 * usage_read() - read the resource usage of this process
 * @out: set to the usage
 *
 * Return: 0 or a negative error of libuv.
 */
int usage_read(struct usage *out)
{
	size_t resident_bytes;
	uv_rusage_t used;
	int err = uv_resident_set_memory(&resident_bytes);

	if (!err)
		err = uv_getrusage(&used);
	if (err)
		return err;
	out->resident_bytes = resident_bytes;
	out->cpu_us = microseconds(used.ru_utime) + microseconds(used.ru_stime);
	return 0;
}
