#include "trips.h"

/* Longer ago the link may have been another one. */
#define KEPT_NS (2 * NS_PER_S)
/* An answer may take so many times as long as the longest of late. */
#define SPARE 2

/**
 * trips_heard() - an attempt was answered
 * @t: trips
 * @took_ns: time that it took
 * @now_ns: time
 */
void trips_heard(struct trips *t, uint64_t took_ns, uint64_t now_ns)
{
	if (took_ns < t->longest_ns && now_ns < t->heard_ns + KEPT_NS)
		return;
	t->longest_ns = took_ns;
	t->heard_ns = now_ns;
}

/**
 * trips_wait_ns() - how long to wait for an answer
 * @t: trips
 * @policy: figures to go by
 * @now_ns: time
 *
 * Return: time.
 */
uint64_t trips_wait_ns(const struct trips *t, const struct policy *policy,
		       uint64_t now_ns)
{
	uint64_t wait_ns = t->longest_ns * SPARE;

	if (!t->heard_ns || now_ns >= t->heard_ns + KEPT_NS ||
	    wait_ns < policy->probe_wait_ns)
		return policy->probe_wait_ns;
	return wait_ns < policy->probe_wait_max_ns ? wait_ns
						   : policy->probe_wait_max_ns;
}
