/* What time and probes bring: unanswered flows, loads, targets that are gone. */
#include "path_impl.h"

/* Loads are averaged over a second: some twenty requests of a target. */
#define LOAD_WINDOW_NS NS_PER_S
/* A mean that has sunk below this is none. */
#define LOAD_LEAST 0.001f
/* Weight of one measurement in the mean load of a feed. */
#define FEED_LOAD_WEIGHT 0.02f
/* Failures are told with heartbeats, one in 200 ms. */
#define JUDGE_NS (100 * NS_PER_MS)
/* A flow not seen for this long is forgotten; clients repeat within 1.6 s, and
 * feeds pause for seconds. */
#define FLOW_FORGET_NS (15 * NS_PER_S)

/*
 * End the flows of a target that is gone: their clients would wait out their
 * deadlines, and can open another flow at once instead.
 */
static void sweep(struct path *p, const struct target *t)
{
	struct flow_seen *f = flow_cache_newest(p->flows);

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

/* @t->flows tells whether any is left to end. */
static void sweep_if_gone(struct path *p, const struct target *t)
{
	if (t->flows && path_gone(p, t))
		sweep(p, t);
}

/**
 * path_probe_wait_ns() - how long an attempt may take before it is silent
 * @p: state
 * @now_ns: time
 *
 * Return: time.
 */
uint64_t path_probe_wait_ns(const struct path *p, uint64_t now_ns)
{
	return connect_rtt_timeout_ns(&p->connect_rtt, p->policy, now_ns);
}

/*
 * What it means that an attempt has no answer so far. One that failed at once
 * was not given up too soon.
 */
static enum probe_outcome silence(const struct path *p, const struct target *t,
				  uint64_t since_ns, uint64_t now_ns)
{
	uint64_t waited_ns = now_ns - since_ns;

	if (t->last_alive_ns > since_ns)
		return PROBE_INCONCLUSIVE;
	if (waited_ns >= p->policy->probe_wait_ns &&
	    waited_ns < path_probe_wait_ns(p, now_ns))
		return PROBE_WAIT_TOO_SHORT;
	return PROBE_SILENT;
}

/**
 * path_probed() - take the outcome of a connection attempt
 * @p: state
 * @who: target, and its process when the attempt began; what it shows of one
 *	process says nothing of the next
 * @outcome: what it showed
 * @since_ns: when the attempt began
 * @now_ns: time
 */
void path_probed(struct path *p, const struct incarnation *who,
		 enum probe_outcome outcome, uint64_t since_ns, uint64_t now_ns)
{
	struct target *t = directory_by_id(p->directory, who->id);
	struct health_context c;

	if (outcome == PROBE_ACCEPTED || outcome == PROBE_REFUSED)
		connect_rtt_record(&p->connect_rtt, now_ns - since_ns, now_ns);
	if (!t)
		return;
	if (outcome == PROBE_SILENT)
		outcome = silence(p, t, since_ns, now_ns);
	if (who->started_ms != t->advertised.started_ms)
		outcome = PROBE_INCONCLUSIVE;
	if (outcome == PROBE_SILENT && p->held_up_ns + NS_PER_S > now_ns)
		outcome = PROBE_INCONCLUSIVE;
	if (outcome == PROBE_ACCEPTED && since_ns > p->witnessed_ns)
		p->witnessed_ns = since_ns;
	c = path_context(p, now_ns);
	health_record_probe(t, &c, outcome);
	sweep_if_gone(p, t);
}

/**
 * path_told_dead() - a peer found that a target's process has ended
 * @p: state
 * @who: target and process. Of an earlier process than the one known here the
 *	word came late; a later one's word holds for all before it.
 */
void path_told_dead(struct path *p, const struct incarnation *who)
{
	struct target *t = directory_by_id(p->directory, who->id);
	struct health_context c = path_context(p, 0);

	if (!t || who->started_ms < t->advertised.started_ms)
		return;
	health_mark_dead(t, &c);
	sweep_if_gone(p, t);
}

/**
 * path_restarted() - the next process of a target was published
 * @p: state
 * @t: target
 *
 * It knows none of the flows of the one before: a client that waits for an
 * answer of that one would wait until its deadline. Which flows those are can't
 * be told here, since some may have been opened at the new process before it
 * was published. The target can: it ends a flow that it doesn't know when it
 * gets any packet of it, and takes another copy of one that it has seen.
 */
void path_restarted(struct path *p, const struct target *t)
{
	struct flow_seen *f = flow_cache_newest(p->flows);

	while (f) {
		struct flow_seen *older = flow_cache_older(p->flows, f);

		if (f->target == t && f->stage == FLOW_OPEN) {
			p->counts[PATH_restarted]++;
			if (f->kept_bytes)
				p->port.again(p->port.ctx, f, PATH_restarted);
			flow_cache_remove(p->flows, f);
		}
		f = older;
	}
}

/**
 * path_held_up() - this process did not run for a while
 * @p: state
 * @now_ns: time
 *
 * What was due meanwhile may lie unread in the socket: nothing is doubted for
 * it. Without this a pause of this VM condemns healthy targets.
 */
void path_held_up(struct path *p, uint64_t now_ns)
{
	struct flow_seen *f = flow_cache_newest(p->flows);

	p->held_up_ns = now_ns;
	for (; f; f = flow_cache_older(p->flows, f))
		f->due_ns = 0;
}

/*
 * A SYN that nobody answered goes to another target without waiting for the
 * client's copy after 200 ms, which alone would miss a target latency of
 * 100 ms.
 */
static void place_again(struct path *p, struct flow_seen *f, uint64_t now_ns)
{
	const struct route *r = route_table_find(
		directory_route_table(p->directory), f->key.vip);
	struct target *t;

	path_doubt(p, f->target, f->opened_ns, now_ns);
	if (!r || !f->kept_bytes ||
	    now_ns - f->opened_ns > p->policy->opening_until_ns)
		return;
	t = path_place(p, &f->key, r, f->target, now_ns);
	if (!t || t == f->target)
		return;
	flow_cache_move(p->flows, f, t);
	f->request_ns = now_ns;
	f->due_ns = now_ns + path_opening_due_ns(p);
	p->counts[PATH_placed_again]++;
	p->port.again(p->port.ctx, f, PATH_placed_again);
}

static void check_due(struct path *p, uint64_t now_ns)
{
	struct flow_seen *f = flow_cache_newest(p->flows);

	for (; f; f = flow_cache_older(p->flows, f)) {
		if (f->seen_ns + 2 * p->policy->request_due_max_ns < now_ns)
			break;
		if (!f->due_ns || f->due_ns > now_ns)
			continue;
		f->due_ns = 0;
		if (f->stage == FLOW_OPENING) {
			place_again(p, f, now_ns);
			continue;
		}
		path_doubt(p, f->target, f->request_ns, now_ns);
		outlier_record_failure(f->target, p->policy, now_ns);
		flow_cache_sent(p->flows, f, false);
	}
}

static void blend(float *mean, uint32_t now, uint64_t since_ns,
		  uint64_t window_ns)
{
	float part = (float)since_ns / (float)window_ns;

	*mean += ((float)now - *mean) * (part < 1 ? part : 1);
	if (!now && *mean < LOAD_LEAST)
		*mean = 0;
}

static void average(struct target *t, const struct policy *policy,
		    uint64_t now_ns)
{
	uint64_t since_ns = now_ns - t->means_updated_ns;

	blend(&t->short_mean, t->busy_short, since_ns, LOAD_WINDOW_NS);
	blend(&t->running_mean, t->running, since_ns,
	      policy->running_window_ns);
	t->means_updated_ns = now_ns;
}

static void measure_feeds(struct path *p, uint32_t feeds, uint32_t busy)
{
	if (feeds)
		p->feed_load += ((float)busy / (float)feeds - p->feed_load) *
				FEED_LOAD_WEIGHT;
}

/*
 * Whether time brings nothing to a target: of thousands most have no flow of
 * this entry, and all are looked at in every tick.
 */
static bool at_rest(const struct target *t)
{
	return !t->cached_flows && t->health == HEALTH_GOOD &&
	       t->short_mean <= 0 && t->running_mean <= 0;
}

static void judge(struct path *p, struct target *t, uint64_t now_ns)
{
	float others = 0;

	if (t->failures <= 0 && t->peers_failures <= 0)
		return;
	if (outlier_eject_if_failing(p->directory, t, p->policy, now_ns,
				     &others))
		p->port.eject(p->port.ctx, t, others);
}

/**
 * path_tick() - what time brings; every 20 to 50 ms
 * @p: state
 * @now_ns: time
 */
void path_tick(struct path *p, uint64_t now_ns)
{
	uint32_t n = directory_target_count(p->directory);
	uint32_t feeds = 0, busy = 0;
	struct health_context c = path_context(p, now_ns);
	bool judging = now_ns >= p->judged_ns + JUDGE_NS;

	if (judging)
		p->judged_ns = now_ns;
	check_due(p, now_ns);
	p->loaded = false;
	for (uint32_t i = 0; i < n; i++) {
		struct target *t = directory_target_at(p->directory, i);

		if (judging)
			judge(p, t, now_ns);
		if (at_rest(t)) {
			t->means_updated_ns = now_ns;
			continue;
		}
		average(t, p->policy, now_ns);
		if (t->flows || !directory_is_evacuated(p->directory, t))
			health_tick(t, &c);
		sweep_if_gone(p, t);
		path_expire(p, t, now_ns);
		p->loaded |= path_loaded(t);
		feeds += t->feeds;
		busy += t->busy - t->busy_short;
	}
	path_release_all(p, now_ns);
	measure_feeds(p, feeds, busy);
	if (now_ns > FLOW_FORGET_NS)
		flow_cache_expire(p->flows, now_ns - FLOW_FORGET_NS);
}

/**
 * path_any_loaded() - whether a target with requests of this entry has as much
 *	to do as it has slots
 * @p: state
 *
 * Return: whether it was so at the last tick.
 */
bool path_any_loaded(const struct path *p)
{
	return p->loaded;
}
