/*
 * Measures how the cost of cb-packet grows with the number of targets:
 * processor time of a packet of an open flow, a packet that opens a flow, a
 * tick and a heartbeat, and memory of a flow and a target. Runs decisions and
 * codecs without system calls. Prints lines "NAME SIZE VALUE UNIT".
 */
#include "hello_codec.h"
#include "node.h"
#include "loads.h"
#include "path.h"
#include "assign.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define FLOWS 8192
#define ROUNDS 200000
#define TICKS 2000
#define VIP ADDR(0xc6120001, 443)

static const uint32_t sizes[] = { 5, 50, 500, 5000 };

static int ignore_probe(void *ctx, const struct target *t)
{
	(void)ctx;
	(void)t;
	return 0;
}

static void ignore_target(void *ctx, const struct target *t)
{
	(void)ctx;
	(void)t;
}

static void ignore_flow(void *ctx, const struct flow_state *f)
{
	(void)ctx;
	(void)f;
}

static void ignore_resend(void *ctx, const struct flow_state *f, uint8_t reason)
{
	(void)ctx;
	(void)f;
	(void)reason;
}

static void ignore_health(void *ctx, const struct target *t, uint8_t before)
{
	(void)ctx;
	(void)t;
	(void)before;
}

static uint64_t clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * NS_PER_S + (uint64_t)t.tv_nsec;
}

struct fixture {
	struct directory *directory;
	struct path *path;
	uint32_t cookies[FLOWS];
	uint64_t now_ns;
};

static void set_routes(struct fixture *f)
{
	struct route_table *t = calloc(1, sizeof(*t));

	t->version = 1;
	t->n_routes = 1;
	t->routes = calloc(1, sizeof(*t->routes));
	t->routes[0].vip = VIP;
	t->routes[0].n_shares = 1;
	t->routes[0].shares[0] =
		(struct route_share){ directory_add_service(f->directory, "s"),
				      1 };
	directory_set_routes(f->directory, t, f->now_ns);
}

static void ignore_send(void *ctx, const struct flow_state *f,
			const uint8_t *bytes, uint32_t n_bytes)
{
	(void)ctx;
	(void)f;
	(void)bytes;
	(void)n_bytes;
}

static void ignore_eject(void *ctx, const struct target *t,
			 float others_failures)
{
	(void)ctx;
	(void)t;
	(void)others_failures;
}

static void init_fixture(struct fixture *f, uint32_t targets)
{
	struct directory_conf dir = { 60 * NS_PER_S, NS_PER_S };
	struct path_conf conf = { .flows_max = FLOWS,
				  .flow_lifetime_ns = 60 * NS_PER_S };
	struct path_port port = {
		.health = { NULL, ignore_probe, ignore_target, ignore_health },
		.resend = ignore_resend,
		.send_queued = ignore_send,
		.reset = ignore_flow,
		.eject = ignore_eject,
	};

	f->now_ns = 1000 * NS_PER_S;
	f->directory = directory_new(&dir);
	set_routes(f);
	for (uint32_t i = 1; i <= targets; i++) {
		struct target_advertisement advertisement = {
			.id = i,
			.addr = ADDR(i, 80),
			.service = directory_add_service(f->directory, "s"),
			.slots = 3,
			.created = { 0, i },
		};

		enum target_change change;

		directory_update_target(f->directory, &advertisement, f->now_ns,
					&change);
	}
	f->path = path_new(&conf, f->directory, port, (struct rng){ 7 });
}

/* The selection alone, with load control. */
static void measure_long_flow(struct fixture *f, uint32_t size)
{
	struct rng rng = { 7 };
	struct assign_query q = {
		.policy = &policy_default,
		.service = directory_add_service(f->directory, "s"),
		.kind = ROUTE_FEED,
		.is_long = true,
		.feed_load = 0.05f,
		.unseen_flows = 20,
		.now_ns = f->now_ns,
	};

	for (uint32_t on = 0; on < 2; on++) {
		uint64_t start_ns = clock_ns();

		q.load_control = on;
		for (uint32_t i = 0; i < FLOWS; i++)
			assign_target(f->directory, &q, &rng);
		printf("%s %u %.1f ns\n",
		       on ? "ns_select_long_targets" : "ns_select_targets",
		       size, (double)(clock_ns() - start_ns) / FLOWS);
	}
}

static void measure_opening(struct fixture *f, const char *name, uint32_t size)
{
	static const uint8_t bytes[32];
	uint64_t start_ns = clock_ns();
	struct path_verdict v;

	for (uint32_t i = 0; i < FLOWS; i++) {
		struct packet packet = { .flow = { ADDR(i + 1, 1000), VIP },
					 .flags = PACKET_SYN,
					 .bytes = bytes,
					 .n_bytes = sizeof(bytes) };

		path_packet(f->path, &packet, true, f->now_ns, &v);
		f->cookies[i] = v.target->cookie;
	}
	printf("%s %u %.1f ns\n", name, size,
	       (double)(clock_ns() - start_ns) / FLOWS);
}

static void measure_open_flows(struct fixture *f, uint32_t size)
{
	uint64_t start_ns = clock_ns();
	struct path_verdict v;

	for (uint32_t i = 0; i < ROUNDS; i++) {
		uint32_t flow = i % FLOWS;
		struct packet packet = { .flow = { ADDR(flow + 1, 1000), VIP },
					 .cookie = f->cookies[flow],
					 .seq = i,
					 .ack = i,
					 .size_bytes = 900,
					 .flags = PACKET_ACK };

		path_packet(f->path, &packet, true, f->now_ns, &v);
	}
	printf("ns_packet_targets %u %.1f ns\n", size,
	       (double)(clock_ns() - start_ns) / ROUNDS);
}

static void measure_tick(struct fixture *f, uint32_t size)
{
	uint64_t start_ns = clock_ns();

	for (uint32_t i = 0; i < TICKS; i++)
		path_tick(f->path, f->now_ns);
	printf("us_tick_targets %u %.2f us\n", size,
	       (double)(clock_ns() - start_ns) / TICKS / 1000);
}

static void measure_heartbeat(struct fixture *f, uint32_t size)
{
	uint8_t data[HELLO_MAX_BYTES];
	struct hello h = { .from = 1 }, decoded;
	uint64_t start_ns;
	uint32_t n;

	loads_fill_hello(f->directory, &h);
	n = hello_encode(&h, data);
	start_ns = clock_ns();
	for (uint32_t i = 0; i < TICKS; i++) {
		hello_encode(&h, data);
		hello_decode(data, n, &decoded);
	}
	printf("us_hello_targets %u %.2f us\n", size,
	       (double)(clock_ns() - start_ns) / TICKS / 1000);
	printf("bytes_hello_targets %u %u bytes\n", size, n);
}

int main(void)
{
	for (uint32_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		static struct fixture f; /* too large for the stack */

		init_fixture(&f, sizes[i]);
		measure_opening(&f, "ns_open_targets", sizes[i]);
		measure_long_flow(&f, sizes[i]);
		measure_open_flows(&f, sizes[i]);
		measure_tick(&f, sizes[i]);
		measure_heartbeat(&f, sizes[i]);
		path_free(f.path);
		directory_free(f.directory);
	}
	printf("bytes_flow 1 %zu bytes\n", sizeof(struct flow_state) + 32);
	printf("bytes_target 1 %zu bytes\n", sizeof(struct target));
	return 0;
}
