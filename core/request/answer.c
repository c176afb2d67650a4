#include "entry_state.h"

#include <string.h>

static void unknown_answer(struct entry *e, uint64_t target,
			   const struct message *msg)
{
	e->counters.unknown_answers++;
	/*
	 * An update for a feed that moved or ended: without a reset the
	 * target would go on sending to an entry that no longer listens, and
	 * hold the connection.
	 */
	if (!(msg->flags & MESSAGE_PIGGYBACK))
		emit_signal_target(e, target, WIRE_RESET, msg->id);
}

static void late_answer(struct entry *e, uint64_t target,
			const struct message *msg)
{
	e->counters.late_answers++;
	if (msg->flags & MESSAGE_CONFIRM)
		emit_signal_target(e, target, WIRE_ACK, msg->id);
}

static void feed_answer(struct entry *e, uint64_t target, uint32_t slot,
			uint32_t generation, const struct message *msg)
{
	struct feed *f = &e->feeds[slot];
	struct request *r;

	if (f->state == FEED_FREE || f->state == FEED_COPY ||
	    f->generation != generation) {
		unknown_answer(e, target, msg);
		return;
	}
	r = f->request == SLOT_NONE ? NULL : &e->requests[f->request];
	if (r && r->state == REQ_SENT && r->target == target &&
	    (!(msg->flags & MESSAGE_PIGGYBACK) || msg->id == r->up_id)) {
		if (msg->flags & MESSAGE_CONFIRM)
			emit_signal_target(e, target, WIRE_ACK, msg->id);
		request_answered(e, r, target, msg);
		return;
	}
	if (msg->flags & MESSAGE_PIGGYBACK)
		late_answer(e, target, msg);
	else if (f->target != target)
		unknown_answer(e, target, msg);
	else
		feed_update(e, f, target, msg);
}

static void plain_answer(struct entry *e, uint64_t target, uint32_t slot,
			 uint32_t generation, const struct message *msg)
{
	struct request *r = &e->requests[slot];

	if (r->generation != generation || r->state != REQ_SENT ||
	    r->target != target) {
		late_answer(e, target, msg);
		return;
	}
	if (msg->flags & MESSAGE_CONFIRM)
		emit_signal_target(e, target, WIRE_ACK, msg->id);
	request_answered(e, r, target, msg);
}

static void answer(struct entry *e, uint64_t target, const struct message *msg)
{
	uint64_t token = 0;
	uint32_t slot;
	uint32_t generation;
	bool feed;

	if (msg->token_len != sizeof(token)) {
		unknown_answer(e, target, msg);
		return;
	}
	memcpy(&token, msg->token, sizeof(token));
	feed = token >> 32 & 1;
	slot = (uint32_t)(token >> 33);
	generation = (uint32_t)token ^ (uint32_t)e->conf.seed;
	if (feed && slot < e->conf.feeds_max)
		feed_answer(e, target, slot, generation, msg);
	else if (!feed && slot < e->conf.requests_max)
		plain_answer(e, target, slot, generation, msg);
	else
		unknown_answer(e, target, msg);
}

static void acked_by_target(struct entry *e, uint64_t target, uint16_t id)
{
	struct request *r = request_by_up_id(e, target, id);

	if (!r)
		return;
	r->acked = true;
	r->repeat_deadline_ns = DEADLINE_NEVER;
	timers_set(e->timers, request_slot(e, r), r->deadline_ns);
}

static void reset_by_target(struct entry *e, uint64_t target, uint16_t id)
{
	struct request *r = request_by_up_id(e, target, id);

	if (r)
		request_unknown(e, r, "target reset the request");
}

/**
 * target_message() - act on a datagram from a target
 * @e: entry
 * @target: sender
 * @msg: datagram
 */
void target_message(struct entry *e, uint64_t target, const struct message *msg)
{
	if (msg->has_load)
		balance_report(e->balancer, target, &msg->load, e->now_ns);
	switch (msg->kind) {
	case MESSAGE_ANSWER:
		answer(e, target, msg);
		break;
	case MESSAGE_ACK:
		acked_by_target(e, target, msg->id);
		break;
	case MESSAGE_RESET:
		reset_by_target(e, target, msg->id);
		break;
	case MESSAGE_PROBE:
		emit_signal_target(e, target, WIRE_RESET, msg->id);
		break;
	default:
		break;
	}
}
