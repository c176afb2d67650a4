#include "pump_impl.h"

#include "coap_wire.h"
#include "wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define VM(i) ADDR(0x0a000001 + (i), 7000)
#define MS NS_PER_MS
#define BOOT_NS (8 * NS_PER_S)

static const uint8_t secret[WIRE_KEY_BYTES] = { 9 };

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

/* A datagram is under way. */
void pump_push(struct pump *p, uint8_t kind, uint32_t node, uint64_t target,
	       const struct flow_key *key, const uint8_t *data,
	       int32_t size_bytes)
{
	struct packet *k;

	if (size_bytes < 0) {
		fprintf(stderr, "slopes-entry: a datagram can't be coded\n");
		exit(EXIT_FAILURE);
	}
	k = g_malloc(sizeof(*k) + (size_t)size_bytes);
	k->kind = kind;
	k->node = node;
	k->target = target;
	k->key = key ? *key : (struct flow_key){ 0 };
	k->size_bytes = (uint32_t)size_bytes;
	memcpy(k->data, data, (size_t)size_bytes);
	g_queue_push_tail(&p->packets, k);
}

uint32_t pump_node_of(const struct pump *p, uint64_t vm)
{
	uint32_t i = ADDR_IP(vm) - ADDR_IP(VM(0));

	return i < p->n ? i : 0;
}

static void to_peer(struct pump *p, struct pump_node *n, const struct action *a)
{
	uint8_t buf[WIRE_MAX_BYTES];
	int32_t size = wire_encode(&a->peer, secret, buf, sizeof(buf));
	uint64_t bytes = (uint64_t)size + UDP_IP_BYTES;

	pump_push(p, FROM_PEER, pump_node_of(p, a->vm), ADDR_NONE, NULL, buf,
		  size);
	p->sent[a->peer.kind].n++;
	p->sent[a->peer.kind].bytes += bytes;
	n->sent_bytes += bytes;
}

static void to_target(struct pump *p, struct pump_node *n,
		      const struct action *a)
{
	uint8_t buf[WIRE_MAX_BYTES];
	int32_t size = coap_wire_rewrite(a, buf, sizeof(buf));

	pump_push(p, TO_TARGET, (uint32_t)(n - p->nodes), a->target, &a->key,
		  buf, size);
}

static void perform(struct pump *p, struct pump_node *n)
{
	uint8_t buf[WIRE_MAX_BYTES];

	for (uint32_t i = 0; i < p->out->n; i++) {
		const struct action *a = &p->out->list[i];

		if (a->kind == ACT_PEER)
			to_peer(p, n, a);
		else if (a->kind == ACT_TO_TARGET)
			to_target(p, n, a);
		else if (a->kind == ACT_TO_CALLER)
			p->answers +=
				coap_wire_rewrite(a, buf, sizeof(buf)) > 0;
		else if (a->kind == ACT_ANSWER_CALLER)
			p->own_answers +=
				coap_wire_local_answer(a, buf, sizeof(buf)) > 0;
		else if (a->kind == ACT_CANCEL_TARGET)
			coap_wire_cancel(a, buf, sizeof(buf));
	}
	p->out->n = 0;
}

static void peer_takes(struct pump *p, struct pump_node *n,
		       const struct packet *k)
{
	struct message inner;
	struct peer_msg m;

	if (wire_decode(k->data, k->size_bytes, secret, &m) < 0)
		return;
	if (m.kind == PEER_FORWARD &&
	    coap_wire_parse(m.data, m.size_bytes, &inner) < 0)
		return;
	entry_peer(n->e, &m, m.kind == PEER_FORWARD ? &inner : NULL, p->now_ns,
		   p->out);
}

static void node_takes(struct pump *p, struct pump_node *n,
		       const struct packet *k)
{
	struct message m;

	if (k->kind == FROM_PEER) {
		peer_takes(p, n, k);
		return;
	}
	if (coap_wire_parse(k->data, k->size_bytes, &m) < 0)
		return;
	if (k->kind == FROM_CALLER)
		entry_caller(n->e, &k->key, &m, p->now_ns, p->out);
	else
		entry_target(n->e, k->target, &m, p->now_ns, p->out);
}

static void see_to_next(struct pump *p, struct pump_node *n)
{
	uint64_t next = entry_next_ns(n->e);

	n->next_ns = next < p->now_ns + MS ? p->now_ns + MS : next;
	if (n->leaving && entry_has_left(n->e)) {
		entry_free(n->e);
		n->e = NULL;
	}
}

static void deliver(struct pump *p, struct packet *k)
{
	struct pump_node *n = &p->nodes[k->node];
	uint64_t start_ns;

	if (k->kind == TO_TARGET) {
		target_takes(p, k);
	} else if (n->e) {
		start_ns = clock_ns();
		node_takes(p, n, k);
		perform(p, n);
		n->spent_ns += clock_ns() - start_ns;
		see_to_next(p, n);
	}
	g_free(k);
}

void pump_drain(struct pump *p)
{
	struct packet *k;

	while ((k = g_queue_pop_head(&p->packets)))
		deliver(p, k);
}

static struct pump_node *first_due(struct pump *p)
{
	struct pump_node *first = NULL;

	for (uint32_t i = 0; i < p->n; i++) {
		struct pump_node *n = &p->nodes[i];

		if (n->e && (!first || n->next_ns < first->next_ns))
			first = n;
	}
	return first;
}

/* Lets time pass, with the ticks that fall due. */
void pump_run(struct pump *p, uint64_t for_ns)
{
	uint64_t until_ns = p->now_ns + for_ns;
	struct pump_node *n;
	uint64_t start_ns;

	pump_drain(p);
	while ((n = first_due(p)) && n->next_ns <= until_ns) {
		if (n->next_ns > p->now_ns)
			p->now_ns = n->next_ns;
		start_ns = clock_ns();
		entry_tick(n->e, p->now_ns, p->out);
		perform(p, n);
		n->spent_ns += clock_ns() - start_ns;
		see_to_next(p, n);
		pump_drain(p);
	}
	p->now_ns = until_ns;
}

void pump_kill(struct pump *p, uint32_t node)
{
	entry_free(p->nodes[node].e);
	p->nodes[node].e = NULL;
}

void pump_leave(struct pump *p, uint32_t node)
{
	struct pump_node *n = &p->nodes[node];

	n->leaving = true;
	entry_leave(n->e, p->now_ns, p->out);
	perform(p, n);
	see_to_next(p, n);
	pump_drain(p);
}

/* Counts from here on. */
void pump_reset(struct pump *p)
{
	memset(p->sent, 0, sizeof(p->sent));
	for (uint32_t i = 0; i < p->n; i++) {
		p->nodes[i].spent_ns = 0;
		p->nodes[i].sent_bytes = 0;
	}
}

uint64_t pump_bytes(const struct pump *p)
{
	uint64_t bytes = 0;

	for (uint32_t i = 0; i < PEER_KIND_COUNT; i++)
		bytes += p->sent[i].bytes;
	return bytes;
}

/* What messages of these kinds took on the wire: "bytes_message_KIND". */
void pump_report_sent(const struct pump *p, const uint8_t *kinds, uint32_t n)
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
		const struct pump_count *c = &p->sent[kinds[i]];

		report(names[kinds[i]], (double)c->n, (double)c->bytes,
		       "bytes");
	}
}

/* Starts an entry, at its address's first time or again. */
void pump_start(struct pump *p, uint32_t node)
{
	struct pump_node *n = &p->nodes[node];
	uint64_t *vms = calloc(p->n, sizeof(*vms));
	struct entry_conf mine = p->conf;

	for (uint32_t i = 0; i < p->n; i++)
		vms[i] = VM(i);
	n->vm = VM(node);
	n->leaving = false;
	mine.member.self = n->vm;
	mine.member.incarnation += p->now_ns / NS_PER_MS;
	mine.seed += p->now_ns + node;
	n->e = entry_new(&mine, p->now_ns);
	entry_config(n->e, &p->config, p->now_ns, p->out);
	perform(p, n);
	entry_roster(n->e, vms, p->n, p->now_ns, p->out);
	perform(p, n);
	see_to_next(p, n);
	free(vms);
}

/* Entries that have joined, with one account of one service. */
struct pump *pump_new(uint32_t n, const struct entry_conf *conf,
		      uint32_t targets)
{
	struct pump *p = calloc(1, sizeof(*p));

	p->n = n;
	p->now_ns = 1000 * NS_PER_S;
	p->out = calloc(1, sizeof(*p->out));
	p->nodes = calloc(n, sizeof(*p->nodes));
	g_queue_init(&p->packets);
	p->config = pump_config(1, 1, targets);
	p->conf = *conf;
	for (uint32_t i = 0; i < n; i++)
		pump_start(p, i);
	pump_run(p, BOOT_NS);
	pump_reset(p);
	return p;
}

void pump_free(struct pump *p)
{
	struct packet *k;

	while ((k = g_queue_pop_head(&p->packets)))
		g_free(k);
	for (uint32_t i = 0; i < p->n; i++)
		entry_free(p->nodes[i].e);
	config_free(&p->config);
	free(p->nodes);
	free(p->out);
	free(p);
}
