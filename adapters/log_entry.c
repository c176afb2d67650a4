#include "log_entry.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>

static char *copy_text(const json_t *line, const char *name)
{
	const char *s = json_string_value(json_object_get(line, name));

	return g_strdup(s ? s : "");
}

/**
 * log_entry_parse() - parse a line of a log in format "json"
 * @json: line
 * @out: set to its fields; free it with log_entry_clear(), also after an error
 *
 * Return: 0, or -EPROTO when the line has no valid time.
 */
int log_entry_parse(const char *json, struct log_entry *out)
{
	json_t *line = json_loads(json, 0, NULL);
	GDateTime *time;

	*out = (struct log_entry){
		.time = copy_text(line, "time"),
		.step = copy_text(line, "step"),
		.peer = copy_text(line, "peer"),
		.message = copy_text(line, "message"),
	};
	json_decref(line);
	time = g_date_time_new_from_iso8601(out->time, NULL);
	if (!time)
		return -EPROTO;
	out->time_us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
		       g_date_time_get_microsecond(time);
	g_date_time_unref(time);
	return 0;
}

/**
 * log_entry_clear() - free the fields of a parsed line
 * @entry: line; empty afterwards
 */
void log_entry_clear(struct log_entry *entry)
{
	g_free(entry->time);
	g_free(entry->step);
	g_free(entry->peer);
	g_free(entry->message);
	*entry = (struct log_entry){ 0 };
}
