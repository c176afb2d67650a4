#include "entry_state.h"

#include <string.h>

#define RETRANSMIT_NS NS_PER_S
#define RENEW_RETRANSMIT_NS (300 * NS_PER_MS)
#define SENDS_MAX 3
#define TARGETS_TRIED_MAX 3
#define RETRY_AFTER_S 2

/**
 * request_submit() - ask the balancer for a target
 * @entry: state of this entry
 * @req: request, with its claim granted if it is not idempotent; sent, queued
 *	or refused here
 */
void request_submit(struct entry *entry, struct request *req)
{
	const struct service_conf *s = service_find(entry, req->key.vip);
	struct work w = { .handle = request_slot(entry, req),
			  .vip = req->key.vip,
			  .feed = req->feed != SLOT_NONE,
			  .avoid = req->avoid_target,
			  .hash = flow_hash(&req->key),
			  .deadline_ns = req->deadline_ns };
	struct decision decision;

	if (!s) {
		request_refuse(entry, req, REFUSE_NO_TARGET, RETRY_AFTER_S);
		return;
	}
	if (req->carrier_lost) {
		request_refuse(entry, req, REFUSE_TRANSFER, RETRY_AFTER_S);
		return;
	}
	w.class = request_class(req->flags, s->class);
	w.pinned = transfer_target(entry, req);
	decision = balance_submit(entry->balancer, &w, entry->now_ns);
	/*
	 * A transfer continues at the target that has its earlier blocks, even
	 * if operators have withdrawn that target since.
	 */
	if (decision.reason == REFUSE_NO_TARGET && w.pinned != ADDR_NONE) {
		request_send(entry, req, w.pinned);
		return;
	}
	if (decision.verdict == VERDICT_REFUSED) {
		request_refuse(entry, req, decision.reason,
			       decision.retry_after_s);
		return;
	}
	if (decision.verdict == VERDICT_QUEUED) {
		req->state = REQ_QUEUED;
		timers_set(entry->timers, w.handle,
			   req->deadline_ns + NS_PER_S);
		return;
	}
	req->counted = true;
	request_send(entry, req, decision.target);
}

static bool may_retransmit(const struct entry *entry, const struct request *req)
{
	const struct service_conf *s = service_find(entry, req->key.vip);

	return request_is_idempotent(entry, req) || (s && s->target_dedups);
}

static void set_timer(struct entry *entry, struct request *req)
{
	uint64_t first = req->internal ? RENEW_RETRANSMIT_NS : RETRANSMIT_NS;
	uint64_t next = req->deadline_ns;

	req->retransmit_deadline_ns = DEADLINE_NEVER;
	if (!req->acked && may_retransmit(entry, req))
		req->retransmit_deadline_ns =
			entry->now_ns + (first << (req->sends - 1));
	if (req->retransmit_deadline_ns < next)
		next = req->retransmit_deadline_ns;
	timers_set(entry->timers, request_slot(entry, req), next);
}

static uint64_t token_of(const struct entry *entry, const struct request *req)
{
	if (req->feed != SLOT_NONE)
		return target_token(true, req->feed,
				    entry->feeds[req->feed].generation,
				    entry->conf.seed);
	return target_token(false, request_slot(entry, req), req->generation,
			    entry->conf.seed);
}

static void transmit(struct entry *entry, struct request *req)
{
	struct action *a = emit(entry, ACT_TO_TARGET);
	uint64_t token = token_of(entry, req);

	a->key = req->key;
	a->target = req->target;
	a->type = WIRE_CONFIRM;
	a->id = req->target_msg_id;
	a->token_len = sizeof(token);
	memcpy(a->token, &token, sizeof(token));
	a->data = req->data;
	a->size_bytes = req->size_bytes;
	if (req->feed == SLOT_NONE && req->deadline_ns > entry->now_ns)
		a->timeout_ns = req->deadline_ns - entry->now_ns;
	req->sends++;
	set_timer(entry, req);
}

/**
 * request_send() - send a request to a target
 * @entry: state of this entry
 * @req: request; with @req->counted the balancer counts it at @target already
 * @target: address of the target
 */
void request_send(struct entry *entry, struct request *req, uint64_t target)
{
	struct claim *claim = claims_find(entry->claims, req->claim_id);

	req->target = target;
	req->sent_ns = entry->now_ns;
	if (!msg_id_next(entry, target, &req->target_msg_id)) {
		request_leave_target(entry, req, OUTCOME_CANCELLED);
		request_refuse(entry, req, REFUSE_MEMORY, RETRY_AFTER_S);
		return;
	}
	if (index_put(entry->by_target_msg_id,
		      request_target_msg_id_key(target, req->target_msg_id),
		      request_slot(entry, req)) < 0) {
		request_leave_target(entry, req, OUTCOME_CANCELLED);
		request_refuse(entry, req, REFUSE_MEMORY, RETRY_AFTER_S);
		return;
	}
	if (claim && !request_is_idempotent(entry, req))
		claim->target = target;
	if (req->flags & MESSAGE_BLOCK)
		transfer_pin(entry, req);
	req->state = REQ_SENT;
	req->may_have_run = true;
	req->acked = false;
	req->sends = 0;
	req->targets_tried++;
	transmit(entry, req);
}

static bool may_retry_elsewhere(struct entry *entry, const struct request *req)
{
	if (req->targets_tried >= TARGETS_TRIED_MAX ||
	    req->deadline_ns <= entry->now_ns ||
	    !transfer_may_change_target(req))
		return false;
	return balance_take_retry(entry->balancer, req->key.vip, entry->now_ns);
}

/*
 * Frees the target's slot that a request without a waiting caller would occupy.
 * A block of a transfer takes little time, and a copy of it without its payload
 * would corrupt the transfer, so it is not cancelled.
 */
static void cancel_at_target(struct entry *entry, const struct request *req)
{
	uint64_t token = token_of(entry, req);
	struct action *a;
	uint16_t id;

	if (req->flags & MESSAGE_BLOCK || !msg_id_next(entry, req->target, &id))
		return;
	a = emit(entry, ACT_CANCEL_TARGET);
	a->key = req->key;
	a->target = req->target;
	a->id = id;
	a->token_len = sizeof(token);
	memcpy(a->token, &token, sizeof(token));
	a->data = req->data;
	a->size_bytes = req->size_bytes;
	entry->counters.cancels++;
}

/*
 * No answer after several transmissions: an idempotent request goes to another
 * target.
 */
static void handle_silent_target(struct entry *entry, struct request *req)
{
	if (req->internal) {
		request_end_unknown(entry, req,
				    "target silent while renewing a feed");
		return;
	}
	if (!request_is_idempotent(entry, req) ||
	    !may_retry_elsewhere(entry, req)) {
		req->retransmit_deadline_ns = DEADLINE_NEVER;
		timers_set(entry->timers, request_slot(entry, req),
			   req->deadline_ns);
		return;
	}
	cancel_at_target(entry, req);
	request_leave_target(entry, req, OUTCOME_TIMEOUT);
	req->avoid_target = req->target;
	if (req->flags & MESSAGE_BLOCK)
		flow_unpin(entry->pins, &req->key);
	entry->counters.retries++;
	request_submit(entry, req);
}

static void handle_sent_timer(struct entry *entry, struct request *req)
{
	if (entry->now_ns >= req->deadline_ns) {
		cancel_at_target(entry, req);
		request_end_unknown(entry, req,
				    "no answer from the target in time");
		return;
	}
	if (req->sends >= SENDS_MAX)
		handle_silent_target(entry, req);
	else
		transmit(entry, req);
}

/* request_timer() - handle an expired timer of a request's slot. */
void request_timer(struct entry *entry, struct request *req)
{
	switch (req->state) {
	case REQ_CLAIMING:
		claim_request_grants(entry, req);
		break;
	case REQ_QUEUED:
		balance_cancel(entry->balancer, request_slot(entry, req));
		request_refuse(entry, req, REFUSE_DEADLINE, RETRY_AFTER_S);
		break;
	case REQ_SENT:
		handle_sent_timer(entry, req);
		break;
	case REQ_ENDED:
		request_drop(entry, req);
		break;
	default:
		break;
	}
}

/*
 * request_by_target_msg_id() - request at a target by its message ID, or NULL.
 */
struct request *request_by_target_msg_id(struct entry *entry, uint64_t target,
					 uint16_t id)
{
	uint32_t slot = index_get(entry->by_target_msg_id,
				  request_target_msg_id_key(target, id));
	struct request *req;

	if (slot == INDEX_NONE)
		return NULL;
	req = &entry->requests[slot];
	if (req->state != REQ_SENT || req->target != target ||
	    req->target_msg_id != id)
		return NULL;
	return req;
}

/**
 * request_reset_by_caller() - cancel a request whose message ID the caller
 *	reset
 * @entry: state of this entry
 * @key: flow
 * @id: message ID of the request
 */
void request_reset_by_caller(struct entry *entry, const struct flow_key *key,
			     uint16_t id)
{
	uint32_t slot =
		index_get(entry->by_identity, request_identity(key, id));
	struct request *req;

	if (slot == INDEX_NONE)
		return;
	req = &entry->requests[slot];
	if (req->state == REQ_ENDED || req->state == REQ_FREE)
		return;
	if (req->key.caller != key->caller || req->key.vip != key->vip)
		return;
	if (req->state == REQ_QUEUED)
		balance_cancel(entry->balancer, slot);
	if (req->state == REQ_SENT)
		cancel_at_target(entry, req);
	request_leave_target(entry, req, OUTCOME_CANCELLED);
	claim_record_outcome(entry, req,
			     req->may_have_run ? CLAIM_UNKNOWN : CLAIM_REFUSED);
	if (req->feed != SLOT_NONE)
		feed_end(entry, &entry->feeds[req->feed], false);
	req->answer = ANSWER_UNKNOWN;
	request_complete(entry, req);
}

static void handle_shed(struct entry *entry, struct request *req)
{
	request_leave_target(entry, req, OUTCOME_SHED);
	req->may_have_run = false;
	req->avoid_target = req->target;
	if (!may_retry_elsewhere(entry, req)) {
		request_refuse(entry, req, REFUSE_SHED, RETRY_AFTER_S);
		return;
	}
	if (req->flags & MESSAGE_BLOCK)
		flow_unpin(entry->pins, &req->key);
	entry->counters.retries++;
	request_submit(entry, req);
}

static void handle_renewal_answer(struct entry *entry, struct request *req,
				  uint64_t target, const struct message *msg)
{
	struct feed *feed = &entry->feeds[req->feed];

	if (!(msg->flags & MESSAGE_FEED_OPEN)) {
		request_leave_target(entry, req, OUTCOME_ERROR);
		feed_renew_failed(entry, feed, req);
		return;
	}
	request_leave_target(entry, req, OUTCOME_OK);
	request_complete(entry, req);
	feed_opened(entry, feed, target);
	feed_update(entry, feed, target, msg);
}

/**
 * request_handle_answer() - handle the target's answer to a request
 * @entry: state of this entry
 * @req: request in REQ_SENT
 * @target: sender
 * @msg: answer
 */
void request_handle_answer(struct entry *entry, struct request *req,
			   uint64_t target, const struct message *msg)
{
	bool failed = msg->flags & MESSAGE_FAILED;

	if (req->internal) {
		handle_renewal_answer(entry, req, target, msg);
		return;
	}
	if (msg->flags & MESSAGE_SHED) {
		handle_shed(entry, req);
		return;
	}
	request_leave_target(entry, req, failed ? OUTCOME_ERROR : OUTCOME_OK);
	transfer_update_pin(entry, req, msg);
	claim_record_outcome(entry, req, CLAIM_DONE);
	entry->counters.answers++;
	reply_store(req, msg);
	reply_send(entry, req);
	if (req->feed != SLOT_NONE) {
		struct feed *feed = &entry->feeds[req->feed];

		if (msg->flags & MESSAGE_FEED_OPEN)
			feed_opened(entry, feed, target);
		else
			feed_drop(entry, feed);
	}
	request_complete(entry, req);
}

static void start_queued(struct entry *entry, struct request *req,
			 const struct decision *decision)
{
	req->counted = true;
	req->target = decision->target;
	req->sent_ns = entry->now_ns;
	if (request_is_idempotent(entry, req) || claim_lease_holds(entry)) {
		request_send(entry, req, decision->target);
		return;
	}
	/*
	 * This process was paused after the grant. Another entry may own the
	 * flow now and may have answered "outcome unknown"; a send now would
	 * execute a request that the caller may have given up. The second,
	 * which has the current record, is asked for a grant again.
	 */
	entry->counters.stale_sends_stopped++;
	request_leave_target(entry, req, OUTCOME_CANCELLED);
	req->state = REQ_CLAIMING;
	claim_request_grants(entry, req);
}

/*
 * requests_start_ready() - send or refuse the queued requests that the balancer
 * has decided on.
 */
void requests_start_ready(struct entry *entry)
{
	struct decision decision;
	uint32_t slot;

	while (emit_has_capacity(entry) &&
	       balance_next(entry->balancer, entry->now_ns, &slot, &decision)) {
		struct request *req = &entry->requests[slot];

		if (req->state != REQ_QUEUED)
			continue;
		if (decision.verdict == VERDICT_ADMITTED)
			start_queued(entry, req, &decision);
		else
			request_refuse(entry, req, decision.reason,
				       decision.retry_after_s);
	}
}
