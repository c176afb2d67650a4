/* Clients, the router in front of the entries, and the form of packets. */
#define _GNU_SOURCE
#include "bed.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#define FLOWS_MAX 16384
#define CLIENTS 4
#define REQUEST_BYTES 900
#define SUM_KEY 0x5bd1e995u
#define DEADLINE_US 3000000
#define TICK_US 3000

enum stage { FREE, OPENING, REQUESTED, CLOSING, DONE };

static struct flow flows[FLOWS_MAX];
static struct handle sockets[ZONES * CLIENTS];
static int fds[ZONES * CLIENTS];
static uint16_t next_port[ZONES * CLIENTS];
static struct traffic traffic[16];
static uint32_t n_traffic;
static uint64_t next_flow_us[16][ZONES];

static void put16(uint8_t *at, uint16_t v)
{
	at[0] = (uint8_t)v;
	at[1] = (uint8_t)(v >> 8);
}

static void put32(uint8_t *at, uint32_t v)
{
	put16(at, (uint16_t)v);
	put16(at + 2, (uint16_t)(v >> 16));
}

static uint16_t get16(const uint8_t *at)
{
	return (uint16_t)(at[0] | at[1] << 8);
}

static uint32_t get32(const uint8_t *at)
{
	return get16(at) | (uint32_t)get16(at + 2) << 16;
}

/* Keyed sum over all fields but echo and pad. */
static uint32_t sum_of(const uint8_t *d)
{
	uint32_t h = SUM_KEY;

	for (uint32_t i = 0; i < 28; i++)
		if (i != 1 && (i < 12 || i > 15))
			h = (h ^ d[i]) * 16777619u;
	return h ? h : 1;
}

uint32_t packet_write(const struct packet *p, uint8_t *out)
{
	memset(out, 0, HEADER_BYTES);
	out[0] = p->flags;
	put32(out + 2, p->seq);
	put32(out + 6, p->ack);
	put16(out + 10, p->len);
	put16(out + 16, p->dst.port);
	put32(out + 18, p->dst.ip);
	put16(out + 22, p->src.port);
	put32(out + 24, p->src.ip);
	put32(out + 28, p->echo);
	put32(out + 12, sum_of(out));
	return HEADER_BYTES + p->len;
}

bool packet_read(const uint8_t *d, uint32_t n, struct packet *out)
{
	if (n < HEADER_BYTES || get16(d + 10) != n - HEADER_BYTES)
		return false;
	*out = (struct packet){ .flags = d[0],
				.seq = get32(d + 2),
				.ack = get32(d + 6),
				.len = get16(d + 10),
				.dst = { get32(d + 18), get16(d + 16) },
				.src = { get32(d + 24), get16(d + 22) },
				.echo = get32(d + 28),
				.sum_ok = get32(d + 12) == sum_of(d) };
	return true;
}

uint32_t entry_zone(uint32_t entry)
{
	return (entry - 1) % ZONES;
}

/* The router's choice among the entries of a zone. */
static uint32_t route_flow(uint32_t zone, uint64_t key)
{
	uint32_t in_zone[ENTRIES_MAX], n = 0;

	for (uint32_t e = 1; e <= bed.n_entries; e++)
		if (entry_zone(e) == zone)
			in_zone[n++] = e;
	return in_zone[(key * 0x9e3779b97f4a7c15u >> 40) % n];
}

static struct flow *slot_of(uint64_t key)
{
	return &flows[(key * 0x9e3779b97f4a7c15u >> 44) % FLOWS_MAX];
}

struct flow *clients_find(uint64_t key, struct vip vip)
{
	struct flow *f = slot_of(key);

	return f->stage && f->key == key && f->vip.ip == vip.ip &&
			       f->vip.port == vip.port
		       ? f
		       : NULL;
}

static void send_packet(struct flow *f, uint8_t flags, uint32_t seq,
			uint32_t ack, uint16_t len)
{
	struct packet p = { .flags = flags,
			    .seq = seq,
			    .ack = ack,
			    .len = len,
			    .dst = f->vip,
			    .src = { (uint32_t)(f->key >> 16),
				     (uint16_t)f->key },
			    .echo = flags & F_SYN ? 0 : f->echo };
	struct sockaddr_in to = address(ENTRY_IP + f->entry, bed.base);
	uint32_t client = (uint32_t)(f->key >> 16) - CLIENT_IP - 1;
	uint8_t data[DATAGRAM_BYTES] = { 0 };
	uint32_t n = packet_write(&p, data);

	sendto(fds[client], data, n, 0, (struct sockaddr *)&to, sizeof(to));
}

static void send_syn(struct flow *f)
{
	static const uint64_t waits_us[] = { 200000, 400000, 800000 };

	send_packet(f, F_SYN, f->seq, f->copies, 0);
	f->next_us = now_us() + waits_us[f->copies];
	f->copies++;
}

static void open_flow(uint32_t client, uint32_t entry, struct vip vip,
		      uint32_t tag)
{
	uint16_t port = next_port[client]++;
	uint64_t key = (uint64_t)(CLIENT_IP + 1 + client) << 16 | port;
	struct flow *f = slot_of(key);

	if (next_port[client] > 60000)
		next_port[client] = 1024;
	if (f->stage != FREE && f->stage != DONE)
		return; /* the table is full there */
	*f = (struct flow){ .key = key,
			    .vip = vip,
			    .entry = entry ? entry
					   : route_flow(client / CLIENTS, key),
			    .sent_us = now_us(),
			    .seq = (uint32_t)next_random(),
			    .stage = OPENING,
			    .tag = tag };
	send_syn(f);
}

/* A flow that is sent directly to one entry. */
void clients_probe(uint32_t entry, struct vip vip, uint32_t tag)
{
	open_flow(entry_zone(entry) * CLIENTS, entry, vip, tag);
}

static void take_packet(struct flow *f, const struct packet *p)
{
	bool in_window = f->stage == OPENING ||
			 (uint32_t)(p->seq - f->ack + 76800) <= 153600;

	if (f->stage == DONE)
		return;
	if (p->flags & F_RST) {
		if (!in_window)
			return;
		f->was_reset = true;
		f->stage = DONE;
		scenario_reset(f);
		return;
	}
	if (p->flags & F_SYN) {
		if (f->stage != OPENING)
			return;
		f->echo = p->echo;
		f->stage = REQUESTED;
		f->seq++;
		f->ack = p->seq + 1;
		f->next_us = now_us() + 200000;
		send_packet(f, F_ACK, f->seq, f->ack, 0);
		send_packet(f, F_ACK, f->seq, f->ack, REQUEST_BYTES);
		return;
	}
	f->echo = p->echo;
	if (f->stage == REQUESTED && p->len && p->seq == f->ack) {
		f->ack += p->len;
		f->seq += REQUEST_BYTES;
		f->was_answered = true;
		f->stage = CLOSING;
		f->next_us = now_us() + 200000;
		send_packet(f, F_ACK | F_FIN, f->seq, f->ack, 0);
		scenario_answered(f);
	} else if (f->stage == CLOSING && p->flags & F_FIN) {
		f->stage = DONE;
		send_packet(f, F_ACK, f->seq + 1, p->seq + 1, 0);
	}
}

static void on_client(struct handle *h, uint32_t what)
{
	int fd = fds[h - sockets];
	uint8_t data[DATAGRAM_BYTES];
	ssize_t n;

	(void)what;
	while ((n = recv(fd, data, sizeof(data), 0)) > 0) {
		struct packet p;
		struct flow *f;

		if (!packet_read(data, (uint32_t)n, &p))
			continue;
		f = clients_find((uint64_t)p.dst.ip << 16 | p.dst.port, p.src);
		if (f)
			take_packet(f, &p);
	}
}

static void flow_tick(struct flow *f, uint64_t us)
{
	if (f->sent_us + DEADLINE_US <= us) {
		f->stage = DONE;
		return;
	}
	if (f->next_us > us)
		return;
	if (f->stage == OPENING && f->copies == 3)
		f->stage = DONE; /* no answer after 1.4 s */
	else if (f->stage == OPENING)
		send_syn(f);
	else if (f->stage == REQUESTED)
		send_packet(f, F_ACK, f->seq, f->ack, REQUEST_BYTES);
	else if (f->stage == CLOSING)
		send_packet(f, F_ACK | F_FIN, f->seq, f->ack, 0);
	if (f->stage != OPENING)
		f->next_us = us + 400000;
}

void clients_tick(void)
{
	static uint64_t last_us;
	uint64_t us = now_us();

	if (us < last_us + TICK_US)
		return;
	last_us = us;

	for (uint32_t i = 0; i < FLOWS_MAX; i++)
		if (flows[i].stage != FREE && flows[i].stage != DONE)
			flow_tick(&flows[i], us);
	for (uint32_t t = 0; t < n_traffic; t++)
		for (uint32_t z = 0; z < ZONES; z++) {
			uint64_t *next = &next_flow_us[t][z];
			uint64_t step = 1000000 / traffic[t].per_s;

			if (*next + 1000000 < us)
				*next = us;
			for (; *next <= us; *next += step)
				open_flow(z * CLIENTS + next_random() % CLIENTS,
					  0, traffic[t].vip, traffic[t].tag);
		}
}

void clients_set_traffic(const struct traffic *t, uint32_t n)
{
	memcpy(traffic, t, n * sizeof(*t));
	n_traffic = n;
}

void clients_open(void)
{
	for (uint32_t i = 0; i < ZONES * CLIENTS; i++) {
		fds[i] = bound_socket(SOCK_DGRAM, CLIENT_IP + 1 + i, bed.base);
		if (fds[i] < 0)
			fail_setup("client");
		next_port[i] = (uint16_t)(1024 + next_random() % 50000);
		sockets[i].ready = on_client;
		watch_fd(fds[i], &sockets[i], EPOLLIN);
	}
}
