/*
 * Executes non-idempotent requests at most once: such a request is sent only
 * after its owner and the bucket's second both hold a record of it. Views that
 * differ by one member share at least one of the two, and that one refuses a
 * second claimer.
 */
#include "entry_state.h"

#include <string.h>

#define MAJORITY_WAIT_NS (2500 * NS_PER_MS)

/**
 * claim_lease_holds() - whether this entry may act on its earlier grants
 * @e: entry
 *
 * Return: false when the lease has lapsed, for example after a pause of the
 * process: others may have replaced this entry since.
 */
bool claim_lease_holds(const struct entry *e)
{
	return member_lease_valid(e->members, e->now_ns);
}

static bool claim_is_own(const struct entry *e, const struct claim *c)
{
	return c->claimer == e->conf.member.self &&
	       c->boot == e->conf.member.incarnation;
}

/*
 * A pair that has just changed may not be known to the other entries yet: two
 * owners whose pairs have no member in common would both be granted the same
 * request. After a settle time their views differ by one member at most.
 */
static bool may_claim(const struct entry *e, const struct request *r)
{
	return claim_lease_holds(e) &&
	       ring_steady(e->ring, r->bucket, e->now_ns);
}

static struct claim make_claim(const struct entry *e, const struct request *r,
			       uint8_t state)
{
	struct claim c = { .request = r->claim_id,
			   .bucket = r->bucket,
			   .claimer = e->conf.member.self,
			   .boot = e->conf.member.incarnation,
			   .target = r->target,
			   .state = state,
			   .slot = request_slot(e, r) };

	return c;
}

static void send_settlement_to(struct entry *e, const struct claim *c,
			       uint64_t vm)
{
	struct peer_msg *m;

	if (vm == ADDR_NONE || vm == e->conf.member.self)
		return;
	m = emit_peer(e, vm, PEER_SETTLE);
	m->n_claims = 1;
	m->claims[0] = *c;
}

/*
 * Sent to both members of the pair: when ownership changed while the claim was
 * pending, the second that granted it is the owner now.
 */
static void send_settlement(struct entry *e, const struct claim *c)
{
	struct ring_pair pair = ring_at(e->ring, c->bucket);

	send_settlement_to(e, c, pair.owner);
	send_settlement_to(e, c, pair.second);
}

/**
 * claim_record_outcome() - record how a claimed request ended
 * @e: entry
 * @r: request
 * @state: enum claim_state
 *
 * Only a refusal is sent to the pair. To the second, done and open mean the
 * same, that the request may have been executed; not sending them saves a
 * message per request.
 */
void claim_record_outcome(struct entry *e, struct request *r, uint8_t state)
{
	struct claim *c = claims_find(e->claims, r->claim_id);

	if (!c || !claim_is_own(e, c))
		return;
	c->state = state;
	if (state == CLAIM_REFUSED)
		send_settlement(e, c);
}

static void forward_to_claimer(struct entry *e, struct request *r,
			       uint64_t claimer)
{
	forward_to(e, claimer, &r->key, r->data, r->size_bytes, LAST_HOP,
		   FORWARD_TO_CLAIMER);
	request_drop(e, r);
}

/* Ends or forwards a request that was claimed before. */
static void handle_existing_claim(struct entry *e, struct request *r,
				  struct claim *c)
{
	bool may_run = c->state == CLAIM_OPEN || c->state == CLAIM_DONE;

	if (c->state == CLAIM_REFUSED) {
		request_refuse(e, r, REFUSE_QUEUE, 1);
		return;
	}
	if (may_run && c->claimer != e->conf.member.self &&
	    vm_is_serving(e, c->claimer)) {
		forward_to_claimer(e, r, c->claimer);
		return;
	}
	/*
	 * The claimer is dead, or the answer is no longer kept. The record
	 * becomes unknown, so that a claimer that was only paused is denied
	 * when it asks again, and does not send the request.
	 */
	c->state = CLAIM_UNKNOWN;
	request_end_unknown(
		e, r, "request was claimed before, its outcome is not known");
}

/**
 * claim_begin() - claim a non-idempotent request that arrived at its owner
 * @e: entry
 * @r: request; may be ended or forwarded by this call
 */
void claim_begin(struct entry *e, struct request *r)
{
	struct claim own = make_claim(e, r, CLAIM_OPEN);
	struct claim *c = claims_find(e->claims, r->claim_id);

	if (c && c->state != CLAIM_NONE) {
		handle_existing_claim(e, r, c);
		return;
	}
	if (c)
		*c = own;
	else
		c = claims_put(e->claims, &own, e->now_ns);
	if (!c) {
		request_end_unknown(e, r, "claim table is full");
		return;
	}
	r->state = REQ_CLAIMING;
	claim_request_grants(e, r);
}

static void claim_completed(struct entry *e, struct request *r)
{
	if (!r->granter_knows_history && !history_known(e, r->bucket)) {
		e->counters.claims_uncovered++;
		request_end_unknown(
			e, r, "no granting entry knows the bucket's history");
		return;
	}
	e->counters.claims_granted++;
	request_submit(e, r);
}

static bool has_grant_of(const struct entry *e, const struct request *r,
			 uint64_t vm)
{
	return vm == ADDR_NONE || vm == e->conf.member.self ||
	       r->granted_by[0] == vm || r->granted_by[1] == vm;
}

/*
 * The receiver fills in the claimer from the message's sender; a target is not
 * chosen yet.
 */
static void send_claim(struct entry *e, struct request *r, uint64_t vm)
{
	struct peer_msg *m;

	if (has_grant_of(e, r, vm))
		return;
	m = emit_peer(e, vm, PEER_CLAIM);
	e->counters.claims_sent++;
	m->n_claims = 1;
	m->claims[0].request = r->claim_id;
	m->claims[0].bucket = r->bucket;
	m->claims[0].state = CLAIM_OPEN;
}

/*
 * The fabric keeps routing requests to an entry that is cut off from its peers,
 * while the caller's next retransmission is likely to reach one that is not. An
 * answer at once would needlessly end the request as unknown.
 */
static void wait_for_majority(struct entry *e, struct request *r)
{
	if (e->now_ns < r->arrived_ns + MAJORITY_WAIT_NS)
		return;
	e->counters.no_majority++;
	request_end_unknown(e, r, "this entry has no majority");
}

/**
 * claim_request_grants() - request the missing grants, first or again
 * @e: entry
 * @r: request in REQ_CLAIMING
 *
 * Asks the present pair of the bucket: an owner needs the second's grant; an
 * entry that lost the bucket while the claim was pending, or that carries a
 * transfer for the owner, needs both. Submits the request when it has all
 * grants, and ends it as unknown at its deadline.
 */
void claim_request_grants(struct entry *e, struct request *r)
{
	struct ring_pair pair = ring_at(e->ring, r->bucket);
	uint64_t next = e->now_ns + e->conf.claim_timeout_ns;

	if (e->now_ns >= r->deadline_ns) {
		request_end_unknown(e, r, "claim was not granted in time");
		return;
	}
	timers_set(e->timers, request_slot(e, r),
		   next < r->deadline_ns ? next : r->deadline_ns);
	if (!may_claim(e, r))
		return;
	if (!member_majority(e->members)) {
		wait_for_majority(e, r);
		return;
	}
	send_claim(e, r, pair.owner);
	send_claim(e, r, pair.second);
	if (has_grant_of(e, r, pair.owner) && has_grant_of(e, r, pair.second))
		claim_completed(e, r);
}

/*
 * The request in REQ_CLAIMING that a record of this entry belongs to, or NULL.
 */
static struct request *pending_request_of(struct entry *e,
					  const struct claim *c)
{
	struct request *r;

	if (!claim_is_own(e, c) || c->state != CLAIM_OPEN)
		return NULL;
	if (c->slot >= e->conf.requests_max)
		return NULL;
	r = &e->requests[c->slot];
	if (r->state != REQ_CLAIMING || r->claim_id != c->request)
		return NULL;
	return r;
}

/* claim_is_pending() - whether this entry still awaits grants for a record. */
bool claim_is_pending(struct entry *e, const struct claim *c)
{
	return pending_request_of(e, c) != NULL;
}

/*
 * Two entries that both take themselves for the owner of a flow request grants
 * for the same request from each other. Without a rule both would refuse; the
 * one with the lower address continues. Drops the request here when this entry
 * yields.
 */
static bool yield_to_lower_address(struct entry *e, const struct claim *c,
				   uint64_t from)
{
	struct request *r = pending_request_of(e, c);

	if (!r || from > e->conf.member.self)
		return false;
	request_drop(e, r);
	return true;
}

static void decide_claim(struct entry *e, struct claim *other, uint64_t from)
{
	struct claim *c = claims_find(e->claims, other->request);

	other->granted = true;
	other->covered = history_known(e, other->bucket);
	if (!c) {
		other->granted =
			claims_put(e->claims, other, e->now_ns) != NULL;
		other->state = other->granted ? CLAIM_OPEN : CLAIM_UNKNOWN;
		return;
	}
	if (c->state == CLAIM_NONE || yield_to_lower_address(e, c, from)) {
		*c = *other;
		return;
	}
	if (c->claimer == other->claimer && c->boot == other->boot) {
		other->granted = c->state == CLAIM_OPEN;
		other->state = c->state;
		return;
	}
	if (c->state == CLAIM_OPEN && !vm_is_serving(e, c->claimer))
		c->state = CLAIM_UNKNOWN;
	other->granted = false;
	other->claimer = c->claimer;
	other->boot = c->boot;
	other->state = c->state;
}

/* A grant carries only the request's hash: the claimer has its own claim. */
static struct claim make_grant(const struct claim *other)
{
	struct claim reply = *other;

	if (!other->granted)
		return reply;
	memset(&reply, 0, sizeof(reply));
	reply.request = other->request;
	reply.granted = true;
	reply.covered = other->covered;
	return reply;
}

/* claim_requests_received() - PEER_CLAIM: answer another entry's claims. */
void claim_requests_received(struct entry *e, const struct peer_msg *msg)
{
	struct peer_msg *reply = emit_peer(e, msg->from, PEER_GRANT);

	for (uint8_t i = 0; i < msg->n_claims; i++) {
		struct claim other = msg->claims[i];

		if (other.bucket >= e->conf.n_buckets)
			continue;
		other.slot = SLOT_NONE;
		other.claimer = msg->from;
		other.boot = msg->incarnation;
		decide_claim(e, &other, msg->from);
		reply->claims[reply->n_claims++] = make_grant(&other);
	}
}

static void handle_denial(struct entry *e, struct request *r, struct claim *own,
			  const struct claim *other)
{
	e->counters.claims_denied++;
	own->claimer = other->claimer;
	own->boot = other->boot;
	own->state = other->state;
	handle_existing_claim(e, r, own);
}

/**
 * claim_resolve_conflict() - handle a record that names another claimer
 * @e: entry
 * @own: record in this entry's table
 * @other: record received with a bucket's history
 *
 * Across a partition the other side may have executed a request while the claim
 * of this entry was pending. Its record takes precedence over a claim that has
 * not led to a send. If both claimers are other entries, it is not known which
 * executed the request, and neither is granted it now.
 */
void claim_resolve_conflict(struct entry *e, struct claim *own,
			    const struct claim *other)
{
	struct request *r = pending_request_of(e, own);

	if (other->claimer == own->claimer && other->boot == own->boot)
		return;
	if (r)
		handle_denial(e, r, own, other);
	else if (!claim_is_own(e, own))
		own->state = CLAIM_UNKNOWN;
}

/*
 * A claim is complete when both members of the present pair have granted it;
 * grants of other entries do not count.
 */
static void record_grant(struct entry *e, struct request *r, uint64_t from,
			 bool covered)
{
	struct ring_pair pair = ring_at(e->ring, r->bucket);

	if (from == pair.owner)
		r->granted_by[0] = from;
	else if (from == pair.second)
		r->granted_by[1] = from;
	else
		return;
	r->granter_knows_history |= covered;
	if (!may_claim(e, r))
		return;
	if (has_grant_of(e, r, pair.owner) && has_grant_of(e, r, pair.second))
		claim_completed(e, r);
}

static void handle_grant(struct entry *e, const struct claim *other,
			 uint64_t from)
{
	struct claim *c = claims_find(e->claims, other->request);
	struct request *r = c ? pending_request_of(e, c) : NULL;

	if (!r)
		return;
	if (!other->granted) {
		handle_denial(e, r, c, other);
		return;
	}
	record_grant(e, r, from, other->covered);
}

/* claim_grants_received() - PEER_GRANT: answers to claims of this entry. */
void claim_grants_received(struct entry *e, const struct peer_msg *msg)
{
	for (uint8_t i = 0; i < msg->n_claims; i++)
		handle_grant(e, &msg->claims[i], msg->from);
	requests_start_ready(e);
}

/*
 * claim_settlements_received() - PEER_SETTLE: outcomes that a claimer reports.
 */
void claim_settlements_received(struct entry *e, const struct peer_msg *msg)
{
	for (uint8_t i = 0; i < msg->n_claims; i++) {
		const struct claim *other = &msg->claims[i];
		struct claim *c = claims_find(e->claims, other->request);

		if (!c || c->claimer != other->claimer ||
		    c->boot != other->boot)
			continue;
		if (c->state == CLAIM_OPEN)
			c->state = other->state;
	}
}
