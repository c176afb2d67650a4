#define G_LOG_USE_STRUCTURED
#include "log.h"

#include "json_text.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_BYTES 1024
#define FIELDS_MAX 5

static const struct {
	const char *name;
	GLogLevelFlags flag;
	const char *priority;
} levels[] = {
	/* G_LOG_LEVEL_ERROR would abort the process. */
	[LOG_ERROR] = { "error", G_LOG_LEVEL_CRITICAL, "3" },
	[LOG_WARNING] = { "warning", G_LOG_LEVEL_WARNING, "4" },
	[LOG_INFO] = { "info", G_LOG_LEVEL_INFO, "6" },
	[LOG_DEBUG] = { "debug", G_LOG_LEVEL_DEBUG, "7" },
};

static enum log_level level_max = LOG_INFO;
static enum log_format line_format = LOG_TEXT;
static uint64_t lost_line_count;
static char program_name[NAME_MAX_BYTES];

static int level_by_name(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++)
		if (!strcmp(levels[i].name, name))
			return (int)i;
	return -EINVAL;
}

/* Maps the flags of GLib and of other libraries to enum log_level. */
static enum log_level level_from_flags(GLogLevelFlags flags)
{
	if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return LOG_ERROR;
	if (flags & G_LOG_LEVEL_WARNING)
		return LOG_WARNING;
	if (flags & G_LOG_LEVEL_DEBUG)
		return LOG_DEBUG;
	return LOG_INFO;
}

static const char *find_field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return NULL;
}

static void append_text(GString *line, const char *time, const char *level,
			const GLogField *fields, gsize n)
{
	const char *step = find_field(fields, n, "STEP");
	const char *peer = find_field(fields, n, "PEER");
	const char *message = find_field(fields, n, "MESSAGE");
	gsize start;

	g_string_append_printf(line, "%s %s %s", time, level, program_name);
	if (step)
		g_string_append_printf(line, " step=%s", step);
	if (peer)
		g_string_append_printf(line, " peer=%s", peer);
	g_string_append_c(line, ' ');
	start = line->len;
	g_string_append(line, message ? message : "");
	/*
	 * A message that quotes a peer may contain a newline, with which the
	 * peer could forge a record. Control characters become spaces.
	 */
	for (gsize i = start; i < line->len; i++)
		if ((unsigned char)line->str[i] < ' ')
			line->str[i] = ' ';
	g_string_append_c(line, '\n');
}

static void append_json(GString *line, const char *time, const char *level,
			const GLogField *fields, gsize n)
{
	static const char *const keys[][2] = { { "STEP", "step" },
					       { "PEER", "peer" },
					       { "MESSAGE", "message" } };

	json_open(line, NULL, '{');
	json_string(line, "time", time);
	json_string(line, "level", level);
	json_string(line, "program", program_name);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		const char *value = find_field(fields, n, keys[i][0]);

		if (value)
			json_string(line, keys[i][1], value);
	}
	json_close(line, '}');
	g_string_append_c(line, '\n');
}

/*
 * Never blocks: a reader of the log that has stopped would otherwise stop the
 * process. A line that does not fit into the pipe is counted and dropped.
 */
static void write_line(const GString *line)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line->str, line->len) < 0)
		lost_line_count++;
}

/**
 * log_lost_line_count() - number of lines that could not be written
 *
 * Return: count since the process started.
 */
uint64_t log_lost_line_count(void)
{
	return lost_line_count;
}

static GLogWriterOutput write_record(GLogLevelFlags flags,
				     const GLogField *fields, gsize n,
				     gpointer unused)
{
	enum log_level level = level_from_flags(flags);
	GString *line;
	GDateTime *now;
	char *time;

	(void)unused;
	if (level > level_max)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = g_string_sized_new(LINE_BYTES);
	if (line_format == LOG_JSON)
		append_json(line, time, levels[level].name, fields, n);
	else
		append_text(line, time, levels[level].name, fields, n);
	write_line(line);
	g_string_free(line, TRUE);
	g_free(time);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

/**
 * log_open() - set level and format of the log; lines go to standard output
 * @program: name of the program on each line
 * @settings: level and format
 *
 * A further call changes level and format.
 *
 * Return: 0, or -EINVAL for an unknown level.
 */
int log_open(const char *program, const struct log_settings *settings)
{
	static bool open;
	int level = level_by_name(settings->level);

	if (level < 0)
		return level;
	level_max = (enum log_level)level;
	line_format = (enum log_format)settings->format;
	g_strlcpy(program_name, program, sizeof(program_name));
	if (!open) /* GLib allows one call per process */
		g_log_set_writer_func(write_record, NULL, NULL);
	open = true;
	return 0;
}

/**
 * log_line() - log one line
 * @level: the line is dropped when this is above the level that is set
 * @step: operation in progress, one word or dotted words
 * @peer: address or name that the operation concerns, or NULL
 * @format: message, as for printf(); the result is cut at 1023 bytes
 */
void log_line(enum log_level level, const char *step, const char *peer,
	      const char *format, ...)
{
	GLogField fields[FIELDS_MAX];
	char message[LINE_BYTES];
	gsize n = 0;
	va_list ap;

	if (level > level_max)
		return;
	va_start(ap, format);
	vsnprintf(message, sizeof(message), format, ap);
	va_end(ap);
	fields[n++] = (GLogField){ "MESSAGE", message, -1 };
	fields[n++] = (GLogField){ "PRIORITY", levels[level].priority, -1 };
	fields[n++] = (GLogField){ "PROGRAM", program_name, -1 };
	fields[n++] = (GLogField){ "STEP", step, -1 };
	if (peer)
		fields[n++] = (GLogField){ "PEER", peer, -1 };
	g_log_structured_array(levels[level].flag, fields, n);
}
