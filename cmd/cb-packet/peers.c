/* Heartbeats between the entries, over UDP. */
#include "daemon.h"

#include "hello_codec.h"
#include "loads.h"
#include "log.h"

#include <netinet/in.h>
#include <string.h>

#define ROUND_MAX 16

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
}

static void send_hello(struct packet_daemon *d, const uint64_t *to, uint32_t n,
		       const struct target *dead, uint64_t now_ns)
{
	uint8_t data[HELLO_MAX_BYTES];
	struct hello h = { 0 };
	uint32_t size_bytes;

	peer_set_fill(d->peer_set, &h, now_ns);
	h.leaving = d->stop_ns;
	h.newest = documents_newest(d->documents);
	if (dead)
		h.dead[h.n_dead++] = dead->news.id;
	else
		loads_fill(d->directory, &h);
	size_bytes = hello_encode(&h, data);
	for (uint32_t i = 0; size_bytes && i < n; i++)
		send_to(d, to[i], data, size_bytes);
}

/**
 * peers_urgent() - tell the neighbours now what they should know at once
 * @d: process
 * @dead: target that was found dead, or NULL
 */
void peers_urgent(struct packet_daemon *d, const struct target *dead)
{
	uint64_t now_ns = uv_hrtime();
	uint64_t to[ROUND_MAX];
	uint32_t n = peer_set_neighbours(d->peer_set, now_ns, to, ROUND_MAX);

	send_hello(d, to, n, dead, now_ns);
}

/**
 * peers_tick() - send the heartbeats that are due
 * @d: process
 * @now_ns: time
 */
void peers_tick(struct packet_daemon *d, uint64_t now_ns)
{
	uint64_t to[ROUND_MAX];
	uint32_t n = peer_set_due(d->peer_set, now_ns, to, ROUND_MAX);

	if (!n)
		return;
	send_hello(d, to, n, NULL, now_ns);
	loads_sum(d->directory, d->peer_set, now_ns);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct packet_daemon *d = handle->data;

	(void)suggested;
	*buf = uv_buf_init((char *)d->peer_room, DATAGRAM_ROOM_BYTES);
}

static void on_hello(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
		     const struct sockaddr *from, unsigned int flags)
{
	struct packet_daemon *d = udp->data;
	uint64_t now_ns;
	struct hello h;

	if (n <= 0 || !from || flags & UV_UDP_PARTIAL)
		return;
	if (hello_decode((uint8_t *)buf->base, (uint32_t)n, &h)) {
		d->counters.hellos_malformed++;
		return;
	}
	now_ns = daemon_turn(d);
	d->counters.hellos_received++;
	peer_set_hear(d->peer_set, &h, now_ns);
	for (uint32_t i = 0; i < h.n_dead; i++)
		path_told_dead(d->path, h.dead[i]);
	clients_flush(d);
	if (h.reply)
		send_hello(d, &h.from, 1, NULL, now_ns);
	reading_tick(d, now_ns);
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
