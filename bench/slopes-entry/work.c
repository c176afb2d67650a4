/*
 * Measures the time and control bytes of a request, by the role of the entry.
 */
#include "cluster.h"

#include "coap_wire.h"

#include <stdlib.h>
#include <string.h>

#define SIZES 3
#define NODES 3
#define TARGETS 16
#define COVER_NS (95 * NS_PER_S)
#define REQUEST_INTERVAL_NS (NS_PER_S / 200)
#define POLL_TARGETS 5000

/*
 * Role of an entry for a flow: owner of its bucket, backup entry or any other.
 */
enum role { OWNER, SECOND, OTHER, ROLES };

static uint32_t role_of(const struct cluster *p,
			const struct entry_explanation *v, uint32_t node)
{
	if (p->nodes[node].vm == v->pair.owner)
		return OWNER;
	return p->nodes[node].vm == v->pair.second ? SECOND : OTHER;
}

static void add_spent(const struct cluster *p,
		      const struct entry_explanation *v, uint64_t *spent_ns)
{
	for (uint32_t i = 0; i < p->n; i++)
		spent_ns[role_of(p, v, i)] += p->nodes[i].spent_ns;
}

static void reset_spent(struct cluster *p)
{
	for (uint32_t i = 0; i < p->n; i++)
		p->nodes[i].spent_ns = 0;
}

static void send_request(struct cluster *p, uint32_t i, enum request_kind kind,
			 enum role receiver, uint64_t *spent_ns)
{
	struct flow_key key = cluster_flow_key(i);
	struct entry_explanation v = entry_explain(p->nodes[0].e, &key);
	uint32_t node = 0;

	while (role_of(p, &v, node) != receiver)
		node++;
	cluster_run(p, REQUEST_INTERVAL_NS);
	reset_spent(p);
	cluster_caller_request(p, node, &key, kind, (uint16_t)i);
	add_spent(p, &v, spent_ns);
}

static struct cluster *new_covered_cluster(void)
{
	struct entry_conf conf = cluster_conf();
	struct cluster *p = cluster_new(NODES, &conf, TARGETS);

	cluster_run(p, COVER_NS);
	cluster_reset_counters(p);
	return p;
}

static uint64_t claim_bytes(const struct cluster *p)
{
	return p->sent[PEER_CLAIM].bytes + p->sent[PEER_GRANT].bytes +
	       p->sent[PEER_SETTLE].bytes;
}

static void measure_gets(uint32_t n)
{
	struct cluster *p = new_covered_cluster();
	uint64_t spent_ns[ROLES] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		send_request(p, i, REQUEST_GET, OWNER, spent_ns);
	report("us_get_owner", n, (double)spent_ns[OWNER] / 1000, "us");
	if (p->answers != n)
		exit(EXIT_FAILURE);
	cluster_free(p);
}

static void measure_forwards(uint32_t n)
{
	static const uint8_t kinds[] = { PEER_FORWARD, PEER_PING, PEER_ACK };
	struct cluster *p = new_covered_cluster();
	uint64_t spent_ns[ROLES] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		send_request(p, i, REQUEST_GET, OTHER, spent_ns);
	report("us_forward_sender", n, (double)spent_ns[OTHER] / 1000, "us");
	report("us_get_forwarded_owner", n, (double)spent_ns[OWNER] / 1000,
	       "us");
	cluster_report_sent(p, kinds, sizeof(kinds));
	if (p->answers != n)
		exit(EXIT_FAILURE);
	cluster_free(p);
}

/*
 * Measures acknowledgements of updates that arrive at an entry that is neither
 * owner nor backup.
 */
static void measure_acks(uint32_t n)
{
	struct cluster *p = new_covered_cluster();

	for (uint32_t i = 0; i < n; i++) {
		struct flow_key key = cluster_flow_key(i);
		struct entry_explanation v = entry_explain(p->nodes[0].e, &key);
		uint32_t node = 0;

		while (role_of(p, &v, node) != OTHER)
			node++;
		cluster_caller_ack(p, node, &key, (uint16_t)i);
	}
	report("bytes_forward_ack", n, (double)p->sent[PEER_FORWARD].bytes,
	       "bytes");
	cluster_free(p);
}

/* Measures the control bytes of one upload, by its number of blocks. */
static void measure_upload(uint32_t blocks)
{
	struct cluster *p = new_covered_cluster();
	struct flow_key key = cluster_flow_key(1);
	struct entry_explanation v = entry_explain(p->nodes[0].e, &key);
	uint32_t owner = cluster_node_of(p, v.pair.owner);

	for (uint32_t i = 0; i < blocks; i++) {
		cluster_run(p, REQUEST_INTERVAL_NS);
		cluster_caller_block(p, owner, &key, i, blocks, (uint16_t)i);
	}
	report("bytes_upload_blocks", blocks, (double)claim_bytes(p), "bytes");
	if (p->answers != blocks)
		exit(EXIT_FAILURE);
	cluster_free(p);
}

static void measure_posts(uint32_t n)
{
	static const uint8_t kinds[] = { PEER_CLAIM, PEER_GRANT };
	struct cluster *p = new_covered_cluster();
	uint64_t spent_ns[ROLES] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		send_request(p, i, REQUEST_POST, OWNER, spent_ns);
	report("us_post_owner", n, (double)spent_ns[OWNER] / 1000, "us");
	report("us_post_second", n, (double)spent_ns[SECOND] / 1000, "us");
	report("bytes_post_control", n, (double)claim_bytes(p), "bytes");
	cluster_report_sent(p, kinds, sizeof(kinds));
	if (p->answers != n)
		exit(EXIT_FAILURE);
	cluster_free(p);
}

/* Measures polls of targets for their load and the reports that answer them. */
static void measure_polls(uint32_t n)
{
	static const char text[] = "12 3 1800";
	struct config c = cluster_config(1, 10, POLL_TARGETS / 10);
	struct actions *out = calloc(1, sizeof(*out));
	struct entry_conf conf = cluster_conf();
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
		entry_load_report(e, cluster_target(i % POLL_TARGETS), &r,
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

void measure_work(void)
{
	static const uint32_t sizes[SIZES] = { 1000, 4000, 16000 };
	static const uint32_t blocks[SIZES] = { 4, 16, 64 };

	for (uint32_t i = 0; i < SIZES; i++)
		measure_gets(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_forwards(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_posts(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_acks(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_upload(blocks[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_polls(sizes[i]);
}
