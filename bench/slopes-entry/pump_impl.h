/* What the parts of the pump share. */
#ifndef CB_PUMP_IMPL_H
#define CB_PUMP_IMPL_H

#include "pump.h"

enum packet_kind { FROM_CALLER, FROM_TARGET, FROM_PEER, TO_TARGET };

struct packet {
	uint8_t kind;
	uint32_t node;
	uint64_t target;
	struct flow_key key;
	uint32_t size_bytes;
	uint8_t data[];
};

void pump_push(struct pump *p, uint8_t kind, uint32_t node, uint64_t target,
	       const struct flow_key *key, const uint8_t *data,
	       int32_t size_bytes);
void pump_drain(struct pump *p);
void target_takes(struct pump *p, const struct packet *k);

#endif
