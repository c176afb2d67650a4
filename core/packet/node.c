#include "node_impl.h"

#include "loads.h"
#include "outlier.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* A stall of the process after which answers may be unread in the sockets. */
#define STALL_MIN_NS (120 * NS_PER_MS)
/* After a pause of this length clients have repeated or given up their requests. */
#define PAUSE_MIN_NS NS_PER_S
/* The router stops sending packets after two missed answers, half a second apart. */
#define STOP_MIN_NS (1600 * NS_PER_MS)
#define STOP_QUIET_NS (600 * NS_PER_MS)
/* Most recipients of one heartbeat. */
#define RECIPIENTS_MAX 16
/* Part of the 3 s within which a change has to be in force everywhere. */
#define BEHIND_MAX_NS NS_PER_S
/*
 * Budget of an entry for control traffic. Heartbeats without loads to ten peers,
 * five times a second, take half of it. Loads and failing targets share the rest:
 * few loads are sent with every heartbeat, many less often. Failing targets are
 * sent each time, which delays the loads.
 */
#define CONTROL_BYTES_PER_S 21000ULL
#define HELLO_HEAD_BYTES 250
#define LOAD_BYTES 10
#define FAILING_BYTES 9

/*
 * Charge a heartbeat to the budget of control traffic, which sets when the next
 * loads may be sent. Heads of regular heartbeats are charged as a constant rate,
 * those of expedited ones, which are sent only for their loads, one by one.
 */
static void charge_hello(struct node *n, const struct hello *h, uint32_t count)
{
	uint64_t head_bytes_per_s =
		count * HELLO_HEAD_BYTES * NS_PER_S / n->policy->heartbeat_ns;
	uint64_t bytes_per_s = CONTROL_BYTES_PER_S / 2;
	uint64_t bytes = h->n_loads * LOAD_BYTES + h->n_failing * FAILING_BYTES;

	if (head_bytes_per_s < CONTROL_BYTES_PER_S / 2)
		bytes_per_s = CONTROL_BYTES_PER_S - head_bytes_per_s;
	if (path_has_loaded_target(n->path))
		bytes += HELLO_HEAD_BYTES;
	if (n->loads_due_ns < n->now_ns)
		n->loads_due_ns = n->now_ns;
	n->loads_due_ns += bytes * count * NS_PER_S / bytes_per_s;
}

/*
 * Send the next heartbeat earlier while targets are loaded. Queued requests are
 * forwarded by the loads that peers reported; with a heartbeat every 200 ms
 * instead of every 60 ms some targets would idle and others get too many requests.
 */
static void expedite_heartbeat(struct node *n)
{
	uint64_t next_ns = n->now_ns + n->policy->heartbeat_loaded_ns;

	if (!path_has_loaded_target(n->path))
		return;
	peer_set_hurry(n->peers,
		       next_ns > n->loads_due_ns ? next_ns : n->loads_due_ns);
}

/* Whether the documents were complete at some position; pages of a listing that
 * may be old are not. */
bool node_has_snapshot(const struct node *n)
{
	return documents_through(n->documents).revision;
}

struct knowledge node_known_positions(const struct node *n)
{
	return (struct knowledge){
		documents_newest(n->documents),
		documents_carried(n->documents),
		n->retained_fetched,
	};
}

/* Longer than any entry retains documents that the platform lost. */
#define EPOCH_AGE_MAX_NS (60 * NS_PER_S)

static void fill_positions(const struct node *n, struct hello *h)
{
	uint64_t age_ns = n->now_ns - documents_began_ns(n->documents);

	h->newest = documents_newest(n->documents);
	h->carried = documents_carried(n->documents);
	h->epoch_age_ms = age_ns < EPOCH_AGE_MAX_NS
				  ? (uint32_t)(age_ns / NS_PER_MS)
				  : UINT32_MAX;
}

enum hello_reason { HELLO_UNSOLICITED, HELLO_REPLY };

static void send_hello(struct node *n, const uint64_t *to, uint32_t count,
		       const struct target *dead, enum hello_reason why)
{
	struct hello h = { 0 };

	if (!count)
		return;
	peer_set_fill(n->peers, &h, n->now_ns);
	h.leaving = n->stop_ns;
	/* Documents that may be seconds old must not be advertised as new. */
	if (node_has_snapshot(n))
		fill_positions(n, &h);
	else
		h.reply = true; /* asks for positions at once */
	/* Two entries without a snapshot would answer each other without end. */
	if (why == HELLO_REPLY)
		h.reply = false;
	if (dead)
		h.dead[h.n_dead++] = target_incarnation(dead);
	else if (n->now_ns >= n->loads_due_ns && n->policy->tell_loads)
		loads_fill(n->directory, &h);
	if (n->policy->tell_failures)
		loads_fill_failing(n->directory, &h, n->policy, n->now_ns);
	charge_hello(n, &h, count);
	n->port.hello(n->port.ctx, to, count, &h);
}

/*
 * Send a heartbeat to the neighbours at once, without waiting for the next regular
 * one. @dead: target whose process was found dead, or NULL.
 */
void node_advertise(struct node *n, const struct target *dead)
{
	uint64_t to[RECIPIENTS_MAX];
	uint32_t count =
		peer_set_neighbours(n->peers, n->now_ns, to, RECIPIENTS_MAX);

	send_hello(n, to, count, dead, HELLO_UNSOLICITED);
}

static void probe_target(void *ctx, const struct target *t)
{
	struct node *n = ctx;

	n->port.probe(n->port.ctx, t);
}

static void resend(void *ctx, const struct flow_state *f, uint8_t reason)
{
	struct node *n = ctx;

	n->port.resend(n->port.ctx, f, reason);
}

static void send_queued(void *ctx, const struct flow_state *f,
			const uint8_t *bytes, uint32_t n_bytes)
{
	struct node *n = ctx;

	n->port.send_queued(n->port.ctx, f, bytes, n_bytes);
}

static void reset_flow(void *ctx, const struct flow_state *f)
{
	struct node *n = ctx;

	n->port.reset(n->port.ctx, f);
}

static void advertise_dead(void *ctx, const struct target *t)
{
	node_advertise(ctx, t);
}

static void report_health(void *ctx, const struct target *t, uint8_t before)
{
	struct node *n = ctx;

	n->port.health(n->port.ctx, t, before);
}

static void log_ejection(void *ctx, const struct target *t,
			 float others_failures)
{
	struct node *n = ctx;
	uint64_t ms = (t->ejected_until_ns - n->now_ns) / NS_PER_MS;

	n->counters.ejections++;
	n->port.log(n->port.ctx, NODE_WARNING, "target.eject",
		    directory_name_text(n->directory, t->news.service),
		    "target %llx gets no new flows for %llu ms: %.1f recent "
		    "failures here, %.1f at peers, %.1f on average at the "
		    "other targets of its service",
		    (unsigned long long)t->news.id, (unsigned long long)ms,
		    (double)outlier_failures(t, n->policy, n->now_ns),
		    (double)t->peers_failures, (double)others_failures);
}

/* Hash of the name of the entry's data centre. */
uint32_t node_zone(const struct node *n)
{
	return (uint32_t)hash_text(n->conf.data_centre);
}

static int create_parts(struct node *n)
{
	const struct node_conf *conf = &n->conf;
	struct directory_conf dir = { conf->flow_lifetime_ns,
				      n->policy->return_ns };
	struct documents_port changed = { n, node_document_changed,
					  node_document_compare };
	struct documents_times kept = { conf->flow_lifetime_ns,
					n->policy->return_ns };
	struct path_port port = {
		.ctx = n,
		.health = { n, probe_target, advertise_dead, report_health },
		.resend = resend,
		.send_queued = send_queued,
		.reset = reset_flow,
		.eject = log_ejection,
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
	rng.s = rng_next(&rng) | 1;
	n->path = path_new(&path, n->directory, port, rng);
	n->pacer = pacer_new(n->policy, conf->link_bytes_per_s);
	return n->path && n->pacer ? 0 : -ENOMEM;
}

/**
 * node_new() - create an entry without documents
 * @conf: settings, copied; the policy must outlive the entry
 * @port: calls to the owner, copied
 * @now_ns: current time
 *
 * Return: entry, to be freed with node_free(), or NULL when out of memory.
 */
struct node *node_new(const struct node_conf *conf, struct node_port port,
		      uint64_t now_ns)
{
	struct node *n = calloc(1, sizeof(*n));

	if (!n)
		return NULL;
	n->conf = *conf;
	n->policy = conf->policy ? conf->policy : &policy_usual;
	n->port = port;
	n->now_ns = now_ns;
	n->start_ns = now_ns;
	n->source.start_ns = now_ns;
	n->source.exact = !n->policy->old_listing;
	if (!create_parts(n))
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
 * Update whether a document that is missing here may be taken as absent, which
 * holds only when no peer is known to be ahead. Called when something changes, not
 * for each packet, since it walks all peers.
 */
static void update_fresh(struct node *n)
{
	struct knowledge own = node_known_positions(n);
	const struct peer_vm *p = peer_set_ahead(n->peers, &own, n->now_ns);
	bool lacks_retained = p && !position_after(p->newest, own.newest);

	n->fresh = node_has_snapshot(n) && !p;
	if (!lacks_retained)
		n->lacks_retained_ns = 0;
	else if (!n->lacks_retained_ns)
		n->lacks_retained_ns = n->now_ns;
	if (!position_after(n->behind_position, own.newest))
		n->behind_ns = 0;
	if (p && !n->behind_ns) {
		n->behind_ns = n->now_ns;
		n->behind_position = p->newest;
	}
}

/**
 * node_packet() - decide what is done with a packet of a client
 * @n: entry
 * @k: packet; copied if it is kept or queued
 * @now_ns: current time
 * @out: set to the decision
 */
void node_packet(struct node *n, const struct packet *k, uint64_t now_ns,
		 struct path_verdict *out)
{
	n->now_ns = now_ns;
	n->last_client_packet_ns = now_ns;
	path_packet(n->path, k, n->fresh, now_ns, out);
}

/*
 * Whether the entry may become ready though a peer is ahead of it. A peer that got
 * ahead less than BEHIND_MAX_NS ago does not prevent it: while targets publish
 * themselves all the time some peer always is ahead. A peer that retains documents
 * of earlier epochs does for as long as that, since a configuration may be among
 * them; no longer, since the peer may not answer.
 */
static bool is_nearly_fresh(const struct node *n)
{
	if (n->lacks_retained_ns &&
	    n->lacks_retained_ns + BEHIND_MAX_NS > n->now_ns)
		return false;
	return node_has_snapshot(n) && n->behind_ns + BEHIND_MAX_NS > n->now_ns;
}

void node_update_ready(struct node *n)
{
	bool ready = n->ready;

	update_fresh(n);
	/* An entry that is ready stays so when a peer gets ahead. */
	if (node_configuration_version(n) &&
	    (ready || n->fresh || is_nearly_fresh(n)))
		ready = true;
	if (n->stop_ns)
		ready = false;
	if (ready == n->ready)
		return;
	n->ready = ready;
	n->port.log(
		n->port.ctx, NODE_INFO, "ready", NULL,
		"%s, configuration %llu, revision %llu, %u targets, "
		"%u peers",
		ready ? "yes" : "no",
		(unsigned long long)node_configuration_version(n),
		(unsigned long long)documents_through(n->documents).revision,
		directory_slots(n->directory),
		peer_set_live(n->peers, n->now_ns));
}

/**
 * node_tick() - do what is due; to be called every 20 ms
 * @n: entry
 * @now_ns: current time
 */
void node_tick(struct node *n, uint64_t now_ns)
{
	uint64_t to[RECIPIENTS_MAX];
	struct directory_clock clock;
	uint32_t count;

	n->now_ns = now_ns;
	path_tick(n->path, now_ns);
	count = peer_set_due(n->peers, !node_has_snapshot(n), now_ns, to,
			     RECIPIENTS_MAX);
	if (count) {
		send_hello(n, to, count, NULL, HELLO_UNSOLICITED);
		expedite_heartbeat(n);
		loads_sum(n->directory, n->peers, now_ns);
	}
	node_start_calls(n);
	documents_tick(n->documents, now_ns);
	clock = (struct directory_clock){
		now_ns,
		peer_set_trouble_ns(n->peers),
		peer_set_last_contact_ns(n->peers),
	};
	directory_tick(n->directory, &clock);
	node_cold_tick(n);
	node_update_ready(n);
}

static void record_epoch(struct node *n, const struct hello *h)
{
	uint64_t age_ns = h->epoch_age_ms * NS_PER_MS;

	if (h->newest.revision)
		documents_began(n->documents, h->newest.epoch,
				n->now_ns > age_ns ? n->now_ns - age_ns : 0);
}

/**
 * node_receive_hello() - handle a heartbeat of a peer
 * @n: entry
 * @h: heartbeat
 * @now_ns: current time
 */
void node_receive_hello(struct node *n, const struct hello *h, uint64_t now_ns)
{
	n->now_ns = now_ns;
	peer_set_hear(n->peers, h, now_ns);
	record_epoch(n, h);
	for (uint32_t i = 0; i < h->n_dead; i++)
		path_peer_reported_dead(n->path, &h->dead[i]);
	if (h->reply)
		send_hello(n, &h->from, 1, NULL, HELLO_REPLY);
	/* Both calls walk all peers, and hundreds of heartbeats a second come
	 * when all entries start at once. Other changes wait for the tick. */
	if (position_after(h->newest, documents_newest(n->documents))) {
		node_start_calls(n);
		node_update_ready(n);
	}
}

/**
 * node_probe_ended() - handle the outcome of a connection attempt
 * @n: entry
 * @who: target and the process that ran when the attempt began
 * @outcome: outcome, enum probe_outcome
 * @since_ns: when the attempt began
 * @now_ns: current time
 */
void node_probe_ended(struct node *n, const struct incarnation *who,
		      enum probe_outcome outcome, uint64_t since_ns,
		      uint64_t now_ns)
{
	n->now_ns = now_ns;
	path_probe_ended(n->path, who, outcome, since_ns, now_ns);
}

/**
 * node_process_stalled() - handle a stall of this process
 * @n: entry
 * @gap_ns: time for which it did not run; short ones are ignored
 * @now_ns: current time, after the stall
 *
 * After a pause of a second or more the sockets hold packets that clients sent
 * long ago. Forwarding these would open flows that no client waits for, by a view
 * of targets and peers that may be out of date.
 *
 * Return: whether the caller has to drop the packets in its sockets unread.
 */
bool node_process_stalled(struct node *n, uint64_t gap_ns, uint64_t now_ns)
{
	if (gap_ns <= STALL_MIN_NS)
		return false;
	n->now_ns = now_ns;
	n->counters.held_up++;
	path_process_stalled(n->path, now_ns);
	if (gap_ns < PAUSE_MIN_NS)
		return false;
	n->counters.paused++;
	n->paused_ns = now_ns;
	n->port.log(n->port.ctx, NODE_WARNING, "paused", NULL,
		    "did not run for %llu ms, what waited is dropped",
		    (unsigned long long)(gap_ns / NS_PER_MS));
	return true;
}

/**
 * node_stop() - begin a planned stop: the entry is no longer ready, and forwards
 *	packets until node_may_exit() holds
 * @n: entry
 * @now_ns: current time
 */
void node_stop(struct node *n, uint64_t now_ns)
{
	if (n->stop_ns)
		return;
	n->now_ns = now_ns;
	n->stop_ns = now_ns;
	path_stop(n->path, now_ns);
	node_update_ready(n);
	node_advertise(n, NULL);
}

/**
 * node_may_exit() - check whether a planned stop is done
 * @n: entry
 * @now_ns: current time
 *
 * Return: true when the router has stopped sending packets here, or the time limit
 * of the stop is over; false when no stop has begun.
 */
bool node_may_exit(const struct node *n, uint64_t now_ns)
{
	uint64_t since_ns = now_ns - n->stop_ns;

	if (!n->stop_ns)
		return false;
	if (since_ns >= n->conf.stop_ns)
		return true;
	return since_ns >= STOP_MIN_NS &&
	       n->last_client_packet_ns + STOP_QUIET_NS <= now_ns;
}
