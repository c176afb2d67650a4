/*
 * Requests that wait here, since their targets have enough to do.
 *
 * The load that this is for: a fleet wakes at once, or a third of the targets is
 * gone, and for seconds more requests come than are worked off. A target takes
 * them in the order in which they come, so that each is answered late, and soon
 * after its client has given up. Here those that can still be answered in time
 * go first, and the target is given no more than it answers in time.
 */
#include "path_impl.h"

#define PERCENT 100

/* Requests at a target, of all entries; the peers' are those of a moment ago. */
static float at_target(const struct target *t)
{
	return (float)t->running + t->peers_running;
}

static int64_t left_ns(const struct flow_seen *f, uint64_t now_ns)
{
	return (int64_t)(f->aim_by_ns - now_ns);
}

/*
 * One at a time goes to a target whatever the peers told: otherwise an entry
 * that is cut from them would keep its requests for as long as it believes them.
 * Only the window may hold that one back, which goes by what this entry saw.
 */
static bool may_go(const struct path *p, const struct flow_seen *f,
		   uint64_t now_ns)
{
	const struct target *t = f->target;
	struct work_query q = {
		.kind = f->kind,
		.slots = t->advertised.slots,
		.objective_ns = (int64_t)(f->aim_by_ns - f->asked_ns),
		.remaining_ns = left_ns(f, now_ns),
	};

	if (p->stopping || t->stage != TARGET_SERVING ||
	    directory_is_evacuated(p->directory, t))
		return true;
	if (!window_is_open(&p->windows[t->advertised.service],
			    flow_cache_running(p->flows,
					       t->advertised.service)))
		return false;
	if (!t->running)
		return true;
	return at_target(t) <
	       work_request_limit(&p->work[t->advertised.service], p->policy,
				  &q);
}

/**
 * path_hold() - keep a request's first packet, if its target has enough to do
 * @p: state
 * @f: flow, with a request that has just begun
 * @k: the packet
 *
 * Uploads never wait: the packets that follow the first would reach the target
 * before it.
 *
 * Return: whether it waits now; otherwise it is to go to the target.
 */
bool path_hold(struct path *p, struct flow_seen *f, const struct packet *k)
{
	if (f->kind == ROUTE_UPLOAD || !f->aim_by_ns ||
	    may_go(p, f, f->asked_ns))
		return false;
	return waiting_add(p->waiting, f, k->bytes, k->n_bytes);
}

/**
 * path_sent() - a request goes to its target now
 * @p: state
 * @f: its flow
 * @now_ns: time
 */
void path_sent(struct path *p, struct flow_seen *f, uint64_t now_ns)
{
	f->request_ns = now_ns;
	f->alone = at_target(f->target) < f->target->advertised.slots;
	f->due_ns = now_ns + path_request_due_ns(p, f->kind);
	flow_cache_sent(p->flows, f, true);
}

/**
 * path_worked() - what the answer to a request shows of its service
 * @p: state
 * @f: its flow; the target had it
 * @small: the answer is far smaller than usual
 * @now_ns: time
 *
 * A small answer that came sooner than work could, from a target that has
 * others to work on, says that it has no room. Targets that fail all requests
 * at once are never loaded, and teach nothing about the others' room.
 */
void path_worked(struct path *p, struct flow_seen *f, bool small,
		 uint64_t now_ns)
{
	uint32_t service = f->target->advertised.service;
	uint32_t running = flow_cache_running(p->flows, service);
	struct service_work *w = &p->work[service];
	uint64_t took_ns = now_ns - f->request_ns;
	uint64_t least_ns = w->by_kind[f->kind].mean_ns *
			    p->policy->refused_percent / PERCENT;

	if (small && took_ns < least_ns + f->trip_ns) {
		if (at_target(f->target) >= f->target->advertised.slots) {
			p->counts[PATH_refused]++;
			window_record_refusal(&p->windows[service], p->policy,
					      running, now_ns);
		}
		return;
	}
	window_record_answer(&p->windows[service], running);
	if (f->alone && f->trip_ns && took_ns > f->trip_ns)
		work_record(w, f->kind, took_ns - f->trip_ns);
}

static void send(struct path *p, struct flow_seen *f, uint64_t now_ns)
{
	uint32_t n_bytes;
	const uint8_t *bytes = waiting_packet(p->waiting, f, &n_bytes);

	p->counts[PATH_waited]++;
	histogram_add(&p->times[f->kind].wait_us,
		      (now_ns - f->asked_ns) / NS_PER_US);
	p->port.send(p->port.ctx, f, bytes, n_bytes);
	waiting_remove(p->waiting, f);
	flow_cache_touch(p->flows, f, now_ns);
	path_sent(p, f, now_ns);
}

/*
 * Those that can be answered in time go first: work on others makes these late
 * too. Of them the last to come: in overload no order serves all, and the first
 * in turn would be answered just before its target latency ends, or just after.
 * Of the late ones the first to come, whose client waits the least longer.
 */
static bool before(const struct path *p, const struct flow_seen *a,
		   const struct flow_seen *b, uint64_t now_ns)
{
	const struct service_work *w = &p->work[a->target->advertised.service];
	bool a_in_time = work_meets_objective(w, a->kind, left_ns(a, now_ns));
	bool b_in_time = work_meets_objective(w, b->kind, left_ns(b, now_ns));

	if (a_in_time != b_in_time)
		return a_in_time;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a_in_time ? a->asked_ns > b->asked_ns
			 : a->asked_ns < b->asked_ns;
}

/* The first to go of those for @t, or of @best. */
static struct flow_seen *next_of(const struct path *p, const struct target *t,
				 struct flow_seen *best, uint64_t now_ns)
{
	struct flow_seen *f = waiting_first(p->waiting, t);
	struct flow_seen *first = f;

	for (; f; f = waiting_next(p->waiting, f))
		if (before(p, f, first, now_ns))
			first = f;
	if (!first || !may_go(p, first, now_ns))
		return best;
	return !best || before(p, first, best, now_ns) ? first : best;
}

static struct flow_seen *next(const struct path *p, uint32_t service,
			      uint64_t now_ns)
{
	struct target *const *targets = NULL;
	uint32_t n = directory_service_targets(p->directory, service, &targets);
	struct flow_seen *best = NULL;

	for (uint32_t i = 0; i < n; i++)
		if (targets[i]->queue_head)
			best = next_of(p, targets[i], best, now_ns);
	return best;
}

/**
 * path_release() - let requests go to a service whose targets have less to do
 * @p: state
 * @service: number of its name
 * @now_ns: time
 */
void path_release(struct path *p, uint32_t service, uint64_t now_ns)
{
	struct flow_seen *f;

	while (waiting_count(p->waiting) && (f = next(p, service, now_ns)))
		send(p, f, now_ns);
}

/**
 * path_release_all() - the same for all services
 * @p: state
 * @now_ns: time
 */
void path_release_all(struct path *p, uint64_t now_ns)
{
	for (uint32_t i = 0; i < directory_service_count(p->directory); i++)
		path_release(p, i, now_ns);
}

/**
 * path_expire() - drop the requests for a target whose clients have given up
 * @p: state
 * @t: target
 * @now_ns: time
 */
void path_expire(struct path *p, const struct target *t, uint64_t now_ns)
{
	struct flow_seen *f = waiting_first(p->waiting, t);

	while (f) {
		struct flow_seen *next = waiting_next(p->waiting, f);

		if (f->expires_ns <= now_ns) {
			p->counts[PATH_expired]++;
			flow_cache_busy(p->flows, f, false);
		}
		f = next;
	}
}

/**
 * path_loaded() - whether a target has as much to do as it has slots
 * @t: target
 *
 * Return: whether; false when nothing of this entry is there.
 */
bool path_loaded(const struct target *t)
{
	return t->queue_head ||
	       (t->running && at_target(t) >= t->advertised.slots);
}

/**
 * path_limits() - what limits the requests that go to a service
 * @p: state
 * @service: number of its name
 *
 * Return: limits.
 */
struct path_limits path_limits(const struct path *p, uint32_t service)
{
	const struct request_window *w = &p->windows[service];

	return (struct path_limits){
		.work_ns = p->work[service].all.mean_ns,
		.running = flow_cache_running(p->flows, service),
		.window = w->size,
		.refused_percent = w->refused_ratio * PERCENT,
	};
}

/**
 * path_stop() - this process will end: nothing waits here from now on
 * @p: state
 * @now_ns: time
 */
void path_stop(struct path *p, uint64_t now_ns)
{
	p->stopping = true;
	path_release_all(p, now_ns);
}
