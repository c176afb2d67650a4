/* Measures the time of changes of configuration, in microseconds. */
#include "cluster.h"

#include "account_codec.h"

#include <stdlib.h>

#define SIZES 3
#define REPEATS 5
#define CALL_REPEATS 200
#define FULL_SIZE_SERVICES 6
#define FULL_SIZE_TARGET_EVERY 4
#define SHARE_TARGETS 15
#define SHARE_SLOTS 2

/*
 * Configuration like that of a full-size data centre: 23,000 services, with a
 * target in every fourth.
 */
static struct config full_size_config(uint32_t accounts)
{
	struct config c = cluster_config(accounts, FULL_SIZE_SERVICES, 1);

	for (uint32_t i = 0; i < accounts * FULL_SIZE_SERVICES; i++)
		if (i % FULL_SIZE_TARGET_EVERY)
			c.accounts[i / FULL_SIZE_SERVICES]
				.services[i % FULL_SIZE_SERVICES]
				.n_targets = 0;
	return c;
}

/*
 * Measures the time in which an entry applies a configuration with one changed
 * account. Frees the configuration.
 */
static double change_us(struct config c)
{
	struct actions *out = calloc(1, sizeof(*out));
	struct entry_conf conf = cluster_conf();
	struct entry *e = entry_new(&conf, NS_PER_S);
	uint64_t best_ns = UINT64_MAX;

	entry_config(e, &c, NS_PER_S, out);
	for (uint32_t r = 0; r < REPEATS; r++) {
		struct account_conf *a = account_copy(&c.accounts[0]);
		uint64_t start_ns = clock_ns();
		uint64_t took_ns;

		if (a->n_services && a->services[0].n_targets)
			a->services[0].targets[0].state = (r + 1) % 2;
		config_put(&c, a);
		entry_config(e, &c, (r + 2) * NS_PER_S, out);
		took_ns = clock_ns() - start_ns;
		if (took_ns < best_ns)
			best_ns = took_ns;
	}
	entry_free(e);
	config_free(&c);
	free(out);
	return (double)best_ns / 1000;
}

/*
 * Measures the time of recomputing the target shares when the number of entries
 * changes.
 */
static double set_entries_us(uint32_t targets)
{
	struct config c = cluster_config(1, 10, targets);
	struct rng rng = { .state = 1 };
	struct balancer *b = balance_new(1024, rng);
	uint64_t start_ns;

	balance_set_config(b, &c, NS_PER_S);
	start_ns = clock_ns();
	for (uint32_t i = 0; i < CALL_REPEATS; i++)
		balance_set_entries(b, 457 + i % 2, 7);
	start_ns = clock_ns() - start_ns;
	balance_free(b);
	config_free(&c);
	return (double)start_ns / CALL_REPEATS / 1000;
}

/* Measures a tick of an idle entry. */
static double tick_us(uint32_t services, uint32_t targets)
{
	struct config c = cluster_config(1, services, targets);
	struct actions *out = calloc(1, sizeof(*out));
	struct entry_conf conf = cluster_conf();
	struct entry *e = entry_new(&conf, NS_PER_S);
	uint64_t now_ns = NS_PER_S;
	uint64_t start_ns;

	entry_config(e, &c, now_ns, out);
	start_ns = clock_ns();
	for (uint32_t i = 0; i < CALL_REPEATS; i++)
		entry_tick(e, now_ns += NS_PER_S / 20, out);
	start_ns = clock_ns() - start_ns;
	entry_free(e);
	config_free(&c);
	free(out);
	return (double)start_ns / CALL_REPEATS / 1000;
}

/*
 * Measures the codec of a changed account: cb-watch encodes, cb-entry decodes.
 */
static void measure_codec(uint32_t targets)
{
	struct config c = cluster_config(1, 1, targets);
	uint64_t decode_ns = UINT64_MAX;
	uint64_t encode_ns = UINT64_MAX;

	for (uint32_t r = 0; r < REPEATS; r++) {
		struct content *content;
		struct account_conf *a;
		uint64_t t0 = clock_ns();
		uint64_t t1, t2;

		if (account_encode(&c.accounts[0], &content) < 0)
			exit(EXIT_FAILURE);
		t1 = clock_ns();
		if (account_decode("account", 1, content, &a) < 0)
			exit(EXIT_FAILURE);
		t2 = clock_ns();
		encode_ns = MIN(encode_ns, t1 - t0);
		decode_ns = MIN(decode_ns, t2 - t1);
		content_free(content);
		account_free(a);
	}
	report("us_account_encode_targets", targets, (double)encode_ns / 1000,
	       "us");
	report("us_account_decode_targets", targets, (double)decode_ns / 1000,
	       "us");
	config_free(&c);
}

/*
 * Sums the requests that the entries together may have at targets with 30
 * slots.
 */
static void measure_shares(uint32_t entries)
{
	struct config c = cluster_config(1, 1, SHARE_TARGETS);
	struct service_conf *s = &c.accounts[0].services[0];
	struct rng rng = { .state = 1 };
	struct balancer *b;
	uint64_t own = 0;

	for (uint32_t i = 0; i < s->n_targets; i++)
		s->targets[i].slots = SHARE_SLOTS;
	b = balance_new(SHARE_TARGETS, rng);
	balance_set_config(b, &c, NS_PER_S);
	for (uint32_t rank = 0; rank < entries; rank++) {
		struct target_stats t;
		uint32_t cursor = 0;

		balance_set_entries(b, entries, rank);
		while (balance_next_target_stats(b, &cursor, &t))
			own += t.own;
	}
	report("requests_dealt_of_30_slots", entries, (double)own, "requests");
	balance_free(b);
	config_free(&c);
}

void measure_config(void)
{
	static const uint32_t entries[SIZES] = { 8, 64, 458 };
	static const uint32_t targets[SIZES] = { 60, 180, 540 };
	static const uint32_t services[SIZES] = { 100, 400, 1000 };
	static const uint32_t accounts[SIZES] = { 1000, 2000, 4000 };
	static const uint32_t full_size_accounts[SIZES] = { 960, 1920, 3834 };
	static const uint32_t sizes[SIZES] = { 100, 300, 1000 };

	for (uint32_t i = 0; i < SIZES; i++)
		report("us_config_targets", targets[i] * 10,
		       change_us(cluster_config(1, 10, targets[i])), "us");
	for (uint32_t i = 0; i < SIZES; i++)
		report("us_config_services", services[i] * 20,
		       change_us(cluster_config(20, services[i], 0)), "us");
	for (uint32_t i = 0; i < SIZES; i++)
		report("us_config_accounts", accounts[i],
		       change_us(cluster_config(accounts[i], 1, 0)), "us");
	for (uint32_t i = 0; i < SIZES; i++)
		report("us_config_whole_accounts", full_size_accounts[i],
		       change_us(full_size_config(full_size_accounts[i])),
		       "us");
	for (uint32_t i = 0; i < SIZES; i++)
		report("us_tick_targets", targets[i] * 10,
		       tick_us(10, targets[i]), "us");
	for (uint32_t i = 0; i < SIZES; i++)
		report("us_peers_targets", targets[i] * 10,
		       set_entries_us(targets[i]), "us");
	for (uint32_t i = 0; i < SIZES; i++)
		measure_codec(sizes[i]);
	for (uint32_t i = 0; i < SIZES; i++)
		measure_shares(entries[i]);
}
