/* Configuration of client accounts: order, replacement, deep copies. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "config.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct account_conf *account(const char *name, uint64_t generation)
{
	struct account_conf *a = calloc(1, sizeof(*a));

	assert_non_null(a);
	snprintf(a->name, sizeof(a->name), "%s", name);
	a->generation = generation;
	a->services = calloc(2, sizeof(*a->services));
	assert_non_null(a->services);
	a->n_services = 2;
	a->services[0].targets = calloc(3, sizeof(struct target_conf));
	assert_non_null(a->services[0].targets);
	a->services[0].n_targets = 3;
	a->services[0].targets[2].addr = ADDR(0x7f000001, 5683);
	return a;
}

static void accounts_are_sorted_and_replaced_by_name(void **unused)
{
	static const char *const names[] = { "m", "c", "z", "a", "c", "m" };
	struct config c = { 0 };

	(void)unused;
	for (uint32_t i = 0; i < 6; i++)
		assert_int_equal(config_put(&c, account(names[i], i + 1)), 0);
	assert_int_equal(c.n_accounts, 4);
	assert_string_equal(c.accounts[0].name, "a");
	assert_string_equal(c.accounts[1].name, "c");
	assert_string_equal(c.accounts[3].name, "z");
	assert_int_equal(config_find_account(&c, "c")->generation, 5);
	assert_int_equal(config_find_account(&c, "m")->generation, 6);
	assert_null(config_find_account(&c, "b"));
	assert_null(config_find_account(&c, "zz"));
	config_free(&c);
	assert_int_equal(c.n_accounts, 0);
}

static void account_copy_shares_no_memory(void **unused)
{
	struct account_conf *a = account("a", 1);
	struct account_conf *b = account_copy(a);

	(void)unused;
	assert_non_null(b);
	a->services[0].targets[2].addr = ADDR_NONE;
	account_free(a);
	assert_string_equal(b->name, "a");
	assert_int_equal(b->services[0].targets[2].addr,
			 ADDR(0x7f000001, 5683));
	assert_null(b->services[1].targets);
	account_free(b);
	account_free(NULL);
}

/*
 * Guards against freeing an account twice, or leaking it, when there are more
 * accounts than ACCOUNTS_MAX: after an error the caller still owns the account.
 */
static void account_above_limit_remains_callers(void **unused)
{
	struct config c = { 0 };
	struct account_conf *a;
	char name[NAME_MAX_BYTES];

	(void)unused;
	for (uint32_t i = 0; i < ACCOUNTS_MAX; i++) {
		snprintf(name, sizeof(name), "n%05u", i);
		assert_int_equal(config_put(&c, account(name, 1)), 0);
	}
	a = account("one-more", 1);
	assert_int_equal(config_put(&c, a), -ENOSPC);
	assert_int_equal(c.n_accounts, ACCOUNTS_MAX);
	account_free(a);
	assert_int_equal(config_put(&c, account("n00000", 2)), 0);
	assert_int_equal(config_find_account(&c, "n00000")->generation, 2);
	config_free(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(accounts_are_sorted_and_replaced_by_name),
		cmocka_unit_test(account_copy_shares_no_memory),
		cmocka_unit_test(account_above_limit_remains_callers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
