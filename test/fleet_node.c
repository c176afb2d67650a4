/* Entries: the adapters' part, the platform's list and publications, faults. */
#include "fleet_state.h"

#include "ring.h"

#include <string.h>

#define TICK_MIN_NS MS(1)
#define FABRIC_LAG_NS MS(1000) /* until the fabric leaves a lost entry out */
#define LIST_LAG_NS MS(50)
#define CONFIG_SPREAD_NS MS(200)

static event_fn node_from_peer;

const struct fleet_system fleet_product = {
	.make = entry_new,
	.free = entry_free,
	.config = entry_config,
	.roster = entry_roster,
	.caller = entry_caller,
	.target = entry_target,
	.peer = entry_peer,
	.tick = entry_tick,
	.leave = entry_leave,
	.left = entry_left,
	.next_ns = entry_next_ns,
};

/* As adapters/coap_wire.h reads a datagram. */
static struct message message_of(const struct dgram *d)
{
	static const uint8_t empties[] = { MSG_PROBE, MSG_PROBE, MSG_ACK,
					   MSG_RESET };
	struct message m = {
		.kind = d->kind == DGRAM_REQUEST ? MSG_REQUEST : MSG_ANSWER,
		.flags = d->flags,
		.id = d->id,
		.token_len = d->token_len,
		.timeout_ns = d->timeout_ns,
		.load = d->load,
		.has_load = d->kind == DGRAM_ANSWER,
		.data = (const uint8_t *)d,
		.size_bytes = sizeof(*d),
	};

	memcpy(m.token, d->token, sizeof(m.token));
	if (d->kind == DGRAM_EMPTY)
		m.kind = empties[d->type];
	else if (d->type == WIRE_CONFIRM)
		m.flags |= MSG_CONFIRM;
	else if (d->type == WIRE_ACK)
		m.flags |= MSG_PIGGYBACK;
	return m;
}

static struct dgram dgram_of(const struct action *a)
{
	struct dgram d = { .kind = DGRAM_EMPTY };

	if (a->data && a->size_bytes == sizeof(d))
		memcpy(&d, a->data, sizeof(d));
	d.type = a->type;
	d.id = a->id;
	d.token_len = a->token_len;
	memcpy(d.token, a->token, sizeof(d.token));
	return d;
}

static void to_caller(struct fleet *f, uint32_t node, const struct action *a,
		      struct dgram d)
{
	uint32_t caller = CALLER_INDEX(a->key.caller);
	struct event *ev;

	trace_dgram(f, "e", node, "c", caller, &d);
	if (caller >= f->n_callers)
		return;
	if (a->kind == ACT_TO_CALLER && hook_at(f, POINT_ANSWER, d.op, node))
		return;
	ev = event_new(caller_from_node, caller);
	ev->key = a->key;
	ev->d = d;
	link_send(f, LINK_DOWN, ev);
}

static void to_target(struct fleet *f, uint32_t node, const struct action *a,
		      struct dgram d)
{
	uint32_t target = TARGET_INDEX(a->target);
	struct event *ev;

	trace_dgram(f, "e", node, "t", target, &d);
	if (target >= f->n_targets || f->cut_target[node][target])
		return;
	ev = event_new(target_from_node, target);
	ev->from = VM_ADDR(node);
	ev->d = d;
	link_send(f, LINK_TARGET, ev);
}

static void do_to_caller(struct fleet *f, uint32_t node, const struct action *a)
{
	to_caller(f, node, a, dgram_of(a));
}

static void do_to_target(struct fleet *f, uint32_t node, const struct action *a)
{
	struct dgram d = dgram_of(a);

	d.timeout_ns = a->timeout_ns;
	to_target(f, node, a, d);
}

static void do_answer(struct fleet *f, uint32_t node, const struct action *a)
{
	struct dgram d = dgram_of(a);

	d.kind = DGRAM_ANSWER;
	d.own = a->answer + 1;
	to_caller(f, node, a, d);
}

static void do_signal_caller(struct fleet *f, uint32_t node,
			     const struct action *a)
{
	struct dgram d = { .kind = DGRAM_EMPTY, .type = a->type, .id = a->id };

	to_caller(f, node, a, d);
}

static void do_signal_target(struct fleet *f, uint32_t node,
			     const struct action *a)
{
	struct dgram d = { .kind = DGRAM_EMPTY, .type = a->type, .id = a->id };

	to_target(f, node, a, d);
}

static void do_cancel(struct fleet *f, uint32_t node, const struct action *a)
{
	struct dgram d = dgram_of(a);

	d.kind = DGRAM_REQUEST;
	d.flags = MSG_FEED_CLOSE | MSG_IDEMPOTENT;
	to_target(f, node, a, d);
}

/* Size as adapters/wire.c codes it: header and MAC, then what is filled. */
static uint32_t peer_bytes(const struct peer_msg *m)
{
	return 64 + m->size_bytes + m->token_len + 16u * m->n_gossip +
	       32u * m->n_claims;
}

static void do_peer(struct fleet *f, uint32_t node, const struct action *a)
{
	const struct peer_msg *m = &a->peer;
	uint32_t to = VM_INDEX(a->vm);
	struct event *ev;

	trace_line(f, "e%u -> e%u peer %u claims %u seq %llu", node, to,
		   m->kind, m->n_claims, (unsigned long long)m->seq);
	f->verdict.peer_msgs++;
	f->verdict.peer_bytes += peer_bytes(m);
	if (m->kind == PEER_FORWARD)
		f->verdict.forwards++;
	if (m->kind == PEER_CLAIM)
		hook_at(f, POINT_CLAIM, FLEET_NONE, node);
	if (to >= f->n_nodes || f->cut[node][to])
		return;
	ev = event_new(node_from_peer, to);
	ev->peer = g_malloc(sizeof(*m) + m->size_bytes);
	memcpy(ev->peer, m, sizeof(*m));
	if (m->size_bytes > 0)
		memcpy(ev->peer + 1, m->data, m->size_bytes);
	ev->peer->data = (const uint8_t *)(ev->peer + 1);
	ev->from = VM_ADDR(node);
	link_send(f, LINK_PEER, ev);
}

static void do_note(struct fleet *f, uint32_t node, const struct action *a)
{
	trace_line(f, "e%u note %s c%u t%u", node, a->note,
		   CALLER_INDEX(a->key.caller), TARGET_INDEX(a->target));
}

static void (*const performers[])(struct fleet *, uint32_t,
				  const struct action *) = {
	[ACT_TO_CALLER] = do_to_caller,
	[ACT_TO_TARGET] = do_to_target,
	[ACT_ANSWER_CALLER] = do_answer,
	[ACT_SIGNAL_CALLER] = do_signal_caller,
	[ACT_SIGNAL_TARGET] = do_signal_target,
	[ACT_CANCEL_TARGET] = do_cancel,
	[ACT_PEER] = do_peer,
	[ACT_NOTE] = do_note,
};

static void gone(struct fleet *f, uint32_t i)
{
	struct node *n = &f->nodes[i];
	struct event *ev;

	f->system->free(n->state);
	n->state = NULL;
	n->up = false;
	n->frozen = false;
	while ((ev = g_queue_pop_head(&n->inbox)))
		event_free(ev);
}

static event_fn node_tick;

/* Does what the entry wants, then sees to its next tick. */
static void perform(struct fleet *f, uint32_t i)
{
	struct node *n = &f->nodes[i];
	uint64_t at_ns;

	for (uint32_t a = 0; a < f->out->n; a++)
		performers[f->out->a[a].kind](f, i, &f->out->a[a]);
	f->out->n = 0;
	if (n->leaving && f->system->left(n->state)) {
		trace_line(f, "e%u left", i);
		gone(f, i);
		return;
	}
	at_ns = f->system->next_ns(n->state);
	at_ns = MAX(at_ns, f->now_ns + TICK_MIN_NS);
	if (at_ns == UINT64_MAX ||
	    (n->tick_ns > f->now_ns && n->tick_ns <= at_ns))
		return;
	n->tick_ns = at_ns;
	event_at(f, at_ns, event_new(node_tick, i));
}

/* Whether the entry can take the event now; a frozen one finds it later. */
static bool takes(struct fleet *f, struct event *ev)
{
	struct node *n = &f->nodes[ev->node];

	if (n->up && !n->frozen)
		return true;
	if (n->up && g_queue_get_length(&n->inbox) < INBOX_MAX)
		g_queue_push_tail(&n->inbox, ev);
	else
		event_free(ev);
	return false;
}

static void node_tick(struct fleet *f, struct event *ev)
{
	struct node *n = &f->nodes[ev->node];

	if (n->up && !n->frozen && n->tick_ns == ev->at_ns) {
		f->system->tick(n->state, f->now_ns, f->out);
		perform(f, ev->node);
	}
	event_free(ev);
}

void node_from_caller(struct fleet *f, struct event *ev)
{
	struct message m = message_of(&ev->d);

	if (!takes(f, ev))
		return;
	f->system->caller(f->nodes[ev->node].state, &ev->key, &m, f->now_ns,
			  f->out);
	perform(f, ev->node);
	event_free(ev);
}

void node_from_target(struct fleet *f, struct event *ev)
{
	struct message m = message_of(&ev->d);

	if (!takes(f, ev))
		return;
	f->system->target(f->nodes[ev->node].state, ev->from, &m, f->now_ns,
			  f->out);
	perform(f, ev->node);
	event_free(ev);
}

static void node_from_peer(struct fleet *f, struct event *ev)
{
	struct message m;
	struct dgram d;
	bool whole = ev->peer->size_bytes == sizeof(d);

	if (!takes(f, ev))
		return;
	if (whole) {
		memcpy(&d, ev->peer->data, sizeof(d));
		m = message_of(&d);
	}
	f->system->peer(f->nodes[ev->node].state, ev->peer, whole ? &m : NULL,
			f->now_ns, f->out);
	perform(f, ev->node);
	event_free(ev);
}

static void give_roster(struct fleet *f, uint32_t i)
{
	uint64_t vms[FLEET_NODES_MAX];
	uint32_t n = 0;

	for (uint32_t v = 0; v < f->n_nodes; v++) {
		if (f->listed_seen & 1u << v)
			vms[n++] = VM_ADDR(v);
	}
	f->system->roster(f->nodes[i].state, vms, n, f->now_ns, f->out);
	perform(f, i);
}

static void node_roster(struct fleet *f, struct event *ev)
{
	if (!takes(f, ev))
		return;
	if (!f->nodes[ev->node].platform_cut)
		give_roster(f, ev->node);
	event_free(ev);
}

static void list_seen(struct fleet *f, struct event *ev)
{
	f->listed_seen = ev->arg;
	trace_line(f, "platform lists %x", ev->arg);
	for (uint32_t i = 0; i < f->n_nodes; i++) {
		struct event *each = event_new(node_roster, i);

		event_at(f, f->now_ns + fleet_random(f, LIST_LAG_NS), each);
	}
	event_free(ev);
}

static void list_changed(struct fleet *f)
{
	struct event *ev = event_new(list_seen, 0);

	ev->arg = f->listed;
	event_at(f, f->now_ns + f->list_lag_ns, ev);
}

/* A lag in milliseconds for changes from now on. */
void fleet_list_lag_ms(struct fleet *f, uint32_t lag_ms, uint32_t unused)
{
	(void)unused;
	f->list_lag_ns = MS(lag_ms);
}

static struct published *publish(struct fleet *f)
{
	static const char *const names[] = { "live", "readings" };
	struct published *p = g_new0(struct published, 1);

	for (uint32_t i = 0; i < f->n_targets; i++) {
		struct service_conf *s = &p->services[f->targets[i].service];
		uint32_t k = s->n_targets++;

		s->targets = p->targets[f->targets[i].service];
		s->targets[k] =
			(struct target_conf){ .addr = TARGET_ADDR(i),
					      .state = f->targets[i].state,
					      .weight = 100,
					      .slots = 2,
					      .connections = 200 };
	}
	for (uint32_t s = 0; s < FLEET_SERVICES; s++) {
		strcpy(p->services[s].name, names[s]);
		p->services[s].vip = VIP_ADDR(s);
		p->services[s].class = s == 0 ? CLASS_REPORT : CLASS_UPLOAD;
		p->services[s].target_dedups = f->plan.target_dedups;
		p->services[s].request_timeout_ns = MS(5000);
		p->services[s].queue_max = 100;
	}
	strcpy(p->account.name, "club");
	p->account.generation = ++f->generation;
	p->account.weight = 10;
	p->account.services = p->services;
	p->account.n_services = FLEET_SERVICES;
	p->config.accounts = &p->account;
	p->config.n_accounts = 1;
	g_ptr_array_add(f->published, p);
	return p;
}

static void give_config(struct fleet *f, uint32_t i, uint32_t which)
{
	struct published *p = f->published->pdata[which];

	f->system->config(f->nodes[i].state, &p->config, f->now_ns, f->out);
	perform(f, i);
}

static void node_config(struct fleet *f, struct event *ev)
{
	if (!takes(f, ev))
		return;
	give_config(f, ev->node, ev->arg);
	event_free(ev);
}

/* Publishes the targets' states; entries follow within @spread_ms. */
void fleet_publish(struct fleet *f, uint32_t spread_ms, uint32_t unused)
{
	(void)unused;
	publish(f);
	for (uint32_t i = 0; i < f->n_nodes; i++) {
		struct event *ev = event_new(node_config, i);

		ev->arg = f->published->len - 1;
		event_at(f, f->now_ns + fleet_random(f, MS(spread_ms) + 1), ev);
	}
}

static struct entry_conf conf_of(const struct fleet *f, uint32_t i)
{
	return (struct entry_conf){
		.member = { .self = VM_ADDR(i),
			    .incarnation = f->nodes[i].incarnation,
			    .probe_period_ns = MS(200),
			    .probe_timeout_ns = MS(100),
			    .suspect_timeout_ns = MS(600),
			    .lease_ns = MS(1000),
			    .probes = 2,
			    .indirect = 2 },
		.requests_max = 1024,
		.feeds_max = 1024,
		.claims_max = 8192,
		.flows_max = 1024,
		.settle_ns = MS(500),
		.cover_ns = COVER_NS,
		.claim_timeout_ns = MS(200),
		.probe_idle_ns = MS(2000),
		.drain_ns = MS(20000),
		.peer_bytes_per_s = 16000,
		.n_buckets = BUCKETS,
		.seed = f->plan.seed * FLEET_NODES_MAX + i,
	};
}

/* Starts a process at the address of entry @i, which may be a new one. */
void fleet_start(struct fleet *f, uint32_t i, uint32_t unused)
{
	struct node *n = &f->nodes[i];
	struct entry_conf conf;

	(void)unused;
	if (n->up)
		return;
	f->n_nodes = MAX(f->n_nodes, i + 1);
	n->incarnation = f->now_ns;
	conf = conf_of(f, i);
	n->state = f->system->make(&conf, f->now_ns);
	n->up = true;
	n->leaving = false;
	n->sprayed = true;
	n->tick_ns = 0;
	trace_line(f, "e%u starts", i);
	give_config(f, i, f->published->len - 1);
	if (!n->platform_cut)
		give_roster(f, i);
	f->listed |= 1u << i;
	list_changed(f);
}

static void unspray(struct fleet *f, uint32_t i, uint32_t incarnation_low)
{
	struct node *n = &f->nodes[i];

	if ((uint32_t)n->incarnation == incarnation_low)
		n->sprayed = false;
}

static void removed(struct fleet *f, uint32_t i)
{
	f->listed &= ~(1u << i);
	list_changed(f);
	fleet_at(f, f->now_ns + FABRIC_LAG_NS, unspray, i,
		 (uint32_t)f->nodes[i].incarnation);
}

void fleet_kill(struct fleet *f, uint32_t i, uint32_t unused)
{
	(void)unused;
	if (!f->nodes[i].up)
		return;
	trace_line(f, "e%u is killed", i);
	gone(f, i);
	removed(f, i);
}

/* Planned stop. */
void fleet_leave(struct fleet *f, uint32_t i, uint32_t unused)
{
	struct node *n = &f->nodes[i];

	(void)unused;
	if (!n->up || n->frozen || n->leaving)
		return;
	trace_line(f, "e%u is told to leave", i);
	removed(f, i);
	n->leaving = true;
	f->system->leave(n->state, f->now_ns, f->out);
	perform(f, i);
}

void fleet_freeze(struct fleet *f, uint32_t i, uint32_t for_ms)
{
	struct node *n = &f->nodes[i];

	if (!n->up || n->frozen)
		return;
	trace_line(f, "e%u freezes", i);
	n->frozen = true;
	fleet_at(f, f->now_ns + MS(for_ms), fleet_wake, i,
		 (uint32_t)n->incarnation);
}

/* Datagrams that waited come before timers, as in an event loop. */
void fleet_wake(struct fleet *f, uint32_t i, uint32_t incarnation_low)
{
	struct node *n = &f->nodes[i];
	struct event *ev;

	if (!n->frozen || (uint32_t)n->incarnation != incarnation_low)
		return;
	trace_line(f, "e%u wakes", i);
	n->frozen = false;
	while (n->up && (ev = g_queue_pop_head(&n->inbox)))
		ev->run(f, ev);
	if (!n->up)
		return;
	f->system->tick(n->state, f->now_ns, f->out);
	perform(f, i);
}

static void cut_set(struct fleet *f, uint32_t a, uint32_t b, bool on)
{
	trace_line(f, "link e%u e%u %s", a, b, on ? "cut" : "mended");
	f->cut[a][b] = on;
	f->cut[b][a] = on;
}

void fleet_cut(struct fleet *f, uint32_t a, uint32_t b)
{
	cut_set(f, a, b, true);
}

void fleet_mend(struct fleet *f, uint32_t a, uint32_t b)
{
	cut_set(f, a, b, false);
}

void fleet_cut_target(struct fleet *f, uint32_t node, uint32_t target)
{
	f->cut_target[node][target] = true;
}

void fleet_mend_target(struct fleet *f, uint32_t node, uint32_t target)
{
	f->cut_target[node][target] = false;
}

void fleet_cut_platform(struct fleet *f, uint32_t i, uint32_t unused)
{
	(void)unused;
	f->nodes[i].platform_cut = true;
}

void fleet_mend_platform(struct fleet *f, uint32_t i, uint32_t unused)
{
	(void)unused;
	f->nodes[i].platform_cut = false;
	event_at(f, f->now_ns + LIST_LAG_NS, event_new(node_roster, i));
}

void nodes_init(struct fleet *f)
{
	f->list_lag_ns = LIST_LAG_NS;
	publish(f);
	f->listed_seen = (1u << f->plan.nodes) - 1;
	for (uint32_t i = 0; i < f->plan.nodes; i++)
		fleet_start(f, i, 0);
}

void nodes_free(struct fleet *f)
{
	for (uint32_t i = 0; i < f->n_nodes; i++) {
		if (f->nodes[i].up)
			gone(f, i);
	}
}

uint32_t fleet_node_of(const struct fleet *f, uint64_t vm)
{
	uint32_t i = VM_INDEX(vm);

	return vm != ADDR_NONE && i < f->n_nodes ? i : FLEET_NONE;
}

uint32_t fleet_node_next(const struct fleet *f)
{
	return f->n_nodes;
}

bool fleet_node_up(const struct fleet *f, uint32_t node)
{
	return f->nodes[node].up;
}

struct ring_pair fleet_pair(struct fleet *f, uint32_t caller)
{
	const struct fake_caller *c = &f->callers[caller];
	struct flow_key key = { CALLER_ADDR(caller), VIP_ADDR(c->service) };
	struct ring_watch none = { 0 };
	struct ring *r = ring_new(BUCKETS, VM_ADDR(0), 0, 0, none);
	struct ring_pair pair;
	uint64_t vms[FLEET_NODES_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->n_nodes; i++) {
		if (f->nodes[i].up && !f->nodes[i].leaving)
			vms[n++] = VM_ADDR(i);
	}
	ring_update(r, vms, n, f->now_ns);
	pair = ring_at(r, ring_bucket(r, &key));
	ring_free(r);
	return pair;
}
