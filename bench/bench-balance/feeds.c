/*
 * Long feeds: how evenly they lie on the targets, and how much of the targets'
 * connections can be used before an entry refuses.
 */
#include "feeds.h"

#include "balance.h"

#include <stdio.h>
#include <string.h>

#define VIP ADDR(0x7f010001, 5683)
#define TARGET(i) ADDR(0x7f020001 + (i), 5683)
#define TARGET_INDEX(a) (ADDR_IP(a) - 0x7f020001)
#define ENTRIES_MAX 16
#define TARGETS_MAX 32
#define CONNECTIONS 2000
#define GAP_NS NS_PER_MS
#define SEED 20261202

struct fleet {
	uint32_t n_entries;
	uint32_t n_targets;
	struct balancer *b[ENTRIES_MAX];
	uint32_t feeds[TARGETS_MAX];
};

static void open_fleet(struct fleet *f, uint32_t slots)
{
	struct target_conf targets[TARGETS_MAX];
	struct service_conf s = { .vip = VIP, .queue_max = 100 };
	struct account_conf a = { .name = "one", .weight = 1 };
	struct config c = { .accounts = &a, .n_accounts = 1 };

	for (uint32_t i = 0; i < f->n_targets; i++)
		targets[i] = (struct target_conf){ .addr = TARGET(i),
						   .state = TARGET_UP,
						   .weight = 100,
						   .slots = slots,
						   .connections = CONNECTIONS };
	s.targets = targets;
	s.n_targets = f->n_targets;
	a.services = &s;
	a.n_services = 1;
	for (uint32_t i = 0; i < f->n_entries; i++) {
		f->b[i] = balance_new(64, (struct rng){ i + 1 });
		balance_set_config(f->b[i], &c, 0);
		balance_set_entries(f->b[i], f->n_entries, i);
	}
}

static bool open_feed(struct fleet *f, uint32_t entry, uint64_t now_ns)
{
	struct work w = { .vip = VIP, .feed = true };
	struct decision r;

	w.deadline_ns = now_ns + NS_PER_S;
	r = balance_submit(f->b[entry], &w, now_ns);
	if (r.verdict != VERDICT_ADMITTED)
		return false;
	balance_record_end(f->b[entry], VIP, r.target, OUTCOME_OK, GAP_NS,
			   now_ns + GAP_NS);
	balance_change_feeds(f->b[entry], VIP, r.target, 1);
	f->feeds[TARGET_INDEX(r.target)]++;
	return true;
}

static double imbalance(const uint32_t *feeds, uint32_t n)
{
	uint64_t sum = 0;
	uint32_t most = 0;

	for (uint32_t i = 0; i < n; i++) {
		sum += feeds[i];
		if (feeds[i] > most)
			most = feeds[i];
	}
	return sum ? (double)most * n / sum : 0;
}

/* Open feeds at random entries until one refuses or @most are open. */
static uint32_t fill(struct fleet *f, uint32_t most)
{
	struct rng rng = { SEED };
	uint64_t now_ns = NS_PER_S;

	for (uint32_t n = 0; n < most; n++) {
		uint32_t entry = (uint32_t)(rng_next(&rng) % f->n_entries);

		now_ns += 2 * GAP_NS;
		if (!open_feed(f, entry, now_ns))
			return n;
	}
	return most;
}

static void close_fleet(struct fleet *f)
{
	for (uint32_t i = 0; i < f->n_entries; i++)
		balance_free(f->b[i]);
}

static double hashed_imbalance(uint32_t n_targets, uint32_t n)
{
	uint32_t feeds[TARGETS_MAX] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		feeds[hash_u64(i, SEED) % n_targets]++;
	return imbalance(feeds, n_targets);
}

/**
 * feeds_run() - print the figures of one service
 * @deployment: name
 * @n_entries: entries
 * @n_targets: targets
 * @slots: of each
 */
void feeds_run(const char *deployment, uint32_t n_entries, uint32_t n_targets,
	       uint32_t slots)
{
	struct fleet f = { .n_entries = n_entries, .n_targets = n_targets };
	uint32_t capacity = n_targets * CONNECTIONS;
	uint32_t half = capacity / 2;
	uint32_t opened;
	double ours;

	open_fleet(&f, slots);
	fill(&f, half);
	ours = imbalance(f.feeds, n_targets);
	close_fleet(&f);
	memset(f.feeds, 0, sizeof(f.feeds));
	open_fleet(&f, slots);
	opened = fill(&f, 2 * capacity);
	close_fleet(&f);
	printf("feeds %s ours imbalance %.3f used %.3f hash imbalance %.3f\n",
	       deployment, ours, (double)opened / capacity,
	       hashed_imbalance(n_targets, half));
}
