#include "entry_state.h"

#include <string.h>

#define RETRANSMIT_NS NS_PER_S
#define RENEW_RETRANSMIT_NS (300 * NS_PER_MS)
#define SENDS_MAX 3
#define TARGETS_TRIED_MAX 3
#define RETRY_AFTER_S 2

/**
 * request_submit() - ask the balancer for a target
 * @e: entry
 * @r: request, with its claim granted if it is not idempotent; sent, queued or
 *	refused here
 */
void request_submit(struct entry *e, struct request *r)
{
	const struct service_conf *s = service_find(e, r->key.vip);
	struct work w = { .handle = request_slot(e, r),
			  .vip = r->key.vip,
			  .feed = r->feed != SLOT_NONE,
			  .avoid = r->avoid_target,
			  .hash = flow_hash(&r->key),
			  .deadline_ns = r->deadline_ns };
	struct ruling ruling;

	if (!s) {
		request_refuse(e, r, REFUSE_NO_TARGET, RETRY_AFTER_S);
		return;
	}
	if (r->carrier_lost) {
		request_refuse(e, r, REFUSE_TRANSFER, RETRY_AFTER_S);
		return;
	}
	w.class = request_class(r->flags, s->class);
	w.pinned = transfer_target(e, r);
	ruling = balance_submit(e->balancer, &w, e->now_ns);
	/*
	 * A transfer continues at the target that has its earlier blocks, even
	 * if operators have withdrawn that target since.
	 */
	if (ruling.reason == REFUSE_NO_TARGET && w.pinned != ADDR_NONE) {
		request_send(e, r, w.pinned);
		return;
	}
	if (ruling.verdict == VERDICT_REFUSED) {
		request_refuse(e, r, ruling.reason, ruling.retry_after_s);
		return;
	}
	if (ruling.verdict == VERDICT_QUEUED) {
		r->state = REQ_QUEUED;
		timers_set(e->timers, w.handle, r->deadline_ns + NS_PER_S);
		return;
	}
	r->counted = true;
	request_send(e, r, ruling.target);
}

static bool may_retransmit(const struct entry *e, const struct request *r)
{
	const struct service_conf *s = service_find(e, r->key.vip);

	return request_is_idempotent(e, r) || (s && s->target_dedups);
}

static void set_timer(struct entry *e, struct request *r)
{
	uint64_t first = r->internal ? RENEW_RETRANSMIT_NS : RETRANSMIT_NS;
	uint64_t next = r->deadline_ns;

	r->repeat_deadline_ns = DEADLINE_NEVER;
	if (!r->acked && may_retransmit(e, r))
		r->repeat_deadline_ns = e->now_ns + (first << (r->sends - 1));
	if (r->repeat_deadline_ns < next)
		next = r->repeat_deadline_ns;
	timers_set(e->timers, request_slot(e, r), next);
}

static uint64_t token_of(const struct entry *e, const struct request *r)
{
	if (r->feed != SLOT_NONE)
		return target_token(true, r->feed, e->feeds[r->feed].generation,
				    e->conf.seed);
	return target_token(false, request_slot(e, r), r->generation,
			    e->conf.seed);
}

static void transmit(struct entry *e, struct request *r)
{
	struct action *a = emit(e, ACT_TO_TARGET);
	uint64_t token = token_of(e, r);

	a->key = r->key;
	a->target = r->target;
	a->type = WIRE_CONFIRM;
	a->id = r->target_msg_id;
	a->token_len = sizeof(token);
	memcpy(a->token, &token, sizeof(token));
	a->data = r->data;
	a->size_bytes = r->size_bytes;
	if (r->feed == SLOT_NONE && r->deadline_ns > e->now_ns)
		a->timeout_ns = r->deadline_ns - e->now_ns;
	r->sends++;
	set_timer(e, r);
}

/**
 * request_send() - send a request to a target
 * @e: entry
 * @r: request; with @r->counted the balancer counts it at @target already
 * @target: target
 */
void request_send(struct entry *e, struct request *r, uint64_t target)
{
	struct claim *c = claims_find(e->claims, r->claim_id);

	r->target = target;
	r->sent_ns = e->now_ns;
	if (!msg_id_next(e, target, &r->target_msg_id)) {
		request_leave_target(e, r, OUTCOME_CANCELLED);
		request_refuse(e, r, REFUSE_MEMORY, RETRY_AFTER_S);
		return;
	}
	if (index_put(e->by_target_msg_id,
		      request_target_msg_id_key(target, r->target_msg_id),
		      request_slot(e, r)) < 0) {
		request_leave_target(e, r, OUTCOME_CANCELLED);
		request_refuse(e, r, REFUSE_MEMORY, RETRY_AFTER_S);
		return;
	}
	if (c && !request_is_idempotent(e, r))
		c->target = target;
	if (r->flags & MESSAGE_BLOCK)
		transfer_pin(e, r);
	r->state = REQ_SENT;
	r->may_have_run = true;
	r->acked = false;
	r->sends = 0;
	r->targets_tried++;
	transmit(e, r);
}

static bool may_retry_elsewhere(struct entry *e, const struct request *r)
{
	if (r->targets_tried >= TARGETS_TRIED_MAX ||
	    r->deadline_ns <= e->now_ns || !transfer_may_change_target(r))
		return false;
	return balance_may_retry(e->balancer, r->key.vip, e->now_ns);
}

/*
 * Frees the target's slot that a request without a waiting caller would occupy.
 * A block of a transfer takes little time, and a copy of it without its payload
 * would corrupt the transfer, so it is not cancelled.
 */
static void cancel_at_target(struct entry *e, const struct request *r)
{
	uint64_t token = token_of(e, r);
	struct action *a;
	uint16_t id;

	if (r->flags & MESSAGE_BLOCK || !msg_id_next(e, r->target, &id))
		return;
	a = emit(e, ACT_CANCEL_TARGET);
	a->key = r->key;
	a->target = r->target;
	a->id = id;
	a->token_len = sizeof(token);
	memcpy(a->token, &token, sizeof(token));
	a->data = r->data;
	a->size_bytes = r->size_bytes;
	e->counters.cancels++;
}

/*
 * No answer after several transmissions: an idempotent request goes to another
 * target.
 */
static void handle_silent_target(struct entry *e, struct request *r)
{
	if (r->internal) {
		request_end_unknown(e, r,
				    "target silent while renewing a feed");
		return;
	}
	if (!request_is_idempotent(e, r) || !may_retry_elsewhere(e, r)) {
		r->repeat_deadline_ns = DEADLINE_NEVER;
		timers_set(e->timers, request_slot(e, r), r->deadline_ns);
		return;
	}
	cancel_at_target(e, r);
	request_leave_target(e, r, OUTCOME_TIMEOUT);
	r->avoid_target = r->target;
	if (r->flags & MESSAGE_BLOCK)
		flow_unpin(e->pins, &r->key);
	e->counters.retries++;
	request_submit(e, r);
}

static void handle_sent_timer(struct entry *e, struct request *r)
{
	if (e->now_ns >= r->deadline_ns) {
		cancel_at_target(e, r);
		request_end_unknown(e, r, "no answer from the target in time");
		return;
	}
	if (r->sends >= SENDS_MAX)
		handle_silent_target(e, r);
	else
		transmit(e, r);
}

/* request_timer() - handle an expired timer of a request's slot. */
void request_timer(struct entry *e, struct request *r)
{
	switch (r->state) {
	case REQ_CLAIMING:
		claim_request_grants(e, r);
		break;
	case REQ_QUEUED:
		balance_cancel(e->balancer, request_slot(e, r));
		request_refuse(e, r, REFUSE_DEADLINE, RETRY_AFTER_S);
		break;
	case REQ_SENT:
		handle_sent_timer(e, r);
		break;
	case REQ_ENDED:
		request_drop(e, r);
		break;
	default:
		break;
	}
}

/*
 * request_by_target_msg_id() - request at a target by its message ID, or NULL.
 */
struct request *request_by_target_msg_id(struct entry *e, uint64_t target,
					 uint16_t id)
{
	uint32_t slot = index_get(e->by_target_msg_id,
				  request_target_msg_id_key(target, id));
	struct request *r;

	if (slot == INDEX_NONE)
		return NULL;
	r = &e->requests[slot];
	if (r->state != REQ_SENT || r->target != target ||
	    r->target_msg_id != id)
		return NULL;
	return r;
}

/**
 * request_reset_by_caller() - cancel a request whose message ID the caller
 *	reset
 * @e: entry
 * @key: flow
 * @id: message ID of the request
 */
void request_reset_by_caller(struct entry *e, const struct flow_key *key,
			     uint16_t id)
{
	uint32_t slot = index_get(e->by_identity, request_identity(key, id));
	struct request *r;

	if (slot == INDEX_NONE)
		return;
	r = &e->requests[slot];
	if (r->state == REQ_ENDED || r->state == REQ_FREE)
		return;
	if (r->key.caller != key->caller || r->key.vip != key->vip)
		return;
	if (r->state == REQ_QUEUED)
		balance_cancel(e->balancer, slot);
	if (r->state == REQ_SENT)
		cancel_at_target(e, r);
	request_leave_target(e, r, OUTCOME_CANCELLED);
	claim_record_outcome(e, r,
			     r->may_have_run ? CLAIM_UNKNOWN : CLAIM_REFUSED);
	if (r->feed != SLOT_NONE)
		feed_end(e, &e->feeds[r->feed], false);
	r->answer = ANSWER_UNKNOWN;
	request_complete(e, r);
}

static void handle_shed(struct entry *e, struct request *r)
{
	request_leave_target(e, r, OUTCOME_SHED);
	r->may_have_run = false;
	r->avoid_target = r->target;
	if (!may_retry_elsewhere(e, r)) {
		request_refuse(e, r, REFUSE_SHED, RETRY_AFTER_S);
		return;
	}
	if (r->flags & MESSAGE_BLOCK)
		flow_unpin(e->pins, &r->key);
	e->counters.retries++;
	request_submit(e, r);
}

static void handle_renewal_answer(struct entry *e, struct request *r,
				  uint64_t target, const struct message *msg)
{
	struct feed *f = &e->feeds[r->feed];

	if (!(msg->flags & MESSAGE_FEED_OPEN)) {
		request_leave_target(e, r, OUTCOME_ERROR);
		feed_renew_failed(e, f, r);
		return;
	}
	request_leave_target(e, r, OUTCOME_OK);
	request_complete(e, r);
	feed_opened(e, f, target);
	feed_update(e, f, target, msg);
}

/**
 * request_handle_answer() - handle the target's answer to a request
 * @e: entry
 * @r: request in REQ_SENT
 * @target: sender
 * @msg: answer
 */
void request_handle_answer(struct entry *e, struct request *r, uint64_t target,
			   const struct message *msg)
{
	bool failed = msg->flags & MESSAGE_FAILED;

	if (r->internal) {
		handle_renewal_answer(e, r, target, msg);
		return;
	}
	if (msg->flags & MESSAGE_SHED) {
		handle_shed(e, r);
		return;
	}
	request_leave_target(e, r, failed ? OUTCOME_ERROR : OUTCOME_OK);
	transfer_update_pin(e, r, msg);
	claim_record_outcome(e, r, CLAIM_DONE);
	e->counters.answers++;
	reply_store(r, msg);
	reply_send(e, r);
	if (r->feed != SLOT_NONE) {
		struct feed *f = &e->feeds[r->feed];

		if (msg->flags & MESSAGE_FEED_OPEN)
			feed_opened(e, f, target);
		else
			feed_drop(e, f);
	}
	request_complete(e, r);
}

static void start_queued(struct entry *e, struct request *r,
			 const struct ruling *ruling)
{
	r->counted = true;
	r->target = ruling->target;
	r->sent_ns = e->now_ns;
	if (request_is_idempotent(e, r) || claim_lease_holds(e)) {
		request_send(e, r, ruling->target);
		return;
	}
	/*
	 * This process was paused after the grant. Another entry may own the
	 * flow now and may have answered "outcome unknown"; a send now would
	 * execute a request that the caller may have given up. The second,
	 * which has the current record, is asked for a grant again.
	 */
	e->counters.stale_sends_stopped++;
	request_leave_target(e, r, OUTCOME_CANCELLED);
	r->state = REQ_CLAIMING;
	claim_request_grants(e, r);
}

/*
 * requests_start_ready() - send or refuse the queued requests that the balancer
 * has decided on.
 */
void requests_start_ready(struct entry *e)
{
	struct ruling ruling;
	uint32_t slot;

	while (emit_has_capacity(e) &&
	       balance_next(e->balancer, e->now_ns, &slot, &ruling)) {
		struct request *r = &e->requests[slot];

		if (r->state != REQ_QUEUED)
			continue;
		if (ruling.verdict == VERDICT_GO)
			start_queued(e, r, &ruling);
		else
			request_refuse(e, r, ruling.reason,
				       ruling.retry_after_s);
	}
}
