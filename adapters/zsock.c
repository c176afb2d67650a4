#include "zsock.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

/* Frames taken in one turn of the loop, so that a flood can't hold it. */
#define FRAMES_PER_TURN 256
#define SEND_QUEUE_FRAMES 10000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 1000
#define CONNECT_TIMEOUT_MS 2000
/* A peer whose machine vanished does not reset its connections. */
#define UNACKED_TIMEOUT_MS 5000

/*
 * ZeroMQ's descriptor turns readable only at an edge, and sending may consume
 * that edge: frames would lie unread until the next one comes. So the events
 * are looked at before each wait of the loop (@prepare), and an idle handle
 * keeps the loop from waiting while frames are left.
 */
struct zsock {
	void *socket;
	bool router;
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
	failed |= set_int(socket, ZMQ_SNDHWM, SEND_QUEUE_FRAMES);
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

static bool receive_part(struct zsock *z, zmq_msg_t *part)
{
	zmq_msg_init(part);
	if (zmq_msg_recv(part, z->socket, ZMQ_DONTWAIT) >= 0)
		return true;
	zmq_msg_close(part);
	return false;
}

/* Take one message: on a ROUTER the route comes first, then one frame. */
static bool receive_one(struct zsock *z)
{
	struct zroute route = { 0 };
	uint32_t wanted = z->router ? 1 : 0;
	uint32_t index = 0;
	zmq_msg_t part;
	bool more = true;

	while (more && receive_part(z, &part)) {
		size_t size_bytes = zmq_msg_size(&part);

		more = zmq_msg_more(&part);
		if (index < wanted && size_bytes <= ZSOCK_ROUTE_MAX_BYTES) {
			route.size_bytes = (uint8_t)size_bytes;
			memcpy(route.id, zmq_msg_data(&part), size_bytes);
		} else if (index == wanted && !more) {
			z->handler.frame(z->handler.ctx,
					 z->router ? &route : NULL,
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

static void drain(struct zsock *z)
{
	uint32_t n = 0;

	while (n < FRAMES_PER_TURN && receive_one(z))
		n++;
	if (n == FRAMES_PER_TURN)
		uv_idle_start(&z->idle, on_idle);
	else
		uv_idle_stop(&z->idle);
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	drain(poll->data);
}

static void on_prepare(uv_prepare_t *prepare)
{
	drain(prepare->data);
}

static int watch_events(struct zsock *z, uv_loop_t *loop)
{
	size_t size_bytes = sizeof(int);
	int fd;

	if (zmq_getsockopt(z->socket, ZMQ_FD, &fd, &size_bytes))
		return -errno;
	if (uv_poll_init(loop, &z->poll, fd))
		return -EIO;
	uv_prepare_init(loop, &z->prepare);
	uv_idle_init(loop, &z->idle);
	z->open_handles = 3;
	z->poll.data = z;
	z->prepare.data = z;
	z->idle.data = z;
	uv_poll_start(&z->poll, UV_READABLE, on_readable);
	uv_prepare_start(&z->prepare, on_prepare);
	return 0;
}

/**
 * zsock_open() - open a socket and bind or connect it
 * @loop: loop to run on
 * @conf: what to open
 * @handler: takes frames
 * @out: set to the socket
 *
 * Return: 0 or a negative error of ZeroMQ (-EADDRINUSE...) or -ENOMEM.
 */
int zsock_open(uv_loop_t *loop, const struct zsock_conf *conf,
	       struct zsock_handler handler, struct zsock **out)
{
	struct zsock *z = calloc(1, sizeof(*z));
	int err;

	if (!z)
		return -ENOMEM;
	z->handler = handler;
	z->router = conf->type == ZMQ_ROUTER;
	z->socket = zmq_socket(conf->context, conf->type);
	if (!z->socket) {
		free(z);
		return -EMFILE;
	}
	err = set_options(z->socket, conf);
	if (!err && conf->bind && zmq_bind(z->socket, conf->endpoint))
		err = -zmq_errno();
	if (!err && !conf->bind && zmq_connect(z->socket, conf->endpoint))
		err = -zmq_errno();
	if (!err)
		err = watch_events(z, loop);
	if (err) {
		zmq_close(z->socket);
		free(z);
		return err;
	}
	*out = z;
	return 0;
}

/**
 * zsock_send() - send a frame without waiting
 * @z: socket
 * @route: on a ROUTER, whom to; NULL on a DEALER
 * @data: frame
 * @size_bytes: its size
 *
 * Return: 0; -EAGAIN when the queue is full; -EHOSTUNREACH when the route is
 * gone; another negative error of ZeroMQ.
 */
int zsock_send(struct zsock *z, const struct zroute *route, const uint8_t *data,
	       uint32_t size_bytes)
{
	if (route && zmq_send(z->socket, route->id, route->size_bytes,
			      ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
		return -zmq_errno();
	if (zmq_send(z->socket, data, size_bytes, ZMQ_DONTWAIT) < 0)
		return -zmq_errno();
	return 0;
}

static void on_closed(uv_handle_t *handle)
{
	struct zsock *z = handle->data;

	if (--z->open_handles == 0)
		free(z);
}

/**
 * zsock_close() - close the socket; memory goes when the loop turns again
 * @z: socket, or NULL
 */
void zsock_close(struct zsock *z)
{
	if (!z)
		return;
	uv_poll_stop(&z->poll);
	uv_close((uv_handle_t *)&z->poll, on_closed);
	uv_close((uv_handle_t *)&z->prepare, on_closed);
	uv_close((uv_handle_t *)&z->idle, on_closed);
	zmq_close(z->socket);
	z->socket = NULL;
}
