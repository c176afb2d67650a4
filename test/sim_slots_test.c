/* Slots of the target stand-in: what runs, waits, is refused or given up. */
#include "sim-target/target.h"

#include <errno.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define SLOTS 2
#define QUEUE 3

static char jobs[8];

static int setup(void **state)
{
	*state = slots_new(SLOTS, QUEUE);
	return 0;
}

static int teardown(void **state)
{
	slots_free(*state);
	return 0;
}

static void offer(struct slots *s, int i, uint64_t deadline_ns)
{
	assert_int_equal(slots_offer(s, &jobs[i], deadline_ns), 0);
}

/* Start all that may start at @now_ns; each runs for 10 ns. */
static int start_all(struct slots *s, uint64_t now_ns)
{
	void *job;
	int n = 0;

	while (slots_next(s, now_ns, &job) == SLOTS_START) {
		slots_run(s, job, now_ns + 10);
		n++;
	}
	return n;
}

/*
 * Symptom: a target ran more than its slots, or queued without end.
 * Sequence: six requests at once at two slots and a queue of three.
 * Cause: waiting requests counted against the slots that are still free.
 */
static void bounds_hold(void **state)
{
	struct slots *s = *state;
	int i;

	for (i = 0; i < SLOTS; i++)
		offer(s, i, NEVER_NS);
	assert_int_equal(start_all(s, 0), SLOTS);
	for (; i < SLOTS + QUEUE; i++)
		offer(s, i, NEVER_NS);
	assert_int_equal(slots_offer(s, &jobs[i], NEVER_NS), -EBUSY);
	assert_int_equal(start_all(s, 0), 0);
	assert_int_equal(slots_running(s), SLOTS);
	assert_int_equal(slots_waiting(s), QUEUE);
}

static void first_come_first_served(void **state)
{
	struct slots *s = *state;
	void *job;
	int i;

	for (i = 0; i < 4; i++)
		offer(s, i, NEVER_NS);
	start_all(s, 0);
	assert_false(slots_done(s, 9, &job));
	assert_int_equal(slots_next_ns(s), 10);
	assert_true(slots_done(s, 10, &job));
	assert_int_equal(slots_next(s, 10, &job), SLOTS_START);
	assert_ptr_equal(job, &jobs[2]);
}

/*
 * Symptom: a target worked on requests that their callers had given up.
 * Sequence: a request waits for a slot until its deadline has passed.
 * Cause: the deadline was looked at on arrival, not when work starts.
 */
static void expired_never_starts(void **state)
{
	struct slots *s = *state;
	void *job;

	offer(s, 0, NEVER_NS);
	offer(s, 1, NEVER_NS);
	start_all(s, 0);
	offer(s, 2, 10);
	offer(s, 3, 11);
	assert_true(slots_done(s, 10, &job));
	assert_int_equal(slots_next(s, 10, &job), SLOTS_EXPIRED);
	assert_ptr_equal(job, &jobs[2]);
	assert_int_equal(slots_next(s, 10, &job), SLOTS_START);
	assert_ptr_equal(job, &jobs[3]);
}

static bool is_job(const void *job, void *arg)
{
	return job == arg;
}

static void cancel_reaches_only_waiting(void **state)
{
	struct slots *s = *state;
	void *job;
	int i;

	for (i = 0; i < 4; i++)
		offer(s, i, NEVER_NS);
	start_all(s, 0);
	assert_false(slots_cancel(s, is_job, &jobs[0], &job));
	assert_true(slots_cancel(s, is_job, &jobs[2], &job));
	assert_ptr_equal(job, &jobs[2]);
	assert_false(slots_cancel(s, is_job, &jobs[2], &job));
	assert_int_equal(slots_waiting(s), 1);
	assert_int_equal(slots_running(s), SLOTS);
}

/* A slow start begins at five times the work and falls evenly to once. */
static void slow_start_falls(void **state)
{
	struct behaviour b = { .rng = { 1 } };

	(void)state;
	behaviour_reset(&b);
	assert_int_equal(behaviour_work_ns(&b, 100, 0), 100);
	behaviour_cold(&b, 1000, 1000);
	assert_int_equal(behaviour_work_ns(&b, 100, 1000), 500);
	assert_int_equal(behaviour_work_ns(&b, 100, 1500), 300);
	assert_int_equal(behaviour_work_ns(&b, 100, 2000), 100);
	b.crawl = 7;
	assert_int_equal(behaviour_work_ns(&b, 100, 1500), 2100);
	behaviour_reset(&b);
	assert_int_equal(behaviour_work_ns(&b, 100, 1500), 100);
}

static void report_lags_or_lies(void **state)
{
	struct report lagging = { .lag_ns = 100, .lie = -1 };
	struct report lying = { .lie = 7 };
	struct load now = { .running = 1, .waiting = 2, .connections = 300 };
	uint8_t buf[LOAD_BYTES];
	struct load said;

	(void)state;
	said = report_load(&lagging, &now, 1000);
	load_encode(&said, buf);
	assert_memory_equal(buf, "\0\1\0\2\1\54", LOAD_BYTES);
	now.running = 2;
	assert_int_equal(report_load(&lagging, &now, 1099).running, 1);
	assert_int_equal(report_load(&lagging, &now, 1100).running, 2);
	said = report_load(&lying, &now, 1100);
	assert_int_equal(said.running, 7);
	assert_int_equal(said.waiting + said.connections, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(bounds_hold, setup, teardown),
		cmocka_unit_test_setup_teardown(first_come_first_served, setup,
						teardown),
		cmocka_unit_test_setup_teardown(expired_never_starts, setup,
						teardown),
		cmocka_unit_test_setup_teardown(cancel_reaches_only_waiting,
						setup, teardown),
		cmocka_unit_test(slow_start_falls),
		cmocka_unit_test(report_lags_or_lies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
