/* Probes: rounds, indirect probes through other members, and acks. */
#include "member_impl.h"

static struct probe *find_free_probe(struct membership *m)
{
	uint32_t k;

	for (k = 0; k < m->n_probes; k++)
		if (!m->probe[k].seq)
			return &m->probe[k];
	return NULL;
}

static struct probe *find_probe(struct membership *m, uint64_t seq, uint64_t vm)
{
	uint32_t k;

	for (k = 0; seq && k < m->n_probes; k++)
		if (m->probe[k].seq == seq && m->probe[k].vm == vm)
			return &m->probe[k];
	return NULL;
}

static struct probe *ping(struct membership *m, uint64_t vm, uint64_t now_ns)
{
	struct peer_msg msg = { .kind = PEER_PING };
	struct probe *p = find_free_probe(m);

	if (!p)
		return NULL;
	*p = (struct probe){ .seq = ++m->seq, .vm = vm, .sent_ns = now_ns };
	p->deadline_ns = now_ns + m->conf.probe_timeout_ns;
	member_schedule_tick(m, p->deadline_ns);
	msg.seq = p->seq;
	member_send(m, vm, &msg);
	return p;
}

/* Each member is probed once per shuffle; every entry has its own order. */
static void shuffle_probe_order(struct membership *m)
{
	uint64_t swap;
	uint32_t i, k;

	m->n_probe_order = 0;
	m->order_next = 0;
	for (i = 0; i < m->n; i++)
		if (m->members[i].state != MEMBER_DEAD &&
		    m->members[i].vm != m->conf.self)
			m->probe_order[m->n_probe_order++] = m->members[i].vm;
	for (i = m->n_probe_order; i > 1; i--) {
		k = rng_next(&m->rng) % i;
		swap = m->probe_order[i - 1];
		m->probe_order[i - 1] = m->probe_order[k];
		m->probe_order[k] = swap;
	}
}

static uint32_t ping_next_in_order(struct membership *m, uint64_t now_ns)
{
	uint32_t sent = 0, looked = 0;
	int32_t i;

	while (sent < m->conf.probes_per_period && looked <= m->n_probe_order) {
		if (m->order_next == m->n_probe_order)
			shuffle_probe_order(m);
		if (!m->n_probe_order)
			break;
		looked++;
		i = member_find_index(m, m->probe_order[m->order_next++]);
		if (i < 0 || m->members[i].state == MEMBER_DEAD)
			continue;
		ping(m, m->members[i].vm, now_ns);
		sent++;
	}
	return sent;
}

/*
 * Dead members are probed too: they may be new, or on the other side of a
 * partition that has healed. All entries together send each of them as many
 * probes per period as a live one gets. One probe from each entry would
 * overload a process that resumes after a pause.
 */
static uint32_t dead_probe_count(struct membership *m, uint32_t unused)
{
	uint64_t share = (uint64_t)m->conf.probes_per_period * m->n_may_return;

	if (unused || !m->n_live)
		return unused;
	return rng_next(&m->rng) % m->n_live < share;
}

static void ping_dead(struct membership *m, uint32_t count, uint64_t now_ns)
{
	uint32_t k, i, start = rng_next(&m->rng) % m->n;

	for (k = 0; k < m->n && count; k++) {
		i = (start + k) % m->n;
		if (!member_may_return(m, i))
			continue;
		ping(m, m->members[i].vm, now_ns);
		count--;
	}
}

/**
 * member_probe_round() - send a round of probes when it is due; its size does
 *	not depend on the number of members
 * @m: membership
 * @now_ns: current time
 */
void member_probe_round(struct membership *m, uint64_t now_ns)
{
	uint32_t sent;

	if (now_ns < m->round_deadline_ns)
		return;
	m->round_deadline_ns = now_ns + m->conf.probe_period_ns;
	m->push_budget = PUSH_MESSAGES_PER_PERIOD;
	m->sync_budget = true;
	sent = ping_next_in_order(m, now_ns);
	ping_dead(m, dead_probe_count(m, m->conf.probes_per_period - sent),
		  now_ns);
	member_report_deaths(m);
}

static void request_indirect_probes(struct membership *m, struct probe *p,
				    uint64_t now_ns)
{
	struct peer_msg msg;
	uint64_t vm;
	uint32_t k;

	p->indirect = true;
	p->deadline_ns = now_ns + 2 * m->conf.probe_timeout_ns;
	for (k = 0; k < m->conf.indirect_probes; k++) {
		vm = member_random_live(m);
		if (vm == ADDR_NONE || vm == p->vm)
			continue;
		msg = (struct peer_msg){ .kind = PEER_PING_REQ,
					 .subject = p->vm,
					 .seq = p->seq };
		member_send(m, vm, &msg);
	}
}

static void start_suspicion(struct membership *m, uint32_t i, uint64_t now_ns)
{
	struct member *e = &m->members[i];
	struct gossip g = { .vm = e->vm,
			    .incarnation = e->incarnation,
			    .state = MEMBER_SUSPECT };

	if (e->state == MEMBER_ALIVE) {
		member_apply_update(m, &g, true, now_ns);
		member_notify_suspicion(m, i, now_ns);
	}
	if (e->state == MEMBER_LEAVING && !e->deadline_ns) {
		e->deadline_ns = now_ns + m->conf.suspect_timeout_ns;
		member_schedule_tick(m, e->deadline_ns);
	}
}

static void expire_probe(struct membership *m, struct probe *p, uint64_t now_ns)
{
	int32_t i = member_find_index(m, p->vm);
	bool heard;

	if (p->requester != ADDR_NONE || i < 0 ||
	    m->members[i].state == MEMBER_DEAD) {
		p->seq = 0;
		return;
	}
	heard = m->members[i].heard_ns >= p->sent_ns;
	if (!heard && !p->indirect) {
		request_indirect_probes(m, p, now_ns);
		return;
	}
	p->seq = 0;
	if (member_is_live(&m->members[i]))
		member_record_probe_outcome(m, heard);
	if (!heard)
		start_suspicion(m, i, now_ns);
}

/**
 * member_expire_probes() - request indirect probes of members that did not
 *	answer, or suspect them when these have failed too
 * @m: membership
 * @now_ns: current time
 */
void member_expire_probes(struct membership *m, uint64_t now_ns)
{
	struct probe *p;
	uint32_t k;

	for (k = 0; k < m->n_probes; k++) {
		p = &m->probe[k];
		if (p->seq && p->deadline_ns <= now_ns)
			expire_probe(m, p, now_ns);
	}
}

/**
 * member_on_ping() - answer a ping, with the whole view when it requests that
 * @m: membership
 * @msg: ping
 *
 * A process whose clock was set back at its restart has a lower incarnation
 * than the one known for its address, and all its messages would be ignored.
 * The ack carries the known incarnation, so that the process can override it.
 */
void member_on_ping(struct membership *m, const struct peer_msg *msg)
{
	struct peer_msg ack = { .kind = PEER_ACK,
				.seq = msg->seq,
				.subject = m->conf.self };
	int32_t i = member_find_index(m, msg->from);

	if (i >= 0 && m->members[i].incarnation > msg->incarnation)
		member_add_update(m, &ack, i);
	member_send(m, msg->from, &ack);
	if (msg->subject != msg->from || !m->sync_budget)
		return;
	m->sync_budget = false;
	member_send_view(m, msg->from);
}

/**
 * member_on_ping_req() - probe a member for another one
 * @m: membership
 * @msg: request; its subject is the member to probe
 * @now_ns: current time
 */
void member_on_ping_req(struct membership *m, const struct peer_msg *msg,
			uint64_t now_ns)
{
	struct probe *p;

	if (msg->subject == ADDR_NONE || msg->subject == m->conf.self)
		return;
	p = ping(m, msg->subject, now_ns);
	if (!p)
		return;
	p->requester = msg->from;
	p->requester_seq = msg->seq;
}

static void forward_ack(struct membership *m, const struct probe *p)
{
	struct peer_msg ack = { .kind = PEER_ACK,
				.seq = p->requester_seq,
				.subject = p->vm };

	member_send(m, p->requester, &ack);
}

/*
 * Updates are sent a limited number of times. A view that differs for some
 * periods is not repaired by them, so the sender's whole view is requested.
 */
static void sync_differing_view(struct membership *m,
				const struct peer_msg *msg, uint64_t now_ns)
{
	struct peer_msg ask = { .kind = PEER_PING, .subject = m->conf.self };
	uint64_t wait_ns = SYNC_AFTER_PERIODS * m->conf.probe_period_ns;

	if (msg->view == m->view) {
		m->sync_deadline_ns = DEADLINE_NEVER;
		return;
	}
	if (m->sync_deadline_ns == DEADLINE_NEVER)
		m->sync_deadline_ns = now_ns + wait_ns;
	if (now_ns < m->sync_deadline_ns)
		return;
	m->sync_deadline_ns = now_ns + wait_ns;
	member_send(m, msg->from, &ask);
}

/**
 * member_on_ack() - handle an ack, direct or forwarded by another member
 * @m: membership
 * @msg: ack
 * @now_ns: current time
 */
void member_on_ack(struct membership *m, const struct peer_msg *msg,
		   uint64_t now_ns)
{
	struct probe *p = find_probe(m, msg->seq, msg->subject);
	int32_t i;

	if (!p)
		return;
	if (p->requester != ADDR_NONE) {
		forward_ack(m, p);
		p->seq = 0;
		return;
	}
	i = member_find_index(m, p->vm);
	if (i >= 0 && member_is_live(&m->members[i]))
		member_record_probe_outcome(m, true);
	member_renew_lease(m, msg->from, p);
	p->seq = 0;
	sync_differing_view(m, msg, now_ns);
}
