/* HTTP interface of the platform's store, one server for each entry. */
#include "soak.h"

#include <string.h>

#define OK 200
#define BUSY 503
#define GONE 410
/* Revision that is never reached: a watch after it is not answered. */
#define NEVER_ANSWERED UINT64_MAX

static void put_value(GString *out, const char *json)
{
	char *text = g_base64_encode((const guchar *)json, strlen(json));

	g_string_append_printf(out, "\"value\":\"%s\",", text);
	g_free(text);
}

static void put_route(GString *json, const struct routes_value *v, uint32_t i)
{
	static const char *const kinds[ROUTE_KINDS] = {
		[ROUTE_FEED] = "safe",
		[ROUTE_REPORT] = "unsafe",
		[ROUTE_UPLOAD] = "upload",
		[ROUTE_DOWNLOAD] = "download",
	};
	const struct route_value *r = &v->routes[i];
	uint64_t vip = route_vip(i);
	uint32_t ip = ADDR_IP(vip);

	g_string_append_printf(
		json,
		"%s{\"host\":\"%u.%u.%u.%u\",\"prefix\":\"/%u/\","
		"\"kind\":\"%s\",\"service\":\"%s\",\"priority\":%u,"
		"\"timeout-ms\":%u}",
		i ? "," : "", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255,
		ADDR_PORT(vip), kinds[r->kind], v->services[r->service],
		r->priority, r->timeout_ms);
}

static void put_routes(GString *out, const struct routes_value *v)
{
	GString *json = g_string_new(NULL);

	g_string_printf(json, "{\"version\":%llu,\"routes\":[",
			(unsigned long long)v->version);
	for (uint32_t i = 0; i < v->n_routes; i++)
		put_route(json, v, i);
	g_string_append(json, "],\"services\":[");
	for (uint32_t i = 0; i < v->n_services; i++)
		g_string_append_printf(json, "%s{\"name\":\"%s\"}",
				       i ? "," : "", v->services[i]);
	g_string_append(json, "]}");
	put_value(out, json->str);
	g_string_free(json, TRUE);
}

static void put_target(GString *out, const struct target_value *v)
{
	const char *state = v->advertised.leaving ? "draining" : "ready";
	uint32_t ip = ADDR_IP(v->advertised.addr);
	GString *json = g_string_new("{");

	if (v->defect != DEFECT_NO_ADDRESS)
		g_string_append_printf(json, "\"address\":\"%u.%u.%u.%u:%u\",",
				       ip >> 24, ip >> 16 & 255, ip >> 8 & 255,
				       ip & 255, ADDR_PORT(v->advertised.addr));
	if (v->defect != DEFECT_NO_START_TIME)
		g_string_append_printf(
			json, "\"born\":%llu,",
			(unsigned long long)v->advertised.started_ms);
	g_string_append_printf(
		json,
		"\"service\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
		"\"slots\":%s%u%s,\"state\":\"%s\",\"cold-remaining-ms\":0,"
		"\"sequence\":%llu%s",
		v->defect == DEFECT_SERVICE ? "none" : v->service, v->zone,
		v->defect == DEFECT_SLOTS_TYPE ? "\"" : "", v->advertised.slots,
		v->defect == DEFECT_SLOTS_TYPE ? "\"" : "",
		v->defect == DEFECT_STATE ? "paused" : state,
		(unsigned long long)v->advertised.sequence,
		v->defect == DEFECT_BYTES ? "" : "}");
	put_value(out, json->str);
	g_string_free(json, TRUE);
}

static void put_document(GString *out, const struct document *d)
{
	bool routes = !strcmp(d->key, "routes");

	if (routes)
		g_string_append(out, "{\"key\":\"op/config\",");
	else
		g_string_append_printf(out, "{\"key\":\"servers/i-%llx\",",
				       (unsigned long long)g_ascii_strtoull(
					       strchr(d->key, '/') + 1, NULL,
					       10));
	if (d->deleted)
		g_string_append(out, "\"deleted\":true,");
	else if (routes)
		put_routes(out, (const struct routes_value *)d->value);
	else
		put_target(out, (const struct target_value *)d->value);
	g_string_append_printf(out,
			       "\"revision\":%llu,\"create-revision\":%llu}",
			       (unsigned long long)d->revision,
			       (unsigned long long)d->created);
}

static void put_answer(const struct world *w, uint64_t after,
		       const char *list_name, GString *out)
{
	uint32_t n = 0;

	g_string_printf(out, "{\"%s\":[", list_name);
	for (uint32_t i = 0; i < w->n_keys; i++) {
		const struct document *d = &w->keys[i].d;

		if (d->revision <= after || (!after && d->deleted))
			continue;
		if (n++)
			g_string_append_c(out, ',');
		put_document(out, d);
	}
	g_string_append_printf(out,
			       "],\"more-pages\":false,"
			       "\"store-revision\":%llu}",
			       (unsigned long long)w->revision);
}

static void add_epoch_header(const struct world *w, struct http_request *req)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, w->epoch);
	http_add_header(req, "Store-Era", text);
}

static int defer_watch(struct soak_entry *e, struct http_request *req,
		       uint64_t after, uint64_t wait_ms)
{
	for (uint32_t i = 0; i < PENDING_WATCHES_MAX; i++) {
		if (e->pending_watches[i].req)
			continue;
		e->pending_watches[i] = (struct pending_watch){
			req, after, uv_hrtime() + wait_ms * NS_PER_MS
		};
		return HTTP_DEFERRED;
	}
	return BUSY;
}

static int handle_request(void *ctx, struct http_request *req,
			  const char *method, const char *path,
			  const char *query, const GString *in, GString *body)
{
	struct soak_entry *e = ctx;
	struct world *w = e->soak->world;
	char after[32] = "0", wait_ms[32] = "0";
	uint64_t after_revision;

	(void)method;
	(void)in;
	soak_advance(e->soak);
	w->report.store_calls++;
	switch (store_mode_of(w, e->index)) {
	case STORE_REFUSES:
		return BUSY;
	case STORE_SILENT:
		return defer_watch(e, req, NEVER_ANSWERED, 0);
	case STORE_ANSWERS:
		break;
	}
	if (!strcmp(path, "/kv-range")) {
		add_epoch_header(w, req);
		put_answer(w, 0, "items", body);
		return OK;
	}
	http_query_parameter(query, "after", after, sizeof(after));
	http_query_parameter(query, "wait-ms", wait_ms, sizeof(wait_ms));
	after_revision = g_ascii_strtoull(after, NULL, 10);
	if (w->revision == after_revision)
		return defer_watch(e, req, after_revision,
				   g_ascii_strtoull(wait_ms, NULL, 10));
	add_epoch_header(w, req);
	if (w->revision < after_revision)
		return GONE;
	put_answer(w, after_revision, "events", body);
	return OK;
}

static void answer_watch(struct soak_entry *e, struct pending_watch *watch)
{
	struct world *w = e->soak->world;
	GString *body;

	if (store_mode_of(w, e->index) != STORE_ANSWERS ||
	    watch->after == NEVER_ANSWERED)
		return; /* no answer: the caller runs into its timeout */
	if (w->revision == watch->after && uv_hrtime() < watch->deadline_ns)
		return;
	body = g_string_new(NULL);
	add_epoch_header(w, watch->req);
	if (w->revision >= watch->after)
		put_answer(w, watch->after, "events", body);
	http_respond(watch->req, w->revision >= watch->after ? OK : GONE, body);
	g_string_free(body, TRUE);
	watch->req = NULL;
}

/**
 * store_server_answer_watches() - answer watches that are due
 * @s: run
 *
 * A watch is due if there are changes or its deadline has passed.
 */
void store_server_answer_watches(struct soak *s)
{
	for (uint32_t i = 0; i < s->world->n_entries; i++)
		for (uint32_t j = 0; j < PENDING_WATCHES_MAX; j++)
			if (s->entries[i].pending_watches[j].req)
				answer_watch(&s->entries[i],
					     &s->entries[i].pending_watches[j]);
}

/**
 * store_server_open() - open the store server of an entry
 * @s: run
 * @entry: number of the entry
 *
 * Return: 0 or a negative error.
 */
int store_server_open(struct soak *s, uint32_t entry)
{
	struct soak_entry *e = &s->entries[entry];
	struct http_handler handler = { e, handle_request };

	return http_server_open(&s->loop, ADDR(STORE_IP_0 + entry, STORE_PORT),
				handler, &e->store);
}

/**
 * store_server_close() - close the store server of an entry and its connections
 * @s: run
 * @entry: number of the entry
 */
void store_server_close(struct soak *s, uint32_t entry)
{
	struct soak_entry *e = &s->entries[entry];
	GString *empty_body = g_string_new(NULL);

	if (!e->store)
		return;
	http_server_close(e->store);
	e->store = NULL;
	for (uint32_t i = 0; i < PENDING_WATCHES_MAX; i++)
		if (e->pending_watches[i].req)
			http_respond(e->pending_watches[i].req, BUSY,
				     empty_body);
	memset(e->pending_watches, 0, sizeof(e->pending_watches));
	g_string_free(empty_body, TRUE);
}
