/* status, targets, explain: pages of daemons, as they are or as JSON. */
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

static void peer_json(GString *json, const char *peer, const char *body)
{
	json_open(json, NULL, '{');
	json_string(json, "peer", peer);
	lines_append_json(json, body);
	json_close(json, '}');
}

static enum exit_code one_peer(const struct request *r, const char *peer,
			       enum exit_code (*load)(const struct request *r,
						      const char *peer,
						      GString *body),
			       GString *json)
{
	GString *body = g_string_new(NULL);
	enum exit_code code = load(r, peer, body);

	if (code == EXIT_OK && r->json)
		peer_json(json, peer, body->str);
	else if (code == EXIT_OK)
		print_lines(peer, body->str);
	g_string_free(body, TRUE);
	return code;
}

/**
 * each_peer() - print a page of each of the first operands
 * @r: command line
 * @n: how many of its operands are peers
 * @load: loads the page
 *
 * Return: the gravest end.
 */
enum exit_code each_peer(const struct request *r, uint32_t n,
			 enum exit_code (*load)(const struct request *r,
						const char *peer,
						GString *body))
{
	GString *json = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	json_open(json, NULL, '[');
	for (uint32_t i = 0; i < n; i++)
		code = worse(code, one_peer(r, r->operands[i], load, json));
	json_close(json, ']');
	finish_json(r, json);
	return code;
}

static enum exit_code status_load(const struct request *r, const char *peer,
				  GString *body)
{
	(void)r;
	return ask(peer, "/status", body);
}

static enum exit_code targets_load(const struct request *r, const char *peer,
				   GString *body)
{
	char *path = g_strdup_printf("/targets?limit=%u", r->limit);
	enum exit_code code = ask(peer, path, body);

	g_free(path);
	return code;
}

static enum exit_code explain_load(const struct request *r, const char *peer,
				   GString *body)
{
	char *service = g_uri_escape_string(r->operands[2], "/:", FALSE);
	char *path = g_strdup_printf("/explain?caller=%s&vip=%s",
				     r->operands[1], service);
	enum exit_code code = ask(peer, path, body);

	g_free(path);
	g_free(service);
	return code;
}

enum exit_code status_run(const struct request *r)
{
	return each_peer(r, r->n_operands, status_load);
}

enum exit_code targets_run(const struct request *r)
{
	return each_peer(r, r->n_operands, targets_load);
}

enum exit_code explain_run(const struct request *r)
{
	uint64_t addr;

	if (addr_parse(r->operands[1], &addr)) {
		complain("caller", r->operands[1], "expected IP:PORT");
		return EXIT_USAGE;
	}
	return each_peer(r, 1, explain_load);
}
