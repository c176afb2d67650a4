/*
 * At most once: a non-idempotent request is sent only after its owner and the
 * bucket's second both hold a record of it. Views that differ by one member
 * share at least one of the two, and that one refuses a second claimer.
 */
#include "entry_state.h"

#include <string.h>

#define MAJORITY_WAIT_NS (2500 * NS_PER_MS)

/* Whether this process may act on what it knew before: its lease holds. */
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
 * A pair that has just changed may be one that no other entry shares yet: two
 * owners with pairs that have no member in common would both be granted. A
 * settle time later their views differ by one member at most.
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
 * To both of the pair: when ownership moved on while the claim was out, the
 * second that granted it is the owner now.
 */
static void send_settlement(struct entry *e, const struct claim *c)
{
	struct ring_pair pair = ring_at(e->ring, c->bucket);

	send_settlement_to(e, c, pair.owner);
	send_settlement_to(e, c, pair.second);
}

/**
 * claim_record_outcome() - note how a claimed request ended
 * @e: entry
 * @r: request
 * @state: enum claim_state
 *
 * Only a refusal is told to the second: done and open mean the same to it, that
 * the request may have run, and a message less is spent on each request.
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

/* A request whose record says that it was claimed already. */
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
	 * The claimer is gone. Marked unknown here, so that the claimer, if it
	 * was only paused, is told so when it asks again, and does not send.
	 */
	c->state = CLAIM_UNKNOWN;
	request_end_unknown(e, r, "claimer of the request is gone");
}

/**
 * claim_begin() - claim a non-idempotent request that arrived at its owner
 * @e: entry
 * @r: request
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
		request_end_unknown(e, r,
				    "no entry knows the bucket's history");
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
 * The sender itself is the claimer: that needs no words, nor does a target
 * that is not chosen yet.
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
 * The fabric goes on handing requests to an entry that is cut off from its
 * peers, and the caller's next repeat will likely reach one that is not. An
 * answer at once would end the request as unknown for nothing.
 */
static void wait_for_majority(struct entry *e, struct request *r)
{
	if (e->now_ns < r->arrived_ns + MAJORITY_WAIT_NS)
		return;
	e->counters.no_majority++;
	request_end_unknown(e, r, "this side has no majority");
}

/**
 * claim_request_grants() - ask (again) for the grants a request waits for
 * @e: entry
 * @r: request in REQ_CLAIMING
 *
 * Those of the bucket's pair, as it is now: the second's for an owner, both
 * for an entry that lost the bucket while the claim was out, or that carries a
 * transfer for the owner.
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

/* The request that a claim of ours is out for, or NULL when it is past that. */
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

/* claim_is_pending() - whether a record is of a claim here that waits for grants. */
bool claim_is_pending(struct entry *e, const struct claim *c)
{
	return pending_request_of(e, c) != NULL;
}

/*
 * Two entries that both believe they own a flow claim the same request at each
 * other. Without a rule both would refuse; the lower address goes on.
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

/* A grant needs no more than its name: the claimer knows its own claim. */
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

/* claim_requests_received() - another entry asks to run requests: PEER_CLAIM. */
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
 * claim_resolve_conflict() - a record handed over names another claimer
 * @e: entry
 * @own: record here
 * @other: the record handed over
 *
 * While a claim of this entry was out, across a partition, the other side ran
 * the request. Its record has to win over a claim that has not led to a send.
 * Of two others, nobody can tell which ran it, and neither is granted it now.
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

/* Only the words of the present pair, all of them, complete a claim. */
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

/* claim_grants_received() - the second's answers to our claims: PEER_GRANT. */
void claim_grants_received(struct entry *e, const struct peer_msg *msg)
{
	for (uint8_t i = 0; i < msg->n_claims; i++)
		handle_grant(e, &msg->claims[i], msg->from);
	requests_start_ready(e);
}

/* claim_settlements_received() - a claimer says how its requests ended: PEER_SETTLE. */
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
