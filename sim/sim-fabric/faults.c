#include "fabric.h"

/**
 * faults_clear() - a fabric in good order
 * @f: faults, their random source is kept
 */
void faults_clear(struct faults *f)
{
	f->drop_percent = 0;
	f->dup_percent = 0;
	f->reorder_percent = 0;
	f->reorder_ns = 0;
	f->delay_ns = 0;
}

static bool hit(struct faults *f, uint32_t percent)
{
	return percent && rng_next(&f->rng) % 100 < percent;
}

/**
 * faults_draw() - decide about one datagram
 * @f: faults
 *
 * Return: its fate.
 */
struct fate faults_draw(struct faults *f)
{
	struct fate fate = { 0 };
	uint32_t i;

	if (hit(f, f->drop_percent))
		return fate;
	fate.n_copies = hit(f, f->dup_percent) ? 2 : 1;
	for (i = 0; i < fate.n_copies; i++) {
		fate.delay_ns[i] = f->delay_ns;
		if (hit(f, f->reorder_percent))
			fate.delay_ns[i] += f->reorder_ns;
	}
	return fate;
}
