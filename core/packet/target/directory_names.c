/* Names of services, the routes in force, data centres that are evacuated. */
#include "directory_impl.h"

#include "index.h"

#include <errno.h>
#include <string.h>

/**
 * directory_known() - number of a service's name
 * @d: directory
 * @name: name
 *
 * Return: its number; DIRECTORY_NAME_NONE when no configuration named it.
 */
uint32_t directory_known(const struct directory *d, const char *name)
{
	uint32_t i = index_get(d->by_name, hash_text(name));

	return i == INDEX_NONE ? DIRECTORY_NAME_NONE : i;
}

/**
 * directory_name() - give a service's name a number
 * @d: directory
 * @name: name that a configuration has; those of targets' entries are looked up
 *	only, or whoever writes entries could use up all numbers
 *
 * Return: its number, new when the name is; DIRECTORY_NAME_NONE when there
 * are too many names.
 */
uint32_t directory_name(struct directory *d, const char *name)
{
	uint32_t i = directory_known(d, name);

	if (i != DIRECTORY_NAME_NONE || d->n_names == DIRECTORY_SERVICES_MAX)
		return i;
	d->names[d->n_names] = strdup(name);
	index_put(d->by_name, hash_text(name), d->n_names);
	return d->n_names++;
}

uint32_t directory_names(const struct directory *d)
{
	return d->n_names;
}

const char *directory_name_text(const struct directory *d, uint32_t name)
{
	return name < d->n_names && d->names[name] ? d->names[name] : "";
}

/* What services bear after a start holds as the configuration has it. */
static void take_cold(struct directory *d, const struct route_table *t)
{
	d->any_cold = false;
	for (uint32_t i = 0; i < DIRECTORY_SERVICES_MAX; i++)
		d->services[i].cold = (struct service_cold){ .service = i };
	for (uint32_t i = 0; i < t->n_cold; i++) {
		const struct service_cold *c = &t->cold[i];

		if (c->service >= DIRECTORY_SERVICES_MAX)
			continue;
		d->services[c->service].cold = *c;
		d->any_cold |= c->flows_per_s > 0;
	}
}

/**
 * directory_cold() - what a service's targets bear after a start
 * @d: directory
 * @service: number of its name
 *
 * Return: as the configuration in force has it; no rate without.
 */
struct service_cold directory_cold(const struct directory *d, uint32_t service)
{
	return service < DIRECTORY_SERVICES_MAX
		       ? d->services[service].cold
		       : (struct service_cold){ .service = service };
}

/**
 * directory_any_cold() - whether any service tells a rate for cold targets
 * @d: directory
 *
 * Return: whether.
 */
bool directory_any_cold(const struct directory *d)
{
	return d->any_cold;
}

/**
 * directory_routes() - put a configuration in force
 * @d: directory
 * @take: table; taken in any case
 * @now_ns: time
 *
 * Return: 0; -EALREADY when a version as high is in force; -ENOMEM.
 */
int directory_routes(struct directory *d, struct route_table *take,
		     uint64_t now_ns)
{
	int err;

	if (d->table && take->version <= d->table->version) {
		route_table_free(take);
		return -EALREADY;
	}
	err = route_table_index(take);
	if (err) {
		route_table_free(take);
		return err;
	}
	route_table_inherit(take, d->table, now_ns, d->conf.flow_lifetime_ns);
	route_table_free(d->table);
	take_cold(d, take);
	d->table = take;
	return 0;
}

const struct route_table *directory_table(const struct directory *d)
{
	return d->table;
}

/**
 * directory_evacuate() - the targets of a data centre get no new flows, or get
 *	them again
 * @d: directory
 * @data_centre: its name
 * @on: which
 *
 * Return: 0, -EALREADY when it was so, or a negative error of
 * evacuations_begin().
 */
int directory_evacuate(struct directory *d, const char *data_centre, bool on)
{
	return on ? evacuations_begin(&d->evacuations, data_centre)
		  : evacuations_end(&d->evacuations, data_centre);
}

const struct evacuations *directory_evacuations(const struct directory *d)
{
	return &d->evacuations;
}

/**
 * directory_evacuated() - whether a target's data centre is evacuated
 * @d: directory
 * @t: target
 *
 * Return: whether.
 */
bool directory_evacuated(const struct directory *d, const struct target *t)
{
	return evacuations_has(&d->evacuations, t->news.zone);
}
