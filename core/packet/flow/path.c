#include "path_impl.h"

#include "assign.h"

#include <stdlib.h>
#include <string.h>

/* Weight of one sample in the mean answer time. */
#define ANSWER_WEIGHT 32
/* And in the mean time of a handshake. */
#define OPEN_WEIGHT 16
/* Before any feed was seen: one request a second of 50 ms. */
#define FEED_LOAD_FIRST 0.05f

const char *const path_reason_names[PATH_REASON_COUNT] = {
#define X(name) #name,
	PATH_REASONS(X)
#undef X
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
	p->policy = conf->policy ? conf->policy : &policy_default;
	p->directory = d;
	p->port = port;
	p->rng = rng;
	p->feed_load = FEED_LOAD_FIRST;
	for (uint32_t i = 0; i < ROUTE_KINDS; i++)
		p->answer_ns[i] = p->policy->request_due_max_ns /
				  p->policy->request_due_means;
	p->waiting = waiting_new(p->policy->waiting_max);
	p->flows = flow_cache_new(conf->flows_max, p->waiting);
	if (p->waiting && p->flows)
		return p;
	path_free(p);
	return NULL;
}

void path_free(struct path *p)
{
	if (!p)
		return;
	flow_cache_free(p->flows);
	waiting_free(p->waiting);
	free(p);
}

/*
 * Which of two targets is the better one to compare with one that does not
 * answer: of this data centre, since others may be cut off; then who was heard
 * last.
 */
static bool better_witness(const struct path *p, const struct target *a,
			   const struct target *b)
{
	bool a_near = a->advertised.zone == p->conf.zone;
	bool b_near = b->advertised.zone == p->conf.zone;

	return a_near != b_near ? a_near : a->last_alive_ns > b->last_alive_ns;
}

/*
 * Ask a target that should answer. While all others are doubted as well, that is
 * more likely this VM's own link than all of them at once; one of them that
 * answers is a witness, too.
 * Return: whether there is any other.
 */
static bool ask_witness(void *ctx, const struct target *about)
{
	struct path *p = ctx;
	struct target *best = NULL;
	struct health_context c;
	bool doubted = false;

	for (uint32_t i = 0; i < directory_target_count(p->directory); i++) {
		struct target *t = directory_target_at(p->directory, i);

		if (t == about || t->stage == TARGET_ABSENT ||
		    directory_is_evacuated(p->directory, t))
			continue;
		doubted |= t->health == HEALTH_SUSPECTED;
		if (t->health == HEALTH_GOOD &&
		    (!best || better_witness(p, t, best)))
			best = t;
	}
	if (!best)
		return doubted;
	c = path_context(p, about->probe_sent_ns);
	health_send_probe(best, &c);
	return true;
}

struct health_context path_context(struct path *p, uint64_t now_ns)
{
	return (struct health_context){ p->policy, &p->port.health,
					now_ns,	   ask_witness,
					p,	   p->witnessed_ns };
}

static void alive(struct path *p, struct target *t, uint64_t now_ns)
{
	struct health_context c = path_context(p, now_ns);

	health_record_answer(t, &c);
}

void path_doubt(struct path *p, struct target *t, uint64_t since_ns,
		uint64_t now_ns)
{
	struct health_context c = path_context(p, now_ns);

	health_suspect(t, &c, since_ns);
}

static void rule(struct path *p, struct path_verdict *out, uint8_t action,
		 uint8_t reason, const struct target *t)
{
	out->action = action;
	out->reason = reason;
	out->target = t;
	p->counts[reason]++;
}

/* Whether the flows of a target are to be ended. */
bool path_gone(const struct path *p, const struct target *t)
{
	return (t->health == HEALTH_DEAD && p->policy->reset_dead) ||
	       (t->health == HEALTH_SILENT && p->policy->reset_silent);
}

/* After which a handshake that has not ended is begun elsewhere. */
uint64_t path_opening_due_ns(const struct path *p)
{
	uint64_t due_ns = p->open_ns * p->policy->opening_due_means;

	return due_ns > p->policy->opening_due_ns ? due_ns
						  : p->policy->opening_due_ns;
}

uint64_t path_request_due_ns(const struct path *p, uint8_t kind)
{
	uint64_t due_ns = p->answer_ns[kind] * p->policy->request_due_means;

	if (due_ns < p->policy->request_due_min_ns)
		return p->policy->request_due_min_ns;
	if (due_ns > p->policy->request_due_max_ns)
		return p->policy->request_due_max_ns;
	return due_ns;
}

struct target *path_place(struct path *p, const struct flow_key *key,
			  const struct route *r, const struct target *avoid,
			  uint64_t now_ns)
{
	struct assign_query q = {
		.policy = p->policy,
		.service = route_select_service(r, flow_hash(key)),
		.zone = p->conf.zone,
		.kind = r->kind,
		.avoid = avoid,
		.feed_load = p->feed_load,
		.now_ns = now_ns,
	};

	return assign_target(p->directory, &q, &p->rng);
}

/* Keep a packet that may be sent again: it carries no data. */
static void keep(struct flow_seen *f, const struct packet *k)
{
	if (k->size_bytes || k->n_bytes > KEPT_MAX_BYTES)
		return;
	f->kept_bytes = (uint8_t)k->n_bytes;
	memcpy(f->kept, k->bytes, k->n_bytes);
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
		path_doubt(p, f->target, f->opened_ns, now_ns);
		avoid = f->target;
	}
	t = path_place(p, &k->flow, r, avoid, now_ns);
	if (!t) {
		rule(p, out, PATH_RESET, PATH_no_target, NULL);
		return;
	}
	if (f)
		flow_cache_move(p->flows, f, t);
	else
		f = flow_cache_add(p->flows, &k->flow, t, r->kind, FLOW_OPENING,
				   now_ns);
	flow_cache_touch(p->flows, f, now_ns);
	f->request_ns = now_ns;
	f->seq = k->seq;
	keep(f, k);
	if (p->policy->opening_due_ns)
		f->due_ns = now_ns + path_opening_due_ns(p);
	rule(p, out, PATH_FORWARD, avoid ? PATH_placed_copy : PATH_placed, t);
}

static void answered(struct path *p, struct flow_seen *f, uint32_t size_bytes,
		     uint64_t now_ns)
{
	uint64_t took_ns = now_ns - f->request_ns;
	uint64_t *mean_ns = &p->answer_ns[f->kind];
	bool small;

	if (!f->busy)
		return;
	histogram_add(&p->times[f->kind].answer_us, took_ns / NS_PER_US);
	small = outlier_record_answer_size(&p->sizes, p->policy, f->kind,
					   size_bytes);
	if (small)
		outlier_record_failure(f->target, p->policy, now_ns);
	if (f->sent)
		path_worked(p, f, small, now_ns);
	*mean_ns += took_ns / ANSWER_WEIGHT - *mean_ns / ANSWER_WEIGHT;
	flow_cache_busy(p->flows, f, false);
	path_release(p, f->target->advertised.service, now_ns);
}

/*
 * Clients repeat what they sent while no entry was there. Which first packets
 * are such repeats can't be told; of flows that asked then, nearly all are.
 */
static bool presumed_repeat(const struct path *p, const struct flow_seen *f,
			    uint64_t now_ns)
{
	bool young = now_ns < p->conf.start_ns + p->policy->young_ns;
	bool first = f->opened_ns == now_ns;

	return young && first && !f->trip_ns;
}

/* A request of the client's begins. */
static void begin(struct path *p, struct flow_seen *f, const struct route *r,
		  uint64_t now_ns)
{
	f->priority = r->priority;
	f->asked_ns = now_ns;
	f->aim_by_ns =
		r->objective_ms ? now_ns + r->objective_ms * NS_PER_MS : 0;
	if (f->aim_by_ns && presumed_repeat(p, f, now_ns))
		f->aim_by_ns = now_ns;
	f->expires_ns = now_ns + r->timeout_ms * NS_PER_MS;
	flow_cache_busy(p->flows, f, true);
}

/*
 * A packet with data: of a new request, of the one in progress, or a repeat.
 * Return: whether it waits, or repeats one that does.
 */
static bool data(struct path *p, struct flow_seen *f, const struct packet *k,
		 const struct route *r, uint64_t quiet_ns, uint64_t now_ns)
{
	if ((int32_t)(k->seq - f->seq) <= 0) {
		if (f->waiting)
			return true;
		if (quiet_ns >= p->policy->repeat_quiet_ns)
			path_doubt(p, f->target, f->request_ns, now_ns);
		return false;
	}
	f->seq = k->seq;
	if (!f->busy) {
		begin(p, f, r, now_ns);
		if (path_hold(p, f, k))
			return true;
		path_sent(p, f, now_ns);
	} else if (!f->waiting) {
		f->due_ns = now_ns + path_request_due_ns(p, f->kind);
	}
	return false;
}

/*
 * What a packet of an open flow shows of its target.
 * Return: whether it waits.
 */
static bool follow(struct path *p, struct flow_seen *f, const struct packet *k,
		   const struct route *r, uint64_t now_ns)
{
	bool newer_ack = (int32_t)(k->ack - f->ack) > 0;
	uint64_t quiet_ns = now_ns - f->seen_ns;

	flow_cache_touch(p->flows, f, now_ns);
	if (f->stage == FLOW_CLOSED)
		return false;
	if (f->stage == FLOW_OPENING) {
		uint64_t took_ns = now_ns - f->opened_ns;

		histogram_add(&p->times[f->kind].open_us, took_ns / NS_PER_US);
		p->open_ns += took_ns / OPEN_WEIGHT - p->open_ns / OPEN_WEIGHT;
		f->stage = FLOW_OPEN;
		f->trip_ns = now_ns - f->request_ns;
		f->kept_bytes = 0;
		f->ack = k->ack;
		f->seq = k->seq - 1;
		f->due_ns = 0;
		alive(p, f->target, now_ns);
	} else if (newer_ack) {
		uint32_t size_bytes = k->ack - f->ack;

		f->ack = k->ack;
		alive(p, f->target, now_ns);
		answered(p, f, size_bytes, now_ns);
	}
	if (k->flags & (PACKET_FIN | PACKET_RST)) {
		flow_cache_close(p->flows, f);
		path_release(p, f->target->advertised.service, now_ns);
		return false;
	}
	keep(f, k);
	return k->size_bytes && data(p, f, k, r, quiet_ns, now_ns);
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
		flow_cache_move(p->flows, f, t);
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
	if (history_known && !route_allows(r, t->advertised.service, now_ns)) {
		rule(p, out, PATH_DROP, PATH_foreign_cookie, t);
		return;
	}
	if (path_gone(p, t)) {
		struct flow_seen *f = flow_cache_get(p->flows, &k->flow);

		if (f)
			flow_cache_close(p->flows, f);
		rule(p, out, PATH_RESET,
		     t->health == HEALTH_DEAD ? PATH_target_dead
					      : PATH_target_silent,
		     t);
		return;
	}
	if (follow(p, flow_of(p, k, t, r->kind, now_ns), k, r, now_ns))
		rule(p, out, PATH_WAIT, PATH_waits, t);
	else
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
	const struct route_table *table = directory_route_table(p->directory);
	const struct route *r = route_table_find(table, k->flow.vip);

	out->ack = k->ack;
	out->kind = r ? r->kind : ROUTE_REPORT;
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

uint32_t path_waiting(const struct path *p)
{
	return waiting_count(p->waiting);
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
