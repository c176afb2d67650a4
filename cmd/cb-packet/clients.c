/*
 * Datagrams of clients: received in batches, forwarded to targets or answered
 * with a reset. recvmmsg() and sendmmsg() handle a batch with two system calls
 * instead of two for each datagram.
 */
#define _GNU_SOURCE
#include "daemon.h"

#include "log.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A burst of about 100 ms from the clients of all VMs. */
#define SOCKET_BUFFER_BYTES (1 << 20)
/* Limits a callback, so that other handles of the loop are served too. */
#define BATCHES_PER_CALLBACK 8

static struct sockaddr_in sockaddr_from_addr(uint64_t addr)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};
}

/**
 * clients_flush() - send the batch of outgoing datagrams
 * @d: process
 *
 * Datagrams that the socket doesn't accept are counted and dropped: the link is
 * full, and the sender retransmits, or their destination can't be reached.
 */
void clients_flush(struct packet_daemon *d)
{
	uint32_t n = d->batch.n;
	uint32_t sent;

	if (!n)
		return;
	sent = send_batch_flush(d->clients_fd, &d->batch);
	d->counters.datagrams_sent += sent;
	d->counters.datagrams_unsent += n - sent;
}

static uint32_t next_batch_slot(struct packet_daemon *d)
{
	if (d->batch.n == DATAGRAM_BATCH)
		clients_flush(d);
	d->batch.data_bytes[d->batch.n] = 0;
	return d->batch.n++;
}

/*
 * @datagram's data isn't copied: it has to stay valid until the next
 * clients_flush().
 */
static void batch_add(struct packet_daemon *d, const struct datagram *datagram)
{
	uint32_t i = next_batch_slot(d);

	d->batch.to[i] = datagram->destination;
	memcpy(d->batch.head[i], datagram->head, datagram->head_bytes);
	d->batch.head_bytes[i] = datagram->head_bytes;
	d->batch.data[i] = datagram->data;
	d->batch.data_bytes[i] = datagram->data_bytes;
}

static void enqueue(struct packet_daemon *d, enum pacer_class class,
		    const struct datagram *datagram)
{
	int err = pacer_enqueue(d->node->pacer, class, datagram);

	d->counters.datagrams_paced += !err;
	d->counters.datagrams_repeated += err == -EALREADY;
	d->counters.datagrams_crowded += err && err != -EALREADY;
}

static void send_or_enqueue(struct packet_daemon *d, enum pacer_class class,
			    const struct datagram *datagram)
{
	uint32_t n_bytes = datagram->head_bytes + datagram->data_bytes;

	if (pacer_try_send(d->node->pacer, class, n_bytes, d->now_ns))
		batch_add(d, datagram);
	else
		enqueue(d, class, datagram);
}

/* @copy_id is the same for all transmissions of the packet; 0 for none. */
static void forward_to_target(struct packet_daemon *d,
			      const struct target *target,
			      enum pacer_class class, uint64_t copy_id,
			      const uint8_t *data, uint32_t size_bytes)
{
	uint8_t head[ENCAPSULATION_MAX_BYTES];
	struct datagram datagram = {
		.destination = target->advertised.addr,
		.copy_id = copy_id,
		.head = head,
		.head_bytes = d->platform->write_encapsulation(target, head),
		.data = data,
		.data_bytes = size_bytes,
	};

	send_or_enqueue(d, class, &datagram);
}

static void on_pace(uv_timer_t *timer)
{
	struct packet_daemon *d = timer->data;

	daemon_begin_event(d);
	clients_send_paced(d);
}

/* Run again when the pacer may send its next datagram. */
static void arm_pace_timer(struct packet_daemon *d)
{
	uint64_t due_ns = pacer_due_ns(d->node->pacer);
	uint64_t delay_ns = due_ns > d->now_ns ? due_ns - d->now_ns : 0;

	if (due_ns && !uv_is_active((uv_handle_t *)&d->pace_timer))
		uv_timer_start(&d->pace_timer, on_pace,
			       delay_ns / NS_PER_MS + 1, 0);
}

/**
 * clients_send_paced() - send the batch, and datagrams that the pacer releases
 * @d: process
 */
void clients_send_paced(struct packet_daemon *d)
{
	struct datagram datagram;

	clients_flush(d);
	while (pacer_dequeue(d->node->pacer, d->now_ns, &datagram)) {
		uint32_t i = next_batch_slot(d);

		d->batch.to[i] = datagram.destination;
		d->batch.head_bytes[i] = 0;
		d->batch.data[i] = datagram.head;
		d->batch.data_bytes[i] = datagram.head_bytes;
	}
	clients_flush(d); /* before the pacer reuses a slot */
	arm_pace_timer(d);
}

/**
 * clients_send_reset() - reset a flow at its client
 * @d: process
 * @flow: key of the flow
 * @ack: last acknowledgement number that the client sent
 */
void clients_send_reset(struct packet_daemon *d, const struct flow_key *flow,
			uint32_t ack)
{
	uint8_t head[RESET_MAX_BYTES];
	struct datagram datagram = {
		.destination = ADDR(ADDR_IP(flow->caller),
				    ADDR_PORT(d->settings.listen)),
		.head = head,
		.head_bytes = d->platform->write_reset(flow, ack, head),
	};

	d->counters.resets++;
	send_or_enqueue(d, PACER_CONTROL, &datagram);
}

/**
 * clients_send_queued() - forward a queued packet to the target of its flow
 * @ctx: struct packet_daemon
 * @flow: flow, with its target
 * @bytes: packet, valid during the call only
 * @n_bytes: size of @bytes
 */
void clients_send_queued(void *ctx, const struct flow_state *flow,
			 const uint8_t *bytes, uint32_t n_bytes)
{
	struct packet_daemon *d = ctx;
	struct packet packet;

	if (d->platform->read_packet(bytes, n_bytes, &packet))
		return;
	forward_to_target(d, flow->target, pacer_classify(&packet, flow->kind),
			  pacer_copy_id(&packet), bytes, n_bytes);
	clients_flush(d); /* @bytes become invalid */
}

/**
 * clients_resend() - send the packet that is kept of a flow to its target
 * @d: process
 * @flow: flow, with its current target
 */
void clients_resend(struct packet_daemon *d, const struct flow_state *flow)
{
	uint8_t copy[RESEND_MAX_BYTES];

	memcpy(copy, flow->resend_packet, flow->resend_bytes);
	d->platform->write_cookie(copy, flow->target->cookie);
	forward_to_target(d, flow->target, PACER_CONTROL, 0, copy,
			  flow->resend_bytes);
	clients_flush(d); /* @copy goes out of scope */
}

static void handle_packet(struct packet_daemon *d, uint8_t *data,
			  uint32_t size_bytes, uint64_t now_ns)
{
	struct packet packet;
	struct path_verdict verdict;

	if (d->platform->read_packet(data, size_bytes, &packet)) {
		d->counters.datagrams_malformed++;
		return;
	}
	node_packet(d->node, &packet, now_ns, &verdict);
	decision_log_packet(d, &packet, &verdict);
	if (verdict.action == PATH_RESET) {
		clients_send_reset(d, &packet.flow, verdict.ack);
	} else if (verdict.action == PATH_FORWARD) {
		if (packet.flags & PACKET_SYN)
			d->platform->write_cookie(data, verdict.target->cookie);
		forward_to_target(d, verdict.target,
				  pacer_classify(&packet, verdict.kind),
				  pacer_copy_id(&packet), data, size_bytes);
	}
}

static int receive_batch(struct packet_daemon *d,
			 struct mmsghdr messages[DATAGRAM_BATCH],
			 struct iovec parts[DATAGRAM_BATCH])
{
	for (uint32_t i = 0; i < DATAGRAM_BATCH; i++) {
		parts[i] = (struct iovec){ d->receive_buffers[i],
					   PACKET_BUFFER_BYTES };
		messages[i].msg_hdr = (struct msghdr){ .msg_iov = &parts[i],
						       .msg_iovlen = 1 };
	}
	return recvmmsg(d->clients_fd, messages, DATAGRAM_BATCH, MSG_DONTWAIT,
			NULL);
}

static void on_clients_readable(uv_poll_t *poll, int status, int events)
{
	struct packet_daemon *d = poll->data;
	struct mmsghdr messages[DATAGRAM_BATCH];
	struct iovec parts[DATAGRAM_BATCH];
	uint64_t now_ns = daemon_begin_event(d);
	int n = DATAGRAM_BATCH;

	(void)status;
	(void)events;
	for (int i_batch = 0;
	     i_batch < BATCHES_PER_CALLBACK && n == DATAGRAM_BATCH; i_batch++) {
		n = receive_batch(d, messages, parts);
		for (int i = 0; i < n; i++) {
			d->counters.datagrams++;
			handle_packet(d, d->receive_buffers[i],
				      messages[i].msg_len, now_ns);
		}
		clients_send_paced(d);
	}
}

/**
 * clients_discard_received() - drop the datagrams that wait in the socket
 * @d: process
 */
void clients_discard_received(struct packet_daemon *d)
{
	struct mmsghdr messages[DATAGRAM_BATCH];
	struct iovec parts[DATAGRAM_BATCH];
	int n = DATAGRAM_BATCH;

	while (n == DATAGRAM_BATCH) {
		n = receive_batch(d, messages, parts);
		if (n > 0)
			d->counters.datagrams_stale += (uint32_t)n;
	}
}

/**
 * clients_open() - open the socket for datagrams of clients
 * @d: process
 *
 * Return: 0 or a negative error.
 */
int clients_open(struct packet_daemon *d)
{
	struct sockaddr_in at = sockaddr_from_addr(d->settings.listen);
	int buffer_bytes = SOCKET_BUFFER_BYTES;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	d->clients_fd = fd;
	if (fd < 0)
		return -errno;
	if (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		       sizeof(buffer_bytes)))
		log_line(LOG_WARNING, "clients", NULL,
			 "can't enlarge the receive buffer: %s",
			 strerror(errno));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)))
		return -errno;
	uv_poll_init(d->loop, &d->clients_poll, fd);
	d->clients_poll.data = d;
	uv_timer_init(d->loop, &d->pace_timer);
	d->pace_timer.data = d;
	return uv_poll_start(&d->clients_poll, UV_READABLE,
			     on_clients_readable);
}

/**
 * clients_close() - close the socket and its timer
 * @d: process
 */
void clients_close(struct packet_daemon *d)
{
	if (d->clients_poll.data)
		uv_close((uv_handle_t *)&d->clients_poll, NULL);
	if (d->pace_timer.data)
		uv_close((uv_handle_t *)&d->pace_timer, NULL);
	if (d->clients_fd > 0)
		close(d->clients_fd);
}
