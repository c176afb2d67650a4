#include "http_client.h"

#include "settings.h"

#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

/* A listing has at most 1 MB a page; base64 and JSON add to it. */
#define BODY_MAX_BYTES (8U << 20)
#define CHUNK_BYTES 65536
/* Longest pause within an answer: of a link that others fill, too. */
#define STALL_MS 1500

struct connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct http_client *owner; /* NULL once it was given up */
	bool connected;
	uint64_t begun_ns;
};

struct http_client {
	uv_loop_t *loop;
	uv_timer_t timer;
	struct http_client_handler handler;
	struct connection *connection;
	uint64_t server;
	bool calling;
	http_parser parser;
	GString *body;
	GString *request;
	const char *wanted;
	bool in_wanted;
	uint64_t first_ns; /* first byte of the answer */
	GString *header;
	char chunk[CHUNK_BYTES];
};

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void drop_connection(struct http_client *c)
{
	struct connection *n = c->connection;

	if (!n)
		return;
	n->owner = NULL;
	c->connection = NULL;
	uv_close((uv_handle_t *)&n->tcp, on_closed);
}

static void finish(struct http_client *c, int err)
{
	struct http_reply reply = {
		.err = err,
		.status = err ? 0 : (int)c->parser.status_code,
		.body = c->body->str,
		.size_bytes = c->body->len,
		.transfer_ns = c->first_ns ? uv_hrtime() - c->first_ns : 0,
		.header = c->header->str,
	};

	if (!c->calling)
		return;
	c->calling = false;
	uv_timer_stop(&c->timer);
	if (err || !http_should_keep_alive(&c->parser))
		drop_connection(c);
	c->handler.done(c->handler.ctx, &reply);
}

/* Answers nothing further: a connection that went silent may stay so. */
static void on_timeout(uv_timer_t *timer)
{
	finish(timer->data, -ETIMEDOUT);
}

static int on_body(http_parser *parser, const char *at, size_t size_bytes)
{
	struct http_client *c = parser->data;

	if (c->body->len + size_bytes > BODY_MAX_BYTES)
		return -EMSGSIZE;
	g_string_append_len(c->body, at, (gssize)size_bytes);
	return 0;
}

static int on_header_field(http_parser *parser, const char *at,
			   size_t size_bytes)
{
	struct http_client *c = parser->data;

	c->in_wanted = c->wanted && size_bytes == strlen(c->wanted) &&
		       !g_ascii_strncasecmp(at, c->wanted, size_bytes);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at,
			   size_t size_bytes)
{
	struct http_client *c = parser->data;

	if (c->in_wanted)
		g_string_append_len(c->header, at, (gssize)size_bytes);
	return 0;
}

static int on_complete(http_parser *parser)
{
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parsing = {
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct connection *n = handle->data;

	(void)suggested;
	*buf = n->owner ? uv_buf_init(n->owner->chunk, CHUNK_BYTES)
			: uv_buf_init(NULL, 0);
}

static void parse(struct http_client *c, const char *data, size_t size_bytes)
{
	http_parser_execute(&c->parser, &parsing, data, size_bytes);
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
		http_parser_pause(&c->parser, 0);
		finish(c, 0);
	} else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
		finish(c, -EPROTO);
	}
}

static void on_read(uv_stream_t *stream, ssize_t n_read, const uv_buf_t *buf)
{
	struct connection *n = stream->data;
	struct http_client *c = n->owner;

	if (!c || n_read == 0)
		return;
	if (n_read > 0 && c->calling) {
		if (!c->first_ns)
			c->first_ns = uv_hrtime();
		uv_timer_start(&c->timer, on_timeout, STALL_MS, 0);
		parse(c, buf->base, (size_t)n_read);
		return;
	}
	/* Closed by the server, or bytes that nobody asked for. */
	if (c->calling)
		finish(c, n_read == UV_EOF ? -ECONNRESET : (int)n_read);
	else
		drop_connection(c);
}

static void on_written(uv_write_t *write, int status)
{
	struct connection *n = write->handle->data;

	free(write);
	if (status && n->owner)
		finish(n->owner, status);
}

static void send_request(struct http_client *c)
{
	uv_write_t *write = malloc(sizeof(*write));
	uv_buf_t buf =
		uv_buf_init(c->request->str, (unsigned int)c->request->len);
	int err = write ? 0 : -ENOMEM;

	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	if (write)
		err = uv_write(write, (uv_stream_t *)&c->connection->tcp, &buf,
			       1, on_written);
	if (!err)
		return;
	free(write);
	finish(c, err);
}

static void on_connect(uv_connect_t *connect, int status)
{
	struct connection *n = connect->data;
	struct http_client *c = n->owner;

	if (!c)
		return;
	if (status) {
		finish(c, status);
		return;
	}
	n->connected = true;
	uv_read_start((uv_stream_t *)&n->tcp, on_alloc, on_read);
	if (c->handler.connected &&
	    !c->handler.connected(c->handler.ctx, uv_hrtime() - n->begun_ns)) {
		finish(c, -EBUSY);
		return;
	}
	send_request(c);
}

static int connect_to(struct http_client *c, uint64_t server)
{
	struct connection *n = calloc(1, sizeof(*n));
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(server)),
		.sin_addr.s_addr = htonl(ADDR_IP(server)),
	};

	if (!n)
		return -ENOMEM;
	uv_tcp_init(c->loop, &n->tcp);
	uv_tcp_nodelay(&n->tcp, 1);
	n->tcp.data = n;
	n->connect.data = n;
	n->owner = c;
	n->begun_ns = uv_hrtime();
	c->connection = n;
	c->server = server;
	return uv_tcp_connect(&n->connect, &n->tcp, (struct sockaddr *)&to,
			      on_connect);
}

/**
 * http_client_open() - be ready to call
 * @loop: loop to run on
 * @handler: takes the end of calls
 * @out: set to the caller
 *
 * Return: 0 or -ENOMEM.
 */
int http_client_open(uv_loop_t *loop, struct http_client_handler handler,
		     struct http_client **out)
{
	struct http_client *c = calloc(1, sizeof(*c));

	if (!c)
		return -ENOMEM;
	c->loop = loop;
	c->handler = handler;
	c->body = g_string_new(NULL);
	c->request = g_string_new(NULL);
	c->header = g_string_new(NULL);
	uv_timer_init(loop, &c->timer);
	c->timer.data = c;
	*out = c;
	return 0;
}

/**
 * http_client_get() - start a GET; the one before has to have ended
 * @c: caller
 * @server: address; another one than before costs a new connection
 * @path: path and query
 * @timeout_ms: the answer has to begin within this time. It may take as long as
 *	the link needs, while it goes on: given up and begun anew, a large one
 *	would never come over a narrow link, and each try would fill it.
 *
 * Return: 0, and the handler is called later; -EBUSY; another negative error
 * when it could not be started.
 */
int http_client_get(struct http_client *c, uint64_t server, const char *path,
		    uint64_t timeout_ms)
{
	char host[32];
	int err;

	if (c->calling)
		return -EBUSY;
	g_string_printf(c->request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path,
			addr_text(server, host, sizeof(host)));
	g_string_truncate(c->body, 0);
	g_string_truncate(c->header, 0);
	c->first_ns = 0;
	if (c->connection && (c->server != server || !c->connection->connected))
		drop_connection(c);
	c->calling = true;
	uv_timer_start(&c->timer, on_timeout, timeout_ms, 0);
	if (c->connection) {
		send_request(c);
		return 0;
	}
	err = connect_to(c, server);
	if (!err)
		return 0;
	c->calling = false;
	uv_timer_stop(&c->timer);
	drop_connection(c);
	return err;
}

/**
 * http_client_capture_header() - a header whose value replies are to bring
 * @c: caller
 * @name: its name; not copied
 */
void http_client_capture_header(struct http_client *c, const char *name)
{
	c->wanted = name;
}

/**
 * http_client_cancel() - give up the call under way; the handler is not called
 * @c: caller
 */
void http_client_cancel(struct http_client *c)
{
	if (!c->calling)
		return;
	c->calling = false;
	uv_timer_stop(&c->timer);
	drop_connection(c);
}

/**
 * http_client_is_busy() - whether a call is under way
 * @c: caller
 *
 * Return: whether it is.
 */
bool http_client_is_busy(const struct http_client *c)
{
	return c->calling;
}

/**
 * http_client_close() - end; memory goes when the loop turns again
 * @c: caller, or NULL
 */
void http_client_close(struct http_client *c)
{
	if (!c)
		return;
	drop_connection(c);
	g_string_free(c->body, TRUE);
	g_string_free(c->request, TRUE);
	g_string_free(c->header, TRUE);
	uv_close((uv_handle_t *)&c->timer, on_closed);
}
