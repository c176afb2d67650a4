/* Private state and functions shared by path.c and the files path_*.c. */
#ifndef CB_PATH_IMPL_H
#define CB_PATH_IMPL_H

#include "admission.h"
#include "answer_stats.h"
#include "long_flows.h"
#include "opening_queue.h"
#include "outlier.h"
#include "path.h"
#include "connect_rtt.h"
#include "track_record.h"
#include "window.h"
#include "work.h"

/* Latest refusals that are remembered, to count clients that come again. */
#define PATH_REFUSALS_MAX 256
/* A download counts as ended after this time without an acknowledgement. A
 * packet that is lost is sent again after some 200 ms. */
#define DOWNLOAD_QUIET_NS (500 * NS_PER_MS)
/* Less urgent than any route. */
#define PRIORITY_NONE 256

/**
 * struct refusal - a refused opening
 * @caller_ip: address of the client; 0 for none
 * @vip: VIP that it sent to
 * @refused_ns: when it was refused
 */
struct refusal {
	uint32_t caller_ip;
	uint64_t vip;
	uint64_t refused_ns;
};

/**
 * struct service_admission - admission of openings to one service
 * @rate: rate at which it answers requests of this entry
 * @admitted: rate at which held openings are admitted, while any is held; lower
 *	than @rate when requests on open flows take the slots that get free
 * @limit_per_slot: requests a slot that its targets take, as learned from
 *	rejections; 0 before the first
 * @limit_reduced_ns: when that was last reduced
 * @refusing: openings of routes with a priority of at least @refusing_from are
 *	being refused
 * @refusing_from: valid while @refusing
 * @refusing_since_ns: when refusals last began or ended
 * @reported_refusing: @refusing as last reported
 * @reported_ns: when that was; 0 for never
 */
struct service_admission {
	struct answer_rate rate;
	struct answer_rate admitted;
	float limit_per_slot;
	uint64_t limit_reduced_ns;
	bool refusing;
	uint8_t refusing_from;
	uint64_t refusing_since_ns;
	bool reported_refusing;
	uint64_t reported_ns;
};

/**
 * struct path - state of the decisions on packets
 * @conf: settings
 * @policy: limits and switches; never NULL
 * @directory: targets and routes; not owned
 * @port: calls to the owner
 * @rng: random number generator
 * @flows: flows that sent packets recently
 * @counts: decisions, by reason
 * @latencies: durations, by kind of route
 * @stats: counters of requests by service, kind and event; owned
 * @answers: sizes of answers and times to them; owned
 * @use: observed use of each route; owned
 * @outliers_checked_ns: when targets were last checked for an excess of
 *	failures
 * @feed_load: mean number of requests in progress of an open feed, that is, the
 *	slots it takes
 * @peers: age of the peers' figures
 * @long_rates: long flows that this entry opens, by service
 * @work: time that requests take at their targets, by service
 * @windows: most requests that may be at the targets at once, by service
 * @wait_queue: requests not forwarded yet
 * @openings: openings that wait for a target with room; owned
 * @admissions: admission of openings, by service
 * @refusals: latest refusals, by hash of client and VIP
 * @any_target_loaded: at the last tick, some target had as many requests as
 *	slots
 * @stopping: a planned stop has begun; no request is queued any more
 * @stalled_ns: when this process last ran again after a stall; 0 for never
 * @connect_rtt: recent round trip times of connection attempts
 * @handshake_ns: when a handshake was last completed
 * @open_ns: mean duration of a handshake
 * @answered_probe_ns: start of the latest probe that a target accepted; this
 *	VM's own link worked at that time
 */
struct path {
	struct path_conf conf;
	const struct policy *policy;
	struct directory *directory;
	struct path_port port;
	struct rng rng;
	struct flow_cache *flows;
	uint64_t counts[PATH_REASON_COUNT];
	struct path_latencies latencies[ROUTE_KINDS];
	struct load_stats *stats;
	struct answer_stats *answers;
	struct route_use *use;
	uint64_t outliers_checked_ns;
	float feed_load;
	struct long_flow_peers peers;
	struct long_flow_rate long_rates[DIRECTORY_SERVICES_MAX];
	struct service_work work[DIRECTORY_SERVICES_MAX];
	struct request_window windows[DIRECTORY_SERVICES_MAX];
	struct wait_queue *wait_queue;
	struct opening_queue *openings;
	struct service_admission admissions[DIRECTORY_SERVICES_MAX];
	struct refusal refusals[PATH_REFUSALS_MAX];
	bool any_target_loaded;
	bool stopping;
	uint64_t stalled_ns;
	struct connect_rtt connect_rtt;
	uint64_t handshake_ns;
	uint64_t open_ns;
	uint64_t answered_probe_ns;
};

uint64_t path_handshake_timeout_ns(const struct path *path);
uint32_t path_answer_class(const struct path *path,
			   const struct flow_state *flow);
uint64_t path_answer_timeout_ns(const struct path *path,
				const struct flow_state *flow);

/* path_download.c */
void path_begin_download(struct flow_state *flow, uint32_t size_bytes,
			 uint64_t now_ns);
void path_continue_download(struct flow_state *flow, uint32_t size_bytes,
			    uint64_t now_ns);
void path_end_download(struct path *path, struct flow_state *flow,
		       uint64_t now_ns);
bool path_record_size(struct path *path, struct flow_state *flow,
		      uint32_t size_bytes, uint64_t now_ns);

/* path_wait.c */
bool path_queue_request(struct path *path, struct flow_state *flow,
			const struct packet *packet, uint64_t now_ns);
void path_request_sent(struct path *path, struct flow_state *flow,
		       uint64_t now_ns);
void path_release_queued(struct path *path, uint32_t service, uint64_t now_ns);
void path_record_answer(struct path *path, struct flow_state *flow, bool small,
			uint64_t answered_ns, uint64_t now_ns);
void path_release_all_queued(struct path *path, uint64_t now_ns);
void path_expire_queued(struct path *path, const struct target *target,
			uint64_t now_ns);
bool path_target_loaded(const struct target *target);

/* path.c */
bool path_must_reset_flows(const struct path *path,
			   const struct target *target);
struct health_context path_health_context(struct path *path, uint64_t now_ns);
float path_overdue_weight(const struct flow_state *flow);
void path_record_unanswered(struct path *path, struct flow_state *flow,
			    uint64_t now_ns);
void path_suspect(struct path *path, struct target *target, uint64_t since_ns,
		  uint64_t now_ns);
void path_count_request(struct path *path, const struct flow_state *flow,
			enum load_event event);
bool path_route_is_long(const struct path *path, const struct route *route);
struct target *path_assign_target(struct path *path, const struct flow_key *key,
				  const struct route *route,
				  const struct target *avoid, uint64_t now_ns);
struct target *path_select_target(struct path *path, const struct flow_key *key,
				  const struct route *route, bool of_all,
				  uint64_t now_ns);
void path_record_opening(struct path *path, const struct flow_state *flow,
			 uint64_t now_ns);
void path_set_verdict(struct path *path, struct path_verdict *out,
		      uint8_t action, uint8_t reason,
		      const struct target *target);

/* path_admit.c */
bool path_admit(struct path *path, const struct packet *packet,
		const struct route *route, uint64_t now_ns,
		struct target **target, struct path_verdict *out);
void path_release_openings(struct path *path, uint32_t service,
			   uint64_t now_ns);
void path_forget_opening(struct path *path, const struct flow_key *key);
void path_resume_admission(struct path *path, uint64_t now_ns);
void path_tick_admission(struct path *path, uint64_t now_ns);
void path_record_capacity(struct path *path, const struct target *target,
			  bool rejected, uint64_t now_ns);

#endif
