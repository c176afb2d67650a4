#include "publication_merge.h"

#include "fields.h"
#include "settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Start of a parameter, ${NAME}. */
#define PARAMETER_START "${"

static const char *const parameter_kinds[] = { "string", "address", "integer",
					       NULL };
enum parameter_kind {
	PARAMETER_STRING,
	PARAMETER_ADDRESS,
	PARAMETER_INTEGER,
	PARAMETER_UNKNOWN
};

/**
 * struct substitution - parameters of a template and their values
 * @kinds: [parameters] of the template, kind by name; NULL when there is none
 * @values: [parameters] of the account, value by name; NULL when there is none
 * @mistakes: list to which mistakes are added
 */
struct substitution {
	const struct toml_node *kinds;
	const struct toml_node *values;
	struct mistakes *mistakes;
};

static enum parameter_kind kind_of(const struct toml_node *declared)
{
	int i = 0;

	if (declared->kind != TOML_STRING)
		return PARAMETER_UNKNOWN;
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
			const struct toml_node *value,
			struct mistakes *mistakes)
{
	static const char *const expected[] = {
		[PARAMETER_STRING] = "a string",
		[PARAMETER_ADDRESS] = "an address \"A.B.C.D:PORT\"",
		[PARAMETER_INTEGER] = "an integer",
	};
	enum parameter_kind kind = kind_of(declared);
	const char *problem;

	if (kind == PARAMETER_UNKNOWN)
		return;
	problem = value_problem(kind, value);
	if (problem)
		field_add_mistake(mistakes, value, "parameters", value->key,
				  problem, expected[kind]);
}

/*
 * Checks that each parameter of the template has a known kind and a value of
 * that kind.
 */
static void check_declarations(const struct substitution *sub,
			       const struct toml_node *account)
{
	for (uint32_t i = 0; sub->kinds && i < sub->kinds->n_items; i++) {
		const struct toml_node *declared = &sub->kinds->items[i];
		const struct toml_node *value =
			toml_find(sub->values, declared->key);

		if (kind_of(declared) == PARAMETER_UNKNOWN)
			field_add_mistake(
				sub->mistakes, declared, "parameters",
				declared->key, "unknown kind",
				"\"string\", \"address\" or \"integer\"");
		if (value)
			check_value(declared, value, sub->mistakes);
		else
			field_add_mistake(
				sub->mistakes,
				sub->values ? sub->values : account,
				"parameters", declared->key, "missing",
				"a value, since the template declares it");
	}
}

static void check_values(const struct substitution *sub)
{
	for (uint32_t i = 0; sub->values && i < sub->values->n_items; i++) {
		const struct toml_node *value = &sub->values->items[i];

		if (!toml_find(sub->kinds, value->key))
			field_add_mistake(sub->mistakes, value, "parameters",
					  value->key, "unknown parameter",
					  "a parameter of the template");
	}
}

/* Value of a parameter, or NULL; an undeclared name is a mistake. */
static const struct toml_node *find_value(const struct substitution *sub,
					  const struct toml_node *node,
					  const char *name)
{
	char problem[DOTTED_KEY_MAX_BYTES];

	if (!toml_find(sub->kinds, name)) {
		g_snprintf(problem, sizeof(problem), "${%.60s} is not declared",
			   name);
		field_add_mistake(sub->mistakes, node, "", node->key, problem,
				  "a name of the template's [parameters]");
		return NULL;
	}
	return toml_find(sub->values, name);
}

static void append_value(GString *out, const struct toml_node *value)
{
	if (value && value->kind == TOML_STRING)
		g_string_append(out, value->text);
	else if (value && value->kind == TOML_INTEGER)
		g_string_append_printf(out, "%lld", (long long)value->number);
}

static void set_text(struct toml_node *node, const char *text)
{
	free(node->text);
	node->text = strdup(text);
	if (!node->text)
		abort();
}

/*
 * Replaces a string that is nothing but one parameter. A mistake in the value
 * is then reported in the document of the account, where it was written.
 */
static void replace_node(struct toml_node *node, const struct toml_node *value)
{
	node->document = value->document;
	node->line = value->line;
	if (value->kind != TOML_INTEGER) {
		set_text(node, value->kind == TOML_STRING ? value->text : "");
		return;
	}
	node->kind = TOML_INTEGER;
	node->number = value->number;
	free(node->text);
	node->text = NULL;
}

static void substitute_text(const struct substitution *sub,
			    struct toml_node *node)
{
	GString *out = g_string_new(NULL);
	const struct toml_node *value = NULL;
	const char *rest = node->text;
	const char *start;
	bool whole = false;

	while ((start = strstr(rest, PARAMETER_START))) {
		const char *end = strchr(start, '}');
		char *name;

		if (!end) {
			field_add_mistake(sub->mistakes, node, "", node->key,
					  "${ without }", "${NAME}");
			break;
		}
		name = g_strndup(start + 2, (gsize)(end - start - 2));
		value = find_value(sub, node, name);
		whole = start == node->text && !end[1];
		g_free(name);
		g_string_append_len(out, rest, start - rest);
		append_value(out, value);
		rest = end + 1;
	}
	g_string_append(out, rest);
	if (whole && value)
		replace_node(node, value);
	else
		set_text(node, out->str);
	g_string_free(out, TRUE);
}

static void substitute_node(const struct substitution *sub,
			    struct toml_node *node)
{
	if (node->kind == TOML_STRING && strstr(node->text, PARAMETER_START))
		substitute_text(sub, node);
	for (uint32_t i = 0; i < node->n_items; i++)
		substitute_node(sub, &node->items[i]);
}

static const struct toml_node *table_or_null(const struct toml_node *node,
					     struct mistakes *mistakes)
{
	if (!node || node->kind == TOML_TABLE)
		return node;
	field_add_mistake(mistakes, node, "", node->key,
			  toml_kind_name(node->kind), "a table");
	return NULL;
}

/**
 * parameters_substitute() - substitute the parameters of an account in its
 *	template
 * @account: tree of the account's document
 * @body: tree of the template; its strings are changed in place
 * @mistakes: all mistakes are added
 */
void parameters_substitute(struct toml_node *account, struct toml_node *body,
			   struct mistakes *mistakes)
{
	struct toml_node *declared = toml_find(body, "parameters");
	struct substitution sub = {
		table_or_null(declared, mistakes),
		table_or_null(toml_find(account, "parameters"), mistakes),
		mistakes
	};

	if (declared)
		declared->consumed = 1;
	check_declarations(&sub, account);
	check_values(&sub);
	for (uint32_t i = 0; i < body->n_items; i++)
		if (&body->items[i] != declared)
			substitute_node(&sub, &body->items[i]);
}
