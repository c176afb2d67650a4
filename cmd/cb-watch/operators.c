/* HTTP pages for operators: /status /metrics /generations. */
#include "usage.h"
#include "watch.h"

#include <string.h>

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_METHOD_NOT_ALLOWED 405
#define METRIC_PREFIX "cb_watch_"

static void gauge(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(out, "# TYPE " METRIC_PREFIX "%s gauge\n", name);
	g_string_append_printf(out, METRIC_PREFIX "%s %lu\n", name, value);
}

static void counter(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(
		out, "# TYPE " METRIC_PREFIX "%s_total counter\n", name);
	g_string_append_printf(out, METRIC_PREFIX "%s_total %lu\n", name,
			       value);
}

static void write_metrics(const struct watch *w, GString *out)
{
	const struct spread_counters *s = spread_counters(w->spread);
	const struct reader_counters *r = reader_counters(w->reader);
	const struct watch_link_counters *l = watch_link_counters(w->link);
	struct usage u;

	gauge(out, "serving", spread_is_serving(w->spread));
	gauge(out, "reader", spread_is_reader(w->spread));
	gauge(out, "platform_ok", w->platform_ok);
	gauge(out, "entries", watch_link_entry_count(w->link));
	gauge(out, "documents_refused", g_hash_table_size(w->refusals));
	gauge(out, "vips_doubled", vips_doubled(w->vips));
	if (!usage_read(&u)) {
		gauge(out, "process_resident_bytes", u.resident_bytes);
		counter(out, "process_cpu_microseconds", u.cpu_us);
	}
#define X(name) counter(out, "spread_" #name, s->name);
	SPREAD_COUNTERS(X)
#undef X
#define X(name) counter(out, "platform_" #name, r->name);
	READER_COUNTERS(X)
#undef X
#define X(name) counter(out, "link_" #name, l->name);
	WATCH_LINK_COUNTERS(X)
#undef X
}

/* Until this VM serves, its documents are not in force at its cb-entry. */
static const char *state_name(const struct watch *w,
			      const struct version *version)
{
	if (version_is_withdrawn(version))
		return "withdrawn";
	return spread_is_serving(w->spread) ? "live" : "held";
}

static void write_generations(const struct watch *w, GString *out)
{
	const struct content *content;
	const struct version *version;
	const char *key;
	uint32_t next = 0;

	while ((next = spread_next_key(w->spread, next, &key, &version,
				       &content))) {
		if (version_is_empty(version))
			continue;
		g_string_append_printf(out, "%s %lu %lu %016lx %s\n", key,
				       version->generation, version->revision,
				       version->hash, state_name(w, version));
	}
}

static void write_refusal(gpointer key, gpointer reason, gpointer out)
{
	g_string_append_printf(out, "refused %s: %s\n", (char *)key,
			       (char *)reason);
}

static void write_status(const struct watch *w, GString *out)
{
	char vm[32];

	g_string_append_printf(out, "vm %s\n",
			       addr_text(w->settings.peer, vm, sizeof(vm)));
	g_string_append_printf(out, "data_centre %s\n",
			       w->settings.data_centre);
	g_string_append_printf(out, "serving %s\n",
			       spread_is_serving(w->spread) ? "yes" : "no");
	g_string_append_printf(out, "reader %s\n",
			       spread_is_reader(w->spread) ? "yes" : "no");
	g_string_append_printf(out, "platform %s\n",
			       w->platform_ok ? "answers" : "not read");
	g_string_append_printf(out, "entries %u\n",
			       watch_link_entry_count(w->link));
	g_string_append_printf(out, "vips_doubled %u\n", vips_doubled(w->vips));
	g_string_append_printf(out, "digest %016lx\n",
			       spread_store_digest(w->spread));
	g_hash_table_foreach(w->refusals, write_refusal, out);
}

/**
 * operators_respond() - answer a request of an operator; read only
 *
 * The parameters and the result are those of struct http_handler.
 */
int operators_respond(void *ctx, struct http_request *req, const char *method,
		      const char *path, const char *query, const GString *in,
		      GString *body)
{
	static const struct {
		const char *path;
		void (*write)(const struct watch *w, GString *out);
	} pages[] = {
		{ "/status", write_status },
		{ "/metrics", write_metrics },
		{ "/generations", write_generations },
	};

	(void)req;
	(void)query;
	(void)in;
	if (strcmp(method, "GET"))
		return HTTP_METHOD_NOT_ALLOWED;
	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (strcmp(path, pages[i].path))
			continue;
		pages[i].write(ctx, body);
		return HTTP_OK;
	}
	return HTTP_NOT_FOUND;
}
