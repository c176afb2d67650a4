#include "log_entry.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>

static char *text(const json_t *line, const char *name)
{
	const char *s = json_string_value(json_object_get(line, name));

	return g_strdup(s ? s : "");
}

/**
 * log_entry_read() - read a line of the log
 * @json: the line's JSON
 * @out: filled; log_entry_clear() frees it, also after a failure
 *
 * Return: 0, or -EPROTO when it is no line of a log.
 */
int log_entry_read(const char *json, struct log_entry *out)
{
	json_t *line = json_loads(json, 0, NULL);
	GDateTime *at;

	*out = (struct log_entry){
		.time = text(line, "time"),
		.step = text(line, "step"),
		.peer = text(line, "peer"),
		.message = text(line, "message"),
	};
	json_decref(line);
	at = g_date_time_new_from_iso8601(out->time, NULL);
	if (!at)
		return -EPROTO;
	out->time_us = g_date_time_to_unix(at) * G_USEC_PER_SEC +
		       g_date_time_get_microsecond(at);
	g_date_time_unref(at);
	return 0;
}

/**
 * log_entry_clear() - free what log_entry_read() filled
 * @e: line
 */
void log_entry_clear(struct log_entry *e)
{
	g_free(e->time);
	g_free(e->step);
	g_free(e->peer);
	g_free(e->message);
	*e = (struct log_entry){ 0 };
}
