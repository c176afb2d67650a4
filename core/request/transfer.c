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
bool transfer_only_stores(const struct request *req)
{
	return req->flags & MESSAGE_BODY && req->flags & MESSAGE_MORE;
}

/* transfer_may_change_target() - whether another target can serve the block. */
bool transfer_may_change_target(const struct request *req)
{
	return !(req->flags & MESSAGE_BODY) || req->flags & MESSAGE_FIRST_BLOCK;
}

/**
 * transfer_target() - target that has the earlier blocks of a transfer
 * @entry: state of this entry
 * @req: block
 *
 * Return: target, or ADDR_NONE when the balancer may choose one.
 */
uint64_t transfer_target(struct entry *entry, const struct request *req)
{
	if (!(req->flags & MESSAGE_BLOCK))
		return ADDR_NONE;
	return flow_lookup(entry->pins, &req->key, entry->now_ns);
}

/* transfer_pin() - pin the flow to the target of this block. */
void transfer_pin(struct entry *entry, struct request *req)
{
	if (flow_lookup(entry->pins, &req->key, entry->now_ns) == req->target)
		return;
	if (flow_pin(entry->pins, &req->key, req->target, entry->now_ns) < 0) {
		entry->counters.flow_table_full++;
		return;
	}
	entry->counters.pins_made++;
}

/**
 * transfer_update_pin() - pin or unpin a flow after an answer
 * @entry: state of this entry
 * @req: block, or a request whose answer comes in blocks
 * @answer: answer of the target
 *
 * A pin lasts as long as its transfer. Kept longer, it would direct the flow's
 * next transfer to the same target, even to one that drains by then.
 */
void transfer_update_pin(struct entry *entry, struct request *req,
			 const struct message *answer)
{
	uint16_t flags = req->flags | answer->flags;

	if (!(flags & MESSAGE_BLOCK))
		return;
	if (flags & MESSAGE_MORE)
		transfer_pin(entry, req);
	else
		flow_unpin(entry->pins, &req->key);
}

/**
 * transfer_is_carried_here() - whether this entry carries a block's transfer
 * @entry: state of this entry
 * @key: flow
 * @msg: datagram of a caller
 *
 * Return: true for a later block of a transfer that began here, even if another
 * entry owns the flow now.
 */
bool transfer_is_carried_here(struct entry *entry, const struct flow_key *key,
			      const struct message *msg)
{
	if (!(msg->flags & MESSAGE_BODY) || msg->flags & MESSAGE_FIRST_BLOCK)
		return false;
	return flow_lookup(entry->pins, key, entry->now_ns) != ADDR_NONE;
}

/* Whether the bucket's previous owner may still carry its transfers. */
static bool previous_owner_is_carrier(const struct entry *entry,
				      const struct request *req)
{
	uint64_t before = entry->previous_owner[req->bucket];

	return before != ADDR_NONE && before != entry->conf.member.self &&
	       vm_is_serving(entry, before) &&
	       entry->now_ns <=
		       entry->owner_since_ns[req->bucket] + TRANSFER_KEEP_NS;
}

/*
 * A new transfer replaces one that its caller gave up: removes the old pin here
 * and at the previous owner.
 */
static void discard_previous_transfer(struct entry *entry,
				      const struct request *req)
{
	struct peer_msg *m;

	flow_unpin(entry->pins, &req->key);
	if (!previous_owner_is_carrier(entry, req))
		return;
	m = emit_peer(entry, entry->previous_owner[req->bucket], PEER_UNPIN);
	m->key = req->key;
}

/**
 * transfer_forward_to_carrier() - forward a block to the carrier of its
 *	transfer
 * @entry: state of this entry
 * @req: block that arrived at the owner of its flow; a first block ends an
 *	earlier transfer
 *
 * If this entry sent a later block of a transfer that another entry began, the
 * target would receive it from an address that it does not know, and the whole
 * transfer would fail there.
 *
 * Return: true when the block was forwarded to the previous owner and @req was
 * freed. Otherwise carrier_lost is set in @req when no entry can continue the
 * transfer.
 */
bool transfer_forward_to_carrier(struct entry *entry, struct request *req)
{
	if (!(req->flags & MESSAGE_BODY))
		return false;
	if (req->flags & MESSAGE_FIRST_BLOCK) {
		discard_previous_transfer(entry, req);
		return false;
	}
	if (flow_lookup(entry->pins, &req->key, entry->now_ns) != ADDR_NONE)
		return false;
	req->carrier_lost = true;
	if (!previous_owner_is_carrier(entry, req))
		return false;
	forward_to(entry, entry->previous_owner[req->bucket], &req->key,
		   req->data, req->size_bytes, LAST_HOP, FORWARD_TO_CARRIER);
	request_drop(entry, req);
	return true;
}
