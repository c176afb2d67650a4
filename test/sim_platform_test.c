/* The configuration service stand-in, read over loopback in one loop. */
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

#define FRONT(i) ADDR(loopback_host(), 17500 + (i))
#define TURNS_MAX 100000
#define QUIET_TURNS 50
#define LATER_NS (UINT64_MAX - 1)

struct fixture {
	struct platform p;
	int fd[2];
};

static int dial(uint64_t addr)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in to;

	sim_sockaddr(addr, &to);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

static void admin(struct fixture *f, const char *method, const char *path,
		  const char *query, const char *value)
{
	GString *in = g_string_new(value);
	GString *body = g_string_new(NULL);

	assert_int_equal(
		admin_handle(&f->p, NULL, method, path, query, in, body), 200);
	g_string_free(in, TRUE);
	g_string_free(body, TRUE);
}

static void fault(struct fixture *f, const char *path, int front)
{
	char addr[32];
	char query[64];

	snprintf(query, sizeof(query), "ms=600000&addr=%s",
		 addr_text(FRONT(front), addr, sizeof(addr)));
	admin(f, "POST", path, query, "");
}

/* Two fronts; account/a has revision 1. */
static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	int i;

	f->p.opt.n_addrs = 2;
	for (i = 0; i < 2; i++)
		f->p.opt.addrs[i] = FRONT(i);
	if (sim_platform_open(&f->p))
		return -1;
	for (i = 0; i < 2; i++)
		f->fd[i] = dial(FRONT(i));
	*state = f;
	admin(f, "PUT", "/admin/keys/account/a", "", "one");
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

static void ask(const struct fixture *f, int front, const char *path)
{
	char text[256];
	int n = snprintf(text, sizeof(text), "GET %s HTTP/1.1\r\n\r\n", path);

	assert_int_equal(send(f->fd[front], text, (size_t)n, 0), n);
}

/* Bytes of the next answer, 0 when the connection was cut. */
static ssize_t answer(struct fixture *f, int front, char *text, size_t size)
{
	ssize_t n = -1;
	int turn;

	for (turn = 0; turn < TURNS_MAX && n < 0; turn++) {
		uv_run(&f->p.loop, UV_RUN_NOWAIT);
		n = recv(f->fd[front], text, size - 1, MSG_DONTWAIT);
		if (n < 0 && errno == ECONNRESET)
			n = 0;
	}
	assert_true(n >= 0);
	text[n] = '\0';
	return n;
}

static void assert_answer(struct fixture *f, int front, const char *revision,
			  const char *body)
{
	char text[512];
	char header[64];

	snprintf(header, sizeof(header), "X-Revision: %s\r\n", revision);
	answer(f, front, text, sizeof(text));
	assert_non_null(strstr(text, header));
	assert_string_equal(strstr(text, "\r\n\r\n") + 4, body);
}

static void assert_waiting(struct fixture *f, int front, guint n)
{
	int turn;

	for (turn = 0; turn < QUIET_TURNS; turn++)
		uv_run(&f->p.loop, UV_RUN_NOWAIT);
	assert_int_equal(g_queue_get_length(&f->p.fronts[front].watchers), n);
}

static void watch_waits_for_a_change(void **state)
{
	struct fixture *f = *state;

	ask(f, 0, "/v1/watch?after=1&timeout_ms=600000");
	assert_waiting(f, 0, 1);
	admin(f, "PUT", "/admin/keys/account/b", "", "two");
	assert_answer(f, 0, "2", "2 account/b\n");
	ask(f, 0, "/v1/watch?after=2&timeout_ms=600000");
	assert_waiting(f, 0, 1);
	front_step(&f->p.fronts[0], LATER_NS);
	assert_answer(f, 0, "2", "");
	assert_int_equal(f->p.calls.n[CALL_WATCH], 2);
}

/*
 * Symptom: a reader behind a stale front was told of a change, so a test of
 *	staleness proved nothing; or it was not told when the front recovered.
 * Sequence: one of two fronts is stale while a key changes, then recovers.
 * Cause: watches were woken by the change itself, not by what is served.
 */
static void stale_front_tells_nothing_until_it_recovers(void **state)
{
	struct fixture *f = *state;

	ask(f, 0, "/v1/watch?after=1&timeout_ms=600000");
	ask(f, 1, "/v1/watch?after=1&timeout_ms=600000");
	assert_waiting(f, 0, 1);
	assert_waiting(f, 1, 1);
	fault(f, "/admin/stale", 1);
	admin(f, "PUT", "/admin/keys/account/a", "", "two");
	assert_answer(f, 0, "2", "2 account/a\n");
	assert_waiting(f, 1, 1);
	ask(f, 0, "/v1/keys/account/a");
	assert_answer(f, 0, "2", "two");
	admin(f, "POST", "/admin/stale", "ms=0", "");
	assert_answer(f, 1, "2", "2 account/a\n");
}

static void down_front_cuts_and_refuses(void **state)
{
	struct fixture *f = *state;
	char text[16];

	ask(f, 0, "/v1/watch?after=1&timeout_ms=600000");
	assert_waiting(f, 0, 1);
	fault(f, "/admin/down", 0);
	assert_int_equal(answer(f, 0, text, sizeof(text)), 0);
	assert_waiting(f, 0, 0);
	assert_int_equal(dial(FRONT(0)), -1);
	ask(f, 1, "/v1/keys/account/a");
	assert_answer(f, 1, "1", "one");
	close(f->fd[0]);
	front_step(&f->p.fronts[0], LATER_NS);
	f->fd[0] = dial(FRONT(0));
	ask(f, 0, "/v1/keys/account/a");
	assert_answer(f, 0, "1", "one");
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(watch_waits_for_a_change),
		TEST(stale_front_tells_nothing_until_it_recovers),
		TEST(down_front_cuts_and_refuses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
