/* Packets of clients and to targets, and what answers probes. */
#define _GNU_SOURCE
#include "soak.h"

#include "users_platform.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_BYTES 32
#define ENVELOPE_BYTES 8
#define PORT_BITS 10
#define PORT_MASK ((1U << PORT_BITS) - 1)

static struct sockaddr_in address(uint64_t addr)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};
}

static int bound(int type, uint64_t addr)
{
	struct sockaddr_in at = address(addr);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -errno;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at))) {
		int err = -errno;

		close(fd);
		return err;
	}
	return fd;
}

/* Clients share a few addresses; the upper bits of a port tell them apart. */
static uint64_t wire_addr(uint32_t client, uint16_t port)
{
	return ADDR(CLIENT_IP_0 + client % CLIENT_SOCKETS,
		    client / CLIENT_SOCKETS << PORT_BITS | (port & PORT_MASK));
}

static uint32_t user_at(const struct soak *s, uint64_t addr)
{
	uint32_t i = (uint32_t)(ADDR_PORT(addr) >> PORT_BITS) * CLIENT_SOCKETS +
		     (ADDR_IP(addr) - CLIENT_IP_0);

	return i < s->world->n_users ? i : UINT32_MAX;
}

/* The flow as the world names it; of another port than now, an earlier one. */
static struct flow_key flow_at(const struct soak *s, uint32_t user,
			       uint64_t addr, uint64_t vip)
{
	const struct sim_user *u = &s->world->users[user];
	uint32_t low = ADDR_PORT(addr) & PORT_MASK;

	return (struct flow_key){ ADDR(u->ip, (u->port & ~PORT_MASK) | low),
				  vip };
}

static void put(uint8_t *at, uint64_t v, uint32_t bytes)
{
	for (uint32_t i = 0; i < bytes; i++)
		at[i] = (uint8_t)(v >> 8 * i);
}

/* The platform's head, as its page shows it. */
static void write_head(uint8_t *out, const struct sim_user *u,
		       const struct sim_packet *k)
{
	static const uint8_t wire[] = {
		[PACKET_SYN] = 8, [PACKET_ACK] = 4, [PACKET_FIN] = 64
	};
	uint64_t src = wire_addr(k->user, k->port);
	uint64_t dst = route_vip(u->class);

	memset(out, 0, HEAD_BYTES);
	out[0] = wire[k->flags];
	put(out + 2, k->seq, 4);
	put(out + 6, k->ack, 4);
	put(out + 10, k->size_bytes, 2);
	put(out + 16, ADDR_PORT(dst), 2);
	put(out + 18, ADDR_IP(dst), 4);
	put(out + 22, ADDR_PORT(src), 2);
	put(out + 24, ADDR_IP(src), 4);
	put(out + 28, k->flags & PACKET_SYN ? 0 : u->cookie, 4);
}

/* Send a client's packet to a real entry. */
void sockets_packet(struct soak *s, uint32_t entry, const struct sim_packet *k)
{
	uint8_t data[ROOM_BYTES] = { 0 };
	struct sockaddr_in to = address(ADDR(PEER_IP + entry, CLIENT_PORT));

	write_head(data, &s->world->users[k->user], k);
	/* A lost datagram is what the clients' repeats are for. */
	(void)!sendto(s->clients[k->user % CLIENT_SOCKETS].fd, data,
		      HEAD_BYTES + k->size_bytes, 0, (struct sockaddr *)&to,
		      sizeof(to));
}

static void on_client(uv_poll_t *poll, int status, int events)
{
	struct soak_client_socket *c = poll->data;
	struct soak *s = c->soak;
	struct sockaddr_in from;
	socklen_t from_size = sizeof(from);
	uint8_t data[ROOM_BYTES];
	struct packet k;
	ssize_t n;

	(void)status;
	(void)events;
	soak_advance(s);
	while ((n = recvfrom(c->fd, data, sizeof(data), 0,
			     (struct sockaddr *)&from, &from_size)) > 0) {
		uint64_t addr, vip;
		uint32_t user;
		struct flow_key flow;

		if (users_read_packet(data, (uint32_t)n, &k) ||
		    !(k.flags & PACKET_RST))
			continue;
		/* Towards a client source and destination are swapped. */
		addr = k.flow.vip;
		vip = k.flow.caller;
		user = user_at(s, addr);
		if (user == UINT32_MAX)
			continue;
		flow = flow_at(s, user, addr, vip);
		users_reset(s->world, &flow,
			    ntohl(from.sin_addr.s_addr) - PEER_IP);
	}
}

static void to_target(struct soak *s, const struct soak_address *a,
		      const uint8_t *data, uint32_t size_bytes, uint32_t entry)
{
	uint32_t target = targets_find_by_addr(s->world, a->addr);
	const struct sim_target *t = &s->world->targets[target];
	uint64_t id = 0;
	struct sim_packet sim;
	struct packet k;

	for (uint32_t i = 0; i < ENVELOPE_BYTES; i++)
		id = id << 8 | data[i];
	if (id != t->advertised.id ||
	    users_read_packet(data + ENVELOPE_BYTES,
			      size_bytes - ENVELOPE_BYTES, &k))
		return;
	sim = (struct sim_packet){
		.user = user_at(s, k.flow.caller),
		.flags = k.flags,
		.size_bytes = k.size_bytes,
		.seq = k.seq,
		.ack = k.ack,
	};
	if (sim.user == UINT32_MAX || entry >= s->world->n_entries)
		return;
	if (k.cookie != target_cookie(id))
		s->world->report.misrouted++;
	sim.port = ADDR_PORT(
		flow_at(s, sim.user, k.flow.caller, k.flow.vip).caller);
	targets_receive(s->world, target, entry, &sim);
}

static void on_target(uv_poll_t *poll, int status, int events)
{
	struct soak_address *a = poll->data;
	struct sockaddr_in from;
	socklen_t from_size = sizeof(from);
	uint8_t data[ROOM_BYTES];
	ssize_t n;

	(void)status;
	(void)events;
	soak_advance(a->soak);
	while ((n = recvfrom(a->packets_fd, data, sizeof(data), 0,
			     (struct sockaddr *)&from, &from_size)) > 0)
		if (n > ENVELOPE_BYTES)
			to_target(a->soak, a, data, (uint32_t)n,
				  ntohl(from.sin_addr.s_addr) - PEER_IP);
}

/* Take the probes' connections; the kernel has answered them already. */
void sockets_tick(struct soak *s)
{
	for (uint32_t i = 0; i < s->n_addresses; i++) {
		int fd = s->addresses[i]->probes_fd;
		int probe;

		while (fd >= 0 &&
		       (probe = accept4(fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
			close(probe);
	}
}

static struct soak_address *address_of(struct soak *s, uint64_t addr)
{
	struct soak_address *a;

	for (uint32_t i = 0; i < s->n_addresses; i++)
		if (s->addresses[i]->addr == addr)
			return s->addresses[i];
	a = calloc(1, sizeof(*a));
	a->soak = s;
	a->addr = addr;
	a->probes_fd = -1;
	memset(a->dark_fd, 0xff, sizeof(a->dark_fd));
	a->packets_fd = bound(SOCK_DGRAM, addr);
	uv_poll_init(&s->loop, &a->packets, a->packets_fd);
	a->packets.data = a;
	uv_poll_start(&a->packets, UV_READABLE, on_target);
	s->addresses[s->n_addresses++] = a;
	return a;
}

static void stop_answering(struct soak_address *a)
{
	for (uint32_t i = 0; i < 3; i++) {
		if (a->dark_fd[i] >= 0)
			close(a->dark_fd[i]);
		a->dark_fd[i] = -1;
	}
	if (a->probes_fd < 0)
		return;
	close(a->probes_fd);
	a->probes_fd = -1;
}

/* A full backlog: connections hang, as to a machine without power. */
static void go_dark(struct soak_address *a)
{
	struct sockaddr_in to = address(a->addr);

	a->dark_fd[0] = bound(SOCK_STREAM, a->addr);
	if (a->dark_fd[0] < 0 || listen(a->dark_fd[0], 0))
		return;
	for (uint32_t i = 1; i < 3; i++) {
		a->dark_fd[i] = socket(
			AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		/* In progress for good: that is the purpose. */
		(void)!connect(a->dark_fd[i], (struct sockaddr *)&to,
			       sizeof(to));
	}
}

/* A target started or ended. */
void sockets_target(struct soak *s, uint32_t target)
{
	const struct sim_target *t = &s->world->targets[target];
	struct soak_address *a = address_of(s, t->advertised.addr);

	stop_answering(a);
	if (t->alive) {
		a->probes_fd = bound(SOCK_STREAM, a->addr);
		if (a->probes_fd >= 0 && listen(a->probes_fd, 128))
			perror("listen");
	} else if (t->machine_down) {
		go_dark(a);
	}
}

/**
 * sockets_open() - the clients' sockets
 * @s: run
 *
 * Return: 0 or a negative error.
 */
int sockets_open(struct soak *s)
{
	for (uint32_t i = 0; i < CLIENT_SOCKETS; i++) {
		struct soak_client_socket *c = &s->clients[i];

		c->soak = s;
		c->fd = bound(SOCK_DGRAM, ADDR(CLIENT_IP_0 + i, CLIENT_PORT));
		if (c->fd < 0)
			return c->fd;
		uv_poll_init(&s->loop, &c->poll, c->fd);
		c->poll.data = c;
		uv_poll_start(&c->poll, UV_READABLE, on_client);
	}
	return 0;
}

/**
 * sockets_close() - stop all of them; the run is over
 * @s: run
 */
void sockets_close(struct soak *s)
{
	for (uint32_t i = 0; i < CLIENT_SOCKETS; i++) {
		uv_poll_stop(&s->clients[i].poll);
		close(s->clients[i].fd);
	}
	for (uint32_t i = 0; i < s->n_addresses; i++) {
		stop_answering(s->addresses[i]);
		uv_poll_stop(&s->addresses[i]->packets);
		close(s->addresses[i]->packets_fd);
	}
}
