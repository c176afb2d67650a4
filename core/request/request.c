#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define NO_SLOT_RETRY_AFTER_S 2

/**
 * requests_init() - allocate the slots of all requests
 * @e: entry
 *
 * Return: 0, or -ENOMEM.
 */
int requests_init(struct entry *e)
{
	uint32_t n = e->conf.requests_max;

	e->requests = calloc(n, sizeof(*e->requests));
	e->by_identity = index_new(n);
	e->by_target_msg_id = index_new(n);
	if (!e->requests || !e->by_identity || !e->by_target_msg_id)
		return -ENOMEM;
	for (uint32_t i = 0; i < n; i++)
		e->requests[i].next = i + 1 < n ? i + 1 : SLOT_NONE;
	e->free_request = 0;
	e->ended_first = SLOT_NONE;
	e->ended_last = SLOT_NONE;
	return 0;
}

void requests_free(struct entry *e)
{
	free(e->requests);
	index_free(e->by_identity);
	index_free(e->by_target_msg_id);
}

uint32_t request_slot(const struct entry *e, const struct request *r)
{
	return (uint32_t)(r - e->requests);
}

uint64_t request_identity(const struct flow_key *key, uint16_t id)
{
	return hash_u64(flow_hash(key), id);
}

uint64_t request_target_msg_id_key(uint64_t target, uint16_t id)
{
	return hash_u64(target, 1ULL << 16 | id);
}

static void ended_unlink(struct entry *e, struct request *r)
{
	if (r->prev == SLOT_NONE)
		e->ended_first = r->next;
	else
		e->requests[r->prev].next = r->next;
	if (r->next == SLOT_NONE)
		e->ended_last = r->prev;
	else
		e->requests[r->next].prev = r->prev;
}

static void ended_append(struct entry *e, struct request *r)
{
	uint32_t slot = request_slot(e, r);

	r->next = SLOT_NONE;
	r->prev = e->ended_last;
	if (e->ended_last == SLOT_NONE)
		e->ended_first = slot;
	else
		e->requests[e->ended_last].next = slot;
	e->ended_last = slot;
}

static void release_slot(struct entry *e, struct request *r)
{
	uint32_t slot = request_slot(e, r);

	index_del(e->by_identity, r->identity, slot);
	timers_clear(e->timers, slot);
	r->state = REQ_FREE;
	r->next = e->free_request;
	e->free_request = slot;
}

/**
 * request_drop() - free a request's slot without an answer from here
 * @e: entry
 * @r: request; another entry answers it, or no caller waits for it
 */
void request_drop(struct entry *e, struct request *r)
{
	if (r->state == REQ_ENDED)
		ended_unlink(e, r);
	else
		e->n_active--;
	release_slot(e, r);
}

/**
 * request_new() - allocate a slot, if necessary that of the oldest ended
 *	request
 * @e: entry
 * @key: flow
 *
 * Return: request, or NULL when every slot is active.
 */
struct request *request_new(struct entry *e, const struct flow_key *key)
{
	uint32_t slot = e->free_request;
	struct request *r;
	uint32_t generation;

	if (slot == SLOT_NONE) {
		if (e->ended_first == SLOT_NONE)
			return NULL;
		request_drop(e, &e->requests[e->ended_first]);
		slot = e->free_request;
	}
	r = &e->requests[slot];
	e->free_request = r->next;
	generation = r->generation + 1;
	memset(r, 0, offsetof(struct request, data));
	r->generation = generation;
	r->key = *key;
	r->bucket = ring_bucket(e->ring, key);
	r->feed = SLOT_NONE;
	r->arrived_ns = e->now_ns;
	e->n_active++;
	return r;
}

/**
 * request_complete() - mark a request as answered
 * @e: entry
 * @r: request; kept for the cover time to answer retransmissions, an internal
 *	one is freed
 */
void request_complete(struct entry *e, struct request *r)
{
	uint32_t slot = request_slot(e, r);

	if (r->feed != SLOT_NONE && e->feeds[r->feed].request == slot)
		e->feeds[r->feed].request = SLOT_NONE;
	if (r->internal) {
		request_drop(e, r);
		return;
	}
	r->state = REQ_ENDED;
	e->n_active--;
	ended_append(e, r);
	timers_set(e->timers, slot, e->now_ns + e->conf.cover_ns);
}

/**
 * request_leave_target() - remove a request from its target and the balancer
 * @e: entry
 * @r: request; stays in its slot
 * @outcome: how it ended at the target
 */
void request_leave_target(struct entry *e, struct request *r,
			  enum outcome outcome)
{
	if (r->target_msg_id || r->sends)
		index_del(e->by_target_msg_id,
			  request_target_msg_id_key(r->target,
						    r->target_msg_id),
			  request_slot(e, r));
	if (!r->counted)
		return;
	r->counted = false;
	balance_done(e->balancer, r->key.vip, r->target, outcome,
		     e->now_ns - r->sent_ns, e->now_ns);
}

static bool owned_long_enough(const struct entry *e, const struct request *r)
{
	return e->now_ns >= e->owner_since_ns[r->bucket] + e->conf.cover_ns;
}

/*
 * request_is_idempotent() - whether a request may be executed twice, by its
 * method, by the service's settings, or because the target only stores it.
 */
bool request_is_idempotent(const struct entry *e, const struct request *r)
{
	const struct service_conf *s = service_find(e, r->key.vip);

	if (transfer_only_stores(r))
		return true;
	return r->flags & MESSAGE_IDEMPOTENT || (s && s->post_idempotent);
}

/*
 * "Not run" is answered only if it is certain. A non-idempotent request that
 * got this far was granted, so no other entry executed it. An idempotent one
 * has no claim: an earlier owner may have executed it and died before it
 * answered. So a new owner answers "unknown" until the cover time is over and
 * no caller can be retransmitting an older request.
 */
static bool known_not_run(const struct entry *e, const struct request *r)
{
	if (transfer_only_stores(r))
		return true;
	if (r->may_have_run)
		return false;
	return !request_is_idempotent(e, r) || owned_long_enough(e, r);
}

/**
 * request_end_unknown() - end a request whose outcome can't be known
 * @e: entry
 * @r: request; an internal one is a failed renewal of its feed
 * @why: cause, static text for the log
 */
void request_end_unknown(struct entry *e, struct request *r, const char *why)
{
	request_leave_target(e, r, OUTCOME_TIMEOUT);
	if (r->internal) {
		feed_renew_failed(e, &e->feeds[r->feed], r);
		return;
	}
	emit_log(e, why, &r->key, r->target);
	claim_record_outcome(e, r, CLAIM_UNKNOWN);
	e->counters.answered_unknown++;
	r->answer = ANSWER_UNKNOWN;
	local_answer_send(e, &r->key, r);
	if (r->feed != SLOT_NONE)
		feed_open_refused(e, &e->feeds[r->feed], r);
	request_complete(e, r);
}

/**
 * request_refuse() - end a request without executing it
 * @e: entry
 * @r: request; ended as unknown when it may have been executed before
 * @reason: enum refusal
 * @retry_after_s: time after which the caller may retry
 */
void request_refuse(struct entry *e, struct request *r, uint8_t reason,
		    uint32_t retry_after_s)
{
	r->reason = reason;
	r->retry_after_s = retry_after_s;
	if (r->internal || !known_not_run(e, r)) {
		request_end_unknown(
			e, r, "refused, but may have been executed before");
		return;
	}
	claim_record_outcome(e, r, CLAIM_REFUSED);
	e->counters.refused_not_run++;
	r->answer = ANSWER_NOT_RUN;
	local_answer_send(e, &r->key, r);
	if (r->feed != SLOT_NONE)
		feed_open_refused(e, &e->feeds[r->feed], r);
	request_complete(e, r);
}

static void refuse_without_slot(struct entry *e, const struct flow_key *key,
				const struct message *msg)
{
	struct request r = { .id = msg->id,
			     .flags = msg->flags,
			     .token_len = msg->token_len,
			     .answer = ANSWER_NOT_RUN,
			     .reason = REFUSE_MEMORY,
			     .retry_after_s = NO_SLOT_RETRY_AFTER_S };

	r.bucket = ring_bucket(e->ring, key);
	memcpy(r.token, msg->token, msg->token_len);
	if (!(msg->flags & MESSAGE_IDEMPOTENT) || !owned_long_enough(e, &r)) {
		local_answer_send_unknown(e, key, msg);
		return;
	}
	e->counters.refused_not_run++;
	local_answer_send(e, key, &r);
}

static uint64_t deadline_of(const struct entry *e, const struct service_conf *s,
			    const struct message *msg)
{
	uint64_t timeout_ns = s->request_timeout_ns;

	if (msg->timeout_ns && msg->timeout_ns < timeout_ns)
		timeout_ns = msg->timeout_ns;
	return e->now_ns + timeout_ns;
}

static bool attach_feed(struct entry *e, struct request *r,
			const struct message *msg)
{
	struct feed *f = feed_find(e, &r->key, msg->token, msg->token_len);

	if (msg->flags & MESSAGE_FEED_CLOSE) {
		if (f)
			feed_end(e, f, true);
		return true;
	}
	if (!(msg->flags & MESSAGE_FEED_OPEN))
		return true;
	if (!f)
		f = feed_new(e, &r->key, msg->token, msg->token_len);
	if (!f)
		return false;
	if (f->request != SLOT_NONE)
		return false;
	f->size_bytes = 0;
	if (msg->size_bytes <= FEED_REQUEST_MAX_BYTES) {
		f->size_bytes = (uint16_t)msg->size_bytes;
		memcpy(f->opening, msg->data, msg->size_bytes);
	}
	f->request = request_slot(e, r);
	r->feed = feed_slot(e, f);
	return true;
}

static uint64_t claim_id_of(const struct request *r)
{
	uint64_t token = 0;

	memcpy(&token, r->token, r->token_len);
	return hash_u64(token, r->identity + r->token_len);
}

/**
 * request_receive() - handle a request as the entry that executes it
 * @e: entry
 * @key: flow
 * @msg: request
 */
void request_receive(struct entry *e, const struct flow_key *key,
		     const struct message *msg)
{
	const struct service_conf *s = service_find(e, key->vip);
	struct request *r;

	if (request_handle_retransmission(e, key, msg))
		return;
	r = s ? request_new(e, key) : NULL;
	if (!r) {
		refuse_without_slot(e, key, msg);
		return;
	}
	e->counters.requests++;
	r->id = msg->id;
	r->flags = msg->flags;
	r->token_len = msg->token_len;
	memcpy(r->token, msg->token, msg->token_len);
	r->identity = request_identity(key, msg->id);
	r->claim_id = claim_id_of(r);
	r->deadline_ns = deadline_of(e, s, msg);
	r->size_bytes = msg->size_bytes;
	memcpy(r->data, msg->data, msg->size_bytes);
	index_put(e->by_identity, r->identity, request_slot(e, r));
	if (!attach_feed(e, r, msg)) {
		request_refuse(e, r, REFUSE_MEMORY, NO_SLOT_RETRY_AFTER_S);
		return;
	}
	if (transfer_forward_to_carrier(e, r))
		return;
	if (request_is_idempotent(e, r))
		request_submit(e, r);
	else
		claim_begin(e, r);
}
