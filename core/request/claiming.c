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
 * @entry: state of this entry
 *
 * Return: false when the lease has lapsed, for example after a pause of the
 * process: others may have replaced this entry since.
 */
bool claim_lease_holds(const struct entry *entry)
{
	return member_lease_valid(entry->members, entry->now_ns);
}

static bool claim_is_own(const struct entry *entry, const struct claim *claim)
{
	return claim->claimer == entry->conf.member.self &&
	       claim->start_incarnation == entry->conf.member.incarnation;
}

/*
 * A pair that has just changed may not be known to the other entries yet: two
 * owners whose pairs have no member in common would both be granted the same
 * request. After a settle time their views differ by one member at most.
 */
static bool may_claim(const struct entry *entry, const struct request *req)
{
	return claim_lease_holds(entry) &&
	       ring_is_settled(entry->ring, req->bucket, entry->now_ns);
}

static struct claim make_claim(const struct entry *entry,
			       const struct request *req, uint8_t state)
{
	struct claim claim = { .request = req->claim_id,
			       .bucket = req->bucket,
			       .claimer = entry->conf.member.self,
			       .start_incarnation =
				       entry->conf.member.incarnation,
			       .target = req->target,
			       .state = state,
			       .slot = request_slot(entry, req) };

	return claim;
}

static void send_settlement_to(struct entry *entry, const struct claim *claim,
			       uint64_t vm)
{
	struct peer_msg *m;

	if (vm == ADDR_NONE || vm == entry->conf.member.self)
		return;
	m = emit_peer(entry, vm, PEER_SETTLE);
	m->n_claims = 1;
	m->claims[0] = *claim;
}

/*
 * Sent to both members of the pair: when ownership changed while the claim was
 * pending, the second that granted it is the owner now.
 */
static void send_settlement(struct entry *entry, const struct claim *claim)
{
	struct ring_pair pair = ring_current_pair(entry->ring, claim->bucket);

	send_settlement_to(entry, claim, pair.owner);
	send_settlement_to(entry, claim, pair.second);
}

/**
 * claim_record_outcome() - record how a claimed request ended
 * @entry: state of this entry
 * @req: request
 * @state: enum claim_state
 *
 * Only a refusal is sent to the pair. To the second, done and open mean the
 * same, that the request may have been executed; not sending them saves a
 * message per request.
 */
void claim_record_outcome(struct entry *entry, struct request *req,
			  uint8_t state)
{
	struct claim *claim = claims_find(entry->claims, req->claim_id);

	if (!claim || !claim_is_own(entry, claim))
		return;
	claim->state = state;
	if (state == CLAIM_REFUSED)
		send_settlement(entry, claim);
}

static void forward_to_claimer(struct entry *entry, struct request *req,
			       uint64_t claimer)
{
	forward_to(entry, claimer, &req->key, req->data, req->size_bytes,
		   LAST_HOP, FORWARD_TO_CLAIMER);
	request_drop(entry, req);
}

/* Ends or forwards a request that was claimed before. */
static void handle_existing_claim(struct entry *entry, struct request *req,
				  struct claim *claim)
{
	bool may_run = claim->state == CLAIM_OPEN || claim->state == CLAIM_DONE;

	if (claim->state == CLAIM_REFUSED) {
		request_refuse(entry, req, REFUSE_QUEUE, 1);
		return;
	}
	if (may_run && claim->claimer != entry->conf.member.self &&
	    vm_is_serving(entry, claim->claimer)) {
		forward_to_claimer(entry, req, claim->claimer);
		return;
	}
	/*
	 * The claimer is dead, or the answer is no longer kept. The record
	 * becomes unknown, so that a claimer that was only paused is denied
	 * when it asks again, and does not send the request.
	 */
	claim->state = CLAIM_UNKNOWN;
	request_end_unknown(
		entry, req,
		"request was claimed before, its outcome is not known");
}

/**
 * claim_begin() - claim a non-idempotent request that arrived at its owner
 * @entry: state of this entry
 * @req: request; may be ended or forwarded by this call
 */
void claim_begin(struct entry *entry, struct request *req)
{
	struct claim own = make_claim(entry, req, CLAIM_OPEN);
	struct claim *claim = claims_find(entry->claims, req->claim_id);

	if (claim && claim->state != CLAIM_NONE) {
		handle_existing_claim(entry, req, claim);
		return;
	}
	if (claim)
		*claim = own;
	else
		claim = claims_put(entry->claims, &own, entry->now_ns);
	if (!claim) {
		request_end_unknown(entry, req, "claim table is full");
		return;
	}
	req->state = REQ_CLAIMING;
	claim_request_grants(entry, req);
}

static void complete_claim(struct entry *entry, struct request *req)
{
	if (!req->granter_knows_history && !history_known(entry, req->bucket)) {
		entry->counters.claims_uncovered++;
		request_end_unknown(
			entry, req,
			"no granting entry knows the bucket's history");
		return;
	}
	entry->counters.claims_granted++;
	request_submit(entry, req);
}

static bool has_grant_of(const struct entry *entry, const struct request *req,
			 uint64_t vm)
{
	return vm == ADDR_NONE || vm == entry->conf.member.self ||
	       req->granted_by[0] == vm || req->granted_by[1] == vm;
}

/*
 * The receiver fills in the claimer from the message's sender; a target is not
 * chosen yet.
 */
static void send_claim(struct entry *entry, struct request *req, uint64_t vm)
{
	struct peer_msg *m;

	if (has_grant_of(entry, req, vm))
		return;
	m = emit_peer(entry, vm, PEER_CLAIM);
	entry->counters.claims_sent++;
	m->n_claims = 1;
	m->claims[0].request = req->claim_id;
	m->claims[0].bucket = req->bucket;
	m->claims[0].state = CLAIM_OPEN;
}

/*
 * The fabric keeps routing requests to an entry that is partitioned from its
 * peers, while the caller's next retransmission is likely to reach one that is
 * not. An answer at once would needlessly end the request as unknown.
 */
static void wait_for_majority(struct entry *entry, struct request *req)
{
	if (entry->now_ns < req->arrived_ns + MAJORITY_WAIT_NS)
		return;
	entry->counters.no_majority++;
	request_end_unknown(entry, req, "this entry has no majority");
}

/**
 * claim_request_grants() - request the missing grants, first or again
 * @entry: state of this entry
 * @req: request in REQ_CLAIMING
 *
 * Asks the present pair of the bucket: an owner needs the second's grant; an
 * entry that lost the bucket while the claim was pending, or that carries a
 * transfer for the owner, needs both. Submits the request when it has all
 * grants, and ends it as unknown at its deadline.
 */
void claim_request_grants(struct entry *entry, struct request *req)
{
	struct ring_pair pair = ring_current_pair(entry->ring, req->bucket);
	uint64_t next = entry->now_ns + entry->conf.claim_timeout_ns;

	if (entry->now_ns >= req->deadline_ns) {
		request_end_unknown(entry, req,
				    "claim was not granted in time");
		return;
	}
	timers_set(entry->timers, request_slot(entry, req),
		   next < req->deadline_ns ? next : req->deadline_ns);
	if (!may_claim(entry, req))
		return;
	if (!member_has_majority(entry->members)) {
		wait_for_majority(entry, req);
		return;
	}
	send_claim(entry, req, pair.owner);
	send_claim(entry, req, pair.second);
	if (has_grant_of(entry, req, pair.owner) &&
	    has_grant_of(entry, req, pair.second))
		complete_claim(entry, req);
}

/*
 * The request in REQ_CLAIMING that a record of this entry belongs to, or NULL.
 */
static struct request *pending_request_of(struct entry *entry,
					  const struct claim *claim)
{
	struct request *req;

	if (!claim_is_own(entry, claim) || claim->state != CLAIM_OPEN)
		return NULL;
	if (claim->slot >= entry->conf.requests_max)
		return NULL;
	req = &entry->requests[claim->slot];
	if (req->state != REQ_CLAIMING || req->claim_id != claim->request)
		return NULL;
	return req;
}

/* claim_is_pending() - whether this entry still awaits grants for a record. */
bool claim_is_pending(struct entry *entry, const struct claim *claim)
{
	return pending_request_of(entry, claim) != NULL;
}

/*
 * Two entries that both take themselves for the owner of a flow request grants
 * for the same request from each other. Without a rule both would refuse; the
 * one with the lower address continues. Drops the request here when this entry
 * yields.
 */
static bool yield_to_lower_address(struct entry *entry,
				   const struct claim *claim, uint64_t from)
{
	struct request *req = pending_request_of(entry, claim);

	if (!req || from > entry->conf.member.self)
		return false;
	request_drop(entry, req);
	return true;
}

static void decide_claim(struct entry *entry, struct claim *other,
			 uint64_t from)
{
	struct claim *claim = claims_find(entry->claims, other->request);

	other->granted = true;
	other->history_known = history_known(entry, other->bucket);
	if (!claim) {
		other->granted =
			claims_put(entry->claims, other, entry->now_ns) != NULL;
		other->state = other->granted ? CLAIM_OPEN : CLAIM_UNKNOWN;
		return;
	}
	if (claim->state == CLAIM_NONE ||
	    yield_to_lower_address(entry, claim, from)) {
		*claim = *other;
		return;
	}
	if (claim->claimer == other->claimer &&
	    claim->start_incarnation == other->start_incarnation) {
		other->granted = claim->state == CLAIM_OPEN;
		other->state = claim->state;
		return;
	}
	if (claim->state == CLAIM_OPEN && !vm_is_serving(entry, claim->claimer))
		claim->state = CLAIM_UNKNOWN;
	other->granted = false;
	other->claimer = claim->claimer;
	other->start_incarnation = claim->start_incarnation;
	other->state = claim->state;
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
	reply.history_known = other->history_known;
	return reply;
}

/* claim_requests_received() - PEER_CLAIM: answer another entry's claims. */
void claim_requests_received(struct entry *entry, const struct peer_msg *msg)
{
	struct peer_msg *reply = emit_peer(entry, msg->from, PEER_GRANT);

	for (uint8_t i = 0; i < msg->n_claims; i++) {
		struct claim other = msg->claims[i];

		if (other.bucket >= entry->conf.n_buckets)
			continue;
		other.slot = SLOT_NONE;
		other.claimer = msg->from;
		other.start_incarnation = msg->incarnation;
		decide_claim(entry, &other, msg->from);
		reply->claims[reply->n_claims++] = make_grant(&other);
	}
}

static void handle_denial(struct entry *entry, struct request *req,
			  struct claim *own, const struct claim *other)
{
	entry->counters.claims_denied++;
	own->claimer = other->claimer;
	own->start_incarnation = other->start_incarnation;
	own->state = other->state;
	handle_existing_claim(entry, req, own);
}

/**
 * claim_resolve_conflict() - handle a record that names another claimer
 * @entry: state of this entry
 * @own: record in this entry's table
 * @other: record received with a bucket's history
 *
 * Across a partition the other side may have executed a request while the claim
 * of this entry was pending. Its record takes precedence over a claim that has
 * not led to a send. If both claimers are other entries, it is not known which
 * executed the request, and neither is granted it now.
 */
void claim_resolve_conflict(struct entry *entry, struct claim *own,
			    const struct claim *other)
{
	struct request *req = pending_request_of(entry, own);

	if (other->claimer == own->claimer &&
	    other->start_incarnation == own->start_incarnation)
		return;
	if (req)
		handle_denial(entry, req, own, other);
	else if (!claim_is_own(entry, own))
		own->state = CLAIM_UNKNOWN;
}

/*
 * A claim is complete when both members of the present pair have granted it;
 * grants of other entries do not count.
 */
static void record_grant(struct entry *entry, struct request *req,
			 uint64_t from, bool granter_knows_history)
{
	struct ring_pair pair = ring_current_pair(entry->ring, req->bucket);

	if (from == pair.owner)
		req->granted_by[0] = from;
	else if (from == pair.second)
		req->granted_by[1] = from;
	else
		return;
	req->granter_knows_history |= granter_knows_history;
	if (!may_claim(entry, req))
		return;
	if (has_grant_of(entry, req, pair.owner) &&
	    has_grant_of(entry, req, pair.second))
		complete_claim(entry, req);
}

static void handle_grant(struct entry *entry, const struct claim *other,
			 uint64_t from)
{
	struct claim *claim = claims_find(entry->claims, other->request);
	struct request *req = claim ? pending_request_of(entry, claim) : NULL;

	if (!req)
		return;
	if (!other->granted) {
		handle_denial(entry, req, claim, other);
		return;
	}
	record_grant(entry, req, from, other->history_known);
}

/* claim_grants_received() - PEER_GRANT: answers to claims of this entry. */
void claim_grants_received(struct entry *entry, const struct peer_msg *msg)
{
	for (uint8_t i = 0; i < msg->n_claims; i++)
		handle_grant(entry, &msg->claims[i], msg->from);
	requests_start_ready(entry);
}

/*
 * claim_settlements_received() - PEER_SETTLE: outcomes that a claimer reports.
 */
void claim_settlements_received(struct entry *entry, const struct peer_msg *msg)
{
	for (uint8_t i = 0; i < msg->n_claims; i++) {
		const struct claim *other = &msg->claims[i];
		struct claim *claim =
			claims_find(entry->claims, other->request);

		if (!claim || claim->claimer != other->claimer ||
		    claim->start_incarnation != other->start_incarnation)
			continue;
		if (claim->state == CLAIM_OPEN)
			claim->state = other->state;
	}
}
