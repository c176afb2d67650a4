/*
 * replay: from the logs of several entries, the lines that tell what became of
 * one flow: its own, those about the targets it was given, and what its
 * entries went through around that time.
 */
#include "cbctl.h"

#include "log_entry.h"

#include <stdio.h>
#include <string.h>

/* A target is found dead, or the platform lost, some time before it shows. */
#define BEFORE_US (3 * G_USEC_PER_SEC)
/* A client that was told opens another flow soon; later is another story. */
#define AFTER_US (1 * G_USEC_PER_SEC)
#define TARGET_WORD "target "

/**
 * struct line - a line of a log
 * @source: entry that wrote it
 * @says: what it says
 */
struct line {
	char *source;
	struct log_entry says;
};

/**
 * struct story - what belongs to a flow
 * @lines: struct line, all that was read
 * @skipped: lines that are no lines of a log
 * @addresses: of targets that the flow was given
 * @ids: of these targets
 * @sources: entries that decided about it
 * @from_us: first time that matters
 * @to_us: last
 */
struct story {
	GPtrArray *lines;
	uint32_t skipped;
	GHashTable *addresses;
	GHashTable *ids;
	GHashTable *sources;
	int64_t from_us;
	int64_t to_us;
};

/* What an entry went through; its lines name no flow. */
static const char *const own_steps[] = { "start",  "stop",   "paused",
					 "ready",  "reload", "platform",
					 "routes", NULL };

static void line_free(void *p)
{
	struct line *l = p;

	g_free(l->source);
	log_entry_clear(&l->says);
	g_free(l);
}

/* A collector may put the entry's name in front of each line. */
static char *source_of(const char *line, const char *json, const char *file)
{
	char *prefix = g_strndup(line, (gsize)(json - line));
	char *name = strrchr(g_strchomp(prefix), ' ');
	char *source = prefix[0] ? g_strdup(name ? name + 1 : prefix)
				 : g_path_get_basename(file);

	g_free(prefix);
	return source;
}

/* Return: the line, or NULL when it is none of a log. */
static struct line *line_read(const char *text, const char *file)
{
	const char *json = strchr(text, '{');
	struct line *l = g_new0(struct line, 1);

	if (json && !log_entry_parse(json, &l->says)) {
		l->source = source_of(text, json, file);
		return l;
	}
	line_free(l);
	return NULL;
}

static enum exit_code file_read(struct story *s, const char *file)
{
	GError *error = NULL;
	char *all = NULL;
	char **lines;

	if (!g_file_get_contents(file, &all, NULL, &error)) {
		complain("replay", file, "%s", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	lines = g_strsplit(all, "\n", -1);
	for (char **l = lines; *l; l++) {
		struct line *line = line_read(*l, file);

		if (line)
			g_ptr_array_add(s->lines, line);
		else
			s->skipped += **l != '\0';
	}
	g_strfreev(lines);
	g_free(all);
	return EXIT_OK;
}

static bool of_flow(const struct line *l, const char *flow)
{
	return g_str_has_prefix(l->says.step, "flow.") &&
	       !strcmp(l->says.peer, flow);
}

/* "target ID at ADDRESS" of a decision, when it names a target. */
static void note_target(struct story *s, const char *message)
{
	const char *at = strstr(message, TARGET_WORD);
	char **words = at ? g_strsplit(at, " ", 5) : NULL;

	if (words && g_strv_length(words) >= 4 && strcmp(words[1], "0")) {
		g_hash_table_add(s->ids, g_strdup(words[1]));
		g_hash_table_add(s->addresses, g_strdup(words[3]));
	}
	g_strfreev(words);
}

/* Return: how many lines name the flow. */
static uint32_t note_flow(struct story *s, const char *flow)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->lines->len; i++) {
		const struct line *l = s->lines->pdata[i];

		if (!of_flow(l, flow))
			continue;
		if (!n++)
			s->from_us = s->to_us = l->says.time_us;
		s->from_us = MIN(s->from_us, l->says.time_us);
		s->to_us = MAX(s->to_us, l->says.time_us);
		g_hash_table_add(s->sources, g_strdup(l->source));
		note_target(s, l->says.message);
	}
	s->from_us -= BEFORE_US;
	s->to_us += AFTER_US;
	return n;
}

/* Whether a line is about one of the flow's targets. */
static bool of_target(const struct story *s, const struct line *l)
{
	const char *id = strstr(l->says.message, TARGET_WORD);
	const char *dash = strrchr(l->says.peer, '-');
	char *word;
	bool found;

	if (!strcmp(l->says.step, "target.health"))
		return g_hash_table_contains(s->addresses, l->says.peer);
	if (!strcmp(l->says.step, "target"))
		return dash && g_hash_table_contains(s->ids, dash + 1);
	if (strcmp(l->says.step, "target.eject") || !id)
		return false;
	id += strlen(TARGET_WORD);
	word = g_strndup(id, strcspn(id, " "));
	found = g_hash_table_contains(s->ids, word);
	g_free(word);
	return found;
}

static bool belongs(const struct story *s, const struct line *l,
		    const char *flow)
{
	if (of_flow(l, flow))
		return true;
	if (l->says.time_us < s->from_us || l->says.time_us > s->to_us)
		return false;
	if (of_target(s, l))
		return true;
	return g_strv_contains(own_steps, l->says.step) &&
	       g_hash_table_contains(s->sources, l->source);
}

static int by_time(const void *a, const void *b)
{
	const struct line *x = *(struct line *const *)a;
	const struct line *y = *(struct line *const *)b;

	return (x->says.time_us > y->says.time_us) -
	       (x->says.time_us < y->says.time_us);
}

static void line_json(GString *json, const struct line *l)
{
	json_open(json, NULL, '{');
	json_string(json, "time", l->says.time);
	json_string(json, "entry", l->source);
	json_string(json, "step", l->says.step);
	json_string(json, "peer", l->says.peer);
	json_string(json, "message", l->says.message);
	json_close(json, '}');
}

static void print(const struct story *s, const struct request *r)
{
	GString *json = g_string_new(NULL);

	json_open(json, NULL, '[');
	g_ptr_array_sort(s->lines, by_time);
	for (uint32_t i = 0; i < s->lines->len; i++) {
		const struct line *l = s->lines->pdata[i];

		if (!belongs(s, l, r->operands[0]))
			continue;
		if (r->json)
			line_json(json, l);
		else
			printf("%s %s %s %s %s\n", l->says.time, l->source,
			       l->says.step,
			       l->says.peer[0] ? l->says.peer : "-",
			       l->says.message);
	}
	json_close(json, ']');
	finish_json(r, json);
}

static GHashTable *words_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * replay_run() - print one flow's story from entries' logs
 * @r: client's address and port as the logs have it, then files
 *
 * Return: EXIT_PROBLEMS when no line names the flow; EXIT_USAGE when a file
 * can't be read.
 */
enum exit_code replay_run(const struct request *r)
{
	struct story s = {
		.lines = g_ptr_array_new_with_free_func(line_free),
		.addresses = words_new(),
		.ids = words_new(),
		.sources = words_new(),
	};
	enum exit_code code = EXIT_OK;

	for (uint32_t i = 1; i < r->n_operands && code == EXIT_OK; i++)
		code = file_read(&s, r->operands[i]);
	if (code == EXIT_OK && !note_flow(&s, r->operands[0])) {
		complain("replay", r->operands[0],
			 "no line names this flow; %u lines read, %u are none "
			 "of a log",
			 s.lines->len, s.skipped);
		code = EXIT_PROBLEMS;
	}
	if (code == EXIT_OK)
		print(&s, r);
	g_ptr_array_unref(s.lines);
	g_hash_table_unref(s.addresses);
	g_hash_table_unref(s.ids);
	g_hash_table_unref(s.sources);
	return code;
}
