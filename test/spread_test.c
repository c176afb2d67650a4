/* Relay of configuration under faults, on a simulated clock and network. */
#include "spread_net.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define N_VMS 8
#define N_READERS 2
#define SEED 20261202
#define ACCOUNT "account/sailing"
#define SETTLE_NS (5 * NET_S)
#define IN_FORCE_NS (3 * NET_S)

/* Each running VM from @first to @last has this generation in force. */
static void assert_generation_at(const struct net *net, uint32_t first,
				 uint32_t last, uint64_t generation)
{
	for (uint32_t i = first; i <= last; i++)
		if (net_is_running(net, i))
			assert_int_equal(net_generation(net, i, ACCOUNT),
					 generation);
}

static void assert_generation_at_all(const struct net *net, uint64_t generation)
{
	assert_generation_at(net, 0, N_VMS - 1, generation);
	assert_int_equal(net_regressions(net), 0);
}

static struct net *start_with_generation_1(void)
{
	struct net *net = net_new(N_VMS, N_READERS, SEED);

	net_publish(net, ACCOUNT, "1|a|b");
	net_run(net, SETTLE_NS);
	assert_generation_at_all(net, 1);
	assert_true(net_is_converged(net));
	assert_int_equal(net_reader_count(net), N_READERS);
	return net;
}

static uint32_t first_reader(const struct net *net)
{
	uint32_t i = 0;

	while (!net_is_reader(net, i))
		i++;
	return i;
}

static void change_is_sent_to_all_as_delta(void **state)
{
	struct net *net = start_with_generation_1();
	uint64_t wholes = net_whole_contents_sent(net);

	(void)state;
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, NET_S);
	assert_generation_at_all(net, 2);
	assert_int_equal(net_whole_contents_sent(net), wholes);
	net_free(net);
}

/*
 * Guards against a publication that the platform has but no VM puts in force:
 * all readers die before the operator publishes. The next VMs in rank have to
 * miss their heartbeats and read instead of them.
 */
static void standby_takes_over_when_all_readers_die(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	for (uint32_t i = 0; i < N_VMS; i++)
		if (net_is_reader(net, i))
			net_kill(net, i);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, 2 * NET_S);
	assert_generation_at_all(net, 2);
	assert_int_equal(net_reader_count(net), N_READERS);
	net_free(net);
}

/*
 * Guards against a publication that is not read while all readers are paused,
 * because the others still count on them, and against readers that restore the
 * older generation after they resume.
 */
static void standby_takes_over_while_readers_are_paused(void **state)
{
	struct net *net = start_with_generation_1();
	bool paused[N_VMS];

	(void)state;
	for (uint32_t i = 0; i < N_VMS; i++) {
		paused[i] = net_is_reader(net, i);
		net_pause(net, i, paused[i]);
	}
	net_run(net, 5 * NET_S);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, 5 * NET_S);
	for (uint32_t i = 0; i < N_VMS; i++)
		assert_int_equal(net_generation(net, i, ACCOUNT),
				 paused[i] ? 1 : 2);
	for (uint32_t i = 0; i < N_VMS; i++)
		net_pause(net, i, false);
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 2);
	assert_int_equal(net_reader_count(net), N_READERS);
	net_free(net);
}

/*
 * Guards against an old generation in force again: after generation 2 is in
 * force, the platform answers with an older state, to restarted readers too,
 * and its answers are preferred to the known version.
 */
static void stale_platform_does_not_restore_old_generation(void **state)
{
	struct net *net = start_with_generation_1();
	uint32_t reader = first_reader(net);

	(void)state;
	net_snapshot_platform(net);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE_NS);
	net_set_platform(net, NET_STALE);
	net_kill(net, reader);
	net_start(net, reader);
	net_run(net, 120 * NET_S);
	assert_generation_at_all(net, 2);
	net_set_platform(net, NET_UP);
	net_publish(net, ACCOUNT, "3|d");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 3);
	net_free(net);
}

/*
 * Guards against a restarted VM that puts generation 1 in force while its peers
 * have 2, because it has no stored state and asks the stale platform before its
 * peers.
 */
static void restarted_vm_prefers_peers_to_stale_platform(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	net_snapshot_platform(net);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE_NS);
	net_set_platform(net, NET_STALE);
	for (uint32_t i = 0; i < N_VMS; i++) {
		net_kill(net, i);
		net_run(net, NET_S);
		net_start(net, i);
		while (!net_is_serving(net, i))
			net_run(net, 10 * NET_MS);
		assert_int_equal(net_generation(net, i, ACCOUNT), 2);
		assert_int_equal(net_joined_alone(net, i), 0);
	}
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 2);
	net_free(net);
}

/*
 * Guards against a VM that never serves because it waits for its peers without
 * a limit: it restarts while a partition separates it from its peers, but not
 * from the platform. After the partition heals it converges with them.
 */
static void restarted_vm_without_peers_serves_platform_contents(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE_NS);
	for (uint32_t i = 1; i < N_VMS; i++)
		net_set_side(net, i, 1);
	net_kill(net, 0);
	net_run(net, NET_S);
	net_start(net, 0);
	net_run(net, 5 * NET_S);
	assert_true(net_is_serving(net, 0));
	assert_int_equal(net_generation(net, 0, ACCOUNT), 2);
	assert_int_equal(net_joined_alone(net, 0), 1);
	for (uint32_t i = 1; i < N_VMS; i++)
		net_set_side(net, i, 0);
	net_publish(net, ACCOUNT, "3|e");
	net_run(net, 30 * NET_S);
	assert_generation_at_all(net, 3);
	assert_true(net_is_converged(net));
	net_free(net);
}

/*
 * Guards against a VM that never serves when it restarts while the platform is
 * down. Its peers have it in their rosters and send it all contents, the list
 * of VMs too, which must not be required from the platform.
 */
static void restarted_vm_joins_while_platform_is_down(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	net_set_platform(net, NET_DOWN);
	net_kill(net, 0);
	net_start(net, 0);
	net_run(net, 30 * NET_S);
	assert_true(net_is_serving(net, 0));
	assert_int_equal(net_joined_alone(net, 0), 0);
	assert_generation_at_all(net, 1);
	net_free(net);
}

/*
 * Guards against a half that keeps an old generation after a partition, or
 * takes the other half back to it. Half of the VMs lose the others and the
 * platform while generations 2 and 3 are published; nobody on their side reads,
 * so the sides have to exchange digests again.
 */
static void halves_converge_after_partition(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	for (uint32_t i = N_VMS / 2; i < N_VMS; i++)
		net_set_side(net, i, 1);
	net_run(net, 30 * NET_S);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE_NS);
	net_publish(net, ACCOUNT, "3|a|d");
	net_run(net, IN_FORCE_NS);
	assert_generation_at(net, 0, N_VMS / 2 - 1, 3);
	assert_generation_at(net, N_VMS / 2, N_VMS - 1, 1);
	for (uint32_t i = N_VMS / 2; i < N_VMS; i++)
		net_set_side(net, i, 0);
	net_run(net, 10 * NET_S);
	assert_generation_at_all(net, 3);
	assert_true(net_is_converged(net));
	net_free(net);
}

/*
 * Guards against an account that is in force in part, or not at all, after a
 * document that cannot be rendered or parsed was published.
 */
static void malformed_document_keeps_previous_generation(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	net_publish(net, ACCOUNT, "generation two");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 1);
	assert_true(net_documents_refused(net, first_reader(net)) > 0);
	net_publish(net, ACCOUNT, "2|a|unreadable");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 1);
	net_publish(net, ACCOUNT, "3|a");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 3);
	net_free(net);
}

/*
 * Guards against a content that changes under one generation, when an operator
 * publishes generation 2 again with another content and the latest one is put
 * in force.
 */
static void republished_generation_keeps_first_content(void **state)
{
	struct net *net = start_with_generation_1();
	uint64_t hash;

	(void)state;
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE_NS);
	hash = net_content_hash(net, 0, ACCOUNT);
	net_publish(net, ACCOUNT, "2|a|other");
	net_run(net, 90 * NET_S);
	assert_generation_at_all(net, 2);
	for (uint32_t i = 0; i < N_VMS; i++)
		assert_int_equal(net_content_hash(net, i, ACCOUNT), hash);
	assert_int_equal(net_rewritten_contents(net), 0);
	assert_true(net_conflicts(net) > 0);
	net_free(net);
}

/*
 * Guards against VMs of one data centre with different contents under one
 * generation. Two operators publish generation 2; an isolated reader reads only
 * the first document, all others only the second. The one published first has
 * to win at all VMs, not the one read first.
 */
static void first_published_content_of_a_generation_wins(void **state)
{
	struct net *net = start_with_generation_1();
	uint32_t isolated = first_reader(net);
	uint32_t remaining = isolated ? 0 : 1;
	uint64_t hash;

	(void)state;
	for (uint32_t i = 0; i < N_VMS; i++)
		net_set_side(net, i, i != isolated);
	net_publish(net, ACCOUNT, "2|x");
	net_run(net, IN_FORCE_NS);
	for (uint32_t i = 0; i < N_VMS; i++)
		net_set_side(net, i, i == isolated);
	net_publish(net, ACCOUNT, "2|y");
	net_run(net, 40 * NET_S);
	assert_generation_at_all(net, 2);
	hash = net_content_hash(net, isolated, ACCOUNT);
	assert_int_not_equal(net_content_hash(net, remaining, ACCOUNT), hash);
	for (uint32_t i = 0; i < N_VMS; i++)
		net_set_side(net, i, 0);
	net_run(net, 30 * NET_S);
	for (uint32_t i = 0; i < N_VMS; i++)
		assert_int_equal(net_content_hash(net, i, ACCOUNT), hash);
	assert_true(net_conflicts(net) > 0);
	net_free(net);
}

/*
 * Guards against a withdrawn account in force again. It is deleted while a VM
 * is isolated; that VM returns with the account, and the platform shows a stale
 * state that still contains it. It is published again, first with the same
 * generation and then with a higher one, which alone may put it in force.
 */
static void withdrawn_account_stays_withdrawn(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	net_snapshot_platform(net);
	net_set_side(net, 7, 1);
	net_delete(net, ACCOUNT);
	net_run(net, IN_FORCE_NS);
	for (uint32_t i = 0; i < N_VMS - 1; i++)
		assert_true(net_is_withdrawn(net, i, ACCOUNT));
	net_set_platform(net, NET_STALE);
	net_set_side(net, 7, 0);
	net_run(net, 90 * NET_S);
	for (uint32_t i = 0; i < N_VMS; i++)
		assert_true(net_is_withdrawn(net, i, ACCOUNT));
	net_set_platform(net, NET_UP);
	net_publish(net, ACCOUNT, "1|a|b");
	net_run(net, IN_FORCE_NS);
	for (uint32_t i = 0; i < N_VMS; i++)
		assert_true(net_is_withdrawn(net, i, ACCOUNT));
	net_publish(net, ACCOUNT, "2|a|b");
	net_run(net, IN_FORCE_NS);
	for (uint32_t i = 0; i < N_VMS; i++)
		assert_false(net_is_withdrawn(net, i, ACCOUNT));
	assert_generation_at_all(net, 2);
	net_free(net);
}

/*
 * Guards against the withdrawal of an account that is in force, when the
 * platform shows a stale state from before the account was published, and a key
 * missing in it is taken for deleted.
 */
static void stale_platform_does_not_withdraw_account(void **state)
{
	struct net *net = net_new(N_VMS, N_READERS, SEED);

	(void)state;
	net_run(net, SETTLE_NS);
	net_snapshot_platform(net);
	net_publish(net, ACCOUNT, "1|a|b");
	net_run(net, IN_FORCE_NS);
	net_set_platform(net, NET_STALE);
	net_kill(net, first_reader(net));
	net_run(net, 120 * NET_S);
	for (uint32_t i = 0; i < N_VMS; i++)
		if (net_is_running(net, i))
			assert_false(net_is_withdrawn(net, i, ACCOUNT));
	assert_generation_at_all(net, 1);
	net_free(net);
}

/*
 * Guards against VMs that stop serving, too many calls to the platform, or a
 * recovery that is not noticed. The platform is down for an hour, in which
 * readers must not retry without limit and VMs other than candidates must not
 * read.
 */
static void platform_outage_keeps_contents_and_bounds_calls(void **state)
{
	struct net *net = start_with_generation_1();
	uint64_t calls;

	(void)state;
	net_set_platform(net, NET_DOWN);
	net_run(net, 60 * NET_S);
	calls = net_platform_calls(net);
	for (uint32_t i = 0; i < 3; i++)
		net_run(net, 1180 * NET_S);
	/* Each of the 5 candidates makes a call every 15 to 30 s. */
	assert_true(net_platform_calls(net) - calls < 5 * 3540 / 15);
	assert_generation_at_all(net, 1);
	net_set_platform(net, NET_UP);
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, 40 * NET_S);
	assert_generation_at_all(net, 2);
	assert_int_equal(net_reader_count(net), N_READERS);
	net_free(net);
}

/*
 * Guards against a change that reaches only some VMs. Offers are sent once, and
 * one frame in four is lost, of the repair too; periodic digests have to find
 * what is missing.
 */
static void digests_repair_lost_frames(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	net_set_frame_loss(net, 4);
	for (uint64_t generation = 2; generation <= 10; generation++) {
		char text[32];

		snprintf(text, sizeof(text), "%lu|a|%lu", generation,
			 generation);
		net_publish(net, ACCOUNT, text);
		net_run(net, 20 * NET_S);
		assert_generation_at_all(net, generation);
	}
	net_free(net);
}

/*
 * Guards against publications that have no effect on any VM after the platform
 * lost its data and counts revisions from 0 again, because documents with a
 * revision below the known one are not read.
 */
static void platform_that_lost_its_data_is_read_again(void **state)
{
	struct net *net = start_with_generation_1();

	(void)state;
	for (uint64_t i = 0; i < 20; i++)
		net_publish(net, "template/t", "x");
	net_publish(net, ACCOUNT, "2|a|c");
	net_run(net, IN_FORCE_NS);
	net_reset_platform(net);
	net_publish(net, ACCOUNT, "1|a|b");
	net_run(net, 90 * NET_S);
	assert_generation_at_all(net, 2);
	for (uint32_t i = 0; i < N_VMS; i++)
		assert_false(net_is_withdrawn(net, i, ACCOUNT));
	net_publish(net, ACCOUNT, "3|a|d");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 3);
	net_free(net);
}

/*
 * A changed template takes effect with the next generation of an account, not
 * before; an account whose template is missing is read again when it appears.
 */
static void template_takes_effect_with_next_generation(void **state)
{
	struct net *net = start_with_generation_1();
	uint64_t hash;

	(void)state;
	net_publish(net, "template/t", "x|y");
	net_publish(net, ACCOUNT, "2|@t|a");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 2);
	hash = net_content_hash(net, 0, ACCOUNT);
	net_publish(net, "template/t", "x|z");
	net_run(net, 90 * NET_S);
	assert_int_equal(net_content_hash(net, 0, ACCOUNT), hash);
	net_publish(net, ACCOUNT, "3|@t|a");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 3);
	assert_int_not_equal(net_content_hash(net, 0, ACCOUNT), hash);
	net_publish(net, ACCOUNT, "4|@later|a");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 3);
	net_publish(net, "template/later", "z");
	net_run(net, IN_FORCE_NS);
	assert_generation_at_all(net, 4);
	assert_true(net_is_converged(net));
	net_free(net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(change_is_sent_to_all_as_delta),
		cmocka_unit_test(standby_takes_over_when_all_readers_die),
		cmocka_unit_test(standby_takes_over_while_readers_are_paused),
		cmocka_unit_test(
			stale_platform_does_not_restore_old_generation),
		cmocka_unit_test(restarted_vm_prefers_peers_to_stale_platform),
		cmocka_unit_test(
			restarted_vm_without_peers_serves_platform_contents),
		cmocka_unit_test(restarted_vm_joins_while_platform_is_down),
		cmocka_unit_test(halves_converge_after_partition),
		cmocka_unit_test(malformed_document_keeps_previous_generation),
		cmocka_unit_test(republished_generation_keeps_first_content),
		cmocka_unit_test(first_published_content_of_a_generation_wins),
		cmocka_unit_test(withdrawn_account_stays_withdrawn),
		cmocka_unit_test(stale_platform_does_not_withdraw_account),
		cmocka_unit_test(
			platform_outage_keeps_contents_and_bounds_calls),
		cmocka_unit_test(digests_repair_lost_frames),
		cmocka_unit_test(platform_that_lost_its_data_is_read_again),
		cmocka_unit_test(template_takes_effect_with_next_generation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
