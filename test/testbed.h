/*
 * Fault injection for a group of entries in one process, with a simulated
 * clock, network, targets and callers. At the end the records of callers and
 * targets are compared. docs/design/proof.md says what it leaves out.
 */
#ifndef CB_TESTBED_H
#define CB_TESTBED_H

#include "entry.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TESTBED_NODES_MAX 24
#define TESTBED_TARGETS_MAX 20
#define TESTBED_SERVICES 2
#define TESTBED_CALLERS_MAX 256
#define TESTBED_PARTS 6
#define TESTBED_NONE UINT32_MAX

/**
 * struct testbed_system - functions of the system under test, which is the
 *	product or a baseline; see entry.h for the contract of each call
 */
struct testbed_system {
	struct entry *(*make)(const struct entry_conf *conf, uint64_t now_ns);
	void (*free)(struct entry *e);
	void (*config)(struct entry *e, const struct config *c, uint64_t now_ns,
		       struct actions *out);
	void (*roster)(struct entry *e, const uint64_t *vms, uint32_t n,
		       uint64_t now_ns, struct actions *out);
	void (*caller)(struct entry *e, const struct flow_key *key,
		       const struct message *msg, uint64_t now_ns,
		       struct actions *out);
	void (*target)(struct entry *e, uint64_t target,
		       const struct message *msg, uint64_t now_ns,
		       struct actions *out);
	void (*peer)(struct entry *e, const struct peer_msg *msg,
		     const struct message *forwarded, uint64_t now_ns,
		     struct actions *out);
	void (*tick)(struct entry *e, uint64_t now_ns, struct actions *out);
	void (*leave)(struct entry *e, uint64_t now_ns, struct actions *out);
	bool (*left)(const struct entry *e);
	uint64_t (*next_ns)(const struct entry *e);
};

extern const struct testbed_system testbed_product;

enum dgram_kind { DGRAM_REQUEST, DGRAM_ANSWER, DGRAM_EMPTY };

/**
 * struct dgram - datagram between callers, entries and targets
 * @type: enum wire_type
 * @kind: enum dgram_kind
 * @local_answer: 0 for an answer of a target; else made by the entry, 1 + enum
 *	local_answer
 * @token_len: bytes of @token in use
 * @flags: enum message_flags that the adapter would read from the datagram
 * @id: CoAP message ID
 * @token: CoAP token
 * @op: index of the request or feed that it belongs to
 * @seq: sequence number of an update of a feed, or index of an upload's part
 * @timeout_ns: time left until the caller's deadline
 * @load: load that the target reports in an answer
 */
struct dgram {
	uint8_t type;
	uint8_t kind;
	uint8_t local_answer;
	uint8_t token_len;
	uint16_t flags;
	uint16_t id;
	uint8_t token[TOKEN_MAX_BYTES];
	uint32_t op;
	uint32_t seq;
	uint64_t timeout_ns;
	struct load_report load;
};

enum testbed_link {
	LINK_FROM_CALLER, /* caller to entry */
	LINK_TO_CALLER, /* entry to caller */
	LINK_PEER, /* entry to entry */
	LINK_TO_TARGET, /* entry to target */
	LINK_FROM_TARGET, /* target to entry */
	LINK_COUNT
};

/**
 * struct link_faults - probabilities of the faults of a link
 * @drop_per_mille: datagrams lost, per mille
 * @dup_per_mille: datagrams delivered twice, per mille
 * @late_per_mille: datagrams delayed by up to 30 ms, which reorders them, per
 *	mille
 */
struct link_faults {
	uint16_t drop_per_mille;
	uint16_t dup_per_mille;
	uint16_t late_per_mille;
};

enum target_mode {
	MODE_NORMAL,
	MODE_SILENT, /* receives datagrams and answers none */
	MODE_SILENT_FEEDS, /* open feeds send no updates, new ones do */
	MODE_SHED, /* refuses all new requests */
	MODE_SLOW /* runs requests 100 times slower */
};

enum op_class { OP_FEED, OP_GET, OP_POST, OP_UPLOAD, OP_CLASSES };

enum op_result {
	OP_PENDING, /* not finished */
	OP_ANSWERED, /* answered; a feed: opened */
	OP_REFUSED, /* answered "not run" */
	OP_UNKNOWN, /* answered "outcome unknown" */
	OP_CUT, /* failed after it had begun */
	OP_LOST /* no answer within the caller's timeout */
};

/**
 * struct op - records of callers and targets about a request or feed
 * @class_: enum op_class
 * @result: enum op_result, as seen by the caller
 * @opened: the feed was established
 * @broken: the established feed ended, or had no update for over 3 s
 * @reopened: the feed had no update until its caller opened a new one
 * @mismatched: the caller received the answer of another request
 * @service: index of the service that the caller addressed
 * @wrong_service: a target of another service ran it
 * @runs: number of times that targets ran it
 * @target: index of the target that ran it last
 * @caller: index of its caller
 */
struct op {
	uint8_t class_;
	uint8_t result;
	bool opened;
	bool broken;
	bool reopened;
	bool mismatched;
	uint8_t service;
	bool wrong_service;
	uint32_t runs;
	uint32_t target;
	uint32_t caller;
};

/* Points at which a test can inject a fault. */
enum testbed_point {
	POINT_SEND, /* caller is about to send a new request */
	POINT_CLAIM, /* an entry asks another for a claim */
	POINT_RUN, /* target starts to run a request */
	POINT_ANSWER, /* entry sends an answer to the caller */
	POINT_OPEN, /* caller receives the first update of a feed */
	POINT_PART /* target has stored a part of an upload */
};

struct testbed;

/**
 * struct testbed_hook - callback at the points of enum testbed_point
 * @ctx: first argument of @at
 * @at: called at a point with the op, TESTBED_NONE at POINT_CLAIM, and
 *	@arg: the entry at POINT_CLAIM and POINT_ANSWER, the part at POINT_PART,
 *	else TESTBED_NONE. Returns true to drop the answer at POINT_ANSWER; the
 *	result is ignored elsewhere. NULL: no callback.
 */
struct testbed_hook {
	void *ctx;
	bool (*at)(void *ctx, struct testbed *tb, enum testbed_point point,
		   uint32_t op, uint32_t arg);
};

/**
 * struct testbed_plan - size and settings of a test bed
 * @seed: seed of all randomness
 * @nodes: number of entries at the start
 * @targets: number of targets of each service
 * @callers: number of callers of each class, by enum op_class
 * @target_dedups: targets drop a repeated message ID, and the services'
 *	settings declare it
 * @system: system under test; NULL: the product
 */
struct testbed_plan {
	uint64_t seed;
	uint32_t nodes;
	uint32_t targets[TESTBED_SERVICES];
	uint32_t callers[OP_CLASSES];
	bool target_dedups;
	const struct testbed_system *system;
};

/**
 * struct testbed_verdict - counts over all requests and feeds of a run
 * @ops: requests and feeds begun
 * @answered: requests answered and feeds opened
 * @refused: answered "not run"
 * @unknown: answered "outcome unknown"
 * @lost: no answer within the caller's timeout, or none until the end
 * @cut: failed after they had begun
 * @doubled: non-idempotent requests that ran more than once
 * @misrouted: run by a target of another service, or answered with the answer
 *	of another request
 * @false_not_run: answered "not run" although a target ran them
 * @broken: established feeds that ended or had no update for over 3 s
 * @stalled: feeds without updates until their caller opened a new one, or
 *	without updates for over 3 s at the end
 * @work_while_draining: new requests and feeds that a target received more
 *	than 3 s after it began to drain
 * @caller_dgrams: datagrams sent by callers
 * @forwards: datagrams that an entry forwarded to another entry
 * @peer_msgs: messages between entries
 * @peer_bytes: encoded size of @peer_msgs
 * @target_runs: requests and feeds run, by index of the target
 */
struct testbed_verdict {
	uint32_t ops;
	uint32_t answered;
	uint32_t refused;
	uint32_t unknown;
	uint32_t lost;
	uint32_t cut;
	uint32_t doubled;
	uint32_t misrouted;
	uint32_t false_not_run;
	uint32_t broken;
	uint32_t stalled;
	uint32_t work_while_draining;
	uint64_t caller_dgrams;
	uint64_t forwards;
	uint64_t peer_msgs;
	uint64_t peer_bytes;
	uint32_t target_runs[TESTBED_TARGETS_MAX];
};

struct testbed *testbed_new(const struct testbed_plan *plan);
void testbed_free(struct testbed *tb);
void testbed_run(struct testbed *tb, uint64_t until_ns);
struct testbed_verdict testbed_finish(struct testbed *tb);
uint64_t testbed_now(const struct testbed *tb);
uint64_t testbed_random(struct testbed *tb, uint64_t below);
void testbed_set_hook(struct testbed *tb, struct testbed_hook hook);

/*
 * Faults; @a is the index of the entry or target where there is one, @b a
 * second index, a time or a mode. testbed_schedule() schedules a fault.
 */
typedef void testbed_fault(struct testbed *tb, uint32_t a, uint32_t b);
void testbed_schedule(struct testbed *tb, uint64_t at_ns, testbed_fault *fault,
		      uint32_t a, uint32_t b);
testbed_fault testbed_kill;
testbed_fault testbed_start;
testbed_fault testbed_leave;
testbed_fault testbed_freeze;
testbed_fault testbed_unfreeze;
testbed_fault testbed_disconnect;
testbed_fault testbed_reconnect;
testbed_fault testbed_disconnect_target;
testbed_fault testbed_reconnect_target;
testbed_fault testbed_disconnect_platform;
testbed_fault testbed_reconnect_platform;
testbed_fault testbed_set_list_lag;
testbed_fault testbed_publish;
testbed_fault testbed_drain_target;
testbed_fault testbed_target_crash;
testbed_fault testbed_target_start;
testbed_fault testbed_set_target_mode;
void testbed_set_link_faults(struct testbed *tb, enum testbed_link link,
			     struct link_faults faults);

/* Owner and second of a caller's flow, by a ring over the running entries. */
struct ring_pair testbed_ring_pair(struct testbed *tb, uint32_t caller);
uint32_t testbed_node_index(const struct testbed *tb, uint64_t vm);
uint32_t testbed_node_count(const struct testbed *tb);
uint32_t testbed_first_caller(const struct testbed *tb, enum op_class class_);
void testbed_caller_set_manual(struct testbed *tb, uint32_t caller);
uint32_t testbed_caller_start_op(struct testbed *tb, uint32_t caller);
uint32_t testbed_op_count(const struct testbed *tb);
const struct op *testbed_op(const struct testbed *tb, uint32_t op);

#ifdef __cplusplus
}
#endif

#endif
