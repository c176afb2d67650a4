/* Functions shared by the files that implement the cluster. */
#ifndef CB_CLUSTER_IMPL_H
#define CB_CLUSTER_IMPL_H

#include "cluster.h"

enum packet_kind { FROM_CALLER, FROM_TARGET, FROM_PEER, TO_TARGET };

struct packet {
	uint8_t kind;
	uint32_t node;
	uint64_t target;
	struct flow_key key;
	uint32_t size_bytes;
	uint8_t data[];
};

void cluster_queue_packet(struct cluster *p, uint8_t kind, uint32_t node,
			  uint64_t target, const struct flow_key *key,
			  const uint8_t *data, int32_t size_bytes);
void cluster_deliver_all(struct cluster *p);
void deliver_to_target(struct cluster *p, const struct packet *k);

#endif
