/*
 * Time from the store's answer to the operator until an evacuation is in force
 * at every entry, over many seeds, sizes and states of the store.
 */
#include "world_state.h"

#include <stdio.h>
#include <stdlib.h>

#define WARM_UP_NS (4 * NS_PER_S)
#define STEP_NS (2 * NS_PER_MS)
#define GIVE_UP_NS (20 * NS_PER_S)
#define ZONES 3
/* Targets of the first service in each data centre. */
#define TARGETS 60
#define CHURN_NS (10 * NS_PER_MS)
#define STORM_NS (330 * NS_PER_MS)

static void calm(struct world *w)
{
	(void)w;
}

static void on_churn(struct world *w, const struct event *e)
{
	uint32_t i = (uint32_t)(rng_next(&w->rng) % w->n_targets);

	(void)e;
	store_publish_target(w, &w->targets[i]);
	world_schedule(w, CHURN_NS, on_churn, 0, 0, 0);
}

/* A target publishes its record a hundred times a second. */
static void churn(struct world *w)
{
	world_schedule(w, 0, on_churn, 0, 0, 0);
}

static void on_storm(struct world *w, const struct event *e)
{
	if (e->arg0)
		world_drop_route(w);
	else
		world_add_route(w);
	world_schedule(w, STORM_NS, on_storm, !e->arg0, 0, 0);
}

static void storm(struct world *w)
{
	world_schedule(w, 0, on_storm, 0, 0, 0);
}

static void slow(struct world *w)
{
	world_store_slow(w, 300 * NS_PER_MS, GIVE_UP_NS);
}

static void refuses_half(struct world *w)
{
	for (uint32_t i = 0; i < w->n_entries; i += 2)
		world_set_store_mode(w, i, STORE_REFUSES, GIVE_UP_NS);
}

static const struct {
	const char *name;
	void (*apply)(struct world *w);
} conditions[EVACUATION_CONDITIONS] = {
	{ "calm", calm },
	{ "targets publish records", churn },
	{ "configurations change", storm },
	{ "the store is slow", slow },
	{ "refuses every other entry", refuses_half },
};

static bool in_force(const struct sim_entry *e)
{
	return directory_evacuations(e->node->directory)->n > 0;
}

/**
 * evacuation_run() - emulate the evacuation of one data centre
 * @seed: of the random numbers
 * @entries: number in each of three data centres
 * @condition: other activity, below EVACUATION_CONDITIONS
 * @in_force_ns: receives the time until the evacuation was in force, for each
 *	of the 3 * @entries entries; 0 where it was not
 */
void evacuation_run(uint64_t seed, uint32_t entries, uint32_t condition,
		    uint64_t *in_force_ns)
{
	struct site_size size = { ZONES, entries, TARGETS, 0, 0, 0 };
	struct world_conf conf = { .seed = seed };
	struct world *w;
	uint64_t from_ns;
	uint32_t left = ZONES * entries;

	for (uint32_t i = 0; i < left; i++)
		in_force_ns[i] = 0;
	site_default(&conf.site, &size);
	w = world_new(&conf);
	if (!w)
		return;
	conditions[condition].apply(w);
	/* Start at a random point of a watch. */
	world_run(w, WARM_UP_NS + rng_next(&w->rng) % NS_PER_S);
	world_evacuate(w, 0, true);
	from_ns = w->now_ns;
	while (left && w->now_ns < from_ns + GIVE_UP_NS) {
		world_run(w, STEP_NS);
		for (uint32_t i = 0; i < w->n_entries; i++) {
			if (in_force_ns[i] || !in_force(&w->entries[i]))
				continue;
			in_force_ns[i] = w->now_ns - from_ns;
			left--;
		}
	}
	world_free(w);
}

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static void print(const char *name, uint64_t *ns, uint32_t n, uint32_t entries)
{
	qsort(ns, n, sizeof(*ns), compare);
	printf("%-28s %4u %5llu %5llu %5llu\n", name, ZONES * entries,
	       (unsigned long long)(ns[n / 2] / NS_PER_MS),
	       (unsigned long long)(ns[n * 99ULL / 100] / NS_PER_MS),
	       (unsigned long long)(ns[n - 1] / NS_PER_MS));
}

/**
 * evacuation_table() - run and print all conditions
 * @first_seed: seed of the first run; later ones count up
 * @seeds: runs of each condition
 * @entries: number in each of three data centres
 *
 * Return: number of entries at which an evacuation did not come into force, or
 * -1 without memory.
 */
int evacuation_table(uint64_t first_seed, uint32_t seeds, uint32_t entries)
{
	uint32_t n = ZONES * entries;
	uint64_t *all = calloc((size_t)seeds * n, sizeof(*all));
	int failures = 0;

	if (!all)
		return -1;
	printf("%-28s %4s %5s %5s %5s\n", "meanwhile", "VMs", "p50", "p99",
	       "most, ms");
	for (uint32_t c = 0; c < EVACUATION_CONDITIONS; c++) {
		for (uint32_t i = 0; i < seeds; i++)
			evacuation_run(first_seed + i, entries, c,
				       all + (size_t)i * n);
		for (uint32_t i = 0; i < seeds * n; i++)
			failures += !all[i];
		print(conditions[c].name, all, seeds * n, entries);
	}
	free(all);
	return failures;
}
