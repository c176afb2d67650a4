/* fetch(): the error code of each kind of failure. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "fetch.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS 5000

/*
 * Server on a free port; answers one connection with @reply, or never if NULL.
 */
struct server {
	int fd;
	char url[64];
	const char *reply;
	size_t body_bytes;
	GThread *thread;
};

static void send_body(int fd, size_t size_bytes)
{
	char block[4096];

	memset(block, 'x', sizeof(block));
	while (size_bytes) {
		size_t n = MIN(size_bytes, sizeof(block));

		if (send(fd, block, n, MSG_NOSIGNAL) < 0)
			return;
		size_bytes -= n;
	}
}

static void *serve(void *ctx)
{
	struct server *server = ctx;
	char request[1024];
	int fd = accept(server->fd, NULL, NULL);

	if (fd < 0)
		return NULL;
	if (recv(fd, request, sizeof(request), 0) > 0 && server->reply) {
		send(fd, server->reply, strlen(server->reply), MSG_NOSIGNAL);
		send_body(fd, server->body_bytes);
	}
	if (!server->reply) /* wait until the client times out */
		(void)!recv(fd, request, sizeof(request), 0);
	close(fd);
	return NULL;
}

static void server_open(struct server *server)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t size = sizeof(at);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(server->fd, (struct sockaddr *)&at, size), 0);
	assert_int_equal(listen(server->fd, 1), 0);
	assert_int_equal(getsockname(server->fd, (struct sockaddr *)&at, &size),
			 0);
	g_snprintf(server->url, sizeof(server->url),
		   "http://127.0.0.1:%u/status", ntohs(at.sin_port));
	server->thread = g_thread_new("server", serve, server);
}

static int fetch_once(const char *reply, size_t body_bytes, uint32_t timeout_ms,
		      GString *body, char error[FETCH_ERROR_BYTES])
{
	struct server server = { .reply = reply, .body_bytes = body_bytes };
	int err;

	server_open(&server);
	err = fetch(server.url, timeout_ms, body, error);
	g_thread_join(server.thread);
	close(server.fd);
	return err;
}

static void each_status_has_its_error(void **unused)
{
	static const struct {
		const char *reply;
		int err;
		const char *body;
		const char *error;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n", 0,
		  "ready\n", "" },
		{ "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\nno\n",
		  -ENOENT, "no\n", "answered 404" },
		{ "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", -EPROTO, "",
		  "answered 500" },
	};
	GString *body = g_string_new("old");
	char error[FETCH_ERROR_BYTES];

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		assert_int_equal(fetch_once(cases[i].reply, 0, WAIT_MS, body,
					    error),
				 cases[i].err);
		assert_string_equal(body->str, cases[i].body);
		assert_string_equal(error, cases[i].error);
	}
	g_string_free(body, TRUE);
}

/*
 * A process accepts the connection and never answers. Without a timeout, a
 * command line tool would hang on this one VM.
 */
static void timeout_and_unreachable_server_are_errors(void **unused)
{
	GString *body = g_string_new(NULL);
	char error[FETCH_ERROR_BYTES];

	(void)unused;
	assert_int_equal(fetch_once(NULL, 0, 50, body, error), -ETIMEDOUT);
	assert_true(error[0] != '\0');
	assert_int_equal(fetch("http://127.0.0.1:1/", WAIT_MS, body, error),
			 -EHOSTUNREACH);
	assert_true(error[0] != '\0');
	g_string_free(body, TRUE);
}

/*
 * Another kind of server answers at the address with an endless body. Without a
 * limit, a command line tool would use up the memory.
 */
static void endless_body_is_an_error(void **unused)
{
	GString *body = g_string_new(NULL);
	char error[FETCH_ERROR_BYTES];

	(void)unused;
	assert_int_equal(fetch_once("HTTP/1.1 200 OK\r\n\r\n", 32U << 20,
				    WAIT_MS, body, error),
			 -EHOSTUNREACH);
	assert_true(body->len <= 16U << 20);
	g_string_free(body, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_status_has_its_error),
		cmocka_unit_test(timeout_and_unreachable_server_are_errors),
		cmocka_unit_test(endless_body_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
