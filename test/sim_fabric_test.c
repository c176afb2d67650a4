/* sim-fabric: selection of entries, faults, delayed datagrams, commands. */
#include "sim-fabric/fabric.h"

#include <errno.h>
#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define DRAWS 10000
#define ENTRY(i) ADDR(0x7f0a0100 + (i), 7100)

/* Asserts @percent of DRAWS, within 2 % of DRAWS; the seed is fixed. */
static void assert_share(uint32_t n, uint32_t percent)
{
	uint32_t expected = DRAWS / 100 * percent;

	assert_in_range(n, expected - DRAWS / 50, expected + DRAWS / 50);
}

static void entries_are_selected_evenly_even_if_cut(void **state)
{
	const uint64_t addrs[] = { ENTRY(1), ENTRY(2), ENTRY(3), ENTRY(4) };
	static struct entries e;
	struct rng rng = { 7 };
	uint32_t hits[4] = { 0 };
	uint32_t i;

	(void)state;
	entries_set(&e, addrs, 4);
	assert_int_equal(entries_set_partitioned(&e, ENTRY(2), true), 0);
	for (i = 0; i < DRAWS; i++)
		hits[entries_select(&e, &rng) - e.list]++;
	for (i = 0; i < 4; i++)
		assert_share(hits[i], 25);
}

static void cut_entry_stays_cut_in_a_new_list(void **state)
{
	const uint64_t before[] = { ENTRY(1), ENTRY(2) };
	const uint64_t after[] = { ENTRY(2), ENTRY(3) };
	static struct entries e;

	(void)state;
	entries_set(&e, before, 2);
	assert_int_equal(entries_set_partitioned(&e, ENTRY(9), true), -ENOENT);
	entries_set_partitioned(&e, ENTRY(1), true);
	entries_set_partitioned(&e, ENTRY(2), true);
	entries_set(&e, after, 2);
	assert_false(entries_is_partitioned(&e, ENTRY(1)));
	assert_true(entries_is_partitioned(&e, ENTRY(2)));
	assert_false(entries_is_partitioned(&e, ENTRY(3)));
}

static void faults_affect_the_configured_shares(void **state)
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
		struct datagram_faults drawn = faults_draw(&f);

		n_twice += drawn.n_copies == 2;
		n_late += drawn.delay_ns[0] == 7;
		assert_true(drawn.delay_ns[0] == 7 || drawn.delay_ns[0] == 2);
	}
	assert_share(n_twice, 50);
	assert_share(n_late, 10);
}

static int put(struct delay_queue *q, uint64_t due_ns, uint8_t mark)
{
	struct delayed_datagram h = { .due_ns = due_ns,
				      .size_bytes = 1,
				      .data = { mark } };

	return delay_queue_put(q, &h);
}

/*
 * The fault "delay" alone reordered datagrams that are due at the same time:
 * the heap compared only times and keeps no order among equal ones.
 */
static void delayed_datagrams_leave_by_time_then_arrival(void **state)
{
	struct delay_queue *q = delay_queue_new(4);
	char seen[5] = "";
	const struct delayed_datagram *h;
	uint32_t n = 0;

	(void)state;
	assert_int_equal(delay_queue_next_ns(q), NEVER_NS);
	put(q, 20, 'c');
	put(q, 10, 'a');
	put(q, 20, 'd');
	put(q, 10, 'b');
	assert_int_equal(put(q, 30, 'x'), -ENOBUFS);
	assert_int_equal(delay_queue_next_ns(q), 10);
	assert_null(delay_queue_pop_due(q, 9));
	while (n < 4 && (h = delay_queue_pop_due(q, 20)))
		seen[n++] = (char)h->data[0];
	assert_string_equal(seen, "abcd");
	assert_int_equal(put(q, 30, 'x'), 0);
	delay_queue_free(q);
}

static int set_percent(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	(void)argc, (void)reply, (void)n;
	return control_parse_percent(argv[1], ctx);
}

static void assert_reply(const struct control *c, const char *line,
			 const char *expected)
{
	char copy[64];
	char reply[CONTROL_LINE_BYTES];

	strcpy(copy, line);
	control_run_line(c, copy, reply, sizeof(reply));
	assert_string_equal(reply, expected);
}

static void invalid_command_reports_its_usage(void **state)
{
	static const struct control_command commands[] = {
		{ "drop", 1, 1, "PCT (0 to 100)", set_percent },
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
		cmocka_unit_test(entries_are_selected_evenly_even_if_cut),
		cmocka_unit_test(cut_entry_stays_cut_in_a_new_list),
		cmocka_unit_test(faults_affect_the_configured_shares),
		cmocka_unit_test(delayed_datagrams_leave_by_time_then_arrival),
		cmocka_unit_test(invalid_command_reports_its_usage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
