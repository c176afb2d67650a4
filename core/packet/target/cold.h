/*
 * Targets that have just started bear few new flows a second, of all entries
 * together.
 *
 * The load that this is for: a data centre is taken back, or its targets come
 * back from an outage, and all entries see idle targets at once. Nobody counts
 * for all, and entries may be cut from each other; so a few entries have a seat
 * at each cold target, told by a hash from those that its data centre had of
 * late, and open flows there at a fixed rate; the others pass it by.
 */
#ifndef CB_COLD_H
#define CB_COLD_H

#include "target.h"

/* Flows that a seat may open at once. */
#define COLD_CREDIT_MAX 1.0f

/**
 * struct cold_bound - what a cold target may get in any second, of all entries
 *	together: its service's rate times @overrun, and @slack
 * @overrun: factor
 * @slack: flows
 */
struct cold_bound {
	float overrun;
	float slack;
};

/**
 * struct cold_share - how that is dealt
 * @seats: entries that may open flows at the target
 * @per_s: flows a second that each may
 */
struct cold_share {
	uint32_t seats;
	float per_s;
};

struct cold_share cold_share(float per_s, const struct cold_bound *bound);

/**
 * cold_limited() - whether a target bears few new flows now
 * @t: target
 * @per_s: rate of its service; 0 when none is told
 * @now_ns: time
 *
 * Return: whether it is cold, and what it bears is told.
 */
static inline bool cold_limited(const struct target *t, float per_s,
				uint64_t now_ns)
{
	return per_s > 0 && now_ns < t->cold_until_ns;
}

void cold_begin(struct target *t, uint64_t until_ns, uint64_t now_ns);
void cold_refill(struct target *t, bool seat, float per_s, uint64_t now_ns);

/**
 * cold_full() - whether no new flow may go to a target, since it is cold
 * @t: target
 * @per_s: rate of its service; 0 when none is told
 * @now_ns: time
 *
 * Return: whether.
 */
static inline bool cold_full(const struct target *t, float per_s,
			     uint64_t now_ns)
{
	return cold_limited(t, per_s, now_ns) &&
	       (!t->cold_seat || t->cold_credit < COLD_CREDIT_MAX);
}

void cold_opened(struct target *t, float per_s, uint64_t now_ns);

#endif
