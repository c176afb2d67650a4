/*
 * Data centres that the operator has evacuated: their targets get no new flows.
 * Open flows stay at their targets.
 */
#ifndef CB_EVACUATIONS_H
#define CB_EVACUATIONS_H

#include "types.h"

/* Five times the number of data centres planned for in two years. */
#define EVACUATIONS_MAX 128

/**
 * struct evacuation - an evacuated data centre
 * @zone: hash of its name
 * @name: its name, NUL-terminated
 */
struct evacuation {
	uint32_t zone;
	char name[NAME_MAX_BYTES];
};

/**
 * struct evacuations - all evacuated data centres
 * @n: number of them
 * @all: the first @n are in use, in no order
 */
struct evacuations {
	uint32_t n;
	struct evacuation all[EVACUATIONS_MAX];
};

int evacuations_begin(struct evacuations *evacuations, const char *name);
int evacuations_end(struct evacuations *evacuations, const char *name);

/**
 * evacuations_has() - whether a data centre is evacuated
 * @evacuations: set of evacuated data centres
 * @zone: hash of its name
 *
 * Return: true when it is.
 */
static inline bool evacuations_has(const struct evacuations *evacuations,
				   uint32_t zone)
{
	for (uint32_t i = 0; i < evacuations->n; i++)
		if (evacuations->all[i].zone == zone)
			return true;
	return false;
}

#endif
