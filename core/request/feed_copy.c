/*
 * Second copies of feeds and their way from owner to owner. A copy lets the
 * second go on with a feed when its owner dies; a planned change hands each
 * feed over and lets go of it only when the new owner says that the target
 * took it.
 */
#include "entry_state.h"

#include <string.h>

#define COPY_RETRY_NS NS_PER_S
#define COPY_WAIT_NS (NS_PER_S / 10)
#define HAND_RETRY_NS (NS_PER_S / 3)
#define ADOPT_WAIT_NS (2 * NS_PER_S)
#define DROP_WAIT_NS (10 * NS_PER_S)
#define CHECK_NS (NS_PER_S / 5)
#define ADOPT_PACE_NS (20 * NS_PER_MS)
#define COPY_FIXED_BYTES 96

/* What a PEER_FEED asks, in its field hops. */
enum feed_ask { ASK_KEEP, ASK_TAKE_OVER };

static bool in_pair(const struct entry *e, struct ring_pair pair)
{
	uint64_t self = e->conf.member.self;

	return pair.owner == self || pair.second == self;
}

static void copy_check_at(struct entry *e, const struct feed *f,
			  uint64_t deadline_ns)
{
	timers_set(e->timers, e->conf.requests_max + feed_slot(e, f),
		   deadline_ns);
}

static struct peer_msg *feed_message(struct entry *e, const struct feed *f,
				     uint64_t vm, uint8_t ask)
{
	struct peer_msg *m = emit_peer(e, vm, PEER_FEED);

	m->hops = ask;
	m->key = f->key;
	m->target = f->target;
	m->token_len = f->token_len;
	memcpy(m->token, f->token, f->token_len);
	return m;
}

static void send_whole(struct entry *e, const struct feed *f, uint64_t vm,
		       uint8_t ask, uint16_t down_id)
{
	struct peer_msg *m = feed_message(e, f, vm, ask);

	m->seq = down_id;
	m->data = f->opening;
	m->size_bytes = f->size_bytes;
}

/**
 * feed_copy_send() - send the second its copy of a feed
 * @e: entry
 * @f: feed; sent again until the second says that it has it
 */
void feed_copy_send(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_current_pair(e->ring, f->bucket);

	f->copy_deadline_ns = DEADLINE_NEVER;
	if (pair.owner != e->conf.member.self || pair.second == ADDR_NONE)
		return;
	if (!f->size_bytes)
		return;
	f->copy_deadline_ns = e->now_ns + COPY_WAIT_NS;
	if (!allowance_take(e, COPY_FIXED_BYTES + f->size_bytes))
		return;
	f->copy_deadline_ns = e->now_ns + COPY_RETRY_NS;
	e->counters.feed_copies_sent++;
	send_whole(e, f, pair.second, ASK_KEEP, f->down_id);
}

/* feed_copy_close() - tell the second that a feed ended. */
void feed_copy_close(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_current_pair(e->ring, f->bucket);
	struct peer_msg *m;

	if (pair.owner != e->conf.member.self || pair.second == ADDR_NONE)
		return;
	m = emit_peer(e, pair.second, PEER_FEED_CLOSE);
	m->key = f->key;
	m->token_len = f->token_len;
	memcpy(m->token, f->token, f->token_len);
}

/* feed_copy_closed() - a feed's owner says that it ended. */
void feed_copy_closed(struct entry *e, const struct peer_msg *msg)
{
	struct feed *f = feed_find(e, &msg->key, msg->token, msg->token_len);

	if (f && f->state == FEED_COPY)
		feed_drop(e, f);
}

/**
 * feed_hand_over() - ask the new owner to take a feed over
 * @e: entry
 * @f: feed served here though another entry owns its bucket now
 */
void feed_hand_over(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_current_pair(e->ring, f->bucket);

	f->hand_deadline_ns = DEADLINE_NEVER;
	if (pair.owner == e->conf.member.self)
		return;
	f->hand_deadline_ns = e->now_ns + HAND_RETRY_NS;
	if (pair.owner == ADDR_NONE || !f->size_bytes)
		return;
	send_whole(e, f, pair.owner, ASK_TAKE_OVER, f->down_id);
}

/* feed_taken_over() - tell the entry that handed a feed over: it is served. */
void feed_taken_over(struct entry *e, struct feed *f)
{
	feed_message(e, f, f->handed_from, ASK_TAKE_OVER);
	f->handed_from = ADDR_NONE;
	e->counters.feeds_taken_over++;
}

/*
 * Message IDs that the last server may have used since it told its own: few
 * when it handed the feed over now, many when it died with an old copy here.
 */
static uint16_t skip_ids(const struct entry *e, const struct feed *f)
{
	return vm_serves(e, f->served_by) ? DOWN_ID_NEAR : DOWN_ID_FAR;
}

/*
 * A dead entry leaves all its feeds at once; they are asked for again a few at
 * a time, so that the targets are not swamped.
 */
static void adopt(struct entry *e, struct feed *f)
{
	if (!emit_room(e) || e->n_feeds_renewing >= RENEWING_MAX) {
		copy_check_at(e, f, e->now_ns + ADOPT_PACE_NS);
		return;
	}
	if (f->handed_from == ADDR_NONE)
		e->counters.feeds_taken_over++;
	f->hand_deadline_ns = DEADLINE_NEVER;
	f->copy_deadline_ns = e->now_ns;
	f->down_id += skip_ids(e, f);
	feed_renew(e, f, ADDR_NONE);
	if (f->state != FEED_FREE)
		feed_timer_set(e, f);
}

/**
 * feed_copy_timer() - see to a copy whose bucket has changed hands
 * @e: entry
 * @f: second copy
 *
 * The entry that serves the feed hands it over itself, without a gap, unless
 * it dies first. A third entry may have become the owner meanwhile, without a
 * copy, and this one may be out of the pair: whoever holds the copy of a feed
 * whose server is dead brings it to the owner.
 */
void feed_copy_timer(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_current_pair(e->ring, f->bucket);
	bool dead = !vm_serves(e, f->served_by);

	if (pair.owner == e->conf.member.self) {
		if (dead || e->now_ns >= f->hand_deadline_ns)
			adopt(e, f);
		else
			copy_check_at(e, f, e->now_ns + CHECK_NS);
	} else if (dead && pair.owner != ADDR_NONE) {
		if (emit_room(e))
			send_whole(e, f, pair.owner, ASK_TAKE_OVER,
				   f->down_id + DOWN_ID_FAR);
		copy_check_at(e, f, e->now_ns + HAND_RETRY_NS);
	} else if (in_pair(e, pair)) {
		if (f->served_by != pair.owner)
			copy_check_at(e, f, e->now_ns + CHECK_NS);
	} else if (e->now_ns >= f->hand_deadline_ns) {
		feed_drop(e, f);
	} else {
		copy_check_at(e, f, e->now_ns + CHECK_NS);
	}
}

/* The new owner serves it: let go here, keep the copy if we are the second. */
static void let_go(struct entry *e, struct feed *f)
{
	struct ring_pair pair = ring_current_pair(e->ring, f->bucket);
	struct feed kept = *f;
	struct feed *copy;

	e->counters.handed_over++;
	feed_end(e, f, true);
	if (pair.second != e->conf.member.self)
		return;
	copy = feed_new(e, &kept.key, kept.token, kept.token_len);
	if (!copy)
		return;
	feed_state_set(e, copy, FEED_COPY);
	copy->served_by = pair.owner;
	copy->target = kept.target;
	copy->size_bytes = kept.size_bytes;
	memcpy(copy->opening, kept.opening, kept.size_bytes);
}

/* The owner has it now: it will send the copy that its second is to keep. */
static void copy_taken_over(struct entry *e, struct feed *f,
			    const struct peer_msg *msg)
{
	struct ring_pair pair = ring_current_pair(e->ring, f->bucket);

	if (msg->hops != ASK_TAKE_OVER || msg->from != pair.owner)
		return;
	f->served_by = msg->from;
	if (!in_pair(e, pair))
		feed_drop(e, f);
}

static void heard_back(struct entry *e, const struct peer_msg *msg)
{
	struct feed *f = feed_find(e, &msg->key, msg->token, msg->token_len);

	if (!f)
		return;
	if (f->state == FEED_COPY) {
		copy_taken_over(e, f, msg);
		return;
	}
	if (msg->hops == ASK_KEEP)
		f->copy_deadline_ns = DEADLINE_NEVER;
	else if (ring_current_pair(e->ring, f->bucket).owner == msg->from)
		let_go(e, f);
}

static void keep(struct entry *e, struct feed *f, const struct peer_msg *msg)
{
	feed_state_set(e, f, FEED_COPY);
	f->served_by = msg->from;
	f->target = msg->target;
	f->down_id = (uint16_t)msg->seq;
	f->size_bytes = (uint16_t)msg->size_bytes;
	memcpy(f->opening, msg->data, msg->size_bytes);
}

static void served_here(struct entry *e, struct feed *f,
			const struct peer_msg *msg)
{
	uint64_t owner = ring_current_pair(e->ring, f->bucket).owner;

	if (msg->hops == ASK_TAKE_OVER && f->state == FEED_OPEN &&
	    owner == e->conf.member.self) {
		f->handed_from = msg->from;
		feed_taken_over(e, f);
	}
	/* Its owner has it open already, and counts on us for the copy. */
	if (msg->hops == ASK_KEEP && owner == msg->from)
		let_go(e, f);
}

/**
 * feed_copy_received() - PEER_FEED: a copy to keep, a feed to take over, or,
 *	without data, the answer to one of these
 * @e: entry
 * @msg: message
 */
void feed_copy_received(struct entry *e, const struct peer_msg *msg)
{
	struct feed *f;

	if (!msg->size_bytes) {
		heard_back(e, msg);
		return;
	}
	if (msg->size_bytes > FEED_REQUEST_MAX_BYTES)
		return;
	f = feed_find(e, &msg->key, msg->token, msg->token_len);
	if (f && f->state != FEED_COPY) {
		served_here(e, f, msg);
		return;
	}
	if (!f)
		f = feed_new(e, &msg->key, msg->token, msg->token_len);
	if (!f)
		return;
	keep(e, f, msg);
	if (msg->hops == ASK_KEEP) {
		feed_message(e, f, msg->from, ASK_KEEP);
		return;
	}
	if (ring_current_pair(e->ring, f->bucket).owner != e->conf.member.self)
		return;
	f->handed_from = msg->from;
	adopt(e, f);
}

static void copy_pair_changed(struct entry *e, struct feed *f,
			      struct ring_pair after)
{
	bool held = in_pair(e, after);

	f->hand_deadline_ns = e->now_ns + (held ? ADOPT_WAIT_NS : DROP_WAIT_NS);
	copy_check_at(e, f, e->now_ns);
}

static void served_pair_changed(struct entry *e, struct feed *f,
				struct ring_pair before, struct ring_pair after)
{
	if (after.owner != e->conf.member.self)
		f->hand_deadline_ns = e->now_ns;
	else if (after.second != before.second)
		f->copy_deadline_ns = e->now_ns;
	feed_timer_set(e, f);
}

/* feeds_pair_changed() - a bucket has another owner or second. */
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
