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

/* Without copying its data: what it points at stays until the next flush. */
static void put(struct packet_daemon *d, const struct datagram *g)
{
	uint32_t i = room(d);

	d->out.to[i] = g->destination;
	memcpy(d->out.head[i], g->head, g->head_bytes);
	d->out.head_bytes[i] = g->head_bytes;
	d->out.data[i] = g->data;
	d->out.data_bytes[i] = g->data_bytes;
}

static void hold(struct packet_daemon *d, enum pacer_class c,
		 const struct datagram *g)
{
	int err = pacer_enqueue(d->node->pacer, c, g);

	d->counters.datagrams_paced += !err;
	d->counters.datagrams_repeated += err == -EALREADY;
	d->counters.datagrams_crowded += err && err != -EALREADY;
}

static void send_out(struct packet_daemon *d, enum pacer_class c,
		     const struct datagram *g)
{
	uint32_t n_bytes = g->head_bytes + g->data_bytes;

	if (pacer_try_send(d->node->pacer, c, n_bytes, d->now_ns))
		put(d, g);
	else
		hold(d, c, g);
}

/* The packet goes to a target, with @name as its copies have it. */
static void to_target(struct packet_daemon *d, const struct target *t,
		      enum pacer_class c, uint64_t name, const uint8_t *data,
		      uint32_t size_bytes)
{
	uint8_t head[ENCAPSULATION_MAX_BYTES];
	struct datagram g = {
		.destination = t->advertised.addr,
		.copy_id = name,
		.head = head,
		.head_bytes = d->platform->write_encapsulation(t, head),
		.data = data,
		.data_bytes = size_bytes,
	};

	send_out(d, c, &g);
}

static void on_pace(uv_timer_t *timer)
{
	struct packet_daemon *d = timer->data;

	daemon_turn(d);
	clients_pace(d);
}

/* When the next of those that wait may go, the loop has to run. */
static void wake(struct packet_daemon *d)
{
	uint64_t due_ns = pacer_due_ns(d->node->pacer);
	uint64_t in_ns = due_ns > d->now_ns ? due_ns - d->now_ns : 0;

	if (due_ns && !uv_is_active((uv_handle_t *)&d->pace))
		uv_timer_start(&d->pace, on_pace, in_ns / NS_PER_MS + 1, 0);
}

/**
 * clients_pace() - send what has waited for the link, and what was decided
 * @d: process
 */
void clients_pace(struct packet_daemon *d)
{
	struct datagram g;

	clients_flush(d);
	while (pacer_dequeue(d->node->pacer, d->now_ns, &g)) {
		uint32_t i = room(d);

		d->out.to[i] = g.destination;
		d->out.head_bytes[i] = 0;
		d->out.data[i] = g.head;
		d->out.data_bytes[i] = g.head_bytes;
	}
	clients_flush(d); /* before a place is used again */
	wake(d);
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
	uint8_t head[RESET_MAX_BYTES];
	struct datagram g = {
		.destination = ADDR(ADDR_IP(flow->caller),
				    ADDR_PORT(d->settings.listen)),
		.head = head,
		.head_bytes = d->platform->write_reset(flow, ack, head),
	};

	d->counters.resets++;
	send_out(d, PACER_CONTROL, &g);
}

/**
 * clients_send() - hand a packet that has waited to its flow's target
 * @ctx: process
 * @f: flow
 * @bytes: packet, valid during the call
 * @n_bytes: its size
 */
void clients_send(void *ctx, const struct flow_state *f, const uint8_t *bytes,
		  uint32_t n_bytes)
{
	struct packet_daemon *d = ctx;
	struct packet k;

	if (d->platform->read_packet(bytes, n_bytes, &k))
		return;
	to_target(d, f->target, pacer_classify(&k, f->kind), pacer_copy_id(&k),
		  bytes, n_bytes);
	clients_flush(d); /* before @bytes go */
}

/**
 * clients_again() - hand a flow's kept packet to the target that it has now
 * @d: process
 * @f: flow
 */
void clients_again(struct packet_daemon *d, const struct flow_state *f)
{
	uint8_t copy[RESEND_MAX_BYTES];

	memcpy(copy, f->resend_packet, f->resend_bytes);
	d->platform->write_cookie(copy, f->target->cookie);
	to_target(d, f->target, PACER_CONTROL, 0, copy, f->resend_bytes);
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
			d->platform->write_cookie(data, v.target->cookie);
		to_target(d, v.target, pacer_classify(&k, v.kind),
			  pacer_copy_id(&k), data, size_bytes);
	}
}

static int receive(struct packet_daemon *d, struct mmsghdr messages[BATCH],
		   struct iovec parts[BATCH])
{
	for (uint32_t i = 0; i < BATCH; i++) {
		parts[i] = (struct iovec){ d->rooms[i], RECEIVE_ROOM_BYTES };
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
		clients_pace(d);
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
	uv_timer_init(d->loop, &d->pace);
	d->pace.data = d;
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
	if (d->pace.data)
		uv_close((uv_handle_t *)&d->pace, NULL);
	if (d->clients_fd > 0)
		close(d->clients_fd);
}
