#include "cluster_impl.h"

#include "coap_wire.h"
#include "wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define VM(i) ADDR(0x0a000001 + (i), 7000)
#define MS NS_PER_MS
#define JOIN_NS (8 * NS_PER_S)

static const uint8_t peer_key[WIRE_KEY_BYTES] = { 9 };

uint64_t clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * NS_PER_S + (uint64_t)t.tv_nsec;
}

void report(const char *name, double size, double value, const char *unit)
{
	printf("%s %.0f %.3f %s\n", name, size, value, unit);
	fflush(stdout);
}

/* Queues a datagram for delivery; a negative size is an encoding error. */
void cluster_queue_packet(struct cluster *p, uint8_t kind, uint32_t node,
			  uint64_t target, const struct flow_key *key,
			  const uint8_t *data, int32_t size_bytes)
{
	struct packet *packet;

	if (size_bytes < 0) {
		fprintf(stderr, "slopes-entry: a datagram can't be encoded\n");
		exit(EXIT_FAILURE);
	}
	packet = g_malloc(sizeof(*packet) + (size_t)size_bytes);
	packet->kind = kind;
	packet->node = node;
	packet->target = target;
	packet->key = key ? *key : (struct flow_key){ 0 };
	packet->size_bytes = (uint32_t)size_bytes;
	memcpy(packet->data, data, (size_t)size_bytes);
	g_queue_push_tail(&p->packets, packet);
}

uint32_t cluster_node_of(const struct cluster *p, uint64_t vm)
{
	uint32_t i = ADDR_IP(vm) - ADDR_IP(VM(0));

	return i < p->n ? i : 0;
}

static void send_to_peer(struct cluster *p, struct cluster_node *n,
			 const struct action *a)
{
	uint8_t buf[WIRE_MAX_BYTES];
	int32_t size = wire_encode(&a->peer, peer_key, buf, sizeof(buf));
	uint64_t bytes = (uint64_t)size + UDP_IP_BYTES;

	cluster_queue_packet(p, FROM_PEER, cluster_node_of(p, a->vm), ADDR_NONE,
			     NULL, buf, size);
	p->sent[a->peer.kind].n++;
	p->sent[a->peer.kind].bytes += bytes;
	n->sent_bytes += bytes;
}

static void send_to_target(struct cluster *p, struct cluster_node *n,
			   const struct action *a)
{
	uint8_t buf[WIRE_MAX_BYTES];
	int32_t size = coap_wire_rewrite(a, buf, sizeof(buf));

	cluster_queue_packet(p, TO_TARGET, (uint32_t)(n - p->nodes), a->target,
			     &a->key, buf, size);
}

static void perform_actions(struct cluster *p, struct cluster_node *n)
{
	uint8_t buf[WIRE_MAX_BYTES];

	for (uint32_t i = 0; i < p->out->n; i++) {
		const struct action *a = &p->out->list[i];

		if (a->kind == ACT_PEER)
			send_to_peer(p, n, a);
		else if (a->kind == ACT_TO_TARGET)
			send_to_target(p, n, a);
		else if (a->kind == ACT_TO_CALLER)
			p->answers +=
				coap_wire_rewrite(a, buf, sizeof(buf)) > 0;
		else if (a->kind == ACT_ANSWER_CALLER)
			p->local_answers +=
				coap_wire_local_answer(a, buf, sizeof(buf)) > 0;
		else if (a->kind == ACT_CANCEL_TARGET)
			coap_wire_cancel(a, buf, sizeof(buf));
	}
	p->out->n = 0;
}

static void deliver_peer_message(struct cluster *p, struct cluster_node *n,
				 const struct packet *packet)
{
	struct message inner;
	struct peer_msg m;

	if (wire_decode(packet->data, packet->size_bytes, peer_key, &m) < 0)
		return;
	if (m.kind == PEER_FORWARD &&
	    coap_wire_parse(m.data, m.size_bytes, &inner) < 0)
		return;
	entry_peer(n->e, &m, m.kind == PEER_FORWARD ? &inner : NULL, p->now_ns,
		   p->out);
}

static void deliver_to_entry(struct cluster *p, struct cluster_node *n,
			     const struct packet *packet)
{
	struct message m;

	if (packet->kind == FROM_PEER) {
		deliver_peer_message(p, n, packet);
		return;
	}
	if (coap_wire_parse(packet->data, packet->size_bytes, &m) < 0)
		return;
	if (packet->kind == FROM_CALLER)
		entry_caller(n->e, &packet->key, &m, p->now_ns, p->out);
	else
		entry_target(n->e, packet->target, &m, p->now_ns, p->out);
}

static void schedule_tick(struct cluster *p, struct cluster_node *n)
{
	uint64_t next = entry_next_ns(n->e);

	n->next_ns = next < p->now_ns + MS ? p->now_ns + MS : next;
	if (n->is_leaving && entry_has_left(n->e)) {
		entry_free(n->e);
		n->e = NULL;
	}
}

static void deliver(struct cluster *p, struct packet *packet)
{
	struct cluster_node *n = &p->nodes[packet->node];
	uint64_t start_ns;

	if (packet->kind == TO_TARGET) {
		deliver_to_target(p, packet);
	} else if (n->e) {
		start_ns = clock_ns();
		deliver_to_entry(p, n, packet);
		perform_actions(p, n);
		n->spent_ns += clock_ns() - start_ns;
		schedule_tick(p, n);
	}
	g_free(packet);
}

void cluster_deliver_all(struct cluster *p)
{
	struct packet *packet;

	while ((packet = g_queue_pop_head(&p->packets)))
		deliver(p, packet);
}

static struct cluster_node *next_due_node(struct cluster *p)
{
	struct cluster_node *earliest = NULL;

	for (uint32_t i = 0; i < p->n; i++) {
		struct cluster_node *n = &p->nodes[i];

		if (n->e && (!earliest || n->next_ns < earliest->next_ns))
			earliest = n;
	}
	return earliest;
}

/* Advances the clock by @duration_ns and runs the ticks that are due. */
void cluster_run(struct cluster *p, uint64_t duration_ns)
{
	uint64_t until_ns = p->now_ns + duration_ns;
	struct cluster_node *n;
	uint64_t start_ns;

	cluster_deliver_all(p);
	while ((n = next_due_node(p)) && n->next_ns <= until_ns) {
		if (n->next_ns > p->now_ns)
			p->now_ns = n->next_ns;
		start_ns = clock_ns();
		entry_tick(n->e, p->now_ns, p->out);
		perform_actions(p, n);
		n->spent_ns += clock_ns() - start_ns;
		schedule_tick(p, n);
		cluster_deliver_all(p);
	}
	p->now_ns = until_ns;
}

void cluster_kill(struct cluster *p, uint32_t node)
{
	entry_free(p->nodes[node].e);
	p->nodes[node].e = NULL;
}

void cluster_leave(struct cluster *p, uint32_t node)
{
	struct cluster_node *n = &p->nodes[node];

	n->is_leaving = true;
	entry_leave(n->e, p->now_ns, p->out);
	perform_actions(p, n);
	schedule_tick(p, n);
	cluster_deliver_all(p);
}

/* Resets the counters of messages, bytes and time. */
void cluster_reset_counters(struct cluster *p)
{
	memset(p->sent, 0, sizeof(p->sent));
	for (uint32_t i = 0; i < p->n; i++) {
		p->nodes[i].spent_ns = 0;
		p->nodes[i].sent_bytes = 0;
	}
}

uint64_t cluster_peer_bytes(const struct cluster *p)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < PEER_KIND_COUNT; i++)
		bytes += p->sent[i].bytes;
	return bytes;
}

/* Reports number and bytes of messages by kind, as "bytes_message_KIND". */
void cluster_report_sent(const struct cluster *p, const uint8_t *kinds,
			 uint32_t n)
{
	static const char *const names[PEER_KIND_COUNT] = {
		[PEER_PING] = "bytes_message_ping",
		[PEER_ACK] = "bytes_message_ack",
		[PEER_FORWARD] = "bytes_message_forward",
		[PEER_CLAIM] = "bytes_message_claim",
		[PEER_GRANT] = "bytes_message_grant",
		[PEER_FEED] = "bytes_message_feed",
		[PEER_FEED_CLOSE] = "bytes_message_feed_close",
		[PEER_RECORD] = "bytes_message_record",
		[PEER_HANDOVER] = "bytes_message_handover",
	};

	for (uint32_t i = 0; i < n; i++) {
		const struct message_count *c = &p->sent[kinds[i]];

		report(names[kinds[i]], (double)c->n, (double)c->bytes,
		       "bytes");
	}
}

/* Starts or restarts the entry of index @node, without state. */
void cluster_start(struct cluster *p, uint32_t node)
{
	struct cluster_node *n = &p->nodes[node];
	uint64_t *vms = calloc(p->n, sizeof(*vms));
	struct entry_conf node_conf = p->conf;

	for (uint32_t i = 0; i < p->n; i++)
		vms[i] = VM(i);
	n->vm = VM(node);
	n->is_leaving = false;
	node_conf.member.self = n->vm;
	node_conf.member.incarnation += p->now_ns / NS_PER_MS;
	node_conf.seed += p->now_ns + node;
	n->e = entry_new(&node_conf, p->now_ns);
	entry_config(n->e, &p->config, p->now_ns, p->out);
	perform_actions(p, n);
	entry_roster(n->e, vms, p->n, p->now_ns, p->out);
	perform_actions(p, n);
	schedule_tick(p, n);
	free(vms);
}

/*
 * Returns a cluster whose @n entries have joined, with one account of one
 * service.
 */
struct cluster *cluster_new(uint32_t n, const struct entry_conf *conf,
			    uint32_t targets)
{
	struct cluster *p = calloc(1, sizeof(*p));

	p->n = n;
	p->now_ns = 1000 * NS_PER_S;
	p->out = calloc(1, sizeof(*p->out));
	p->nodes = calloc(n, sizeof(*p->nodes));
	g_queue_init(&p->packets);
	p->config = cluster_config(1, 1, targets);
	p->conf = *conf;
	for (uint32_t i = 0; i < n; i++)
		cluster_start(p, i);
	cluster_run(p, JOIN_NS);
	cluster_reset_counters(p);
	return p;
}

void cluster_free(struct cluster *p)
{
	struct packet *packet;

	while ((packet = g_queue_pop_head(&p->packets)))
		g_free(packet);
	for (uint32_t i = 0; i < p->n; i++)
		entry_free(p->nodes[i].e);
	config_free(&p->config);
	free(p->nodes);
	free(p->out);
	free(p);
}
