#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define NO_SLOT_RETRY_AFTER_S 2

/**
 * requests_init() - allocate the slots of all requests
 * @entry: state of this entry
 *
 * Return: 0, or -ENOMEM.
 */
int requests_init(struct entry *entry)
{
	uint32_t n = entry->conf.requests_max;

	entry->requests = calloc(n, sizeof(*entry->requests));
	entry->by_identity = index_new(n);
	entry->by_target_msg_id = index_new(n);
	if (!entry->requests || !entry->by_identity || !entry->by_target_msg_id)
		return -ENOMEM;
	for (uint32_t i = 0; i < n; i++)
		entry->requests[i].next = i + 1 < n ? i + 1 : SLOT_NONE;
	entry->free_request = 0;
	entry->ended_first = SLOT_NONE;
	entry->ended_last = SLOT_NONE;
	return 0;
}

void requests_free(struct entry *entry)
{
	free(entry->requests);
	index_free(entry->by_identity);
	index_free(entry->by_target_msg_id);
}

uint32_t request_slot(const struct entry *entry, const struct request *req)
{
	return (uint32_t)(req - entry->requests);
}

uint64_t request_identity(const struct flow_key *key, uint16_t id)
{
	return hash_u64(flow_hash(key), id);
}

uint64_t request_target_msg_id_key(uint64_t target, uint16_t id)
{
	return hash_u64(target, 1ULL << 16 | id);
}

static void ended_unlink(struct entry *entry, struct request *req)
{
	if (req->prev == SLOT_NONE)
		entry->ended_first = req->next;
	else
		entry->requests[req->prev].next = req->next;
	if (req->next == SLOT_NONE)
		entry->ended_last = req->prev;
	else
		entry->requests[req->next].prev = req->prev;
}

static void ended_append(struct entry *entry, struct request *req)
{
	uint32_t slot = request_slot(entry, req);

	req->next = SLOT_NONE;
	req->prev = entry->ended_last;
	if (entry->ended_last == SLOT_NONE)
		entry->ended_first = slot;
	else
		entry->requests[entry->ended_last].next = slot;
	entry->ended_last = slot;
}

static void release_slot(struct entry *entry, struct request *req)
{
	uint32_t slot = request_slot(entry, req);

	index_del(entry->by_identity, req->identity, slot);
	timers_clear(entry->timers, slot);
	req->state = REQ_FREE;
	req->next = entry->free_request;
	entry->free_request = slot;
}

/**
 * request_drop() - free a request's slot without an answer from here
 * @entry: state of this entry
 * @req: request; another entry answers it, or no caller waits for it
 */
void request_drop(struct entry *entry, struct request *req)
{
	if (req->state == REQ_ENDED)
		ended_unlink(entry, req);
	else
		entry->n_active--;
	release_slot(entry, req);
}

/**
 * request_new() - allocate a slot, if necessary that of the oldest ended
 *	request
 * @entry: state of this entry
 * @key: flow
 *
 * Return: request, or NULL when every slot is active.
 */
struct request *request_new(struct entry *entry, const struct flow_key *key)
{
	uint32_t slot = entry->free_request;
	struct request *req;
	uint32_t generation;

	if (slot == SLOT_NONE) {
		if (entry->ended_first == SLOT_NONE)
			return NULL;
		request_drop(entry, &entry->requests[entry->ended_first]);
		slot = entry->free_request;
	}
	req = &entry->requests[slot];
	entry->free_request = req->next;
	generation = req->generation + 1;
	memset(req, 0, offsetof(struct request, data));
	req->generation = generation;
	req->key = *key;
	req->bucket = ring_bucket(entry->ring, key);
	req->feed = SLOT_NONE;
	req->arrived_ns = entry->now_ns;
	entry->n_active++;
	return req;
}

/**
 * request_complete() - mark a request as answered
 * @entry: state of this entry
 * @req: request; kept for the cover time to answer retransmissions, an internal
 *	one is freed
 */
void request_complete(struct entry *entry, struct request *req)
{
	uint32_t slot = request_slot(entry, req);

	if (req->feed != SLOT_NONE && entry->feeds[req->feed].request == slot)
		entry->feeds[req->feed].request = SLOT_NONE;
	if (req->internal) {
		request_drop(entry, req);
		return;
	}
	req->state = REQ_ENDED;
	entry->n_active--;
	ended_append(entry, req);
	timers_set(entry->timers, slot, entry->now_ns + entry->conf.cover_ns);
}

/**
 * request_leave_target() - remove a request from its target and the balancer
 * @entry: state of this entry
 * @req: request; stays in its slot
 * @outcome: how it ended at the target
 */
void request_leave_target(struct entry *entry, struct request *req,
			  enum outcome outcome)
{
	if (req->target_msg_id || req->sends)
		index_del(entry->by_target_msg_id,
			  request_target_msg_id_key(req->target,
						    req->target_msg_id),
			  request_slot(entry, req));
	if (!req->counted)
		return;
	req->counted = false;
	balance_record_end(entry->balancer, req->key.vip, req->target, outcome,
			   entry->now_ns - req->sent_ns, entry->now_ns);
}

static bool owned_for_cover_time(const struct entry *entry,
				 const struct request *req)
{
	return entry->now_ns >=
	       entry->owner_since_ns[req->bucket] + entry->conf.cover_ns;
}

/*
 * request_is_idempotent() - whether a request may be executed twice, by its
 * method, by the service's settings, or because the target only stores it.
 */
bool request_is_idempotent(const struct entry *entry, const struct request *req)
{
	const struct service_conf *s = service_find(entry, req->key.vip);

	if (transfer_only_stores(req))
		return true;
	return req->flags & MESSAGE_IDEMPOTENT || (s && s->post_idempotent);
}

/*
 * "Not run" is answered only if it is certain. A non-idempotent request that
 * got this far was granted, so no other entry executed it. An idempotent one
 * has no claim: an earlier owner may have executed it and died before it
 * answered. So a new owner answers "unknown" until the cover time is over and
 * no caller can be retransmitting an older request.
 */
static bool known_not_run(const struct entry *entry, const struct request *req)
{
	if (transfer_only_stores(req))
		return true;
	if (req->may_have_run)
		return false;
	return !request_is_idempotent(entry, req) ||
	       owned_for_cover_time(entry, req);
}

/**
 * request_end_unknown() - end a request whose outcome can't be known
 * @entry: state of this entry
 * @req: request; an internal one is a failed renewal of its feed
 * @why: cause, static text for the log
 */
void request_end_unknown(struct entry *entry, struct request *req,
			 const char *why)
{
	request_leave_target(entry, req, OUTCOME_TIMEOUT);
	if (req->internal) {
		feed_renew_failed(entry, &entry->feeds[req->feed], req);
		return;
	}
	emit_log(entry, why, &req->key, req->target);
	claim_record_outcome(entry, req, CLAIM_UNKNOWN);
	entry->counters.answered_unknown++;
	req->answer = ANSWER_UNKNOWN;
	local_answer_send(entry, &req->key, req);
	if (req->feed != SLOT_NONE)
		feed_open_refused(entry, &entry->feeds[req->feed], req);
	request_complete(entry, req);
}

/**
 * request_refuse() - end a request without executing it
 * @entry: state of this entry
 * @req: request; ended as unknown when it may have been executed before
 * @reason: enum refusal
 * @retry_after_s: time after which the caller may retry
 */
void request_refuse(struct entry *entry, struct request *req, uint8_t reason,
		    uint32_t retry_after_s)
{
	req->reason = reason;
	req->retry_after_s = retry_after_s;
	if (req->internal || !known_not_run(entry, req)) {
		request_end_unknown(
			entry, req,
			"refused, but may have been executed before");
		return;
	}
	claim_record_outcome(entry, req, CLAIM_REFUSED);
	entry->counters.refused_not_run++;
	req->answer = ANSWER_NOT_RUN;
	local_answer_send(entry, &req->key, req);
	if (req->feed != SLOT_NONE)
		feed_open_refused(entry, &entry->feeds[req->feed], req);
	request_complete(entry, req);
}

static void refuse_without_slot(struct entry *entry, const struct flow_key *key,
				const struct message *msg)
{
	struct request req = { .id = msg->id,
			       .flags = msg->flags,
			       .token_len = msg->token_len,
			       .answer = ANSWER_NOT_RUN,
			       .reason = REFUSE_MEMORY,
			       .retry_after_s = NO_SLOT_RETRY_AFTER_S };

	req.bucket = ring_bucket(entry->ring, key);
	memcpy(req.token, msg->token, msg->token_len);
	if (!(msg->flags & MESSAGE_IDEMPOTENT) ||
	    !owned_for_cover_time(entry, &req)) {
		local_answer_send_unknown(entry, key, msg);
		return;
	}
	entry->counters.refused_not_run++;
	local_answer_send(entry, key, &req);
}

static uint64_t deadline_of(const struct entry *entry,
			    const struct service_conf *s,
			    const struct message *msg)
{
	uint64_t timeout_ns = s->request_timeout_ns;

	if (msg->timeout_ns && msg->timeout_ns < timeout_ns)
		timeout_ns = msg->timeout_ns;
	return entry->now_ns + timeout_ns;
}

static bool attach_feed(struct entry *entry, struct request *req,
			const struct message *msg)
{
	struct feed *feed =
		feed_find(entry, &req->key, msg->token, msg->token_len);

	if (msg->flags & MESSAGE_FEED_CLOSE) {
		if (feed)
			feed_end(entry, feed, true);
		return true;
	}
	if (!(msg->flags & MESSAGE_FEED_OPEN))
		return true;
	if (!feed)
		feed = feed_new(entry, &req->key, msg->token, msg->token_len);
	if (!feed)
		return false;
	if (feed->request != SLOT_NONE)
		return false;
	feed->size_bytes = 0;
	if (msg->size_bytes <= FEED_REQUEST_MAX_BYTES) {
		feed->size_bytes = (uint16_t)msg->size_bytes;
		memcpy(feed->opening, msg->data, msg->size_bytes);
	}
	feed->request = request_slot(entry, req);
	req->feed = feed_slot(entry, feed);
	return true;
}

static uint64_t claim_id_of(const struct request *req)
{
	uint64_t token = 0;

	memcpy(&token, req->token, req->token_len);
	return hash_u64(token, req->identity + req->token_len);
}

/**
 * request_receive() - handle a request as the entry that executes it
 * @entry: state of this entry
 * @key: flow
 * @msg: request
 */
void request_receive(struct entry *entry, const struct flow_key *key,
		     const struct message *msg)
{
	const struct service_conf *s = service_find(entry, key->vip);
	struct request *req;

	if (request_handle_retransmission(entry, key, msg))
		return;
	req = s ? request_new(entry, key) : NULL;
	if (!req) {
		refuse_without_slot(entry, key, msg);
		return;
	}
	entry->counters.requests++;
	req->id = msg->id;
	req->flags = msg->flags;
	req->token_len = msg->token_len;
	memcpy(req->token, msg->token, msg->token_len);
	req->identity = request_identity(key, msg->id);
	req->claim_id = claim_id_of(req);
	req->deadline_ns = deadline_of(entry, s, msg);
	req->size_bytes = msg->size_bytes;
	memcpy(req->data, msg->data, msg->size_bytes);
	index_put(entry->by_identity, req->identity, request_slot(entry, req));
	if (!attach_feed(entry, req, msg)) {
		request_refuse(entry, req, REFUSE_MEMORY,
			       NO_SLOT_RETRY_AFTER_S);
		return;
	}
	if (transfer_forward_to_carrier(entry, req))
		return;
	if (request_is_idempotent(entry, req))
		request_submit(entry, req);
	else
		claim_begin(entry, req);
}
