/* Choice of a target for a piece of work. */
#include "balance_state.h"

/* Candidates looked at for one choice. */
#define SCAN_MAX 64
/* A choice moves a place's turn on by this over its weight. */
#define TURN_UNIT 1000000ULL
/* Views over which a service's mean of others' work is taken. */
#define OTHERS_SAMPLES 63
/* Steps of load up to full slots; within one, targets take turns. */
#define LOAD_STEPS 2
/* Share of its turns that a target gets at the start of its slow start. */
#define SLOW_START_MIN_MILLI 100

struct choice {
	uint32_t place;
	uint64_t load;
	uint64_t turn;
	uint64_t used;
};

static bool is_cold(const struct target *t, uint64_t now_ns)
{
	return now_ns < t->warm_deadline_ns;
}

static uint32_t warmth_milli(const struct target *t, uint64_t now_ns)
{
	uint64_t left_ns = t->warm_deadline_ns - now_ns;

	return 1000 - (uint32_t)(left_ns * (1000 - SLOW_START_MIN_MILLI) /
				 SLOW_START_NS);
}

/* Requests of its own share that an entry may have at a target now. */
static uint32_t own_limit(const struct target *t, uint32_t own, uint64_t now_ns)
{
	uint32_t limit = own;

	if (t->limit_milli / 1000 < limit)
		limit = t->limit_milli / 1000;
	if (is_cold(t, now_ns))
		limit = limit * warmth_milli(t, now_ns) / 1000;
	return limit || !own ? limit : 1;
}

static bool has_room(const struct service *s, const struct target *t,
		     uint32_t own, uint32_t extra, uint64_t now_ns)
{
	uint32_t limit;

	if (now_ns < t->hold_deadline_ns)
		return false;
	limit = own_limit(t, own, now_ns);
	if (t->inflight < limit)
		return true;
	if (limit < own || is_cold(t, now_ns) || now_ns < t->extra_deadline_ns)
		return false;
	return t->inflight < own + extra &&
	       view_idle(&t->view, t->slots, s->took_ns, now_ns);
}

/*
 * Every request in flight counts as a connection, since a feed that is opening
 * becomes one: otherwise openings that cross would pass the share.
 */
static bool has_connection(const struct target *t, const struct work *w,
			   uint64_t now_ns)
{
	if (!w->feed)
		return true;
	if (t->feeds + t->inflight >= t->share.connections)
		return false;
	return !view_usable(&t->view, now_ns) ||
	       t->view.connections < t->connections;
}

/**
 * pick_pinned_room() - may pinned work go to its target now
 * @s: its service
 * @t: target
 * @w: work
 * @now_ns: time
 *
 * An entry without a share of the target still may have one request there: the
 * flow came to it when the entries changed, and it has nowhere else to go.
 *
 * Return: true when it may.
 */
bool pick_pinned_room(const struct service *s, const struct target *t,
		      const struct work *w, uint64_t now_ns)
{
	uint32_t own = t->share.own ? t->share.own : 1;

	if (w->feed && view_usable(&t->view, now_ns) &&
	    t->view.connections >= t->connections)
		return false;
	return has_room(s, t, own, t->share.extra, now_ns);
}

/*
 * When an entry's own shares are all ejected, the extra ones take their place
 * without a report that shows an idle slot, as else nothing would be left.
 */
static bool has_share_room(const struct service *s, const struct target *t,
			   uint64_t now_ns)
{
	if (!s->n_own)
		return has_room(s, t, t->share.own + t->share.extra, 0, now_ns);
	return has_room(s, t, t->share.own, t->share.extra, now_ns);
}

static bool is_open(const struct target *t, uint64_t now_ns)
{
	return !t->health.ejected || health_trial_due(&t->health, now_ns);
}

/* The target to avoid is still used when it is the only one. */
static bool is_avoided(const struct service *s, const struct target *t,
		       const struct work *w)
{
	return w->avoid != ADDR_NONE && w->avoid == t->addr &&
	       s->n_candidates > 1;
}

/**
 * pick_allowed() - may unpinned work go to a place now
 * @b: balancer
 * @p: place
 * @w: work
 * @now_ns: time
 *
 * Return: true when it may.
 */
bool pick_allowed(struct balancer *b, const struct place *p,
		  const struct work *w, uint64_t now_ns)
{
	const struct service *s = &b->t.services[p->service];
	const struct target *t = &b->t.targets[p->target];

	if (!p->candidate || is_avoided(s, t, w) || !is_open(t, now_ns))
		return false;
	return has_connection(t, w, now_ns) && has_share_room(s, t, now_ns);
}

/*
 * Requests there, own and others', whole ones so that equals count as such. A
 * target whose reports can't be believed is taken to have what others have on
 * the average: with none it would look idle and draw the work.
 */
static uint64_t load_of(const struct service *s, const struct place *p,
			const struct target *t, const struct work *w,
			uint64_t now_ns)
{
	uint32_t others_milli = s->others_milli;

	uint64_t load = t->inflight;

	if (view_usable(&t->view, now_ns))
		others_milli = view_others_milli(&t->view, now_ns);
	load += (others_milli + 500) / 1000;
	if (w->feed)
		return (load + t->feeds + 1) * TURN_UNIT / p->weight;
	return (load + 1) * LOAD_STEPS / (t->slots + 1);
}

/* A place that was not used for long is due, but only once. */
static uint64_t turn_of(const struct service *s, const struct place *p)
{
	uint64_t step = TURN_UNIT / p->weight;

	if (p->turn + step < s->turn)
		return s->turn - step;
	return p->turn;
}

static void note_others(struct service *s, const struct target *t,
			uint64_t now_ns)
{
	s->others_milli = (OTHERS_SAMPLES * s->others_milli +
			   view_others_milli(&t->view, now_ns)) /
			  (OTHERS_SAMPLES + 1);
}

static bool is_better(const struct choice *a, const struct choice *b)
{
	if (b->place == INDEX_NONE)
		return true;
	if (a->load != b->load)
		return a->load < b->load;
	if (a->turn != b->turn)
		return a->turn < b->turn;
	/* Both are due: the one that was passed over for longer. */
	return a->used < b->used;
}

static bool passes_slow_start(struct balancer *b, const struct target *t,
			      uint64_t now_ns)
{
	if (!is_cold(t, now_ns))
		return true;
	return rng_next(&b->rng) % 1000 < warmth_milli(t, now_ns);
}

/**
 * pick_place() - choose a target for unpinned work
 * @b: balancer
 * @s: its service
 * @w: work
 * @now_ns: time
 * @place: the choice
 *
 * Least loaded first, among equals the one whose turn it is. Cold targets are
 * passed over for a share of their turns, unless only they have room.
 *
 * Return: PICK_FOUND, PICK_FULL when there is no room now, PICK_CONNECTIONS
 * when no target may hold another feed, PICK_NONE when no target is up.
 */
enum pick pick_place(struct balancer *b, struct service *s,
		     const struct work *w, uint64_t now_ns, uint32_t *place)
{
	struct choice best = { .place = INDEX_NONE };
	struct choice cold = { .place = INDEX_NONE };
	bool connection = false;
	uint32_t start = 0;
	uint32_t n = s->n_candidates;

	if (!n)
		return PICK_NONE;
	if (n > SCAN_MAX) {
		start = (uint32_t)(rng_next(&b->rng) % n);
		n = SCAN_MAX;
	}
	for (uint32_t i = 0; i < n; i++) {
		uint32_t at = (start + i) % s->n_candidates;
		uint32_t index = b->t.candidates[s->first_candidate + at];
		struct place *p = &b->t.places[index];
		struct target *t = &b->t.targets[p->target];
		struct choice c = { .place = index };

		if (has_connection(t, w, now_ns))
			connection = true;
		if (view_usable(&t->view, now_ns))
			note_others(s, t, now_ns);
		if (!pick_allowed(b, p, w, now_ns))
			continue;
		if (t->health.ejected) {
			*place = index;
			return PICK_FOUND;
		}
		c.load = load_of(s, p, t, w, now_ns);
		c.turn = turn_of(s, p);
		c.used = p->turn;
		if (!passes_slow_start(b, t, now_ns)) {
			if (is_better(&c, &cold))
				cold = c;
		} else if (is_better(&c, &best)) {
			best = c;
		}
	}
	*place = best.place != INDEX_NONE ? best.place : cold.place;
	if (*place != INDEX_NONE)
		return PICK_FOUND;
	return connection ? PICK_FULL : PICK_CONNECTIONS;
}

/**
 * pick_count() - a request goes to a place
 * @b: balancer
 * @place: index
 * @now_ns: time
 */
void pick_count(struct balancer *b, uint32_t place, uint64_t now_ns)
{
	struct place *p = &b->t.places[place];
	struct service *s = &b->t.services[p->service];
	struct target *t = &b->t.targets[p->target];

	p->turn = turn_of(s, p);
	s->turn = p->turn;
	p->turn += TURN_UNIT / p->weight;
	t->inflight++;
	view_sent(&t->view, now_ns);
	if (t->health.ejected)
		t->health.trial = true;
}
