/*
 * Transfers of several blocks (RFC 7959). The blocks of a transfer have to
 * reach the same target, and a target identifies a transfer by the address that
 * its blocks come from. So one entry, the carrier, sends them from the first
 * block to the last, even if another entry has become the owner of the flow
 * meanwhile.
 */
#include "entry_state.h"

#define TRANSFER_KEEP_NS (60 * NS_PER_S)

/* transfer_only_stores() - whether the target only stores the block for now. */
bool transfer_only_stores(const struct request *r)
{
	return r->flags & MESSAGE_BODY && r->flags & MESSAGE_MORE;
}

/* transfer_may_change_target() - whether another target can serve the block. */
bool transfer_may_change_target(const struct request *r)
{
	return !(r->flags & MESSAGE_BODY) || r->flags & MESSAGE_FIRST_BLOCK;
}

/**
 * transfer_target() - target that has the earlier blocks of a transfer
 * @e: entry
 * @r: block
 *
 * Return: target, or ADDR_NONE when the balancer may choose one.
 */
uint64_t transfer_target(struct entry *e, const struct request *r)
{
	if (!(r->flags & MESSAGE_BLOCK))
		return ADDR_NONE;
	return flow_lookup(e->pins, &r->key, e->now_ns);
}

/* transfer_pin() - pin the flow to the target of this block. */
void transfer_pin(struct entry *e, struct request *r)
{
	if (flow_lookup(e->pins, &r->key, e->now_ns) == r->target)
		return;
	if (flow_pin(e->pins, &r->key, r->target, e->now_ns) < 0) {
		e->counters.flow_table_full++;
		return;
	}
	e->counters.pins_made++;
}

/**
 * transfer_update_pin() - pin or unpin a flow after an answer
 * @e: entry
 * @r: block, or a request whose answer comes in blocks
 * @answer: answer of the target
 *
 * A pin lasts as long as its transfer. Kept longer, it would direct the flow's
 * next transfer to the same target, even to one that drains by then.
 */
void transfer_update_pin(struct entry *e, struct request *r,
			 const struct message *answer)
{
	uint16_t flags = r->flags | answer->flags;

	if (!(flags & MESSAGE_BLOCK))
		return;
	if (flags & MESSAGE_MORE)
		transfer_pin(e, r);
	else
		flow_unpin(e->pins, &r->key);
}

/**
 * transfer_is_carried_here() - whether this entry carries a block's transfer
 * @e: entry
 * @key: flow
 * @msg: datagram of a caller
 *
 * Return: true for a later block of a transfer that began here, even if another
 * entry owns the flow now.
 */
bool transfer_is_carried_here(struct entry *e, const struct flow_key *key,
			      const struct message *msg)
{
	if (!(msg->flags & MESSAGE_BODY) || msg->flags & MESSAGE_FIRST_BLOCK)
		return false;
	return flow_lookup(e->pins, key, e->now_ns) != ADDR_NONE;
}

/* Whether the bucket's previous owner may still carry its transfers. */
static bool previous_owner_is_carrier(const struct entry *e,
				      const struct request *r)
{
	uint64_t before = e->previous_owner[r->bucket];

	return before != ADDR_NONE && before != e->conf.member.self &&
	       vm_is_serving(e, before) &&
	       e->now_ns <= e->owner_since_ns[r->bucket] + TRANSFER_KEEP_NS;
}

/*
 * A new transfer replaces one that its caller gave up: removes the old pin here
 * and at the previous owner.
 */
static void discard_previous_transfer(struct entry *e, const struct request *r)
{
	struct peer_msg *m;

	flow_unpin(e->pins, &r->key);
	if (!previous_owner_is_carrier(e, r))
		return;
	m = emit_peer(e, e->previous_owner[r->bucket], PEER_UNPIN);
	m->key = r->key;
}

/**
 * transfer_forward_to_carrier() - forward a block to the carrier of its
 *	transfer
 * @e: entry
 * @r: block that arrived at the owner of its flow; a first block ends an
 *	earlier transfer
 *
 * If this entry sent a later block of a transfer that another entry began, the
 * target would receive it from an address that it does not know, and the whole
 * transfer would fail there.
 *
 * Return: true when the block was forwarded to the previous owner and @r freed.
 * Otherwise carrier_lost is set in @r when no entry can continue the transfer.
 */
bool transfer_forward_to_carrier(struct entry *e, struct request *r)
{
	if (!(r->flags & MESSAGE_BODY))
		return false;
	if (r->flags & MESSAGE_FIRST_BLOCK) {
		discard_previous_transfer(e, r);
		return false;
	}
	if (flow_lookup(e->pins, &r->key, e->now_ns) != ADDR_NONE)
		return false;
	r->carrier_lost = true;
	if (!previous_owner_is_carrier(e, r))
		return false;
	forward_to(e, e->previous_owner[r->bucket], &r->key, r->data,
		   r->size_bytes, LAST_HOP, FORWARD_TO_CARRIER);
	request_drop(e, r);
	return true;
}
