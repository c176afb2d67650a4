/*
 * Measures how configuration changes spread after a rack is lost. The rack
 * fails while a change spreads, the readers of the platform fail with it, and
 * further changes are published. "rack_in_force_change_N_ms ENTRIES MS ms" is
 * the delay until change N is in force at the slowest surviving cb-watch.
 */
#include "../../test/spread_net.h"

#include <stdio.h>

#define ACCOUNT "account/sailing"
#define READERS 2
#define RACK_NODES 20
#define SEED 7
#define POLL_NS (5 * NET_MS)
#define WAIT_MS 20000
#define CHANGE_INTERVAL_NS (9400 * NET_MS)
#define CHANGES 6
#define TEXT_MAX_BYTES 64

static const uint32_t nodes[] = { 64, 128, 458 };

static void publish(struct net *net, uint64_t generation)
{
	char text[TEXT_MAX_BYTES];

	snprintf(text, sizeof(text), "%lu|t%lu", generation, generation);
	net_publish(net, ACCOUNT, text);
}

static bool is_in_force_everywhere(const struct net *net, uint32_t n,
				   uint64_t generation)
{
	for (uint32_t i = 0; i < n; i++)
		if (net_is_running(net, i) &&
		    net_generation(net, i, ACCOUNT) != generation)
			return false;
	return true;
}

static uint32_t wait_until_in_force_ms(struct net *net, uint32_t n,
				       uint64_t generation)
{
	uint32_t ms = 0;

	for (; !is_in_force_everywhere(net, n, generation) && ms < WAIT_MS;
	     ms += 5)
		net_run(net, POLL_NS);
	return ms;
}

/* Kills the readers and then other nodes, @count in all. */
static void lose_rack(struct net *net, uint32_t n, uint32_t count)
{
	for (uint32_t i = 0; i < n; i++) {
		if (!net_is_reader(net, i))
			continue;
		net_kill(net, i);
		count--;
	}
	for (uint32_t i = 0; i < n && count; i++) {
		if (!net_is_running(net, i))
			continue;
		net_kill(net, i);
		count--;
	}
}

static void measure(uint32_t n)
{
	struct net *net = net_new(n, READERS, SEED);
	uint64_t calls;
	uint32_t ms;

	publish(net, 1);
	net_run(net, 30 * NET_S);
	calls = net_platform_calls(net);
	net_reset_bytes_sent(net);
	publish(net, 2);
	net_run(net, POLL_NS);
	lose_rack(net, n, RACK_NODES);
	for (uint64_t g = 2; g < 2 + CHANGES; g++) {
		if (g > 2)
			publish(net, g);
		ms = wait_until_in_force_ms(net, n, g);
		printf("rack_in_force_change_%lu_ms %u %u ms\n", g - 1, n, ms);
		net_run(net, CHANGE_INTERVAL_NS);
	}
	printf("rack_minute_bytes_most %u %.0f bytes\n", n,
	       (double)net_bytes_sent_max(net));
	printf("rack_minute_platform_calls %u %.0f calls\n", n,
	       (double)(net_platform_calls(net) - calls));
	net_free(net);
}

int main(void)
{
	for (size_t i = 0; i < sizeof(nodes) / sizeof(nodes[0]); i++)
		measure(nodes[i]);
	return 0;
}
