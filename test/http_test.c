/* HTTP server of the operators' pages, over loopback in one event loop. */
#include "http.h"

#include "loopback.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define SERVER ADDR(loopback_host(), 17080)
#define LOOP_RUNS_MAX 2000
#define TOO_LARGE_BYTES (3u << 20)

struct fixture {
	uv_loop_t loop;
	struct http_server *server;
	struct http_request *deferred;
	uint32_t handled;
	int fd;
};

static int handle(void *ctx, struct http_request *req, const char *method,
		  const char *path, const char *query, const GString *in,
		  GString *body)
{
	struct fixture *fixture = ctx;

	fixture->handled++;
	if (strcmp(path, "/later") == 0) {
		fixture->deferred = req;
		return HTTP_DEFERRED;
	}
	http_add_header(req, "X-Revision", "7");
	g_string_printf(body, "%s %s %s %zu", method, path, query, in->len);
	return 200;
}

static void run_loop_once(struct fixture *fixture)
{
	uv_run(&fixture->loop, UV_RUN_NOWAIT);
	usleep(100);
}

static void connect_client(struct fixture *fixture)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(SERVER)),
		.sin_addr.s_addr = htonl(ADDR_IP(SERVER)),
	};

	fixture->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(fixture->fd, (void *)&sin, sizeof(sin)), 0);
}

static int setup(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct http_handler h = { .ctx = fixture, .handle = handle };

	uv_loop_init(&fixture->loop);
	assert_int_equal(http_server_open(&fixture->loop, SERVER, h,
					  &fixture->server),
			 0);
	connect_client(fixture);
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *fixture = *state;

	close(fixture->fd);
	http_server_close(fixture->server);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&fixture->loop), 0);
	g_free(fixture);
	return 0;
}

static void send_text(struct fixture *fixture, const char *text)
{
	ssize_t n = strlen(text);

	assert_int_equal(send(fixture->fd, text, n, MSG_NOSIGNAL), n);
}

/* Runs the loop until the received text contains @want; returns the text. */
static GString *receive_until(struct fixture *fixture, const char *want)
{
	GString *got = g_string_new(NULL);
	char buf[4096];

	for (int i = 0; i < LOOP_RUNS_MAX && !strstr(got->str, want); i++) {
		ssize_t n;

		run_loop_once(fixture);
		n = recv(fixture->fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len(got, buf, n);
	}
	assert_non_null(strstr(got->str, want));
	return got;
}

static void expect_text(struct fixture *fixture, const char *want)
{
	g_string_free(receive_until(fixture, want), TRUE);
}

static void one_connection_serves_several_requests(void **state)
{
	struct fixture *fixture = *state;
	GString *got;

	send_text(fixture, "GET /a?x=1 HTTP/1.1\r\n\r\n");
	got = receive_until(fixture, "GET /a x=1 0");
	assert_non_null(strstr(got->str, "HTTP/1.1 200 OK\r\n"));
	assert_non_null(strstr(got->str, "X-Revision: 7\r\n"));
	g_string_free(got, TRUE);
	send_text(fixture, "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
			   "GET /c HTTP/1.1\r\n\r\n");
	got = receive_until(fixture, "GET /c  0");
	assert_non_null(strstr(got->str, "POST /b  3"));
	g_string_free(got, TRUE);
}

static void pipelined_request_waits_for_deferred_answer(void **state)
{
	struct fixture *fixture = *state;
	GString *body = g_string_new("late");
	GString *got;

	send_text(fixture,
		  "GET /later HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
	for (int i = 0; i < LOOP_RUNS_MAX && !fixture->deferred; i++)
		run_loop_once(fixture);
	run_loop_once(fixture);
	assert_int_equal(fixture->handled, 1);
	http_respond(fixture->deferred, 200, body);
	got = receive_until(fixture, "GET /next  0");
	assert_true(strstr(got->str, "late") < strstr(got->str, "/next"));
	g_string_free(got, TRUE);
	g_string_free(body, TRUE);
}

/*
 * A client closes its connection during a long poll, and the poll is answered
 * later. The answer must not use the freed connection.
 */
static void deferred_answer_to_closed_connection_is_dropped(void **state)
{
	struct fixture *fixture = *state;

	send_text(fixture, "GET /later HTTP/1.1\r\n\r\n");
	for (int i = 0; i < LOOP_RUNS_MAX && !fixture->deferred; i++)
		run_loop_once(fixture);
	close(fixture->fd);
	for (int i = 0; i < 20; i++)
		run_loop_once(fixture);
	http_respond(fixture->deferred, 200, NULL);
	connect_client(fixture);
	send_text(fixture, "GET /alive HTTP/1.1\r\n\r\n");
	expect_text(fixture, "GET /alive  0");
}

/*
 * A body is collected in memory before the handler is called. Without a limit,
 * a client with a large body would use up the memory.
 */
static void body_above_the_limit_is_rejected(void **state)
{
	struct fixture *fixture = *state;
	char chunk[4096];
	uint32_t sent = 0;

	memset(chunk, 'x', sizeof(chunk));
	send_text(fixture,
		  "POST /big HTTP/1.1\r\nContent-Length: 3145728\r\n\r\n");
	for (int i = 0; i < LOOP_RUNS_MAX && sent < TOO_LARGE_BYTES; i++) {
		ssize_t n = send(fixture->fd, chunk, sizeof(chunk),
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0 && errno != EAGAIN)
			break;
		sent += n > 0 ? n : 0;
		run_loop_once(fixture);
	}
	expect_text(fixture, "413 ");
	assert_int_equal(fixture->handled, 0);
}

static void malformed_request_is_rejected(void **state)
{
	struct fixture *fixture = *state;

	send_text(fixture, "nonsense\r\n\r\n");
	expect_text(fixture, "400 ");
}

static void query_parameters_are_decoded(void **state)
{
	char buf[8];

	(void)state;
	assert_true(
		http_query_parameter("prefix=a%2Fb&after=12", "after", buf, 8));
	assert_string_equal(buf, "12");
	assert_true(http_query_parameter("prefix=a%2Fb&after=12", "prefix", buf,
					 8));
	assert_string_equal(buf, "a/b");
	assert_false(http_query_parameter("xafter=1", "after", buf, 8));
	assert_false(http_query_parameter("after=123456789", "after", buf, 8));
	assert_false(http_query_parameter("", "after", buf, 8));
}

#define WITH_SERVER(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		WITH_SERVER(one_connection_serves_several_requests),
		WITH_SERVER(pipelined_request_waits_for_deferred_answer),
		WITH_SERVER(deferred_answer_to_closed_connection_is_dropped),
		WITH_SERVER(body_above_the_limit_is_rejected),
		WITH_SERVER(malformed_request_is_rejected),
		cmocka_unit_test(query_parameters_are_decoded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
