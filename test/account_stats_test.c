/* Answers to the callers of a client account are counted once each. */
#include "account_stats.h"
#include "testbed.h"

#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

#define TARGETS 4
#define SHED_NS (20 * NS_PER_S)
#define RUN_NS (25 * NS_PER_S)

struct totals {
	uint64_t answered;
	uint64_t refused;
	uint64_t unknown;
};

static struct entry *entry_under_test;

static struct entry *make_and_keep(const struct entry_conf *conf,
				   uint64_t now_ns)
{
	entry_under_test = entry_new(conf, now_ns);
	return entry_under_test;
}

static struct totals sum_totals(const struct entry *e)
{
	const struct answer_stats *s;
	struct totals t = { 0 };
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
 * The metrics show more answers and refusals than callers had, because an
 * answer that is sent again after a retransmission is counted again. The link
 * to callers loses answers, and targets shed requests for a while.
 */
static void replayed_answers_are_not_counted_again(void **unused)
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
	struct totals t;

	(void)unused;
	system.make = make_and_keep;
	f = testbed_new(&plan);
	testbed_set_link_faults(f, LINK_TO_CALLER,
				(struct link_faults){ .drop_per_mille = 60 });
	for (uint32_t i = 0; i < TARGETS; i++)
		testbed_schedule(f, SHED_NS, testbed_set_target_mode, i,
				 MODE_SHED);
	testbed_run(f, RUN_NS);
	v = testbed_finish(f);
	t = sum_totals(entry_under_test);
	assert_true(entry_counters(entry_under_test)->answers_replayed > 0);
	assert_true(v.refused > 0);
	/* A caller that receives no copy of its answer counts it as lost. */
	assert_true(t.answered >= v.answered && t.refused >= v.refused &&
		    t.unknown >= v.unknown);
	assert_int_equal(t.answered + t.refused + t.unknown, v.ops);
	testbed_free(f);
}

static void apply_account(struct account_stats *a, const char *name,
			  uint64_t vip)
{
	struct service_conf s = { .vip = vip, .class = CLASS_REPORT };
	struct account_conf account = { .services = &s, .n_services = 1 };
	struct config c = { &account, 1 };

	strcpy(account.name, name);
	assert_int_equal(account_stats_config(a, &c), 0);
}

/*
 * The refusals of a client account can't be explained after it was withdrawn
 * and added again, because its counters are deleted with its configuration.
 */
static void counters_survive_withdrawal_of_account(void **unused)
{
	struct account_stats *a = account_stats_new();
	const struct answer_stats *s;
	const char *name;
	uint32_t cursor = 0;
	uint8_t class;

	(void)unused;
	apply_account(a, "tshwane", 1);
	account_stats_find(a, 1, 0)->not_run[REFUSE_SHARE] = 7;
	apply_account(a, "ventolario", 2);
	apply_account(a, "club", 3);
	assert_null(account_stats_find(a, 1, 0));
	while (account_stats_next(a, &cursor, &name, &class, &s))
		if (!strcmp(name, "tshwane") && class == CLASS_REPORT)
			assert_int_equal(s->not_run[REFUSE_SHARE], 7);
	assert_int_equal(cursor, 3 * CLASS_COUNT);
	apply_account(a, "tshwane", 1);
	assert_int_equal(account_stats_find(a, 1, 0)->not_run[REFUSE_SHARE], 7);
	account_stats_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(replayed_answers_are_not_counted_again),
		cmocka_unit_test(counters_survive_withdrawal_of_account),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
