/*
 * The data path's decisions: an event and the time go in, a bounded list of
 * actions comes out. No I/O, clock or allocation a packet; the daemon, the
 * tests and any bench run this same code.
 */
#ifndef CB_ENTRY_H
#define CB_ENTRY_H

#include "balance.h"
#include "member.h"
#include "ring.h"

#define ACTIONS_MAX 512

/**
 * enum message_kind - what a datagram of a request-aware service is
 * @MESSAGE_REQUEST: a request
 * @MESSAGE_ANSWER: an answer, or an update of a feed
 * @MESSAGE_ACK: empty acknowledgement
 * @MESSAGE_RESET: receiver knows nothing of it, or wants no more of it
 * @MESSAGE_PROBE: empty message that asks for a reset as a sign of life
 */
enum message_kind {
	MESSAGE_REQUEST,
	MESSAGE_ANSWER,
	MESSAGE_ACK,
	MESSAGE_RESET,
	MESSAGE_PROBE
};

/**
 * enum message_flags - what else the adapter read from it
 * @MESSAGE_CONFIRM: sender repeats it until it is acknowledged
 * @MESSAGE_PIGGYBACK: an answer that is also the acknowledgement
 * @MESSAGE_IDEMPOTENT: the method may run twice
 * @MESSAGE_FEED_OPEN: opens a feed; on an answer: the feed is open
 * @MESSAGE_FEED_CLOSE: closes a feed
 * @MESSAGE_BLOCK: block of a larger transfer, has to reach the same target
 * @MESSAGE_MORE: not the last block, of a request or of an answer
 * @MESSAGE_BODY: the block is of the request's body, and kept by the target
 * @MESSAGE_FIRST_BLOCK: first of several blocks of a request's body
 * @MESSAGE_SHED: an answer that says: not run, come back later
 * @MESSAGE_FAILED: an answer that says: the target failed
 */
enum message_flags {
	MESSAGE_CONFIRM = 1 << 0,
	MESSAGE_PIGGYBACK = 1 << 1,
	MESSAGE_IDEMPOTENT = 1 << 2,
	MESSAGE_FEED_OPEN = 1 << 3,
	MESSAGE_FEED_CLOSE = 1 << 4,
	MESSAGE_BLOCK = 1 << 5,
	MESSAGE_MORE = 1 << 6,
	MESSAGE_SHED = 1 << 7,
	MESSAGE_FAILED = 1 << 8,
	MESSAGE_BODY = 1 << 9,
	MESSAGE_FIRST_BLOCK = 1 << 10
};

/**
 * struct message - a datagram as the adapter parsed it
 * @kind: enum message_kind
 * @flags: enum message_flags
 * @id: message ID
 * @token_len: bytes of @token in use
 * @token: token
 * @timeout_ns: time the caller still gives it, 0 when not said
 * @load: target's report of its load, valid when @has_load
 * @has_load: see above
 * @data: whole datagram
 * @size_bytes: its size
 */
struct message {
	uint8_t kind;
	uint16_t flags;
	uint16_t id;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
	uint64_t timeout_ns;
	struct load_report load;
	bool has_load;
	const uint8_t *data;
	uint32_t size_bytes;
};

/**
 * enum action_kind - what the adapter is to do
 * @ACT_TO_CALLER: send @data to the caller, with @type, @id and @token put in
 * @ACT_TO_TARGET: send @data to the target, with @type, @id and @token put in
 * @ACT_ANSWER_CALLER: make an answer of our own, see @answer
 * @ACT_SIGNAL_CALLER: send an empty message of @type with @id
 * @ACT_SIGNAL_TARGET: send an empty message of @type with @id
 * @ACT_CANCEL_TARGET: tell the target to stop the request or feed of @token,
 *	which @data asked for
 * @ACT_PEER: send @peer to the entry @vm
 * @ACT_LOG: log @log_text with flow and target
 */
enum action_kind {
	ACT_TO_CALLER,
	ACT_TO_TARGET,
	ACT_ANSWER_CALLER,
	ACT_SIGNAL_CALLER,
	ACT_SIGNAL_TARGET,
	ACT_CANCEL_TARGET,
	ACT_PEER,
	ACT_LOG
};

/* Type of a message on the wire of a request-aware service. */
enum wire_type { WIRE_CONFIRM, WIRE_PLAIN, WIRE_ACK, WIRE_RESET };

/**
 * enum local_answer - answers the balancer itself gives
 * @ANSWER_NOT_RUN: refused, known not to have run; come back later
 * @ANSWER_UNKNOWN: may have run; nobody can tell
 * @ANSWER_FEED_LOST: the feed can't go on, open it again
 */
enum local_answer { ANSWER_NOT_RUN, ANSWER_UNKNOWN, ANSWER_FEED_LOST };

/**
 * struct action - one thing for the adapter to do; pointers are good until
 *	the next call into the entry
 */
struct action {
	uint8_t kind;
	uint8_t type;
	uint8_t answer;
	uint8_t reason;
	uint16_t id;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
	struct flow_key key;
	uint64_t target;
	uint64_t vm;
	uint32_t retry_after_s;
	uint64_t timeout_ns;
	const uint8_t *data;
	uint32_t size_bytes;
	struct peer_msg peer;
	const char *log_text;
};

/**
 * struct actions - what a call wants done, in order
 * @n: how many
 * @a: the actions
 */
struct actions {
	uint32_t n;
	struct action a[ACTIONS_MAX];
};

/**
 * struct entry_conf - settings of the data path's decisions
 * @member: membership
 * @requests_max: requests held at once
 * @feeds_max: feeds held at once, own and second copies
 * @claims_max: records of non-idempotent requests
 * @flows_max: pins that differ from the hash
 * @settle_ns: spacing of changes to one bucket's pair
 * @cover_ns: longest time over which a caller repeats one request
 * @claim_timeout_ns: wait for a grant before asking again
 * @probe_idle_ns: silence of a feed before it is validated again
 * @drain_ns: longest planned stop
 * @peer_bytes_per_s: budget of second copies
 * @n_buckets: buckets of the ring
 * @seed: of the random source; differs by process
 */
struct entry_conf {
	struct member_conf member;
	uint32_t requests_max;
	uint32_t feeds_max;
	uint32_t claims_max;
	uint32_t flows_max;
	uint64_t settle_ns;
	uint64_t cover_ns;
	uint64_t claim_timeout_ns;
	uint64_t probe_idle_ns;
	uint64_t drain_ns;
	uint64_t peer_bytes_per_s;
	uint32_t n_buckets;
	uint64_t seed;
};

/* Counters of an entry; each is named in docs/OPERATIONS.md. */
#define ENTRY_COUNTERS(X)    \
	X(requests)          \
	X(answers)           \
	X(forwards)          \
	X(forward_loops)     \
	X(repeats_absorbed)  \
	X(answers_replayed)  \
	X(refused_not_run)   \
	X(answered_unknown)  \
	X(claims_sent)       \
	X(claims_granted)    \
	X(claims_denied)     \
	X(claims_uncovered)  \
	X(no_majority)       \
	X(late_answers)      \
	X(unknown_answers)   \
	X(retries)           \
	X(cancels)           \
	X(feeds_opened)      \
	X(feeds_closed)      \
	X(feeds_moved)       \
	X(feeds_taken_over)  \
	X(feeds_lost)        \
	X(feeds_revalidated) \
	X(feed_copies_sent)  \
	X(pins_made)         \
	X(flow_table_full)   \
	X(no_service)        \
	X(oversize)          \
	X(stale_dropped)     \
	X(lease_lapses)      \
	X(handed_over)       \
	X(stale_sends_stopped)

struct entry_counters {
#define X(name) uint64_t name;
	ENTRY_COUNTERS(X)
#undef X
};

/**
 * struct entry_explanation - what an entry would decide for a flow, and why
 * @view: membership view number
 * @bucket: bucket of the flow
 * @pair: owner and second
 * @service: its service, or NULL
 * @account: client account of the service
 * @pinned: target the flow is pinned to, or ADDR_NONE
 * @feeds: feeds of the flow held here
 * @feed_target: target of the first of them
 */
struct entry_explanation {
	uint64_t view;
	uint32_t bucket;
	struct ring_pair pair;
	const struct service_conf *service;
	const struct account_conf *account;
	uint64_t pinned;
	uint32_t feeds;
	uint64_t feed_target;
};

/**
 * struct entry_gauges - sizes of what an entry holds now
 * @requests_active: requests not answered yet
 * @feeds_held: feeds served here
 * @handover_due: buckets whose history is still to be handed over
 * @claims: records of non-idempotent requests
 * @pins: flows with a pinned target
 */
struct entry_gauges {
	uint32_t requests_active;
	uint32_t feeds_held;
	uint32_t handover_due;
	uint32_t claims;
	uint32_t pins;
};

/**
 * struct answer_stats - what callers of one class of one client account were
 *	told; repeats of an answer are not counted again
 * @answered: got a target's answer
 * @not_run: refused, known not to have run, by enum refusal
 * @unknown: may have run, by enum refusal; REFUSE_NONE when no refusal led to
 *	it: no answer in time, or no grant
 * @answer_us: from arrival to the target's answer, microseconds
 */
struct answer_stats {
	uint64_t answered;
	uint64_t not_run[REFUSE_COUNT];
	uint64_t unknown[REFUSE_COUNT];
	struct histogram answer_us;
};

struct entry;

struct entry_gauges entry_gauges(const struct entry *e);
struct entry *entry_new(const struct entry_conf *conf, uint64_t now_ns);
void entry_free(struct entry *e);
void entry_config(struct entry *e, const struct config *c, uint64_t now_ns,
		  struct actions *out);
void entry_roster(struct entry *e, const uint64_t *vms, uint32_t n,
		  uint64_t now_ns, struct actions *out);
void entry_caller(struct entry *e, const struct flow_key *key,
		  const struct message *msg, uint64_t now_ns,
		  struct actions *out);
void entry_target(struct entry *e, uint64_t target, const struct message *msg,
		  uint64_t now_ns, struct actions *out);
void entry_peer(struct entry *e, const struct peer_msg *msg,
		const struct message *forwarded, uint64_t now_ns,
		struct actions *out);
void entry_tick(struct entry *e, uint64_t now_ns, struct actions *out);
void entry_leave(struct entry *e, uint64_t now_ns, struct actions *out);
bool entry_has_left(const struct entry *e);
bool entry_ready(const struct entry *e, uint64_t now_ns);
void entry_load_report(struct entry *e, uint64_t target,
		       const struct load_report *report, uint64_t now_ns);
struct entry_explanation entry_explain(const struct entry *e,
				       const struct flow_key *key);
uint32_t entry_members(const struct entry *e, const struct member **out);
const struct balancer *entry_balancer(const struct entry *e);
bool entry_answer_stats_next(const struct entry *e, uint32_t *cursor,
			     const char **account, uint8_t *class,
			     const struct answer_stats **stats);
uint64_t entry_next_ns(const struct entry *e);
const struct entry_counters *entry_counters(const struct entry *e);

#endif
