/*
 * Renews feeds that fell silent, were taken over or lost their target: requests
 * them again from the same target or from another.
 */
#include "entry_state.h"

#include <string.h>

/* Longer than a target retransmits an update that nobody acknowledges. */
#define CALLER_GONE_NS (100 * NS_PER_S)
#define RENEW_TIMEOUT_NS (800 * NS_PER_MS)
#define RENEW_TARGETS_MAX 3
#define RENEW_BACKOFF_NS (300 * NS_PER_MS)
#define RENEWALS_MAX 12

/**
 * feed_keep_target() - keep a feed at its draining target
 * @e: entry
 * @f: feed that no other target accepted; its target still serves it, and the
 *	next sweep tries again
 */
void feed_keep_target(struct entry *e, struct feed *f)
{
	feed_state_set(e, f, FEED_OPEN);
	feed_timer_set(e, f);
	moves_schedule(e);
}

/**
 * feed_ended_by_target() - renew a feed that its target ended
 * @e: entry
 * @f: feed
 * @target: sender
 * @msg: last update
 *
 * A target that stops ends its feeds with an error. Another target may serve
 * them; the caller is notified only if none does.
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
 * feed_renew() - request a feed again from a target, without the caller
 * @e: entry
 * @f: feed that is silent, was taken over or has to move
 * @avoid: target not to choose, or ADDR_NONE to ask the feed's present target
 *
 * If a target, or a device on the path to it, has lost its state of a feed, the
 * only sign is silence, while new feeds work. Requesting it again with the same
 * token is idempotent; it either confirms the feed or restores it.
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

/*
 * Retries soon: targets are busy for now, for example because many feeds move
 * at once.
 */
static void schedule_renewal(struct entry *e, struct feed *f)
{
	feed_state_set(e, f, FEED_OPEN);
	f->last_update_ns =
		e->now_ns - e->conf.probe_idle_ns + RENEW_BACKOFF_NS;
	feed_timer_set(e, f);
}

/**
 * feed_renew_failed() - handle a renewal that a target did not accept
 * @e: entry
 * @f: feed; tried at another target, kept at its draining one, or ended
 * @r: request of the renewal; freed here
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
 * A target stops sending updates to a caller that acknowledges none. Renewing
 * the feed again and again would hold the connection of a caller that is gone
 * forever.
 */
static bool caller_is_gone(const struct entry *e, const struct feed *f)
{
	return f->unacked_since_ns &&
	       e->now_ns >= f->unacked_since_ns + CALLER_GONE_NS;
}

/* feed_timer() - handle an expired deadline of a feed. */
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
