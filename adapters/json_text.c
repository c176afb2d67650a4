#include "json_text.h"

#include <inttypes.h>
#include <string.h>

/* Replaces invalid UTF-8, since a parser would reject the whole line. */
static void append_quoted(GString *out, const char *value)
{
	char *valid = g_utf8_make_valid(value, -1);

	g_string_append_c(out, '"');
	for (const char *next = valid; *next; next++) {
		unsigned char c = (unsigned char)*next;

		if (c == '"' || c == '\\')
			g_string_append_printf(out, "\\%c", c);
		else if (c < ' ')
			g_string_append_printf(out, "\\u%04x", c);
		else
			g_string_append_c(out, (char)c);
	}
	g_string_append_c(out, '"');
	g_free(valid);
}

/* Writes the comma and the key before a value, as needed. */
static void begin_value(GString *out, const char *key)
{
	if (out->len && !strchr("{[:\n", out->str[out->len - 1]))
		g_string_append_c(out, ',');
	if (!key)
		return;
	append_quoted(out, key);
	g_string_append_c(out, ':');
}

/**
 * json_open() - begin an object or array
 * @out: text to append to
 * @key: key in the enclosing object; NULL in an array or at the top
 * @bracket: '{' or '['
 */
void json_open(GString *out, const char *key, char bracket)
{
	begin_value(out, key);
	g_string_append_c(out, bracket);
}

/**
 * json_close() - end an object or array
 * @out: text to append to
 * @bracket: '}' or ']'
 */
void json_close(GString *out, char bracket)
{
	g_string_append_c(out, bracket);
}

/**
 * json_string() - write a string
 * @out: text to append to
 * @key: key, NULL in an array
 * @value: any text; it is escaped
 */
void json_string(GString *out, const char *key, const char *value)
{
	begin_value(out, key);
	append_quoted(out, value);
}

/**
 * json_number() - write a number
 * @out: text to append to
 * @key: key, NULL in an array
 * @value: number
 */
void json_number(GString *out, const char *key, uint64_t value)
{
	begin_value(out, key);
	g_string_append_printf(out, "%" PRIu64, value);
}

/**
 * json_bool() - write true or false
 * @out: text to append to
 * @key: key, NULL in an array
 * @value: value
 */
void json_bool(GString *out, const char *key, bool value)
{
	begin_value(out, key);
	g_string_append(out, value ? "true" : "false");
}
