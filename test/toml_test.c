/* Documents that would take the parser's stack or time are refused. */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "toml.h"
#include "toml_shape.h"

#include <glib.h>
#include <string.h>

static bool reads(const GString *text, struct mistakes *m)
{
	struct toml_node *root = toml_read("d", text->str, text->len, m);
	bool ok = root != NULL;

	toml_free(root);
	return ok;
}

static void repeat(GString *to, const char *text, uint32_t n)
{
	while (n--)
		g_string_append(to, text);
}

struct repeated {
	const char *before;
	const char *text;
	uint32_t n;
	const char *after;
	const char *problem;
	uint32_t line;
};

static void check(const struct repeated *r)
{
	GString *text = g_string_new(r->before);
	struct mistakes m = { 0 };
	bool ok;

	repeat(text, r->text, r->n);
	g_string_append(text, r->after);
	ok = reads(text, &m);
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
 * Symptom: cb-watch dies of SIGSEGV on every VM of the fleet at once, and again
 * after each restart. Events: a document of many nested values is published.
 * Cause: the parser recurses for each level.
 */
static void levels_are_bounded(void **unused)
{
	static const struct repeated cases[] = {
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
		check(&cases[i]);
}

/*
 * Symptom: cb-watch answers nobody for minutes. Events: a document has a very
 * long line. Cause: the parser goes back to the line's start for each value.
 */
static void lines_are_bounded(void **unused)
{
	static const struct repeated cases[] = {
		{ "x = 1\na = [", "1,", 600, "]\n", "line too long", 2 },
		{ "#", "x", 2000, "\n", "line too long", 1 },
		{ "a = [", "1,\n", 3000, "]\n", NULL, 0 },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check(&cases[i]);
}

/* What only looks like levels must not be refused. */
static void comments_and_strings_have_no_levels(void **unused)
{
	static const struct repeated cases[] = {
		{ "", "# [[[{{{ ...\n", 500, "a = 1\n", NULL, 0 },
		{ "", "a = '[[[...'\n", 1, "b = \"]{{\\\"{\"\n", NULL, 0 },
		{ "a = \"\"\"\n", "[[[ ... {{{ \\\"\n", 500, "\"\"\"\n", NULL,
		  0 },
		{ "a = '''\n", "[[[ ... \\\n", 500, "'''\n", NULL, 0 },
		{ "", "[[s]]\nt.u.v = \"1.2.3.4:5\"\n", 500, "", NULL, 0 },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check(&cases[i]);
}

static void size_is_bounded(void **unused)
{
	GString *text = g_string_new(NULL);
	struct mistakes m = { 0 };

	(void)unused;
	repeat(text, "#\n", TOML_MAX_BYTES / 2);
	assert_true(reads(text, &m));
	g_string_append_c(text, '#');
	assert_false(reads(text, &m));
	mistakes_free(&m);
	g_string_free(text, TRUE);
}

static void values_have_kind_and_line(void **unused)
{
	static const char text[] = "s = \"x\"\n"
				   "i = -7\n"
				   "b = true\n"
				   "f = 1.5\n"
				   "[t]\n"
				   "k = [1,\n2]\n";
	struct mistakes m = { 0 };
	struct toml_node *r = toml_read("d", text, strlen(text), &m);

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
 * Symptom: a check passes on a value that is used otherwise. Events: a string
 * holds a NUL. Cause: C sees the text before it alone.
 */
static void a_string_with_nul_is_refused(void **unused)
{
	static const struct repeated nul = { "a = 1\nb = \"x", "\\u0000", 1,
					     "y\"\n",	       "NUL",	  2 };

	(void)unused;
	check(&nul);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(levels_are_bounded),
		cmocka_unit_test(lines_are_bounded),
		cmocka_unit_test(comments_and_strings_have_no_levels),
		cmocka_unit_test(size_is_bounded),
		cmocka_unit_test(values_have_kind_and_line),
		cmocka_unit_test(a_string_with_nul_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
