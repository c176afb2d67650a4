/* ZeroMQ socket on a libuv loop. */
#ifndef CB_ZSOCK_H
#define CB_ZSOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#define ZSOCK_ROUTE_MAX_BYTES 255

/**
 * struct zsock_route - connection of a ROUTER from which a frame came
 * @size_bytes: size of @id
 * @id: identity that ZeroMQ assigned to the connection
 */
struct zsock_route {
	uint8_t size_bytes;
	uint8_t id[ZSOCK_ROUTE_MAX_BYTES];
};

/**
 * struct zsock_handler - callback that receives frames
 * @ctx: first argument of @frame
 * @frame: receives a frame, valid during the call. @route is NULL on a DEALER.
 *	The callback may send, but must not close the socket
 */
struct zsock_handler {
	void *ctx;
	void (*frame)(void *ctx, const struct zsock_route *route,
		      const uint8_t *data, uint32_t size_bytes);
};

/**
 * struct zsock_conf - settings of a socket
 * @context: ZeroMQ context
 * @type: ZMQ_ROUTER or ZMQ_DEALER
 * @bind: bind to @endpoint; otherwise connect to it
 * @endpoint: tcp://IP:PORT
 * @frame_max_bytes: ZeroMQ refuses larger frames and closes their connection
 */
struct zsock_conf {
	void *context;
	int type;
	bool bind;
	const char *endpoint;
	uint32_t frame_max_bytes;
};

struct zsock;

int zsock_open(uv_loop_t *loop, const struct zsock_conf *conf,
	       struct zsock_handler handler, struct zsock **out);
int zsock_send(struct zsock *sock, const struct zsock_route *route,
	       const uint8_t *data, uint32_t size_bytes);
void zsock_close(struct zsock *sock);

#endif
