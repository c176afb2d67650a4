/*
 * An HTTP/1.1 client on libuv: one connection to one server, kept open, one
 * GET at a time, each with a deadline for the beginning of its answer.
 */
#ifndef CB_HTTP_CALL_H
#define CB_HTTP_CALL_H

#include "types.h"

#include <uv.h>

/**
 * struct http_reply - how a call ended
 * @err: 0, or a negative error when no whole answer came: -ETIMEDOUT,
 *	-ECONNREFUSED, -ECONNRESET, -EPROTO, -EMSGSIZE, -EBUSY
 * @status: HTTP status when @err is 0
 * @body: body, ends with a zero byte that @size_bytes doesn't count
 * @size_bytes: its size
 * @came_ns: time from its first byte to its last
 * @header: value of the header named by http_caller_header(), "" without it
 */
struct http_reply {
	int err;
	int status;
	const char *body;
	size_t size_bytes;
	uint64_t came_ns;
	const char *header;
};

/**
 * struct http_call_handler - port that takes the end of calls
 * @ctx: passed back
 * @done: the call ended; the next may be started from here
 * @connected: a new connection stands, after so long; false to send nothing:
 *	the call ends with -EBUSY. May be NULL.
 */
struct http_call_handler {
	void *ctx;
	void (*done)(void *ctx, const struct http_reply *reply);
	bool (*connected)(void *ctx, uint64_t took_ns);
};

struct http_caller;

int http_caller_open(uv_loop_t *loop, struct http_call_handler handler,
		     struct http_caller **out);
int http_call(struct http_caller *c, uint64_t server, const char *path,
	      uint64_t timeout_ms);
void http_caller_header(struct http_caller *c, const char *name);
void http_cancel(struct http_caller *c);
bool http_calling(const struct http_caller *c);
void http_caller_close(struct http_caller *c);

#endif
