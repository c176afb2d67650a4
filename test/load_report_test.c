/* Load of services, summed over the status pages of entries. */
#include "load_report.h"

#include "json_text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define PAGE_ONE                                                            \
	"ready 1 configuration 3 epoch 0 revision 7\n"                      \
	"service forecast work_us 1 running 0 window 0.0 refused_percent "  \
	"0.0\n"                                                             \
	"load_control on\n"                                                 \
	"admission forecast held=4 oldest_ms=900 predicted_wait_ms=1400 "   \
	"limit_per_slot=0.00 refusing=1 refusing_ms=20 answers_per_s=2.5\n" \
	"load forecast report offered=100 admitted=80 held=30 "             \
	"refused_timeout=15 refused_expired=5 late=3\n"
#define PAGE_TWO                                                           \
	"load_control on\n"                                                \
	"admission forecast held=1 oldest_ms=20 predicted_wait_ms=100 "    \
	"limit_per_slot=0.00 refusing=0 refusing_ms=0 answers_per_s=9.0\n" \
	"load forecast report offered=50 admitted=50 late=18\n"            \
	"load forecast feed offered=7 rejected=1\n"

static char *lines_of(const struct load_report *report)
{
	GString *out = g_string_new(NULL);

	load_report_append_lines(report, out);
	return g_string_free(out, FALSE);
}

/* Guards against the figures of one entry that stand for those of all. */
static void test_entries_are_summed(void **state)
{
	struct load_report *report = load_report_new();
	char *lines;

	(void)state;
	assert_true(load_report_add(report, PAGE_ONE));
	assert_true(load_report_add(report, PAGE_TWO));
	lines = lines_of(report);
	assert_string_equal(
		lines,
		"forecast report offered 150 admitted 130 held 30 "
		"refused_timeout 15 refused_expired 5 refused_no_target 0 "
		"late 21 expired 0 rejected 0 repeated 0 failed 0 refused 20 "
		"cause late refusing 1/2 held_now 5 oldest_ms 900 "
		"predicted_wait_ms 1400\n"
		"forecast feed offered 7 admitted 0 held 0 "
		"refused_timeout 0 refused_expired 0 refused_no_target 0 "
		"late 0 expired 0 rejected 1 repeated 0 failed 0 refused 0 "
		"cause rejected refusing 1/2 held_now 5 oldest_ms 900 "
		"predicted_wait_ms 1400\n");
	assert_true(load_report_is_refusing(report));
	g_free(lines);
	load_report_free(report);
}

/* Guards against a page of another daemon, or of an earlier release, that
 * passes for an entry without load. */
static void test_page_without_load_is_not_counted(void **state)
{
	struct load_report *report = load_report_new();
	char *lines;

	(void)state;
	assert_false(load_report_add(report, "ready\nvm 127.0.1.1:7000\n"));
	assert_true(load_report_add(report, "load_control off\n"));
	assert_false(load_report_is_refusing(report));
	lines = lines_of(report);
	assert_string_equal(lines, "");
	g_free(lines);
	load_report_free(report);
}

/* Guards against lines that were cut off, which another service's figures would
 * follow. */
static void test_malformed_lines_are_skipped(void **state)
{
	struct load_report *report = load_report_new();
	char *lines;

	(void)state;
	load_report_add(report, "load_control on\nload\nload forecast\n"
				"load forecast feed\nadmission forecast\n"
				"load forecast feed offered=x late\n");
	lines = lines_of(report);
	assert_non_null(strstr(lines, "forecast feed offered 0 "));
	assert_non_null(strstr(lines, " cause none refusing 0/1 "));
	g_free(lines);
	load_report_free(report);
}

/* Guards against numbers that are strings in JSON, and against names that stay
 * escaped. */
static void test_json_has_numbers_and_names(void **state)
{
	struct load_report *report = load_report_new();
	GString *json = g_string_new(NULL);

	(void)state;
	load_report_add(report, "load_control on\n"
				"load a%20b upload offered=3 failed=1\n");
	load_report_append_json(report, json);
	assert_string_equal(
		json->str,
		"[{\"service\":\"a b\",\"class\":\"upload\",\"offered\":3,"
		"\"admitted\":0,\"held\":0,\"refused_timeout\":0,"
		"\"refused_expired\":0,\"refused_no_target\":0,\"late\":0,"
		"\"expired\":0,\"rejected\":0,\"repeated\":0,\"failed\":1,"
		"\"refused\":0,\"cause\":\"failed\",\"entries\":1,"
		"\"refusing\":0,\"held_now\":0,\"oldest_ms\":0,"
		"\"predicted_wait_ms\":0}]");
	g_string_free(json, TRUE);
	load_report_free(report);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_entries_are_summed),
		cmocka_unit_test(test_page_without_load_is_not_counted),
		cmocka_unit_test(test_malformed_lines_are_skipped),
		cmocka_unit_test(test_json_has_numbers_and_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
