/* State and parts of bed, the stand-ins of the review's scripts. */
#ifndef BED_H
#define BED_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Addresses; ports are counted from bed.base. An entry has the ports 0 (clients'
 * datagrams), 1 (ready), 2 (control) and 3 (peers). */
#define STORE_IP 0x7f000003u
#define ENTRY_IP 0x7f000100u
#define ENDPOINT_IP 0x7f000200u
#define CLIENT_IP 0x7f000300u
#define STORE_PORT 4
#define ENDPOINT_PORT 10
#define ENDPOINTS_PER_IP 200

#define ENTRIES_MAX 16
#define ENDPOINTS_MAX 700
#define ZONES 4
#define KEY_BYTES 64

/* Event source of the loop; the first member of its owner. */
struct handle {
	void (*ready)(struct handle *h, uint32_t events);
};

struct bed {
	const char *scenario;
	uint16_t base;
	uint32_t n_entries;
	int trouble;
	FILE *record;
	uint64_t random;
	uint64_t start_us;
	int epoll;
	bool done;
	int result;
};

extern struct bed bed;

uint64_t now_us(void);
double at_ms(uint64_t us);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));
void fail_setup(const char *what) __attribute__((noreturn));
struct sockaddr_in address(uint32_t ip, uint16_t port);
int bound_socket(int type, uint32_t ip, uint16_t port);
void watch_fd(int fd, void *handle, uint32_t events);
uint64_t next_random(void);

/* store.c */
struct store_conf {
	uint64_t answer_us; /* time until an answer begins */
	uint64_t link_bytes_per_s; /* of each machine's link; 0: not limited */
	uint32_t page_items;
	uint32_t page_bytes;
	uint64_t history_us;
};

void store_open(const struct store_conf *conf);
void store_tick(void);
uint64_t store_put(const char *key, const char *value, uint32_t n_bytes);
void store_delete(const char *key);
void store_forget_history(void);
void store_silence_connections(void);

/* endpoints.c */
enum endpoint_state { ENDPOINT_READY, ENDPOINT_DRAINING, ENDPOINT_ENDED };

struct endpoint {
	struct handle udp;
	struct handle tcp;
	int udp_fd;
	int tcp_fd;
	uint64_t id;
	char key[KEY_BYTES];
	const char *service;
	uint32_t zone;
	uint32_t ip;
	uint16_t port;
	enum endpoint_state state;
	uint64_t drained_us; /* the store accepted "draining" */
	uint64_t ends_us;
	uint32_t sequence;
};

extern struct endpoint *endpoints[ENDPOINTS_MAX];
extern uint32_t n_endpoints;

void endpoint_add(const char *service, uint32_t zone);
void endpoint_drain(struct endpoint *e, uint64_t linger_us);
void endpoints_tick(void);

/* clients.c */
struct vip {
	uint32_t ip;
	uint16_t port;
};

struct flow {
	uint64_t key; /* client's address and port */
	struct vip vip;
	uint32_t entry; /* from 1; the router's choice */
	uint64_t sent_us; /* first SYN */
	uint64_t next_us;
	uint32_t copies;
	uint32_t seq;
	uint32_t ack;
	uint32_t echo;
	uint8_t stage;
	uint32_t tag;
	struct endpoint *ran_at;
	uint64_t ran_us;
	bool was_reset;
	bool was_answered;
};

struct traffic {
	struct vip vip;
	uint32_t per_s; /* of each zone */
	uint32_t tag;
};

void clients_open(void);
void clients_tick(void);
void clients_set_traffic(const struct traffic *t, uint32_t n);
void clients_probe(uint32_t entry, struct vip vip, uint32_t tag);
struct flow *clients_find(uint64_t key, struct vip vip);
uint32_t entry_zone(uint32_t entry);

/* scenario.c */
void scenario_open(void);
void scenario_tick(void);
/* An endpoint took the opening packet of a flow, ran it; a client was reset or
 * answered. */
void scenario_opened(struct flow *f, struct endpoint *e);
void scenario_ran(struct flow *f, struct endpoint *e);
void scenario_reset(struct flow *f);
void scenario_answered(struct flow *f);

/* Packets: fields of the 32-byte header. */
enum { F_ACK = 4, F_SYN = 8, F_RST = 32, F_FIN = 64 };
#define HEADER_BYTES 32
#define DATAGRAM_BYTES 1300

struct packet {
	uint8_t flags;
	uint32_t seq;
	uint32_t ack;
	uint16_t len;
	struct vip dst;
	struct vip src;
	uint32_t echo;
	bool sum_ok;
};

uint32_t packet_write(const struct packet *p, uint8_t *out);
bool packet_read(const uint8_t *data, uint32_t n, struct packet *out);

#endif
