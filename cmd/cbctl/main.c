#include "cbctl.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define VERSION "0.1"
#define ERRORS_SHOWN 20
#define LIMIT_USUAL 100
#define TIMEOUT_USUAL_S 60
#define NUMBER_MAX 1000000

/* Options that a command takes besides --json and --help. */
enum { TAKES_PLATFORM = 1, TAKES_LIMIT = 2, TAKES_TIMEOUT = 4 };

/**
 * struct command - one subcommand
 * @name: its name
 * @operands: its operands, for the usage line
 * @summary: what it does
 * @least: operands it needs; --platform's URL counts as one
 * @most: operands it takes
 * @options: options it takes
 * @run: does it
 */
static const struct command {
	const char *name;
	const char *operands;
	const char *summary;
	uint32_t least;
	uint32_t most;
	uint32_t options;
	enum exit_code (*run)(const struct request *r);
} commands[] = {
	{ "check", "DIR", "check all publications together", 1, 1,
	  TAKES_PLATFORM, check_run },
	{ "render", "DIR ACCOUNT", "print an account with its template filled",
	  2, 2, TAKES_PLATFORM, render_run },
	{ "diff", "STANDING NEXT",
	  "what publishing NEXT in place of STANDING would change", 2, 2,
	  TAKES_PLATFORM, diff_run },
	{ "status", "ADDRESS...", "state of cb-entry and cb-watch processes", 1,
	  63, 0, status_run },
	{ "flows", "ADDRESS...", "requests, feeds and pins of entries", 1, 63,
	  TAKES_LIMIT, flows_run },
	{ "targets", "ADDRESS...", "what entries have at each target", 1, 63,
	  TAKES_LIMIT, targets_run },
	{ "explain", "ADDRESS CALLER SERVICE",
	  "which entry and target a flow has, and why", 3, 3, 0, explain_run },
	{ "drain-watch", "ADDRESS", "follow an entry until it has left", 1, 1,
	  TAKES_TIMEOUT, drain_run },
	{ "replay", "CLIENT:PORT FILE...",
	  "one opaque flow's story from the logs of entries", 2, 63, 0,
	  replay_run },
	{ "generations", "ADDRESS...",
	  "what is in force on each VM, and who lags", 1, 63, TAKES_PLATFORM,
	  generations_run },
};

/* What the command line said. */
struct options {
	struct arg_str *operands;
	struct arg_str *platform;
	struct arg_int *limit;
	struct arg_int *timeout_s;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static void usage(FILE *to)
{
	fprintf(to, "usage: cbctl COMMAND [OPTION...] [OPERAND...]\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(to, "  %-12s %-20s %s\n", commands[i].name,
			commands[i].operands, commands[i].summary);
	fprintf(to, "ADDRESS is IP:PORT of a daemon's http setting.\n");
}

static const struct command *command_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}

static uint32_t number(const struct arg_int *option, uint32_t usual)
{
	return option->count ? (uint32_t)option->ival[0] : usual;
}

static bool number_bad(const struct arg_int *option)
{
	return option->count &&
	       (option->ival[0] < 1 || option->ival[0] > NUMBER_MAX);
}

static bool options_bad(const struct command *c, const struct options *o)
{
	const struct {
		const char *name;
		int count;
		uint32_t bit;
	} given[] = {
		{ "--platform", o->platform->count, TAKES_PLATFORM },
		{ "--limit", o->limit->count, TAKES_LIMIT },
		{ "--timeout-s", o->timeout_s->count, TAKES_TIMEOUT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(given); i++) {
		if (!given[i].count || (c->options & given[i].bit))
			continue;
		fprintf(stderr, "cbctl: %s takes no %s\n", c->name,
			given[i].name);
		return true;
	}
	if (number_bad(o->limit) || number_bad(o->timeout_s)) {
		fprintf(stderr, "cbctl: expected a number from 1 to %d\n",
			NUMBER_MAX);
		return true;
	}
	return false;
}

static void request_fill(const struct options *o, struct request *r)
{
	*r = (struct request){
		.platform = o->platform->count ? o->platform->sval[0] : NULL,
		.json = o->json->count > 0,
		.limit = number(o->limit, LIMIT_USUAL),
		.timeout_s = number(o->timeout_s, TIMEOUT_USUAL_S),
	};
	if (r->platform)
		r->operands[r->n_operands++] = r->platform;
	for (int i = 1; i < o->operands->count; i++)
		r->operands[r->n_operands++] = o->operands->sval[i];
}

static enum exit_code dispatch(const struct options *o)
{
	const struct command *c = NULL;
	struct request r;
	enum exit_code code;

	if (o->operands->count)
		c = command_find(o->operands->sval[0]);
	if (!c) {
		usage(stderr);
		return EXIT_USAGE;
	}
	if (options_bad(c, o))
		return EXIT_USAGE;
	request_fill(o, &r);
	if (r.n_operands < c->least || r.n_operands > c->most) {
		fprintf(stderr, "usage: cbctl %s %s\n", c->name, c->operands);
		return EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = c->run(&r);
	curl_global_cleanup();
	return code;
}

static enum exit_code act(const struct options *o, void **table, int n_errors)
{
	if (o->help->count) {
		usage(stdout);
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return EXIT_OK;
	}
	if (o->version->count) {
		printf("cbctl %s\n", VERSION);
		return EXIT_OK;
	}
	if (n_errors) {
		arg_print_errors(stderr, o->end, "cbctl");
		return EXIT_USAGE;
	}
	return dispatch(o);
}

int main(int argc, char **argv)
{
	struct options o = {
		.operands = arg_strn(NULL, NULL, "OPERAND", 0, 63,
				     "command and its operands"),
		.platform = arg_str0(NULL, "platform", "URL",
				     "read the platform in place of DIR"),
		.limit = arg_int0(NULL, "limit", "N", "rows to show"),
		.timeout_s = arg_int0(NULL, "timeout-s", "N",
				      "longest wait in seconds"),
		.json = arg_lit0(NULL, "json", "write one line of JSON"),
		.help = arg_lit0("h", "help", "print this and stop"),
		.version =
			arg_lit0(NULL, "version", "print the version and stop"),
		.end = arg_end(ERRORS_SHOWN),
	};
	void *table[] = { o.operands, o.platform, o.limit,   o.timeout_s,
			  o.json,     o.help,	  o.version, o.end };
	enum exit_code code;

	if (arg_nullcheck(table))
		return EXIT_USAGE;
	code = act(&o, table, arg_parse(argc, argv, table));
	arg_freetable(table, G_N_ELEMENTS(table));
	return (int)code;
}
