/*
 * Reactions to timers, probes and reports of peers: overdue answers, mean
 * loads, flows of failed targets.
 */
#include "path_impl.h"

/* Window of the mean loads, in which a target serves some 20 requests. */
#define LOAD_WINDOW_NS NS_PER_S
/* A lower mean load of a target without requests is set to 0. */
#define LOAD_MIN 0.001f
/* Weight of an overdue request that found no free slot at its target. */
#define WEIGHT_BEHIND_OTHERS 0.5f
/* Weight of one measurement in the mean load of a feed. */
#define FEED_LOAD_WEIGHT 0.02f
/* Several ticks, in one of which the end of a download is noticed. */
#define DOWNLOAD_TICKS_NS (250 * NS_PER_MS)
/* Interval of the checks for outliers; peers report failures every 200 ms. */
#define OUTLIER_CHECK_NS (100 * NS_PER_MS)
/* A flow without packets for this long is removed. Clients retransmit within
 * 1.6 s, and feeds pause for seconds. */
#define FLOW_IDLE_TIMEOUT_NS (15 * NS_PER_S)

/*
 * Reset the flows of a failed target. Their clients would otherwise wait until
 * their deadlines; after a reset they open another flow at once.
 */
static void reset_flows(struct path *path, const struct target *target)
{
	struct flow_state *flow = flow_cache_newest(path->flows);

	for (; flow; flow = flow_cache_older(path->flows, flow)) {
		if (flow->target != target || flow->stage == FLOW_CLOSED)
			continue;
		if (flow->stage == FLOW_OPEN) {
			path->counts[PATH_swept]++;
			path->port.reset(path->port.ctx, flow);
		}
		flow_cache_close(path->flows, flow);
	}
}

/* Skips the walk over all flows when @target has none. */
static void reset_flows_if_required(struct path *path,
				    const struct target *target)
{
	if (target->flows && path_must_reset_flows(path, target))
		reset_flows(path, target);
}

/**
 * path_probe_timeout_ns() - get the time limit of a connection attempt
 * @path: state of the decisions on packets
 * @now_ns: current time
 *
 * Return: time after which an attempt without an answer counts as silent; grows
 * with the latest round trip times.
 */
uint64_t path_probe_timeout_ns(const struct path *path, uint64_t now_ns)
{
	return connect_rtt_timeout_ns(&path->connect_rtt, path->policy, now_ns);
}

/*
 * Classify a connection attempt without an answer. One that ended before
 * probe_wait_ns has failed at once, and was not given up early.
 */
static enum probe_outcome classify_timeout(const struct path *path,
					   const struct target *target,
					   uint64_t since_ns, uint64_t now_ns)
{
	uint64_t waited_ns = now_ns - since_ns;

	if (target->last_alive_ns > since_ns)
		return PROBE_INCONCLUSIVE;
	if (waited_ns >= path->policy->probe_wait_ns &&
	    waited_ns < path_probe_timeout_ns(path, now_ns))
		return PROBE_WAIT_TOO_SHORT;
	return PROBE_SILENT;
}

/**
 * path_probe_ended() - handle the outcome of a connection attempt
 * @path: state of the decisions on packets
 * @who: target and the process that ran when the attempt began; the outcome is
 *	void when a later process was published since
 * @outcome: outcome, enum probe_outcome
 * @since_ns: when the attempt began
 * @now_ns: current time
 */
void path_probe_ended(struct path *path, const struct incarnation *who,
		      enum probe_outcome outcome, uint64_t since_ns,
		      uint64_t now_ns)
{
	struct target *target = directory_by_id(path->directory, who->id);
	struct health_context c;

	if (outcome == PROBE_ACCEPTED || outcome == PROBE_REFUSED)
		connect_rtt_record(&path->connect_rtt, now_ns - since_ns,
				   now_ns);
	if (!target)
		return;
	if (outcome == PROBE_SILENT)
		outcome = classify_timeout(path, target, since_ns, now_ns);
	if (who->started_ms != target->advertised.started_ms)
		outcome = PROBE_INCONCLUSIVE;
	if (outcome == PROBE_SILENT && path->stalled_ns + NS_PER_S > now_ns)
		outcome = PROBE_INCONCLUSIVE;
	if (outcome == PROBE_ACCEPTED && since_ns > path->answered_probe_ns)
		path->answered_probe_ns = since_ns;
	c = path_health_context(path, now_ns);
	health_record_probe(target, &c, outcome);
	reset_flows_if_required(path, target);
}

/**
 * path_peer_reported_dead() - handle a peer's report that a process has ended
 * @path: state of the decisions on packets
 * @who: target and process. A report about an earlier process than the
 *	published one is late and is ignored; the end of a later process implies
 *	the end of the published one.
 * @now_ns: current time
 */
void path_peer_reported_dead(struct path *path, const struct incarnation *who,
			     uint64_t now_ns)
{
	struct target *target = directory_by_id(path->directory, who->id);
	struct health_context c = path_health_context(path, now_ns);

	if (!target || who->started_ms < target->advertised.started_ms)
		return;
	health_mark_dead(target, &c);
	reset_flows_if_required(path, target);
}

/**
 * path_target_restarted() - handle the publication of a target's next process
 * @path: state of the decisions on packets
 * @target: target
 *
 * The new process doesn't have the flows of the previous one, whose clients
 * would wait until their deadlines. This entry can't tell which flows are
 * affected, since some may have been opened at the new process before it was
 * published. The target can, so each flow's last packet without data is sent to
 * it again: the target resets a flow that it doesn't have, and accepts a
 * retransmitted packet of one that it has.
 */
void path_target_restarted(struct path *path, const struct target *target)
{
	struct flow_state *flow = flow_cache_newest(path->flows);

	while (flow) {
		struct flow_state *older = flow_cache_older(path->flows, flow);

		if (flow->target == target && flow->stage == FLOW_OPEN) {
			path->counts[PATH_restarted]++;
			if (flow->resend_bytes)
				path->port.resend(path->port.ctx, flow,
						  PATH_restarted);
			flow_cache_remove(path->flows, flow);
		}
		flow = older;
	}
}

/**
 * path_process_stalled() - handle a stall of this process
 * @path: state of the decisions on packets
 * @now_ns: current time, after the stall
 *
 * Answers that were due during the stall may be unread in the socket, so none
 * counts as overdue and no download as ended. Otherwise a pause of this VM would
 * make healthy targets suspected.
 */
void path_process_stalled(struct path *path, uint64_t now_ns)
{
	struct flow_state *flow = flow_cache_newest(path->flows);

	path->stalled_ns = now_ns;
	path_resume_admission(path, now_ns);
	for (; flow; flow = flow_cache_older(path->flows, flow)) {
		flow->answer_due_ns = 0;
		flow_cache_set_opening(flow, false);
		if (flow->download_ends_ns)
			path_continue_download(flow, 0, now_ns);
	}
}

/*
 * Send an unanswered SYN to another target without waiting for the client to
 * retransmit it. The client does so after 200 ms, which is too late for a
 * latency objective of 100 ms.
 */
static void assign_again(struct path *path, struct flow_state *flow,
			 uint64_t now_ns)
{
	const struct route *route = route_table_find(
		directory_route_table(path->directory), flow->key.vip);
	struct target *target;

	path_suspect(path, flow->target, flow->opened_ns, now_ns);
	if (!route || !flow->resend_bytes ||
	    now_ns - flow->opened_ns > path->policy->opening_until_ns)
		return;
	target = path_assign_target(path, &flow->key, route, flow->target,
				    now_ns);
	if (!target || target == flow->target)
		return;
	flow_cache_set_target(path->flows, flow, target);
	flow->forwarded_ns = now_ns;
	flow->answer_due_ns = now_ns + path_handshake_timeout_ns(path);
	path->counts[PATH_placed_again]++;
	path->port.resend(path->port.ctx, flow, PATH_placed_again);
}

static uint64_t mean_answer_ns(const struct path *path,
			       const struct flow_state *flow)
{
	return answer_stats_time_ns(path->answers,
				    path_answer_class(path, flow), flow->kind);
}

/*
 * How much an overdue request counts as a failure with load control. A few
 * requests that take far longer than others hold all slots of a good target, and
 * those that found no free slot are late together with them.
 */
float path_overdue_weight(const struct flow_state *flow)
{
	return flow->found_free_slot ? 1 : WEIGHT_BEHIND_OTHERS;
}

static void record_overdue_failure(struct path *path, struct flow_state *flow,
				   uint64_t now_ns)
{
	float weight = path_load_control(path) ? path_overdue_weight(flow) : 1;

	outlier_record_weighted(flow->target, path->policy, weight, now_ns);
	flow->failed_ns = now_ns;
}

static void check_overdue(struct path *path, uint64_t now_ns)
{
	struct flow_state *flow = flow_cache_newest(path->flows);
	uint64_t due_ns = 2 * path->policy->request_due_max_ns;
	uint64_t quiet_ns = DOWNLOAD_QUIET_NS + DOWNLOAD_TICKS_NS;

	for (; flow; flow = flow_cache_older(path->flows, flow)) {
		uint64_t age_ns = now_ns - flow->seen_ns;

		if (age_ns > due_ns && age_ns > quiet_ns)
			break;
		if (flow->download_ends_ns && flow->download_ends_ns <= now_ns)
			path_end_download(path, flow, now_ns);
		if (age_ns > due_ns)
			continue;
		if (!flow->answer_due_ns || flow->answer_due_ns > now_ns)
			continue;
		flow->answer_due_ns = 0;
		if (flow->stage == FLOW_OPENING) {
			flow_cache_set_opening(flow, false);
			path_record_unanswered(path, flow, now_ns);
			assign_again(path, flow, now_ns);
			continue;
		}
		if (flow->is_opening) { /* the client sends no request yet */
			flow_cache_set_opening(flow, false);
			continue;
		}
		path_suspect(path, flow->target, flow->forwarded_ns, now_ns);
		path_count_request(path, flow, LOAD_failed);
		record_overdue_failure(path, flow, now_ns);
		track_record_service_time(flow->target,
					  now_ns - flow->forwarded_ns,
					  mean_answer_ns(path, flow), now_ns);
		flow_cache_set_running(path->flows, flow, false);
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

static void update_target_means(struct target *target,
				const struct policy *policy, uint64_t now_ns)
{
	uint64_t since_ns = now_ns - target->means_updated_ns;

	update_mean(&target->short_mean, target->busy_short, since_ns,
		    LOAD_WINDOW_NS);
	update_mean(&target->running_mean, target->running, since_ns,
		    policy->running_window_ns);
	target->means_updated_ns = now_ns;
}

static void update_feed_load(struct path *path, uint32_t feeds, uint32_t busy)
{
	if (feeds)
		path->feed_load +=
			((float)busy / (float)feeds - path->feed_load) *
			FEED_LOAD_WEIGHT;
}

/*
 * Whether a tick changes nothing about a target. Each tick walks all targets,
 * and most of the thousands have no flow of this entry.
 */
static bool is_idle(const struct target *target)
{
	return !target->cached_flows && target->health == HEALTH_GOOD &&
	       target->short_mean <= 0 && target->running_mean <= 0;
}

static void eject_if_outlier(struct path *path, struct target *target,
			     uint64_t now_ns)
{
	float others_failures = 0;

	if (target->failures <= 0 && target->peers_failures <= 0)
		return;
	if (outlier_is_suspicious(path->directory, target, path->policy,
				  now_ns))
		track_record_avoid(target, now_ns);
	if (outlier_eject_if_failing(path->directory, target, path->policy,
				     now_ns, &others_failures)) {
		track_record_avoid(target, target->ejected_until_ns);
		path->port.eject(path->port.ctx, target, others_failures);
	}
}

/**
 * path_tick() - do what is due; to be called every 20 to 50 ms
 * @path: state of the decisions on packets
 * @now_ns: current time
 */
void path_tick(struct path *path, uint64_t now_ns)
{
	uint32_t n = directory_target_count(path->directory);
	uint32_t feeds = 0, busy = 0;
	struct health_context c = path_health_context(path, now_ns);
	bool checks_outliers =
		now_ns >= path->outliers_checked_ns + OUTLIER_CHECK_NS;

	if (checks_outliers)
		path->outliers_checked_ns = now_ns;
	check_overdue(path, now_ns);
	path->any_target_loaded = false;
	for (uint32_t i = 0; i < n; i++) {
		struct target *target = directory_target_at(path->directory, i);

		if (checks_outliers)
			eject_if_outlier(path, target, now_ns);
		if (is_idle(target)) {
			target->means_updated_ns = now_ns;
			continue;
		}
		update_target_means(target, path->policy, now_ns);
		if (target->flows ||
		    !directory_is_evacuated(path->directory, target))
			health_tick(target, &c);
		reset_flows_if_required(path, target);
		path_expire_queued(path, target, now_ns);
		path->any_target_loaded |= path_target_loaded(target);
		feeds += target->feeds;
		busy += target->busy - target->busy_short;
	}
	path_release_all_queued(path, now_ns);
	path_tick_admission(path, now_ns);
	update_feed_load(path, feeds, busy);
	route_use_sample(path->use, now_ns);
	if (now_ns > FLOW_IDLE_TIMEOUT_NS)
		flow_cache_expire(path->flows, now_ns - FLOW_IDLE_TIMEOUT_NS);
}

/**
 * path_has_loaded_target() - check for a target with as many requests as slots
 * @path: state of the decisions on packets
 *
 * Return: whether path_target_loaded() held for any target at the last tick.
 */
bool path_has_loaded_target(const struct path *path)
{
	return path->any_target_loaded;
}
