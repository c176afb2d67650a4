/* Routes of a published configuration: to which services the flows of a VIP
 * go. */
#ifndef CB_ROUTE_TABLE_H
#define CB_ROUTE_TABLE_H

#include "types.h"

#define ROUTE_SHARES_MAX 8
#define ROUTES_MAX 65536

/**
 * enum route_kind - what clients send on the flows of a route
 * @ROUTE_FEED: many idempotent requests on a long flow
 * @ROUTE_REPORT: one non-idempotent request per flow
 * @ROUTE_UPLOAD: one large non-idempotent request per flow
 * @ROUTE_DOWNLOAD: one idempotent request per flow, with a large answer
 * @ROUTE_KINDS: number of kinds
 *
 * A kind tells whether requests may be repeated. The uses of flows that are
 * given here hold where struct route_table's load_control is off.
 */
enum route_kind {
	ROUTE_FEED,
	ROUTE_REPORT,
	ROUTE_UPLOAD,
	ROUTE_DOWNLOAD,
	ROUTE_KINDS
};

/**
 * struct route_share - a service and its part of the new flows of a route
 * @service: number of the service in the directory
 * @weight: part, relative to the weights of the other services
 */
struct route_share {
	uint32_t service;
	uint32_t weight;
};

/**
 * struct route - route of one VIP
 * @vip: address and port that clients send to
 * @kind: enum route_kind
 * @priority: 0 is served first
 * @timeout_ms: longest time that a request may take
 * @objective_ms: latency objective of requests; 0 for none
 * @n_shares: number of services that new flows go to
 * @shares: those services
 * @n_past: number of services that only flows opened earlier may still be at
 * @past: numbers of those services in the directory
 * @past_until_ns: latest time at which such a flow may still be open
 */
struct route {
	uint64_t vip;
	uint8_t kind;
	uint8_t priority;
	uint32_t timeout_ms;
	uint32_t objective_ms;
	uint32_t n_shares;
	struct route_share shares[ROUTE_SHARES_MAX];
	uint32_t n_past;
	uint32_t past[ROUTE_SHARES_MAX];
	uint64_t past_until_ns[ROUTE_SHARES_MAX];
};

/**
 * struct service_cold - limits of a service's targets after their start
 * @service: number of the service in the directory
 * @cold_ms: time for which a target is cold
 * @flows_per_s: new flows a second that a cold target can take from all entries
 *	together; 0 when no rate is published
 */
struct service_cold {
	uint32_t service;
	uint32_t cold_ms;
	float flows_per_s;
};

/**
 * struct route_table - a configuration
 * @version: version that the operator gave it
 * @idle_timeout_ns: a flow that is idle for longer may be dropped
 * @load_control: the configuration calls for the decisions that are described
 *	in docs/design/load-parts.md
 * @routes: routes, owned
 * @n_routes: number of routes
 * @cold: services with their limits after a start, owned
 * @n_cold: number of those
 * @by_vip: index of @routes, owned, made by route_table_index()
 */
struct route_table {
	uint64_t version;
	uint64_t idle_timeout_ns;
	bool load_control;
	struct route *routes;
	uint32_t n_routes;
	struct service_cold *cold;
	uint32_t n_cold;
	struct index *by_vip;
};

int route_table_index(struct route_table *table);
void route_table_inherit(struct route_table *table,
			 const struct route_table *old, uint64_t now_ns,
			 uint64_t flow_lifetime_ns);
struct route *route_table_find(const struct route_table *table, uint64_t vip);
bool route_allows(const struct route *route, uint32_t service, uint64_t now_ns);
uint32_t route_select_service(const struct route *route, uint64_t hash);
bool route_kind_is_idempotent(uint8_t kind);
void route_table_free(struct route_table *table);

#endif
