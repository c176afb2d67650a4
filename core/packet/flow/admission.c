#include "admission.h"

#include <math.h>

/* Refusals end when the predicted time is below this part of the timeout, so
 * that they don't begin and end with each answer. */
#define RESUME_PERCENT 80
#define PERCENT 100
/* Longer than any timeout. */
#define WAIT_MAX_S 3600.0
/* Time constant of the rate of answers: long enough for some answers at a small
 * entry, short against the timeouts of seconds. */
#define RATE_WINDOW_NS (500 * NS_PER_MS)

/**
 * admission_predicted_wait_ns() - time until an opening that is held now would
 *	be admitted
 * @q: opening
 *
 * Return: nanoseconds, WAIT_MAX_S at most; 0 when the rate is unknown.
 */
uint64_t admission_predicted_wait_ns(const struct admission_query *q)
{
	double wait_s;

	if (q->answers_per_s <= 0)
		return 0;
	wait_s = (double)q->ahead / (double)q->answers_per_s;
	return (uint64_t)(fmin(wait_s, WAIT_MAX_S) * NS_PER_S);
}

/**
 * admission_decide() - decide on an opening
 * @q: opening
 *
 * Return: enum admission. An opening with room is never refused.
 */
enum admission admission_decide(const struct admission_query *q)
{
	uint64_t time_ns = admission_predicted_wait_ns(q) + q->work_ns;
	uint64_t limit_ns = q->timeout_ns < ADMISSION_HOLD_MAX_NS
				    ? q->timeout_ns
				    : ADMISSION_HOLD_MAX_NS;

	if (q->has_room)
		return ADMISSION_ADMIT;
	if (q->refusing)
		limit_ns = limit_ns * RESUME_PERCENT / PERCENT;
	return time_ns > limit_ns ? ADMISSION_REFUSE : ADMISSION_HOLD;
}

/**
 * answer_rate_update() - add the answers counted since the last update to the
 *	moving average
 * @rate: rate
 * @now_ns: current time
 */
void answer_rate_update(struct answer_rate *rate, uint64_t now_ns)
{
	uint64_t since_ns = now_ns - rate->updated_ns;
	float weight = (float)since_ns / (float)RATE_WINDOW_NS;
	float per_s;

	if (!since_ns)
		return;
	per_s = (float)rate->count * (float)NS_PER_S / (float)since_ns;
	if (rate->updated_ns)
		rate->per_s +=
			(per_s - rate->per_s) * (weight < 1 ? weight : 1);
	rate->count = 0;
	rate->updated_ns = now_ns;
}
