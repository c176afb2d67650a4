/* Callers and targets of the pump, and the configuration. */
#include "pump_impl.h"

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

/* As cb-entry's settings stand when a file names none of them. */
struct entry_conf pump_conf(void)
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

/* @services of each account, @targets of each service. */
struct config pump_config(uint32_t accounts, uint32_t services,
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

static void feed_known(struct pump *p, const struct packet *k,
		       const struct message *m)
{
	struct pump_feed *f = &p->feeds[p->n_feeds % PUMP_FEED_MAX];

	f->node = k->node;
	f->target = k->target;
	f->token_len = m->token_len;
	memcpy(f->token, m->token, m->token_len);
	p->n_feeds++;
}

static uint32_t put_answer(uint8_t *buf, uint8_t type, uint16_t id,
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

/* A target: the answer rides on the acknowledgement. */
void target_takes(struct pump *p, const struct packet *k)
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
		feed_known(p, k, &m);
	n = put_answer(buf, WIRE_ACK, m.id, m.token, m.token_len, feed);
	pump_push(p, FROM_TARGET, k->node, k->target, NULL, buf, (int32_t)n);
}

uint64_t pump_target(uint32_t i)
{
	return TARGET(i);
}

struct flow_key pump_key(uint32_t i)
{
	return (struct flow_key){ CALLER(i), VIP(0) };
}

static uint32_t put(uint8_t *buf, uint32_t n, const char *bytes, size_t size)
{
	memcpy(&buf[n], bytes, size);
	return n + (uint32_t)size;
}

static uint32_t put_head(uint8_t *buf, const struct flow_key *key, bool post,
			 uint16_t id)
{
	const uint8_t head[] = { 0x40 | CALLER_TOKEN_BYTES, post ? 2 : 1,
				 (uint8_t)(id >> 8), (uint8_t)id };

	memcpy(buf, head, sizeof(head));
	memcpy(&buf[sizeof(head)], &key->caller, CALLER_TOKEN_BYTES);
	return sizeof(head) + CALLER_TOKEN_BYTES;
}

static uint32_t put_payload(uint8_t *buf, uint32_t n, uint32_t size_bytes)
{
	buf[n++] = PAYLOAD_MARK;
	memset(&buf[n], 'p', size_bytes);
	return n + size_bytes;
}

/* Hands an entry a caller's datagram; all that follows from it happens. */
void pump_caller(struct pump *p, uint32_t node, const struct flow_key *key,
		 enum pump_request kind, uint16_t id)
{
	uint8_t buf[128];
	uint32_t n = put_head(buf, key, kind == PUMP_POST, id);

	if (kind == PUMP_FEED)
		n = put(buf, n,
			"\x60\x54"
			"feed",
			6);
	else
		n = put(buf, n, "\xb6report", 7);
	n = put(buf, n, "\x4d\x06id=0123456789abcdef", 21);
	if (kind == PUMP_POST)
		n = put_payload(buf, n, PAYLOAD_BYTES);
	pump_push(p, FROM_CALLER, node, ADDR_NONE, key, buf, (int32_t)n);
	pump_drain(p);
}

/* The same with one block of an upload of @blocks. */
void pump_block(struct pump *p, uint32_t node, const struct flow_key *key,
		uint32_t nth, uint32_t blocks, uint16_t id)
{
	uint32_t block = nth << 4 | (nth + 1 < blocks) << 3 | 6;
	const char option[] = { '\xc2', (char)(block >> 8), (char)block };
	uint8_t buf[128 + BLOCK_BYTES];
	uint32_t n = put_head(buf, key, true, id);

	n = put(buf, n, "\xb6report", 7);
	n = put(buf, n, "\x4d\x06id=0123456789abcdef", 21);
	n = put(buf, n, option, sizeof(option));
	n = put_payload(buf, n, BLOCK_BYTES);
	pump_push(p, FROM_CALLER, node, ADDR_NONE, key, buf, (int32_t)n);
	pump_drain(p);
}

/* A caller's empty acknowledgement of an update. */
void pump_ack(struct pump *p, uint32_t node, const struct flow_key *key,
	      uint16_t id)
{
	const uint8_t buf[] = { 0x40 | WIRE_ACK << 4, 0, (uint8_t)(id >> 8),
				(uint8_t)id };

	pump_push(p, FROM_CALLER, node, ADDR_NONE, key, buf, sizeof(buf));
	pump_drain(p);
}

/* An update of a feed, from its target. */
void pump_update(struct pump *p, const struct pump_feed *feed)
{
	uint8_t buf[128];
	uint32_t n = put_answer(buf, WIRE_PLAIN, ++p->next_id, feed->token,
				feed->token_len, true);

	pump_push(p, FROM_TARGET, feed->node, feed->target, NULL, buf,
		  (int32_t)n);
	pump_drain(p);
}
