/*
 * Membership: each entry probes a few others a period, suspects before it
 * declares dead, and passes news on with its probes. See
 * docs/design/membership.md.
 */
#include "member_impl.h"

#include <stdlib.h>

/* Probes under way: some rounds of our own, and those for others. */
#define PROBE_ROUNDS 8
#define PROBES_FOR_OTHERS 64

/**
 * member_due() - wake no later than a deadline
 * @m: membership
 * @deadline_ns: deadline
 */
void member_due(struct membership *m, uint64_t deadline_ns)
{
	if (deadline_ns < m->next_ns)
		m->next_ns = deadline_ns;
}

/**
 * member_new() - membership of a process that knows only itself
 * @conf: settings; the incarnation has to be larger than that of any earlier
 *	process at this address, so take the time of its start
 * @out: port for messages to other entries
 * @rng: random source of its own
 *
 * Return: membership, or NULL when memory is short.
 */
struct membership *member_new(const struct member_conf *conf,
			      struct peer_out out, struct rng rng)
{
	struct membership *m = calloc(1, sizeof(*m));
	int32_t i;

	if (!m)
		return NULL;
	m->conf = *conf;
	m->out = out;
	m->rng = rng;
	m->incarnation = conf->incarnation;
	m->seq = rng_next(&m->rng) >> 40;
	m->push_deadline_ns = NEVER;
	m->n_probes = PROBE_ROUNDS * (conf->probes + 1) + PROBES_FOR_OTHERS;
	m->probe = calloc(m->n_probes, sizeof(*m->probe));
	m->cap = MEMBERS_SPARE;
	m->all = calloc(m->cap, sizeof(*m->all));
	m->trait = calloc(m->cap, sizeof(*m->trait));
	m->order = calloc(m->cap, sizeof(*m->order));
	if (!m->probe || !m->all || !m->trait || !m->order) {
		member_free(m);
		return NULL;
	}
	i = member_insert(m, conf->self);
	m->leaving = conf->joining;
	m->trait[i].left = conf->joining;
	m->all[i].state = conf->joining ? MEMBER_LEAVING : MEMBER_ALIVE;
	m->all[i].incarnation = conf->incarnation;
	member_recount(m);
	m->had_majority = m->majority;
	return m;
}

/**
 * member_free() - give back a membership
 * @m: membership, or NULL
 */
void member_free(struct membership *m)
{
	if (!m)
		return;
	free(m->probe);
	free(m->all);
	free(m->trait);
	free(m->order);
	free(m);
}

static void put_off(struct membership *m, uint64_t by_ns)
{
	uint32_t i;

	for (i = 0; i < m->n; i++)
		if (m->all[i].deadline_ns)
			m->all[i].deadline_ns += by_ns;
	for (i = 0; i < m->n_probes; i++)
		m->probe[i].deadline_ns += by_ns;
}

/* First run, or a process that was paused: what it believes is old. */
static void wake(struct membership *m, uint64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < m->n_probes; i++)
		m->probe[i].seq = 0;
	member_revalidate(m);
	m->n_outcomes = 0;
	m->round_deadline_ns = now_ns;
	m->sync_deadline_ns = now_ns;
	m->run_deadline_ns = now_ns + m->conf.lease_ns;
}

/*
 * Time that this process did not run proves nothing against others: answers
 * may wait unread in the socket. A process that wakes late and lets its
 * timers run first would declare the whole fleet dead; one would see as many
 * suspicions as there were probes under way. So deadlines move by the delay.
 */
static void catch_up(struct membership *m, uint64_t now_ns)
{
	bool ran_before = m->run_deadline_ns > 0;

	if (ran_before && now_ns > m->next_ns + m->conf.probe_timeout_ns) {
		put_off(m, now_ns - m->next_ns);
		m->next_ns = now_ns;
	}
	if (now_ns >= m->run_deadline_ns)
		wake(m, now_ns);
}

static void member_died(struct membership *m, uint32_t i, uint64_t now_ns)
{
	struct gossip g = { .vm = m->all[i].vm,
			    .incarnation = m->all[i].incarnation,
			    .state = MEMBER_DEAD };

	member_learn(m, &g, true, now_ns);
}

static void members_due(struct membership *m, uint64_t now_ns)
{
	struct member *e;
	uint32_t i;

	for (i = m->n; i--;) {
		e = &m->all[i];
		if (!e->deadline_ns || e->deadline_ns > now_ns)
			continue;
		if (e->state != MEMBER_DEAD) {
			member_died(m, i, now_ns);
		} else {
			m->n_hot -= m->trait[i].news_left > 0;
			m->n_untold -= m->trait[i].death > 0;
			member_remove(m, i);
			member_recount(m);
		}
	}
}

static void find_next(struct membership *m)
{
	uint32_t i;

	m->next_ns = m->round_deadline_ns;
	member_due(m, m->push_deadline_ns);
	for (i = 0; i < m->n; i++)
		if (m->all[i].deadline_ns)
			member_due(m, m->all[i].deadline_ns);
	for (i = 0; i < m->n_probes; i++)
		if (m->probe[i].seq)
			member_due(m, m->probe[i].deadline_ns);
}

/**
 * member_tick() - do what is due
 * @m: membership
 * @now_ns: now
 */
void member_tick(struct membership *m, uint64_t now_ns)
{
	catch_up(m, now_ns);
	m->run_deadline_ns = now_ns + m->conf.lease_ns;
	member_probes_due(m, now_ns);
	members_due(m, now_ns);
	member_round(m, now_ns);
	member_push_due(m, now_ns);
	member_watch_majority(m, now_ns);
	find_next(m);
}

/*
 * Whom a message is from; false when a newer process has its address. Only
 * messages of this module say whether their sender leaves or has yet to join:
 * taking a forwarded datagram for a join would give buckets to a process that
 * knows nobody. Other messages may carry the incarnation it started with.
 */
static bool heard_from(struct membership *m, const struct peer_msg *msg,
		       uint64_t now_ns)
{
	struct gossip g = { .vm = msg->from,
			    .incarnation = msg->incarnation,
			    .state = MEMBER_ALIVE };
	struct member *e;
	int32_t i;

	if (msg->kind <= PEER_GOSSIP)
		member_learn(m, &g, true, now_ns);
	i = member_index(m, msg->from);
	if (i < 0)
		return false;
	e = &m->all[i];
	if (msg->incarnation > e->incarnation ||
	    e->incarnation - msg->incarnation > REFUTATIONS_MAX)
		return false;
	e->heard_ns = now_ns;
	if (e->state == MEMBER_LEAVING)
		e->deadline_ns = 0;
	if (msg->kind != PEER_PING &&
	    (e->state == MEMBER_SUSPECT || e->state == MEMBER_DEAD))
		member_tell(m, i, now_ns);
	return true;
}

/**
 * member_message() - a message came from another entry
 * @m: membership
 * @msg: message, authenticated; one that isn't about membership is a sign of
 *	life all the same
 * @now_ns: now
 */
void member_message(struct membership *m, const struct peer_msg *msg,
		    uint64_t now_ns)
{
	bool view = msg->kind == PEER_GOSSIP && msg->about == msg->from;
	bool current;
	uint32_t k;

	if (msg->from == m->conf.self || msg->from == ADDR_NONE)
		return;
	catch_up(m, now_ns);
	for (k = 0; k < msg->n_gossip && k < GOSSIP_MAX; k++)
		member_learn(m, &msg->gossip[k], !view, now_ns);
	current = heard_from(m, msg, now_ns);
	member_watch_majority(m, now_ns);
	if (msg->kind == PEER_PING)
		member_on_ping(m, msg);
	if (!current)
		return;
	if (msg->kind == PEER_PING_REQ)
		member_on_ping_req(m, msg, now_ns);
	if (msg->kind == PEER_ACK)
		member_on_ack(m, msg, now_ns);
}

/* Take a new state and tell all who may hear it, without waiting for probes. */
static void announce(struct membership *m, bool leaving, uint64_t now_ns)
{
	int32_t self = member_index(m, m->conf.self);
	struct peer_msg msg;
	uint32_t i;

	m->leaving = leaving;
	m->all[self].state = leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
	m->all[self].incarnation = m->incarnation;
	m->trait[self].left = leaving;
	member_recount(m);
	for (i = 0; i < m->n; i++) {
		if (m->all[i].state == MEMBER_DEAD || i == (uint32_t)self)
			continue;
		msg = (struct peer_msg){ .kind = PEER_GOSSIP };
		member_add_item(m, &msg, self);
		member_send(m, m->all[i].vm, &msg);
	}
	member_due(m, now_ns);
}

/**
 * member_join() - tell everyone that this entry may own buckets now
 * @m: membership that was made joining
 * @now_ns: now
 *
 * A process that has just started knows next to nobody. Taken for alive at
 * its first answer it would be given flows, and would place and claim them by
 * a view that no one shares.
 */
void member_join(struct membership *m, uint64_t now_ns)
{
	if (!m->leaving)
		return;
	m->incarnation++;
	announce(m, false, now_ns);
}

/**
 * member_leave() - tell everyone that this entry goes
 * @m: membership
 * @now_ns: now
 */
void member_leave(struct membership *m, uint64_t now_ns)
{
	if (!m->leaving)
		announce(m, true, now_ns);
}

/**
 * member_next_ns() - when member_tick() has to be called next
 * @m: membership
 *
 * Return: deadline.
 */
uint64_t member_next_ns(const struct membership *m)
{
	return m->next_ns;
}

/**
 * member_view() - number of the set of live members
 * @m: membership
 *
 * Return: hash of the set; equal on entries that believe the same.
 */
uint64_t member_view(const struct membership *m)
{
	return m->view;
}

/**
 * member_all() - everyone known, self included, sorted by address
 * @m: membership
 * @out: set to the members, good until the next call into @m
 *
 * A listed VM that was never heard is there as MEMBER_DEAD, incarnation 0.
 *
 * Return: how many.
 */
uint32_t member_all(const struct membership *m, const struct member **out)
{
	*out = m->all;
	return m->n;
}

/**
 * member_find() - one member
 * @m: membership
 * @vm: its address
 *
 * Return: member, good until the next call into @m, or NULL.
 */
const struct member *member_find(const struct membership *m, uint64_t vm)
{
	int32_t i = member_index(m, vm);

	return i < 0 ? NULL : &m->all[i];
}

/**
 * member_majority() - whether this side of a partition may go on alone
 * @m: membership
 *
 * Return: true when more than half of the VMs listed and not leaving are live
 * here, or half with the lowest address; true without a list.
 */
bool member_majority(const struct membership *m)
{
	return m->majority;
}

/**
 * member_deaths() - how often this process heard itself declared dead
 * @m: membership
 *
 * Return: count; when it grows, buckets were held by others meanwhile and
 * ring_uncover() is due.
 */
uint64_t member_deaths(const struct membership *m)
{
	return m->deaths;
}
