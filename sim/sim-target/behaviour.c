#include "target.h"

#define COLD_FACTOR 5

/**
 * behaviour_reset() - a target in good order
 * @b: behaviour, its random source is kept
 */
void behaviour_reset(struct behaviour *b)
{
	b->draining = false;
	b->silent = false;
	b->crawl = 1;
	b->shed_percent = 0;
	b->fail_percent = 0;
	b->lose_percent = 0;
	b->cold_start_ns = 0;
	b->cold_deadline_ns = 0;
}

/**
 * behaviour_cold() - begin a slow start
 * @b: behaviour
 * @now_ns: time
 * @length_ns: how long it lasts
 */
void behaviour_cold(struct behaviour *b, uint64_t now_ns, uint64_t length_ns)
{
	b->cold_start_ns = now_ns;
	b->cold_deadline_ns = now_ns + length_ns;
}

/**
 * behaviour_work_ns() - how long work takes when begun now
 * @b: behaviour
 * @work_ns: time it takes in good order
 * @now_ns: time
 *
 * Return: @work_ns times the crawl factor; a slow start begins at
 * COLD_FACTOR times that and falls evenly to once.
 */
uint64_t behaviour_work_ns(const struct behaviour *b, uint64_t work_ns,
			   uint64_t now_ns)
{
	uint64_t base_ns = work_ns * b->crawl;
	double left;

	if (now_ns >= b->cold_deadline_ns)
		return base_ns;
	left = (double)(b->cold_deadline_ns - now_ns) /
	       (double)(b->cold_deadline_ns - b->cold_start_ns);
	return (uint64_t)((double)base_ns * (1 + (COLD_FACTOR - 1) * left));
}

/**
 * behaviour_draw() - whether a share hits this request
 * @b: behaviour
 * @percent: share, 0 to 100
 *
 * Return: true in @percent of 100 calls.
 */
bool behaviour_draw(struct behaviour *b, uint32_t percent)
{
	return percent && rng_next(&b->rng) % 100 < percent;
}
