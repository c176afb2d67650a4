#include "window.h"

#include <math.h>

#define PERCENT 100.0f
/* Weight of one request in the moving average of refusals. */
#define REFUSED_WEIGHT (1 / 32.0f)

/**
 * window_is_open() - whether another request may be sent
 * @w: window of the service
 * @running: requests of this entry at the service's targets
 *
 * Return: true below the limit. Always true when @running is 0, so that the
 * window can grow again.
 */
bool window_is_open(const struct request_window *w, uint32_t running)
{
	return w->size <= 0 || !running || (float)running < w->size;
}

/**
 * window_record_refusal() - record that a target refused a request because its
 *	queue was full
 * @w: window of the service
 * @policy: limits and switches
 * @running: requests of this entry at the service's targets, this one included
 * @now_ns: current time
 *
 * Refusals in quick succession reduce the window once: their requests were
 * already sent when the first refusal arrived.
 */
void window_record_refusal(struct request_window *w,
			   const struct policy *policy, uint32_t running,
			   uint64_t now_ns)
{
	float base = (float)running;

	w->refused_ratio += (1 - w->refused_ratio) * REFUSED_WEIGHT;
	if (!policy->window_percent ||
	    w->refused_ratio * PERCENT <
		    (float)policy->window_refused_percent ||
	    now_ns < w->reduced_ns + policy->window_pause_ns)
		return;
	if (w->size > 0 && w->size < base)
		base = w->size;
	w->size = fmaxf(1, base * (float)policy->window_percent / PERCENT);
	w->reduced_ns = now_ns;
}

/**
 * window_record_answer() - record that a request was served
 * @w: window of the service
 * @running: requests of this entry at the service's targets, this one included
 *
 * A window that is fully used grows by one for each window of answers.
 */
void window_record_answer(struct request_window *w, uint32_t running)
{
	w->refused_ratio -= w->refused_ratio * REFUSED_WEIGHT;
	if (w->size > 0 && (float)running + 1 > w->size)
		w->size += 1 / w->size;
}
