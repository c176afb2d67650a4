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

static bool is_in_pair(const struct entry *e, struct ring_pair pair)
{
	uint64_t self = e->conf.member.self;

	return pair.owner == self || pair.second == self;
}

static void set_copy_timer(struct entry *e, const struct feed *f,
			   uint64_t deadline_ns)
{
	timers_set(e->timers, e->conf.requests_max + feed_slot(e, f),
		   deadline_ns);
}

static struct peer_msg *feed_message(struct entry *e, const struct feed *f,
				     uint64_t vm, uint8_t purpose)
{
	struct peer_msg *m = emit_peer(e, vm, PEER_FEED);

	m->hops = purpose;
	m->key = f->key;
	m->target = f->target;
	m->token_len = f->token_len;
	memcpy(m->token, f->token, f->token_len);
	return m;
}

static void send_copy(struct entry *e, const struct feed *f, uint64_t vm,
		      uint8_t purpose, uint16_t caller_msg_id)
{
	struct peer_msg *m = feed_message(e, f, vm, purpose);

	m->seq = caller_msg_id;
	m->data = f->opening;
	m->size_bytes = f->size_bytes;
}

/**
 * feed_copy_send() - send the second its copy of a feed
 * @e: entry
 * @f: feed; its timer sends the copy again until the second confirms it
 */
void feed_copy_send(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_at(e->ring, f->bucket);

	f->copy_deadline_ns = DEADLINE_NEVER;
	if (pair.owner != e->conf.member.self || pair.second == ADDR_NONE)
		return;
	if (!f->size_bytes)
		return;
	f->copy_deadline_ns = e->now_ns + COPY_BUDGET_WAIT_NS;
	if (!peer_budget_take(e, COPY_OVERHEAD_BYTES + f->size_bytes))
		return;
	f->copy_deadline_ns = e->now_ns + COPY_RETRY_NS;
	e->counters.feed_copies_sent++;
	send_copy(e, f, pair.second, COPY_STORE, f->caller_msg_id);
}

/* feed_copy_send_close() - notify the second that a feed ended. */
void feed_copy_send_close(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_at(e->ring, f->bucket);
	struct peer_msg *m;

	if (pair.owner != e->conf.member.self || pair.second == ADDR_NONE)
		return;
	m = emit_peer(e, pair.second, PEER_FEED_CLOSE);
	m->key = f->key;
	m->token_len = f->token_len;
	memcpy(m->token, f->token, f->token_len);
}

/* feed_copy_close_received() - PEER_FEED_CLOSE: drop the second copy. */
void feed_copy_close_received(struct entry *e, const struct peer_msg *msg)
{
	struct feed *f = feed_find(e, &msg->key, msg->token, msg->token_len);

	if (f && f->state == FEED_COPY)
		feed_drop(e, f);
}

/**
 * feed_hand_over() - ask the new owner to take a feed over
 * @e: entry
 * @f: feed that is served here although another entry owns its bucket
 */
void feed_hand_over(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_at(e->ring, f->bucket);

	f->handover_deadline_ns = DEADLINE_NEVER;
	if (pair.owner == e->conf.member.self)
		return;
	f->handover_deadline_ns = e->now_ns + HANDOVER_RETRY_NS;
	if (pair.owner == ADDR_NONE || !f->size_bytes)
		return;
	send_copy(e, f, pair.owner, COPY_TAKE_OVER, f->caller_msg_id);
}

/*
 * feed_confirm_takeover() - confirm a takeover to the entry that handed over.
 */
void feed_confirm_takeover(struct entry *e, struct feed *f)
{
	feed_message(e, f, f->handover_from, COPY_TAKE_OVER);
	f->handover_from = ADDR_NONE;
	e->counters.feeds_taken_over++;
}

/*
 * Number of message IDs that the previous server may have used since it sent
 * the copy: few when it has just handed the feed over, many when it died and
 * the copy is old.
 */
static uint16_t msg_id_gap(const struct entry *e, const struct feed *f)
{
	return vm_is_serving(e, f->served_by) ? MSG_ID_GAP_SMALL
					      : MSG_ID_GAP_LARGE;
}

/*
 * Renews a feed from its copy. A dead entry leaves all its feeds at once; only
 * a limited number is renewed at a time, so that the targets are not
 * overloaded.
 */
static void take_over(struct entry *e, struct feed *f)
{
	if (!emit_has_capacity(e) || e->n_feeds_renewing >= RENEWING_MAX) {
		set_copy_timer(e, f, e->now_ns + TAKE_OVER_PACE_NS);
		return;
	}
	if (f->handover_from == ADDR_NONE)
		e->counters.feeds_taken_over++;
	f->handover_deadline_ns = DEADLINE_NEVER;
	f->copy_deadline_ns = e->now_ns;
	f->caller_msg_id += msg_id_gap(e, f);
	feed_renew(e, f, ADDR_NONE);
	if (f->state != FEED_FREE)
		feed_timer_set(e, f);
}

/**
 * feed_copy_timer() - handle an expired deadline of a second copy
 * @e: entry
 * @f: second copy
 *
 * The entry that serves the feed hands it over itself, without a gap, unless it
 * dies first. Meanwhile a third entry without a copy may have become the owner,
 * and this entry may be out of the pair: each entry that holds a copy of a feed
 * whose server is dead sends it to the owner.
 */
void feed_copy_timer(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_at(e->ring, f->bucket);
	bool dead = !vm_is_serving(e, f->served_by);

	if (pair.owner == e->conf.member.self) {
		if (dead || e->now_ns >= f->handover_deadline_ns)
			take_over(e, f);
		else
			set_copy_timer(e, f, e->now_ns + COPY_CHECK_NS);
	} else if (dead && pair.owner != ADDR_NONE) {
		if (emit_has_capacity(e))
			send_copy(e, f, pair.owner, COPY_TAKE_OVER,
				  f->caller_msg_id + MSG_ID_GAP_LARGE);
		set_copy_timer(e, f, e->now_ns + HANDOVER_RETRY_NS);
	} else if (is_in_pair(e, pair)) {
		if (f->served_by != pair.owner)
			set_copy_timer(e, f, e->now_ns + COPY_CHECK_NS);
	} else if (e->now_ns >= f->handover_deadline_ns) {
		feed_drop(e, f);
	} else {
		set_copy_timer(e, f, e->now_ns + COPY_CHECK_NS);
	}
}

/*
 * Ends a feed that the new owner serves now; keeps a copy if this entry is its
 * second.
 */
static void release_feed(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_at(e->ring, f->bucket);
	struct feed released = *f;
	struct feed *copy;

	e->counters.handed_over++;
	feed_end(e, f, true);
	if (pair.second != e->conf.member.self)
		return;
	copy = feed_new(e, &released.key, released.token, released.token_len);
	if (!copy)
		return;
	feed_state_set(e, copy, FEED_COPY);
	copy->served_by = pair.owner;
	copy->target = released.target;
	copy->size_bytes = released.size_bytes;
	memcpy(copy->opening, released.opening, released.size_bytes);
}

/*
 * The owner serves the feed now, and will send the copy that its second has to
 * keep.
 */
static void handle_copy_taken_over(struct entry *e, struct feed *f,
				   const struct peer_msg *msg)
{
	struct ring_pair pair = ring_at(e->ring, f->bucket);

	if (msg->hops != COPY_TAKE_OVER || msg->from != pair.owner)
		return;
	f->served_by = msg->from;
	if (!is_in_pair(e, pair))
		feed_drop(e, f);
}

static void handle_reply(struct entry *e, const struct peer_msg *msg)
{
	struct feed *f = feed_find(e, &msg->key, msg->token, msg->token_len);

	if (!f)
		return;
	if (f->state == FEED_COPY) {
		handle_copy_taken_over(e, f, msg);
		return;
	}
	if (msg->hops == COPY_STORE)
		f->copy_deadline_ns = DEADLINE_NEVER;
	else if (ring_at(e->ring, f->bucket).owner == msg->from)
		release_feed(e, f);
}

static void store_copy(struct entry *e, struct feed *f,
		       const struct peer_msg *msg)
{
	feed_state_set(e, f, FEED_COPY);
	f->served_by = msg->from;
	f->target = msg->target;
	f->caller_msg_id = (uint16_t)msg->seq;
	f->size_bytes = (uint16_t)msg->size_bytes;
	memcpy(f->opening, msg->data, msg->size_bytes);
}

static void handle_copy_of_served(struct entry *e, struct feed *f,
				  const struct peer_msg *msg)
{
	uint64_t owner = ring_at(e->ring, f->bucket).owner;

	if (msg->hops == COPY_TAKE_OVER && f->state == FEED_OPEN &&
	    owner == e->conf.member.self) {
		f->handover_from = msg->from;
		feed_confirm_takeover(e, f);
	}
	/*
	 * The owner has opened the feed already and expects its second to keep
	 * the copy.
	 */
	if (msg->hops == COPY_STORE && owner == msg->from)
		release_feed(e, f);
}

/**
 * feed_copy_received() - PEER_FEED: second copy, handover or confirmation
 * @e: entry
 * @msg: message; without data it confirms an earlier one
 */
void feed_copy_received(struct entry *e, const struct peer_msg *msg)
{
	struct feed *f;

	if (!msg->size_bytes) {
		handle_reply(e, msg);
		return;
	}
	if (msg->size_bytes > FEED_REQUEST_MAX_BYTES)
		return;
	f = feed_find(e, &msg->key, msg->token, msg->token_len);
	if (f && f->state != FEED_COPY) {
		handle_copy_of_served(e, f, msg);
		return;
	}
	if (!f)
		f = feed_new(e, &msg->key, msg->token, msg->token_len);
	if (!f)
		return;
	store_copy(e, f, msg);
	if (msg->hops == COPY_STORE) {
		feed_message(e, f, msg->from, COPY_STORE);
		return;
	}
	if (ring_at(e->ring, f->bucket).owner != e->conf.member.self)
		return;
	f->handover_from = msg->from;
	take_over(e, f);
}

static void copy_pair_changed(struct entry *e, struct feed *f,
			      struct ring_pair after)
{
	bool is_member = is_in_pair(e, after);

	f->handover_deadline_ns =
		e->now_ns + (is_member ? TAKE_OVER_WAIT_NS : DROP_WAIT_NS);
	set_copy_timer(e, f, e->now_ns);
}

static void served_pair_changed(struct entry *e, struct feed *f,
				struct ring_pair before, struct ring_pair after)
{
	if (after.owner != e->conf.member.self)
		f->handover_deadline_ns = e->now_ns;
	else if (after.second != before.second)
		f->copy_deadline_ns = e->now_ns;
	feed_timer_set(e, f);
}

/* feeds_pair_changed() - handle a change of a bucket's owner or second. */
void feeds_pair_changed(struct entry *e, uint32_t bucket,
			struct ring_pair before, struct ring_pair after)
{
	uint32_t slot = e->feed_heads[bucket];

	while (slot != SLOT_NONE) {
		struct feed *f = &e->feeds[slot];

		slot = f->next;
		if (f->state == FEED_COPY)
			copy_pair_changed(e, f, after);
		else if (f->state != FEED_OPENING)
			served_pair_changed(e, f, before, after);
	}
}
