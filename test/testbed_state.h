/* What the parts of the fleet share; private to testbed_*.c. */
#ifndef CB_TESTBED_STATE_H
#define CB_TESTBED_STATE_H

#include "testbed.h"

#include <glib.h>

#define VM_ADDR(i) ADDR(0x0a000101 + (i), 7000)
#define TARGET_ADDR(i) ADDR(0x0a000201 + (i), 5683)
#define CALLER_ADDR(i) ADDR(0x0a000300 + (i), 40000)
#define VIP_ADDR(s) ADDR(0x0a000901 + (s), 5683)
#define VM_INDEX(a) ((uint32_t)(ADDR_IP(a) - 0x0a000101))
#define TARGET_INDEX(a) ((uint32_t)(ADDR_IP(a) - 0x0a000201))
#define CALLER_INDEX(a) ((uint32_t)(ADDR_IP(a) - 0x0a000300))

#define MS(x) ((uint64_t)(x)*NS_PER_MS)
/* Repeats of 3.5 s, held up by an entry frozen for 10 s. */
#define COVER_NS MS(15000)
#define WARM_NS MS(17000) /* entries have their cover, callers begin */
#define BUCKETS 512
#define INBOX_MAX 256
#define JOBS_MAX 64
#define TARGET_FEEDS_MAX 256
#define FEED_GAP_NS MS(3000)
#define UPDATE_NS MS(250)
#define DRAIN_GRACE_NS MS(3000)
#define ACK_IDS 65536
#define CALLER_IDS 32 /* message IDs a caller knows again */

struct event;
typedef void event_fn(struct testbed *f, struct event *ev);

/**
 * struct event - something that happens at a time
 * @at_ns: when
 * @order: breaks ties
 * @run: what happens
 * @fault: a fault of the schedule
 * @node: entry, target or caller it happens to
 * @reliable: a frozen entry gets it in any case, being no datagram
 * @arg: generation of a timer, or a fault's argument
 * @key: flow of a caller's datagram
 * @from: sender's address
 * @d: datagram
 * @peer: message between entries, NULL for none
 */
struct event {
	uint64_t at_ns;
	uint64_t order;
	event_fn *run;
	testbed_fault *fault;
	uint32_t node;
	uint32_t arg;
	bool reliable;
	struct flow_key key;
	uint64_t from;
	struct dgram d;
	struct peer_msg *peer;
};

struct node {
	struct entry *state;
	bool up;
	bool frozen;
	bool leaving;
	bool sprayed; /* the fabric hands it datagrams */
	bool platform_cut;
	uint64_t incarnation;
	uint64_t tick_ns;
	uint32_t published; /* newest configuration it was given */
	GQueue inbox;
};

struct job {
	uint64_t vm;
	struct dgram d;
	bool running;
};

struct target_feed {
	uint64_t vm; /* ADDR_NONE: free */
	uint8_t token[TOKEN_MAX_BYTES];
	uint32_t op;
	uint32_t seq;
	uint16_t last_id;
	uint16_t confirm_id;
	uint64_t unacked_ns; /* when the oldest unacknowledged one went out */
	bool mute;
};

struct fake_target {
	uint8_t service;
	uint8_t mode;
	uint8_t state; /* enum target_state, as published */
	bool up;
	uint64_t drain_ns;
	uint32_t generation; /* of the process */
	uint32_t running;
	uint32_t n_jobs;
	struct job jobs[JOBS_MAX];
	struct target_feed feeds[TARGET_FEEDS_MAX];
	uint16_t next_id;
	uint8_t acked[ACK_IDS / 8];
	GHashTable *parts; /* op to parts taken */
	GHashTable *seen; /* vm and message ID, of a target that dedups */
};

struct fake_caller {
	uint8_t class_;
	uint8_t service;
	bool held;
	bool busy;
	uint32_t op;
	uint16_t next_id;
	uint32_t generation;
	uint64_t token;
	struct dgram sent;
	uint8_t tries;
	bool acked;
	uint16_t seen[CALLER_IDS];
	uint32_t n_seen;
	uint64_t heard_ns;
	uint32_t part;
	uint64_t deadline_ns;
};

/* One configuration as published; entries keep pointers into it. */
struct published {
	struct config config;
	struct account_conf account;
	struct service_conf services[TESTBED_SERVICES];
	struct target_conf targets[TESTBED_SERVICES][TESTBED_TARGETS_MAX];
};

struct testbed {
	struct testbed_plan plan;
	const struct testbed_system *system;
	struct rng rng;
	uint64_t now_ns;
	uint64_t order;
	GPtrArray *heap;
	struct actions *out;
	bool trace;
	bool ending;
	struct testbed_hook hook;
	struct link_faults links[LINK_COUNT];
	bool cut[TESTBED_NODES_MAX][TESTBED_NODES_MAX];
	bool cut_target[TESTBED_NODES_MAX][TESTBED_TARGETS_MAX];
	uint32_t n_nodes;
	struct node nodes[TESTBED_NODES_MAX];
	uint32_t listed; /* bit an entry */
	uint32_t listed_seen;
	uint64_t list_lag_ns;
	GPtrArray *published;
	uint64_t generation;
	uint32_t n_targets;
	struct fake_target targets[TESTBED_TARGETS_MAX];
	uint32_t n_callers;
	struct fake_caller callers[TESTBED_CALLERS_MAX];
	GArray *ops;
	struct testbed_verdict verdict;
};

/* testbed_net.c */
struct event *event_new(event_fn *run, uint32_t node);
void event_at(struct testbed *f, uint64_t at_ns, struct event *ev);
bool event_next(struct testbed *f, uint64_t until_ns);
void event_free(struct event *ev);
void link_send(struct testbed *f, enum testbed_link link, struct event *ev);
void trace_line(struct testbed *f, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void trace_dgram(struct testbed *f, const char *from, uint64_t a,
		 const char *to, uint64_t b, const struct dgram *d);
bool hook_at(struct testbed *f, enum testbed_point point, uint32_t op,
	     uint32_t node);

/* testbed_fault.c */
void nodes_init(struct testbed *f);
void nodes_free(struct testbed *f);

/* testbed_node.c */
void node_gone(struct testbed *f, uint32_t i);
void node_perform(struct testbed *f, uint32_t i);
bool node_takes(struct testbed *f, struct event *ev);
event_fn node_from_caller;
event_fn node_from_target;

/* testbed_target.c */
void targets_init(struct testbed *f);
void targets_free(struct testbed *f);
event_fn target_from_node;

/* testbed_caller.c */
void callers_init(struct testbed *f);
event_fn caller_from_node;
struct op *op_at(struct testbed *f, uint32_t op);

#endif
