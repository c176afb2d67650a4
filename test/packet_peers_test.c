/* Discovery of peers, ranks of readers, loads, and heartbeats on the wire. */
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

#define NET_VMS 9
#define NET_ZONES 3
#define HEARTBEAT_NS (200 * MS)
#define ADDRESSES_MAX 16
#define MANY_VMS 57

static struct position at(uint64_t revision)
{
	return (struct position){ 0, revision };
}

static uint64_t address(uint32_t i)
{
	return ADDR(0x0a000001 + i, 7720);
}

struct net {
	struct peer_set *vm[NET_VMS];
	bool cut[NET_VMS];
	uint64_t now_ns;
};

static void net_open(struct net *n)
{
	memset(n, 0, sizeof(*n));
	n->now_ns = 100 * NS_PER_S;
	for (uint32_t i = 0; i < NET_VMS; i++) {
		struct peer_set_conf conf = {
			.self = address(i),
			.zone = i % NET_ZONES,
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
	for (uint32_t i = 0; i < NET_VMS; i++)
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
	if (i >= NET_VMS || n->cut[from] != n->cut[i])
		return;
	peer_set_receive(n->vm[i], &got, n->now_ns);
}

static void net_pass(struct net *n, uint64_t ns)
{
	uint64_t end_ns = n->now_ns + ns;
	uint64_t to[ADDRESSES_MAX];

	for (; n->now_ns < end_ns; n->now_ns += 20 * MS) {
		for (uint32_t i = 0; i < NET_VMS; i++) {
			uint32_t k = peer_set_take_due(
				n->vm[i], false, n->now_ns, to, ADDRESSES_MAX);
			struct hello h = { 0 };

			peer_set_fill_hello(n->vm[i], &h, n->now_ns);
			for (uint32_t j = 0; j < k; j++)
				deliver(n, i, to[j], &h);
		}
	}
}

static void test_all_vms_discover_each_other(void **state)
{
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 3 * NS_PER_S);
	for (uint32_t i = 0; i < NET_VMS; i++)
		assert_int_equal(peer_set_count_live(n.vm[i], n.now_ns),
				 NET_VMS - 1);
	net_close(&n);
}

static void test_each_data_centre_has_one_reader(void **state)
{
	uint32_t readers[NET_ZONES] = { 0 };
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 3 * NS_PER_S);
	for (uint32_t i = 0; i < NET_VMS; i++)
		readers[i % NET_ZONES] +=
			peer_set_reader_rank(n.vm[i], n.now_ns) == 0;
	for (uint32_t z = 0; z < NET_ZONES; z++)
		assert_int_equal(readers[z], 1);
	net_close(&n);
}

/*
 * An idle fleet calls the platform 80 times a second. In a data centre of 57
 * VMs, each hears from any other one only now and then. After 0.7 s without a
 * heartbeat it counted that one as lost, the reader too.
 */
static void test_many_vms_agree_on_one_reader(void **state)
{
	struct peer_set *vm[MANY_VMS];
	uint64_t to[ADDRESSES_MAX];
	uint64_t now_ns = 100 * NS_PER_S;
	uint32_t reading = 0, first = 0;

	(void)state;
	for (uint32_t i = 0; i < MANY_VMS; i++) {
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
		for (uint32_t i = 0; i < MANY_VMS; i++) {
			uint32_t k = peer_set_take_due(vm[i], false, now_ns, to,
						       ADDRESSES_MAX);
			struct hello h = { 0 };

			peer_set_fill_hello(vm[i], &h, now_ns);
			for (uint32_t j = 0; j < k; j++)
				peer_set_receive(vm[ADDR_IP(to[j]) -
						    ADDR_IP(address(0))],
						 &h, now_ns);
		}
		for (uint32_t i = 0; i < MANY_VMS && step % 100 == 50; i++)
			if (!peer_set_reader_rank(vm[i], now_ns))
				peer_set_note_contact(vm[i], at(step + 1),
						      now_ns);
		if (step < 250 || step % 50)
			continue;
		for (uint32_t i = 0; i < MANY_VMS; i++) {
			first += !peer_set_reader_rank(vm[i], now_ns);
			reading += peer_set_others_contact_ns(vm[i], now_ns) +
					   2400 * MS <
				   now_ns;
		}
	}
	/* Of five samples, each has one VM of rank 0, which is the reader. */
	assert_int_equal(first, 5);
	assert_int_equal(reading, 5);
	for (uint32_t i = 0; i < MANY_VMS; i++)
		peer_set_free(vm[i]);
}

/*
 * Changes reach a data centre late when it is partitioned from the two others
 * that read for all. It must not wait for their claims to expire when no
 * heartbeat of another data centre arrives any more.
 */
static void test_partitioned_data_centre_reads_itself(void **state)
{
	uint32_t before = 0;
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 2 * NS_PER_S);
	for (uint32_t i = 0; i < NET_ZONES; i++)
		peer_set_note_contact(n.vm[i], at(50), n.now_ns);
	net_pass(&n, NS_PER_S);
	for (uint32_t i = 0; i < NET_VMS; i++)
		before += peer_set_readers_before(
			n.vm[i], n.now_ns - 2 * NS_PER_S, n.now_ns);
	/* Each data centre has three VMs; 0, 1 and 2 of them precede it. */
	assert_int_equal(before, 3 * (0 + 1 + 2));
	for (uint32_t i = 0; i < NET_VMS; i++)
		assert_int_equal(peer_set_readers_before(
					 n.vm[i], n.now_ns - 2 * NS_PER_S,
					 n.now_ns + 1300 * MS),
				 0);
	/* Old claims do not count either. */
	for (uint32_t i = 0; i < NET_VMS; i++)
		assert_int_equal(peer_set_readers_before(n.vm[i], n.now_ns,
							 n.now_ns),
				 0);
	net_close(&n);
}

/*
 * After a partition the two sides never find each other again. Some VMs, seeds
 * among them, are partitioned for longer than they count as live, and nobody
 * tries VMs that are not live.
 */
static void test_vms_rediscover_each_other_after_partition(void **state)
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
	for (uint32_t i = 0; i < NET_VMS; i++)
		assert_int_equal(peer_set_count_live(n.vm[i], n.now_ns),
				 NET_VMS - 1);
	net_close(&n);
}

static void test_platform_failure_reaches_all_vms(void **state)
{
	struct net n;

	(void)state;
	net_open(&n);
	net_pass(&n, 2 * NS_PER_S);
	assert_int_equal(peer_set_platform_failed_ns(n.vm[8]), 0);
	peer_set_note_platform_failure(n.vm[0], n.now_ns, n.now_ns);
	net_pass(&n, 2 * NS_PER_S);
	for (uint32_t i = 0; i < NET_VMS; i++)
		assert_int_not_equal(peer_set_platform_failed_ns(n.vm[i]), 0);
	net_close(&n);
}

static void test_peer_with_newer_documents_is_found(void **state)
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
	/* A peer that is no longer live does not count. */
	assert_null(
		peer_set_find_ahead_of(n.vm[0], &older, n.now_ns + NS_PER_S));
	net_close(&n);
}

/* Entries must fetch from one that has read the restored platform. */
static void test_peer_of_later_epoch_is_ahead(void **state)
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

/* Two entries must not fetch retained documents from each other without end. */
static void test_peer_with_other_retained_documents_is_asked_once(void **state)
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
	/* Documents retained in an earlier epoch are of no use here. */
	own = (struct sync_state){ { 3, 1 }, 0, 0 };
	assert_null(peer_set_find_ahead_of(n.vm[0], &own, n.now_ns));
	net_close(&n);
}

/* Lone VMs must not flood the seeds with heartbeats. */
static void test_short_interval_of_lone_vm_is_limited(void **state)
{
	struct net n;
	uint64_t to[ADDRESSES_MAX];
	uint32_t first = 0, early = 0, later = 0;

	(void)state;
	net_open(&n);
	for (uint32_t i = 0; i < 500; i++, n.now_ns += 20 * MS) {
		uint32_t due = peer_set_take_due(n.vm[8], false, n.now_ns, to,
						 ADDRESSES_MAX) > 0;

		first += i < 3 ? due : 0;
		early += i < 100 ? due : 0;
		later += i < 100 ? 0 : due;
	}
	/* At once, then at growing intervals: hundreds of VMs share the
	 * seeds. */
	assert_int_equal(first, 3);
	assert_in_range(early, 24, 30);
	assert_in_range(later, 35, 45);
	net_close(&n);
}

/*
 * In a large fleet an entry does not know the VMs of its data centre, reads the
 * platform although another one does, and learns of changes late: thousands of
 * VMs elsewhere, named to it first, fill its table.
 */
static void test_remote_peers_do_not_fill_table(void **state)
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

/* Guards against an estimate of the flows that peers open from peers that use
 * other targets, and from those that have stopped. */
static void test_ages_of_loads_are_those_of_own_zone(void **state)
{
	struct long_flow_peers peers;
	struct net n;
	struct hello h = { 0 };

	(void)state;
	net_open(&n);
	for (uint32_t i = 1; i <= 6; i++) {
		h.from = address(i);
		h.zone = i % NET_ZONES;
		h.leaving = i == 6;
		peer_set_receive(n.vm[0], &h, n.now_ns);
	}
	peers = loads_peers_of_zone(n.vm[0], 1, n.now_ns + 300 * MS);
	assert_int_equal(peers.n, 2);
	assert_float_equal(peers.ages_s, 0.6f, 0.001f);
	assert_int_equal(loads_peers_of_zone(n.vm[0], 0, n.now_ns).n, 1);
	assert_int_equal(
		loads_peers_of_zone(n.vm[0], 1, n.now_ns + 3 * NS_PER_S).n, 0);
	net_close(&n);
}

/*
 * Peers count an entry as lost when it is busiest: a heartbeat with many large
 * loads that exceeds the size of a datagram is not sent at all.
 */
static void test_largest_heartbeat_fits_datagram(void **state)
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
		.platform_failed_age_ms = UINT32_MAX,
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

static void test_truncated_and_foreign_datagrams_are_rejected(void **state)
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
		cmocka_unit_test(test_peer_of_later_epoch_is_ahead),
		cmocka_unit_test(
			test_peer_with_other_retained_documents_is_asked_once),
		cmocka_unit_test(test_all_vms_discover_each_other),
		cmocka_unit_test(test_each_data_centre_has_one_reader),
		cmocka_unit_test(test_many_vms_agree_on_one_reader),
		cmocka_unit_test(test_partitioned_data_centre_reads_itself),
		cmocka_unit_test(
			test_vms_rediscover_each_other_after_partition),
		cmocka_unit_test(test_platform_failure_reaches_all_vms),
		cmocka_unit_test(test_peer_with_newer_documents_is_found),
		cmocka_unit_test(test_short_interval_of_lone_vm_is_limited),
		cmocka_unit_test(test_remote_peers_do_not_fill_table),
		cmocka_unit_test(test_loads_of_peers_are_summed),
		cmocka_unit_test(test_ages_of_loads_are_those_of_own_zone),
		cmocka_unit_test(test_largest_heartbeat_fits_datagram),
		cmocka_unit_test(
			test_truncated_and_foreign_datagrams_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
