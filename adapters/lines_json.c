#include "lines_json.h"

#include <string.h>

#define FIELDS_MAX 4

/*
 * Keywords that may occur on many lines. The lines of each become an array of
 * objects whose members are named by @fields; the last field takes the rest of
 * the line, and a field "values" takes pairs KEY=VALUE as members. Any other
 * line becomes one member.
 */
static const struct line_format {
	const char *keyword;
	const char *array;
	const char *fields[FIELDS_MAX];
} line_formats[] = {
	{ "member", "members", { "address", "state", "incarnation" } },
	{ "account", "accounts", { "name", "generation" } },
	{ "gauge", "gauges", { "name", "value" } },
	{ "counter", "counters", { "name", "value" } },
	{ "answers", "answers", { "account", "class", "values" } },
	{ "not_run", "not_run", { "account", "class", "reason", "count" } },
	{ "outcome_unknown",
	  "outcome_unknown",
	  { "account", "class", "reason", "count" } },
	{ "target", "targets", { "address", "values" } },
	{ "request", "requests", { "values" } },
	{ "feed", "feeds", { "values" } },
	{ "copy", "copies", { "values" } },
	{ "pin", "pins", { "values" } },
	{ "refused", "refused", { "key", "reason" } },
	{ "admission", "admissions", { "service", "values" } },
	{ "load", "loads", { "service", "class", "values" } },
};

/*
 * Keys whose values stay strings even when they are all digits: they are
 * hashes, and JSON readers that store numbers as doubles would lose their last
 * digits.
 */
static const char *const hash_keys[] = { "view", "digest", NULL };

static const char *const phases[] = { "ready", "starting", "leaving" };

static void append_value(GString *json, const char *key, const char *text)
{
	char *end;
	guint64 number = g_ascii_strtoull(text, &end, 10);

	if (g_ascii_isdigit(text[0]) && !*end &&
	    !g_strv_contains(hash_keys, key))
		json_number(json, key, number);
	else
		json_string(json, key, text);
}

/* Appends each pair of "a=1 b=2" as a member. */
static void append_pairs(GString *json, const char *text)
{
	char **pairs = g_strsplit(text, " ", -1);

	for (char **p = pairs; *p; p++) {
		char *equals = strchr(*p, '=');

		if (!equals)
			continue;
		*equals = '\0';
		append_value(json, *p, equals + 1);
	}
	g_strfreev(pairs);
}

static void append_object(GString *json, const struct line_format *format,
			  const char *rest)
{
	uint32_t n = 0;
	char **values;

	while (n < FIELDS_MAX && format->fields[n])
		n++;
	values = g_strsplit(rest, " ", (gint)n);
	json_open(json, NULL, '{');
	for (uint32_t i = 0; i < n && values[i]; i++) {
		if (!strcmp(format->fields[i], "values"))
			append_pairs(json, values[i]);
		else
			append_value(json, format->fields[i], values[i]);
	}
	json_close(json, '}');
	g_strfreev(values);
}

static const char *after_keyword(const char *line, const char *keyword)
{
	size_t n = strlen(keyword);

	return !strncmp(line, keyword, n) && line[n] == ' ' ? line + n + 1
							    : NULL;
}

static void append_array(GString *json, const struct line_format *format,
			 char **lines)
{
	bool open = false;

	for (char **l = lines; *l; l++) {
		const char *rest = after_keyword(*l, format->keyword);

		if (!rest)
			continue;
		/* /explain has a line "account NAME", a single value. */
		if (!strchr(rest, ' '))
			continue;
		if (!open)
			json_open(json, format->array, '[');
		open = true;
		append_object(json, format, rest);
	}
	if (open)
		json_close(json, ']');
}

static bool is_array_line(const char *line)
{
	for (size_t i = 0; i < G_N_ELEMENTS(line_formats); i++) {
		const char *rest = after_keyword(line, line_formats[i].keyword);

		if (rest && strchr(rest, ' '))
			return true;
	}
	return false;
}

static void append_member(GString *json, const char *line)
{
	const char *space = strchr(line, ' ');
	char *key;

	for (size_t i = 0; i < G_N_ELEMENTS(phases); i++)
		if (!strcmp(line, phases[i])) {
			json_string(json, "phase", line);
			return;
		}
	if (!space)
		return;
	key = g_strndup(line, (gsize)(space - line));
	append_value(json, key, space + 1);
	g_free(key);
}

/**
 * lines_append_json() - append the lines of a status page as members of the
 *	open JSON object
 * @json: JSON text with an open object
 * @body: lines "KEY VALUE..." of /status, /flows or /explain
 */
void lines_append_json(GString *json, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);

	for (char **l = lines; *l; l++)
		if (**l && !is_array_line(*l))
			append_member(json, *l);
	for (size_t i = 0; i < G_N_ELEMENTS(line_formats); i++)
		append_array(json, &line_formats[i], lines);
	g_strfreev(lines);
}
