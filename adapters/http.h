/* Small HTTP/1.1 server for operators' pages, on libuv and http-parser. */
#ifndef CB_HTTP_H
#define CB_HTTP_H

#include "types.h"

#include <glib.h>
#include <uv.h>

struct http_server;
struct http_request;

/**
 * struct http_handler - port that answers requests
 * @ctx: passed to @handle
 * @handle: answers the request for @method and @path with @query, "" without
 *	one; @request_body is its body. Writes the answer's body to @reply_body
 *	and returns the status code, or returns HTTP_DEFERRED to answer later
 *	with http_respond().
 */
struct http_handler {
	void *ctx;
	int (*handle)(void *ctx, struct http_request *req, const char *method,
		      const char *path, const char *query,
		      const GString *request_body, GString *reply_body);
};

#define HTTP_DEFERRED 0

int http_server_open(uv_loop_t *loop, uint64_t addr,
		     struct http_handler handler, struct http_server **out);
void http_add_header(struct http_request *req, const char *name,
		     const char *value);
void http_respond(struct http_request *req, int status, const GString *body);
void http_server_close(struct http_server *server);
bool http_query_parameter(const char *query, const char *name, char *buf,
			  size_t size_bytes);

#endif
