/* Faults in the spread of configuration, on a fake clock and network. */
#include "spread_net.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define N 8
#define READERS 2
#define SEED 20261202
#define ACCOUNT "account/sailing"
#define SETTLE (5 * NET_S)
#define IN_FORCE (3 * NET_S)

/* Generations that each of the VMs from @first to @last has in force. */
static void assert_range(const struct net *net, uint32_t first, uint32_t last,
			 uint64_t generation)
{
	for (uint32_t i = first; i <= last; i++)
		if (net_alive(net, i))
			assert_int_equal(net_generation(net, i, ACCOUNT),
					 generation);
}

static void assert_all(const struct net *net, uint64_t generation)
{
	assert_range(net, 0, N - 1, generation);
	assert_int_equal(net_falls(net), 0);
}

static struct net *started(void)
{
	struct net *net = net_new(N, READERS, SEED);

	net_publish(net, ACCOUNT, "1|a|b");
	net_run(net, SETTLE);
	assert_all(net, 1);
	assert_true(net_converged(net));
	assert_int_equal(net_readers(net), READERS);
	return net;
}

static uint32_t a_reader(const struct net *net)
{
	uint32_t i = 0;

	while (!net_reader(net, i))
		i++;
	return i;
}

static void change_reaches_all(void **state)
{
	struct net *net = started();
	uint64_t wholes = net_wholes(net);

	(void)state;
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, NET_S);
	assert_all(net, 2);
	assert_int_equal(net_wholes(net), wholes);
	net_free(net);
}

/*
 * Symptom: a publication is in force nowhere although the platform has it.
 * Events: every reader dies, then the operator publishes.
 * Cause: the others wait for readers that are gone; the next in rank have to
 * miss their heartbeats and take over.
 */
static void readers_die(void **state)
{
	struct net *net = started();

	(void)state;
	for (uint32_t i = 0; i < N; i++)
		if (net_reader(net, i))
			net_kill(net, i);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, 2 * NET_S);
	assert_all(net, 2);
	assert_int_equal(net_readers(net), READERS);
	net_free(net);
}

/*
 * Symptom: while readers sleep a publication is not read; or they undo it.
 * Events: all readers are paused for 10 s, the generation moves on, they wake.
 * Cause: the others count on readers that are silent, or the woken ones act on
 * what they saw before.
 */
static void readers_pause(void **state)
{
	struct net *net = started();
	bool paused[N];

	(void)state;
	for (uint32_t i = 0; i < N; i++) {
		paused[i] = net_reader(net, i);
		net_pause(net, i, paused[i]);
	}
	net_run(net, 5 * NET_S);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, 5 * NET_S);
	for (uint32_t i = 0; i < N; i++)
		assert_int_equal(net_generation(net, i, ACCOUNT),
				 paused[i] ? 1 : 2);
	for (uint32_t i = 0; i < N; i++)
		net_pause(net, i, false);
	net_run(net, IN_FORCE);
	assert_all(net, 2);
	assert_int_equal(net_readers(net), READERS);
	net_free(net);
}

/*
 * Symptom: an old generation comes back.
 * Events: generation 2 is in force, then the platform shows an older view of
 * itself for a while, also to readers that start anew.
 * Cause: what the platform says is taken for the truth.
 */
static void platform_goes_stale(void **state)
{
	struct net *net = started();
	uint32_t reader = a_reader(net);

	(void)state;
	net_remember(net);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE);
	net_platform(net, NET_STALE);
	net_kill(net, reader);
	net_start(net, reader);
	net_run(net, 120 * NET_S);
	assert_all(net, 2);
	net_platform(net, NET_UP);
	net_publish(net, ACCOUNT, "3|d");
	net_run(net, IN_FORCE);
	assert_all(net, 3);
	net_free(net);
}

/*
 * Symptom: a new VM serves generation 1 while its peers have 2.
 * Events: a VM is replaced while the platform is stale.
 * Cause: it has no memory, and asks the platform before its peers.
 */
static void restart_while_stale(void **state)
{
	struct net *net = started();

	(void)state;
	net_remember(net);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE);
	net_platform(net, NET_STALE);
	for (uint32_t i = 0; i < N; i++) {
		net_kill(net, i);
		net_run(net, NET_S);
		net_start(net, i);
		while (!net_serving(net, i))
			net_run(net, 10 * NET_MS);
		assert_int_equal(net_generation(net, i, ACCOUNT), 2);
		assert_int_equal(net_joined_alone(net, i), 0);
	}
	net_run(net, IN_FORCE);
	assert_all(net, 2);
	net_free(net);
}

/*
 * Symptom: a VM whose peers are all unreachable never serves.
 * Events: it is replaced while a partition cuts it off from its peers, not
 * from the platform; later the partition heals.
 * Cause: it waits for answers of peers without a bound.
 */
static void restart_alone(void **state)
{
	struct net *net = started();

	(void)state;
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE);
	for (uint32_t i = 1; i < N; i++)
		net_side(net, i, 1);
	net_kill(net, 0);
	net_run(net, NET_S);
	net_start(net, 0);
	net_run(net, 5 * NET_S);
	assert_true(net_serving(net, 0));
	assert_int_equal(net_generation(net, 0, ACCOUNT), 2);
	assert_int_equal(net_joined_alone(net, 0), 1);
	for (uint32_t i = 1; i < N; i++)
		net_side(net, i, 0);
	net_publish(net, ACCOUNT, "3|e");
	net_run(net, 30 * NET_S);
	assert_all(net, 3);
	assert_true(net_converged(net));
	net_free(net);
}

/*
 * Symptom: a VM that is replaced while the platform is down never serves.
 * Events: its peers find it by their lists and give it all, the list of VMs
 * too; the platform comes back and shows the same list.
 * Cause: the list counts only when the platform brings it anew.
 */
static void restart_while_platform_down(void **state)
{
	struct net *net = started();

	(void)state;
	net_platform(net, NET_DOWN);
	net_kill(net, 0);
	net_start(net, 0);
	net_run(net, 30 * NET_S);
	assert_true(net_serving(net, 0));
	assert_int_equal(net_joined_alone(net, 0), 0);
	assert_all(net, 1);
	net_free(net);
}

/*
 * Symptom: after a partition one half keeps an old generation, or the newer
 * half falls back.
 * Events: half of the VMs lose the other half and the platform; generations
 * 2 and 3 are published; the partition heals.
 * Cause: nobody on the far side reads, and neither side asks the other again.
 */
static void partition_heals(void **state)
{
	struct net *net = started();

	(void)state;
	for (uint32_t i = N / 2; i < N; i++)
		net_side(net, i, 1);
	net_run(net, 30 * NET_S);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE);
	net_publish(net, ACCOUNT, "3|a|d");
	net_run(net, IN_FORCE);
	assert_range(net, 0, N / 2 - 1, 3);
	assert_range(net, N / 2, N - 1, 1);
	for (uint32_t i = N / 2; i < N; i++)
		net_side(net, i, 0);
	net_run(net, 10 * NET_S);
	assert_all(net, 3);
	assert_true(net_converged(net));
	net_free(net);
}

/*
 * Symptom: half of an account is in force, or none of it.
 * Events: a document that can't be rendered is published, then a good one.
 * Cause: the parts that could be read are taken, or the old ones dropped.
 */
static void bad_document(void **state)
{
	struct net *net = started();

	(void)state;
	net_publish(net, ACCOUNT, "generation two");
	net_run(net, IN_FORCE);
	assert_all(net, 1);
	assert_true(net_refused(net, a_reader(net)) > 0);
	net_publish(net, ACCOUNT, "2|a|unreadable");
	net_run(net, IN_FORCE);
	assert_all(net, 1);
	net_publish(net, ACCOUNT, "3|a");
	net_run(net, IN_FORCE);
	assert_all(net, 3);
	net_free(net);
}

/*
 * Symptom: what is in force changes under the same generation.
 * Events: an operator publishes generation 2 again, with another content.
 * Cause: the platform's last word is taken.
 */
static void same_generation_again(void **state)
{
	struct net *net = started();
	uint64_t hash;

	(void)state;
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE);
	hash = net_hash(net, 0, ACCOUNT);
	net_publish(net, ACCOUNT, "2|a|other");
	net_run(net, 90 * NET_S);
	assert_all(net, 2);
	for (uint32_t i = 0; i < N; i++)
		assert_int_equal(net_hash(net, i, ACCOUNT), hash);
	assert_int_equal(net_rewrites(net), 0);
	assert_true(net_conflicts(net) > 0);
	net_free(net);
}

/*
 * Symptom: VMs of one data centre run different contents under one generation.
 * Events: two operators publish generation 2 at once; a reader that is cut
 * off sees only the first document, all others only the second.
 * Cause: whatever is read first stays; the first one published has to win.
 */
static void same_generation_twice(void **state)
{
	struct net *net = started();
	uint32_t apart = a_reader(net);
	uint32_t other = apart ? 0 : 1;
	uint64_t hash;

	(void)state;
	for (uint32_t i = 0; i < N; i++)
		net_side(net, i, i != apart);
	net_publish(net, ACCOUNT, "2|x");
	net_run(net, IN_FORCE);
	for (uint32_t i = 0; i < N; i++)
		net_side(net, i, i == apart);
	net_publish(net, ACCOUNT, "2|y");
	net_run(net, 40 * NET_S);
	assert_all(net, 2);
	hash = net_hash(net, apart, ACCOUNT);
	assert_int_not_equal(net_hash(net, other, ACCOUNT), hash);
	for (uint32_t i = 0; i < N; i++)
		net_side(net, i, 0);
	net_run(net, 30 * NET_S);
	for (uint32_t i = 0; i < N; i++)
		assert_int_equal(net_hash(net, i, ACCOUNT), hash);
	assert_true(net_conflicts(net) > 0);
	net_free(net);
}

/*
 * Symptom: a withdrawn account comes back.
 * Events: the account is deleted while a VM is cut off; the VM returns with
 * it, and the platform shows a stale view that still has it. Then it is
 * published anew, first without and then with a higher generation.
 * Cause: a VM that has the account can't be told from one that got it lately.
 */
static void withdrawn_account(void **state)
{
	struct net *net = started();

	(void)state;
	net_remember(net);
	net_side(net, 7, 1);
	net_delete(net, ACCOUNT);
	net_run(net, IN_FORCE);
	for (uint32_t i = 0; i < N - 1; i++)
		assert_true(net_withdrawn(net, i, ACCOUNT));
	net_platform(net, NET_STALE);
	net_side(net, 7, 0);
	net_run(net, 90 * NET_S);
	for (uint32_t i = 0; i < N; i++)
		assert_true(net_withdrawn(net, i, ACCOUNT));
	net_platform(net, NET_UP);
	net_publish(net, ACCOUNT, "1|a|b");
	net_run(net, IN_FORCE);
	for (uint32_t i = 0; i < N; i++)
		assert_true(net_withdrawn(net, i, ACCOUNT));
	net_publish(net, ACCOUNT, "2|a|b");
	net_run(net, IN_FORCE);
	for (uint32_t i = 0; i < N; i++)
		assert_false(net_withdrawn(net, i, ACCOUNT));
	assert_all(net, 2);
	net_free(net);
}

/*
 * Symptom: an account that is in force is withdrawn.
 * Events: an account is published; the platform then shows a view from before,
 * in which the account does not exist yet.
 * Cause: a key that the platform lacks is taken for deleted.
 */
static void stale_platform_lacks_account(void **state)
{
	struct net *net = net_new(N, READERS, SEED);

	(void)state;
	net_run(net, SETTLE);
	net_remember(net);
	net_publish(net, ACCOUNT, "1|a|b");
	net_run(net, IN_FORCE);
	net_platform(net, NET_STALE);
	net_kill(net, a_reader(net));
	net_run(net, 120 * NET_S);
	for (uint32_t i = 0; i < N; i++)
		if (net_alive(net, i))
			assert_false(net_withdrawn(net, i, ACCOUNT));
	assert_all(net, 1);
	net_free(net);
}

/*
 * Symptom: VMs stop serving, all of them call the platform, or its return is
 * not noticed.
 * Events: the platform is down for an hour; VMs are replaced meanwhile.
 * Cause: readers retry without bound, or every VM takes itself for a reader.
 */
static void platform_down_for_an_hour(void **state)
{
	struct net *net = started();
	uint64_t calls;

	(void)state;
	net_platform(net, NET_DOWN);
	net_run(net, 60 * NET_S);
	calls = net_calls(net);
	for (uint32_t i = 0; i < 3; i++)
		net_run(net, 1180 * NET_S);
	/* Five candidates, each a call in 15 to 30 s. */
	assert_true(net_calls(net) - calls < 5 * 3540 / 15);
	assert_all(net, 1);
	net_platform(net, NET_UP);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, 40 * NET_S);
	assert_all(net, 2);
	assert_int_equal(net_readers(net), READERS);
	net_free(net);
}

/*
 * Symptom: a change reaches some VMs only.
 * Events: one frame in four is lost, also of those that mend it.
 * Cause: offers are sent once; digests have to find what was missed.
 */
static void frames_are_lost(void **state)
{
	struct net *net = started();

	(void)state;
	net_lose(net, 4);
	for (uint64_t generation = 2; generation <= 10; generation++) {
		char text[32];

		snprintf(text, sizeof(text), "%lu|a|%lu", generation,
			 generation);
		net_publish(net, ACCOUNT, text);
		net_run(net, 20 * NET_S);
		assert_all(net, generation);
	}
	net_free(net);
}

/*
 * Symptom: publications have no effect any more, nowhere.
 * Events: the platform loses its memory and counts revisions from 0 again;
 * the operator publishes everything anew, then the next generation.
 * Cause: a document whose revision is below the known one is not even read.
 */
static void platform_starts_again(void **state)
{
	struct net *net = started();

	(void)state;
	for (uint64_t i = 0; i < 20; i++)
		net_publish(net, "template/t", "x");
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE);
	net_forget(net);
	net_publish(net, ACCOUNT, "1|a|b");
	net_run(net, 90 * NET_S);
	assert_all(net, 2);
	for (uint32_t i = 0; i < N; i++)
		assert_false(net_withdrawn(net, i, ACCOUNT));
	net_publish(net, ACCOUNT, "3|a|d");
	net_run(net, IN_FORCE);
	assert_all(net, 3);
	net_free(net);
}

/* A template takes force with the next generation of an account, not alone. */
static void template_with_next_generation(void **state)
{
	struct net *net = started();
	uint64_t hash;

	(void)state;
	net_publish(net, "template/t", "x|y");
	net_publish(net, ACCOUNT, "2|@t|a");
	net_run(net, IN_FORCE);
	assert_all(net, 2);
	hash = net_hash(net, 0, ACCOUNT);
	net_publish(net, "template/t", "x|z");
	net_run(net, 90 * NET_S);
	assert_int_equal(net_hash(net, 0, ACCOUNT), hash);
	net_publish(net, ACCOUNT, "3|@t|a");
	net_run(net, IN_FORCE);
	assert_all(net, 3);
	assert_int_not_equal(net_hash(net, 0, ACCOUNT), hash);
	net_publish(net, ACCOUNT, "4|@later|a");
	net_run(net, IN_FORCE);
	assert_all(net, 3);
	net_publish(net, "template/later", "z");
	net_run(net, IN_FORCE);
	assert_all(net, 4);
	assert_true(net_converged(net));
	net_free(net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(change_reaches_all),
		cmocka_unit_test(readers_die),
		cmocka_unit_test(readers_pause),
		cmocka_unit_test(platform_goes_stale),
		cmocka_unit_test(restart_while_stale),
		cmocka_unit_test(restart_alone),
		cmocka_unit_test(restart_while_platform_down),
		cmocka_unit_test(partition_heals),
		cmocka_unit_test(bad_document),
		cmocka_unit_test(same_generation_again),
		cmocka_unit_test(same_generation_twice),
		cmocka_unit_test(withdrawn_account),
		cmocka_unit_test(stale_platform_lacks_account),
		cmocka_unit_test(platform_down_for_an_hour),
		cmocka_unit_test(frames_are_lost),
		cmocka_unit_test(platform_starts_again),
		cmocka_unit_test(template_with_next_generation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
