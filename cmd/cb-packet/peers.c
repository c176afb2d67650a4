/* Heartbeats between the entries, over UDP. */
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

	/* Lost ones are made up for by the next. */
	if (uv_udp_try_send(&d->peers, &buf, 1, (struct sockaddr *)&to) >= 0)
		d->counters.hellos_sent++;
	pacer_charge(d->node->pacer, size_bytes, d->now_ns);
}

/**
 * peers_send() - send a heartbeat
 * @ctx: process
 * @to: addresses
 * @n: how many
 * @h: heartbeat
 */
void peers_send(void *ctx, const uint64_t *to, uint32_t n,
		const struct hello *h)
{
	struct packet_daemon *d = ctx;
	uint8_t data[HELLO_MAX_BYTES];
	uint32_t size_bytes = hello_encode(h, data);

	for (uint32_t i = 0; size_bytes && i < n; i++)
		send_to(d, to[i], data, size_bytes);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct packet_daemon *d = handle->data;

	(void)suggested;
	*buf = uv_buf_init((char *)d->peer_room, RECEIVE_ROOM_BYTES);
}

static uint64_t sender(const struct sockaddr *from)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)from;

	return ADDR(ntohl(in->sin_addr.s_addr), ntohs(in->sin_port));
}

static void on_hello(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
		     const struct sockaddr *from, unsigned int flags)
{
	struct packet_daemon *d = udp->data;
	struct hello h;

	if (n <= 0 || !from || flags & UV_UDP_PARTIAL)
		return;
	/* A heartbeat speaks for the VM that sent it, and for no other. */
	if (hello_decode((uint8_t *)buf->base, (uint32_t)n, &h) ||
	    h.from != sender(from)) {
		d->counters.hellos_malformed++;
		return;
	}
	d->counters.hellos_received++;
	node_receive_hello(d->node, &h, daemon_turn(d));
	clients_pace(d);
}

/**
 * peers_open() - listen for heartbeats
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

	uv_udp_init(d->loop, &d->peers);
	d->peers.data = d;
	err = uv_udp_bind(&d->peers, (struct sockaddr *)&at, 0);
	return err ? err : uv_udp_recv_start(&d->peers, on_alloc, on_hello);
}

/**
 * peers_close() - stop listening
 * @d: process
 */
void peers_close(struct packet_daemon *d)
{
	if (d->peers.data)
		uv_close((uv_handle_t *)&d->peers, NULL);
}
