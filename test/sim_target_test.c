/* The target stand-in on libcoap, asked over loopback in one loop. */
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
#define TURNS_MAX 100000
#define QUIET_TURNS 50

/* Confirmable requests: header, message ID, one byte of token, options. */
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
	f->t.opt.load_lie = -1;
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

static void ask(struct fixture *f, const char *msg, size_t size_bytes)
{
	assert_int_equal(send(f->fd, msg, size_bytes, 0), size_bytes);
}

#define ASK(f, literal) ask(f, literal, sizeof(literal) - 1)

/* The next answer; fails when none comes. */
static uint8_t answer_code(struct fixture *f)
{
	uint8_t buf[DATAGRAM_MAX_BYTES];
	int turn;

	for (turn = 0; turn < TURNS_MAX; turn++) {
		uv_run(&f->t.loop, UV_RUN_NOWAIT);
		if (recv(f->fd, buf, sizeof(buf), 0) >= 4)
			return buf[1];
	}
	fail_msg("no answer");
	return 0;
}

static void assert_quiet(struct fixture *f)
{
	uint8_t buf[DATAGRAM_MAX_BYTES];
	int turn;

	for (turn = 0; turn < QUIET_TURNS; turn++) {
		uv_run(&f->t.loop, UV_RUN_NOWAIT);
		assert_int_equal(recv(f->fd, buf, sizeof(buf), 0), -1);
	}
}

/*
 * Symptom: one report ran three times at one target.
 * Sequence: a CON, and the same message again after its answer.
 * Cause: libcoap 4.3.1 drops no repeats (RFC 7252 section 4.2).
 */
static void repeat_runs_once(void **state)
{
	struct fixture *f = *state;

	ASK(f, MSG(POST, "\x01", "t") REPORT);
	assert_int_equal(answer_code(f), CODE_EMPTY);
	assert_int_equal(answer_code(f), CODE_CHANGED);
	ASK(f, MSG(POST, "\x01", "t") REPORT);
	assert_int_equal(answer_code(f), CODE_CHANGED);
	assert_int_equal(f->t.counts[COUNT_RUNS], 1);
	assert_int_equal(f->t.counts[COUNT_REPEATS], 1);
}

/*
 * Symptom: a feed ended when the caller's side renewed it at a target that
 *	drains.
 * Sequence: a feed is open, the target drains, the feed's GET comes again
 *	under a new message ID.
 * Cause: the renewal counted as new work; a 5.03 ends a feed.
 */
static void draining_keeps_feeds(void **state)
{
	struct fixture *f = *state;

	ASK(f, MSG(GET, "\x01", "t") OPEN);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	f->t.behaviour.draining = true;
	ASK(f, MSG(GET, "\x02", "t") OPEN);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	ASK(f, MSG(GET, "\x03", "u") OPEN_OTHER);
	assert_int_equal(answer_code(f), CODE_UNAVAILABLE);
	target_notify(&f->t);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	assert_int_equal(f->t.counts[COUNT_RUNS], 1);
}

/*
 * Symptom: the target died by SIGSEGV in coap_io_prepare_io.
 * Sequence: a feed is lost and a round of notifications follows.
 * Cause: libcoap 4.3.1 frees an observer that is notified with an error code
 *	and then sends through it.
 */
static void lost_feed_is_silent_and_can_be_opened_again(void **state)
{
	struct fixture *f = *state;
	int round;

	ASK(f, MSG(GET, "\x01", "t") OPEN);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	observers_lose(f->t.observers);
	assert_int_equal(observers_count(f->t.observers), 0);
	for (round = 0; round < 10; round++) {
		target_notify(&f->t);
		assert_quiet(f);
	}
	ASK(f, MSG(GET, "\x02", "t") OPEN);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	target_notify(&f->t);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	assert_int_equal(observers_count(f->t.observers), 1);
}

/*
 * Symptom: a cancelled request ran a second time.
 * Sequence: the cancellation (GET, Observe 1, same token) comes after the
 *	request has run.
 * Cause: what was found no more was served like a new GET.
 */
static void late_cancellation_runs_nothing(void **state)
{
	struct fixture *f = *state;

	ASK(f, MSG(GET, "\x01", "t") FORECAST);
	assert_int_equal(answer_code(f), CODE_EMPTY);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	ASK(f, MSG(GET, "\x02", "t") CANCEL_FORECAST);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	assert_int_equal(f->t.counts[COUNT_RUNS], 1);
}

static void closed_feed_is_no_connection(void **state)
{
	struct fixture *f = *state;

	ASK(f, MSG(GET, "\x01", "t") OPEN);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	ASK(f, MSG(GET, "\x02", "t") CLOSE);
	assert_int_equal(answer_code(f), CODE_CONTENT);
	assert_int_equal(observers_count(f->t.observers), 0);
	target_notify(&f->t);
	assert_quiet(f);
}

/* Leaves while a feed is open: libcoap asserts that its session is free. */
static void leaves_with_a_feed_open(void **state)
{
	struct fixture *f = *state;

	ASK(f, MSG(GET, "\x01", "t") OPEN);
	assert_int_equal(answer_code(f), CODE_CONTENT);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(repeat_runs_once),
		TEST(draining_keeps_feeds),
		TEST(lost_feed_is_silent_and_can_be_opened_again),
		TEST(late_cancellation_runs_nothing),
		TEST(closed_feed_is_no_connection),
		TEST(leaves_with_a_feed_open),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
