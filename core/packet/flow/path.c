#include "path_impl.h"

#include "assign.h"

#include <stdlib.h>
#include <string.h>

/* Each sample has a weight of 1 / divisor in the moving mean. */
#define OPEN_DIVISOR 16

const char *const path_reason_names[PATH_REASON_COUNT] = {
#define X(name) #name,
	PATH_REASONS(X)
#undef X
};

/**
 * path_new() - create the state of the decisions on packets
 * @conf: settings, copied; its policy must outlive the state
 * @directory: directory; not owned, must outlive the state
 * @port: calls to the owner
 * @rng: seeded random number generator, copied
 *
 * Return: state, to be freed with path_free(), or NULL when out of memory.
 */
struct path *path_new(const struct path_conf *conf, struct directory *directory,
		      struct path_port port, struct rng rng)
{
	struct path *path = calloc(1, sizeof(*path));

	if (!path)
		return NULL;
	path->conf = *conf;
	path->policy = conf->policy ? conf->policy : &policy_default;
	path->directory = directory;
	path->port = port;
	path->rng = rng;
	path->feed_load = ROUTE_USE_LOAD_INITIAL;
	path->wait_queue = wait_queue_new(path->policy->waiting_max);
	path->use = route_use_new();
	path->flows =
		flow_cache_new(conf->flows_max, path->wait_queue, path->use);
	path->answers = answer_stats_new(path->policy);
	path->stats = load_stats_new();
	path->openings = opening_queue_new();
	if (path->wait_queue && path->flows && path->stats && path->openings &&
	    path->use && path->answers)
		return path;
	path_free(path);
	return NULL;
}

void path_free(struct path *path)
{
	if (!path)
		return;
	flow_cache_free(path->flows);
	route_use_free(path->use);
	answer_stats_free(path->answers);
	wait_queue_free(path->wait_queue);
	opening_queue_free(path->openings);
	load_stats_free(path->stats);
	free(path);
}

/*
 * Whether @a is a better target than @b to compare an unresponsive target with.
 * Targets of this data centre are better, since others may be partitioned;
 * among equals the one with the latest sign of life.
 */
static bool is_better_witness(const struct path *path, const struct target *a,
			      const struct target *b)
{
	bool a_is_local = a->advertised.zone == path->conf.zone;
	bool b_is_local = b->advertised.zone == path->conf.zone;

	return a_is_local != b_is_local ? a_is_local
					: a->last_alive_ns > b->last_alive_ns;
}

/*
 * Probe another target that is expected to answer. Its answer shows that this
 * VM's own link works. While all other targets are suspected, a fault of the
 * link is more likely than one of all targets; their pending probes then serve
 * the same purpose.
 * Return: whether any other target can answer: one that was probed now, or one
 * that is suspected.
 */
static bool probe_witness(void *ctx, const struct target *about)
{
	struct path *path = ctx;
	struct target *best = NULL;
	struct health_context c;
	bool has_suspected = false;

	for (uint32_t i = 0; i < directory_target_count(path->directory); i++) {
		struct target *target = directory_target_at(path->directory, i);

		if (target == about || target->stage == TARGET_ABSENT ||
		    directory_is_evacuated(path->directory, target))
			continue;
		has_suspected |= target->health == HEALTH_SUSPECTED;
		if (target->health == HEALTH_GOOD &&
		    (!best || is_better_witness(path, target, best)))
			best = target;
	}
	if (!best)
		return has_suspected;
	c = path_health_context(path, about->probe_sent_ns);
	health_send_probe(best, &c);
	return true;
}

struct health_context path_health_context(struct path *path, uint64_t now_ns)
{
	return (struct health_context){ path->policy, &path->port.health,
					now_ns,	      probe_witness,
					path,	      path->answered_probe_ns };
}

static void mark_alive(struct path *path, struct target *target,
		       uint64_t now_ns)
{
	struct health_context c = path_health_context(path, now_ns);

	health_record_answer(target, &c);
}

void path_suspect(struct path *path, struct target *target, uint64_t since_ns,
		  uint64_t now_ns)
{
	struct health_context c = path_health_context(path, now_ns);

	health_suspect(target, &c, since_ns);
}

void path_set_verdict(struct path *path, struct path_verdict *out,
		      uint8_t action, uint8_t reason,
		      const struct target *target)
{
	out->action = action;
	out->reason = reason;
	out->target = target;
	path->counts[reason]++;
}

/* Whether the policy demands a reset of the flows of a target in this state. */
bool path_must_reset_flows(const struct path *path, const struct target *target)
{
	return (target->health == HEALTH_DEAD && path->policy->reset_dead) ||
	       (target->health == HEALTH_SILENT && path->policy->reset_silent);
}

/* Time after which an incomplete handshake is retried at another target. */
uint64_t path_handshake_timeout_ns(const struct path *path)
{
	uint64_t due_ns = path->open_ns * path->policy->opening_due_means;

	return due_ns > path->policy->opening_due_ns
		       ? due_ns
		       : path->policy->opening_due_ns;
}

_Static_assert(ANSWER_CLASSES_MAX >= ROUTE_USE_MAX, "a class for each route");

/*
 * Class under which answers on a flow are counted: its route, since routes of
 * one kind and service may have answers of other sizes. Without load control all
 * routes are counted as one.
 */
uint32_t path_answer_class(const struct path *path,
			   const struct flow_state *flow)
{
	if (!path_load_control(path) || flow->route_slot == ROUTE_USE_NONE)
		return 0;
	return flow->route_slot;
}

uint64_t path_answer_timeout_ns(const struct path *path,
				const struct flow_state *flow)
{
	uint64_t due_ns = answer_stats_time_ns(path->answers,
					       path_answer_class(path, flow),
					       flow->kind) *
			  path->policy->request_due_means;

	if (due_ns < path->policy->request_due_min_ns)
		return path->policy->request_due_min_ns;
	if (due_ns > path->policy->request_due_max_ns)
		return path->policy->request_due_max_ns;
	return due_ns;
}

/* Count an event of the flow's request under the service of its target. */
void path_count_request(struct path *path, const struct flow_state *flow,
			enum load_event event)
{
	load_stats_count(path->stats, flow->target->advertised.service,
			 flow->kind, event);
}

/**
 * path_load_control() - check whether load control is enabled
 * @path: state of the decisions on packets
 *
 * Return: whether the decisions of docs/design/load-parts.md apply.
 */
bool path_load_control(const struct path *path)
{
	const struct route_table *table =
		directory_route_table(path->directory);

	if (path->policy->load_control == LOAD_CONTROL_AUTO)
		return table && table->load_control;
	return path->policy->load_control == LOAD_CONTROL_ON;
}

/* Whether new flows of a route will carry many requests. */
bool path_route_is_long(const struct path *path, const struct route *route)
{
	if (!path_load_control(path))
		return route->kind == ROUTE_FEED;
	return route_use_is_long(path->use, route->vip, route->kind);
}

static struct assign_query make_query(const struct path *path,
				      const struct flow_key *key,
				      const struct route *route,
				      const struct target *avoid,
				      uint64_t now_ns)
{
	struct assign_query q = {
		.policy = path->policy,
		.service = route_select_service(route, flow_hash(key)),
		.zone = path->conf.zone,
		.kind = route->kind,
		.load_control = path_load_control(path),
		.is_long = path_route_is_long(path, route),
		.avoid = avoid,
		.feed_load = path->feed_load,
		.now_ns = now_ns,
	};

	if (!q.load_control)
		return q;
	q.feed_load = path_flow_load(path, route);
	if (q.is_long)
		q.unseen_flows =
			long_flows_unseen(&path->long_rates[q.service],
					  &path->peers, path->policy, now_ns);
	return q;
}

/**
 * path_select_target() - select a target for a flow that may not be opened yet
 * @path: state of the decisions on packets
 * @key: client address and VIP
 * @route: route of the flow
 * @of_all: compare all targets, as in struct assign_query
 * @now_ns: current time
 *
 * Return: target, to be passed to assign_record() when the flow is opened there;
 * NULL when none can take the flow.
 */
struct target *path_select_target(struct path *path, const struct flow_key *key,
				  const struct route *route, bool of_all,
				  uint64_t now_ns)
{
	struct assign_query q = make_query(path, key, route, NULL, now_ns);

	q.of_all = of_all;
	return assign_select(path->directory, &q, &path->rng);
}

struct target *path_assign_target(struct path *path, const struct flow_key *key,
				  const struct route *route,
				  const struct target *avoid, uint64_t now_ns)
{
	struct assign_query q = make_query(path, key, route, avoid, now_ns);

	return assign_target(path->directory, &q, &path->rng);
}

/* Count a flow that this entry opened, for the spreading of long flows. */
void path_record_opening(struct path *path, const struct flow_state *flow,
			 uint64_t now_ns)
{
	uint32_t service = flow->target->advertised.service;

	if (flow->is_long)
		long_flows_record_opening(&path->long_rates[service], now_ns);
}

/* Keep a packet for path_port.resend; only one without data may be resent. */
static void keep_for_resend(struct flow_state *flow,
			    const struct packet *packet)
{
	if (packet->size_bytes || packet->n_bytes > RESEND_MAX_BYTES)
		return;
	flow->resend_bytes = (uint8_t)packet->n_bytes;
	memcpy(flow->resend_packet, packet->bytes, packet->n_bytes);
}

/*
 * Record that the flow's target left its opening unanswered; not while no target
 * answers, since then this VM's own link is the likely cause. Peers learn of it
 * as of a failed request.
 */
void path_record_unanswered(struct path *path, struct flow_state *flow,
			    uint64_t now_ns)
{
	if (!path_load_control(path) ||
	    path->handshake_ns < flow->forwarded_ns ||
	    now_ns < flow->forwarded_ns + path_handshake_timeout_ns(path))
		return;
	track_record_unanswered(flow->target, now_ns);
	outlier_record_failure(flow->target, path->policy, now_ns);
}

/*
 * A retransmitted SYN shows that no answer reached the client. It is assigned
 * to another target, since the first one may be dead or full. If both answer, the
 * client uses one and the other's handshake is never completed.
 */
static void handle_syn(struct path *path, const struct packet *packet,
		       const struct route *route, uint64_t now_ns,
		       struct path_verdict *out)
{
	struct flow_state *flow = flow_cache_find(path->flows, &packet->flow);
	const struct target *avoid = NULL;
	struct target *target;

	if (flow && flow->stage == FLOW_OPEN) {
		path_set_verdict(path, out, PATH_FORWARD, PATH_pinned,
				 flow->target);
		return;
	}
	if (flow &&
	    flow->stage == FLOW_CLOSED) { /* the client reuses its port */
		flow_cache_remove(path->flows, flow);
		flow = NULL;
	}
	if (flow) {
		path_record_unanswered(path, flow, now_ns);
		path_suspect(path, flow->target, flow->opened_ns, now_ns);
		avoid = flow->target;
	}
	if (flow)
		target = path_assign_target(path, &packet->flow, route, avoid,
					    now_ns);
	else if (!path_admit(path, packet, route, now_ns, &target, out))
		return;
	if (!target) {
		path_set_verdict(path, out, PATH_RESET, PATH_no_target, NULL);
		return;
	}
	if (flow) {
		flow_cache_set_target(path->flows, flow, target);
	} else {
		flow = flow_cache_add(path->flows, &packet->flow, target,
				      route->kind,
				      path_route_is_long(path, route),
				      FLOW_OPENING, now_ns);
		path_record_opening(path, flow, now_ns);
	}
	flow_cache_touch(path->flows, flow, now_ns);
	flow->forwarded_ns = now_ns;
	flow->seq = packet->seq;
	keep_for_resend(flow, packet);
	if (path->policy->opening_due_ns)
		flow->answer_due_ns = now_ns + path_handshake_timeout_ns(path);
	path_set_verdict(path, out, PATH_FORWARD,
			 avoid ? PATH_placed_copy : PATH_placed, target);
}

/* Handle an acknowledgement of new bytes from the target. */
static void handle_answer(struct path *path, struct flow_state *flow,
			  uint32_t size_bytes, uint64_t now_ns)
{
	uint64_t elapsed_ns = now_ns - flow->forwarded_ns;
	bool small;

	if (flow->download_ends_ns)
		path_continue_download(flow, size_bytes, now_ns);
	if (!flow->busy)
		return;
	histogram_add(&path->latencies[flow->kind].answer_us,
		      elapsed_ns / NS_PER_US);
	if (flow->objective_deadline_ns < now_ns && flow->objective_deadline_ns)
		path_count_request(path, flow, LOAD_late);
	if (flow->kind == ROUTE_DOWNLOAD) {
		path_begin_download(flow, size_bytes, now_ns);
	} else {
		small = path_record_size(path, flow, size_bytes, now_ns);
		if (flow->running)
			path_record_answer(path, flow, small, now_ns, now_ns);
	}
	answer_stats_record_time(path->answers, path_answer_class(path, flow),
				 flow->kind, elapsed_ns);
	flow_cache_set_busy(path->flows, flow, false);
	path_release_queued(path, flow->target->advertised.service, now_ns);
	path_release_openings(path, flow->target->advertised.service, now_ns);
}

/*
 * Clients retransmit requests that they sent while no entry forwarded them. A
 * retransmission can't be distinguished from a new request. But for some time
 * after the start of this process, nearly all first requests on flows whose
 * handshake it has not seen are retransmissions.
 */
static bool presumed_retransmission(const struct path *path,
				    const struct flow_state *flow,
				    uint64_t now_ns)
{
	bool young = now_ns < path->conf.start_ns + path->policy->young_ns;
	bool first = flow->opened_ns == now_ns;

	return young && first && !flow->rtt_ns;
}

/* Record a request in the use of its route. */
static void record_use(struct path *path, struct flow_state *flow,
		       const struct route *route)
{
	flow->requests++;
	route_use_request(path->use, flow->route_slot, flow->requests);
	if (path_load_control(path) && path_route_is_long(path, route))
		flow_cache_set_long(flow);
}

/*
 * Record the end of a flow in the use of its route. A flow says nothing when
 * the client gave up a request, when the target ends its flows, or when the
 * requests before may have gone through another entry.
 */
static void record_use_end(struct path *path, const struct flow_state *flow)
{
	const struct target *target = flow->target;

	if (flow->stage == FLOW_OPEN && flow->rtt_ns && !flow->busy &&
	    target->stage == TARGET_SERVING && target->health == HEALTH_GOOD &&
	    !directory_is_evacuated(path->directory, target))
		route_use_end(path->use, flow->route_slot, flow->requests);
}

/* Start a request of the client. */
static void begin_request(struct path *path, struct flow_state *flow,
			  const struct route *route, uint64_t now_ns)
{
	path_end_download(path, flow, now_ns);
	record_use(path, flow, route);
	flow->failed_ns = 0;
	if (!flow->awaits_first)
		path_count_request(path, flow, LOAD_offered);
	flow->awaits_first = false;
	flow->priority = route->priority;
	if (!flow->was_held)
		flow->arrived_ns = now_ns;
	flow->was_held = false;
	flow->objective_deadline_ns =
		route->objective_ms
			? flow->arrived_ns + route->objective_ms * NS_PER_MS
			: 0;
	if (flow->objective_deadline_ns &&
	    presumed_retransmission(path, flow, now_ns))
		flow->objective_deadline_ns = now_ns;
	flow->expires_ns = flow->arrived_ns + route->timeout_ms * NS_PER_MS;
	flow_cache_set_busy(path->flows, flow, true);
}

/*
 * Handle a packet with data: the first of a request, another one of the request
 * in progress, or a retransmission.
 * Return: whether the packet was queued, or is a copy of a queued one.
 */
static bool handle_data(struct path *path, struct flow_state *flow,
			const struct packet *packet, const struct route *route,
			uint64_t quiet_ns, uint64_t now_ns)
{
	if ((int32_t)(packet->seq - flow->seq) <= 0) {
		if (flow->waiting)
			return true;
		if (quiet_ns >= path->policy->repeat_quiet_ns)
			path_suspect(path, flow->target, flow->forwarded_ns,
				     now_ns);
		return false;
	}
	flow->seq = packet->seq;
	if (!flow->busy) {
		begin_request(path, flow, route, now_ns);
		if (path_queue_request(path, flow, packet, now_ns))
			return true;
		path_request_sent(path, flow, now_ns);
	} else if (!flow->waiting) {
		flow->answer_due_ns =
			now_ns + path_answer_timeout_ns(path, flow);
	}
	return false;
}

/*
 * Update the flow and its target's health from a packet other than a SYN.
 * Return: whether the packet was queued, or is a copy of a queued one.
 */
static bool track_packet(struct path *path, struct flow_state *flow,
			 const struct packet *packet, const struct route *route,
			 uint64_t now_ns)
{
	bool newer_ack = (int32_t)(packet->ack - flow->ack) > 0;
	uint64_t quiet_ns = now_ns - flow->seen_ns;

	flow_cache_touch(path->flows, flow, now_ns);
	if (flow->stage == FLOW_CLOSED)
		return false;
	if (flow->stage == FLOW_OPENING) {
		uint64_t elapsed_ns = now_ns - flow->opened_ns;

		histogram_add(&path->latencies[flow->kind].open_us,
			      elapsed_ns / NS_PER_US);
		path->open_ns += elapsed_ns / OPEN_DIVISOR -
				 path->open_ns / OPEN_DIVISOR;
		flow->stage = FLOW_OPEN;
		flow->rtt_ns = now_ns - flow->forwarded_ns;
		flow->resend_bytes = 0;
		flow->ack = packet->ack;
		flow->seq = packet->seq - 1;
		flow->answer_due_ns =
			path_load_control(path) && flow->is_opening
				? now_ns + path_handshake_timeout_ns(path)
				: 0;
		path->handshake_ns = now_ns;
		mark_alive(path, flow->target, now_ns);
	} else if (newer_ack) {
		uint32_t size_bytes = packet->ack - flow->ack;

		flow->ack = packet->ack;
		mark_alive(path, flow->target, now_ns);
		handle_answer(path, flow, size_bytes, now_ns);
	}
	if (packet->flags & (PACKET_FIN | PACKET_RST)) {
		path_end_download(path, flow, now_ns);
		record_use_end(path, flow);
		flow_cache_close(path->flows, flow);
		path_release_queued(path, flow->target->advertised.service,
				    now_ns);
		path_release_openings(path, flow->target->advertised.service,
				      now_ns);
		return false;
	}
	keep_for_resend(flow, packet);
	return packet->size_bytes &&
	       handle_data(path, flow, packet, route, quiet_ns, now_ns);
}

static struct flow_state *find_or_add_flow(struct path *path,
					   const struct packet *packet,
					   struct target *target,
					   const struct route *route,
					   uint64_t now_ns)
{
	struct flow_state *flow = flow_cache_find(path->flows, &packet->flow);

	if (!flow) {
		path_forget_opening(path, &packet->flow);
		flow = flow_cache_add(path->flows, &packet->flow, target,
				      route->kind,
				      path_route_is_long(path, route),
				      FLOW_OPEN, now_ns);
		flow->seq = packet->seq - 1;
		flow->ack = packet->ack;
	} else {
		flow_cache_set_target(path->flows, flow, target);
	}
	return flow;
}

/* Decide on a packet other than a SYN, whose target is named by its cookie. */
static void forward_by_cookie(struct path *path, const struct packet *packet,
			      const struct route *route, bool fresh,
			      uint64_t now_ns, struct path_verdict *out)
{
	struct target *target =
		directory_by_cookie(path->directory, packet->cookie);
	bool knows_route_history =
		now_ns > path->conf.start_ns + path->conf.flow_lifetime_ns;

	if (!packet->cookie) {
		path_set_verdict(path, out, PATH_DROP, PATH_no_cookie, NULL);
		return;
	}
	if (!route) {
		path_set_verdict(path, out, fresh ? PATH_RESET : PATH_DROP,
				 PATH_route_dropped, target);
		return;
	}
	if (!target) {
		path_set_verdict(path, out, PATH_DROP, PATH_unknown_cookie,
				 NULL);
		return;
	}
	/*
	 * Clients can forge cookies, so the target must belong to a service of
	 * the route. A process that has run for less than the lifetime of a
	 * flow doesn't know all services that the route had, and skips this
	 * check; the target itself rejects packets of unknown flows.
	 */
	if (knows_route_history &&
	    !route_allows(route, target->advertised.service, now_ns)) {
		path_set_verdict(path, out, PATH_DROP, PATH_foreign_cookie,
				 target);
		return;
	}
	if (path_must_reset_flows(path, target)) {
		struct flow_state *flow =
			flow_cache_find(path->flows, &packet->flow);

		if (flow)
			flow_cache_close(path->flows, flow);
		path_set_verdict(path, out, PATH_RESET,
				 target->health == HEALTH_DEAD
					 ? PATH_target_dead
					 : PATH_target_silent,
				 target);
		return;
	}
	if (track_packet(path,
			 find_or_add_flow(path, packet, target, route, now_ns),
			 packet, route, now_ns))
		path_set_verdict(path, out, PATH_WAIT, PATH_waits, target);
	else
		path_set_verdict(path, out, PATH_FORWARD, PATH_pinned, target);
}

/**
 * path_packet() - decide what is done with a packet of a client
 * @path: state of the decisions on packets
 * @packet: packet; copied if it is kept or queued
 * @fresh: no peer is known to have newer documents; a missing route is then
 *	answered with a reset, otherwise the packet is dropped
 * @now_ns: current time
 * @out: set to the decision
 */
void path_packet(struct path *path, const struct packet *packet, bool fresh,
		 uint64_t now_ns, struct path_verdict *out)
{
	const struct route_table *table =
		directory_route_table(path->directory);
	const struct route *route = route_table_find(table, packet->flow.vip);

	out->ack = packet->ack;
	out->kind = route ? route->kind : ROUTE_REPORT;
	if (!table)
		path_set_verdict(path, out, PATH_DROP, PATH_no_routes_yet,
				 NULL);
	else if (!(packet->flags & PACKET_SYN))
		forward_by_cookie(path, packet, route, fresh, now_ns, out);
	else if (route)
		handle_syn(path, packet, route, now_ns, out);
	else
		path_set_verdict(path, out, fresh ? PATH_RESET : PATH_DROP,
				 PATH_no_route, NULL);
	if (out->action == PATH_RESET && packet->flags & PACKET_RST)
		out->action = PATH_DROP;
}

/**
 * path_verdict_counts() - get the number of decisions for each reason
 * @path: state of the decisions on packets
 *
 * Return: PATH_REASON_COUNT counters, indexed by enum path_reason, owned by
 * @path.
 */
const uint64_t *path_verdict_counts(const struct path *path)
{
	return path->counts;
}

/**
 * path_latencies() - get the durations seen on flows of a kind
 * @path: state of the decisions on packets
 * @kind: enum route_kind
 *
 * Return: histograms, owned by @path.
 */
const struct path_latencies *path_latencies(const struct path *path,
					    uint8_t kind)
{
	return &path->latencies[kind];
}

/**
 * path_load_stats() - get the counters of requests
 * @path: state of the decisions on packets
 *
 * Return: counters, owned by @path.
 */
const struct load_stats *path_load_stats(const struct path *path)
{
	return path->stats;
}

uint32_t path_flow_count(const struct path *path)
{
	return flow_cache_count(path->flows);
}

uint32_t path_queued_count(const struct path *path)
{
	return wait_queue_count(path->wait_queue);
}

/**
 * path_find_flow() - look up a flow in the cache
 * @path: state of the decisions on packets
 * @key: client address and VIP
 *
 * Return: flow, valid until the next call that changes @path, or NULL.
 */
const struct flow_state *path_find_flow(const struct path *path,
					const struct flow_key *key)
{
	return flow_cache_find(path->flows, key);
}

/**
 * path_set_peers() - set what is known of the peers that place flows too
 * @path: state of the decisions on packets
 * @peers: number of the peers and age of their figures
 */
void path_set_peers(struct path *path, const struct long_flow_peers *peers)
{
	path->peers = *peers;
}

/* Mean number of requests in progress of an open feed. */
float path_feed_load(const struct path *path)
{
	return path->feed_load;
}

/**
 * path_flow_load() - get the mean number of requests in progress of an open
 *	long flow of a route
 * @path: state of the decisions on packets
 * @route: the route
 *
 * Return: mean over the flows of the latest seconds; until flows of the route
 * were open, one request a second that takes 50 ms.
 */
float path_flow_load(const struct path *path, const struct route *route)
{
	return route_use_flow_load(path->use, route->vip);
}
