/* Load and failures of targets, as entries advertise them in heartbeats. */
#ifndef CB_LOADS_H
#define CB_LOADS_H

#include "directory.h"
#include "long_flows.h"
#include "peer_set.h"
#include "policy.h"

void loads_fill_hello(const struct directory *directory, struct hello *hello);
void loads_fill_hello_failing(const struct directory *directory,
			      struct hello *hello, const struct policy *policy,
			      uint64_t now_ns);
void loads_sum_peers(struct directory *directory, const struct peer_set *peers,
		     uint64_t now_ns);
struct long_flow_peers loads_peers_of_zone(const struct peer_set *peers,
					   uint32_t zone, uint64_t now_ns);

#endif
