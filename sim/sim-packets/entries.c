/* Entries: the real decisions, behind ports that lead into the emulator. */
#include "world_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_NS (20 * NS_PER_MS)
#define HEAD_BYTES 32
/* Of the envelope, IP and UDP. */
#define OUTER_BYTES 36
/* A link keeps what it carries within this time, and loses the rest. */
#define LINK_KEEPS_NS (50 * NS_PER_MS)
/* Of a connection's first packet. */
#define SYN_BYTES 60
/* A heartbeat among a few others, with IP and UDP. */
#define HELLO_BYTES 150
#define PEER_TIMEOUT_NS (800 * NS_PER_MS)
/* An event carries a position as one number. */
#define EPOCH_SHIFT 48

static uint64_t entry_addr(uint32_t i)
{
	return ADDR(PEER_IP + i, PEER_PORT);
}

static uint32_t entry_at(uint64_t addr)
{
	return ADDR_IP(addr) - PEER_IP;
}

static bool runs(const struct sim_entry *e)
{
	return e->up && !e->frozen;
}

static void on_tick(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->a];

	if (!s->up || s->boot != e->b)
		return;
	world_at(w, TICK_NS, on_tick, e->a, e->b, 0);
	if (s->frozen)
		return;
	node_process_stalled(s->node, w->now_ns - s->ran_ns, w->now_ns);
	s->ran_ns = w->now_ns;
	node_tick(s->node, w->now_ns);
	if (node_may_exit(s->node, w->now_ns))
		world_entry_ended(w, (uint32_t)e->a);
}

/*
 * A datagram is handed to an entry's link. Return: time until it has left the
 * link; UINT64_MAX when it is lost, since too much is before it.
 */
static uint64_t link_ns(struct world *w, struct sim_entry *e, uint32_t bytes)
{
	uint64_t rate = w->conf.site.link_bytes_per_s;

	if (!rate)
		return 0;
	if (e->link_free_ns < w->now_ns)
		e->link_free_ns = w->now_ns;
	if (e->link_free_ns > w->now_ns + LINK_KEEPS_NS)
		return UINT64_MAX;
	e->link_free_ns += bytes * NS_PER_S / rate;
	return e->link_free_ns - w->now_ns;
}

static uint32_t letter_with(struct world *w, const struct hello *h)
{
	uint32_t i = w->spare_letter;

	if (i == LETTERS_MAX)
		abort(); /* a mistake of the emulator */
	w->spare_letter = w->letters[i].next;
	w->letters[i].hello = *h;
	return i;
}

static void on_hello(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->a];
	struct letter *l = &w->letters[e->b];

	if (runs(s))
		node_receive_hello(s->node, &l->hello, w->now_ns);
	l->next = w->spare_letter;
	w->spare_letter = (uint32_t)e->b;
}

static void send_hello(void *ctx, const uint64_t *to, uint32_t n,
		       const struct hello *h)
{
	struct port_ctx *c = ctx;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t at = entry_at(to[i]);
		uint64_t link = link_ns(c->w, c->e, HELLO_BYTES);
		uint32_t zone;

		pacer_charge(c->e->node->pacer, HELLO_BYTES, c->w->now_ns);
		if (at >= c->w->n_entries || link == UINT64_MAX)
			continue;
		zone = c->w->entries[at].zone;
		if (!world_cut(c->w, c->e->zone, zone))
			world_at(c->w,
				 link + world_way_ns(c->w, c->e->zone, zone),
				 on_hello, at, letter_with(c->w, h), 0);
	}
}

static void on_fetched(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->a];
	struct sim_entry *peer = &w->entries[e->b];
	struct position after = { e->c >> EPOCH_SHIFT,
				  e->c & ((1ULL << EPOCH_SHIFT) - 1) };
	const struct documents *from = peer->node->documents;
	struct relay_head head;

	if (!runs(s))
		return;
	if (!runs(peer) || world_cut(w, s->zone, peer->zone)) {
		node_fetch_end(s->node, NULL, w->now_ns);
		return;
	}
	head.through = documents_synced(from);
	head.newest = documents_newest(from);
	head.floor = documents_floor(from);
	head.whole = documents_peer_needs_full(from, after);
	if (!node_fetch_begin(s->node, &head, w->now_ns)) {
		node_fetch_end(s->node, NULL, w->now_ns);
		return;
	}
	for (uint32_t i = 0; i < documents_count(from); i++) {
		const struct document *d = documents_at(from, i);

		if (head.whole)
			node_take_relay_listed(s->node, d);
		else if (documents_peer_lacks(from, after, d))
			node_take_relayed(s->node, d);
	}
	node_fetch_end(s->node, &head, w->now_ns);
}

static void cancel(void *ctx)
{
	struct port_ctx *c = ctx;

	c->e->list_due_ns = 0;
}

static void fetch(void *ctx, uint64_t peer, struct position after)
{
	struct port_ctx *c = ctx;
	uint32_t at = entry_at(peer);
	bool there = runs(&c->w->entries[at]) &&
		     !world_cut(c->w, c->e->zone, c->w->entries[at].zone);

	world_at(c->w, there ? 2 * c->w->conf.site.far_ns : PEER_TIMEOUT_NS,
		 on_fetched, (uint32_t)(c->e - c->w->entries), at,
		 after.epoch << EPOCH_SHIFT | after.revision);
}

/* A connection attempt under way; an event carries its number. */
static uint32_t attempt_with(struct world *w, uint32_t entry,
			     const struct target *t)
{
	uint32_t i = w->next_attempt++ % ATTEMPTS_MAX;

	w->attempts[i] =
		(struct sim_attempt){ entry, target_incarnation(t), w->now_ns };
	return i;
}

static void on_probed(struct world *w, const struct event *e)
{
	const struct sim_attempt *a = &w->attempts[e->a];
	struct sim_entry *s = &w->entries[a->entry];

	if (runs(s))
		node_probe_ended(s->node, &a->who, (enum probe_outcome)e->b,
				 a->since_ns, w->now_ns);
}

static void probe(void *ctx, const struct target *t)
{
	struct port_ctx *c = ctx;
	uint32_t at = targets_at(c->w, t->advertised.addr);
	const struct sim_target *s = &c->w->targets[at];
	enum probe_outcome outcome = PROBE_ACCEPTED;
	uint64_t way_ns = 2 * world_way_ns(c->w, c->e->zone, s->zone);
	uint64_t wait_ns =
		path_probe_timeout_ns(c->e->node->path, c->w->now_ns);
	uint64_t link = link_ns(c->w, c->e, SYN_BYTES);
	uint32_t number =
		attempt_with(c->w, (uint32_t)(c->e - c->w->entries), t);
	bool lost = s->dark || link == UINT64_MAX ||
		    world_cut(c->w, c->e->zone, s->zone);

	c->w->report.probes++;
	if (!lost)
		way_ns += link;
	/* Silent at first; a late answer is heard all the same. */
	if (lost || way_ns > wait_ns)
		world_at(c->w, wait_ns, on_probed, number, PROBE_SILENT, 0);
	if (lost)
		return;
	if (!s->alive)
		outcome = PROBE_REFUSED;
	world_at(c->w, way_ns, on_probed, number, outcome, 0);
}

static uint32_t user_of(const struct world *w, const struct flow_key *flow)
{
	uint32_t i = ADDR_IP(flow->caller) - w->users[0].ip;

	return i < w->n_users ? i : UINT32_MAX;
}

static void on_forward(struct world *w, const struct event *e)
{
	struct sim_packet k = {
		.user = (uint32_t)(e->b >> 32),
		.port = (uint16_t)(e->a >> 32),
		.flags = (uint8_t)(e->a >> 48),
		.size_bytes = (uint16_t)(e->c >> 32),
		.seq = (uint32_t)e->c,
	};

	targets_packet(w, (uint32_t)e->a, (uint32_t)e->b, &k);
}

/* The intended target alone takes the packet, whoever has its address now. */
static void carry(struct world *w, struct sim_entry *e, const struct target *t,
		  const struct sim_packet *k)
{
	uint32_t at = targets_at(w, t->advertised.addr);
	const struct sim_target *s = &w->targets[at];
	uint32_t bytes = k->size_bytes + HEAD_BYTES;
	uint64_t link = link_ns(w, e, bytes + OUTER_BYTES);

	if (s->zone != e->zone)
		w->report.far_bytes += bytes;
	if (link == UINT64_MAX || s->news.id != t->advertised.id || !s->alive ||
	    world_cut(w, e->zone, s->zone)) {
		w->users[k->user].gone = true;
		return;
	}
	world_at(w, link + world_way_ns(w, e->zone, s->zone), on_forward,
		 (uint64_t)k->flags << 48 | (uint64_t)k->port << 32 | at,
		 (uint64_t)k->user << 32 | (uint32_t)(e - w->entries),
		 (uint64_t)k->size_bytes << 32 | k->seq);
}

static void pace(struct world *w, struct sim_entry *e);

static void on_pace(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->a];
	struct datagram d;

	s->pacing = false;
	if (!runs(s) || s->boot != e->b)
		return;
	while (pacer_dequeue(s->node->pacer, w->now_ns, &d)) {
		const struct target *t =
			directory_by_id(s->node->directory, d.destination);
		struct sim_packet k;

		memcpy(&k, d.head, sizeof(k));
		if (t)
			carry(w, s, t, &k);
	}
	pace(w, s);
}

static void pace(struct world *w, struct sim_entry *e)
{
	uint64_t due_ns = pacer_due_ns(e->node->pacer);

	if (!due_ns || e->pacing)
		return;
	e->pacing = true;
	world_at(w, due_ns > w->now_ns ? due_ns - w->now_ns : 0, on_pace,
		 (uint64_t)(e - w->entries), e->boot, 0);
}

/* As the process does it: at once, or when the link has room. */
static void forward(struct world *w, struct sim_entry *e,
		    const struct target *t, const struct sim_packet *k)
{
	struct packet p = { .flow = users_flow(w, k->user, k->port),
			    .seq = k->seq,
			    .size_bytes = k->size_bytes };
	uint8_t kind = w->classes[w->users[k->user].class].kind;
	enum pacer_class c = pacer_classify(&p, kind);
	uint8_t bytes[HEAD_BYTES + SEGMENT_BYTES];
	struct datagram d = { .destination = t->advertised.id,
			      .copy_id = pacer_copy_id(&p),
			      .head = bytes,
			      .head_bytes = HEAD_BYTES + k->size_bytes };

	if (pacer_try_send(e->node->pacer, c, d.head_bytes, w->now_ns)) {
		carry(w, e, t, k);
		return;
	}
	memcpy(bytes, k, sizeof(*k));
	pacer_enqueue(e->node->pacer, c, &d);
	pace(w, e);
}

static void again(void *ctx, const struct flow_state *f, uint8_t reason)
{
	struct port_ctx *c = ctx;
	struct sim_packet k = {
		.user = user_of(c->w, &f->key),
		.port = ADDR_PORT(f->key.caller),
		.flags = f->stage == FLOW_OPENING ? PACKET_SYN : PACKET_ACK,
	};

	(void)reason;
	if (k.user != UINT32_MAX)
		forward(c->w, c->e, f->target, &k);
}

/* A packet that has waited; which one it was, its flow's end knows. */
static void send_on(void *ctx, const struct flow_state *f, const uint8_t *bytes,
		    uint32_t n_bytes)
{
	struct port_ctx *c = ctx;
	struct sim_packet k = {
		.user = user_of(c->w, &f->key),
		.port = ADDR_PORT(f->key.caller),
		.flags = PACKET_ACK,
		.size_bytes = (uint16_t)(n_bytes - HEAD_BYTES),
	};

	memcpy(&k.seq, bytes, sizeof(k.seq));
	if (k.user != UINT32_MAX)
		forward(c->w, c->e, f->target, &k);
}

static void on_reset(struct world *w, const struct event *e)
{
	struct flow_key flow = { e->a, e->b };

	users_reset(w, &flow, (uint32_t)e->c);
}

static void reset(struct world *w, struct sim_entry *e,
		  const struct flow_key *flow)
{
	world_at(w, w->conf.site.client_ns, on_reset, flow->caller, flow->vip,
		 (uint32_t)(e - w->entries));
}

static void reset_flow(void *ctx, const struct flow_state *f)
{
	struct port_ctx *c = ctx;

	reset(c->w, c->e, &f->key);
}

static void no_health(void *ctx, const struct target *t, uint8_t was)
{
	(void)ctx;
	(void)t;
	(void)was;
}

static void no_log(void *ctx, enum node_log_level level, const char *step,
		   const char *peer, const char *format, ...)
{
	(void)ctx;
	(void)level;
	(void)step;
	(void)peer;
	(void)format;
}

static void start(void *ctx, struct world *w, uint32_t entry)
{
	struct sim_entry *e = &w->entries[entry];
	struct node_conf conf = {
		.policy = w->conf.policy,
		.self = entry_addr(entry),
		.boot = rng_next(&w->rng) >> 1,
		.link_bytes_per_s = w->conf.site.link_told
					    ? w->conf.site.link_bytes_per_s
					    : 0,
		.cold = { (float)COLD_OVERRUN, (float)COLD_SLACK },
		.flows_max = 16384,
		.flow_lifetime_ns = 60 * NS_PER_S,
		.stop_ns = 4500 * NS_PER_MS,
		.n_seeds = 3,
		.seeds = { entry_addr(0), entry_addr(1), entry_addr(2) },
	};
	struct node_port port = {
		.ctx = &w->contexts[entry],
		.list = store_list,
		.watch = store_watch,
		.cancel = cancel,
		.fetch = fetch,
		.hello = send_hello,
		.probe = probe,
		.resend = again,
		.send_queued = send_on,
		.reset = reset_flow,
		.health = no_health,
		.decode = store_decode,
		.log = no_log,
	};

	(void)ctx;
	snprintf(conf.data_centre, sizeof(conf.data_centre), "%s",
		 w->conf.site.zones[e->zone].name);
	w->contexts[entry] = (struct port_ctx){ w, e };
	node_free(e->node);
	e->node = node_new(&conf, port, w->now_ns);
	e->boot = conf.boot;
	e->up = true;
	e->frozen = false;
	e->watching = false;
	e->pacing = false;
	e->ran_ns = w->now_ns;
	world_mark_entry(w, entry, true);
	world_at(w, 0, on_tick, entry, e->boot, 0);
}

static void packet(void *ctx, struct world *w, uint32_t entry,
		   const struct sim_packet *k)
{
	uint8_t bytes[HEAD_BYTES + SEGMENT_BYTES];
	struct sim_entry *e = &w->entries[entry];
	struct sim_user *u = &w->users[k->user];
	struct packet p = {
		.flow = users_flow(w, k->user, k->port),
		.cookie = k->flags & PACKET_SYN ? 0 : u->cookie,
		.seq = k->seq,
		.ack = k->ack,
		.size_bytes = k->size_bytes,
		.flags = k->flags,
		.bytes = bytes,
		.n_bytes = HEAD_BYTES + k->size_bytes,
	};
	struct path_verdict v;

	(void)ctx;
	memcpy(bytes, &k->seq, sizeof(k->seq));
	if (!runs(e)) {
		u->lost = true;
		return;
	}
	node_packet(e->node, &p, w->now_ns, &v);
	if (v.action == PATH_FORWARD)
		forward(w, e, v.target, k);
	else if (v.action == PATH_RESET)
		reset(w, e, &p.flow);
	else if (v.reason == PATH_no_routes_yet)
		u->lost = true;
}

static void end(void *ctx, struct world *w, uint32_t entry)
{
	(void)ctx;
	w->entries[entry].up = false;
	world_mark_entry(w, entry, false);
}

static void stop(void *ctx, struct world *w, uint32_t entry)
{
	struct sim_entry *e = &w->entries[entry];

	(void)ctx;
	if (runs(e))
		node_stop(e->node, w->now_ns);
}

static void freeze(void *ctx, struct world *w, uint32_t entry, bool frozen)
{
	(void)ctx;
	w->entries[entry].frozen = frozen;
	world_mark_entry(w, entry, !frozen);
}

static bool ready(void *ctx, struct world *w, uint32_t entry)
{
	const struct sim_entry *e = &w->entries[entry];

	(void)ctx;
	return runs(e) && e->node->ready;
}

/* The emulator's own entries. */
struct entry_driver entries_emulated(void)
{
	return (struct entry_driver){ NULL,   start, end,    stop,
				      freeze, ready, packet, NULL };
}
