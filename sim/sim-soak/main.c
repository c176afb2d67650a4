/*
 * sim-soak: real cb-packet processes under random faults, for a number of
 * seeds; what must never happen is judged by what clients and targets see.
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
#define ASK_NS (250 * NS_PER_MS)
#define WARM_UP_NS (4 * NS_PER_S)
/* A restored store is judged once all has settled: 10 s after the fault. */
#define CALM_NS (11 * NS_PER_S)
#define FAULT_GAP_NS (1500 * NS_PER_MS)
/* Least part of the requests that is served over a run, all faults in it. */
#define SERVED_LEAST 0.80

enum exit_code { EXIT_OK, EXIT_BROKEN, EXIT_USAGE };

/* Faults of the emulator that work on real processes: its cuts do not, the
 * proxies have their own. */
static const char *const world_names[] = {
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
};

static void reset_connections(struct soak *s);

/* Faults of connections and processes. */
static const struct {
	const char *name;
	void (*apply)(struct soak *s);
} own_faults[] = {
	{ "store_fronts_restart", reset_connections },
	{ "links_reset", proxy_reset },
	{ "links_silent", proxy_silence },
	{ "answers_lost", proxy_lose_answers },
	{ "requests_lost", proxy_lose_requests },
	{ "links_slow", proxy_slow },
	{ "reload", processes_reload },
};

#define N_WORLD (sizeof(world_names) / sizeof(world_names[0]))
#define N_OWN (sizeof(own_faults) / sizeof(own_faults[0]))

/**
 * soak_advance() - bring the world to the present
 * @s: run
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
	sockets_tick(s);
	publish_tick(s);
}

static void pass(struct soak *s, uint64_t ns)
{
	uint64_t end_ns = uv_hrtime() + ns;
	uint64_t ask_ns = 0;

	while (uv_hrtime() < end_ns) {
		if (uv_hrtime() >= ask_ns) {
			processes_ask(s);
			ask_ns = uv_hrtime() + ASK_NS;
		}
		uv_run(&s->loop, UV_RUN_ONCE);
	}
}

static void reset_connections(struct soak *s)
{
	for (uint32_t i = 0; i < s->world->n_entries; i++) {
		publish_close(s, i);
		if (publish_open(s, i))
			fprintf(stderr, "the store's front %u is gone\n", i);
	}
}

static void apply(struct soak *s, uint32_t k)
{
	printf(" %s",
	       k < N_WORLD ? world_names[k] : own_faults[k - N_WORLD].name);
	fflush(stdout);
	if (k < N_WORLD)
		world_fault_find(world_names[k])->apply(s->world);
	else
		own_faults[k - N_WORLD].apply(s);
}

static uint32_t fault_find(const char *name)
{
	uint32_t k = 0;

	while (k < N_WORLD && strcmp(world_names[k], name))
		k++;
	if (k < N_WORLD)
		return k;
	while (k < N_WORLD + N_OWN &&
	       strcmp(own_faults[k - N_WORLD].name, name))
		k++;
	return k;
}

/**
 * struct soak_plan - which faults
 * @n: how many
 * @names: those, or NULL: they are drawn
 */
struct soak_plan {
	uint32_t n;
	const char **names;
};

/* Named ones keep the pauses of the seed that drew them. */
static void play_faults(struct soak *s, struct rng *rng,
			const struct soak_plan *plan)
{
	for (uint32_t i = 0; i < plan->n; i++) {
		uint32_t k = (uint32_t)(rng_next(rng) % (N_WORLD + N_OWN));

		apply(s, plan->names ? fault_find(plan->names[i]) : k);
		pass(s, rng_next(rng) % (2 * FAULT_GAP_NS));
	}
}

static int open_all(struct soak *s)
{
	int err;

	for (uint32_t i = 0; i < s->world->n_entries; i++) {
		err = publish_open(s, i);
		if (!err)
			err = proxy_open(s, i);
		if (err)
			return err;
	}
	err = processes_open(s);
	return err ? err : sockets_open(s);
}

static void prepare(struct soak *s, const char *program, const char *dir)
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

/* Return: whether rules were kept and clients were served. */
static bool judge(const struct world *w)
{
	struct world_report r;
	double served;

	world_report(w, &r);
	served = r.requests ? (double)(r.on_time + r.late) / (double)r.requests
			    : 0;
	printf("\n  requests %llu served %.4f misrouted %llu broken %llu late "
	       "drain %llu evacuated %llu overrun %llu stale %llu doubled "
	       "%llu\n",
	       (unsigned long long)r.requests, served,
	       (unsigned long long)r.misrouted, (unsigned long long)r.broken,
	       (unsigned long long)r.late_drain,
	       (unsigned long long)r.evacuated, (unsigned long long)r.overrun,
	       (unsigned long long)r.stale, (unsigned long long)r.doubled);
	return !world_broken_rules(&r) && served >= SERVED_LEAST;
}

static bool run_fault(const char *program, const char *dir, uint64_t seed,
		      const struct soak_plan *plan)
{
	static struct soak s; /* large for a stack */
	struct rng rng = { hash_u64(seed, 2) | 1 };
	struct site_size size = { 2, 2, 5, 40, 40, 10 };
	struct world_conf conf = { .seed = seed };
	bool kept;

	site_default(&conf.site, &size);
	prepare(&s, program, dir);
	conf.driver = processes_driver(&s);
	s.world = world_new(&conf);
	if (!s.world)
		return false;
	s.start_ns = uv_hrtime();
	s.world_ns = s.world->now_ns;
	if (open_all(&s)) {
		fprintf(stderr, "sim-soak: addresses are in use\n");
		exit(EXIT_USAGE);
	}
	uv_timer_start(&s.timer, on_tick, 0, TICK_MS);
	printf("seed %llu:", (unsigned long long)seed);
	pass(&s, WARM_UP_NS);
	play_faults(&s, &rng, plan);
	pass(&s, CALM_NS);
	kept = judge(s.world);
	processes_end(&s);
	for (uint32_t i = 0; i < s.world->n_entries; i++) {
		proxy_close(&s, i);
		publish_close(&s, i);
	}
	sockets_close(&s);
	world_free(s.world);
	return kept;
}

/* Arguments; end stands last, as argtable wants it. */
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
	for (uint32_t i = 0; i < N_WORLD; i++)
		printf("%s\n", world_names[i]);
	for (uint32_t i = 0; i < N_OWN; i++)
		printf("%s\n", own_faults[i].name);
}

/* Return: the name that is no fault, or NULL. */
static const char *unknown_fault(const struct arg_str *names)
{
	for (int i = 0; i < names->count; i++)
		if (fault_find(names->sval[i]) == N_WORLD + N_OWN)
			return names->sval[i];
	return NULL;
}

static int with_args(struct args *a, void **table, int argc, char **argv)
{
	int errors = arg_parse(argc, argv, table);
	uint32_t seeds, first, failed = 0;
	struct soak_plan plan = { 6, NULL };

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
		plan = (struct soak_plan){ (uint32_t)a->names->count,
					   a->names->sval };
	for (uint32_t i = 0; i < seeds; i++)
		failed += !run_fault(a->program->sval[0], a->dir->sval[0],
				     first + i, &plan);
	printf("%u passed, %u failed\n", seeds - failed, failed);
	return failed ? EXIT_BROKEN : EXIT_OK;
}

int main(int argc, char **argv)
{
	struct args a = {
		.program = arg_str0(NULL, "program", "FILE", "cb-packet"),
		.dir = arg_str0(NULL, "dir", "DIR", "settings and logs"),
		.seeds = arg_int0(NULL, "seeds", "N", "runs (1)"),
		.first = arg_int0(NULL, "first-seed", "N", "(1)"),
		.faults = arg_int0(NULL, "faults", "N", "faults a run (6)"),
		.names = arg_strn(NULL, "fault", "NAME", 0, 32,
				  "these, one after the other"),
		.list = arg_lit0(NULL, "list", "name the faults and stop"),
		.help = arg_lit0(NULL, "help", "print this and stop"),
		.end = arg_end(8),
	};
	void *table[] = { a.program, a.dir,  a.seeds, a.first, a.faults,
			  a.names,   a.list, a.help,  a.end };
	int code = EXIT_USAGE;

	signal(SIGPIPE, SIG_IGN);
	if (!arg_nullcheck(table))
		code = with_args(&a, table, argc, argv);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
