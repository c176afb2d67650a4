/* sim-target, called over loopback; client and target share one event loop. */
#include "sim-target/target.h"

#include "loopback.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define TARGET ADDR(loopback_host(), 15683)
#define ITERATIONS_MAX 100000
#define QUIET_ITERATIONS 50

/* Confirmable requests: header, message ID, one byte of token, and options. */
#define MSG(code, mid, token) "\x41" code "\x10" mid token
#define GET "\x01"
#define POST "\x02"
/* clang-format off */
#define OPEN "\x60\x54" "feed" "\x44" "id=a"
#define OPEN_OTHER "\x60\x54" "feed" "\x44" "id=b"
#define CLOSE "\x61\x01\x54" "feed" "\x44" "id=a"
#define FORECAST "\xb8" "forecast" "\x44" "id=a"
#define CANCEL_FORECAST "\x61\x01\x58" "forecast" "\x44" "id=a"
#define REPORT "\xb6" "report" "\x44" "id=a"
/* clang-format on */

#define CODE_EMPTY 0x00
#define CODE_CHANGED 0x44
#define CODE_CONTENT 0x45
#define CODE_UNAVAILABLE 0xa3

struct fixture {
	struct target t;
	int fd;
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct sockaddr_in to;

	f->t.opt.addr = TARGET;
	f->t.opt.service = "live";
	f->t.opt.n_slots = 1;
	f->t.opt.queue_max = 4;
	f->t.opt.connections_max = 4;
	f->t.opt.feed_ns = 3600 * NS_PER_S;
	f->t.opt.load_constant = -1;
	f->t.opt.seed = 1;
	if (target_open(&f->t))
		return -1;
	f->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	sim_sockaddr(TARGET, &to);
	*state = f;
	return connect(f->fd, (struct sockaddr *)&to, sizeof(to));
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	target_close(&f->t);
	close(f->fd);
	g_free(f);
	return 0;
}

static void send_message(struct fixture *f, const char *msg, size_t size_bytes)
{
	assert_int_equal(send(f->fd, msg, size_bytes, 0), size_bytes);
}

#define SEND(f, literal) send_message(f, literal, sizeof(literal) - 1)

/* Return: code of the next answer; the test fails if there is none. */
static uint8_t receive_answer_code(struct fixture *f)
{
	uint8_t buf[DATAGRAM_MAX_BYTES];
	int iteration;

	for (iteration = 0; iteration < ITERATIONS_MAX; iteration++) {
		uv_run(&f->t.loop, UV_RUN_NOWAIT);
		if (recv(f->fd, buf, sizeof(buf), 0) >= 4)
			return buf[1];
	}
	fail_msg("no answer");
	return 0;
}

static void assert_no_answer(struct fixture *f)
{
	uint8_t buf[DATAGRAM_MAX_BYTES];
	int iteration;

	for (iteration = 0; iteration < QUIET_ITERATIONS; iteration++) {
		uv_run(&f->t.loop, UV_RUN_NOWAIT);
		assert_int_equal(recv(f->fd, buf, sizeof(buf), 0), -1);
	}
}

/*
 * One report ran three times: libcoap 4.3.1 does not drop retransmissions
 * (RFC 7252 section 4.2). Here a CON is retransmitted after its answer.
 */
static void retransmission_runs_once(void **state)
{
	struct fixture *f = *state;

	SEND(f, MSG(POST, "\x01", "t") REPORT);
	assert_int_equal(receive_answer_code(f), CODE_EMPTY);
	assert_int_equal(receive_answer_code(f), CODE_CHANGED);
	SEND(f, MSG(POST, "\x01", "t") REPORT);
	assert_int_equal(receive_answer_code(f), CODE_CHANGED);
	assert_int_equal(f->t.counts[COUNT_RUNS], 1);
	assert_int_equal(f->t.counts[COUNT_RETRANSMISSIONS], 1);
}

/*
 * A draining target ended an open feed that was renewed by its GET with a new
 * message ID: the renewal was refused as new work, and a 5.03 ends a feed.
 */
static void draining_target_keeps_open_feeds(void **state)
{
	struct fixture *f = *state;

	SEND(f, MSG(GET, "\x01", "t") OPEN);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	f->t.behaviour.draining = true;
	SEND(f, MSG(GET, "\x02", "t") OPEN);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	SEND(f, MSG(GET, "\x03", "u") OPEN_OTHER);
	assert_int_equal(receive_answer_code(f), CODE_UNAVAILABLE);
	target_notify_observers(&f->t);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	assert_int_equal(f->t.counts[COUNT_RUNS], 1);
}

/*
 * The target crashed with SIGSEGV in coap_io_prepare_io in the first
 * notification round after a feed was forgotten: libcoap 4.3.1 frees an
 * observer that is notified with an error code and then uses it.
 */
static void
forgotten_feed_gets_no_notification_and_can_be_reopened(void **state)
{
	struct fixture *f = *state;
	int round;

	SEND(f, MSG(GET, "\x01", "t") OPEN);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	observers_forget_all(f->t.observers);
	assert_int_equal(observers_count(f->t.observers), 0);
	for (round = 0; round < 10; round++) {
		target_notify_observers(&f->t);
		assert_no_answer(f);
	}
	SEND(f, MSG(GET, "\x02", "t") OPEN);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	target_notify_observers(&f->t);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	assert_int_equal(observers_count(f->t.observers), 1);
}

/*
 * A cancelled request ran a second time: a cancellation (GET, Observe 1, same
 * token) after the end of the request was handled as a new GET.
 */
static void late_cancellation_does_not_run_the_request(void **state)
{
	struct fixture *f = *state;

	SEND(f, MSG(GET, "\x01", "t") FORECAST);
	assert_int_equal(receive_answer_code(f), CODE_EMPTY);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	SEND(f, MSG(GET, "\x02", "t") CANCEL_FORECAST);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	assert_int_equal(f->t.counts[COUNT_RUNS], 1);
}

static void closed_feed_does_not_count_as_connection(void **state)
{
	struct fixture *f = *state;

	SEND(f, MSG(GET, "\x01", "t") OPEN);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	SEND(f, MSG(GET, "\x02", "t") CLOSE);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
	assert_int_equal(observers_count(f->t.observers), 0);
	target_notify_observers(&f->t);
	assert_no_answer(f);
}

/* libcoap asserts at the end that no session is referenced. */
static void target_closes_with_an_open_feed(void **state)
{
	struct fixture *f = *state;

	SEND(f, MSG(GET, "\x01", "t") OPEN);
	assert_int_equal(receive_answer_code(f), CODE_CONTENT);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(retransmission_runs_once),
		TEST(draining_target_keeps_open_feeds),
		TEST(forgotten_feed_gets_no_notification_and_can_be_reopened),
		TEST(late_cancellation_does_not_run_the_request),
		TEST(closed_feed_does_not_count_as_connection),
		TEST(target_closes_with_an_open_feed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
