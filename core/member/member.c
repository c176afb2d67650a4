/*
 * SWIM-like membership: each entry probes a few others per period, suspects one
 * before it declares it dead, and sends updates along with its probes. See
 * docs/design/membership.md.
 */
#include "member_impl.h"

#include <stdlib.h>

/* Slots for probes: some rounds of this entry, and probes for others. */
#define PROBE_ROUNDS 8
#define PROBES_FOR_OTHERS 64

/**
 * member_schedule_tick() - make the next tick due no later than a deadline
 * @m: membership
 * @deadline_ns: deadline
 */
void member_schedule_tick(struct membership *m, uint64_t deadline_ns)
{
	if (deadline_ns < m->next_ns)
		m->next_ns = deadline_ns;
}

/**
 * member_new() - make a membership that contains only this entry
 * @conf: settings, copied; the time of the process's start is a good
 *	incarnation, since it has to be higher than that of any earlier process
 *	at this address
 * @out: port for messages to other entries
 * @rng: random source of its own
 *
 * Return: membership, to be freed with member_free(); NULL when memory is
 * short.
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
	m->push_deadline_ns = DEADLINE_NEVER;
	m->n_probes = PROBE_ROUNDS * (conf->probes_per_period + 1) +
		      PROBES_FOR_OTHERS;
	m->probe = calloc(m->n_probes, sizeof(*m->probe));
	m->cap = MEMBERS_HEADROOM;
	m->members = calloc(m->cap, sizeof(*m->members));
	m->priv = calloc(m->cap, sizeof(*m->priv));
	m->probe_order = calloc(m->cap, sizeof(*m->probe_order));
	if (!m->probe || !m->members || !m->priv || !m->probe_order) {
		member_free(m);
		return NULL;
	}
	i = member_find_or_insert(m, conf->self);
	m->leaving = conf->joining;
	m->priv[i].has_left = conf->joining;
	m->members[i].state = conf->joining ? MEMBER_LEAVING : MEMBER_ALIVE;
	m->members[i].incarnation = conf->incarnation;
	member_update_totals(m);
	m->majority_before = m->majority;
	return m;
}

void member_free(struct membership *m)
{
	if (!m)
		return;
	free(m->probe);
	free(m->members);
	free(m->priv);
	free(m->probe_order);
	free(m);
}

static void postpone_deadlines(struct membership *m, uint64_t by_ns)
{
	uint32_t i;

	for (i = 0; i < m->n; i++)
		if (m->members[i].deadline_ns)
			m->members[i].deadline_ns += by_ns;
	for (i = 0; i < m->n_probes; i++)
		m->probe[i].deadline_ns += by_ns;
}

/* After the start or a pause the view is outdated and needs validation. */
static void reset_after_pause(struct membership *m, uint64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < m->n_probes; i++)
		m->probe[i].seq = 0;
	member_require_validation(m);
	m->n_outcomes = 0;
	m->round_deadline_ns = now_ns;
	m->sync_deadline_ns = now_ns;
	m->run_deadline_ns = now_ns + m->conf.lease_ns;
}

/*
 * Time during which this process did not run is no evidence against others, as
 * their answers may be unread in the socket. If the timers of a process that
 * was paused ran first, it would declare all members dead, or suspect as many
 * as it had probes in progress. So deadlines are postponed by the delay.
 */
static void handle_late_run(struct membership *m, uint64_t now_ns)
{
	bool ran_before = m->run_deadline_ns > 0;

	if (ran_before && now_ns > m->next_ns + m->conf.probe_timeout_ns) {
		postpone_deadlines(m, now_ns - m->next_ns);
		m->next_ns = now_ns;
	}
	if (now_ns >= m->run_deadline_ns)
		reset_after_pause(m, now_ns);
}

static void declare_dead(struct membership *m, uint32_t i, uint64_t now_ns)
{
	struct gossip g = { .vm = m->members[i].vm,
			    .incarnation = m->members[i].incarnation,
			    .state = MEMBER_DEAD };

	member_apply_update(m, &g, true, now_ns);
}

static void expire_members(struct membership *m, uint64_t now_ns)
{
	struct member *e;
	uint32_t i;

	for (i = m->n; i--;) {
		e = &m->members[i];
		if (!e->deadline_ns || e->deadline_ns > now_ns)
			continue;
		if (e->state != MEMBER_DEAD) {
			declare_dead(m, i, now_ns);
		} else {
			m->n_retransmitting -= m->priv[i].transmits_left > 0;
			m->n_unreported_deaths -=
				m->priv[i].unreported_death > 0;
			member_remove(m, i);
			member_update_totals(m);
		}
	}
}

static void update_next_ns(struct membership *m)
{
	uint32_t i;

	m->next_ns = m->round_deadline_ns;
	member_schedule_tick(m, m->push_deadline_ns);
	for (i = 0; i < m->n; i++)
		if (m->members[i].deadline_ns)
			member_schedule_tick(m, m->members[i].deadline_ns);
	for (i = 0; i < m->n_probes; i++)
		if (m->probe[i].seq)
			member_schedule_tick(m, m->probe[i].deadline_ns);
}

/**
 * member_tick() - send due probes and updates, apply expired deadlines
 * @m: membership
 * @now_ns: current time
 */
void member_tick(struct membership *m, uint64_t now_ns)
{
	handle_late_run(m, now_ns);
	m->run_deadline_ns = now_ns + m->conf.lease_ns;
	member_expire_probes(m, now_ns);
	expire_members(m, now_ns);
	member_probe_round(m, now_ns);
	member_push_updates(m, now_ns);
	member_track_majority(m, now_ns);
	update_next_ns(m);
}

/*
 * Record a sign of life of the sender; false when a newer process has its
 * address. Only messages of this module carry updates that say whether the
 * sender leaves or has yet to join: treating a forwarded datagram as a join
 * would give buckets to a process without a view. Other messages may carry the
 * incarnation with which the sender started.
 */
static bool record_sender(struct membership *m, const struct peer_msg *msg,
			  uint64_t now_ns)
{
	struct gossip g = { .vm = msg->from,
			    .incarnation = msg->incarnation,
			    .state = MEMBER_ALIVE };
	struct member *e;
	int32_t i;

	if (msg->kind <= PEER_GOSSIP)
		member_apply_update(m, &g, true, now_ns);
	i = member_find_index(m, msg->from);
	if (i < 0)
		return false;
	e = &m->members[i];
	if (msg->incarnation > e->incarnation ||
	    e->incarnation - msg->incarnation > REFUTATIONS_MAX)
		return false;
	e->heard_ns = now_ns;
	if (e->state == MEMBER_LEAVING)
		e->deadline_ns = 0;
	if (msg->kind != PEER_PING &&
	    (e->state == MEMBER_SUSPECT || e->state == MEMBER_DEAD))
		member_notify_suspicion(m, i, now_ns);
	return true;
}

/**
 * member_receive() - handle a message from another entry
 * @m: membership
 * @msg: message of any kind, authenticated; those of other modules count as a
 *	sign of life of the sender
 * @now_ns: current time
 */
void member_receive(struct membership *m, const struct peer_msg *msg,
		    uint64_t now_ns)
{
	bool view = msg->kind == PEER_GOSSIP && msg->subject == msg->from;
	bool current;
	uint32_t k;

	if (msg->from == m->conf.self || msg->from == ADDR_NONE)
		return;
	handle_late_run(m, now_ns);
	for (k = 0; k < msg->n_gossip && k < GOSSIP_UPDATES_MAX; k++)
		member_apply_update(m, &msg->gossip[k], !view, now_ns);
	current = record_sender(m, msg, now_ns);
	member_track_majority(m, now_ns);
	if (msg->kind == PEER_PING)
		member_on_ping(m, msg);
	if (!current)
		return;
	if (msg->kind == PEER_PING_REQ)
		member_on_ping_req(m, msg, now_ns);
	if (msg->kind == PEER_ACK)
		member_on_ack(m, msg, now_ns);
}

/* Set the own state and send it at once to all members that are not dead. */
static void announce_state(struct membership *m, bool leaving, uint64_t now_ns)
{
	int32_t self = member_find_index(m, m->conf.self);
	struct peer_msg msg;
	uint32_t i;

	m->leaving = leaving;
	m->members[self].state = leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
	m->members[self].incarnation = m->incarnation;
	m->priv[self].has_left = leaving;
	member_update_totals(m);
	for (i = 0; i < m->n; i++) {
		if (m->members[i].state == MEMBER_DEAD || i == (uint32_t)self)
			continue;
		msg = (struct peer_msg){ .kind = PEER_GOSSIP };
		member_add_update(m, &msg, self);
		member_send(m, m->members[i].vm, &msg);
	}
	member_schedule_tick(m, now_ns);
}

/**
 * member_join() - announce that this entry may own buckets now
 * @m: membership, created with conf.joining
 * @now_ns: current time
 *
 * A process that has just started has an incomplete view. Were it considered
 * alive from its first answer, it would get flows, and assign and claim them by
 * a view that no other entry shares.
 */
void member_join(struct membership *m, uint64_t now_ns)
{
	if (!m->leaving)
		return;
	m->incarnation++;
	announce_state(m, false, now_ns);
}

/**
 * member_leave() - announce that this entry leaves
 * @m: membership
 * @now_ns: current time
 */
void member_leave(struct membership *m, uint64_t now_ns)
{
	if (!m->leaving)
		announce_state(m, true, now_ns);
}

/**
 * member_next_ns() - when member_tick() is due
 * @m: membership
 *
 * Return: deadline.
 */
uint64_t member_next_ns(const struct membership *m)
{
	return m->next_ns;
}

/**
 * member_view_hash() - hash of the set of live members
 * @m: membership
 *
 * Return: hash; equal on entries with the same set.
 */
uint64_t member_view_hash(const struct membership *m)
{
	return m->view;
}

/**
 * member_all() - all members with this entry among them, sorted by address
 * @m: membership
 * @out: set to the members, valid until the next call that changes @m
 *
 * A listed VM that was never heard is MEMBER_DEAD with incarnation 0.
 *
 * Return: number of members.
 */
uint32_t member_all(const struct membership *m, const struct member **out)
{
	*out = m->members;
	return m->n;
}

/**
 * member_find() - find a member by its address
 * @m: membership
 * @vm: address
 *
 * Return: member, valid until the next call that changes @m; NULL when unknown.
 */
const struct member *member_find(const struct membership *m, uint64_t vm)
{
	int32_t i = member_find_index(m, vm);

	return i < 0 ? NULL : &m->members[i];
}

/**
 * member_has_majority() - whether this side of a partition has a majority
 * @m: membership
 *
 * Return: true when more than half of the VMs that are listed and not leaving
 * are alive, or exactly half with the lowest address among them; true without a
 * list.
 */
bool member_has_majority(const struct membership *m)
{
	return m->majority;
}

/**
 * member_self_deaths() - how often this entry was declared dead
 * @m: membership
 *
 * Return: number of updates that said so. When it grows, other entries have
 * held this entry's buckets meanwhile, and ring_restart_cover_time() has to be
 * called.
 */
uint64_t member_self_deaths(const struct membership *m)
{
	return m->deaths;
}
