/* sim-platform, read over loopback; client and service share one event loop. */
#include "sim-platform/platform.h"

#include "loopback.h"
#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define FRONTEND(i) ADDR(loopback_host(), 17500 + (i))
#define ITERATIONS_MAX 100000
#define QUIET_ITERATIONS 50
#define PAST_ALL_DEADLINES_NS (UINT64_MAX - 1)

struct fixture {
	struct platform p;
	int fd[2];
};

static int connect_to(uint64_t addr)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in to;

	sim_sockaddr(addr, &to);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

static void call_admin(struct fixture *f, const char *method, const char *path,
		       const char *query, const char *value)
{
	GString *in = g_string_new(value);
	GString *body = g_string_new(NULL);

	assert_int_equal(
		admin_handle(&f->p, NULL, method, path, query, in, body), 200);
	g_string_free(in, TRUE);
	g_string_free(body, TRUE);
}

static void set_fault(struct fixture *f, const char *path, int frontend)
{
	char addr[32];
	char query[64];

	snprintf(query, sizeof(query), "ms=600000&addr=%s",
		 addr_text(FRONTEND(frontend), addr, sizeof(addr)));
	call_admin(f, "POST", path, query, "");
}

/* Two frontends; account/a has revision 1. */
static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	int i;

	f->p.opt.n_addrs = 2;
	for (i = 0; i < 2; i++)
		f->p.opt.addrs[i] = FRONTEND(i);
	if (sim_platform_open(&f->p))
		return -1;
	for (i = 0; i < 2; i++)
		f->fd[i] = connect_to(FRONTEND(i));
	*state = f;
	call_admin(f, "PUT", "/admin/keys/account/a", "", "one");
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;
	int i;

	for (i = 0; i < 2; i++)
		close(f->fd[i]);
	sim_platform_close(&f->p);
	g_free(f);
	return 0;
}

static void send_get(const struct fixture *f, int frontend, const char *path)
{
	char text[256];
	int n = snprintf(text, sizeof(text), "GET %s HTTP/1.1\r\n\r\n", path);

	assert_int_equal(send(f->fd[frontend], text, (size_t)n, 0), n);
}

/* Return: size of the next answer, 0 if the connection was closed. */
static ssize_t receive_answer(struct fixture *f, int frontend, char *text,
			      size_t size)
{
	ssize_t n = -1;
	int iteration;

	for (iteration = 0; iteration < ITERATIONS_MAX && n < 0; iteration++) {
		uv_run(&f->p.loop, UV_RUN_NOWAIT);
		n = recv(f->fd[frontend], text, size - 1, MSG_DONTWAIT);
		if (n < 0 && errno == ECONNRESET)
			n = 0;
	}
	assert_true(n >= 0);
	text[n] = '\0';
	return n;
}

static void assert_answer(struct fixture *f, int frontend, const char *revision,
			  const char *body)
{
	char text[512];
	char header[64];

	snprintf(header, sizeof(header), "X-Revision: %s\r\n", revision);
	receive_answer(f, frontend, text, sizeof(text));
	assert_non_null(strstr(text, header));
	assert_string_equal(strstr(text, "\r\n\r\n") + 4, body);
}

static void assert_watchers(struct fixture *f, int frontend, guint n)
{
	int iteration;

	for (iteration = 0; iteration < QUIET_ITERATIONS; iteration++)
		uv_run(&f->p.loop, UV_RUN_NOWAIT);
	assert_int_equal(g_queue_get_length(&f->p.frontends[frontend].watchers),
			 n);
}

static void watch_waits_for_a_change(void **state)
{
	struct fixture *f = *state;

	send_get(f, 0, "/v1/watch?after=1&timeout_ms=600000");
	assert_watchers(f, 0, 1);
	call_admin(f, "PUT", "/admin/keys/account/b", "", "two");
	assert_answer(f, 0, "2", "2 account/b\n");
	send_get(f, 0, "/v1/watch?after=2&timeout_ms=600000");
	assert_watchers(f, 0, 1);
	frontend_tick(&f->p.frontends[0], PAST_ALL_DEADLINES_NS);
	assert_answer(f, 0, "2", "");
	assert_int_equal(f->p.calls.count[CALL_WATCH], 2);
}

/*
 * One of two frontends is stale while a key changes, then recovers. Its reader
 * got the change too early, so that tests of staleness passed by mistake, or
 * not at all: the change itself triggered the answer, not the served state.
 */
static void stale_frontend_hides_changes_until_it_recovers(void **state)
{
	struct fixture *f = *state;

	send_get(f, 0, "/v1/watch?after=1&timeout_ms=600000");
	send_get(f, 1, "/v1/watch?after=1&timeout_ms=600000");
	assert_watchers(f, 0, 1);
	assert_watchers(f, 1, 1);
	set_fault(f, "/admin/stale", 1);
	call_admin(f, "PUT", "/admin/keys/account/a", "", "two");
	assert_answer(f, 0, "2", "2 account/a\n");
	assert_watchers(f, 1, 1);
	send_get(f, 0, "/v1/keys/account/a");
	assert_answer(f, 0, "2", "two");
	call_admin(f, "POST", "/admin/stale", "ms=0", "");
	assert_answer(f, 1, "2", "2 account/a\n");
}

static void down_frontend_closes_and_refuses_connections(void **state)
{
	struct fixture *f = *state;
	char text[16];

	send_get(f, 0, "/v1/watch?after=1&timeout_ms=600000");
	assert_watchers(f, 0, 1);
	set_fault(f, "/admin/down", 0);
	assert_int_equal(receive_answer(f, 0, text, sizeof(text)), 0);
	assert_watchers(f, 0, 0);
	assert_int_equal(connect_to(FRONTEND(0)), -1);
	send_get(f, 1, "/v1/keys/account/a");
	assert_answer(f, 1, "1", "one");
	close(f->fd[0]);
	frontend_tick(&f->p.frontends[0], PAST_ALL_DEADLINES_NS);
	f->fd[0] = connect_to(FRONTEND(0));
	send_get(f, 0, "/v1/keys/account/a");
	assert_answer(f, 0, "1", "one");
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(watch_waits_for_a_change),
		TEST(stale_frontend_hides_changes_until_it_recovers),
		TEST(down_frontend_closes_and_refuses_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
