/* entry_next_ns() covers each deadline of an entry, and none stays due. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "entry.h"

#define SETTLE_NS (200 * NS_PER_MS)
#define PERIOD_NS (20 * NS_PER_S)
#define TICKS_MAX 200

static const uint64_t self = ADDR(0x7f460101, 7000);
static const uint64_t other = ADDR(0x7f460102, 7000);
static struct actions out;

/* Probes are rare, so that no other deadline is due in a test. */
static struct entry *make_entry(uint64_t now_ns)
{
	const struct entry_conf conf = {
		.member = { .self = self,
			    .incarnation = 1,
			    .probe_period_ns = PERIOD_NS,
			    .probe_timeout_ns = PERIOD_NS / 2,
			    .suspect_timeout_ns = PERIOD_NS,
			    .lease_ns = 10 * PERIOD_NS,
			    .probes_per_period = 1,
			    .indirect_probes = 1 },
		.requests_max = 16,
		.feeds_max = 16,
		.claims_max = 16,
		.flows_max = 16,
		.settle_ns = SETTLE_NS,
		.cover_ns = NS_PER_S,
		.claim_timeout_ns = NS_PER_S,
		.probe_idle_ns = 10 * NS_PER_S,
		.drain_ns = NS_PER_S,
		.peer_bytes_per_s = 16000,
		.n_buckets = 16,
		.seed = 7,
	};

	return entry_new(&conf, now_ns);
}

/*
 * Ticks the entry whenever a tick is due, as the daemon does.
 * Return: number of ticks until @end_ns, at most TICKS_MAX.
 */
static uint32_t count_ticks(struct entry *e, uint64_t *now_ns, uint64_t end_ns)
{
	uint32_t ticks = 0;
	uint64_t next_ns;

	while (!entry_has_left(e) && (next_ns = entry_next_ns(e)) <= end_ns &&
	       ticks < TICKS_MAX) {
		if (next_ns > *now_ns)
			*now_ns = next_ns;
		entry_tick(e, *now_ns, &out);
		ticks++;
	}
	return ticks;
}

/*
 * A new entry that knows the others joins up to a probe period after the settle
 * time, because entry_next_ns() omits the deadline for joining.
 */
static void next_tick_includes_join_deadline(void **state)
{
	uint64_t now_ns = NS_PER_S;
	struct entry *e = make_entry(now_ns);

	(void)state;
	entry_roster(e, &self, 1, now_ns, &out);
	entry_tick(e, now_ns, &out);
	assert_true(entry_next_ns(e) <= now_ns + SETTLE_NS);
	entry_free(e);
}

/* The same for an entry that joins without a majority after 3 s. */
static void next_tick_includes_join_deadline_without_majority(void **state)
{
	const uint64_t vms[] = { self, other };
	uint64_t now_ns = NS_PER_S;
	struct entry *e = make_entry(now_ns);

	(void)state;
	entry_roster(e, vms, 2, now_ns, &out);
	entry_tick(e, now_ns, &out);
	assert_true(entry_next_ns(e) <= now_ns + 3 * NS_PER_S);
	entry_free(e);
}

/*
 * A process that has to stop before it has joined uses a whole core, because
 * the deadline for joining stays due while a leaving entry never joins.
 */
static void leaving_before_join_does_not_busy_loop(void **state)
{
	uint64_t now_ns = NS_PER_S;
	struct entry *e = make_entry(now_ns);

	(void)state;
	entry_roster(e, &self, 1, now_ns, &out);
	entry_tick(e, now_ns, &out);
	entry_leave(e, now_ns, &out);
	assert_in_range(count_ticks(e, &now_ns, now_ns + 3 * NS_PER_S), 0,
			TICKS_MAX - 1);
	entry_free(e);
}

static void joined_entry_does_not_busy_loop(void **state)
{
	uint64_t now_ns = NS_PER_S;
	struct entry *e = make_entry(now_ns);

	(void)state;
	entry_roster(e, &self, 1, now_ns, &out);
	assert_in_range(count_ticks(e, &now_ns, now_ns + 3 * NS_PER_S), 1,
			TICKS_MAX - 1);
	entry_free(e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(next_tick_includes_join_deadline),
		cmocka_unit_test(
			next_tick_includes_join_deadline_without_majority),
		cmocka_unit_test(leaving_before_join_does_not_busy_loop),
		cmocka_unit_test(joined_entry_does_not_busy_loop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
