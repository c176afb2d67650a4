/* State of one client flow, kept while packets of it keep arriving. */
#ifndef CB_FLOW_STATE_H
#define CB_FLOW_STATE_H

#include "packet.h"
#include "target.h"

/* A packet without data is a header of some 32 bytes. */
#define RESEND_MAX_BYTES 48

/**
 * enum flow_stage - progress of a flow
 * @FLOW_OPENING: the SYN was forwarded; the handshake has not completed
 * @FLOW_OPEN: the client sent a packet that answers the target's SYN
 * @FLOW_CLOSED: a FIN or RST was seen, or the flow was reset
 */
enum flow_stage { FLOW_OPENING, FLOW_OPEN, FLOW_CLOSED };

/**
 * struct flow_state - one flow
 * @key: client address and VIP
 * @target: target that the flow's packets are forwarded to; owned by the
 *	directory, never NULL
 * @stage: enum flow_stage
 * @kind: kind of the flow's route, enum route_kind
 * @busy: a request is in progress, queued at this entry or at the target
 * @running: the request was forwarded and is neither answered nor overdue;
 *	implies @busy
 * @is_long: the flow carries many requests; set when the flow is added to the
 *	cache, or at a request when its route turned out to be long
 * @is_opening: counted in the target's openings
 * @answered_running: @running when the answer to the present download began
 * @awaits_first: the opening came to this entry, and no request has followed it
 * @was_held: the opening waited at this entry, so that @arrived_ns is already
 *	that of its first request
 * @found_free_slot: when the request was forwarded, the known load of the
 *	target was below its number of slots, so that the time to the answer
 *	contains no queueing at the target
 * @route_slot: slot of its route in struct route_use
 * @requests: requests that began on the flow, as far as seen here
 * @priority: priority of the route; 0 is served first
 * @service: service under which the request is counted while @running; kept
 *	apart from the target, which may restart as a target of another service
 * @waiting: slot of the request's first packet in struct wait_queue; 0 when
 *	none is queued
 * @arrived_ns: when the request's first packet came from the client
 * @objective_deadline_ns: end of the latency objective of the request; 0 when
 *	the route has none
 * @expires_ns: end of the route's timeout, after which the client has given up
 * @forwarded_ns: when the request was forwarded to the target; before the first
 *	request, when the SYN was
 * @rtt_ns: duration of the handshake as seen here, from this entry to the
 *	target, to the client and back to this entry; 0 when this entry did not
 *	see it
 * @seen_ns: when the last packet of the flow came, or was forwarded from the
 *	queue
 * @answer_due_ns: when the target is suspected unless the client's packets have
 *	shown an answer; 0 when none is expected
 * @download_ends_ns: when the download that the flow receives counts as ended
 *	unless more of it is acknowledged; 0 when it receives none
 * @newer: index of the next flow in the list ordered by @seen_ns
 * @older: index of the previous flow in that list, or of the next free slot
 * @opened_ns: when the first packet of the flow came
 * @failed_ns: when the present request was counted as a failure of the target
 *	since no answer came in time; 0 when it was not
 * @answered_ns: when the answer to the present download began
 * @download_bytes: bytes of it that were acknowledged
 * @seq: highest sequence number that the client has sent
 * @ack: highest acknowledgement number that the client has sent
 * @resend_packet: the client's last packet without data, which may be sent once
 *	more; a SYN if and only if @stage is FLOW_OPENING
 * @resend_bytes: size of @resend_packet; 0 when there is none or it was longer
 *	than RESEND_MAX_BYTES
 */
struct flow_state {
	struct flow_key key;
	struct target *target;
	uint8_t stage;
	uint8_t kind;
	bool busy;
	bool running;
	bool is_long;
	bool is_opening;
	bool answered_running;
	bool awaits_first;
	bool was_held;
	bool found_free_slot;
	uint8_t priority;
	uint32_t service;
	uint32_t route_slot;
	uint32_t requests;
	uint32_t waiting;
	uint64_t arrived_ns;
	uint64_t objective_deadline_ns;
	uint64_t expires_ns;
	uint64_t forwarded_ns;
	uint64_t rtt_ns;
	uint64_t seen_ns;
	uint64_t answer_due_ns;
	uint64_t download_ends_ns;
	uint32_t newer;
	uint32_t older;
	uint64_t opened_ns;
	uint64_t failed_ns;
	uint64_t answered_ns;
	uint32_t download_bytes;
	uint32_t seq;
	uint32_t ack;
	uint8_t resend_packet[RESEND_MAX_BYTES];
	uint8_t resend_bytes;
};

#endif
