/* sim-platform: keys, revisions, old states and call counters. */
#include "sim-platform/platform.h"

#include <errno.h>
#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

static int setup(void **state)
{
	*state = key_store_new();
	return 0;
}

static int teardown(void **state)
{
	key_store_free(*state);
	return 0;
}

static uint64_t put(struct key_store *k, const char *key, const char *value)
{
	uint64_t revision;

	assert_int_equal(key_store_put(k, key, value, strlen(value), &revision),
			 0);
	return revision;
}

static void assert_value(struct key_store *k, const char *key, uint64_t as_of,
			 const char *expected)
{
	GString *out = g_string_new(NULL);
	uint64_t revision;

	if (expected)
		assert_int_equal(key_store_get(k, key, as_of, out, &revision),
				 0);
	else
		assert_int_equal(key_store_get(k, key, as_of, out, &revision),
				 -ENOENT);
	assert_string_equal(out->str, expected ? expected : "");
	g_string_free(out, TRUE);
}

static void assert_list(struct key_store *k, const char *prefix, uint64_t as_of,
			const char *expected)
{
	GString *out = g_string_new(NULL);

	key_store_list(k, prefix, as_of, out);
	assert_string_equal(out->str, expected);
	g_string_free(out, TRUE);
}

static void assert_changes(struct key_store *k, uint64_t after, uint64_t as_of,
			   const char *expected)
{
	GString *out = g_string_new(NULL);

	key_store_changes(k, after, as_of, out);
	assert_string_equal(out->str, expected);
	g_string_free(out, TRUE);
}

static void each_write_increments_the_revision(void **state)
{
	assert_int_equal(put(*state, "account/b", "1"), 1);
	assert_int_equal(put(*state, "account/a", "1"), 2);
	assert_int_equal(put(*state, "vms/garda", "x"), 3);
	assert_int_equal(put(*state, "account/b", "2"), 4);
	assert_value(*state, "account/b", REVISION_LATEST, "2");
	assert_list(*state, "account/", REVISION_LATEST,
		    "2 account/a\n4 account/b\n");
	assert_list(*state, "", REVISION_LATEST,
		    "2 account/a\n4 account/b\n3 vms/garda\n");
}

/*
 * A reader kept an account whose key was deleted during its watch, since the
 * watch listed only keys that still exist.
 */
static void watch_reports_deleted_keys(void **state)
{
	uint64_t revision;

	put(*state, "account/a", "1");
	put(*state, "account/b", "1");
	assert_changes(*state, 2, REVISION_LATEST, "");
	assert_int_equal(key_store_delete(*state, "account/a", &revision), 0);
	assert_changes(*state, 2, REVISION_LATEST, "3 account/a\n");
	assert_changes(*state, 0, REVISION_LATEST,
		       "3 account/a\n2 account/b\n");
	assert_value(*state, "account/a", REVISION_LATEST, NULL);
	assert_list(*state, "", REVISION_LATEST, "2 account/b\n");
	assert_int_equal(key_store_delete(*state, "account/a", &revision),
			 -ENOENT);
}

/*
 * A test of a stale service passed by mistake: a change after the old state was
 * visible, since one of get, list and watch read the latest version.
 */
static void old_state_hides_later_changes(void **state)
{
	uint64_t revision;

	put(*state, "account/a", "1");
	put(*state, "account/c", "1");
	put(*state, "account/a", "2");
	put(*state, "account/b", "1");
	key_store_delete(*state, "account/c", &revision);
	assert_value(*state, "account/a", 2, "1");
	assert_value(*state, "account/b", 2, NULL);
	assert_value(*state, "account/c", 2, "1");
	assert_list(*state, "", 2, "1 account/a\n2 account/c\n");
	assert_changes(*state, 1, 2, "2 account/c\n");
	assert_changes(*state, 2, 2, "");
	assert_changes(*state, 4, 2, "");
}

static void rejects_invalid_names_and_large_values(void **state)
{
	static char big[VALUE_MAX_BYTES + 1];
	static const char *const invalid[] = { "", "/a", "a/", "a//b", "a b" };
	uint64_t revision;
	size_t i;

	for (i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		assert_int_equal(key_store_put(*state, invalid[i], "", 0,
					       &revision),
				 -EINVAL);
	assert_int_equal(key_store_put(*state, "a", big, sizeof(big),
				       &revision),
			 -EFBIG);
	assert_int_equal(
		key_store_put(*state, "a", big, VALUE_MAX_BYTES, &revision), 0);
	assert_int_equal(key_store_revision(*state), 1);
}

static void peak_counts_calls_within_one_second(void **state)
{
	struct call_counters c = { 0 };
	GString *out = g_string_new(NULL);

	(void)state;
	call_counters_add(&c, CALL_WATCH, 1 * NS_PER_S);
	call_counters_add(&c, CALL_GET, 2 * NS_PER_S);
	call_counters_add(&c, CALL_GET, 3 * NS_PER_S - 1);
	call_counters_add(&c, CALL_LIST, 3 * NS_PER_S);
	call_counters_print(&c, "all", out);
	assert_string_equal(out->str, "all calls 4 get 2 list 1 watch 1 "
				      "other 0 not_found 0 peak_per_s 2\n");
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			each_write_increments_the_revision, setup, teardown),
		cmocka_unit_test_setup_teardown(watch_reports_deleted_keys,
						setup, teardown),
		cmocka_unit_test_setup_teardown(old_state_hides_later_changes,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			rejects_invalid_names_and_large_values, setup,
			teardown),
		cmocka_unit_test(peak_counts_calls_within_one_second),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
