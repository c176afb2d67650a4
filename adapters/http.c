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

/**
 * struct connection - connection of a client
 * @tcp: socket
 * @server: server that owns the connection
 * @next: next connection of the server
 * @prev_next: pointer that points to this connection in the server's list
 * @parser: state of the HTTP parser
 * @unread: received bytes that are not parsed yet
 * @url: path and query of the current request
 * @body: body of the current request
 * @pending: request that waits for its answer, or NULL
 * @is_complete: the parser reached the end of a request
 * @is_parsing: parse_unread() is running, so that http_respond() must not call
 *	it
 * @close_after_write: close once the answer is sent
 * @read_buffer: buffer for reading from the socket
 */
struct connection {
	uv_tcp_t tcp;
	struct http_server *server;
	struct connection *next;
	struct connection **prev_next;
	http_parser parser;
	GString *unread;
	GString *url;
	GString *body;
	struct http_request *pending;
	bool is_complete;
	bool is_parsing;
	bool close_after_write;
	char read_buffer[READ_BYTES];
};

/**
 * struct http_server - HTTP server
 * @tcp: listening socket
 * @handler: handler of all requests
 * @connections: open connections
 * @open_handles: number of libuv handles not closed yet, of the listener and
 *	the connections; the server is freed with the last one
 */
struct http_server {
	uv_tcp_t tcp;
	struct http_handler handler;
	struct connection *connections;
	uint32_t open_handles;
};

/**
 * struct http_request - request until http_respond()
 *
 * It may outlive its connection: when the client closes it, @connection becomes
 * NULL and the answer is dropped.
 *
 * @connection: connection, or NULL
 * @headers: header lines for the answer
 * @keep_alive: the connection stays open after the answer
 * @is_head: HEAD request, answered without a body
 */
struct http_request {
	struct connection *connection;
	GString *headers;
	bool keep_alive;
	bool is_head;
};

struct reply {
	uv_write_t write;
	GString *text;
};

static void parse_unread(struct connection *conn);

static void release_handle(struct http_server *server)
{
	if (--server->open_handles == 0)
		free(server);
}

static void on_connection_closed(uv_handle_t *handle)
{
	struct connection *conn = handle->data;

	g_string_free(conn->unread, TRUE);
	g_string_free(conn->url, TRUE);
	g_string_free(conn->body, TRUE);
	release_handle(conn->server);
	free(conn);
}

static void close_connection(struct connection *conn)
{
	if (uv_is_closing((uv_handle_t *)&conn->tcp))
		return;
	if (conn->pending)
		conn->pending->connection = NULL;
	conn->pending = NULL;
	*conn->prev_next = conn->next;
	if (conn->next)
		conn->next->prev_next = conn->prev_next;
	uv_close((uv_handle_t *)&conn->tcp, on_connection_closed);
}

static void on_written(uv_write_t *write, int status)
{
	struct reply *reply = write->data;
	struct connection *conn = write->handle->data;

	if (status < 0 || conn->close_after_write)
		close_connection(conn);
	g_string_free(reply->text, TRUE);
	free(reply);
}

static void send_reply(struct connection *conn, GString *text)
{
	struct reply *reply = calloc(1, sizeof(*reply));
	uv_buf_t buf = uv_buf_init(text->str, text->len);

	if (!reply) {
		g_string_free(text, TRUE);
		close_connection(conn);
		return;
	}
	reply->text = text;
	reply->write.data = reply;
	if (uv_write(&reply->write, (uv_stream_t *)&conn->tcp, &buf, 1,
		     on_written) < 0) {
		g_string_free(text, TRUE);
		free(reply);
		close_connection(conn);
	}
}

static GString *format_reply(const struct http_request *req, int status,
			     const GString *body)
{
	GString *text = g_string_new(NULL);
	size_t size_bytes = body ? body->len : 0;

	g_string_printf(text,
			"HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s%s\r\n",
			status, http_status_str(status), size_bytes,
			req->keep_alive ? "" : "Connection: close\r\n",
			req->headers->str);
	if (body && !req->is_head)
		g_string_append_len(text, body->str, body->len);
	return text;
}

/**
 * http_respond() - answer a request and free it
 * @req: request whose handler returned HTTP_DEFERRED
 * @status: HTTP status code
 * @body: body, owned by the caller; NULL for an empty one
 *
 * When the client has closed the connection, nothing is sent.
 */
void http_respond(struct http_request *req, int status, const GString *body)
{
	struct connection *conn = req->connection;

	if (conn) {
		conn->pending = NULL;
		conn->close_after_write = !req->keep_alive;
		send_reply(conn, format_reply(req, status, body));
	}
	g_string_free(req->headers, TRUE);
	g_free(req);
	if (conn && !conn->is_parsing)
		parse_unread(conn);
}

/**
 * http_add_header() - add a header to the answer of a request
 * @req: request
 * @name: name of the header
 * @value: value of the header, without line breaks
 */
void http_add_header(struct http_request *req, const char *name,
		     const char *value)
{
	g_string_append_printf(req->headers, "%s: %s\r\n", name, value);
}

static struct http_request *new_request(struct connection *conn,
					bool keep_alive)
{
	struct http_request *req = g_new0(struct http_request, 1);

	req->connection = conn;
	req->headers = g_string_new(NULL);
	req->keep_alive = keep_alive;
	req->is_head = conn->parser.method == HTTP_HEAD;
	conn->pending = req;
	return req;
}

static void reject(struct connection *conn, int status)
{
	http_respond(new_request(conn, false), status, NULL);
}

static void dispatch_request(struct connection *conn)
{
	const struct http_handler *handler = &conn->server->handler;
	const char *method = http_method_str(conn->parser.method);
	bool keep_alive = http_should_keep_alive(&conn->parser);
	struct http_request *req = new_request(conn, keep_alive);
	GString *body = g_string_new(NULL);
	char *query = strchr(conn->url->str, '?');
	int status;

	if (query)
		*query++ = '\0';
	status = handler->handle(handler->ctx, req, method, conn->url->str,
				 query ? query : "", conn->body, body);
	if (status != HTTP_DEFERRED)
		http_respond(req, status, body);
	g_string_free(body, TRUE);
}

static int on_begin(http_parser *parser)
{
	struct connection *conn = parser->data;

	g_string_truncate(conn->url, 0);
	g_string_truncate(conn->body, 0);
	return 0;
}

static int on_url(http_parser *parser, const char *data, size_t size_bytes)
{
	struct connection *conn = parser->data;

	g_string_append_len(conn->url, data, size_bytes);
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size_bytes)
{
	struct connection *conn = parser->data;

	if (conn->body->len + size_bytes > REQUEST_MAX_BYTES)
		return -1;
	g_string_append_len(conn->body, data, size_bytes);
	return 0;
}

/* Pauses the parser: pipelined requests wait until this one is answered. */
static int on_complete(http_parser *parser)
{
	struct connection *conn = parser->data;

	conn->is_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static bool parse_one(struct connection *conn)
{
	enum http_errno error;
	size_t n_parsed;

	conn->is_complete = false;
	http_parser_pause(&conn->parser, 0);
	n_parsed = http_parser_execute(&conn->parser, &callbacks,
				       conn->unread->str, conn->unread->len);
	g_string_erase(conn->unread, 0, n_parsed);
	if (conn->is_complete)
		return true;
	error = HTTP_PARSER_ERRNO(&conn->parser);
	if (error == HPE_CB_body)
		reject(conn, HTTP_STATUS_PAYLOAD_TOO_LARGE);
	else if (error != HPE_OK || conn->parser.upgrade)
		reject(conn, HTTP_STATUS_BAD_REQUEST);
	return false;
}

static bool can_parse(const struct connection *conn)
{
	return !conn->pending && !conn->close_after_write &&
	       conn->unread->len > 0 &&
	       !uv_is_closing((const uv_handle_t *)&conn->tcp);
}

static void parse_unread(struct connection *conn)
{
	conn->is_parsing = true;
	while (can_parse(conn)) {
		if (!parse_one(conn))
			break;
		dispatch_request(conn);
	}
	conn->is_parsing = false;
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	struct connection *conn = handle->data;

	(void)hint;
	*buf = uv_buf_init(conn->read_buffer, sizeof(conn->read_buffer));
}

static void on_read(uv_stream_t *stream, ssize_t n_read, const uv_buf_t *buf)
{
	struct connection *conn = stream->data;

	if (n_read < 0 || conn->unread->len + n_read > REQUEST_MAX_BYTES) {
		close_connection(conn);
		return;
	}
	if (conn->close_after_write)
		return;
	g_string_append_len(conn->unread, buf->base, n_read);
	if (!conn->is_parsing)
		parse_unread(conn);
}

static void init_connection(struct http_server *server, struct connection *conn)
{
	uv_tcp_init(server->tcp.loop, &conn->tcp);
	server->open_handles++;
	conn->tcp.data = conn;
	conn->server = server;
	conn->unread = g_string_new(NULL);
	conn->url = g_string_new(NULL);
	conn->body = g_string_new(NULL);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->next = server->connections;
	if (conn->next)
		conn->next->prev_next = &conn->next;
	conn->prev_next = &server->connections;
	server->connections = conn;
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct http_server *server = listener->data;
	struct connection *conn;

	if (status < 0)
		return;
	conn = calloc(1, sizeof(*conn));
	if (!conn)
		return;
	init_connection(server, conn);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) < 0 ||
	    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) < 0)
		close_connection(conn);
}

static void on_listener_closed(uv_handle_t *handle)
{
	release_handle(handle->data);
}

static int listen_on(struct http_server *server, uint64_t addr)
{
	struct sockaddr_in listen_addr = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(addr)),
		.sin_addr.s_addr = htonl(ADDR_IP(addr)),
	};
	int err;

	err = uv_tcp_bind(&server->tcp, (struct sockaddr *)&listen_addr, 0);
	if (err < 0)
		return err;
	return uv_listen((uv_stream_t *)&server->tcp, LISTEN_BACKLOG,
			 on_connection);
}

/**
 * http_server_open() - serve HTTP/1.1 on an address
 * @loop: event loop that runs the server and its handler
 * @addr: address to listen on, see ADDR()
 * @handler: handler of all requests
 * @out: server, to be closed with http_server_close()
 *
 * Return: 0; -ENOMEM; or the negative error number of bind or listen.
 */
int http_server_open(uv_loop_t *loop, uint64_t addr,
		     struct http_handler handler, struct http_server **out)
{
	struct http_server *server = calloc(1, sizeof(*server));
	int err;

	if (!server)
		return -ENOMEM;
	err = uv_tcp_init(loop, &server->tcp);
	if (err < 0) {
		free(server);
		return err;
	}
	server->handler = handler;
	server->open_handles = 1;
	server->tcp.data = server;
	err = listen_on(server, addr);
	if (err < 0) {
		http_server_close(server);
		return err;
	}
	*out = server;
	return 0;
}

/**
 * http_server_close() - stop listening and close all connections
 * @server: server; freed when the loop has run its close callbacks
 *
 * Deferred requests remain valid and must still be passed to http_respond().
 */
void http_server_close(struct http_server *server)
{
	while (server->connections)
		close_connection(server->connections);
	uv_close((uv_handle_t *)&server->tcp, on_listener_closed);
}

/**
 * http_query_parameter() - get a parameter of a query string
 * @query: query string without the question mark
 * @name: name of the parameter
 * @buf: decoded value; unchanged on failure
 * @size_bytes: size of @buf
 *
 * Return: whether the parameter is present, validly encoded and fits @buf.
 */
bool http_query_parameter(const char *query, const char *name, char *buf,
			  size_t size_bytes)
{
	size_t name_length = strlen(name);
	const char *at = query;
	const char *end;
	char *value;
	bool is_valid;

	while (strncmp(at, name, name_length) != 0 || at[name_length] != '=') {
		at = strchr(at, '&');
		if (!at)
			return false;
		at++;
	}
	at += name_length + 1;
	end = strchrnul(at, '&');
	value = g_uri_unescape_segment(at, end, NULL);
	is_valid = value && strlen(value) < size_bytes;
	if (is_valid)
		strcpy(buf, value);
	g_free(value);
	return is_valid;
}
