/* The configuration service stand-in: keys, revisions, old states, counts. */
#include "sim-platform/platform.h"

#include <errno.h>
#include <string.h>

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>

static int setup(void **state)
{
	*state = keys_new();
	return 0;
}

static int teardown(void **state)
{
	keys_free(*state);
	return 0;
}

static uint64_t put(struct keys *k, const char *key, const char *value)
{
	uint64_t revision;

	assert_int_equal(keys_put(k, key, value, strlen(value), &revision), 0);
	return revision;
}

static void assert_value(struct keys *k, const char *key, uint64_t as_of,
			 const char *expected)
{
	GString *out = g_string_new(NULL);
	uint64_t revision;

	if (expected)
		assert_int_equal(keys_get(k, key, as_of, out, &revision), 0);
	else
		assert_int_equal(keys_get(k, key, as_of, out, &revision),
				 -ENOENT);
	assert_string_equal(out->str, expected ? expected : "");
	g_string_free(out, TRUE);
}

static void assert_list(struct keys *k, const char *prefix, uint64_t as_of,
			const char *expected)
{
	GString *out = g_string_new(NULL);

	keys_list(k, prefix, as_of, out);
	assert_string_equal(out->str, expected);
	g_string_free(out, TRUE);
}

static void assert_changes(struct keys *k, uint64_t after, uint64_t as_of,
			   const char *expected)
{
	GString *out = g_string_new(NULL);

	keys_changes(k, after, as_of, out);
	assert_string_equal(out->str, expected);
	g_string_free(out, TRUE);
}

static void each_write_takes_a_revision(void **state)
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
 * Symptom: a reader kept an account that was withdrawn.
 * Sequence: a key is deleted while the reader waits for changes.
 * Cause: the watch named only keys that are still there.
 */
static void watch_names_deleted_keys(void **state)
{
	uint64_t revision;

	put(*state, "account/a", "1");
	put(*state, "account/b", "1");
	assert_changes(*state, 2, REVISION_LATEST, "");
	assert_int_equal(keys_delete(*state, "account/a", &revision), 0);
	assert_changes(*state, 2, REVISION_LATEST, "3 account/a\n");
	assert_changes(*state, 0, REVISION_LATEST,
		       "3 account/a\n2 account/b\n");
	assert_value(*state, "account/a", REVISION_LATEST, NULL);
	assert_list(*state, "", REVISION_LATEST, "2 account/b\n");
	assert_int_equal(keys_delete(*state, "account/a", &revision), -ENOENT);
}

/*
 * Symptom: a test of a stale service proved nothing, a change leaked out.
 * Sequence: a key is changed, added and deleted after the state served.
 * Cause: one of get, list and watch looked at the newest version.
 */
static void old_state_leaks_nothing(void **state)
{
	uint64_t revision;

	put(*state, "account/a", "1");
	put(*state, "account/c", "1");
	put(*state, "account/a", "2");
	put(*state, "account/b", "1");
	keys_delete(*state, "account/c", &revision);
	assert_value(*state, "account/a", 2, "1");
	assert_value(*state, "account/b", 2, NULL);
	assert_value(*state, "account/c", 2, "1");
	assert_list(*state, "", 2, "1 account/a\n2 account/c\n");
	assert_changes(*state, 1, 2, "2 account/c\n");
	assert_changes(*state, 2, 2, "");
	assert_changes(*state, 4, 2, "");
}

static void refuses_bad_names_and_sizes(void **state)
{
	static char big[VALUE_MAX_BYTES + 1];
	static const char *const bad[] = { "", "/a", "a/", "a//b", "a b" };
	uint64_t revision;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(keys_put(*state, bad[i], "", 0, &revision),
				 -EINVAL);
	assert_int_equal(keys_put(*state, "a", big, sizeof(big), &revision),
			 -EFBIG);
	assert_int_equal(keys_put(*state, "a", big, VALUE_MAX_BYTES, &revision),
			 0);
	assert_int_equal(keys_revision(*state), 1);
}

static void calls_are_counted_by_second(void **state)
{
	struct calls c = { 0 };
	GString *out = g_string_new(NULL);

	(void)state;
	calls_count(&c, CALL_WATCH, 1 * NS_PER_S);
	calls_count(&c, CALL_GET, 2 * NS_PER_S);
	calls_count(&c, CALL_GET, 3 * NS_PER_S - 1);
	calls_count(&c, CALL_LIST, 3 * NS_PER_S);
	calls_print(&c, "all", out);
	assert_string_equal(out->str, "all calls 4 get 2 list 1 watch 1 "
				      "other 0 not_found 0 peak_per_s 2\n");
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(each_write_takes_a_revision,
						setup, teardown),
		cmocka_unit_test_setup_teardown(watch_names_deleted_keys, setup,
						teardown),
		cmocka_unit_test_setup_teardown(old_state_leaks_nothing, setup,
						teardown),
		cmocka_unit_test_setup_teardown(refuses_bad_names_and_sizes,
						setup, teardown),
		cmocka_unit_test(calls_are_counted_by_second),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
