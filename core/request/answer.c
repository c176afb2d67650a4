#include "entry_state.h"

#include <string.h>

static void handle_unknown_answer(struct entry *entry, uint64_t target,
				  const struct message *msg)
{
	entry->counters.unknown_answers++;
	/*
	 * An update of a feed that moved or ended. Without a reset the target
	 * would keep sending to an entry that has no such feed, and would keep
	 * the connection.
	 */
	if (!(msg->flags & MESSAGE_PIGGYBACK))
		emit_signal_target(entry, target, WIRE_RESET, msg->id);
}

static void handle_late_answer(struct entry *entry, uint64_t target,
			       const struct message *msg)
{
	entry->counters.late_answers++;
	if (msg->flags & MESSAGE_CONFIRM)
		emit_signal_target(entry, target, WIRE_ACK, msg->id);
}

static void handle_feed_answer(struct entry *entry, uint64_t target,
			       uint32_t slot, uint32_t generation,
			       const struct message *msg)
{
	struct feed *feed = &entry->feeds[slot];
	struct request *req;

	if (feed->state == FEED_FREE || feed->state == FEED_COPY ||
	    feed->generation != generation) {
		handle_unknown_answer(entry, target, msg);
		return;
	}
	req = feed->request == SLOT_NONE ? NULL
					 : &entry->requests[feed->request];
	if (req && req->state == REQ_SENT && req->target == target &&
	    (!(msg->flags & MESSAGE_PIGGYBACK) ||
	     msg->id == req->target_msg_id)) {
		if (msg->flags & MESSAGE_CONFIRM)
			emit_signal_target(entry, target, WIRE_ACK, msg->id);
		request_handle_answer(entry, req, target, msg);
		return;
	}
	if (msg->flags & MESSAGE_PIGGYBACK)
		handle_late_answer(entry, target, msg);
	else if (feed->target != target)
		handle_unknown_answer(entry, target, msg);
	else
		feed_update(entry, feed, target, msg);
}

static void handle_request_answer(struct entry *entry, uint64_t target,
				  uint32_t slot, uint32_t generation,
				  const struct message *msg)
{
	struct request *req = &entry->requests[slot];

	if (req->generation != generation || req->state != REQ_SENT ||
	    req->target != target) {
		handle_late_answer(entry, target, msg);
		return;
	}
	if (msg->flags & MESSAGE_CONFIRM)
		emit_signal_target(entry, target, WIRE_ACK, msg->id);
	request_handle_answer(entry, req, target, msg);
}

static void handle_answer(struct entry *entry, uint64_t target,
			  const struct message *msg)
{
	uint64_t token = 0;
	uint32_t slot;
	uint32_t generation;
	bool feed;

	if (msg->token_len != sizeof(token)) {
		handle_unknown_answer(entry, target, msg);
		return;
	}
	memcpy(&token, msg->token, sizeof(token));
	feed = token >> 32 & 1;
	slot = (uint32_t)(token >> 33);
	generation = (uint32_t)token ^ (uint32_t)entry->conf.seed;
	if (feed && slot < entry->conf.feeds_max)
		handle_feed_answer(entry, target, slot, generation, msg);
	else if (!feed && slot < entry->conf.requests_max)
		handle_request_answer(entry, target, slot, generation, msg);
	else
		handle_unknown_answer(entry, target, msg);
}

static void handle_target_ack(struct entry *entry, uint64_t target, uint16_t id)
{
	struct request *req = request_by_target_msg_id(entry, target, id);

	if (!req)
		return;
	req->acked = true;
	req->retransmit_deadline_ns = DEADLINE_NEVER;
	timers_set(entry->timers, request_slot(entry, req), req->deadline_ns);
}

static void handle_target_reset(struct entry *entry, uint64_t target,
				uint16_t id)
{
	struct request *req = request_by_target_msg_id(entry, target, id);

	if (req)
		request_end_unknown(entry, req, "target reset the request");
}

/**
 * target_receive() - handle a datagram from a target
 * @entry: state of this entry
 * @target: sender
 * @msg: datagram
 */
void target_receive(struct entry *entry, uint64_t target,
		    const struct message *msg)
{
	if (msg->has_load)
		balance_record_load(entry->balancer, target, &msg->load,
				    entry->now_ns);
	switch (msg->kind) {
	case MESSAGE_ANSWER:
		handle_answer(entry, target, msg);
		break;
	case MESSAGE_ACK:
		handle_target_ack(entry, target, msg->id);
		break;
	case MESSAGE_RESET:
		handle_target_reset(entry, target, msg->id);
		break;
	case MESSAGE_PROBE:
		emit_signal_target(entry, target, WIRE_RESET, msg->id);
		break;
	default:
		break;
	}
}
