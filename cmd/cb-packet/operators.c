/* HTTP: readiness for the platform, documents for peers, the rest for people. */
#include "daemon.h"

#include "histogram_text.h"
#include "log.h"
#include "usage.h"

#include <string.h>

#define OK 200
#define BAD_REQUEST 400
#define NOT_FOUND 404
#define UNAVAILABLE 503

static int answer_ready(void *ctx, struct http_request *req, const char *method,
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
		return NOT_FOUND;
	return d->node->ready ? OK : UNAVAILABLE;
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

static void write_times(const struct packet_daemon *d, GString *out)
{
	static const char *const labels[ROUTE_KINDS] = {
		[ROUTE_FEED] = "class=\"feed\"",
		[ROUTE_REPORT] = "class=\"report\"",
		[ROUTE_UPLOAD] = "class=\"upload\"",
	};

	for (uint8_t kind = 0; kind < ROUTE_KINDS; kind++) {
		const struct path_latencies *t =
			path_latencies(d->node->path, kind);

		histogram_append_text(out, "cb_packet_open_microseconds",
				      labels[kind], &t->open_us);
		histogram_append_text(out, "cb_packet_wait_microseconds",
				      labels[kind], &t->wait_us);
		histogram_append_text(out, "cb_packet_answer_microseconds",
				      labels[kind], &t->answer_us);
	}
}

static void write_metrics(struct packet_daemon *d, GString *out)
{
	const uint64_t *reasons = path_verdict_counts(d->node->path);
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
	write_times(d, out);
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

static void write_target(const struct packet_daemon *d, const struct target *t,
			 GString *out)
{
	uint64_t now_ns = uv_hrtime();
	uint64_t cold_ns =
		t->cold_until_ns > now_ns ? t->cold_until_ns - now_ns : 0;
	char addr[32];

	g_string_append_printf(
		out,
		"target %llx addr %s service %s stage %u health %u flows %u "
		"feeds %u busy %u running %u short %.2f peers_feeds %.0f "
		"peers_running %.2f peers_short %.2f cold_ms %llu seat %u\n",
		(unsigned long long)t->advertised.id,
		addr_text(t->advertised.addr, addr, sizeof(addr)),
		directory_service_name(d->node->directory,
				       t->advertised.service),
		t->stage, t->health, t->flows, t->feeds, t->busy, t->running,
		t->short_mean, t->peers_feeds, t->peers_running, t->peers_short,
		(unsigned long long)(cold_ns / NS_PER_MS),
		cold_ns && t->has_cold_permit);
}

/* What limits the requests that go to each service. */
static void write_limits(const struct packet_daemon *d, GString *out)
{
	for (uint32_t i = 0; i < directory_service_count(d->node->directory);
	     i++) {
		struct path_limits l = path_limits(d->node->path, i);

		g_string_append_printf(
			out,
			"service %s work_us %llu running %u window %.1f "
			"refused_percent %.1f\n",
			directory_service_name(d->node->directory, i),
			(unsigned long long)(l.work_ns / NS_PER_US), l.running,
			l.window, l.refused_percent);
	}
}

static void write_evacuations(const struct packet_daemon *d, GString *out)
{
	const struct evacuations *e = directory_evacuations(d->node->directory);

	for (uint32_t i = 0; i < e->n; i++)
		g_string_append_printf(out, "evacuated %s\n", e->all[i].name);
}

static void write_status(struct packet_daemon *d, GString *out)
{
	const struct route_table *table =
		directory_route_table(d->node->directory);
	struct position through = documents_synced(d->node->documents);
	char addr[32];

	g_string_append_printf(
		out, "ready %u configuration %llu epoch %llu revision %llu\n",
		d->node->ready, table ? (unsigned long long)table->version : 0,
		(unsigned long long)through.epoch,
		(unsigned long long)through.revision);
	for (uint32_t i = 0; i < peer_set_count(d->node->peers); i++) {
		const struct peer_vm *p = peer_set_at(d->node->peers, i);

		g_string_append_printf(
			out, "peer %s epoch %llu newest %llu leaving %u\n",
			addr_text(p->addr, addr, sizeof(addr)),
			(unsigned long long)p->newest.epoch,
			(unsigned long long)p->newest.revision, p->leaving);
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

static void write_route(const struct packet_daemon *d, const struct route *r,
			GString *out)
{
	g_string_append_printf(out, "route kind %u timeout_ms %u", r->kind,
			       r->timeout_ms);
	for (uint32_t i = 0; i < r->n_shares; i++)
		g_string_append_printf(
			out, " service %s weight %u",
			directory_service_name(d->node->directory,
					       r->shares[i].service),
			r->shares[i].weight);
	g_string_append_c(out, '\n');
}

/* Where a flow goes, and what speaks for it. */
static int write_explanation(const struct packet_daemon *d, const char *query,
			     GString *out)
{
	static const char *const stages[] = { "opening", "open", "closed" };
	char caller[32] = "", vip[32] = "";
	struct flow_key key;
	const struct route *r;
	const struct flow_state *f;

	if (!http_query_parameter(query, "caller", caller, sizeof(caller)) ||
	    !http_query_parameter(query, "vip", vip, sizeof(vip)) ||
	    addr_parse(caller, &key.caller) || addr_parse(vip, &key.vip)) {
		g_string_append(out, "expected caller=IP:PORT&vip=IP:PORT\n");
		return BAD_REQUEST;
	}
	r = route_table_find(directory_route_table(d->node->directory),
			     key.vip);
	if (r)
		write_route(d, r, out);
	else
		g_string_append(out, "no route: opening packets are reset\n");
	f = path_find_flow(d->node->path, &key);
	if (!f) {
		g_string_append(out, "flow not seen here of late\n");
		return OK;
	}
	g_string_append_printf(
		out, "flow %s busy %u waits %u seen_ms_ago %llu\n",
		stages[f->stage], f->busy, f->waiting != 0,
		(unsigned long long)((uv_hrtime() - f->seen_ns) / NS_PER_MS));
	write_target(d, f->target, out);
	return OK;
}

static uint64_t asked_number(const char *query, const char *name)
{
	char text[32] = "0";

	http_query_parameter(query, name, text, sizeof(text));
	return g_ascii_strtoull(text, NULL, 10);
}

static void write_documents(struct packet_daemon *d, const char *query,
			    GString *out)
{
	struct position after = { asked_number(query, "epoch"),
				  asked_number(query, "after") };
	struct relay_base base = { asked_number(query, "key"),
				   { asked_number(query, "since_epoch"),
				     asked_number(query, "since") } };
	const struct documents *s = d->node->documents;
	struct relay_cache *c = &d->relay;

	if (after.revision || base.key_hash) {
		relay_encode(s, after, &base, &c->delta, out);
		return;
	}
	if (!c->body || c->changes != documents_change_count(s)) {
		if (!c->body)
			c->body = g_string_new(NULL);
		relay_encode(s, after, &base, &c->delta, c->body);
		c->changes = documents_change_count(s);
	}
	g_string_append_len(out, c->body->str, (gssize)c->body->len);
}

static int answer(void *ctx, struct http_request *req, const char *method,
		  const char *path, const char *query, const GString *in,
		  GString *body)
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
		return NOT_FOUND;
	}
	return OK;
}

/**
 * operators_open() - serve HTTP
 * @d: process
 *
 * Return: 0 or a negative error.
 */
int operators_open(struct packet_daemon *d)
{
	struct http_handler all = { d, answer };
	struct http_handler ready = { d, answer_ready };
	int err = http_server_open(d->loop, d->settings.http, all, &d->http);

	if (err)
		return err;
	return http_server_open(d->loop, d->settings.ready, ready,
				&d->ready_http);
}

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
