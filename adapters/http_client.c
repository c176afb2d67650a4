#include "http_client.h"

#include "settings.h"

#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define READ_BYTES 65536
/* Longest pause within an answer, allowing for a congested link. */
#define STALL_MS 1500

/**
 * struct connection - connection to a server
 * @tcp: socket
 * @connect: libuv's request to connect
 * @client: client that uses the connection; NULL once it is being closed
 * @is_connected: the connection is established
 * @connect_started_ns: when connecting began
 */
struct connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct http_client *client;
	bool is_connected;
	uint64_t connect_started_ns;
};

/**
 * struct http_client - HTTP client
 * @loop: event loop
 * @timer: ends a call whose answer doesn't begin in time or stalls, or that
 *	could not be started
 * @handler: called at the end of calls
 * @connection: current connection, or NULL
 * @server: address that @connection is made to
 * @is_busy: a call is in progress
 * @start_err: why the call could not be started
 * @parser: state of the HTTP parser
 * @body: body of the answer
 * @request: text of the request
 * @captured_name: name of the header to capture, or NULL
 * @in_captured: the parser is at a header of that name
 * @first_byte_ns: when the first byte of the answer arrived, 0 before
 * @captured_value: value of the captured header
 * @read_buffer: buffer for reading from the socket
 */
struct http_client {
	uv_loop_t *loop;
	uv_timer_t timer;
	struct http_client_handler handler;
	struct connection *connection;
	uint64_t server;
	bool is_busy;
	int start_err;
	http_parser parser;
	GString *body;
	GString *request;
	const char *captured_name;
	bool in_captured;
	uint64_t first_byte_ns;
	GString *captured_value;
	char read_buffer[READ_BYTES];
};

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void close_connection(struct http_client *client)
{
	struct connection *conn = client->connection;

	if (!conn)
		return;
	conn->client = NULL;
	client->connection = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void end_call(struct http_client *client, int err)
{
	struct http_reply reply = {
		.err = err,
		.begun = client->first_byte_ns,
		.status = err ? 0 : (int)client->parser.status_code,
		.body = client->body->str,
		.size_bytes = client->body->len,
		.transfer_ns = client->first_byte_ns
				       ? uv_hrtime() - client->first_byte_ns
				       : 0,
		.header = client->captured_value->str,
	};

	if (!client->is_busy)
		return;
	client->is_busy = false;
	uv_timer_stop(&client->timer);
	if (err || !http_should_keep_alive(&client->parser))
		close_connection(client);
	client->handler.done(client->handler.ctx, &reply);
}

/* end_call() closes the connection, as it may stay silent. */
static void on_timeout(uv_timer_t *timer)
{
	end_call(timer->data, -ETIMEDOUT);
}

static void on_start_failed(uv_timer_t *timer)
{
	struct http_client *client = timer->data;

	end_call(client, client->start_err);
}

static int on_body(http_parser *parser, const char *data, size_t size_bytes)
{
	struct http_client *client = parser->data;

	if (client->body->len + size_bytes > HTTP_BODY_MAX_BYTES)
		return -EMSGSIZE;
	g_string_append_len(client->body, data, (gssize)size_bytes);
	return 0;
}

static int on_header_field(http_parser *parser, const char *data,
			   size_t size_bytes)
{
	struct http_client *client = parser->data;

	client->in_captured =
		client->captured_name &&
		size_bytes == strlen(client->captured_name) &&
		!g_ascii_strncasecmp(data, client->captured_name, size_bytes);
	return 0;
}

static int on_header_value(http_parser *parser, const char *data,
			   size_t size_bytes)
{
	struct http_client *client = parser->data;

	if (client->in_captured)
		g_string_append_len(client->captured_value, data,
				    (gssize)size_bytes);
	return 0;
}

static int on_complete(http_parser *parser)
{
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_callbacks = {
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct connection *conn = handle->data;

	(void)suggested;
	*buf = conn->client ? uv_buf_init(conn->client->read_buffer, READ_BYTES)
			    : uv_buf_init(NULL, 0);
}

static void parse(struct http_client *client, const char *data,
		  size_t size_bytes)
{
	http_parser_execute(&client->parser, &parser_callbacks, data,
			    size_bytes);
	switch (HTTP_PARSER_ERRNO(&client->parser)) {
	case HPE_OK:
		return;
	case HPE_PAUSED:
		http_parser_pause(&client->parser, 0);
		end_call(client, 0);
		return;
	case HPE_CB_body:
		end_call(client, -EMSGSIZE);
		return;
	default:
		end_call(client, -EPROTO);
	}
}

static void on_read(uv_stream_t *stream, ssize_t n_read, const uv_buf_t *buf)
{
	struct connection *conn = stream->data;
	struct http_client *client = conn->client;

	if (!client || n_read == 0)
		return;
	if (n_read > 0 && client->is_busy) {
		if (!client->first_byte_ns)
			client->first_byte_ns = uv_hrtime();
		uv_timer_start(&client->timer, on_timeout, STALL_MS, 0);
		parse(client, buf->base, (size_t)n_read);
		return;
	}
	/* Closed by the server, or bytes without a request. */
	if (client->is_busy)
		end_call(client, n_read == UV_EOF ? -ECONNRESET : (int)n_read);
	else
		close_connection(client);
}

static void on_written(uv_write_t *write, int status)
{
	struct connection *conn = write->handle->data;

	free(write);
	if (status && conn->client)
		end_call(conn->client, status);
}

static int send_request(struct http_client *client)
{
	uv_write_t *write = malloc(sizeof(*write));
	uv_buf_t buf = uv_buf_init(client->request->str,
				   (unsigned int)client->request->len);
	int err = write ? 0 : -ENOMEM;

	http_parser_init(&client->parser, HTTP_RESPONSE);
	client->parser.data = client;
	if (write)
		err = uv_write(write, (uv_stream_t *)&client->connection->tcp,
			       &buf, 1, on_written);
	if (err)
		free(write);
	return err;
}

static void on_connect(uv_connect_t *connect, int status)
{
	struct connection *conn = connect->data;
	struct http_client *client = conn->client;
	int err;

	if (!client)
		return;
	if (status) {
		end_call(client, status);
		return;
	}
	conn->is_connected = true;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	if (client->handler.connected &&
	    !client->handler.connected(client->handler.ctx,
				       uv_hrtime() -
					       conn->connect_started_ns)) {
		end_call(client, -EBUSY);
		return;
	}
	err = send_request(client);
	if (err)
		end_call(client, err);
}

static int start_connect(struct http_client *client, uint64_t server)
{
	struct connection *conn = calloc(1, sizeof(*conn));
	struct sockaddr_in server_addr = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(server)),
		.sin_addr.s_addr = htonl(ADDR_IP(server)),
	};

	if (!conn)
		return -ENOMEM;
	uv_tcp_init(client->loop, &conn->tcp);
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->tcp.data = conn;
	conn->connect.data = conn;
	conn->client = client;
	conn->connect_started_ns = uv_hrtime();
	client->connection = conn;
	client->server = server;
	return uv_tcp_connect(&conn->connect, &conn->tcp,
			      (struct sockaddr *)&server_addr, on_connect);
}

/**
 * http_client_open() - create a client; it connects at the first call
 * @loop: event loop that runs the client and its handler
 * @handler: called at the end of calls
 * @out: client, to be closed with http_client_close()
 *
 * Return: 0 or -ENOMEM.
 */
int http_client_open(uv_loop_t *loop, struct http_client_handler handler,
		     struct http_client **out)
{
	struct http_client *client = calloc(1, sizeof(*client));

	if (!client)
		return -ENOMEM;
	client->loop = loop;
	client->handler = handler;
	client->body = g_string_new(NULL);
	client->request = g_string_new(NULL);
	client->captured_value = g_string_new(NULL);
	uv_timer_init(loop, &client->timer);
	client->timer.data = client;
	*out = client;
	return 0;
}

/**
 * http_client_get() - start a GET request
 * @client: client without a call in progress
 * @server: address of the server, see ADDR(); a change needs a new connection
 * @path: path and query
 * @timeout_ms: time within which the answer must begin, in milliseconds
 *
 * The time for the rest of the answer is not limited while bytes keep arriving.
 * With a limit, a large answer would never be complete over a slow link, and
 * each new attempt would fill the link.
 *
 * Return: 0, and the handler is called at the end, never before this function
 * returns; -EBUSY while a call is in progress.
 */
int http_client_get(struct http_client *client, uint64_t server,
		    const char *path, uint64_t timeout_ms)
{
	char host[32];

	if (client->is_busy)
		return -EBUSY;
	g_string_printf(client->request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
			path, addr_text(server, host, sizeof(host)));
	g_string_truncate(client->body, 0);
	g_string_truncate(client->captured_value, 0);
	client->first_byte_ns = 0;
	if (client->connection &&
	    (client->server != server || !client->connection->is_connected))
		close_connection(client);
	client->is_busy = true;
	client->start_err = client->connection ? send_request(client)
					       : start_connect(client, server);
	if (client->start_err)
		uv_timer_start(&client->timer, on_start_failed, 0, 0);
	else
		uv_timer_start(&client->timer, on_timeout, timeout_ms, 0);
	return 0;
}

/**
 * http_client_capture_header() - pass the value of a header with each reply
 * @client: client
 * @name: name of the header, without regard to case; not copied, must stay
 *	valid
 */
void http_client_capture_header(struct http_client *client, const char *name)
{
	client->captured_name = name;
}

/**
 * http_client_cancel() - abort the call in progress without calling the handler
 * @client: client, with or without a call in progress
 */
void http_client_cancel(struct http_client *client)
{
	if (!client->is_busy)
		return;
	client->is_busy = false;
	uv_timer_stop(&client->timer);
	close_connection(client);
}

/**
 * http_client_is_busy() - check whether a call is in progress
 * @client: client
 *
 * Return: true between http_client_get() and the end of its call.
 */
bool http_client_is_busy(const struct http_client *client)
{
	return client->is_busy;
}

/**
 * http_client_close() - close a client, without calling its handler
 * @client: client, freed when the loop has run its close callbacks; or NULL
 */
void http_client_close(struct http_client *client)
{
	if (!client)
		return;
	close_connection(client);
	g_string_free(client->body, TRUE);
	g_string_free(client->request, TRUE);
	g_string_free(client->captured_value, TRUE);
	uv_close((uv_handle_t *)&client->timer, on_closed);
}
