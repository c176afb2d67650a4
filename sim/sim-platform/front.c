#include "platform.h"

#include <errno.h>
#include <string.h>

#define WATCH_DEFAULT_MS 30000
#define WATCH_MAX_MS 600000

/**
 * front_as_of() - the revision whose state a front serves
 * @f: front
 *
 * Return: the latest, or an older one while the front is stale.
 */
uint64_t front_as_of(const struct front *f)
{
	return f->stale_deadline_ns ? f->stale_revision
				    : keys_revision(f->platform->keys);
}

/**
 * front_open() - serve readers
 * @f: front with @platform and @addr set
 *
 * Return: 0, or a negative error.
 */
int front_open(struct front *f)
{
	struct http_handler handler = { f, front_handle };

	return http_server_open(&f->platform->loop, f->addr, handler,
				&f->server);
}

/**
 * front_down() - refuse connections and cut those that are open
 * @f: front
 * @length_ns: how long; 0 brings it back
 */
void front_down(struct front *f, uint64_t length_ns)
{
	f->down_deadline_ns = uv_hrtime() + length_ns;
	if (!f->server)
		return;
	http_server_close(f->server);
	f->server = NULL;
	watch_drop(f);
}

/**
 * front_stale() - serve an old state
 * @f: front
 * @length_ns: how long; 0 ends it
 * @revision: the state
 */
void front_stale(struct front *f, uint64_t length_ns, uint64_t revision)
{
	f->stale_deadline_ns = length_ns ? uv_hrtime() + length_ns : 0;
	f->stale_revision = revision;
}

/**
 * front_step() - end faults whose time is over, answer watches
 * @f: front
 * @now_ns: time
 */
void front_step(struct front *f, uint64_t now_ns)
{
	if (!f->server && f->down_deadline_ns <= now_ns)
		front_open(f);
	if (f->stale_deadline_ns && f->stale_deadline_ns <= now_ns)
		f->stale_deadline_ns = 0;
	watch_step(f, now_ns);
}

static void count(struct front *f, enum call kind)
{
	uint64_t now_ns = uv_hrtime();

	calls_count(&f->calls, kind, now_ns);
	calls_count(&f->platform->calls, kind, now_ns);
}

/**
 * front_revision() - put X-Revision on an answer
 * @req: call
 * @revision: its value
 */
void front_revision(struct http_request *req, uint64_t revision)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, revision);
	http_add_header(req, "X-Revision", text);
}

static int get_key(struct front *f, struct http_request *req, const char *key,
		   GString *body)
{
	uint64_t revision;

	count(f, CALL_GET);
	if (keys_get(f->platform->keys, key, front_as_of(f), body, &revision)) {
		f->calls.not_found++;
		f->platform->calls.not_found++;
		g_string_printf(body, "%s: no such key\n", key);
		return 404;
	}
	front_revision(req, revision);
	return 200;
}

static int get_list(struct front *f, struct http_request *req,
		    const char *query, GString *body)
{
	char prefix[KEY_MAX_BYTES] = "";

	count(f, CALL_LIST);
	http_query_parameter(query, "prefix", prefix, sizeof(prefix));
	keys_list(f->platform->keys, prefix, front_as_of(f), body);
	front_revision(req, front_as_of(f));
	return 200;
}

/**
 * number_query() - read a whole number of a query string
 * @query: query string
 * @name: parameter's name
 * @fallback: value when it is not there
 * @max: greatest allowed
 * @out: filled
 *
 * Return: 0, or -EINVAL.
 */
int number_query(const char *query, const char *name, uint64_t fallback,
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

static int get_watch(struct front *f, struct http_request *req,
		     const char *query, GString *body)
{
	uint64_t timeout_ms;
	uint64_t after;

	count(f, CALL_WATCH);
	if (number_query(query, "after", 0, UINT64_MAX - 1, &after) ||
	    number_query(query, "timeout_ms", WATCH_DEFAULT_MS, WATCH_MAX_MS,
			 &timeout_ms)) {
		g_string_printf(body,
				"expected after=REVISION and timeout_ms=0 to "
				"%d\n",
				WATCH_MAX_MS);
		return 400;
	}
	if (keys_changes(f->platform->keys, after, front_as_of(f), body)) {
		front_revision(req, front_as_of(f));
		return 200;
	}
	watch_begin(f, req, after, uv_hrtime() + timeout_ms * NS_PER_MS);
	return HTTP_DEFERRED;
}

/**
 * front_handle() - answer a reader
 * @ctx: front
 * @req: call
 * @method: HTTP method
 * @path: path
 * @query: query string
 * @in: request body
 * @body: answer, filled
 *
 * Return: status code, or HTTP_DEFERRED.
 */
int front_handle(void *ctx, struct http_request *req, const char *method,
		 const char *path, const char *query, const GString *in,
		 GString *body)
{
	static const char keys_path[] = "/v1/keys/";
	struct front *f = ctx;

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
