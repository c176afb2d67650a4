/* What callers of a client account were told is counted once each. */
#include "account_stats.h"
#include "testbed.h"

#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define TARGETS 4
#define SHED_NS (20 * NS_PER_S)
#define RUN_NS (25 * NS_PER_S)

struct told {
	uint64_t answered;
	uint64_t refused;
	uint64_t unknown;
};

static struct entry *made;

static struct entry *make_and_note(const struct entry_conf *conf,
				   uint64_t now_ns)
{
	made = entry_new(conf, now_ns);
	return made;
}

static struct told told_by(const struct entry *e)
{
	const struct answer_stats *s;
	struct told t = { 0 };
	const char *account;
	uint32_t cursor = 0;
	uint8_t class;

	while (entry_answer_stats_next(e, &cursor, &account, &class, &s)) {
		t.answered += s->answered;
		for (uint32_t i = 0; i < REFUSE_COUNT; i++) {
			t.refused += s->not_run[i];
			t.unknown += s->unknown[i];
		}
	}
	return t;
}

/*
 * Symptom: more refusals and answers on the operators' page than callers saw.
 * Sequence: the link to callers loses some of the answers and targets
 * refuse for a while; callers repeat, and the entry answers again.
 * Cause: a repeat of an answer counted like a first one.
 */
static void repeats_are_not_counted(void **unused)
{
	struct testbed_system system = testbed_product;
	struct testbed_plan plan = {
		.seed = 20261202,
		.nodes = 1,
		.targets = { TARGETS, 2 },
		.callers = { [OP_GET] = 20, [OP_POST] = 20 },
		.system = &system,
	};
	struct testbed_verdict v;
	struct testbed *f;
	struct told t;

	(void)unused;
	system.make = make_and_note;
	f = testbed_new(&plan);
	testbed_link(f, LINK_DOWN, (struct link_faults){ .drop = 60 });
	for (uint32_t i = 0; i < TARGETS; i++)
		testbed_at(f, SHED_NS, testbed_target_mode, i, MODE_SHED);
	testbed_run(f, RUN_NS);
	v = testbed_finish(f);
	t = told_by(made);
	assert_true(entry_counters(made)->answers_replayed > 0);
	assert_true(v.refused > 0);
	/* A caller that lost every copy of its answer counts it as lost. */
	assert_true(t.answered >= v.answered && t.refused >= v.refused &&
		    t.unknown >= v.unknown);
	assert_int_equal(t.answered + t.refused + t.unknown, v.ops);
	testbed_free(f);
}

static void put_in_force(struct account_stats *a, const char *name,
			 uint64_t vip)
{
	struct service_conf s = { .vip = vip, .class = CLASS_REPORT };
	struct account_conf account = { .services = &s, .n_services = 1 };
	struct config c = { &account, 1 };

	strcpy(account.name, name);
	assert_int_equal(account_stats_config(a, &c), 0);
}

/*
 * Symptom: a client account asks why it was refused, and nobody can tell.
 * Sequence: the account is withdrawn, others change, it comes back.
 * Cause: counters kept with the configuration in force.
 */
static void counters_outlive_a_withdrawal(void **unused)
{
	struct account_stats *a = account_stats_new();
	const struct answer_stats *s;
	const char *name;
	uint32_t cursor = 0;
	uint8_t class;

	(void)unused;
	put_in_force(a, "tshwane", 1);
	account_stats_find(a, 1, 0)->not_run[REFUSE_SHARE] = 7;
	put_in_force(a, "ventolario", 2);
	put_in_force(a, "club", 3);
	assert_null(account_stats_find(a, 1, 0));
	while (account_stats_next(a, &cursor, &name, &class, &s))
		if (!strcmp(name, "tshwane") && class == CLASS_REPORT)
			assert_int_equal(s->not_run[REFUSE_SHARE], 7);
	assert_int_equal(cursor, 3 * CLASS_COUNT);
	put_in_force(a, "tshwane", 1);
	assert_int_equal(account_stats_find(a, 1, 0)->not_run[REFUSE_SHARE], 7);
	account_stats_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(repeats_are_not_counted),
		cmocka_unit_test(counters_outlive_a_withdrawal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
