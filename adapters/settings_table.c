#include "settings_table.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/**
 * settings_open() - read and parse a file
 * @r: reader, to be closed when this returns 0
 * @path: file; has to outlive the reader
 * @m: mistakes
 *
 * Return: 0, -EINVAL when it isn't TOML, -ENOENT when it can't be read.
 */
int settings_open(struct settings_reader *r, const char *path,
		  struct mistakes *m)
{
	char *text = NULL;
	gsize size_bytes = 0;
	GError *error = NULL;

	*r = (struct settings_reader){ NULL, m, m->n_errors };
	if (!g_file_get_contents(path, &text, &size_bytes, &error)) {
		mistake_add(m, path, 0, "", error->message, "a readable file");
		g_error_free(error);
		return -ENOENT;
	}
	r->root = toml_read(path, text, size_bytes, m);
	g_free(text);
	return r->root ? 0 : -EINVAL;
}

/**
 * settings_mistake() - add a mistake at a key's line, or its section's
 * @r: reader
 * @section: table
 * @key: name
 * @problem: what is wrong
 * @expected: what would be right
 */
void settings_mistake(struct settings_reader *r, const char *section,
		      const char *key, const char *problem,
		      const char *expected)
{
	const struct toml_node *table = toml_find(r->root, section);
	const struct toml_node *node = toml_find(table, key);

	if (!node)
		node = table ? table : r->root;
	field_add_mistake(r->m, node, section, key, problem, expected);
}

static bool has_section(const struct setting *table, const char *section)
{
	for (; table->section; table++)
		if (!strcmp(table->section, section))
			return true;
	return false;
}

static void unknown(struct settings_reader *r, const struct setting *table)
{
	for (uint32_t i = 0; i < r->root->n_items; i++) {
		const struct toml_node *t = &r->root->items[i];

		if (t->taken)
			continue;
		if (!has_section(table, t->key))
			field_add_mistake(r->m, t, t->key, "",
					  "unknown section",
					  "a section of these settings");
		else if (t->kind != TOML_TABLE)
			field_add_mistake(r->m, t, t->key, "",
					  toml_kind_name(t->kind), "a table");
		else
			fields_report_unknown(r->m, t->key, t);
	}
}

/* Endpoint that a key names, or ADDR_NONE. */
static uint64_t endpoint(const struct setting *s, const void *out)
{
	const char *at = (const char *)out + s->field.offset;
	uint64_t addr = ADDR_NONE;

	if (s->field.kind == FIELD_ADDR)
		memcpy(&addr, at, sizeof(addr));
	else if (s->field.kind == FIELD_ENDPOINT && at[0])
		addr_parse(at + sizeof(ENDPOINT_PREFIX) - 1, &addr);
	return addr;
}

static void clash(struct settings_reader *r, const struct setting *table,
		  const struct setting *s, const void *out)
{
	char problem[DOTTED_KEY_MAX_BYTES];

	for (const struct setting *o = table; o != s; o++) {
		if (o->listens != s->listens ||
		    endpoint(o, out) != endpoint(s, out))
			continue;
		g_snprintf(problem, sizeof(problem), "same address as %s.%s",
			   o->section, o->field.key);
		settings_mistake(r, s->section, s->field.key, problem,
				 "an address of its own");
	}
}

/**
 * settings_section() - fill a struct of its own from one section
 * @r: reader; settings_take() comes after this
 * @section: table
 * @fields: its keys, ends with a key of NULL
 * @out: struct
 */
void settings_section(struct settings_reader *r, const char *section,
		      const struct field *fields, void *out)
{
	struct toml_node *t = toml_find(r->root, section);

	if (!t)
		return;
	t->taken = 1;
	if (t->kind != TOML_TABLE) {
		field_add_mistake(r->m, t, section, "", toml_kind_name(t->kind),
				  "a table");
		return;
	}
	fields_parse(r->m, section, t, fields, out);
	fields_report_unknown(r->m, section, t);
}

/**
 * settings_take() - fill a struct by its table; adds every mistake
 * @r: reader
 * @table: keys, ends with a section of NULL
 * @out: struct
 */
void settings_take(struct settings_reader *r, const struct setting *table,
		   void *out)
{
	for (const struct setting *s = table; s->section; s++)
		field_parse(r->m, r->root, s->section,
			    toml_find(r->root, s->section), &s->field, out);
	unknown(r, table);
	for (const struct setting *s = table; s->section; s++)
		if (s->listens && endpoint(s, out))
			clash(r, table, s, out);
}

/**
 * settings_errors() - errors of this file so far
 * @r: reader
 *
 * Return: their number.
 */
uint32_t settings_errors(const struct settings_reader *r)
{
	return r->m->n_errors - r->errors_before;
}

/**
 * settings_close() - free the reader
 * @r: reader
 *
 * Return: 0, or -EINVAL when the file had an error.
 */
int settings_close(struct settings_reader *r)
{
	int err = settings_errors(r) ? -EINVAL : 0;

	toml_free(r->root);
	r->root = NULL;
	return err;
}
