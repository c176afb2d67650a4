/* Shared state of the test bed; private to testbed_*.c. */
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
/* Callers retransmit for 3.5 s; an entry frozen for 10 s delays that. */
#define COVER_NS MS(15000)
#define CALLERS_START_NS \
	MS(17000) /* the entries' cover time is over, callers start */
#define BUCKETS 512
#define INBOX_MAX 256
#define JOBS_MAX 64
#define TARGET_FEEDS_MAX 256
#define FEED_GAP_NS MS(3000)
#define UPDATE_NS MS(250)
#define DRAIN_GRACE_NS MS(3000)
#define ACK_IDS 65536
#define CALLER_IDS 32 /* message IDs that a caller remembers */

struct event;
typedef void event_fn(struct testbed *tb, struct event *ev);

/**
 * struct event - scheduled event; @run frees it or schedules it again
 * @at_ns: time at which it runs
 * @order: sequence number; events of one time run in the order of scheduling
 * @run: handler, which owns the event
 * @fault: fault to run; NULL: the event is no fault
 * @node: index of the entry, target or caller that it is for
 * @reliable: not a datagram: a frozen entry queues it also when its inbox is
 *	full
 * @arg: generation of a timer's owner, second argument of a fault, or other
 *	argument of the handler
 * @key: flow of a datagram from a caller
 * @from: address of the sender
 * @d: datagram
 * @peer: message between entries, with its data behind it, owned by the event;
 *	NULL: none
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
	struct entry *entry;
	bool up;
	bool frozen;
	bool leaving;
	bool is_routed; /* the fabric routes datagrams to it */
	bool platform_disconnected;
	uint64_t incarnation;
	uint64_t tick_ns;
	uint32_t
		published; /* index of its configuration in testbed.published */
	GQueue inbox;
};

/**
 * struct job - request that is queued or running at a target
 * @vm: address of the entry that sent it
 * @d: datagram of the request
 * @running: unused
 */
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
	uint64_t
		unacked_ns; /* send time of the first unacknowledged; 0: none */
	bool mute; /* sends no updates */
};

struct fake_target {
	uint8_t service;
	uint8_t mode;
	uint8_t state; /* enum target_state, as published */
	bool up;
	uint64_t drain_ns;
	uint32_t generation; /* incremented by a crash, outdates timers */
	uint32_t running;
	uint32_t n_jobs;
	struct job jobs[JOBS_MAX];
	struct target_feed feeds[TARGET_FEEDS_MAX];
	uint16_t next_id;
	uint8_t acked[ACK_IDS / 8];
	GHashTable *parts; /* hash of VM and op to number of parts stored */
	GHashTable *seen; /* set of VM and message ID, with target_dedups */
};

struct fake_caller {
	uint8_t class_;
	uint8_t service;
	bool manual; /* a test starts its requests */
	bool busy;
	uint32_t op;
	uint16_t next_id;
	uint32_t generation;
	uint64_t token;
	struct dgram sent;
	uint8_t transmissions;
	bool acked;
	uint16_t seen[CALLER_IDS];
	uint32_t n_seen;
	uint64_t last_update_ns;
	uint32_t part;
	uint64_t deadline_ns;
};

/* A published configuration; entries keep pointers into it until the end. */
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
	uint32_t listed; /* VMs that the platform knows, a bit for each entry */
	uint32_t
		listed_visible; /* as the platform's list shows them, after its lag */
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
void event_at(struct testbed *tb, uint64_t at_ns, struct event *ev);
bool event_next(struct testbed *tb, uint64_t until_ns);
void event_free(struct event *ev);
void link_send(struct testbed *tb, enum testbed_link link, struct event *ev);
void trace_line(struct testbed *tb, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void trace_dgram(struct testbed *tb, const char *from, uint64_t a,
		 const char *to, uint64_t b, const struct dgram *d);
bool hook_at(struct testbed *tb, enum testbed_point point, uint32_t op,
	     uint32_t node);

/* testbed_fault.c */
void nodes_init(struct testbed *tb);
void nodes_free(struct testbed *tb);

/* testbed_node.c */
void node_remove(struct testbed *tb, uint32_t i);
void node_perform_actions(struct testbed *tb, uint32_t i);
bool node_can_handle(struct testbed *tb, struct event *ev);
event_fn node_from_caller;
event_fn node_from_target;

/* testbed_target.c */
void targets_init(struct testbed *tb);
void targets_free(struct testbed *tb);
event_fn target_from_node;

/* testbed_caller.c */
void callers_init(struct testbed *tb);
event_fn caller_from_node;
struct op *op_at(struct testbed *tb, uint32_t op);

#endif
