/*
 * Messages between entries, as the decisions see them; adapters/wire.c codes
 * them with msgpack. Every message carries the sender and its incarnation.
 */
#ifndef CB_PEER_H
#define CB_PEER_H

#include "types.h"

#define GOSSIP_MAX 8
#define CLAIMS_MAX 32

/**
 * enum peer_kind - what a message between entries says
 * @PEER_PING: are you there
 * @PEER_ACK: answer to a ping, direct or relayed
 * @PEER_PING_REQ: probe somebody for me
 * @PEER_GOSSIP: membership news alone (a leave, a join)
 * @PEER_FORWARD: a caller's datagram on its way to the owner
 * @PEER_CLAIM: may I run this non-idempotent request
 * @PEER_GRANT: answer to a claim
 * @PEER_SETTLE: how a claimed request ended
 * @PEER_FEED: second copy of an open feed
 * @PEER_FEED_CLOSE: drop that copy
 * @PEER_UNPIN: the caller began its transfer anew: forget the old one
 * @PEER_RECORD: history of buckets for an entry that joins their pairs: claims,
 *	and as data the buckets whose history is whole now
 * @PEER_HANDOVER: answer to it; as data the buckets not taken yet
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
 * enum member_state - what an entry believes of another
 * @MEMBER_ALIVE: answers, or is vouched for
 * @MEMBER_SUSPECT: missed its probes, may still refute
 * @MEMBER_LEAVING: said it goes, or just came; owns nothing new
 * @MEMBER_DEAD: suspicion ran out
 */
enum member_state { MEMBER_ALIVE, MEMBER_SUSPECT, MEMBER_LEAVING, MEMBER_DEAD };

/**
 * struct gossip - one piece of membership news
 * @vm: whom it is about
 * @incarnation: its incarnation; higher goes before lower
 * @state: enum member_state
 */
struct gossip {
	uint64_t vm;
	uint64_t incarnation;
	uint8_t state;
};

/**
 * enum claim_state - what a record says of a claimed request
 * @CLAIM_NONE: no record
 * @CLAIM_OPEN: claimed, may have been sent
 * @CLAIM_DONE: ran, answered
 * @CLAIM_REFUSED: refused, known not to have run
 * @CLAIM_UNKNOWN: may have run, caller was told so
 */
enum claim_state {
	CLAIM_NONE,
	CLAIM_OPEN,
	CLAIM_DONE,
	CLAIM_REFUSED,
	CLAIM_UNKNOWN
};

/**
 * struct claim - one line of a claim, a grant, a settlement or a record
 * @request: hash of caller, VIP and message ID
 * @bucket: bucket of its flow
 * @claimer: VM that may run it
 * @boot: number of the claimer's process; a restarted one remembers nothing,
 *	so a claim of its predecessor is not its own
 * @target: target it is meant for, or ADDR_NONE
 * @state: enum claim_state
 * @granted: in a grant: the claimer may go on
 * @covered: in a grant: the granter knows every claim of the bucket that a
 *	caller could still repeat
 * @slot: request slot at the claimer itself; not coded
 */
struct claim {
	uint64_t request;
	uint32_t bucket;
	uint64_t claimer;
	uint64_t boot;
	uint64_t target;
	uint8_t state;
	bool granted;
	bool covered;
	uint32_t slot;
};

/**
 * struct peer_msg - one message between entries
 * @kind: enum peer_kind
 * @from: sender
 * @incarnation: sender's incarnation
 * @view: sender's view number, for tracing disagreement
 * @seq: probe number
 * @about: VM probed on another's behalf, or a relayed ack's subject
 * @hops: forwards so far; a datagram is forwarded at most twice
 * @key: flow the message is about
 * @target: its target, or ADDR_NONE
 * @token: caller's token of a feed
 * @token_len: its length in bytes
 * @n_gossip: news carried along
 * @gossip: the news
 * @n_claims: claims carried
 * @claims: the claims
 * @data: a caller's datagram, or a feed's opening request
 * @size_bytes: its size
 */
struct peer_msg {
	uint8_t kind;
	uint64_t from;
	uint64_t incarnation;
	uint64_t view;
	uint64_t seq;
	uint64_t about;
	uint8_t hops;
	struct flow_key key;
	uint64_t target;
	uint8_t token[TOKEN_MAX_BYTES];
	uint8_t token_len;
	uint8_t n_gossip;
	struct gossip gossip[GOSSIP_MAX];
	uint8_t n_claims;
	struct claim claims[CLAIMS_MAX];
	const uint8_t *data;
	uint32_t size_bytes;
};

/**
 * struct peer_out - port on which a module sends to other entries
 * @ctx: passed back
 * @send: send @msg to @vm; the core fills from and incarnation
 */
struct peer_out {
	void *ctx;
	void (*send)(void *ctx, uint64_t vm, struct peer_msg *msg);
};

#endif
