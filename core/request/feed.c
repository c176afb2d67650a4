/*
 * Feeds that this entry serves: open, relay updates and acknowledgements, end.
 */
#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * feeds_init() - allocate the slots of all feeds and second copies
 * @e: entry
 *
 * Return: 0, or -ENOMEM.
 */
int feeds_init(struct entry *e)
{
	uint32_t n = e->conf.feeds_max;

	e->feeds = calloc(n, sizeof(*e->feeds));
	e->feed_heads = malloc(e->conf.n_buckets * sizeof(*e->feed_heads));
	e->feed_by_identity = index_new(n);
	e->feed_by_caller_msg_id = index_new(n);
	if (!e->feeds || !e->feed_heads || !e->feed_by_identity ||
	    !e->feed_by_caller_msg_id)
		return -ENOMEM;
	memset(e->feed_heads, 0xff, e->conf.n_buckets * sizeof(*e->feed_heads));
	for (uint32_t i = 0; i < n; i++)
		e->feeds[i].next = i + 1 < n ? i + 1 : SLOT_NONE;
	return 0;
}

void feeds_free(struct entry *e)
{
	free(e->feeds);
	free(e->feed_heads);
	index_free(e->feed_by_identity);
	index_free(e->feed_by_caller_msg_id);
}

uint32_t feed_slot(const struct entry *e, const struct feed *f)
{
	return (uint32_t)(f - e->feeds);
}

static uint64_t identity_of(const struct flow_key *key, const uint8_t *token,
			    uint8_t token_len)
{
	uint64_t word = 0;

	memcpy(&word, token, token_len);
	return hash_u64(word, flow_hash(key) + token_len);
}

static uint64_t caller_msg_id_key(const struct flow_key *key, uint16_t id)
{
	return hash_u64(id, ~flow_hash(key));
}

static bool same_flow(const struct flow_key *a, const struct flow_key *b)
{
	return a->caller == b->caller && a->vip == b->vip;
}

/**
 * feed_find() - feed of a flow by the caller's token
 * @e: entry
 * @key: flow
 * @token: caller's token
 * @token_len: its length in bytes
 *
 * Return: feed or second copy, or NULL.
 */
struct feed *feed_find(struct entry *e, const struct flow_key *key,
		       const uint8_t *token, uint8_t token_len)
{
	uint32_t slot = index_get(e->feed_by_identity,
				  identity_of(key, token, token_len));
	struct feed *f;

	if (slot == INDEX_NONE)
		return NULL;
	f = &e->feeds[slot];
	if (!same_flow(&f->key, key) || f->token_len != token_len ||
	    memcmp(f->token, token, token_len))
		return NULL;
	return f;
}

/*
 * A caller discards an update whose message ID it received within the last 247
 * s (EXCHANGE_LIFETIME in RFC 7252), and the feed appears to stall. The IDs of
 * one flow share one range, so feeds of the same flow start a quarter of the
 * range apart.
 */
static uint16_t first_caller_msg_id(struct entry *e, const struct feed *f)
{
	uint32_t slot = e->feed_heads[f->bucket];

	for (; slot != SLOT_NONE; slot = e->feeds[slot].next) {
		const struct feed *other = &e->feeds[slot];

		if (same_flow(&other->key, &f->key))
			return (uint16_t)(other->caller_msg_id +
					  MSG_ID_GAP_LARGE);
	}
	return (uint16_t)rng_next(&e->rng);
}

/**
 * feed_new() - allocate a slot for a feed
 * @e: entry
 * @key: flow
 * @token: caller's token
 * @token_len: its length in bytes
 *
 * Return: feed in FEED_OPENING, or NULL when all slots are in use.
 */
struct feed *feed_new(struct entry *e, const struct flow_key *key,
		      const uint8_t *token, uint8_t token_len)
{
	uint32_t slot = e->free_feed;
	struct feed *f;
	uint32_t generation;

	if (slot == SLOT_NONE)
		return NULL;
	f = &e->feeds[slot];
	e->free_feed = f->next;
	if (slot >= e->feed_slots_used)
		e->feed_slots_used = slot + 1;
	generation = f->generation + 1;
	memset(f, 0, sizeof(*f));
	f->generation = generation;
	f->key = *key;
	f->token_len = token_len;
	memcpy(f->token, token, token_len);
	f->identity = identity_of(key, token, token_len);
	f->bucket = ring_bucket(e->ring, key);
	f->request = SLOT_NONE;
	f->copy_deadline_ns = DEADLINE_NEVER;
	f->handover_deadline_ns = DEADLINE_NEVER;
	f->caller_msg_id = first_caller_msg_id(e, f);
	f->state = FEED_OPENING;
	f->last_update_ns = e->now_ns;
	index_put(e->feed_by_identity, f->identity, slot);
	f->prev = SLOT_NONE;
	f->next = e->feed_heads[f->bucket];
	if (f->next != SLOT_NONE)
		e->feeds[f->next].prev = slot;
	e->feed_heads[f->bucket] = slot;
	return f;
}

static bool state_is_serving(uint8_t state)
{
	return state == FEED_OPEN || state == FEED_RENEWING;
}

/* feed_state_set() - set the state and update the counts that depend on it. */
void feed_state_set(struct entry *e, struct feed *f, uint8_t state)
{
	e->n_feeds_held += state_is_serving(state) - state_is_serving(f->state);
	e->n_feeds_renewing +=
		(state == FEED_RENEWING) - (f->state == FEED_RENEWING);
	f->state = state;
}

static void set_connection_counted(struct entry *e, struct feed *f, bool on)
{
	if (f->counted == on)
		return;
	f->counted = on;
	balance_feed(e->balancer, f->key.vip, f->target, on ? 1 : -1);
}

/**
 * feed_drop() - free the slot of a feed or second copy
 * @e: entry
 * @f: feed; neither the target nor the second is notified
 */
void feed_drop(struct entry *e, struct feed *f)
{
	uint32_t slot = feed_slot(e, f);

	if (f->request != SLOT_NONE)
		e->requests[f->request].feed = SLOT_NONE;
	set_connection_counted(e, f, false);
	feed_state_set(e, f, FEED_FREE);
	index_del(e->feed_by_identity, f->identity, slot);
	index_del(e->feed_by_caller_msg_id,
		  caller_msg_id_key(&f->key, f->caller_msg_id), slot);
	timers_clear(e->timers, e->conf.requests_max + slot);
	if (f->prev == SLOT_NONE)
		e->feed_heads[f->bucket] = f->next;
	else
		e->feeds[f->prev].next = f->next;
	if (f->next != SLOT_NONE)
		e->feeds[f->next].prev = f->prev;
	f->next = e->free_feed;
	e->free_feed = slot;
}

/* feed_cancel_at() - cancel a feed at a target. */
void feed_cancel_at(struct entry *e, const struct feed *f, uint64_t target)
{
	struct action *a;
	uint64_t token = target_token(true, feed_slot(e, f), f->generation,
				      e->conf.seed);

	if (target == ADDR_NONE || !f->size_bytes)
		return;
	a = emit(e, ACT_CANCEL_TARGET);
	a->key = f->key;
	a->target = target;
	a->token_len = sizeof(token);
	memcpy(a->token, &token, sizeof(token));
	msg_id_next(e, target, &a->id);
	a->data = f->opening;
	a->size_bytes = f->size_bytes;
	e->counters.cancels++;
}

/**
 * feed_end() - end a feed that the caller closed or no longer acknowledges
 * @e: entry
 * @f: feed; its slot is free afterwards
 * @cancel: cancel the feed at its target
 */
void feed_end(struct entry *e, struct feed *f, bool cancel)
{
	if (f->state == FEED_COPY) {
		feed_drop(e, f);
		return;
	}
	if (cancel)
		feed_cancel_at(e, f, f->target);
	if (f->request != SLOT_NONE && e->requests[f->request].internal) {
		struct request *r = &e->requests[f->request];

		request_leave_target(e, r, OUTCOME_CANCELLED);
		request_drop(e, r);
	}
	feed_copy_send_close(e, f);
	e->counters.feeds_closed++;
	feed_drop(e, f);
}

/**
 * feed_timer_set() - set a feed's timer to the earliest of its deadlines
 * @e: entry
 * @f: feed
 */
void feed_timer_set(struct entry *e, struct feed *f)
{
	uint64_t next = f->last_update_ns + e->conf.probe_idle_ns;

	if (f->copy_deadline_ns < next)
		next = f->copy_deadline_ns;
	if (f->handover_deadline_ns < next)
		next = f->handover_deadline_ns;
	timers_set(e->timers, e->conf.requests_max + feed_slot(e, f), next);
}

/**
 * feed_opened() - handle a target's acceptance of a feed, first or again
 * @e: entry
 * @f: feed
 * @target: target that accepted it
 */
void feed_opened(struct entry *e, struct feed *f, uint64_t target)
{
	bool first = f->state == FEED_OPENING;
	bool moved = f->target != target;

	if (moved) {
		set_connection_counted(e, f, false);
		feed_cancel_at(e, f, f->target);
		f->target = target;
		if (!first)
			e->counters.feeds_moved++;
	}
	set_connection_counted(e, f, true);
	feed_state_set(e, f, FEED_OPEN);
	f->renewals = 0;
	f->last_update_ns = e->now_ns;
	if (first)
		e->counters.feeds_opened++;
	/*
	 * Sent along with the answer, not later: this entry may die in between.
	 */
	if (first || moved)
		feed_copy_send(e, f);
	if (f->handover_from != ADDR_NONE)
		feed_confirm_takeover(e, f);
	if (ring_at(e->ring, f->bucket).owner != e->conf.member.self)
		f->handover_deadline_ns = e->now_ns;
	feed_timer_set(e, f);
	if (target_is_leaving(e, f->key.vip, target))
		moves_schedule(e);
}

/* feed_open_refused() - handle the failure of a request to open a feed. */
void feed_open_refused(struct entry *e, struct feed *f, struct request *r)
{
	f->request = SLOT_NONE;
	r->feed = SLOT_NONE;
	if (f->state == FEED_OPENING)
		feed_drop(e, f);
}

static uint16_t assign_caller_msg_id(struct entry *e, struct feed *f,
				     const struct message *msg)
{
	uint32_t slot = feed_slot(e, f);

	if (f->has_target_msg_id && f->target_msg_id == msg->id)
		return f->caller_msg_id;
	index_del(e->feed_by_caller_msg_id,
		  caller_msg_id_key(&f->key, f->caller_msg_id), slot);
	f->caller_msg_id++;
	f->target_msg_id = msg->id;
	f->has_target_msg_id = true;
	index_put(e->feed_by_caller_msg_id,
		  caller_msg_id_key(&f->key, f->caller_msg_id), slot);
	if (msg->flags & MESSAGE_CONFIRM && !f->unacked_since_ns)
		f->unacked_since_ns = e->now_ns;
	return f->caller_msg_id;
}

/**
 * feed_update() - relay an update to the caller
 * @e: entry
 * @f: feed
 * @target: sender
 * @msg: update; without MESSAGE_FEED_OPEN it says that the target ended the
 *	feed
 */
void feed_update(struct entry *e, struct feed *f, uint64_t target,
		 const struct message *msg)
{
	struct action *a;
	uint16_t id;

	if (!(msg->flags & MESSAGE_FEED_OPEN)) {
		feed_ended_by_target(e, f, target, msg);
		return;
	}
	id = assign_caller_msg_id(e, f, msg);
	f->last_update_ns = e->now_ns;
	a = emit(e, ACT_TO_CALLER);
	a->key = f->key;
	a->target = target;
	a->type = msg->flags & MESSAGE_CONFIRM &&
				  !(msg->flags & MESSAGE_PIGGYBACK)
			  ? WIRE_CONFIRM
			  : WIRE_PLAIN;
	a->id = id;
	a->token_len = f->token_len;
	memcpy(a->token, f->token, f->token_len);
	a->data = msg->data;
	a->size_bytes = msg->size_bytes;
	feed_timer_set(e, f);
}

static struct feed *
find_by_caller_msg_id(struct entry *e, const struct flow_key *key, uint16_t id)
{
	uint32_t slot =
		index_get(e->feed_by_caller_msg_id, caller_msg_id_key(key, id));
	struct feed *f;

	if (slot == INDEX_NONE)
		return NULL;
	f = &e->feeds[slot];
	return same_flow(&f->key, key) && f->caller_msg_id == id ? f : NULL;
}

/**
 * feed_acked_by_caller() - relay a caller's acknowledgement to the target
 * @e: entry
 * @key: flow
 * @id: message ID of the update
 *
 * Return: false when no feed of this entry sent the update.
 */
bool feed_acked_by_caller(struct entry *e, const struct flow_key *key,
			  uint16_t id)
{
	struct feed *f = find_by_caller_msg_id(e, key, id);

	if (!f)
		return false;
	f->unacked_since_ns = 0;
	emit_signal_target(e, f->target, WIRE_ACK, f->target_msg_id);
	return true;
}

/**
 * feed_reset_by_caller() - end a feed whose update the caller rejected
 * @e: entry
 * @key: flow
 * @id: message ID of the update
 *
 * Return: false when no feed of this entry sent the update.
 */
bool feed_reset_by_caller(struct entry *e, const struct flow_key *key,
			  uint16_t id)
{
	struct feed *f = find_by_caller_msg_id(e, key, id);

	if (!f)
		return false;
	emit_signal_target(e, f->target, WIRE_RESET, f->target_msg_id);
	feed_end(e, f, true);
	return true;
}
