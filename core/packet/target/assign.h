/* Selection of the target of a new flow. */
#ifndef CB_ASSIGN_H
#define CB_ASSIGN_H

#include "directory.h"
#include "policy.h"

/**
 * struct assign_query - a new flow
 * @policy: limits and switches
 * @service: number of the service that it goes to
 * @zone: data centre of this VM, as in struct target_advertisement
 * @kind: enum route_kind
 * @load_control: the decisions of docs/design/load-parts.md apply
 * @is_long: the flow will carry many requests
 * @avoid: target that did not answer an earlier SYN of the flow, or NULL
 * @of_all: compare all targets instead of policy's choices; those with a free
 *	slot go before the others
 * @feed_load: mean number of slots that an open feed occupies
 * @unseen_flows: long flows that peers opened to the service since the figures
 *	that they advertised
 * @now_ns: current time
 */
struct assign_query {
	const struct policy *policy;
	uint32_t service;
	uint32_t zone;
	uint8_t kind;
	bool load_control;
	bool is_long;
	const struct target *avoid;
	bool of_all;
	float feed_load;
	float unseen_flows;
	uint64_t now_ns;
};

struct target *assign_select(const struct directory *d,
			     const struct assign_query *q, struct rng *rng);
void assign_record(const struct directory *d, struct target *target,
		   uint64_t now_ns);
struct target *assign_target(const struct directory *d,
			     const struct assign_query *q, struct rng *rng);

#endif
