/*
 * Datagrams of clients: read in batches, decided on, handed to targets or
 * answered with a reset. A batch costs two system calls, not two a datagram.
 */
#define _GNU_SOURCE
#include "daemon.h"

#include "log.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A burst of the whole fleet's clients for some 100 ms. */
#define RECEIVE_BUFFER_BYTES (1 << 20)
/* Batches read in one turn of the loop before others have theirs. */
#define BATCHES_A_TURN 8

static struct sockaddr_in address(uint64_t addr)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};
}

/**
 * clients_flush() - send what was decided
 * @d: process
 */
void clients_flush(struct packet_daemon *d)
{
	struct outbox *o = &d->out;
	struct sockaddr_in to[BATCH];
	struct iovec parts[BATCH][2];
	struct mmsghdr messages[BATCH] = { 0 };
	int sent;

	if (!o->n)
		return;
	for (uint32_t i = 0; i < o->n; i++) {
		to[i] = address(o->to[i]);
		parts[i][0] = (struct iovec){ o->head[i], o->head_bytes[i] };
		parts[i][1] =
			(struct iovec){ (void *)o->data[i], o->data_bytes[i] };
		messages[i].msg_hdr = (struct msghdr){
			.msg_name = &to[i],
			.msg_namelen = sizeof(to[i]),
			.msg_iov = parts[i],
			.msg_iovlen = o->data_bytes[i] ? 2 : 1,
		};
	}
	sent = sendmmsg(d->clients_fd, messages, o->n, 0);
	if (sent < 0)
		sent = 0;
	/* Nothing waits here: the link is full, and the sender repeats. */
	d->counters.datagrams_sent += (uint32_t)sent;
	d->counters.datagrams_unsent += o->n - (uint32_t)sent;
	o->n = 0;
}

static uint32_t room(struct packet_daemon *d)
{
	if (d->out.n == BATCH)
		clients_flush(d);
	d->out.data_bytes[d->out.n] = 0;
	return d->out.n++;
}

static void to_target(struct packet_daemon *d, const struct target *t,
		      const uint8_t *data, uint32_t size_bytes)
{
	uint32_t i = room(d);

	d->out.to[i] = t->news.addr;
	d->out.head_bytes[i] = d->platform->envelope(t, d->out.head[i]);
	d->out.data[i] = data;
	d->out.data_bytes[i] = size_bytes;
}

/**
 * clients_reset() - tell a client that its flow has ended
 * @d: process
 * @flow: flow
 * @ack: acknowledgement that the client sent last
 */
void clients_reset(struct packet_daemon *d, const struct flow_key *flow,
		   uint32_t ack)
{
	uint32_t i = room(d);

	d->counters.resets++;
	d->out.to[i] =
		ADDR(ADDR_IP(flow->caller), ADDR_PORT(d->settings.listen));
	d->out.head_bytes[i] =
		d->platform->write_reset(flow, ack, d->out.head[i]);
}

/**
 * clients_send() - hand a packet that has waited to its flow's target
 * @ctx: process
 * @f: flow
 * @bytes: packet, valid during the call
 * @n_bytes: its size
 */
void clients_send(void *ctx, const struct flow_seen *f, const uint8_t *bytes,
		  uint32_t n_bytes)
{
	struct packet_daemon *d = ctx;

	to_target(d, f->target, bytes, n_bytes);
	clients_flush(d); /* before @bytes go */
}

/**
 * clients_again() - hand a flow's kept packet to the target that it has now
 * @d: process
 * @f: flow
 */
void clients_again(struct packet_daemon *d, const struct flow_seen *f)
{
	uint8_t copy[KEPT_MAX_BYTES];

	memcpy(copy, f->kept, f->kept_bytes);
	d->platform->pin(copy, f->target->cookie);
	to_target(d, f->target, copy, f->kept_bytes);
	clients_flush(d); /* before @copy goes */
}

static void decide(struct packet_daemon *d, uint8_t *data, uint32_t size_bytes,
		   uint64_t now_ns)
{
	struct packet k;
	struct path_verdict v;

	if (d->platform->read_packet(data, size_bytes, &k)) {
		d->counters.datagrams_malformed++;
		return;
	}
	node_packet(d->node, &k, now_ns, &v);
	decisions_packet(d, &k, &v);
	if (v.action == PATH_RESET) {
		clients_reset(d, &k.flow, v.ack);
	} else if (v.action == PATH_FORWARD) {
		if (k.flags & PACKET_SYN)
			d->platform->pin(data, v.target->cookie);
		to_target(d, v.target, data, size_bytes);
	}
}

static int receive(struct packet_daemon *d, struct mmsghdr messages[BATCH],
		   struct iovec parts[BATCH])
{
	for (uint32_t i = 0; i < BATCH; i++) {
		parts[i] = (struct iovec){ d->rooms[i], DATAGRAM_ROOM_BYTES };
		messages[i].msg_hdr = (struct msghdr){ .msg_iov = &parts[i],
						       .msg_iovlen = 1 };
	}
	return recvmmsg(d->clients_fd, messages, BATCH, MSG_DONTWAIT, NULL);
}

static void on_clients(uv_poll_t *poll, int status, int events)
{
	struct packet_daemon *d = poll->data;
	struct mmsghdr messages[BATCH];
	struct iovec parts[BATCH];
	uint64_t now_ns = daemon_turn(d);
	int n = BATCH;

	(void)status;
	(void)events;
	for (int turn = 0; turn < BATCHES_A_TURN && n == BATCH; turn++) {
		n = receive(d, messages, parts);
		for (int i = 0; i < n; i++) {
			d->counters.datagrams++;
			decide(d, d->rooms[i], messages[i].msg_len, now_ns);
		}
		clients_flush(d);
	}
}

/**
 * clients_discard() - drop what waits in the socket
 * @d: process
 */
void clients_discard(struct packet_daemon *d)
{
	struct mmsghdr messages[BATCH];
	struct iovec parts[BATCH];
	int n = BATCH;

	while (n == BATCH) {
		n = receive(d, messages, parts);
		if (n > 0)
			d->counters.datagrams_stale += (uint32_t)n;
	}
}

/**
 * clients_open() - listen for clients
 * @d: process
 *
 * Return: 0 or a negative error.
 */
int clients_open(struct packet_daemon *d)
{
	struct sockaddr_in at = address(d->settings.listen);
	int buffer_bytes = RECEIVE_BUFFER_BYTES;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	d->clients_fd = fd;
	if (fd < 0)
		return -errno;
	if (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		       sizeof(buffer_bytes)))
		log_line(LOG_WARNING, "clients", NULL,
			 "receive buffer stays small: %s", strerror(errno));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)))
		return -errno;
	uv_poll_init(d->loop, &d->clients, fd);
	d->clients.data = d;
	return uv_poll_start(&d->clients, UV_READABLE, on_clients);
}

/**
 * clients_close() - stop listening
 * @d: process
 */
void clients_close(struct packet_daemon *d)
{
	if (d->clients.data)
		uv_close((uv_handle_t *)&d->clients, NULL);
	if (d->clients_fd > 0)
		close(d->clients_fd);
}
