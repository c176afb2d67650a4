#include "publication_merge.h"

#include "fields.h"
#include "settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MARK "${"

static const char *const parameter_kinds[] = { "string", "address", "integer",
					       NULL };
enum parameter_kind {
	PARAMETER_STRING,
	PARAMETER_ADDRESS,
	PARAMETER_INTEGER,
	PARAMETER_BAD
};

struct filling {
	const struct toml_node *kinds;
	const struct toml_node *values;
	struct mistakes *m;
};

static enum parameter_kind kind_of(const struct toml_node *declared)
{
	int i = 0;

	if (declared->kind != TOML_STRING)
		return PARAMETER_BAD;
	while (parameter_kinds[i] && strcmp(parameter_kinds[i], declared->text))
		i++;
	return (enum parameter_kind)i;
}

static const char *value_problem(enum parameter_kind kind,
				 const struct toml_node *value)
{
	uint64_t addr;

	if (kind == PARAMETER_INTEGER)
		return value->kind == TOML_INTEGER
			       ? NULL
			       : toml_kind_name(value->kind);
	if (value->kind != TOML_STRING)
		return toml_kind_name(value->kind);
	if (kind == PARAMETER_ADDRESS && addr_parse(value->text, &addr))
		return "not an address";
	return NULL;
}

static void check_value(const struct toml_node *declared,
			const struct toml_node *value, struct mistakes *m)
{
	static const char *const expected[] = {
		[PARAMETER_STRING] = "a string",
		[PARAMETER_ADDRESS] = "an address \"A.B.C.D:PORT\"",
		[PARAMETER_INTEGER] = "an integer",
	};
	enum parameter_kind kind = kind_of(declared);
	const char *problem;

	if (kind == PARAMETER_BAD)
		return;
	problem = value_problem(kind, value);
	if (problem)
		field_add_mistake(m, value, "parameters", value->key, problem,
				  expected[kind]);
}

/* Every declared parameter is well declared, given and of its kind. */
static void check_declared(const struct filling *f,
			   const struct toml_node *account)
{
	for (uint32_t i = 0; f->kinds && i < f->kinds->n_items; i++) {
		const struct toml_node *declared = &f->kinds->items[i];
		const struct toml_node *value =
			toml_find(f->values, declared->key);

		if (kind_of(declared) == PARAMETER_BAD)
			field_add_mistake(
				f->m, declared, "parameters", declared->key,
				"unknown kind",
				"\"string\", \"address\" or \"integer\"");
		if (value)
			check_value(declared, value, f->m);
		else
			field_add_mistake(
				f->m, f->values ? f->values : account,
				"parameters", declared->key, "missing",
				"a value, since the template asks for it");
	}
}

static void check_given(const struct filling *f)
{
	for (uint32_t i = 0; f->values && i < f->values->n_items; i++) {
		const struct toml_node *value = &f->values->items[i];

		if (!toml_find(f->kinds, value->key))
			field_add_mistake(f->m, value, "parameters", value->key,
					  "unknown parameter",
					  "a parameter of the template");
	}
}

/* The name's node in the account, or NULL; an unknown name is a mistake. */
static const struct toml_node *
lookup(const struct filling *f, const struct toml_node *node, const char *name)
{
	char problem[DOTTED_KEY_MAX_BYTES];

	if (!toml_find(f->kinds, name)) {
		g_snprintf(problem, sizeof(problem), "${%.60s} is not declared",
			   name);
		field_add_mistake(f->m, node, "", node->key, problem,
				  "a name of the template's [parameters]");
		return NULL;
	}
	return toml_find(f->values, name);
}

static void append_value(GString *out, const struct toml_node *value)
{
	if (value && value->kind == TOML_STRING)
		g_string_append(out, value->text);
	else if (value && value->kind == TOML_INTEGER)
		g_string_append_printf(out, "%lld", (long long)value->number);
}

static void text_set(struct toml_node *node, const char *text)
{
	free(node->text);
	node->text = strdup(text);
	if (!node->text)
		abort();
}

/* The whole string is one parameter: the value is the account's to mend. */
static void become(struct toml_node *node, const struct toml_node *value)
{
	node->document = value->document;
	node->line = value->line;
	if (value->kind != TOML_INTEGER) {
		text_set(node, value->kind == TOML_STRING ? value->text : "");
		return;
	}
	node->kind = TOML_INTEGER;
	node->number = value->number;
	free(node->text);
	node->text = NULL;
}

static void fill_text(const struct filling *f, struct toml_node *node)
{
	GString *out = g_string_new(NULL);
	const struct toml_node *value = NULL;
	const char *at = node->text;
	const char *mark;
	bool whole = false;

	while ((mark = strstr(at, MARK))) {
		const char *end = strchr(mark, '}');
		char *name;

		if (!end) {
			field_add_mistake(f->m, node, "", node->key,
					  "${ without }", "${NAME}");
			break;
		}
		name = g_strndup(mark + 2, (gsize)(end - mark - 2));
		value = lookup(f, node, name);
		whole = mark == node->text && !end[1];
		g_free(name);
		g_string_append_len(out, at, mark - at);
		append_value(out, value);
		at = end + 1;
	}
	g_string_append(out, at);
	if (whole && value)
		become(node, value);
	else
		text_set(node, out->str);
	g_string_free(out, TRUE);
}

static void fill(const struct filling *f, struct toml_node *node)
{
	if (node->kind == TOML_STRING && strstr(node->text, MARK))
		fill_text(f, node);
	for (uint32_t i = 0; i < node->n_items; i++)
		fill(f, &node->items[i]);
}

static const struct toml_node *table_or_null(const struct toml_node *node,
					     struct mistakes *m)
{
	if (!node || node->kind == TOML_TABLE)
		return node;
	field_add_mistake(m, node, "", node->key, toml_kind_name(node->kind),
			  "a table");
	return NULL;
}

/**
 * parameters_fill() - put an account's parameters into its template
 * @account: tree of the account's document
 * @body: tree of the template; strings are changed in place
 * @m: mistakes
 */
void parameters_fill(struct toml_node *account, struct toml_node *body,
		     struct mistakes *m)
{
	struct toml_node *declared = toml_find(body, "parameters");
	struct filling f = { table_or_null(declared, m),
			     table_or_null(toml_find(account, "parameters"), m),
			     m };

	if (declared)
		declared->taken = 1;
	check_declared(&f, account);
	check_given(&f);
	for (uint32_t i = 0; i < body->n_items; i++)
		if (&body->items[i] != declared)
			fill(&f, &body->items[i]);
}
