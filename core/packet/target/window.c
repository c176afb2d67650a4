#include "window.h"

#include <math.h>

#define PERCENT 100.0f
/* Weight of one request in the part that was refused. */
#define REFUSED_WEIGHT (1 / 32.0f)

/**
 * window_open() - whether another request may go
 * @w: service's window
 * @running: requests of this entry at its targets
 *
 * Return: whether; always with none there, so that the window is tried again.
 */
bool window_open(const struct window *w, uint32_t running)
{
	return w->size <= 0 || !running || (float)running < w->size;
}

/**
 * window_refused() - a target had no room for a request
 * @w: service's window
 * @policy: figures to go by
 * @running: requests of this entry at the service's targets, this one too
 * @now_ns: time
 *
 * Refusals that come together are one sign: the requests were on their way
 * before the first was heard of.
 */
void window_refused(struct window *w, const struct policy *policy,
		    uint32_t running, uint64_t now_ns)
{
	float most = (float)running;

	w->refused += (1 - w->refused) * REFUSED_WEIGHT;
	if (!policy->window_percent ||
	    w->refused * PERCENT < (float)policy->window_refused_percent ||
	    now_ns < w->cut_ns + policy->window_pause_ns)
		return;
	if (w->size > 0 && w->size < most)
		most = w->size;
	w->size = fmaxf(1, most * (float)policy->window_percent / PERCENT);
	w->cut_ns = now_ns;
}

/**
 * window_answered() - a request was worked off
 * @w: service's window
 * @running: requests of this entry at the service's targets, this one too
 *
 * A window that is in use grows by one with each of its requests answered.
 */
void window_answered(struct window *w, uint32_t running)
{
	w->refused -= w->refused * REFUSED_WEIGHT;
	if (w->size > 0 && (float)running + 1 > w->size)
		w->size += 1 / w->size;
}
