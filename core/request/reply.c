#include "entry_state.h"

#include <string.h>

static bool same_request(const struct request *req, const struct flow_key *key,
			 const struct message *msg)
{
	return req->key.caller == key->caller && req->key.vip == key->vip &&
	       req->id == msg->id && !req->internal &&
	       req->token_len == msg->token_len &&
	       !memcmp(req->token, msg->token, msg->token_len);
}

static void emit_answer(struct entry *entry, const struct request *req)
{
	struct action *a = emit(entry, ACT_TO_CALLER);
	bool confirm = req->flags & MESSAGE_CONFIRM;

	a->key = req->key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? req->id : (uint16_t)rng_next(&entry->rng);
	a->token_len = req->token_len;
	memcpy(a->token, req->token, req->token_len);
	a->target = req->target;
	a->data = req->data;
	a->size_bytes = req->size_bytes;
}

/**
 * reply_send() - send the target's answer, kept in the slot, to the caller
 * @entry: state of this entry
 * @req: request with the answer stored; its statistics are updated
 */
void reply_send(struct entry *entry, const struct request *req)
{
	struct answer_stats *s =
		account_stats_find(entry->stats, req->key.vip, req->flags);

	if (s) {
		s->answered++;
		histogram_add(&s->answer_us,
			      (entry->now_ns - req->arrived_ns) / 1000);
	}
	emit_answer(entry, req);
}

static void emit_local_answer(struct entry *entry, const struct flow_key *key,
			      const struct request *req)
{
	struct action *a = emit(entry, ACT_ANSWER_CALLER);
	bool confirm = req->flags & MESSAGE_CONFIRM;

	a->key = *key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? req->id : (uint16_t)rng_next(&entry->rng);
	a->token_len = req->token_len;
	memcpy(a->token, req->token, req->token_len);
	a->answer = req->answer;
	a->reason = req->reason;
	a->retry_after_s = req->retry_after_s;
}

/**
 * local_answer_send() - send the local answer that a request ended with
 * @entry: state of this entry
 * @key: flow
 * @req: request with its answer and reason set; its statistics are updated
 */
void local_answer_send(struct entry *entry, const struct flow_key *key,
		       const struct request *req)
{
	struct answer_stats *s =
		account_stats_find(entry->stats, key->vip, req->flags);

	if (s && req->answer == ANSWER_NOT_RUN)
		s->not_run[req->reason]++;
	else if (s)
		s->unknown[req->reason]++;
	emit_local_answer(entry, key, req);
}

/**
 * local_answer_send_unknown() - answer "outcome unknown" without a request slot
 * @entry: state of this entry
 * @key: flow
 * @msg: request as received
 */
void local_answer_send_unknown(struct entry *entry, const struct flow_key *key,
			       const struct message *msg)
{
	struct answer_stats *s =
		account_stats_find(entry->stats, key->vip, msg->flags);
	struct action *a = emit(entry, ACT_ANSWER_CALLER);
	bool confirm = msg->flags & MESSAGE_CONFIRM;

	if (s)
		s->unknown[REFUSE_NONE]++;
	a->key = *key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? msg->id : (uint16_t)rng_next(&entry->rng);
	a->token_len = msg->token_len;
	memcpy(a->token, msg->token, msg->token_len);
	a->answer = ANSWER_UNKNOWN;
	entry->counters.answered_unknown++;
}

/**
 * request_handle_retransmission() - handle a request that may be a
 *	retransmission
 * @entry: state of this entry
 * @key: flow
 * @msg: request
 *
 * Absorbs the retransmission of a request in progress, and answers that of an
 * ended request again with its answer.
 *
 * Return: false when it is not a retransmission of any request in the table.
 */
bool request_handle_retransmission(struct entry *entry,
				   const struct flow_key *key,
				   const struct message *msg)
{
	uint32_t slot =
		index_get(entry->by_identity, request_identity(key, msg->id));
	const struct request *req;

	if (slot == INDEX_NONE)
		return false;
	req = &entry->requests[slot];
	if (!same_request(req, key, msg))
		return false;
	if (req->state != REQ_ENDED) {
		entry->counters.repeats_absorbed++;
		return true;
	}
	entry->counters.answers_replayed++;
	if (req->answer == ANSWER_RELAYED)
		emit_answer(entry, req);
	else
		emit_local_answer(entry, &req->key, req);
	return true;
}

/* reply_store() - store the target's answer in place of the request. */
void reply_store(struct request *req, const struct message *msg)
{
	req->answer = ANSWER_RELAYED;
	req->size_bytes = msg->size_bytes;
	memcpy(req->data, msg->data, msg->size_bytes);
}
