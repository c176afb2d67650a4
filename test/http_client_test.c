/* The HTTP client, against our own server and a raw socket, on loopback. */
#include "http.h"
#include "http_client.h"
#include "loopback.h"

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#define SERVER ADDR(loopback_host(), 17090)
#define NOBODY ADDR(loopback_host(), 17091)
#define LONG_MS 5000
#define SHORT_MS 50
#define TURNS_MAX 20000
/* Between two bytes of an answer that comes slowly. */
#define PIECE_MS 150

struct fixture {
	uv_loop_t loop;
	struct http_server *server;
	struct http_client *caller;
	uint32_t done;
	int err;
	int status;
	char body[64];
	struct http_request *never;
	uint32_t connected;
	bool go_on;
};

static int handle(void *ctx, struct http_request *req, const char *method,
		  const char *path, const char *query, const GString *in,
		  GString *body)
{
	struct fixture *f = ctx;

	(void)method;
	(void)in;
	if (!strcmp(path, "/never")) {
		f->never = req;
		return HTTP_DEFERRED;
	}
	if (!strcmp(path, "/missing"))
		return 404;
	g_string_printf(body, "%s %s", path, query);
	return 200;
}

static void on_done(void *ctx, const struct http_reply *r)
{
	struct fixture *f = ctx;

	f->done++;
	f->err = r->err;
	f->status = r->status;
	if (r->size_bytes < sizeof(f->body))
		strcpy(f->body, r->body);
}

static bool on_connected(void *ctx, uint64_t took_ns)
{
	struct fixture *f = ctx;

	assert_in_range(took_ns, 1, 1000000000);
	f->connected++;
	return f->go_on;
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct http_handler h = { f, handle };
	struct http_client_handler c = { f, on_done, on_connected };

	f->go_on = true;
	uv_loop_init(&f->loop);
	assert_int_equal(http_server_open(&f->loop, SERVER, h, &f->server), 0);
	assert_int_equal(http_client_open(&f->loop, c, &f->caller), 0);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	GString *nothing = g_string_new(NULL);

	if (f->never)
		http_respond(f->never, 200, nothing);
	g_string_free(nothing, TRUE);
	http_client_close(f->caller);
	if (f->server)
		http_server_close(f->server);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	uv_loop_close(&f->loop);
	g_free(f);
	return 0;
}

static void get(struct fixture *f, uint64_t server, const char *path,
		uint64_t timeout_ms)
{
	uint32_t before = f->done;

	assert_int_equal(http_client_get(f->caller, server, path, timeout_ms),
			 0);
	assert_true(http_client_is_busy(f->caller));
	assert_int_equal(http_client_get(f->caller, server, path, timeout_ms),
			 -EBUSY);
	for (uint32_t i = 0; i < TURNS_MAX && f->done == before; i++) {
		uv_run(&f->loop, UV_RUN_NOWAIT);
		usleep(100);
	}
	assert_int_equal(f->done, before + 1);
	assert_false(http_client_is_busy(f->caller));
}

static void test_answers(void **state)
{
	struct fixture *f = *state;

	for (uint32_t i = 0; i < 3; i++) {
		get(f, SERVER, "/a?b=1", LONG_MS);
		assert_int_equal(f->err, 0);
		assert_int_equal(f->status, 200);
		assert_string_equal(f->body, "/a b=1");
	}
	get(f, SERVER, "/missing", LONG_MS);
	assert_int_equal(f->status, 404);
	/* One connection for all. */
	assert_int_equal(f->connected, 1);
}

/* Who sees others wait for the server leaves it to them. */
static void test_connection_that_is_not_used(void **state)
{
	struct fixture *f = *state;

	f->go_on = false;
	get(f, SERVER, "/a?", LONG_MS);
	assert_int_equal(f->err, -EBUSY);
	f->go_on = true;
	get(f, SERVER, "/a?", LONG_MS);
	assert_int_equal(f->err, 0);
	assert_int_equal(f->connected, 2);
}

/*
 * Symptom: a process hears of no change any more. Sequence: the store's
 * connection goes silent while a watch waits. Cause: nothing but an answer
 * ended a call.
 */
static void test_silence_ends_with_the_deadline(void **state)
{
	struct fixture *f = *state;

	get(f, SERVER, "/never", SHORT_MS);
	assert_int_equal(f->err, -ETIMEDOUT);
	/* The next call does not use that connection. */
	get(f, SERVER, "/a?", LONG_MS);
	assert_int_equal(f->err, 0);
}

static void test_nobody_listens(void **state)
{
	struct fixture *f = *state;

	get(f, NOBODY, "/a", LONG_MS);
	assert_int_equal(f->err, -ECONNREFUSED);
	get(f, SERVER, "/a?", LONG_MS);
	assert_int_equal(f->err, 0);
}

static void test_server_that_closed_in_between(void **state)
{
	struct fixture *f = *state;
	struct http_handler h = { f, handle };

	get(f, SERVER, "/a?", LONG_MS);
	http_server_close(f->server);
	f->server = NULL;
	for (uint32_t i = 0; i < 100; i++)
		uv_run(&f->loop, UV_RUN_NOWAIT);
	assert_int_equal(http_server_open(&f->loop, SERVER, h, &f->server), 0);
	get(f, SERVER, "/a?", LONG_MS);
	assert_int_equal(f->err, 0);
}

static int listener(void)
{
	struct sockaddr_in at = {
		.sin_family = AF_INET,
		.sin_port = htons(ADDR_PORT(NOBODY)),
		.sin_addr.s_addr = htonl(ADDR_IP(NOBODY)),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(bind(fd, (void *)&at, sizeof(at)), 0);
	assert_int_equal(listen(fd, 4), 0);
	return fd;
}

/* What a raw server sends before it closes, and what the call makes of it. */
static void raw(struct fixture *f, const char *bytes, int err)
{
	uint32_t before = f->done;
	int at = listener();
	int fd = -1;

	assert_int_equal(http_client_get(f->caller, NOBODY, "/a", LONG_MS), 0);
	for (uint32_t i = 0; i < TURNS_MAX && f->done == before; i++) {
		if (fd < 0)
			fd = accept(at, NULL, NULL);
		if (fd >= 0 && i == 200) {
			assert_true(write(fd, bytes, strlen(bytes)) >= 0);
			shutdown(fd, SHUT_WR);
		}
		uv_run(&f->loop, UV_RUN_NOWAIT);
		usleep(100);
	}
	assert_int_equal(f->done, before + 1);
	assert_int_equal(f->err, err);
	close(fd);
	close(at);
}

/* A raw server sends "x" so often, with pauses, and stops. */
static void trickle(struct fixture *f, uint32_t pieces, uint64_t timeout_ms)
{
	static const char head[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
	uint32_t before = f->done, sent = 0;
	uint64_t next_ns = 0;
	int at = listener();
	int fd = -1;

	assert_int_equal(http_client_get(f->caller, NOBODY, "/a", timeout_ms),
			 0);
	for (uint32_t i = 0; i < TURNS_MAX && f->done == before; i++) {
		if (fd < 0)
			fd = accept(at, NULL, NULL);
		if (fd >= 0 && !next_ns) {
			assert_true(write(fd, head, strlen(head)) > 0);
			next_ns = uv_hrtime();
		}
		if (next_ns && uv_hrtime() >= next_ns && sent < pieces) {
			assert_int_equal(write(fd, "x", 1), 1);
			sent++;
			next_ns += PIECE_MS * NS_PER_MS;
		}
		uv_run(&f->loop, UV_RUN_NOWAIT);
		usleep(100);
	}
	assert_int_equal(f->done, before + 1);
	close(fd);
	close(at);
}

/*
 * Symptom: a process that starts on a narrow link never has the configuration,
 * and serves nobody. Sequence: an answer of 500 KB takes two seconds; it is
 * given up after a second and a half and asked for again, for ever, which fills
 * the link. Cause: the time limit was on the whole answer.
 */
static void test_long_answer_goes_on_while_it_comes(void **state)
{
	struct fixture *f = *state;

	trickle(f, 8, 4 * PIECE_MS);
	assert_int_equal(f->err, 0);
	assert_string_equal(f->body, "xxxxxxxx");
}

static void test_answer_that_stops_halfway(void **state)
{
	struct fixture *f = *state;

	trickle(f, 3, LONG_MS);
	assert_int_equal(f->err, -ETIMEDOUT);
}

static void test_cut_and_garbled_answers_are_errors(void **state)
{
	struct fixture *f = *state;

	raw(f, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", -ECONNRESET);
	raw(f, "nonsense\r\n\r\n", -EPROTO);
	raw(f, "", -ECONNRESET);
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		TEST(test_answers),
		TEST(test_connection_that_is_not_used),
		TEST(test_silence_ends_with_the_deadline),
		TEST(test_nobody_listens),
		TEST(test_server_that_closed_in_between),
		TEST(test_long_answer_goes_on_while_it_comes),
		TEST(test_answer_that_stops_halfway),
		TEST(test_cut_and_garbled_answers_are_errors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
