/*
 * Decisions of the data path. Each call takes an event and the time and fills a
 * bounded list of actions. There is no I/O and no clock here, and no allocation
 * per packet; the daemon, the tests and the benchmarks run the same code.
 */
#ifndef CB_ENTRY_H
#define CB_ENTRY_H

#include "balance.h"
#include "member.h"
#include "ring.h"

#define ACTIONS_MAX 512

/**
 * enum message_kind - kind of a datagram of a request-aware service (CoAP)
 * @MESSAGE_REQUEST: request
 * @MESSAGE_ANSWER: response to a request, or update of a feed
 * @MESSAGE_ACK: empty acknowledgement
 * @MESSAGE_RESET: empty reset: the receiver has no state for the message, or
 *	cancels what it belongs to
 * @MESSAGE_PROBE: empty confirmable message that asks for a reset as a sign of
 *	life
 */
enum message_kind {
	MESSAGE_REQUEST,
	MESSAGE_ANSWER,
	MESSAGE_ACK,
	MESSAGE_RESET,
	MESSAGE_PROBE
};

/**
 * enum message_flags - further properties that the adapter parsed
 * @MESSAGE_CONFIRM: confirmable: the sender retransmits it until acknowledged
 * @MESSAGE_PIGGYBACK: answer that is also the acknowledgement of the request
 * @MESSAGE_IDEMPOTENT: the request's method may be executed twice
 * @MESSAGE_FEED_OPEN: request: opens a feed; answer: the feed is open
 * @MESSAGE_FEED_CLOSE: request that closes a feed
 * @MESSAGE_BLOCK: block of a larger transfer; all its blocks have to reach the
 *	same target
 * @MESSAGE_MORE: more blocks of the request or of the answer follow
 * @MESSAGE_SHED: answer: the target refused the request without executing it;
 *	the caller may retry later
 * @MESSAGE_FAILED: answer: the target failed to serve the request
 * @MESSAGE_BODY: block of a request's body; the target stores it until the last
 *	block arrives
 * @MESSAGE_FIRST_BLOCK: first of several blocks of a request's body
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
 * struct message - datagram as parsed by the adapter
 * @kind: enum message_kind
 * @flags: enum message_flags
 * @id: message ID
 * @token_len: length of @token in bytes
 * @token: token, the first @token_len bytes
 * @timeout_ns: time that the caller will still wait for the answer; 0: not
 *	stated
 * @load: load that the target reports; valid when @has_load
 * @has_load: the datagram carries a load report
 * @data: whole datagram, owned by the adapter
 * @size_bytes: size of @data
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
 * @ACT_TO_CALLER: send @data to the caller with @type, @id and @token replaced
 * @ACT_TO_TARGET: send @data to the target with @type, @id and @token replaced
 * @ACT_ANSWER_CALLER: build a local answer as @answer says and send it to the
 *	caller
 * @ACT_SIGNAL_CALLER: send the caller an empty message of @type with @id
 * @ACT_SIGNAL_TARGET: send the target an empty message of @type with @id
 * @ACT_CANCEL_TARGET: cancel the request or feed of @token at the target; @data
 *	is the request that started it
 * @ACT_PEER: send @peer to the entry @vm
 * @ACT_LOG: log @log_text with the flow and the target
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

/* Message types on the wire of a request-aware service. */
enum wire_type { WIRE_CONFIRM, WIRE_PLAIN, WIRE_ACK, WIRE_RESET };

/**
 * enum local_answer - answers that the balancer itself gives
 * @ANSWER_NOT_RUN: refused, known not to have been executed; the caller may
 *	retry
 * @ANSWER_UNKNOWN: outcome unknown: the request may have been executed
 * @ANSWER_FEED_LOST: the feed has ended; the caller has to open it again
 */
enum local_answer { ANSWER_NOT_RUN, ANSWER_UNKNOWN, ANSWER_FEED_LOST };

/**
 * struct action - one action for the adapter
 * @kind: enum action_kind; says which of the other fields are valid
 * @type: enum wire_type
 * @answer: enum local_answer
 * @reason: enum refusal
 * @id: message ID
 * @token_len: length of @token in bytes
 * @token: token, the first @token_len bytes
 * @key: flow
 * @target: address of the target, ADDR_NONE when there is none
 * @vm: entry that receives @peer
 * @retry_after_s: time after which the caller may retry, put into the answer
 * @timeout_ns: time left until the request's deadline; 0: not stated
 * @data: datagram to send or to derive the message from; not owned
 * @size_bytes: size of @data
 * @peer: message to another entry; its pointers are not owned
 * @log_text: text of the log record
 *
 * Pointers are valid until the next call into the entry.
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
 * struct actions - actions of one call, to be carried out in order
 * @n: number of actions
 * @list: the actions
 */
struct actions {
	uint32_t n;
	struct action list[ACTIONS_MAX];
};

/**
 * struct entry_conf - settings of the data path
 * @member: settings of the membership
 * @requests_max: capacity of the table of requests, ended ones included
 * @feeds_max: capacity of the table of feeds, second copies included
 * @claims_max: capacity of the table of claim records of non-idempotent
 *	requests
 * @flows_max: capacity of the table of flows pinned to a target
 * @settle_ns: minimum time between two changes of a bucket's pair
 * @cover_ns: cover time: longest time over which a caller retransmits a request
 * @claim_timeout_ns: time to wait for a grant before asking again
 * @probe_idle_ns: silence of a feed after which it is revalidated at its target
 * @drain_ns: longest duration of a planned stop
 * @peer_bytes_per_s: budget of bytes for second copies and claim records
 * @n_buckets: number of buckets of the ring
 * @seed: seed of the random numbers; differs between processes
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

/* Counters of an entry; docs/OPERATIONS.md describes each. */
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
 * struct entry_explanation - how an entry would route a flow, and why
 * @view: number of the membership view
 * @bucket: bucket of the flow
 * @pair: owner and second of the bucket
 * @service: service of the flow's VIP, or NULL
 * @account: client account of @service, or NULL
 * @pinned: target that the flow is pinned to, or ADDR_NONE
 * @feeds: number of feeds of the flow in this entry's table, second copies
 *	included
 * @feed_target: target of the first of them; valid when @feeds is not 0
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
 * struct entry_gauges - current sizes of an entry's tables
 * @requests_active: requests that are not answered yet
 * @feeds_held: open feeds that this entry serves
 * @handover_due: buckets whose claim history has yet to be handed over, plus
 *	messages that await an acknowledgement
 * @claims: claim records of non-idempotent requests
 * @pins: flows pinned to a target
 */
struct entry_gauges {
	uint32_t requests_active;
	uint32_t feeds_held;
	uint32_t handover_due;
	uint32_t claims;
	uint32_t pins;
};

/**
 * struct answer_stats - answers to callers of one class of one client account
 * @answered: answers of targets that were relayed
 * @not_run: refusals of requests known not to have been executed, by enum
 *	refusal
 * @unknown: answers "outcome unknown", by enum refusal; REFUSE_NONE when no
 *	refusal led to it, for example no answer or no grant in time
 * @answer_us: time from a request's arrival to the target's answer,
 *	microseconds
 *
 * Answers to retransmissions are not counted again.
 */
struct answer_stats {
	uint64_t answered;
	uint64_t not_run[REFUSE_COUNT];
	uint64_t unknown[REFUSE_COUNT];
	struct histogram answer_us;
};

struct entry;

struct entry_gauges entry_gauges(const struct entry *entry);
struct entry *entry_new(const struct entry_conf *conf, uint64_t now_ns);
void entry_free(struct entry *entry);
void entry_config(struct entry *entry, const struct config *config,
		  uint64_t now_ns, struct actions *out);
void entry_roster(struct entry *entry, const uint64_t *vms, uint32_t n,
		  uint64_t now_ns, struct actions *out);
void entry_caller(struct entry *entry, const struct flow_key *key,
		  const struct message *msg, uint64_t now_ns,
		  struct actions *out);
void entry_target(struct entry *entry, uint64_t target,
		  const struct message *msg, uint64_t now_ns,
		  struct actions *out);
void entry_peer(struct entry *entry, const struct peer_msg *msg,
		const struct message *forwarded, uint64_t now_ns,
		struct actions *out);
void entry_tick(struct entry *entry, uint64_t now_ns, struct actions *out);
void entry_leave(struct entry *entry, uint64_t now_ns, struct actions *out);
bool entry_has_left(const struct entry *entry);
bool entry_ready(const struct entry *entry, uint64_t now_ns);
void entry_load_report(struct entry *entry, uint64_t target,
		       const struct load_report *report, uint64_t now_ns);
struct entry_explanation entry_explain(const struct entry *entry,
				       const struct flow_key *key);
uint32_t entry_members(const struct entry *entry, const struct member **out);
const struct balancer *entry_balancer(const struct entry *entry);
bool entry_answer_stats_next(const struct entry *entry, uint32_t *cursor,
			     const char **account, uint8_t *class,
			     const struct answer_stats **stats);
uint64_t entry_next_ns(const struct entry *entry);
const struct entry_counters *entry_counters(const struct entry *entry);

#endif
