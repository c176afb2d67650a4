#include "entry_state.h"

#include <string.h>

static bool same_request(const struct request *r, const struct flow_key *key,
			 const struct message *msg)
{
	return r->key.caller == key->caller && r->key.vip == key->vip &&
	       r->id == msg->id && !r->internal &&
	       r->token_len == msg->token_len &&
	       !memcmp(r->token, msg->token, msg->token_len);
}

static void emit_answer(struct entry *e, const struct request *r)
{
	struct action *a = emit(e, ACT_TO_CALLER);
	bool confirm = r->flags & MESSAGE_CONFIRM;

	a->key = r->key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? r->id : (uint16_t)rng_next(&e->rng);
	a->token_len = r->token_len;
	memcpy(a->token, r->token, r->token_len);
	a->target = r->target;
	a->data = r->data;
	a->size_bytes = r->size_bytes;
}

/**
 * reply_send() - send the target's answer, kept in the slot, to the caller
 * @e: entry
 * @r: request with the answer stored; its statistics are updated
 */
void reply_send(struct entry *e, const struct request *r)
{
	struct answer_stats *s =
		account_stats_find(e->stats, r->key.vip, r->flags);

	if (s) {
		s->answered++;
		histogram_add(&s->answer_us,
			      (e->now_ns - r->arrived_ns) / 1000);
	}
	emit_answer(e, r);
}

static void emit_local_answer(struct entry *e, const struct flow_key *key,
			      const struct request *r)
{
	struct action *a = emit(e, ACT_ANSWER_CALLER);
	bool confirm = r->flags & MESSAGE_CONFIRM;

	a->key = *key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? r->id : (uint16_t)rng_next(&e->rng);
	a->token_len = r->token_len;
	memcpy(a->token, r->token, r->token_len);
	a->answer = r->answer;
	a->reason = r->reason;
	a->retry_after_s = r->retry_after_s;
}

/**
 * local_answer_send() - send the local answer that a request ended with
 * @e: entry
 * @key: flow
 * @r: request with its answer and reason set; its statistics are updated
 */
void local_answer_send(struct entry *e, const struct flow_key *key,
		       const struct request *r)
{
	struct answer_stats *s =
		account_stats_find(e->stats, key->vip, r->flags);

	if (s && r->answer == ANSWER_NOT_RUN)
		s->not_run[r->reason]++;
	else if (s)
		s->unknown[r->reason]++;
	emit_local_answer(e, key, r);
}

/**
 * local_answer_send_unknown() - answer "outcome unknown" without a request slot
 * @e: entry
 * @key: flow
 * @msg: request as received
 */
void local_answer_send_unknown(struct entry *e, const struct flow_key *key,
			       const struct message *msg)
{
	struct answer_stats *s =
		account_stats_find(e->stats, key->vip, msg->flags);
	struct action *a = emit(e, ACT_ANSWER_CALLER);
	bool confirm = msg->flags & MESSAGE_CONFIRM;

	if (s)
		s->unknown[REFUSE_NONE]++;
	a->key = *key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? msg->id : (uint16_t)rng_next(&e->rng);
	a->token_len = msg->token_len;
	memcpy(a->token, msg->token, msg->token_len);
	a->answer = ANSWER_UNKNOWN;
	e->counters.answered_unknown++;
}

/**
 * request_handle_retransmission() - handle a request that may be a
 *	retransmission
 * @e: entry
 * @key: flow
 * @msg: request
 *
 * Absorbs the retransmission of a request in progress, and answers that of an
 * ended request again with its answer.
 *
 * Return: false when it is not a retransmission of any request in the table.
 */
bool request_handle_retransmission(struct entry *e, const struct flow_key *key,
				   const struct message *msg)
{
	uint32_t slot =
		index_get(e->by_identity, request_identity(key, msg->id));
	const struct request *r;

	if (slot == INDEX_NONE)
		return false;
	r = &e->requests[slot];
	if (!same_request(r, key, msg))
		return false;
	if (r->state != REQ_ENDED) {
		e->counters.repeats_absorbed++;
		return true;
	}
	e->counters.answers_replayed++;
	if (r->answer == ANSWER_RELAYED)
		emit_answer(e, r);
	else
		emit_local_answer(e, &r->key, r);
	return true;
}

/* reply_store() - store the target's answer in place of the request. */
void reply_store(struct request *r, const struct message *msg)
{
	r->answer = ANSWER_RELAYED;
	r->size_bytes = msg->size_bytes;
	memcpy(r->data, msg->data, msg->size_bytes);
}
