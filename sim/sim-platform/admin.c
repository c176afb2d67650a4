#include "platform.h"

#include "settings.h"

#include <errno.h>
#include <string.h>

#define FAULT_MAX_MS (24u * 3600 * 1000)

static const char keys_path[] = "/admin/keys/";

static void wake(struct platform *p)
{
	uint64_t now_ns = uv_hrtime();
	uint32_t i;

	for (i = 0; i < p->opt.n_addrs; i++)
		front_step(&p->fronts[i], now_ns);
}

static int say_revision(struct platform *p, int rc, uint64_t revision,
			GString *body)
{
	if (rc == -ENOENT)
		return 404;
	if (rc) {
		g_string_printf(body, "%s\n", strerror(-rc));
		return rc == -EFBIG ? 413 : 400;
	}
	g_string_printf(body, "%" G_GUINT64_FORMAT "\n", revision);
	wake(p);
	return 200;
}

static int put_key(struct platform *p, const char *path, const char *query,
		   const GString *in, GString *body)
{
	uint64_t revision = 0;
	int rc = keys_put(p->keys, path + sizeof(keys_path) - 1, in->str,
			  in->len, &revision);

	(void)query;
	return say_revision(p, rc, revision, body);
}

static int delete_key(struct platform *p, const char *path, const char *query,
		      const GString *in, GString *body)
{
	uint64_t revision = 0;
	int rc = keys_delete(p->keys, path + sizeof(keys_path) - 1, &revision);

	(void)query;
	(void)in;
	return say_revision(p, rc, revision, body);
}

/**
 * struct fault - a fault asked for
 * @addr: front, ADDR_NONE for all
 * @length_ns: how long
 * @revision: state to serve, for a stale front
 */
struct fault {
	uint64_t addr;
	uint64_t length_ns;
	uint64_t revision;
};

static int read_fault(struct platform *p, const char *query, struct fault *out)
{
	uint64_t ms;
	char text[32];

	out->addr = ADDR_NONE;
	if (http_query_parameter(query, "addr", text, sizeof(text)) &&
	    addr_parse(text, &out->addr))
		return -EINVAL;
	if (number_query(query, "ms", UINT64_MAX, FAULT_MAX_MS, &ms) ||
	    ms == UINT64_MAX)
		return -EINVAL;
	out->length_ns = ms * NS_PER_MS;
	return number_query(query, "revision", keys_revision(p->keys),
			    keys_revision(p->keys), &out->revision);
}

static int each_front(struct platform *p, const char *query, GString *body,
		      void (*set)(struct front *f, const struct fault *fault))
{
	struct fault fault;
	uint32_t n = 0;
	uint32_t i;

	if (read_fault(p, query, &fault)) {
		g_string_printf(body,
				"expected ms=0 to %u, and if given "
				"addr=IP:PORT, revision=N (past)\n",
				FAULT_MAX_MS);
		return 400;
	}
	for (i = 0; i < p->opt.n_addrs; i++) {
		if (fault.addr && fault.addr != p->fronts[i].addr)
			continue;
		set(&p->fronts[i], &fault);
		n++;
	}
	wake(p);
	if (n == 0)
		g_string_printf(body, "addr: not one of --addr\n");
	return n ? 200 : 404;
}

static void set_down(struct front *f, const struct fault *fault)
{
	front_down(f, fault->length_ns);
}

static void set_stale(struct front *f, const struct fault *fault)
{
	front_stale(f, fault->length_ns, fault->revision);
}

static int post_down(struct platform *p, const char *path, const char *query,
		     const GString *in, GString *body)
{
	(void)path;
	(void)in;
	return each_front(p, query, body, set_down);
}

static int post_stale(struct platform *p, const char *path, const char *query,
		      const GString *in, GString *body)
{
	(void)path;
	(void)in;
	return each_front(p, query, body, set_stale);
}

static int get_calls(struct platform *p, const char *path, const char *query,
		     const GString *in, GString *body)
{
	char name[32];
	uint32_t i;

	(void)path;
	(void)query;
	(void)in;
	calls_print(&p->calls, "all", body);
	for (i = 0; i < p->opt.n_addrs; i++)
		calls_print(&p->fronts[i].calls,
			    addr_text(p->fronts[i].addr, name, sizeof(name)),
			    body);
	return 200;
}

/**
 * struct route - a call of the admin address
 * @method: HTTP method
 * @path: path, or its beginning when it ends in a slash
 * @run: answers
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
 * admin_handle() - answer a test: change keys, set faults, show counters
 * @ctx: platform
 * @req: call
 * @method: HTTP method
 * @path: path
 * @query: query string
 * @in: request body
 * @body: answer, filled
 *
 * Return: status code.
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
