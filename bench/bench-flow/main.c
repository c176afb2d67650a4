/*
 * Measures the time of a lookup in the table of pinned flows and the table's
 * memory. Prints lines "flow_lookup_ns FLOWS HIT_NS MISS_NS BYTES_PER_FLOW".
 */
#include "flow.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define LOOKUPS 2000000U
#define IDLE_NS (3600 * NS_PER_S)

static uint64_t clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * NS_PER_S + t.tv_nsec;
}

static struct flow_key random_key(struct rng *rng, uint32_t net)
{
	uint64_t r = rng_next(rng);

	return (struct flow_key){ .caller = ADDR(net | (r >> 16 & 0xffffff), r),
				  .vip = ADDR(0x7f010000U + (r >> 48), 5683) };
}

/*
 * Looks up the @n keys one after the other, LOOKUPS times in all. Returns the
 * mean nanoseconds of a lookup and stores the number of hits in @found.
 */
static double mean_lookup_ns(struct flow_table *t, const struct flow_key *keys,
			     uint32_t n, uint64_t now_ns, uint32_t *found)
{
	uint64_t start_ns = clock_ns();
	uint32_t i, next = 0;

	*found = 0;
	for (i = 0; i < LOOKUPS; i++) {
		next = next + 1 < n ? next + 1 : 0;
		*found += flow_lookup(t, &keys[next], now_ns) != ADDR_NONE;
	}
	return (double)(clock_ns() - start_ns) / LOOKUPS;
}

static int measure(uint32_t flows)
{
	struct flow_table *t = flow_table_new(flows, IDLE_NS);
	struct flow_key *pinned = calloc(flows, sizeof(*pinned));
	struct flow_key *unpinned = calloc(flows, sizeof(*unpinned));
	struct rng rng = { .state = 20261202 };
	uint32_t i, hits, misses;
	double hit_ns, miss_ns;

	if (!t || !pinned || !unpinned)
		return 1;
	for (i = 0; i < flows; i++) {
		pinned[i] = random_key(&rng, 0x0a000000U);
		unpinned[i] = random_key(&rng, 0x0b000000U);
		if (flow_pin(t, &pinned[i], ADDR(1, 1 + i % 15), NS_PER_S))
			return 1;
	}
	hit_ns = mean_lookup_ns(t, pinned, flows, NS_PER_S, &hits);
	miss_ns = mean_lookup_ns(t, unpinned, flows, NS_PER_S, &misses);
	if (hits != LOOKUPS || misses != 0)
		return 1;
	printf("flow_lookup_ns %u %.1f %.1f %.1f\n", flows, hit_ns, miss_ns,
	       (double)flow_bytes(t) / flows);
	flow_table_free(t);
	free(pinned);
	free(unpinned);
	return 0;
}

int main(void)
{
	static const uint32_t sizes[] = { 1000, 100000, 500000 };
	uint32_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		if (measure(sizes[i]))
			return 1;
	return 0;
}
