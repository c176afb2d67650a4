#include "platform.h"

#include <errno.h>

static const char program[] = "sim-platform";

/* Arguments in the form of argtable2. */
struct parsed {
	struct arg_lit *help, *version;
	struct arg_str *addrs, *admin;
	struct arg_file *keys;
	struct arg_end *end;
};

static int set_options(const struct parsed *p, struct platform_options *o)
{
	int rc = 0;
	int i;

	for (i = 0; i < p->addrs->count; i++)
		rc |= sim_arg_addr(program, p->addrs, i, &o->addrs[i]);
	if (p->admin->count)
		rc |= sim_arg_addr(program, p->admin, 0, &o->admin);
	o->n_addrs = (uint32_t)p->addrs->count;
	o->keys_dir = p->keys->count ? p->keys->filename[0] : NULL;
	return rc ? -EINVAL : 0;
}

/**
 * sim_platform_options_read() - parse and check the command line
 * @o: zeroed; receives the options, whose strings belong to @argv
 * @argc: number of arguments
 * @argv: arguments
 *
 * Return: SIM_ARGS_RUN; SIM_ARGS_EXIT after --help or --version; -EINVAL after
 * printing every error.
 */
int sim_platform_options_read(struct platform_options *o, int argc, char **argv)
{
	struct parsed p = {
		.help = arg_lit0(NULL, "help", "print this help and exit"),
		.version =
			arg_lit0(NULL, "version", "print the version and exit"),
		.addrs = arg_strn(NULL, "addr", "IP:PORT", 1, FRONTENDS_MAX,
				  "serve readers at this address"),
		.admin = arg_str0(NULL, "admin", "IP:PORT",
				  "take changes of keys and faults here"),
		.keys = arg_file0(NULL, "keys", "DIR",
				  "load the initial keys, a file for each"),
		.end = arg_end(20),
	};
	void *table[] = { p.help, p.version, p.addrs, p.admin, p.keys, p.end };
	struct sim_args args = {
		program,   "Simulates a read-only configuration service.",
		table,	   p.help,
		p.version, p.end
	};
	int rc = sim_args_read(&args, argc, argv);

	if (rc == SIM_ARGS_RUN)
		rc = set_options(&p, o);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
