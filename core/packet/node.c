#include "node_impl.h"

#include "loads.h"
#include "outlier.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* A stall of the process after which answers may be unread in the sockets. */
#define STALL_MIN_NS (120 * NS_PER_MS)
/* A pause after which clients have retransmitted or given up their requests. */
#define PAUSE_MIN_NS NS_PER_S
/* The router stops sending after two missed answers, half a second apart. */
#define STOP_MIN_NS (1600 * NS_PER_MS)
#define STOP_QUIET_NS (600 * NS_PER_MS)
/* Most recipients of one heartbeat. */
#define RECIPIENTS_MAX 16
/* Part of the 3 s within which a change has to be in force everywhere. */
#define BEHIND_MAX_NS NS_PER_S
/*
 * Budget of an entry for control traffic. Heartbeats without loads to ten
 * peers, five times a second, take half of it. Loads and failing targets share
 * the rest: few loads are sent with every heartbeat, many less often. Failing
 * targets are sent each time, which delays the loads.
 */
#define CONTROL_BYTES_PER_S 21000ULL
#define HELLO_HEAD_BYTES 250
#define LOAD_BYTES 10
#define FAILING_BYTES 9

/*
 * Charge a heartbeat to the budget of control traffic, which sets when the next
 * loads may be sent. Heads of regular heartbeats are charged as a constant
 * rate, those of expedited ones, which are sent only for their loads, one by
 * one.
 */
static void charge_hello(struct node *node, const struct hello *hello,
			 uint32_t count)
{
	uint64_t head_bytes_per_s = count * HELLO_HEAD_BYTES * NS_PER_S /
				    node->policy->heartbeat_ns;
	uint64_t bytes_per_s = CONTROL_BYTES_PER_S / 2;
	uint64_t bytes =
		hello->n_loads * LOAD_BYTES + hello->n_failing * FAILING_BYTES;

	if (head_bytes_per_s < CONTROL_BYTES_PER_S / 2)
		bytes_per_s = CONTROL_BYTES_PER_S - head_bytes_per_s;
	if (path_has_loaded_target(node->path))
		bytes += HELLO_HEAD_BYTES;
	if (node->loads_due_ns < node->now_ns)
		node->loads_due_ns = node->now_ns;
	node->loads_due_ns += bytes * count * NS_PER_S / bytes_per_s;
}

/*
 * Send the next heartbeat earlier while targets are loaded. Queued requests are
 * forwarded by the loads that peers reported; with a heartbeat every 200 ms
 * instead of every 60 ms some targets would idle and others get too many
 * requests.
 */
static void expedite_heartbeat(struct node *node)
{
	uint64_t next_ns = node->now_ns + node->policy->heartbeat_loaded_ns;

	if (!path_has_loaded_target(node->path))
		return;
	peer_set_expedite(node->peers, next_ns > node->loads_due_ns
					       ? next_ns
					       : node->loads_due_ns);
}

/* Whether the documents were complete at some position; pages of a listing that
 * may be old are not. */
bool node_has_snapshot(const struct node *node)
{
	return documents_synced(node->documents).revision;
}

struct sync_state node_known_positions(const struct node *node)
{
	return (struct sync_state){
		documents_newest(node->documents),
		documents_retained_digest(node->documents),
		node->retained_fetched,
	};
}

/* Longer than any entry retains documents that the platform lost. */
#define EPOCH_AGE_MAX_NS (60 * NS_PER_S)

static void fill_positions(const struct node *node, struct hello *hello)
{
	uint64_t age_ns =
		node->now_ns - documents_epoch_start_ns(node->documents);

	hello->newest = documents_newest(node->documents);
	hello->retained_digest = documents_retained_digest(node->documents);
	hello->epoch_age_ms = age_ns < EPOCH_AGE_MAX_NS
				      ? (uint32_t)(age_ns / NS_PER_MS)
				      : UINT32_MAX;
}

enum hello_reason { HELLO_UNSOLICITED, HELLO_REPLY };

static void send_hello(struct node *node, const uint64_t *to, uint32_t count,
		       const struct target *dead, enum hello_reason why)
{
	struct hello hello = { 0 };

	if (!count)
		return;
	peer_set_fill_hello(node->peers, &hello, node->now_ns);
	hello.leaving = node->stop_ns;
	/* Documents that may be seconds old must not be advertised as new. */
	if (node_has_snapshot(node))
		fill_positions(node, &hello);
	else
		hello.reply = true; /* asks for positions at once */
	/* Otherwise two entries without a snapshot reply without end. */
	if (why == HELLO_REPLY)
		hello.reply = false;
	if (dead)
		hello.dead[hello.n_dead++] = target_incarnation(dead);
	else if (node->now_ns >= node->loads_due_ns && node->policy->tell_loads)
		loads_fill_hello(node->directory, &hello);
	if (node->policy->tell_failures)
		loads_fill_hello_failing(node->directory, &hello, node->policy,
					 node->now_ns);
	charge_hello(node, &hello, count);
	node->port.hello(node->port.ctx, to, count, &hello);
}

/*
 * Send a heartbeat to the neighbours at once, without waiting for the next
 * regular one. @dead: target whose process was found dead, or NULL.
 */
void node_advertise(struct node *node, const struct target *dead)
{
	uint64_t to[RECIPIENTS_MAX];
	uint32_t count =
		peer_set_sample(node->peers, node->now_ns, to, RECIPIENTS_MAX);

	send_hello(node, to, count, dead, HELLO_UNSOLICITED);
}

static int probe_target(void *ctx, const struct target *target)
{
	struct node *node = ctx;

	return node->port.probe(node->port.ctx, target);
}

static void resend(void *ctx, const struct flow_state *flow, uint8_t reason)
{
	struct node *node = ctx;

	node->port.resend(node->port.ctx, flow, reason);
}

static void send_queued(void *ctx, const struct flow_state *flow,
			const uint8_t *bytes, uint32_t n_bytes)
{
	struct node *node = ctx;

	node->port.send_queued(node->port.ctx, flow, bytes, n_bytes);
}

static void reset_flow(void *ctx, const struct flow_state *flow)
{
	struct node *node = ctx;

	node->port.reset(node->port.ctx, flow);
}

static void advertise_dead(void *ctx, const struct target *target)
{
	node_advertise(ctx, target);
}

static void report_health(void *ctx, const struct target *target,
			  uint8_t before)
{
	struct node *node = ctx;

	node->port.health(node->port.ctx, target, before);
}

static void log_ejection(void *ctx, const struct target *target,
			 float others_failures)
{
	struct node *node = ctx;
	uint64_t ms = (target->ejected_until_ns - node->now_ns) / NS_PER_MS;

	node->counters.ejections++;
	node->port.log(node->port.ctx, NODE_WARNING, "target.eject",
		       directory_service_name(node->directory,
					      target->advertised.service),
		       "target %llx gets no new flows for %llu ms: %.1f recent "
		       "failures here, %.1f at peers, %.1f on average at the "
		       "other targets of its service",
		       (unsigned long long)target->advertised.id,
		       (unsigned long long)ms,
		       (double)outlier_failure_count(target, node->policy,
						     node->now_ns),
		       (double)target->peers_failures, (double)others_failures);
}

static void log_refusals(void *ctx, const struct path_refusals *change)
{
	struct node *node = ctx;

	node->port.log(
		node->port.ctx, change->refusing ? NODE_WARNING : NODE_INFO,
		"load.refuse",
		directory_service_name(node->directory, change->service),
		"openings are %s: predicted wait %llu ms, %u held, work %llu "
		"ms, %.1f answers a second, updated %llu ms ago",
		change->refusing ? "refused" : "admitted again",
		(unsigned long long)(change->predicted_wait_ns / NS_PER_MS),
		change->held, (unsigned long long)(change->work_ns / NS_PER_MS),
		(double)change->answers_per_s,
		(unsigned long long)(change->rate_age_ns / NS_PER_MS));
}

/* Hash of the name of the entry's data centre. */
uint32_t node_zone(const struct node *node)
{
	return (uint32_t)hash_text(node->conf.data_centre);
}

static int create_parts(struct node *node)
{
	const struct node_conf *conf = &node->conf;
	struct directory_conf dir = { conf->flow_lifetime_ns,
				      node->policy->return_ns };
	struct documents_port changed = { node, node_document_changed,
					  node_document_compare };
	struct documents_expiry kept = { conf->flow_lifetime_ns,
					 node->policy->return_ns };
	struct path_port port = {
		.ctx = node,
		.health = { node, probe_target, advertise_dead, report_health },
		.resend = resend,
		.send_queued = send_queued,
		.reset = reset_flow,
		.refusals = log_refusals,
		.eject = log_ejection,
	};
	struct path_conf path = {
		.policy = node->policy,
		.flows_max = conf->flows_max,
		.flow_lifetime_ns = conf->flow_lifetime_ns,
		.start_ns = node->now_ns,
	};
	struct peer_set_conf peers = {
		.self = conf->self,
		.boot = conf->boot,
		.period_ns = node->policy->heartbeat_ns,
		.n_seeds = conf->n_seeds,
	};
	struct rng rng = { hash_u64(conf->self, conf->boot) | 1 };

	memcpy(peers.seeds, conf->seeds, sizeof(conf->seeds));
	peers.zone = node_zone(node);
	node->directory = directory_new(&dir);
	node->documents = documents_new(changed, kept);
	node->peers = peer_set_new(&peers, rng);
	if (!node->directory || !node->documents || !node->peers)
		return -ENOMEM;
	path.zone = peers.zone;
	rng.state = rng_next(&rng) | 1;
	node->path = path_new(&path, node->directory, port, rng);
	node->pacer = pacer_new(node->policy, conf->link_bytes_per_s);
	return node->path && node->pacer ? 0 : -ENOMEM;
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
	struct node *node = calloc(1, sizeof(*node));

	if (!node)
		return NULL;
	node->conf = *conf;
	node->policy = conf->policy ? conf->policy : &policy_default;
	node->port = port;
	node->now_ns = now_ns;
	node->start_ns = now_ns;
	node->source.start_ns = now_ns;
	node->source.exact = !node->policy->old_listing;
	if (!create_parts(node))
		return node;
	node_free(node);
	return NULL;
}

void node_free(struct node *node)
{
	if (!node)
		return;
	path_free(node->path);
	pacer_free(node->pacer);
	peer_set_free(node->peers);
	documents_free(node->documents);
	directory_free(node->directory);
	free(node);
}

/*
 * Update whether a document that is missing here may be taken as absent, which
 * holds only when no peer is known to be ahead. Called when something changes,
 * not for each packet, since it walks all peers.
 */
static void update_fresh(struct node *node)
{
	struct sync_state own = node_known_positions(node);
	const struct peer_vm *peer =
		peer_set_find_ahead_of(node->peers, &own, node->now_ns);
	bool lacks_retained = peer && !position_after(peer->newest, own.newest);

	node->fresh = node_has_snapshot(node) && !peer;
	if (!lacks_retained)
		node->lacks_retained_ns = 0;
	else if (!node->lacks_retained_ns)
		node->lacks_retained_ns = node->now_ns;
	if (!position_after(node->behind_position, own.newest))
		node->behind_ns = 0;
	if (peer && !node->behind_ns) {
		node->behind_ns = node->now_ns;
		node->behind_position = peer->newest;
	}
}

/**
 * node_packet() - decide what is done with a packet of a client
 * @node: entry
 * @packet: packet; copied if it is kept or queued
 * @now_ns: current time
 * @out: set to the decision
 */
void node_packet(struct node *node, const struct packet *packet,
		 uint64_t now_ns, struct path_verdict *out)
{
	node->now_ns = now_ns;
	node->last_client_packet_ns = now_ns;
	path_packet(node->path, packet, node->fresh, now_ns, out);
}

/*
 * Whether the entry may become ready though a peer is ahead of it. A peer that
 * got ahead less than BEHIND_MAX_NS ago does not prevent it: while targets
 * publish themselves all the time some peer always is ahead. A peer that
 * retains documents of earlier epochs prevents it for BEHIND_MAX_NS, since a
 * configuration may be among them, and no longer, since the peer may not
 * answer.
 */
static bool is_nearly_fresh(const struct node *node)
{
	if (node->lacks_retained_ns &&
	    node->lacks_retained_ns + BEHIND_MAX_NS > node->now_ns)
		return false;
	return node_has_snapshot(node) &&
	       node->behind_ns + BEHIND_MAX_NS > node->now_ns;
}

void node_update_ready(struct node *node)
{
	bool ready = node->ready;

	update_fresh(node);
	/* An entry that is ready stays so when a peer gets ahead. */
	if (node_configuration_version(node) &&
	    (ready || node->fresh || is_nearly_fresh(node)))
		ready = true;
	if (node->stop_ns)
		ready = false;
	if (ready == node->ready)
		return;
	node->ready = ready;
	node->port.log(
		node->port.ctx, NODE_INFO, "ready", NULL,
		"%s, configuration %llu, revision %llu, %u targets, "
		"%u peers",
		ready ? "yes" : "no",
		(unsigned long long)node_configuration_version(node),
		(unsigned long long)documents_synced(node->documents).revision,
		directory_target_count(node->directory),
		peer_set_count_live(node->peers, node->now_ns));
}

/**
 * node_tick() - do what is due; to be called every 20 ms
 * @node: entry
 * @now_ns: current time
 */
void node_tick(struct node *node, uint64_t now_ns)
{
	uint64_t to[RECIPIENTS_MAX];
	struct directory_tick_times clock;
	struct long_flow_peers peers;
	uint32_t count;

	node->now_ns = now_ns;
	path_tick(node->path, now_ns);
	count = peer_set_take_due(node->peers, !node_has_snapshot(node), now_ns,
				  to, RECIPIENTS_MAX);
	if (count) {
		send_hello(node, to, count, NULL, HELLO_UNSOLICITED);
		expedite_heartbeat(node);
		loads_sum_peers(node->directory, node->peers, now_ns);
		peers = loads_peers_of_zone(node->peers, node_zone(node),
					    now_ns);
		path_set_peers(node->path, &peers);
	}
	node_start_calls(node);
	documents_tick(node->documents, now_ns);
	clock = (struct directory_tick_times){
		now_ns,
		peer_set_platform_failed_ns(node->peers),
		peer_set_last_contact_ns(node->peers),
	};
	directory_tick(node->directory, &clock);
	node_cold_tick(node);
	node_update_ready(node);
}

static void record_epoch(struct node *node, const struct hello *hello)
{
	uint64_t age_ns = hello->epoch_age_ms * NS_PER_MS;

	if (hello->newest.revision)
		documents_lower_epoch_start(
			node->documents, hello->newest.epoch,
			node->now_ns > age_ns ? node->now_ns - age_ns : 0);
}

/**
 * node_receive_hello() - handle a heartbeat of a peer
 * @node: entry
 * @hello: heartbeat
 * @now_ns: current time
 */
void node_receive_hello(struct node *node, const struct hello *hello,
			uint64_t now_ns)
{
	node->now_ns = now_ns;
	peer_set_receive(node->peers, hello, now_ns);
	record_epoch(node, hello);
	for (uint32_t i = 0; i < hello->n_dead; i++)
		path_peer_reported_dead(node->path, &hello->dead[i], now_ns);
	if (hello->reply)
		send_hello(node, &hello->from, 1, NULL, HELLO_REPLY);
	/* Both calls walk all peers, and hundreds of heartbeats a second come
	 * when all entries start at once. Other changes wait for the tick. */
	if (position_after(hello->newest, documents_newest(node->documents))) {
		node_start_calls(node);
		node_update_ready(node);
	}
}

/**
 * node_probe_ended() - handle the outcome of a connection attempt
 * @node: entry
 * @who: target and the process that ran when the attempt began
 * @outcome: outcome, enum probe_outcome
 * @since_ns: when the attempt began
 * @now_ns: current time
 */
void node_probe_ended(struct node *node, const struct incarnation *who,
		      enum probe_outcome outcome, uint64_t since_ns,
		      uint64_t now_ns)
{
	node->now_ns = now_ns;
	path_probe_ended(node->path, who, outcome, since_ns, now_ns);
}

/**
 * node_process_stalled() - handle a stall of this process
 * @node: entry
 * @gap_ns: time for which it did not run; short ones are ignored
 * @now_ns: current time, after the stall
 *
 * After a pause of a second or more the sockets hold packets that clients sent
 * long ago. Forwarding these would open flows that no client waits for, by a
 * view of targets and peers that may be out of date.
 *
 * Return: whether the caller has to drop the packets in its sockets unread.
 */
bool node_process_stalled(struct node *node, uint64_t gap_ns, uint64_t now_ns)
{
	if (gap_ns <= STALL_MIN_NS)
		return false;
	node->now_ns = now_ns;
	node->counters.held_up++;
	path_process_stalled(node->path, now_ns);
	if (gap_ns < PAUSE_MIN_NS)
		return false;
	node->counters.paused++;
	node->paused_ns = now_ns;
	node->port.log(node->port.ctx, NODE_WARNING, "paused", NULL,
		       "did not run for %llu ms, what waited is dropped",
		       (unsigned long long)(gap_ns / NS_PER_MS));
	return true;
}

/**
 * node_stop() - begin a planned stop: the entry is no longer ready, and
 *	forwards packets until node_may_exit() holds
 * @node: entry
 * @now_ns: current time
 */
void node_stop(struct node *node, uint64_t now_ns)
{
	if (node->stop_ns)
		return;
	node->now_ns = now_ns;
	node->stop_ns = now_ns;
	path_stop(node->path, now_ns);
	node_update_ready(node);
	node_advertise(node, NULL);
}

/**
 * node_may_exit() - check whether a planned stop is done
 * @node: entry
 * @now_ns: current time
 *
 * Return: true when the router has stopped sending packets here, or the time
 * limit of the stop is over; false when no stop has begun.
 */
bool node_may_exit(const struct node *node, uint64_t now_ns)
{
	uint64_t since_ns = now_ns - node->stop_ns;

	if (!node->stop_ns)
		return false;
	if (since_ns >= node->conf.stop_ns)
		return true;
	return since_ns >= STOP_MIN_NS &&
	       node->last_client_packet_ns + STOP_QUIET_NS <= now_ns;
}
