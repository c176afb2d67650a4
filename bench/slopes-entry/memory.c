/* Measures the memory of flows, feeds, claims, requests and configuration. */
#include "cluster.h"

#include "account_codec.h"
#include "balance.h"

#include <malloc.h>
#include <stdlib.h>

#define SIZES 3

static uint64_t allocated_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static uint64_t entry_bytes(const struct entry_conf *conf)
{
	uint64_t before_bytes = allocated_bytes();
	struct entry *e = entry_new(conf, NS_PER_S);
	uint64_t used_bytes = allocated_bytes() - before_bytes;

	entry_free(e);
	return used_bytes;
}

static struct entry_conf small_conf(void)
{
	struct entry_conf c = cluster_conf();

	c.requests_max = 1024;
	c.feeds_max = 1024;
	c.claims_max = 1024;
	c.flows_max = 1024;
	return c;
}

/* Measures the memory of an entry, by the limit at @offset of its settings. */
static void measure_limit(const char *name, size_t offset)
{
	static const uint32_t sizes[SIZES] = { 16384, 65536, 262144 };

	for (uint32_t i = 0; i < SIZES; i++) {
		struct entry_conf c = small_conf();

		*(uint32_t *)((char *)&c + offset) = sizes[i];
		report(name, sizes[i], (double)entry_bytes(&c), "bytes");
	}
}

static void measure_buckets(void)
{
	static const uint32_t sizes[SIZES] = { 4096, 8192, 16384 };

	for (uint32_t i = 0; i < SIZES; i++) {
		struct entry_conf c = small_conf();

		c.n_buckets = sizes[i];
		report("bytes_buckets", sizes[i], (double)entry_bytes(&c),
		       "bytes");
	}
}

static uint64_t config_bytes(uint32_t accounts, uint32_t services,
			     uint32_t targets)
{
	struct actions *out = calloc(1, sizeof(*out));
	struct entry_conf conf = small_conf();
	struct entry *e = entry_new(&conf, NS_PER_S);
	uint64_t before_bytes = allocated_bytes();
	struct config c = cluster_config(accounts, services, targets);
	uint64_t used_bytes;

	entry_config(e, &c, NS_PER_S, out);
	used_bytes = allocated_bytes() - before_bytes;
	entry_free(e);
	config_free(&c);
	free(out);
	return used_bytes;
}

static void measure_configuration(void)
{
	static const uint32_t targets[SIZES] = { 10, 100, 1000 };
	static const uint32_t services[SIZES] = { 100, 400, 1000 };
	static const uint32_t accounts[SIZES] = { 100, 1000, 4000 };

	for (uint32_t i = 0; i < SIZES; i++)
		report("bytes_config_targets", targets[i] * 10,
		       (double)config_bytes(1, 10, targets[i]), "bytes");
	for (uint32_t i = 0; i < SIZES; i++)
		report("bytes_config_services", services[i],
		       (double)config_bytes(1, services[i], 0), "bytes");
	for (uint32_t i = 0; i < SIZES; i++)
		report("bytes_config_accounts", accounts[i],
		       (double)config_bytes(accounts[i], 0, 0), "bytes");
}

/* Measures the memory of an account at cb-watch and its size on the wire. */
static void measure_content(uint32_t services, uint32_t targets, uint32_t size,
			    const char *kept_name, const char *items_name)
{
	struct config c = cluster_config(1, services, targets);
	uint64_t before_bytes = allocated_bytes();
	struct content *content;

	if (account_encode(&c.accounts[0], &content) < 0)
		exit(EXIT_FAILURE);
	report(kept_name, size, (double)(allocated_bytes() - before_bytes),
	       "bytes");
	report(items_name, size, (double)content->size_bytes, "bytes");
	content_free(content);
	config_free(&c);
}

static void measure_contents(void)
{
	static const uint32_t sizes[SIZES] = { 100, 300, 1000 };

	for (uint32_t i = 0; i < SIZES; i++)
		measure_content(1, sizes[i], sizes[i], "bytes_watch_targets",
				"bytes_item_targets");
	for (uint32_t i = 0; i < SIZES; i++)
		measure_content(sizes[i], 0, sizes[i], "bytes_watch_services",
				"bytes_item_services");
}

/* Measures an entry with the default limits, see adapters/settings.c. */
static void measure_default_limits(void)
{
	struct entry_conf c = cluster_conf();

	c.requests_max = 16384;
	c.feeds_max = 262144;
	c.claims_max = 524288;
	c.flows_max = 524288;
	report("bytes_usual_limits", 1, (double)entry_bytes(&c), "bytes");
}

void measure_memory(void)
{
	measure_limit("bytes_pins", offsetof(struct entry_conf, flows_max));
	measure_limit("bytes_feeds", offsetof(struct entry_conf, feeds_max));
	measure_limit("bytes_claims", offsetof(struct entry_conf, claims_max));
	measure_limit("bytes_requests",
		      offsetof(struct entry_conf, requests_max));
	measure_buckets();
	measure_default_limits();
	measure_configuration();
	measure_contents();
}
