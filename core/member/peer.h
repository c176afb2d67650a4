/*
 * Messages between entries; adapters/wire.c encodes them with msgpack. Every
 * message carries its sender and the sender's incarnation.
 */
#ifndef CB_PEER_H
#define CB_PEER_H

#include "types.h"

#define GOSSIP_UPDATES_MAX 8
#define CLAIMS_MAX 32

/**
 * enum peer_kind - kinds of messages between entries
 * @PEER_PING: probe of the receiver
 * @PEER_ACK: answer to a ping, direct or forwarded
 * @PEER_PING_REQ: request to probe another member
 * @PEER_GOSSIP: membership updates alone, such as a join or a leave
 * @PEER_FORWARD: a caller's datagram, forwarded to the owner of its bucket
 * @PEER_CLAIM: request to run non-idempotent requests
 * @PEER_GRANT: answer to a claim
 * @PEER_SETTLE: outcome of claimed requests
 * @PEER_FEED: second copy of an open feed
 * @PEER_FEED_CLOSE: request to drop that copy
 * @PEER_UNPIN: the caller began its transfer again; the state of the old one is
 *	to be dropped
 * @PEER_RECORD: claims of buckets whose pair the receiver joins; @data of the
 *	message lists the buckets whose claims have all been sent
 * @PEER_HANDOVER: answer to PEER_RECORD; @data lists the buckets whose claims
 *	the receiver has not accepted yet
 */
enum peer_kind {
	PEER_PING = 1,
	PEER_ACK,
	PEER_PING_REQ,
	PEER_GOSSIP,
	PEER_FORWARD,
	PEER_CLAIM,
	PEER_GRANT,
	PEER_SETTLE,
	PEER_FEED,
	PEER_FEED_CLOSE,
	PEER_UNPIN,
	PEER_RECORD,
	PEER_HANDOVER,
	PEER_KIND_COUNT
};

/**
 * enum member_state - state of a member as known to an entry
 * @MEMBER_ALIVE: answers probes, or was reported alive by another member
 * @MEMBER_SUSPECT: missed its probes and may still refute the suspicion
 * @MEMBER_LEAVING: announced its leave, or has not joined yet; gets no new
 *	buckets
 * @MEMBER_DEAD: its suspicion timed out
 */
enum member_state { MEMBER_ALIVE, MEMBER_SUSPECT, MEMBER_LEAVING, MEMBER_DEAD };

/**
 * struct gossip - an update on a member
 * @vm: member
 * @incarnation: its incarnation; a higher one overrides a lower one
 * @state: enum member_state
 */
struct gossip {
	uint64_t vm;
	uint64_t incarnation;
	uint8_t state;
};

/**
 * enum claim_state - state of a claimed request
 * @CLAIM_NONE: no claim recorded
 * @CLAIM_OPEN: claimed; may have been sent to the target
 * @CLAIM_DONE: ran and was answered
 * @CLAIM_REFUSED: refused, and known not to have run
 * @CLAIM_UNKNOWN: may have run; the caller got "outcome unknown"
 */
enum claim_state {
	CLAIM_NONE,
	CLAIM_OPEN,
	CLAIM_DONE,
	CLAIM_REFUSED,
	CLAIM_UNKNOWN
};

/**
 * struct claim - claimed request in a claim, a grant, a settlement or a record
 * @request: hash of flow, message ID and token
 * @bucket: bucket of its flow
 * @claimer: VM that may run the request
 * @start_incarnation: incarnation with which the claimer's process started. A
 *	restarted process has lost its state, so claims of the process before it
 *	are not its own
 * @target: target of the request, or ADDR_NONE
 * @state: enum claim_state
 * @granted: in a grant: the claimer may run the request
 * @history_known: in a grant: the granter knows the bucket's complete claim
 *	history: every claim whose request a caller may still retransmit
 * @slot: request slot at the claimer itself; not encoded
 */
struct claim {
	uint64_t request;
	uint32_t bucket;
	uint64_t claimer;
	uint64_t start_incarnation;
	uint64_t target;
	uint8_t state;
	bool granted;
	bool history_known;
	uint32_t slot;
};

/**
 * struct peer_msg - message between entries
 * @kind: enum peer_kind
 * @from: sender
 * @incarnation: sender's incarnation
 * @view: hash of the sender's set of live members
 * @seq: sequence number of the probe
 * @subject: ping request: member to probe; ack: member that was probed; ping
 *	with the sender itself: request for the whole view; gossip with the
 *	sender itself: part of its whole view
 * @hops: times forwarded; a datagram is forwarded at most twice
 * @key: flow that the message concerns
 * @target: target of the flow, or ADDR_NONE
 * @token: caller's token of a feed
 * @token_len: length of @token in bytes
 * @n_gossip: number of updates
 * @gossip: updates on members
 * @n_claims: number of claims
 * @claims: claims
 * @data: a caller's datagram, a feed's opening request, or buckets; not owned
 * @size_bytes: size of @data
 */
struct peer_msg {
	uint8_t kind;
	uint64_t from;
	uint64_t incarnation;
	uint64_t view;
	uint64_t seq;
	uint64_t subject;
	uint8_t hops;
	struct flow_key key;
	uint64_t target;
	uint8_t token[TOKEN_MAX_BYTES];
	uint8_t token_len;
	uint8_t n_gossip;
	struct gossip gossip[GOSSIP_UPDATES_MAX];
	uint8_t n_claims;
	struct claim claims[CLAIMS_MAX];
	const uint8_t *data;
	uint32_t size_bytes;
};

/**
 * struct peer_out - port for messages to other entries
 * @ctx: first argument of @send
 * @send: sends @msg to @vm; its sender and incarnation are set. @msg is valid
 *	only during the call
 */
struct peer_out {
	void *ctx;
	void (*send)(void *ctx, uint64_t vm, struct peer_msg *msg);
};

#endif
