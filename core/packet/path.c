#include "path.h"

#include "health.h"
#include "outlier.h"
#include "place.h"

#include <stdlib.h>
#include <string.h>

/* A client answers a SYN+ACK at once: two trips to it and one to the target
 * take under 12 ms at both deployments; the rest is for queues on the way. */
#define OPENING_DUE_NS (40 * NS_PER_MS)
/* Later the client's own copies do: each further try is another handshake. */
#define AGAIN_UNTIL_NS (150 * NS_PER_MS)
/* A request without an answer is doubted after so many mean answer times,
 * within bounds: below a client's first repeat, above a busy moment. */
#define REQUEST_DUE_MEANS 4
#define REQUEST_DUE_MIN_NS (60 * NS_PER_MS)
#define REQUEST_DUE_MAX_NS (400 * NS_PER_MS)
/* Weight of one sample in the mean answer time. */
#define ANSWER_WEIGHT 32
/* Loads are averaged over a second: some twenty requests of a target. */
#define LOAD_WINDOW_NS NS_PER_S
/* Before any feed was measured: one request a second of 50 ms. */
#define FEED_LOAD_FIRST 0.05f
#define FEED_LOAD_WEIGHT 0.02f
/* Failures are told with heartbeats, one in 200 ms. */
#define JUDGE_NS (100 * NS_PER_MS)
/* A flow not seen for this long is forgotten; clients repeat within 1.6 s, and
 * feeds pause for seconds. */
#define FLOW_FORGET_NS (15 * NS_PER_S)

static struct health_context context(struct path *p, uint64_t now_ns);

const char *const path_reason_names[PATH_REASON_COUNT] = {
#define X(name) #name,
	PATH_REASONS(X)
#undef X
};

struct path {
	struct path_conf conf;
	struct directory *directory;
	struct path_port port;
	struct rng rng;
	struct flow_cache *flows;
	uint64_t answer_ns[ROUTE_KINDS];
	uint64_t counts[PATH_REASON_COUNT];
	struct path_times times[ROUTE_KINDS];
	struct answer_sizes sizes;
	uint64_t judged_ns;
	float feed_load;
	uint64_t held_up_ns;
	uint64_t witnessed_ns;
};

/**
 * path_new() - make the decisions' state
 * @conf: settings
 * @d: directory; outlives this
 * @port: what is needed from outside
 * @rng: random source
 *
 * Return: state, or NULL without memory.
 */
struct path *path_new(const struct path_conf *conf, struct directory *d,
		      struct path_port port, struct rng rng)
{
	struct path *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->conf = *conf;
	p->directory = d;
	p->port = port;
	p->rng = rng;
	p->feed_load = FEED_LOAD_FIRST;
	for (uint32_t i = 0; i < ROUTE_KINDS; i++)
		p->answer_ns[i] = REQUEST_DUE_MAX_NS / REQUEST_DUE_MEANS;
	p->flows = flow_cache_new(conf->flows_max);
	if (p->flows)
		return p;
	free(p);
	return NULL;
}

void path_free(struct path *p)
{
	if (!p)
		return;
	flow_cache_free(p->flows);
	free(p);
}

/*
 * A target that should answer, for comparison with one that does not: of this
 * data centre, so that a cut between data centres isn't taken for a fault here.
 */
static bool ask_witness(void *ctx, const struct target *about)
{
	struct path *p = ctx;
	struct target *best = NULL;
	struct health_context c;

	for (uint32_t i = 0; i < directory_slots(p->directory); i++) {
		struct target *t = directory_slot(p->directory, i);

		if (t == about || t->stage == TARGET_ABSENT ||
		    t->health != HEALTH_GOOD || t->news.zone != p->conf.zone ||
		    (best && t->alive_ns <= best->alive_ns))
			continue;
		best = t;
	}
	if (!best)
		return false;
	c = context(p, about->probed_ns);
	health_probe(best, &c);
	return true;
}

static struct health_context context(struct path *p, uint64_t now_ns)
{
	return (struct health_context){ &p->port, now_ns, ask_witness, p,
					p->witnessed_ns };
}

static void alive(struct path *p, struct target *t, uint64_t now_ns)
{
	struct health_context c = context(p, now_ns);

	health_alive(t, &c);
}

static void doubt(struct path *p, struct target *t, uint64_t since_ns,
		  uint64_t now_ns)
{
	struct health_context c = context(p, now_ns);

	health_doubt(t, &c, since_ns);
}

static void rule(struct path *p, struct path_verdict *out, uint8_t action,
		 uint8_t reason, const struct target *t)
{
	out->action = action;
	out->reason = reason;
	out->target = t;
	p->counts[reason]++;
}

static uint64_t request_due_ns(const struct path *p, uint8_t kind)
{
	uint64_t due_ns = p->answer_ns[kind] * REQUEST_DUE_MEANS;

	if (due_ns < REQUEST_DUE_MIN_NS)
		return REQUEST_DUE_MIN_NS;
	return due_ns > REQUEST_DUE_MAX_NS ? REQUEST_DUE_MAX_NS : due_ns;
}

static struct target *place(struct path *p, const struct flow_key *key,
			    const struct route *r, const struct target *avoid,
			    uint64_t now_ns)
{
	struct place_query q = {
		.service = route_service(r, flow_hash(key)),
		.zone = p->conf.zone,
		.kind = r->kind,
		.avoid = avoid,
		.feed_load = p->feed_load,
		.now_ns = now_ns,
	};

	return place_target(p->directory, &q, &p->rng);
}

/*
 * A copy of a SYN says that no answer reached the client. It goes to another
 * target: the first may be dead or full, and if both answer the client takes
 * one and the other's handshake ends unused.
 */
static void syn(struct path *p, const struct packet *k, const struct route *r,
		uint64_t now_ns, struct path_verdict *out)
{
	struct flow_seen *f = flow_cache_get(p->flows, &k->flow);
	const struct target *avoid = NULL;
	struct target *t;

	if (f && f->stage == FLOW_OPEN) {
		rule(p, out, PATH_FORWARD, PATH_pinned, f->target);
		return;
	}
	if (f && f->stage == FLOW_CLOSED) { /* a port used again */
		flow_cache_remove(p->flows, f);
		f = NULL;
	}
	if (f) {
		doubt(p, f->target, f->opened_ns, now_ns);
		avoid = f->target;
	}
	t = place(p, &k->flow, r, avoid, now_ns);
	if (!t) {
		rule(p, out, PATH_RESET, PATH_no_target, NULL);
		return;
	}
	if (f)
		flow_cache_move(f, t);
	else
		f = flow_cache_add(p->flows, &k->flow, t, r->kind, FLOW_OPENING,
				   now_ns);
	flow_cache_touch(p->flows, f, now_ns);
	f->seq = k->seq;
	f->syn_bytes = 0;
	if (k->n_bytes <= SYN_MAX_BYTES) {
		f->syn_bytes = (uint8_t)k->n_bytes;
		memcpy(f->syn, k->bytes, k->n_bytes);
	}
	f->due_ns = now_ns + OPENING_DUE_NS;
	rule(p, out, PATH_FORWARD, avoid ? PATH_placed_copy : PATH_placed, t);
}

static void answered(struct path *p, struct flow_seen *f, uint32_t size_bytes,
		     uint64_t now_ns)
{
	uint64_t took_ns = now_ns - f->request_ns;
	uint64_t *mean_ns = &p->answer_ns[f->kind];

	if (!f->busy)
		return;
	histogram_add(&p->times[f->kind].answer_us, took_ns / NS_PER_US);
	if (outlier_small(&p->sizes, f->kind, size_bytes))
		outlier_failed(f->target, now_ns);
	*mean_ns += took_ns / ANSWER_WEIGHT - *mean_ns / ANSWER_WEIGHT;
	flow_cache_busy(f, false);
}

/* What a packet of an open flow shows of its target. */
static void follow(struct path *p, struct flow_seen *f, const struct packet *k,
		   uint64_t now_ns)
{
	bool newer_ack = (int32_t)(k->ack - f->ack) > 0;
	bool newer_seq = (int32_t)(k->seq - f->seq) > 0;

	if (f->stage == FLOW_OPENING) {
		histogram_add(&p->times[f->kind].open_us,
			      (now_ns - f->opened_ns) / NS_PER_US);
		f->stage = FLOW_OPEN;
		f->ack = k->ack;
		f->seq = k->seq - 1;
		f->due_ns = 0;
		newer_seq = true;
		alive(p, f->target, now_ns);
	} else if (newer_ack) {
		uint32_t size_bytes = k->ack - f->ack;

		f->ack = k->ack;
		alive(p, f->target, now_ns);
		answered(p, f, size_bytes, now_ns);
	}
	if (k->flags & (PACKET_FIN | PACKET_RST)) {
		flow_cache_close(f);
		return;
	}
	if (!k->size_bytes)
		return;
	if (!newer_seq) {
		doubt(p, f->target, f->request_ns, now_ns);
		return;
	}
	f->seq = k->seq;
	if (!f->busy)
		f->request_ns = now_ns;
	flow_cache_busy(f, true);
	f->due_ns = now_ns + request_due_ns(p, f->kind);
}

static struct flow_seen *flow_of(struct path *p, const struct packet *k,
				 struct target *t, uint8_t kind,
				 uint64_t now_ns)
{
	struct flow_seen *f = flow_cache_get(p->flows, &k->flow);

	if (!f) {
		f = flow_cache_add(p->flows, &k->flow, t, kind, FLOW_OPEN,
				   now_ns);
		f->seq = k->seq - 1;
		f->ack = k->ack;
	} else {
		flow_cache_move(f, t);
		flow_cache_touch(p->flows, f, now_ns);
	}
	return f;
}

/* A packet that is not a SYN: its cookie says where it goes. */
static void pinned(struct path *p, const struct packet *k,
		   const struct route *r, bool fresh, uint64_t now_ns,
		   struct path_verdict *out)
{
	struct target *t = directory_by_cookie(p->directory, k->cookie);
	bool history_known =
		now_ns > p->conf.start_ns + p->conf.flow_lifetime_ns;

	if (!k->cookie) {
		rule(p, out, PATH_DROP, PATH_no_cookie, NULL);
		return;
	}
	if (!r) {
		rule(p, out, fresh ? PATH_RESET : PATH_DROP, PATH_route_dropped,
		     t);
		return;
	}
	if (!t) {
		rule(p, out, PATH_DROP, PATH_unknown_cookie, NULL);
		return;
	}
	/*
	 * A cookie is a client's word. A process younger than a flow can be
	 * doesn't know all services that the route had; the target itself then
	 * turns a packet away that belongs to none of its flows.
	 */
	if (history_known && !route_allows(r, t->news.service, now_ns)) {
		rule(p, out, PATH_DROP, PATH_foreign_cookie, t);
		return;
	}
	if (t->health == HEALTH_DEAD || t->health == HEALTH_SILENT) {
		struct flow_seen *f = flow_cache_get(p->flows, &k->flow);

		if (f)
			flow_cache_close(f);
		rule(p, out, PATH_RESET,
		     t->health == HEALTH_DEAD ? PATH_target_dead
					      : PATH_target_silent,
		     t);
		return;
	}
	follow(p, flow_of(p, k, t, r->kind, now_ns), k, now_ns);
	rule(p, out, PATH_FORWARD, PATH_pinned, t);
}

/**
 * path_packet() - decide on one packet
 * @p: state
 * @k: packet
 * @fresh: no peer is known to have a newer configuration
 * @now_ns: time
 * @out: filled
 */
void path_packet(struct path *p, const struct packet *k, bool fresh,
		 uint64_t now_ns, struct path_verdict *out)
{
	const struct route_table *table = directory_table(p->directory);
	const struct route *r = route_table_find(table, k->flow.vip);

	out->ack = k->ack;
	if (!table)
		rule(p, out, PATH_DROP, PATH_no_routes_yet, NULL);
	else if (!(k->flags & PACKET_SYN))
		pinned(p, k, r, fresh, now_ns, out);
	else if (r)
		syn(p, k, r, now_ns, out);
	else
		rule(p, out, fresh ? PATH_RESET : PATH_DROP, PATH_no_route,
		     NULL);
	if (out->action == PATH_RESET && k->flags & PACKET_RST)
		out->action = PATH_DROP;
}

/*
 * End the flows of a target that is gone: their clients would wait out their
 * deadlines, and can open another flow at once instead.
 */
static void sweep(struct path *p, const struct target *t)
{
	struct flow_seen *f = flow_cache_newest(p->flows);

	for (; f; f = flow_cache_older(p->flows, f)) {
		if (f->target != t || f->stage == FLOW_CLOSED)
			continue;
		if (f->stage == FLOW_OPEN) {
			p->counts[PATH_swept]++;
			p->port.reset(p->port.ctx, f);
		}
		flow_cache_close(f);
	}
}

/* @t->flows tells whether any is left to end. */
static void sweep_if_gone(struct path *p, const struct target *t)
{
	if (t->flows && t->health >= HEALTH_SILENT)
		sweep(p, t);
}

/**
 * path_probed() - take the outcome of a connection attempt
 * @p: state
 * @id: target
 * @outcome: what it showed
 * @now_ns: time
 */
void path_probed(struct path *p, uint64_t id, enum probe_outcome outcome,
		 uint64_t now_ns)
{
	struct target *t = directory_by_id(p->directory, id);
	struct health_context c;

	if (!t)
		return;
	if (outcome == PROBE_SILENT && p->held_up_ns + NS_PER_S > now_ns)
		outcome = PROBE_VOID;
	if (outcome == PROBE_OPEN && t->news.zone == p->conf.zone &&
	    t->probed_ns > p->witnessed_ns)
		p->witnessed_ns = t->probed_ns;
	c = context(p, now_ns);
	health_probed(t, &c, outcome);
	sweep_if_gone(p, t);
}

/**
 * path_told_dead() - a peer found that a target's process has ended
 * @p: state
 * @id: target
 */
void path_told_dead(struct path *p, uint64_t id)
{
	struct target *t = directory_by_id(p->directory, id);
	struct health_context c = context(p, 0);

	if (!t)
		return;
	health_dead(t, &c);
	sweep_if_gone(p, t);
}

/**
 * path_held_up() - this process did not run for a while
 * @p: state
 * @now_ns: time
 *
 * What was due meanwhile may lie unread in the socket: nothing is doubted for
 * it. Without this a pause of this VM condemns healthy targets.
 */
void path_held_up(struct path *p, uint64_t now_ns)
{
	struct flow_seen *f = flow_cache_newest(p->flows);

	p->held_up_ns = now_ns;
	for (; f; f = flow_cache_older(p->flows, f))
		f->due_ns = 0;
}

/*
 * A SYN that nobody answered goes to another target without waiting for the
 * client's copy after 200 ms, which alone would miss a target latency of
 * 100 ms.
 */
static void place_again(struct path *p, struct flow_seen *f, uint64_t now_ns)
{
	const struct route *r =
		route_table_find(directory_table(p->directory), f->key.vip);
	struct target *t;

	doubt(p, f->target, f->opened_ns, now_ns);
	if (!r || !f->syn_bytes || now_ns - f->opened_ns > AGAIN_UNTIL_NS)
		return;
	t = place(p, &f->key, r, f->target, now_ns);
	if (!t || t == f->target)
		return;
	flow_cache_move(f, t);
	f->due_ns = now_ns + OPENING_DUE_NS;
	p->counts[PATH_placed_again]++;
	p->port.again(p->port.ctx, f);
}

static void check_due(struct path *p, uint64_t now_ns)
{
	struct flow_seen *f = flow_cache_newest(p->flows);

	for (; f; f = flow_cache_older(p->flows, f)) {
		if (f->seen_ns + 2 * REQUEST_DUE_MAX_NS < now_ns)
			break;
		if (!f->due_ns || f->due_ns > now_ns)
			continue;
		f->due_ns = 0;
		if (f->stage == FLOW_OPENING) {
			place_again(p, f, now_ns);
			continue;
		}
		doubt(p, f->target, f->request_ns, now_ns);
		outlier_failed(f->target, now_ns);
	}
}

static void average(struct target *t, uint64_t now_ns)
{
	float part = (float)(now_ns - t->mean_ns) / LOAD_WINDOW_NS;

	if (part > 1)
		part = 1;
	t->short_mean += ((float)t->busy_short - t->short_mean) * part;
	t->mean_ns = now_ns;
}

static void measure_feeds(struct path *p, uint32_t feeds, uint32_t busy)
{
	if (feeds)
		p->feed_load += ((float)busy / (float)feeds - p->feed_load) *
				FEED_LOAD_WEIGHT;
}

static void judge(struct path *p, struct target *t, uint64_t now_ns)
{
	if (outlier_judge(p->directory, t, now_ns))
		p->port.eject(p->port.ctx, t,
			      outlier_usual(p->directory, t, now_ns));
}

/**
 * path_tick() - what time brings; every 20 to 50 ms
 * @p: state
 * @now_ns: time
 */
void path_tick(struct path *p, uint64_t now_ns)
{
	uint32_t n = directory_slots(p->directory);
	uint32_t feeds = 0, busy = 0;
	struct health_context c = context(p, now_ns);
	bool judging = now_ns >= p->judged_ns + JUDGE_NS;

	if (judging)
		p->judged_ns = now_ns;
	check_due(p, now_ns);
	for (uint32_t i = 0; i < n; i++) {
		struct target *t = directory_slot(p->directory, i);

		average(t, now_ns);
		health_tick(t, &c);
		sweep_if_gone(p, t);
		if (judging)
			judge(p, t, now_ns);
		feeds += t->feeds;
		busy += t->busy - t->busy_short;
	}
	measure_feeds(p, feeds, busy);
	if (now_ns > FLOW_FORGET_NS)
		flow_cache_expire(p->flows, now_ns - FLOW_FORGET_NS);
}

const uint64_t *path_counts(const struct path *p)
{
	return p->counts;
}

/**
 * path_times() - how long things took
 * @p: state
 * @kind: enum route_kind
 *
 * Return: histograms.
 */
const struct path_times *path_times(const struct path *p, uint8_t kind)
{
	return &p->times[kind];
}

uint32_t path_flows(const struct path *p)
{
	return flow_cache_count(p->flows);
}

/**
 * path_flow() - a flow that is followed here
 * @p: state
 * @key: client and VIP
 *
 * Return: flow, or NULL.
 */
const struct flow_seen *path_flow(const struct path *p,
				  const struct flow_key *key)
{
	return flow_cache_get(p->flows, key);
}

float path_feed_load(const struct path *p)
{
	return p->feed_load;
}
