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
 * @entry: state of this entry
 * @feed: feed that no other target accepted; its target still serves it, and
 *	the next sweep tries again
 */
void feed_keep_target(struct entry *entry, struct feed *feed)
{
	feed_state_set(entry, feed, FEED_OPEN);
	feed_timer_set(entry, feed);
	moves_schedule(entry);
}

/**
 * feed_ended_by_target() - renew a feed that its target ended
 * @entry: state of this entry
 * @feed: feed
 * @target: sender
 * @msg: last update
 *
 * A target that stops ends its feeds with an error. Another target may serve
 * them; the caller is notified only if none does.
 */
void feed_ended_by_target(struct entry *entry, struct feed *feed,
			  uint64_t target, const struct message *msg)
{
	if (msg->flags & MESSAGE_CONFIRM)
		emit_signal_target(entry, target, WIRE_ACK, msg->id);
	if (feed->request == SLOT_NONE)
		feed_renew(entry, feed, target);
}

static void feed_lost(struct entry *entry, struct feed *feed)
{
	struct action *a = emit(entry, ACT_ANSWER_CALLER);

	entry->counters.feeds_lost++;
	emit_log(entry, "feed can't go on", &feed->key, feed->target);
	a->key = feed->key;
	a->type = WIRE_PLAIN;
	a->id = (uint16_t)rng_next(&entry->rng);
	a->token_len = feed->token_len;
	memcpy(a->token, feed->token, feed->token_len);
	a->answer = ANSWER_FEED_LOST;
	feed_end(entry, feed, true);
}

static struct request *renewal_request_new(struct entry *entry,
					   struct feed *feed)
{
	struct request *req = request_new(entry, &feed->key);

	if (!req)
		return NULL;
	req->internal = true;
	req->flags = MESSAGE_IDEMPOTENT | MESSAGE_CONFIRM | MESSAGE_FEED_OPEN;
	req->deadline_ns = entry->now_ns + RENEW_TIMEOUT_NS;
	req->feed = feed_slot(entry, feed);
	feed->request = request_slot(entry, req);
	req->size_bytes = feed->size_bytes;
	memcpy(req->data, feed->opening, feed->size_bytes);
	return req;
}

/**
 * feed_renew() - request a feed again from a target, without the caller
 * @entry: state of this entry
 * @feed: feed that is silent, was taken over or has to move
 * @avoid: target not to choose, or ADDR_NONE to ask the feed's present target
 *
 * If a target, or a device on the path to it, has lost its state of a feed, the
 * only sign is silence, while new feeds work. Requesting it again with the same
 * token is idempotent; it either confirms the feed or restores it.
 */
void feed_renew(struct entry *entry, struct feed *feed, uint64_t avoid)
{
	struct request *req;

	if (feed->request != SLOT_NONE)
		return;
	if (!feed->size_bytes) {
		feed_lost(entry, feed);
		return;
	}
	req = renewal_request_new(entry, feed);
	if (!req) {
		feed->last_update_ns = entry->now_ns;
		feed_timer_set(entry, feed);
		return;
	}
	feed_state_set(entry, feed, FEED_RENEWING);
	entry->counters.feeds_revalidated++;
	if (avoid == ADDR_NONE && feed->target != ADDR_NONE) {
		request_send(entry, req, feed->target);
		return;
	}
	req->avoid_target = avoid;
	request_submit(entry, req);
}

/*
 * Retries soon: targets are busy for now, for example because many feeds move
 * at once.
 */
static void schedule_renewal(struct entry *entry, struct feed *feed)
{
	feed_state_set(entry, feed, FEED_OPEN);
	feed->last_update_ns =
		entry->now_ns - entry->conf.probe_idle_ns + RENEW_BACKOFF_NS;
	feed_timer_set(entry, feed);
}

/**
 * feed_renew_failed() - handle a renewal that a target did not accept
 * @entry: state of this entry
 * @feed: feed; tried at another target, kept at its draining one, or ended
 * @req: request of the renewal; freed here
 */
void feed_renew_failed(struct entry *entry, struct feed *feed,
		       struct request *req)
{
	uint64_t failed = req->target;
	uint8_t tries = req->targets_tried;

	bool moving = req->avoid_target != ADDR_NONE &&
		      req->avoid_target == feed->target &&
		      entry->now_ns <
			      feed->last_update_ns + entry->conf.probe_idle_ns;

	bool refused = req->reason != REFUSE_NONE;

	feed->request = SLOT_NONE;
	request_drop(entry, req);
	if (moving) {
		feed_keep_target(entry, feed);
		return;
	}
	if (tries >= RENEW_TARGETS_MAX || ++feed->renewals > RENEWALS_MAX) {
		feed_lost(entry, feed);
		return;
	}
	if (refused) {
		schedule_renewal(entry, feed);
		return;
	}
	feed_cancel_at(entry, feed, failed);
	req = renewal_request_new(entry, feed);
	if (!req) {
		feed_lost(entry, feed);
		return;
	}
	req->targets_tried = (uint8_t)(tries + 1);
	req->avoid_target = failed;
	request_submit(entry, req);
}

/*
 * A target stops sending updates to a caller that acknowledges none. Renewing
 * the feed again and again would hold the connection of a caller that is gone
 * forever.
 */
static bool caller_is_gone(const struct entry *entry, const struct feed *feed)
{
	return feed->unacked_since_ns &&
	       entry->now_ns >= feed->unacked_since_ns + CALLER_GONE_NS;
}

/* feed_timer() - handle an expired deadline of a feed. */
void feed_timer(struct entry *entry, struct feed *feed)
{
	if (feed->state == FEED_FREE)
		return;
	if (feed->state == FEED_COPY) {
		feed_copy_timer(entry, feed);
		return;
	}
	if (entry->now_ns >= feed->copy_deadline_ns)
		feed_copy_send(entry, feed);
	if (entry->now_ns >= feed->handover_deadline_ns)
		feed_hand_over(entry, feed);
	if (entry->now_ns >= feed->last_update_ns + entry->conf.probe_idle_ns) {
		feed->last_update_ns = entry->now_ns;
		if (caller_is_gone(entry, feed))
			feed_end(entry, feed, true);
		else
			feed_renew(entry, feed, ADDR_NONE);
		if (feed->state == FEED_FREE)
			return;
	}
	feed_timer_set(entry, feed);
}
