/*
 * cb-packet: carries opaque flows of one VM to their targets. One loop, one
 * thread; each file below owns its sockets.
 */
#ifndef CB_PACKET_DAEMON_H
#define CB_PACKET_DAEMON_H

#include "peer_set.h"
#include "http.h"
#include "http_call.h"
#include "packet_settings.h"
#include "path.h"
#include "platform_port.h"
#include "source.h"

#include <uv.h>

#define BATCH 64
#define DATAGRAM_ROOM_BYTES 1536
#define PROBES_MAX 64

/* Counters that no module of the core keeps; docs/OPERATIONS.md names each. */
#define PACKET_COUNTERS(X)       \
	X(datagrams)             \
	X(datagrams_malformed)   \
	X(datagrams_stale)       \
	X(datagrams_sent)        \
	X(datagrams_unsent)      \
	X(resets)                \
	X(hellos_sent)           \
	X(hellos_received)       \
	X(hellos_malformed)      \
	X(probes)                \
	X(probes_refused)        \
	X(probes_silent)         \
	X(platform_calls)        \
	X(platform_calls_failed) \
	X(platform_lists)        \
	X(peer_calls)            \
	X(peer_calls_failed)     \
	X(documents_refused)     \
	X(held_up)               \
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

struct probe {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct packet_daemon *daemon;
	uint64_t id;
	uint64_t deadline_ns;
	bool open;
	bool judged;
};

/**
 * struct packet_daemon - the process
 * @turn_ns: last time that the loop ran
 * @boot_gap_ns: CLOCK_BOOTTIME beyond the steady clock; grows when the machine
 *	was suspended
 * @stop_ns: when a planned stop began, 0 for none
 * @client_ns: last datagram of a client
 * @peer_call_from: peer that is being fetched from
 * @log_tokens: lines about single flows that may be logged now
 */
struct packet_daemon {
	const char *settings_path;
	struct packet_settings settings;
	const struct packet_platform *platform;
	uv_loop_t *loop;
	struct packet_counters counters;
	struct directory *directory;
	struct documents *documents;
	struct path *path;
	struct peer_set *peer_set;
	uint64_t boot;
	uint64_t turn_ns;
	uint64_t boot_gap_ns;
	uint64_t stop_ns;
	uint64_t client_ns;
	uint64_t start_ns;
	double log_tokens;
	bool ready;
	int exit_code;

	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;

	int clients_fd;
	uv_poll_t clients;
	uint8_t rooms[BATCH][DATAGRAM_ROOM_BYTES];
	struct outbox out;

	uv_udp_t peers;
	uint8_t peer_room[DATAGRAM_ROOM_BYTES];

	struct http_caller *platform_caller;
	struct source source;
	uint64_t list_revision;
	char list_after[DOCUMENT_KEY_MAX_BYTES + 1];
	enum source_step step;
	uint64_t call_ns;
	struct http_caller *peer_caller;
	uint64_t peer_call_from;

	struct probe *probes[PROBES_MAX];

	struct http_server *http;
	struct http_server *ready_http;
};

/* daemon.c */
int daemon_open(struct packet_daemon *d);
void daemon_close(struct packet_daemon *d);
uint64_t daemon_turn(struct packet_daemon *d);
bool daemon_fresh(const struct packet_daemon *d, uint64_t now_ns);

/* clients.c: datagrams of clients, to targets, resets. */
int clients_open(struct packet_daemon *d);
void clients_close(struct packet_daemon *d);
void clients_discard(struct packet_daemon *d);
void clients_flush(struct packet_daemon *d);
void clients_reset(struct packet_daemon *d, const struct flow_key *flow,
		   uint32_t ack);
void clients_again(struct packet_daemon *d, const struct flow_seen *f);

/* peers.c: heartbeats. */
int peers_open(struct packet_daemon *d);
void peers_close(struct packet_daemon *d);
void peers_tick(struct packet_daemon *d, uint64_t now_ns);
void peers_urgent(struct packet_daemon *d, const struct target *dead);

/* reading.c: the platform and the peers' documents. */
int reading_open(struct packet_daemon *d);
void reading_close(struct packet_daemon *d);
void reading_tick(struct packet_daemon *d, uint64_t now_ns);

/* view.c: documents into the directory. */
void view_changed(void *ctx, const struct document *doc);

/* probes.c: connection attempts to targets. */
void probes_start(struct packet_daemon *d, const struct target *t);
void probes_tick(struct packet_daemon *d, uint64_t now_ns);
void probes_close(struct packet_daemon *d);

/* operators.c: HTTP. */
int operators_open(struct packet_daemon *d);
void operators_close(struct packet_daemon *d);

/* decisions.c: log lines about flows and targets. */
void decisions_packet(struct packet_daemon *d, const struct packet *k,
		      const struct path_verdict *v);
void decisions_health(struct packet_daemon *d, const struct target *t,
		      uint8_t before);
void decisions_reset(struct packet_daemon *d, const struct flow_seen *f);
void decisions_again(struct packet_daemon *d, const struct flow_seen *f);

#endif
