/* JSON of logs and of the operators' pages. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "lines_json.h"

#include <string.h>

static char *object_of(const char *body)
{
	GString *to = g_string_new(NULL);

	json_open(to, NULL, '{');
	lines_append_json(to, body);
	json_close(to, '}');
	return g_string_free(to, FALSE);
}

static void expect(const char *body, const char *json)
{
	char *got = object_of(body);

	assert_string_equal(got, json);
	g_free(got);
}

static void commas_stand_between_members(void **unused)
{
	GString *to = g_string_new(NULL);

	(void)unused;
	json_open(to, NULL, '[');
	for (uint64_t i = 0; i < 2; i++) {
		json_open(to, NULL, '{');
		json_number(to, "n", i);
		json_bool(to, "b", i);
		json_open(to, "l", '[');
		json_string(to, NULL, "x");
		json_string(to, NULL, "y");
		json_close(to, ']');
		json_close(to, '}');
	}
	json_close(to, ']');
	assert_string_equal(to->str,
			    "[{\"n\":0,\"b\":false,\"l\":[\"x\",\"y\"]},"
			    "{\"n\":1,\"b\":true,\"l\":[\"x\",\"y\"]}]");
	g_string_free(to, TRUE);
}

/*
 * Symptom: a reader refuses a whole log line. Events: a message quotes what a
 * hostile peer sent. Cause: quotes, control characters or bytes that are no
 * UTF-8 went in as they were.
 */
static void hostile_text_stays_one_string(void **unused)
{
	GString *to = g_string_new(NULL);

	(void)unused;
	json_open(to, NULL, '{');
	json_string(to, "a\"b", "x\"},{\\\n\x01\xff");
	json_close(to, '}');
	assert_string_equal(to->str, "{\"a\\\"b\":\"x\\\"},{\\\\\\u000a\\u0001"
				     "\xef\xbf\xbd\"}");
	g_string_free(to, TRUE);
}

static void lines_become_members_and_lists(void **unused)
{
	(void)unused;
	expect("ready\nvm 127.0.1.1:7000\nview 7\n"
	       "member 127.0.1.1:7000 alive 12\n"
	       "member 127.0.1.2:7000 suspect 13\n"
	       "account club 3\ncounter requests 5\n",
	       "{\"phase\":\"ready\",\"vm\":\"127.0.1.1:7000\",\"view\":\"7\","
	       "\"members\":[{\"address\":\"127.0.1.1:7000\","
	       "\"state\":\"alive\",\"incarnation\":12},"
	       "{\"address\":\"127.0.1.2:7000\",\"state\":\"suspect\","
	       "\"incarnation\":13}],"
	       "\"accounts\":[{\"name\":\"club\",\"generation\":3}],"
	       "\"counters\":[{\"name\":\"requests\",\"value\":5}]}");
	expect("account club\nservice live\nwhy_owner this VM decides\n",
	       "{\"account\":\"club\",\"service\":\"live\","
	       "\"why_owner\":\"this VM decides\"}");
	expect("target 127.2.0.1:5683 inflight=1 feeds=2\n",
	       "{\"targets\":[{\"address\":\"127.2.0.1:5683\",\"inflight\":1,"
	       "\"feeds\":2}]}");
	expect("feed caller=127.8.0.1:9 target=- age_ms=4\npin vip=x state=y\n",
	       "{\"feeds\":[{\"caller\":\"127.8.0.1:9\",\"target\":\"-\","
	       "\"age_ms\":4}],\"pins\":[{\"vip\":\"x\",\"state\":\"y\"}]}");
	expect("refused account/x: no generation: 3\n",
	       "{\"refused\":[{\"key\":\"account/x:\","
	       "\"reason\":\"no generation: 3\"}]}");
	expect("", "{}");
	expect("odd\n \nx \n", "{\"\":\"\",\"x\":\"\"}");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(commas_stand_between_members),
		cmocka_unit_test(hostile_text_stays_one_string),
		cmocka_unit_test(lines_become_members_and_lists),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
