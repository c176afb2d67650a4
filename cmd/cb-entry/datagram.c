/* UDP sockets of the daemon, on libuv. */
#include "daemon.h"

#include <arpa/inet.h>
#include <linux/sock_diag.h>
#include <string.h>

#define SOCKET_BUFFER_BYTES (4 << 20)

/**
 * sockaddr_of() - endpoint as the system knows it
 * @addr: endpoint
 *
 * Return: socket address.
 */
struct sockaddr_in sockaddr_of(uint64_t addr)
{
	struct sockaddr_in in = { .sin_family = AF_INET };

	in.sin_addr.s_addr = htonl(ADDR_IP(addr));
	in.sin_port = htons(ADDR_PORT(addr));
	return in;
}

/**
 * addr_of() - endpoint of a socket address
 * @sa: IPv4 socket address
 *
 * Return: endpoint, ADDR_NONE for another family.
 */
uint64_t addr_of(const struct sockaddr *sa)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)sa;

	if (sa->sa_family != AF_INET)
		return ADDR_NONE;
	return ADDR(ntohl(in->sin_addr.s_addr), ntohs(in->sin_port));
}

static void room(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct daemon *d = handle->loop->data;

	(void)suggested;
	*buf = uv_buf_init(d->recv, sizeof(d->recv));
}

/**
 * datagram_open() - bind a socket and receive on it
 * @d: daemon
 * @socket: socket; open even on error, to be closed with uv_close()
 * @addr: where to bind; port 0 takes any
 * @received: told of each datagram
 *
 * Return: 0 or a negative error number.
 */
int datagram_open(struct daemon *d, uv_udp_t *socket, uint64_t addr,
		  uv_udp_recv_cb received)
{
	struct sockaddr_in in = sockaddr_of(addr);
	int size_bytes = SOCKET_BUFFER_BYTES;
	int err;

	err = uv_udp_init_ex(d->loop, socket, AF_INET | UV_UDP_RECVMMSG);
	if (err)
		return err;
	err = uv_udp_bind(socket, (const struct sockaddr *)&in, 0);
	if (err)
		return err;
	/*
	 * The default holds a few hundred datagrams: a burst on the hour would
	 * be dropped by the system unseen. It grants less where it must.
	 */
	uv_recv_buffer_size((uv_handle_t *)socket, &size_bytes);
	size_bytes = SOCKET_BUFFER_BYTES;
	uv_send_buffer_size((uv_handle_t *)socket, &size_bytes);
	return uv_udp_recv_start(socket, room, received);
}

/**
 * datagram_send() - send at once or not at all
 * @socket: socket
 * @to: receiver
 * @buf: datagram
 * @size_bytes: its size
 *
 * Return: whether the system took it. A full socket drops it, as the network
 * might: senders repeat what matters, and a queue here would only grow.
 */
bool datagram_send(uv_udp_t *socket, uint64_t to, const uint8_t *buf,
		   uint32_t size_bytes)
{
	struct sockaddr_in in = sockaddr_of(to);
	uv_buf_t b = uv_buf_init((char *)buf, size_bytes);

	return uv_udp_try_send(socket, &b, 1, (const struct sockaddr *)&in) >=
	       0;
}

/**
 * datagram_lost() - datagrams that came while the socket was full
 * @socket: open socket, or one that was never opened
 *
 * Nothing else tells of them: a process that is too slow on the hour would
 * look idle and its callers' repeats like more work.
 *
 * Return: number since the socket was opened.
 */
uint64_t datagram_lost(const uv_udp_t *socket)
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
