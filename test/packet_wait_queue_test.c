/* Queue of packets: one list for each target, over one pool of slots. */
#include "flow_cache.h"
#include "wait_queue.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define SLOTS 4

static struct flow_state flow(struct target *t)
{
	return (struct flow_state){ .target = t };
}

static void test_queued_packet_is_unchanged(void **state)
{
	struct wait_queue *w = wait_queue_new(SLOTS);
	struct target t = { 0 };
	struct flow_state f = flow(&t);
	uint8_t bytes[WAIT_QUEUE_PACKET_MAX_BYTES + 1] = { 1, 2, 3 };
	uint32_t n_bytes;

	(void)state;
	assert_true(wait_queue_add(w, &f, bytes, WAIT_QUEUE_PACKET_MAX_BYTES));
	assert_int_equal(wait_queue_count(w), 1);
	assert_memory_equal(wait_queue_packet(w, &f, &n_bytes), bytes,
			    WAIT_QUEUE_PACKET_MAX_BYTES);
	assert_int_equal(n_bytes, WAIT_QUEUE_PACKET_MAX_BYTES);
	wait_queue_remove(w, &f);
	assert_int_equal(wait_queue_count(w), 0);
	assert_null(wait_queue_latest(w, &t));
	assert_false(
		wait_queue_add(w, &f, bytes, WAIT_QUEUE_PACKET_MAX_BYTES + 1));
	wait_queue_free(w);
}

static void test_remove_of_flow_not_queued_changes_nothing(void **state)
{
	struct wait_queue *w = wait_queue_new(SLOTS);
	struct target t = { 0 };
	struct flow_state f = flow(&t), other = flow(&t);

	(void)state;
	wait_queue_add(w, &f, (const uint8_t *)"x", 1);
	wait_queue_remove(w, &other);
	assert_ptr_equal(wait_queue_latest(w, &t), &f);
	wait_queue_free(w);
}

/*
 * The first, the middle and the last of three queued flows are removed in all
 * orders, beside a flow that is queued for another target.
 */
static void test_lists_hold_after_removal_in_any_order(void **state)
{
	static const uint8_t orders[][3] = { { 0, 1, 2 }, { 0, 2, 1 },
					     { 1, 0, 2 }, { 1, 2, 0 },
					     { 2, 0, 1 }, { 2, 1, 0 } };
	struct wait_queue *w = wait_queue_new(SLOTS);

	(void)state;
	for (uint32_t i = 0; i < 6; i++) {
		struct target t = { 0 }, other = { 0 };
		struct flow_state f[3] = { flow(&t), flow(&t), flow(&t) };
		struct flow_state other_flow = flow(&other);

		for (uint32_t k = 0; k < 3; k++)
			wait_queue_add(w, &f[k], (const uint8_t *)"x", 1);
		wait_queue_add(w, &other_flow, (const uint8_t *)"y", 1);
		assert_ptr_equal(wait_queue_latest(w, &t), &f[2]);
		for (uint32_t k = 0; k < 3; k++) {
			uint32_t left = 0;

			wait_queue_remove(w, &f[orders[i][k]]);
			for (struct flow_state *g = wait_queue_latest(w, &t); g;
			     g = wait_queue_earlier(w, g))
				left++;
			assert_int_equal(left, 2 - k);
		}
		assert_ptr_equal(wait_queue_latest(w, &other), &other_flow);
		wait_queue_remove(w, &other_flow);
	}
	wait_queue_free(w);
}

static void test_slots_are_reused_after_removal(void **state)
{
	struct wait_queue *w = wait_queue_new(SLOTS);
	struct target t = { 0 };
	struct flow_state f[SLOTS + 1];

	(void)state;
	for (uint32_t round = 0; round < 3; round++) {
		for (uint32_t i = 0; i <= SLOTS; i++) {
			f[i] = flow(&t);
			assert_int_equal(wait_queue_add(w, &f[i],
							(const uint8_t *)"x",
							1),
					 i < SLOTS);
		}
		for (uint32_t i = 0; i < SLOTS; i++)
			wait_queue_remove(w, &f[i]);
		assert_int_equal(wait_queue_count(w), 0);
	}
	wait_queue_free(w);
}

static void test_queue_of_capacity_0_rejects_packets(void **state)
{
	struct wait_queue *w = wait_queue_new(0);
	struct target t = { 0 };
	struct flow_state f = flow(&t);

	(void)state;
	assert_false(wait_queue_add(w, &f, (const uint8_t *)"x", 1));
	wait_queue_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_queued_packet_is_unchanged),
		cmocka_unit_test(
			test_remove_of_flow_not_queued_changes_nothing),
		cmocka_unit_test(test_lists_hold_after_removal_in_any_order),
		cmocka_unit_test(test_slots_are_reused_after_removal),
		cmocka_unit_test(test_queue_of_capacity_0_rejects_packets),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
