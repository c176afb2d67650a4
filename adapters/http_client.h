/*
 * HTTP/1.1 client on libuv: GET requests one at a time, over one connection
 * that is kept open. A deadline applies to the beginning of an answer.
 */
#ifndef CB_HTTP_CLIENT_H
#define CB_HTTP_CLIENT_H

#include "types.h"

#include <uv.h>

/* A page of a listing has up to 1 MB before base64 and JSON, or a single value
 * of 1 MB beside others. */
#define HTTP_BODY_MAX_BYTES (8U << 20)

/**
 * struct http_reply - result of a call; its pointers are valid in the handler
 * @err: 0; or a negative error when no complete answer was received:
 *	-ETIMEDOUT, -ECONNREFUSED, -ECONNRESET, -EPROTO, -EMSGSIZE for a body
 *	above HTTP_BODY_MAX_BYTES, -EBUSY or another one of libuv
 * @begun: bytes of the answer arrived
 * @status: HTTP status when @err is 0, otherwise 0
 * @body: body with a terminating zero byte
 * @size_bytes: size of @body without the zero byte
 * @transfer_ns: time between the first and the last byte of the answer
 * @header: value of the header set with http_client_capture_header(), ""
 *	without
 */
struct http_reply {
	int err;
	bool begun;
	int status;
	const char *body;
	size_t size_bytes;
	uint64_t transfer_ns;
	const char *header;
};

/**
 * struct http_client_handler - port that receives the results of calls
 * @ctx: passed to the functions
 * @done: called at the end of each call; may start the next one
 * @connected: called when a new connection is established, with the time that
 *	it took; returns false to end the call with -EBUSY without sending the
 *	request. May be NULL.
 */
struct http_client_handler {
	void *ctx;
	void (*done)(void *ctx, const struct http_reply *reply);
	bool (*connected)(void *ctx, uint64_t connect_ns);
};

struct http_client;

int http_client_open(uv_loop_t *loop, struct http_client_handler handler,
		     struct http_client **out);
int http_client_get(struct http_client *client, uint64_t server,
		    const char *path, uint64_t timeout_ms);
void http_client_capture_header(struct http_client *client, const char *name);
void http_client_cancel(struct http_client *client);
bool http_client_is_busy(const struct http_client *client);
void http_client_close(struct http_client *client);

#endif
