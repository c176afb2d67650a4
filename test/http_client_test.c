/* HTTP client against our own server and against raw sockets, on loopback. */
#include "http.h"
#include "http_client.h"
#include "loopback.h"

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#define SERVER ADDR(loopback_host(), 17090)
#define RAW_SERVER ADDR(loopback_host(), 17091)
/* The kernel refuses to connect to a broadcast address. */
#define REFUSED_SERVER ADDR(0x7fffffff, 9)
#define LONG_MS 5000
#define SHORT_MS 50
#define LOOP_RUNS_MAX 20000
/* Pause between two bytes of a slow answer. */
#define PIECE_MS 150

struct fixture {
	uv_loop_t loop;
	struct http_server *server;
	struct http_client *client;
	uint32_t done;
	int err;
	bool begun;
	int status;
	size_t size_bytes;
	char body[64];
	struct http_request *unanswered;
	uint32_t connected;
	bool accept_connections;
};

static int handle(void *ctx, struct http_request *req, const char *method,
		  const char *path, const char *query, const GString *in,
		  GString *body)
{
	struct fixture *fixture = ctx;

	(void)method;
	(void)in;
	if (!strcmp(path, "/never")) {
		fixture->unanswered = req;
		return HTTP_DEFERRED;
	}
	if (!strcmp(path, "/missing"))
		return 404;
	if (!strcmp(path, "/large")) {
		g_string_set_size(body, strtoul(query, NULL, 10));
		memset(body->str, 'x', body->len);
		return 200;
	}
	g_string_printf(body, "%s %s", path, query);
	return 200;
}

static void on_done(void *ctx, const struct http_reply *r)
{
	struct fixture *fixture = ctx;

	fixture->done++;
	fixture->err = r->err;
	fixture->begun = r->begun;
	fixture->size_bytes = r->size_bytes;
	fixture->status = r->status;
	if (r->size_bytes < sizeof(fixture->body))
		strcpy(fixture->body, r->body);
}

static bool on_connected(void *ctx, uint64_t took_ns)
{
	struct fixture *fixture = ctx;

	assert_in_range(took_ns, 1, 1000000000);
	fixture->connected++;
	return fixture->accept_connections;
}

static int setup(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct http_handler h = { fixture, handle };
	struct http_client_handler c = { fixture, on_done, on_connected };

	fixture->accept_connections = true;
	uv_loop_init(&fixture->loop);
	assert_int_equal(http_server_open(&fixture->loop, SERVER, h,
					  &fixture->server),
			 0);
	assert_int_equal(http_client_open(&fixture->loop, c, &fixture->client),
			 0);
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *fixture = *state;

	GString *empty = g_string_new(NULL);

	if (fixture->unanswered)
		http_respond(fixture->unanswered, 200, empty);
	g_string_free(empty, TRUE);
	http_client_close(fixture->client);
	if (fixture->server)
		http_server_close(fixture->server);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	uv_loop_close(&fixture->loop);
	g_free(fixture);
	return 0;
}

static void get(struct fixture *fixture, uint64_t server, const char *path,
		uint64_t timeout_ms)
{
	uint32_t before = fixture->done;

	assert_int_equal(
		http_client_get(fixture->client, server, path, timeout_ms), 0);
	assert_true(http_client_is_busy(fixture->client));
	assert_int_equal(http_client_get(fixture->client, server, path,
					 timeout_ms),
			 -EBUSY);
	for (uint32_t i = 0; i < LOOP_RUNS_MAX && fixture->done == before;
	     i++) {
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		usleep(100);
	}
	assert_int_equal(fixture->done, before + 1);
	assert_false(http_client_is_busy(fixture->client));
}

static void test_calls_share_one_connection(void **state)
{
	struct fixture *fixture = *state;

	for (uint32_t i = 0; i < 3; i++) {
		get(fixture, SERVER, "/a?b=1", LONG_MS);
		assert_int_equal(fixture->err, 0);
		assert_int_equal(fixture->status, 200);
		assert_string_equal(fixture->body, "/a b=1");
	}
	get(fixture, SERVER, "/missing", LONG_MS);
	assert_int_equal(fixture->status, 404);
	/* All calls used one connection. */
	assert_int_equal(fixture->connected, 1);
}

/* A handler may reject a new connection to leave a busy server to others. */
static void test_handler_may_reject_a_new_connection(void **state)
{
	struct fixture *fixture = *state;

	fixture->accept_connections = false;
	get(fixture, SERVER, "/a?", LONG_MS);
	assert_int_equal(fixture->err, -EBUSY);
	fixture->accept_connections = true;
	get(fixture, SERVER, "/a?", LONG_MS);
	assert_int_equal(fixture->err, 0);
	assert_int_equal(fixture->connected, 2);
}

/*
 * The connection to the store goes silent during a watch. If only an answer
 * ended a call, the process would never receive another change.
 */
static void test_silent_server_ends_with_timeout(void **state)
{
	struct fixture *fixture = *state;

	get(fixture, SERVER, "/never", SHORT_MS);
	assert_int_equal(fixture->err, -ETIMEDOUT);
	/* The next call does not use that connection. */
	get(fixture, SERVER, "/a?", LONG_MS);
	assert_int_equal(fixture->err, 0);
}

/* A handler that starts the next call would recurse without end, if it were
 * called by the function that starts a call. */
static void test_failed_start_is_reported_after_the_call(void **state)
{
	struct fixture *fixture = *state;

	assert_int_equal(http_client_get(fixture->client, REFUSED_SERVER, "/a",
					 LONG_MS),
			 0);
	assert_int_equal(fixture->done, 0);
	assert_true(http_client_is_busy(fixture->client));
	for (uint32_t i = 0; i < LOOP_RUNS_MAX && !fixture->done; i++)
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
	assert_int_equal(fixture->err, -ENETUNREACH);
	get(fixture, SERVER, "/a?", LONG_MS);
	assert_int_equal(fixture->err, 0);
}

static void test_refused_connection_is_an_error(void **state)
{
	struct fixture *fixture = *state;

	get(fixture, RAW_SERVER, "/a", LONG_MS);
	assert_int_equal(fixture->err, -ECONNREFUSED);
	get(fixture, SERVER, "/a?", LONG_MS);
	assert_int_equal(fixture->err, 0);
}

static void test_reconnects_after_server_closed(void **state)
{
	struct fixture *fixture = *state;
	struct http_handler h = { fixture, handle };

	get(fixture, SERVER, "/a?", LONG_MS);
	http_server_close(fixture->server);
	fixture->server = NULL;
	for (uint32_t i = 0; i < 100; i++)
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
	assert_int_equal(http_server_open(&fixture->loop, SERVER, h,
					  &fixture->server),
			 0);
	get(fixture, SERVER, "/a?", LONG_MS);
	assert_int_equal(fixture->err, 0);
}

static int listener(void)
{
	struct sockaddr_in listen_addr = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(RAW_SERVER)),
		.sin_addr.s_addr = htonl(ADDR_IP(RAW_SERVER)),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(bind(fd, (void *)&listen_addr, sizeof(listen_addr)),
			 0);
	assert_int_equal(listen(fd, 4), 0);
	return fd;
}

/* Expects @err from a call to a server that sends @bytes and closes. */
static void expect_raw_answer(struct fixture *fixture, const char *bytes,
			      int err)
{
	uint32_t before = fixture->done;
	int listen_fd = listener();
	int fd = -1;

	assert_int_equal(
		http_client_get(fixture->client, RAW_SERVER, "/a", LONG_MS), 0);
	for (uint32_t i = 0; i < LOOP_RUNS_MAX && fixture->done == before;
	     i++) {
		if (fd < 0)
			fd = accept(listen_fd, NULL, NULL);
		if (fd >= 0 && i == 200) {
			assert_true(write(fd, bytes, strlen(bytes)) >= 0);
			shutdown(fd, SHUT_WR);
		}
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		usleep(100);
	}
	assert_int_equal(fixture->done, before + 1);
	assert_int_equal(fixture->err, err);
	close(fd);
	close(listen_fd);
}

/* Calls a server that sends @pieces of 8 body bytes, slowly, then stops. */
static void get_slow_answer(struct fixture *fixture, uint32_t pieces,
			    uint64_t timeout_ms)
{
	static const char head[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
	uint32_t before = fixture->done, sent = 0;
	uint64_t next_ns = 0;
	int listen_fd = listener();
	int fd = -1;

	assert_int_equal(http_client_get(fixture->client, RAW_SERVER, "/a",
					 timeout_ms),
			 0);
	for (uint32_t i = 0; i < LOOP_RUNS_MAX && fixture->done == before;
	     i++) {
		if (fd < 0)
			fd = accept(listen_fd, NULL, NULL);
		if (fd >= 0 && !next_ns) {
			assert_true(write(fd, head, strlen(head)) > 0);
			next_ns = uv_hrtime();
		}
		if (next_ns && uv_hrtime() >= next_ns && sent < pieces) {
			assert_int_equal(write(fd, "x", 1), 1);
			sent++;
			next_ns += PIECE_MS * NS_PER_MS;
		}
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		usleep(100);
	}
	assert_int_equal(fixture->done, before + 1);
	close(fd);
	close(listen_fd);
}

/*
 * On a slow link an answer of 500 KB takes two seconds. With a limit of a
 * second and a half on the whole answer it would be requested again without
 * end, which fills the link, and the process would never get its configuration.
 */
static void test_slow_answer_is_not_aborted_while_bytes_arrive(void **state)
{
	struct fixture *fixture = *state;

	get_slow_answer(fixture, 8, 4 * PIECE_MS);
	assert_int_equal(fixture->err, 0);
	assert_string_equal(fixture->body, "xxxxxxxx");
}

static void test_answer_that_stalls_times_out(void **state)
{
	struct fixture *fixture = *state;

	get_slow_answer(fixture, 3, LONG_MS);
	assert_int_equal(fixture->err, -ETIMEDOUT);
}

/* An answer above the limit must be told from a platform that fails: repeating
 * the request would not help. */
static void test_body_limit_is_exact(void **state)
{
	struct fixture *fixture = *state;
	char path[32];

	for (uint32_t n = HTTP_BODY_MAX_BYTES - 1; n <= HTTP_BODY_MAX_BYTES + 1;
	     n++) {
		snprintf(path, sizeof(path), "/large?%u", n);
		get(fixture, SERVER, path, LONG_MS);
		assert_true(fixture->begun);
		if (n <= HTTP_BODY_MAX_BYTES) {
			assert_int_equal(fixture->err, 0);
			assert_int_equal(fixture->size_bytes, n);
		} else {
			assert_int_equal(fixture->err, -EMSGSIZE);
			assert_true(fixture->size_bytes <= n);
		}
	}
	get(fixture, SERVER, "/a?", LONG_MS);
	assert_int_equal(fixture->err, 0);
}

static void test_truncated_and_malformed_answers_are_errors(void **state)
{
	struct fixture *fixture = *state;

	expect_raw_answer(fixture,
			  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
			  -ECONNRESET);
	assert_true(fixture->begun);
	expect_raw_answer(fixture, "nonsense\r\n\r\n", -EPROTO);
	expect_raw_answer(fixture, "", -ECONNRESET);
	assert_false(fixture->begun);
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_calls_share_one_connection),
		TEST(test_handler_may_reject_a_new_connection),
		TEST(test_silent_server_ends_with_timeout),
		TEST(test_failed_start_is_reported_after_the_call),
		TEST(test_refused_connection_is_an_error),
		TEST(test_reconnects_after_server_closed),
		TEST(test_slow_answer_is_not_aborted_while_bytes_arrive),
		TEST(test_answer_that_stalls_times_out),
		TEST(test_body_limit_is_exact),
		TEST(test_truncated_and_malformed_answers_are_errors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
