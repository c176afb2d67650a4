/*
 * Measures how evenly long feeds are distributed over the targets, and which
 * part of the targets' connections is in use when an entry first refuses a
 * feed.
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
#define OPEN_NS NS_PER_MS
#define SEED 20261202

struct feed_model {
	uint32_t n_entries;
	uint32_t n_targets;
	struct balancer *balancers[ENTRIES_MAX];
	uint32_t feeds[TARGETS_MAX];
};

static void feed_model_init(struct feed_model *f, uint32_t slots)
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
		f->balancers[i] = balance_new(64, (struct rng){ i + 1 });
		balance_set_config(f->balancers[i], &c, 0);
		balance_set_entries(f->balancers[i], f->n_entries, i);
	}
}

static bool open_feed(struct feed_model *f, uint32_t entry, uint64_t now_ns)
{
	struct work w = { .vip = VIP, .feed = true };
	struct decision r;

	w.deadline_ns = now_ns + NS_PER_S;
	r = balance_submit(f->balancers[entry], &w, now_ns);
	if (r.verdict != VERDICT_ADMITTED)
		return false;
	balance_record_end(f->balancers[entry], VIP, r.target, OUTCOME_OK,
			   OPEN_NS, now_ns + OPEN_NS);
	balance_change_feeds(f->balancers[entry], VIP, r.target, 1);
	f->feeds[TARGET_INDEX(r.target)]++;
	return true;
}

static double imbalance(const uint32_t *feeds, uint32_t n)
{
	uint64_t sum = 0;
	uint32_t max = 0;

	for (uint32_t i = 0; i < n; i++) {
		sum += feeds[i];
		if (feeds[i] > max)
			max = feeds[i];
	}
	return sum ? (double)max * n / sum : 0;
}

/*
 * Opens feeds at random entries until an entry refuses or @max are open.
 * Returns the number of feeds opened.
 */
static uint32_t open_feeds(struct feed_model *f, uint32_t max)
{
	struct rng rng = { SEED };
	uint64_t now_ns = NS_PER_S;

	for (uint32_t n = 0; n < max; n++) {
		uint32_t entry = (uint32_t)(rng_next(&rng) % f->n_entries);

		now_ns += 2 * OPEN_NS;
		if (!open_feed(f, entry, now_ns))
			return n;
	}
	return max;
}

static void feed_model_release(struct feed_model *f)
{
	for (uint32_t i = 0; i < f->n_entries; i++)
		balance_free(f->balancers[i]);
}

static double hashed_imbalance(uint32_t n_targets, uint32_t n)
{
	uint32_t feeds[TARGETS_MAX] = { 0 };

	for (uint32_t i = 0; i < n; i++)
		feeds[hash_u64(i, SEED) % n_targets]++;
	return imbalance(feeds, n_targets);
}

/**
 * feeds_run() - measure and print the distribution of feeds of one service
 * @deployment: name printed with the results
 * @n_entries: number of entries, at most ENTRIES_MAX
 * @n_targets: number of targets, at most TARGETS_MAX
 * @slots: slots of each target
 */
void feeds_run(const char *deployment, uint32_t n_entries, uint32_t n_targets,
	       uint32_t slots)
{
	struct feed_model f = { .n_entries = n_entries,
				.n_targets = n_targets };
	uint32_t capacity = n_targets * CONNECTIONS;
	uint32_t half = capacity / 2;
	uint32_t opened;
	double balancer_imbalance;

	feed_model_init(&f, slots);
	open_feeds(&f, half);
	balancer_imbalance = imbalance(f.feeds, n_targets);
	feed_model_release(&f);
	memset(f.feeds, 0, sizeof(f.feeds));
	feed_model_init(&f, slots);
	opened = open_feeds(&f, 2 * capacity);
	feed_model_release(&f);
	printf("feeds %s ours imbalance %.3f used %.3f hash imbalance %.3f\n",
	       deployment, balancer_imbalance, (double)opened / capacity,
	       hashed_imbalance(n_targets, half));
}
