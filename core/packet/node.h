/*
 * An entry for opaque flows without its sockets: it takes what is published,
 * exchanges heartbeats and documents with its peers, decides on packets, and
 * reports when it is ready and when a planned stop is done. The daemon and the
 * emulator run the same code behind struct node_port.
 */
#ifndef CB_NODE_H
#define CB_NODE_H

#include "cold.h"
#include "documents.h"
#include "pacer.h"
#include "path.h"
#include "peer_set.h"
#include "platform_port.h"
#include "source.h"

#define NODE_SEEDS_MAX 3

enum node_log_level { NODE_INFO, NODE_WARNING, NODE_ERROR };

/**
 * struct node_conf - settings of an entry
 * @policy: limits and switches; not owned; NULL for policy_default
 * @self: address and port under which peers reach this entry
 * @data_centre: name of its data centre
 * @boot: number of this process, another one after each start
 * @link_bytes_per_s: rate of the VM's link; 0 when unknown
 * @cold: bound on the new flows at a cold target
 * @flows_max: capacity of the flow cache
 * @flow_lifetime_ns: longest time that a flow stays open
 * @stop_ns: longest time from the start of a planned stop to the end of the
 *	process
 * @n_seeds: number of @seeds
 * @seeds: addresses of peers to contact first
 */
struct node_conf {
	const struct policy *policy;
	uint64_t self;
	char data_centre[NAME_MAX_BYTES];
	uint64_t boot;
	uint64_t link_bytes_per_s;
	struct cold_bound cold;
	uint32_t flows_max;
	uint64_t flow_lifetime_ns;
	uint64_t stop_ns;
	uint32_t n_seeds;
	uint64_t seeds[NODE_SEEDS_MAX];
};

/**
 * struct node_port - calls that an entry makes
 *
 * No call may report its result before it returns: the entry would be entered
 * again in the middle of a decision.
 *
 * @ctx: first argument of each call
 * @list: request a page of the platform's listing, from the first key or from
 *	the one after @after_key. @exact demands the present state; otherwise
 *	the page may be seconds old. node_answer_end() reports the end of the
 *	call.
 * @watch: request the changes after revision @after; the platform answers when
 *	there are any, at the latest after @wait_ns. node_answer_end() reports
 *	the end of the call.
 * @cancel: cancel the pending call to the platform
 * @fetch: request the documents that changed after @after from a peer;
 *	node_fetch_end() reports the end of the call
 * @hello: send a heartbeat to the @n_to peers in @to
 * @probe: connect to a target; node_probe_ended() reports the outcome. Return:
 *	0, or a negative error when no attempt was started and no outcome
 *	follows.
 * @resend: send the flow's kept packet (resend_packet) to its target; @reason
 *	is one of enum path_reason
 * @send_queued: forward a packet from the queue to the flow's target; the
 *	packet is valid only during the call
 * @reset: send a reset of a flow to the client
 * @health: the health of a target changed from @before, enum target_health
 * @decode: decode a document, as read_document of struct packet_platform
 * @log: write a log line; @peer may be NULL, @format is as in printf()
 */
struct node_port {
	void *ctx;
	void (*list)(void *ctx, const char *after_key, bool exact);
	void (*watch)(void *ctx, uint64_t after, uint64_t wait_ns);
	void (*cancel)(void *ctx);
	void (*fetch)(void *ctx, uint64_t peer, struct position after);
	void (*hello)(void *ctx, const uint64_t *to, uint32_t n_to,
		      const struct hello *hello);
	int (*probe)(void *ctx, const struct target *target);
	void (*resend)(void *ctx, const struct flow_state *flow,
		       uint8_t reason);
	void (*send_queued)(void *ctx, const struct flow_state *flow,
			    const uint8_t *bytes, uint32_t n_bytes);
	void (*reset)(void *ctx, const struct flow_state *flow);
	void (*health)(void *ctx, const struct target *target, uint8_t before);
	int (*decode)(const struct document *doc, struct directory *names,
		      struct decoded_document *out, const char **problem);
	void (*log)(void *ctx, enum node_log_level level, const char *step,
		    const char *peer, const char *format, ...)
		__attribute__((format(printf, 5, 6)));
};

/* Counters of an entry; docs/OPERATIONS.md names each. */
#define NODE_COUNTERS(X)         \
	X(platform_calls)        \
	X(platform_calls_failed) \
	X(platform_lists)        \
	X(platform_behind)       \
	X(platform_unreadable)   \
	X(peer_calls)            \
	X(peer_calls_failed)     \
	X(documents_refused)     \
	X(documents_late)        \
	X(ejections)             \
	X(held_up)               \
	X(paused)

struct node_counters {
#define X(name) uint64_t name;
	NODE_COUNTERS(X)
#undef X
};

/**
 * struct relay_head - positions that a peer sends with its documents
 * @through: position up to which the peer has everything
 * @newest: newest position of which the peer has a document
 * @floor: position up to which the peer may lack deletions
 * @is_full_state: the documents are all that the peer has, so that a document
 *	missing among them was deleted; otherwise they are changes
 */
struct relay_head {
	struct position through;
	struct position newest;
	struct position floor;
	bool is_full_state;
};

/**
 * struct node - an entry; members may be read by anyone, and are changed only
 *	by the functions below
 * @conf: settings
 * @policy: limits and switches; never NULL
 * @port: calls to the owner
 * @directory: targets and routes
 * @documents: published documents
 * @path: decisions on packets
 * @pacer: packets that wait for the VM's link
 * @peers: the other entries
 * @source: schedule of the calls to the platform
 * @step: kind of the pending call to the platform
 * @list_first_revision: revision of the first page of the listing in progress;
 *	0 before it came
 * @list_min_revision: lowest revision of the pages so far
 * @list_after_key: last key of the previous page
 * @watched_after: position after which the pending watch asks for changes
 * @answer_epoch: epoch of the last accepted answer of the platform
 * @advertised: newest position that was advertised to the neighbours outside
 *	the regular heartbeats
 * @fetching: a call to a peer is pending
 * @fetch_failures: consecutive calls to peers that failed, or whose documents
 *	were refused; 0 once no peer is ahead
 * @fetch_next_ns: earliest time of the next call to a peer
 * @fetch_after: position up to which everything was known when it began
 * @fetching_other_zone: that peer is in another data centre
 * @fetching_retained: digest of what that peer retains from earlier epochs
 * @retained_fetched: digest of what the peer that answered last retained
 * @lacks_retained_ns: since when a peer is known to retain documents that are
 *	missing here; 0 when none is
 * @now_ns: time of the call in progress
 * @loads_due_ns: when loads may be sent next within the budget of control
 *	traffic
 * @fresh: this entry has a snapshot, and no peer is known to be ahead of it
 * @behind_ns: since when @behind_position is missing here; 0 when no peer is
 *	ahead
 * @behind_position: newest position of the peer that was ahead at @behind_ns
 * @ready: the platform may send packets here
 * @start_ns: start of this process
 * @paused_ns: end of the last pause of at least a second; 0 for none
 * @stop_ns: start of the planned stop; 0 for none
 * @last_client_packet_ns: when the last packet of a client came
 * @services_named: number of named services when the configuration was last
 *	applied
 * @refusals_since_ns: start of the second in which @refusals are counted
 * @refusals: documents refused in that second
 * @counters: counters for the metrics
 */
struct node {
	struct node_conf conf;
	const struct policy *policy;
	struct node_port port;
	struct directory *directory;
	struct documents *documents;
	struct path *path;
	struct pacer *pacer;
	struct peer_set *peers;
	struct source source;
	enum source_step step;
	uint64_t list_first_revision;
	uint64_t list_min_revision;
	char list_after_key[DOCUMENT_KEY_MAX_BYTES + 1];
	struct position watched_after;
	uint64_t answer_epoch;
	struct position advertised;
	bool fetching;
	struct position fetch_after;
	uint32_t fetch_failures;
	uint64_t fetch_next_ns;
	bool fetching_other_zone;
	uint64_t fetching_retained;
	uint64_t retained_fetched;
	uint64_t lacks_retained_ns;
	uint64_t now_ns;
	uint64_t loads_due_ns;
	bool fresh;
	uint64_t behind_ns;
	struct position behind_position;
	bool ready;
	uint64_t start_ns;
	uint64_t paused_ns;
	uint64_t stop_ns;
	uint64_t last_client_packet_ns;
	uint32_t services_named;
	uint64_t refusals_since_ns;
	uint32_t refusals;
	struct node_counters counters;
};

struct node *node_new(const struct node_conf *conf, struct node_port port,
		      uint64_t now_ns);
void node_free(struct node *node);
void node_packet(struct node *node, const struct packet *packet,
		 uint64_t now_ns, struct path_verdict *out);
void node_tick(struct node *node, uint64_t now_ns);
void node_take_listed(void *ctx, const struct document *doc);
void node_take_changed(void *ctx, const struct document *doc);
void node_take_relay_listed(void *ctx, const struct document *doc);
void node_take_relayed(void *ctx, const struct document *doc);
bool node_platform_connected(struct node *node, uint64_t took_ns,
			     uint64_t now_ns);
bool node_answer_begin(struct node *node, uint64_t epoch, uint64_t now_ns);
void node_answer_end(struct node *node, enum source_outcome outcome,
		     const struct answer_head *head, uint64_t now_ns);
bool node_fetch_begin(struct node *node, const struct relay_head *head,
		      uint64_t now_ns);
void node_fetch_end(struct node *node, const struct relay_head *head,
		    uint64_t now_ns);
void node_receive_hello(struct node *node, const struct hello *hello,
			uint64_t now_ns);
void node_probe_ended(struct node *node, const struct incarnation *who,
		      enum probe_outcome outcome, uint64_t since_ns,
		      uint64_t now_ns);
bool node_process_stalled(struct node *node, uint64_t gap_ns, uint64_t now_ns);
void node_stop(struct node *node, uint64_t now_ns);
bool node_may_exit(const struct node *node, uint64_t now_ns);

#endif
