/*
 * HTTP server for operators: status, metrics, lists of flows and targets, and
 * why a flow goes to its target.
 */
#include "daemon.h"
#include "flow_list.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_METHOD_NOT_ALLOWED 405
#define ADDR_TEXT_BYTES 32
#define ROWS_DEFAULT 100
#define ROWS_MAX 1000

static const char *const state_names[] = {
	[MEMBER_ALIVE] = "alive",
	[MEMBER_SUSPECT] = "suspect",
	[MEMBER_LEAVING] = "leaving",
	[MEMBER_DEAD] = "dead",
};

static void put_addr(GString *to, const char *name, uint64_t addr)
{
	char text[ADDR_TEXT_BYTES] = "-";

	if (addr != ADDR_NONE)
		addr_text(addr, text, sizeof(text));
	g_string_append_printf(to, "%s %s\n", name, text);
}

static void put_u64(GString *to, const char *name, uint64_t value)
{
	g_string_append_printf(to, "%s %llu\n", name,
			       (unsigned long long)value);
}

static const char *phase_name(const struct daemon *d)
{
	if (d->leaving)
		return "leaving";
	return entry_ready(d->entry, uv_hrtime()) ? "ready" : "starting";
}

static void put_members(const struct daemon *d, GString *to)
{
	const struct member *all;
	uint32_t n = entry_members(d->entry, &all);
	char text[ADDR_TEXT_BYTES];

	for (uint32_t i = 0; i < n; i++)
		g_string_append_printf(to, "member %s %s %llu\n",
				       addr_text(all[i].vm, text, sizeof(text)),
				       state_names[all[i].state],
				       (unsigned long long)all[i].incarnation);
}

static void put_accounts(const struct daemon *d, GString *to)
{
	for (uint32_t i = 0; i < d->config.n_accounts; i++) {
		const struct account_conf *a = &d->config.accounts[i];

		g_string_append_printf(to, "account %s %llu\n", a->name,
				       (unsigned long long)a->generation);
	}
}

static void put_gauges(const struct daemon *d, GString *to)
{
	struct entry_gauges g = entry_gauges(d->entry);

	put_u64(to, "gauge requests_active", g.requests_active);
	put_u64(to, "gauge feeds_held", g.feeds_held);
	put_u64(to, "gauge handover_due", g.handover_due);
	put_u64(to, "gauge claims", g.claims);
	put_u64(to, "gauge pins", g.pins);
}

static void put_counters(const struct daemon *d, GString *to)
{
	const struct entry_counters *c = entry_counters(d->entry);

#define X(name) put_u64(to, "counter " #name, c->name);
	ENTRY_COUNTERS(X)
#undef X
}

static int write_status(struct daemon *d, const char *query, GString *body)
{
	struct entry_explanation explanation =
		entry_explain(d->entry, &(struct flow_key){ 0, 0 });

	(void)query;
	g_string_append_printf(body, "%s\n", phase_name(d));
	put_addr(body, "vm", d->settings.peer);
	g_string_append_printf(body, "data_centre %s\n",
			       d->settings.data_centre);
	put_u64(body, "incarnation", d->incarnation);
	put_u64(body, "view", explanation.view);
	put_members(d, body);
	put_accounts(d, body);
	put_gauges(d, body);
	put_counters(d, body);
	status_write_accounts(d, body);
	return HTTP_OK;
}

static int write_metrics(struct daemon *d, const char *query, GString *body)
{
	(void)query;
	metrics_write(d, body);
	return HTTP_OK;
}

static bool query_addr(const char *query, const char *name, uint64_t *addr)
{
	char text[ADDR_TEXT_BYTES];

	return http_query_parameter(query, name, text, sizeof(text)) &&
	       addr_parse(text, addr) == 0;
}

static const char *owner_reason(const struct daemon *d,
				const struct entry_explanation *explanation)
{
	if (explanation->pair.owner == ADDR_NONE)
		return "no entry is known yet: wait for the list of VMs";
	if (explanation->pair.owner == d->settings.peer)
		return "this VM owns the flow's bucket and decides";
	return "the owner of the flow's bucket decides: ask it";
}

static const char *target_reason(const struct entry_explanation *explanation)
{
	if (explanation->feeds)
		return "feeds of the flow stay at the target that holds them";
	if (explanation->pinned != ADDR_NONE)
		return "flow is pinned, by a transfer in blocks";
	return "chosen for each request, by load";
}

/* Whether @text, ACCOUNT/SERVICE or only SERVICE, is the name of @service. */
static bool is_named(const char *text, const struct account_conf *account,
		     const struct service_conf *service)
{
	size_t n = strlen(account->name);

	if (!strncmp(text, account->name, n) && text[n] == '/')
		return !strcmp(text + n + 1, service->name);
	return !strcmp(text, service->name);
}

/* Return: number of services named @text; *@vip is the VIP of the last one. */
static uint32_t find_named_vip(const struct config *c, const char *text,
			       uint64_t *vip)
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < c->n_accounts; i++) {
		const struct account_conf *a = &c->accounts[i];

		for (uint32_t k = 0; k < a->n_services; k++) {
			if (!is_named(text, a, &a->services[k]))
				continue;
			*vip = a->services[k].vip;
			found++;
		}
	}
	return found;
}

static int query_vip(struct daemon *d, const char *query, uint64_t *vip,
		     GString *body)
{
	char text[2 * NAME_MAX_BYTES];
	uint32_t found;

	if (query_addr(query, "vip", vip))
		return HTTP_OK;
	if (!http_query_parameter(query, "vip", text, sizeof(text))) {
		g_string_append(body, "want vip=IP:PORT or a service's name\n");
		return HTTP_BAD_REQUEST;
	}
	found = find_named_vip(&d->config, text, vip);
	if (found == 1)
		return HTTP_OK;
	g_string_append_printf(body, "%s %s\n",
			       found ? "several accounts have a service"
				     : "no account has a service",
			       text);
	return found ? HTTP_BAD_REQUEST : HTTP_NOT_FOUND;
}

static int write_explanation(struct daemon *d, const char *query, GString *body)
{
	struct flow_key key;
	struct entry_explanation explanation;
	int status;

	if (!query_addr(query, "caller", &key.caller)) {
		g_string_append(body, "want caller=IP:PORT\n");
		return HTTP_BAD_REQUEST;
	}
	status = query_vip(d, query, &key.vip, body);
	if (status != HTTP_OK)
		return status;
	explanation = entry_explain(d->entry, &key);
	if (!explanation.service) {
		put_addr(body, "no service at vip", key.vip);
		return HTTP_NOT_FOUND;
	}
	g_string_append_printf(body, "account %s\nservice %s\n",
			       explanation.account ? explanation.account->name
						   : "-",
			       explanation.service->name);
	put_u64(body, "generation",
		explanation.account ? explanation.account->generation : 0);
	put_u64(body, "view", explanation.view);
	put_u64(body, "bucket", explanation.bucket);
	put_addr(body, "owner", explanation.pair.owner);
	put_addr(body, "second", explanation.pair.second);
	put_addr(body, "pinned", explanation.pinned);
	put_u64(body, "feeds", explanation.feeds);
	put_addr(body, "feed_target", explanation.feed_target);
	g_string_append_printf(body, "why_owner %s\nwhy_target %s\n",
			       owner_reason(d, &explanation),
			       target_reason(&explanation));
	return HTTP_OK;
}

static uint64_t query_u64(const char *query, const char *name,
			  uint64_t default_value)
{
	char text[ADDR_TEXT_BYTES];

	if (!http_query_parameter(query, name, text, sizeof(text)))
		return default_value;
	return strtoull(text, NULL, 10);
}

static const char *const row_names[] = {
	[ROW_REQUEST] = "request",
	[ROW_FEED] = "feed",
	[ROW_FEED_COPY] = "copy",
	[ROW_PIN] = "pin",
};

static void put_row(GString *to, const struct flow_row *row, uint64_t now_ns)
{
	uint64_t since_ns = row->since_ns ? row->since_ns : now_ns;
	char caller[ADDR_TEXT_BYTES];
	char vip[ADDR_TEXT_BYTES];
	char target[ADDR_TEXT_BYTES] = "-";

	if (row->target != ADDR_NONE)
		addr_text(row->target, target, sizeof(target));
	g_string_append_printf(
		to, "%s caller=%s vip=%s target=%s state=%s age_ms=%llu\n",
		row_names[row->kind],
		addr_text(row->key.caller, caller, sizeof(caller)),
		addr_text(row->key.vip, vip, sizeof(vip)), target, row->state,
		(unsigned long long)((now_ns - since_ns) / NS_PER_MS));
}

/* A last line "next N" says that a request with after=N returns more rows. */
static int write_flows(struct daemon *d, const char *query, GString *body)
{
	uint64_t limit = query_u64(query, "limit", ROWS_DEFAULT);
	uint64_t at = query_u64(query, "after", 0);
	struct flow_row rows[ROWS_MAX];
	uint64_t now_ns = uv_hrtime();
	uint32_t n;

	n = entry_flows(d->entry, &at, rows,
			limit < ROWS_MAX ? (uint32_t)limit : ROWS_MAX);
	for (uint32_t i = 0; i < n; i++)
		put_row(body, &rows[i], now_ns);
	if (at != UINT64_MAX)
		put_u64(body, "next", at);
	return HTTP_OK;
}

static void put_target(GString *to, const struct target_stats *stats)
{
	char text[ADDR_TEXT_BYTES];

	g_string_append_printf(
		to,
		"target %s inflight=%u feeds=%u slots=%u extra=%u "
		"connections=%u ejected=%d trust=%u error=%u latency_us=%llu\n",
		addr_text(stats->addr, text, sizeof(text)), stats->inflight,
		stats->feeds, stats->own, stats->extra, stats->connections,
		stats->ejected, stats->trust_milli, stats->error_milli,
		(unsigned long long)stats->latency_ns / 1000);
}

static int write_targets(struct daemon *d, const char *query, GString *body)
{
	const struct balancer *b = entry_balancer(d->entry);
	uint64_t limit = query_u64(query, "limit", ROWS_DEFAULT);
	struct target_stats t;
	uint32_t cursor = 0;

	while (limit-- && balance_next_target_stats(b, &cursor, &t))
		put_target(body, &t);
	return HTTP_OK;
}

static const struct {
	const char *path;
	int (*write)(struct daemon *d, const char *query, GString *body);
} routes[] = {
	{ "/status", write_status },	   { "/metrics", write_metrics },
	{ "/explain", write_explanation }, { "/flows", write_flows },
	{ "/targets", write_targets },
};

static int handle_request(void *ctx, struct http_request *req,
			  const char *method, const char *path,
			  const char *query, const GString *in, GString *body)
{
	(void)in;
	if (strcmp(method, "GET") != 0)
		return HTTP_METHOD_NOT_ALLOWED;
	http_add_header(req, "Content-Type", "text/plain; version=0.0.4");
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(path, routes[i].path) == 0)
			return routes[i].write(ctx, query, body);
	}
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		g_string_append_printf(body, "%s\n", routes[i].path);
	return HTTP_NOT_FOUND;
}

/**
 * operators_open() - open the HTTP server
 * @d: daemon
 *
 * Return: 0 or a negative error number.
 */
int operators_open(struct daemon *d)
{
	struct http_handler handler = { d, handle_request };
	char text[ADDR_TEXT_BYTES];
	int err =
		http_server_open(d->loop, d->settings.http, handler, &d->http);

	if (err)
		log_line(LOG_ERROR, "operator.listen",
			 addr_text(d->settings.http, text, sizeof(text)), "%s",
			 uv_strerror(err));
	return err;
}
