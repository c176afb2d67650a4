#include "entry_state.h"

/**
 * service_find() - service of a VIP
 * @entry: state of this entry
 * @vip: address that callers send to
 *
 * Routing considers only the VIP, so a datagram can't reach the targets of
 * another service.
 *
 * Return: service, or NULL when no client account in force has the VIP.
 */
const struct service_conf *service_find(const struct entry *entry, uint64_t vip)
{
	uint32_t slot;

	if (!entry->services)
		return NULL;
	slot = index_get(entry->services, hash_u64(vip, 0));
	if (slot == INDEX_NONE || entry->service_list[slot]->vip != vip)
		return NULL;
	return entry->service_list[slot];
}

/**
 * target_token() - token of a request or feed towards targets
 * @feed: the slot is of a feed, not of a request
 * @slot: slot in its table
 * @generation: uses of the slot; a late answer does not match the slot's next
 *	use
 * @seed: seed of this process; an answer to an earlier process at this address
 *	does not match
 *
 * Return: token.
 */
uint64_t target_token(bool feed, uint32_t slot, uint32_t generation,
		      uint64_t seed)
{
	uint32_t low = generation ^ (uint32_t)seed;

	return (uint64_t)(slot << 1 | (feed ? 1 : 0)) << 32 | low;
}

/*
 * vm_is_serving() - whether an entry is known and not dead, so that it can
 * still answer the requests that it claimed.
 */
bool vm_is_serving(const struct entry *entry, uint64_t vm)
{
	const struct member *m;

	if (vm == entry->conf.member.self)
		return true;
	m = member_find(entry->members, vm);
	return m && m->state != MEMBER_DEAD;
}

/*
 * vm_may_own() - whether an entry may own buckets: alive or suspect, and it has
 * joined and does not leave.
 */
bool vm_may_own(const struct entry *entry, uint64_t vm)
{
	const struct member *m = member_find(entry->members, vm);

	return m && (m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT);
}

/**
 * forward_to() - forward a caller's datagram to another entry
 * @entry: state of this entry
 * @vm: receiver
 * @key: flow
 * @data: datagram, has to stay valid until the actions are carried out
 * @size_bytes: size of @data
 * @hops: number of forwards so far
 * @purpose: enum forward_purpose
 *
 * Two entries that disagree on the owner would forward a datagram back and
 * forth. The hop count stops that; by the caller's retransmission they agree.
 *
 * Return: false when the datagram is dropped after too many forwards.
 */
bool forward_to(struct entry *entry, uint64_t vm, const struct flow_key *key,
		const uint8_t *data, uint32_t size_bytes, uint8_t hops,
		uint8_t purpose)
{
	struct peer_msg *m;

	if (hops >= HOPS_MAX) {
		entry->counters.forward_loops++;
		return false;
	}
	m = emit_peer(entry, vm, PEER_FORWARD);
	m->hops = (uint8_t)(hops + 1);
	m->key = *key;
	m->seq = purpose;
	m->data = data;
	m->size_bytes = size_bytes;
	entry->counters.forwards++;
	return true;
}

/**
 * handle_as_owner() - handle a caller's datagram as the owner of its flow
 * @entry: state of this entry
 * @key: flow
 * @msg: datagram
 */
void handle_as_owner(struct entry *entry, const struct flow_key *key,
		     const struct message *msg)
{
	switch (msg->kind) {
	case MESSAGE_REQUEST:
		request_receive(entry, key, msg);
		break;
	case MESSAGE_ACK:
		feed_acked_by_caller(entry, key, msg->id);
		break;
	case MESSAGE_RESET:
		if (!feed_reset_by_caller(entry, key, msg->id))
			request_reset_by_caller(entry, key, msg->id);
		break;
	case MESSAGE_PROBE:
		emit_signal_caller(entry, key, WIRE_RESET, msg->id);
		break;
	default:
		break;
	}
}

/*
 * Acknowledgements and resets refer to an update by its message ID. During a
 * handover the entry that sent the update may no longer be the owner, so an
 * entry that knows the ID handles them; only the others go to the owner.
 */
static bool handled_by_msg_id(struct entry *entry, const struct flow_key *key,
			      const struct message *msg)
{
	if (msg->kind == MESSAGE_ACK)
		return feed_acked_by_caller(entry, key, msg->id);
	if (msg->kind == MESSAGE_RESET)
		return feed_reset_by_caller(entry, key, msg->id);
	return false;
}

/* An entry that has not joined yet forwards datagrams to one that has. */
static void forward_to_joined(struct entry *entry, const struct flow_key *key,
			      const struct message *msg, uint8_t hops)
{
	const struct member *all;
	uint32_t n = member_all(entry->members, &all);
	uint64_t first = n ? flow_hash(key) % n : 0;

	for (uint32_t i = 0; i < n; i++) {
		const struct member *m = &all[(first + i) % n];

		if (m->state != MEMBER_ALIVE ||
		    m->vm == entry->conf.member.self)
			continue;
		forward_to(entry, m->vm, key, msg->data, msg->size_bytes, hops,
			   FORWARD_TO_OWNER);
		return;
	}
}

static void route(struct entry *entry, const struct flow_key *key,
		  const struct message *msg, uint8_t hops)
{
	struct ring_pair pair;

	if (msg->size_bytes > DATAGRAM_MAX_BYTES) {
		entry->counters.oversize++;
		return;
	}
	if (entry->stale) {
		entry->counters.stale_dropped++;
		return;
	}
	if (!service_find(entry, key->vip)) {
		entry->counters.no_service++;
		return;
	}
	if (handled_by_msg_id(entry, key, msg))
		return;
	if (msg->kind == MESSAGE_REQUEST &&
	    request_handle_retransmission(entry, key, msg))
		return;
	if (transfer_is_carried_here(entry, key, msg)) {
		request_receive(entry, key, msg);
		return;
	}
	if (!entry->joined) {
		forward_to_joined(entry, key, msg, hops);
		return;
	}
	pair = ring_current_pair(entry->ring, ring_bucket(entry->ring, key));
	if (pair.owner == entry->conf.member.self)
		handle_as_owner(entry, key, msg);
	else if (pair.owner != ADDR_NONE)
		forward_to(entry, pair.owner, key, msg->data, msg->size_bytes,
			   hops, FORWARD_TO_OWNER);
}

/**
 * entry_caller() - handle a datagram from a caller
 * @entry: state of this entry
 * @key: caller and VIP
 * @msg: datagram as parsed
 * @now_ns: current time
 * @out: filled with the actions to carry out
 */
void entry_caller(struct entry *entry, const struct flow_key *key,
		  const struct message *msg, uint64_t now_ns,
		  struct actions *out)
{
	entry_begin_call(entry, now_ns, out);
	route(entry, key, msg, 0);
}

static void handle_forwarded(struct entry *entry, const struct peer_msg *msg,
			     const struct message *inner)
{
	if (!inner)
		return;
	if (msg->seq == FORWARD_TO_OWNER) {
		route(entry, &msg->key, inner, msg->hops);
		return;
	}
	if (inner->size_bytes > DATAGRAM_MAX_BYTES)
		return;
	if (request_handle_retransmission(entry, &msg->key, inner))
		return;
	if (msg->seq == FORWARD_TO_CARRIER)
		request_receive(entry, &msg->key, inner);
	else
		local_answer_send_unknown(entry, &msg->key, inner);
}

/**
 * entry_peer() - handle a message from another entry
 * @entry: state of this entry
 * @msg: message
 * @forwarded: PEER_FORWARD: the datagram in it as parsed, NULL if that failed;
 *	NULL for other kinds
 * @now_ns: current time
 * @out: filled with the actions to carry out
 */
void entry_peer(struct entry *entry, const struct peer_msg *msg,
		const struct message *forwarded, uint64_t now_ns,
		struct actions *out)
{
	entry_begin_call(entry, now_ns, out);
	member_receive(entry->members, msg, now_ns);
	entry_check_lease(entry);
	switch (msg->kind) {
	case PEER_FORWARD:
		handle_forwarded(entry, msg, forwarded);
		break;
	case PEER_CLAIM:
		claim_requests_received(entry, msg);
		break;
	case PEER_GRANT:
		claim_grants_received(entry, msg);
		break;
	case PEER_SETTLE:
		claim_settlements_received(entry, msg);
		break;
	case PEER_FEED:
		feed_copy_received(entry, msg);
		break;
	case PEER_FEED_CLOSE:
		feed_copy_close_received(entry, msg);
		break;
	case PEER_UNPIN:
		flow_unpin(entry->pins, &msg->key);
		break;
	case PEER_RECORD:
		stream_received(entry, msg);
		break;
	case PEER_HANDOVER:
		stream_ack_received(entry, msg);
		break;
	default:
		break;
	}
}

/**
 * entry_target() - handle a datagram from a target
 * @entry: state of this entry
 * @target: sender
 * @msg: datagram as parsed
 * @now_ns: current time
 * @out: filled with the actions to carry out
 */
void entry_target(struct entry *entry, uint64_t target,
		  const struct message *msg, uint64_t now_ns,
		  struct actions *out)
{
	entry_begin_call(entry, now_ns, out);
	if (msg->size_bytes > DATAGRAM_MAX_BYTES)
		entry->counters.oversize++;
	else
		target_receive(entry, target, msg);
	requests_start_ready(entry);
}
