/* JSON writer used for logs and operators' pages. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "lines_json.h"

#include <string.h>

static char *lines_to_object(const char *body)
{
	GString *out = g_string_new(NULL);

	json_open(out, NULL, '{');
	lines_append_json(out, body);
	json_close(out, '}');
	return g_string_free(out, FALSE);
}

static void expect_json(const char *body, const char *json)
{
	char *got = lines_to_object(body);

	assert_string_equal(got, json);
	g_free(got);
}

static void commas_separate_members(void **unused)
{
	GString *out = g_string_new(NULL);

	(void)unused;
	json_open(out, NULL, '[');
	for (uint64_t i = 0; i < 2; i++) {
		json_open(out, NULL, '{');
		json_number(out, "n", i);
		json_bool(out, "b", i);
		json_open(out, "l", '[');
		json_string(out, NULL, "x");
		json_string(out, NULL, "y");
		json_close(out, ']');
		json_close(out, '}');
	}
	json_close(out, ']');
	assert_string_equal(out->str,
			    "[{\"n\":0,\"b\":false,\"l\":[\"x\",\"y\"]},"
			    "{\"n\":1,\"b\":true,\"l\":[\"x\",\"y\"]}]");
	g_string_free(out, TRUE);
}

/*
 * A log message quotes text from a hostile peer. Unescaped quotes, control
 * characters or invalid UTF-8 would make a parser reject the whole line.
 */
static void hostile_text_is_escaped(void **unused)
{
	GString *out = g_string_new(NULL);

	(void)unused;
	json_open(out, NULL, '{');
	json_string(out, "a\"b", "x\"},{\\\n\x01\xff");
	json_close(out, '}');
	assert_string_equal(out->str, "{\"a\\\"b\":\"x\\\"},{\\\\\\u000a\\u0001"
				      "\xef\xbf\xbd\"}");
	g_string_free(out, TRUE);
}

static void status_lines_become_json(void **unused)
{
	(void)unused;
	expect_json(
		"ready\nvm 127.0.1.1:7000\nview 7\n"
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
	expect_json("account club\nservice live\nwhy_owner this VM decides\n",
		    "{\"account\":\"club\",\"service\":\"live\","
		    "\"why_owner\":\"this VM decides\"}");
	expect_json(
		"target 127.2.0.1:5683 inflight=1 feeds=2\n",
		"{\"targets\":[{\"address\":\"127.2.0.1:5683\",\"inflight\":1,"
		"\"feeds\":2}]}");
	expect_json(
		"feed caller=127.8.0.1:9 target=- age_ms=4\npin vip=x "
		"state=y\n",
		"{\"feeds\":[{\"caller\":\"127.8.0.1:9\",\"target\":\"-\","
		"\"age_ms\":4}],\"pins\":[{\"vip\":\"x\",\"state\":\"y\"}]}");
	expect_json("refused account/x: no generation: 3\n",
		    "{\"refused\":[{\"key\":\"account/x:\","
		    "\"reason\":\"no generation: 3\"}]}");
	expect_json("load_control on\nadmission forecast held=2 refusing=1\n"
		    "load forecast report offered=9 late=1\n",
		    "{\"load_control\":\"on\",\"admissions\":[{\"service\":"
		    "\"forecast\",\"held\":2,\"refusing\":1}],\"loads\":["
		    "{\"service\":\"forecast\",\"class\":\"report\","
		    "\"offered\":9,\"late\":1}]}");
	expect_json("", "{}");
	expect_json("odd\n \nx \n", "{\"\":\"\",\"x\":\"\"}");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(commas_separate_members),
		cmocka_unit_test(hostile_text_is_escaped),
		cmocka_unit_test(status_lines_become_json),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
