#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "fleet.h"

#define CONVERGE_NS (5 * NS_PER_S)

static struct fleet *start_fleet(uint32_t n)
{
	struct fleet *f = fleet_new(n, 20261202);

	fleet_start_all(f);
	fleet_run(f, CONVERGE_NS);
	assert_true(fleet_converged(f));
	return f;
}

static bool has_lease(const struct fleet *f, uint32_t i)
{
	return member_lease_valid(f->node[i].membership, f->now_ns);
}

static bool may_act(const struct fleet *f, uint32_t i)
{
	return member_has_majority(f->node[i].membership) && has_lease(f, i);
}

static void killed_member_is_declared_dead_and_rejoins(void **state)
{
	struct fleet *f = start_fleet(8);

	(void)state;
	fleet_kill(f, 3);
	fleet_run(f, 2 * NS_PER_S);
	assert_int_equal(fleet_count_seeing(f, 3, MEMBER_DEAD), 7);
	fleet_start(f, 3);
	fleet_set_roster(f, 3, 0, 8);
	fleet_run(f, NS_PER_S);
	assert_true(fleet_converged(f));
	fleet_free(f);
}

/*
 * Guards against flows that time out because their owner is a new VM that does
 * not answer yet: the platform lists it before its process runs.
 */
static void listed_vm_is_dead_until_first_heard(void **state)
{
	struct fleet *f = fleet_new(4, 1);
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		fleet_start(f, i);
		fleet_set_roster(f, i, 0, 4);
	}
	fleet_run(f, CONVERGE_NS);
	assert_int_equal(fleet_count_seeing(f, 3, MEMBER_DEAD), 3);
	fleet_start(f, 3);
	fleet_set_roster(f, 3, 0, 4);
	fleet_run(f, NS_PER_S);
	assert_true(fleet_converged(f));
	fleet_free(f);
}

/*
 * Guards against a VM that gets no flows for half a minute after its start,
 * because the list lags by 30 s, and against a running VM that loses all flows
 * because another entry has an old list. A member that stops answering is still
 * removed.
 */
static void unlisted_member_that_answers_stays(void **state)
{
	struct fleet *f = fleet_new(4, 2);
	uint32_t i;

	(void)state;
	for (i = 0; i < 4; i++) {
		fleet_start(f, i);
		fleet_set_roster(f, i, 0, i == 3 ? 4 : 3);
	}
	fleet_run(f, 2 * NS_PER_S);
	assert_true(fleet_converged(f));
	for (i = 0; i < 4; i++)
		fleet_set_roster(f, i, 1, 3);
	fleet_run(f, 300 * NS_PER_S);
	assert_true(fleet_converged(f));
	fleet_kill(f, 0);
	fleet_run(f, 2 * NS_PER_S);
	assert_int_equal(fleet_count_seeing(f, 0, MEMBER_DEAD), 3);
	fleet_run(f, 300 * NS_PER_S);
	for (i = 1; i < 4; i++)
		assert_null(member_find(f->node[i].membership, fleet_vm(0)));
	fleet_free(f);
}

/*
 * Guards against two entries that decide for a flow. The owner is paused for
 * 10 s; when it resumes, packets that arrived meanwhile are handled before its
 * first timer runs, and it must not act on the view from before the pause.
 */
static void paused_member_has_no_lease_until_validated(void **state)
{
	struct fleet *f = start_fleet(8);
	const struct member *self;
	uint64_t before;

	(void)state;
	before = member_self_deaths(f->node[2].membership);
	assert_true(has_lease(f, 2));
	fleet_pause(f, 2, 10 * NS_PER_S);
	fleet_run(f, 10 * NS_PER_S - 1);
	assert_false(has_lease(f, 2));
	assert_int_equal(fleet_count_seeing(f, 2, MEMBER_DEAD), 7);
	fleet_run(f, NS_PER_MS / 10);
	assert_false(has_lease(f, 2));
	fleet_run(f, NS_PER_S);
	assert_true(has_lease(f, 2));
	assert_true(fleet_converged(f));
	assert_true(member_self_deaths(f->node[2].membership) > before);
	self = member_find(f->node[2].membership, fleet_vm(2));
	assert_true(self->incarnation > 1000);
	fleet_free(f);
}

static bool blocked_unless_same_host(uint32_t from, uint32_t to)
{
	return from / 2 != to / 2;
}

/*
 * Guards against two entries of one host that act on the same outdated view:
 * they are paused and resume together, and ack each other's pings before any
 * other member does. One ack from a member with the same view must not
 * validate.
 */
static void members_paused_together_do_not_validate_each_other(void **state)
{
	struct fleet *f = start_fleet(8);

	(void)state;
	fleet_pause(f, 2, 10 * NS_PER_S);
	fleet_pause(f, 3, 10 * NS_PER_S);
	f->blocked = blocked_unless_same_host;
	fleet_run(f, 10 * NS_PER_S + 2 * NS_PER_MS);
	while (!fleet_sees_state(f, 2, 0, MEMBER_DEAD)) {
		assert_false(has_lease(f, 2));
		fleet_run(f, 10 * NS_PER_MS);
	}
	f->blocked = NULL;
	fleet_run(f, 2 * NS_PER_S);
	assert_true(has_lease(f, 2));
	fleet_free(f);
}

/*
 * Guards against both sides of a partition acting for a moment. One member
 * changes sides: the new side counts it as soon as it is heard, the old one
 * until its lease there expires. A majority won again must not count at once.
 */
static void sides_never_both_act_when_a_member_changes_sides(void **state)
{
	uint64_t cut_ms;
	struct fleet *f;
	uint32_t i;

	(void)state;
	for (cut_ms = 900; cut_ms < 1300; cut_ms += 20) {
		f = start_fleet(4);
		f->node[2].partition = f->node[3].partition = 1;
		fleet_run(f, cut_ms * NS_PER_MS);
		f->node[1].partition = 1;
		for (i = 0; i < 400; i++) {
			fleet_run(f, 10 * NS_PER_MS);
			assert_false(may_act(f, 0) && may_act(f, 2));
		}
		assert_true(may_act(f, 2));
		fleet_free(f);
	}
}

/*
 * Guards against running members that are declared dead after one process was
 * paused. It receives a suspicion and is paused; the suspected member refutes
 * it, and the refutation waits in the socket. When the process resumes its
 * timers run first, so the time of the pause must not count.
 */
static void paused_member_declares_none_dead(void **state)
{
	struct fleet *f = start_fleet(8);
	struct membership *m = f->node[2].membership;
	struct peer_msg msg = { .kind = PEER_GOSSIP, .n_gossip = 1 };
	uint32_t i;

	(void)state;
	msg.from = fleet_vm(1);
	msg.incarnation = member_find(m, msg.from)->incarnation;
	msg.gossip[0] =
		(struct gossip){ .vm = fleet_vm(5), .state = MEMBER_SUSPECT };
	msg.gossip[0].incarnation = member_find(m, fleet_vm(5))->incarnation;
	member_receive(m, &msg, f->now_ns);
	assert_true(fleet_sees_state(f, 2, 5, MEMBER_SUSPECT));
	fleet_pause(f, 2, 700 * NS_PER_MS);
	fleet_run(f, 700 * NS_PER_MS - 1);
	f->node[2].paused_deadline_ns = 0;
	member_tick(m, f->now_ns);
	assert_false(fleet_sees_state(f, 2, 5, MEMBER_DEAD));
	fleet_run(f, 300 * NS_PER_MS);
	for (i = 0; i < 8; i++)
		assert_true(i == 2 || fleet_sees_state(f, 2, i, MEMBER_ALIVE));
	fleet_free(f);
}

/*
 * Guards against an entry that treats a request that ran as new. It is paused,
 * and the others suspect it and declare it dead. When it resumes, it refutes
 * the suspicion that is still in its socket. No update with the death is sent
 * after that, because the refutation has a higher incarnation, so the members
 * that declared it dead have to notify it.
 */
static void member_learns_its_death_after_refutation(void **state)
{
	struct fleet *f = start_fleet(3);
	struct peer_msg msg = { .kind = PEER_GOSSIP, .n_gossip = 1 };
	struct gossip *g = &msg.gossip[0];
	uint64_t before = member_self_deaths(f->node[0].membership);

	(void)state;
	*g = (struct gossip){ .vm = fleet_vm(0), .state = MEMBER_DEAD };
	g->incarnation =
		member_find(f->node[1].membership, fleet_vm(0))->incarnation;
	msg.from = fleet_vm(2);
	msg.incarnation =
		member_find(f->node[1].membership, msg.from)->incarnation;
	member_receive(f->node[1].membership, &msg, f->now_ns);
	assert_true(fleet_sees_state(f, 1, 0, MEMBER_DEAD));
	g->state = MEMBER_SUSPECT;
	member_receive(f->node[0].membership, &msg, f->now_ns);
	assert_int_equal(member_self_deaths(f->node[0].membership), before);
	msg.n_gossip = 0;
	msg.from = fleet_vm(0);
	msg.incarnation = g->incarnation + 1;
	member_receive(f->node[1].membership, &msg, f->now_ns);
	assert_true(fleet_sees_state(f, 1, 0, MEMBER_ALIVE));
	assert_true(has_lease(f, 0));
	while (member_self_deaths(f->node[0].membership) == before)
		fleet_run(f, NS_PER_MS / 10);
	assert_false(has_lease(f, 0));
	fleet_run(f, NS_PER_S);
	assert_true(has_lease(f, 0));
	fleet_free(f);
}

/*
 * Guards against a VM that gets new flows during an orderly shutdown. After its
 * leave was announced, neither a sign of life nor a refuted suspicion is a
 * join.
 */
static void leaving_member_stays_leaving(void **state)
{
	struct fleet *f = start_fleet(8);
	struct peer_msg msg = { .kind = PEER_GOSSIP, .n_gossip = 1 };
	uint32_t i;

	(void)state;
	member_leave(f->node[4].membership, f->now_ns);
	fleet_run(f, 3 * NS_PER_MS);
	assert_int_equal(fleet_count_seeing(f, 4, MEMBER_LEAVING), 7);
	msg.from = fleet_vm(1);
	msg.incarnation =
		member_find(f->node[4].membership, msg.from)->incarnation;
	msg.gossip[0] =
		(struct gossip){ .vm = fleet_vm(4), .state = MEMBER_SUSPECT };
	msg.gossip[0].incarnation =
		member_find(f->node[1].membership, fleet_vm(4))->incarnation;
	member_receive(f->node[4].membership, &msg, f->now_ns);
	msg = (struct peer_msg){ .kind = PEER_RECORD, .from = fleet_vm(4) };
	msg.incarnation =
		member_find(f->node[4].membership, msg.from)->incarnation;
	member_receive(f->node[1].membership, &msg, f->now_ns);
	for (i = 0; i < 100; i++) {
		assert_int_equal(fleet_count_seeing(f, 4, MEMBER_LEAVING), 7);
		fleet_run(f, 100 * NS_PER_MS);
	}
	fleet_kill(f, 4);
	fleet_run(f, 3 * NS_PER_S);
	assert_int_equal(fleet_count_seeing(f, 4, MEMBER_DEAD), 7);
	fleet_free(f);
}

/*
 * Guards against both sides of a partition granting the same claim. The network
 * splits 4 to 4, then 3 to 5, and heals; exactly one side may have a majority.
 */
static void one_side_of_a_partition_has_majority(void **state)
{
	struct fleet *f = start_fleet(8);
	uint32_t i, cut;

	(void)state;
	for (cut = 4; cut >= 3; cut--) {
		for (i = 0; i < 8; i++)
			f->node[i].partition = i >= 8 - cut;
		fleet_run(f, CONVERGE_NS);
		for (i = 0; i < 8; i++)
			assert_int_equal(
				member_has_majority(f->node[i].membership),
				i < 8 - cut);
		for (i = 0; i < 8; i++)
			f->node[i].partition = 0;
		fleet_run(f, CONVERGE_NS);
		assert_true(fleet_converged(f));
	}
	fleet_free(f);
}

/*
 * Guards against an isolated entry that goes on deciding for its flows. The
 * others declare it dead within a second, but it probes only a few of many
 * members per period, so it still counts a majority of members that it has not
 * probed since.
 */
static void isolated_member_has_no_lease_once_declared_dead(void **state)
{
	struct fleet *f = start_fleet(64);

	(void)state;
	f->node[9].partition = 1;
	while (!fleet_count_seeing(f, 9, MEMBER_DEAD)) {
		fleet_run(f, 10 * NS_PER_MS);
		if (fleet_count_seeing(f, 9, MEMBER_DEAD))
			assert_false(has_lease(f, 9));
	}
	fleet_free(f);
}

/*
 * Guards against an entry that gets flows right after its start and assigns
 * them by an incomplete view. It answers probes and forwards a datagram that
 * the fabric delivered to it; neither may count as a join.
 */
static void joining_member_is_not_alive_before_member_join(void **state)
{
	struct fleet *f = start_fleet(8);
	struct peer_msg msg = { .kind = PEER_FORWARD, .from = fleet_vm(6) };
	uint32_t i;

	(void)state;
	fleet_kill(f, 6);
	fleet_run(f, 2 * NS_PER_S);
	f->conf.joining = true;
	fleet_start(f, 6);
	fleet_set_roster(f, 6, 0, 8);
	msg.incarnation = f->conf.incarnation;
	member_receive(f->node[1].membership, &msg, f->now_ns);
	for (i = 0; i < 200; i++) {
		assert_int_equal(fleet_count_seeing(f, 6, MEMBER_ALIVE), 0);
		fleet_run(f, 10 * NS_PER_MS);
	}
	assert_true(has_lease(f, 6));
	assert_true(member_has_majority(f->node[6].membership));
	member_join(f->node[6].membership, f->now_ns);
	fleet_run(f, 2 * NS_PER_MS);
	assert_true(fleet_converged(f));
	fleet_free(f);
}

/*
 * Guards against a busy member that is suspected although it sends messages.
 * Its acks get lost; its other messages arrive, with the incarnation of its
 * start, which is lower than after a refutation, and must not be dropped as
 * those of an earlier process.
 */
static void any_message_is_a_sign_of_life(void **state)
{
	struct fleet *f = start_fleet(2);
	struct peer_msg msg = { .kind = PEER_CLAIM, .from = fleet_vm(1) };
	uint32_t i;

	(void)state;
	msg.incarnation =
		member_find(f->node[1].membership, msg.from)->incarnation - 1;
	f->loss_percent = 100;
	for (i = 0; i < 100; i++) {
		fleet_run(f, 20 * NS_PER_MS);
		member_receive(f->node[0].membership, &msg, f->now_ns);
		assert_true(fleet_sees_state(f, 0, 1, MEMBER_ALIVE));
	}
	fleet_free(f);
}

static bool blocked_between_1_and_5(uint32_t from, uint32_t to)
{
	return (from == 1 && to == 5) || (from == 5 && to == 1);
}

/*
 * Guards against members that are suspected and refuted in turn while only the
 * path between two of them is broken. Indirect probes have to prevent the
 * suspicion.
 */
static void broken_path_between_two_keeps_both_alive(void **state)
{
	struct fleet *f = start_fleet(8);
	uint32_t i;

	(void)state;
	f->blocked = blocked_between_1_and_5;
	for (i = 0; i < 100; i++) {
		fleet_run(f, 100 * NS_PER_MS);
		assert_int_equal(fleet_count_seeing(f, 5, MEMBER_ALIVE), 7);
		assert_int_equal(fleet_count_seeing(f, 1, MEMBER_ALIVE), 7);
	}
	fleet_free(f);
}

/*
 * Guards against a restarted VM whose messages are ignored for good: its clock
 * is behind that of the process before, so it starts with a lower incarnation
 * and has to be notified of the known one.
 */
static void restarted_member_with_clock_set_back_rejoins(void **state)
{
	struct fleet *f = start_fleet(4);
	uint32_t i;

	(void)state;
	fleet_kill(f, 2);
	f->incarnation = 1;
	fleet_start(f, 2);
	fleet_set_roster(f, 2, 0, 4);
	for (i = 0; i < 40; i++) {
		fleet_run(f, 50 * NS_PER_MS);
		assert_int_equal(fleet_count_seeing(f, 2, MEMBER_SUSPECT), 0);
	}
	assert_true(fleet_converged(f));
	assert_true(has_lease(f, 2));
	fleet_free(f);
}

static void single_member_has_majority_and_lease(void **state)
{
	struct fleet *f = fleet_new(1, 3);

	(void)state;
	fleet_start(f, 0);
	fleet_run(f, NS_PER_S);
	assert_true(member_has_majority(f->node[0].membership));
	assert_true(has_lease(f, 0));
	fleet_free(f);
}

/*
 * Guards against control traffic per member that grows with the number of
 * members until it uses up the budget.
 */
static void messages_per_member_do_not_grow_with_fleet(void **state)
{
	const uint32_t sizes[] = { 8, 32, 128 };
	uint64_t sent;
	struct fleet *f;
	uint32_t i, k;

	(void)state;
	for (k = 0; k < 3; k++) {
		f = start_fleet(sizes[k]);
		for (sent = 0, i = 0; i < f->n; i++)
			sent -= f->node[i].messages;
		fleet_run(f, 10 * NS_PER_S);
		for (i = 0; i < f->n; i++)
			sent += f->node[i].messages;
		assert_in_range(sent / f->n, 290, 310);
		fleet_free(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(killed_member_is_declared_dead_and_rejoins),
		cmocka_unit_test(listed_vm_is_dead_until_first_heard),
		cmocka_unit_test(unlisted_member_that_answers_stays),
		cmocka_unit_test(paused_member_has_no_lease_until_validated),
		cmocka_unit_test(
			members_paused_together_do_not_validate_each_other),
		cmocka_unit_test(
			sides_never_both_act_when_a_member_changes_sides),
		cmocka_unit_test(paused_member_declares_none_dead),
		cmocka_unit_test(member_learns_its_death_after_refutation),
		cmocka_unit_test(leaving_member_stays_leaving),
		cmocka_unit_test(one_side_of_a_partition_has_majority),
		cmocka_unit_test(
			isolated_member_has_no_lease_once_declared_dead),
		cmocka_unit_test(
			joining_member_is_not_alive_before_member_join),
		cmocka_unit_test(any_message_is_a_sign_of_life),
		cmocka_unit_test(broken_path_between_two_keeps_both_alive),
		cmocka_unit_test(restarted_member_with_clock_set_back_rejoins),
		cmocka_unit_test(single_member_has_majority_and_lease),
		cmocka_unit_test(messages_per_member_do_not_grow_with_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
