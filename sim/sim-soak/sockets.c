/* Sockets of clients and targets: packets by UDP, health checks by TCP. */
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

#define HEADER_BYTES 32
#define ENCAPSULATION_BYTES 8
#define PORT_BITS 10
#define PORT_MASK ((1U << PORT_BITS) - 1)

static struct sockaddr_in to_sockaddr(uint64_t addr)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};
}

static int bind_socket(int type, uint64_t addr)
{
	struct sockaddr_in sin = to_sockaddr(addr);
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -errno;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin))) {
		int err = -errno;

		close(fd);
		return err;
	}
	return fd;
}

/* Clients share CLIENT_SOCKETS addresses; the upper port bits number them. */
static uint64_t client_addr(uint32_t client, uint16_t port)
{
	return ADDR(CLIENT_IP_0 + client % CLIENT_SOCKETS,
		    client / CLIENT_SOCKETS << PORT_BITS | (port & PORT_MASK));
}

static uint32_t user_at_addr(const struct soak *s, uint64_t addr)
{
	uint32_t i = (uint32_t)(ADDR_PORT(addr) >> PORT_BITS) * CLIENT_SOCKETS +
		     (ADDR_IP(addr) - CLIENT_IP_0);

	return i < s->world->n_users ? i : UINT32_MAX;
}

/*
 * Flow of a packet, with the address that the client has in the world. A port
 * other than the current one of the client belongs to an earlier flow.
 */
static struct flow_key flow_of_packet(const struct soak *s, uint32_t user,
				      uint64_t addr, uint64_t vip)
{
	const struct sim_user *u = &s->world->users[user];
	uint32_t low = ADDR_PORT(addr) & PORT_MASK;

	return (struct flow_key){ ADDR(u->ip, (u->port & ~PORT_MASK) | low),
				  vip };
}

static void put_le(uint8_t *at, uint64_t v, uint32_t bytes)
{
	for (uint32_t i = 0; i < bytes; i++)
		at[i] = (uint8_t)(v >> 8 * i);
}

/* Writes the packet header of the platform; its numbers are little-endian. */
static void write_header(uint8_t *out, const struct sim_user *u,
			 const struct sim_packet *packet)
{
	static const uint8_t wire_flags[] = {
		[PACKET_SYN] = 8, [PACKET_ACK] = 4, [PACKET_FIN] = 64
	};
	uint64_t src = client_addr(packet->user, packet->port);
	uint64_t dst = route_vip(u->class);

	memset(out, 0, HEADER_BYTES);
	out[0] = wire_flags[packet->flags];
	put_le(out + 2, packet->seq, 4);
	put_le(out + 6, packet->ack, 4);
	put_le(out + 10, packet->size_bytes, 2);
	put_le(out + 16, ADDR_PORT(dst), 2);
	put_le(out + 18, ADDR_IP(dst), 4);
	put_le(out + 22, ADDR_PORT(src), 2);
	put_le(out + 24, ADDR_IP(src), 4);
	put_le(out + 28, packet->flags & PACKET_SYN ? 0 : u->cookie, 4);
}

/* Sends the packet of a client to the process of an entry. */
void sockets_send_packet(struct soak *s, uint32_t entry,
			 const struct sim_packet *packet)
{
	uint8_t data[PACKET_BUFFER_BYTES] = { 0 };
	struct sockaddr_in to = to_sockaddr(ADDR(PEER_IP + entry, CLIENT_PORT));

	write_header(data, &s->world->users[packet->user], packet);
	/* Clients retransmit a lost datagram. */
	(void)!sendto(s->clients[packet->user % CLIENT_SOCKETS].fd, data,
		      HEADER_BYTES + packet->size_bytes, 0,
		      (struct sockaddr *)&to, sizeof(to));
}

static void on_client_readable(uv_poll_t *poll, int status, int events)
{
	struct soak_client_socket *c = poll->data;
	struct soak *s = c->soak;
	struct sockaddr_in from;
	socklen_t from_size = sizeof(from);
	uint8_t data[PACKET_BUFFER_BYTES];
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
		/* Source and destination are swapped in packets to a client. */
		addr = k.flow.vip;
		vip = k.flow.caller;
		user = user_at_addr(s, addr);
		if (user == UINT32_MAX)
			continue;
		flow = flow_of_packet(s, user, addr, vip);
		users_reset(s->world, &flow,
			    ntohl(from.sin_addr.s_addr) - PEER_IP);
	}
}

static void deliver_to_target(struct soak *s, const struct soak_address *a,
			      const uint8_t *data, uint32_t size_bytes,
			      uint32_t entry)
{
	uint32_t target = targets_find_by_addr(s->world, a->addr);
	const struct sim_target *t = &s->world->targets[target];
	uint64_t id = 0;
	struct sim_packet sim;
	struct packet k;

	for (uint32_t i = 0; i < ENCAPSULATION_BYTES; i++)
		id = id << 8 | data[i];
	if (id != t->advertised.id ||
	    users_read_packet(data + ENCAPSULATION_BYTES,
			      size_bytes - ENCAPSULATION_BYTES, &k))
		return;
	sim = (struct sim_packet){
		.user = user_at_addr(s, k.flow.caller),
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
		flow_of_packet(s, sim.user, k.flow.caller, k.flow.vip).caller);
	targets_receive(s->world, target, entry, &sim);
}

static void on_target_readable(uv_poll_t *poll, int status, int events)
{
	struct soak_address *a = poll->data;
	struct sockaddr_in from;
	socklen_t from_size = sizeof(from);
	uint8_t data[PACKET_BUFFER_BYTES];
	ssize_t n;

	(void)status;
	(void)events;
	soak_advance(a->soak);
	while ((n = recvfrom(a->packets_fd, data, sizeof(data), 0,
			     (struct sockaddr *)&from, &from_size)) > 0)
		if (n > ENCAPSULATION_BYTES)
			deliver_to_target(a->soak, a, data, (uint32_t)n,
					  ntohl(from.sin_addr.s_addr) -
						  PEER_IP);
}

/* Accepts and closes health checks; the kernel has completed the handshake. */
void sockets_accept_probes(struct soak *s)
{
	for (uint32_t i = 0; i < s->n_addresses; i++) {
		int fd = s->addresses[i]->probes_fd;
		int probe;

		while (fd >= 0 &&
		       (probe = accept4(fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
			close(probe);
	}
}

static struct soak_address *find_or_open_address(struct soak *s, uint64_t addr)
{
	struct soak_address *a;

	for (uint32_t i = 0; i < s->n_addresses; i++)
		if (s->addresses[i]->addr == addr)
			return s->addresses[i];
	a = calloc(1, sizeof(*a));
	a->soak = s;
	a->addr = addr;
	a->probes_fd = -1;
	memset(a->blackhole_fds, 0xff, sizeof(a->blackhole_fds));
	a->packets_fd = bind_socket(SOCK_DGRAM, addr);
	uv_poll_init(&s->loop, &a->packets, a->packets_fd);
	a->packets.data = a;
	uv_poll_start(&a->packets, UV_READABLE, on_target_readable);
	s->addresses[s->n_addresses++] = a;
	return a;
}

static void close_tcp_sockets(struct soak_address *a)
{
	for (uint32_t i = 0; i < 3; i++) {
		if (a->blackhole_fds[i] >= 0)
			close(a->blackhole_fds[i]);
		a->blackhole_fds[i] = -1;
	}
	if (a->probes_fd < 0)
		return;
	close(a->probes_fd);
	a->probes_fd = -1;
}

/* Fills the backlog, so that connections hang as to a VM that is off. */
static void open_blackhole(struct soak_address *a)
{
	struct sockaddr_in to = to_sockaddr(a->addr);

	a->blackhole_fds[0] = bind_socket(SOCK_STREAM, a->addr);
	if (a->blackhole_fds[0] < 0 || listen(a->blackhole_fds[0], 0))
		return;
	for (uint32_t i = 1; i < 3; i++) {
		a->blackhole_fds[i] = socket(
			AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		/* Stays in progress on purpose: it occupies the backlog. */
		(void)!connect(a->blackhole_fds[i], (struct sockaddr *)&to,
			       sizeof(to));
	}
}

/* Opens or closes the sockets of a target that started or ended. */
void sockets_update_target(struct soak *s, uint32_t target)
{
	const struct sim_target *t = &s->world->targets[target];
	struct soak_address *a = find_or_open_address(s, t->advertised.addr);

	close_tcp_sockets(a);
	if (t->alive) {
		a->probes_fd = bind_socket(SOCK_STREAM, a->addr);
		if (a->probes_fd >= 0 && listen(a->probes_fd, 128))
			perror("listen");
	} else if (t->vm_down) {
		open_blackhole(a);
	}
}

/**
 * sockets_open() - open the sockets of the clients
 * @s: run
 *
 * Return: 0 or a negative errno value.
 */
int sockets_open(struct soak *s)
{
	for (uint32_t i = 0; i < CLIENT_SOCKETS; i++) {
		struct soak_client_socket *c = &s->clients[i];

		c->soak = s;
		c->fd = bind_socket(SOCK_DGRAM,
				    ADDR(CLIENT_IP_0 + i, CLIENT_PORT));
		if (c->fd < 0)
			return c->fd;
		uv_poll_init(&s->loop, &c->poll, c->fd);
		c->poll.data = c;
		uv_poll_start(&c->poll, UV_READABLE, on_client_readable);
	}
	return 0;
}

/**
 * sockets_close() - close the sockets of clients and targets
 * @s: run
 */
void sockets_close(struct soak *s)
{
	for (uint32_t i = 0; i < CLIENT_SOCKETS; i++) {
		uv_poll_stop(&s->clients[i].poll);
		close(s->clients[i].fd);
	}
	for (uint32_t i = 0; i < s->n_addresses; i++) {
		close_tcp_sockets(s->addresses[i]);
		uv_poll_stop(&s->addresses[i]->packets);
		close(s->addresses[i]->packets_fd);
	}
}
