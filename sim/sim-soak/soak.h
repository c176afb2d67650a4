/*
 * Real cb-packet processes in the place of the emulator's entries: the same
 * clients, targets, routers, store and rules, over loopback, in real time.
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
#define ROOM_BYTES 1600
#define WAITERS_MAX 64

struct soak;
struct link;

/* A watch that waits for a change. */
struct waiter {
	struct http_request *req;
	uint64_t after;
	uint64_t deadline_ns;
};

/**
 * struct soak_entry - a real process and what speaks to it
 * @soak: the run
 * @index: entry
 * @process: the process
 * @running: it was started and has not ended
 * @store: the store's front for this entry alone, so that it can be turned
 *	away alone
 * @waiters: watches that wait
 * @proxy: what the entry takes for the store
 * @links: connections through it
 * @lost_until_ns: what comes from an end of a new link until then is lost
 * @slow_until_ns: until then bytes take @delay_ns longer
 * @delay_ns: that
 * @caller: asks whether it is ready
 * @ready: it said so at @ready_ns
 */
struct soak_entry {
	struct soak *soak;
	uint32_t index;
	uv_process_t process;
	bool running;
	struct http_server *store;
	struct waiter waiters[WAITERS_MAX];
	uv_tcp_t proxy;
	struct link *links;
	uint64_t lost_until_ns[2];
	uint64_t slow_until_ns;
	uint64_t delay_ns;
	struct http_client *caller;
	bool ready;
	uint64_t ready_ns;
};

/* A target's address: packets come in by UDP, probes by TCP. */
struct soak_address {
	struct soak *soak;
	uint64_t addr;
	uv_poll_t packets;
	int packets_fd;
	int probes_fd;
	int dark_fd[3];
};

struct soak_client_socket {
	struct soak *soak;
	uv_poll_t poll;
	int fd;
};

/**
 * struct soak - a run
 * @program: path of cb-packet
 * @dir: directory for settings and logs
 * @world: clients, targets, rules
 * @start_ns: real time when the world began
 * @world_ns: the world's time then
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
void processes_ask(struct soak *s);
void processes_reload(struct soak *s);
void processes_end(struct soak *s);

/* sockets.c */
int sockets_open(struct soak *s);
void sockets_close(struct soak *s);
void sockets_tick(struct soak *s);
void sockets_target(struct soak *s, uint32_t target);
void sockets_packet(struct soak *s, uint32_t entry, const struct sim_packet *k);

/* proxy.c */
int proxy_open(struct soak *s, uint32_t entry);
void proxy_close(struct soak *s, uint32_t entry);
void proxy_reset(struct soak *s);
void proxy_silence(struct soak *s);
void proxy_lose_answers(struct soak *s);
void proxy_lose_requests(struct soak *s);
void proxy_slow(struct soak *s);

/* publish.c */
int publish_open(struct soak *s, uint32_t entry);
void publish_close(struct soak *s, uint32_t entry);
void publish_tick(struct soak *s);

#endif
