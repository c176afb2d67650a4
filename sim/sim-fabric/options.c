#include "fabric.h"

#include <errno.h>

#define DEFAULT_SEED 1

static const char program[] = "sim-fabric";

/* Arguments in the form of argtable2. */
struct parsed {
	struct arg_lit *help, *version;
	struct arg_str *vips, *entries, *listen, *control;
	struct arg_int *seed;
	struct arg_end *end;
};

static int parse_addrs(const struct arg_str *arg, uint64_t *addrs)
{
	int rc = 0;
	int i;

	for (i = 0; i < arg->count; i++)
		rc |= sim_arg_addr(program, arg, i, &addrs[i]);
	return rc;
}

static int set_options(const struct parsed *p, struct fabric_options *o)
{
	int rc = parse_addrs(p->vips, o->vips);

	rc |= parse_addrs(p->entries, o->entries);
	rc |= sim_arg_addr(program, p->listen, 0, &o->listen);
	if (p->control->count)
		rc |= sim_arg_addr(program, p->control, 0, &o->control);
	rc |= sim_arg_range(program, p->seed, "seed", 1, INT32_MAX);
	o->n_vips = (uint32_t)p->vips->count;
	o->n_entries = (uint32_t)p->entries->count;
	o->seed = (uint64_t)p->seed->ival[0];
	return rc ? -EINVAL : 0;
}

/**
 * fabric_options_read() - parse and check the command line
 * @o: zeroed; receives the options
 * @argc: number of arguments
 * @argv: arguments
 *
 * Return: SIM_ARGS_RUN; SIM_ARGS_EXIT after --help or --version; -EINVAL after
 * printing every error.
 */
int fabric_options_read(struct fabric_options *o, int argc, char **argv)
{
	struct parsed p = {
		.help = arg_lit0(NULL, "help", "print this help and exit"),
		.version =
			arg_lit0(NULL, "version", "print the version and exit"),
		.vips = arg_strn(NULL, "vip", "IP:PORT", 1, FABRIC_VIPS_MAX,
				 "VIP, to which callers send"),
		.entries = arg_strn(NULL, "entry", "IP:PORT", 1,
				    FABRIC_ENTRIES_MAX,
				    "entry that receives datagrams"),
		.listen = arg_str1(NULL, "listen", "IP:PORT",
				   "address for answers of entries"),
		.control = arg_str0(NULL, "control", "IP:PORT",
				    "address of the control port"),
		.seed = arg_int0(NULL, "seed", "N",
				 "seed of random numbers [1]"),
		.end = arg_end(20),
	};
	void *table[] = { p.help,   p.version, p.vips, p.entries,
			  p.listen, p.control, p.seed, p.end };
	struct sim_args args = {
		program,
		"Simulates a network fabric that forwards each datagram to any "
		"entry.",
		table,
		p.help,
		p.version,
		p.end
	};
	int rc;

	p.seed->ival[0] = DEFAULT_SEED;
	rc = sim_args_read(&args, argc, argv);
	if (rc == SIM_ARGS_RUN)
		rc = set_options(&p, o);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
