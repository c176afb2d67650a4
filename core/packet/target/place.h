/* Which target of a service a new flow gets. */
#ifndef CB_PLACE_H
#define CB_PLACE_H

#include "directory.h"
#include "policy.h"

/**
 * struct place_query - a new flow
 * @policy: figures to go by
 * @service: service it goes to
 * @zone: data centre of this VM
 * @kind: enum route_kind
 * @avoid: target that did not answer the flow's earlier SYN, or NULL
 * @feed_load: slots that one open feed takes on average
 * @now_ns: time
 */
struct place_query {
	const struct policy *policy;
	uint32_t service;
	uint32_t zone;
	uint8_t kind;
	const struct target *avoid;
	float feed_load;
	uint64_t now_ns;
};

struct target *place_target(const struct directory *d,
			    const struct place_query *q, struct rng *rng);

#endif
