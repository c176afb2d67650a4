/* Messages from and to other entries, on one UDP socket. */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"

#include <errno.h>

static enum drop drop_reason(int err)
{
	if (err == -EBADMSG)
		return DROP_PEER_MAC;
	if (err == -EPROTONOSUPPORT)
		return DROP_PEER_VERSION;
	return DROP_PEER_FORMAT;
}

static void handle_message(struct daemon *d, const struct peer_msg *msg)
{
	const struct message *forwarded = NULL;
	uint64_t now_ns = daemon_run_due_tick(d);
	struct message inner;

	if (msg->kind == PEER_FORWARD) {
		if (coap_wire_parse(msg->data, msg->size_bytes, &inner)) {
			d->dropped[DROP_PEER_INNER]++;
			return;
		}
		forwarded = &inner;
	}
	entry_peer(d->entry, msg, forwarded, now_ns, &d->actions);
	actions_execute(d);
}

static void on_datagram(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct daemon *d = socket->loop->data;
	struct peer_msg msg;
	int err;

	(void)flags;
	if (n <= 0 || !from)
		return;
	err = wire_decode((const uint8_t *)buf->base, (uint32_t)n,
			  d->settings.key, &msg);
	if (err) {
		d->dropped[drop_reason(err)]++;
		return;
	}
	d->peer_received.messages[msg.kind]++;
	d->peer_received.bytes[msg.kind] += (uint64_t)n;
	handle_message(d, &msg);
}

/**
 * peers_open() - open the socket for other entries
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int peers_open(struct daemon *d)
{
	char text[32];
	int err = datagram_open(d, &d->peer_socket, d->settings.peer,
				on_datagram);

	if (err)
		log_line(LOG_ERROR, "peers.bind",
			 addr_text(d->settings.peer, text, sizeof(text)), "%s",
			 uv_strerror(err));
	return err;
}

/**
 * peers_send() - send a message to another entry
 * @d: daemon
 * @vm: address of the receiver
 * @msg: message
 *
 * A message that can't be encoded or sent is counted and dropped.
 */
void peers_send(struct daemon *d, uint64_t vm, const struct peer_msg *msg)
{
	uint8_t buf[SEND_MAX_BYTES];
	int32_t n = wire_encode(msg, d->settings.key, buf, sizeof(buf));

	if (n < 0) {
		d->dropped[DROP_ENCODE]++;
		return;
	}
	if (!datagram_send(&d->peer_socket, vm, buf, (uint32_t)n)) {
		d->dropped[DROP_SEND_PEER]++;
		return;
	}
	d->peer_sent.messages[msg->kind]++;
	d->peer_sent.bytes[msg->kind] += (uint64_t)n;
}
