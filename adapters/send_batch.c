#define _GNU_SOURCE
#include "send_batch.h"

#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>

static bool is_socket_full(int err)
{
	return err == EAGAIN || err == EWOULDBLOCK || err == ENOBUFS ||
	       err == ENOMEM;
}

/*
 * sendmmsg() stops at the first datagram with an error. If that is due to the
 * destination, for example one without a route, the others are still sent.
 */
static uint32_t send_all(int fd, struct mmsghdr *messages, uint32_t n)
{
	uint32_t sent = 0;

	for (uint32_t at = 0; at < n;) {
		int k = sendmmsg(fd, messages + at, n - at, 0);

		if (k > 0) {
			at += (uint32_t)k;
			sent += (uint32_t)k;
		} else if (k < 0 && errno == EINTR) {
			continue;
		} else if (k < 0 && is_socket_full(errno)) {
			break;
		} else {
			at++;
		}
	}
	return sent;
}

/**
 * send_batch_flush() - send the datagrams of a batch, and empty it
 * @fd: socket
 * @batch: datagrams; those that the socket doesn't accept are dropped
 *
 * Return: number of datagrams sent.
 */
uint32_t send_batch_flush(int fd, struct send_batch *batch)
{
	struct sockaddr_in to[DATAGRAM_BATCH];
	struct iovec parts[DATAGRAM_BATCH][2];
	struct mmsghdr messages[DATAGRAM_BATCH] = { 0 };
	uint32_t n = batch->n;

	for (uint32_t i = 0; i < n; i++) {
		to[i] = (struct sockaddr_in){
			.sin_family = AF_INET,
			.sin_port = htons(ADDR_PORT(batch->to[i])),
			.sin_addr.s_addr = htonl(ADDR_IP(batch->to[i])),
		};
		parts[i][0] =
			(struct iovec){ batch->head[i], batch->head_bytes[i] };
		parts[i][1] = (struct iovec){ (void *)batch->data[i],
					      batch->data_bytes[i] };
		messages[i].msg_hdr = (struct msghdr){
			.msg_name = &to[i],
			.msg_namelen = sizeof(to[i]),
			.msg_iov = parts[i],
			.msg_iovlen = batch->data_bytes[i] ? 2 : 1,
		};
	}
	batch->n = 0;
	return send_all(fd, messages, n);
}
