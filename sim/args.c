#include "settings.h"
#include "sim.h"

#include <errno.h>
#include <stdio.h>

static void print_help(const struct sim_args *a)
{
	printf("usage: %s", a->program);
	arg_print_syntax(stdout, a->table, "\n");
	printf("%s\n", a->about);
	arg_print_glossary(stdout, a->table, "  %-26s %s\n");
}

/**
 * sim_args_read() - parse a command line and handle --help and --version
 * @a: options of the program
 * @argc: number of arguments
 * @argv: arguments
 *
 * Return: SIM_ARGS_RUN; SIM_ARGS_EXIT after --help or --version; -EINVAL after
 * printing every error.
 */
int sim_args_read(const struct sim_args *a, int argc, char **argv)
{
	int n_errors = arg_parse(argc, argv, a->table);

	if (a->help->count) {
		print_help(a);
		return SIM_ARGS_EXIT;
	}
	if (a->version->count) {
		printf("%s %s\n", a->program, SIM_VERSION);
		return SIM_ARGS_EXIT;
	}
	if (n_errors) {
		arg_print_errors(stderr, a->end, a->program);
		fprintf(stderr, "%s: see --help\n", a->program);
		return -EINVAL;
	}
	return SIM_ARGS_RUN;
}

/**
 * sim_arg_addr() - parse an argument of the form IP:PORT
 * @program: program name for the error message
 * @arg: argument
 * @i: index of the value in @arg
 * @addr: receives the address
 *
 * Return: 0, or -EINVAL after printing an error message.
 */
int sim_arg_addr(const char *program, const struct arg_str *arg, int i,
		 uint64_t *addr)
{
	if (addr_parse(arg->sval[i], addr) == 0)
		return 0;
	fprintf(stderr, "%s: --%s=%s: expected IP:PORT, port 1 to 65535\n",
		program, arg->hdr.longopts, arg->sval[i]);
	return -EINVAL;
}

/**
 * sim_arg_range() - check that a number is within a range
 * @program: program name for the error message
 * @arg: argument, which holds its default if not given
 * @name: name of the option, without dashes
 * @min: least value allowed
 * @max: greatest value allowed
 *
 * Return: 0, or -EINVAL after printing an error message.
 */
int sim_arg_range(const char *program, const struct arg_int *arg,
		  const char *name, int min, int max)
{
	if (arg->ival[0] >= min && arg->ival[0] <= max)
		return 0;
	fprintf(stderr, "%s: --%s=%d: expected %d to %d\n", program, name,
		arg->ival[0], min, max);
	return -EINVAL;
}
