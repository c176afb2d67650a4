/*
 * Interfaces between the files of cb-entry. The process has one thread and one
 * loop. struct entry makes the decisions; the files here pass received
 * datagrams to it and execute the actions that it returns.
 */
#ifndef CB_DAEMON_H
#define CB_DAEMON_H

#include "config.h"
#include "entry.h"
#include "http.h"
#include "link.h"
#include "settings.h"
#include "wire.h"

#include <uv.h>

/* libuv divides the buffer of recvmmsg() into chunks of this size. */
#define RECV_CHUNK_BYTES 65536
#define RECV_CHUNKS 16
#define SEND_MAX_BYTES 4096

/**
 * enum drop - why a datagram was dropped
 * @DROP_PROXY: invalid PROXY header of the fabric
 * @DROP_CALLER_FORMAT: malformed datagram of a caller
 * @DROP_TARGET_FORMAT: malformed datagram of a target
 * @DROP_PEER_MAC: datagram of a peer whose MAC is wrong
 * @DROP_PEER_VERSION: datagram of a peer with another protocol version
 * @DROP_PEER_FORMAT: malformed datagram of a peer
 * @DROP_PEER_INNER: a peer forwarded a malformed datagram
 * @DROP_ENCODE: an action could not be encoded
 * @DROP_SEND_CALLER: the socket for callers did not accept the datagram
 * @DROP_SEND_TARGET: the socket for targets did not accept the datagram
 * @DROP_SEND_PEER: the socket for peers did not accept the datagram
 * @DROP_COUNT: number of reasons
 */
enum drop {
	DROP_PROXY,
	DROP_CALLER_FORMAT,
	DROP_TARGET_FORMAT,
	DROP_PEER_MAC,
	DROP_PEER_VERSION,
	DROP_PEER_FORMAT,
	DROP_PEER_INNER,
	DROP_ENCODE,
	DROP_SEND_CALLER,
	DROP_SEND_TARGET,
	DROP_SEND_PEER,
	DROP_COUNT
};

/**
 * struct peer_traffic - messages on the peer socket in one direction
 * @messages: number of messages, by enum peer_kind
 * @bytes: UDP payload, by enum peer_kind
 */
struct peer_traffic {
	uint64_t messages[PEER_KIND_COUNT];
	uint64_t bytes[PEER_KIND_COUNT];
};

struct vip_sockets;
struct load_polls;
struct intake;

/**
 * struct daemon - the process
 * @settings: settings in force
 * @loop: the only loop; its data is this struct
 * @entry: makes the decisions
 * @actions: actions of the last call into @entry
 * @config: all client accounts in force
 * @incarnation: wall clock time in ms at the start of the process
 * @tick_due_ns: when entry_tick() is due
 * @wait_start_ns: when the loop last began to wait for events
 * @leaving: a planned stop is in progress
 * @exit_code: exit code of the process
 * @dropped: dropped datagrams, by enum drop
 * @peer_sent: messages sent to peers
 * @peer_received: messages received from peers
 * @log_lines_left: lines that may still be logged about flows this second
 * @log_lines_suppressed: lines beyond that limit this second
 * @http: server for operators
 * @link: connection to cb-watch
 * @vip_sockets: sockets of VIPs, in direct mode
 * @load_polls: polls of the targets' load
 * @intake: configuration received from cb-watch and not applied yet
 * @fabric_socket: socket for callers, in fabric mode
 * @target_socket: socket for targets
 * @peer_socket: socket for other entries
 * @tick_timer: expires at @tick_due_ns
 * @one_second_timer: expires each second
 * @apply_timer: applies @intake in the next iteration of the loop
 * @prepare: runs before the loop waits for events
 * @sigterm: begins a planned stop; a second signal ends the process at once
 * @sigint: the same
 * @receive_buffer: buffer for received datagrams, shared by all sockets: a
 *	receive callback doesn't keep references to it
 */
struct daemon {
	struct entry_settings settings;
	uv_loop_t *loop;
	struct entry *entry;
	struct actions actions;
	struct config config;
	uint64_t incarnation;
	uint64_t tick_due_ns;
	uint64_t wait_start_ns;
	bool leaving;
	int exit_code;
	uint64_t dropped[DROP_COUNT];
	struct peer_traffic peer_sent;
	struct peer_traffic peer_received;
	uint32_t log_lines_left;
	uint64_t log_lines_suppressed;
	struct http_server *http;
	struct entry_link *link;
	struct vip_sockets *vip_sockets;
	struct load_polls *load_polls;
	struct intake *intake;
	uv_udp_t fabric_socket;
	uv_udp_t target_socket;
	uv_udp_t peer_socket;
	uv_timer_t tick_timer;
	uv_timer_t one_second_timer;
	uv_timer_t apply_timer;
	uv_prepare_t prepare;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	char receive_buffer[RECV_CHUNKS * RECV_CHUNK_BYTES];
};

/* daemon.c: start, timers, planned stop. */
int daemon_open(struct daemon *d);
void daemon_close(struct daemon *d);
uint64_t daemon_run_due_tick(struct daemon *d);

/* datagram.c: UDP sockets. */
struct sockaddr_in sockaddr_from_addr(uint64_t addr);
uint64_t addr_from_sockaddr(const struct sockaddr *sa);
int datagram_open(struct daemon *d, uv_udp_t *socket, uint64_t addr,
		  uv_udp_recv_cb on_datagram);
bool datagram_send(uv_udp_t *socket, uint64_t to, const uint8_t *buf,
		   uint32_t size_bytes);
uint64_t datagram_overflow_count(const uv_udp_t *socket);

/* callers.c: sockets for callers. */
int callers_open(struct daemon *d);
uint64_t callers_overflow_count(const struct daemon *d);
void callers_apply_config(struct daemon *d);
void callers_retry_binds(struct daemon *d);
void callers_send(struct daemon *d, const struct flow_key *key,
		  const uint8_t *buf, uint32_t size_bytes);
void callers_close(struct daemon *d);

/* targets.c: socket for targets. */
int targets_open(struct daemon *d);
void targets_send(struct daemon *d, uint64_t target, const uint8_t *buf,
		  uint32_t size_bytes);

/* polls.c: polls of the targets' load. */
int polls_open(struct daemon *d);
void polls_apply_config(struct daemon *d);
void polls_close(struct daemon *d);

/* peers.c: socket for other entries. */
int peers_open(struct daemon *d);
void peers_send(struct daemon *d, uint64_t vm, const struct peer_msg *msg);

/* intake.c: configuration from cb-watch. */
int intake_open(struct daemon *d);
void intake_close(struct daemon *d);

/* actions.c: execution of the actions that struct entry returns. */
void actions_execute(struct daemon *d);
void actions_reset_log_limit(struct daemon *d);

/* operators.c: HTTP server for operators. */
int operators_open(struct daemon *d);

/* metrics.c: metrics of the process. */
void metrics_write(const struct daemon *d, GString *to);

/* metrics_accounts.c: metrics of the client accounts. */
void metrics_write_accounts(const struct daemon *d, GString *to);
void status_write_accounts(const struct daemon *d, GString *to);

#endif
