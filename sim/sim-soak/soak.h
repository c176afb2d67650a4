/*
 * Runs real cb-packet processes in place of the entries of sim-packets.
 * Clients, targets, routers, store and checked rules are those of sim-packets;
 * packets and calls go over loopback, in real time. A client is a struct
 * sim_user of the world.
 */
#ifndef SIM_SOAK_H
#define SIM_SOAK_H

#include "http.h"
#include "http_client.h"
#include "world_state.h"

#include <uv.h>

#define CLIENT_SOCKETS 16
#define CLIENT_IP_0 0x7f010001
#define PROXY_IP_0 0x7f040001
#define STORE_IP_0 0x7f060001
#define STORE_PORT 8169
#define CLIENT_PORT 8172
#define READY_PORT 8167
#define HTTP_PORT 8166
#define PACKET_BUFFER_BYTES 1600
#define PENDING_WATCHES_MAX 64

struct soak;
struct link;

/* A watch of the store that has not been answered; @req is NULL if unused. */
struct pending_watch {
	struct http_request *req;
	uint64_t after;
	uint64_t deadline_ns;
};

/**
 * struct soak_entry - a cb-packet process with its store server and proxy
 * @soak: run that the entry belongs to
 * @index: number of the entry in the world
 * @process: handle of the process, valid while @running
 * @running: the process was started and has not ended
 * @store: store server of this entry alone, so that the store can refuse or
 *	ignore single entries; NULL while closed
 * @pending_watches: unanswered watches of this entry
 * @proxy: listening socket that the entry connects to as its store
 * @links: open connections through the proxy
 * @discard_until_ns: for each end, real time; a connection opened earlier
 *	discards the bytes from that end as long as it is open
 * @delay_until_ns: real time until which bytes are delayed by @delay_ns
 * @delay_ns: added delay of bytes through the proxy
 * @readiness_client: HTTP client that polls the readiness of the process
 * @ready: the last readiness answer, received at @ready_ns, was 200
 * @ready_ns: real time of the last readiness answer
 */
struct soak_entry {
	struct soak *soak;
	uint32_t index;
	uv_process_t process;
	bool running;
	struct http_server *store;
	struct pending_watch pending_watches[PENDING_WATCHES_MAX];
	uv_tcp_t proxy;
	struct link *links;
	uint64_t discard_until_ns[2];
	uint64_t delay_until_ns;
	uint64_t delay_ns;
	struct http_client *readiness_client;
	bool ready;
	uint64_t ready_ns;
};

/*
 * An address of targets: receives packets by UDP and health checks by TCP.
 * @blackhole_fds is a listener and the connections that fill its backlog.
 */
struct soak_address {
	struct soak *soak;
	uint64_t addr;
	uv_poll_t packets;
	int packets_fd;
	int probes_fd;
	int blackhole_fds[3];
};

/* A UDP socket shared by many clients. */
struct soak_client_socket {
	struct soak *soak;
	uv_poll_t poll;
	int fd;
};

/**
 * struct soak - a run with one seed
 * @program: path of cb-packet
 * @dir: directory for settings and logs of the entries
 * @loop: event loop of the run
 * @timer: advances the world and answers watches
 * @world: clients, targets, routers, store and rules
 * @start_ns: real time at the start of the run
 * @world_ns: time of the world at the start of the run
 * @entries: processes, by number of the entry
 * @addresses: addresses that targets have used so far
 * @n_addresses: used elements of @addresses
 * @clients: sockets of the clients
 */
struct soak {
	const char *program;
	const char *dir;
	uv_loop_t loop;
	uv_timer_t timer;
	struct world *world;
	uint64_t start_ns;
	uint64_t world_ns;
	struct soak_entry entries[ENTRIES_MAX];
	struct soak_address *addresses[TARGETS_MAX];
	uint32_t n_addresses;
	struct soak_client_socket clients[CLIENT_SOCKETS];
};

void soak_advance(struct soak *s);

/* processes.c */
struct entry_driver processes_driver(struct soak *s);
int processes_open(struct soak *s);
void processes_poll_readiness(struct soak *s);
void processes_reload(struct soak *s);
void processes_kill(struct soak *s);

/* sockets.c */
int sockets_open(struct soak *s);
void sockets_close(struct soak *s);
void sockets_accept_probes(struct soak *s);
void sockets_update_target(struct soak *s, uint32_t target);
void sockets_send_packet(struct soak *s, uint32_t entry,
			 const struct sim_packet *packet);

/* proxy.c */
int proxy_open(struct soak *s, uint32_t entry);
void proxy_close(struct soak *s, uint32_t entry);
void proxy_reset(struct soak *s);
void proxy_silence(struct soak *s);
void proxy_drop_answers(struct soak *s);
void proxy_drop_requests(struct soak *s);
void proxy_delay(struct soak *s);

/* store_server.c */
int store_server_open(struct soak *s, uint32_t entry);
void store_server_close(struct soak *s, uint32_t entry);
void store_server_answer_watches(struct soak *s);

#endif
