/* A ZeroMQ socket on a libuv loop. */
#ifndef CB_ZSOCK_H
#define CB_ZSOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#define ZSOCK_ROUTE_MAX_BYTES 255

/**
 * struct zroute - which connection of a ROUTER a frame came from
 * @size_bytes: 0 on a DEALER
 * @id: name that ZeroMQ gave it
 */
struct zroute {
	uint8_t size_bytes;
	uint8_t id[ZSOCK_ROUTE_MAX_BYTES];
};

/**
 * struct zsock_handler - port that takes frames
 * @ctx: passed back
 * @frame: a frame; may send, may not close the socket
 */
struct zsock_handler {
	void *ctx;
	void (*frame)(void *ctx, const struct zroute *route,
		      const uint8_t *data, uint32_t size_bytes);
};

/**
 * struct zsock_conf - what to open
 * @context: ZeroMQ context
 * @type: ZMQ_ROUTER or ZMQ_DEALER
 * @bind: bind to @endpoint, or connect
 * @endpoint: tcp://IP:PORT
 * @frame_max_bytes: larger ones are refused by ZeroMQ
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
int zsock_send(struct zsock *z, const struct zroute *route, const uint8_t *data,
	       uint32_t size_bytes);
void zsock_close(struct zsock *z);

#endif
