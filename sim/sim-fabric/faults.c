#include "fabric.h"

/**
 * faults_clear() - end all faults but partitions
 * @f: faults; the state of the random numbers is kept
 */
void faults_clear(struct faults *f)
{
	f->drop_percent = 0;
	f->dup_percent = 0;
	f->reorder_percent = 0;
	f->reorder_ns = 0;
	f->delay_ns = 0;
}

static bool draw(struct faults *f, uint32_t percent)
{
	return percent && rng_next(&f->rng) % 100 < percent;
}

/**
 * faults_draw() - draw the faults of one datagram
 * @f: faults; advances the random numbers
 *
 * Return: copies to forward and their delays.
 */
struct datagram_faults faults_draw(struct faults *f)
{
	struct datagram_faults drawn = { 0 };
	uint32_t i;

	if (draw(f, f->drop_percent))
		return drawn;
	drawn.n_copies = draw(f, f->dup_percent) ? 2 : 1;
	for (i = 0; i < drawn.n_copies; i++) {
		drawn.delay_ns[i] = f->delay_ns;
		if (draw(f, f->reorder_percent))
			drawn.delay_ns[i] += f->reorder_ns;
	}
	return drawn;
}
