/* Microseconds and control bytes of a request, by the entry's part in it. */
#include "pump.h"

#include "coap_wire.h"

#include <stdlib.h>
#include <string.h>

#define SIZES 3
#define NODES 3
#define TARGETS 16
#define COVER_NS (95 * NS_PER_S)
#define SPACING_NS (NS_PER_S / 200)
#define POLL_TARGETS 5000

/* Parts that entries have in one flow. */
enum part { OWNER, SECOND, OTHER, PARTS };

static uint32_t part_of(const struct pump *p, const struct entry_explanation *v,
			uint32_t node)
{
	if (p->nodes[node].vm == v->pair.owner)
		return OWNER;
	return p->nodes[node].vm == v->pair.second ? SECOND : OTHER;
}

static void add_parts(const struct pump *p, const struct entry_explanation *v,
		      uint64_t *spent_ns)
{
	for (uint32_t i = 0; i < p->n; i++)
		spent_ns[part_of(p, v, i)] += p->nodes[i].spent_ns;
}

static void reset_spent(struct pump *p)
{
	for (uint32_t i = 0; i < p->n; i++)
		p->nodes[i].spent_ns = 0;
}

static void one(struct pump *p, uint32_t i, enum pump_request kind,
		enum part first, uint64_t *spent_ns)
{
	struct flow_key key = pump_key(i);
	struct entry_explanation v = entry_explain(p->nodes[0].e, &key);
	uint32_t node = 0;

	while (part_of(p, &v, node) != first)
		node++;
	pump_run(p, SPACING_NS);
	reset_spent(p);
	pump_caller(p, node, &key, kind, (uint16_t)i);
	add_parts(p, &v, spent_ns);
}

static struct pump *pump_covered(void)
{
	struct entry_conf conf = pump_conf();
	struct pump *p = pump_new(NODES, &conf, TARGETS);

	pump_run(p, COVER_NS);
	pump_reset(p);
	return p;
}

static uint64_t claim_bytes(const struct pump *p)
{
	return p->sent[PEER_CLAIM].bytes + p->sent[PEER_GRANT].bytes +
	       p->sent[PEER_SETTLE].bytes;
}

static void gets(uint32_t n)
{
	struct pump *p = pump_covered();
	uint64_t spent_ns[PARTS] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		one(p, i, PUMP_GET, OWNER, spent_ns);
	report("us_get_owner", n, (double)spent_ns[OWNER] / 1000, "us");
	if (p->answers != n)
		exit(EXIT_FAILURE);
	pump_free(p);
}

static void forwards(uint32_t n)
{
	static const uint8_t kinds[] = { PEER_FORWARD, PEER_PING, PEER_ACK };
	struct pump *p = pump_covered();
	uint64_t spent_ns[PARTS] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		one(p, i, PUMP_GET, OTHER, spent_ns);
	report("us_forward_sender", n, (double)spent_ns[OTHER] / 1000, "us");
	report("us_get_forwarded_owner", n, (double)spent_ns[OWNER] / 1000,
	       "us");
	pump_report_sent(p, kinds, sizeof(kinds));
	if (p->answers != n)
		exit(EXIT_FAILURE);
	pump_free(p);
}

/* Acknowledgements of updates arrive at any entry. */
static void acks(uint32_t n)
{
	struct pump *p = pump_covered();

	for (uint32_t i = 0; i < n; i++) {
		struct flow_key key = pump_key(i);
		struct entry_explanation v = entry_explain(p->nodes[0].e, &key);
		uint32_t node = 0;

		while (part_of(p, &v, node) != OTHER)
			node++;
		pump_ack(p, node, &key, (uint16_t)i);
	}
	report("bytes_forward_ack", n, (double)p->sent[PEER_FORWARD].bytes,
	       "bytes");
	pump_free(p);
}

/* Control bytes of one upload, by its blocks. */
static void upload(uint32_t blocks)
{
	struct pump *p = pump_covered();
	struct flow_key key = pump_key(1);
	struct entry_explanation v = entry_explain(p->nodes[0].e, &key);
	uint32_t owner = pump_node_of(p, v.pair.owner);

	for (uint32_t i = 0; i < blocks; i++) {
		pump_run(p, SPACING_NS);
		pump_block(p, owner, &key, i, blocks, (uint16_t)i);
	}
	report("bytes_upload_blocks", blocks, (double)claim_bytes(p), "bytes");
	if (p->answers != blocks)
		exit(EXIT_FAILURE);
	pump_free(p);
}

static void posts(uint32_t n)
{
	static const uint8_t kinds[] = { PEER_CLAIM, PEER_GRANT };
	struct pump *p = pump_covered();
	uint64_t spent_ns[PARTS] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		one(p, i, PUMP_POST, OWNER, spent_ns);
	report("us_post_owner", n, (double)spent_ns[OWNER] / 1000, "us");
	report("us_post_second", n, (double)spent_ns[SECOND] / 1000, "us");
	report("bytes_post_control", n, (double)claim_bytes(p), "bytes");
	pump_report_sent(p, kinds, sizeof(kinds));
	if (p->answers != n)
		exit(EXIT_FAILURE);
	pump_free(p);
}

/* A question for a target's load, and what it answers, on the wire. */
static void polls(uint32_t n)
{
	static const char text[] = "12 3 1800";
	struct config c = pump_config(1, 10, POLL_TARGETS / 10);
	struct actions *out = calloc(1, sizeof(*out));
	struct entry_conf conf = pump_conf();
	struct entry *e = entry_new(&conf, NS_PER_S);
	struct load_report r = { .running = 1, .connections = 1800 };
	uint64_t start_ns = clock_ns();
	uint64_t bytes = 0;
	uint8_t buf[128];

	for (uint32_t i = 0; i < n; i++)
		bytes += (uint64_t)coap_wire_load_poll((uint16_t)i, buf,
						       sizeof(buf)) +
			 UDP_IP_BYTES;
	report("us_load_poll_made", n, (double)(clock_ns() - start_ns) / 1000,
	       "us");
	entry_config(e, &c, NS_PER_S, out);
	start_ns = clock_ns();
	for (uint32_t i = 0; i < n; i++)
		entry_load_report(e, pump_target(i % POLL_TARGETS), &r,
				  NS_PER_S + i);
	report("us_load_report_taken", n,
	       (double)(clock_ns() - start_ns) / 1000, "us");
	entry_free(e);
	config_free(&c);
	free(out);
	report("bytes_load_poll", n, (double)bytes, "bytes");
	report("bytes_load_report", n,
	       n * (double)(UDP_IP_BYTES + 5 + strlen(text)), "bytes");
}

void work_slopes(void)
{
	static const uint32_t sizes[SIZES] = { 1000, 4000, 16000 };
	static const uint32_t blocks[SIZES] = { 4, 16, 64 };

	for (uint32_t i = 0; i < SIZES; i++)
		gets(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		forwards(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		posts(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		acks(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		upload(blocks[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		polls(sizes[i]);
}
