/* Datagrams to and from targets, on one UDP socket. */
#include "coap_wire.h"
#include "daemon.h"
#include "log.h"

static void on_datagram(uv_udp_t *socket, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned int flags)
{
	struct daemon *d = socket->loop->data;
	struct message msg;
	uint64_t now_ns;

	(void)flags;
	if (n <= 0 || !from)
		return;
	now_ns = daemon_run_due_tick(d);
	if (coap_wire_parse((const uint8_t *)buf->base, (uint32_t)n, &msg)) {
		d->dropped[DROP_TARGET_FORMAT]++;
		return;
	}
	entry_target(d->entry, addr_from_sockaddr(from), &msg, now_ns,
		     &d->actions);
	actions_execute(d);
}

/**
 * targets_open() - open the socket for targets
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int targets_open(struct daemon *d)
{
	uint64_t source = ADDR(d->settings.target_source_ip, 0);
	char text[32];
	int err = datagram_open(d, &d->target_socket, source, on_datagram);

	if (err)
		log_line(LOG_ERROR, "targets.bind",
			 addr_text(source, text, sizeof(text)), "%s",
			 uv_strerror(err));
	return err;
}

/**
 * targets_send() - send a datagram to a target
 * @d: daemon
 * @target: endpoint of the target
 * @buf: datagram
 * @size_bytes: its size
 *
 * A datagram that the socket does not accept is counted and dropped.
 */
void targets_send(struct daemon *d, uint64_t target, const uint8_t *buf,
		  uint32_t size_bytes)
{
	if (!datagram_send(&d->target_socket, target, buf, size_bytes))
		d->dropped[DROP_SEND_TARGET]++;
}
