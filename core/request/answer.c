#include "entry_state.h"

#include <string.h>

static void handle_unknown_answer(struct entry *e, uint64_t target,
				  const struct message *msg)
{
	e->counters.unknown_answers++;
	/*
	 * An update of a feed that moved or ended. Without a reset the target
	 * would keep sending to an entry that has no such feed, and would keep
	 * the connection.
	 */
	if (!(msg->flags & MESSAGE_PIGGYBACK))
		emit_signal_target(e, target, WIRE_RESET, msg->id);
}

static void handle_late_answer(struct entry *e, uint64_t target,
			       const struct message *msg)
{
	e->counters.late_answers++;
	if (msg->flags & MESSAGE_CONFIRM)
		emit_signal_target(e, target, WIRE_ACK, msg->id);
}

static void handle_feed_answer(struct entry *e, uint64_t target, uint32_t slot,
			       uint32_t generation, const struct message *msg)
{
	struct feed *f = &e->feeds[slot];
	struct request *r;

	if (f->state == FEED_FREE || f->state == FEED_COPY ||
	    f->generation != generation) {
		handle_unknown_answer(e, target, msg);
		return;
	}
	r = f->request == SLOT_NONE ? NULL : &e->requests[f->request];
	if (r && r->state == REQ_SENT && r->target == target &&
	    (!(msg->flags & MESSAGE_PIGGYBACK) ||
	     msg->id == r->target_msg_id)) {
		if (msg->flags & MESSAGE_CONFIRM)
			emit_signal_target(e, target, WIRE_ACK, msg->id);
		request_handle_answer(e, r, target, msg);
		return;
	}
	if (msg->flags & MESSAGE_PIGGYBACK)
		handle_late_answer(e, target, msg);
	else if (f->target != target)
		handle_unknown_answer(e, target, msg);
	else
		feed_update(e, f, target, msg);
}

static void handle_request_answer(struct entry *e, uint64_t target,
				  uint32_t slot, uint32_t generation,
				  const struct message *msg)
{
	struct request *r = &e->requests[slot];

	if (r->generation != generation || r->state != REQ_SENT ||
	    r->target != target) {
		handle_late_answer(e, target, msg);
		return;
	}
	if (msg->flags & MESSAGE_CONFIRM)
		emit_signal_target(e, target, WIRE_ACK, msg->id);
	request_handle_answer(e, r, target, msg);
}

static void handle_answer(struct entry *e, uint64_t target,
			  const struct message *msg)
{
	uint64_t token = 0;
	uint32_t slot;
	uint32_t generation;
	bool feed;

	if (msg->token_len != sizeof(token)) {
		handle_unknown_answer(e, target, msg);
		return;
	}
	memcpy(&token, msg->token, sizeof(token));
	feed = token >> 32 & 1;
	slot = (uint32_t)(token >> 33);
	generation = (uint32_t)token ^ (uint32_t)e->conf.seed;
	if (feed && slot < e->conf.feeds_max)
		handle_feed_answer(e, target, slot, generation, msg);
	else if (!feed && slot < e->conf.requests_max)
		handle_request_answer(e, target, slot, generation, msg);
	else
		handle_unknown_answer(e, target, msg);
}

static void handle_target_ack(struct entry *e, uint64_t target, uint16_t id)
{
	struct request *r = request_by_target_msg_id(e, target, id);

	if (!r)
		return;
	r->acked = true;
	r->repeat_deadline_ns = DEADLINE_NEVER;
	timers_set(e->timers, request_slot(e, r), r->deadline_ns);
}

static void handle_target_reset(struct entry *e, uint64_t target, uint16_t id)
{
	struct request *r = request_by_target_msg_id(e, target, id);

	if (r)
		request_end_unknown(e, r, "target reset the request");
}

/**
 * target_receive() - handle a datagram from a target
 * @e: entry
 * @target: sender
 * @msg: datagram
 */
void target_receive(struct entry *e, uint64_t target, const struct message *msg)
{
	if (msg->has_load)
		balance_report(e->balancer, target, &msg->load, e->now_ns);
	switch (msg->kind) {
	case MESSAGE_ANSWER:
		handle_answer(e, target, msg);
		break;
	case MESSAGE_ACK:
		handle_target_ack(e, target, msg->id);
		break;
	case MESSAGE_RESET:
		handle_target_reset(e, target, msg->id);
		break;
	case MESSAGE_PROBE:
		emit_signal_target(e, target, WIRE_RESET, msg->id);
		break;
	default:
		break;
	}
}
