/*
 * Reactions to timers, probes and reports of peers: overdue answers, mean loads,
 * flows of failed targets.
 */
#include "path_impl.h"

/* Loads are averaged over a second, in which a target serves some 20 requests. */
#define LOAD_WINDOW_NS NS_PER_S
/* A lower mean load of a target without requests is set to 0. */
#define LOAD_MIN 0.001f
/* Weight of one measurement in the mean load of a feed. */
#define FEED_LOAD_WEIGHT 0.02f
/* Peers report failures in heartbeats, one in 200 ms. */
#define OUTLIER_CHECK_NS (100 * NS_PER_MS)
/* A flow without packets for this long is removed. Clients repeat within 1.6 s,
 * and feeds pause for seconds. */
#define FLOW_IDLE_TIMEOUT_NS (15 * NS_PER_S)

/*
 * Reset the flows of a failed target. Their clients would otherwise wait until
 * their deadlines; after a reset they open another flow at once.
 */
static void reset_flows(struct path *p, const struct target *t)
{
	struct flow_state *f = flow_cache_newest(p->flows);

	for (; f; f = flow_cache_older(p->flows, f)) {
		if (f->target != t || f->stage == FLOW_CLOSED)
			continue;
		if (f->stage == FLOW_OPEN) {
			p->counts[PATH_swept]++;
			p->port.reset(p->port.ctx, f);
		}
		flow_cache_close(p->flows, f);
	}
}

/* Skips the walk over all flows when @t has none. */
static void reset_flows_if_required(struct path *p, const struct target *t)
{
	if (t->flows && path_must_reset_flows(p, t))
		reset_flows(p, t);
}

/**
 * path_probe_timeout_ns() - get the time limit of a connection attempt
 * @p: state
 * @now_ns: current time
 *
 * Return: time after which an attempt without an answer counts as silent; grows
 * with the latest round trip times.
 */
uint64_t path_probe_timeout_ns(const struct path *p, uint64_t now_ns)
{
	return trips_wait_ns(&p->trips, p->policy, now_ns);
}

/*
 * Classify a connection attempt without an answer. One that ended before
 * probe_wait_ns has failed at once, and was not given up early.
 */
static enum probe_outcome classify_timeout(const struct path *p,
					   const struct target *t,
					   uint64_t since_ns, uint64_t now_ns)
{
	uint64_t waited_ns = now_ns - since_ns;

	if (t->alive_ns > since_ns)
		return PROBE_VOID;
	if (waited_ns >= p->policy->probe_wait_ns &&
	    waited_ns < path_probe_timeout_ns(p, now_ns))
		return PROBE_EARLY;
	return PROBE_SILENT;
}

/**
 * path_probe_ended() - handle the outcome of a connection attempt
 * @p: state
 * @who: target and the process that ran when the attempt began; the outcome is
 *	void when a later process was published since
 * @outcome: outcome, enum probe_outcome
 * @since_ns: when the attempt began
 * @now_ns: current time
 */
void path_probe_ended(struct path *p, const struct incarnation *who,
		      enum probe_outcome outcome, uint64_t since_ns,
		      uint64_t now_ns)
{
	struct target *t = directory_by_id(p->directory, who->id);
	struct health_context c;

	if (outcome == PROBE_OPEN || outcome == PROBE_REFUSED)
		trips_heard(&p->trips, now_ns - since_ns, now_ns);
	if (!t)
		return;
	if (outcome == PROBE_SILENT)
		outcome = classify_timeout(p, t, since_ns, now_ns);
	if (who->started_ms != t->news.started_ms)
		outcome = PROBE_VOID;
	if (outcome == PROBE_SILENT && p->stalled_ns + NS_PER_S > now_ns)
		outcome = PROBE_VOID;
	if (outcome == PROBE_OPEN && since_ns > p->answered_probe_ns)
		p->answered_probe_ns = since_ns;
	c = path_health_context(p, now_ns);
	health_probed(t, &c, outcome);
	reset_flows_if_required(p, t);
}

/**
 * path_peer_reported_dead() - handle a peer's report that a process has ended
 * @p: state
 * @who: target and process. A report about an earlier process than the published
 *	one is late and is ignored; the end of a later process implies the end of
 *	the published one.
 */
void path_peer_reported_dead(struct path *p, const struct incarnation *who)
{
	struct target *t = directory_by_id(p->directory, who->id);
	struct health_context c = path_health_context(p, 0);

	if (!t || who->started_ms < t->news.started_ms)
		return;
	health_dead(t, &c);
	reset_flows_if_required(p, t);
}

/**
 * path_target_restarted() - handle the publication of a target's next process
 * @p: state
 * @t: target
 *
 * The new process doesn't have the flows of the previous one, whose clients would
 * wait until their deadlines. This entry can't tell which flows are affected,
 * since some may have been opened at the new process before it was published. The
 * target can, so each flow's last packet without data is sent to it again: the
 * target resets a flow that it doesn't have, and accepts a repeated packet of one
 * that it has.
 */
void path_target_restarted(struct path *p, const struct target *t)
{
	struct flow_state *f = flow_cache_newest(p->flows);

	while (f) {
		struct flow_state *older = flow_cache_older(p->flows, f);

		if (f->target == t && f->stage == FLOW_OPEN) {
			p->counts[PATH_restarted]++;
			if (f->resend_bytes)
				p->port.resend(p->port.ctx, f, PATH_restarted);
			flow_cache_remove(p->flows, f);
		}
		f = older;
	}
}

/**
 * path_process_stalled() - handle a stall of this process
 * @p: state
 * @now_ns: current time, after the stall
 *
 * Answers that were due during the stall may be unread in the socket, so none
 * counts as overdue. Otherwise a pause of this VM would make healthy targets
 * suspected.
 */
void path_process_stalled(struct path *p, uint64_t now_ns)
{
	struct flow_state *f = flow_cache_newest(p->flows);

	p->stalled_ns = now_ns;
	for (; f; f = flow_cache_older(p->flows, f))
		f->answer_due_ns = 0;
}

/*
 * Send an unanswered SYN to another target without waiting for the client to
 * repeat it. The client does so after 200 ms, which is too late for a latency
 * objective of 100 ms.
 */
static void assign_again(struct path *p, struct flow_state *f, uint64_t now_ns)
{
	const struct route *r =
		route_table_find(directory_table(p->directory), f->key.vip);
	struct target *t;

	path_suspect(p, f->target, f->opened_ns, now_ns);
	if (!r || !f->resend_bytes ||
	    now_ns - f->opened_ns > p->policy->opening_until_ns)
		return;
	t = path_assign_target(p, &f->key, r, f->target, now_ns);
	if (!t || t == f->target)
		return;
	flow_cache_set_target(p->flows, f, t);
	f->forwarded_ns = now_ns;
	f->answer_due_ns = now_ns + path_handshake_timeout_ns(p);
	p->counts[PATH_placed_again]++;
	p->port.resend(p->port.ctx, f, PATH_placed_again);
}

static void check_overdue(struct path *p, uint64_t now_ns)
{
	struct flow_state *f = flow_cache_newest(p->flows);

	for (; f; f = flow_cache_older(p->flows, f)) {
		if (f->seen_ns + 2 * p->policy->request_due_max_ns < now_ns)
			break;
		if (!f->answer_due_ns || f->answer_due_ns > now_ns)
			continue;
		f->answer_due_ns = 0;
		if (f->stage == FLOW_OPENING) {
			assign_again(p, f, now_ns);
			continue;
		}
		path_suspect(p, f->target, f->forwarded_ns, now_ns);
		outlier_failed(f->target, p->policy, now_ns);
		flow_cache_set_running(p->flows, f, false);
	}
}

static void update_mean(float *mean, uint32_t now, uint64_t since_ns,
			uint64_t window_ns)
{
	float weight = (float)since_ns / (float)window_ns;

	*mean += ((float)now - *mean) * (weight < 1 ? weight : 1);
	if (!now && *mean < LOAD_MIN)
		*mean = 0;
}

static void update_target_means(struct target *t, const struct policy *policy,
				uint64_t now_ns)
{
	uint64_t since_ns = now_ns - t->mean_ns;

	update_mean(&t->short_mean, t->busy_short, since_ns, LOAD_WINDOW_NS);
	update_mean(&t->running_mean, t->running, since_ns,
		    policy->running_window_ns);
	t->mean_ns = now_ns;
}

static void update_feed_load(struct path *p, uint32_t feeds, uint32_t busy)
{
	if (feeds)
		p->feed_load += ((float)busy / (float)feeds - p->feed_load) *
				FEED_LOAD_WEIGHT;
}

/*
 * Whether a tick changes nothing about a target. Each tick walks all targets, and
 * most of the thousands have no flow of this entry.
 */
static bool is_idle(const struct target *t)
{
	return !t->held && t->health == HEALTH_GOOD && t->short_mean <= 0 &&
	       t->running_mean <= 0;
}

static void eject_if_outlier(struct path *p, struct target *t, uint64_t now_ns)
{
	float others_failures = 0;

	if (t->failures <= 0 && t->peers_failures <= 0)
		return;
	if (outlier_judge(p->directory, t, p->policy, now_ns, &others_failures))
		p->port.eject(p->port.ctx, t, others_failures);
}

/**
 * path_tick() - do what is due; to be called every 20 to 50 ms
 * @p: state
 * @now_ns: current time
 */
void path_tick(struct path *p, uint64_t now_ns)
{
	uint32_t n = directory_slots(p->directory);
	uint32_t feeds = 0, busy = 0;
	struct health_context c = path_health_context(p, now_ns);
	bool checks_outliers =
		now_ns >= p->outliers_checked_ns + OUTLIER_CHECK_NS;

	if (checks_outliers)
		p->outliers_checked_ns = now_ns;
	check_overdue(p, now_ns);
	p->any_target_loaded = false;
	for (uint32_t i = 0; i < n; i++) {
		struct target *t = directory_slot(p->directory, i);

		if (checks_outliers)
			eject_if_outlier(p, t, now_ns);
		if (is_idle(t)) {
			t->mean_ns = now_ns;
			continue;
		}
		update_target_means(t, p->policy, now_ns);
		if (t->flows || !directory_evacuated(p->directory, t))
			health_tick(t, &c);
		reset_flows_if_required(p, t);
		path_expire_queued(p, t, now_ns);
		p->any_target_loaded |= path_target_loaded(t);
		feeds += t->feeds;
		busy += t->busy - t->busy_short;
	}
	path_release_all_queued(p, now_ns);
	update_feed_load(p, feeds, busy);
	if (now_ns > FLOW_IDLE_TIMEOUT_NS)
		flow_cache_expire(p->flows, now_ns - FLOW_IDLE_TIMEOUT_NS);
}

/**
 * path_has_loaded_target() - check for a target with as many requests as slots
 * @p: state
 *
 * Return: whether path_target_loaded() held for any target at the last tick.
 */
bool path_has_loaded_target(const struct path *p)
{
	return p->any_target_loaded;
}
