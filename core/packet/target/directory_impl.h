/* Insides of the directory. */
#ifndef CB_DIRECTORY_IMPL_H
#define CB_DIRECTORY_IMPL_H

#include "directory.h"

/* Targets of one service, in the order they were learned. */
struct service {
	struct target **targets;
	uint32_t n;
	uint32_t capacity;
	struct service_cold cold;
};

struct directory {
	struct directory_conf conf;
	struct route_table *table;
	struct evacuations evacuations;
	struct target *slots[DIRECTORY_TARGETS_MAX];
	uint32_t n_slots;
	bool starts_told;
	bool any_cold;
	struct index *by_cookie;
	struct index *by_id;
	struct index *by_addr;
	struct service services[DIRECTORY_SERVICES_MAX];
	char *names[DIRECTORY_SERVICES_MAX];
	uint32_t n_names;
	struct index *by_name;
};

/* As directory_serving(): each opening packet asks it of every target. */
static inline bool target_serving(const struct directory *d,
				  const struct target *t)
{
	if (t->health == HEALTH_DEAD || t->successor_ns ||
	    evacuations_has(&d->evacuations, t->news.zone))
		return false;
	if (!t->news.started_ms && d->starts_told)
		return false;
	return t->stage == TARGET_SERVING ||
	       (t->stage == TARGET_ABSENT && t->presumed);
}

/* directory_cookie.c */
bool target_older(const struct target *a, const struct target *b);
void cookie_add(struct directory *d, struct target *t);
void cookie_remove(struct directory *d, struct target *t);
void cookie_renumber(struct directory *d, struct target *t, uint32_t slot);

#endif
