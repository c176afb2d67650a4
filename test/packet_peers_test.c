/* Peers found from seeds, ranks of readers, heartbeats and relays on the wire. */
#include "hello_codec.h"
#include "node.h"
#include "loads.h"
#include "packet_bed.h"
#include "peer_set.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define VMS 9
#define ZONES 3
#define HEARTBEAT_NS (200 * MS)
#define ROOM 16
#define CROWD 57

static struct position at(uint64_t revision)
{
	return (struct position){ 0, revision };
}

static uint64_t address(uint32_t i)
{
	return ADDR(0x0a000001 + i, 7720);
}

struct net {
	struct peer_set *vm[VMS];
	bool cut[VMS];
	uint64_t now_ns;
};

static void net_open(struct net *n)
{
	memset(n, 0, sizeof(*n));
	n->now_ns = 100 * NS_PER_S;
	for (uint32_t i = 0; i < VMS; i++) {
		struct peer_set_conf conf = {
			.self = address(i),
			.zone = i % ZONES,
			.boot = i + 1,
			.period_ns = HEARTBEAT_NS,
			.n_seeds = 2,
			.seeds = { address(0), address(1) },
		};

		n->vm[i] = peer_set_new(&conf, (struct rng){ i + 1 });
	}
}

static void net_close(struct net *n)
{
	for (uint32_t i = 0; i < VMS; i++)
		peer_set_free(n->vm[i]);
}

static void deliver(struct net *n, uint32_t from, uint64_t to,
		    const struct hello *h)
{
	uint8_t data[HELLO_MAX_BYTES];
	uint32_t size_bytes = hello_encode(h, data);
	struct hello got;
	uint32_t i = (uint32_t)(ADDR_IP(to) - ADDR_IP(address(0)));

	assert_int_not_equal(size_bytes, 0);
	assert_int_equal(hello_decode(data, size_bytes, &got), 0);
	if (i >= VMS || n->cut[from] != n->cut[i])
		return;
	peer_set_receive(n->vm[i], &got, n->now_ns);
}

static void net_pass(struct net *n, uint64_t ns)
{
	uint64_t end_ns = n->now_ns + ns;
	uint64_t to[ROOM];

	for (; n->now_ns < end_ns; n->now_ns += 20 * MS) {
		for (uint32_t i = 0; i < VMS; i++) {
			uint32_t k = peer_set_take_due(n->vm[i], false,
						       n->now_ns, to, ROOM);
			struct hello h = { 0 };

			peer_set_fill_hello(n->vm[i], &h, n->now_ns);
			for (uint32_t j = 0; j < k; j++)
				deliver(n, i, to[j], &h);
		}
	}
}

static void test_all_find_each_other(void **state)
{
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 3 * NS_PER_S);
	for (uint32_t i = 0; i < VMS; i++)
		assert_int_equal(peer_set_count_live(n.vm[i], n.now_ns),
				 VMS - 1);
	net_close(&n);
}

static void test_one_reader_a_data_centre(void **state)
{
	uint32_t readers[ZONES] = { 0 };
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 3 * NS_PER_S);
	for (uint32_t i = 0; i < VMS; i++)
		readers[i % ZONES] +=
			peer_set_reader_rank(n.vm[i], n.now_ns) == 0;
	for (uint32_t z = 0; z < ZONES; z++)
		assert_int_equal(readers[z], 1);
	net_close(&n);
}

/*
 * Symptom: the platform is called 80 times a second by a fleet at rest.
 * Sequence: in a data centre of 57 each VM hears of any other but now and then.
 * Cause: whom it had not heard of for 0.7 s it took for lost, the reader too.
 */
static void test_one_reader_among_many(void **state)
{
	struct peer_set *vm[CROWD];
	uint64_t to[ROOM];
	uint64_t now_ns = 100 * NS_PER_S;
	uint32_t reading = 0, first = 0;

	(void)state;
	for (uint32_t i = 0; i < CROWD; i++) {
		struct peer_set_conf conf = {
			.self = address(i),
			.boot = i + 1,
			.period_ns = HEARTBEAT_NS,
			.n_seeds = 1,
			.seeds = { address(0) },
		};

		vm[i] = peer_set_new(&conf, (struct rng){ i + 1 });
	}
	for (uint32_t step = 0; step < 500; step++, now_ns += 20 * MS) {
		for (uint32_t i = 0; i < CROWD; i++) {
			uint32_t k = peer_set_take_due(vm[i], false, now_ns, to,
						       ROOM);
			struct hello h = { 0 };

			peer_set_fill_hello(vm[i], &h, now_ns);
			for (uint32_t j = 0; j < k; j++)
				peer_set_receive(vm[ADDR_IP(to[j]) -
						    ADDR_IP(address(0))],
						 &h, now_ns);
		}
		for (uint32_t i = 0; i < CROWD && step % 100 == 50; i++)
			if (!peer_set_reader_rank(vm[i], now_ns))
				peer_set_note_contact(vm[i], at(step + 1),
						      now_ns);
		if (step < 250 || step % 50)
			continue;
		for (uint32_t i = 0; i < CROWD; i++) {
			first += !peer_set_reader_rank(vm[i], now_ns);
			reading += peer_set_others_contact_ns(vm[i], now_ns) +
					   2400 * MS <
				   now_ns;
		}
	}
	/* Five looks: each time one, which is the one that reads. */
	assert_int_equal(first, 5);
	assert_int_equal(reading, 5);
	for (uint32_t i = 0; i < CROWD; i++)
		peer_set_free(vm[i]);
}

/*
 * Symptom: a data centre that is cut off from the others hears of changes late.
 * Sequence: two others read for all. Cause: it waited for what they told last to
 * grow old, though nobody elsewhere was heard any more.
 */
static void test_who_hears_nobody_elsewhere_reads(void **state)
{
	uint32_t before = 0;
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 2 * NS_PER_S);
	for (uint32_t i = 0; i < ZONES; i++)
		peer_set_note_contact(n.vm[i], at(50), n.now_ns);
	net_pass(&n, NS_PER_S);
	for (uint32_t i = 0; i < VMS; i++)
		before += peer_set_readers_before(
			n.vm[i], n.now_ns - 2 * NS_PER_S, n.now_ns);
	/* Three of the first data centre, three of the second, and so on. */
	assert_int_equal(before, 3 * (0 + 1 + 2));
	for (uint32_t i = 0; i < VMS; i++)
		assert_int_equal(peer_set_readers_before(
					 n.vm[i], n.now_ns - 2 * NS_PER_S,
					 n.now_ns + 1300 * MS),
				 0);
	/* What was said long ago does not count either. */
	for (uint32_t i = 0; i < VMS; i++)
		assert_int_equal(peer_set_readers_before(n.vm[i], n.now_ns,
							 n.now_ns),
				 0);
	net_close(&n);
}

/*
 * Symptom: after a partition the two sides know nothing of each other for good.
 * Sequence: some VMs, seeds among them, are cut off for longer than they are
 * counted as live. Cause: nobody tried those that were not heard of.
 */
static void test_partition_heals(void **state)
{
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 2 * NS_PER_S);
	n.cut[0] = n.cut[3] = n.cut[6] = true;
	net_pass(&n, 10 * NS_PER_S);
	assert_int_equal(peer_set_count_live(n.vm[0], n.now_ns), 2);
	assert_int_equal(peer_set_count_live(n.vm[1], n.now_ns), 5);
	memset(n.cut, 0, sizeof(n.cut));
	net_pass(&n, 4 * NS_PER_S);
	for (uint32_t i = 0; i < VMS; i++)
		assert_int_equal(peer_set_count_live(n.vm[i], n.now_ns),
				 VMS - 1);
	net_close(&n);
}

static void test_trouble_of_the_platform_is_told(void **state)
{
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 2 * NS_PER_S);
	assert_int_equal(peer_set_platform_fault_ns(n.vm[8]), 0);
	peer_set_note_platform_fault(n.vm[0], n.now_ns, n.now_ns);
	net_pass(&n, 2 * NS_PER_S);
	for (uint32_t i = 0; i < VMS; i++)
		assert_int_not_equal(peer_set_platform_fault_ns(n.vm[i]), 0);
	net_close(&n);
}

static void test_peer_ahead_is_found(void **state)
{
	struct sync_state older = { { 0, 49 }, 0, 0 };
	struct sync_state same = { { 0, 50 }, 0, 0 };
	struct net n;
	struct hello h = { .from = address(4), .zone = 1, .newest = { 0, 50 } };

	(void)state;
	net_open(&n);
	peer_set_receive(n.vm[0], &h, n.now_ns);
	assert_int_equal(
		peer_set_find_ahead_of(n.vm[0], &older, n.now_ns)->addr,
		address(4));
	assert_null(peer_set_find_ahead_of(n.vm[0], &same, n.now_ns));
	/* Not one that fell silent. */
	assert_null(
		peer_set_find_ahead_of(n.vm[0], &older, n.now_ns + NS_PER_S));
	net_close(&n);
}

/* Guards against entries that never ask who has read the restored store. */
static void test_peer_of_a_later_epoch_is_ahead(void **state)
{
	struct sync_state before = { { 1, 50 }, 0, 0 };
	struct sync_state later = { { 3, 1 }, 0, 0 };
	struct net n;
	struct hello h = { .from = address(4), .zone = 1, .newest = { 2, 40 } };

	(void)state;
	net_open(&n);
	peer_set_receive(n.vm[0], &h, n.now_ns);
	assert_non_null(peer_set_find_ahead_of(n.vm[0], &before, n.now_ns));
	assert_null(peer_set_find_ahead_of(n.vm[0], &later, n.now_ns));
	net_close(&n);
}

/* Guards against two that ask each other for what they carry without end. */
static void test_who_carries_more_is_asked_once(void **state)
{
	struct sync_state own = { { 2, 40 }, 0, 0 };
	struct net n;
	struct hello h = { .from = address(4),
			   .zone = 1,
			   .newest = { 2, 40 },
			   .retained_digest = 77 };

	(void)state;
	net_open(&n);
	peer_set_receive(n.vm[0], &h, n.now_ns);
	assert_non_null(peer_set_find_ahead_of(n.vm[0], &own, n.now_ns));
	own.fetched_digest = 77;
	assert_null(peer_set_find_ahead_of(n.vm[0], &own, n.now_ns));
	own = (struct sync_state){ { 2, 40 }, 77, 0 };
	assert_null(peer_set_find_ahead_of(n.vm[0], &own, n.now_ns));
	/* Of another epoch it is not what is missing here. */
	own = (struct sync_state){ { 3, 1 }, 0, 0 };
	assert_null(peer_set_find_ahead_of(n.vm[0], &own, n.now_ns));
	net_close(&n);
}

static void test_who_is_alone_hurries_for_a_while_only(void **state)
{
	struct net n;
	uint64_t to[ROOM];
	uint32_t first = 0, hurried = 0, later = 0;

	(void)state;
	net_open(&n);
	for (uint32_t i = 0; i < 500; i++, n.now_ns += 20 * MS) {
		uint32_t due = peer_set_take_due(n.vm[8], false, n.now_ns, to,
						 ROOM) > 0;

		first += i < 3 ? due : 0;
		hurried += i < 100 ? due : 0;
		later += i < 100 ? 0 : due;
	}
	/* At once, then less and less: three seeds hear hundreds of VMs. */
	assert_int_equal(first, 3);
	assert_in_range(hurried, 24, 30);
	assert_in_range(later, 35, 45);
	net_close(&n);
}

/*
 * Symptom: in a large fleet an entry does not know its neighbours, reads the
 * store though another does, and hears of changes late. Sequence: it is told of
 * thousands of VMs elsewhere first. Cause: they filled its table.
 */
static void test_far_peers_leave_room_for_near_ones(void **state)
{
	struct net n;

	(void)state;
	net_open(&n);
	for (uint32_t i = 0; i < 2000; i++) {
		struct hello h = { .from = ADDR(0x0c000000 + i, 7720),
				   .zone = 77,
				   .boot = 1 };

		peer_set_receive(n.vm[0], &h, n.now_ns);
	}
	for (uint32_t i = 0; i < 400; i++) {
		struct hello h = { .from = ADDR(0x0d000000 + i, 7720),
				   .zone = 0,
				   .boot = 1 };

		peer_set_receive(n.vm[0], &h, n.now_ns);
	}
	assert_in_range(peer_set_count_live(n.vm[0], n.now_ns), 401, 464);
	net_close(&n);
}

static void test_loads_of_peers_are_summed(void **state)
{
	struct bed b;
	struct target *t;
	struct net n;
	struct hello h = { 0 };

	(void)state;
	bed_open(&b);
	net_open(&n);
	t = bed_target(&b, 1, SERVICE, ZONE);
	t->feeds = 4;
	t->short_mean = 1.5f;
	t->running_mean = 0.25f;
	loads_fill_hello(b.directory, &h);
	for (uint32_t i = 1; i <= 3; i++) {
		h.from = address(i);
		peer_set_receive(n.vm[0], &h, n.now_ns);
	}
	loads_sum_peers(b.directory, n.vm[0], n.now_ns);
	assert_int_equal((int)t->peers_feeds, 12);
	assert_int_equal((int)(t->peers_short * 10), 45);
	assert_int_equal((int)(t->peers_running * 100), 75);
	loads_sum_peers(b.directory, n.vm[0], n.now_ns + 3 * NS_PER_S);
	assert_int_equal((int)t->peers_feeds, 0);
	assert_int_equal((int)(t->peers_running * 100), 0);
	net_close(&n);
	bed_close(&b);
}

/*
 * Symptom: peers count an entry out while it is at its busiest. Sequence: its
 * loads are many and large, so a heartbeat passes the size of a datagram.
 * Cause: it was not sent at all then.
 */
static void test_fullest_heartbeat_fits(void **state)
{
	uint8_t data[HELLO_MAX_BYTES];
	struct hello got, h = {
		.from = UINT64_MAX,
		.zone = UINT32_MAX,
		.boot = UINT64_MAX,
		.leaving = true,
		.reply = true,
		.newest = { UINT64_MAX, UINT64_MAX },
		.retained_digest = UINT64_MAX,
		.epoch_age_ms = UINT32_MAX,
		.fault_age_ms = UINT32_MAX,
		.n_peers = HELLO_PEERS_MAX,
		.has_loads = true,
		.n_loads = HELLO_LOADS_MAX,
		.n_failing = HELLO_FAILING_MAX,
		.n_claims = HELLO_CLAIMS_MAX,
	};
	uint32_t n;

	(void)state;
	for (uint32_t i = 0; i < HELLO_PEERS_MAX; i++)
		h.peers[i] =
			(struct hello_peer){ UINT32_MAX, UINT32_MAX, 2000 };
	for (uint32_t i = 0; i < HELLO_LOADS_MAX; i++)
		h.loads[i] = (struct hello_load){ UINT32_MAX, UINT16_MAX,
						  UINT16_MAX, UINT16_MAX };
	for (uint32_t i = 0; i < HELLO_FAILING_MAX; i++)
		h.failing[i] =
			(struct hello_failing){ UINT32_MAX - i, UINT16_MAX };
	for (uint32_t i = 0; i < HELLO_CLAIMS_MAX; i++)
		h.claims[i] =
			(struct hello_claim){ UINT32_MAX,
					      UINT64_MAX,
					      { UINT64_MAX, UINT64_MAX - i },
					      UINT32_MAX,
					      UINT32_MAX };
	n = hello_encode(&h, data);
	assert_in_range(n, 1000, HELLO_MAX_BYTES);
	assert_int_equal(hello_decode(data, n, &got), 0);
	assert_int_equal(got.n_loads, HELLO_LOADS_MAX);
	assert_int_equal(got.n_failing, HELLO_FAILING_MAX);
	assert_int_equal(got.n_claims, HELLO_CLAIMS_MAX);
	assert_int_equal(got.claims[2].position.epoch, UINT64_MAX);
	assert_int_equal(got.claims[2].position.revision, UINT64_MAX - 2);
	assert_int_equal(got.newest.epoch, UINT64_MAX);
	assert_int_equal(got.retained_digest, UINT64_MAX);
	assert_int_equal(got.failing[3].cookie, UINT32_MAX - 3);
	assert_int_equal(got.failing[3].failures_centi, UINT16_MAX);
}

static void test_cut_and_foreign_datagrams_are_refused(void **state)
{
	uint8_t data[HELLO_MAX_BYTES];
	struct hello h = { .from = address(1),
			   .n_dead = 1,
			   .dead = { { 7, 1234 } } };
	struct hello got;
	uint32_t n = hello_encode(&h, data);

	(void)state;
	for (uint32_t i = 0; i < n; i++)
		assert_int_not_equal(hello_decode(data, i, &got), 0);
	assert_int_equal(hello_decode(data, n, &got), 0);
	assert_int_equal(got.dead[0].id, 7);
	assert_int_equal(got.dead[0].started_ms, 1234);
	memset(data, 0xdd, sizeof(data)); /* an array of 4 billion */
	assert_int_not_equal(hello_decode(data, sizeof(data), &got), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_peer_of_a_later_epoch_is_ahead),
		cmocka_unit_test(test_who_carries_more_is_asked_once),
		cmocka_unit_test(test_all_find_each_other),
		cmocka_unit_test(test_one_reader_a_data_centre),
		cmocka_unit_test(test_one_reader_among_many),
		cmocka_unit_test(test_who_hears_nobody_elsewhere_reads),
		cmocka_unit_test(test_partition_heals),
		cmocka_unit_test(test_trouble_of_the_platform_is_told),
		cmocka_unit_test(test_peer_ahead_is_found),
		cmocka_unit_test(test_who_is_alone_hurries_for_a_while_only),
		cmocka_unit_test(test_far_peers_leave_room_for_near_ones),
		cmocka_unit_test(test_loads_of_peers_are_summed),
		cmocka_unit_test(test_fullest_heartbeat_fits),
		cmocka_unit_test(test_cut_and_foreign_datagrams_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
