#include "target.h"

#define COLD_FACTOR 5

/**
 * behaviour_reset() - end all faults
 * @b: behaviour; the state of its random numbers is kept
 */
void behaviour_reset(struct behaviour *b)
{
	b->draining = false;
	b->silent = false;
	b->work_factor = 1;
	b->shed_percent = 0;
	b->fail_percent = 0;
	b->loss_percent = 0;
	b->cold_start_ns = 0;
	b->cold_deadline_ns = 0;
}

/**
 * behaviour_start_cold() - start a cold phase, in which work takes longer
 * @b: behaviour
 * @now_ns: monotonic time
 * @length_ns: duration of the phase
 */
void behaviour_start_cold(struct behaviour *b, uint64_t now_ns,
			  uint64_t length_ns)
{
	b->cold_start_ns = now_ns;
	b->cold_deadline_ns = now_ns + length_ns;
}

/**
 * behaviour_work_ns() - duration of work that starts now
 * @b: behaviour
 * @work_ns: duration without faults
 * @now_ns: monotonic time
 *
 * Return: @work_ns times @b->work_factor; in a cold phase, also times a factor
 * that falls linearly from COLD_FACTOR to 1.
 */
uint64_t behaviour_work_ns(const struct behaviour *b, uint64_t work_ns,
			   uint64_t now_ns)
{
	uint64_t base_ns = work_ns * b->work_factor;
	double left;

	if (now_ns >= b->cold_deadline_ns)
		return base_ns;
	left = (double)(b->cold_deadline_ns - now_ns) /
	       (double)(b->cold_deadline_ns - b->cold_start_ns);
	return (uint64_t)((double)base_ns * (1 + (COLD_FACTOR - 1) * left));
}

/**
 * behaviour_draw() - decide at random whether a fault affects a request
 * @b: behaviour; advances its random numbers unless @percent is 0
 * @percent: probability, 0 to 100
 *
 * Return: true with the given probability.
 */
bool behaviour_draw(struct behaviour *b, uint32_t percent)
{
	return percent && rng_next(&b->rng) % 100 < percent;
}
