/* fetch(): each way in which an answer can go wrong has its error. */
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

/* Listens on a free port; answers one connection with @reply, or never. */
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
	struct server *s = ctx;
	char request[1024];
	int fd = accept(s->fd, NULL, NULL);

	if (fd < 0)
		return NULL;
	if (recv(fd, request, sizeof(request), 0) > 0 && s->reply) {
		send(fd, s->reply, strlen(s->reply), MSG_NOSIGNAL);
		send_body(fd, s->body_bytes);
	}
	if (!s->reply) /* until the client gives up */
		(void)!recv(fd, request, sizeof(request), 0);
	close(fd);
	return NULL;
}

static void server_open(struct server *s)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t size = sizeof(at);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(s->fd, (struct sockaddr *)&at, size), 0);
	assert_int_equal(listen(s->fd, 1), 0);
	assert_int_equal(getsockname(s->fd, (struct sockaddr *)&at, &size), 0);
	g_snprintf(s->url, sizeof(s->url), "http://127.0.0.1:%u/status",
		   ntohs(at.sin_port));
	s->thread = g_thread_new("server", serve, s);
}

static int fetch_once(const char *reply, size_t body_bytes, uint32_t timeout_ms,
		      GString *body, char error[FETCH_ERROR_BYTES])
{
	struct server s = { .reply = reply, .body_bytes = body_bytes };
	int err;

	server_open(&s);
	err = fetch(s.url, timeout_ms, body, error);
	g_thread_join(s.thread);
	close(s.fd);
	return err;
}

static void statuses_are_told_apart(void **unused)
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
 * Symptom: an operator's tool hangs on one VM of a fleet. Events: the process
 * there accepts and never answers. Cause: a call without a timeout.
 */
static void silence_and_absence_are_errors(void **unused)
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
 * Symptom: an operator's tool takes all memory. Events: something else answers
 * at the address, without an end. Cause: a body of any size was kept.
 */
static void a_body_without_end_is_an_error(void **unused)
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
		cmocka_unit_test(statuses_are_told_apart),
		cmocka_unit_test(silence_and_absence_are_errors),
		cmocka_unit_test(a_body_without_end_is_an_error),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
