/*
 * One entry for opaque flows, whole, without its sockets: what is published,
 * the peers, the decisions on packets, readiness, the planned stop. The daemon
 * and the emulator run this same code, each behind struct node_port.
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

enum node_log { NODE_INFO, NODE_WARNING, NODE_ERROR };

/**
 * struct node_conf - settings of an entry
 * @policy: figures to go by; NULL for policy_usual
 * @self: its address for peers
 * @data_centre: name of its data centre
 * @boot: number of this process
 * @link_bytes_per_s: what the VM's link carries; 0 for unknown
 * @cold: what a cold target may get in any second
 * @flows_max: flows followed at once
 * @flow_lifetime_ns: an open flow lives no longer
 * @stop_ns: longest time between a planned stop and the end
 * @n_seeds: peers to begin with
 * @seeds: their addresses
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
 * struct node_port - what an entry needs from outside
 * @ctx: passed back
 * @list: ask the platform for a page, of this moment if @exact, otherwise it may
 *	be seconds old; node_answer() ends it
 * @watch: ask the platform for changes, to be answered after @wait_ns without
 *	any; node_answer() ends it
 * @cancel: give up the call to the platform under way
 * @fetch: ask a peer for documents; node_fetched() ends it
 * @hello: send a heartbeat
 * @probe: connect to a target; node_probed() ends it
 * @resend: hand the packet that is kept of a flow to its target; why, of enum
 *	path_reason
 * @send_queued: hand a packet that has waited to its flow's target
 * @reset: end a flow
 * @health: a target's health changed
 * @decode: decode a document, as struct packet_platform does
 * @log: a line of the log, as printf()
 */
struct node_port {
	void *ctx;
	void (*list)(void *ctx, const char *after_key, bool exact);
	void (*watch)(void *ctx, uint64_t after, uint64_t wait_ns);
	void (*cancel)(void *ctx);
	void (*fetch)(void *ctx, uint64_t peer, struct position after);
	void (*hello)(void *ctx, const uint64_t *to, uint32_t n,
		      const struct hello *h);
	void (*probe)(void *ctx, const struct target *t);
	void (*resend)(void *ctx, const struct flow_state *f, uint8_t reason);
	void (*send_queued)(void *ctx, const struct flow_state *f,
			    const uint8_t *bytes, uint32_t n_bytes);
	void (*reset)(void *ctx, const struct flow_state *f);
	void (*health)(void *ctx, const struct target *t, uint8_t before);
	int (*decode)(const struct document *d, struct directory *names,
		      struct document_news *out, const char **problem);
	void (*log)(void *ctx, enum node_log level, const char *step,
		    const char *peer, const char *format, ...)
		__attribute__((format(printf, 5, 6)));
};

/* Counters of an entry; docs/OPERATIONS.md names each. */
#define NODE_COUNTERS(X)         \
	X(platform_calls)        \
	X(platform_calls_failed) \
	X(platform_lists)        \
	X(platform_behind)       \
	X(peer_calls)            \
	X(peer_calls_failed)     \
	X(documents_refused)     \
	X(ejections)             \
	X(held_up)               \
	X(paused)

struct node_counters {
#define X(name) uint64_t name;
	NODE_COUNTERS(X)
#undef X
};

/**
 * struct relay_head - what a peer's documents come with
 * @through: position up to which the peer knows everything
 * @newest: newest position it knows
 * @floor: what was deleted up to there it may not know
 * @whole: everything it knows: what is missing was deleted
 */
struct relay_head {
	struct position through;
	struct position newest;
	struct position floor;
	bool whole;
};

/**
 * struct node - an entry; the parts may be read, changes go through functions
 * @policy: figures to go by
 * @directory: targets and routes
 * @documents: what is published
 * @path: decisions on packets
 * @pacer: what waits for the VM's link
 * @peers: the other entries
 * @source: calls to the platform
 * @step: the call under way
 * @list_first: revision of the listing's first page, 0 before it
 * @list_revision: least revision of its pages
 * @list_after: last key of the page before
 * @asked: position after which the watch under way asks for changes
 * @answer_epoch: epoch of the answer that was taken last
 * @told: newest position that the neighbours were told of at once
 * @fetching: a peer is being asked
 * @fetching_far: and is of another data centre
 * @fetching_carried: what it carries over from earlier epochs
 * @carried_taken: what the peer asked last carried
 * @missing_ns: since when a peer is known to carry what is not known here; 0 for
 *	none
 * @loads_ns: when loads may be told next
 * @fresh: no peer is known to know more
 * @behind_ns: since when @behind is not known here; 0 when no peer knows more
 * @behind: newest position that a peer told then
 * @ready: whether the platform may send packets here
 * @start_ns: when this process began
 * @paused_ns: when it last stood still for long; 0 for never
 * @stop_ns: when a planned stop began, 0 for none
 * @client_ns: last packet of a client
 * @names_taken: services named when the configuration was taken
 * @refusals_ns: when the second began in which @refusals are counted
 * @refusals: entries refused in it
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
	uint64_t list_first;
	uint64_t list_revision;
	char list_after[DOCUMENT_KEY_MAX_BYTES + 1];
	struct position asked;
	uint64_t answer_epoch;
	struct position told;
	bool fetching;
	bool fetching_far;
	uint64_t fetching_carried;
	uint64_t carried_taken;
	uint64_t missing_ns;
	uint64_t now_ns;
	uint64_t loads_ns;
	bool fresh;
	uint64_t behind_ns;
	struct position behind;
	bool ready;
	uint64_t start_ns;
	uint64_t paused_ns;
	uint64_t stop_ns;
	uint64_t client_ns;
	uint32_t names_taken;
	uint64_t refusals_ns;
	uint32_t refusals;
	struct node_counters counters;
};

struct node *node_new(const struct node_conf *conf, struct node_port port,
		      uint64_t now_ns);
void node_free(struct node *n);
void node_packet(struct node *n, const struct packet *k, uint64_t now_ns,
		 struct path_verdict *out);
void node_tick(struct node *n, uint64_t now_ns);
void node_listed(void *ctx, const struct document *d);
void node_changed(void *ctx, const struct document *d);
void node_relay_listed(void *ctx, const struct document *d);
void node_relayed(void *ctx, const struct document *d);
bool node_connected(struct node *n, uint64_t took_ns, uint64_t now_ns);
bool node_answering(struct node *n, uint64_t epoch, uint64_t now_ns);
void node_answer(struct node *n, enum source_outcome outcome,
		 const struct answer_head *head, uint64_t now_ns);
bool node_fetching(struct node *n, const struct relay_head *head,
		   uint64_t now_ns);
void node_fetched(struct node *n, const struct relay_head *head,
		  uint64_t now_ns);
void node_hello(struct node *n, const struct hello *h, uint64_t now_ns);
void node_probed(struct node *n, const struct incarnation *who,
		 enum probe_outcome outcome, uint64_t since_ns,
		 uint64_t now_ns);
bool node_late(struct node *n, uint64_t gap_ns, uint64_t now_ns);
void node_stop(struct node *n, uint64_t now_ns);
bool node_stopped(const struct node *n, uint64_t now_ns);

#endif
