/*
 * Decides what is done with each packet of an opaque flow: forward it to the
 * target that its cookie names or that is assigned to the new flow, queue it,
 * answer it with a reset, or drop it.
 */
#ifndef CB_PATH_H
#define CB_PATH_H

#include "directory.h"
#include "flow_cache.h"
#include "health.h"
#include "histogram.h"
#include "load_stats.h"
#include "long_flows.h"
#include "policy.h"

/**
 * enum path_action - what to do with a packet
 * @PATH_DROP: drop it; the client retransmits it or gives up
 * @PATH_FORWARD: forward it to the target
 * @PATH_RESET: answer it with a reset, which ends the client's flow
 * @PATH_WAIT: nothing; a copy is queued and forwarded later
 */
enum path_action { PATH_DROP, PATH_FORWARD, PATH_RESET, PATH_WAIT };

/*
 * Reasons of decisions. Each is counted, and logged except for packets of flows
 * that a cookie assigns to a target (pinned).
 */
#define PATH_REASONS(X)   \
	X(placed)         \
	X(placed_copy)    \
	X(placed_again)   \
	X(restarted)      \
	X(waits)          \
	X(waited)         \
	X(held)           \
	X(admitted)       \
	X(held_too_long)  \
	X(overloaded)     \
	X(expired)        \
	X(refused)        \
	X(pinned)         \
	X(no_routes_yet)  \
	X(no_route)       \
	X(route_dropped)  \
	X(no_target)      \
	X(no_cookie)      \
	X(unknown_cookie) \
	X(foreign_cookie) \
	X(target_dead)    \
	X(target_silent)  \
	X(swept)

enum path_reason {
#define X(name) PATH_##name,
	PATH_REASONS(X)
#undef X
		PATH_REASON_COUNT
};

/**
 * struct path_verdict - decision on a packet
 * @action: enum path_action
 * @reason: enum path_reason
 * @kind: kind of the packet's route, enum route_kind; ROUTE_REPORT when it has
 *	no route
 * @target: target to forward to, or that the reason is about; owned by the
 *	directory; NULL when no target is involved
 * @ack: sequence number that a reset has to carry
 */
struct path_verdict {
	uint8_t action;
	uint8_t reason;
	uint8_t kind;
	const struct target *target;
	uint32_t ack;
};

/**
 * struct path_refusals - refusals of openings to a service begin or end
 * @service: number of the service in the directory
 * @refusing: they begin; otherwise they end
 * @held: openings to the service that wait at this entry
 * @answers_per_s: requests of this entry that the service answers a second
 * @work_ns: mean time that its targets need for a request; 0 when unknown
 * @predicted_wait_ns: time until the opening that caused the change would be
 *	admitted
 * @rate_age_ns: age of @answers_per_s
 */
struct path_refusals {
	uint32_t service;
	bool refusing;
	uint32_t held;
	float answers_per_s;
	uint64_t work_ns;
	uint64_t predicted_wait_ns;
	uint64_t rate_age_ns;
};

/**
 * struct path_port - calls that this module makes
 * @ctx: first argument of each call
 * @health: calls of the health checks; the outcome of a probe is returned with
 *	path_probe_ended()
 * @resend: send the flow's kept packet (resend_packet) to its target; @reason
 *	is one of enum path_reason
 * @send_queued: forward a packet from the queue to the flow's target; the
 *	packet is valid only during the call
 * @reset: send a reset of a flow to the client
 * @refusals: refusals of openings to a service begin or end; may be NULL
 * @eject: a target was ejected for its failures and gets no new flows for a
 *	while; @others_failures is the mean number of recently failed requests
 *	at the other targets of its service
 */
struct path_port {
	void *ctx;
	struct health_port health;
	void (*resend)(void *ctx, const struct flow_state *flow,
		       uint8_t reason);
	void (*send_queued)(void *ctx, const struct flow_state *flow,
			    const uint8_t *bytes, uint32_t n_bytes);
	void (*reset)(void *ctx, const struct flow_state *flow);
	void (*refusals)(void *ctx, const struct path_refusals *change);
	void (*eject)(void *ctx, const struct target *target,
		      float others_failures);
};

/**
 * struct path_conf - settings
 * @policy: limits and switches; not owned; NULL for policy_default
 * @zone: hash of the name of this VM's data centre
 * @flows_max: capacity of the flow cache
 * @flow_lifetime_ns: longest time that a flow stays open
 * @start_ns: start of this process; changes of routes before it are unknown
 */
struct path_conf {
	const struct policy *policy;
	uint32_t zone;
	uint32_t flows_max;
	uint64_t flow_lifetime_ns;
	uint64_t start_ns;
};

/**
 * struct path_latencies - durations seen in the clients' packets, for one kind
 *	of route
 * @open_us: from the first SYN of a flow to the client's answer to the target's
 *	SYN
 * @wait_us: from the first packet of a request until it was forwarded; only
 *	requests that were queued here
 * @answer_us: from forwarding a request until the client acknowledged the
 *	answer
 */
struct path_latencies {
	struct histogram open_us;
	struct histogram wait_us;
	struct histogram answer_us;
};

/**
 * struct path_limits - limits on the requests to one service
 * @work_ns: mean time that its targets need for a request, without queueing; 0
 *	when unknown
 * @running: requests of this entry at its targets
 * @window: most requests that this entry may have there; 0 for no limit
 * @refused_percent: percentage of recent requests that targets refused
 */
struct path_limits {
	uint64_t work_ns;
	uint32_t running;
	float window;
	float refused_percent;
};

/**
 * struct path_admission - admission of openings to one service
 * @held: openings that wait at this entry
 * @oldest_ns: age of the oldest of them; 0 when none is held
 * @answers_per_s: requests of this entry that the service answers a second
 * @limit_per_slot: requests a slot that its targets take, as learned from
 *	rejections; 0 before the first
 * @predicted_wait_ns: predicted wait of another opening that is less urgent
 *	than all held ones; 0 when none is held or @answers_per_s is unknown
 * @refusing: openings are being refused
 * @refusing_ns: for how long
 */
struct path_admission {
	uint32_t held;
	uint64_t oldest_ns;
	float answers_per_s;
	float limit_per_slot;
	uint64_t predicted_wait_ns;
	bool refusing;
	uint64_t refusing_ns;
};

struct path;

struct path *path_new(const struct path_conf *conf, struct directory *directory,
		      struct path_port port, struct rng rng);
void path_free(struct path *path);
void path_packet(struct path *path, const struct packet *packet, bool fresh,
		 uint64_t now_ns, struct path_verdict *out);
void path_probe_ended(struct path *path, const struct incarnation *who,
		      enum probe_outcome outcome, uint64_t since_ns,
		      uint64_t now_ns);
uint64_t path_probe_timeout_ns(const struct path *path, uint64_t now_ns);
void path_peer_reported_dead(struct path *path, const struct incarnation *who,
			     uint64_t now_ns);
void path_target_restarted(struct path *path, const struct target *target);
void path_process_stalled(struct path *path, uint64_t now_ns);
void path_stop(struct path *path, uint64_t now_ns);
void path_tick(struct path *path, uint64_t now_ns);
bool path_has_loaded_target(const struct path *path);
bool path_load_control(const struct path *path);
const uint64_t *path_verdict_counts(const struct path *path);
const struct path_latencies *path_latencies(const struct path *path,
					    uint8_t kind);
const struct load_stats *path_load_stats(const struct path *path);
uint32_t path_flow_count(const struct path *path);
uint32_t path_queued_count(const struct path *path);
struct path_limits path_limits(const struct path *path, uint32_t service);
struct path_admission path_admission(const struct path *path, uint32_t service,
				     uint64_t now_ns);
const struct flow_state *path_find_flow(const struct path *path,
					const struct flow_key *key);
void path_set_peers(struct path *path, const struct long_flow_peers *peers);
float path_feed_load(const struct path *path);
float path_flow_load(const struct path *path, const struct route *route);
extern const char *const path_reason_names[PATH_REASON_COUNT];

#endif
