/*
 * What becomes of each packet of an opaque flow: forwarded to the target that
 * its cookie names, or that a new flow is given; reset; dropped.
 */
#ifndef CB_PATH_H
#define CB_PATH_H

#include "directory.h"
#include "flow_cache.h"
#include "health.h"
#include "histogram.h"
#include "policy.h"

/**
 * enum path_action - what to do with a packet
 * @PATH_DROP: nothing; the sender repeats it or gives up
 * @PATH_FORWARD: hand it to the target
 * @PATH_RESET: tell the client that its flow has ended
 * @PATH_WAIT: nothing now; it was kept, and goes to the target later
 */
enum path_action { PATH_DROP, PATH_FORWARD, PATH_RESET, PATH_WAIT };

/* Why; each is counted, and logged but for packets of pinned flows. */
#define PATH_REASONS(X)   \
	X(placed)         \
	X(placed_copy)    \
	X(placed_again)   \
	X(restarted)      \
	X(waits)          \
	X(waited)         \
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
 * struct path_verdict - what to do with a packet, and why
 * @action: enum path_action
 * @reason: enum path_reason
 * @kind: of the packet's route, enum route_kind
 * @target: where to forward, or which target it is about; may be NULL
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
 * struct path_port - what the module needs from outside
 * @ctx: passed back
 * @health: of the targets; the outcome of a probe goes to path_probed()
 * @again: hand the packet that is kept of a flow to its target, for a reason of
 *	enum path_reason
 * @send: hand a packet that has waited to its flow's target
 * @reset: end a flow that no packet asked about
 * @eject: a target gets no new flows for a while, for its failures
 */
struct path_port {
	void *ctx;
	struct health_port health;
	void (*again)(void *ctx, const struct flow_seen *f, uint8_t reason);
	void (*send)(void *ctx, const struct flow_seen *f, const uint8_t *bytes,
		     uint32_t n_bytes);
	void (*reset)(void *ctx, const struct flow_seen *f);
	void (*eject)(void *ctx, const struct target *t, float usual_failures);
};

/**
 * struct path_conf - settings
 * @policy: figures to go by; NULL for policy_default
 * @zone: hash of this VM's data centre's name
 * @flows_max: flows followed at once
 * @flow_lifetime_ns: an open flow lives no longer
 * @start_ns: when this process began to know routes
 */
struct path_conf {
	const struct policy *policy;
	uint32_t zone;
	uint32_t flows_max;
	uint64_t flow_lifetime_ns;
	uint64_t start_ns;
};

/**
 * struct path_times - how long things took, by kind of route
 * @open_us: from a flow's first opening packet to the client's answer to its
 *	target's
 * @wait_us: from a request's first packet until it went to the target, of those
 *	that waited here
 * @answer_us: from then to the client's word that an answer came
 */
struct path_times {
	struct histogram open_us;
	struct histogram wait_us;
	struct histogram answer_us;
};

/**
 * struct path_limits - what limits the requests that go to a service
 * @work_ns: mean time that its targets take, without waiting; 0 for unknown
 * @running: requests of this entry there
 * @window: how many there may be; 0 for no limit
 * @refused_percent: part that was refused of late
 */
struct path_limits {
	uint64_t work_ns;
	uint32_t running;
	float window;
	float refused_percent;
};

struct path;

struct path *path_new(const struct path_conf *conf, struct directory *d,
		      struct path_port port, struct rng rng);
void path_free(struct path *p);
void path_packet(struct path *p, const struct packet *packet, bool fresh,
		 uint64_t now_ns, struct path_verdict *out);
void path_probed(struct path *p, const struct incarnation *who,
		 enum probe_outcome outcome, uint64_t since_ns,
		 uint64_t now_ns);
uint64_t path_probe_wait_ns(const struct path *p, uint64_t now_ns);
void path_told_dead(struct path *p, const struct incarnation *who);
void path_restarted(struct path *p, const struct target *t);
void path_held_up(struct path *p, uint64_t now_ns);
void path_stop(struct path *p, uint64_t now_ns);
void path_tick(struct path *p, uint64_t now_ns);
bool path_any_loaded(const struct path *p);
const uint64_t *path_counts(const struct path *p);
const struct path_times *path_times(const struct path *p, uint8_t kind);
uint32_t path_flows(const struct path *p);
uint32_t path_waiting(const struct path *p);
struct path_limits path_limits(const struct path *p, uint32_t service);
const struct flow_seen *path_flow(const struct path *p,
				  const struct flow_key *key);
float path_feed_load(const struct path *p);
extern const char *const path_reason_names[PATH_REASON_COUNT];

#endif
