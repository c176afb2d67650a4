/* Service names, routes in force and evacuated data centres of a directory. */
#include "directory_impl.h"

#include "index.h"

#include <errno.h>
#include <string.h>

/**
 * directory_find_service() - look up the number of a service
 * @d: directory
 * @name: name of the service
 *
 * Return: number; DIRECTORY_SERVICE_NONE when directory_add_service() was never
 * called with the name.
 */
uint32_t directory_find_service(const struct directory *d, const char *name)
{
	uint32_t i = index_get(d->by_name, hash_text(name));

	return i == INDEX_NONE ? DIRECTORY_SERVICE_NONE : i;
}

/**
 * directory_add_service() - look up the number of a service, add it if missing
 * @d: directory
 * @name: name of the service, copied; from a configuration. Names in the
 *	records of targets are only looked up: otherwise whoever can write
 *	records could use up all numbers.
 *
 * Return: number; DIRECTORY_SERVICE_NONE when DIRECTORY_SERVICES_MAX names are
 * known.
 */
uint32_t directory_add_service(struct directory *d, const char *name)
{
	uint32_t i = directory_find_service(d, name);

	if (i != DIRECTORY_SERVICE_NONE ||
	    d->n_services == DIRECTORY_SERVICES_MAX)
		return i;
	d->service_names[d->n_services] = strdup(name);
	index_put(d->by_name, hash_text(name), d->n_services);
	return d->n_services++;
}

uint32_t directory_service_count(const struct directory *d)
{
	return d->n_services;
}

/**
 * directory_service_name() - name of a service
 * @d: directory
 * @service: number of the service
 *
 * Return: name, owned by the directory; "" for an unknown number.
 */
const char *directory_service_name(const struct directory *d, uint32_t service)
{
	return service < d->n_services && d->service_names[service]
		       ? d->service_names[service]
		       : "";
}

/* Replaces the rate limits of all services by those of a configuration. */
static void set_cold_limits(struct directory *d, const struct route_table *t)
{
	d->has_cold_limits = false;
	for (uint32_t i = 0; i < DIRECTORY_SERVICES_MAX; i++)
		d->services[i].cold = (struct service_cold){ .service = i };
	for (uint32_t i = 0; i < t->n_cold; i++) {
		const struct service_cold *c = &t->cold[i];

		if (c->service >= DIRECTORY_SERVICES_MAX)
			continue;
		d->services[c->service].cold = *c;
		d->has_cold_limits |= c->flows_per_s > 0;
	}
}

/**
 * directory_cold_limits() - rate limit of a service's cold targets
 * @d: directory
 * @service: number of the service
 *
 * Return: limit in the configuration in force; a rate of 0 when there is none.
 */
struct service_cold directory_cold_limits(const struct directory *d,
					  uint32_t service)
{
	return service < DIRECTORY_SERVICES_MAX
		       ? d->services[service].cold
		       : (struct service_cold){ .service = service };
}

/**
 * directory_has_cold_limits() - whether a service limits flows to cold targets
 * @d: directory
 *
 * Return: true when the configuration in force has a rate for any service.
 */
bool directory_has_cold_limits(const struct directory *d)
{
	return d->has_cold_limits;
}

/**
 * directory_set_routes() - put a configuration in force
 * @d: directory
 * @routes: configuration; the directory takes ownership, also on error
 * @now_ns: current time
 *
 * Return: 0; -EALREADY when the same or a later version is in force; -ENOMEM.
 */
int directory_set_routes(struct directory *d, struct route_table *routes,
			 uint64_t now_ns)
{
	int err;

	if (d->routes && routes->version <= d->routes->version) {
		route_table_free(routes);
		return -EALREADY;
	}
	err = route_table_index(routes);
	if (err) {
		route_table_free(routes);
		return err;
	}
	route_table_inherit(routes, d->routes, now_ns,
			    d->conf.flow_lifetime_ns);
	route_table_free(d->routes);
	set_cold_limits(d, routes);
	d->routes = routes;
	return 0;
}

/**
 * directory_route_table() - routes in force
 * @d: directory
 *
 * Return: routes, owned by the directory and valid until the next call of
 * directory_set_routes(); NULL before the first configuration.
 */
const struct route_table *directory_route_table(const struct directory *d)
{
	return d->routes;
}

/**
 * directory_set_evacuated() - begin or end the evacuation of a data centre
 * @d: directory
 * @data_centre: name of the data centre
 * @evacuated: true to give its targets no new flows, false to give them flows
 *	again
 *
 * Return: 0, -EALREADY when nothing changes, or a negative error of
 * evacuations_begin().
 */
int directory_set_evacuated(struct directory *d, const char *data_centre,
			    bool evacuated)
{
	return evacuated ? evacuations_begin(&d->evacuations, data_centre)
			 : evacuations_end(&d->evacuations, data_centre);
}

const struct evacuations *directory_evacuations(const struct directory *d)
{
	return &d->evacuations;
}

/**
 * directory_is_evacuated() - whether the data centre of a target is evacuated
 * @d: directory
 * @t: target
 *
 * Return: true while it is.
 */
bool directory_is_evacuated(const struct directory *d, const struct target *t)
{
	return evacuations_has(&d->evacuations, t->advertised.zone);
}
