/*
 * A fleet of entries in one process, to provoke failures: fake clock, fake
 * network, fake targets and callers. What callers and targets wrote down is
 * compared at the end. docs/design/proof.md says what it leaves out.
 */
#ifndef CB_FLEET_H
#define CB_FLEET_H

#include "entry.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FLEET_NODES_MAX 24
#define FLEET_TARGETS_MAX 20
#define FLEET_SERVICES 2
#define FLEET_CALLERS_MAX 256
#define FLEET_PARTS 6
#define FLEET_NONE UINT32_MAX

/**
 * struct fleet_system - port behind which the entries stand, so that a
 *	baseline can take their place; see entry.h for what each call does
 */
struct fleet_system {
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

extern const struct fleet_system fleet_product;

/* Datagram between callers, entries and targets. */
enum dgram_kind { DGRAM_REQUEST, DGRAM_ANSWER, DGRAM_EMPTY };

/**
 * struct dgram - datagram of callers and targets
 * @type: enum wire_type
 * @kind: enum dgram_kind
 * @own: 0, or 1 + enum own_answer
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

enum fleet_link {
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
	bool crossed;
	uint8_t service;
	bool wrong_service;
	uint32_t runs;
	uint32_t target;
	uint32_t caller;
};

/* Moments at which a test may step in. */
enum fleet_point {
	POINT_SEND, /* caller sends a request for the first time */
	POINT_CLAIM, /* an entry asks another for a claim */
	POINT_RUN, /* target starts to run it */
	POINT_ANSWER, /* entry sends the answer to the caller */
	POINT_OPEN, /* caller sees its feed open */
	POINT_PART /* target took a part */
};

struct fleet;

/**
 * struct fleet_hook - port to which the moments are told
 * @ctx: passed back
 * @at: told of a moment; true loses the datagram that was about to go out
 */
struct fleet_hook {
	void *ctx;
	bool (*at)(void *ctx, struct fleet *f, enum fleet_point point,
		   uint32_t op, uint32_t node);
};

/**
 * struct fleet_plan - what to build
 * @seed: of all randomness
 * @nodes: entries
 * @targets: targets by service
 * @callers: callers by class
 * @target_dedups: targets drop a repeated message ID and settings say so
 * @system: what stands behind the entries' addresses; NULL for the product
 */
struct fleet_plan {
	uint64_t seed;
	uint32_t nodes;
	uint32_t targets[FLEET_SERVICES];
	uint32_t callers[OP_CLASSES];
	bool target_dedups;
	const struct fleet_system *system;
};

/**
 * struct fleet_verdict - what was found when all was written down
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
 * @stalled: feeds still at the end
 * @late_work: work that a target got over 3 s after it began to drain
 * @up: datagrams from callers
 * @forwards: of these, forwarded to another entry
 * @peer_msgs: messages between entries
 * @peer_bytes: their bytes as coded
 * @work: runs by target
 */
struct fleet_verdict {
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
	uint32_t work[FLEET_TARGETS_MAX];
};

struct fleet *fleet_new(const struct fleet_plan *plan);
void fleet_free(struct fleet *f);
void fleet_run(struct fleet *f, uint64_t until_ns);
struct fleet_verdict fleet_finish(struct fleet *f);
uint64_t fleet_now(const struct fleet *f);
uint64_t fleet_random(struct fleet *f, uint64_t below);
void fleet_hook(struct fleet *f, struct fleet_hook hook);

/* Faults; entries and targets go by index. */
typedef void fleet_fault(struct fleet *f, uint32_t a, uint32_t b);
void fleet_at(struct fleet *f, uint64_t at_ns, fleet_fault *fault, uint32_t a,
	      uint32_t b);
fleet_fault fleet_kill;
fleet_fault fleet_start;
fleet_fault fleet_leave;
fleet_fault fleet_freeze;
fleet_fault fleet_wake;
fleet_fault fleet_cut;
fleet_fault fleet_mend;
fleet_fault fleet_cut_target;
fleet_fault fleet_mend_target;
fleet_fault fleet_cut_platform;
fleet_fault fleet_mend_platform;
fleet_fault fleet_list_lag_ms;
fleet_fault fleet_publish;
fleet_fault fleet_drain;
fleet_fault fleet_target_crash;
fleet_fault fleet_target_start;
fleet_fault fleet_target_mode;
void fleet_link(struct fleet *f, enum fleet_link link,
		struct link_faults faults);

/* Who holds the flow of a caller, by the ring over the entries alive. */
struct ring_pair fleet_pair(struct fleet *f, uint32_t caller);
uint32_t fleet_node_of(const struct fleet *f, uint64_t vm);
uint32_t fleet_node_next(const struct fleet *f);
bool fleet_node_up(const struct fleet *f, uint32_t node);
uint32_t fleet_caller_first(const struct fleet *f, enum op_class class_);
void fleet_caller_hold(struct fleet *f, uint32_t caller);
uint32_t fleet_caller_go(struct fleet *f, uint32_t caller);
const struct op *fleet_op(const struct fleet *f, uint32_t op);
const struct entry_counters *fleet_counters(const struct fleet *f,
					    uint32_t node);

#ifdef __cplusplus
}
#endif

#endif
