#include "path_impl.h"

#include "place.h"

#include <stdlib.h>
#include <string.h>

/* Each sample has a weight of 1 / divisor in the moving mean. */
#define ANSWER_DIVISOR 32
#define OPEN_DIVISOR 16
/* Until a feed is seen: one request a second that takes 50 ms. */
#define FEED_LOAD_INITIAL 0.05f

const char *const path_reason_names[PATH_REASON_COUNT] = {
#define X(name) #name,
	PATH_REASONS(X)
#undef X
};

/**
 * path_new() - create the state of the decisions on packets
 * @conf: settings, copied; its policy must outlive the state
 * @d: directory; not owned, must outlive the state
 * @port: calls to the owner
 * @rng: seeded random number generator, copied
 *
 * Return: state, to be freed with path_free(), or NULL when out of memory.
 */
struct path *path_new(const struct path_conf *conf, struct directory *d,
		      struct path_port port, struct rng rng)
{
	struct path *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->conf = *conf;
	p->policy = conf->policy ? conf->policy : &policy_usual;
	p->directory = d;
	p->port = port;
	p->rng = rng;
	p->feed_load = FEED_LOAD_INITIAL;
	for (uint32_t i = 0; i < ROUTE_KINDS; i++)
		p->answer_ns[i] = p->policy->request_due_max_ns /
				  p->policy->request_due_means;
	p->wait_queue = wait_queue_new(p->policy->waiting_max);
	p->flows = flow_cache_new(conf->flows_max, p->wait_queue);
	if (p->wait_queue && p->flows)
		return p;
	path_free(p);
	return NULL;
}

void path_free(struct path *p)
{
	if (!p)
		return;
	flow_cache_free(p->flows);
	wait_queue_free(p->wait_queue);
	free(p);
}

/*
 * Whether @a is a better target than @b to compare an unresponsive target with.
 * Targets of this data centre are better, since others may be cut off; among
 * equals the one with the latest sign of life.
 */
static bool is_better_witness(const struct path *p, const struct target *a,
			      const struct target *b)
{
	bool a_is_local = a->news.zone == p->conf.zone;
	bool b_is_local = b->news.zone == p->conf.zone;

	return a_is_local != b_is_local ? a_is_local
					: a->alive_ns > b->alive_ns;
}

/*
 * Probe another target that is expected to answer. Its answer shows that this
 * VM's own link works. While all other targets are suspected, a fault of the link
 * is more likely than one of all targets; their pending probes then serve the
 * same purpose.
 * Return: whether any other target can answer: one that was probed now, or one
 * that is suspected.
 */
static bool probe_witness(void *ctx, const struct target *about)
{
	struct path *p = ctx;
	struct target *best = NULL;
	struct health_context c;
	bool has_suspected = false;

	for (uint32_t i = 0; i < directory_slots(p->directory); i++) {
		struct target *t = directory_slot(p->directory, i);

		if (t == about || t->stage == TARGET_ABSENT ||
		    directory_evacuated(p->directory, t))
			continue;
		has_suspected |= t->health == HEALTH_DOUBTED;
		if (t->health == HEALTH_GOOD &&
		    (!best || is_better_witness(p, t, best)))
			best = t;
	}
	if (!best)
		return has_suspected;
	c = path_health_context(p, about->probed_ns);
	health_probe(best, &c);
	return true;
}

struct health_context path_health_context(struct path *p, uint64_t now_ns)
{
	return (struct health_context){ p->policy, &p->port.health,
					now_ns,	   probe_witness,
					p,	   p->answered_probe_ns };
}

static void mark_alive(struct path *p, struct target *t, uint64_t now_ns)
{
	struct health_context c = path_health_context(p, now_ns);

	health_answered(t, &c);
}

void path_suspect(struct path *p, struct target *t, uint64_t since_ns,
		  uint64_t now_ns)
{
	struct health_context c = path_health_context(p, now_ns);

	health_doubt(t, &c, since_ns);
}

static void set_verdict(struct path *p, struct path_verdict *out,
			uint8_t action, uint8_t reason, const struct target *t)
{
	out->action = action;
	out->reason = reason;
	out->target = t;
	p->counts[reason]++;
}

/* Whether the policy demands a reset of the flows of a target in this state. */
bool path_must_reset_flows(const struct path *p, const struct target *t)
{
	return (t->health == HEALTH_DEAD && p->policy->reset_dead) ||
	       (t->health == HEALTH_SILENT && p->policy->reset_silent);
}

/* Time after which an incomplete handshake is retried at another target. */
uint64_t path_handshake_timeout_ns(const struct path *p)
{
	uint64_t due_ns = p->open_ns * p->policy->opening_due_means;

	return due_ns > p->policy->opening_due_ns ? due_ns
						  : p->policy->opening_due_ns;
}

uint64_t path_answer_timeout_ns(const struct path *p, uint8_t kind)
{
	uint64_t due_ns = p->answer_ns[kind] * p->policy->request_due_means;

	if (due_ns < p->policy->request_due_min_ns)
		return p->policy->request_due_min_ns;
	if (due_ns > p->policy->request_due_max_ns)
		return p->policy->request_due_max_ns;
	return due_ns;
}

struct target *path_assign_target(struct path *p, const struct flow_key *key,
				  const struct route *r,
				  const struct target *avoid, uint64_t now_ns)
{
	struct place_query q = {
		.policy = p->policy,
		.service = route_service(r, flow_hash(key)),
		.zone = p->conf.zone,
		.kind = r->kind,
		.avoid = avoid,
		.feed_load = p->feed_load,
		.now_ns = now_ns,
	};

	return place_target(p->directory, &q, &p->rng);
}

/* Keep a packet for path_port.resend; only one without data may be resent. */
static void keep_for_resend(struct flow_state *f, const struct packet *k)
{
	if (k->size_bytes || k->n_bytes > RESEND_MAX_BYTES)
		return;
	f->resend_bytes = (uint8_t)k->n_bytes;
	memcpy(f->resend_packet, k->bytes, k->n_bytes);
}

/*
 * A repeated SYN shows that no answer reached the client. It is assigned to
 * another target, since the first one may be dead or full. If both answer, the
 * client uses one and the other's handshake is never completed.
 */
static void handle_syn(struct path *p, const struct packet *k,
		       const struct route *r, uint64_t now_ns,
		       struct path_verdict *out)
{
	struct flow_state *f = flow_cache_find(p->flows, &k->flow);
	const struct target *avoid = NULL;
	struct target *t;

	if (f && f->stage == FLOW_OPEN) {
		set_verdict(p, out, PATH_FORWARD, PATH_pinned, f->target);
		return;
	}
	if (f && f->stage == FLOW_CLOSED) { /* the client reuses its port */
		flow_cache_remove(p->flows, f);
		f = NULL;
	}
	if (f) {
		path_suspect(p, f->target, f->opened_ns, now_ns);
		avoid = f->target;
	}
	t = path_assign_target(p, &k->flow, r, avoid, now_ns);
	if (!t) {
		set_verdict(p, out, PATH_RESET, PATH_no_target, NULL);
		return;
	}
	if (f)
		flow_cache_set_target(p->flows, f, t);
	else
		f = flow_cache_add(p->flows, &k->flow, t, r->kind, FLOW_OPENING,
				   now_ns);
	flow_cache_touch(p->flows, f, now_ns);
	f->forwarded_ns = now_ns;
	f->seq = k->seq;
	keep_for_resend(f, k);
	if (p->policy->opening_due_ns)
		f->answer_due_ns = now_ns + path_handshake_timeout_ns(p);
	set_verdict(p, out, PATH_FORWARD,
		    avoid ? PATH_placed_copy : PATH_placed, t);
}

static void handle_answer(struct path *p, struct flow_state *f,
			  uint32_t size_bytes, uint64_t now_ns)
{
	uint64_t elapsed_ns = now_ns - f->forwarded_ns;
	uint64_t *mean_ns = &p->answer_ns[f->kind];
	bool small;

	if (!f->busy)
		return;
	histogram_add(&p->latencies[f->kind].answer_us, elapsed_ns / NS_PER_US);
	small = outlier_small(&p->sizes, p->policy, f->kind, size_bytes);
	if (small)
		outlier_failed(f->target, p->policy, now_ns);
	if (f->running)
		path_record_answer(p, f, small, now_ns);
	*mean_ns += elapsed_ns / ANSWER_DIVISOR - *mean_ns / ANSWER_DIVISOR;
	flow_cache_set_busy(p->flows, f, false);
	path_release_queued(p, f->target->news.service, now_ns);
}

/*
 * Clients repeat requests that they sent while no entry forwarded them. A repeat
 * can't be told from a new request, but nearly all requests that a young process
 * gets first on flows whose handshake it has not seen are repeats.
 */
static bool presumed_repeat(const struct path *p, const struct flow_state *f,
			    uint64_t now_ns)
{
	bool young = now_ns < p->conf.start_ns + p->policy->young_ns;
	bool first = f->opened_ns == now_ns;

	return young && first && !f->rtt_ns;
}

/* Start a request of the client. */
static void begin_request(struct path *p, struct flow_state *f,
			  const struct route *r, uint64_t now_ns)
{
	f->priority = r->priority;
	f->arrived_ns = now_ns;
	f->objective_deadline_ns =
		r->aim_ms ? now_ns + r->aim_ms * NS_PER_MS : 0;
	if (f->objective_deadline_ns && presumed_repeat(p, f, now_ns))
		f->objective_deadline_ns = now_ns;
	f->expires_ns = now_ns + r->timeout_ms * NS_PER_MS;
	flow_cache_set_busy(p->flows, f, true);
}

/*
 * Handle a packet with data: the first of a request, another one of the request
 * in progress, or a repeat.
 * Return: whether the packet was queued or repeats a queued one.
 */
static bool handle_data(struct path *p, struct flow_state *f,
			const struct packet *k, const struct route *r,
			uint64_t quiet_ns, uint64_t now_ns)
{
	if ((int32_t)(k->seq - f->seq) <= 0) {
		if (f->waiting)
			return true;
		if (quiet_ns >= p->policy->repeat_quiet_ns)
			path_suspect(p, f->target, f->forwarded_ns, now_ns);
		return false;
	}
	f->seq = k->seq;
	if (!f->busy) {
		begin_request(p, f, r, now_ns);
		if (path_queue_request(p, f, k))
			return true;
		path_request_sent(p, f, now_ns);
	} else if (!f->waiting) {
		f->answer_due_ns = now_ns + path_answer_timeout_ns(p, f->kind);
	}
	return false;
}

/*
 * Update the flow and its target's health from a packet other than a SYN.
 * Return: whether the packet was queued or repeats a queued one.
 */
static bool track_packet(struct path *p, struct flow_state *f,
			 const struct packet *k, const struct route *r,
			 uint64_t now_ns)
{
	bool newer_ack = (int32_t)(k->ack - f->ack) > 0;
	uint64_t quiet_ns = now_ns - f->seen_ns;

	flow_cache_touch(p->flows, f, now_ns);
	if (f->stage == FLOW_CLOSED)
		return false;
	if (f->stage == FLOW_OPENING) {
		uint64_t elapsed_ns = now_ns - f->opened_ns;

		histogram_add(&p->latencies[f->kind].open_us,
			      elapsed_ns / NS_PER_US);
		p->open_ns +=
			elapsed_ns / OPEN_DIVISOR - p->open_ns / OPEN_DIVISOR;
		f->stage = FLOW_OPEN;
		f->rtt_ns = now_ns - f->forwarded_ns;
		f->resend_bytes = 0;
		f->ack = k->ack;
		f->seq = k->seq - 1;
		f->answer_due_ns = 0;
		mark_alive(p, f->target, now_ns);
	} else if (newer_ack) {
		uint32_t size_bytes = k->ack - f->ack;

		f->ack = k->ack;
		mark_alive(p, f->target, now_ns);
		handle_answer(p, f, size_bytes, now_ns);
	}
	if (k->flags & (PACKET_FIN | PACKET_RST)) {
		flow_cache_close(p->flows, f);
		path_release_queued(p, f->target->news.service, now_ns);
		return false;
	}
	keep_for_resend(f, k);
	return k->size_bytes && handle_data(p, f, k, r, quiet_ns, now_ns);
}

static struct flow_state *find_or_add_flow(struct path *p,
					   const struct packet *k,
					   struct target *t, uint8_t kind,
					   uint64_t now_ns)
{
	struct flow_state *f = flow_cache_find(p->flows, &k->flow);

	if (!f) {
		f = flow_cache_add(p->flows, &k->flow, t, kind, FLOW_OPEN,
				   now_ns);
		f->seq = k->seq - 1;
		f->ack = k->ack;
	} else {
		flow_cache_set_target(p->flows, f, t);
	}
	return f;
}

/* Decide on a packet other than a SYN, whose target is named by its cookie. */
static void forward_by_cookie(struct path *p, const struct packet *k,
			      const struct route *r, bool fresh,
			      uint64_t now_ns, struct path_verdict *out)
{
	struct target *t = directory_by_cookie(p->directory, k->cookie);
	bool knows_route_history =
		now_ns > p->conf.start_ns + p->conf.flow_lifetime_ns;

	if (!k->cookie) {
		set_verdict(p, out, PATH_DROP, PATH_no_cookie, NULL);
		return;
	}
	if (!r) {
		set_verdict(p, out, fresh ? PATH_RESET : PATH_DROP,
			    PATH_route_dropped, t);
		return;
	}
	if (!t) {
		set_verdict(p, out, PATH_DROP, PATH_unknown_cookie, NULL);
		return;
	}
	/*
	 * Clients can forge cookies, so the target must belong to a service of
	 * the route. A process that has run for less than the lifetime of a flow
	 * doesn't know all services that the route had, and skips this check; the
	 * target itself rejects packets of unknown flows.
	 */
	if (knows_route_history && !route_allows(r, t->news.service, now_ns)) {
		set_verdict(p, out, PATH_DROP, PATH_foreign_cookie, t);
		return;
	}
	if (path_must_reset_flows(p, t)) {
		struct flow_state *f = flow_cache_find(p->flows, &k->flow);

		if (f)
			flow_cache_close(p->flows, f);
		set_verdict(p, out, PATH_RESET,
			    t->health == HEALTH_DEAD ? PATH_target_dead
						     : PATH_target_silent,
			    t);
		return;
	}
	if (track_packet(p, find_or_add_flow(p, k, t, r->kind, now_ns), k, r,
			 now_ns))
		set_verdict(p, out, PATH_WAIT, PATH_waits, t);
	else
		set_verdict(p, out, PATH_FORWARD, PATH_pinned, t);
}

/**
 * path_packet() - decide what is done with a packet of a client
 * @p: state
 * @k: packet; copied if it is kept or queued
 * @fresh: no peer is known to have newer documents; a missing route is then
 *	answered with a reset, otherwise the packet is dropped
 * @now_ns: current time
 * @out: set to the decision
 */
void path_packet(struct path *p, const struct packet *k, bool fresh,
		 uint64_t now_ns, struct path_verdict *out)
{
	const struct route_table *table = directory_table(p->directory);
	const struct route *r = route_table_find(table, k->flow.vip);

	out->ack = k->ack;
	out->kind = r ? r->kind : ROUTE_REPORT;
	if (!table)
		set_verdict(p, out, PATH_DROP, PATH_no_routes_yet, NULL);
	else if (!(k->flags & PACKET_SYN))
		forward_by_cookie(p, k, r, fresh, now_ns, out);
	else if (r)
		handle_syn(p, k, r, now_ns, out);
	else
		set_verdict(p, out, fresh ? PATH_RESET : PATH_DROP,
			    PATH_no_route, NULL);
	if (out->action == PATH_RESET && k->flags & PACKET_RST)
		out->action = PATH_DROP;
}

/**
 * path_verdict_counts() - get the number of decisions for each reason
 * @p: state
 *
 * Return: PATH_REASON_COUNT counters, indexed by enum path_reason, owned by @p.
 */
const uint64_t *path_verdict_counts(const struct path *p)
{
	return p->counts;
}

/**
 * path_latencies() - get the durations seen on flows of a kind
 * @p: state
 * @kind: enum route_kind
 *
 * Return: histograms, owned by @p.
 */
const struct path_latencies *path_latencies(const struct path *p, uint8_t kind)
{
	return &p->latencies[kind];
}

uint32_t path_flow_count(const struct path *p)
{
	return flow_cache_count(p->flows);
}

uint32_t path_queued_count(const struct path *p)
{
	return wait_queue_count(p->wait_queue);
}

/**
 * path_find_flow() - look up a flow in the cache
 * @p: state
 * @key: client address and VIP
 *
 * Return: flow, valid until the next call that changes @p, or NULL.
 */
const struct flow_state *path_find_flow(const struct path *p,
					const struct flow_key *key)
{
	return flow_cache_find(p->flows, key);
}

/* Mean number of requests in progress of an open feed. */
float path_feed_load(const struct path *p)
{
	return p->feed_load;
}
