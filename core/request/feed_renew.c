/*
 * Feeds that went silent, were taken over or lost their target: asked for
 * again, at the same target or another.
 */
#include "entry_state.h"

#include <string.h>

/* Longer than a target repeats an update that nobody acknowledges. */
#define CALLER_GONE_NS (100 * NS_PER_S)
#define RENEW_TIMEOUT_NS (800 * NS_PER_MS)
#define RENEW_TARGETS_MAX 3
#define RENEW_BACKOFF_NS (300 * NS_PER_MS)
#define RENEWALS_MAX 12

/**
 * feed_keep_target() - no other target took a feed off a draining one: it stays
 * @e: entry
 * @f: feed; its target still serves it, and the next sweep tries again
 */
void feed_keep_target(struct entry *e, struct feed *f)
{
	feed_state_set(e, f, FEED_OPEN);
	feed_timer_set(e, f);
	moves_schedule(e);
}

/*
 * feed_ended_by_target() - a target that stops ends its feeds with an error. Another may serve them; the
 * caller hears of it only if none does.
 */
void feed_ended_by_target(struct entry *e, struct feed *f, uint64_t target,
			  const struct message *msg)
{
	if (msg->flags & MESSAGE_CONFIRM)
		emit_signal_target(e, target, WIRE_ACK, msg->id);
	if (f->request == SLOT_NONE)
		feed_renew(e, f, target);
}

static void feed_lost(struct entry *e, struct feed *f)
{
	struct action *a = emit(e, ACT_ANSWER_CALLER);

	e->counters.feeds_lost++;
	emit_log(e, "feed can't go on", &f->key, f->target);
	a->key = f->key;
	a->type = WIRE_PLAIN;
	a->id = (uint16_t)rng_next(&e->rng);
	a->token_len = f->token_len;
	memcpy(a->token, f->token, f->token_len);
	a->answer = ANSWER_FEED_LOST;
	feed_end(e, f, true);
}

static struct request *renewal_request_new(struct entry *e, struct feed *f)
{
	struct request *r = request_new(e, &f->key);

	if (!r)
		return NULL;
	r->internal = true;
	r->flags = MESSAGE_IDEMPOTENT | MESSAGE_CONFIRM | MESSAGE_FEED_OPEN;
	r->deadline_ns = e->now_ns + RENEW_TIMEOUT_NS;
	r->feed = feed_slot(e, f);
	f->request = request_slot(e, r);
	r->size_bytes = f->size_bytes;
	memcpy(r->data, f->opening, f->size_bytes);
	return r;
}

/**
 * feed_renew() - open a feed again towards a target, without the caller
 * @e: entry
 * @f: feed; silent for too long, or just taken over
 * @avoid: target that failed it, or ADDR_NONE to ask the one it has
 *
 * A target, or something on the way to it, that lost track of a feed shows
 * nothing but silence while new feeds work. Asking again with the same token
 * is idempotent, and either proves the feed or mends it.
 */
void feed_renew(struct entry *e, struct feed *f, uint64_t avoid)
{
	struct request *r;

	if (f->request != SLOT_NONE)
		return;
	if (!f->size_bytes) {
		feed_lost(e, f);
		return;
	}
	r = renewal_request_new(e, f);
	if (!r) {
		f->last_update_ns = e->now_ns;
		feed_timer_set(e, f);
		return;
	}
	feed_state_set(e, f, FEED_RENEWING);
	e->counters.feeds_revalidated++;
	if (avoid == ADDR_NONE && f->target != ADDR_NONE) {
		request_send(e, r, f->target);
		return;
	}
	r->avoid_target = avoid;
	request_submit(e, r);
}

/* Targets are busy for now, say because many feeds move at once. */
static void schedule_renewal(struct entry *e, struct feed *f)
{
	feed_state_set(e, f, FEED_OPEN);
	f->last_update_ns =
		e->now_ns - e->conf.probe_idle_ns + RENEW_BACKOFF_NS;
	feed_timer_set(e, f);
}

/**
 * feed_renew_failed() - a target did not take a feed again: try another
 * @e: entry
 * @f: feed
 * @r: the renewal, which ends here
 */
void feed_renew_failed(struct entry *e, struct feed *f, struct request *r)
{
	uint64_t failed = r->target;
	uint8_t tries = r->targets_tried;

	bool moving = r->avoid_target != ADDR_NONE &&
		      r->avoid_target == f->target &&
		      e->now_ns < f->last_update_ns + e->conf.probe_idle_ns;

	bool refused = r->reason != REFUSE_NONE;

	f->request = SLOT_NONE;
	request_drop(e, r);
	if (moving) {
		feed_keep_target(e, f);
		return;
	}
	if (tries >= RENEW_TARGETS_MAX || ++f->renewals > RENEWALS_MAX) {
		feed_lost(e, f);
		return;
	}
	if (refused) {
		schedule_renewal(e, f);
		return;
	}
	feed_cancel_at(e, f, failed);
	r = renewal_request_new(e, f);
	if (!r) {
		feed_lost(e, f);
		return;
	}
	r->targets_tried = (uint8_t)(tries + 1);
	r->avoid_target = failed;
	request_submit(e, r);
}

/*
 * The target gives up on a caller that acknowledges nothing, and is silent from
 * then on. Renewed for ever, the feed of a caller that is gone would hold its
 * connection for ever.
 */
static bool caller_is_gone(const struct entry *e, const struct feed *f)
{
	return f->unacked_since_ns &&
	       e->now_ns >= f->unacked_since_ns + CALLER_GONE_NS;
}

/* feed_timer() - a deadline of a feed has come. */
void feed_timer(struct entry *e, struct feed *f)
{
	if (f->state == FEED_FREE)
		return;
	if (f->state == FEED_COPY) {
		feed_copy_timer(e, f);
		return;
	}
	if (e->now_ns >= f->copy_deadline_ns)
		feed_copy_send(e, f);
	if (e->now_ns >= f->handover_deadline_ns)
		feed_hand_over(e, f);
	if (e->now_ns >= f->last_update_ns + e->conf.probe_idle_ns) {
		f->last_update_ns = e->now_ns;
		if (caller_is_gone(e, f))
			feed_end(e, f, true);
		else
			feed_renew(e, f, ADDR_NONE);
		if (f->state == FEED_FREE)
			return;
	}
	feed_timer_set(e, f);
}
