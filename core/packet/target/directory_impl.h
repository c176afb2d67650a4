/* Internals of the directory, shared by its source files. */
#ifndef CB_DIRECTORY_IMPL_H
#define CB_DIRECTORY_IMPL_H

#include "directory.h"

/**
 * struct directory_service - targets of one service
 * @targets: in the order in which they were learned, until the first removal
 * @n: number of @targets
 * @capacity: allocated length of @targets
 * @cold: rate limit of its cold targets, from the configuration in force
 */
struct directory_service {
	struct target **targets;
	uint32_t n;
	uint32_t capacity;
	struct service_cold cold;
};

/**
 * struct directory - targets, service names, routes and evacuations
 * @conf: settings
 * @routes: routes in force, owned; NULL before the first configuration
 * @evacuations: data centres that are evacuated
 * @targets: all targets, owned, without gaps
 * @n_targets: number of @targets
 * @start_times_published: most targets publish the start of their process
 * @has_cold_limits: a service in @services has a rate for cold targets
 * @by_cookie: index of the oldest target with a cookie, into @targets
 * @by_id: index of the target with an id, into @targets
 * @by_addr: index of the latest process at an address, into @targets
 * @services: targets by number of their service
 * @service_names: names by number, owned
 * @n_services: number of @service_names
 * @by_name: number of a service by its name
 */
struct directory {
	struct directory_conf conf;
	struct route_table *routes;
	struct evacuations evacuations;
	struct target *targets[DIRECTORY_TARGETS_MAX];
	uint32_t n_targets;
	bool start_times_published;
	bool has_cold_limits;
	struct index *by_cookie;
	struct index *by_id;
	struct index *by_addr;
	struct directory_service services[DIRECTORY_SERVICES_MAX];
	char *service_names[DIRECTORY_SERVICES_MAX];
	uint32_t n_services;
	struct index *by_name;
};

/*
 * Inline form of directory_is_serving(): the selection of a target calls it for
 * every target of the service on each SYN.
 */
static inline bool target_is_serving(const struct directory *d,
				     const struct target *t)
{
	if (t->health == HEALTH_DEAD || t->successor_ns ||
	    evacuations_has(&d->evacuations, t->advertised.zone))
		return false;
	if (!t->advertised.started_ms && d->start_times_published)
		return false;
	return t->stage == TARGET_SERVING ||
	       (t->stage == TARGET_ABSENT && t->presumed_alive);
}

/* directory_cookie.c */
bool target_is_older(const struct target *a, const struct target *b);
void cookie_add(struct directory *d, struct target *t);
void cookie_remove(struct directory *d, struct target *t);
void cookie_set_index(struct directory *d, struct target *t, uint32_t index);

#endif
