/*
 * How long a service's requests take at its targets, and how many a target may
 * be given at once so that the last of them is still answered in time.
 */
#ifndef CB_WORK_H
#define CB_WORK_H

#include "policy.h"
#include "route_table.h"

/**
 * struct mean_time - mean of durations
 * @mean_ns: mean; 0 before the first
 * @n: how many, up to the weight of the oldest
 */
struct mean_time {
	uint64_t mean_ns;
	uint32_t n;
};

/**
 * struct service_work - what requests of a service take
 * @kinds: by enum route_kind
 * @all: of all kinds, as they come
 */
struct service_work {
	struct mean_time kinds[ROUTE_KINDS];
	struct mean_time all;
};

/**
 * struct work_query - a request that is to go to a target
 * @kind: enum route_kind
 * @slots: requests that the target works on at a time
 * @aim_ns: target latency
 * @left_ns: what is left of it; negative when it is over
 */
struct work_query {
	uint8_t kind;
	uint16_t slots;
	int64_t aim_ns;
	int64_t left_ns;
};

void work_measured(struct service_work *w, uint8_t kind, uint64_t took_ns);
bool work_in_time(const struct service_work *w, uint8_t kind, int64_t left_ns);
float work_limit(const struct service_work *w, const struct policy *policy,
		 const struct work_query *q);

#endif
