/*
 * A few entries in one process: real decisions, real codecs, no sockets. The
 * clock is the pump's; a message arrives at once. Targets answer every request
 * that they get.
 */
#ifndef CB_PUMP_H
#define CB_PUMP_H

#include "entry.h"

#include <glib.h>

#define UDP_IP_BYTES 28
#define PUMP_FEED_MAX 65536

/**
 * struct pump_node - one entry
 * @e: the entry, NULL when it was killed or has left
 * @vm: its address
 * @spent_ns: processor time of its codecs and decisions
 * @sent_bytes: bytes to other entries, with headers of UDP and IP
 * @next_ns: when its tick is due
 * @leaving: a planned stop was begun
 */
struct pump_node {
	struct entry *e;
	uint64_t vm;
	uint64_t spent_ns;
	uint64_t sent_bytes;
	uint64_t next_ns;
	bool leaving;
};

/* Messages of one kind, with headers of UDP and IP. */
struct pump_count {
	uint64_t n;
	uint64_t bytes;
};

/* A feed as its target knows it. */
struct pump_feed {
	uint32_t node;
	uint64_t target;
	uint8_t token_len;
	uint8_t token[TOKEN_MAX_BYTES];
};

/**
 * struct pump - entries, and what goes on between them
 * @nodes: entries
 * @n: how many
 * @now_ns: time
 * @config: configuration in force
 * @out: actions of the last call
 * @packets: datagrams under way
 * @sent: by enum peer_kind
 * @answers: answers of targets that reached callers
 * @own_answers: answers that the entries made themselves
 * @feeds: feeds that targets opened, the newest of each node and token
 * @n_feeds: how many
 * @next_id: message ID of the targets' updates
 */
struct pump {
	struct pump_node *nodes;
	uint32_t n;
	uint64_t now_ns;
	struct config config;
	struct actions *out;
	GQueue packets;
	struct pump_count sent[PEER_KIND_COUNT];
	uint64_t answers;
	uint64_t own_answers;
	struct pump_feed feeds[PUMP_FEED_MAX];
	uint32_t n_feeds;
	uint16_t next_id;
};

enum pump_request { PUMP_GET, PUMP_POST, PUMP_FEED };

uint64_t clock_ns(void);
struct entry_conf pump_conf(void);
struct config pump_config(uint32_t accounts, uint32_t services,
			  uint32_t targets);
struct pump *pump_new(uint32_t n, const struct entry_conf *conf,
		      uint32_t targets);
void pump_free(struct pump *p);
void pump_run(struct pump *p, uint64_t for_ns);
uint64_t pump_target(uint32_t i);
struct flow_key pump_key(uint32_t i);
void pump_caller(struct pump *p, uint32_t node, const struct flow_key *key,
		 enum pump_request kind, uint16_t id);
void pump_block(struct pump *p, uint32_t node, const struct flow_key *key,
		uint32_t nth, uint32_t blocks, uint16_t id);
void pump_ack(struct pump *p, uint32_t node, const struct flow_key *key,
	      uint16_t id);
void pump_update(struct pump *p, const struct pump_feed *feed);
uint32_t pump_node_of(const struct pump *p, uint64_t vm);
void pump_kill(struct pump *p, uint32_t node);
void pump_leave(struct pump *p, uint32_t node);
void pump_reset(struct pump *p);
uint64_t pump_bytes(const struct pump *p);
void pump_report_sent(const struct pump *p, const uint8_t *kinds, uint32_t n);

/* Reported value: "NAME SIZE VALUE UNIT". */
void report(const char *name, double size, double value, const char *unit);

void memory_slopes(void);
void config_slopes(void);
void work_slopes(void);
void socket_slopes(void);
void feed_slopes(void);
void fleet_slopes(void);

#endif
