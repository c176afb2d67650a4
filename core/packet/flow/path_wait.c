/*
 * Queue of requests whose targets have enough requests.
 *
 * For seconds more requests can arrive than the targets serve, when many
 * clients start at once or when a third of the targets is lost. A target serves
 * requests in the order of their arrival, so that in overload each is answered
 * late, and at last after its client has given up. The queue forwards requests
 * first that can still be answered in time, and gives a target no more requests
 * than it can answer in time.
 */
#include "path_impl.h"

#define PERCENT 100

/* Requests of all entries at a target; the share of the peers is as old as
 * their last heartbeats. */
static float requests_at(const struct target *target)
{
	return (float)target->running + target->peers_running;
}

static int64_t time_left_ns(const struct flow_state *flow, uint64_t now_ns)
{
	return (int64_t)(flow->objective_deadline_ns - now_ns);
}

/*
 * Whether the request of @flow may be forwarded now. One request at a time may
 * be, whatever load the peers reported: otherwise an entry that is partitioned
 * from its peers would keep its requests queued until their reports expire.
 * Only the window, which depends on this entry's own observations, can delay
 * that one.
 */
static bool may_forward(const struct path *path, const struct flow_state *flow,
			uint64_t now_ns)
{
	const struct target *target = flow->target;
	struct work_query q = {
		.kind = flow->kind,
		.slots = target->advertised.slots,
		.slowness = path_load_control(path)
				    ? track_record_slowness(target, now_ns)
				    : 1,
		.objective_ns = (int64_t)(flow->objective_deadline_ns -
					  flow->arrived_ns),
		.remaining_ns = time_left_ns(flow, now_ns),
	};

	if (path->stopping || target->stage != TARGET_SERVING ||
	    directory_is_evacuated(path->directory, target))
		return true;
	if (!window_is_open(&path->windows[target->advertised.service],
			    flow_cache_running_count(
				    path->flows, target->advertised.service)))
		return false;
	if (!target->running)
		return true;
	return requests_at(target) <
	       work_request_limit(&path->work[target->advertised.service],
				  path->policy, &q);
}

/**
 * path_queue_request() - queue a request if its target has enough requests
 * @path: state of the decisions on packets
 * @flow: flow whose request has just begun
 * @packet: first packet of the request, copied
 * @now_ns: current time
 *
 * Uploads are never queued: the packets after the first would reach the target
 * before it. Neither are requests without a latency objective.
 *
 * Return: true when queued; false when the caller has to forward the packet,
 * also because the queue is full.
 */
bool path_queue_request(struct path *path, struct flow_state *flow,
			const struct packet *packet, uint64_t now_ns)
{
	if (flow->kind == ROUTE_UPLOAD || !flow->objective_deadline_ns ||
	    may_forward(path, flow, now_ns))
		return false;
	return wait_queue_add(path->wait_queue, flow, packet->bytes,
			      packet->n_bytes);
}

/**
 * path_request_sent() - record that a request is forwarded to its target
 * @path: state of the decisions on packets
 * @flow: flow of the request
 * @now_ns: current time
 */
void path_request_sent(struct path *path, struct flow_state *flow,
		       uint64_t now_ns)
{
	flow->forwarded_ns = now_ns;
	flow->found_free_slot =
		requests_at(flow->target) < flow->target->advertised.slots;
	flow->answer_due_ns = now_ns + path_answer_timeout_ns(path, flow);
	flow_cache_set_running(path->flows, flow, true);
}

/**
 * path_record_answer() - update the work time and the window of a service from
 *	an answer
 * @path: state of the decisions on packets
 * @flow: flow of the answered request, which was running when the answer began
 * @small: the answer is far smaller than the mean
 * @answered_ns: when the answer began
 * @now_ns: current time
 *
 * A small answer that came faster than a request can be served, from a target
 * without a free slot, is a refusal for lack of capacity, and limits the
 * window. A target that fails all requests at once is never loaded, so its
 * answers don't change the window of the service.
 */
void path_record_answer(struct path *path, struct flow_state *flow, bool small,
			uint64_t answered_ns, uint64_t now_ns)
{
	uint32_t service = flow->target->advertised.service;
	uint32_t ended = !flow->running;
	uint32_t running =
		flow_cache_running_count(path->flows, service) + ended;
	struct service_work *w = &path->work[service];
	uint64_t elapsed_ns = answered_ns - flow->forwarded_ns;
	uint64_t min_work_ns = w->by_kind[flow->kind].mean_ns *
			       path->policy->refused_percent / PERCENT;
	bool is_fast = elapsed_ns < min_work_ns + flow->rtt_ns;
	bool is_full = requests_at(flow->target) + (float)ended >=
		       flow->target->advertised.slots;

	path_record_capacity(path, flow->target, small && is_full, now_ns);

	if (small)
		path_count_request(path, flow,
				   is_fast && is_full ? LOAD_rejected
						      : LOAD_failed);
	if (small && is_fast) {
		if (is_full) {
			path->counts[PATH_refused]++;
			window_record_refusal(&path->windows[service],
					      path->policy, running, now_ns);
		}
		return;
	}
	window_record_answer(&path->windows[service], running);
	if (!flow->found_free_slot || !flow->rtt_ns ||
	    elapsed_ns <= flow->rtt_ns)
		return;
	track_record_service_time(flow->target, elapsed_ns - flow->rtt_ns,
				  w->by_kind[flow->kind].mean_ns, now_ns);
	work_record(w, flow->kind, elapsed_ns - flow->rtt_ns);
}

static void forward_queued(struct path *path, struct flow_state *flow,
			   uint64_t now_ns)
{
	uint32_t n_bytes;
	const uint8_t *bytes =
		wait_queue_packet(path->wait_queue, flow, &n_bytes);

	path->counts[PATH_waited]++;
	histogram_add(&path->latencies[flow->kind].wait_us,
		      (now_ns - flow->arrived_ns) / NS_PER_US);
	path->port.send_queued(path->port.ctx, flow, bytes, n_bytes);
	wait_queue_remove(path->wait_queue, flow);
	flow_cache_touch(path->flows, flow, now_ns);
	path_request_sent(path, flow, now_ns);
}

/*
 * Whether the request of @a is forwarded before the one of @b. Requests that
 * can be answered in time come first, since serving others would make these
 * late too; then those of the lower priority number. Of equal ones in time the
 * last to arrive comes first: in overload no order serves all, and in order of
 * arrival each request would be answered close to the end of its latency
 * objective, often just after it. Of equal late ones the first to arrive comes
 * first, since its client gives up first.
 */
static bool is_before(const struct path *path, const struct flow_state *a,
		      const struct flow_state *b, uint64_t now_ns)
{
	const struct service_work *w =
		&path->work[a->target->advertised.service];
	bool a_in_time =
		work_meets_objective(w, a->kind, time_left_ns(a, now_ns));
	bool b_in_time =
		work_meets_objective(w, b->kind, time_left_ns(b, now_ns));

	if (a_in_time != b_in_time)
		return a_in_time;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a_in_time ? a->arrived_ns > b->arrived_ns
			 : a->arrived_ns < b->arrived_ns;
}

/* The request to forward first: the first one queued for @target, if it may be
 * forwarded, or @best, which may be NULL. */
static struct flow_state *next_for_target(const struct path *path,
					  const struct target *target,
					  struct flow_state *best,
					  uint64_t now_ns)
{
	struct flow_state *flow = wait_queue_latest(path->wait_queue, target);
	struct flow_state *first = flow;

	for (; flow; flow = wait_queue_earlier(path->wait_queue, flow))
		if (is_before(path, flow, first, now_ns))
			first = flow;
	if (!first || !may_forward(path, first, now_ns))
		return best;
	return !best || is_before(path, first, best, now_ns) ? first : best;
}

static struct flow_state *next_for_service(const struct path *path,
					   uint32_t service, uint64_t now_ns)
{
	struct target *const *targets = NULL;
	uint32_t n =
		directory_service_targets(path->directory, service, &targets);
	struct flow_state *best = NULL;

	for (uint32_t i = 0; i < n; i++)
		if (targets[i]->queue_head)
			best = next_for_target(path, targets[i], best, now_ns);
	return best;
}

/**
 * path_release_queued() - forward queued requests as far as the load of their
 *	targets allows
 * @path: state of the decisions on packets
 * @service: number of the service in the directory
 * @now_ns: current time
 */
void path_release_queued(struct path *path, uint32_t service, uint64_t now_ns)
{
	struct flow_state *flow;

	while (wait_queue_count(path->wait_queue) &&
	       (flow = next_for_service(path, service, now_ns)))
		forward_queued(path, flow, now_ns);
}

/**
 * path_release_all_queued() - call path_release_queued() for all services
 * @path: state of the decisions on packets
 * @now_ns: current time
 */
void path_release_all_queued(struct path *path, uint64_t now_ns)
{
	for (uint32_t i = 0; i < directory_service_count(path->directory); i++)
		path_release_queued(path, i, now_ns);
}

/**
 * path_expire_queued() - drop queued requests whose clients have given up
 * @path: state of the decisions on packets
 * @target: target whose requests are checked
 * @now_ns: current time
 */
void path_expire_queued(struct path *path, const struct target *target,
			uint64_t now_ns)
{
	struct flow_state *flow = wait_queue_latest(path->wait_queue, target);

	while (flow) {
		struct flow_state *next =
			wait_queue_earlier(path->wait_queue, flow);

		if (flow->expires_ns <= now_ns) {
			path->counts[PATH_expired]++;
			path_count_request(path, flow, LOAD_expired);
			flow_cache_set_busy(path->flows, flow, false);
		}
		flow = next;
	}
}

/**
 * path_target_loaded() - check whether a target has as many requests as slots
 * @target: target
 *
 * Return: true when requests of this entry are queued for @target, or are at it
 * while all its slots are taken; false when it has none of this entry.
 */
bool path_target_loaded(const struct target *target)
{
	return target->queue_head ||
	       (target->running &&
		requests_at(target) >= target->advertised.slots);
}

/**
 * path_limits() - get the limits on the requests to a service
 * @path: state of the decisions on packets
 * @service: number of the service in the directory
 *
 * Return: a copy of the present limits.
 */
struct path_limits path_limits(const struct path *path, uint32_t service)
{
	const struct request_window *w = &path->windows[service];

	return (struct path_limits){
		.work_ns = path->work[service].all.mean_ns,
		.running = flow_cache_running_count(path->flows, service),
		.window = w->size,
		.refused_percent = w->refused_ratio * PERCENT,
	};
}

/**
 * path_stop() - forward all queued requests and queue none from now on, since
 *	this process is about to end
 * @path: state of the decisions on packets
 * @now_ns: current time
 */
void path_stop(struct path *path, uint64_t now_ns)
{
	path->stopping = true;
	path_release_all_queued(path, now_ns);
	path_tick_admission(path, now_ns);
}
