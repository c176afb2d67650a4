/* The side towards other entries. */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"

#include <errno.h>

static enum drop drop_of(int err)
{
	if (err == -EBADMSG)
		return DROP_PEER_MAC;
	if (err == -EPROTONOSUPPORT)
		return DROP_PEER_VERSION;
	return DROP_PEER_FORMAT;
}

static void deliver(struct daemon *d, const struct peer_msg *m)
{
	const struct message *forwarded = NULL;
	uint64_t now_ns = daemon_catch_up(d);
	struct message inner;

	if (m->kind == PEER_FORWARD) {
		if (coap_wire_parse(m->data, m->size_bytes, &inner)) {
			d->dropped[DROP_PEER_INNER]++;
			return;
		}
		forwarded = &inner;
	}
	entry_peer(d->entry, m, forwarded, now_ns, &d->actions);
	act(d);
}

static void received(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
		     const struct sockaddr *from, unsigned int flags)
{
	struct daemon *d = socket->loop->data;
	struct peer_msg m;
	int err;

	(void)flags;
	if (n <= 0 || !from)
		return;
	err = wire_decode((const uint8_t *)buf->base, (uint32_t)n,
			  d->settings.key, &m);
	if (err) {
		d->dropped[drop_of(err)]++;
		return;
	}
	d->received.messages[m.kind]++;
	d->received.bytes[m.kind] += (uint64_t)n;
	deliver(d, &m);
}

/**
 * peers_open() - open the socket towards other entries
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int peers_open(struct daemon *d)
{
	char text[32];
	int err = datagram_open(d, &d->peer_socket, d->settings.peer, received);

	if (err)
		log_line(LOG_ERROR, "peers.bind",
			 addr_text(d->settings.peer, text, sizeof(text)), "%s",
			 uv_strerror(err));
	return err;
}

/**
 * peers_send() - send a message to another entry
 * @d: daemon
 * @vm: receiver
 * @m: message
 */
void peers_send(struct daemon *d, uint64_t vm, const struct peer_msg *m)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = wire_encode(m, d->settings.key, buf, sizeof(buf));

	if (n < 0) {
		d->dropped[DROP_ENCODE]++;
		return;
	}
	if (!datagram_send(&d->peer_socket, vm, buf, (uint32_t)n)) {
		d->dropped[DROP_SEND_PEER]++;
		return;
	}
	d->sent.messages[m->kind]++;
	d->sent.bytes[m->kind] += (uint64_t)n;
}
