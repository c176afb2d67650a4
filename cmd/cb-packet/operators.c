/*
 * HTTP servers: readiness for the platform, documents for peers, and status,
 * metrics and explanations for operators.
 */
#include "daemon.h"

#include "histogram_text.h"
#include "load_text.h"
#include "log.h"
#include "usage.h"

#include <string.h>

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503

static int handle_ready(void *ctx, struct http_request *req, const char *method,
			const char *path, const char *query, const GString *in,
			GString *body)
{
	struct packet_daemon *d = ctx;

	(void)req;
	(void)method;
	(void)query;
	(void)in;
	(void)body;
	if (strcmp(path, d->platform->ready_path))
		return HTTP_NOT_FOUND;
	return d->node->ready ? HTTP_OK : HTTP_UNAVAILABLE;
}

static void counter(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(
		out, "cb_packet_%s_total %" G_GUINT64_FORMAT "\n", name, value);
}

static void gauge(GString *out, const char *name, double value)
{
	g_string_append_printf(out, "cb_packet_%s %g\n", name, value);
}

static void write_latencies(const struct packet_daemon *d, GString *out)
{
	for (uint8_t kind = 0; kind < ROUTE_KINDS; kind++) {
		const struct path_latencies *latencies =
			path_latencies(d->node->path, kind);
		char label[32];

		g_snprintf(label, sizeof(label), "class=\"%s\"",
			   load_class_names[kind]);
		histogram_append_text(out, "cb_packet_open_microseconds", label,
				      &latencies->open_us);
		histogram_append_text(out, "cb_packet_wait_microseconds", label,
				      &latencies->wait_us);
		histogram_append_text(out, "cb_packet_answer_microseconds",
				      label, &latencies->answer_us);
	}
}

static struct load_source load_source(const struct packet_daemon *d)
{
	return (struct load_source){ d->node->path, d->node->directory,
				     uv_hrtime() };
}

/* Connections to targets by what caused them. */
static void write_connections(const struct packet_daemon *d, GString *out)
{
	const uint64_t *reasons = path_verdict_counts(d->node->path);
	const struct {
		const char *cause;
		uint64_t count;
	} rows[] = {
		{ "client", reasons[PATH_placed] + reasons[PATH_admitted] },
		{ "second",
		  reasons[PATH_placed_copy] + reasons[PATH_placed_again] },
		{ "probe", d->counters.probes },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(out,
				       "cb_packet_connections_total"
				       "{cause=\"%s\"} %" G_GUINT64_FORMAT "\n",
				       rows[i].cause, rows[i].count);
}

static void write_metrics(struct packet_daemon *d, GString *out)
{
	const uint64_t *reasons = path_verdict_counts(d->node->path);
	struct load_source load = load_source(d);
	uint64_t now_ns = uv_hrtime();
	struct usage use;

#define X(name) counter(out, #name, d->counters.name);
	PACKET_COUNTERS(X)
#undef X
#define X(name) counter(out, #name, d->node->counters.name);
	NODE_COUNTERS(X)
#undef X
	for (uint32_t i = 0; i < PATH_REASON_COUNT; i++)
		g_string_append_printf(
			out,
			"cb_packet_verdicts_total{reason=\"%s\"} "
			"%" G_GUINT64_FORMAT "\n",
			path_reason_names[i], reasons[i]);
	counter(out, "log_lines_lost", log_lost_line_count());
	write_latencies(d, out);
	write_connections(d, out);
	load_append_metrics(out, &load);
	gauge(out, "flows", path_flow_count(d->node->path));
	gauge(out, "waiting", path_queued_count(d->node->path));
	gauge(out, "link_waiting", pacer_queue_length(d->node->pacer));
	gauge(out, "targets", directory_target_count(d->node->directory));
	gauge(out, "peers", peer_set_count_live(d->node->peers, now_ns));
	gauge(out, "evacuated", directory_evacuations(d->node->directory)->n);
	gauge(out, "revision",
	      (double)documents_synced(d->node->documents).revision);
	gauge(out, "epoch", (double)documents_synced(d->node->documents).epoch);
	gauge(out, "feed_load", path_feed_load(d->node->path));
	if (!usage_read(&use)) {
		gauge(out, "resident_bytes", (double)use.resident_bytes);
		gauge(out, "cpu_seconds", (double)use.cpu_us / 1e6);
	}
}

static void write_target(const struct packet_daemon *d,
			 const struct target *target, GString *out)
{
	uint64_t now_ns = uv_hrtime();
	uint64_t cold_ns = target->cold_until_ns > now_ns
				   ? target->cold_until_ns - now_ns
				   : 0;
	char addr[32];

	g_string_append_printf(
		out,
		"target %llx addr %s service %s stage %u health %u flows %u "
		"feeds %u busy %u running %u short %.2f peers_feeds %.0f "
		"peers_running %.2f peers_short %.2f cold_ms %llu seat %u\n",
		(unsigned long long)target->advertised.id,
		addr_text(target->advertised.addr, addr, sizeof(addr)),
		directory_service_name(d->node->directory,
				       target->advertised.service),
		target->stage, target->health, target->flows, target->feeds,
		target->busy, target->running, target->short_mean,
		target->peers_feeds, target->peers_running, target->peers_short,
		(unsigned long long)(cold_ns / NS_PER_MS),
		cold_ns && target->has_cold_permit);
}

/* Limits of the requests to each service, and its load. */
static void write_limits(const struct packet_daemon *d, GString *out)
{
	struct load_source load = load_source(d);

	for (uint32_t i = 0; i < directory_service_count(d->node->directory);
	     i++) {
		struct path_limits limits = path_limits(d->node->path, i);

		g_string_append_printf(
			out,
			"service %s work_us %llu running %u window %.1f "
			"refused_percent %.1f\n",
			directory_service_name(d->node->directory, i),
			(unsigned long long)(limits.work_ns / NS_PER_US),
			limits.running, limits.window, limits.refused_percent);
	}
	load_append_status(out, &load);
}

static void write_evacuations(const struct packet_daemon *d, GString *out)
{
	const struct evacuations *evacuations =
		directory_evacuations(d->node->directory);

	for (uint32_t i = 0; i < evacuations->n; i++)
		g_string_append_printf(out, "evacuated %s\n",
				       evacuations->all[i].name);
}

static void write_status(struct packet_daemon *d, GString *out)
{
	const struct route_table *table =
		directory_route_table(d->node->directory);
	struct position synced = documents_synced(d->node->documents);
	char addr[32];

	g_string_append_printf(
		out, "ready %u configuration %llu epoch %llu revision %llu\n",
		d->node->ready, table ? (unsigned long long)table->version : 0,
		(unsigned long long)synced.epoch,
		(unsigned long long)synced.revision);
	for (uint32_t i = 0; i < peer_set_count(d->node->peers); i++) {
		const struct peer_vm *peer = peer_set_at(d->node->peers, i);

		g_string_append_printf(
			out, "peer %s epoch %llu newest %llu leaving %u\n",
			addr_text(peer->addr, addr, sizeof(addr)),
			(unsigned long long)peer->newest.epoch,
			(unsigned long long)peer->newest.revision,
			peer->leaving);
	}
	write_evacuations(d, out);
	write_limits(d, out);
}

static void write_targets(const struct packet_daemon *d, const char *query,
			  GString *out)
{
	uint32_t n = directory_target_count(d->node->directory);
	char limit[32] = "";

	if (http_query_parameter(query, "limit", limit, sizeof(limit)) &&
	    g_ascii_strtoull(limit, NULL, 10) < n)
		n = (uint32_t)g_ascii_strtoull(limit, NULL, 10);
	for (uint32_t i = 0; i < n; i++)
		write_target(d, directory_target_at(d->node->directory, i),
			     out);
}

static void write_route(const struct packet_daemon *d,
			const struct route *route, GString *out)
{
	g_string_append_printf(out, "route kind %u timeout_ms %u", route->kind,
			       route->timeout_ms);
	for (uint32_t i = 0; i < route->n_shares; i++)
		g_string_append_printf(
			out, " service %s weight %u",
			directory_service_name(d->node->directory,
					       route->shares[i].service),
			route->shares[i].weight);
	g_string_append_c(out, '\n');
}

/* Route, state and target of the flow that the query names. */
static int write_explanation(const struct packet_daemon *d, const char *query,
			     GString *out)
{
	static const char *const stages[] = { "opening", "open", "closed" };
	char caller[32] = "", vip[32] = "";
	struct flow_key key;
	const struct route *route;
	const struct flow_state *flow;

	if (!http_query_parameter(query, "caller", caller, sizeof(caller)) ||
	    !http_query_parameter(query, "vip", vip, sizeof(vip)) ||
	    addr_parse(caller, &key.caller) || addr_parse(vip, &key.vip)) {
		g_string_append(out, "expected caller=IP:PORT&vip=IP:PORT\n");
		return HTTP_BAD_REQUEST;
	}
	route = route_table_find(directory_route_table(d->node->directory),
				 key.vip);
	if (route)
		write_route(d, route, out);
	else
		g_string_append(out, "no route: opening packets are reset\n");
	flow = path_find_flow(d->node->path, &key);
	if (!flow) {
		g_string_append(out, "flow not seen here of late\n");
		return HTTP_OK;
	}
	g_string_append_printf(
		out, "flow %s busy %u waits %u seen_ms_ago %llu\n",
		stages[flow->stage], flow->busy, flow->waiting != 0,
		(unsigned long long)((uv_hrtime() - flow->seen_ns) /
				     NS_PER_MS));
	write_target(d, flow->target, out);
	return HTTP_OK;
}

static uint64_t query_u64(const char *query, const char *name)
{
	char text[32] = "0";

	http_query_parameter(query, name, text, sizeof(text));
	return g_ascii_strtoull(text, NULL, 10);
}

static void write_documents(struct packet_daemon *d, const char *query,
			    GString *out)
{
	struct position after = { query_u64(query, "epoch"),
				  query_u64(query, "after") };
	struct relay_base base = { query_u64(query, "key"),
				   { query_u64(query, "since_epoch"),
				     query_u64(query, "since") } };
	const struct documents *documents = d->node->documents;
	struct relay_cache *cache = &d->relay;

	if (after.revision || base.key_hash) {
		relay_encode(documents, after, &base, &cache->delta, out);
		return;
	}
	if (!cache->body ||
	    cache->change_count != documents_change_count(documents)) {
		if (!cache->body)
			cache->body = g_string_new(NULL);
		relay_encode(documents, after, &base, &cache->delta,
			     cache->body);
		cache->change_count = documents_change_count(documents);
	}
	g_string_append_len(out, cache->body->str, (gssize)cache->body->len);
}

static int handle_request(void *ctx, struct http_request *req,
			  const char *method, const char *path,
			  const char *query, const GString *in, GString *body)
{
	struct packet_daemon *d = ctx;

	(void)req;
	(void)method;
	(void)in;
	if (!strcmp(path, "/documents")) {
		write_documents(d, query, body);
	} else if (!strcmp(path, "/metrics")) {
		write_metrics(d, body);
	} else if (!strcmp(path, "/status")) {
		write_status(d, body);
	} else if (!strcmp(path, "/targets")) {
		write_targets(d, query, body);
	} else if (!strcmp(path, "/explain")) {
		return write_explanation(d, query, body);
	} else {
		return HTTP_NOT_FOUND;
	}
	return HTTP_OK;
}

/**
 * operators_open() - open the HTTP servers
 * @d: process
 *
 * Return: 0 or a negative error.
 */
int operators_open(struct packet_daemon *d)
{
	struct http_handler pages = { d, handle_request };
	struct http_handler ready = { d, handle_ready };
	int err = http_server_open(d->loop, d->settings.http, pages, &d->http);

	if (err)
		return err;
	return http_server_open(d->loop, d->settings.ready, ready,
				&d->ready_http);
}

/**
 * operators_close() - close the HTTP servers and free the cached documents
 * @d: process
 */
void operators_close(struct packet_daemon *d)
{
	if (d->http)
		http_server_close(d->http);
	if (d->ready_http)
		http_server_close(d->ready_http);
	if (d->relay.body)
		g_string_free(d->relay.body, TRUE);
	if (d->relay.delta.bytes)
		g_string_free(d->relay.delta.bytes, TRUE);
}
