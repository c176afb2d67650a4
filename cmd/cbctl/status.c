/* status, targets, explain: print pages of daemons, as lines or as JSON. */
#include "cbctl.h"

#include "settings.h"

#include <stdio.h>

/* Each line starts with its daemon's address, so that a pipe can sort them. */
static void print_lines(const char *peer, const char *body)
{
	char **lines = g_strsplit(body, "\n", -1);

	for (char **l = lines; *l; l++)
		if (**l)
			printf("%s %s\n", peer, *l);
	g_strfreev(lines);
}

static void json_peer(GString *json, const char *peer, const char *body)
{
	json_open(json, NULL, '{');
	json_string(json, "peer", peer);
	lines_json(json, body);
	json_close(json, '}');
}

static enum exit_code
print_peer(const struct command_args *args, const char *peer,
	   enum exit_code (*load)(const struct command_args *args,
				  const char *peer, GString *body),
	   GString *json)
{
	GString *body = g_string_new(NULL);
	enum exit_code code = load(args, peer, body);

	if (code == EXIT_OK && args->json)
		json_peer(json, peer, body->str);
	else if (code == EXIT_OK)
		print_lines(peer, body->str);
	g_string_free(body, TRUE);
	return code;
}

/**
 * print_peers() - print a page of each of several daemons
 * @args: arguments of the command; its first operands are the addresses
 * @n: number of addresses
 * @load: fetches the page of one daemon into its body
 *
 * Return: the most severe code that @load returned.
 */
enum exit_code
print_peers(const struct command_args *args, uint32_t n,
	    enum exit_code (*load)(const struct command_args *args,
				   const char *peer, GString *body))
{
	GString *json = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	json_open(json, NULL, '[');
	for (uint32_t i = 0; i < n; i++)
		code = worse_exit_code(code, print_peer(args, args->operands[i],
							load, json));
	json_close(json, ']');
	json_finish(args, json);
	return code;
}

static enum exit_code status_load(const struct command_args *args,
				  const char *peer, GString *body)
{
	(void)args;
	return fetch_page(peer, "/status", body);
}

static enum exit_code targets_load(const struct command_args *args,
				   const char *peer, GString *body)
{
	char *path = g_strdup_printf("/targets?limit=%u", args->limit);
	enum exit_code code = fetch_page(peer, path, body);

	g_free(path);
	return code;
}

static enum exit_code explain_load(const struct command_args *args,
				   const char *peer, GString *body)
{
	char *service = g_uri_escape_string(args->operands[2], "/:", FALSE);
	char *path = g_strdup_printf("/explain?caller=%s&vip=%s",
				     args->operands[1], service);
	enum exit_code code = fetch_page(peer, path, body);

	g_free(path);
	g_free(service);
	return code;
}

enum exit_code status_run(const struct command_args *args)
{
	return print_peers(args, args->n_operands, status_load);
}

enum exit_code targets_run(const struct command_args *args)
{
	return print_peers(args, args->n_operands, targets_load);
}

enum exit_code explain_run(const struct command_args *args)
{
	uint64_t addr;

	if (addr_parse(args->operands[1], &addr)) {
		report_error("caller", args->operands[1], "expected IP:PORT");
		return EXIT_USAGE;
	}
	return print_peers(args, 1, explain_load);
}
