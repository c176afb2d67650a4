/*
 * Measures how the cost of membership and of the ring grows with the number of
 * entries of a data centre. Delays are simulated time, message sizes come from
 * the real codec, and processor times (ns, us) are wall-clock time on the
 * machine that runs this program.
 */
#include "../../test/fleet.h"
#include "ring.h"
#include "wire.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define SEED 20261202
/* Time after which the updates of a start of all entries have spread. */
#define SETTLE_NS (90 * NS_PER_S)
#define CALL_REPEATS 20000
#define LOAD_SECONDS 10
#define POLL_NS NS_PER_MS
#define OBSERVATION_MS 10000
#define RACK_NODES 20
#define UDP_IP_BYTES 28

static uint64_t clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * NS_PER_S + t.tv_nsec;
}

static uint32_t datagram_bytes(const struct peer_msg *msg)
{
	static const uint8_t key[WIRE_KEY_BYTES] = { 1 };
	uint8_t buf[WIRE_MAX_BYTES];

	return UDP_IP_BYTES + wire_encode(msg, key, buf, sizeof(buf));
}

static struct fleet *new_settled_fleet(uint32_t n)
{
	struct fleet *f = fleet_new(n, SEED);

	f->incarnation = 1796000000ULL * NS_PER_S;
	fleet_start_all(f);
	fleet_run(f, SETTLE_NS);
	f->size_bytes = datagram_bytes;
	return f;
}

static void sum_sent(const struct fleet *f, uint64_t *messages, uint64_t *bytes)
{
	uint32_t i;

	*messages = 0;
	*bytes = 0;
	for (i = 0; i < f->n; i++) {
		*messages += f->node[i].messages;
		*bytes += f->node[i].bytes;
	}
}

static void measure_cold_start(uint32_t n)
{
	struct fleet *f = fleet_new(n, SEED);
	uint32_t ms = 0;

	fleet_start_all(f);
	while (!fleet_converged(f) && ms < OBSERVATION_MS) {
		fleet_run(f, 10 * NS_PER_MS);
		ms += 10;
	}
	printf("member_cold_start_ms %u %u\n", n, ms);
	fleet_free(f);
}

static void measure_load(uint32_t n)
{
	struct fleet *f = new_settled_fleet(n);
	uint64_t m0, b0, m1, b1;

	sum_sent(f, &m0, &b0);
	fleet_run(f, LOAD_SECONDS * NS_PER_S);
	sum_sent(f, &m1, &b1);
	printf("member_load_per_node %u messages_per_s %.1f bytes_per_s %.0f\n",
	       n, (double)(m1 - m0) / LOAD_SECONDS / n,
	       (double)(b1 - b0) / LOAD_SECONDS / n);
	fleet_free(f);
}

/* Times from a death until the first and the last survivor know of it. */
struct detection {
	uint32_t first_ms;
	uint32_t last_ms;
};

static void record_detection(const struct fleet *f, uint32_t dead,
			     uint32_t alive, uint32_t ms, struct detection *s)
{
	uint32_t n_aware;

	if (s->last_ms)
		return;
	n_aware = fleet_count_seeing(f, dead, MEMBER_DEAD);
	if (n_aware && !s->first_ms)
		s->first_ms = ms;
	if (n_aware == alive)
		s->last_ms = ms;
}

static void measure_deaths(uint32_t n, uint32_t count, uint32_t loss_percent)
{
	struct fleet *f = new_settled_fleet(n);
	struct detection s[RACK_NODES] = { { 0 } };
	uint32_t i, ms, max_last_ms = 0, max_spread_ms = 0;
	uint64_t m0, b0, m1, b1 = 0;

	f->loss_percent = loss_percent;
	for (i = 0; i < count; i++)
		fleet_kill(f, i);
	sum_sent(f, &m0, &b0);
	for (ms = 1; ms <= OBSERVATION_MS; ms++) {
		fleet_run(f, POLL_NS);
		for (i = 0; i < count; i++)
			record_detection(f, i, n - count, ms, &s[i]);
		if (ms == 3000)
			sum_sent(f, &m1, &b1);
	}
	for (i = 0; i < count; i++) {
		if (s[i].last_ms > max_last_ms)
			max_last_ms = s[i].last_ms;
		if (s[i].last_ms - s[i].first_ms > max_spread_ms)
			max_spread_ms = s[i].last_ms - s[i].first_ms;
	}
	printf("member_self_deaths %u dead %u loss_percent %u first_ms %u "
	       "all_know_ms %u apart_ms %u bytes_per_s %.0f\n",
	       n, count, loss_percent, s[0].first_ms, max_last_ms,
	       max_spread_ms, (double)(b1 - b0) / 3 / (n - count));
	fleet_free(f);
}

static void discard(void *ctx, uint64_t vm, struct peer_msg *msg)
{
	(void)ctx;
	(void)vm;
	(void)msg;
}

/* Measures the processor time of a probe round and of a received ping. */
static void measure_processor_time(uint32_t n)
{
	struct peer_out out = { .send = discard };
	struct rng rng = { .state = SEED };
	struct fleet *f = new_settled_fleet(n);
	struct peer_msg msg = { .kind = PEER_PING, .incarnation = 1 };
	uint64_t start_ns, round_ns, ping_ns, now_ns = f->now_ns;
	struct membership *m;
	uint32_t i;

	f->conf.self = fleet_vm(n);
	m = member_new(&f->conf, out, rng);
	for (i = 0; i < n; i++) {
		msg.from = fleet_vm(i);
		member_receive(m, &msg, now_ns);
	}
	start_ns = clock_ns();
	for (i = 0; i < CALL_REPEATS; i++) {
		msg.from = fleet_vm(i % n);
		msg.seq = i;
		member_receive(m, &msg, now_ns);
	}
	ping_ns = (clock_ns() - start_ns) / CALL_REPEATS;
	start_ns = clock_ns();
	for (i = 0; i < CALL_REPEATS; i++) {
		now_ns = member_next_ns(m);
		member_tick(m, now_ns);
	}
	round_ns = (clock_ns() - start_ns) / CALL_REPEATS;
	printf("member_call_ns %u ping %llu tick %llu\n", n,
	       (unsigned long long)ping_ns, (unsigned long long)round_ns);
	member_free(m);
	fleet_free(f);
}

static double imbalance(const struct ring *r, uint32_t n)
{
	uint32_t i, at, most = 0, *owned = calloc(n, sizeof(*owned));

	for (i = 0; i < RING_BUCKETS; i++) {
		at = ADDR_IP(ring_current_pair(r, i).owner) -
		     ADDR_IP(fleet_vm(0));
		if (++owned[at] > most)
			most = owned[at];
	}
	free(owned);
	return (double)most * n / RING_BUCKETS;
}

static double update_us(struct ring *r, const uint64_t *vms, uint32_t n,
			uint64_t now_ns)
{
	uint64_t start_ns = clock_ns();

	ring_update(r, vms, n, now_ns);
	return (double)(clock_ns() - start_ns) / 1000;
}

static void measure_ring(uint32_t n)
{
	struct ring_observer none = { 0 };
	struct ring *r = ring_new(RING_BUCKETS, fleet_vm(0), 500 * NS_PER_MS,
				  93 * NS_PER_S, none);
	uint64_t vms[FLEET_MAX], now_ns = NS_PER_S;
	double first, join, leave, idle;
	uint32_t i;

	for (i = 0; i < n; i++)
		vms[i] = fleet_vm(i);
	first = update_us(r, vms, n, now_ns);
	leave = update_us(r, vms, n - 1, now_ns += NS_PER_S);
	join = update_us(r, vms, n, now_ns += NS_PER_S);
	idle = update_us(r, vms, n, now_ns += NS_PER_S);
	printf("ring_update_us %u first %.0f leave %.0f join %.0f same %.1f "
	       "bytes %llu owner_max_over_mean %.3f\n",
	       n, first, leave, join, idle,
	       (unsigned long long)ring_memory_bytes(r), imbalance(r, n));
	ring_free(r);
}

int main(void)
{
	static const uint32_t sizes[] = { 8, 64, 458 };
	uint32_t i;

	if (sodium_init() < 0)
		return 1;
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		measure_cold_start(sizes[i]);
		measure_load(sizes[i]);
		measure_processor_time(sizes[i]);
		measure_deaths(sizes[i], 1, 0);
		measure_deaths(sizes[i], 1, 1);
		measure_ring(sizes[i]);
	}
	measure_deaths(458, RACK_NODES, 0);
	measure_deaths(458, RACK_NODES, 1);
	return 0;
}
