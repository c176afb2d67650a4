/*
 * sim-soak: runs real cb-packet processes under random faults, for a number of
 * seeds. The rules are checked on what clients and targets observe.
 */
#include "soak.h"

#include <argtable2.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define TICK_MS 5
#define READINESS_POLL_NS (250 * NS_PER_MS)
#define WARM_UP_NS (4 * NS_PER_S)
/* The rules for a restored store apply 10 s after the fault at the earliest. */
#define FINAL_WAIT_NS (11 * NS_PER_S)
/* Pauses between faults are drawn between 0 and twice this time. */
#define MEAN_FAULT_GAP_NS (1500 * NS_PER_MS)
/* Least share of the requests served over a run, including its faults. */
#define MIN_SERVED_SHARE 0.80
/* Rate of the classes that site_default() doesn't have. */
#define EXTRA_PER_S 5

enum exit_code { EXIT_OK, EXIT_FAILED, EXIT_USAGE };

/*
 * Faults of sim-packets that work on real processes. Its network partitions do
 * not; the proxies have faults of connections instead.
 */
static const char *const world_fault_names[] = {
	"kill_entry",
	"kill_entries",
	"stop_entry",
	"roll",
	"freeze",
	"kill_target",
	"darken_targets",
	"reuse",
	"reuse_store_down",
	"release",
	"store_down",
	"store_lapse",
	"store_refuses_half",
	"store_silent_release",
	"store_restored",
	"store_restored_few_see",
	"store_restored_twice",
	"store_restored_mid_listing",
	"store_restored_and_kill_entries",
	"store_restored_and_roll",
	"store_restored_and_release",
	"storm",
	"add_route",
	"targets_fail",
	"targets_hang",
	"burst_of_one_class",
	"unreachable_targets",
};

static void restart_store_servers(struct soak *s);

/* Faults of connections and processes that only sim-soak has. */
static const struct {
	const char *name;
	void (*apply)(struct soak *s);
} soak_faults[] = {
	{ "store_fronts_restart", restart_store_servers },
	{ "links_reset", proxy_reset },
	{ "links_silent", proxy_silence },
	{ "answers_lost", proxy_drop_answers },
	{ "requests_lost", proxy_drop_requests },
	{ "links_slow", proxy_delay },
	{ "reload", processes_reload },
};

#define N_WORLD_FAULTS \
	(sizeof(world_fault_names) / sizeof(world_fault_names[0]))
#define N_SOAK_FAULTS (sizeof(soak_faults) / sizeof(soak_faults[0]))

/**
 * soak_advance() - run the world up to the current real time
 * @s: run, started
 */
void soak_advance(struct soak *s)
{
	uint64_t real_ns = uv_hrtime() - s->start_ns + s->world_ns;

	if (real_ns > s->world->now_ns)
		world_run(s->world, real_ns - s->world->now_ns);
}

static void on_tick(uv_timer_t *timer)
{
	struct soak *s = timer->data;

	soak_advance(s);
	sockets_accept_probes(s);
	store_server_answer_watches(s);
}

static void run_loop_for(struct soak *s, uint64_t ns)
{
	uint64_t end_ns = uv_hrtime() + ns;
	uint64_t next_poll_ns = 0;

	while (uv_hrtime() < end_ns) {
		if (uv_hrtime() >= next_poll_ns) {
			processes_poll_readiness(s);
			next_poll_ns = uv_hrtime() + READINESS_POLL_NS;
		}
		uv_run(&s->loop, UV_RUN_ONCE);
	}
}

static void restart_store_servers(struct soak *s)
{
	for (uint32_t i = 0; i < s->world->n_entries; i++) {
		store_server_close(s, i);
		if (store_server_open(s, i))
			fprintf(stderr,
				"sim-soak: cannot reopen the store server of "
				"entry %u\n",
				i);
	}
}

static void apply_fault(struct soak *s, uint32_t k)
{
	printf(" %s", k < N_WORLD_FAULTS
			      ? world_fault_names[k]
			      : soak_faults[k - N_WORLD_FAULTS].name);
	fflush(stdout);
	if (k < N_WORLD_FAULTS)
		world_fault_find(world_fault_names[k])->apply(s->world);
	else
		soak_faults[k - N_WORLD_FAULTS].apply(s);
}

static uint32_t fault_find(const char *name)
{
	uint32_t k = 0;

	while (k < N_WORLD_FAULTS && strcmp(world_fault_names[k], name))
		k++;
	if (k < N_WORLD_FAULTS)
		return k;
	while (k < N_WORLD_FAULTS + N_SOAK_FAULTS &&
	       strcmp(soak_faults[k - N_WORLD_FAULTS].name, name))
		k++;
	return k;
}

/**
 * struct fault_plan - faults of a run
 * @n: number of faults
 * @names: their names, or NULL to draw them at random from the seed
 */
struct fault_plan {
	uint32_t n;
	const char **names;
};

/*
 * Draws a fault even if it is named, so that named faults keep the pauses of
 * the seed that drew them.
 */
static void inject_faults(struct soak *s, struct rng *rng,
			  const struct fault_plan *plan)
{
	for (uint32_t i = 0; i < plan->n; i++) {
		uint32_t k = (uint32_t)(rng_next(rng) %
					(N_WORLD_FAULTS + N_SOAK_FAULTS));

		apply_fault(s, plan->names ? fault_find(plan->names[i]) : k);
		run_loop_for(s, rng_next(rng) % (2 * MEAN_FAULT_GAP_NS));
	}
}

static int open_all(struct soak *s)
{
	int err;

	for (uint32_t i = 0; i < s->world->n_entries; i++) {
		err = store_server_open(s, i);
		if (!err)
			err = proxy_open(s, i);
		if (err)
			return err;
	}
	err = processes_open(s);
	return err ? err : sockets_open(s);
}

static void soak_init(struct soak *s, const char *program, const char *dir)
{
	memset(s, 0, sizeof(*s));
	s->program = program;
	s->dir = dir;
	uv_loop_init(&s->loop);
	uv_timer_init(&s->loop, &s->timer);
	s->timer.data = s;
	for (uint32_t i = 0; i < ENTRIES_MAX; i++) {
		s->entries[i].soak = s;
		s->entries[i].index = i;
	}
}

/*
 * Prints the report of a run.
 * Return: no rule was broken and enough requests were served.
 */
static bool print_and_check_report(const struct world *w)
{
	struct world_report r;
	double served_share;

	world_report(w, &r);
	served_share =
		r.requests ? (double)(r.on_time + r.late) / (double)r.requests
			   : 0;
	printf("\n  requests %llu served %.4f misrouted %llu broken %llu late "
	       "drain %llu evacuated %llu overrun %llu stale %llu doubled "
	       "%llu\n",
	       (unsigned long long)r.requests, served_share,
	       (unsigned long long)r.misrouted, (unsigned long long)r.broken,
	       (unsigned long long)r.late_drain,
	       (unsigned long long)r.evacuated, (unsigned long long)r.overrun,
	       (unsigned long long)r.stale, (unsigned long long)r.doubled);
	return !world_broken_rules(&r) && served_share >= MIN_SERVED_SHARE;
}

/* Adds a class, with a few requests a second in each data centre. */
static void add_class(struct site *s, const struct site_class *c)
{
	for (uint32_t z = 0; z < s->n_zones; z++)
		s->zones[z].per_s[s->n_classes] = EXTRA_PER_S;
	s->classes[s->n_classes++] = *c;
}

/*
 * The default deployment with downloads, which call for load control, and with
 * requests on long flows that may not be repeated.
 */
static void describe_site(struct site *s)
{
	static const struct site_size size = { 2, 2, 5, 40, 40, 10 };
	static const struct site_class download = {
		.name = "download",
		.kind = ROUTE_DOWNLOAD,
		.priority = 2,
		.work_ns = { 5 * NS_PER_MS, 50, 30 * NS_PER_MS },
		.request_bytes = { 200, 0, 0 },
		.answer_bytes = { 20000, 70, 120000 },
		.objective_ns = 800 * NS_PER_MS,
		.deadline_ns = 4 * NS_PER_S,
		.value = 1,
		.late_value = 0.3,
		.retries = 2,
	};
	static const struct site_class application = {
		.name = "application",
		.kind = ROUTE_REPORT,
		.priority = 1,
		.work_ns = { 61 * NS_PER_MS, 50, 366 * NS_PER_MS },
		.request_bytes = { 900, 50, 5400 },
		.answer_bytes = { 600, 50, 3600 },
		.objective_ns = 400 * NS_PER_MS,
		.deadline_ns = 2500 * NS_PER_MS,
		.value = 2,
		.late_value = 0.6,
		.retries = 2,
		.long_flows = true,
	};

	site_default(s, &size);
	add_class(s, &download);
	add_class(s, &application);
}

static bool run_seed(const char *program, const char *dir, uint64_t seed,
		     const struct fault_plan *plan)
{
	static struct soak s; /* too large for the stack */
	struct rng rng = { hash_u64(seed, 2) | 1 };
	struct world_conf conf = { .seed = seed };
	bool passed;

	describe_site(&conf.site);
	soak_init(&s, program, dir);
	conf.driver = processes_driver(&s);
	s.world = world_new(&conf);
	if (!s.world)
		return false;
	s.start_ns = uv_hrtime();
	s.world_ns = s.world->now_ns;
	if (open_all(&s)) {
		fprintf(stderr, "sim-soak: cannot open the sockets; addresses "
				"in use?\n");
		exit(EXIT_USAGE);
	}
	uv_timer_start(&s.timer, on_tick, 0, TICK_MS);
	printf("seed %llu:", (unsigned long long)seed);
	run_loop_for(&s, WARM_UP_NS);
	inject_faults(&s, &rng, plan);
	run_loop_for(&s, FINAL_WAIT_NS);
	passed = print_and_check_report(s.world);
	processes_kill(&s);
	for (uint32_t i = 0; i < s.world->n_entries; i++) {
		proxy_close(&s, i);
		store_server_close(&s, i);
	}
	sockets_close(&s);
	world_free(s.world);
	return passed;
}

/* Arguments; argtable needs end last. */
struct args {
	struct arg_str *program;
	struct arg_str *dir;
	struct arg_int *seeds;
	struct arg_int *first;
	struct arg_int *faults;
	struct arg_str *names;
	struct arg_lit *list;
	struct arg_lit *help;
	struct arg_end *end;
};

static void list_faults(void)
{
	for (uint32_t i = 0; i < N_WORLD_FAULTS; i++)
		printf("%s\n", world_fault_names[i]);
	for (uint32_t i = 0; i < N_SOAK_FAULTS; i++)
		printf("%s\n", soak_faults[i].name);
}

/* Return: the first name that is not a fault, or NULL. */
static const char *unknown_fault(const struct arg_str *names)
{
	for (int i = 0; i < names->count; i++)
		if (fault_find(names->sval[i]) ==
		    N_WORLD_FAULTS + N_SOAK_FAULTS)
			return names->sval[i];
	return NULL;
}

static int run_with_args(struct args *a, void **table, int argc, char **argv)
{
	int errors = arg_parse(argc, argv, table);
	uint32_t seeds, first, failed = 0;
	struct fault_plan plan = { 6, NULL };

	if (a->help->count) {
		printf("Usage: sim-soak");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-18s %s\n");
		return EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, a->end, "sim-soak");
		return EXIT_USAGE;
	}
	if (a->list->count) {
		list_faults();
		return EXIT_OK;
	}
	if (!a->program->count || !a->dir->count || unknown_fault(a->names)) {
		fprintf(stderr, "sim-soak: %s\n",
			unknown_fault(a->names)
				? "--fault: no such fault, see --list"
				: "--program and --dir are needed");
		return EXIT_USAGE;
	}
	seeds = a->seeds->count ? (uint32_t)a->seeds->ival[0] : 1;
	first = a->first->count ? (uint32_t)a->first->ival[0] : 1;
	if (a->faults->count)
		plan.n = (uint32_t)a->faults->ival[0];
	if (a->names->count)
		plan = (struct fault_plan){ (uint32_t)a->names->count,
					    a->names->sval };
	for (uint32_t i = 0; i < seeds; i++)
		failed += !run_seed(a->program->sval[0], a->dir->sval[0],
				    first + i, &plan);
	printf("%u passed, %u failed\n", seeds - failed, failed);
	return failed ? EXIT_FAILED : EXIT_OK;
}

int main(int argc, char **argv)
{
	struct args a = {
		.program = arg_str0(NULL, "program", "FILE", "cb-packet"),
		.dir = arg_str0(NULL, "dir", "DIR", "settings and logs"),
		.seeds = arg_int0(NULL, "seeds", "N", "runs (1)"),
		.first = arg_int0(NULL, "first-seed", "N",
				  "seed of the first run (1)"),
		.faults = arg_int0(NULL, "faults", "N", "faults a run (6)"),
		.names = arg_strn(NULL, "fault", "NAME", 0, 32,
				  "inject these faults in this order"),
		.list = arg_lit0(NULL, "list", "name the faults and stop"),
		.help = arg_lit0(NULL, "help", "print this and stop"),
		.end = arg_end(8),
	};
	void *table[] = { a.program, a.dir,  a.seeds, a.first, a.faults,
			  a.names,   a.list, a.help,  a.end };
	int code = EXIT_USAGE;

	signal(SIGPIPE, SIG_IGN);
	if (!arg_nullcheck(table))
		code = run_with_args(&a, table, argc, argv);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
