#include "json_text.h"

#include <inttypes.h>
#include <string.h>

/* Invalid UTF-8 is not JSON: a reader would refuse the whole line. */
static void quoted(GString *to, const char *value)
{
	char *valid = g_utf8_make_valid(value, -1);

	g_string_append_c(to, '"');
	for (const char *at = valid; *at; at++) {
		unsigned char c = (unsigned char)*at;

		if (c == '"' || c == '\\')
			g_string_append_printf(to, "\\%c", c);
		else if (c < ' ')
			g_string_append_printf(to, "\\u%04x", c);
		else
			g_string_append_c(to, (char)c);
	}
	g_string_append_c(to, '"');
	g_free(valid);
}

static void lead(GString *to, const char *key)
{
	if (to->len && !strchr("{[:\n", to->str[to->len - 1]))
		g_string_append_c(to, ',');
	if (!key)
		return;
	quoted(to, key);
	g_string_append_c(to, ':');
}

/**
 * json_open() - begin an object or array
 * @to: text
 * @key: name in the object around it, NULL in an array or at the top
 * @bracket: '{' or '['
 */
void json_open(GString *to, const char *key, char bracket)
{
	lead(to, key);
	g_string_append_c(to, bracket);
}

/**
 * json_close() - end an object or array
 * @to: text
 * @bracket: '}' or ']'
 */
void json_close(GString *to, char bracket)
{
	g_string_append_c(to, bracket);
}

/**
 * json_string() - write a string
 * @to: text
 * @key: name, or NULL in an array
 * @value: text, escaped as needed
 */
void json_string(GString *to, const char *key, const char *value)
{
	lead(to, key);
	quoted(to, value);
}

/**
 * json_number() - write a number
 * @to: text
 * @key: name, or NULL in an array
 * @value: number
 */
void json_number(GString *to, const char *key, uint64_t value)
{
	lead(to, key);
	g_string_append_printf(to, "%" PRIu64, value);
}

/**
 * json_bool() - write true or false
 * @to: text
 * @key: name, or NULL in an array
 * @value: truth
 */
void json_bool(GString *to, const char *key, bool value)
{
	lead(to, key);
	g_string_append(to, value ? "true" : "false");
}
