/*
 * Second copies of feeds, and the handover of feeds between entries. With its
 * copy the second continues a feed when the owner dies. On a planned change the
 * old owner hands each feed over, and ends it only when the new owner confirms
 * that the target accepted it there.
 */
#include "entry_state.h"

#include <string.h>

#define COPY_RETRY_NS NS_PER_S
#define COPY_BUDGET_WAIT_NS (NS_PER_S / 10)
#define HANDOVER_RETRY_NS (NS_PER_S / 3)
#define TAKE_OVER_WAIT_NS (2 * NS_PER_S)
#define DROP_WAIT_NS (10 * NS_PER_S)
#define COPY_CHECK_NS (NS_PER_S / 5)
#define TAKE_OVER_PACE_NS (20 * NS_PER_MS)
#define COPY_OVERHEAD_BYTES 96

/* Purpose of a PEER_FEED, in its field hops. */
enum copy_purpose { COPY_STORE, COPY_TAKE_OVER };

static bool is_in_pair(const struct entry *entry, struct ring_pair pair)
{
	uint64_t self = entry->conf.member.self;

	return pair.owner == self || pair.second == self;
}

static void set_copy_timer(struct entry *entry, const struct feed *feed,
			   uint64_t deadline_ns)
{
	timers_set(entry->timers,
		   entry->conf.requests_max + feed_slot(entry, feed),
		   deadline_ns);
}

static struct peer_msg *feed_message(struct entry *entry,
				     const struct feed *feed, uint64_t vm,
				     uint8_t purpose)
{
	struct peer_msg *m = emit_peer(entry, vm, PEER_FEED);

	m->hops = purpose;
	m->key = feed->key;
	m->target = feed->target;
	m->token_len = feed->token_len;
	memcpy(m->token, feed->token, feed->token_len);
	return m;
}

static void send_copy(struct entry *entry, const struct feed *feed, uint64_t vm,
		      uint8_t purpose, uint16_t caller_msg_id)
{
	struct peer_msg *m = feed_message(entry, feed, vm, purpose);

	m->seq = caller_msg_id;
	m->data = feed->opening;
	m->size_bytes = feed->size_bytes;
}

/**
 * feed_copy_send() - send the second its copy of a feed
 * @entry: state of this entry
 * @feed: feed; its timer sends the copy again until the second confirms it
 */
void feed_copy_send(struct entry *entry, struct feed *feed)
{
	struct ring_pair pair = ring_current_pair(entry->ring, feed->bucket);

	feed->copy_deadline_ns = DEADLINE_NEVER;
	if (pair.owner != entry->conf.member.self || pair.second == ADDR_NONE)
		return;
	if (!feed->size_bytes)
		return;
	feed->copy_deadline_ns = entry->now_ns + COPY_BUDGET_WAIT_NS;
	if (!peer_budget_take(entry, COPY_OVERHEAD_BYTES + feed->size_bytes))
		return;
	feed->copy_deadline_ns = entry->now_ns + COPY_RETRY_NS;
	entry->counters.feed_copies_sent++;
	send_copy(entry, feed, pair.second, COPY_STORE, feed->caller_msg_id);
}

/* feed_copy_send_close() - notify the second that a feed ended. */
void feed_copy_send_close(struct entry *entry, struct feed *feed)
{
	struct ring_pair pair = ring_current_pair(entry->ring, feed->bucket);
	struct peer_msg *m;

	if (pair.owner != entry->conf.member.self || pair.second == ADDR_NONE)
		return;
	m = emit_peer(entry, pair.second, PEER_FEED_CLOSE);
	m->key = feed->key;
	m->token_len = feed->token_len;
	memcpy(m->token, feed->token, feed->token_len);
}

/* feed_copy_close_received() - PEER_FEED_CLOSE: drop the second copy. */
void feed_copy_close_received(struct entry *entry, const struct peer_msg *msg)
{
	struct feed *feed =
		feed_find(entry, &msg->key, msg->token, msg->token_len);

	if (feed && feed->state == FEED_COPY)
		feed_drop(entry, feed);
}

/**
 * feed_hand_over() - ask the new owner to take a feed over
 * @entry: state of this entry
 * @feed: feed that is served here although another entry owns its bucket
 */
void feed_hand_over(struct entry *entry, struct feed *feed)
{
	struct ring_pair pair = ring_current_pair(entry->ring, feed->bucket);

	feed->handover_deadline_ns = DEADLINE_NEVER;
	if (pair.owner == entry->conf.member.self)
		return;
	feed->handover_deadline_ns = entry->now_ns + HANDOVER_RETRY_NS;
	if (pair.owner == ADDR_NONE || !feed->size_bytes)
		return;
	send_copy(entry, feed, pair.owner, COPY_TAKE_OVER, feed->caller_msg_id);
}

/*
 * feed_confirm_takeover() - confirm a takeover to the entry that handed over.
 */
void feed_confirm_takeover(struct entry *entry, struct feed *feed)
{
	feed_message(entry, feed, feed->handover_from, COPY_TAKE_OVER);
	feed->handover_from = ADDR_NONE;
	entry->counters.feeds_taken_over++;
}

/*
 * Number of message IDs that the entry that served the feed before may have
 * used since it sent the copy: few when it has just handed the feed over, many
 * when it died and the copy is old.
 */
static uint16_t msg_id_gap(const struct entry *entry, const struct feed *feed)
{
	return vm_is_serving(entry, feed->served_by) ? MSG_ID_GAP_SMALL
						     : MSG_ID_GAP_LARGE;
}

/*
 * Renews a feed from its copy. A dead entry leaves all its feeds at once; only
 * a limited number is renewed at a time, so that the targets are not
 * overloaded.
 */
static void take_over(struct entry *entry, struct feed *feed)
{
	if (!emit_has_capacity(entry) ||
	    entry->n_feeds_renewing >= RENEWING_MAX) {
		set_copy_timer(entry, feed, entry->now_ns + TAKE_OVER_PACE_NS);
		return;
	}
	if (feed->handover_from == ADDR_NONE)
		entry->counters.feeds_taken_over++;
	feed->handover_deadline_ns = DEADLINE_NEVER;
	feed->copy_deadline_ns = entry->now_ns;
	feed->caller_msg_id += msg_id_gap(entry, feed);
	feed_renew(entry, feed, ADDR_NONE);
	if (feed->state != FEED_FREE)
		feed_timer_set(entry, feed);
}

/**
 * feed_copy_timer() - handle an expired deadline of a second copy
 * @entry: state of this entry
 * @feed: second copy
 *
 * The entry that serves the feed hands it over itself, without a gap, unless it
 * dies first. Meanwhile a third entry without a copy may have become the owner,
 * and this entry may be out of the pair: each entry that holds a copy of a feed
 * whose serving entry is dead sends it to the owner.
 */
void feed_copy_timer(struct entry *entry, struct feed *feed)
{
	struct ring_pair pair = ring_current_pair(entry->ring, feed->bucket);
	bool dead = !vm_is_serving(entry, feed->served_by);

	if (pair.owner == entry->conf.member.self) {
		if (dead || entry->now_ns >= feed->handover_deadline_ns)
			take_over(entry, feed);
		else
			set_copy_timer(entry, feed,
				       entry->now_ns + COPY_CHECK_NS);
	} else if (dead && pair.owner != ADDR_NONE) {
		if (emit_has_capacity(entry))
			send_copy(entry, feed, pair.owner, COPY_TAKE_OVER,
				  feed->caller_msg_id + MSG_ID_GAP_LARGE);
		set_copy_timer(entry, feed, entry->now_ns + HANDOVER_RETRY_NS);
	} else if (is_in_pair(entry, pair)) {
		if (feed->served_by != pair.owner)
			set_copy_timer(entry, feed,
				       entry->now_ns + COPY_CHECK_NS);
	} else if (entry->now_ns >= feed->handover_deadline_ns) {
		feed_drop(entry, feed);
	} else {
		set_copy_timer(entry, feed, entry->now_ns + COPY_CHECK_NS);
	}
}

/*
 * Ends a feed that the new owner serves now; keeps a copy if this entry is its
 * second.
 */
static void release_feed(struct entry *entry, struct feed *feed)
{
	struct ring_pair pair = ring_current_pair(entry->ring, feed->bucket);
	struct feed released = *feed;
	struct feed *copy;

	entry->counters.handed_over++;
	feed_end(entry, feed, true);
	if (pair.second != entry->conf.member.self)
		return;
	copy = feed_new(entry, &released.key, released.token,
			released.token_len);
	if (!copy)
		return;
	feed_state_set(entry, copy, FEED_COPY);
	copy->served_by = pair.owner;
	copy->target = released.target;
	copy->size_bytes = released.size_bytes;
	memcpy(copy->opening, released.opening, released.size_bytes);
}

/*
 * The owner serves the feed now, and will send the copy that its second has to
 * keep.
 */
static void handle_copy_taken_over(struct entry *entry, struct feed *feed,
				   const struct peer_msg *msg)
{
	struct ring_pair pair = ring_current_pair(entry->ring, feed->bucket);

	if (msg->hops != COPY_TAKE_OVER || msg->from != pair.owner)
		return;
	feed->served_by = msg->from;
	if (!is_in_pair(entry, pair))
		feed_drop(entry, feed);
}

static void handle_confirmation(struct entry *entry, const struct peer_msg *msg)
{
	struct feed *feed =
		feed_find(entry, &msg->key, msg->token, msg->token_len);

	if (!feed)
		return;
	if (feed->state == FEED_COPY) {
		handle_copy_taken_over(entry, feed, msg);
		return;
	}
	if (msg->hops == COPY_STORE)
		feed->copy_deadline_ns = DEADLINE_NEVER;
	else if (ring_current_pair(entry->ring, feed->bucket).owner ==
		 msg->from)
		release_feed(entry, feed);
}

static void store_copy(struct entry *entry, struct feed *feed,
		       const struct peer_msg *msg)
{
	feed_state_set(entry, feed, FEED_COPY);
	feed->served_by = msg->from;
	feed->target = msg->target;
	feed->caller_msg_id = (uint16_t)msg->seq;
	feed->size_bytes = (uint16_t)msg->size_bytes;
	memcpy(feed->opening, msg->data, msg->size_bytes);
}

static void handle_copy_of_served(struct entry *entry, struct feed *feed,
				  const struct peer_msg *msg)
{
	uint64_t owner = ring_current_pair(entry->ring, feed->bucket).owner;

	if (msg->hops == COPY_TAKE_OVER && feed->state == FEED_OPEN &&
	    owner == entry->conf.member.self) {
		feed->handover_from = msg->from;
		feed_confirm_takeover(entry, feed);
	}
	/*
	 * The owner has opened the feed already and expects its second to keep
	 * the copy.
	 */
	if (msg->hops == COPY_STORE && owner == msg->from)
		release_feed(entry, feed);
}

/**
 * feed_copy_received() - PEER_FEED: second copy, handover or confirmation
 * @entry: state of this entry
 * @msg: message; without data it confirms an earlier one
 */
void feed_copy_received(struct entry *entry, const struct peer_msg *msg)
{
	struct feed *feed;

	if (!msg->size_bytes) {
		handle_confirmation(entry, msg);
		return;
	}
	if (msg->size_bytes > FEED_REQUEST_MAX_BYTES)
		return;
	feed = feed_find(entry, &msg->key, msg->token, msg->token_len);
	if (feed && feed->state != FEED_COPY) {
		handle_copy_of_served(entry, feed, msg);
		return;
	}
	if (!feed)
		feed = feed_new(entry, &msg->key, msg->token, msg->token_len);
	if (!feed)
		return;
	store_copy(entry, feed, msg);
	if (msg->hops == COPY_STORE) {
		feed_message(entry, feed, msg->from, COPY_STORE);
		return;
	}
	if (ring_current_pair(entry->ring, feed->bucket).owner !=
	    entry->conf.member.self)
		return;
	feed->handover_from = msg->from;
	take_over(entry, feed);
}

static void copy_pair_changed(struct entry *entry, struct feed *feed,
			      struct ring_pair after)
{
	bool is_member = is_in_pair(entry, after);

	feed->handover_deadline_ns =
		entry->now_ns + (is_member ? TAKE_OVER_WAIT_NS : DROP_WAIT_NS);
	set_copy_timer(entry, feed, entry->now_ns);
}

static void served_pair_changed(struct entry *entry, struct feed *feed,
				struct ring_pair before, struct ring_pair after)
{
	if (after.owner != entry->conf.member.self)
		feed->handover_deadline_ns = entry->now_ns;
	else if (after.second != before.second)
		feed->copy_deadline_ns = entry->now_ns;
	feed_timer_set(entry, feed);
}

/* feeds_pair_changed() - handle a change of a bucket's owner or second. */
void feeds_pair_changed(struct entry *entry, uint32_t bucket,
			struct ring_pair before, struct ring_pair after)
{
	uint32_t slot = entry->feed_heads[bucket];

	while (slot != SLOT_NONE) {
		struct feed *feed = &entry->feeds[slot];

		slot = feed->next;
		if (feed->state == FEED_COPY)
			copy_pair_changed(entry, feed, after);
		else if (feed->state != FEED_OPENING)
			served_pair_changed(entry, feed, before, after);
	}
}
