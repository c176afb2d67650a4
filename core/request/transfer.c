/*
 * Transfers of several blocks. Their blocks belong together at one target, and
 * a target knows a transfer by the address that its blocks come from: so one
 * entry carries it from the first block to the last, also when another has
 * come to own the flow meanwhile.
 */
#include "entry_state.h"

#define TRANSFER_KEEP_NS (60 * NS_PER_S)

/* transfer_only_stores() - whether the target only keeps the block for now. */
bool transfer_only_stores(const struct request *r)
{
	return r->flags & MESSAGE_BODY && r->flags & MESSAGE_MORE;
}

/* transfer_may_change_target() - whether another target would do as well. */
bool transfer_may_change_target(const struct request *r)
{
	return !(r->flags & MESSAGE_BODY) || r->flags & MESSAGE_FIRST_BLOCK;
}

/**
 * transfer_target() - target that the blocks of a transfer go to
 * @e: entry
 * @r: block
 *
 * Return: target, or ADDR_NONE when it may be chosen.
 */
uint64_t transfer_target(struct entry *e, const struct request *r)
{
	if (!(r->flags & MESSAGE_BLOCK))
		return ADDR_NONE;
	return flow_lookup(e->pins, &r->key, e->now_ns);
}

/* transfer_pin() - keep the flow's blocks at the target of this one. */
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
 * transfer_update_pin() - a block was answered
 * @e: entry
 * @r: block, or a request whose answer comes in blocks
 * @answer: the answer
 *
 * A pin lasts as long as its transfer. Kept longer, it would send the flow's
 * next transfer to the same target, also to one that drains by then.
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
 * transfer_is_carried_here() - whether a block is of a transfer that this entry carries
 * @e: entry
 * @key: flow
 * @msg: datagram of a caller
 *
 * Return: true for a later block, whoever owns the flow by now.
 */
bool transfer_is_carried_here(struct entry *e, const struct flow_key *key,
			      const struct message *msg)
{
	if (!(msg->flags & MESSAGE_BODY) || msg->flags & MESSAGE_FIRST_BLOCK)
		return false;
	return flow_lookup(e->pins, key, e->now_ns) != ADDR_NONE;
}

/* Whether the entry that owned the flow before may still carry transfers. */
static bool previous_owner_is_carrier(const struct entry *e,
				      const struct request *r)
{
	uint64_t before = e->previous_owner[r->bucket];

	return before != ADDR_NONE && before != e->conf.member.self &&
	       vm_is_serving(e, before) &&
	       e->now_ns <= e->owner_since_ns[r->bucket] + TRANSFER_KEEP_NS;
}

/* A new transfer: what is left of one that its caller gave up goes. */
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
 * transfer_forward_to_carrier() - find out who carries a block's transfer
 * @e: entry
 * @r: block that arrived at the owner of its flow
 *
 * Sent on from here, a later block of a transfer that another entry began
 * would reach the target from an address it does not know, and the whole
 * transfer would fail there.
 *
 * Return: true when the entry that owned the flow before, and lives, was given
 * the block, and @r is gone. Else @r is marked if nobody can go on with it.
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
