/*
 * Data centres whose targets get no new flows, since the operator has taken
 * their load away. Open flows stay where they are.
 */
#ifndef CB_EVACUATIONS_H
#define CB_EVACUATIONS_H

#include "types.h"

/* Some five times the data centres of the size in two years. */
#define EVACUATIONS_MAX 128

/**
 * struct evacuation - a data centre that is evacuated
 * @zone: hash of its name
 * @name: its name
 */
struct evacuation {
	uint32_t zone;
	char name[NAME_MAX_BYTES];
};

/**
 * struct evacuations - those in force
 * @n: how many
 * @all: those
 */
struct evacuations {
	uint32_t n;
	struct evacuation all[EVACUATIONS_MAX];
};

int evacuations_begin(struct evacuations *e, const char *name);
int evacuations_end(struct evacuations *e, const char *name);

/**
 * evacuations_has() - whether a data centre is evacuated
 * @e: evacuations
 * @zone: hash of its name
 *
 * Return: whether.
 */
static inline bool evacuations_has(const struct evacuations *e, uint32_t zone)
{
	for (uint32_t i = 0; i < e->n; i++)
		if (e->all[i].zone == zone)
			return true;
	return false;
}

#endif
