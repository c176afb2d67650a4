/* The side towards targets: one socket that requests leave from. */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"

static void received(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
		     const struct sockaddr *from, unsigned int flags)
{
	struct daemon *d = socket->loop->data;
	struct message msg;
	uint64_t now_ns;

	(void)flags;
	if (n <= 0 || !from)
		return;
	now_ns = daemon_catch_up(d);
	if (coap_wire_parse((const uint8_t *)buf->base, (uint32_t)n, &msg)) {
		d->dropped[DROP_TARGET_FORMAT]++;
		return;
	}
	entry_target(d->entry, addr_of(from), &msg, now_ns, &d->actions);
	act(d);
}

/**
 * targets_open() - open the socket towards targets
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int targets_open(struct daemon *d)
{
	uint64_t source = ADDR(d->settings.target_source_ip, 0);
	char text[32];
	int err = datagram_open(d, &d->target_socket, source, received);

	if (err)
		log_line(LOG_ERROR, "targets.bind",
			 addr_text(source, text, sizeof(text)), "%s",
			 uv_strerror(err));
	return err;
}

/**
 * targets_send() - send a datagram to a target
 * @d: daemon
 * @target: target
 * @buf: datagram
 * @size_bytes: its size
 */
void targets_send(struct daemon *d, uint64_t target, const uint8_t *buf,
		  uint32_t size_bytes)
{
	if (!datagram_send(&d->target_socket, target, buf, size_bytes))
		d->dropped[DROP_SEND_TARGET]++;
}
