#include "node_impl.h"

#include "loads.h"
#include "outlier.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* The process did not run for this long: answers may lie unread. */
#define LATE_NS (120 * NS_PER_MS)
/* Clients have sent again, or given up, what waited for this long. */
#define PAUSED_NS NS_PER_S
/* A router that misses two answers, half a second apart, sends nothing more. */
#define STOP_LEAST_NS (1600 * NS_PER_MS)
#define STOP_QUIET_NS (600 * NS_PER_MS)
#define ROUND_MAX 16
/* Of the 3 s that a change has to be in force everywhere. */
#define BEHIND_MAX_NS NS_PER_S
/*
 * What a node may spend on control, and what heartbeats without loads take of
 * it: with ten peers, five times a second, half. Loads and failing targets have
 * the rest: many loads are told now and then, a few with every heartbeat. Failing
 * targets are told each time, and loads wait for it.
 */
#define CONTROL_BYTES_PER_S 21000ULL
#define HEAD_BYTES 250
#define LOAD_BYTES 10
#define FAILING_BYTES 9

/*
 * Loads are not told before what was sent is paid for; neither are heartbeats
 * that come before their time, but for them.
 */
static void pay(struct node *n, const struct hello *h, uint32_t count)
{
	uint64_t heads_per_s =
		count * HEAD_BYTES * NS_PER_S / n->policy->heartbeat_ns;
	uint64_t rate = CONTROL_BYTES_PER_S / 2;
	uint64_t bytes = h->n_loads * LOAD_BYTES + h->n_failing * FAILING_BYTES;

	if (heads_per_s < CONTROL_BYTES_PER_S / 2)
		rate = CONTROL_BYTES_PER_S - heads_per_s;
	if (path_any_loaded(n->path))
		bytes += HEAD_BYTES;
	if (n->loads_ns < n->now_ns)
		n->loads_ns = n->now_ns;
	n->loads_ns += bytes * count * NS_PER_S / rate;
}

/*
 * Requests that wait here go by what the peers told: a heartbeat every 200 ms
 * instead of 60 lets targets run idle, and others be given too many.
 */
static void hurry(struct node *n)
{
	uint64_t next_ns = n->now_ns + n->policy->heartbeat_loaded_ns;

	if (!path_any_loaded(n->path))
		return;
	peer_set_expedite(n->peers,
			  next_ns > n->loads_ns ? next_ns : n->loads_ns);
}

/* Whether anything is known that was of the moment when it was read. */
bool node_knows(const struct node *n)
{
	return documents_synced(n->documents).revision;
}

struct sync_state node_knowledge(const struct node *n)
{
	return (struct sync_state){
		documents_newest(n->documents),
		documents_retained_digest(n->documents),
		n->carried_taken,
	};
}

/* Longer than anybody carries over what the platform lost. */
#define EPOCH_TOLD_NS (60 * NS_PER_S)

static void tell_knowledge(const struct node *n, struct hello *h)
{
	uint64_t age_ns = n->now_ns - documents_epoch_start_ns(n->documents);

	h->newest = documents_newest(n->documents);
	h->retained_digest = documents_retained_digest(n->documents);
	h->epoch_age_ms = age_ns < EPOCH_TOLD_NS
				  ? (uint32_t)(age_ns / NS_PER_MS)
				  : UINT32_MAX;
}

enum hello_reason { HELLO_NEWS, HELLO_ANSWER };

static void send_hello(struct node *n, const uint64_t *to, uint32_t count,
		       const struct target *dead, enum hello_reason why)
{
	struct hello h = { 0 };

	if (!count)
		return;
	peer_set_fill_hello(n->peers, &h, n->now_ns);
	h.leaving = n->stop_ns;
	/* Nobody is to take for new what may be seconds old. */
	if (node_knows(n))
		tell_knowledge(n, &h);
	else
		h.reply = true; /* who knows something is to say so at once */
	/* Two that know nothing would answer each other without end. */
	if (why == HELLO_ANSWER)
		h.reply = false;
	if (dead)
		h.dead[h.n_dead++] = target_incarnation(dead);
	else if (n->now_ns >= n->loads_ns && n->policy->tell_loads)
		loads_fill_hello(n->directory, &h);
	if (n->policy->tell_failures)
		loads_fill_hello_failing(n->directory, &h, n->policy,
					 n->now_ns);
	pay(n, &h, count);
	n->port.hello(n->port.ctx, to, count, &h);
}

/* Tell the neighbours now what can't wait for the next heartbeat. */
void node_tell(struct node *n, const struct target *dead)
{
	uint64_t to[ROUND_MAX];
	uint32_t count = peer_set_sample(n->peers, n->now_ns, to, ROUND_MAX);

	send_hello(n, to, count, dead, HELLO_NEWS);
}

static void probe(void *ctx, const struct target *t)
{
	struct node *n = ctx;

	n->port.probe(n->port.ctx, t);
}

static void again(void *ctx, const struct flow_seen *f, uint8_t reason)
{
	struct node *n = ctx;

	n->port.again(n->port.ctx, f, reason);
}

static void send_on(void *ctx, const struct flow_seen *f, const uint8_t *bytes,
		    uint32_t n_bytes)
{
	struct node *n = ctx;

	n->port.send(n->port.ctx, f, bytes, n_bytes);
}

static void reset(void *ctx, const struct flow_seen *f)
{
	struct node *n = ctx;

	n->port.reset(n->port.ctx, f);
}

static void dead(void *ctx, const struct target *t)
{
	node_tell(ctx, t);
}

static void health(void *ctx, const struct target *t, uint8_t before)
{
	struct node *n = ctx;

	n->port.health(n->port.ctx, t, before);
}

static void eject(void *ctx, const struct target *t, float usual_failures)
{
	struct node *n = ctx;
	uint64_t ms = (t->ejected_until_ns - n->now_ns) / NS_PER_MS;

	n->counters.ejections++;
	n->port.log(n->port.ctx, NODE_WARNING, "target.eject",
		    directory_service_name(n->directory, t->advertised.service),
		    "target %llx gets no new flows for %llu ms: %.1f requests "
		    "failed of late here, %.1f at peers, %.1f at others of it",
		    (unsigned long long)t->advertised.id,
		    (unsigned long long)ms,
		    (double)outlier_failure_count(t, n->policy, n->now_ns),
		    (double)t->peers_failures, (double)usual_failures);
}

/* Hash of the name of its data centre. */
uint32_t node_zone(const struct node *n)
{
	return (uint32_t)hash_text(n->conf.data_centre);
}

static int make(struct node *n)
{
	const struct node_conf *conf = &n->conf;
	struct directory_conf dir = { conf->flow_lifetime_ns,
				      n->policy->return_ns };
	struct documents_port changed = { n, node_document_changed,
					  node_document_compare };
	struct documents_expiry kept = { conf->flow_lifetime_ns,
					 n->policy->return_ns };
	struct path_port port = {
		.ctx = n,
		.health = { n, probe, dead, health },
		.again = again,
		.send = send_on,
		.reset = reset,
		.eject = eject,
	};
	struct path_conf path = {
		.policy = n->policy,
		.flows_max = conf->flows_max,
		.flow_lifetime_ns = conf->flow_lifetime_ns,
		.start_ns = n->now_ns,
	};
	struct peer_set_conf peers = {
		.self = conf->self,
		.boot = conf->boot,
		.period_ns = n->policy->heartbeat_ns,
		.n_seeds = conf->n_seeds,
	};
	struct rng rng = { hash_u64(conf->self, conf->boot) | 1 };

	memcpy(peers.seeds, conf->seeds, sizeof(conf->seeds));
	peers.zone = node_zone(n);
	n->directory = directory_new(&dir);
	n->documents = documents_new(changed, kept);
	n->peers = peer_set_new(&peers, rng);
	if (!n->directory || !n->documents || !n->peers)
		return -ENOMEM;
	path.zone = peers.zone;
	rng.state = rng_next(&rng) | 1;
	n->path = path_new(&path, n->directory, port, rng);
	n->pacer = pacer_new(n->policy, conf->link_bytes_per_s);
	return n->path && n->pacer ? 0 : -ENOMEM;
}

/**
 * node_new() - an entry that knows nothing yet
 * @conf: settings
 * @port: what it needs from outside
 * @now_ns: time
 *
 * Return: entry, or NULL without memory.
 */
struct node *node_new(const struct node_conf *conf, struct node_port port,
		      uint64_t now_ns)
{
	struct node *n = calloc(1, sizeof(*n));

	if (!n)
		return NULL;
	n->conf = *conf;
	n->policy = conf->policy ? conf->policy : &policy_default;
	n->port = port;
	n->now_ns = now_ns;
	n->start_ns = now_ns;
	n->source.start_ns = now_ns;
	n->source.exact = !n->policy->old_listing;
	if (!make(n))
		return n;
	node_free(n);
	return NULL;
}

void node_free(struct node *n)
{
	if (!n)
		return;
	path_free(n->path);
	pacer_free(n->pacer);
	peer_set_free(n->peers);
	documents_free(n->documents);
	directory_free(n->directory);
	free(n);
}

/*
 * What is missing here may be taken as absent only when no peer is known to
 * know more. Worked out when something changes, not for each packet: it walks
 * all peers.
 */
static void judge_fresh(struct node *n)
{
	struct sync_state own = node_knowledge(n);
	const struct peer_vm *p =
		peer_set_find_ahead_of(n->peers, &own, n->now_ns);
	bool missing = p && !position_after(p->newest, own.newest);

	n->fresh = node_knows(n) && !p;
	if (!missing)
		n->missing_ns = 0;
	else if (!n->missing_ns)
		n->missing_ns = n->now_ns;
	if (!position_after(n->behind, own.newest))
		n->behind_ns = 0;
	if (p && !n->behind_ns) {
		n->behind_ns = n->now_ns;
		n->behind = p->newest;
	}
}

/**
 * node_packet() - decide on a packet of a client
 * @n: entry
 * @k: packet
 * @now_ns: time
 * @out: filled
 */
void node_packet(struct node *n, const struct packet *k, uint64_t now_ns,
		 struct path_verdict *out)
{
	n->now_ns = now_ns;
	n->client_ns = now_ns;
	path_packet(n->path, k, n->fresh, now_ns, out);
}

/*
 * A peer that knows more since a moment ago is no reason to wait: while targets
 * publish themselves all the time there always is one. One that carries over
 * what the platform lost is: a configuration may be among it. If it does not
 * answer, that is no reason to wait for long.
 */
static bool nearly_fresh(const struct node *n)
{
	if (n->missing_ns && n->missing_ns + BEHIND_MAX_NS > n->now_ns)
		return false;
	return node_knows(n) && n->behind_ns + BEHIND_MAX_NS > n->now_ns;
}

void node_judge_ready(struct node *n)
{
	bool ready = n->ready;

	judge_fresh(n);
	/* Once ready it stays so: a peer that is ahead is no reason to leave. */
	if (node_version(n) && (ready || n->fresh || nearly_fresh(n)))
		ready = true;
	if (n->stop_ns)
		ready = false;
	if (ready == n->ready)
		return;
	n->ready = ready;
	n->port.log(n->port.ctx, NODE_INFO, "ready", NULL,
		    "%s, configuration %llu, revision %llu, %u targets, "
		    "%u peers",
		    ready ? "yes" : "no", (unsigned long long)node_version(n),
		    (unsigned long long)documents_synced(n->documents).revision,
		    directory_target_count(n->directory),
		    peer_set_count_live(n->peers, n->now_ns));
}

/**
 * node_tick() - what time brings; every 20 ms
 * @n: entry
 * @now_ns: time
 */
void node_tick(struct node *n, uint64_t now_ns)
{
	uint64_t to[ROUND_MAX];
	struct directory_tick_times clock;
	uint32_t count;

	n->now_ns = now_ns;
	path_tick(n->path, now_ns);
	count = peer_set_take_due(n->peers, !node_knows(n), now_ns, to,
				  ROUND_MAX);
	if (count) {
		send_hello(n, to, count, NULL, HELLO_NEWS);
		hurry(n);
		loads_sum_peers(n->directory, n->peers, now_ns);
	}
	node_call(n);
	documents_tick(n->documents, now_ns);
	clock = (struct directory_tick_times){
		now_ns,
		peer_set_platform_fault_ns(n->peers),
		peer_set_last_contact_ns(n->peers),
	};
	directory_tick(n->directory, &clock);
	node_cold_tick(n);
	node_judge_ready(n);
}

static void hear_epoch(struct node *n, const struct hello *h)
{
	uint64_t age_ns = h->epoch_age_ms * NS_PER_MS;

	if (h->newest.revision)
		documents_lower_epoch_start(
			n->documents, h->newest.epoch,
			n->now_ns > age_ns ? n->now_ns - age_ns : 0);
}

/**
 * node_hello() - a heartbeat came
 * @n: entry
 * @h: heartbeat
 * @now_ns: time
 */
void node_hello(struct node *n, const struct hello *h, uint64_t now_ns)
{
	n->now_ns = now_ns;
	peer_set_receive(n->peers, h, now_ns);
	hear_epoch(n, h);
	for (uint32_t i = 0; i < h->n_dead; i++)
		path_told_dead(n->path, &h->dead[i]);
	if (h->reply)
		send_hello(n, &h->from, 1, NULL, HELLO_ANSWER);
	/* Both walk all peers; hundreds of heartbeats a second come when all
	 * start at once, and the tick does the rest. */
	if (position_after(h->newest, documents_newest(n->documents))) {
		node_call(n);
		node_judge_ready(n);
	}
}

/**
 * node_probed() - a connection attempt ended
 * @n: entry
 * @who: target, and its process when the attempt began
 * @outcome: what it showed
 * @since_ns: when the attempt began
 * @now_ns: time
 */
void node_probed(struct node *n, const struct incarnation *who,
		 enum probe_outcome outcome, uint64_t since_ns, uint64_t now_ns)
{
	n->now_ns = now_ns;
	path_probed(n->path, who, outcome, since_ns, now_ns);
}

/**
 * node_late() - this process did not run for a while
 * @n: entry
 * @gap_ns: how long
 * @now_ns: time
 *
 * After a pause the sockets hold what clients sent long ago: flows would be
 * opened for nobody, on a view of the others that may have gone on.
 *
 * Return: whether packets that wait are to be dropped unread.
 */
bool node_late(struct node *n, uint64_t gap_ns, uint64_t now_ns)
{
	if (gap_ns <= LATE_NS)
		return false;
	n->now_ns = now_ns;
	n->counters.held_up++;
	path_held_up(n->path, now_ns);
	if (gap_ns < PAUSED_NS)
		return false;
	n->counters.paused++;
	n->paused_ns = now_ns;
	n->port.log(n->port.ctx, NODE_WARNING, "paused", NULL,
		    "did not run for %llu ms, what waited is dropped",
		    (unsigned long long)(gap_ns / NS_PER_MS));
	return true;
}

/**
 * node_stop() - a planned stop begins: not ready, forwarding goes on
 * @n: entry
 * @now_ns: time
 */
void node_stop(struct node *n, uint64_t now_ns)
{
	if (n->stop_ns)
		return;
	n->now_ns = now_ns;
	n->stop_ns = now_ns;
	path_stop(n->path, now_ns);
	node_judge_ready(n);
	node_tell(n, NULL);
}

/**
 * node_stopped() - whether a planned stop may end the process
 * @n: entry
 * @now_ns: time
 *
 * Return: whether the router has moved on, or time is up.
 */
bool node_stopped(const struct node *n, uint64_t now_ns)
{
	uint64_t since_ns = now_ns - n->stop_ns;

	if (!n->stop_ns)
		return false;
	if (since_ns >= n->conf.stop_ns)
		return true;
	return since_ns >= STOP_LEAST_NS &&
	       n->client_ns + STOP_QUIET_NS <= now_ns;
}
