/*
 * A deployment to emulate: data centres, services, what clients ask of them.
 * Figures only; what happens to it is in world.h.
 */
#ifndef SIM_PACKETS_SITE_H
#define SIM_PACKETS_SITE_H

#include "types.h"

#define ZONES_MAX 8
#define SERVICES_MAX 4
#define CLASSES_MAX 4
#define SITE_NAME_BYTES 32

/**
 * struct site_service - a service
 * @name: its name
 * @slots: requests that a target runs at once
 * @queue: requests that wait there; it refuses more
 * @connections: flows that a target holds; it does not answer more
 * @cold_ns: a target is slow for so long after its start
 * @cold_percent: it takes so much longer then
 * @cold_per_s: new flows a second that it bears then; 0 for any
 * @idle_close_ns: a target closes a flow that was idle for so long
 * @targets: how many, by data centre
 */
struct site_service {
	char name[SITE_NAME_BYTES];
	uint32_t slots;
	uint32_t queue;
	uint32_t connections;
	uint64_t cold_ns;
	uint32_t cold_percent;
	double cold_per_s;
	uint64_t idle_close_ns;
	uint32_t targets[ZONES_MAX];
};

/**
 * struct site_spread - a quantity with a log-normal distribution
 * @mean: its mean
 * @sigma_percent: standard deviation of its logarithm, in hundredths
 * @most: larger ones are cut to this; 0 for none
 */
struct site_spread {
	uint64_t mean;
	uint32_t sigma_percent;
	uint64_t max;
};

/**
 * struct site_class - a kind of request, with a route of its own
 * @name: its name
 * @service: number of the service that it goes to
 * @kind: enum route_kind
 * @priority: 0 is served first
 * @work_ns: time that a target works on one
 * @request_bytes: sent by the client
 * @answer_bytes: sent by the target
 * @aim_ns: target latency
 * @deadline_ns: the client gives up
 * @worth: of one that is answered within @aim_ns
 * @late_worth: of one that is answered later
 * @retries: tries after the first
 */
struct site_class {
	char name[SITE_NAME_BYTES];
	uint32_t service;
	uint8_t kind;
	uint8_t priority;
	struct site_spread work_ns;
	struct site_spread request_bytes;
	struct site_spread answer_bytes;
	uint64_t objective_ns;
	uint64_t deadline_ns;
	double value;
	double late_value;
	uint32_t retries;
};

/**
 * struct site_zone - a data centre
 * @name: its name
 * @entries: entries in it
 * @users: of its clients, each keeps at most one long flow
 * @per_s: requests a second, by class
 * @swing: part by which that rate rises and falls
 * @wave_ns: period of it
 * @phase: part of the period that has passed at the start
 */
struct site_zone {
	char name[SITE_NAME_BYTES];
	uint32_t entries;
	uint32_t users;
	double per_s[CLASSES_MAX];
	double amplitude;
	uint64_t period_ns;
	double phase;
};

/**
 * struct site - a deployment
 * @name: its name
 * @n_zones: how many of @zones
 * @zones: data centres
 * @n_services: how many of @services
 * @services: services; the first is the one that faults strike
 * @n_classes: how many of @classes
 * @classes: kinds of request
 * @near_ns: one way within a data centre
 * @far_ns: one way between two
 * @client_ns: one way to a client
 * @link_bytes_per_s: what an entry's link carries on the way out; 0 for all
 * @link_told: the entries know it
 * @mod: routers place flows by remainder: nearly all move when an entry comes
 *	or goes
 */
struct site {
	char name[SITE_NAME_BYTES];
	uint32_t n_zones;
	struct site_zone zones[ZONES_MAX];
	uint32_t n_services;
	struct site_service services[SERVICES_MAX];
	uint32_t n_classes;
	struct site_class classes[CLASSES_MAX];
	uint64_t same_dc_delay_ns;
	uint64_t other_dc_delay_ns;
	uint64_t client_delay_ns;
	uint64_t link_bytes_per_s;
	bool link_is_known;
	bool by_remainder;
};

/**
 * struct site_size - how large a plain deployment is, in each data centre
 * @zones: data centres
 * @entries: entries
 * @targets: targets of the first service
 * @users: clients with a long flow
 * @feeds_per_s: requests on those flows
 * @reports_per_s: requests with a flow of their own
 */
struct site_size {
	uint32_t zones;
	uint32_t entries;
	uint32_t targets;
	uint32_t users;
	double feeds_per_s;
	double reports_per_s;
};

void site_default(struct site *s, const struct site_size *size);

#endif
