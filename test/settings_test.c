/*
 * Settings of cb-entry and cb-watch: the examples are valid, and each mistake
 * is reported with its line.
 */
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

struct expected_mistake {
	uint32_t line;
	const char *key;
	const char *problem;
};

static char *write_file(const char *text)
{
	char *path = NULL;
	int fd = g_file_open_tmp("cb-settings-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	g_close(fd, NULL);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static bool is_reported(const struct mistakes *m,
			const struct expected_mistake *e)
{
	for (uint32_t i = 0; i < m->n; i++)
		if (m->list[i].line == e->line &&
		    !strcmp(m->list[i].key, e->key) &&
		    strstr(m->list[i].problem, e->problem) &&
		    m->list[i].expected[0])
			return true;
	return false;
}

static void check_mistakes(struct mistakes *m, const struct expected_mistake *e)
{
	uint32_t n = 0;

	for (; e[n].problem; n++)
		if (!is_reported(m, &e[n])) {
			mistakes_print(m, stderr);
			fail_msg("not reported: line %u %s: %s", e[n].line,
				 e[n].key, e[n].problem);
		}
	if (m->n != n)
		mistakes_print(m, stderr);
	assert_int_equal(m->n, n);
	mistakes_free(m);
}

static void check_entry_mistakes(const char *text,
				 const struct expected_mistake *e)
{
	struct entry_settings s;
	struct mistakes m = { 0 };
	char *path = write_file(text);

	assert_int_equal(entry_settings_read(path, &s, &m), -EINVAL);
	check_mistakes(&m, e);
	g_unlink(path);
	g_free(path);
}

static void check_watch_mistakes(const char *text,
				 const struct expected_mistake *e)
{
	struct watch_settings s;
	struct mistakes m = { 0 };
	char *path = write_file(text);

	assert_int_equal(watch_settings_read(path, &s, &m), -EINVAL);
	check_mistakes(&m, e);
	g_unlink(path);
	g_free(path);
}

static void examples_are_valid(void **unused)
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
#define ENTRY_MINIMUM                        \
	"[vm]\n"                             \
	"data_centre = \"garda\"\n"          \
	"peer = \"127.0.1.1:7000\"\n"        \
	"http = \"127.0.1.1:7080\"\n"        \
	"watch = \"tcp://127.0.1.1:7002\"\n" \
	"key = \"" KEY64 "\"\n"

static void missing_optional_keys_get_defaults(void **unused)
{
	char *path = write_file(ENTRY_MINIMUM "[callers]\nmode = \"direct\"\n");
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
 * A file has many mistakes. If reading stopped at the first, an operator would
 * have to correct one and start again to see the next.
 */
static void all_mistakes_are_reported_at_once(void **unused)
{
	(void)unused;
	check_entry_mistakes("[vm]\n"
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
			     (const struct expected_mistake[]){
				     { 2, "vm.data_centre", "an integer" },
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

static void missing_required_keys_are_reported(void **unused)
{
	(void)unused;
	check_entry_mistakes("[log]\nlevel = \"info\"\n",
			     (const struct expected_mistake[]){
				     { 1, "vm.data_centre", "missing" },
				     { 1, "vm.peer", "missing" },
				     { 1, "vm.http", "missing" },
				     { 1, "vm.watch", "missing" },
				     { 1, "vm.key", "missing" },
				     { 0 } });
	check_entry_mistakes(ENTRY_MINIMUM,
			     (const struct expected_mistake[]){
				     { 1, "callers.listen", "missing" },
				     { 1, "callers.fabric", "missing" },
				     { 0 } });
}

/*
 * Two keys have the same endpoint; each is valid by itself. One of the two
 * sockets could not be bound, or answers would go to the wrong one.
 */
static void listeners_with_same_endpoint_are_refused(void **unused)
{
	(void)unused;
	check_entry_mistakes(
		"[vm]\n"
		"data_centre = \"garda\"\n"
		"peer = \"127.0.1.1:7000\"\n"
		"http = \"127.0.1.1:7080\"\n"
		"watch = \"tcp://127.0.1.1:7080\"\n"
		"key = \"" KEY64 "\"\n"
		"[callers]\n"
		"listen = \"127.0.1.1:7000\"\n"
		"fabric = \"127.0.0.2:7080\"\n",
		(const struct expected_mistake[]){
			{ 5, "vm.watch", "same address as vm.http" },
			{ 8, "callers.listen", "same address as vm.peer" },
			{ 0 } });
}

static void contradictory_values_are_refused(void **unused)
{
	(void)unused;
	check_entry_mistakes(
		ENTRY_MINIMUM "[callers]\nmode = \"direct\"\n"
			      "[timing]\nprobe_timeout_ms = 200\n",
		(const struct expected_mistake[]){
			{ 10, "timing.probe_timeout_ms", "not below" },
			{ 0 } });
	check_watch_mistakes("[vm]\n"
			     "data_centre = \"garda\"\n"
			     "peer = \"127.0.1.1:7000\"\n"
			     "listen = \"tcp://127.0.1.1:7002\"\n"
			     "port = 7003\n"
			     "http = \"127.0.1.1:7081\"\n"
			     "key = \"" KEY64 "\"\n"
			     "[platform]\n"
			     "url = \"http://127.0.0.1:7500\"\n",
			     (const struct expected_mistake[]){
				     { 5, "vm.port", "differs" }, { 0 } });
}

static void invalid_toml_is_reported(void **unused)
{
	struct entry_settings s;
	struct mistakes m = { 0 };

	(void)unused;
	check_entry_mistakes("[vm]\npeer = \n",
			     (const struct expected_mistake[]){
				     { 2, "", "missing value" }, { 0 } });
	check_entry_mistakes("vm = 1\n",
			     (const struct expected_mistake[]){
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

/*
 * The message may be logged by whoever starts the program, and must not contain
 * the shared key.
 */
static void invalid_shared_key_is_not_printed(void **unused)
{
	struct entry_settings s;
	struct mistakes m = { 0 };
	char *path = write_file("[vm]\nkey = \"5ec2e7\"\n");

	(void)unused;
	assert_int_equal(entry_settings_read(path, &s, &m), -EINVAL);
	for (uint32_t i = 0; i < m.n; i++)
		assert_null(strstr(m.list[i].problem, "5ec2e7"));
	mistakes_free(&m);
	g_unlink(path);
	g_free(path);
}

static void addresses_are_parsed_and_formatted(void **unused)
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
		cmocka_unit_test(examples_are_valid),
		cmocka_unit_test(missing_optional_keys_get_defaults),
		cmocka_unit_test(all_mistakes_are_reported_at_once),
		cmocka_unit_test(missing_required_keys_are_reported),
		cmocka_unit_test(listeners_with_same_endpoint_are_refused),
		cmocka_unit_test(contradictory_values_are_refused),
		cmocka_unit_test(invalid_toml_is_reported),
		cmocka_unit_test(invalid_shared_key_is_not_printed),
		cmocka_unit_test(addresses_are_parsed_and_formatted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
