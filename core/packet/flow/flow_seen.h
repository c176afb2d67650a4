/* One flow that was seen here of late. */
#ifndef CB_FLOW_SEEN_H
#define CB_FLOW_SEEN_H

#include "packet.h"
#include "target.h"

/* A packet without data: a head of some 32 bytes. */
#define KEPT_MAX_BYTES 48

/**
 * enum flow_stage - how far a flow is
 * @FLOW_OPENING: its SYN was forwarded
 * @FLOW_OPEN: the client answered a target
 * @FLOW_CLOSED: FIN or RST was seen
 */
enum flow_stage { FLOW_OPENING, FLOW_OPEN, FLOW_CLOSED };

/**
 * struct flow_seen - one flow
 * @key: client and VIP
 * @target: where its packets go
 * @stage: enum flow_stage
 * @kind: enum route_kind
 * @busy: a request is in progress, here or at the target
 * @sent: of that one: the target has it, as far as is known
 * @alone: it found a slot free, as far as was known: the answer's time is work
 * @priority: of its route; 0 goes first
 * @service: at which its request is counted while @sent; a target may start
 *	again as one of another
 * @asked_ns: when it came from the client
 * @aim_by_ns: its answer is of full use until then; 0 for no target latency
 * @expires_ns: its route's timeout; its client waits no longer
 * @request_ns: when it went to the target; before any, the opening packet
 * @trip_ns: from here to the target, to the client and back here, as the
 *	handshake took; 0 when it was not seen here
 * @waiting: where its first packet waits, see struct waiting; 0 for nowhere
 * @seen_ns: last packet of the flow that came, or that went after waiting
 * @opened_ns: first SYN
 * @due_ns: a sign of life is expected by then; 0 for none
 * @seq: highest sequence number sent
 * @ack: highest acknowledgement sent
 * @kept: its last packet without data, to be sent again: a SYN if and only if
 *	@stage is FLOW_OPENING
 * @kept_bytes: size of @kept; 0 when there is none, or it was too long
 * @newer: next flow of the list by @seen_ns
 * @older: previous one
 */
struct flow_seen {
	struct flow_key key;
	struct target *target;
	uint8_t stage;
	uint8_t kind;
	bool busy;
	bool sent;
	bool alone;
	uint8_t priority;
	uint32_t service;
	uint32_t waiting;
	uint64_t asked_ns;
	uint64_t aim_by_ns;
	uint64_t expires_ns;
	uint64_t request_ns;
	uint64_t trip_ns;
	uint64_t seen_ns;
	uint64_t opened_ns;
	uint64_t due_ns;
	uint32_t seq;
	uint32_t ack;
	uint8_t kept[KEPT_MAX_BYTES];
	uint8_t kept_bytes;
	uint32_t newer;
	uint32_t older;
};

#endif
