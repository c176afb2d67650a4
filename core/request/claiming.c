/*
 * At most once: a non-idempotent request is sent only after its owner and the
 * bucket's second both hold a record of it. Views that differ by one member
 * share at least one of the two, and that one refuses a second claimer.
 */
#include "entry_state.h"

#include <string.h>

#define MAJORITY_WAIT_NS (2500 * NS_PER_MS)

/* Whether this process may act on what it knew before: its lease holds. */
bool claim_safe_now(const struct entry *e)
{
	return member_lease_valid(e->members, e->now_ns);
}

static bool own_claim(const struct entry *e, const struct claim *c)
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
	return claim_safe_now(e) &&
	       ring_is_settled(e->ring, r->bucket, e->now_ns);
}

static struct claim claim_of(const struct entry *e, const struct request *r,
			     uint8_t state)
{
	struct claim c = { .request = r->request,
			   .bucket = r->bucket,
			   .claimer = e->conf.member.self,
			   .boot = e->conf.member.incarnation,
			   .target = r->target,
			   .state = state,
			   .slot = request_slot(e, r) };

	return c;
}

static void settle_at(struct entry *e, const struct claim *c, uint64_t vm)
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
	struct ring_pair pair = ring_current_pair(e->ring, c->bucket);

	settle_at(e, c, pair.owner);
	settle_at(e, c, pair.second);
}

/**
 * claim_settle() - note how a claimed request ended
 * @e: entry
 * @r: request
 * @state: enum claim_state
 *
 * Only a refusal is told to the second: done and open mean the same to it, that
 * the request may have run, and a message less is spent on each request.
 */
void claim_settle(struct entry *e, struct request *r, uint8_t state)
{
	struct claim *c = claims_find(e->claims, r->request);

	if (!c || !own_claim(e, c))
		return;
	c->state = state;
	if (state == CLAIM_REFUSED)
		send_settlement(e, c);
}

static void pass_to_claimer(struct entry *e, struct request *r,
			    uint64_t claimer)
{
	forward_to(e, claimer, &r->key, r->data, r->size_bytes, LAST_HOP,
		   FORWARD_REPEAT);
	request_drop(e, r);
}

/* A request whose record says that it was claimed already. */
static void claimed_before(struct entry *e, struct request *r, struct claim *c)
{
	bool may_run = c->state == CLAIM_OPEN || c->state == CLAIM_DONE;

	if (c->state == CLAIM_REFUSED) {
		request_refuse(e, r, REFUSE_QUEUE, 1);
		return;
	}
	if (may_run && c->claimer != e->conf.member.self &&
	    vm_serves(e, c->claimer)) {
		pass_to_claimer(e, r, c->claimer);
		return;
	}
	/*
	 * The claimer is gone. Marked unknown here, so that the claimer, if it
	 * was only paused, is told so when it asks again, and does not send.
	 */
	c->state = CLAIM_UNKNOWN;
	request_unknown(e, r, "claimer of the request is gone");
}

/**
 * claim_begin() - claim a non-idempotent request that arrived at its owner
 * @e: entry
 * @r: request
 */
void claim_begin(struct entry *e, struct request *r)
{
	struct claim mine = claim_of(e, r, CLAIM_OPEN);
	struct claim *c = claims_find(e->claims, r->request);

	if (c && c->state != CLAIM_NONE) {
		claimed_before(e, r, c);
		return;
	}
	if (c)
		*c = mine;
	else
		c = claims_put(e->claims, &mine, e->now_ns);
	if (!c) {
		request_unknown(e, r, "claim table is full");
		return;
	}
	r->state = REQ_CLAIMING;
	claim_repeat(e, r);
}

static void granted(struct entry *e, struct request *r)
{
	if (!r->covered && !history_known(e, r->bucket)) {
		e->counters.claims_uncovered++;
		request_unknown(e, r, "no entry knows the bucket's history");
		return;
	}
	e->counters.claims_granted++;
	request_submit(e, r);
}

static bool granted_by(const struct entry *e, const struct request *r,
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

	if (granted_by(e, r, vm))
		return;
	m = emit_peer(e, vm, PEER_CLAIM);
	e->counters.claims_sent++;
	m->n_claims = 1;
	m->claims[0].request = r->request;
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
	request_unknown(e, r, "this side has no majority");
}

/**
 * claim_repeat() - ask (again) for the grants a request waits for
 * @e: entry
 * @r: request in REQ_CLAIMING
 *
 * Those of the bucket's pair, as it is now: the second's for an owner, both
 * for an entry that lost the bucket while the claim was out, or that carries a
 * transfer for the owner.
 */
void claim_repeat(struct entry *e, struct request *r)
{
	struct ring_pair pair = ring_current_pair(e->ring, r->bucket);
	uint64_t next = e->now_ns + e->conf.claim_timeout_ns;

	if (e->now_ns >= r->deadline_ns) {
		request_unknown(e, r, "claim was not granted in time");
		return;
	}
	timers_set(e->timers, request_slot(e, r),
		   next < r->deadline_ns ? next : r->deadline_ns);
	if (!may_claim(e, r))
		return;
	if (!member_has_majority(e->members)) {
		wait_for_majority(e, r);
		return;
	}
	send_claim(e, r, pair.owner);
	send_claim(e, r, pair.second);
	if (granted_by(e, r, pair.owner) && granted_by(e, r, pair.second))
		granted(e, r);
}

/* The request that a claim of ours is out for, or NULL when it is past that. */
static struct request *still_claiming(struct entry *e, const struct claim *c)
{
	struct request *r;

	if (!own_claim(e, c) || c->state != CLAIM_OPEN)
		return NULL;
	if (c->slot >= e->conf.requests_max)
		return NULL;
	r = &e->requests[c->slot];
	if (r->state != REQ_CLAIMING || r->request != c->request)
		return NULL;
	return r;
}

/* claim_is_out() - whether a record is of a claim here that waits for grants. */
bool claim_is_out(struct entry *e, const struct claim *c)
{
	return still_claiming(e, c) != NULL;
}

/*
 * Two entries that both believe they own a flow claim the same request at each
 * other. Without a rule both would refuse; the lower address goes on.
 */
static bool yields(struct entry *e, const struct claim *c, uint64_t from)
{
	struct request *r = still_claiming(e, c);

	if (!r || from > e->conf.member.self)
		return false;
	request_drop(e, r);
	return true;
}

static void rule_on_claim(struct entry *e, struct claim *line, uint64_t from)
{
	struct claim *c = claims_find(e->claims, line->request);

	line->granted = true;
	line->covered = history_known(e, line->bucket);
	if (!c) {
		line->granted = claims_put(e->claims, line, e->now_ns) != NULL;
		line->state = line->granted ? CLAIM_OPEN : CLAIM_UNKNOWN;
		return;
	}
	if (c->state == CLAIM_NONE || yields(e, c, from)) {
		*c = *line;
		return;
	}
	if (c->claimer == line->claimer && c->boot == line->boot) {
		line->granted = c->state == CLAIM_OPEN;
		line->state = c->state;
		return;
	}
	if (c->state == CLAIM_OPEN && !vm_serves(e, c->claimer))
		c->state = CLAIM_UNKNOWN;
	line->granted = false;
	line->claimer = c->claimer;
	line->boot = c->boot;
	line->state = c->state;
}

/* A grant needs no more than its name: the claimer knows its own claim. */
static struct claim reply_line(const struct claim *line)
{
	struct claim reply = *line;

	if (!line->granted)
		return reply;
	memset(&reply, 0, sizeof(reply));
	reply.request = line->request;
	reply.granted = true;
	reply.covered = line->covered;
	return reply;
}

/* claim_asked() - another entry asks to run requests: PEER_CLAIM. */
void claim_asked(struct entry *e, const struct peer_msg *msg)
{
	struct peer_msg *reply = emit_peer(e, msg->from, PEER_GRANT);

	for (uint8_t i = 0; i < msg->n_claims; i++) {
		struct claim line = msg->claims[i];

		if (line.bucket >= e->conf.n_buckets)
			continue;
		line.slot = SLOT_NONE;
		line.claimer = msg->from;
		line.boot = msg->incarnation;
		rule_on_claim(e, &line, msg->from);
		reply->claims[reply->n_claims++] = reply_line(&line);
	}
}

static void denied(struct entry *e, struct request *r, struct claim *mine,
		   const struct claim *line)
{
	e->counters.claims_denied++;
	mine->claimer = line->claimer;
	mine->boot = line->boot;
	mine->state = line->state;
	claimed_before(e, r, mine);
}

/**
 * claim_overruled() - a record handed over names another claimer
 * @e: entry
 * @mine: record here
 * @line: the record handed over
 *
 * While a claim of this entry was out, across a partition, the other side ran
 * the request. Its record has to win over a claim that has not led to a send.
 * Of two others, nobody can tell which ran it, and neither is granted it now.
 */
void claim_overruled(struct entry *e, struct claim *mine,
		     const struct claim *line)
{
	struct request *r = still_claiming(e, mine);

	if (line->claimer == mine->claimer && line->boot == mine->boot)
		return;
	if (r)
		denied(e, r, mine, line);
	else if (!own_claim(e, mine))
		mine->state = CLAIM_UNKNOWN;
}

/* Only the words of the present pair, all of them, complete a claim. */
static void note_grant(struct entry *e, struct request *r, uint64_t from,
		       bool covered)
{
	struct ring_pair pair = ring_current_pair(e->ring, r->bucket);

	if (from == pair.owner)
		r->granted_by[0] = from;
	else if (from == pair.second)
		r->granted_by[1] = from;
	else
		return;
	r->covered |= covered;
	if (!may_claim(e, r))
		return;
	if (granted_by(e, r, pair.owner) && granted_by(e, r, pair.second))
		granted(e, r);
}

static void answer_to_claim(struct entry *e, const struct claim *line,
			    uint64_t from)
{
	struct claim *c = claims_find(e->claims, line->request);
	struct request *r = c ? still_claiming(e, c) : NULL;

	if (!r)
		return;
	if (!line->granted) {
		denied(e, r, c, line);
		return;
	}
	note_grant(e, r, from, line->covered);
}

/* claim_granted() - the second's answers to our claims: PEER_GRANT. */
void claim_granted(struct entry *e, const struct peer_msg *msg)
{
	for (uint8_t i = 0; i < msg->n_claims; i++)
		answer_to_claim(e, &msg->claims[i], msg->from);
	requests_drain(e);
}

/* claim_settled() - a claimer says how its requests ended: PEER_SETTLE. */
void claim_settled(struct entry *e, const struct peer_msg *msg)
{
	for (uint8_t i = 0; i < msg->n_claims; i++) {
		const struct claim *line = &msg->claims[i];
		struct claim *c = claims_find(e->claims, line->request);

		if (!c || c->claimer != line->claimer || c->boot != line->boot)
			continue;
		if (c->state == CLAIM_OPEN)
			c->state = line->state;
	}
}
