/*
 * cb-packet: carries opaque flows of one VM to their targets. One loop, one
 * thread; each file below owns its sockets.
 */
#ifndef CB_PACKET_DAEMON_H
#define CB_PACKET_DAEMON_H

#include "http.h"
#include "http_client.h"
#include "node.h"
#include "packet_settings.h"
#include "relay_codec.h"

#include <uv.h>

#define BATCH 64
#define RECEIVE_ROOM_BYTES 1536
#define PROBES_MAX 64

/* Counters that no module of the core keeps; docs/OPERATIONS.md names each. */
#define PACKET_COUNTERS(X)     \
	X(datagrams)           \
	X(datagrams_malformed) \
	X(datagrams_stale)     \
	X(datagrams_sent)      \
	X(datagrams_unsent)    \
	X(datagrams_paced)     \
	X(datagrams_repeated)  \
	X(datagrams_crowded)   \
	X(resets)              \
	X(hellos_sent)         \
	X(hellos_received)     \
	X(hellos_malformed)    \
	X(probes)              \
	X(probes_refused)      \
	X(probes_silent)       \
	X(decisions_not_logged)

struct packet_counters {
#define X(name) uint64_t name;
	PACKET_COUNTERS(X)
#undef X
};

/* Datagrams on their way out. */
struct outbox {
	uint32_t n;
	uint64_t to[BATCH];
	uint8_t head[BATCH][RESET_MAX_BYTES];
	uint32_t head_bytes[BATCH];
	const uint8_t *data[BATCH];
	uint32_t data_bytes[BATCH];
};

/*
 * Everything that is published, encoded, for VMs that know nothing: when all
 * start at once hundreds ask the first that knows, and it would encode all of
 * it for each.
 */
struct relay_cache {
	GString *body;
	uint64_t changes;
	struct relay_delta_cache delta;
};

struct probe {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct packet_daemon *daemon;
	struct incarnation who;
	uint64_t since_ns;
	uint64_t deadline_ns;
	bool late;
	bool judged;
};

/**
 * struct packet_daemon - the process
 * @boot: number of this process
 * @now_ns: when the loop last brought something from outside
 * @turn_ns: last time that the loop ran
 * @boot_gap_ns: CLOCK_BOOTTIME beyond the steady clock; grows when the machine
 *	was suspended
 * @settings_file_ns: when the settings file read last was written
 * @settings_look_ns: when to look at it next
 * @log_tokens: lines about single flows that may be logged now
 */
struct packet_daemon {
	const char *settings_path;
	struct packet_settings settings;
	const struct packet_platform *platform;
	uv_loop_t *loop;
	struct packet_counters counters;
	struct node *node;
	uint64_t boot;
	uint64_t now_ns;
	uint64_t turn_ns;
	uint64_t boot_gap_ns;
	int64_t settings_file_ns;
	uint64_t settings_look_ns;
	double log_tokens;
	int exit_code;

	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;

	int clients_fd;
	uv_poll_t clients;
	uv_timer_t pace;
	uint8_t rooms[BATCH][RECEIVE_ROOM_BYTES];
	struct outbox out;

	uv_udp_t peers;
	uint8_t peer_room[RECEIVE_ROOM_BYTES];

	struct http_client *platform_caller;
	struct http_client *peer_caller;
	uint64_t peer_call_from;

	struct probe *probes[PROBES_MAX];

	struct relay_cache relay;
	struct http_server *http;
	struct http_server *ready_http;
};

/* daemon.c */
int daemon_open(struct packet_daemon *d);
void daemon_close(struct packet_daemon *d);
uint64_t daemon_turn(struct packet_daemon *d);

/* clients.c: datagrams of clients, to targets, resets. */
int clients_open(struct packet_daemon *d);
void clients_close(struct packet_daemon *d);
void clients_discard(struct packet_daemon *d);
void clients_flush(struct packet_daemon *d);
void clients_pace(struct packet_daemon *d);
void clients_reset(struct packet_daemon *d, const struct flow_key *flow,
		   uint32_t ack);
void clients_send(void *ctx, const struct flow_state *f, const uint8_t *bytes,
		  uint32_t n_bytes);
void clients_again(struct packet_daemon *d, const struct flow_state *f);

/* peers.c: heartbeats. */
int peers_open(struct packet_daemon *d);
void peers_close(struct packet_daemon *d);
void peers_send(void *ctx, const uint64_t *to, uint32_t n,
		const struct hello *h);

/* reading.c: the platform and the peers' documents. */
int reading_open(struct packet_daemon *d);
void reading_close(struct packet_daemon *d);
void reading_list(void *ctx, const char *after_key, bool exact);
void reading_watch(void *ctx, uint64_t after, uint64_t wait_ns);
void reading_cancel(void *ctx);
void reading_fetch(void *ctx, uint64_t peer, struct position after);

/* probes.c: connection attempts to targets. */
void probes_start(void *ctx, const struct target *t);
void probes_tick(struct packet_daemon *d, uint64_t now_ns);
void probes_close(struct packet_daemon *d);

/* operators.c: HTTP. */
int operators_open(struct packet_daemon *d);
void operators_close(struct packet_daemon *d);

/* decisions.c: log lines about flows and targets. */
void decisions_packet(struct packet_daemon *d, const struct packet *k,
		      const struct path_verdict *v);
void decisions_health(void *ctx, const struct target *t, uint8_t before);
void decisions_reset(struct packet_daemon *d, const struct flow_state *f);
void decisions_again(struct packet_daemon *d, const struct flow_state *f,
		     uint8_t reason);

#endif
