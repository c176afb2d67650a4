#include "route_table.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>

/**
 * route_table_index() - build the index of a table by VIP
 * @table: table with its routes filled in; of two routes with the same VIP the
 *	first is used
 *
 * Return: 0, or -ENOMEM.
 */
int route_table_index(struct route_table *table)
{
	table->by_vip = index_new(table->n_routes + 1);
	if (!table->by_vip)
		return -ENOMEM;
	for (uint32_t i = 0; i < table->n_routes; i++)
		if (index_get(table->by_vip, table->routes[i].vip) ==
		    INDEX_NONE)
			index_put(table->by_vip, table->routes[i].vip, i);
	return 0;
}

/**
 * route_table_find() - find the route of a VIP
 * @table: indexed table, or NULL
 * @vip: address and port
 *
 * Return: route, owned by @table; NULL when there is none.
 */
struct route *route_table_find(const struct route_table *table, uint64_t vip)
{
	uint32_t i = table ? index_get(table->by_vip, vip) : INDEX_NONE;

	return i == INDEX_NONE ? NULL : &table->routes[i];
}

static bool has_share(const struct route *route, uint32_t service)
{
	for (uint32_t i = 0; i < route->n_shares; i++)
		if (route->shares[i].service == service)
			return true;
	return false;
}

static void add_past(struct route *route, uint32_t service, uint64_t until_ns)
{
	if (has_share(route, service) || route->n_past == ROUTE_SHARES_MAX)
		return;
	route->past[route->n_past] = service;
	route->past_until_ns[route->n_past++] = until_ns;
}

/**
 * route_table_inherit() - take over the services that open flows may still be
 *	at
 * @table: new table, indexed
 * @old: table in force before it, or NULL
 * @now_ns: current time
 * @flow_lifetime_ns: longest lifetime of a flow
 *
 * A changed route leaves its open flows at their targets. If the new table did
 * not know the earlier services, packets of these flows would be dropped as
 * misdirected, and feeds would stall at each change.
 */
void route_table_inherit(struct route_table *table,
			 const struct route_table *old, uint64_t now_ns,
			 uint64_t flow_lifetime_ns)
{
	for (uint32_t i = 0; i < table->n_routes; i++) {
		struct route *route = &table->routes[i];
		const struct route *before = route_table_find(old, route->vip);

		if (!before)
			continue;
		for (uint32_t j = 0; j < before->n_shares; j++)
			add_past(route, before->shares[j].service,
				 now_ns + flow_lifetime_ns);
		for (uint32_t j = 0; j < before->n_past; j++)
			if (before->past_until_ns[j] > now_ns)
				add_past(route, before->past[j],
					 before->past_until_ns[j]);
	}
}

/**
 * route_allows() - whether a flow of a route may be at a service
 * @route: route
 * @service: number of the service in the directory
 * @now_ns: current time
 *
 * Return: true when new flows go there, or flows opened earlier may still be
 * there.
 */
bool route_allows(const struct route *route, uint32_t service, uint64_t now_ns)
{
	if (has_share(route, service))
		return true;
	for (uint32_t i = 0; i < route->n_past; i++)
		if (route->past[i] == service &&
		    route->past_until_ns[i] > now_ns)
			return true;
	return false;
}

/**
 * route_select_service() - select the service of a new flow by the weights
 * @route: route with at least one share
 * @hash: hash of the flow, so that copies of its SYN go to the same service
 *
 * Return: number of the service in the directory.
 */
uint32_t route_select_service(const struct route *route, uint64_t hash)
{
	uint64_t total = 0, at;

	for (uint32_t i = 0; i < route->n_shares; i++)
		total += route->shares[i].weight;
	at = total ? hash % total : 0;
	for (uint32_t i = 0; i < route->n_shares; i++) {
		if (at < route->shares[i].weight)
			return route->shares[i].service;
		at -= route->shares[i].weight;
	}
	return route->shares[0].service;
}

/**
 * route_kind_is_idempotent() - whether requests of a kind may be repeated
 * @kind: enum route_kind
 *
 * Return: true when a client sends a request again after any failure.
 */
bool route_kind_is_idempotent(uint8_t kind)
{
	return kind == ROUTE_FEED || kind == ROUTE_DOWNLOAD;
}

void route_table_free(struct route_table *table)
{
	if (!table)
		return;
	index_free(table->by_vip);
	free(table->routes);
	free(table->cold);
	free(table);
}
