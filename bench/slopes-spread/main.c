/*
 * Measures how the cost of spreading configuration grows with the number of
 * cb-watch processes: bytes and processor time of each for a change and while
 * idle, and calls to the platform. The real core and codec run on a simulated
 * clock and network. Frames are counted as they are passed to ZeroMQ, without
 * TCP headers.
 */
#include "../../test/spread_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ACCOUNT "account/sailing"
#define READERS 2
#define SEED 1
#define CHANGES 20
#define CHANGE_INTERVAL_NS (9400 * NET_MS)
#define IDLE_S 60
#define TEXT_MAX_BYTES (1 << 20)
/* Has the size of a target's item in adapters/account_codec.c. */
#define ITEM_FORMAT "|t%05u-%016lu-slots"

static const uint32_t nodes[] = { 8, 64, 458 };

struct idle {
	double bytes_per_s;
	double calls_per_s;
	double cpu_us_per_s;
};

/* Publishes an account of @targets; each generation changes target 0 only. */
static void publish(struct net *net, uint64_t generation, uint32_t targets)
{
	char *text = malloc(TEXT_MAX_BYTES);
	int used = snprintf(text, TEXT_MAX_BYTES, "%lu", generation);

	for (uint32_t i = 0; i < targets; i++)
		used += snprintf(text + used, TEXT_MAX_BYTES - used,
				 ITEM_FORMAT, i, i ? 0 : generation);
	net_publish(net, ACCOUNT, text);
	free(text);
}

static double cpu_us(void)
{
	return 1e6 * (double)clock() / CLOCKS_PER_SEC;
}

static struct idle measure_idle(struct net *net, uint32_t n)
{
	uint64_t calls = net_platform_calls(net);
	double start_us = cpu_us();
	struct idle idle;

	net_reset_bytes_sent(net);
	net_run(net, IDLE_S * NET_S);
	idle.bytes_per_s = (double)net_bytes_sent(net) / n / IDLE_S;
	idle.calls_per_s = (double)(net_platform_calls(net) - calls) / IDLE_S;
	idle.cpu_us_per_s = (cpu_us() - start_us) / n / IDLE_S;
	printf("spread_idle_bytes_per_s %u %.0f\n", n, idle.bytes_per_s);
	printf("spread_idle_bytes_per_s_max %u %.0f\n", n,
	       (double)net_bytes_sent_max(net) / IDLE_S);
	printf("spread_idle_cpu_us_per_s %u %.1f\n", n, idle.cpu_us_per_s);
	printf("spread_platform_calls_per_s %u %.3f\n", n, idle.calls_per_s);
	return idle;
}

static bool is_in_force_everywhere(const struct net *net, uint32_t n,
				   uint64_t generation)
{
	for (uint32_t i = 0; i < n; i++)
		if (net_generation(net, i, ACCOUNT) != generation)
			return false;
	return true;
}

static void measure_changes(struct net *net, uint32_t n, uint32_t targets,
			    struct idle idle)
{
	uint64_t calls = net_platform_calls(net);
	uint64_t slowest_ms = 0;
	double seconds = CHANGES * (double)CHANGE_INTERVAL_NS / NET_S;
	double start_us = cpu_us();

	net_reset_bytes_sent(net);
	for (uint64_t g = 2; g < 2 + CHANGES; g++) {
		uint64_t ms = 0;

		publish(net, g, targets);
		for (; !is_in_force_everywhere(net, n, g); ms += 5)
			net_run(net, 5 * NET_MS);
		if (ms > slowest_ms)
			slowest_ms = ms;
		net_run(net, CHANGE_INTERVAL_NS - ms * NET_MS);
	}
	printf("spread_bytes_per_change %u %.0f\n", n,
	       ((double)net_bytes_sent(net) / n - idle.bytes_per_s * seconds) /
		       CHANGES);
	printf("spread_bytes_per_change_max %u %.0f\n", n,
	       ((double)net_bytes_sent_max(net) - idle.bytes_per_s * seconds) /
		       CHANGES);
	printf("spread_cpu_us_per_change %u %.1f\n", n,
	       ((cpu_us() - start_us) / n - idle.cpu_us_per_s * seconds) /
		       CHANGES);
	printf("spread_calls_per_change %u %.1f\n", n,
	       ((double)(net_platform_calls(net) - calls) -
		idle.calls_per_s * seconds) /
		       CHANGES);
	printf("spread_in_force_ms %u %lu\n", n, slowest_ms);
}

static void measure_join(struct net *net, uint32_t n, struct idle idle)
{
	uint64_t ms = 0;

	net_kill(net, n - 1);
	net_run(net, 5 * NET_S);
	net_reset_bytes_sent(net);
	net_start(net, n - 1);
	for (; !net_is_serving(net, n - 1); ms += 5)
		net_run(net, 5 * NET_MS);
	net_run(net, 2 * NET_S);
	printf("spread_join_ms %u %lu\n", n, ms);
	printf("spread_bytes_per_join %u %.0f\n", n,
	       (double)net_bytes_sent(net) -
		       idle.bytes_per_s * n * (2 + (double)ms / 1000));
}

static void measure(uint32_t n, uint32_t targets)
{
	struct net *net = net_new(n, READERS, SEED);
	struct idle idle;

	printf("# %u targets in the account\n", targets);
	publish(net, 1, targets);
	net_run(net, 30 * NET_S);
	idle = measure_idle(net, n);
	measure_changes(net, n, targets, idle);
	measure_join(net, n, idle);
	net_free(net);
}

int main(void)
{
	for (size_t i = 0; i < sizeof(nodes) / sizeof(nodes[0]); i++)
		measure(nodes[i], 200);
	measure(64, 7000);
	return 0;
}
