/* The fabric stand-in: its spray, its faults, and what it holds back. */
#include "sim-fabric/fabric.h"

#include <errno.h>
#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define DRAWS 10000
#define ENTRY(i) ADDR(0x7f0a0100 + (i), 7100)

/* Within 2 % of DRAWS, on a fixed seed. */
static void assert_share(uint32_t n, uint32_t percent)
{
	uint32_t expected = DRAWS / 100 * percent;

	assert_in_range(n, expected - DRAWS / 50, expected + DRAWS / 50);
}

static void spray_is_even_and_blind(void **state)
{
	const uint64_t addrs[] = { ENTRY(1), ENTRY(2), ENTRY(3), ENTRY(4) };
	static struct entries e;
	struct rng rng = { 7 };
	uint32_t hits[4] = { 0 };
	uint32_t i;

	(void)state;
	entries_set(&e, addrs, 4);
	assert_int_equal(entries_cut(&e, ENTRY(2), true), 0);
	for (i = 0; i < DRAWS; i++)
		hits[entries_pick(&e, &rng) - e.list]++;
	for (i = 0; i < 4; i++)
		assert_share(hits[i], 25);
}

static void cut_survives_a_new_list(void **state)
{
	const uint64_t before[] = { ENTRY(1), ENTRY(2) };
	const uint64_t after[] = { ENTRY(2), ENTRY(3) };
	static struct entries e;

	(void)state;
	entries_set(&e, before, 2);
	assert_int_equal(entries_cut(&e, ENTRY(9), true), -ENOENT);
	entries_cut(&e, ENTRY(1), true);
	entries_cut(&e, ENTRY(2), true);
	entries_set(&e, after, 2);
	assert_false(entries_is_cut(&e, ENTRY(1)));
	assert_true(entries_is_cut(&e, ENTRY(2)));
	assert_false(entries_is_cut(&e, ENTRY(3)));
}

static void shares_are_met(void **state)
{
	struct faults f = { .rng = { 7 }, .drop_percent = 20 };
	uint32_t n_lost = 0;
	uint32_t n_twice = 0;
	uint32_t n_late = 0;
	uint32_t i;

	(void)state;
	for (i = 0; i < DRAWS; i++)
		n_lost += faults_draw(&f).n_copies == 0;
	assert_share(n_lost, 20);
	faults_clear(&f);
	f.dup_percent = 50;
	f.reorder_percent = 10;
	f.reorder_ns = 5;
	f.delay_ns = 2;
	for (i = 0; i < DRAWS; i++) {
		struct fate fate = faults_draw(&f);

		n_twice += fate.n_copies == 2;
		n_late += fate.delay_ns[0] == 7;
		assert_true(fate.delay_ns[0] == 7 || fate.delay_ns[0] == 2);
	}
	assert_share(n_twice, 50);
	assert_share(n_late, 10);
}

static int hold(struct held_queue *q, uint64_t due_ns, uint8_t mark)
{
	struct held h = { .due_ns = due_ns, .size_bytes = 1, .data = { mark } };

	return held_put(q, &h);
}

/*
 * Symptom: "delay" alone reordered datagrams.
 * Sequence: several datagrams fall due at the same time.
 * Cause: the heap compared times only; it keeps no order among equals.
 */
static void held_leave_by_time_then_arrival(void **state)
{
	struct held_queue *q = held_new(4);
	char seen[5] = "";
	const struct held *h;
	uint32_t n = 0;

	(void)state;
	assert_int_equal(held_next_ns(q), NEVER_NS);
	hold(q, 20, 'c');
	hold(q, 10, 'a');
	hold(q, 20, 'd');
	hold(q, 10, 'b');
	assert_int_equal(hold(q, 30, 'x'), -ENOBUFS);
	assert_int_equal(held_next_ns(q), 10);
	assert_null(held_take(q, 9));
	while (n < 4 && (h = held_take(q, 20)))
		seen[n++] = (char)h->data[0];
	assert_string_equal(seen, "abcd");
	assert_int_equal(hold(q, 30, 'x'), 0);
	held_free(q);
}

static int note(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	(void)argc, (void)reply, (void)n;
	return control_percent(argv[1], ctx);
}

static void assert_reply(const struct control *c, const char *line,
			 const char *expected)
{
	char copy[64];
	char reply[CONTROL_LINE_BYTES];

	strcpy(copy, line);
	control_do(c, copy, reply, sizeof(reply));
	assert_string_equal(reply, expected);
}

static void commands_say_what_they_expect(void **state)
{
	static const struct control_command commands[] = {
		{ "drop", 1, 1, "PCT (0 to 100)", note },
		{ NULL, 0, 0, NULL, NULL }
	};
	static const char usage[] = "error: expected: drop PCT (0 to 100)";
	static struct control c;
	uint32_t percent = 0;

	(void)state;
	c.commands = commands;
	c.ctx = &percent;
	assert_reply(&c, "drop 20%\n", "ok");
	assert_int_equal(percent, 20);
	assert_reply(&c, "drop", usage);
	assert_reply(&c, "drop 1 2", usage);
	assert_reply(&c, "drop 101", usage);
	assert_reply(&c, "drop -1", usage);
	assert_reply(&c, "drop %", usage);
	assert_reply(&c, " \n", "error: expected a command");
	assert_reply(&c, "dorp 1",
		     "error: dorp: unknown, expected one of: drop");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(spray_is_even_and_blind),
		cmocka_unit_test(cut_survives_a_new_list),
		cmocka_unit_test(shares_are_met),
		cmocka_unit_test(held_leave_by_time_then_arrival),
		cmocka_unit_test(commands_say_what_they_expect),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
