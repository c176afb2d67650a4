/* Endpoints: they take flows, run one request on each, and register themselves
 * in the store. */
#define _GNU_SOURCE
#include "bed.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define FLOWS_MAX 16384
#define WORK_US 5000
#define TICK_US 3000
#define ANSWER_BYTES 600

/* A flow at an endpoint. */
struct held {
	struct endpoint *at;
	struct vip client;
	struct vip vip;
	uint32_t seq;
	uint32_t ack;
	uint32_t echo;
	uint8_t stage; /* 0 free, 1 opening, 2 open, 3 runs, 4 answered */
	uint64_t answer_us;
	uint64_t opened_us;
};

struct endpoint *endpoints[ENDPOINTS_MAX];
uint32_t n_endpoints;
static struct held held[FLOWS_MAX];

static void publish(struct endpoint *e)
{
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "{\"service\":\"%s\",\"address\":\"127.0.2.%u:%u\","
			 "\"zone\":\"zone-%u\",\"version\":\"v1\",\"slots\":3,"
			 "\"state\":\"%s\",\"cold-remaining-ms\":0,"
			 "\"sequence\":%u}",
			 e->service, e->ip & 255, e->port, e->zone,
			 e->state == ENDPOINT_READY ? "ready" : "draining",
			 ++e->sequence);

	store_put(e->key, text, (uint32_t)n);
}

/* The slot of a flow, or a free one. */
static struct held *find_held(struct endpoint *e, const struct packet *p)
{
	uint64_t hash =
		((uint64_t)p->src.ip << 16 | p->src.port) * 0x9e3779b97f4a7c15u;
	struct held *spare = NULL;

	hash ^= (uint64_t)(uintptr_t)e >> 4;
	for (uint32_t i = 0; i < 64; i++) {
		struct held *h = &held[(hash + i) % FLOWS_MAX];

		if (h->stage && h->at == e && h->client.ip == p->src.ip &&
		    h->client.port == p->src.port && h->vip.ip == p->dst.ip &&
		    h->vip.port == p->dst.port)
			return h;
		if (!spare && (!h->stage || h->opened_us + 5000000 < now_us()))
			spare = h;
	}
	if (spare)
		spare->stage = 0;
	return spare;
}

static void send_to_client(struct endpoint *e, const struct vip *client,
			   struct packet *p)
{
	struct sockaddr_in to = address(client->ip, bed.base);
	uint8_t data[DATAGRAM_BYTES] = { 0 };
	uint32_t n = packet_write(p, data);

	sendto(e->udp_fd, data, n, 0, (struct sockaddr *)&to, sizeof(to));
}

static void send_held(struct held *h, uint8_t flags, uint32_t seq, uint16_t len)
{
	struct packet p = { .flags = flags,
			    .seq = seq,
			    .ack = h->ack,
			    .len = len,
			    .dst = h->client,
			    .src = h->vip,
			    .echo = h->echo };

	send_to_client(h->at, &h->client, &p);
}

static void refuse(struct endpoint *e, const struct packet *p)
{
	struct packet out = { .flags = F_RST,
			      .seq = p->ack,
			      .dst = p->src,
			      .src = p->dst,
			      .echo = p->echo };

	if (!(p->flags & F_RST))
		send_to_client(e, &p->src, &out);
}

static void take_syn(struct endpoint *e, struct held *h, const struct packet *p)
{
	struct flow *f =
		clients_find((uint64_t)p->src.ip << 16 | p->src.port, p->dst);

	if (!h->stage) {
		*h = (struct held){ .at = e,
				    .client = p->src,
				    .vip = p->dst,
				    .seq = (uint32_t)next_random(),
				    .ack = p->seq + 1,
				    .stage = 1,
				    .opened_us = now_us() };
		if (f)
			scenario_opened(f, e);
	}
	h->echo = p->echo;
	send_held(h, F_SYN | F_ACK, h->seq, 0);
}

static void take_packet(struct endpoint *e, const struct packet *p)
{
	struct held *h = find_held(e, p);
	struct flow *f;

	if (!h)
		return;
	if (p->flags & F_SYN) {
		take_syn(e, h, p);
		return;
	}
	if (!h->stage) {
		refuse(e, p);
		return;
	}
	h->echo = p->echo;
	if (p->flags & F_RST) {
		h->stage = 0;
		return;
	}
	if (h->stage == 1) {
		if (p->ack != h->seq + 1)
			return;
		h->stage = 2;
	}
	if (h->stage == 2 && p->len) {
		h->stage = 3;
		h->ack = p->seq + p->len;
		h->answer_us = now_us() + WORK_US;
		f = clients_find((uint64_t)p->src.ip << 16 | p->src.port,
				 p->dst);
		if (f)
			scenario_ran(f, e);
	}
	if (h->stage == 4 && p->len) /* the answer was lost */
		send_held(h, F_ACK, h->seq + 1, ANSWER_BYTES);
	if (p->flags & F_FIN) {
		h->ack = p->seq + p->len + 1;
		send_held(h, F_FIN | F_ACK, h->seq + 1 + ANSWER_BYTES, 0);
	}
}

static void on_udp(struct handle *handle, uint32_t what)
{
	struct endpoint *e = (struct endpoint *)handle;
	uint8_t data[DATAGRAM_BYTES + 8];
	ssize_t n;

	(void)what;
	while ((n = recv(e->udp_fd, data, sizeof(data), 0)) > 8) {
		struct packet p;
		uint64_t id = 0;

		for (uint32_t i = 0; i < 8; i++)
			id = id << 8 | data[i];
		if (e->state == ENDPOINT_ENDED || (id && id != e->id) ||
		    !packet_read(data + 8, (uint32_t)n - 8, &p))
			continue;
		if (!p.sum_ok) {
			note("endpoint %s got a packet that its sender didn't "
			     "write so",
			     e->key);
			continue;
		}
		take_packet(e, &p);
	}
}

/* Connections are health checks; only their opening matters here. */
static void on_tcp(struct handle *handle, uint32_t what)
{
	struct endpoint *e =
		(struct endpoint *)((char *)handle -
				    offsetof(struct endpoint, tcp));
	int fd;

	(void)what;
	while ((fd = accept4(e->tcp_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		close(fd);
}

void endpoint_add(const char *service, uint32_t zone)
{
	struct endpoint *e = calloc(1, sizeof(*e));
	uint32_t i = n_endpoints;

	e->id = (next_random() >> 24) | 1;
	snprintf(e->key, sizeof(e->key), "servers/i-%010lx",
		 (unsigned long)e->id);
	e->service = service;
	e->zone = zone;
	e->ip = ENDPOINT_IP + 1 + i / ENDPOINTS_PER_IP;
	e->port = (uint16_t)(bed.base + ENDPOINT_PORT + i % ENDPOINTS_PER_IP);
	e->udp_fd = bound_socket(SOCK_DGRAM, e->ip, e->port);
	e->tcp_fd = bound_socket(SOCK_STREAM, e->ip, e->port);
	if (e->udp_fd < 0 || e->tcp_fd < 0)
		fail_setup("endpoint");
	e->udp.ready = on_udp;
	e->tcp.ready = on_tcp;
	watch_fd(e->udp_fd, &e->udp, EPOLLIN);
	watch_fd(e->tcp_fd, &e->tcp, EPOLLIN);
	endpoints[n_endpoints++] = e;
	publish(e);
}

/* Report "draining", serve on for @linger_us, then leave. */
void endpoint_drain(struct endpoint *e, uint64_t linger_us)
{
	e->state = ENDPOINT_DRAINING;
	publish(e);
	e->drained_us = now_us();
	e->ends_us = e->drained_us + linger_us;
	note("endpoint %s of %s in zone-%u: the store accepted draining",
	     e->key, e->service, e->zone);
}

static void end_endpoint(struct endpoint *e)
{
	e->state = ENDPOINT_ENDED;
	close(e->tcp_fd);
	close(e->udp_fd);
	store_delete(e->key);
	note("endpoint %s has left", e->key);
}

void endpoints_tick(void)
{
	static uint64_t last_us;
	uint64_t us = now_us();

	if (us < last_us + TICK_US)
		return;
	last_us = us;

	for (uint32_t i = 0; i < n_endpoints; i++)
		if (endpoints[i]->state == ENDPOINT_DRAINING &&
		    endpoints[i]->ends_us <= us)
			end_endpoint(endpoints[i]);
	for (uint32_t i = 0; i < FLOWS_MAX; i++) {
		struct held *h = &held[i];

		if (h->stage != 3 || h->answer_us > us)
			continue;
		h->stage = 4;
		send_held(h, F_ACK, h->seq + 1, ANSWER_BYTES);
	}
}
