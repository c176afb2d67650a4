/* Settings: the examples pass; every mistake is told with its line. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "settings.h"

#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#define ENTRY_EXAMPLE "examples/settings/cb-entry.toml"
#define WATCH_EXAMPLE "examples/settings/cb-watch.toml"
#define EXPECT_MAX 12

struct expect {
	uint32_t line;
	const char *key;
	const char *problem;
};

static char *file_with(const char *text)
{
	char *path = NULL;
	int fd = g_file_open_tmp("cb-settings-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	g_close(fd, NULL);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static bool told(const struct mistakes *m, const struct expect *e)
{
	for (uint32_t i = 0; i < m->n; i++)
		if (m->list[i].line == e->line &&
		    !strcmp(m->list[i].key, e->key) &&
		    strstr(m->list[i].problem, e->problem) &&
		    m->list[i].expected[0])
			return true;
	return false;
}

static void expect_all(struct mistakes *m, const struct expect *e)
{
	uint32_t n = 0;

	for (; e[n].problem; n++)
		if (!told(m, &e[n])) {
			mistakes_print(m, stderr);
			fail_msg("not told: line %u %s: %s", e[n].line,
				 e[n].key, e[n].problem);
		}
	if (m->n != n)
		mistakes_print(m, stderr);
	assert_int_equal(m->n, n);
	mistakes_free(m);
}

static void entry_mistakes(const char *text, const struct expect *e)
{
	struct entry_settings s;
	struct mistakes m = { 0 };
	char *path = file_with(text);

	assert_int_equal(entry_settings_read(path, &s, &m), -EINVAL);
	expect_all(&m, e);
	g_unlink(path);
	g_free(path);
}

static void watch_mistakes(const char *text, const struct expect *e)
{
	struct watch_settings s;
	struct mistakes m = { 0 };
	char *path = file_with(text);

	assert_int_equal(watch_settings_read(path, &s, &m), -EINVAL);
	expect_all(&m, e);
	g_unlink(path);
	g_free(path);
}

static void the_examples_are_read(void **unused)
{
	struct entry_settings e;
	struct watch_settings w;
	struct mistakes m = { 0 };

	(void)unused;
	assert_int_equal(entry_settings_read(ENTRY_EXAMPLE, &e, &m), 0);
	assert_int_equal(watch_settings_read(WATCH_EXAMPLE, &w, &m), 0);
	assert_int_equal(m.n, 0);
	assert_string_equal(e.data_centre, "garda");
	assert_int_equal(e.peer, ADDR(0x7f000101, 7000));
	assert_string_equal(e.watch, "tcp://127.0.1.1:7002");
	assert_int_equal(e.key[1], 0x11);
	assert_int_equal(e.callers_mode, CALLERS_FABRIC);
	assert_int_equal(e.target_source_ip, 0x7f000101);
	assert_int_equal(e.cover_ms, 93000);
	assert_string_equal(e.log.level, "info");
	assert_int_equal(w.port, 7002);
	assert_int_equal(w.readers, 2);
	assert_string_equal(w.platform_url, "http://127.0.0.1:7500");
}

#define KEY64 "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define ENTRY_LEAST                          \
	"[vm]\n"                             \
	"data_centre = \"garda\"\n"          \
	"peer = \"127.0.1.1:7000\"\n"        \
	"http = \"127.0.1.1:7080\"\n"        \
	"watch = \"tcp://127.0.1.1:7002\"\n" \
	"key = \"" KEY64 "\"\n"

static void what_is_left_out_takes_its_default(void **unused)
{
	char *path = file_with(ENTRY_LEAST "[callers]\nmode = \"direct\"\n");
	struct entry_settings s;
	struct mistakes m = { 0 };

	(void)unused;
	assert_int_equal(entry_settings_read(path, &s, &m), 0);
	assert_int_equal(s.callers_mode, CALLERS_DIRECT);
	assert_int_equal(s.requests, 16384);
	assert_int_equal(s.probe_timeout_ms, 100);
	assert_int_equal(s.drain_ms, 20000);
	assert_int_equal(s.target_source_ip, 0x7f000101);
	assert_int_equal(s.log.format, LOG_TEXT);
	assert_string_equal(s.log.level, "info");
	g_unlink(path);
	g_free(path);
}

/*
 * Symptom: an operator mends one line, starts again, is told of the next.
 * Events: a file with many mistakes. Cause: reading that stops at the first.
 */
static void all_mistakes_are_told_at_once(void **unused)
{
	(void)unused;
	entry_mistakes(
		"[vm]\n"
		"data_centre = 3\n"
		"peer = \"127.0.1.1\"\n"
		"http = \"127.0.1.1:70800\"\n"
		"watch = \"127.0.1.1:7002\"\n"
		"key = \"0011\"\n"
		"colour = \"red\"\n"
		"[callers]\n"
		"mode = \"fabrik\"\n"
		"[limits]\n"
		"feeds = 3\n"
		"flows = \"many\"\n"
		"[log]\n"
		"level = \"loud\"\n"
		"[extra]\n"
		"a = 1\n",
		(const struct expect[]){ { 2, "vm.data_centre", "an integer" },
					 { 3, "vm.peer", "not valid" },
					 { 4, "vm.http", "not valid" },
					 { 5, "vm.watch", "not valid" },
					 { 6, "vm.key", "not valid" },
					 { 7, "vm.colour", "unknown key" },
					 { 9, "callers.mode", "fabrik" },
					 { 11, "limits.feeds", "out of range" },
					 { 12, "limits.flows", "a string" },
					 { 14, "log.level", "loud" },
					 { 15, "extra", "unknown section" },
					 { 0 } });
}

static void missing_keys_are_told(void **unused)
{
	(void)unused;
	entry_mistakes(
		"[log]\nlevel = \"info\"\n",
		(const struct expect[]){ { 1, "vm.data_centre", "missing" },
					 { 1, "vm.peer", "missing" },
					 { 1, "vm.http", "missing" },
					 { 1, "vm.watch", "missing" },
					 { 1, "vm.key", "missing" },
					 { 0 } });
	entry_mistakes(ENTRY_LEAST, (const struct expect[]){
					    { 1, "callers.listen", "missing" },
					    { 1, "callers.fabric", "missing" },
					    { 0 } });
}

/*
 * Symptom: one of two sockets can't be bound, at start or, worse, answers go
 * to the wrong one. Events: two keys name one endpoint. Cause: each key is
 * right by itself.
 */
static void endpoints_that_clash_are_told(void **unused)
{
	(void)unused;
	entry_mistakes(
		"[vm]\n"
		"data_centre = \"garda\"\n"
		"peer = \"127.0.1.1:7000\"\n"
		"http = \"127.0.1.1:7080\"\n"
		"watch = \"tcp://127.0.1.1:7080\"\n"
		"key = \"" KEY64 "\"\n"
		"[callers]\n"
		"listen = \"127.0.1.1:7000\"\n"
		"fabric = \"127.0.0.2:7080\"\n",
		(const struct expect[]){
			{ 5, "vm.watch", "same address as vm.http" },
			{ 8, "callers.listen", "same address as vm.peer" },
			{ 0 } });
}

static void values_that_contradict_are_told(void **unused)
{
	(void)unused;
	entry_mistakes(ENTRY_LEAST "[callers]\nmode = \"direct\"\n"
				   "[timing]\nprobe_timeout_ms = 200\n",
		       (const struct expect[]){
			       { 10, "timing.probe_timeout_ms", "not below" },
			       { 0 } });
	watch_mistakes("[vm]\n"
		       "data_centre = \"garda\"\n"
		       "peer = \"127.0.1.1:7000\"\n"
		       "listen = \"tcp://127.0.1.1:7002\"\n"
		       "port = 7003\n"
		       "http = \"127.0.1.1:7081\"\n"
		       "key = \"" KEY64 "\"\n"
		       "[platform]\n"
		       "url = \"http://127.0.0.1:7500\"\n",
		       (const struct expect[]){ { 5, "vm.port", "differs" },
						{ 0 } });
}

static void text_that_is_no_toml_is_told(void **unused)
{
	struct entry_settings s;
	struct mistakes m = { 0 };

	(void)unused;
	entry_mistakes("[vm]\npeer = \n",
		       (const struct expect[]){ { 2, "", "missing value" },
						{ 0 } });
	entry_mistakes("vm = 1\n", (const struct expect[]){
					   { 1, "vm", "an integer" },
					   { 1, "vm.data_centre", "missing" },
					   { 1, "vm.peer", "missing" },
					   { 1, "vm.http", "missing" },
					   { 1, "vm.watch", "missing" },
					   { 1, "vm.key", "missing" },
					   { 0 } });
	assert_int_equal(entry_settings_read("no/such/file", &s, &m), -ENOENT);
	assert_int_equal(m.n, 1);
	mistakes_free(&m);
}

/* A key would stand in the log of whoever starts the program. */
static void a_wrong_key_is_not_printed(void **unused)
{
	struct entry_settings s;
	struct mistakes m = { 0 };
	char *path = file_with("[vm]\nkey = \"5ec2e7\"\n");

	(void)unused;
	assert_int_equal(entry_settings_read(path, &s, &m), -EINVAL);
	for (uint32_t i = 0; i < m.n; i++)
		assert_null(strstr(m.list[i].problem, "5ec2e7"));
	mistakes_free(&m);
	g_unlink(path);
	g_free(path);
}

static void addresses_are_read_and_written(void **unused)
{
	static const char *const bad[] = { "",
					   "127.0.0.1",
					   "127.0.0.1:",
					   "127.0.0.1:0",
					   "127.0.0.1:065",
					   "127.0.0.1:65536",
					   "127.0.0.1:-1",
					   "127.0.0.1:80 ",
					   " 127.0.0.1:80",
					   "127.0.0:80",
					   "0.0.0.0:80",
					   "host:80",
					   "255.255.255.2555:80" };
	uint64_t addr = 42;
	char text[32];

	(void)unused;
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(addr_parse(bad[i], &addr), -EINVAL);
	assert_int_equal(addr, 42);
	assert_int_equal(addr_parse("255.255.255.254:65535", &addr), 0);
	assert_int_equal(addr, ADDR(0xfffffffe, 65535));
	assert_string_equal(addr_text(addr, text, sizeof(text)),
			    "255.255.255.254:65535");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_examples_are_read),
		cmocka_unit_test(what_is_left_out_takes_its_default),
		cmocka_unit_test(all_mistakes_are_told_at_once),
		cmocka_unit_test(missing_keys_are_told),
		cmocka_unit_test(endpoints_that_clash_are_told),
		cmocka_unit_test(values_that_contradict_are_told),
		cmocka_unit_test(text_that_is_no_toml_is_told),
		cmocka_unit_test(a_wrong_key_is_not_printed),
		cmocka_unit_test(addresses_are_read_and_written),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
