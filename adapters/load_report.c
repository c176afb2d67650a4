#include "load_report.h"

#include "json_text.h"
#include "load_stats.h"

#include <string.h>

/**
 * struct load_row - one class of one service
 * @service: name, escaped as in URLs; owned
 * @class: name of the class; owned
 * @counts: events at all entries since their starts
 */
struct load_row {
	char *service;
	char *class;
	uint64_t counts[LOAD_EVENT_COUNT];
};

/**
 * struct service_state - present admission to one service
 * @name: name, escaped as in URLs; owned
 * @held: openings that wait at all entries
 * @oldest_ms: age of the oldest of them
 * @predicted_wait_ms: longest predicted wait at any entry
 * @refusing: number of entries that refuse openings
 */
struct service_state {
	char *name;
	uint64_t held;
	uint64_t oldest_ms;
	uint64_t predicted_wait_ms;
	uint64_t refusing;
};

/**
 * struct load_report - sums over entries
 * @rows: struct load_row, in the order in which they were found
 * @services: struct service_state
 * @entries: number of pages that were added
 */
struct load_report {
	GArray *rows;
	GArray *services;
	uint32_t entries;
};

/* Events that keep a client from an answer in time. */
static const enum load_event losses[] = {
	LOAD_refused_timeout,
	LOAD_refused_expired,
	LOAD_refused_no_target,
	LOAD_late,
	LOAD_expired,
	LOAD_rejected,
	LOAD_failed,
};

static void clear_row(gpointer p)
{
	struct load_row *row = p;

	g_free(row->service);
	g_free(row->class);
}

static void clear_service(gpointer p)
{
	struct service_state *service = p;

	g_free(service->name);
}

/**
 * load_report_new() - create an empty report
 *
 * Return: report, to be freed with load_report_free().
 */
struct load_report *load_report_new(void)
{
	struct load_report *report = g_new0(struct load_report, 1);

	report->rows = g_array_new(FALSE, TRUE, sizeof(struct load_row));
	report->services =
		g_array_new(FALSE, TRUE, sizeof(struct service_state));
	g_array_set_clear_func(report->rows, clear_row);
	g_array_set_clear_func(report->services, clear_service);
	return report;
}

void load_report_free(struct load_report *report)
{
	g_array_free(report->rows, TRUE);
	g_array_free(report->services, TRUE);
	g_free(report);
}

static struct load_row *find_or_add_row(struct load_report *report,
					const char *service, const char *class)
{
	struct load_row row = { 0 };

	for (guint i = 0; i < report->rows->len; i++) {
		struct load_row *r =
			&g_array_index(report->rows, struct load_row, i);

		if (!strcmp(r->service, service) && !strcmp(r->class, class))
			return r;
	}
	row.service = g_strdup(service);
	row.class = g_strdup(class);
	g_array_append_val(report->rows, row);
	return &g_array_index(report->rows, struct load_row,
			      report->rows->len - 1);
}

static struct service_state *find_service(const struct load_report *report,
					  const char *name)
{
	for (guint i = 0; i < report->services->len; i++) {
		struct service_state *s = &g_array_index(
			report->services, struct service_state, i);

		if (!strcmp(s->name, name))
			return s;
	}
	return NULL;
}

static struct service_state *find_or_add_service(struct load_report *report,
						 const char *name)
{
	struct service_state *found = find_service(report, name);
	struct service_state service = { 0 };

	if (found)
		return found;
	service.name = g_strdup(name);
	g_array_append_val(report->services, service);
	return find_service(report, name);
}

/* Value of "KEY=VALUE" in @words, from the word with number @first; 0 when
 * there is none. */
static uint64_t value_of(char **words, guint first, const char *key)
{
	size_t n = strlen(key);

	for (guint i = first; words[i]; i++)
		if (!strncmp(words[i], key, n) && words[i][n] == '=')
			return g_ascii_strtoull(words[i] + n + 1, NULL, 10);
	return 0;
}

static void add_admission(struct load_report *report, char **words)
{
	struct service_state *s = find_or_add_service(report, words[1]);

	s->held += value_of(words, 2, "held");
	s->oldest_ms = MAX(s->oldest_ms, value_of(words, 2, "oldest_ms"));
	s->predicted_wait_ms = MAX(s->predicted_wait_ms,
				   value_of(words, 2, "predicted_wait_ms"));
	s->refusing += value_of(words, 2, "refusing");
}

static void add_class(struct load_report *report, char **words)
{
	struct load_row *row = find_or_add_row(report, words[1], words[2]);

	for (uint32_t e = 0; e < LOAD_EVENT_COUNT; e++)
		row->counts[e] += value_of(words, 3, load_event_names[e]);
}

/* Return: whether the line says whether load control is on. */
static bool add_line(struct load_report *report, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	guint n = g_strv_length(words);
	bool is_marker = n == 2 && !strcmp(words[0], "load_control");

	if (n > 2 && !strcmp(words[0], "admission"))
		add_admission(report, words);
	else if (n > 3 && !strcmp(words[0], "load"))
		add_class(report, words);
	g_strfreev(words);
	return is_marker;
}

/**
 * load_report_add() - add the status page of an entry
 * @report: report
 * @body: the page
 *
 * Return: false when the page is not one of a cb-packet that reports its load;
 * it is then not counted.
 */
bool load_report_add(struct load_report *report, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);
	bool reports_load = false;

	for (char **l = lines; *l; l++)
		reports_load |= add_line(report, *l);
	g_strfreev(lines);
	report->entries += reports_load;
	return reports_load;
}

/**
 * load_report_is_refusing() - check for refusals
 * @report: report
 *
 * Return: whether any entry refuses openings to any service.
 */
bool load_report_is_refusing(const struct load_report *report)
{
	for (guint i = 0; i < report->services->len; i++)
		if (g_array_index(report->services, struct service_state, i)
			    .refusing)
			return true;
	return false;
}

static uint64_t refused_count(const struct load_row *row)
{
	return row->counts[LOAD_refused_timeout] +
	       row->counts[LOAD_refused_expired] +
	       row->counts[LOAD_refused_no_target];
}

/* The most frequent event that keeps clients from an answer in time. */
static const char *dominant_cause(const struct load_row *row)
{
	const char *cause = "none";
	uint64_t most = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(losses); i++) {
		if (row->counts[losses[i]] <= most)
			continue;
		most = row->counts[losses[i]];
		cause = load_event_names[losses[i]];
	}
	return cause;
}

static struct service_state state_of(const struct load_report *report,
				     const struct load_row *row)
{
	const struct service_state *s = find_service(report, row->service);

	return s ? *s : (struct service_state){ 0 };
}

static void append_row_line(const struct load_report *report,
			    const struct load_row *row, GString *out)
{
	struct service_state s = state_of(report, row);

	g_string_append_printf(out, "%s %s", row->service, row->class);
	for (uint32_t e = 0; e < LOAD_EVENT_COUNT; e++)
		g_string_append_printf(out, " %s %" G_GUINT64_FORMAT,
				       load_event_names[e], row->counts[e]);
	g_string_append_printf(
		out,
		" refused %" G_GUINT64_FORMAT " cause %s refusing %u/%u "
		"held_now %" G_GUINT64_FORMAT " oldest_ms %" G_GUINT64_FORMAT
		" predicted_wait_ms %" G_GUINT64_FORMAT "\n",
		refused_count(row), dominant_cause(row), (uint32_t)s.refusing,
		report->entries, s.held, s.oldest_ms, s.predicted_wait_ms);
}

/**
 * load_report_append_lines() - append a line for each service and class
 * @report: report
 * @out: text to which the lines are appended
 */
void load_report_append_lines(const struct load_report *report, GString *out)
{
	for (guint i = 0; i < report->rows->len; i++)
		append_row_line(
			report,
			&g_array_index(report->rows, struct load_row, i), out);
}

static void append_row_json(const struct load_report *report,
			    const struct load_row *row, GString *json)
{
	struct service_state s = state_of(report, row);
	char *service = g_uri_unescape_string(row->service, NULL);

	json_open(json, NULL, '{');
	json_string(json, "service", service ? service : row->service);
	json_string(json, "class", row->class);
	for (uint32_t e = 0; e < LOAD_EVENT_COUNT; e++)
		json_number(json, load_event_names[e], row->counts[e]);
	json_number(json, "refused", refused_count(row));
	json_string(json, "cause", dominant_cause(row));
	json_number(json, "entries", report->entries);
	json_number(json, "refusing", s.refusing);
	json_number(json, "held_now", s.held);
	json_number(json, "oldest_ms", s.oldest_ms);
	json_number(json, "predicted_wait_ms", s.predicted_wait_ms);
	json_close(json, '}');
	g_free(service);
}

/**
 * load_report_append_json() - append an array with an object for each service
 *	and class
 * @report: report
 * @json: JSON text
 */
void load_report_append_json(const struct load_report *report, GString *json)
{
	json_open(json, NULL, '[');
	for (guint i = 0; i < report->rows->len; i++)
		append_row_json(
			report,
			&g_array_index(report->rows, struct load_row, i), json);
	json_close(json, ']');
}
