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
bool cold_limited(const struct target *t, float per_s, uint64_t now_ns);
void cold_begin(struct target *t, uint64_t until_ns, uint64_t now_ns);
void cold_refill(struct target *t, bool seat, float per_s, uint64_t now_ns);
bool cold_full(const struct target *t, float per_s, uint64_t now_ns);
void cold_opened(struct target *t, float per_s, uint64_t now_ns);

#endif
