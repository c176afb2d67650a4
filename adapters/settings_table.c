#include "settings_table.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/**
 * settings_open() - read and parse a file
 * @reader: reader; has to be closed when 0 is returned
 * @path: file; has to outlive the reader
 * @mistakes: list to which all mistakes are added; has to outlive the reader
 *
 * Return: 0, -EINVAL when the file is not TOML, -ENOENT when it cannot be read.
 */
int settings_open(struct settings_reader *reader, const char *path,
		  struct mistakes *mistakes)
{
	char *text = NULL;
	gsize size_bytes = 0;
	GError *error = NULL;

	*reader =
		(struct settings_reader){ NULL, mistakes, mistakes->n_errors };
	if (!g_file_get_contents(path, &text, &size_bytes, &error)) {
		mistake_add(mistakes, path, 0, "", error->message,
			    "a readable file");
		g_error_free(error);
		return -ENOENT;
	}
	reader->root = toml_parse(path, text, size_bytes, mistakes);
	g_free(text);
	return reader->root ? 0 : -EINVAL;
}

/**
 * settings_add_mistake() - add a mistake at the line of a key, or of its
 *	section when the key is missing
 * @reader: reader
 * @section: name of the section
 * @key: key in the section
 * @problem: what is wrong
 * @expected: what would be valid
 */
void settings_add_mistake(struct settings_reader *reader, const char *section,
			  const char *key, const char *problem,
			  const char *expected)
{
	const struct toml_node *table = toml_find(reader->root, section);
	const struct toml_node *node = toml_find(table, key);

	if (!node)
		node = table ? table : reader->root;
	field_add_mistake(reader->mistakes, node, section, key, problem,
			  expected);
}

static bool has_section(const struct setting *table, const char *section)
{
	for (; table->section; table++)
		if (!strcmp(table->section, section))
			return true;
	return false;
}

static void report_unknown(struct settings_reader *reader,
			   const struct setting *table)
{
	for (uint32_t i = 0; i < reader->root->n_items; i++) {
		const struct toml_node *section = &reader->root->items[i];

		if (section->consumed)
			continue;
		if (!has_section(table, section->key))
			field_add_mistake(reader->mistakes, section,
					  section->key, "", "unknown section",
					  "a section of these settings");
		else if (section->kind != TOML_TABLE)
			field_add_mistake(reader->mistakes, section,
					  section->key, "",
					  toml_kind_name(section->kind),
					  "a table");
		else
			fields_report_unknown(reader->mistakes, section->key,
					      section);
	}
}

/* Endpoint in a member of @out, or ADDR_NONE. */
static uint64_t endpoint_of(const struct setting *setting, const void *out)
{
	const char *at = (const char *)out + setting->field.offset;
	uint64_t addr = ADDR_NONE;

	if (setting->field.kind == FIELD_ADDR)
		memcpy(&addr, at, sizeof(addr));
	else if (setting->field.kind == FIELD_ENDPOINT && at[0])
		addr_parse(at + sizeof(ENDPOINT_PREFIX) - 1, &addr);
	return addr;
}

static void check_listener(struct settings_reader *reader,
			   const struct setting *table,
			   const struct setting *setting, const void *out)
{
	char problem[DOTTED_KEY_MAX_BYTES];

	for (const struct setting *other = table; other != setting; other++) {
		if (other->listener != setting->listener ||
		    endpoint_of(other, out) != endpoint_of(setting, out))
			continue;
		g_snprintf(problem, sizeof(problem), "same address as %s.%s",
			   other->section, other->field.key);
		settings_add_mistake(reader, setting->section,
				     setting->field.key, problem,
				     "an address not used by another key");
	}
}

/**
 * settings_parse_section() - set a struct from one section
 * @reader: reader; call this before settings_parse(), which reports the
 *	sections that are left
 * @section: name of the section
 * @fields: keys of the section; ends with a key of NULL
 * @out: struct that @fields describe
 */
void settings_parse_section(struct settings_reader *reader, const char *section,
			    const struct field *fields, void *out)
{
	struct toml_node *table = toml_find(reader->root, section);

	if (!table)
		return;
	table->consumed = 1;
	if (table->kind != TOML_TABLE) {
		field_add_mistake(reader->mistakes, table, section, "",
				  toml_kind_name(table->kind), "a table");
		return;
	}
	fields_parse(reader->mistakes, section, table, fields, out);
	fields_report_unknown(reader->mistakes, section, table);
}

/**
 * settings_parse() - set a struct from a file
 * @reader: reader
 * @table: keys; ends with a section of NULL
 * @out: struct that @table describes
 *
 * Unknown sections and keys, and listeners with the same endpoint, are
 * mistakes.
 */
void settings_parse(struct settings_reader *reader, const struct setting *table,
		    void *out)
{
	for (const struct setting *setting = table; setting->section; setting++)
		field_parse(reader->mistakes, reader->root, setting->section,
			    toml_find(reader->root, setting->section),
			    &setting->field, out);
	report_unknown(reader, table);
	for (const struct setting *setting = table; setting->section; setting++)
		if (setting->listener && endpoint_of(setting, out))
			check_listener(reader, table, setting, out);
}

/**
 * settings_error_count() - number of errors of the file so far
 * @reader: reader
 *
 * Return: count, without warnings.
 */
uint32_t settings_error_count(const struct settings_reader *reader)
{
	return reader->mistakes->n_errors - reader->errors_before;
}

/**
 * settings_close() - free a reader
 * @reader: reader
 *
 * Return: 0, or -EINVAL when the file had an error.
 */
int settings_close(struct settings_reader *reader)
{
	int err = settings_error_count(reader) ? -EINVAL : 0;

	toml_free(reader->root);
	reader->root = NULL;
	return err;
}
