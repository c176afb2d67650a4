/*
 * Description of a deployment to emulate: data centres, services and the
 * requests of clients. world.h has the faults that happen to it.
 */
#ifndef SIM_PACKETS_SITE_H
#define SIM_PACKETS_SITE_H

#include "types.h"

#define ZONES_MAX 8
#define SERVICES_MAX 4
#define CLASSES_MAX 4
#define SITE_NAME_BYTES 32

/**
 * struct site_service - a service and its targets
 * @name: name in the configuration
 * @slots: requests that a target runs concurrently
 * @queue: requests that wait at a target; it refuses more
 * @connections: flows that a target keeps open; it ignores further SYNs
 * @cold_ns: time after the start of a target during which it is cold
 * @cold_percent: service time of a cold target, of that of a warm one
 * @cold_per_s: new flows a second that a cold target can take; 0 for no limit
 * @idle_close_ns: idle time after which a target closes a flow
 * @targets: number of targets, by data centre
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
 * struct site_spread - log-normal distribution of a quantity
 * @mean: mean, in the unit of the quantity
 * @sigma_percent: standard deviation of the logarithm, in hundredths
 * @max: upper bound of drawn values; 0 for none
 */
struct site_spread {
	uint64_t mean;
	uint32_t sigma_percent;
	uint64_t max;
};

/**
 * struct site_class - a class of requests, which has its own route
 * @name: name of the class
 * @service: index of the service that the route leads to
 * @kind: enum route_kind
 * @priority: 0 is served first
 * @work_ns: service time at a warm target
 * @request_bytes: size of a request
 * @answer_bytes: size of an answer
 * @objective_ns: latency objective
 * @deadline_ns: time after which the client gives up
 * @value: of a request that is answered within @objective_ns
 * @late_value: of a request that is answered later
 * @retries: attempts after the first
 * @long_flows: a client sends its requests on a flow that stays open; otherwise
 *	each request has a flow of its own
 * @other_percent: part of the flows that the route leads to @other_service
 * @other_service: index of a second service
 * @tail_percent: part of the requests that take @tail_factor times as long
 * @tail_factor: by how much the work of those is longer
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
	bool long_flows;
	uint32_t other_percent;
	uint32_t other_service;
	uint32_t tail_percent;
	uint32_t tail_factor;
};

/**
 * struct site_zone - a data centre
 * @name: name of the data centre
 * @entries: number of entries
 * @users: number of clients of each class whose flows stay open
 * @per_s: requests a second, by class
 * @amplitude: of the sine wave that the rates follow, as a part of the rate
 * @period_ns: period of that wave; 0 for constant rates
 * @phase: phase of the wave at the start, as a part of the period
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
 * @name: name in reports
 * @n_zones: number of @zones in use
 * @zones: data centres
 * @n_services: number of @services in use
 * @services: services; faults of targets apply to the first
 * @n_classes: number of @classes in use
 * @classes: classes of requests
 * @same_dc_delay_ns: one-way delay within a data centre
 * @other_dc_delay_ns: one-way delay between data centres
 * @client_delay_ns: one-way delay to and from clients
 * @link_bytes_per_s: outgoing rate of an entry's link; 0 for no limit
 * @link_is_known: the entries know that rate
 * @by_remainder: routers select an entry by the remainder of the flow's hash,
 *	so that most flows change entry when an entry starts or stops
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
 * struct site_size - size of the default deployment, per data centre
 * @zones: number of data centres
 * @entries: entries
 * @targets: targets of the first service
 * @users: number of clients with a flow that stays open
 * @feeds_per_s: requests a second on those flows
 * @reports_per_s: requests a second that open a flow each
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
void site_one_request_flows(struct site *s);
void site_long_flows(struct site *s);

#endif
