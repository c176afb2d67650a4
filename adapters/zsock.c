#include "zsock.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

/*
 * Maximum number of frames that are received before other handles of the loop
 * run.
 */
#define FRAMES_PER_ITERATION_MAX 256
#define SEND_QUEUE_MAX_FRAMES 10000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 1000
#define CONNECT_TIMEOUT_MS 2000
/* A peer whose machine has failed does not reset its connections. */
#define UNACKED_TIMEOUT_MS 5000

/**
 * struct zsock - ZeroMQ socket on a libuv loop
 * @socket: ZeroMQ socket
 * @is_router: ROUTER, otherwise DEALER
 * @handler: receives frames
 * @poll: watches the descriptor of the socket
 * @prepare: checks for frames before each wait of the loop
 * @idle: active while frames are left, so that the loop does not wait
 * @open_handles: number of handles that are not closed yet
 *
 * The descriptor of a ZeroMQ socket becomes readable only at an edge, and
 * sending may consume that edge; received frames would then stay unread until
 * the next one arrives. @prepare and @idle prevent this.
 */
struct zsock {
	void *socket;
	bool is_router;
	struct zsock_handler handler;
	uv_poll_t poll;
	uv_prepare_t prepare;
	uv_idle_t idle;
	uint32_t open_handles;
};

static int set_int(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int set_options(void *socket, const struct zsock_conf *conf)
{
	int64_t frame_max = conf->frame_max_bytes;
	int failed = 0;

	failed |= set_int(socket, ZMQ_LINGER, 0);
	failed |= set_int(socket, ZMQ_SNDHWM, SEND_QUEUE_MAX_FRAMES);
	failed |= set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	failed |= set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	failed |= set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	failed |= set_int(socket, ZMQ_TCP_MAXRT, UNACKED_TIMEOUT_MS);
	failed |= zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &frame_max,
				 sizeof(frame_max));
	if (conf->type == ZMQ_ROUTER)
		failed |= set_int(socket, ZMQ_ROUTER_MANDATORY, 1);
	return failed ? -errno : 0;
}

static bool receive_part(struct zsock *sock, zmq_msg_t *part)
{
	zmq_msg_init(part);
	if (zmq_msg_recv(part, sock->socket, ZMQ_DONTWAIT) >= 0)
		return true;
	zmq_msg_close(part);
	return false;
}

/*
 * Receives one message: on a ROUTER the route and then one frame, on a DEALER
 * one frame. Other messages are dropped.
 */
static bool receive_message(struct zsock *sock)
{
	struct zsock_route route = { 0 };
	uint32_t frame_index = sock->is_router ? 1 : 0;
	uint32_t index = 0;
	zmq_msg_t part;
	bool more = true;

	while (more && receive_part(sock, &part)) {
		size_t size_bytes = zmq_msg_size(&part);

		more = zmq_msg_more(&part);
		if (index < frame_index &&
		    size_bytes <= ZSOCK_ROUTE_MAX_BYTES) {
			route.size_bytes = (uint8_t)size_bytes;
			memcpy(route.id, zmq_msg_data(&part), size_bytes);
		} else if (index == frame_index && !more) {
			sock->handler.frame(sock->handler.ctx,
					    sock->is_router ? &route : NULL,
					    zmq_msg_data(&part),
					    (uint32_t)size_bytes);
		}
		index++;
		zmq_msg_close(&part);
	}
	return index > 0;
}

static void on_idle(uv_idle_t *idle)
{
	(void)idle;
}

static void receive_frames(struct zsock *sock)
{
	uint32_t n = 0;

	while (n < FRAMES_PER_ITERATION_MAX && receive_message(sock))
		n++;
	if (n == FRAMES_PER_ITERATION_MAX)
		uv_idle_start(&sock->idle, on_idle);
	else
		uv_idle_stop(&sock->idle);
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	receive_frames(poll->data);
}

static void on_prepare(uv_prepare_t *prepare)
{
	receive_frames(prepare->data);
}

static int start_handles(struct zsock *sock, uv_loop_t *loop)
{
	size_t size_bytes = sizeof(int);
	int fd;

	if (zmq_getsockopt(sock->socket, ZMQ_FD, &fd, &size_bytes))
		return -errno;
	if (uv_poll_init(loop, &sock->poll, fd))
		return -EIO;
	uv_prepare_init(loop, &sock->prepare);
	uv_idle_init(loop, &sock->idle);
	sock->open_handles = 3;
	sock->poll.data = sock;
	sock->prepare.data = sock;
	sock->idle.data = sock;
	uv_poll_start(&sock->poll, UV_READABLE, on_readable);
	uv_prepare_start(&sock->prepare, on_prepare);
	return 0;
}

/**
 * zsock_open() - open a socket and bind or connect it
 * @loop: loop to run on
 * @conf: settings, copied
 * @handler: receives frames
 * @out: set to the socket
 *
 * Return: 0, a negative error of ZeroMQ such as -EADDRINUSE, -EMFILE, -EIO or
 * -ENOMEM.
 */
int zsock_open(uv_loop_t *loop, const struct zsock_conf *conf,
	       struct zsock_handler handler, struct zsock **out)
{
	struct zsock *sock = calloc(1, sizeof(*sock));
	int err;

	if (!sock)
		return -ENOMEM;
	sock->handler = handler;
	sock->is_router = conf->type == ZMQ_ROUTER;
	sock->socket = zmq_socket(conf->context, conf->type);
	if (!sock->socket) {
		free(sock);
		return -EMFILE;
	}
	err = set_options(sock->socket, conf);
	if (!err && conf->bind && zmq_bind(sock->socket, conf->endpoint))
		err = -zmq_errno();
	if (!err && !conf->bind && zmq_connect(sock->socket, conf->endpoint))
		err = -zmq_errno();
	if (!err)
		err = start_handles(sock, loop);
	if (err) {
		zmq_close(sock->socket);
		free(sock);
		return err;
	}
	*out = sock;
	return 0;
}

/**
 * zsock_send() - send a frame without blocking
 * @sock: socket
 * @route: on a ROUTER, route to the receiver; NULL on a DEALER
 * @data: frame, copied
 * @size_bytes: size of the frame
 *
 * Return: 0; -EAGAIN when the queue is full; -EHOSTUNREACH when the route does
 * not exist any more; another negative error of ZeroMQ.
 */
int zsock_send(struct zsock *sock, const struct zsock_route *route,
	       const uint8_t *data, uint32_t size_bytes)
{
	if (route && zmq_send(sock->socket, route->id, route->size_bytes,
			      ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
		return -zmq_errno();
	if (zmq_send(sock->socket, data, size_bytes, ZMQ_DONTWAIT) < 0)
		return -zmq_errno();
	return 0;
}

static void on_closed(uv_handle_t *handle)
{
	struct zsock *sock = handle->data;

	if (--sock->open_handles == 0)
		free(sock);
}

/**
 * zsock_close() - close a socket; its memory is freed by the next iteration of
 *	the loop
 * @sock: socket, or NULL
 */
void zsock_close(struct zsock *sock)
{
	if (!sock)
		return;
	uv_poll_stop(&sock->poll);
	uv_close((uv_handle_t *)&sock->poll, on_closed);
	uv_close((uv_handle_t *)&sock->prepare, on_closed);
	uv_close((uv_handle_t *)&sock->idle, on_closed);
	zmq_close(sock->socket);
	sock->socket = NULL;
}
