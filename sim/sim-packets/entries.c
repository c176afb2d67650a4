/* Entries: the real node, with ports that lead into the emulator. */
#include "world_state.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_NS (20 * NS_PER_MS)
#define HEADER_BYTES 32
/* Encapsulation, with IP and UDP headers. */
#define ENCAPSULATION_BYTES 36
/* A link queues packets for up to this time and drops further ones. */
#define LINK_QUEUE_NS (50 * NS_PER_MS)
/* Size of a SYN. */
#define SYN_BYTES 60
/* Size of a heartbeat with IP and UDP headers. */
#define HELLO_BYTES 150
#define PEER_TIMEOUT_NS (800 * NS_PER_MS)
/* A position is packed into one argument of an event, epoch above revision. */
#define EPOCH_SHIFT 48

static uint64_t entry_addr(uint32_t i)
{
	return ADDR(PEER_IP + i, PEER_PORT);
}

static uint32_t entry_index(uint64_t addr)
{
	return ADDR_IP(addr) - PEER_IP;
}

static bool is_running(const struct sim_entry *e)
{
	return e->up && !e->frozen;
}

static void on_tick(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->arg0];

	if (!s->up || s->boot != e->arg1)
		return;
	world_schedule(w, TICK_NS, on_tick, e->arg0, e->arg1, 0);
	if (s->frozen)
		return;
	node_process_stalled(s->node, w->now_ns - s->last_tick_ns, w->now_ns);
	s->last_tick_ns = w->now_ns;
	node_tick(s->node, w->now_ns);
	if (node_may_exit(s->node, w->now_ns))
		world_entry_ended(w, (uint32_t)e->arg0);
}

/*
 * Queue a datagram on an entry's link. Return: time until it has left the link;
 * UINT64_MAX if it is dropped because the queue is full.
 */
static uint64_t link_delay_ns(struct world *w, struct sim_entry *e,
			      uint32_t bytes)
{
	uint64_t rate = w->conf.site.link_bytes_per_s;

	if (!rate)
		return 0;
	if (e->link_free_ns < w->now_ns)
		e->link_free_ns = w->now_ns;
	if (e->link_free_ns > w->now_ns + LINK_QUEUE_NS)
		return UINT64_MAX;
	e->link_free_ns += bytes * NS_PER_S / rate;
	return e->link_free_ns - w->now_ns;
}

static uint32_t hello_alloc(struct world *w, const struct hello *h)
{
	uint32_t i = w->free_hello;

	if (i == HELLOS_IN_FLIGHT_MAX)
		abort(); /* bug in the emulator */
	w->free_hello = w->hellos_in_flight[i].next;
	w->hellos_in_flight[i].hello = *h;
	return i;
}

static void on_hello(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->arg0];
	struct hello_in_flight *l = &w->hellos_in_flight[e->arg1];

	if (is_running(s))
		node_receive_hello(s->node, &l->hello, w->now_ns);
	l->next = w->free_hello;
	w->free_hello = (uint32_t)e->arg1;
}

static void send_hello(void *ctx, const uint64_t *to, uint32_t n,
		       const struct hello *h)
{
	struct port_ctx *c = ctx;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t at = entry_index(to[i]);
		uint64_t delay_ns = link_delay_ns(c->w, c->entry, HELLO_BYTES);
		uint32_t zone;

		pacer_charge(c->entry->node->pacer, HELLO_BYTES, c->w->now_ns);
		if (at >= c->w->n_entries || delay_ns == UINT64_MAX)
			continue;
		zone = c->w->entries[at].zone;
		if (!world_is_partitioned(c->w, c->entry->zone, zone))
			world_schedule(c->w,
				       delay_ns + world_one_way_ns(
							  c->w, c->entry->zone,
							  zone),
				       on_hello, at, hello_alloc(c->w, h), 0);
	}
}

static void on_fetched(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->arg0];
	struct sim_entry *peer = &w->entries[e->arg1];
	struct position after = { e->arg2 >> EPOCH_SHIFT,
				  e->arg2 & ((1ULL << EPOCH_SHIFT) - 1) };
	const struct documents *from = peer->node->documents;
	struct relay_head head;

	if (!is_running(s))
		return;
	if (!is_running(peer) || world_is_partitioned(w, s->zone, peer->zone)) {
		node_fetch_end(s->node, NULL, w->now_ns);
		return;
	}
	head.through = documents_synced(from);
	head.newest = documents_newest(from);
	head.floor = documents_floor(from);
	head.is_full_state = documents_peer_needs_full(from, after);
	if (!node_fetch_begin(s->node, &head, w->now_ns)) {
		node_fetch_end(s->node, NULL, w->now_ns);
		return;
	}
	for (uint32_t i = 0; i < documents_count(from); i++) {
		const struct document *d = documents_at(from, i);

		if (head.is_full_state)
			node_take_relay_listed(s->node, d);
		else if (documents_peer_lacks(from, after, d))
			node_take_relayed(s->node, d);
	}
	node_fetch_end(s->node, &head, w->now_ns);
}

static void cancel(void *ctx)
{
	struct port_ctx *c = ctx;

	c->entry->list_answer_ns = 0;
}

static void fetch(void *ctx, uint64_t peer, struct position after)
{
	struct port_ctx *c = ctx;
	uint32_t at = entry_index(peer);
	bool is_reachable = is_running(&c->w->entries[at]) &&
			    !world_is_partitioned(c->w, c->entry->zone,
						  c->w->entries[at].zone);

	world_schedule(c->w,
		       is_reachable ? 2 * c->w->conf.site.other_dc_delay_ns
				    : PEER_TIMEOUT_NS,
		       on_fetched, (uint32_t)(c->entry - c->w->entries), at,
		       after.epoch << EPOCH_SHIFT | after.revision);
}

/* Record a connection attempt. Return: its index, for an event. */
static uint32_t attempt_alloc(struct world *w, uint32_t entry,
			      const struct target *t)
{
	uint32_t i = w->next_attempt++ % ATTEMPTS_MAX;

	w->attempts[i] =
		(struct sim_attempt){ entry, target_incarnation(t), w->now_ns };
	return i;
}

static void on_probed(struct world *w, const struct event *e)
{
	const struct sim_attempt *a = &w->attempts[e->arg0];
	struct sim_entry *s = &w->entries[a->entry];

	if (is_running(s))
		node_probe_ended(s->node, &a->incarnation,
				 (enum probe_outcome)e->arg1, a->start_ns,
				 w->now_ns);
}

static int probe(void *ctx, const struct target *t)
{
	struct port_ctx *c = ctx;
	uint32_t at = targets_find_by_addr(c->w, t->advertised.addr);
	const struct sim_target *s =
		at != UINT32_MAX ? &c->w->targets[at] : NULL;
	enum probe_outcome outcome = PROBE_ACCEPTED;
	uint64_t round_trip_ns =
		s ? 2 * world_one_way_ns(c->w, c->entry->zone, s->zone) : 0;
	uint64_t timeout_ns =
		path_probe_timeout_ns(c->entry->node->path, c->w->now_ns);
	uint64_t delay_ns = link_delay_ns(c->w, c->entry, SYN_BYTES);
	uint32_t index =
		attempt_alloc(c->w, (uint32_t)(c->entry - c->w->entries), t);
	bool lost = !s || s->vm_down || delay_ns == UINT64_MAX ||
		    world_is_partitioned(c->w, c->entry->zone, s->zone);

	c->w->report.probes++;
	if (!lost)
		round_trip_ns += delay_ns;
	/* The attempt times out first; a late answer is reported too. */
	if (lost || round_trip_ns > timeout_ns)
		world_schedule(c->w, timeout_ns, on_probed, index, PROBE_SILENT,
			       0);
	if (lost)
		return 0;
	if (!s->alive)
		outcome = PROBE_REFUSED;
	world_schedule(c->w, round_trip_ns, on_probed, index, outcome, 0);
	return 0;
}

static uint32_t find_user(const struct world *w, const struct flow_key *flow)
{
	uint32_t i = ADDR_IP(flow->caller) - w->users[0].ip;

	return i < w->n_users ? i : UINT32_MAX;
}

static void on_forward(struct world *w, const struct event *e)
{
	struct sim_packet k = {
		.user = (uint32_t)(e->arg1 >> 32),
		.port = (uint16_t)(e->arg0 >> 32),
		.flags = (uint8_t)(e->arg0 >> 48),
		.size_bytes = (uint16_t)(e->arg2 >> 32),
		.seq = (uint32_t)e->arg2,
	};

	targets_receive(w, (uint32_t)e->arg0, (uint32_t)e->arg1, &k);
}

/* A packet is dropped if another target has the intended one's address now. */
static void send_to_target(struct world *w, struct sim_entry *e,
			   const struct target *t, const struct sim_packet *k)
{
	uint32_t at = targets_find_by_addr(w, t->advertised.addr);
	uint32_t bytes = k->size_bytes + HEADER_BYTES;
	const struct sim_target *s;
	uint64_t delay_ns;

	if (at == UINT32_MAX)
		return; /* no route to the address */
	s = &w->targets[at];
	delay_ns = link_delay_ns(w, e, bytes + ENCAPSULATION_BYTES);

	if (s->zone != e->zone)
		w->report.cross_dc_bytes += bytes;
	if (delay_ns == UINT64_MAX || s->advertised.id != t->advertised.id ||
	    !s->alive || world_is_partitioned(w, e->zone, s->zone)) {
		w->users[k->user].target_gone = true;
		return;
	}
	world_schedule(w, delay_ns + world_one_way_ns(w, e->zone, s->zone),
		       on_forward,
		       (uint64_t)k->flags << 48 | (uint64_t)k->port << 32 | at,
		       (uint64_t)k->user << 32 | (uint32_t)(e - w->entries),
		       (uint64_t)k->size_bytes << 32 | k->seq);
}

static void schedule_pacing(struct world *w, struct sim_entry *e);

static void on_pacing_due(struct world *w, const struct event *e)
{
	struct sim_entry *s = &w->entries[e->arg0];
	struct datagram d;

	s->pace_scheduled = false;
	if (!is_running(s) || s->boot != e->arg1)
		return;
	while (pacer_dequeue(s->node->pacer, w->now_ns, &d)) {
		const struct target *t =
			directory_by_id(s->node->directory, d.destination);
		struct sim_packet k;

		memcpy(&k, d.head, sizeof(k));
		if (t)
			send_to_target(w, s, t, &k);
	}
	schedule_pacing(w, s);
}

static void schedule_pacing(struct world *w, struct sim_entry *e)
{
	uint64_t due_ns = pacer_due_ns(e->node->pacer);

	if (!due_ns || e->pace_scheduled)
		return;
	e->pace_scheduled = true;
	world_schedule(w, due_ns > w->now_ns ? due_ns - w->now_ns : 0,
		       on_pacing_due, (uint64_t)(e - w->entries), e->boot, 0);
}

/* Forward a packet at once or when the link has capacity, as cb-packet does. */
static void forward(struct world *w, struct sim_entry *e,
		    const struct target *t, const struct sim_packet *k)
{
	struct packet p = { .flow = users_flow(w, k->user, k->port),
			    .seq = k->seq,
			    .size_bytes = k->size_bytes };
	uint8_t kind = w->classes[w->users[k->user].class].kind;
	enum pacer_class c = pacer_classify(&p, kind);
	uint8_t bytes[HEADER_BYTES + SEGMENT_BYTES];
	struct datagram d = { .destination = t->advertised.id,
			      .copy_id = pacer_copy_id(&p),
			      .head = bytes,
			      .head_bytes = HEADER_BYTES + k->size_bytes };

	if (pacer_try_send(e->node->pacer, c, d.head_bytes, w->now_ns)) {
		send_to_target(w, e, t, k);
		return;
	}
	memcpy(bytes, k, sizeof(*k));
	pacer_enqueue(e->node->pacer, c, &d);
	schedule_pacing(w, e);
}

static void resend(void *ctx, const struct flow_state *f, uint8_t reason)
{
	struct port_ctx *c = ctx;
	struct sim_packet k = {
		.user = find_user(c->w, &f->key),
		.port = ADDR_PORT(f->key.caller),
		.flags = f->stage == FLOW_OPENING ? PACKET_SYN : PACKET_ACK,
	};

	(void)reason;
	if (k.user != UINT32_MAX)
		forward(c->w, c->entry, f->target, &k);
}

/* Send a queued packet. Its sequence number tells the target which one it is. */
static void send_queued(void *ctx, const struct flow_state *f,
			const uint8_t *bytes, uint32_t n_bytes)
{
	struct port_ctx *c = ctx;
	struct sim_packet k = {
		.user = find_user(c->w, &f->key),
		.port = ADDR_PORT(f->key.caller),
		.flags = PACKET_ACK,
		.size_bytes = (uint16_t)(n_bytes - HEADER_BYTES),
	};

	memcpy(&k.seq, bytes, sizeof(k.seq));
	if (k.user != UINT32_MAX)
		forward(c->w, c->entry, f->target, &k);
}

static void on_reset(struct world *w, const struct event *e)
{
	struct flow_key flow = { e->arg0, e->arg1 };

	users_reset(w, &flow, (uint32_t)e->arg2);
}

static void reset(struct world *w, struct sim_entry *e,
		  const struct flow_key *flow)
{
	world_schedule(w, w->conf.site.client_delay_ns, on_reset, flow->caller,
		       flow->vip, (uint32_t)(e - w->entries));
}

static void reset_flow(void *ctx, const struct flow_state *f)
{
	struct port_ctx *c = ctx;

	reset(c->w, c->entry, &f->key);
}

static void no_health(void *ctx, const struct target *t, uint8_t was)
{
	(void)ctx;
	(void)t;
	(void)was;
}

static void count_ejection(struct world *w, uint64_t id)
{
	for (uint32_t i = 0; i < w->n_targets; i++)
		w->targets[i].ejections += w->targets[i].advertised.id == id;
}

/* Only the target of a line about an ejection is used. */
static void take_log(void *ctx, enum node_log_level level, const char *step,
		     const char *peer, const char *format, ...)
{
	struct port_ctx *c = ctx;
	unsigned long long id;
	char line[256];
	va_list args;

	(void)level;
	(void)peer;
	if (strcmp(step, "target.eject") != 0)
		return;
	va_start(args, format);
	vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	if (sscanf(line, "target %llx", &id) == 1)
		count_ejection(c->w, id);
}

static void start_process(void *ctx, struct world *w, uint32_t entry)
{
	struct sim_entry *e = &w->entries[entry];
	struct node_conf conf = {
		.policy = w->conf.policy,
		.self = entry_addr(entry),
		.boot = rng_next(&w->rng) >> 1,
		.link_bytes_per_s = w->conf.site.link_is_known
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
		.resend = resend,
		.send_queued = send_queued,
		.reset = reset_flow,
		.health = no_health,
		.decode = store_decode,
		.log = take_log,
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
	e->pace_scheduled = false;
	e->last_tick_ns = w->now_ns;
	world_record_entry_state(w, entry, true);
	world_schedule(w, 0, on_tick, entry, e->boot, 0);
}

static void deliver_packet(void *ctx, struct world *w, uint32_t entry,
			   const struct sim_packet *k)
{
	uint8_t bytes[HEADER_BYTES + SEGMENT_BYTES];
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
		.n_bytes = HEADER_BYTES + k->size_bytes,
	};
	struct path_verdict v;

	(void)ctx;
	memcpy(bytes, &k->seq, sizeof(k->seq));
	if (!is_running(e)) {
		u->packet_lost = true;
		return;
	}
	node_packet(e->node, &p, w->now_ns, &v);
	if (v.action == PATH_FORWARD)
		forward(w, e, v.target, k);
	else if (v.action == PATH_RESET)
		reset(w, e, &p.flow);
	else if (v.reason == PATH_no_routes_yet)
		u->packet_lost = true;
}

static void kill_process(void *ctx, struct world *w, uint32_t entry)
{
	(void)ctx;
	w->entries[entry].up = false;
	world_record_entry_state(w, entry, false);
}

static void stop_process(void *ctx, struct world *w, uint32_t entry)
{
	struct sim_entry *e = &w->entries[entry];

	(void)ctx;
	if (is_running(e))
		node_stop(e->node, w->now_ns);
}

static void freeze_process(void *ctx, struct world *w, uint32_t entry,
			   bool frozen)
{
	(void)ctx;
	w->entries[entry].frozen = frozen;
	world_record_entry_state(w, entry, !frozen);
}

static bool entry_is_ready(void *ctx, struct world *w, uint32_t entry)
{
	const struct sim_entry *e = &w->entries[entry];

	(void)ctx;
	return is_running(e) && e->node->ready;
}

/* Return: driver that runs the entries inside the emulator. */
struct entry_driver emulated_entry_driver(void)
{
	return (struct entry_driver){ NULL,	      start_process,
				      kill_process,   stop_process,
				      freeze_process, entry_is_ready,
				      deliver_packet, NULL };
}
