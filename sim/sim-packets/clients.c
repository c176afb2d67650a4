/* Clients: SYN and copies, requests and repeats, tries within a deadline. */
#include "world_state.h"

#define CLIENT_IP 1
#define FIRST_PORT 1000
#define SYN_COPIES 2
#define SYN_GIVE_UP_NS (1400 * NS_PER_MS)
#define REPEAT_NS (200 * NS_PER_MS)
#define REPEAT_MAX_NS (1600 * NS_PER_MS)
#define TRIES 3
#define THINK_NS NS_PER_S
#define PROBE_NS (100 * NS_PER_MS)
/* An answer without the content that was asked for is small. */
#define ANSWER_BYTES 600
#define ERROR_BYTES 200

static const uint64_t copy_ns[SYN_COPIES] = { 200 * NS_PER_MS,
					      600 * NS_PER_MS };

static void on_arrive(struct world *w, const struct event *e)
{
	const struct sim_client *c = &w->clients[e->a];

	/* A flow that was given up sends nothing more. */
	if (c->port == (uint16_t)(e->c >> 32))
		w->conf.driver.packet(w->conf.driver.ctx, w, (uint32_t)e->b,
				      (uint32_t)e->a, (uint8_t)(e->c >> 48),
				      (uint32_t)e->c);
}

static void send(struct world *w, uint32_t client, uint8_t flags,
		 uint32_t size_bytes)
{
	const struct sim_client *c = &w->clients[client];
	uint32_t entry = router_pick(w, c);

	if (entry != UINT32_MAX)
		world_at(w, CLIENT_NS, on_arrive, client, entry,
			 (uint64_t)flags << 48 | (uint64_t)c->port << 32 |
				 size_bytes);
}

static void attempt(struct world *w, uint32_t client);
static void ask(struct world *w, uint32_t client);

static void on_think(struct world *w, const struct event *e)
{
	ask(w, (uint32_t)e->a);
}

static void think(struct world *w, uint32_t client)
{
	uint64_t mean_ns = THINK_NS;

	if (w->clients[client].route == REPORT_ROUTE)
		mean_ns = NS_PER_S * 10 / 2;
	if (w->clients[client].route == PROBE_ROUTE)
		mean_ns = PROBE_NS;
	world_at(w, (uint64_t)((double)mean_ns * (0.5 + world_chance(w))),
		 on_think, client, 0, 0);
}

static void finish(struct world *w, uint32_t client, bool served)
{
	struct sim_client *c = &w->clients[client];

	if (!c->waiting)
		return;
	c->waiting = false;
	if (c->route != PROBE_ROUTE) {
		w->report.requests++;
		if (!served)
			w->report.failed++;
		else if (w->now_ns - c->asked_ns <= w->conf.aim_ns)
			w->report.in_aim++;
		else
			w->report.late++;
	}
	if (c->route != FEED_ROUTE || !served) {
		if (c->state == CLIENT_OPEN)
			send(w, client, PACKET_FIN, 0);
		c->state = CLIENT_IDLE;
	}
	think(w, client);
}

static void on_deadline(struct world *w, const struct event *e)
{
	if (w->clients[e->a].number == e->b)
		finish(w, (uint32_t)e->a, false);
}

static void on_repeat(struct world *w, const struct event *e)
{
	struct sim_client *c = &w->clients[e->a];
	uint64_t next_ns = e->c * 2 < REPEAT_MAX_NS ? e->c * 2 : REPEAT_MAX_NS;

	if (!c->waiting || c->number != e->b >> 16 ||
	    c->port != (uint16_t)e->b || c->state != CLIENT_OPEN)
		return;
	send(w, (uint32_t)e->a, PACKET_ACK, 900);
	world_at(w, next_ns, on_repeat, e->a, e->b, next_ns);
}

static void send_request(struct world *w, uint32_t client)
{
	struct sim_client *c = &w->clients[client];

	c->seq += 900;
	send(w, client, PACKET_ACK, 900);
	world_at(w, REPEAT_NS, on_repeat, client, c->number << 16 | c->port,
		 REPEAT_NS);
}

static void on_copy(struct world *w, const struct event *e)
{
	struct sim_client *c = &w->clients[e->a];

	if (c->state != CLIENT_OPENING || c->port != e->b || !c->waiting)
		return;
	c->repeats++;
	send(w, (uint32_t)e->a, PACKET_SYN, 0);
}

static void on_give_up(struct world *w, const struct event *e)
{
	struct sim_client *c = &w->clients[e->a];

	if (c->state == CLIENT_OPENING && c->port == e->b && c->waiting)
		attempt(w, (uint32_t)e->a);
}

/* Each try is a new flow from a new port. */
static void attempt(struct world *w, uint32_t client)
{
	struct sim_client *c = &w->clients[client];

	if (c->attempts++ == TRIES) {
		finish(w, client, false);
		return;
	}
	c->port = c->port < 60000 ? c->port + 1 : FIRST_PORT;
	c->state = CLIENT_OPENING;
	c->cookie = 0;
	c->target = NO_TARGET;
	c->seq = c->ack = 1;
	c->repeats = 0;
	send(w, client, PACKET_SYN, 0);
	for (uint32_t i = 0; i < SYN_COPIES; i++)
		world_at(w, copy_ns[i], on_copy, client, c->port, 0);
	world_at(w, SYN_GIVE_UP_NS, on_give_up, client, c->port, 0);
}

/* A new request. */
static void ask(struct world *w, uint32_t client)
{
	struct sim_client *c = &w->clients[client];

	c->number = ++w->next_number;
	c->asked_ns = w->now_ns;
	c->waiting = true;
	c->attempts = 0;
	c->ran = 0;
	world_at(w, w->conf.deadline_ns, on_deadline, client, c->number, 0);
	if (c->state == CLIENT_OPEN)
		send_request(w, client);
	else
		attempt(w, client);
}

/* A target's answer to a SYN. */
void clients_opened(struct world *w, uint32_t client, uint16_t port,
		    uint32_t target, uint32_t cookie)
{
	struct sim_client *c = &w->clients[client];

	if (c->port != port || c->state != CLIENT_OPENING)
		return;
	c->state = CLIENT_OPEN;
	c->target = target;
	c->process = w->targets[target].process;
	c->cookie = cookie;
	if (c->waiting)
		send_request(w, client);
}

/* What may run twice, or did not run, is asked again. */
void clients_answered(struct world *w, uint32_t client, uint16_t port,
		      uint64_t number, enum sim_answer answer)
{
	struct sim_client *c = &w->clients[client];

	if (c->port != port || c->number != number || !c->waiting)
		return;
	c->ack += answer == ANSWER_DONE ? ANSWER_BYTES : ERROR_BYTES;
	send(w, client, PACKET_ACK, 0);
	if (answer == ANSWER_DONE)
		finish(w, client, true);
	else if (answer == ANSWER_FAILED && c->route != FEED_ROUTE)
		finish(w, client, false);
	else
		attempt(w, client);
}

/* A request that may have run is not repeated unless it may run twice. */
static void lost(struct world *w, uint32_t client)
{
	struct sim_client *c = &w->clients[client];
	bool opened = c->state == CLIENT_OPEN;

	c->state = CLIENT_IDLE;
	if (!c->waiting)
		return;
	if (opened && c->route != FEED_ROUTE)
		finish(w, client, false);
	else
		attempt(w, client);
}

/* A target does not know the flow. */
void clients_cut(struct world *w, uint32_t client, uint16_t port)
{
	if (w->clients[client].port == port)
		lost(w, client);
}

/* An entry reset a flow: while its target serves it must not. */
void clients_reset(struct world *w, const struct flow_key *flow, uint32_t entry)
{
	uint32_t client = ADDR_IP(flow->caller) - CLIENT_IP;
	struct sim_client *c = &w->clients[client];
	const struct sim_entry *e = &w->entries[entry];

	if (c->port != ADDR_PORT(flow->caller) ||
	    flow->vip != route_vip(c->route))
		return;
	if (c->state == CLIENT_OPEN && c->target != NO_TARGET &&
	    (c->route != PROBE_ROUTE || w->extra_route)) {
		const struct sim_target *t = &w->targets[c->target];

		if (t->alive && t->process == c->process &&
		    w->now_ns > t->restarted_ns + FORCE_NS &&
		    w->now_ns > t->disturbed_ns + SETTLE_NS &&
		    w->now_ns > e->disturbed_ns + SETTLE_NS &&
		    w->cut_until_ns[t->zone] + SETTLE_NS < w->now_ns)
			w->report.broken++;
	}
	if (c->state == CLIENT_OPENING && c->route == PROBE_ROUTE &&
	    w->extra_route && w->now_ns > w->extra_ns + FORCE_NS &&
	    w->now_ns > e->disturbed_ns + SETTLE_NS &&
	    w->now_ns > w->store_disturbed_ns + SETTLE_NS)
		w->report.stale++;
	lost(w, client);
}

static void add(struct world *w, uint32_t zone, uint8_t route)
{
	uint32_t i = w->n_clients++;

	w->clients[i] = (struct sim_client){
		.zone = zone,
		.ip = CLIENT_IP + i,
		.port = FIRST_PORT,
		.route = route,
		.target = NO_TARGET,
	};
	think(w, i);
}

/* Feeds, reports, and a few flows that only test the configuration. */
void clients_start(struct world *w)
{
	for (uint32_t z = 0; z < w->conf.zones; z++) {
		for (uint32_t i = 0; i < w->conf.feeds_a_zone; i++)
			add(w, z, FEED_ROUTE);
		for (uint32_t i = 0; i < w->conf.reports_per_s_a_zone * 5; i++)
			add(w, z, REPORT_ROUTE);
		add(w, z, PROBE_ROUTE);
	}
}
