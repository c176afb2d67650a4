/* Probes: rounds, helpers, relayed answers, and what an answer proves. */
#include "member_impl.h"

static struct probe *free_probe(struct membership *m)
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
	struct probe *p = free_probe(m);

	if (!p)
		return NULL;
	*p = (struct probe){ .seq = ++m->seq, .vm = vm, .sent_ns = now_ns };
	p->deadline_ns = now_ns + m->conf.probe_timeout_ns;
	member_due(m, p->deadline_ns);
	msg.seq = p->seq;
	member_send(m, vm, &msg);
	return p;
}

/* Every member once a turn, in an order of this entry's own. */
static void shuffle(struct membership *m)
{
	uint64_t swap;
	uint32_t i, k;

	m->n_order = 0;
	m->order_at = 0;
	for (i = 0; i < m->n; i++)
		if (m->all[i].state != MEMBER_DEAD &&
		    m->all[i].vm != m->conf.self)
			m->order[m->n_order++] = m->all[i].vm;
	for (i = m->n_order; i > 1; i--) {
		k = rng_next(&m->rng) % i;
		swap = m->order[i - 1];
		m->order[i - 1] = m->order[k];
		m->order[k] = swap;
	}
}

static uint32_t ping_in_order(struct membership *m, uint64_t now_ns)
{
	uint32_t sent = 0, looked = 0;
	int32_t i;

	while (sent < m->conf.probes && looked <= m->n_order) {
		if (m->order_at == m->n_order)
			shuffle(m);
		if (!m->n_order)
			break;
		looked++;
		i = member_index(m, m->order[m->order_at++]);
		if (i < 0 || m->all[i].state == MEMBER_DEAD)
			continue;
		ping(m, m->all[i].vm, now_ns);
		sent++;
	}
	return sent;
}

/*
 * Silent members are probed too: they may be new, or on the other side of a
 * partition that has healed. All entries together send each of them as many
 * probes a period as a live one gets; one probe from each entry would bury a
 * process that wakes from a pause.
 */
static uint32_t silent_probes(struct membership *m, uint32_t unused)
{
	uint64_t share = (uint64_t)m->conf.probes * m->n_silent;

	if (unused || !m->n_live)
		return unused;
	return rng_next(&m->rng) % m->n_live < share;
}

static void ping_silent(struct membership *m, uint32_t count, uint64_t now_ns)
{
	uint32_t k, i, start = rng_next(&m->rng) % m->n;

	for (k = 0; k < m->n && count; k++) {
		i = (start + k) % m->n;
		if (!member_is_silent(m, i))
			continue;
		ping(m, m->all[i].vm, now_ns);
		count--;
	}
}

/**
 * member_round() - one round of probes, of the same size in any fleet
 * @m: membership
 * @now_ns: now
 */
void member_round(struct membership *m, uint64_t now_ns)
{
	uint32_t sent;

	if (now_ns < m->round_deadline_ns)
		return;
	m->round_deadline_ns = now_ns + m->conf.probe_period_ns;
	m->push_budget = PUSH_MESSAGES_PER_PERIOD;
	m->sync_budget = true;
	sent = ping_in_order(m, now_ns);
	ping_silent(m, silent_probes(m, m->conf.probes - sent), now_ns);
	member_tell_deaths(m);
}

static void ask_helpers(struct membership *m, struct probe *p, uint64_t now_ns)
{
	struct peer_msg msg;
	uint64_t vm;
	uint32_t k;

	p->indirect = true;
	p->deadline_ns = now_ns + 2 * m->conf.probe_timeout_ns;
	for (k = 0; k < m->conf.indirect; k++) {
		vm = member_random_live(m);
		if (vm == ADDR_NONE || vm == p->vm)
			continue;
		msg = (struct peer_msg){ .kind = PEER_PING_REQ,
					 .about = p->vm,
					 .seq = p->seq };
		member_send(m, vm, &msg);
	}
}

static void suspect(struct membership *m, uint32_t i, uint64_t now_ns)
{
	struct member *e = &m->all[i];
	struct gossip g = { .vm = e->vm,
			    .incarnation = e->incarnation,
			    .state = MEMBER_SUSPECT };

	if (e->state == MEMBER_ALIVE) {
		member_learn(m, &g, true, now_ns);
		member_tell(m, i, now_ns);
	}
	if (e->state == MEMBER_LEAVING && !e->deadline_ns) {
		e->deadline_ns = now_ns + m->conf.suspect_timeout_ns;
		member_due(m, e->deadline_ns);
	}
}

static void probe_expired(struct membership *m, struct probe *p,
			  uint64_t now_ns)
{
	int32_t i = member_index(m, p->vm);
	bool heard;

	if (p->origin != ADDR_NONE || i < 0 || m->all[i].state == MEMBER_DEAD) {
		p->seq = 0;
		return;
	}
	heard = m->all[i].heard_ns >= p->sent_ns;
	if (!heard && !p->indirect) {
		ask_helpers(m, p, now_ns);
		return;
	}
	p->seq = 0;
	if (member_is_live(&m->all[i]))
		member_note_outcome(m, heard);
	if (!heard)
		suspect(m, i, now_ns);
}

/**
 * member_probes_due() - what follows from probes that went unanswered
 * @m: membership
 * @now_ns: now
 */
void member_probes_due(struct membership *m, uint64_t now_ns)
{
	struct probe *p;
	uint32_t k;

	for (k = 0; k < m->n_probes; k++) {
		p = &m->probe[k];
		if (p->seq && p->deadline_ns <= now_ns)
			probe_expired(m, p, now_ns);
	}
}

/**
 * member_on_ping() - answer a probe; with the whole view when it asks for it
 * @m: membership
 * @msg: the ping
 *
 * A process whose clock went back at its restart has a lower incarnation than
 * is known of its address. Nobody would ever listen to it; so it is told.
 */
void member_on_ping(struct membership *m, const struct peer_msg *msg)
{
	struct peer_msg ack = { .kind = PEER_ACK,
				.seq = msg->seq,
				.about = m->conf.self };
	int32_t i = member_index(m, msg->from);

	if (i >= 0 && m->all[i].incarnation > msg->incarnation)
		member_add_item(m, &ack, i);
	member_send(m, msg->from, &ack);
	if (msg->about != msg->from || !m->sync_budget)
		return;
	m->sync_budget = false;
	member_send_view(m, msg->from);
}

/**
 * member_on_ping_req() - probe somebody for another
 * @m: membership
 * @msg: who is to be probed
 * @now_ns: now
 */
void member_on_ping_req(struct membership *m, const struct peer_msg *msg,
			uint64_t now_ns)
{
	struct probe *p;

	if (msg->about == ADDR_NONE || msg->about == m->conf.self)
		return;
	p = ping(m, msg->about, now_ns);
	if (!p)
		return;
	p->origin = msg->from;
	p->origin_seq = msg->seq;
}

static void relay_ack(struct membership *m, const struct probe *p)
{
	struct peer_msg ack = { .kind = PEER_ACK,
				.seq = p->origin_seq,
				.about = p->vm };

	member_send(m, p->origin, &ack);
}

/*
 * A view that differs for some periods won't mend by news alone, which is
 * sent a bounded number of times: ask for all of it.
 */
static void compare_views(struct membership *m, const struct peer_msg *msg,
			  uint64_t now_ns)
{
	struct peer_msg ask = { .kind = PEER_PING, .about = m->conf.self };
	uint64_t wait_ns = SYNC_AFTER_PERIODS * m->conf.probe_period_ns;

	if (msg->view == m->view) {
		m->sync_deadline_ns = NEVER;
		return;
	}
	if (m->sync_deadline_ns == NEVER)
		m->sync_deadline_ns = now_ns + wait_ns;
	if (now_ns < m->sync_deadline_ns)
		return;
	m->sync_deadline_ns = now_ns + wait_ns;
	member_send(m, msg->from, &ask);
}

/**
 * member_on_ack() - a probe was answered, here or to a helper
 * @m: membership
 * @msg: the ack
 * @now_ns: now
 */
void member_on_ack(struct membership *m, const struct peer_msg *msg,
		   uint64_t now_ns)
{
	struct probe *p = find_probe(m, msg->seq, msg->about);
	int32_t i;

	if (!p)
		return;
	if (p->origin != ADDR_NONE) {
		relay_ack(m, p);
		p->seq = 0;
		return;
	}
	i = member_index(m, p->vm);
	if (i >= 0 && member_is_live(&m->all[i]))
		member_note_outcome(m, true);
	member_acked(m, msg->from, p);
	p->seq = 0;
	compare_views(m, msg, now_ns);
}
