#define _GNU_SOURCE

#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_MAX_BYTES (2u << 20)
#define READ_BYTES 65536
#define LISTEN_BACKLOG 512

struct connection {
	uv_tcp_t tcp;
	struct http_server *server;
	struct connection *next;
	struct connection **link;
	http_parser parser;
	GString *unread; /* received, not yet parsed */
	GString *url;
	GString *body;
	struct http_request *pending;
	bool complete;
	bool parsing;
	bool close_after_write;
	char chunk[READ_BYTES];
};

struct http_server {
	uv_tcp_t tcp;
	struct http_handler handler;
	struct connection *connections;
	uint32_t open_handles;
};

/*
 * A request that waits for http_respond(). It outlives its connection: a peer
 * that goes away leaves it with no connection, and its answer is dropped.
 */
struct http_request {
	struct connection *connection;
	GString *headers;
	bool keep_alive;
	bool head;
};

struct reply {
	uv_write_t write;
	GString *text;
};

static void parse_unread(struct connection *c);

static void release(struct http_server *s)
{
	if (--s->open_handles == 0)
		free(s);
}

static void connection_closed(uv_handle_t *h)
{
	struct connection *c = h->data;

	g_string_free(c->unread, TRUE);
	g_string_free(c->url, TRUE);
	g_string_free(c->body, TRUE);
	release(c->server);
	free(c);
}

static void connection_close(struct connection *c)
{
	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	if (c->pending)
		c->pending->connection = NULL;
	c->pending = NULL;
	*c->link = c->next;
	if (c->next)
		c->next->link = c->link;
	uv_close((uv_handle_t *)&c->tcp, connection_closed);
}

static void written(uv_write_t *w, int status)
{
	struct reply *r = w->data;
	struct connection *c = w->handle->data;

	if (status < 0 || c->close_after_write)
		connection_close(c);
	g_string_free(r->text, TRUE);
	free(r);
}

static void send_text(struct connection *c, GString *take)
{
	struct reply *r = calloc(1, sizeof(*r));
	uv_buf_t buf = uv_buf_init(take->str, take->len);

	if (!r) {
		g_string_free(take, TRUE);
		connection_close(c);
		return;
	}
	r->text = take;
	r->write.data = r;
	if (uv_write(&r->write, (uv_stream_t *)&c->tcp, &buf, 1, written) < 0) {
		g_string_free(take, TRUE);
		free(r);
		connection_close(c);
	}
}

static GString *reply_text(const struct http_request *req, int status,
			   const GString *body)
{
	GString *t = g_string_new(NULL);
	size_t size_bytes = body ? body->len : 0;

	g_string_printf(t, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s%s\r\n",
			status, http_status_str(status), size_bytes,
			req->keep_alive ? "" : "Connection: close\r\n",
			req->headers->str);
	if (body && !req->head)
		g_string_append_len(t, body->str, body->len);
	return t;
}

/**
 * http_respond() - answer a request and free it
 * @req: request whose handler returned HTTP_DEFERRED
 * @status: status code
 * @body: body, may be NULL; stays the caller's
 *
 * When the peer has gone away, the request is freed and nothing is sent.
 */
void http_respond(struct http_request *req, int status, const GString *body)
{
	struct connection *c = req->connection;

	if (c) {
		c->pending = NULL;
		c->close_after_write = !req->keep_alive;
		send_text(c, reply_text(req, status, body));
	}
	g_string_free(req->headers, TRUE);
	g_free(req);
	if (c && !c->parsing)
		parse_unread(c);
}

/**
 * http_add_header() - add a header to a request's answer
 * @req: request
 * @name: header's name
 * @value: its value, without line breaks
 */
void http_add_header(struct http_request *req, const char *name,
		     const char *value)
{
	g_string_append_printf(req->headers, "%s: %s\r\n", name, value);
}

static struct http_request *request_new(struct connection *c, bool keep_alive)
{
	struct http_request *req = g_new0(struct http_request, 1);

	req->connection = c;
	req->headers = g_string_new(NULL);
	req->keep_alive = keep_alive;
	req->head = c->parser.method == HTTP_HEAD;
	c->pending = req;
	return req;
}

static void refuse(struct connection *c, int status)
{
	http_respond(request_new(c, false), status, NULL);
}

static void dispatch(struct connection *c)
{
	const struct http_handler *h = &c->server->handler;
	const char *method = http_method_str(c->parser.method);
	bool keep_alive = http_should_keep_alive(&c->parser);
	struct http_request *req = request_new(c, keep_alive);
	GString *body = g_string_new(NULL);
	char *query = strchr(c->url->str, '?');
	int status;

	if (query)
		*query++ = '\0';
	status = h->handle(h->ctx, req, method, c->url->str, query ? query : "",
			   c->body, body);
	if (status != HTTP_DEFERRED)
		http_respond(req, status, body);
	g_string_free(body, TRUE);
}

static int on_begin(http_parser *p)
{
	struct connection *c = p->data;

	g_string_truncate(c->url, 0);
	g_string_truncate(c->body, 0);
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct connection *c = p->data;

	g_string_append_len(c->url, at, n);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct connection *c = p->data;

	if (c->body->len + n > REQUEST_MAX_BYTES)
		return -1;
	g_string_append_len(c->body, at, n);
	return 0;
}

/* Pipelined requests wait until this one is answered. */
static int on_complete(http_parser *p)
{
	struct connection *c = p->data;

	c->complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static bool parse_one(struct connection *c)
{
	enum http_errno error;
	size_t n;

	c->complete = false;
	http_parser_pause(&c->parser, 0);
	n = http_parser_execute(&c->parser, &callbacks, c->unread->str,
				c->unread->len);
	g_string_erase(c->unread, 0, n);
	if (c->complete)
		return true;
	error = HTTP_PARSER_ERRNO(&c->parser);
	if (error == HPE_CB_body)
		refuse(c, HTTP_STATUS_PAYLOAD_TOO_LARGE);
	else if (error != HPE_OK || c->parser.upgrade)
		refuse(c, HTTP_STATUS_BAD_REQUEST);
	return false;
}

static bool may_parse(const struct connection *c)
{
	return !c->pending && !c->close_after_write && c->unread->len > 0 &&
	       !uv_is_closing((const uv_handle_t *)&c->tcp);
}

static void parse_unread(struct connection *c)
{
	c->parsing = true;
	while (may_parse(c)) {
		if (!parse_one(c))
			break;
		dispatch(c);
	}
	c->parsing = false;
}

static void on_alloc(uv_handle_t *h, size_t hint, uv_buf_t *buf)
{
	struct connection *c = h->data;

	(void)hint;
	*buf = uv_buf_init(c->chunk, sizeof(c->chunk));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct connection *c = stream->data;

	if (n < 0 || c->unread->len + n > REQUEST_MAX_BYTES) {
		connection_close(c);
		return;
	}
	if (c->close_after_write)
		return;
	g_string_append_len(c->unread, buf->base, n);
	if (!c->parsing)
		parse_unread(c);
}

static void connection_open(struct http_server *s, struct connection *c)
{
	uv_tcp_init(s->tcp.loop, &c->tcp);
	s->open_handles++;
	c->tcp.data = c;
	c->server = s;
	c->unread = g_string_new(NULL);
	c->url = g_string_new(NULL);
	c->body = g_string_new(NULL);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	c->next = s->connections;
	if (c->next)
		c->next->link = &c->next;
	c->link = &s->connections;
	s->connections = c;
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct http_server *s = listener->data;
	struct connection *c;

	if (status < 0)
		return;
	c = calloc(1, sizeof(*c));
	if (!c)
		return;
	connection_open(s, c);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) < 0 ||
	    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read) < 0)
		connection_close(c);
}

static void listener_closed(uv_handle_t *h)
{
	release(h->data);
}

static int start(struct http_server *s, uint64_t addr)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};
	int rc;

	rc = uv_tcp_bind(&s->tcp, (struct sockaddr *)&sin, 0);
	if (rc < 0)
		return rc;
	return uv_listen((uv_stream_t *)&s->tcp, LISTEN_BACKLOG, on_connection);
}

/**
 * http_server_open() - serve HTTP/1.1 on an address
 * @loop: loop that runs the handler
 * @addr: where to listen
 * @handler: who answers
 * @out: the server, to be closed with http_server_close()
 *
 * Return: 0, or a negative error number of bind or listen.
 */
int http_server_open(uv_loop_t *loop, uint64_t addr,
		     struct http_handler handler, struct http_server **out)
{
	struct http_server *s = calloc(1, sizeof(*s));
	int rc;

	if (!s)
		return -ENOMEM;
	rc = uv_tcp_init(loop, &s->tcp);
	if (rc < 0) {
		free(s);
		return rc;
	}
	s->handler = handler;
	s->open_handles = 1;
	s->tcp.data = s;
	rc = start(s, addr);
	if (rc < 0) {
		http_server_close(s);
		return rc;
	}
	*out = s;
	return 0;
}

/**
 * http_server_close() - stop listening and drop every connection
 * @s: server; freed when the loop has run its close callbacks
 *
 * Requests that wait for an answer stay good for http_respond().
 */
void http_server_close(struct http_server *s)
{
	while (s->connections)
		connection_close(s->connections);
	uv_close((uv_handle_t *)&s->tcp, listener_closed);
}

/**
 * http_query_parameter() - read one parameter of a query string
 * @query: text after the question mark
 * @name: parameter's name
 * @buf: room for its value, decoded
 * @size_bytes: size of @buf
 *
 * Return: whether it is there, well coded and short enough.
 */
bool http_query_parameter(const char *query, const char *name, char *buf,
			  size_t size_bytes)
{
	size_t n = strlen(name);
	const char *at = query;
	const char *end;
	char *value;
	bool fits;

	while (strncmp(at, name, n) != 0 || at[n] != '=') {
		at = strchr(at, '&');
		if (!at)
			return false;
		at++;
	}
	at += n + 1;
	end = strchrnul(at, '&');
	value = g_uri_unescape_segment(at, end, NULL);
	fits = value && strlen(value) < size_bytes;
	if (fits)
		strcpy(buf, value);
	g_free(value);
	return fits;
}
