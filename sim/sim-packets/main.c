/*
 * sim-packets: emulates a deployment for opaque flows on a simulated clock, with
 * faults, and prints what clients and targets observed.
 */
#include "world.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WARM_UP_NS (5 * NS_PER_S)

enum exit_code { EXIT_OK, EXIT_BROKEN, EXIT_USAGE };

/* Command line arguments; argtable requires end to be the last. */
struct args {
	struct arg_int *seeds;
	struct arg_int *first_seed;
	struct arg_int *seconds;
	struct arg_int *entries;
	struct arg_int *targets;
	struct arg_int *users;
	struct arg_int *feeds;
	struct arg_int *reports;
	struct arg_str *faults;
	struct arg_str *site;
	struct arg_str *load_control;
	struct arg_lit *recovery;
	struct arg_lit *evacuation;
	struct arg_lit *json;
	struct arg_lit *list;
	struct arg_lit *help;
	struct arg_end *end;
};

static struct args args_new(void)
{
	return (struct args){
		.seeds = arg_int0(NULL, "seeds", "N", "runs of each fault (1)"),
		.first_seed = arg_int0(NULL, "first-seed", "N",
				       "seed of the first run (1)"),
		.seconds = arg_int0(NULL, "seconds", "N",
				    "duration after the fault (12)"),
		.entries = arg_int0(NULL, "entries", "N",
				    "entries per data centre (3)"),
		.targets = arg_int0(NULL, "targets", "N",
				    "targets per data centre (5)"),
		.users = arg_int0(NULL, "users", "N",
				  "users with a feed, per data centre (90)"),
		.feeds = arg_int0(
			NULL, "feeds", "N",
			"feed requests a second, per data centre (90)"),
		.reports = arg_int0(NULL, "reports", "N",
				    "reports a second, per data centre (25)"),
		.faults = arg_strn(NULL, "fault", "NAME", 0, 64,
				   "fault of --list; default: all"),
		.site = arg_str0(NULL, "site", "NAME",
				 "plain, one-request-flows or long-flows "
				 "(plain); numbers above are of plain"),
		.load_control = arg_str0(NULL, "load-control", "MODE",
					 "auto, on or off (auto)"),
		.recovery = arg_lit0(NULL, "recovery",
				     "print recovery times after a power "
				     "loss of all entries"),
		.evacuation =
			arg_lit0(NULL, "evacuation",
				 "print times until evacuations are in force"),
		.json = arg_lit0(NULL, "json",
				 "print one line of JSON per run"),
		.list = arg_lit0(NULL, "list", "list the faults and exit"),
		.help = arg_lit0(NULL, "help", "print this help and exit"),
		.end = arg_end(8),
	};
}

static uint32_t number(const struct arg_int *a, uint32_t fallback)
{
	return a->count && a->ival[0] > 0 ? (uint32_t)a->ival[0] : fallback;
}

static void print(const struct args *a, const char *fault, uint64_t seed,
		  const struct world_report *r)
{
	const char *format =
		a->json->count
			? "{\"fault\":\"%s\",\"seed\":%llu,"
			  "\"requests\":%llu,\"in_aim\":%llu,"
			  "\"late\":%llu,\"failed\":%llu,"
			  "\"broken_rules\":%llu,\"swamped\":%llu,"
			  "\"probes\":%llu,\"store_calls\":%llu,"
			  "\"imbalance\":%.3f}\n"
			: "%-24s %5llu %8llu %7llu %5llu %6llu %6llu %7llu "
			  "%6llu %6llu %9.2f\n";

	printf(format, fault, (unsigned long long)seed,
	       (unsigned long long)r->requests, (unsigned long long)r->on_time,
	       (unsigned long long)r->late, (unsigned long long)r->failed,
	       (unsigned long long)world_broken_rules(r),
	       (unsigned long long)r->queue_full, (unsigned long long)r->probes,
	       (unsigned long long)r->store_calls, r->imbalance);
}

static void describe_plain_site(const struct args *a, struct site *s)
{
	struct site_size size = {
		.zones = 3,
		.entries = number(a->entries, 3),
		.targets = number(a->targets, 5),
		.users = number(a->users, 90),
		.feeds_per_s = number(a->feeds, 90),
		.reports_per_s = number(a->reports, 25),
	};

	site_default(s, &size);
}

/* Return: whether the names of the site and of the mode are known. */
static bool read_conf(const struct args *a, struct world_conf *conf,
		      struct policy *policy)
{
	static const char *const modes[] = { "auto", "on", "off" };
	const char *site = a->site->count ? a->site->sval[0] : "plain";
	const char *mode = a->load_control->count ? a->load_control->sval[0]
						  : modes[LOAD_CONTROL_AUTO];
	uint8_t i = 0;

	if (!strcmp(site, "plain"))
		describe_plain_site(a, &conf->site);
	else if (!strcmp(site, "one-request-flows"))
		site_one_request_flows(&conf->site);
	else if (!strcmp(site, "long-flows"))
		site_long_flows(&conf->site);
	else
		return false;
	while (i <= LOAD_CONTROL_OFF && strcmp(mode, modes[i]) != 0)
		i++;
	*policy = policy_default;
	policy->load_control = i;
	conf->policy = policy;
	return i <= LOAD_CONTROL_OFF;
}

/* Return: number of broken rules. */
static uint64_t run_fault(const struct args *a, const struct world_fault *f,
			  uint64_t seed)
{
	struct world_conf conf = { .seed = seed };
	struct policy policy;
	struct world_report r;
	struct world *w;

	if (!read_conf(a, &conf, &policy))
		return 1;
	w = world_new(&conf);
	if (!w)
		return 1;
	world_run(w, WARM_UP_NS);
	f->apply(w);
	world_run(w, number(a->seconds, 12) * NS_PER_S);
	world_report(w, &r);
	print(a, f->name, seed, &r);
	world_free(w);
	return world_broken_rules(&r);
}

static uint64_t run_seeds(const struct args *a, const struct world_fault *f)
{
	uint64_t broken = 0;

	for (uint32_t i = 0; i < number(a->seeds, 1); i++)
		broken += run_fault(a, f, number(a->first_seed, 1) + i);
	return broken;
}

static int run_named(const struct args *a)
{
	uint64_t broken = 0;

	for (int i = 0; i < a->faults->count; i++) {
		const struct world_fault *f =
			world_fault_find(a->faults->sval[i]);

		if (!f) {
			fprintf(stderr,
				"sim-packets: --fault %s: no such fault, see "
				"--list\n",
				a->faults->sval[i]);
			return EXIT_USAGE;
		}
		broken += run_seeds(a, f);
	}
	return broken ? EXIT_BROKEN : EXIT_OK;
}

static int run_all(const struct args *a)
{
	uint64_t broken = 0;

	for (uint32_t i = 0; i < n_world_faults; i++)
		broken += run_seeds(a, &world_faults[i]);
	return broken ? EXIT_BROKEN : EXIT_OK;
}

static int run_with_args(struct args *a, void **table, int argc, char **argv)
{
	int errors = arg_parse(argc, argv, table);
	struct world_conf conf = { 0 };
	struct policy policy;

	if (a->help->count) {
		printf("Usage: sim-packets");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-18s %s\n");
		return EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, a->end, "sim-packets");
		return EXIT_USAGE;
	}
	if (!read_conf(a, &conf, &policy)) {
		fprintf(stderr, "sim-packets: --site or --load-control: no "
				"such value, see --help\n");
		return EXIT_USAGE;
	}
	if (a->list->count) {
		for (uint32_t i = 0; i < n_world_faults; i++)
			printf("%-24s %s\n", world_faults[i].name,
			       world_faults[i].help);
		return EXIT_OK;
	}
	if (a->recovery->count)
		return recovery_table(number(a->first_seed, 1),
				      number(a->seeds, 1),
				      number(a->entries, 3))
			       ? EXIT_BROKEN
			       : EXIT_OK;
	if (a->evacuation->count)
		return evacuation_table(number(a->first_seed, 1),
					number(a->seeds, 1),
					number(a->entries, 3))
			       ? EXIT_BROKEN
			       : EXIT_OK;
	if (!a->json->count)
		printf("%-24s %5s %8s %7s %5s %6s %6s %7s %6s %6s %9s\n",
		       "fault", "seed", "requests", "in aim", "late", "failed",
		       "broken", "swamped", "probes", "calls", "imbalance");
	return a->faults->count ? run_named(a) : run_all(a);
}

int main(int argc, char **argv)
{
	struct args a = args_new();
	void *table[] = { a.seeds,	a.first_seed,	a.seconds,
			  a.entries,	a.targets,	a.users,
			  a.feeds,	a.reports,	a.faults,
			  a.site,	a.load_control, a.recovery,
			  a.evacuation, a.json,		a.list,
			  a.help,	a.end };
	int code = EXIT_USAGE;

	if (!arg_nullcheck(table))
		code = run_with_args(&a, table, argc, argv);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
