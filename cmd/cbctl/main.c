/* Command line of cbctl. */
#include "cbctl.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define VERSION "0.1"
#define ERRORS_SHOWN_MAX 20
#define LIMIT_DEFAULT 100
#define TIMEOUT_DEFAULT_S 60
#define OPTION_VALUE_MAX 1000000

/* Options that a command accepts besides --json and --help. */
enum { OPTION_PLATFORM = 1, OPTION_LIMIT = 2, OPTION_TIMEOUT = 4 };

/**
 * struct command - one subcommand
 * @name: first operand of the command line
 * @operands: operands as the usage line shows them
 * @summary: one line of help
 * @n_operands_min: fewest operands; --platform's URL counts as one
 * @n_operands_max: most operands
 * @options: accepted options, a set of OPTION_ bits
 * @run: entry point
 */
static const struct command {
	const char *name;
	const char *operands;
	const char *summary;
	uint32_t n_operands_min;
	uint32_t n_operands_max;
	uint32_t options;
	enum exit_code (*run)(const struct command_args *args);
} commands[] = {
	{ "check", "DIR", "check all publications together", 1, 1,
	  OPTION_PLATFORM, check_run },
	{ "render", "DIR ACCOUNT", "print an account with its template filled",
	  2, 2, OPTION_PLATFORM, render_run },
	{ "diff", "STANDING NEXT",
	  "what publishing NEXT in place of STANDING would change", 2, 2,
	  OPTION_PLATFORM, diff_run },
	{ "status", "ADDRESS...", "state of cb-entry and cb-watch processes", 1,
	  63, 0, status_run },
	{ "flows", "ADDRESS...", "requests, feeds and pins of entries", 1, 63,
	  OPTION_LIMIT, flows_run },
	{ "targets", "ADDRESS...",
	  "requests and feeds of entries at each target", 1, 63, OPTION_LIMIT,
	  targets_run },
	{ "explain", "ADDRESS CALLER SERVICE",
	  "entry and target of a flow, and the reasons", 3, 3, 0, explain_run },
	{ "drain-watch", "ADDRESS", "print the progress of an entry's drain", 1,
	  1, OPTION_TIMEOUT, drain_watch_run },
	{ "replay", "CLIENT:PORT FILE...",
	  "log lines about one opaque flow, from entries' logs", 2, 63, 0,
	  replay_run },
	{ "load", "ADDRESS...",
	  "load, refusals and causes by service and class, over entries", 1, 63,
	  0, load_run },
	{ "generations", "ADDRESS...",
	  "generations in force on each VM, and which VMs lag", 1, 63,
	  OPTION_PLATFORM, generations_run },
};

/* Options and operands in argtable2's form. */
struct option_table {
	struct arg_str *operands;
	struct arg_str *platform;
	struct arg_int *limit;
	struct arg_int *timeout_s;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static void print_usage(FILE *to)
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

static uint32_t value_or_default(const struct arg_int *option,
				 uint32_t default_value)
{
	return option->count ? (uint32_t)option->ival[0] : default_value;
}

static bool is_out_of_range(const struct arg_int *option)
{
	return option->count &&
	       (option->ival[0] < 1 || option->ival[0] > OPTION_VALUE_MAX);
}

/* Return: true, after a message on standard error, when an option is invalid. */
static bool report_invalid_options(const struct command *command,
				   const struct option_table *options)
{
	const struct {
		const char *name;
		int count;
		uint32_t bit;
	} given[] = {
		{ "--platform", options->platform->count, OPTION_PLATFORM },
		{ "--limit", options->limit->count, OPTION_LIMIT },
		{ "--timeout-s", options->timeout_s->count, OPTION_TIMEOUT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(given); i++) {
		if (!given[i].count || (command->options & given[i].bit))
			continue;
		fprintf(stderr, "cbctl: %s takes no %s\n", command->name,
			given[i].name);
		return true;
	}
	if (is_out_of_range(options->limit) ||
	    is_out_of_range(options->timeout_s)) {
		fprintf(stderr, "cbctl: expected a number from 1 to %d\n",
			OPTION_VALUE_MAX);
		return true;
	}
	return false;
}

static void command_args_init(const struct option_table *options,
			      struct command_args *args)
{
	*args = (struct command_args){
		.platform = options->platform->count
				    ? options->platform->sval[0]
				    : NULL,
		.json = options->json->count > 0,
		.limit = value_or_default(options->limit, LIMIT_DEFAULT),
		.timeout_s =
			value_or_default(options->timeout_s, TIMEOUT_DEFAULT_S),
	};
	if (args->platform)
		args->operands[args->n_operands++] = args->platform;
	for (int i = 1; i < options->operands->count; i++)
		args->operands[args->n_operands++] = options->operands->sval[i];
}

static enum exit_code dispatch(const struct option_table *options)
{
	const struct command *command = NULL;
	struct command_args args;
	enum exit_code code;

	if (options->operands->count)
		command = command_find(options->operands->sval[0]);
	if (!command) {
		print_usage(stderr);
		return EXIT_USAGE;
	}
	if (report_invalid_options(command, options))
		return EXIT_USAGE;
	command_args_init(options, &args);
	if (args.n_operands < command->n_operands_min ||
	    args.n_operands > command->n_operands_max) {
		fprintf(stderr, "usage: cbctl %s %s\n", command->name,
			command->operands);
		return EXIT_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = command->run(&args);
	curl_global_cleanup();
	return code;
}

static enum exit_code run(const struct option_table *options, void **argtable,
			  int n_errors)
{
	if (options->help->count) {
		print_usage(stdout);
		arg_print_glossary(stdout, argtable, "  %-20s %s\n");
		return EXIT_OK;
	}
	if (options->version->count) {
		printf("cbctl %s\n", VERSION);
		return EXIT_OK;
	}
	if (n_errors) {
		arg_print_errors(stderr, options->end, "cbctl");
		return EXIT_USAGE;
	}
	return dispatch(options);
}

int main(int argc, char **argv)
{
	struct option_table options = {
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
		.end = arg_end(ERRORS_SHOWN_MAX),
	};
	void *argtable[] = { options.operands,	options.platform, options.limit,
			     options.timeout_s, options.json,	  options.help,
			     options.version,	options.end };
	enum exit_code code;

	if (arg_nullcheck(argtable))
		return EXIT_USAGE;
	code = run(&options, argtable, arg_parse(argc, argv, argtable));
	arg_freetable(argtable, G_N_ELEMENTS(argtable));
	return (int)code;
}
