#include "target.h"

#include <errno.h>

#define DEFAULT_SLOTS 2
#define DEFAULT_QUEUE 20
#define DEFAULT_CONNECTIONS 2000
#define DEFAULT_WORK_MS 20
#define DEFAULT_FEED_MS 1000
#define DEFAULT_SEED 1
#define SERVICE_MAX_CHARS 63

static const char program[] = "sim-target";

/* Arguments in the form of argtable2. */
struct parsed {
	struct arg_lit *help, *version, *no_dedup;
	struct arg_str *addr, *service, *control;
	struct arg_file *runs;
	struct arg_int *slots, *queue, *connections, *work, *feed, *lag, *lie;
	struct arg_int *seed;
	struct arg_end *end;
};

static void set_defaults(struct parsed *p)
{
	p->slots->ival[0] = DEFAULT_SLOTS;
	p->queue->ival[0] = DEFAULT_QUEUE;
	p->connections->ival[0] = DEFAULT_CONNECTIONS;
	p->work->ival[0] = DEFAULT_WORK_MS;
	p->feed->ival[0] = DEFAULT_FEED_MS;
	p->lag->ival[0] = 0;
	p->lie->ival[0] = -1;
	p->seed->ival[0] = DEFAULT_SEED;
}

static int check_ranges(const struct parsed *p)
{
	int rc = 0;

	rc |= sim_arg_range(program, p->slots, "slots", 1, 1024);
	rc |= sim_arg_range(program, p->queue, "queue", 0, 100000);
	rc |= sim_arg_range(program, p->connections, "connections", 0, 65535);
	rc |= sim_arg_range(program, p->work, "work-ms", 0, 600000);
	rc |= sim_arg_range(program, p->feed, "feed-ms", 10, 600000);
	rc |= sim_arg_range(program, p->lag, "load-lag-ms", 0, 600000);
	rc |= sim_arg_range(program, p->lie, "load-lie", -1, 65535);
	rc |= sim_arg_range(program, p->seed, "seed", 1, INT32_MAX);
	return rc ? -EINVAL : 0;
}

static int check_service(const char *name)
{
	size_t n = strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-_");

	if (n > 0 && n <= SERVICE_MAX_CHARS && !name[n])
		return 0;
	fprintf(stderr,
		"%s: --service=%s: expected 1 to %d of a-z, 0-9, - and _\n",
		program, name, SERVICE_MAX_CHARS);
	return -EINVAL;
}

static int check(const struct parsed *p, struct target_options *o)
{
	int rc = check_ranges(p);

	rc |= check_service(p->service->sval[0]);
	rc |= sim_arg_addr(program, p->addr, 0, &o->addr);
	if (p->control->count)
		rc |= sim_arg_addr(program, p->control, 0, &o->control);
	return rc ? -EINVAL : 0;
}

static void set_options(const struct parsed *p, struct target_options *o)
{
	o->service = p->service->sval[0];
	o->runs_path = p->runs->count ? p->runs->filename[0] : NULL;
	o->n_slots = (uint32_t)p->slots->ival[0];
	o->queue_max = (uint32_t)p->queue->ival[0];
	o->connections_max = (uint32_t)p->connections->ival[0];
	o->work_ns = (uint64_t)p->work->ival[0] * NS_PER_MS;
	o->feed_ns = (uint64_t)p->feed->ival[0] * NS_PER_MS;
	o->load_lag_ns = (uint64_t)p->lag->ival[0] * NS_PER_MS;
	o->load_constant = p->lie->ival[0];
	o->no_dedup = p->no_dedup->count > 0;
	o->seed = (uint64_t)p->seed->ival[0];
}

/**
 * target_options_read() - parse and check the command line
 * @o: zeroed; receives the options, whose strings belong to @argv
 * @argc: number of arguments
 * @argv: arguments
 *
 * Return: SIM_ARGS_RUN; SIM_ARGS_EXIT after --help or --version; -EINVAL after
 * printing every error.
 */
int target_options_read(struct target_options *o, int argc, char **argv)
{
	struct parsed p = {
		.help = arg_lit0(NULL, "help", "print this help and exit"),
		.version =
			arg_lit0(NULL, "version", "print the version and exit"),
		.no_dedup =
			arg_lit0(NULL, "no-dedup", "run retransmissions again"),
		.addr = arg_str1(NULL, "addr", "IP:PORT",
				 "address of the endpoint"),
		.service = arg_str1(NULL, "service", "NAME", "service"),
		.control = arg_str0(NULL, "control", "IP:PORT",
				    "address of the control port"),
		.runs = arg_file0(NULL, "runs", "FILE",
				  "append to this run log"),
		.slots = arg_int0(NULL, "slots", "N", "running requests [2]"),
		.queue = arg_int0(NULL, "queue", "N", "queued requests [20]"),
		.connections =
			arg_int0(NULL, "connections", "N", "open feeds [2000]"),
		.work = arg_int0(NULL, "work-ms", "MS",
				 "duration of a request [20]"),
		.feed = arg_int0(NULL, "feed-ms", "MS",
				 "period of notifications [1000]"),
		.lag = arg_int0(NULL, "load-lag-ms", "MS",
				"greatest age of load reports [0]"),
		.lie = arg_int0(NULL, "load-lie", "N",
				"always report N running requests"),
		.seed = arg_int0(NULL, "seed", "N",
				 "seed of random faults [1]"),
		.end = arg_end(20),
	};
	void *table[] = { p.help,	 p.version,  p.addr,  p.service,
			  p.control,	 p.runs,     p.slots, p.queue,
			  p.connections, p.work,     p.feed,  p.lag,
			  p.lie,	 p.no_dedup, p.seed,  p.end };
	struct sim_args args = {
		program,   "Simulates a target that serves CoAP.",
		table,	   p.help,
		p.version, p.end
	};
	int rc;

	set_defaults(&p);
	rc = sim_args_read(&args, argc, argv);
	if (rc == SIM_ARGS_RUN)
		rc = check(&p, o);
	if (rc == SIM_ARGS_RUN)
		set_options(&p, o);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
