#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define REPEAT_NS NS_PER_S
#define RENEW_REPEAT_NS (NS_PER_S / 2)
#define SENDS_MAX 3
#define TRIES_MAX 3
#define MEMORY_RETRY_S 2

/* requests_init() - room for requests_max requests, all of it now. */
int requests_init(struct entry *e)
{
	uint32_t n = e->conf.requests_max;

	e->requests = calloc(n, sizeof(*e->requests));
	e->by_identity = index_new(n);
	e->by_up_id = index_new(n);
	if (!e->requests || !e->by_identity || !e->by_up_id)
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
	index_free(e->by_up_id);
}

uint32_t request_slot(const struct entry *e, const struct request *r)
{
	return (uint32_t)(r - e->requests);
}

uint64_t request_identity(const struct flow_key *key, uint16_t id)
{
	return hash_u64(flow_hash(key), id);
}

static uint64_t up_id_key(uint64_t target, uint16_t id)
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

static void release(struct entry *e, struct request *r)
{
	uint32_t slot = request_slot(e, r);

	index_del(e->by_identity, r->identity, slot);
	timers_clear(e->timers, slot);
	r->state = REQ_FREE;
	r->next = e->free_request;
	e->free_request = slot;
}

/**
 * request_drop() - forget a request without an answer from here
 * @e: entry
 * @r: request; another entry answers it, or nobody waits
 */
void request_drop(struct entry *e, struct request *r)
{
	if (r->state == REQ_ENDED)
		ended_unlink(e, r);
	else
		e->n_active--;
	release(e, r);
}

/**
 * request_new() - take a slot, if need be that of the oldest ended request
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

static bool same_request(const struct request *r, const struct flow_key *key,
			 const struct message *msg)
{
	return r->key.caller == key->caller && r->key.vip == key->vip &&
	       r->id == msg->id && !r->internal &&
	       r->token_len == msg->token_len &&
	       !memcmp(r->token, msg->token, msg->token_len);
}

static void relay(struct entry *e, const struct request *r)
{
	struct action *a = emit(e, ACT_TO_CALLER);
	bool confirm = r->flags & MSG_CONFIRM;

	a->key = r->key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? r->id : (uint16_t)rng_next(&e->rng);
	a->token_len = r->token_len;
	memcpy(a->token, r->token, r->token_len);
	a->target = r->target;
	a->data = r->data;
	a->size_bytes = r->size_bytes;
}

/* answer_own() - send the balancer's own answer that a request ended with. */
void answer_own(struct entry *e, const struct flow_key *key,
		const struct request *r)
{
	struct action *a = emit(e, ACT_ANSWER_CALLER);
	bool confirm = r->flags & MSG_CONFIRM;

	a->key = *key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? r->id : (uint16_t)rng_next(&e->rng);
	a->token_len = r->token_len;
	memcpy(a->token, r->token, r->token_len);
	a->answer = r->answer;
	a->reason = r->reason;
	a->retry_after_s = r->retry_after_s;
}

/* answer_unknown() - the same for a request that holds no slot. */
void answer_unknown(struct entry *e, const struct flow_key *key,
		    const struct message *msg)
{
	struct action *a = emit(e, ACT_ANSWER_CALLER);
	bool confirm = msg->flags & MSG_CONFIRM;

	a->key = *key;
	a->type = confirm ? WIRE_ACK : WIRE_PLAIN;
	a->id = confirm ? msg->id : (uint16_t)rng_next(&e->rng);
	a->token_len = msg->token_len;
	memcpy(a->token, msg->token, msg->token_len);
	a->answer = ANSWER_UNKNOWN;
	e->counters.answered_unknown++;
}

/**
 * request_repeated() - absorb a repeat of a request held here, or answer it
 *	again with the answer it had
 * @e: entry
 * @key: flow
 * @msg: request
 *
 * Return: false when it is no repeat of anything held here.
 */
bool request_repeated(struct entry *e, const struct flow_key *key,
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
		relay(e, r);
	else
		answer_own(e, &r->key, r);
	return true;
}

static void end(struct entry *e, struct request *r)
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
 * request_finish() - a request leaves its target, however it ended
 * @e: entry
 * @r: request
 * @outcome: how it ended
 */
void request_finish(struct entry *e, struct request *r, enum outcome outcome)
{
	if (r->up_id || r->sends)
		index_del(e->by_up_id, up_id_key(r->target, r->up_id),
			  request_slot(e, r));
	if (!r->running)
		return;
	r->running = false;
	balance_done(e->balancer, r->key.vip, r->target, outcome,
		     e->now_ns - r->sent_ns, e->now_ns);
}

static bool owned_long_enough(const struct entry *e, const struct request *r)
{
	return e->now_ns >= e->owner_since_ns[r->bucket] + e->conf.cover_ns;
}

static bool idempotent(const struct entry *e, const struct request *r)
{
	const struct service_conf *s = service_find(e, r->key.vip);

	return r->flags & MSG_IDEMPOTENT || (s && s->post_idempotent);
}

/*
 * "Not run" is said only when it is known. A non-idempotent request that got
 * this far was granted, so no one else ran it. An idempotent one has no claim:
 * an earlier owner may have run it and died before answering, so a new owner
 * says "unknown" until no caller can be repeating an old request any more.
 */
static bool known_not_run(const struct entry *e, const struct request *r)
{
	if (r->maybe_run)
		return false;
	return !idempotent(e, r) || owned_long_enough(e, r);
}

/**
 * request_unknown() - end a request whose outcome nobody can tell
 * @e: entry
 * @r: request
 * @why: for the log
 */
void request_unknown(struct entry *e, struct request *r, const char *why)
{
	request_finish(e, r, OUTCOME_TIMEOUT);
	if (r->internal) {
		feed_renew_failed(e, &e->feeds[r->feed], r);
		return;
	}
	emit_note(e, why, &r->key, r->target);
	claim_settle(e, r, CLAIM_UNKNOWN);
	e->counters.answered_unknown++;
	r->answer = ANSWER_UNKNOWN;
	answer_own(e, &r->key, r);
	if (r->feed != SLOT_NONE)
		feed_refused(e, &e->feeds[r->feed], r);
	end(e, r);
}

/**
 * request_refuse() - end a request that does not run, at once
 * @e: entry
 * @r: request
 * @reason: enum refusal
 * @retry_after_s: when the caller may come back
 */
void request_refuse(struct entry *e, struct request *r, uint8_t reason,
		    uint32_t retry_after_s)
{
	r->reason = reason;
	r->retry_after_s = retry_after_s;
	if (r->internal || !known_not_run(e, r)) {
		request_unknown(e, r, "refused, but may have run before");
		return;
	}
	claim_settle(e, r, CLAIM_REFUSED);
	e->counters.refused_not_run++;
	r->answer = ANSWER_NOT_RUN;
	answer_own(e, &r->key, r);
	if (r->feed != SLOT_NONE)
		feed_refused(e, &e->feeds[r->feed], r);
	end(e, r);
}

static void refuse_without_slot(struct entry *e, const struct flow_key *key,
				const struct message *msg)
{
	struct request r = { .id = msg->id,
			     .flags = msg->flags,
			     .token_len = msg->token_len,
			     .answer = ANSWER_NOT_RUN,
			     .reason = REFUSE_MEMORY,
			     .retry_after_s = MEMORY_RETRY_S };

	r.bucket = ring_bucket(e->ring, key);
	memcpy(r.token, msg->token, msg->token_len);
	if (!(msg->flags & MSG_IDEMPOTENT) || !owned_long_enough(e, &r)) {
		answer_unknown(e, key, msg);
		return;
	}
	e->counters.refused_not_run++;
	answer_own(e, key, &r);
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

	if (msg->flags & MSG_FEED_CLOSE) {
		if (f)
			feed_end(e, f, true);
		return true;
	}
	if (!(msg->flags & MSG_FEED_OPEN))
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

static uint64_t request_hash(const struct request *r)
{
	uint64_t token = 0;

	memcpy(&token, r->token, r->token_len);
	return hash_u64(token, r->identity + r->token_len);
}

/**
 * request_arrived() - a request at the owner of its flow
 * @e: entry
 * @key: flow
 * @msg: request
 * @hops: forwards so far
 */
void request_arrived(struct entry *e, const struct flow_key *key,
		     const struct message *msg, uint8_t hops)
{
	const struct service_conf *s = service_find(e, key->vip);
	struct request *r;

	if (request_repeated(e, key, msg))
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
	r->request = request_hash(r);
	r->deadline_ns = deadline_of(e, s, msg);
	r->size_bytes = msg->size_bytes;
	memcpy(r->data, msg->data, msg->size_bytes);
	index_put(e->by_identity, r->identity, request_slot(e, r));
	if (!attach_feed(e, r, msg)) {
		request_refuse(e, r, REFUSE_MEMORY, MEMORY_RETRY_S);
		return;
	}
	if (idempotent(e, r))
		request_submit(e, r);
	else
		claim_begin(e, r, hops);
}

static uint8_t class_of(const struct request *r, const struct service_conf *s)
{
	if (r->feed != SLOT_NONE)
		return CLASS_FEED;
	if (r->flags & MSG_PART)
		return CLASS_UPLOAD;
	return s->class == CLASS_FEED ? CLASS_REPORT : s->class;
}

/**
 * request_submit() - ask the balancer for a target
 * @e: entry
 * @r: request; if not idempotent, its claim is granted
 */
void request_submit(struct entry *e, struct request *r)
{
	const struct service_conf *s = service_find(e, r->key.vip);
	struct work w = { .handle = request_slot(e, r),
			  .vip = r->key.vip,
			  .feed = r->feed != SLOT_NONE,
			  .avoid = r->avoid,
			  .hash = flow_hash(&r->key),
			  .deadline_ns = r->deadline_ns };
	struct ruling ruling;

	if (!s) {
		request_refuse(e, r, REFUSE_NO_TARGET, MEMORY_RETRY_S);
		return;
	}
	w.class = class_of(r, s);
	if (r->flags & MSG_PART)
		w.pinned = flow_lookup(e->pins, &r->key, e->now_ns);
	ruling = balance_submit(e->balancer, &w, e->now_ns);
	if (ruling.verdict == VERDICT_REFUSED) {
		request_refuse(e, r, ruling.reason, ruling.retry_after_s);
		return;
	}
	if (ruling.verdict == VERDICT_QUEUED) {
		r->state = REQ_QUEUED;
		timers_set(e->timers, w.handle, r->deadline_ns + NS_PER_S);
		return;
	}
	r->running = true;
	request_send(e, r, ruling.target);
}

static bool may_repeat(const struct entry *e, const struct request *r)
{
	const struct service_conf *s = service_find(e, r->key.vip);

	return idempotent(e, r) || (s && s->target_dedups);
}

static void arm(struct entry *e, struct request *r)
{
	uint64_t first = r->internal ? RENEW_REPEAT_NS : REPEAT_NS;
	uint64_t next = r->deadline_ns;

	r->repeat_deadline_ns = DEADLINE_NEVER;
	if (!r->acked && may_repeat(e, r))
		r->repeat_deadline_ns = e->now_ns + (first << (r->sends - 1));
	if (r->repeat_deadline_ns < next)
		next = r->repeat_deadline_ns;
	timers_set(e->timers, request_slot(e, r), next);
}

static void transmit(struct entry *e, struct request *r)
{
	struct action *a = emit(e, ACT_TO_TARGET);
	uint64_t token = up_token(false, request_slot(e, r), r->generation,
				  e->conf.seed);

	if (r->feed != SLOT_NONE)
		token = up_token(true, r->feed, e->feeds[r->feed].generation,
				 e->conf.seed);
	a->key = r->key;
	a->target = r->target;
	a->type = WIRE_CONFIRM;
	a->id = r->up_id;
	a->token_len = sizeof(token);
	memcpy(a->token, &token, sizeof(token));
	a->data = r->data;
	a->size_bytes = r->size_bytes;
	if (r->feed == SLOT_NONE && r->deadline_ns > e->now_ns)
		a->timeout_ns = r->deadline_ns - e->now_ns;
	r->sends++;
	arm(e, r);
}

static void pin_part(struct entry *e, struct request *r)
{
	struct ring_pair pair = ring_at(e->ring, r->bucket);
	struct peer_msg *m;

	if (flow_lookup(e->pins, &r->key, e->now_ns) == r->target)
		return;
	if (flow_pin(e->pins, &r->key, r->target, e->now_ns) < 0) {
		e->counters.flow_table_full++;
		return;
	}
	e->counters.pins_made++;
	if (pair.second == ADDR_NONE || pair.second == e->conf.member.self)
		return;
	m = emit_peer(e, pair.second, PEER_PIN);
	m->key = r->key;
	m->target = r->target;
}

/**
 * request_send() - send a request to a target
 * @e: entry
 * @r: request; counted at @target by the balancer when @r->running
 * @target: target
 */
void request_send(struct entry *e, struct request *r, uint64_t target)
{
	struct claim *c = claims_find(e->claims, r->request);

	r->target = target;
	r->sent_ns = e->now_ns;
	if (!id_next(e, target, &r->up_id)) {
		request_finish(e, r, OUTCOME_CANCELLED);
		request_refuse(e, r, REFUSE_MEMORY, MEMORY_RETRY_S);
		return;
	}
	if (index_put(e->by_up_id, up_id_key(target, r->up_id),
		      request_slot(e, r)) < 0) {
		request_finish(e, r, OUTCOME_CANCELLED);
		request_refuse(e, r, REFUSE_MEMORY, MEMORY_RETRY_S);
		return;
	}
	if (c && !idempotent(e, r))
		c->target = target;
	if (r->flags & MSG_PART)
		pin_part(e, r);
	r->state = REQ_SENT;
	r->maybe_run = true;
	r->acked = false;
	r->sends = 0;
	r->tries++;
	transmit(e, r);
}

static bool may_try_another(struct entry *e, const struct request *r)
{
	if (r->tries >= TRIES_MAX || r->deadline_ns <= e->now_ns)
		return false;
	return balance_may_retry(e->balancer, r->key.vip, e->now_ns);
}

static void cancel_at_target(struct entry *e, const struct request *r)
{
	struct action *a = emit(e, ACT_CANCEL_TARGET);

	a->key = r->key;
	a->target = r->target;
	a->id = r->up_id;
	e->counters.cancels++;
}

/* No answer after several sends: try elsewhere what may run twice. */
static void silent_target(struct entry *e, struct request *r)
{
	if (r->internal) {
		request_unknown(e, r, "target silent while renewing a feed");
		return;
	}
	if (!idempotent(e, r) || !may_try_another(e, r)) {
		r->repeat_deadline_ns = DEADLINE_NEVER;
		timers_set(e->timers, request_slot(e, r), r->deadline_ns);
		return;
	}
	cancel_at_target(e, r);
	request_finish(e, r, OUTCOME_TIMEOUT);
	r->avoid = r->target;
	if (r->flags & MSG_PART)
		flow_unpin(e->pins, &r->key);
	e->counters.retries++;
	request_submit(e, r);
}

static void sent_timer(struct entry *e, struct request *r)
{
	if (e->now_ns >= r->deadline_ns) {
		cancel_at_target(e, r);
		request_unknown(e, r, "no answer from the target in time");
		return;
	}
	if (r->sends >= SENDS_MAX)
		silent_target(e, r);
	else
		transmit(e, r);
}

/* request_timer() - the deadline of a request's slot has come. */
void request_timer(struct entry *e, struct request *r)
{
	switch (r->state) {
	case REQ_CLAIMING:
		claim_repeat(e, r);
		break;
	case REQ_QUEUED:
		balance_cancel(e->balancer, request_slot(e, r));
		request_refuse(e, r, REFUSE_DEADLINE, MEMORY_RETRY_S);
		break;
	case REQ_SENT:
		sent_timer(e, r);
		break;
	case REQ_ENDED:
		request_drop(e, r);
		break;
	default:
		break;
	}
}

/* request_by_up_id() - request a target names by message ID, or NULL. */
struct request *request_by_up_id(struct entry *e, uint64_t target, uint16_t id)
{
	uint32_t slot = index_get(e->by_up_id, up_id_key(target, id));
	struct request *r;

	if (slot == INDEX_NONE)
		return NULL;
	r = &e->requests[slot];
	if (r->state != REQ_SENT || r->target != target || r->up_id != id)
		return NULL;
	return r;
}

/* A caller cancels its request with a reset of the request's message ID. */
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
	request_finish(e, r, OUTCOME_CANCELLED);
	claim_settle(e, r, r->maybe_run ? CLAIM_UNKNOWN : CLAIM_REFUSED);
	if (r->feed != SLOT_NONE)
		feed_end(e, &e->feeds[r->feed], false);
	r->answer = ANSWER_UNKNOWN;
	end(e, r);
}

static void shed(struct entry *e, struct request *r)
{
	request_finish(e, r, OUTCOME_SHED);
	r->maybe_run = false;
	r->avoid = r->target;
	if (!may_try_another(e, r)) {
		request_refuse(e, r, REFUSE_SHED, MEMORY_RETRY_S);
		return;
	}
	if (r->flags & MSG_PART)
		flow_unpin(e->pins, &r->key);
	e->counters.retries++;
	request_submit(e, r);
}

static void keep_answer(struct request *r, const struct message *msg)
{
	r->answer = ANSWER_RELAYED;
	r->size_bytes = msg->size_bytes;
	memcpy(r->data, msg->data, msg->size_bytes);
}

static void internal_answered(struct entry *e, struct request *r,
			      uint64_t target, const struct message *msg)
{
	struct feed *f = &e->feeds[r->feed];

	if (!(msg->flags & MSG_FEED_OPEN)) {
		request_finish(e, r, OUTCOME_ERROR);
		feed_renew_failed(e, f, r);
		return;
	}
	request_finish(e, r, OUTCOME_OK);
	end(e, r);
	feed_opened(e, f, target);
	feed_update(e, f, target, msg);
}

/**
 * request_answered() - the target's answer to a request
 * @e: entry
 * @r: request at the target
 * @target: sender
 * @msg: answer
 */
void request_answered(struct entry *e, struct request *r, uint64_t target,
		      const struct message *msg)
{
	bool failed = msg->flags & MSG_FAILED;

	if (r->internal) {
		internal_answered(e, r, target, msg);
		return;
	}
	if (msg->flags & MSG_SHED) {
		shed(e, r);
		return;
	}
	request_finish(e, r, failed ? OUTCOME_ERROR : OUTCOME_OK);
	if (msg->flags & MSG_PART)
		pin_part(e, r);
	claim_settle(e, r, CLAIM_DONE);
	e->counters.answers++;
	keep_answer(r, msg);
	relay(e, r);
	if (r->feed != SLOT_NONE) {
		struct feed *f = &e->feeds[r->feed];

		if (msg->flags & MSG_FEED_OPEN)
			feed_opened(e, f, target);
		else
			feed_drop(e, f);
	}
	end(e, r);
}

static void start_queued(struct entry *e, struct request *r,
			 const struct ruling *ruling)
{
	r->running = true;
	r->target = ruling->target;
	r->sent_ns = e->now_ns;
	if (idempotent(e, r) || claim_safe_now(e)) {
		request_send(e, r, ruling->target);
		return;
	}
	/*
	 * This process was paused after the grant. Another entry may own the
	 * flow by now and have told the caller that the outcome is unknown;
	 * a send now would run what the caller may have given up. The second
	 * is asked again, and knows.
	 */
	e->counters.stale_sends_stopped++;
	request_finish(e, r, OUTCOME_CANCELLED);
	r->state = REQ_CLAIMING;
	claim_repeat(e, r);
}

/* requests_drain() - start or refuse what the balancer has ready. */
void requests_drain(struct entry *e)
{
	struct ruling ruling;
	uint32_t slot;

	while (emit_room(e) &&
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
