/* UDP sockets, on libuv. */
#include "daemon.h"

#include <arpa/inet.h>
#include <linux/sock_diag.h>
#include <string.h>

#define SOCKET_BUFFER_BYTES (4 << 20)

/**
 * sockaddr_from_addr() - socket address of an endpoint
 * @addr: endpoint, see ADDR()
 *
 * Return: socket address.
 */
struct sockaddr_in sockaddr_from_addr(uint64_t addr)
{
	struct sockaddr_in in = { .sin_family = AF_INET };

	in.sin_addr.s_addr = htonl(ADDR_IP(addr));
	in.sin_port = htons(ADDR_PORT(addr));
	return in;
}

/**
 * addr_from_sockaddr() - endpoint of a socket address
 * @sa: IPv4 socket address
 *
 * Return: endpoint, ADDR_NONE for another family.
 */
uint64_t addr_from_sockaddr(const struct sockaddr *sa)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)sa;

	if (sa->sa_family != AF_INET)
		return ADDR_NONE;
	return ADDR(ntohl(in->sin_addr.s_addr), ntohs(in->sin_port));
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct daemon *d = handle->loop->data;

	(void)suggested;
	*buf = uv_buf_init(d->receive_buffer, sizeof(d->receive_buffer));
}

/**
 * datagram_open() - bind a socket and receive on it
 * @d: daemon
 * @socket: socket; also after an error the owner closes it with uv_close()
 * @addr: local endpoint; with port 0 the system chooses a port
 * @on_datagram: called for each datagram
 *
 * Return: 0 or a negative error number.
 */
int datagram_open(struct daemon *d, uv_udp_t *socket, uint64_t addr,
		  uv_udp_recv_cb on_datagram)
{
	struct sockaddr_in in = sockaddr_from_addr(addr);
	int size_bytes = SOCKET_BUFFER_BYTES;
	int err;

	err = uv_udp_init_ex(d->loop, socket, AF_INET | UV_UDP_RECVMMSG);
	if (err)
		return err;
	err = uv_udp_bind(socket, (const struct sockaddr *)&in, 0);
	if (err)
		return err;
	/*
	 * The default buffer holds a few hundred datagrams, and a burst on the
	 * hour would overflow it. The system may grant less than requested.
	 */
	uv_recv_buffer_size((uv_handle_t *)socket, &size_bytes);
	size_bytes = SOCKET_BUFFER_BYTES;
	uv_send_buffer_size((uv_handle_t *)socket, &size_bytes);
	return uv_udp_recv_start(socket, on_alloc, on_datagram);
}

/**
 * datagram_send() - send a datagram without queueing it
 * @socket: socket
 * @to: receiver
 * @buf: datagram
 * @size_bytes: its size
 *
 * A datagram is dropped when the socket's buffer is full, as the network might
 * drop it: senders retransmit what matters, and a queue here would only grow.
 *
 * Return: whether the system accepted the datagram.
 */
bool datagram_send(uv_udp_t *socket, uint64_t to, const uint8_t *buf,
		   uint32_t size_bytes)
{
	struct sockaddr_in in = sockaddr_from_addr(to);
	uv_buf_t b = uv_buf_init((char *)buf, size_bytes);

	return uv_udp_try_send(socket, &b, 1, (const struct sockaddr *)&in) >=
	       0;
}

/**
 * datagram_overflow_count() - datagrams dropped because the buffer was full
 * @socket: open socket, or one that was never opened
 *
 * No other counter shows them: a process that is too slow for a burst on the
 * hour would look idle, and retransmissions by its callers like more load.
 *
 * Return: number since the socket was opened, 0 when it can't be read.
 */
uint64_t datagram_overflow_count(const uv_udp_t *socket)
{
	uint32_t info[SK_MEMINFO_VARS] = { 0 };
	socklen_t size_bytes = sizeof(info);
	uv_os_fd_t fd;

	if (socket->type != UV_UDP)
		return 0;
	if (uv_fileno((const uv_handle_t *)socket, &fd))
		return 0;
	if (getsockopt(fd, SOL_SOCKET, SO_MEMINFO, info, &size_bytes))
		return 0;
	return info[SK_MEMINFO_DROPS];
}
