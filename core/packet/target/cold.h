/*
 * Rate limit of new flows to cold targets, which have just started and serve
 * slowly at first.
 *
 * After a data centre returns to service or its targets recover from an
 * outage, all entries see idle targets at once and would overload them. No
 * entry counts flows for all others, and entries may be partitioned from each
 * other. So a fixed number of entries, selected by a hash from those seen
 * recently in the target's data centre, hold a permit for each cold target and
 * open flows there at a fixed rate; the other entries do not select it.
 */
#ifndef CB_COLD_H
#define CB_COLD_H

#include "target.h"

/* Flows that a permit holder may open in one burst. */
#define COLD_CREDIT_MAX 1.0f

/**
 * struct cold_bound - upper bound of new flows to a cold target
 * @overrun: factor on the rate of the target's service
 * @slack: flows on top of that
 *
 * Holds for any period of one second and for all entries together: the
 * service's rate times @overrun, plus @slack.
 */
struct cold_bound {
	float overrun;
	float slack;
};

/**
 * struct cold_allocation - division of the bound among entries
 * @permits: entries that may open flows at the target; 0 for none
 * @per_s: sustained rate of each of them, flows per second
 */
struct cold_allocation {
	uint32_t permits;
	float per_s;
};

struct cold_allocation cold_allocate(float per_s,
				     const struct cold_bound *bound);

/**
 * cold_is_limited() - whether new flows to a target are rate limited
 * @t: target
 * @per_s: new flows per second that a cold target of its service can take; 0
 *	when the configuration has no rate
 * @now_ns: current time
 *
 * Return: true while the target is cold and its service has a rate.
 */
static inline bool cold_is_limited(const struct target *t, float per_s,
				   uint64_t now_ns)
{
	return per_s > 0 && now_ns < t->cold_until_ns;
}

void cold_begin(struct target *t, uint64_t until_ns, uint64_t now_ns);
void cold_refill(struct target *t, bool has_permit, float per_s,
		 uint64_t now_ns);

/**
 * cold_denies_flow() - whether the rate limit forbids a new flow to a target
 * @t: target
 * @per_s: new flows per second that a cold target of its service can take; 0
 *	when the configuration has no rate
 * @now_ns: current time
 *
 * Return: true when the target is limited and this entry has no permit or no
 * credit left.
 */
static inline bool cold_denies_flow(const struct target *t, float per_s,
				    uint64_t now_ns)
{
	return cold_is_limited(t, per_s, now_ns) &&
	       (!t->has_cold_permit || t->cold_credit < COLD_CREDIT_MAX);
}

void cold_spend_credit(struct target *t, float per_s, uint64_t now_ns);

#endif
