/*
 * Feeds that this entry serves: open, relay updates and acknowledgements, end.
 */
#include "entry_state.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * feeds_init() - allocate the slots of all feeds and second copies
 * @entry: state of this entry
 *
 * Return: 0, or -ENOMEM.
 */
int feeds_init(struct entry *entry)
{
	uint32_t n = entry->conf.feeds_max;

	entry->feeds = calloc(n, sizeof(*entry->feeds));
	entry->feed_heads =
		malloc(entry->conf.n_buckets * sizeof(*entry->feed_heads));
	entry->feed_by_identity = index_new(n);
	entry->feed_by_caller_msg_id = index_new(n);
	if (!entry->feeds || !entry->feed_heads || !entry->feed_by_identity ||
	    !entry->feed_by_caller_msg_id)
		return -ENOMEM;
	memset(entry->feed_heads, 0xff,
	       entry->conf.n_buckets * sizeof(*entry->feed_heads));
	for (uint32_t i = 0; i < n; i++)
		entry->feeds[i].next = i + 1 < n ? i + 1 : SLOT_NONE;
	return 0;
}

void feeds_free(struct entry *entry)
{
	free(entry->feeds);
	free(entry->feed_heads);
	index_free(entry->feed_by_identity);
	index_free(entry->feed_by_caller_msg_id);
}

uint32_t feed_slot(const struct entry *entry, const struct feed *feed)
{
	return (uint32_t)(feed - entry->feeds);
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
 * @entry: state of this entry
 * @key: flow
 * @token: caller's token
 * @token_len: its length in bytes
 *
 * Return: feed or second copy, or NULL.
 */
struct feed *feed_find(struct entry *entry, const struct flow_key *key,
		       const uint8_t *token, uint8_t token_len)
{
	uint32_t slot = index_get(entry->feed_by_identity,
				  identity_of(key, token, token_len));
	struct feed *feed;

	if (slot == INDEX_NONE)
		return NULL;
	feed = &entry->feeds[slot];
	if (!same_flow(&feed->key, key) || feed->token_len != token_len ||
	    memcmp(feed->token, token, token_len))
		return NULL;
	return feed;
}

/*
 * A caller discards an update whose message ID it received within the last 247
 * s (EXCHANGE_LIFETIME in RFC 7252), and the feed appears to stall. The IDs of
 * one flow share one range, so feeds of the same flow start a quarter of the
 * range apart.
 */
static uint16_t first_caller_msg_id(struct entry *entry,
				    const struct feed *feed)
{
	uint32_t slot = entry->feed_heads[feed->bucket];

	for (; slot != SLOT_NONE; slot = entry->feeds[slot].next) {
		const struct feed *other = &entry->feeds[slot];

		if (same_flow(&other->key, &feed->key))
			return (uint16_t)(other->caller_msg_id +
					  MSG_ID_GAP_LARGE);
	}
	return (uint16_t)rng_next(&entry->rng);
}

/**
 * feed_new() - allocate a slot for a feed
 * @entry: state of this entry
 * @key: flow
 * @token: caller's token
 * @token_len: its length in bytes
 *
 * Return: feed in FEED_OPENING, or NULL when all slots are in use.
 */
struct feed *feed_new(struct entry *entry, const struct flow_key *key,
		      const uint8_t *token, uint8_t token_len)
{
	uint32_t slot = entry->free_feed;
	struct feed *feed;
	uint32_t generation;

	if (slot == SLOT_NONE)
		return NULL;
	feed = &entry->feeds[slot];
	entry->free_feed = feed->next;
	if (slot >= entry->feed_slots_used)
		entry->feed_slots_used = slot + 1;
	generation = feed->generation + 1;
	memset(feed, 0, sizeof(*feed));
	feed->generation = generation;
	feed->key = *key;
	feed->token_len = token_len;
	memcpy(feed->token, token, token_len);
	feed->identity = identity_of(key, token, token_len);
	feed->bucket = ring_bucket(entry->ring, key);
	feed->request = SLOT_NONE;
	feed->copy_deadline_ns = DEADLINE_NEVER;
	feed->handover_deadline_ns = DEADLINE_NEVER;
	feed->caller_msg_id = first_caller_msg_id(entry, feed);
	feed->state = FEED_OPENING;
	feed->last_update_ns = entry->now_ns;
	index_put(entry->feed_by_identity, feed->identity, slot);
	feed->prev = SLOT_NONE;
	feed->next = entry->feed_heads[feed->bucket];
	if (feed->next != SLOT_NONE)
		entry->feeds[feed->next].prev = slot;
	entry->feed_heads[feed->bucket] = slot;
	return feed;
}

static bool state_is_serving(uint8_t state)
{
	return state == FEED_OPEN || state == FEED_RENEWING;
}

/* feed_state_set() - set the state and update the counts that depend on it. */
void feed_state_set(struct entry *entry, struct feed *feed, uint8_t state)
{
	entry->n_feeds_held +=
		state_is_serving(state) - state_is_serving(feed->state);
	entry->n_feeds_renewing +=
		(state == FEED_RENEWING) - (feed->state == FEED_RENEWING);
	feed->state = state;
}

static void set_connection_counted(struct entry *entry, struct feed *feed,
				   bool on)
{
	if (feed->counted == on)
		return;
	feed->counted = on;
	balance_change_feeds(entry->balancer, feed->key.vip, feed->target,
			     on ? 1 : -1);
}

/**
 * feed_drop() - free the slot of a feed or second copy
 * @entry: state of this entry
 * @feed: feed; neither the target nor the second is notified
 */
void feed_drop(struct entry *entry, struct feed *feed)
{
	uint32_t slot = feed_slot(entry, feed);

	if (feed->request != SLOT_NONE)
		entry->requests[feed->request].feed = SLOT_NONE;
	set_connection_counted(entry, feed, false);
	feed_state_set(entry, feed, FEED_FREE);
	index_del(entry->feed_by_identity, feed->identity, slot);
	index_del(entry->feed_by_caller_msg_id,
		  caller_msg_id_key(&feed->key, feed->caller_msg_id), slot);
	timers_clear(entry->timers, entry->conf.requests_max + slot);
	if (feed->prev == SLOT_NONE)
		entry->feed_heads[feed->bucket] = feed->next;
	else
		entry->feeds[feed->prev].next = feed->next;
	if (feed->next != SLOT_NONE)
		entry->feeds[feed->next].prev = feed->prev;
	feed->next = entry->free_feed;
	entry->free_feed = slot;
}

/* feed_cancel_at() - cancel a feed at a target. */
void feed_cancel_at(struct entry *entry, const struct feed *feed,
		    uint64_t target)
{
	struct action *a;
	uint64_t token = target_token(true, feed_slot(entry, feed),
				      feed->generation, entry->conf.seed);

	if (target == ADDR_NONE || !feed->size_bytes)
		return;
	a = emit(entry, ACT_CANCEL_TARGET);
	a->key = feed->key;
	a->target = target;
	a->token_len = sizeof(token);
	memcpy(a->token, &token, sizeof(token));
	msg_id_next(entry, target, &a->id);
	a->data = feed->opening;
	a->size_bytes = feed->size_bytes;
	entry->counters.cancels++;
}

/**
 * feed_end() - end a feed that the caller closed or no longer acknowledges
 * @entry: state of this entry
 * @feed: feed; its slot is free afterwards
 * @cancel: cancel the feed at its target
 */
void feed_end(struct entry *entry, struct feed *feed, bool cancel)
{
	if (feed->state == FEED_COPY) {
		feed_drop(entry, feed);
		return;
	}
	if (cancel)
		feed_cancel_at(entry, feed, feed->target);
	if (feed->request != SLOT_NONE &&
	    entry->requests[feed->request].internal) {
		struct request *req = &entry->requests[feed->request];

		request_leave_target(entry, req, OUTCOME_CANCELLED);
		request_drop(entry, req);
	}
	feed_copy_send_close(entry, feed);
	entry->counters.feeds_closed++;
	feed_drop(entry, feed);
}

/**
 * feed_timer_set() - set a feed's timer to the earliest of its deadlines
 * @entry: state of this entry
 * @feed: feed
 */
void feed_timer_set(struct entry *entry, struct feed *feed)
{
	uint64_t next = feed->last_update_ns + entry->conf.probe_idle_ns;

	if (feed->copy_deadline_ns < next)
		next = feed->copy_deadline_ns;
	if (feed->handover_deadline_ns < next)
		next = feed->handover_deadline_ns;
	timers_set(entry->timers,
		   entry->conf.requests_max + feed_slot(entry, feed), next);
}

/**
 * feed_opened() - handle a target's acceptance of a feed, first or again
 * @entry: state of this entry
 * @feed: feed
 * @target: target that accepted it
 */
void feed_opened(struct entry *entry, struct feed *feed, uint64_t target)
{
	bool first = feed->state == FEED_OPENING;
	bool moved = feed->target != target;

	if (moved) {
		set_connection_counted(entry, feed, false);
		feed_cancel_at(entry, feed, feed->target);
		feed->target = target;
		if (!first)
			entry->counters.feeds_moved++;
	}
	set_connection_counted(entry, feed, true);
	feed_state_set(entry, feed, FEED_OPEN);
	feed->renewals = 0;
	feed->last_update_ns = entry->now_ns;
	if (first)
		entry->counters.feeds_opened++;
	/*
	 * Sent along with the answer, not later: this entry may die in between.
	 */
	if (first || moved)
		feed_copy_send(entry, feed);
	if (feed->handover_from != ADDR_NONE)
		feed_confirm_takeover(entry, feed);
	if (ring_current_pair(entry->ring, feed->bucket).owner !=
	    entry->conf.member.self)
		feed->handover_deadline_ns = entry->now_ns;
	feed_timer_set(entry, feed);
	if (target_is_leaving(entry, feed->key.vip, target))
		moves_schedule(entry);
}

/* feed_open_refused() - handle the failure of a request to open a feed. */
void feed_open_refused(struct entry *entry, struct feed *feed,
		       struct request *req)
{
	feed->request = SLOT_NONE;
	req->feed = SLOT_NONE;
	if (feed->state == FEED_OPENING)
		feed_drop(entry, feed);
}

static uint16_t assign_caller_msg_id(struct entry *entry, struct feed *feed,
				     const struct message *msg)
{
	uint32_t slot = feed_slot(entry, feed);

	if (feed->has_target_msg_id && feed->target_msg_id == msg->id)
		return feed->caller_msg_id;
	index_del(entry->feed_by_caller_msg_id,
		  caller_msg_id_key(&feed->key, feed->caller_msg_id), slot);
	feed->caller_msg_id++;
	feed->target_msg_id = msg->id;
	feed->has_target_msg_id = true;
	index_put(entry->feed_by_caller_msg_id,
		  caller_msg_id_key(&feed->key, feed->caller_msg_id), slot);
	if (msg->flags & MESSAGE_CONFIRM && !feed->unacked_since_ns)
		feed->unacked_since_ns = entry->now_ns;
	return feed->caller_msg_id;
}

/**
 * feed_update() - relay an update to the caller
 * @entry: state of this entry
 * @feed: feed
 * @target: sender
 * @msg: update; without MESSAGE_FEED_OPEN it says that the target ended the
 *	feed
 */
void feed_update(struct entry *entry, struct feed *feed, uint64_t target,
		 const struct message *msg)
{
	struct action *a;
	uint16_t id;

	if (!(msg->flags & MESSAGE_FEED_OPEN)) {
		feed_ended_by_target(entry, feed, target, msg);
		return;
	}
	id = assign_caller_msg_id(entry, feed, msg);
	feed->last_update_ns = entry->now_ns;
	a = emit(entry, ACT_TO_CALLER);
	a->key = feed->key;
	a->target = target;
	a->type = msg->flags & MESSAGE_CONFIRM &&
				  !(msg->flags & MESSAGE_PIGGYBACK)
			  ? WIRE_CONFIRM
			  : WIRE_PLAIN;
	a->id = id;
	a->token_len = feed->token_len;
	memcpy(a->token, feed->token, feed->token_len);
	a->data = msg->data;
	a->size_bytes = msg->size_bytes;
	feed_timer_set(entry, feed);
}

static struct feed *find_by_caller_msg_id(struct entry *entry,
					  const struct flow_key *key,
					  uint16_t id)
{
	uint32_t slot = index_get(entry->feed_by_caller_msg_id,
				  caller_msg_id_key(key, id));
	struct feed *feed;

	if (slot == INDEX_NONE)
		return NULL;
	feed = &entry->feeds[slot];
	return same_flow(&feed->key, key) && feed->caller_msg_id == id ? feed
								       : NULL;
}

/**
 * feed_acked_by_caller() - relay a caller's acknowledgement to the target
 * @entry: state of this entry
 * @key: flow
 * @id: message ID of the update
 *
 * Return: false when no feed of this entry sent the update.
 */
bool feed_acked_by_caller(struct entry *entry, const struct flow_key *key,
			  uint16_t id)
{
	struct feed *feed = find_by_caller_msg_id(entry, key, id);

	if (!feed)
		return false;
	feed->unacked_since_ns = 0;
	emit_signal_target(entry, feed->target, WIRE_ACK, feed->target_msg_id);
	return true;
}

/**
 * feed_reset_by_caller() - end a feed whose update the caller rejected
 * @entry: state of this entry
 * @key: flow
 * @id: message ID of the update
 *
 * Return: false when no feed of this entry sent the update.
 */
bool feed_reset_by_caller(struct entry *entry, const struct flow_key *key,
			  uint16_t id)
{
	struct feed *feed = find_by_caller_msg_id(entry, key, id);

	if (!feed)
		return false;
	emit_signal_target(entry, feed->target, WIRE_RESET,
			   feed->target_msg_id);
	feed_end(entry, feed, true);
	return true;
}
