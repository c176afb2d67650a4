#include "cold.h"

#include <math.h>

/*
 * More permits make no difference: each allows one flow at once, whatever its
 * rate.
 */
#define PERMITS_MAX 3

/**
 * cold_allocate() - divide the bound of a cold target among permits
 * @per_s: new flows per second that a cold target of the service can take
 * @bound: upper bound of new flows in any second
 *
 * A permit opens at most its rate and one more flow in a second. The bound
 * holds with one permit too many: entries that see different sets of entries,
 * because some have just started, may use one permit more.
 *
 * Return: permits and rate of each; no permits when the bound is below one
 * flow.
 */
struct cold_allocation cold_allocate(float per_s,
				     const struct cold_bound *bound)
{
	float flows_max = per_s * bound->overrun + bound->slack;
	struct cold_allocation a = { 0 };

	if (flows_max < COLD_CREDIT_MAX)
		return a;
	a.permits = PERMITS_MAX;
	while (a.permits > 1 &&
	       (float)(a.permits + 1) * COLD_CREDIT_MAX > flows_max)
		a.permits--;
	a.per_s = flows_max / (float)(a.permits + 1) - COLD_CREDIT_MAX;
	a.per_s = fminf(a.per_s, per_s / (float)a.permits);
	if (a.per_s < 0)
		a.per_s = 0;
	return a;
}

/**
 * cold_begin() - mark a target as cold after its start
 * @t: target
 * @until_ns: end of its cold period
 * @now_ns: current time
 *
 * A target that was not cold before starts with full credit and no permit: once
 * this entry gets the permit, it may open one flow at once. A call during the
 * cold period only changes its end.
 */
void cold_begin(struct target *t, uint64_t until_ns, uint64_t now_ns)
{
	if (now_ns >= t->cold_until_ns) {
		t->cold_credit = COLD_CREDIT_MAX;
		t->has_cold_permit = false;
		t->cold_credit_ns = now_ns;
	}
	t->cold_until_ns = until_ns;
}

/**
 * cold_refill() - add credit for the time since the last refill, set the permit
 * @t: target
 * @has_permit: this entry may open flows at the target from now on
 * @per_s: rate of a permit, flows per second
 * @now_ns: current time
 */
void cold_refill(struct target *t, bool has_permit, float per_s,
		 uint64_t now_ns)
{
	float elapsed_s = (float)(now_ns - t->cold_credit_ns) / (float)NS_PER_S;

	if (t->has_cold_permit)
		t->cold_credit = fminf(COLD_CREDIT_MAX,
				       t->cold_credit + elapsed_s * per_s);
	t->has_cold_permit = has_permit;
	t->cold_credit_ns = now_ns;
}

/**
 * cold_spend_credit() - account for a new flow to a target
 * @t: target
 * @per_s: new flows per second that a cold target of its service can take; 0
 *	when the configuration has no rate
 * @now_ns: current time
 *
 * Does nothing when the target is not rate limited.
 */
void cold_spend_credit(struct target *t, float per_s, uint64_t now_ns)
{
	if (cold_is_limited(t, per_s, now_ns))
		t->cold_credit -= COLD_CREDIT_MAX;
}
