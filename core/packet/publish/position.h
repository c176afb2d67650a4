/*
 * A position in the history of the platform. Revisions alone do not order two
 * versions: a platform that is restored from an older copy reuses revisions.
 */
#ifndef CB_POSITION_H
#define CB_POSITION_H

#include "types.h"

/**
 * struct position - a position in the history of the platform
 * @epoch: incremented each time the platform is restored from an older copy
 * @revision: revision within @epoch; 0 for none
 */
struct position {
	uint64_t epoch;
	uint64_t revision;
};

/**
 * position_compare() - order two positions
 * @a: first position
 * @b: second position
 *
 * Return: positive when @a is later than @b, 0 when they are equal, negative
 * when @a is earlier.
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
