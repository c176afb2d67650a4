#include "packet_bed.h"

#include <stdlib.h>
#include <string.h>

#define TICK_NS (20 * MS)
#define HEADER_BYTES 32
/* Round trip from an entry to a target, to the client and back. */
#define RTT_NS 1000

static const uint8_t syn_bytes[HEADER_BYTES];

static int on_probe(void *ctx, const struct target *t)
{
	struct bed *b = ctx;

	if (b->probe_err)
		return b->probe_err;
	b->probes[b->n_probes++ % BED_EVENTS_MAX] =
		(struct bed_probe){ target_incarnation(t), b->now_ns, false };
	return 0;
}

static void on_resend(void *ctx, const struct flow_state *f, uint8_t reason)
{
	struct bed *b = ctx;

	(void)reason;
	b->resent_to[b->n_resent++ % BED_EVENTS_MAX] = f->target->advertised.id;
}

static void on_send_queued(void *ctx, const struct flow_state *f,
			   const uint8_t *bytes, uint32_t n_bytes)
{
	struct bed *b = ctx;

	b->sent[b->n_sent++ % BED_EVENTS_MAX] =
		(struct bed_sent){ f->key.caller, n_bytes ? bytes[0] : 0 };
}

static void on_reset(void *ctx, const struct flow_state *f)
{
	struct bed *b = ctx;

	b->resets[b->n_resets++ % BED_EVENTS_MAX] = f->key.caller;
}

static void on_dead(void *ctx, const struct target *t)
{
	struct bed *b = ctx;

	b->dead[b->n_dead++ % BED_EVENTS_MAX] = t->advertised.id;
}

static void on_health(void *ctx, const struct target *t, uint8_t before)
{
	(void)ctx;
	(void)t;
	(void)before;
}

static void on_eject(void *ctx, const struct target *t, float others_failures)
{
	struct bed *b = ctx;

	(void)others_failures;
	b->ejected[b->n_ejected++ % BED_EVENTS_MAX] = t->advertised.id;
}

static void on_refusals(void *ctx, const struct path_refusals *change)
{
	struct bed *b = ctx;

	b->refusals = *change;
	b->n_refusals++;
}

void bed_open(struct bed *b)
{
	bed_open_with(b, &policy_default);
}

void bed_open_with(struct bed *b, const struct policy *policy)
{
	struct directory_conf dir = { 60 * NS_PER_S, 2500 * MS };
	struct path_port port = {
		.ctx = b,
		.health = { b, on_probe, on_dead, on_health },
		.resend = on_resend,
		.send_queued = on_send_queued,
		.reset = on_reset,
		.refusals = on_refusals,
		.eject = on_eject,
	};
	struct path_conf conf = {
		.policy = policy,
		.flows_max = 256,
		.flow_lifetime_ns = 60 * NS_PER_S,
	};

	memset(b, 0, sizeof(*b));
	b->now_ns = 1000 * NS_PER_S;
	conf.start_ns = b->now_ns;
	b->directory = directory_new(&dir);
	conf.zone = (uint32_t)hash_text(ZONE);
	b->path = path_new(&conf, b->directory, port, (struct rng){ 7 });
	directory_set_routes(b->directory, bed_table(b, 1), b->now_ns);
}

void bed_close(struct bed *b)
{
	path_free(b->path);
	directory_free(b->directory);
}

/* Publish a latency objective and a timeout for all routes; feeds get priority
 * 1, the others 0, which is served first. */
void bed_set_route_times(struct bed *b, uint32_t objective_ms,
			 uint32_t timeout_ms)
{
	struct route_table *t =
		bed_table(b, directory_route_table(b->directory)->version + 1);

	for (uint32_t i = 0; i < t->n_routes; i++) {
		t->routes[i].objective_ms = objective_ms;
		t->routes[i].timeout_ms = timeout_ms;
		t->routes[i].priority = t->routes[i].kind == ROUTE_FEED;
	}
	directory_set_routes(b->directory, t, b->now_ns);
}

static void route(struct bed *b, struct route *r, uint64_t vip, uint8_t kind,
		  const char *service)
{
	r->vip = vip;
	r->kind = kind;
	r->n_shares = 1;
	r->shares[0] = (struct route_share){
		directory_add_service(b->directory, service), 1
	};
}

/* Make three routes: feeds and reports of one service, uploads of another. */
struct route_table *bed_table(struct bed *b, uint64_t version)
{
	struct route_table *t = calloc(1, sizeof(*t));

	t->version = version;
	t->n_routes = 3;
	t->routes = calloc(t->n_routes, sizeof(*t->routes));
	route(b, &t->routes[0], VIP, ROUTE_FEED, SERVICE);
	route(b, &t->routes[1], REPORT_VIP, ROUTE_REPORT, SERVICE);
	route(b, &t->routes[2], OTHER_VIP, ROUTE_UPLOAD, OTHER_SERVICE);
	return t;
}

struct target *bed_target(struct bed *b, uint64_t id, const char *service,
			  const char *zone)
{
	struct target_advertisement news = {
		.id = id,
		.key_hash = id,
		.addr = ADDR(0x0a000000 + id, 8000),
		.service = directory_add_service(b->directory, service),
		.zone = (uint32_t)hash_text(zone),
		.slots = 3,
		.created = { 0, id },
	};

	return bed_publish(b, &news);
}

struct target *bed_publish(struct bed *b,
			   const struct target_advertisement *news)
{
	struct target *t = directory_update_target(b->directory, news,
						   b->now_ns, &b->change);

	if (b->change == TARGET_RESTARTED)
		path_target_restarted(b->path, t);
	return t;
}

void bed_remove_entry(struct bed *b, uint64_t id, uint64_t platform_failed_ns)
{
	struct target_advertisement news = { .id = id, .key_hash = id };

	directory_mark_absent(b->directory, &news, b->now_ns,
			      platform_failed_ns);
}

struct path_verdict bed_syn(struct bed *b, uint64_t caller, uint64_t vip,
			    uint32_t copies)
{
	struct packet k = {
		.flow = { caller, vip },
		.ack = copies,
		.flags = PACKET_SYN,
		.bytes = syn_bytes,
		.n_bytes = HEADER_BYTES,
	};
	struct path_verdict v;

	path_packet(b->path, &k, true, b->now_ns, &v);
	return v;
}

struct path_verdict bed_data(struct bed *b, uint64_t caller, uint64_t vip,
			     uint32_t cookie, uint32_t seq, uint32_t ack,
			     uint16_t size_bytes)
{
	uint8_t bytes[HEADER_BYTES] = { (uint8_t)caller };
	struct packet k = {
		.flow = { caller, vip },
		.cookie = cookie,
		.seq = seq,
		.ack = ack,
		.size_bytes = size_bytes,
		.flags = PACKET_ACK,
		.bytes = bytes,
		.n_bytes = size_bytes ? HEADER_BYTES : 0,
	};
	struct path_verdict v;

	path_packet(b->path, &k, true, b->now_ns, &v);
	return v;
}

/* The client closes its flow, and acknowledges all up to @ack. */
void bed_fin(struct bed *b, uint64_t caller, uint64_t vip, uint32_t cookie,
	     uint32_t seq, uint32_t ack)
{
	struct packet k = {
		.flow = { caller, vip },
		.cookie = cookie,
		.seq = seq,
		.ack = ack,
		.flags = PACKET_ACK | PACKET_FIN,
	};
	struct path_verdict v;

	path_packet(b->path, &k, true, b->now_ns, &v);
}

/* Open a flow: a SYN, and the client's answer to the target's SYN. */
struct path_verdict bed_open_flow(struct bed *b, uint64_t caller, uint64_t vip)
{
	struct path_verdict v = bed_syn(b, caller, vip, 0);

	if (v.action != PATH_FORWARD)
		return v;
	b->now_ns += RTT_NS;
	bed_data(b, caller, vip, v.target->cookie, 1, 1, 0);
	return v;
}

/* Advance the clock by @ns, with ticks as in the daemon. */
void bed_advance(struct bed *b, uint64_t ns)
{
	uint64_t end_ns = b->now_ns + ns;

	while (b->now_ns < end_ns) {
		b->now_ns += TICK_NS;
		path_tick(b->path, b->now_ns);
	}
}

/* End all pending probes of a target with @outcome. */
void bed_end_probes(struct bed *b, uint64_t id, enum probe_outcome outcome)
{
	uint32_t n = b->n_probes;

	for (uint32_t i = 0; i < n; i++) {
		if (b->probes[i].done || b->probes[i].who.id != id)
			continue;
		b->probes[i].done = true;
		path_probe_ended(b->path, &b->probes[i].who, outcome,
				 b->probes[i].since_ns, b->now_ns);
	}
}

/* Pass a second, late outcome of the first probe of a target. */
void bed_end_first_probe_late(struct bed *b, uint64_t id,
			      enum probe_outcome outcome)
{
	for (uint32_t i = 0; i < b->n_probes; i++) {
		if (b->probes[i].who.id != id)
			continue;
		path_probe_ended(b->path, &b->probes[i].who, outcome,
				 b->probes[i].since_ns, b->now_ns);
		return;
	}
}

uint32_t bed_pending_probes(const struct bed *b)
{
	uint32_t open = 0;

	for (uint32_t i = 0; i < b->n_probes; i++)
		open += !b->probes[i].done;
	return open;
}
