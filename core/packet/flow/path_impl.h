/* Insides of the decisions on packets. */
#ifndef CB_PATH_IMPL_H
#define CB_PATH_IMPL_H

#include "outlier.h"
#include "path.h"
#include "connect_rtt.h"
#include "window.h"
#include "work.h"

/**
 * struct path - the decisions' state
 * @conf: settings
 * @policy: figures to go by
 * @directory: targets and routes
 * @port: what is needed from outside
 * @rng: random source
 * @flows: flows seen of late
 * @answer_ns: mean time until an answer, by kind of route
 * @counts: verdicts, by reason
 * @times: how long things took, by kind of route
 * @sizes: how large answers are
 * @judged_ns: when failing targets were looked for last
 * @feed_load: slots that one open feed takes on average
 * @work: what requests take, by service
 * @windows: requests that may be at the targets at a time, by service
 * @waiting: packets that wait for their targets
 * @loaded: some target has as much to do as it has slots
 * @stopping: nothing waits here any more
 * @held_up_ns: when this process last stood still
 * @connect_rtt: times that connection attempts took of late
 * @open_ns: mean time that a handshake takes, as seen here
 * @witnessed_ns: when the latest probe that was answered went out: this VM's own
 *	link carried it
 */
struct path {
	struct path_conf conf;
	const struct policy *policy;
	struct directory *directory;
	struct path_port port;
	struct rng rng;
	struct flow_cache *flows;
	uint64_t answer_ns[ROUTE_KINDS];
	uint64_t counts[PATH_REASON_COUNT];
	struct path_times times[ROUTE_KINDS];
	struct answer_sizes sizes;
	uint64_t judged_ns;
	float feed_load;
	struct service_work work[DIRECTORY_SERVICES_MAX];
	struct request_window windows[DIRECTORY_SERVICES_MAX];
	struct waiting *waiting;
	bool loaded;
	bool stopping;
	uint64_t held_up_ns;
	struct connect_rtt connect_rtt;
	uint64_t open_ns;
	uint64_t witnessed_ns;
};

uint64_t path_opening_due_ns(const struct path *p);
uint64_t path_request_due_ns(const struct path *p, uint8_t kind);

/* path_wait.c */
bool path_hold(struct path *p, struct flow_seen *f, const struct packet *k);
void path_sent(struct path *p, struct flow_seen *f, uint64_t now_ns);
void path_release(struct path *p, uint32_t service, uint64_t now_ns);
void path_worked(struct path *p, struct flow_seen *f, bool small,
		 uint64_t now_ns);
void path_release_all(struct path *p, uint64_t now_ns);
void path_expire(struct path *p, const struct target *t, uint64_t now_ns);
bool path_loaded(const struct target *t);

/* path.c */
bool path_gone(const struct path *p, const struct target *t);
struct health_context path_context(struct path *p, uint64_t now_ns);
void path_doubt(struct path *p, struct target *t, uint64_t since_ns,
		uint64_t now_ns);
struct target *path_place(struct path *p, const struct flow_key *key,
			  const struct route *r, const struct target *avoid,
			  uint64_t now_ns);

#endif
