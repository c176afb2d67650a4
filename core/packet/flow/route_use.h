/*
 * How clients use the flows of each route, as observed at this entry: whether
 * they send more than one request on a flow, and for which part of the time.
 * The kind of a route doesn't tell: there are safe requests with one request a
 * flow, and unsafe ones on long flows.
 */
#ifndef CB_ROUTE_USE_H
#define CB_ROUTE_USE_H

#include "types.h"

/* Routes beyond these are used as their kinds say. */
#define ROUTE_USE_MAX 4096
#define ROUTE_USE_NONE UINT32_MAX
/* Flows that have to be observed before the observations overrule the kind. Of
 * fewer, some targets that end at once may have closed most. */
#define ROUTE_USE_FLOWS_MIN 16
/* Until flows are observed: one request a second that takes 50 ms. */
#define ROUTE_USE_LOAD_INITIAL 0.05f

struct route_use;

struct route_use *route_use_new(void);
void route_use_free(struct route_use *use);
uint32_t route_use_slot(struct route_use *use, uint64_t vip, uint8_t kind);
void route_use_count_flow(struct route_use *use, uint32_t slot, bool open);
void route_use_count_busy(struct route_use *use, uint32_t slot, bool busy);
void route_use_request(struct route_use *use, uint32_t slot, uint32_t number);
void route_use_end(struct route_use *use, uint32_t slot, uint32_t requests);
void route_use_sample(struct route_use *use, uint64_t now_ns);
bool route_use_is_long(const struct route_use *use, uint64_t vip, uint8_t kind);
float route_use_requests_per_flow(const struct route_use *use, uint64_t vip);
float route_use_flow_load(const struct route_use *use, uint64_t vip);

#endif
