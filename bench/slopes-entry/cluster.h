/*
 * Simulated cluster: entries in one process with the real decisions and codecs,
 * without sockets. The clock is simulated and messages arrive without delay.
 * Targets answer every request.
 */
#ifndef CB_CLUSTER_H
#define CB_CLUSTER_H

#include "entry.h"

#include <glib.h>

#define UDP_IP_BYTES 28
#define CLUSTER_FEED_MAX 65536

/**
 * struct cluster_node - one entry of a cluster
 * @e: the entry, owned by the cluster; NULL after it was killed or has left
 * @vm: address of the entry
 * @spent_ns: wall-clock time that its codecs and decisions took since the reset
 * @sent_bytes: bytes sent to other entries, with UDP and IP headers
 * @next_ns: simulated time of its next tick
 * @is_leaving: a planned stop has begun
 */
struct cluster_node {
	struct entry *e;
	uint64_t vm;
	uint64_t spent_ns;
	uint64_t sent_bytes;
	uint64_t next_ns;
	bool is_leaving;
};

/* Number and bytes of the messages of one kind, with UDP and IP headers. */
struct message_count {
	uint64_t n;
	uint64_t bytes;
};

/* A feed at its target: the entry that opened it, the target and the token. */
struct cluster_feed {
	uint32_t node;
	uint64_t target;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
};

/**
 * struct cluster - entries of a data centre and the datagrams between them
 * @nodes: array of @n entries, owned by the cluster
 * @n: number of entries
 * @now_ns: simulated time
 * @conf: settings of every entry; address, incarnation and seed are set
 *	per entry
 * @config: current configuration
 * @out: actions of the last call to an entry, owned by the cluster
 * @packets: queue of datagrams not yet delivered
 * @sent: messages between entries since the reset, by enum peer_kind
 * @answers: answers of targets relayed to callers
 * @local_answers: answers to callers made by the entries themselves
 * @feeds: feeds opened at targets, the last CLUSTER_FEED_MAX of them
 * @n_feeds: number of feeds opened so far
 * @next_id: message ID of the last update sent by a target
 */
struct cluster {
	struct cluster_node *nodes;
	uint32_t n;
	uint64_t now_ns;
	struct entry_conf conf;
	struct config config;
	struct actions *out;
	GQueue packets;
	struct message_count sent[PEER_KIND_COUNT];
	uint64_t answers;
	uint64_t local_answers;
	struct cluster_feed feeds[CLUSTER_FEED_MAX];
	uint32_t n_feeds;
	uint16_t next_id;
};

enum request_kind { REQUEST_GET, REQUEST_POST, REQUEST_FEED };

uint64_t clock_ns(void);
struct entry_conf cluster_conf(void);
struct config cluster_config(uint32_t accounts, uint32_t services,
			     uint32_t targets);
struct cluster *cluster_new(uint32_t n, const struct entry_conf *conf,
			    uint32_t targets);
void cluster_free(struct cluster *p);
void cluster_run(struct cluster *p, uint64_t duration_ns);
uint64_t cluster_target(uint32_t i);
struct flow_key cluster_flow_key(uint32_t i);
void cluster_caller_request(struct cluster *p, uint32_t node,
			    const struct flow_key *key, enum request_kind kind,
			    uint16_t id);
void cluster_caller_block(struct cluster *p, uint32_t node,
			  const struct flow_key *key, uint32_t nth,
			  uint32_t blocks, uint16_t id);
void cluster_caller_ack(struct cluster *p, uint32_t node,
			const struct flow_key *key, uint16_t id);
void cluster_feed_update(struct cluster *p, const struct cluster_feed *feed);
uint32_t cluster_node_of(const struct cluster *p, uint64_t vm);
void cluster_kill(struct cluster *p, uint32_t node);
void cluster_start(struct cluster *p, uint32_t node);
void cluster_leave(struct cluster *p, uint32_t node);
void cluster_reset_counters(struct cluster *p);
uint64_t cluster_peer_bytes(const struct cluster *p);
void cluster_report_sent(const struct cluster *p, const uint8_t *kinds,
			 uint32_t n);

/* Prints a result as "NAME SIZE VALUE UNIT". */
void report(const char *name, double size, double value, const char *unit);

void measure_memory(void);
void measure_config(void);
void measure_work(void);
void measure_socket(void);
void measure_feeds(void);
void measure_fleet(void);

#endif
