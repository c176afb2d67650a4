/* Callers, targets and configuration of the simulated cluster. */
#include "cluster_impl.h"

#include "coap_wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VIP(i) ADDR(0x0b000001 + (i), 5683)
#define TARGET(i) ADDR(0x0c000001 + (i), 5683)
#define CALLER(i) ADDR(0x0a800001 + (i), 40000)
#define MS NS_PER_MS
#define CALLER_TOKEN_BYTES 4
#define PAYLOAD_BYTES 40
#define BLOCK_BYTES 1024
#define PAYLOAD_MARK 0xff
#define OBSERVE_DELTA 0x60
#define CODE_CONTENT 0x45

/* Returns settings of an entry with the default times of cb-entry. */
struct entry_conf cluster_conf(void)
{
	return (struct entry_conf){
		.member = { .incarnation = 1796234231031ULL,
			    .probe_period_ns = 200 * MS,
			    .probe_timeout_ns = 100 * MS,
			    .suspect_timeout_ns = 600 * MS,
			    .lease_ns = 1000 * MS,
			    .probes_per_period = 3,
			    .indirect_probes = 3 },
		.requests_max = 16384,
		.feeds_max = 65536,
		.claims_max = 65536,
		.flows_max = 1024,
		.settle_ns = 500 * MS,
		.cover_ns = 93000 * MS,
		.claim_timeout_ns = 200 * MS,
		.probe_idle_ns = 3600 * NS_PER_S,
		.drain_ns = 20000 * MS,
		.peer_bytes_per_s = 16000,
		.n_buckets = RING_BUCKETS,
		.seed = 20261202,
	};
}

static void fill_service(struct service_conf *s, uint32_t nth, uint32_t targets)
{
	snprintf(s->name, sizeof(s->name), "service%u", nth);
	s->vip = VIP(nth);
	s->class = CLASS_REPORT;
	s->request_timeout_ns = 5 * NS_PER_S;
	s->queue_max = 200;
	s->n_targets = targets;
	s->targets = calloc(targets ? targets : 1, sizeof(*s->targets));
	for (uint32_t i = 0; i < targets; i++)
		s->targets[i] =
			(struct target_conf){ .addr = TARGET(nth * targets + i),
					      .weight = 100,
					      .slots = 1000,
					      .connections = 100000 };
}

/* Makes @accounts with @services each, every service with @targets. */
struct config cluster_config(uint32_t accounts, uint32_t services,
			     uint32_t targets)
{
	struct config c = { 0 };

	for (uint32_t i = 0; i < accounts; i++) {
		struct account_conf *a = calloc(1, sizeof(*a));

		snprintf(a->name, sizeof(a->name), "account%05u", i);
		a->generation = 1;
		a->weight = 10;
		a->n_services = services;
		a->services =
			calloc(services ? services : 1, sizeof(*a->services));
		for (uint32_t k = 0; k < services; k++)
			fill_service(&a->services[k], i * services + k,
				     targets);
		config_put(&c, a);
	}
	return c;
}

static void record_feed(struct cluster *p, const struct packet *k,
			const struct message *m)
{
	struct cluster_feed *f = &p->feeds[p->n_feeds % CLUSTER_FEED_MAX];

	f->node = k->node;
	f->target = k->target;
	f->token_len = m->token_len;
	memcpy(f->token, m->token, m->token_len);
	p->n_feeds++;
}

static uint32_t make_answer(uint8_t *buf, uint8_t type, uint16_t id,
			    const uint8_t *token, uint8_t token_len, bool feed)
{
	uint32_t n = 0;

	buf[n++] = (uint8_t)(0x40 | type << 4 | token_len);
	buf[n++] = CODE_CONTENT;
	buf[n++] = (uint8_t)(id >> 8);
	buf[n++] = (uint8_t)id;
	memcpy(&buf[n], token, token_len);
	n += token_len;
	if (feed) {
		buf[n++] = OBSERVE_DELTA | 2;
		buf[n++] = (uint8_t)(id >> 8);
		buf[n++] = (uint8_t)id;
	}
	buf[n++] = PAYLOAD_MARK;
	memset(&buf[n], 'a', PAYLOAD_BYTES);
	return n + PAYLOAD_BYTES;
}

/* Delivers a request to its target, which piggybacks the answer on the ACK. */
void deliver_to_target(struct cluster *p, const struct packet *k)
{
	uint8_t buf[128];
	struct message m;
	uint32_t n;
	bool feed;

	if (coap_wire_parse(k->data, k->size_bytes, &m) < 0 ||
	    m.kind != MESSAGE_REQUEST)
		return;
	feed = m.flags & MESSAGE_FEED_OPEN;
	if (feed)
		record_feed(p, k, &m);
	n = make_answer(buf, WIRE_ACK, m.id, m.token, m.token_len, feed);
	cluster_queue_packet(p, FROM_TARGET, k->node, k->target, NULL, buf,
			     (int32_t)n);
}

uint64_t cluster_target(uint32_t i)
{
	return TARGET(i);
}

struct flow_key cluster_flow_key(uint32_t i)
{
	return (struct flow_key){ CALLER(i), VIP(0) };
}

static uint32_t append(uint8_t *buf, uint32_t n, const char *bytes, size_t size)
{
	memcpy(&buf[n], bytes, size);
	return n + (uint32_t)size;
}

static uint32_t make_header(uint8_t *buf, const struct flow_key *key, bool post,
			    uint16_t id)
{
	const uint8_t head[] = { 0x40 | CALLER_TOKEN_BYTES, post ? 2 : 1,
				 (uint8_t)(id >> 8), (uint8_t)id };

	memcpy(buf, head, sizeof(head));
	memcpy(&buf[sizeof(head)], &key->caller, CALLER_TOKEN_BYTES);
	return sizeof(head) + CALLER_TOKEN_BYTES;
}

static uint32_t append_payload(uint8_t *buf, uint32_t n, uint32_t size_bytes)
{
	buf[n++] = PAYLOAD_MARK;
	memset(&buf[n], 'p', size_bytes);
	return n + size_bytes;
}

/* Delivers a caller's request to entry @node and processes all that follows. */
void cluster_caller_request(struct cluster *p, uint32_t node,
			    const struct flow_key *key, enum request_kind kind,
			    uint16_t id)
{
	uint8_t buf[128];
	uint32_t n = make_header(buf, key, kind == REQUEST_POST, id);

	if (kind == REQUEST_FEED)
		n = append(buf, n,
			   "\x60\x54"
			   "feed",
			   6);
	else
		n = append(buf, n, "\xb6report", 7);
	n = append(buf, n, "\x4d\x06id=0123456789abcdef", 21);
	if (kind == REQUEST_POST)
		n = append_payload(buf, n, PAYLOAD_BYTES);
	cluster_queue_packet(p, FROM_CALLER, node, ADDR_NONE, key, buf,
			     (int32_t)n);
	cluster_deliver_all(p);
}

/* Delivers block @nth of an upload of @blocks in the same way. */
void cluster_caller_block(struct cluster *p, uint32_t node,
			  const struct flow_key *key, uint32_t nth,
			  uint32_t blocks, uint16_t id)
{
	uint32_t block = nth << 4 | (nth + 1 < blocks) << 3 | 6;
	const char option[] = { '\xc2', (char)(block >> 8), (char)block };
	uint8_t buf[128 + BLOCK_BYTES];
	uint32_t n = make_header(buf, key, true, id);

	n = append(buf, n, "\xb6report", 7);
	n = append(buf, n, "\x4d\x06id=0123456789abcdef", 21);
	n = append(buf, n, option, sizeof(option));
	n = append_payload(buf, n, BLOCK_BYTES);
	cluster_queue_packet(p, FROM_CALLER, node, ADDR_NONE, key, buf,
			     (int32_t)n);
	cluster_deliver_all(p);
}

/* Delivers a caller's empty acknowledgement of an update. */
void cluster_caller_ack(struct cluster *p, uint32_t node,
			const struct flow_key *key, uint16_t id)
{
	const uint8_t buf[] = { 0x40 | WIRE_ACK << 4, 0, (uint8_t)(id >> 8),
				(uint8_t)id };

	cluster_queue_packet(p, FROM_CALLER, node, ADDR_NONE, key, buf,
			     sizeof(buf));
	cluster_deliver_all(p);
}

/* Delivers an update of a feed from its target. */
void cluster_feed_update(struct cluster *p, const struct cluster_feed *feed)
{
	uint8_t buf[128];
	uint32_t n = make_answer(buf, WIRE_PLAIN, ++p->next_id, feed->token,
				 feed->token_len, true);

	cluster_queue_packet(p, FROM_TARGET, feed->node, feed->target, NULL,
			     buf, (int32_t)n);
	cluster_deliver_all(p);
}
