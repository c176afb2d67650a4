#include "platform.h"

#include "settings.h"

#include <errno.h>
#include <string.h>

#define FAULT_MAX_MS (24u * 3600 * 1000)

static const char keys_path[] = "/admin/keys/";

static void tick_frontends(struct platform *p)
{
	uint64_t now_ns = uv_hrtime();
	uint32_t i;

	for (i = 0; i < p->opt.n_addrs; i++)
		frontend_tick(&p->frontends[i], now_ns);
}

static int respond_revision(struct platform *p, int rc, uint64_t revision,
			    GString *body)
{
	if (rc == -ENOENT)
		return 404;
	if (rc) {
		g_string_printf(body, "%s\n", strerror(-rc));
		return rc == -EFBIG ? 413 : 400;
	}
	g_string_printf(body, "%" G_GUINT64_FORMAT "\n", revision);
	tick_frontends(p);
	return 200;
}

static int put_key(struct platform *p, const char *path, const char *query,
		   const GString *in, GString *body)
{
	uint64_t revision = 0;
	int rc = key_store_put(p->store, path + sizeof(keys_path) - 1, in->str,
			       in->len, &revision);

	(void)query;
	return respond_revision(p, rc, revision, body);
}

static int delete_key(struct platform *p, const char *path, const char *query,
		      const GString *in, GString *body)
{
	uint64_t revision = 0;
	int rc = key_store_delete(p->store, path + sizeof(keys_path) - 1,
				  &revision);

	(void)query;
	(void)in;
	return respond_revision(p, rc, revision, body);
}

/**
 * struct fault - parameters of a requested fault
 * @addr: address of the frontend, ADDR_NONE for all
 * @length_ns: duration, 0 to end the fault
 * @revision: revision of the state that a stale frontend serves
 */
struct fault {
	uint64_t addr;
	uint64_t length_ns;
	uint64_t revision;
};

static int parse_fault(struct platform *p, const char *query, struct fault *out)
{
	uint64_t ms;
	char text[32];

	out->addr = ADDR_NONE;
	if (http_query_parameter(query, "addr", text, sizeof(text)) &&
	    addr_parse(text, &out->addr))
		return -EINVAL;
	if (query_parse_number(query, "ms", UINT64_MAX, FAULT_MAX_MS, &ms) ||
	    ms == UINT64_MAX)
		return -EINVAL;
	out->length_ns = ms * NS_PER_MS;
	return query_parse_number(query, "revision",
				  key_store_revision(p->store),
				  key_store_revision(p->store), &out->revision);
}

static int apply_fault(struct platform *p, const char *query, GString *body,
		       void (*set)(struct frontend *f,
				   const struct fault *fault))
{
	struct fault fault;
	uint32_t n = 0;
	uint32_t i;

	if (parse_fault(p, query, &fault)) {
		g_string_printf(body,
				"expected ms=0 to %u, and if given "
				"addr=IP:PORT, revision=N (past)\n",
				FAULT_MAX_MS);
		return 400;
	}
	for (i = 0; i < p->opt.n_addrs; i++) {
		if (fault.addr && fault.addr != p->frontends[i].addr)
			continue;
		set(&p->frontends[i], &fault);
		n++;
	}
	tick_frontends(p);
	if (n == 0)
		g_string_printf(body, "addr: not one of --addr\n");
	return n ? 200 : 404;
}

static void set_down(struct frontend *f, const struct fault *fault)
{
	frontend_set_down(f, fault->length_ns);
}

static void set_stale(struct frontend *f, const struct fault *fault)
{
	frontend_set_stale(f, fault->length_ns, fault->revision);
}

static int post_down(struct platform *p, const char *path, const char *query,
		     const GString *in, GString *body)
{
	(void)path;
	(void)in;
	return apply_fault(p, query, body, set_down);
}

static int post_stale(struct platform *p, const char *path, const char *query,
		      const GString *in, GString *body)
{
	(void)path;
	(void)in;
	return apply_fault(p, query, body, set_stale);
}

static int get_calls(struct platform *p, const char *path, const char *query,
		     const GString *in, GString *body)
{
	char name[32];
	uint32_t i;

	(void)path;
	(void)query;
	(void)in;
	call_counters_print(&p->calls, "all", body);
	for (i = 0; i < p->opt.n_addrs; i++)
		call_counters_print(&p->frontends[i].calls,
				    addr_text(p->frontends[i].addr, name,
					      sizeof(name)),
				    body);
	return 200;
}

/**
 * struct route - a call of the admin address
 * @method: HTTP method
 * @path: path, or a prefix of it if it ends in a slash
 * @run: writes the body of the answer and returns the status code
 */
struct route {
	const char *method;
	const char *path;
	int (*run)(struct platform *p, const char *path, const char *query,
		   const GString *in, GString *body);
};

static const struct route routes[] = {
	{ "PUT", keys_path, put_key },
	{ "DELETE", keys_path, delete_key },
	{ "POST", "/admin/down", post_down },
	{ "POST", "/admin/stale", post_stale },
	{ "GET", "/admin/calls", get_calls },
};

static bool matches(const struct route *r, const char *method, const char *path)
{
	if (strcmp(r->method, method))
		return false;
	if (g_str_has_suffix(r->path, "/"))
		return g_str_has_prefix(path, r->path);
	return !strcmp(r->path, path);
}

/**
 * admin_handle() - change keys, set faults or read counters
 * @ctx: struct platform
 * @req: unused
 * @method: HTTP method
 * @path: path of the URL
 * @query: query string of the URL
 * @in: request body
 * @body: empty; receives the body of the answer
 *
 * Return: HTTP status code.
 */
int admin_handle(void *ctx, struct http_request *req, const char *method,
		 const char *path, const char *query, const GString *in,
		 GString *body)
{
	size_t i;

	(void)req;
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (matches(&routes[i], method, path))
			return routes[i].run(ctx, path, query, in, body);
	}
	g_string_printf(body, "%s %s: no such call; there are:\n", method,
			path);
	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		g_string_append_printf(body, "%s %s\n", routes[i].method,
				       routes[i].path);
	return 404;
}
