#include "lines_json.h"

#include <string.h>

#define WORDS_MAX 4

/*
 * Lines that repeat become arrays of objects, with names for their words; the
 * last name takes the rest of the line. Other lines become one member each.
 */
static const struct shape {
	const char *word;
	const char *list;
	const char *names[WORDS_MAX];
} shapes[] = {
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
};

/* Digits without an order: as numbers they would lose their last ones. */
static const char *const opaque[] = { "view", "digest", NULL };

static const char *const phases[] = { "ready", "starting", "leaving" };

static void value_json(GString *to, const char *key, const char *text)
{
	char *end;
	guint64 number = g_ascii_strtoull(text, &end, 10);

	if (g_ascii_isdigit(text[0]) && !*end && !g_strv_contains(opaque, key))
		json_number(to, key, number);
	else
		json_string(to, key, text);
}

/* "a=1 b=2" as members of their own. */
static void pairs_json(GString *to, const char *text)
{
	char **pairs = g_strsplit(text, " ", -1);

	for (char **p = pairs; *p; p++) {
		char *equals = strchr(*p, '=');

		if (!equals)
			continue;
		*equals = '\0';
		value_json(to, *p, equals + 1);
	}
	g_strfreev(pairs);
}

static void shaped_json(GString *to, const struct shape *shape,
			const char *rest)
{
	uint32_t n = 0;
	char **words;

	while (n < WORDS_MAX && shape->names[n])
		n++;
	words = g_strsplit(rest, " ", (gint)n);
	json_open(to, NULL, '{');
	for (uint32_t i = 0; i < n && words[i]; i++) {
		if (!strcmp(shape->names[i], "values"))
			pairs_json(to, words[i]);
		else
			value_json(to, shape->names[i], words[i]);
	}
	json_close(to, '}');
	g_strfreev(words);
}

static const char *rest_of(const char *line, const char *word)
{
	size_t n = strlen(word);

	return !strncmp(line, word, n) && line[n] == ' ' ? line + n + 1 : NULL;
}

static void list_json(GString *to, const struct shape *shape, char **lines)
{
	bool open = false;

	for (char **l = lines; *l; l++) {
		const char *rest = rest_of(*l, shape->word);

		if (!rest)
			continue;
		/* "account NAME" of /explain is one value, not a list. */
		if (!strchr(rest, ' '))
			continue;
		if (!open)
			json_open(to, shape->list, '[');
		open = true;
		shaped_json(to, shape, rest);
	}
	if (open)
		json_close(to, ']');
}

static bool is_listed(const char *line)
{
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
		const char *rest = rest_of(line, shapes[i].word);

		if (rest && strchr(rest, ' '))
			return true;
	}
	return false;
}

static void single_json(GString *to, const char *line)
{
	const char *space = strchr(line, ' ');
	char *key;

	for (size_t i = 0; i < G_N_ELEMENTS(phases); i++)
		if (!strcmp(line, phases[i])) {
			json_string(to, "phase", line);
			return;
		}
	if (!space)
		return;
	key = g_strndup(line, (gsize)(space - line));
	value_json(to, key, space + 1);
	g_free(key);
}

/**
 * lines_json() - write a daemon's lines as members of the object that is open
 * @to: JSON
 * @body: lines "KEY VALUE..."
 */
void lines_json(GString *to, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);

	for (char **l = lines; *l; l++)
		if (**l && !is_listed(*l))
			single_json(to, *l);
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++)
		list_json(to, &shapes[i], lines);
	g_strfreev(lines);
}
