/*
 * cb-packet: forwards opaque flows that arrive at one VM to their targets. The
 * process has one thread and one loop; each file below owns its sockets.
 */
#ifndef CB_PACKET_DAEMON_H
#define CB_PACKET_DAEMON_H

#include "http.h"
#include "http_client.h"
#include "node.h"
#include "packet_settings.h"
#include "relay_codec.h"
#include "send_batch.h"

#include <uv.h>

/* Size of a receive buffer; longer datagrams are truncated. */
#define PACKET_BUFFER_BYTES 1536
#define PROBES_MAX 64

/* Counters of the daemon itself; docs/OPERATIONS.md explains each. */
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
	X(probes_unreachable)  \
	X(decisions_not_logged)

struct packet_counters {
#define X(name) uint64_t name;
	PACKET_COUNTERS(X)
#undef X
};

/**
 * struct relay_cache - encoded documents for peers
 * @body: all documents, for peers that have none; NULL before the first request
 * @change_count: documents_change_count() when @body was encoded
 * @delta: encoded difference of the document that was requested last
 *
 * When all entries start at once, hundreds of them request all documents from
 * the first entry that has them. It encodes them once, not once for each peer.
 */
struct relay_cache {
	GString *body;
	uint64_t change_count;
	struct relay_delta_cache delta;
};

/**
 * struct probe - a connection to a target, see probes.c
 * @tcp: connection; its handle's data is the probe
 * @connect: connection request
 * @daemon: process
 * @incarnation: process of the target that is probed
 * @start_ns: when the connection was started
 * @deadline_ns: when probes_tick() acts on it next
 * @reported_silent: the first timeout has passed and was reported
 * @closing: the probe has left the daemon's table and is freed when @tcp is
 *	closed
 */
struct probe {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct packet_daemon *daemon;
	struct incarnation incarnation;
	uint64_t start_ns;
	uint64_t deadline_ns;
	bool reported_silent;
	bool closing;
};

/**
 * struct packet_daemon - the process
 * @settings_path: path of the settings file
 * @settings: settings in force
 * @platform: formats and paths of the platform
 * @loop: the only loop
 * @counters: counters that no module of core/ keeps
 * @node: decisions of this entry
 * @boot: number of this process, differs from that of earlier processes
 * @now_ns: time of the last event from outside
 * @stall_checked_ns: time of the last check for a stall
 * @total_suspended_ns: total time that the machine has been suspended
 * @settings_mtime_ns: modification time of the settings file that was read last
 * @settings_check_ns: when to check the modification time next
 * @log_tokens: decisions that may be logged now
 * @exit_code: exit code of the process
 * @tick_timer: runs node_tick()
 * @sigterm: begins a planned stop
 * @sigint: the same
 * @sighup: reloads the settings
 * @clients_fd: socket for clients and targets
 * @clients_poll: reports that @clients_fd is readable
 * @pace_timer: expires when the pacer may send its next datagram
 * @receive_buffers: datagrams of the last recvmmsg()
 * @batch: datagrams for the next sendmmsg()
 * @peer_socket: heartbeats
 * @peer_buffer: heartbeat that is being received
 * @platform_client: HTTP client for the platform
 * @peer_client: HTTP client for documents of peers
 * @fetch_peer: address of the peer that is asked by @peer_client
 * @probes: probes in progress; NULL where a slot is free
 * @relay: encoded documents
 * @http: server for operators and peers
 * @ready_http: server for the platform's readiness checks
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
	uint64_t stall_checked_ns;
	uint64_t total_suspended_ns;
	int64_t settings_mtime_ns;
	uint64_t settings_check_ns;
	double log_tokens;
	int exit_code;

	uv_timer_t tick_timer;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;

	int clients_fd;
	uv_poll_t clients_poll;
	uv_timer_t pace_timer;
	uint8_t receive_buffers[DATAGRAM_BATCH][PACKET_BUFFER_BYTES];
	struct send_batch batch;

	uv_udp_t peer_socket;
	uint8_t peer_buffer[PACKET_BUFFER_BYTES];

	struct http_client *platform_client;
	struct http_client *peer_client;
	uint64_t fetch_peer;

	struct probe *probes[PROBES_MAX];

	struct relay_cache relay;
	struct http_server *http;
	struct http_server *ready_http;
};

/* daemon.c: start, timers, signals, stop. */
int daemon_open(struct packet_daemon *d);
void daemon_close(struct packet_daemon *d);
uint64_t daemon_begin_event(struct packet_daemon *d);

/* clients.c: datagrams from clients and to targets, and resets. */
int clients_open(struct packet_daemon *d);
void clients_close(struct packet_daemon *d);
void clients_discard_received(struct packet_daemon *d);
void clients_flush(struct packet_daemon *d);
void clients_send_paced(struct packet_daemon *d);
void clients_send_reset(struct packet_daemon *d, const struct flow_key *flow,
			uint32_t ack);
void clients_send_queued(void *ctx, const struct flow_state *flow,
			 const uint8_t *bytes, uint32_t n_bytes);
void clients_resend(struct packet_daemon *d, const struct flow_state *flow);

/* peers.c: heartbeats. */
int peers_open(struct packet_daemon *d);
void peers_close(struct packet_daemon *d);
void peers_send(void *ctx, const uint64_t *to, uint32_t n,
		const struct hello *hello);

/* sync.c: documents of the platform and of peers. */
int sync_open(struct packet_daemon *d);
void sync_close(struct packet_daemon *d);
void sync_list(void *ctx, const char *after_key, bool exact);
void sync_watch(void *ctx, uint64_t after, uint64_t wait_ns);
void sync_cancel(void *ctx);
void sync_fetch(void *ctx, uint64_t peer, struct position after);

/* probes.c: connections that test whether a target is running. */
int probes_start(void *ctx, const struct target *target);
void probes_tick(struct packet_daemon *d, uint64_t now_ns);
void probes_close(struct packet_daemon *d);

/* operators.c: HTTP servers. */
int operators_open(struct packet_daemon *d);
void operators_close(struct packet_daemon *d);

/* decision_log.c: log lines about flows and targets. */
void decision_log_packet(struct packet_daemon *d, const struct packet *packet,
			 const struct path_verdict *verdict);
void decision_log_health(void *ctx, const struct target *target,
			 uint8_t before);
void decision_log_reset(struct packet_daemon *d, const struct flow_state *flow);
void decision_log_resend(struct packet_daemon *d, const struct flow_state *flow,
			 uint8_t reason);

#endif
