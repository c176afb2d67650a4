#include "cold.h"

#include <math.h>

/* More make no difference: each opens one flow at once, whatever its rate. */
#define SEATS_MAX 3

/**
 * cold_share() - deal what a cold target bears among seats
 * @per_s: rate of its service
 * @bound: what it may get in any second
 *
 * A seat opens at most its rate and one more in a second. The bound holds with
 * one seat too many: entries that know of different others, since some have just
 * started, may take one more for theirs.
 *
 * Return: share; no seats when one flow would be too many.
 */
struct cold_share cold_share(float per_s, const struct cold_bound *bound)
{
	float most = per_s * bound->overrun + bound->slack;
	struct cold_share s = { 0 };

	if (most < COLD_CREDIT_MAX)
		return s;
	s.seats = SEATS_MAX;
	while (s.seats > 1 && (float)(s.seats + 1) * COLD_CREDIT_MAX > most)
		s.seats--;
	s.per_s = most / (float)(s.seats + 1) - COLD_CREDIT_MAX;
	s.per_s = fminf(s.per_s, per_s / (float)s.seats);
	if (s.per_s < 0)
		s.per_s = 0;
	return s;
}

/**
 * cold_begin() - a target has started
 * @t: target
 * @until_ns: it is cold until then
 * @now_ns: time
 *
 * A seat opens one flow there at once, each time that it starts.
 */
void cold_begin(struct target *t, uint64_t until_ns, uint64_t now_ns)
{
	if (now_ns >= t->cold_until_ns) {
		t->cold_credit = COLD_CREDIT_MAX;
		t->cold_seat = false;
		t->credit_ns = now_ns;
	}
	t->cold_until_ns = until_ns;
}

/**
 * cold_refill() - let time pass for a cold target
 * @t: target
 * @seat: this entry may open flows there
 * @per_s: so many a second
 * @now_ns: time
 */
void cold_refill(struct target *t, bool seat, float per_s, uint64_t now_ns)
{
	float passed_s = (float)(now_ns - t->credit_ns) / (float)NS_PER_S;

	if (t->cold_seat)
		t->cold_credit = fminf(COLD_CREDIT_MAX,
				       t->cold_credit + passed_s * per_s);
	t->cold_seat = seat;
	t->credit_ns = now_ns;
}

/**
 * cold_opened() - a new flow goes to a target
 * @t: target
 * @per_s: rate of its service; 0 when none is told
 * @now_ns: time
 */
void cold_opened(struct target *t, float per_s, uint64_t now_ns)
{
	if (cold_limited(t, per_s, now_ns))
		t->cold_credit -= COLD_CREDIT_MAX;
}
