/*
 * replay: merges the logs of several entries and prints the lines about one
 * flow: its own, those about its targets, and those about the state of its
 * entries at that time.
 */
#include "cbctl.h"

#include "log_entry.h"

#include <stdio.h>
#include <string.h>

/* The failure of a target or of the platform precedes its effect on a flow. */
#define MARGIN_BEFORE_US (3 * G_USEC_PER_SEC)
/* A client whose flow was reset opens its next flow within this time. */
#define MARGIN_AFTER_US (1 * G_USEC_PER_SEC)
#define TARGET_PREFIX "target "

/**
 * struct line - a log line
 * @entry: name of the entry that wrote it; owned
 * @record: the parsed record; owned
 */
struct line {
	char *entry;
	struct log_entry record;
};

/**
 * struct flow_log - the lines of all logs, and what identifies those of a flow
 * @lines: struct line *, every line that was parsed; owned
 * @skipped: lines that are not log records
 * @target_addresses: addresses of the targets that the flow was assigned to
 * @target_ids: IDs of these targets
 * @entries: names of the entries that decided about the flow
 * @from_us: start of the period that is printed, microseconds since 1970
 * @to_us: end of the period, microseconds since 1970
 */
struct flow_log {
	GPtrArray *lines;
	uint32_t skipped;
	GHashTable *target_addresses;
	GHashTable *target_ids;
	GHashTable *entries;
	int64_t from_us;
	int64_t to_us;
};

/* Steps about an entry's own state; their lines name no flow. */
static const char *const entry_steps[] = { "start",  "stop",	    "paused",
					   "ready",  "reload",	    "platform",
					   "routes", "load.refuse", NULL };

static void line_free(void *p)
{
	struct line *l = p;

	g_free(l->entry);
	log_entry_clear(&l->record);
	g_free(l);
}

/* A log collector may prefix each line with the entry's name. */
static char *entry_name(const char *line, const char *json, const char *file)
{
	char *prefix = g_strndup(line, (gsize)(json - line));
	char *name = strrchr(g_strchomp(prefix), ' ');
	char *entry = prefix[0] ? g_strdup(name ? name + 1 : prefix)
				: g_path_get_basename(file);

	g_free(prefix);
	return entry;
}

/* Return: the line, to be freed with line_free(), or NULL for no log record. */
static struct line *line_parse(const char *text, const char *file)
{
	const char *json = strchr(text, '{');
	struct line *l = g_new0(struct line, 1);

	if (json && !log_entry_parse(json, &l->record)) {
		l->entry = entry_name(text, json, file);
		return l;
	}
	line_free(l);
	return NULL;
}

static enum exit_code read_file(struct flow_log *log, const char *file)
{
	GError *error = NULL;
	char *content = NULL;
	char **lines;

	if (!g_file_get_contents(file, &content, NULL, &error)) {
		report_error("replay", file, "%s", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	lines = g_strsplit(content, "\n", -1);
	for (char **l = lines; *l; l++) {
		struct line *line = line_parse(*l, file);

		if (line)
			g_ptr_array_add(log->lines, line);
		else
			log->skipped += **l != '\0';
	}
	g_strfreev(lines);
	g_free(content);
	return EXIT_OK;
}

static bool is_of_flow(const struct line *l, const char *flow)
{
	return g_str_has_prefix(l->record.step, "flow.") &&
	       !strcmp(l->record.peer, flow);
}

/* Parses "target ID at ADDRESS" in the message of a decision; ID 0 is none. */
static void add_target(struct flow_log *log, const char *message)
{
	const char *at = strstr(message, TARGET_PREFIX);
	char **words = at ? g_strsplit(at, " ", 5) : NULL;

	if (words && g_strv_length(words) >= 4 && strcmp(words[1], "0")) {
		g_hash_table_add(log->target_ids, g_strdup(words[1]));
		g_hash_table_add(log->target_addresses, g_strdup(words[3]));
	}
	g_strfreev(words);
}

/* Sets period, entries and targets. Return: number of lines that name the flow. */
static uint32_t find_flow(struct flow_log *log, const char *flow)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < log->lines->len; i++) {
		const struct line *l = log->lines->pdata[i];

		if (!is_of_flow(l, flow))
			continue;
		if (!n++)
			log->from_us = log->to_us = l->record.time_us;
		log->from_us = MIN(log->from_us, l->record.time_us);
		log->to_us = MAX(log->to_us, l->record.time_us);
		g_hash_table_add(log->entries, g_strdup(l->entry));
		add_target(log, l->record.message);
	}
	log->from_us -= MARGIN_BEFORE_US;
	log->to_us += MARGIN_AFTER_US;
	return n;
}

static bool is_of_target(const struct flow_log *log, const struct line *l)
{
	const char *id = strstr(l->record.message, TARGET_PREFIX);
	const char *dash = strrchr(l->record.peer, '-');
	char *word;
	bool found;

	if (!strcmp(l->record.step, "target.health"))
		return g_hash_table_contains(log->target_addresses,
					     l->record.peer);
	if (!strcmp(l->record.step, "target"))
		return dash && g_hash_table_contains(log->target_ids, dash + 1);
	if (strcmp(l->record.step, "target.eject") || !id)
		return false;
	id += strlen(TARGET_PREFIX);
	word = g_strndup(id, strcspn(id, " "));
	found = g_hash_table_contains(log->target_ids, word);
	g_free(word);
	return found;
}

static bool is_relevant(const struct flow_log *log, const struct line *l,
			const char *flow)
{
	if (is_of_flow(l, flow))
		return true;
	if (l->record.time_us < log->from_us || l->record.time_us > log->to_us)
		return false;
	if (is_of_target(log, l))
		return true;
	return g_strv_contains(entry_steps, l->record.step) &&
	       g_hash_table_contains(log->entries, l->entry);
}

static int compare_times(const void *a, const void *b)
{
	const struct line *x = *(struct line *const *)a;
	const struct line *y = *(struct line *const *)b;

	return (x->record.time_us > y->record.time_us) -
	       (x->record.time_us < y->record.time_us);
}

static void json_line(GString *json, const struct line *l)
{
	json_open(json, NULL, '{');
	json_string(json, "time", l->record.time);
	json_string(json, "entry", l->entry);
	json_string(json, "step", l->record.step);
	json_string(json, "peer", l->record.peer);
	json_string(json, "message", l->record.message);
	json_close(json, '}');
}

static void print_lines(const struct flow_log *log,
			const struct command_args *args)
{
	GString *json = g_string_new(NULL);

	json_open(json, NULL, '[');
	g_ptr_array_sort(log->lines, compare_times);
	for (uint32_t i = 0; i < log->lines->len; i++) {
		const struct line *l = log->lines->pdata[i];

		if (!is_relevant(log, l, args->operands[0]))
			continue;
		if (args->json)
			json_line(json, l);
		else
			printf("%s %s %s %s %s\n", l->record.time, l->entry,
			       l->record.step,
			       l->record.peer[0] ? l->record.peer : "-",
			       l->record.message);
	}
	json_close(json, ']');
	json_finish(args, json);
}

static GHashTable *string_set_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * replay_run() - print the lines about one flow from the logs of entries
 * @args: operands are the client's IP:PORT as logged, then the log files
 *
 * Return: EXIT_OK; EXIT_PROBLEMS when no line names the flow; EXIT_USAGE when
 * a file can't be read.
 */
enum exit_code replay_run(const struct command_args *args)
{
	struct flow_log log = {
		.lines = g_ptr_array_new_with_free_func(line_free),
		.target_addresses = string_set_new(),
		.target_ids = string_set_new(),
		.entries = string_set_new(),
	};
	enum exit_code code = EXIT_OK;

	for (uint32_t i = 1; i < args->n_operands && code == EXIT_OK; i++)
		code = read_file(&log, args->operands[i]);
	if (code == EXIT_OK && !find_flow(&log, args->operands[0])) {
		report_error(
			"replay", args->operands[0],
			"no line names this flow; %u log lines read, %u other "
			"lines skipped",
			log.lines->len, log.skipped);
		code = EXIT_PROBLEMS;
	}
	if (code == EXIT_OK)
		print_lines(&log, args);
	g_ptr_array_unref(log.lines);
	g_hash_table_unref(log.target_addresses);
	g_hash_table_unref(log.target_ids);
	g_hash_table_unref(log.entries);
	return code;
}
