/*
 * Queue of requests whose targets have enough requests.
 *
 * For seconds more requests can arrive than the targets serve, when many clients
 * start at once or when a third of the targets is lost. A target serves requests
 * in the order of their arrival, so that in overload each is answered late, and
 * at last after its client has given up. The queue forwards requests first that
 * can still be answered in time, and gives a target no more requests than it can
 * answer in time.
 */
#include "path_impl.h"

#define PERCENT 100

/* Requests of all entries at a target; the share of the peers is as old as their
 * last heartbeats. */
static float requests_at(const struct target *t)
{
	return (float)t->running + t->peers_running;
}

static int64_t time_left_ns(const struct flow_state *f, uint64_t now_ns)
{
	return (int64_t)(f->objective_deadline_ns - now_ns);
}

/*
 * Whether the request of @f may be forwarded now. One request at a time may be,
 * whatever load the peers reported: otherwise an entry that is cut off from its
 * peers would keep its requests queued until their reports expire. Only the
 * window, which depends on this entry's own observations, can delay that one.
 */
static bool may_forward(const struct path *p, const struct flow_state *f,
			uint64_t now_ns)
{
	const struct target *t = f->target;
	struct work_query q = {
		.kind = f->kind,
		.slots = t->news.slots,
		.aim_ns = (int64_t)(f->objective_deadline_ns - f->arrived_ns),
		.left_ns = time_left_ns(f, now_ns),
	};

	if (p->stopping || t->stage != TARGET_SERVING ||
	    directory_evacuated(p->directory, t))
		return true;
	if (!window_open(&p->windows[t->news.service],
			 flow_cache_running_count(p->flows, t->news.service)))
		return false;
	if (!t->running)
		return true;
	return requests_at(t) <
	       work_limit(&p->work[t->news.service], p->policy, &q);
}

/**
 * path_queue_request() - queue a request if its target has enough requests
 * @p: state
 * @f: flow whose request has just begun
 * @k: first packet of the request, copied
 *
 * Uploads are never queued: the packets after the first would reach the target
 * before it. Neither are requests without a latency objective.
 *
 * Return: true when queued; false when the caller has to forward the packet, also
 * because the queue is full.
 */
bool path_queue_request(struct path *p, struct flow_state *f,
			const struct packet *k)
{
	if (f->kind == ROUTE_UPLOAD || !f->objective_deadline_ns ||
	    may_forward(p, f, f->arrived_ns))
		return false;
	return wait_queue_add(p->wait_queue, f, k->bytes, k->n_bytes);
}

/**
 * path_request_sent() - record that a request is forwarded to its target
 * @p: state
 * @f: flow of the request
 * @now_ns: current time
 */
void path_request_sent(struct path *p, struct flow_state *f, uint64_t now_ns)
{
	f->forwarded_ns = now_ns;
	f->found_free_slot = requests_at(f->target) < f->target->news.slots;
	f->answer_due_ns = now_ns + path_answer_timeout_ns(p, f->kind);
	flow_cache_set_running(p->flows, f, true);
}

/**
 * path_record_answer() - update the work time and the window of a service from an
 *	answer
 * @p: state
 * @f: flow of the answered request, which was running
 * @small: the answer is far smaller than the mean
 * @now_ns: current time
 *
 * A small answer that came faster than a request can be served, from a target
 * without a free slot, is a refusal for lack of capacity, and limits the window.
 * A target that fails all requests at once is never loaded, so its answers don't
 * change the window of the service.
 */
void path_record_answer(struct path *p, struct flow_state *f, bool small,
			uint64_t now_ns)
{
	uint32_t service = f->target->news.service;
	uint32_t running = flow_cache_running_count(p->flows, service);
	struct service_work *w = &p->work[service];
	uint64_t elapsed_ns = now_ns - f->forwarded_ns;
	uint64_t min_work_ns = w->kinds[f->kind].mean_ns *
			       p->policy->refused_percent / PERCENT;

	if (small && elapsed_ns < min_work_ns + f->rtt_ns) {
		if (requests_at(f->target) >= f->target->news.slots) {
			p->counts[PATH_refused]++;
			window_refused(&p->windows[service], p->policy, running,
				       now_ns);
		}
		return;
	}
	window_answered(&p->windows[service], running);
	if (f->found_free_slot && f->rtt_ns && elapsed_ns > f->rtt_ns)
		work_measured(w, f->kind, elapsed_ns - f->rtt_ns);
}

static void forward_queued(struct path *p, struct flow_state *f,
			   uint64_t now_ns)
{
	uint32_t n_bytes;
	const uint8_t *bytes = wait_queue_packet(p->wait_queue, f, &n_bytes);

	p->counts[PATH_waited]++;
	histogram_add(&p->latencies[f->kind].wait_us,
		      (now_ns - f->arrived_ns) / NS_PER_US);
	p->port.send_queued(p->port.ctx, f, bytes, n_bytes);
	wait_queue_remove(p->wait_queue, f);
	flow_cache_touch(p->flows, f, now_ns);
	path_request_sent(p, f, now_ns);
}

/*
 * Whether the request of @a is forwarded before the one of @b. Requests that can
 * be answered in time come first, since serving others would make these late too;
 * then those of the lower priority number. Of equal ones in time the last to
 * arrive comes first: in overload no order serves all, and in order of arrival
 * each request would be answered close to the end of its latency objective, often
 * just after it. Of equal late ones the first to arrive comes first, since its
 * client gives up first.
 */
static bool is_before(const struct path *p, const struct flow_state *a,
		      const struct flow_state *b, uint64_t now_ns)
{
	const struct service_work *w = &p->work[a->target->news.service];
	bool a_in_time = work_in_time(w, a->kind, time_left_ns(a, now_ns));
	bool b_in_time = work_in_time(w, b->kind, time_left_ns(b, now_ns));

	if (a_in_time != b_in_time)
		return a_in_time;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a_in_time ? a->arrived_ns > b->arrived_ns
			 : a->arrived_ns < b->arrived_ns;
}

/* The request to forward first: the first one queued for @t, if it may be
 * forwarded, or @best, which may be NULL. */
static struct flow_state *next_for_target(const struct path *p,
					  const struct target *t,
					  struct flow_state *best,
					  uint64_t now_ns)
{
	struct flow_state *f = wait_queue_first(p->wait_queue, t);
	struct flow_state *first = f;

	for (; f; f = wait_queue_next(p->wait_queue, f))
		if (is_before(p, f, first, now_ns))
			first = f;
	if (!first || !may_forward(p, first, now_ns))
		return best;
	return !best || is_before(p, first, best, now_ns) ? first : best;
}

static struct flow_state *next_for_service(const struct path *p,
					   uint32_t service, uint64_t now_ns)
{
	struct target *const *targets = NULL;
	uint32_t n = directory_of_service(p->directory, service, &targets);
	struct flow_state *best = NULL;

	for (uint32_t i = 0; i < n; i++)
		if (targets[i]->waiting)
			best = next_for_target(p, targets[i], best, now_ns);
	return best;
}

/**
 * path_release_queued() - forward queued requests as far as the load of their
 *	targets allows
 * @p: state
 * @service: number of the service in the directory
 * @now_ns: current time
 */
void path_release_queued(struct path *p, uint32_t service, uint64_t now_ns)
{
	struct flow_state *f;

	while (wait_queue_count(p->wait_queue) &&
	       (f = next_for_service(p, service, now_ns)))
		forward_queued(p, f, now_ns);
}

/**
 * path_release_all_queued() - call path_release_queued() for all services
 * @p: state
 * @now_ns: current time
 */
void path_release_all_queued(struct path *p, uint64_t now_ns)
{
	for (uint32_t i = 0; i < directory_names(p->directory); i++)
		path_release_queued(p, i, now_ns);
}

/**
 * path_expire_queued() - drop queued requests whose clients have given up
 * @p: state
 * @t: target whose requests are checked
 * @now_ns: current time
 */
void path_expire_queued(struct path *p, const struct target *t, uint64_t now_ns)
{
	struct flow_state *f = wait_queue_first(p->wait_queue, t);

	while (f) {
		struct flow_state *next = wait_queue_next(p->wait_queue, f);

		if (f->expires_ns <= now_ns) {
			p->counts[PATH_expired]++;
			flow_cache_set_busy(p->flows, f, false);
		}
		f = next;
	}
}

/**
 * path_target_loaded() - check whether a target has as many requests as slots
 * @t: target
 *
 * Return: true when requests of this entry are queued for @t, or are at it while
 * all its slots are taken; false when it has none of this entry.
 */
bool path_target_loaded(const struct target *t)
{
	return t->waiting || (t->running && requests_at(t) >= t->news.slots);
}

/**
 * path_limits() - get the limits on the requests to a service
 * @p: state
 * @service: number of the service in the directory
 *
 * Return: a copy of the present limits.
 */
struct path_limits path_limits(const struct path *p, uint32_t service)
{
	const struct window *w = &p->windows[service];

	return (struct path_limits){
		.work_ns = p->work[service].all.mean_ns,
		.running = flow_cache_running_count(p->flows, service),
		.window = w->size,
		.refused_percent = w->refused * PERCENT,
	};
}

/**
 * path_stop() - forward all queued requests and queue none from now on, since this
 *	process is about to end
 * @p: state
 * @now_ns: current time
 */
void path_stop(struct path *p, uint64_t now_ns)
{
	p->stopping = true;
	path_release_all_queued(p, now_ns);
}
