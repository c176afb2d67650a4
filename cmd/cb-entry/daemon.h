/*
 * What the parts of cb-entry share. One thread, one loop; struct entry decides,
 * the files here carry datagrams to it and its actions out.
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

#define RECV_CHUNKS 16
#define RECV_CHUNK_BYTES 65536 /* libuv cuts its buffer by this */
#define SEND_MAX_BYTES 4096

/**
 * enum drop - why a datagram went no further
 * @DROP_PROXY: fabric's header is wrong
 * @DROP_CALLER_FORMAT: caller's datagram is malformed
 * @DROP_TARGET_FORMAT: target's datagram is malformed
 * @DROP_PEER_MAC: peer's datagram isn't authentic
 * @DROP_PEER_VERSION: peer runs another version of the protocol
 * @DROP_PEER_FORMAT: peer's datagram is malformed
 * @DROP_PEER_INNER: datagram that a peer forwarded is malformed
 * @DROP_ENCODE: an action that can't be coded
 * @DROP_SEND_CALLER: socket towards callers refused it
 * @DROP_SEND_TARGET: socket towards targets refused it
 * @DROP_SEND_PEER: socket towards peers refused it
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
 * struct peer_traffic - what went over the peer socket in one direction
 * @messages: by enum peer_kind
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
 * struct daemon - cb-entry
 * @settings: settings
 * @loop: the only loop
 * @entry: the decisions
 * @actions: what the last call into @entry wants done
 * @config: all client accounts in force
 * @armed_ns: when entry_tick() is due
 * @turn_ns: when the loop last began to wait
 * @leaving: a planned stop is under way
 * @exit_code: of the process
 * @dropped: by enum drop
 * @sent: to peers
 * @received: from peers
 * @notes_left: log lines the decisions may still write this second
 * @notes_suppressed: those they could not
 * @recv: room for incoming datagrams, shared: each is used up in its callback
 */
struct daemon {
	struct entry_settings settings;
	uv_loop_t *loop;
	struct entry *entry;
	struct actions actions;
	struct config config;
	uint64_t incarnation;
	uint64_t armed_ns;
	uint64_t turn_ns;
	bool leaving;
	int exit_code;
	uint64_t dropped[DROP_COUNT];
	struct peer_traffic sent;
	struct peer_traffic received;
	uint32_t notes_left;
	uint64_t notes_suppressed;
	struct http_server *http;
	struct entry_link *link;
	struct vip_sockets *vips;
	struct load_polls *polls;
	struct intake *intake;
	uv_udp_t fabric_socket;
	uv_udp_t target_socket;
	uv_udp_t peer_socket;
	uv_timer_t tick_timer;
	uv_timer_t second_timer;
	uv_timer_t apply_timer;
	uv_prepare_t prepare;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	char recv[RECV_CHUNKS * RECV_CHUNK_BYTES];
};

/* daemon.c */
int daemon_open(struct daemon *d);
void daemon_close(struct daemon *d);
uint64_t daemon_catch_up(struct daemon *d);

/* datagram.c */
struct sockaddr_in sockaddr_of(uint64_t addr);
uint64_t addr_of(const struct sockaddr *sa);
int datagram_open(struct daemon *d, uv_udp_t *socket, uint64_t addr,
		  uv_udp_recv_cb received);
bool datagram_send(uv_udp_t *socket, uint64_t to, const uint8_t *buf,
		   uint32_t size_bytes);
uint64_t datagram_lost(const uv_udp_t *socket);

/* callers.c */
int callers_open(struct daemon *d);
uint64_t callers_lost(const struct daemon *d);
void callers_config(struct daemon *d);
void callers_retry(struct daemon *d);
void callers_send(struct daemon *d, const struct flow_key *key,
		  const uint8_t *buf, uint32_t size_bytes);
void callers_close(struct daemon *d);

/* targets.c */
int targets_open(struct daemon *d);
void targets_send(struct daemon *d, uint64_t target, const uint8_t *buf,
		  uint32_t size_bytes);

/* polls.c */
int polls_open(struct daemon *d);
void polls_config(struct daemon *d);
void polls_close(struct daemon *d);

/* peers.c */
int peers_open(struct daemon *d);
void peers_send(struct daemon *d, uint64_t vm, const struct peer_msg *m);

/* intake.c */
int intake_open(struct daemon *d);
void intake_close(struct daemon *d);

/* act.c */
void act(struct daemon *d);
void act_second(struct daemon *d);

/* operator.c */
int operator_open(struct daemon *d);

/* metrics.c */
void metrics_write(const struct daemon *d, GString *to);

/* metrics_accounts.c */
void metrics_accounts(const struct daemon *d, GString *to);
void status_accounts(const struct daemon *d, GString *to);

#endif
