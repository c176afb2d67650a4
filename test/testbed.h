/*
 * A fleet of entries in one process, to provoke failures: fake clock, fake
 * network, fake targets and callers. What callers and targets wrote down is
 * compared at the end. docs/design/proof.md says what it leaves out.
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
 * struct testbed_system - port behind which the entries stand, so that a
 *	baseline can take their place; see entry.h for what each call does
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

/* Datagram between callers, entries and targets. */
enum dgram_kind { DGRAM_REQUEST, DGRAM_ANSWER, DGRAM_EMPTY };

/**
 * struct dgram - datagram of callers and targets
 * @type: enum wire_type
 * @kind: enum dgram_kind
 * @own: 0, or 1 + enum local_answer
 * @token_len: bytes of @token in use
 * @flags: enum message_flags that the adapter would read from it
 * @id: message ID
 * @token: token
 * @op: what callers and targets write down
 * @seq: number of an update, or of a part
 * @timeout_ns: time that the caller still gives it
 * @load: target's report of its load
 */
struct dgram {
	uint8_t type;
	uint8_t kind;
	uint8_t own;
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
	LINK_UP, /* caller to entry */
	LINK_DOWN, /* entry to caller */
	LINK_PEER, /* entry to entry */
	LINK_TARGET, /* entry to target */
	LINK_BACK, /* target to entry */
	LINK_COUNT
};

/**
 * struct link_faults - what a link does to datagrams, in parts of 1000
 * @drop: loses one
 * @dup: delivers one twice
 * @late: delivers one up to 30 ms late, after others
 */
struct link_faults {
	uint16_t drop;
	uint16_t dup;
	uint16_t late;
};

enum target_mode {
	MODE_GOOD,
	MODE_SILENT, /* takes datagrams, answers none */
	MODE_SILENT_FEEDS, /* open feeds are mute, new ones work */
	MODE_SHED, /* refuses all new work */
	MODE_CRAWL /* takes 100 times as long */
};

enum op_class { OP_FEED, OP_GET, OP_POST, OP_UPLOAD, OP_CLASSES };

enum op_result {
	OP_PENDING,
	OP_ANSWERED,
	OP_REFUSED,
	OP_UNKNOWN,
	OP_CUT,
	OP_LOST
};

/**
 * struct op - what callers and targets wrote down of a request or feed
 * @class: enum op_class
 * @result: enum op_result, as the caller saw it
 * @opened: a feed: it was established
 * @broken: an established feed was lost, or still for over 3 s
 * @given_up: it stayed still until its caller opened it anew
 * @crossed: somebody else's answer came in its place
 * @service: service it was meant for
 * @wrong_service: a target of another service ran it
 * @runs: times that targets ran it
 * @target: index of the last that ran it
 * @caller: index of its caller
 */
struct op {
	uint8_t class_;
	uint8_t result;
	bool opened;
	bool broken;
	bool given_up;
	bool crossed;
	uint8_t service;
	bool wrong_service;
	uint32_t runs;
	uint32_t target;
	uint32_t caller;
};

/* Moments at which a test may step in. */
enum testbed_point {
	POINT_SEND, /* caller sends a request for the first time */
	POINT_CLAIM, /* an entry asks another for a claim */
	POINT_RUN, /* target starts to run it */
	POINT_ANSWER, /* entry sends the answer to the caller */
	POINT_OPEN, /* caller sees its feed open */
	POINT_PART /* target took a part */
};

struct testbed;

/**
 * struct testbed_hook - port to which the moments are told
 * @ctx: passed back
 * @at: told of a moment; true loses the datagram that was about to go out
 */
struct testbed_hook {
	void *ctx;
	bool (*at)(void *ctx, struct testbed *f, enum testbed_point point,
		   uint32_t op, uint32_t node);
};

/**
 * struct testbed_plan - what to build
 * @seed: of all randomness
 * @nodes: entries
 * @targets: targets by service
 * @callers: callers by class
 * @target_dedups: targets drop a repeated message ID and settings say so
 * @system: what stands behind the entries' addresses; NULL for the product
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
 * struct testbed_verdict - what was found when all was written down
 * @ops: requests and feeds begun
 * @answered: requests answered, feeds opened
 * @refused: told "not run"
 * @unknown: told "outcome unknown"
 * @lost: no answer at all
 * @cut: began and failed
 * @doubled: not idempotent and run more than once
 * @misrouted: run by a wrong service, or answered with another's answer
 * @false_not_run: told "not run", yet run
 * @broken: established feeds lost or still for over 3 s
 * @stalled: feeds that only their caller's patience ended, or still at the end
 * @late_work: work that a target got over 3 s after it began to drain
 * @up: datagrams from callers
 * @forwards: of these, forwarded to another entry
 * @peer_msgs: messages between entries
 * @peer_bytes: their bytes as coded
 * @work: runs by target
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
	uint32_t late_work;
	uint64_t up;
	uint64_t forwards;
	uint64_t peer_msgs;
	uint64_t peer_bytes;
	uint32_t work[TESTBED_TARGETS_MAX];
};

struct testbed *testbed_new(const struct testbed_plan *plan);
void testbed_free(struct testbed *f);
void testbed_run(struct testbed *f, uint64_t until_ns);
struct testbed_verdict testbed_finish(struct testbed *f);
uint64_t testbed_now(const struct testbed *f);
uint64_t testbed_random(struct testbed *f, uint64_t below);
void testbed_hook(struct testbed *f, struct testbed_hook hook);

/* Faults; entries and targets go by index. */
typedef void testbed_fault(struct testbed *f, uint32_t a, uint32_t b);
void testbed_at(struct testbed *f, uint64_t at_ns, testbed_fault *fault,
		uint32_t a, uint32_t b);
testbed_fault testbed_kill;
testbed_fault testbed_start;
testbed_fault testbed_leave;
testbed_fault testbed_freeze;
testbed_fault testbed_wake;
testbed_fault testbed_cut;
testbed_fault testbed_mend;
testbed_fault testbed_cut_target;
testbed_fault testbed_mend_target;
testbed_fault testbed_cut_platform;
testbed_fault testbed_mend_platform;
testbed_fault testbed_list_lag_ms;
testbed_fault testbed_publish;
testbed_fault testbed_drain;
testbed_fault testbed_target_crash;
testbed_fault testbed_target_start;
testbed_fault testbed_target_mode;
void testbed_link(struct testbed *f, enum testbed_link link,
		  struct link_faults faults);

/* Who holds the flow of a caller, by the ring over the entries alive. */
struct ring_pair testbed_pair(struct testbed *f, uint32_t caller);
uint32_t testbed_node_of(const struct testbed *f, uint64_t vm);
uint32_t testbed_nodes(const struct testbed *f);
uint32_t testbed_caller_first(const struct testbed *f, enum op_class class_);
void testbed_caller_hold(struct testbed *f, uint32_t caller);
uint32_t testbed_caller_go(struct testbed *f, uint32_t caller);
uint32_t testbed_op_next(const struct testbed *f);
const struct op *testbed_op(const struct testbed *f, uint32_t op);

#ifdef __cplusplus
}
#endif

#endif
