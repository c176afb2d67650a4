/*
 * Recovery time of a deployment after a power loss of all entries, over many
 * seeds and with the store in several states.
 */
#include "world_state.h"

#include <stdio.h>
#include <stdlib.h>

#define WARM_UP_NS (4 * NS_PER_S)
#define STEP_NS (2 * NS_PER_MS)
#define GIVE_UP_NS (20 * NS_PER_S)
#define ZONES 3
#define ENTRIES RECOVERY_ENTRIES_MAX

static void store_answers(struct world *w)
{
	(void)w;
}

/* Fifty times its normal 4 ms. */
static void slow(struct world *w)
{
	world_store_slow(w, 200 * NS_PER_MS, GIVE_UP_NS);
}

static void refuses_half(struct world *w)
{
	for (uint32_t i = 0; i < w->n_entries; i += 2)
		world_set_store_mode(w, i, STORE_REFUSES, GIVE_UP_NS);
}

static void silent_to_half(struct world *w)
{
	for (uint32_t i = 1; i < w->n_entries; i += 2)
		world_set_store_mode(w, i, STORE_SILENT, GIVE_UP_NS);
}

static void down(struct world *w)
{
	world_store_down(w, 2 * NS_PER_S, false);
}

static const struct {
	const char *name;
	void (*apply)(struct world *w);
} conditions[RECOVERY_CONDITIONS] = {
	{ "answers", store_answers },
	{ "answers in 200 ms", slow },
	{ "refuses every other entry", refuses_half },
	{ "silent to every other entry", silent_to_half },
	{ "down for 2 s", down },
};

static bool all_agree(const struct world *w)
{
	for (uint32_t i = 0; i < w->n_entries; i++) {
		const struct sim_entry *e = &w->entries[i];

		if (!e->up || !e->node->ready ||
		    documents_newest(e->node->documents).revision < w->revision)
			return false;
	}
	return true;
}

/* Return: the earliest start, 0 before it. *last_ns is set when all run. */
static uint64_t record_starts(const struct world *w,
			      uint64_t started_ns[ENTRIES], uint64_t *last_ns)
{
	uint64_t first_ns = 0;
	uint32_t running = 0;

	for (uint32_t i = 0; i < w->n_entries; i++) {
		if (!started_ns[i] && w->entries[i].up)
			started_ns[i] = w->now_ns;
		if (!started_ns[i])
			continue;
		running++;
		if (!first_ns || started_ns[i] < first_ns)
			first_ns = started_ns[i];
		if (started_ns[i] > *last_ns)
			*last_ns = started_ns[i];
	}
	if (running < w->n_entries)
		*last_ns = 0;
	return first_ns;
}

static void record_ready(const struct world *w,
			 const uint64_t started_ns[ENTRIES], uint64_t first_ns,
			 struct recovery *r)
{
	for (uint32_t i = 0; i < w->n_entries; i++) {
		if (r->ready_ns[i] || !w->entries[i].up ||
		    !w->entries[i].node->ready)
			continue;
		r->ready_ns[i] = w->now_ns - started_ns[i];
		if (!r->first_ready_ns)
			r->first_ready_ns = w->now_ns - first_ns;
	}
}

/**
 * recovery_run() - emulate one power loss of all entries
 * @seed: of the random numbers
 * @entries: number in each of three data centres
 * @condition: state of the store, below RECOVERY_CONDITIONS
 * @r: receives the recovery times; all 0 without memory
 */
void recovery_run(uint64_t seed, uint32_t entries, uint32_t condition,
		  struct recovery *r)
{
	struct site_size size = { ZONES, entries, 5, 0, 0, 0 };
	struct world_conf conf = { .seed = seed };
	struct world *w;
	uint64_t started_ns[ENTRIES] = { 0 };
	uint64_t end_ns;

	*r = (struct recovery){ 0 };
	site_default(&conf.site, &size);
	w = world_new(&conf);
	if (!w)
		return;
	world_run(w, WARM_UP_NS);
	conditions[condition].apply(w);
	for (uint32_t i = 0; i < w->n_entries; i++)
		world_kill_entry(w, i, 500 * NS_PER_MS);
	end_ns = w->now_ns + GIVE_UP_NS;
	while (!r->all_agree_ns && w->now_ns < end_ns) {
		uint64_t last_ns = 0, first_ns;

		world_run(w, STEP_NS);
		first_ns = record_starts(w, started_ns, &last_ns);
		record_ready(w, started_ns, first_ns, r);
		if (last_ns && all_agree(w))
			r->all_agree_ns = w->now_ns - last_ns;
	}
	world_free(w);
}

static int compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Print median, 99th percentile and maximum in milliseconds. */
static void print(uint64_t *ns, uint32_t n)
{
	qsort(ns, n, sizeof(*ns), compare);
	printf(" %5llu %5llu %5llu",
	       (unsigned long long)(ns[n / 2] / NS_PER_MS),
	       (unsigned long long)(ns[n * 99 / 100] / NS_PER_MS),
	       (unsigned long long)(ns[n - 1] / NS_PER_MS));
}

/**
 * recovery_table() - run and print all conditions
 * @first_seed: seed of the first run; later ones count up
 * @seeds: runs of each condition
 * @entries: number in each of three data centres
 *
 * Return: number of runs that did not recover, or -1 without memory.
 */
int recovery_table(uint64_t first_seed, uint32_t seeds, uint32_t entries)
{
	uint32_t n = ZONES * entries;
	uint64_t *first = calloc(seeds, sizeof(*first));
	uint64_t *each = calloc((size_t)seeds * n, sizeof(*each));
	uint64_t *all = calloc(seeds, sizeof(*all));
	int failures = first && each && all ? 0 : -1;

	if (!failures)
		printf("%-26s %17s %17s %17s %s\n", "the store",
		       "first ready, ms", "each ready, ms", "all agree, ms",
		       "(p50, p99, longest)");
	for (uint32_t c = 0; failures >= 0 && c < RECOVERY_CONDITIONS; c++) {
		for (uint32_t i = 0; i < seeds; i++) {
			struct recovery r;

			recovery_run(first_seed + i, entries, c, &r);
			failures += !r.all_agree_ns;
			first[i] = r.first_ready_ns;
			all[i] = r.all_agree_ns;
			for (uint32_t k = 0; k < n; k++)
				each[i * n + k] = r.ready_ns[k];
		}
		printf("%-26s", conditions[c].name);
		print(first, seeds);
		print(each, seeds * n);
		print(all, seeds);
		printf("\n");
	}
	free(first);
	free(each);
	free(all);
	return failures;
}
