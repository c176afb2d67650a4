#include "platform.h"

#include <errno.h>

static const char program[] = "sim-platform";

/* The command line as argtable2 holds it. */
struct parsed {
	struct arg_lit *help, *version;
	struct arg_str *addrs, *admin;
	struct arg_file *keys;
	struct arg_end *end;
};

static int fill(const struct parsed *p, struct platform_options *o)
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
 * @o: filled; its strings are @argv's
 * @argc: from main
 * @argv: from main
 *
 * Return: SIM_ARGS_RUN, SIM_ARGS_EXIT, or -EINVAL after every mistake was
 * printed.
 */
int sim_platform_options_read(struct platform_options *o, int argc, char **argv)
{
	struct parsed p = {
		.help = arg_lit0(NULL, "help", "say this"),
		.version = arg_lit0(NULL, "version", "say the version"),
		.addrs = arg_strn(NULL, "addr", "IP:PORT", 1, FRONTS_MAX,
				  "readers call here"),
		.admin = arg_str0(NULL, "admin", "IP:PORT",
				  "tests change keys here"),
		.keys = arg_file0(NULL, "keys", "DIR",
				  "keys at the start, a file each"),
		.end = arg_end(20),
	};
	void *table[] = { p.help, p.version, p.addrs, p.admin, p.keys, p.end };
	struct sim_args args = { program,
				 "A configuration service that readers can "
				 "only read.",
				 table,
				 p.help,
				 p.version,
				 p.end };
	int rc = sim_args_read(&args, argc, argv);

	if (rc == SIM_ARGS_RUN)
		rc = fill(&p, o);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
