#include "load_text.h"

const char *const load_class_names[ROUTE_KINDS] = {
	[ROUTE_FEED] = "feed",
	[ROUTE_REPORT] = "report",
	[ROUTE_UPLOAD] = "upload",
	[ROUTE_DOWNLOAD] = "download",
};

/* Name of a service as the value of a label; to be freed with g_free(). */
static char *label_value(const char *name)
{
	GString *out = g_string_new(NULL);

	for (; *name; name++) {
		if (*name == '\\' || *name == '"')
			g_string_append_c(out, '\\');
		if (*name == '\n')
			g_string_append(out, "\\n");
		else
			g_string_append_c(out, *name);
	}
	return g_string_free(out, FALSE);
}

static void append_events(GString *out, const struct load_source *source,
			  uint32_t service, const char *label)
{
	const struct load_stats *stats = path_load_stats(source->path);

	for (uint8_t kind = 0; kind < ROUTE_KINDS; kind++)
		for (uint32_t e = 0; e < LOAD_EVENT_COUNT; e++) {
			uint64_t n = load_stats_get(stats, service, kind, e);

			if (!n)
				continue;
			g_string_append_printf(
				out,
				"%s{service=\"%s\",class=\"%s\",event=\"%s\"} "
				"%" G_GUINT64_FORMAT "\n",
				"cb_packet_requests_total", label,
				load_class_names[kind], load_event_names[e], n);
		}
}

static void append_gauge(GString *out, const char *name, const char *label,
			 double value)
{
	g_string_append_printf(out, "%s{service=\"%s\"} %g\n", name, label,
			       value);
}

static double seconds(uint64_t ns)
{
	return (double)ns / (double)NS_PER_S;
}

static bool is_known(const struct path_admission *a)
{
	return a->held || a->refusing || a->answers_per_s > 0;
}

static void append_admission(GString *out, const struct path_admission *a,
			     const char *label)
{
	append_gauge(out, "cb_packet_admission_held", label, a->held);
	append_gauge(out, "cb_packet_admission_oldest_seconds", label,
		     seconds(a->oldest_ns));
	append_gauge(out, "cb_packet_admission_predicted_wait_seconds", label,
		     seconds(a->predicted_wait_ns));
	append_gauge(out, "cb_packet_admission_limit_per_slot", label,
		     (double)a->limit_per_slot);
	append_gauge(out, "cb_packet_admission_refusing", label, a->refusing);
	append_gauge(out, "cb_packet_admission_refusing_seconds", label,
		     seconds(a->refusing_ns));
	append_gauge(out, "cb_packet_admission_answers_per_second", label,
		     (double)a->answers_per_s);
}

/**
 * load_append_metrics() - append the load of all services as metrics
 * @out: page to which the text is appended
 * @source: what the load is read from
 *
 * Counters that are 0 are left out, and the admission of services without held
 * openings, refusals or a known rate of answers.
 */
void load_append_metrics(GString *out, const struct load_source *source)
{
	uint32_t n = directory_service_count(source->directory);

	for (uint32_t i = 0; i < n; i++) {
		struct path_admission a =
			path_admission(source->path, i, source->now_ns);
		char *label = label_value(
			directory_service_name(source->directory, i));

		append_events(out, source, i, label);
		if (is_known(&a))
			append_admission(out, &a, label);
		g_free(label);
	}
}

/* Line of a class; none when all its counters are 0. */
static void append_class(GString *out, const struct load_source *source,
			 uint32_t service, const char *name, uint8_t kind)
{
	const struct load_stats *stats = path_load_stats(source->path);
	bool any = false;

	for (uint32_t e = 0; e < LOAD_EVENT_COUNT; e++) {
		uint64_t n = load_stats_get(stats, service, kind, e);

		if (!n)
			continue;
		if (!any)
			g_string_append_printf(out, "load %s %s", name,
					       load_class_names[kind]);
		any = true;
		g_string_append_printf(out, " %s=%" G_GUINT64_FORMAT,
				       load_event_names[e], n);
	}
	if (any)
		g_string_append_c(out, '\n');
}

static void append_admission_line(GString *out, const struct path_admission *a,
				  const char *name)
{
	g_string_append_printf(
		out,
		"admission %s held=%u oldest_ms=%llu predicted_wait_ms=%llu "
		"limit_per_slot=%.2f refusing=%u refusing_ms=%llu "
		"answers_per_s=%.1f\n",
		name, a->held, (unsigned long long)(a->oldest_ns / NS_PER_MS),
		(unsigned long long)(a->predicted_wait_ns / NS_PER_MS),
		(double)a->limit_per_slot, a->refusing,
		(unsigned long long)(a->refusing_ns / NS_PER_MS),
		(double)a->answers_per_s);
}

/**
 * load_append_status() - append the load of all services as lines of the status
 * @out: page to which the text is appended
 * @source: what the load is read from
 *
 * A line says whether load control is enabled. Of each service follows a line
 * "admission SERVICE KEY=VALUE..." and for each class with events one
 * "load SERVICE CLASS EVENT=COUNT...". Names are escaped as in URLs, so that
 * they contain no space.
 */
void load_append_status(GString *out, const struct load_source *source)
{
	uint32_t n = directory_service_count(source->directory);

	g_string_append_printf(out, "load_control %s\n",
			       path_load_control(source->path) ? "on" : "off");
	for (uint32_t i = 0; i < n; i++) {
		struct path_admission a =
			path_admission(source->path, i, source->now_ns);
		char *name = g_uri_escape_string(
			directory_service_name(source->directory, i),
			"/:", TRUE);

		if (is_known(&a))
			append_admission_line(out, &a, name);
		for (uint8_t kind = 0; kind < ROUTE_KINDS; kind++)
			append_class(out, source, i, name, kind);
		g_free(name);
	}
}
