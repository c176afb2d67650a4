#include "connect_rtt.h"

/* An older round trip may have had another load on the link. */
#define VALID_NS (2 * NS_PER_S)
/* The timeout is the longest recent round trip times this. */
#define TIMEOUT_FACTOR 2

/**
 * connect_rtt_record() - record the round trip of an answered attempt
 * @r: longest recent round trip
 * @rtt_ns: time from the attempt to its answer
 * @now_ns: current time
 */
void connect_rtt_record(struct connect_rtt *r, uint64_t rtt_ns, uint64_t now_ns)
{
	if (rtt_ns < r->longest_ns && now_ns < r->recorded_ns + VALID_NS)
		return;
	r->longest_ns = rtt_ns;
	r->recorded_ns = now_ns;
}

/**
 * connect_rtt_timeout_ns() - how long to wait for the answer to an attempt
 * @r: longest recent round trip
 * @policy: limits and switches
 * @now_ns: current time
 *
 * Return: timeout, between policy's probe_wait_ns and probe_wait_max_ns.
 */
uint64_t connect_rtt_timeout_ns(const struct connect_rtt *r,
				const struct policy *policy, uint64_t now_ns)
{
	uint64_t timeout_ns = r->longest_ns * TIMEOUT_FACTOR;

	if (!r->recorded_ns || now_ns >= r->recorded_ns + VALID_NS ||
	    timeout_ns < policy->probe_wait_ns)
		return policy->probe_wait_ns;
	return timeout_ns < policy->probe_wait_max_ns
		       ? timeout_ns
		       : policy->probe_wait_max_ns;
}
