#include "daemon_args.h"

#include <argtable2.h>
#include <stdio.h>

#define MISTAKES_SHOWN 8

/* Arguments; end stands last, as argtable wants it. */
struct args {
	struct arg_file *settings;
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static void print_help(const struct daemon_info *about, void **table)
{
	printf("Usage: %s", about->name);
	arg_print_syntax(stdout, table, "\n");
	printf("%s\n", about->purpose);
	arg_print_glossary(stdout, table, "  %-18s %s\n");
}

static int act(const struct daemon_info *about, const struct args *a,
	       void **table, int errors)
{
	if (a->help->count) {
		print_help(about, table);
		return DAEMON_OK;
	}
	if (a->version->count) {
		printf("%s %s\n", about->name, about->version);
		return DAEMON_OK;
	}
	if (errors) {
		arg_print_errors(stderr, a->end, about->name);
		return DAEMON_USAGE;
	}
	return about->run(a->settings->filename[0], a->check->count > 0);
}

/**
 * daemon_main() - read the command line and run
 * @about: the daemon
 * @argc: as of main()
 * @argv: as of main()
 *
 * Return: exit code.
 */
int daemon_main(const struct daemon_info *about, int argc, char **argv)
{
	struct args a = {
		.settings =
			arg_file1(NULL, "settings", "FILE", "settings, TOML"),
		.check = arg_lit0(NULL, "check",
				  "read the settings, print mistakes, stop"),
		.help = arg_lit0(NULL, "help", "print this and stop"),
		.version = arg_lit0(NULL, "version", "print it and stop"),
		.end = arg_end(MISTAKES_SHOWN),
	};
	void *table[] = { a.settings, a.check, a.help, a.version, a.end };
	int code = DAEMON_FAULT;

	if (!arg_nullcheck(table))
		code = act(about, &a, table, arg_parse(argc, argv, table));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
