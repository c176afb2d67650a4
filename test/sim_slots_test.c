/* sim-target: slots and queue, faults, load reports. */
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

static void enqueue(struct slots *s, int i, uint64_t deadline_ns)
{
	assert_int_equal(slots_enqueue(s, &jobs[i], deadline_ns), 0);
}

/* Starts all jobs that may start at @now_ns; each runs for 10 ns. */
static int start_all(struct slots *s, uint64_t now_ns)
{
	void *job;
	int n = 0;

	while (slots_dequeue(s, now_ns, &job) == SLOTS_START) {
		slots_start(s, job, now_ns + 10);
		n++;
	}
	return n;
}

/*
 * Six requests at once for two slots and a queue of three: the target ran more
 * requests than it has slots, or its queue had no bound, since queued requests
 * were counted against the free slots.
 */
static void slots_and_queue_are_bounded(void **state)
{
	struct slots *s = *state;
	int i;

	for (i = 0; i < SLOTS; i++)
		enqueue(s, i, NEVER_NS);
	assert_int_equal(start_all(s, 0), SLOTS);
	for (; i < SLOTS + QUEUE; i++)
		enqueue(s, i, NEVER_NS);
	assert_int_equal(slots_enqueue(s, &jobs[i], NEVER_NS), -EBUSY);
	assert_int_equal(start_all(s, 0), 0);
	assert_int_equal(slots_running(s), SLOTS);
	assert_int_equal(slots_queued(s), QUEUE);
}

static void queued_jobs_start_in_order_of_arrival(void **state)
{
	struct slots *s = *state;
	void *job;
	int i;

	for (i = 0; i < 4; i++)
		enqueue(s, i, NEVER_NS);
	start_all(s, 0);
	assert_false(slots_pop_finished(s, 9, &job));
	assert_int_equal(slots_next_finish_ns(s), 10);
	assert_true(slots_pop_finished(s, 10, &job));
	assert_int_equal(slots_dequeue(s, 10, &job), SLOTS_START);
	assert_ptr_equal(job, &jobs[2]);
}

/*
 * A target ran requests that their callers had given up: the deadline was
 * checked on arrival, not when a queued request started.
 */
static void expired_job_never_starts(void **state)
{
	struct slots *s = *state;
	void *job;

	enqueue(s, 0, NEVER_NS);
	enqueue(s, 1, NEVER_NS);
	start_all(s, 0);
	enqueue(s, 2, 10);
	enqueue(s, 3, 11);
	assert_true(slots_pop_finished(s, 10, &job));
	assert_int_equal(slots_dequeue(s, 10, &job), SLOTS_EXPIRED);
	assert_ptr_equal(job, &jobs[2]);
	assert_int_equal(slots_dequeue(s, 10, &job), SLOTS_START);
	assert_ptr_equal(job, &jobs[3]);
}

static bool is_job(const void *job, void *arg)
{
	return job == arg;
}

static void cancel_removes_only_queued_jobs(void **state)
{
	struct slots *s = *state;
	void *job;
	int i;

	for (i = 0; i < 4; i++)
		enqueue(s, i, NEVER_NS);
	start_all(s, 0);
	assert_false(slots_cancel(s, is_job, &jobs[0], &job));
	assert_true(slots_cancel(s, is_job, &jobs[2], &job));
	assert_ptr_equal(job, &jobs[2]);
	assert_false(slots_cancel(s, is_job, &jobs[2], &job));
	assert_int_equal(slots_queued(s), 1);
	assert_int_equal(slots_running(s), SLOTS);
}

/* A cold phase starts at 5 times the work and falls linearly to 1. */
static void work_gets_faster_during_cold_phase(void **state)
{
	struct behaviour b = { .rng = { 1 } };

	(void)state;
	behaviour_reset(&b);
	assert_int_equal(behaviour_work_ns(&b, 100, 0), 100);
	behaviour_start_cold(&b, 1000, 1000);
	assert_int_equal(behaviour_work_ns(&b, 100, 1000), 500);
	assert_int_equal(behaviour_work_ns(&b, 100, 1500), 300);
	assert_int_equal(behaviour_work_ns(&b, 100, 2000), 100);
	b.work_factor = 7;
	assert_int_equal(behaviour_work_ns(&b, 100, 1500), 2100);
	behaviour_reset(&b);
	assert_int_equal(behaviour_work_ns(&b, 100, 1500), 100);
}

static void load_report_is_delayed_or_constant(void **state)
{
	struct load_report lagging = { .lag_ns = 100, .constant = -1 };
	struct load_report constant = { .constant = 7 };
	struct load now = { .running = 1, .waiting = 2, .connections = 300 };
	uint8_t buf[LOAD_BYTES];
	struct load reported;

	(void)state;
	reported = load_report_get(&lagging, &now, 1000);
	load_encode(&reported, buf);
	assert_memory_equal(buf, "\0\1\0\2\1\54", LOAD_BYTES);
	now.running = 2;
	assert_int_equal(load_report_get(&lagging, &now, 1099).running, 1);
	assert_int_equal(load_report_get(&lagging, &now, 1100).running, 2);
	reported = load_report_get(&constant, &now, 1100);
	assert_int_equal(reported.running, 7);
	assert_int_equal(reported.waiting + reported.connections, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(slots_and_queue_are_bounded,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			queued_jobs_start_in_order_of_arrival, setup, teardown),
		cmocka_unit_test_setup_teardown(expired_job_never_starts, setup,
						teardown),
		cmocka_unit_test_setup_teardown(cancel_removes_only_queued_jobs,
						setup, teardown),
		cmocka_unit_test(work_gets_faster_during_cold_phase),
		cmocka_unit_test(load_report_is_delayed_or_constant),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
