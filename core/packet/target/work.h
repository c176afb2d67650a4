/*
 * Service times of requests, and how many requests a target may have at a time
 * so that the last of them still meets its latency objective.
 */
#ifndef CB_WORK_H
#define CB_WORK_H

#include "policy.h"
#include "route_table.h"

/**
 * struct mean_time - moving average of a duration
 * @mean_ns: mean; 0 before the first sample
 * @n: number of samples, up to the length of the average
 */
struct mean_time {
	uint64_t mean_ns;
	uint32_t n;
};

/**
 * struct service_work - service times of one service's requests
 * @by_kind: by enum route_kind
 * @all: over all kinds, in the mix in which they arrive
 */
struct service_work {
	struct mean_time by_kind[ROUTE_KINDS];
	struct mean_time all;
};

/**
 * struct work_query - a request that may be sent to a target
 * @kind: enum route_kind
 * @slots: requests that the target runs concurrently
 * @objective_ns: latency objective of the request
 * @remaining_ns: rest of @objective_ns; negative when it has been missed
 * @slowness: time that the target needs for a request, relative to the mean of
 *	its service
 */
struct work_query {
	uint8_t kind;
	uint16_t slots;
	int64_t objective_ns;
	int64_t remaining_ns;
	double slowness;
};

void work_record(struct service_work *w, uint8_t kind, uint64_t service_ns);
bool work_meets_objective(const struct service_work *w, uint8_t kind,
			  int64_t remaining_ns);
float work_request_limit(const struct service_work *w,
			 const struct policy *policy,
			 const struct work_query *q);

#endif
