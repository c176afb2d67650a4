/*
 * Settings of cb-packet: the example is valid, and all mistakes are reported.
 */
#include "packet_settings.h"

#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define EXAMPLE "examples/settings/cb-packet.toml"
#define TEMPLATE "platform/settings.template"

static void example_is_valid(void **state)
{
	struct packet_settings s;
	struct mistakes m = { 0 };

	(void)state;
	assert_int_equal(packet_settings_read(EXAMPLE, &s, &m), 0);
	assert_string_equal(s.data_centre, "garda");
	assert_int_equal(s.seeds[1], ADDR(0x7f000102, 8166));
	assert_int_equal(s.seeds[2], 0);
	assert_int_equal(s.flow_lifetime_ns, 60 * NS_PER_S);
	assert_int_equal(s.grace_ns, 6 * NS_PER_S);
	assert_int_equal(s.log.format, LOG_JSON);
	mistakes_free(&m);
}

static uint32_t read_settings(const char *text, int expected,
			      struct packet_settings *s)
{
	struct mistakes m = { 0 };
	char *path = NULL;
	int fd = g_file_open_tmp("cb-packet-XXXXXX", &path, NULL);
	uint32_t n;

	assert_true(fd >= 0);
	g_close(fd, NULL);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	assert_int_equal(packet_settings_read(path, s, &m), expected);
	n = m.n_errors;
	mistakes_free(&m);
	g_unlink(path);
	g_free(path);
	return n;
}

static uint32_t count_mistakes(const char *text, int expected)
{
	struct packet_settings s;

	return read_settings(text, expected, &s);
}

#define COMPLETE                                                   \
	"[vm]\ndata_centre = \"g\"\npeer = \"127.0.0.1:1\"\n"      \
	"http = \"127.0.0.1:2\"\n[clients]\nlisten = "             \
	"\"127.0.0.1:3\"\n[platform]\naddress = \"127.0.0.2:1\"\n" \
	"ready = \"127.0.0.1:4\"\n"

/*
 * A deployment has bounds with fractions of a second, which go into the
 * settings unchanged. When only whole seconds are accepted, no process starts.
 */
static void seconds_may_have_a_fraction(void **state)
{
	struct packet_settings s;

	(void)state;
	read_settings(COMPLETE
		      "[timing]\nflow_lifetime_s = 45.5\ngrace_s = 2.5\n",
		      0, &s);
	assert_int_equal(s.flow_lifetime_ns, 45500 * NS_PER_MS);
	assert_int_equal(s.grace_ns, 2500 * NS_PER_MS);
	read_settings(COMPLETE "[timing]\nflow_lifetime_s = 60.0\n", 0, &s);
	assert_int_equal(s.flow_lifetime_ns, 60 * NS_PER_S);
	assert_int_equal(count_mistakes(COMPLETE
					"[timing]\nflow_lifetime_s = nan\n"
					"grace_s = -1.5\n",
					-EINVAL),
			 2);
}

static void unset_policy_keys_keep_defaults(void **state)
{
	struct packet_settings s;

	(void)state;
	assert_int_equal(read_settings(COMPLETE "[policy]\nchoices = 3\n"
						"opening_due_ms = 80\n"
						"witness = false\n"
						"load_control = \"on\"\n",
				       0, &s),
			 0);
	assert_int_equal(s.policy.load_control, LOAD_CONTROL_ON);
	assert_int_equal(s.policy.choices, 3);
	assert_int_equal(s.policy.opening_due_ns, 80 * NS_PER_MS);
	assert_false(s.policy.witness);
	assert_int_equal(s.policy.trial_odds, policy_default.trial_odds);
	assert_true(s.policy.eject);
	assert_int_equal(count_mistakes(COMPLETE "[policy]\nchoices = -1\n"
						 "heartbeat_ms = 1\n"
						 "witness = 1\nwitnes = true\n"
						 "load_control = \"yes\"\n",
					-EINVAL),
			 5);
	assert_int_equal(count_mistakes("policy = 3\n" COMPLETE, -EINVAL), 1);
}

static void all_mistakes_are_reported_at_once(void **state)
{
	(void)state;
	assert_int_equal(
		count_mistakes("[vm]\ndata_centre = 7\npeer = \"127.0.0.1\"\n"
			       "[limits]\nflows = 5\nunknown = 1\n",
			       -EINVAL),
		8);
	assert_int_equal(count_mistakes("[vm\n", -EINVAL), 1);
}

static void listeners_with_same_address_are_refused(void **state)
{
	(void)state;
	assert_int_equal(
		count_mistakes(
			"[vm]\ndata_centre = \"g\"\n"
			"peer = \"127.0.0.1:1\"\nhttp = \"127.0.0.1:2\"\n"
			"[clients]\nlisten = \"127.0.0.1:1\"\n"
			"[platform]\naddress = \"127.0.0.2:1\"\n"
			"ready = \"127.0.0.1:2\"\n",
			-EINVAL),
		2);
}

/* All keys in the settings template of the platform are known. */
static void keys_of_platform_template_are_known(void **state)
{
	char *text = NULL;
	GString *filled = g_string_new(NULL);
	char **lines;

	(void)state;
	assert_true(g_file_get_contents(TEMPLATE, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (uint32_t i = 0; lines[i]; i++) {
		char *open = strstr(lines[i], "{{");

		if (g_str_has_prefix(lines[i], "{{") ||
		    g_str_has_prefix(lines[i], "seed_"))
			continue;
		if (!open)
			g_string_append_printf(filled, "%s\n", lines[i]);
		else if (strstr(lines[i], "zone"))
			g_string_append(filled, "data_centre = \"z\"\n");
		else if (!strchr(lines[i], '"'))
			g_string_append_printf(filled, "%.*s60\n",
					       (int)(open - lines[i]),
					       lines[i]);
		else
			g_string_append_printf(filled, "%.*s127.0.0.1:%u\"\n",
					       (int)(open - lines[i]), lines[i],
					       1000 + i);
	}
	assert_int_equal(count_mistakes(filled->str, 0), 0);
	g_strfreev(lines);
	g_free(text);
	g_string_free(filled, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(example_is_valid),
		cmocka_unit_test(seconds_may_have_a_fraction),
		cmocka_unit_test(unset_policy_keys_keep_defaults),
		cmocka_unit_test(all_mistakes_are_reported_at_once),
		cmocka_unit_test(listeners_with_same_address_are_refused),
		cmocka_unit_test(keys_of_platform_template_are_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
