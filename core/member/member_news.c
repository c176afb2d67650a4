/* News of members: which to believe, whom to pass it on to, how often. */
#include "member_impl.h"

static uint32_t log2_ceil(uint32_t n)
{
	uint32_t bits = 0;

	while ((1U << bits) < n)
		bits++;
	return bits;
}

static void spread_news(struct membership *m, uint32_t i, uint64_t now_ns)
{
	struct trait *t = &m->trait[i];

	m->n_hot += !t->news_left;
	t->news_left = NEWS_LAMBDA * (1 + log2_ceil(m->n_live + 1));
	t->push = true;
	if (m->push_deadline_ns == NEVER)
		m->push_deadline_ns = now_ns + PUSH_DELAY_NS;
	member_due(m, m->push_deadline_ns);
}

/*
 * Others think ill of this process, or of an earlier one at its address: a
 * higher incarnation overrides it. Where it was dead, buckets have moved
 * without it. It may hear of that only after it has refuted the suspicion
 * before, so a death at any of its incarnations counts; nothing it believes
 * is good before it is validated again.
 */
static void learn_of_self(struct membership *m, const struct gossip *g,
			  uint64_t now_ns)
{
	bool newer = g->incarnation > m->incarnation;
	bool dead = g->state == MEMBER_DEAD &&
		    g->incarnation >= m->conf.incarnation;
	int32_t i;

	if (m->leaving)
		return;
	m->deaths += dead || newer;
	if (newer || (dead && g->incarnation > m->death_incarnation))
		member_revalidate(m);
	if (dead && g->incarnation > m->death_incarnation)
		m->death_incarnation = g->incarnation;
	if (g->incarnation < m->incarnation ||
	    (!newer && g->state == MEMBER_ALIVE))
		return;
	m->incarnation = g->incarnation + 1;
	i = member_index(m, m->conf.self);
	m->all[i].incarnation = m->incarnation;
	spread_news(m, i, now_ns);
}

/*
 * It refuted in time for others, too late for us: it doesn't know that. An
 * entry that was cut off from all others granted nothing without them; told
 * that they were dead, the whole fleet would doubt what it knows.
 */
static void note_death(struct membership *m, uint32_t i, const struct gossip *g)
{
	const struct member *e = &m->all[i];
	struct trait *t = &m->trait[i];

	if (e->state != MEMBER_DEAD || !e->incarnation || t->left ||
	    !t->missed || g->incarnation - e->incarnation > REFUTATIONS_MAX)
		return;
	m->n_untold += !t->death;
	t->death = e->incarnation;
}

static uint64_t state_deadline(const struct membership *m,
			       const struct member *e, uint64_t now_ns)
{
	if (e->state == MEMBER_SUSPECT)
		return now_ns + m->conf.suspect_timeout_ns;
	if (e->state == MEMBER_DEAD && !e->listed)
		return now_ns + FORGET_NS;
	return 0;
}

/**
 * member_learn() - believe a piece of news, or what was seen here
 * @m: membership
 * @g: news; believed when its incarnation is higher than the one known, or
 *	the same with a state further from alive
 * @spread: pass it on
 * @now_ns: now
 */
void member_learn(struct membership *m, const struct gossip *g, bool spread,
		  uint64_t now_ns)
{
	struct member *e;
	int32_t i;

	if (!g->incarnation || g->vm == ADDR_NONE || g->state > MEMBER_DEAD)
		return;
	if (g->vm == m->conf.self) {
		learn_of_self(m, g, now_ns);
		return;
	}
	i = member_index(m, g->vm);
	if (i < 0 && g->state != MEMBER_DEAD)
		i = member_insert(m, g->vm);
	if (i < 0)
		return;
	e = &m->all[i];
	if (g->incarnation < e->incarnation)
		return;
	if (g->incarnation == e->incarnation && g->state <= e->state)
		return;
	note_death(m, i, g);
	m->trait[i].missed = false;
	if (g->state == MEMBER_LEAVING)
		m->trait[i].left = true;
	else if (g->state != MEMBER_DEAD)
		m->trait[i].left = false;
	e->incarnation = g->incarnation;
	e->state = g->state;
	e->deadline_ns = state_deadline(m, e, now_ns);
	if (e->deadline_ns)
		member_due(m, e->deadline_ns);
	if (spread)
		spread_news(m, i, now_ns);
	member_recount(m);
}

/**
 * member_add_item() - put what is believed of a member on a message
 * @m: membership
 * @msg: message with room for it
 * @i: member's index
 *
 * One that left and is gone is told of as leaving. Heard of as dead, a newcomer
 * would count it among those whose majority it needs, for as long as the list
 * names it. The smaller side of a partition says no more than that it suspects:
 * it did nothing without those it holds for dead, and once the partition heals
 * they need not doubt what they know.
 */
void member_add_item(const struct membership *m, struct peer_msg *msg,
		     uint32_t i)
{
	struct gossip *g = &msg->gossip[msg->n_gossip++];
	const struct member *e = &m->all[i];
	uint8_t state = e->state;

	if (state == MEMBER_DEAD && m->trait[i].left)
		state = MEMBER_LEAVING;
	else if (state == MEMBER_DEAD && !m->majority)
		state = MEMBER_SUSPECT;
	*g = (struct gossip){ .vm = e->vm,
			      .incarnation = e->incarnation,
			      .state = state };
}

static bool has_item(const struct peer_msg *msg, uint64_t vm)
{
	uint32_t k;

	for (k = 0; k < msg->n_gossip; k++)
		if (msg->gossip[k].vm == vm)
			return true;
	return false;
}

/* The receiver has to hear first what is held against it, so as to refute. */
static void add_receiver(const struct membership *m, uint64_t vm,
			 struct peer_msg *msg)
{
	int32_t i = member_index(m, vm);

	if (i < 0 || !m->all[i].incarnation || has_item(msg, vm))
		return;
	if (m->all[i].state == MEMBER_SUSPECT || m->all[i].state == MEMBER_DEAD)
		member_add_item(m, msg, i);
}

/* Keep the @room freshest in @best, sorted; returns how many there are. */
static uint32_t rank(const struct membership *m, uint32_t *best, uint32_t n,
		     uint32_t room, uint32_t i)
{
	uint32_t left = m->trait[i].news_left, at = n;

	if (n == room && m->trait[best[n - 1]].news_left >= left)
		return n;
	if (n == room)
		at = --n;
	for (; at && m->trait[best[at - 1]].news_left < left; at--)
		best[at] = best[at - 1];
	best[at] = i;
	return n + 1;
}

/* News that was sent least often first; of equal news any, not the same. */
static void add_news(struct membership *m, struct peer_msg *msg)
{
	uint32_t best[GOSSIP_MAX], n = 0, room = GOSSIP_MAX - msg->n_gossip;
	uint32_t i, k, start;

	if (!m->n_hot || !room)
		return;
	start = rng_next(&m->rng) % m->n;
	for (k = 0; k < m->n; k++) {
		i = start + k < m->n ? start + k : start + k - m->n;
		if (m->trait[i].news_left && !has_item(msg, m->all[i].vm))
			n = rank(m, best, n, room, i);
	}
	for (k = 0; k < n; k++) {
		member_add_item(m, msg, best[k]);
		m->n_hot -= !--m->trait[best[k]].news_left;
	}
}

static void stamp(const struct membership *m, struct peer_msg *msg)
{
	msg->from = m->conf.self;
	msg->incarnation = m->incarnation;
	msg->view = m->view;
}

/**
 * member_send() - send a message with news on it
 * @m: membership
 * @vm: to whom
 * @msg: message; news that it holds already stays
 */
void member_send(struct membership *m, uint64_t vm, struct peer_msg *msg)
{
	stamp(m, msg);
	if (m->leaving && !has_item(msg, m->conf.self))
		member_add_item(m, msg, member_index(m, m->conf.self));
	add_receiver(m, vm, msg);
	add_news(m, msg);
	m->out.send(m->out.ctx, vm, msg);
}

static uint32_t take_pushed(struct membership *m, struct peer_msg *msg)
{
	uint32_t i, left = 0;

	for (i = 0; i < m->n; i++) {
		if (!m->trait[i].push)
			continue;
		if (msg->n_gossip == GOSSIP_MAX) {
			left++;
			continue;
		}
		m->trait[i].push = false;
		member_add_item(m, msg, i);
	}
	return left;
}

/**
 * member_push_due() - send news on its own, within the period's budget
 * @m: membership
 * @now_ns: now
 */
void member_push_due(struct membership *m, uint64_t now_ns)
{
	struct peer_msg msg = { .kind = PEER_GOSSIP }, copy;
	uint32_t k, left;
	uint64_t vm;

	if (now_ns < m->push_deadline_ns)
		return;
	m->push_deadline_ns = NEVER;
	if (!m->n_live)
		return;
	if (m->push_budget < PUSH_FANOUT) {
		m->push_deadline_ns = m->round_deadline_ns;
		return;
	}
	left = take_pushed(m, &msg);
	for (k = 0; msg.n_gossip && k < PUSH_FANOUT && k < m->n_live; k++) {
		vm = member_random_live(m);
		copy = msg;
		stamp(m, &copy);
		m->out.send(m->out.ctx, vm, &copy);
		m->push_budget--;
	}
	if (left)
		m->push_deadline_ns = now_ns + PUSH_DELAY_NS;
}

/**
 * member_send_view() - send all that is known, to one whose view differs
 * @m: membership
 * @vm: to whom
 */
void member_send_view(struct membership *m, uint64_t vm)
{
	struct peer_msg msg = { .kind = PEER_GOSSIP, .about = m->conf.self };
	uint32_t i;

	stamp(m, &msg);
	for (i = 0; i < m->n; i++) {
		if (!m->all[i].incarnation)
			continue;
		member_add_item(m, &msg, i);
		if (msg.n_gossip < GOSSIP_MAX)
			continue;
		m->out.send(m->out.ctx, vm, &msg);
		msg.n_gossip = 0;
	}
	if (msg.n_gossip)
		m->out.send(m->out.ctx, vm, &msg);
}

/**
 * member_tell() - tell a member that talks what is held against it
 * @m: membership
 * @i: its index
 * @now_ns: now; it is told once a period
 */
void member_tell(struct membership *m, uint32_t i, uint64_t now_ns)
{
	struct peer_msg msg = { .kind = PEER_GOSSIP };

	if (now_ns < m->trait[i].tell_deadline_ns)
		return;
	m->trait[i].tell_deadline_ns = now_ns + m->conf.probe_period_ns;
	member_send(m, m->all[i].vm, &msg);
}

/**
 * member_tell_deaths() - tell members that are back that they were dead here
 * @m: membership
 */
void member_tell_deaths(struct membership *m)
{
	uint32_t i, budget = DEATHS_TOLD_PER_PERIOD;
	struct peer_msg msg;

	for (i = 0; i < m->n && m->n_untold && budget; i++) {
		if (!m->trait[i].death)
			continue;
		msg = (struct peer_msg){ .kind = PEER_GOSSIP, .n_gossip = 1 };
		msg.gossip[0] =
			(struct gossip){ .vm = m->all[i].vm,
					 .incarnation = m->trait[i].death,
					 .state = MEMBER_DEAD };
		m->trait[i].death = 0;
		m->n_untold--;
		budget--;
		member_send(m, m->all[i].vm, &msg);
	}
}
