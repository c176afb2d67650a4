/* Heartbeats between the entries (struct hello), over UDP. */
#include "daemon.h"

#include "hello_codec.h"

#include <netinet/in.h>
#include <string.h>

static void send_to(struct packet_daemon *d, uint64_t addr, const uint8_t *data,
		    uint32_t size_bytes)
{
	uv_buf_t buf = uv_buf_init((char *)data, size_bytes);
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};

	/* A lost heartbeat is replaced by the next one. */
	if (uv_udp_try_send(&d->peer_socket, &buf, 1, (struct sockaddr *)&to) >=
	    0)
		d->counters.hellos_sent++;
	pacer_charge(d->node->pacer, size_bytes, d->now_ns);
}

/**
 * peers_send() - send a heartbeat to several peers
 * @ctx: struct packet_daemon
 * @to: addresses of the peers
 * @n: number of addresses
 * @hello: heartbeat
 */
void peers_send(void *ctx, const uint64_t *to, uint32_t n,
		const struct hello *hello)
{
	struct packet_daemon *d = ctx;
	uint8_t data[HELLO_MAX_BYTES];
	uint32_t size_bytes = hello_encode(hello, data);

	for (uint32_t i = 0; size_bytes && i < n; i++)
		send_to(d, to[i], data, size_bytes);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct packet_daemon *d = handle->data;

	(void)suggested;
	*buf = uv_buf_init((char *)d->peer_buffer, PACKET_BUFFER_BYTES);
}

static uint64_t sender_addr(const struct sockaddr *from)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)from;

	return ADDR(ntohl(in->sin_addr.s_addr), ntohs(in->sin_port));
}

static void on_hello(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
		     const struct sockaddr *from, unsigned int flags)
{
	struct packet_daemon *d = udp->data;
	struct hello hello;

	if (n <= 0 || !from || flags & UV_UDP_PARTIAL)
		return;
	/* A heartbeat is accepted from the VM that it describes only. */
	if (hello_decode((uint8_t *)buf->base, (uint32_t)n, &hello) ||
	    hello.from != sender_addr(from)) {
		d->counters.hellos_malformed++;
		return;
	}
	d->counters.hellos_received++;
	node_receive_hello(d->node, &hello, daemon_begin_event(d));
	clients_send_paced(d);
}

/**
 * peers_open() - open the socket for heartbeats
 * @d: process
 *
 * Return: 0 or a negative error.
 */
int peers_open(struct packet_daemon *d)
{
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(d->settings.peer)),
		.sin_addr.s_addr = htonl(ADDR_IP(d->settings.peer)),
	};
	int err;

	uv_udp_init(d->loop, &d->peer_socket);
	d->peer_socket.data = d;
	err = uv_udp_bind(&d->peer_socket, (struct sockaddr *)&at, 0);
	return err ? err
		   : uv_udp_recv_start(&d->peer_socket, on_alloc, on_hello);
}

/**
 * peers_close() - close the socket
 * @d: process
 */
void peers_close(struct packet_daemon *d)
{
	if (d->peer_socket.data)
		uv_close((uv_handle_t *)&d->peer_socket, NULL);
}
