/* The operators' HTTP server, driven over loopback in one loop. */
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
#define TURNS_MAX 2000
#define TOO_LARGE_BYTES (3u << 20)

struct fixture {
	uv_loop_t loop;
	struct http_server *server;
	struct http_request *later;
	uint32_t handled;
	int fd;
};

static int handle(void *ctx, struct http_request *req, const char *method,
		  const char *path, const char *query, const GString *in,
		  GString *body)
{
	struct fixture *f = ctx;

	f->handled++;
	if (strcmp(path, "/later") == 0) {
		f->later = req;
		return HTTP_DEFERRED;
	}
	http_add_header(req, "X-Revision", "7");
	g_string_printf(body, "%s %s %s %zu", method, path, query, in->len);
	return 200;
}

static void turn(struct fixture *f)
{
	uv_run(&f->loop, UV_RUN_NOWAIT);
	usleep(100);
}

static void dial(struct fixture *f)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(SERVER)),
		.sin_addr.s_addr = htonl(ADDR_IP(SERVER)),
	};

	f->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(f->fd, (void *)&sin, sizeof(sin)), 0);
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct http_handler h = { .ctx = f, .handle = handle };

	uv_loop_init(&f->loop);
	assert_int_equal(http_server_open(&f->loop, SERVER, h, &f->server), 0);
	dial(f);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	close(f->fd);
	http_server_close(f->server);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&f->loop), 0);
	g_free(f);
	return 0;
}

static void say(struct fixture *f, const char *text)
{
	ssize_t n = strlen(text);

	assert_int_equal(send(f->fd, text, n, MSG_NOSIGNAL), n);
}

/* Reads until @want stands in what came; returns all of it. */
static GString *hear(struct fixture *f, const char *want)
{
	GString *got = g_string_new(NULL);
	char buf[4096];

	for (int i = 0; i < TURNS_MAX && !strstr(got->str, want); i++) {
		ssize_t n;

		turn(f);
		n = recv(f->fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len(got, buf, n);
	}
	assert_non_null(strstr(got->str, want));
	return got;
}

static void expect(struct fixture *f, const char *want)
{
	g_string_free(hear(f, want), TRUE);
}

static void one_connection_serves_many(void **state)
{
	struct fixture *f = *state;
	GString *got;

	say(f, "GET /a?x=1 HTTP/1.1\r\n\r\n");
	got = hear(f, "GET /a x=1 0");
	assert_non_null(strstr(got->str, "HTTP/1.1 200 OK\r\n"));
	assert_non_null(strstr(got->str, "X-Revision: 7\r\n"));
	g_string_free(got, TRUE);
	say(f, "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
	       "GET /c HTTP/1.1\r\n\r\n");
	got = hear(f, "GET /c  0");
	assert_non_null(strstr(got->str, "POST /b  3"));
	g_string_free(got, TRUE);
}

static void pipelined_request_waits_for_a_late_answer(void **state)
{
	struct fixture *f = *state;
	GString *body = g_string_new("late");
	GString *got;

	say(f, "GET /later HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
	for (int i = 0; i < TURNS_MAX && !f->later; i++)
		turn(f);
	turn(f);
	assert_int_equal(f->handled, 1);
	http_respond(f->later, 200, body);
	got = hear(f, "GET /next  0");
	assert_true(strstr(got->str, "late") < strstr(got->str, "/next"));
	g_string_free(got, TRUE);
	g_string_free(body, TRUE);
}

/*
 * Symptom: the process dies of a use after free when a watch times out.
 * Sequence: a reader opens a long poll and hangs up; its answer comes later.
 * Cause: the answer would go to a connection that has been freed.
 */
static void late_answer_to_a_peer_that_left(void **state)
{
	struct fixture *f = *state;

	say(f, "GET /later HTTP/1.1\r\n\r\n");
	for (int i = 0; i < TURNS_MAX && !f->later; i++)
		turn(f);
	close(f->fd);
	for (int i = 0; i < 20; i++)
		turn(f);
	http_respond(f->later, 200, NULL);
	dial(f);
	say(f, "GET /alive HTTP/1.1\r\n\r\n");
	expect(f, "GET /alive  0");
}

/*
 * Symptom: memory grows without bound.
 * Sequence: a peer sends a body of several megabytes.
 * Cause: a body is gathered whole before the handler sees it.
 */
static void body_over_the_bound_is_refused(void **state)
{
	struct fixture *f = *state;
	char chunk[4096];
	uint32_t sent = 0;

	memset(chunk, 'x', sizeof(chunk));
	say(f, "POST /big HTTP/1.1\r\nContent-Length: 3145728\r\n\r\n");
	for (int i = 0; i < TURNS_MAX && sent < TOO_LARGE_BYTES; i++) {
		ssize_t n = send(f->fd, chunk, sizeof(chunk),
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0 && errno != EAGAIN)
			break;
		sent += n > 0 ? n : 0;
		turn(f);
	}
	expect(f, "413 ");
	assert_int_equal(f->handled, 0);
}

static void nonsense_is_refused(void **state)
{
	struct fixture *f = *state;

	say(f, "nonsense\r\n\r\n");
	expect(f, "400 ");
}

static void query_parameters(void **state)
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
		WITH_SERVER(one_connection_serves_many),
		WITH_SERVER(pipelined_request_waits_for_a_late_answer),
		WITH_SERVER(late_answer_to_a_peer_that_left),
		WITH_SERVER(body_over_the_bound_is_refused),
		WITH_SERVER(nonsense_is_refused),
		cmocka_unit_test(query_parameters),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
