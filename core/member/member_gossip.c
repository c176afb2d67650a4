/* Updates on members: which ones apply, and to whom they are sent how often. */
#include "member_impl.h"

static uint32_t log2_ceil(uint32_t n)
{
	uint32_t bits = 0;

	while ((1U << bits) < n)
		bits++;
	return bits;
}

static void queue_update(struct membership *m, uint32_t i, uint64_t now_ns)
{
	struct member_priv *priv = &m->priv[i];

	m->n_retransmitting += !priv->transmits_left;
	priv->transmits_left =
		UPDATE_RETRANSMIT_FACTOR * (1 + log2_ceil(m->n_live + 1));
	priv->push_pending = true;
	if (m->push_deadline_ns == DEADLINE_NEVER)
		m->push_deadline_ns = now_ns + PUSH_DELAY_NS;
	member_schedule_tick(m, m->push_deadline_ns);
}

/*
 * An update that suspects this process, or one on an earlier process at its
 * address, is overridden by a higher incarnation. At members where this entry
 * was dead, buckets have moved without it. It may learn of its death only after
 * it has refuted the suspicion that came before, so a death at any of its
 * incarnations counts. Its view is not valid until other members have validated
 * it again.
 */
static void apply_update_about_self(struct membership *m,
				    const struct gossip *g, uint64_t now_ns)
{
	bool newer = g->incarnation > m->incarnation;
	bool dead = g->state == MEMBER_DEAD &&
		    g->incarnation >= m->conf.incarnation;
	int32_t i;

	if (m->leaving)
		return;
	m->deaths += dead || newer;
	if (newer || (dead && g->incarnation > m->death_incarnation))
		member_require_validation(m);
	if (dead && g->incarnation > m->death_incarnation)
		m->death_incarnation = g->incarnation;
	if (g->incarnation < m->incarnation ||
	    (!newer && g->state == MEMBER_ALIVE))
		return;
	m->incarnation = g->incarnation + 1;
	i = member_find_index(m, m->conf.self);
	m->members[i].incarnation = m->incarnation;
	queue_update(m, i, now_ns);
}

/*
 * A member that refuted its suspicion in time for others, but too late for this
 * entry, does not know that it was dead here and has to be notified. A death
 * that was declared without a majority is not reported: an entry that was
 * partitioned from all others granted nothing without them, and its
 * notifications would make all entries validate their views again.
 */
static void record_unreported_death(struct membership *m, uint32_t i,
				    const struct gossip *g)
{
	const struct member *e = &m->members[i];
	struct member_priv *priv = &m->priv[i];

	if (e->state != MEMBER_DEAD || !e->incarnation || priv->has_left ||
	    !priv->dead_under_majority ||
	    g->incarnation - e->incarnation > REFUTATIONS_MAX)
		return;
	m->n_unreported_deaths += !priv->unreported_death;
	priv->unreported_death = e->incarnation;
}

static uint64_t deadline_of_state(const struct membership *m,
				  const struct member *e, uint64_t now_ns)
{
	if (e->state == MEMBER_SUSPECT)
		return now_ns + m->conf.suspect_timeout_ns;
	if (e->state == MEMBER_DEAD && !e->listed)
		return now_ns + FORGET_NS;
	return 0;
}

/**
 * member_apply_update() - apply an update from another member or from this one
 * @m: membership
 * @g: update; applied when its incarnation is higher than the known one, or
 *	equal with a higher state in the order of enum member_state
 * @disseminate: send it on to other members
 * @now_ns: current time
 */
void member_apply_update(struct membership *m, const struct gossip *g,
			 bool disseminate, uint64_t now_ns)
{
	struct member *e;
	int32_t i;

	if (!g->incarnation || g->vm == ADDR_NONE || g->state > MEMBER_DEAD)
		return;
	if (g->vm == m->conf.self) {
		apply_update_about_self(m, g, now_ns);
		return;
	}
	i = member_find_index(m, g->vm);
	if (i < 0 && g->state != MEMBER_DEAD)
		i = member_find_or_insert(m, g->vm);
	if (i < 0)
		return;
	e = &m->members[i];
	if (g->incarnation < e->incarnation)
		return;
	if (g->incarnation == e->incarnation && g->state <= e->state)
		return;
	record_unreported_death(m, i, g);
	m->priv[i].dead_under_majority = false;
	if (g->state == MEMBER_LEAVING)
		m->priv[i].has_left = true;
	else if (g->state != MEMBER_DEAD)
		m->priv[i].has_left = false;
	e->incarnation = g->incarnation;
	e->state = g->state;
	e->deadline_ns = deadline_of_state(m, e, now_ns);
	if (e->deadline_ns)
		member_schedule_tick(m, e->deadline_ns);
	if (disseminate)
		queue_update(m, i, now_ns);
	member_update_totals(m);
}

/**
 * member_add_update() - add the state of a member to a message
 * @m: membership
 * @msg: message with less than GOSSIP_UPDATES_MAX updates
 * @i: index of the member
 *
 * A dead member that left before is sent as leaving. If it were sent as dead, a
 * new entry would count it among those whose majority it needs, for as long as
 * the platform lists it. The smaller side of a partition sends dead members as
 * suspect: that side did not act without them, so they need no new validation
 * after the partition has healed.
 */
void member_add_update(const struct membership *m, struct peer_msg *msg,
		       uint32_t i)
{
	struct gossip *g = &msg->gossip[msg->n_gossip++];
	const struct member *e = &m->members[i];
	uint8_t state = e->state;

	if (state == MEMBER_DEAD && m->priv[i].has_left)
		state = MEMBER_LEAVING;
	else if (state == MEMBER_DEAD && !m->majority)
		state = MEMBER_SUSPECT;
	*g = (struct gossip){ .vm = e->vm,
			      .incarnation = e->incarnation,
			      .state = state };
}

static bool has_update(const struct peer_msg *msg, uint64_t vm)
{
	uint32_t k;

	for (k = 0; k < msg->n_gossip; k++)
		if (msg->gossip[k].vm == vm)
			return true;
	return false;
}

/* A suspicion of the receiver goes first, so that it can refute it. */
static void add_update_about_receiver(const struct membership *m, uint64_t vm,
				      struct peer_msg *msg)
{
	int32_t i = member_find_index(m, vm);

	if (i < 0 || !m->members[i].incarnation || has_update(msg, vm))
		return;
	if (m->members[i].state == MEMBER_SUSPECT ||
	    m->members[i].state == MEMBER_DEAD)
		member_add_update(m, msg, i);
}

/*
 * Insert member @i into @best, the members with most transmits left in
 * descending order. Returns their number, at most @capacity.
 */
static uint32_t insert_by_transmits_left(const struct membership *m,
					 uint32_t *best, uint32_t n,
					 uint32_t capacity, uint32_t i)
{
	uint32_t left = m->priv[i].transmits_left, at = n;

	if (n == capacity && m->priv[best[n - 1]].transmits_left >= left)
		return n;
	if (n == capacity)
		at = --n;
	for (; at && m->priv[best[at - 1]].transmits_left < left; at--)
		best[at] = best[at - 1];
	best[at] = i;
	return n + 1;
}

/*
 * Add the updates sent least often; a random start varies those sent equally.
 */
static void add_updates(struct membership *m, struct peer_msg *msg)
{
	uint32_t best[GOSSIP_UPDATES_MAX],
		n = 0, capacity = GOSSIP_UPDATES_MAX - msg->n_gossip;
	uint32_t i, k, start;

	if (!m->n_retransmitting || !capacity)
		return;
	start = rng_next(&m->rng) % m->n;
	for (k = 0; k < m->n; k++) {
		i = start + k < m->n ? start + k : start + k - m->n;
		if (m->priv[i].transmits_left &&
		    !has_update(msg, m->members[i].vm))
			n = insert_by_transmits_left(m, best, n, capacity, i);
	}
	for (k = 0; k < n; k++) {
		member_add_update(m, msg, best[k]);
		m->n_retransmitting -= !--m->priv[best[k]].transmits_left;
	}
}

static void fill_header(const struct membership *m, struct peer_msg *msg)
{
	msg->from = m->conf.self;
	msg->incarnation = m->incarnation;
	msg->view = m->view;
}

/**
 * member_send() - send a message and add updates to it
 * @m: membership
 * @vm: receiver
 * @msg: message; updates already in it stay
 */
void member_send(struct membership *m, uint64_t vm, struct peer_msg *msg)
{
	fill_header(m, msg);
	if (m->leaving && !has_update(msg, m->conf.self))
		member_add_update(m, msg, member_find_index(m, m->conf.self));
	add_update_about_receiver(m, vm, msg);
	add_updates(m, msg);
	m->out.send(m->out.ctx, vm, msg);
}

static uint32_t add_pushed_updates(struct membership *m, struct peer_msg *msg)
{
	uint32_t i, left = 0;

	for (i = 0; i < m->n; i++) {
		if (!m->priv[i].push_pending)
			continue;
		if (msg->n_gossip == GOSSIP_UPDATES_MAX) {
			left++;
			continue;
		}
		m->priv[i].push_pending = false;
		member_add_update(m, msg, i);
	}
	return left;
}

/**
 * member_push_updates() - push due updates within the budget of the probe
 *	period
 * @m: membership
 * @now_ns: current time
 */
void member_push_updates(struct membership *m, uint64_t now_ns)
{
	struct peer_msg msg = { .kind = PEER_GOSSIP }, copy;
	uint32_t k, left;
	uint64_t vm;

	if (now_ns < m->push_deadline_ns)
		return;
	m->push_deadline_ns = DEADLINE_NEVER;
	if (!m->n_live)
		return;
	if (m->push_budget < PUSH_FANOUT) {
		m->push_deadline_ns = m->round_deadline_ns;
		return;
	}
	left = add_pushed_updates(m, &msg);
	for (k = 0; msg.n_gossip && k < PUSH_FANOUT && k < m->n_live; k++) {
		vm = member_random_live(m);
		copy = msg;
		fill_header(m, &copy);
		m->out.send(m->out.ctx, vm, &copy);
		m->push_budget--;
	}
	if (left)
		m->push_deadline_ns = now_ns + PUSH_DELAY_NS;
}

/**
 * member_send_view() - send the state of all members that were ever heard
 * @m: membership
 * @vm: receiver
 */
void member_send_view(struct membership *m, uint64_t vm)
{
	struct peer_msg msg = { .kind = PEER_GOSSIP, .subject = m->conf.self };
	uint32_t i;

	fill_header(m, &msg);
	for (i = 0; i < m->n; i++) {
		if (!m->members[i].incarnation)
			continue;
		member_add_update(m, &msg, i);
		if (msg.n_gossip < GOSSIP_UPDATES_MAX)
			continue;
		m->out.send(m->out.ctx, vm, &msg);
		msg.n_gossip = 0;
	}
	if (msg.n_gossip)
		m->out.send(m->out.ctx, vm, &msg);
}

/**
 * member_notify_suspicion() - notify a suspect or dead member of its state, at
 *	most once per probe period
 * @m: membership
 * @i: index of the member
 * @now_ns: current time
 */
void member_notify_suspicion(struct membership *m, uint32_t i, uint64_t now_ns)
{
	struct peer_msg msg = { .kind = PEER_GOSSIP };

	if (now_ns < m->priv[i].notify_deadline_ns)
		return;
	m->priv[i].notify_deadline_ns = now_ns + m->conf.probe_period_ns;
	member_send(m, m->members[i].vm, &msg);
}

/**
 * member_report_deaths() - notify members that returned that they were dead
 *	here
 * @m: membership
 */
void member_report_deaths(struct membership *m)
{
	uint32_t i, budget = DEATH_REPORTS_PER_PERIOD;
	struct peer_msg msg;

	for (i = 0; i < m->n && m->n_unreported_deaths && budget; i++) {
		if (!m->priv[i].unreported_death)
			continue;
		msg = (struct peer_msg){ .kind = PEER_GOSSIP, .n_gossip = 1 };
		msg.gossip[0] =
			(struct gossip){ .vm = m->members[i].vm,
					 .incarnation =
						 m->priv[i].unreported_death,
					 .state = MEMBER_DEAD };
		m->priv[i].unreported_death = 0;
		m->n_unreported_deaths--;
		budget--;
		member_send(m, m->members[i].vm, &msg);
	}
}
