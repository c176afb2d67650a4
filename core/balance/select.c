/*
 * Selection of a target for new work: least load first, stride scheduling among
 * targets of equal load.
 */
#include "balance_state.h"

/* Candidates compared for one selection. */
#define CANDIDATES_SCANNED_MAX 64
/* Scale of strides and of the load by feeds; both are divided by weights. */
#define STRIDE_SCALE 1000000ULL
/* Samples in the moving average of the load of other entries. */
#define OTHERS_SAMPLES 63
/* Load levels up to full slots; stride scheduling applies within one level. */
#define LOAD_STEPS 2
/* Share of selections that a target gets at the beginning of slow start. */
#define SLOW_START_MIN_MILLI 100

/**
 * struct choice - a backend and its order among the candidates
 * @backend: index of the backend, or INDEX_NONE
 * @load: load of its target, in levels for requests; less is better
 * @pass: effective pass; less is better at equal load
 * @raw_pass: pass of the backend; less is better at equal effective pass
 */
struct choice {
	uint32_t backend;
	uint64_t load;
	uint64_t pass;
	uint64_t raw_pass;
};

static bool in_slow_start(const struct target *t, uint64_t now_ns)
{
	return now_ns < t->slow_start_end_ns;
}

static uint32_t slow_start_milli(const struct target *t, uint64_t now_ns)
{
	uint64_t left_ns = t->slow_start_end_ns - now_ns;

	return 1000 - (uint32_t)(left_ns * (1000 - SLOW_START_MIN_MILLI) /
				 SLOW_START_NS);
}

/* Limit of own requests at a target now, after sheds and slow start. */
static uint32_t own_limit(const struct target *t, uint32_t own, uint64_t now_ns)
{
	uint32_t limit = own;

	if (t->aimd_limit_milli / 1000 < limit)
		limit = t->aimd_limit_milli / 1000;
	if (in_slow_start(t, now_ns))
		limit = limit * slow_start_milli(t, now_ns) / 1000;
	return limit || !own ? limit : 1;
}

static bool has_capacity(const struct service *s, const struct target *t,
			 uint32_t own, uint32_t extra, uint64_t now_ns)
{
	uint32_t limit;

	if (now_ns < t->pause_end_ns)
		return false;
	limit = own_limit(t, own, now_ns);
	if (t->inflight < limit)
		return true;
	if (limit < own || in_slow_start(t, now_ns) ||
	    now_ns < t->extra_pause_end_ns)
		return false;
	return t->inflight < own + extra &&
	       load_view_may_be_idle(&t->load_view, t->slots,
				     s->mean_duration_ns, now_ns);
}

/*
 * Test whether the work, if it opens a feed, may use one more connection. Every
 * request in flight counts as a connection, since it may be opening a feed:
 * otherwise feeds that open at the same time could exceed the share.
 */
static bool has_feed_capacity(const struct target *t, const struct work *work,
			      uint64_t now_ns)
{
	if (!work->feed)
		return true;
	if (t->feeds + t->inflight >= t->share.connections)
		return false;
	return !load_view_is_usable(&t->load_view, now_ns) ||
	       t->load_view.connections < t->connections;
}

/**
 * select_allows_pinned() - test whether pinned work may be sent to its target
 * @s: service of the work
 * @t: target that the work is pinned to
 * @work: work
 * @now_ns: current time
 *
 * An entry without a share of the target may still have one request there: when
 * the entries change, it gets flows of other entries, and no other target can
 * run them.
 *
 * Return: true when it may be sent now.
 */
bool select_allows_pinned(const struct service *s, const struct target *t,
			  const struct work *work, uint64_t now_ns)
{
	uint32_t own = t->share.own ? t->share.own : 1;

	if (work->feed && load_view_is_usable(&t->load_view, now_ns) &&
	    t->load_view.connections >= t->connections)
		return false;
	return has_capacity(s, t, own, t->share.extra, now_ns);
}

/*
 * When all targets where this entry has own requests are ejected, it uses its
 * extra requests without a report of an idle slot: otherwise no target would be
 * left.
 */
static bool has_share_capacity(const struct service *s, const struct target *t,
			       uint64_t now_ns)
{
	if (!s->n_own)
		return has_capacity(s, t, t->share.own + t->share.extra, 0,
				    now_ns);
	return has_capacity(s, t, t->share.own, t->share.extra, now_ns);
}

static bool accepts_new_work(const struct target *t, uint64_t now_ns)
{
	return !t->health.ejected || health_trial_is_due(&t->health, now_ns);
}

/* The target to avoid is used when it is the only candidate. */
static bool is_avoided(const struct service *s, const struct target *t,
		       const struct work *work)
{
	return work->avoid != ADDR_NONE && work->avoid == t->addr &&
	       s->n_candidates > 1;
}

/**
 * select_allows() - test whether work that is not pinned may go to a backend
 * @balancer: balancer
 * @be: backend
 * @work: work
 * @now_ns: current time
 *
 * Return: true when it may be sent now.
 */
bool select_allows(struct balancer *balancer, const struct backend *be,
		   const struct work *work, uint64_t now_ns)
{
	const struct service *s = &balancer->tables.services[be->service];
	const struct target *t = &balancer->tables.targets[be->target];

	if (!be->candidate || is_avoided(s, t, work) ||
	    !accepts_new_work(t, now_ns))
		return false;
	return has_feed_capacity(t, work, now_ns) &&
	       has_share_capacity(s, t, now_ns);
}

/*
 * Load of a target by requests of this and other entries, rounded to whole
 * requests so that similar loads compare as equal. Without a usable report the
 * average of the service's targets is assumed for other entries' requests:
 * assuming none would make the target look idle and attract the work.
 */
static uint64_t load_at(const struct service *s, const struct backend *be,
			const struct target *t, const struct work *work,
			uint64_t now_ns)
{
	uint32_t others_milli = s->others_milli;
	uint64_t load = t->inflight;

	if (load_view_is_usable(&t->load_view, now_ns))
		others_milli = load_view_others_milli(&t->load_view, now_ns);
	load += (others_milli + 500) / 1000;
	if (work->feed)
		return (load + t->feeds + 1) * STRIDE_SCALE / be->weight;
	return (load + 1) * LOAD_STEPS / (t->slots + 1);
}

/*
 * Pass for the comparison: a backend that was not used for a long time is at
 * most one stride behind, so that it doesn't get many selections in a row.
 */
static uint64_t effective_pass(const struct service *s,
			       const struct backend *be)
{
	uint64_t stride = STRIDE_SCALE / be->weight;

	if (be->pass + stride < s->pass)
		return s->pass - stride;
	return be->pass;
}

static void update_mean_others(struct service *s, const struct target *t,
			       uint64_t now_ns)
{
	s->others_milli = (OTHERS_SAMPLES * s->others_milli +
			   load_view_others_milli(&t->load_view, now_ns)) /
			  (OTHERS_SAMPLES + 1);
}

static bool is_better(const struct choice *a, const struct choice *b)
{
	if (b->backend == INDEX_NONE)
		return true;
	if (a->load != b->load)
		return a->load < b->load;
	if (a->pass != b->pass)
		return a->pass < b->pass;
	/* Both are one stride behind: the one that is further behind. */
	return a->raw_pass < b->raw_pass;
}

static bool slow_start_allows(struct balancer *balancer, const struct target *t,
			      uint64_t now_ns)
{
	if (!in_slow_start(t, now_ns))
		return true;
	return rng_next(&balancer->rng) % 1000 < slow_start_milli(t, now_ns);
}

/**
 * select_backend() - select a backend for work that is not pinned
 * @balancer: balancer
 * @s: service of the work
 * @work: work
 * @now_ns: current time
 * @backend: set to the index of the selected backend, or INDEX_NONE; unchanged
 *	when there is no candidate
 *
 * The least loaded backend is selected, among equally loaded ones the one with
 * the smallest pass. A target in slow start is skipped for a share of the
 * selections, unless no other target accepts the work. An ejected target whose
 * trial is due is selected at once.
 *
 * Return: SELECTION_FOUND; SELECTION_FULL when no backend accepts the work now;
 * SELECTION_CONNECTIONS when no target may open another feed; SELECTION_NONE
 * when there is no candidate.
 */
enum selection select_backend(struct balancer *balancer, struct service *s,
			      const struct work *work, uint64_t now_ns,
			      uint32_t *backend)
{
	struct choice best = { .backend = INDEX_NONE };
	struct choice skipped = { .backend = INDEX_NONE };
	bool feed_possible = false;
	uint32_t start = 0;
	uint32_t n = s->n_candidates;

	if (!n)
		return SELECTION_NONE;
	if (n > CANDIDATES_SCANNED_MAX) {
		start = (uint32_t)(rng_next(&balancer->rng) % n);
		n = CANDIDATES_SCANNED_MAX;
	}
	for (uint32_t i = 0; i < n; i++) {
		uint32_t pos = (start + i) % s->n_candidates;
		uint32_t index =
			balancer->tables.candidates[s->first_candidate + pos];
		struct backend *be = &balancer->tables.backends[index];
		struct target *t = &balancer->tables.targets[be->target];
		struct choice c = { .backend = index };

		if (has_feed_capacity(t, work, now_ns))
			feed_possible = true;
		if (load_view_is_usable(&t->load_view, now_ns))
			update_mean_others(s, t, now_ns);
		if (!select_allows(balancer, be, work, now_ns))
			continue;
		if (t->health.ejected) {
			*backend = index;
			return SELECTION_FOUND;
		}
		c.load = load_at(s, be, t, work, now_ns);
		c.pass = effective_pass(s, be);
		c.raw_pass = be->pass;
		if (!slow_start_allows(balancer, t, now_ns)) {
			if (is_better(&c, &skipped))
				skipped = c;
		} else if (is_better(&c, &best)) {
			best = c;
		}
	}
	*backend = best.backend != INDEX_NONE ? best.backend : skipped.backend;
	if (*backend != INDEX_NONE)
		return SELECTION_FOUND;
	return feed_possible ? SELECTION_FULL : SELECTION_CONNECTIONS;
}

/**
 * select_record() - record that a request is sent to a backend
 * @balancer: balancer
 * @backend: index of the backend
 * @now_ns: current time
 */
void select_record(struct balancer *balancer, uint32_t backend, uint64_t now_ns)
{
	struct backend *be = &balancer->tables.backends[backend];
	struct service *s = &balancer->tables.services[be->service];
	struct target *t = &balancer->tables.targets[be->target];

	be->pass = effective_pass(s, be);
	s->pass = be->pass;
	be->pass += STRIDE_SCALE / be->weight;
	t->inflight++;
	load_view_record_send(&t->load_view, now_ns);
	if (t->health.ejected)
		t->health.trial_pending = true;
}
