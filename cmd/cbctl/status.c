/* status, flows, explain: pages of daemons, as they are or as JSON. */
#include "cbctl.h"

#include "settings.h"

#include <stdio.h>

/* Plain lines carry their peer in front, so that a pipe can sort them. */
static void print_lines(const char *peer, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);

	for (char **l = lines; *l; l++)
		if (**l)
			printf("%s %s\n", peer, *l);
	g_strfreev(lines);
}

static enum exit_code one(const struct request *r, const char *peer,
			  const char *path, GString *json)
{
	GString *body = g_string_new(NULL);
	enum exit_code code = ask(peer, path, body);

	if (code == EXIT_OK && r->json) {
		json_open(json, NULL, '{');
		json_string(json, "peer", peer);
		lines_json(json, body->str);
		json_close(json, '}');
	} else if (code == EXIT_OK) {
		print_lines(peer, body->str);
	}
	g_string_free(body, TRUE);
	return code;
}

static enum exit_code pages(const struct request *r, uint32_t n,
			    const char *path)
{
	GString *json = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	json_open(json, NULL, '[');
	for (uint32_t i = 0; i < n; i++)
		code = worse(code, one(r, r->operands[i], path, json));
	json_close(json, ']');
	if (r->json)
		print_json(json);
	else
		g_string_free(json, TRUE);
	return code;
}

enum exit_code status_run(const struct request *r)
{
	return pages(r, r->n_operands, "/status");
}

enum exit_code flows_run(const struct request *r)
{
	char *path = g_strdup_printf("/flows?limit=%u", r->limit);
	enum exit_code code = pages(r, r->n_operands, path);

	g_free(path);
	return code;
}

enum exit_code explain_run(const struct request *r)
{
	enum exit_code code;
	uint64_t addr;
	char *path;

	for (uint32_t i = 1; i < r->n_operands; i++) {
		if (!addr_parse(r->operands[i], &addr))
			continue;
		complain("address", r->operands[i], "expected IP:PORT");
		return EXIT_USAGE;
	}
	path = g_strdup_printf("/explain?caller=%s&vip=%s", r->operands[1],
			       r->operands[2]);
	code = pages(r, 1, path);
	g_free(path);
	return code;
}
