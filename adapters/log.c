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
static uint64_t lost_lines;
static char program_name[NAME_MAX_BYTES];

static int level_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++)
		if (!strcmp(levels[i].name, name))
			return (int)i;
	return -EINVAL;
}

/* Flags of GLib itself and of other libraries, as our levels. */
static enum log_level level_of(GLogLevelFlags flags)
{
	if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return LOG_ERROR;
	if (flags & G_LOG_LEVEL_WARNING)
		return LOG_WARNING;
	if (flags & G_LOG_LEVEL_DEBUG)
		return LOG_DEBUG;
	return LOG_INFO;
}

static const char *field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return NULL;
}

static void text_line(GString *to, const char *when, const char *level,
		      const GLogField *f, gsize n)
{
	const char *step = field(f, n, "STEP");
	const char *peer = field(f, n, "PEER");
	const char *message = field(f, n, "MESSAGE");
	gsize start;

	g_string_append_printf(to, "%s %s %s", when, level, program_name);
	if (step)
		g_string_append_printf(to, " step=%s", step);
	if (peer)
		g_string_append_printf(to, " peer=%s", peer);
	g_string_append_c(to, ' ');
	start = to->len;
	g_string_append(to, message ? message : "");
	/*
	 * A message that quotes a peer could hold a newline and so forge a
	 * line of its own; one record stays one line.
	 */
	for (gsize i = start; i < to->len; i++)
		if ((unsigned char)to->str[i] < ' ')
			to->str[i] = ' ';
	g_string_append_c(to, '\n');
}

static void json_line(GString *to, const char *when, const char *level,
		      const GLogField *f, gsize n)
{
	static const char *const keys[][2] = { { "STEP", "step" },
					       { "PEER", "peer" },
					       { "MESSAGE", "message" } };

	json_open(to, NULL, '{');
	json_string(to, "time", when);
	json_string(to, "level", level);
	json_string(to, "program", program_name);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		const char *value = field(f, n, keys[i][0]);

		if (value)
			json_string(to, keys[i][1], value);
	}
	json_close(to, '}');
	g_string_append_c(to, '\n');
}

/*
 * Never waits: a reader of the log that stopped would stop the process. What
 * doesn't fit into its pipe is counted.
 */
static void write_line(const GString *line)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line->str, line->len) < 0)
		lost_lines++;
}

/**
 * log_lost() - lines that could not be written
 *
 * Return: their number since the process began.
 */
uint64_t log_lost(void)
{
	return lost_lines;
}

static GLogWriterOutput writer(GLogLevelFlags flags, const GLogField *fields,
			       gsize n, gpointer unused)
{
	enum log_level level = level_of(flags);
	GString *line;
	GDateTime *now;
	char *when;

	(void)unused;
	if (level > level_max)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	when = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = g_string_sized_new(LINE_BYTES);
	if (line_format == LOG_JSON)
		json_line(line, when, levels[level].name, fields, n);
	else
		text_line(line, when, levels[level].name, fields, n);
	write_line(line);
	g_string_free(line, TRUE);
	g_free(when);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

/**
 * log_open() - set level and format for the process; lines go to standard output
 * @program: name on each line
 * @s: settings; call again to change level or format
 *
 * Return: 0, or -EINVAL for an unknown level.
 */
int log_open(const char *program, const struct log_settings *s)
{
	static bool open;
	int level = level_find(s->level);

	if (level < 0)
		return level;
	level_max = (enum log_level)level;
	line_format = (enum log_format)s->format;
	g_strlcpy(program_name, program, sizeof(program_name));
	if (!open) /* GLib takes a writer once in a process's life */
		g_log_set_writer_func(writer, NULL, NULL);
	open = true;
	return 0;
}

/**
 * log_line() - log one line
 * @level: dropped when above the level set
 * @step: what was being done, one word or dotted words
 * @peer: other end, or NULL
 * @format: message, as printf()
 */
void log_line(enum log_level level, const char *step, const char *peer,
	      const char *format, ...)
{
	GLogField f[FIELDS_MAX];
	char message[LINE_BYTES];
	gsize n = 0;
	va_list ap;

	if (level > level_max)
		return;
	va_start(ap, format);
	vsnprintf(message, sizeof(message), format, ap);
	va_end(ap);
	f[n++] = (GLogField){ "MESSAGE", message, -1 };
	f[n++] = (GLogField){ "PRIORITY", levels[level].priority, -1 };
	f[n++] = (GLogField){ "PROGRAM", program_name, -1 };
	f[n++] = (GLogField){ "STEP", step, -1 };
	if (peer)
		f[n++] = (GLogField){ "PEER", peer, -1 };
	g_log_structured_array(levels[level].flag, f, n);
}
