/*
 * A place in the platform's history. Revisions alone do not order two facts:
 * a platform that came back from an older copy of itself gives them out again.
 */
#ifndef CB_POSITION_H
#define CB_POSITION_H

#include "types.h"

/**
 * struct position - a place in the platform's history
 * @epoch: grows by one each time the platform comes back from an older copy
 * @revision: revision within that epoch; 0 for nothing known
 */
struct position {
	uint64_t epoch;
	uint64_t revision;
};

/**
 * position_compare() - order of two places
 * @a: one
 * @b: the other
 *
 * Return: above 0 when @a is the later one, 0 when they are the same, else
 * below 0.
 */
static inline int position_compare(struct position a, struct position b)
{
	if (a.epoch != b.epoch)
		return a.epoch > b.epoch ? 1 : -1;
	return (a.revision > b.revision) - (a.revision < b.revision);
}

static inline bool position_after(struct position a, struct position b)
{
	return position_compare(a, b) > 0;
}

#endif
