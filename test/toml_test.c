/* Documents that exceed the stack or time of the parser are refused. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "toml.h"
#include "toml_shape.h"

#include <glib.h>
#include <string.h>

static bool is_parsed(const GString *text, struct mistakes *m)
{
	struct toml_node *root = toml_parse("d", text->str, text->len, m);
	bool ok = root != NULL;

	toml_free(root);
	return ok;
}

static void append_repeated(GString *to, const char *text, uint32_t n)
{
	while (n--)
		g_string_append(to, text);
}

struct document {
	const char *before;
	const char *text;
	uint32_t n;
	const char *after;
	const char *problem;
	uint32_t line;
};

static void check_document(const struct document *r)
{
	GString *text = g_string_new(r->before);
	struct mistakes m = { 0 };
	bool ok;

	append_repeated(text, r->text, r->n);
	g_string_append(text, r->after);
	ok = is_parsed(text, &m);
	if (ok != !r->problem)
		mistakes_print(&m, stderr);
	assert_int_equal(ok, !r->problem);
	if (r->problem) {
		assert_non_null(strstr(m.list[0].problem, r->problem));
		assert_int_equal(m.list[0].line, r->line);
	}
	mistakes_free(&m);
	g_string_free(text, TRUE);
}

/*
 * A document with many nested values is published. The parser recurses for each
 * level: cb-watch would overflow its stack on all VMs at once, and again after
 * each restart.
 */
static void deep_nesting_is_refused(void **unused)
{
	static const struct document cases[] = {
		{ "a", ".a", 400, "=1\n", "too deep", 1 },
		{ "[a", ".a", 400, "]\n", "too deep", 1 },
		{ "x=1\n[a", ".\"a.=\"", 90, "]\n", "too deep", 2 },
		{ "a = ", "[", 100000, "", "too deep", 1 },
		{ "a = ", "[\n", 100000, "", "too deep", 65 },
		{ "a = ", "{a=", 100000, "", "too deep", 1 },
		{ "a = ", "[{a.b=\n", 30000, "", "too deep", 22 },
		{ "a = [", "\"\"\"x\"\"\"\"\",[\n", 100, "", "too deep", 64 },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_document(&cases[i]);
}

/*
 * A document has a very long line. For each value the parser goes back to the
 * start of its line, so that cb-watch would not answer for minutes.
 */
static void long_lines_are_refused(void **unused)
{
	static const struct document cases[] = {
		{ "x = 1\na = [", "1,", 600, "]\n", "line too long", 2 },
		{ "#", "x", 2000, "\n", "line too long", 1 },
		{ "a = [", "1,\n", 3000, "]\n", NULL, 0 },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_document(&cases[i]);
}

/* Brackets and dots in comments and strings are not levels. */
static void brackets_in_comments_and_strings_are_ignored(void **unused)
{
	static const struct document cases[] = {
		{ "", "# [[[{{{ ...\n", 500, "a = 1\n", NULL, 0 },
		{ "", "a = '[[[...'\n", 1, "b = \"]{{\\\"{\"\n", NULL, 0 },
		{ "a = \"\"\"\n", "[[[ ... {{{ \\\"\n", 500, "\"\"\"\n", NULL,
		  0 },
		{ "a = '''\n", "[[[ ... \\\n", 500, "'''\n", NULL, 0 },
		{ "", "[[s]]\nt.u.v = \"1.2.3.4:5\"\n", 500, "", NULL, 0 },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_document(&cases[i]);
}

static void large_documents_are_refused(void **unused)
{
	GString *text = g_string_new(NULL);
	struct mistakes m = { 0 };

	(void)unused;
	append_repeated(text, "#\n", TOML_MAX_BYTES / 2);
	assert_true(is_parsed(text, &m));
	g_string_append_c(text, '#');
	assert_false(is_parsed(text, &m));
	mistakes_free(&m);
	g_string_free(text, TRUE);
}

static void nodes_have_kind_and_line(void **unused)
{
	static const char text[] = "s = \"x\"\n"
				   "i = -7\n"
				   "b = true\n"
				   "f = 1.5\n"
				   "[t]\n"
				   "k = [1,\n2]\n";
	struct mistakes m = { 0 };
	struct toml_node *r = toml_parse("d", text, strlen(text), &m);

	(void)unused;
	assert_non_null(r);
	assert_string_equal(toml_find(r, "s")->text, "x");
	assert_int_equal(toml_find(r, "i")->number, -7);
	assert_int_equal(toml_find(r, "b")->kind, TOML_BOOL);
	assert_int_equal(toml_find(r, "f")->kind, TOML_DECIMAL);
	assert_true(toml_find(r, "f")->decimal == 1.5);
	assert_int_equal(toml_find(r, "f")->line, 4);
	assert_int_equal(toml_find(r, "t")->line, 5);
	assert_int_equal(toml_find(toml_find(r, "t"), "k")->items[1].line, 7);
	assert_null(toml_find(r, "k"));
	assert_null(toml_find(NULL, "k"));
	toml_free(r);
}

/*
 * A string contains a NUL. C code would check only the text before it, and the
 * rest would be used unchecked.
 */
static void string_with_nul_is_refused(void **unused)
{
	static const struct document nul = { "a = 1\nb = \"x", "\\u0000", 1,
					     "y\"\n",	       "NUL",	  2 };

	(void)unused;
	check_document(&nul);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(deep_nesting_is_refused),
		cmocka_unit_test(long_lines_are_refused),
		cmocka_unit_test(brackets_in_comments_and_strings_are_ignored),
		cmocka_unit_test(large_documents_are_refused),
		cmocka_unit_test(nodes_have_kind_and_line),
		cmocka_unit_test(string_with_nul_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
