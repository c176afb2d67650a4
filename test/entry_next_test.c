/* When an entry asks to be ticked: by its own deadlines, not by luck. */
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

/* Probes are rare, so that nothing else ticks the entry by chance. */
static struct entry *make(uint64_t now_ns)
{
	const struct entry_conf conf = {
		.member = { .self = self,
			    .incarnation = 1,
			    .probe_period_ns = PERIOD_NS,
			    .probe_timeout_ns = PERIOD_NS / 2,
			    .suspect_timeout_ns = PERIOD_NS,
			    .lease_ns = 10 * PERIOD_NS,
			    .probes = 1,
			    .indirect = 1 },
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

/* Tick when asked to, as the daemon does; how often until @end_ns. */
static uint32_t run(struct entry *e, uint64_t *now_ns, uint64_t end_ns)
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
 * Symptom: a new entry joins late, by up to a round of probes. Sequence: it
 * knows the fleet; the settle time passes; nothing else is due. Cause: the
 * deadline of joining was none that the entry asked to be ticked for.
 */
static void test_joining_is_due_by_itself(void **state)
{
	uint64_t now_ns = NS_PER_S;
	struct entry *e = make(now_ns);

	(void)state;
	entry_roster(e, &self, 1, now_ns, &out);
	entry_tick(e, now_ns, &out);
	assert_true(entry_next_ns(e) <= now_ns + SETTLE_NS);
	entry_free(e);
}

/* An entry that finds no majority joins all the same, after 3 s. */
static void test_joining_alone_is_due_by_itself(void **state)
{
	const uint64_t vms[] = { self, other };
	uint64_t now_ns = NS_PER_S;
	struct entry *e = make(now_ns);

	(void)state;
	entry_roster(e, vms, 2, now_ns, &out);
	entry_tick(e, now_ns, &out);
	assert_true(entry_next_ns(e) <= now_ns + 3 * NS_PER_S);
	entry_free(e);
}

/*
 * Symptom: a process takes a whole core while it stops. Sequence: it is told to
 * leave before it has joined. Cause: the deadline of joining stays due, and
 * nothing that is leaving joins.
 */
static void test_a_leaver_that_never_joined_does_not_spin(void **state)
{
	uint64_t now_ns = NS_PER_S;
	struct entry *e = make(now_ns);

	(void)state;
	entry_roster(e, &self, 1, now_ns, &out);
	entry_tick(e, now_ns, &out);
	entry_leave(e, now_ns, &out);
	assert_in_range(run(e, &now_ns, now_ns + 3 * NS_PER_S), 0,
			TICKS_MAX - 1);
	entry_free(e);
}

static void test_an_entry_that_joined_does_not_spin(void **state)
{
	uint64_t now_ns = NS_PER_S;
	struct entry *e = make(now_ns);

	(void)state;
	entry_roster(e, &self, 1, now_ns, &out);
	assert_in_range(run(e, &now_ns, now_ns + 3 * NS_PER_S), 1,
			TICKS_MAX - 1);
	entry_free(e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_joining_is_due_by_itself),
		cmocka_unit_test(test_joining_alone_is_due_by_itself),
		cmocka_unit_test(test_a_leaver_that_never_joined_does_not_spin),
		cmocka_unit_test(test_an_entry_that_joined_does_not_spin),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
