#include "platform.h"

#include <errno.h>
#include <string.h>

#define WATCH_DEFAULT_MS 30000
#define WATCH_MAX_MS 600000

/**
 * frontend_served_revision() - revision of the state that a frontend serves
 * @f: frontend
 *
 * Return: the latest revision, or an older one while the frontend is stale.
 */
uint64_t frontend_served_revision(const struct frontend *f)
{
	return f->stale_until_ns ? f->stale_revision
				 : key_store_revision(f->platform->store);
}

/**
 * frontend_open() - open the HTTP server of a frontend
 * @f: frontend with @platform and @addr set
 *
 * Return: 0 or a negative error of http_server_open().
 */
int frontend_open(struct frontend *f)
{
	struct http_handler handler = { f, frontend_handle };

	return http_server_open(&f->platform->loop, f->addr, handler,
				&f->server);
}

/**
 * frontend_set_down() - close a frontend with its connections for some time
 * @f: frontend
 * @length_ns: duration; with 0 the next tick opens it again
 */
void frontend_set_down(struct frontend *f, uint64_t length_ns)
{
	f->down_until_ns = uv_hrtime() + length_ns;
	if (!f->server)
		return;
	http_server_close(f->server);
	f->server = NULL;
	watch_abort_all(f);
}

/**
 * frontend_set_stale() - serve an old state for some time
 * @f: frontend
 * @length_ns: duration; 0 serves the latest state again
 * @revision: revision of the old state
 */
void frontend_set_stale(struct frontend *f, uint64_t length_ns,
			uint64_t revision)
{
	f->stale_until_ns = length_ns ? uv_hrtime() + length_ns : 0;
	f->stale_revision = revision;
}

/**
 * frontend_tick() - end expired faults and answer watches
 * @f: frontend
 * @now_ns: monotonic time
 */
void frontend_tick(struct frontend *f, uint64_t now_ns)
{
	if (!f->server && f->down_until_ns <= now_ns)
		frontend_open(f);
	if (f->stale_until_ns && f->stale_until_ns <= now_ns)
		f->stale_until_ns = 0;
	watch_answer_due(f, now_ns);
}

static void count(struct frontend *f, enum call_kind kind)
{
	uint64_t now_ns = uv_hrtime();

	call_counters_add(&f->calls, kind, now_ns);
	call_counters_add(&f->platform->calls, kind, now_ns);
}

/**
 * frontend_add_revision() - add an X-Revision header to an answer
 * @req: call to be answered
 * @revision: value of the header
 */
void frontend_add_revision(struct http_request *req, uint64_t revision)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, revision);
	http_add_header(req, "X-Revision", text);
}

static int get_key(struct frontend *f, struct http_request *req,
		   const char *key, GString *body)
{
	uint64_t revision;

	count(f, CALL_GET);
	if (key_store_get(f->platform->store, key, frontend_served_revision(f),
			  body, &revision)) {
		f->calls.not_found++;
		f->platform->calls.not_found++;
		g_string_printf(body, "%s: no such key\n", key);
		return 404;
	}
	frontend_add_revision(req, revision);
	return 200;
}

static int get_list(struct frontend *f, struct http_request *req,
		    const char *query, GString *body)
{
	char prefix[KEY_MAX_BYTES] = "";

	count(f, CALL_LIST);
	http_query_parameter(query, "prefix", prefix, sizeof(prefix));
	key_store_list(f->platform->store, prefix, frontend_served_revision(f),
		       body);
	frontend_add_revision(req, frontend_served_revision(f));
	return 200;
}

/**
 * query_parse_number() - parse a decimal number in a query string
 * @query: query string
 * @name: name of the parameter
 * @fallback: value if the parameter is missing
 * @max: greatest value allowed
 * @out: receives the value
 *
 * Return: 0, or -EINVAL if it is not a number or exceeds @max.
 */
int query_parse_number(const char *query, const char *name, uint64_t fallback,
		       uint64_t max, uint64_t *out)
{
	char text[24];
	char *end;

	*out = fallback;
	if (!http_query_parameter(query, name, text, sizeof(text)))
		return 0;
	if (!g_ascii_isdigit(*text))
		return -EINVAL;
	*out = g_ascii_strtoull(text, &end, 10);
	return *end || *out > max ? -EINVAL : 0;
}

static int get_watch(struct frontend *f, struct http_request *req,
		     const char *query, GString *body)
{
	uint64_t timeout_ms;
	uint64_t after;

	count(f, CALL_WATCH);
	if (query_parse_number(query, "after", 0, UINT64_MAX - 1, &after) ||
	    query_parse_number(query, "timeout_ms", WATCH_DEFAULT_MS,
			       WATCH_MAX_MS, &timeout_ms)) {
		g_string_printf(body,
				"expected after=REVISION and timeout_ms=0 to "
				"%d\n",
				WATCH_MAX_MS);
		return 400;
	}
	if (key_store_changes(f->platform->store, after,
			      frontend_served_revision(f), body)) {
		frontend_add_revision(req, frontend_served_revision(f));
		return 200;
	}
	watch_add(f, req, after, uv_hrtime() + timeout_ms * NS_PER_MS);
	return HTTP_DEFERRED;
}

/**
 * frontend_handle() - handle the call of a reader
 * @ctx: struct frontend
 * @req: call
 * @method: HTTP method
 * @path: path of the URL
 * @query: query string of the URL
 * @in: request body, unused
 * @body: empty; receives the body of the answer
 *
 * Return: HTTP status code, or HTTP_DEFERRED for a watch without changes.
 */
int frontend_handle(void *ctx, struct http_request *req, const char *method,
		    const char *path, const char *query, const GString *in,
		    GString *body)
{
	static const char keys_path[] = "/v1/keys/";
	struct frontend *f = ctx;

	(void)in;
	if (strcmp(method, "GET")) {
		count(f, CALL_OTHER);
		g_string_printf(body, "%s: only GET; nothing can be written\n",
				method);
		return 405;
	}
	if (g_str_has_prefix(path, keys_path))
		return get_key(f, req, path + sizeof(keys_path) - 1, body);
	if (!strcmp(path, "/v1/list"))
		return get_list(f, req, query, body);
	if (!strcmp(path, "/v1/watch"))
		return get_watch(f, req, query, body);
	count(f, CALL_OTHER);
	g_string_printf(body, "%s: no such call\n", path);
	return 404;
}
