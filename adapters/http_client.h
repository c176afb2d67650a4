/*
 * An HTTP/1.1 client on libuv: one connection to one server, kept open, one
 * GET at a time, each with a deadline for the beginning of its answer.
 */
#ifndef CB_HTTP_CLIENT_H
#define CB_HTTP_CLIENT_H

#include "types.h"

#include <uv.h>

/**
 * struct http_reply - how a call ended
 * @err: 0, or a negative error when no whole answer came: -ETIMEDOUT,
 *	-ECONNREFUSED, -ECONNRESET, -EPROTO, -EMSGSIZE, -EBUSY
 * @status: HTTP status when @err is 0
 * @body: body, ends with a zero byte that @size_bytes doesn't count
 * @size_bytes: its size
 * @transfer_ns: time from its first byte to its last
 * @header: value of the header named by http_client_capture_header(), "" without it
 */
struct http_reply {
	int err;
	int status;
	const char *body;
	size_t size_bytes;
	uint64_t transfer_ns;
	const char *header;
};

/**
 * struct http_client_handler - port that takes the end of calls
 * @ctx: passed back
 * @done: the call ended; the next may be started from here
 * @connected: a new connection stands, after so long; false to send nothing:
 *	the call ends with -EBUSY. May be NULL.
 */
struct http_client_handler {
	void *ctx;
	void (*done)(void *ctx, const struct http_reply *reply);
	bool (*connected)(void *ctx, uint64_t took_ns);
};

struct http_client;

int http_client_open(uv_loop_t *loop, struct http_client_handler handler,
		     struct http_client **out);
int http_client_get(struct http_client *c, uint64_t server, const char *path,
		    uint64_t timeout_ms);
void http_client_capture_header(struct http_client *c, const char *name);
void http_client_cancel(struct http_client *c);
bool http_client_is_busy(const struct http_client *c);
void http_client_close(struct http_client *c);

#endif
