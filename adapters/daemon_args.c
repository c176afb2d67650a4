#include "daemon_args.h"

#include <argtable2.h>
#include <stdio.h>

#define ERRORS_SHOWN_MAX 8

/* Argument table; argtable requires @end to be the last element. */
struct args {
	struct arg_file *settings;
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static void print_help(const struct daemon_info *info, void **table)
{
	printf("Usage: %s", info->name);
	arg_print_syntax(stdout, table, "\n");
	printf("%s\n", info->purpose);
	arg_print_glossary(stdout, table, "  %-18s %s\n");
}

static int run_or_print(const struct daemon_info *info, const struct args *args,
			void **table, int n_errors)
{
	if (args->help->count) {
		print_help(info, table);
		return DAEMON_OK;
	}
	if (args->version->count) {
		printf("%s %s\n", info->name, info->version);
		return DAEMON_OK;
	}
	if (n_errors) {
		arg_print_errors(stderr, args->end, info->name);
		return DAEMON_USAGE;
	}
	return info->run(args->settings->filename[0], args->check->count > 0);
}

/**
 * daemon_main() - parse the command line and run the daemon
 * @info: the daemon
 * @argc: argument of main()
 * @argv: argument of main()
 *
 * Return: exit code, enum daemon_exit.
 */
int daemon_main(const struct daemon_info *info, int argc, char **argv)
{
	struct args args = {
		.settings = arg_file1(NULL, "settings", "FILE",
				      "settings file, TOML"),
		.check = arg_lit0(NULL, "check",
				  "check the settings, print errors, exit"),
		.help = arg_lit0(NULL, "help", "print this help and exit"),
		.version =
			arg_lit0(NULL, "version", "print the version and exit"),
		.end = arg_end(ERRORS_SHOWN_MAX),
	};
	void *table[] = { args.settings, args.check, args.help, args.version,
			  args.end };
	int code = DAEMON_FAULT;

	if (!arg_nullcheck(table))
		code = run_or_print(info, &args, table,
				    arg_parse(argc, argv, table));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
