#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "fleet.h"

#define SETTLED_NS (5 * NS_PER_S)

static struct fleet *fleet_up(uint32_t n)
{
	struct fleet *f = fleet_new(n, 20261202);

	fleet_start_all(f);
	fleet_run(f, SETTLED_NS);
	assert_true(fleet_converged(f));
	return f;
}

static bool lease(const struct fleet *f, uint32_t i)
{
	return member_lease_valid(f->node[i].m, f->now_ns);
}

static bool acts(const struct fleet *f, uint32_t i)
{
	return member_has_majority(f->node[i].m) && lease(f, i);
}

static void dead_member_is_found(void **state)
{
	struct fleet *f = fleet_up(8);

	(void)state;
	fleet_kill(f, 3);
	fleet_run(f, 2 * NS_PER_S);
	assert_int_equal(fleet_holders(f, 3, MEMBER_DEAD), 7);
	fleet_start(f, 3);
	fleet_roster(f, 3, 0, 8);
	fleet_run(f, NS_PER_S);
	assert_true(fleet_converged(f));
	fleet_free(f);
}

/*
 * Symptom: a new VM that doesn't answer yet owns flows, which time out.
 * Events: the platform lists it before its process runs.
 * Cause: the list believed ahead of the first sign of life.
 */
static void listed_but_never_heard_is_not_alive(void **state)
{
	struct fleet *f = fleet_new(4, 1);
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		fleet_start(f, i);
		fleet_roster(f, i, 0, 4);
	}
	fleet_run(f, SETTLED_NS);
	assert_int_equal(fleet_holders(f, 3, MEMBER_DEAD), 3);
	fleet_start(f, 3);
	fleet_roster(f, 3, 0, 4);
	fleet_run(f, NS_PER_S);
	assert_true(fleet_converged(f));
	fleet_free(f);
}

/*
 * Symptom: a VM started half a minute ago gets no flows; one that works loses
 * them all.
 * Events: the list lags by 30 s; another entry's list is old.
 * Cause: the list believed against what the VM itself says.
 */
static void unlisted_that_answers_stays(void **state)
{
	struct fleet *f = fleet_new(4, 2);
	uint32_t i;

	(void)state;
	for (i = 0; i < 4; i++) {
		fleet_start(f, i);
		fleet_roster(f, i, 0, i == 3 ? 4 : 3);
	}
	fleet_run(f, 2 * NS_PER_S);
	assert_true(fleet_converged(f));
	for (i = 0; i < 4; i++)
		fleet_roster(f, i, 1, 3);
	fleet_run(f, 300 * NS_PER_S);
	assert_true(fleet_converged(f));
	fleet_kill(f, 0);
	fleet_run(f, 2 * NS_PER_S);
	assert_int_equal(fleet_holders(f, 0, MEMBER_DEAD), 3);
	fleet_run(f, 300 * NS_PER_S);
	for (i = 1; i < 4; i++)
		assert_null(member_find(f->node[i].m, fleet_vm(0)));
	fleet_free(f);
}

/*
 * Symptom: two entries decide for a flow, the old owner with ten-second-old
 * knowledge.
 * Events: the owner is stopped for 10 s and wakes; packets that came
 * meanwhile are handled before its first timer runs.
 * Cause: an entry that trusts its view without asking after a pause.
 */
static void paused_member_validates_before_it_acts(void **state)
{
	struct fleet *f = fleet_up(8);
	const struct member *self;
	uint64_t before;

	(void)state;
	before = member_self_deaths(f->node[2].m);
	assert_true(lease(f, 2));
	fleet_pause(f, 2, 10 * NS_PER_S);
	fleet_run(f, 10 * NS_PER_S - 1);
	assert_false(lease(f, 2));
	assert_int_equal(fleet_holders(f, 2, MEMBER_DEAD), 7);
	fleet_run(f, NS_PER_MS / 10);
	assert_false(lease(f, 2));
	fleet_run(f, NS_PER_S);
	assert_true(lease(f, 2));
	assert_true(fleet_converged(f));
	assert_true(member_self_deaths(f->node[2].m) > before);
	self = member_find(f->node[2].m, fleet_vm(2));
	assert_true(self->incarnation > 1000);
	fleet_free(f);
}

static bool others_blocked(uint32_t from, uint32_t to)
{
	return from / 2 != to / 2;
}

/*
 * Symptom: two entries of one host act on the same old view.
 * Events: both are stopped and wake together, and answer each other's pings
 * before anyone else does.
 * Cause: one answer taken for validation, from a member that knows no more.
 */
static void paused_together_do_not_validate_each_other(void **state)
{
	struct fleet *f = fleet_up(8);

	(void)state;
	fleet_pause(f, 2, 10 * NS_PER_S);
	fleet_pause(f, 3, 10 * NS_PER_S);
	f->blocked = others_blocked;
	fleet_run(f, 10 * NS_PER_S + 2 * NS_PER_MS);
	while (!fleet_believes(f, 2, 0, MEMBER_DEAD)) {
		assert_false(lease(f, 2));
		fleet_run(f, 10 * NS_PER_MS);
	}
	f->blocked = NULL;
	fleet_run(f, 2 * NS_PER_S);
	assert_true(lease(f, 2));
	fleet_free(f);
}

/*
 * Symptom: both sides of a cut act for a moment.
 * Events: one member changes sides: it counts for the new side as soon as it
 * is heard, for the old one until its lease there runs out.
 * Cause: a majority that counts from the moment it is won.
 */
static void majority_just_won_waits(void **state)
{
	uint64_t cut_ms;
	struct fleet *f;
	uint32_t i;

	(void)state;
	for (cut_ms = 900; cut_ms < 1300; cut_ms += 20) {
		f = fleet_up(4);
		f->node[2].side = f->node[3].side = 1;
		fleet_run(f, cut_ms * NS_PER_MS);
		f->node[1].side = 1;
		for (i = 0; i < 400; i++) {
			fleet_run(f, 10 * NS_PER_MS);
			assert_false(acts(f, 0) && acts(f, 2));
		}
		assert_true(acts(f, 2));
		fleet_free(f);
	}
}

/*
 * Symptom: after one process was stopped for a while, members that work are
 * declared dead.
 * Events: it hears a suspicion and is stopped. The suspected member refutes,
 * the fleet believes that, the refutation waits in the socket. On waking the
 * timers run first.
 * Cause: its own stopped time counted against the others.
 */
static void paused_member_blames_nobody(void **state)
{
	struct fleet *f = fleet_up(8);
	struct membership *m = f->node[2].m;
	struct peer_msg msg = { .kind = PEER_GOSSIP, .n_gossip = 1 };
	uint32_t i;

	(void)state;
	msg.from = fleet_vm(1);
	msg.incarnation = member_find(m, msg.from)->incarnation;
	msg.gossip[0] =
		(struct gossip){ .vm = fleet_vm(5), .state = MEMBER_SUSPECT };
	msg.gossip[0].incarnation = member_find(m, fleet_vm(5))->incarnation;
	member_receive(m, &msg, f->now_ns);
	assert_true(fleet_believes(f, 2, 5, MEMBER_SUSPECT));
	fleet_pause(f, 2, 700 * NS_PER_MS);
	fleet_run(f, 700 * NS_PER_MS - 1);
	f->node[2].paused_deadline_ns = 0;
	member_tick(m, f->now_ns);
	assert_false(fleet_believes(f, 2, 5, MEMBER_DEAD));
	fleet_run(f, 300 * NS_PER_MS);
	for (i = 0; i < 8; i++)
		assert_true(i == 2 || fleet_believes(f, 2, i, MEMBER_ALIVE));
	fleet_free(f);
}

/*
 * Symptom: an entry answers "not seen before" for a request that ran.
 * Events: it is stopped; the others suspect it, then declare it dead. When it
 * wakes, the suspicion still in its socket comes first: it refutes that, and
 * with the higher incarnation nobody mentions the death any more.
 * Cause: a death that is overridden before its subject hears of it.
 */
static void death_is_told_after_refutation(void **state)
{
	struct fleet *f = fleet_up(3);
	struct peer_msg msg = { .kind = PEER_GOSSIP, .n_gossip = 1 };
	struct gossip *g = &msg.gossip[0];
	uint64_t before = member_self_deaths(f->node[0].m);

	(void)state;
	*g = (struct gossip){ .vm = fleet_vm(0), .state = MEMBER_DEAD };
	g->incarnation = member_find(f->node[1].m, fleet_vm(0))->incarnation;
	msg.from = fleet_vm(2);
	msg.incarnation = member_find(f->node[1].m, msg.from)->incarnation;
	member_receive(f->node[1].m, &msg, f->now_ns);
	assert_true(fleet_believes(f, 1, 0, MEMBER_DEAD));
	g->state = MEMBER_SUSPECT;
	member_receive(f->node[0].m, &msg, f->now_ns);
	assert_int_equal(member_self_deaths(f->node[0].m), before);
	msg.n_gossip = 0;
	msg.from = fleet_vm(0);
	msg.incarnation = g->incarnation + 1;
	member_receive(f->node[1].m, &msg, f->now_ns);
	assert_true(fleet_believes(f, 1, 0, MEMBER_ALIVE));
	assert_true(lease(f, 0));
	while (member_self_deaths(f->node[0].m) == before)
		fleet_run(f, NS_PER_MS / 10);
	assert_false(lease(f, 0));
	fleet_run(f, NS_PER_S);
	assert_true(lease(f, 0));
	fleet_free(f);
}

/*
 * Symptom: a VM that shuts down in order takes new flows again.
 * Events: it announces that it leaves; one entry still suspects it; probes
 * and answers go on until it exits.
 * Cause: a sign of life, or a refuted suspicion, taken for a return.
 */
static void leaving_member_stays_leaving(void **state)
{
	struct fleet *f = fleet_up(8);
	struct peer_msg msg = { .kind = PEER_GOSSIP, .n_gossip = 1 };
	uint32_t i;

	(void)state;
	member_leave(f->node[4].m, f->now_ns);
	fleet_run(f, 3 * NS_PER_MS);
	assert_int_equal(fleet_holders(f, 4, MEMBER_LEAVING), 7);
	msg.from = fleet_vm(1);
	msg.incarnation = member_find(f->node[4].m, msg.from)->incarnation;
	msg.gossip[0] =
		(struct gossip){ .vm = fleet_vm(4), .state = MEMBER_SUSPECT };
	msg.gossip[0].incarnation =
		member_find(f->node[1].m, fleet_vm(4))->incarnation;
	member_receive(f->node[4].m, &msg, f->now_ns);
	msg = (struct peer_msg){ .kind = PEER_RECORD, .from = fleet_vm(4) };
	msg.incarnation = member_find(f->node[4].m, msg.from)->incarnation;
	member_receive(f->node[1].m, &msg, f->now_ns);
	for (i = 0; i < 100; i++) {
		assert_int_equal(fleet_holders(f, 4, MEMBER_LEAVING), 7);
		fleet_run(f, 100 * NS_PER_MS);
	}
	fleet_kill(f, 4);
	fleet_run(f, 3 * NS_PER_S);
	assert_int_equal(fleet_holders(f, 4, MEMBER_DEAD), 7);
	fleet_free(f);
}

/*
 * Symptom: both halves of a data centre grant the same claim.
 * Events: the network splits 4 to 4, then 3 to 5, and heals.
 * Cause: a majority that both sides can reach, or a side that doesn't notice.
 */
static void one_side_of_a_cut_goes_on(void **state)
{
	struct fleet *f = fleet_up(8);
	uint32_t i, cut;

	(void)state;
	for (cut = 4; cut >= 3; cut--) {
		for (i = 0; i < 8; i++)
			f->node[i].side = i >= 8 - cut;
		fleet_run(f, SETTLED_NS);
		for (i = 0; i < 8; i++)
			assert_int_equal(member_has_majority(f->node[i].m),
					 i < 8 - cut);
		for (i = 0; i < 8; i++)
			f->node[i].side = 0;
		fleet_run(f, SETTLED_NS);
		assert_true(fleet_converged(f));
	}
	fleet_free(f);
}

/*
 * Symptom: an entry whose cable is cut goes on deciding for its flows.
 * Events: it reaches nobody; the others declare it dead within a second, but
 * it probes only a few of many members a period.
 * Cause: majority counted over members it has not yet probed in vain.
 */
static void cut_off_member_loses_its_lease(void **state)
{
	struct fleet *f = fleet_up(64);

	(void)state;
	f->node[9].side = 1;
	while (!fleet_holders(f, 9, MEMBER_DEAD)) {
		fleet_run(f, 10 * NS_PER_MS);
		if (fleet_holders(f, 9, MEMBER_DEAD))
			assert_false(lease(f, 9));
	}
	fleet_free(f);
}

/*
 * Symptom: an entry that has just started is given flows, and places them by
 * a view of its own.
 * Events: it knows nobody yet, answers probes, forwards a caller's datagram
 * that the fabric handed it.
 * Cause: its first message taken for a join, before it says so.
 */
static void joining_member_owns_nothing_before_it_says_so(void **state)
{
	struct fleet *f = fleet_up(8);
	struct peer_msg msg = { .kind = PEER_FORWARD, .from = fleet_vm(6) };
	uint32_t i;

	(void)state;
	fleet_kill(f, 6);
	fleet_run(f, 2 * NS_PER_S);
	f->conf.joining = true;
	fleet_start(f, 6);
	fleet_roster(f, 6, 0, 8);
	msg.incarnation = f->conf.incarnation;
	member_receive(f->node[1].m, &msg, f->now_ns);
	for (i = 0; i < 200; i++) {
		assert_int_equal(fleet_holders(f, 6, MEMBER_ALIVE), 0);
		fleet_run(f, 10 * NS_PER_MS);
	}
	assert_true(lease(f, 6));
	assert_true(member_has_majority(f->node[6].m));
	member_join(f->node[6].m, f->now_ns);
	fleet_run(f, 2 * NS_PER_MS);
	assert_true(fleet_converged(f));
	fleet_free(f);
}

/*
 * Symptom: a member under load is suspected though it sends all the time.
 * Events: its acks get lost, its other messages arrive; they carry the
 * incarnation it started with, a refutation behind.
 * Cause: signs of life dropped as those of an earlier process.
 */
static void any_message_is_a_sign_of_life(void **state)
{
	struct fleet *f = fleet_up(2);
	struct peer_msg msg = { .kind = PEER_CLAIM, .from = fleet_vm(1) };
	uint32_t i;

	(void)state;
	msg.incarnation = member_find(f->node[1].m, msg.from)->incarnation - 1;
	f->loss_percent = 100;
	for (i = 0; i < 100; i++) {
		fleet_run(f, 20 * NS_PER_MS);
		member_receive(f->node[0].m, &msg, f->now_ns);
		assert_true(fleet_believes(f, 0, 1, MEMBER_ALIVE));
	}
	fleet_free(f);
}

static bool pair_blocked(uint32_t from, uint32_t to)
{
	return (from == 1 && to == 5) || (from == 5 && to == 1);
}

/*
 * Symptom: members flap while everyone but one reaches them.
 * Events: the path between two members is cut, all others work.
 * Cause: suspicion on one entry's word, without helpers.
 */
static void cut_between_two_kills_neither(void **state)
{
	struct fleet *f = fleet_up(8);
	uint32_t i;

	(void)state;
	f->blocked = pair_blocked;
	for (i = 0; i < 100; i++) {
		fleet_run(f, 100 * NS_PER_MS);
		assert_int_equal(fleet_holders(f, 5, MEMBER_ALIVE), 7);
		assert_int_equal(fleet_holders(f, 1, MEMBER_ALIVE), 7);
	}
	fleet_free(f);
}

/*
 * Symptom: a restarted VM is never heard again.
 * Events: its clock stands before that of the process before it, so its
 * incarnation is lower.
 * Cause: messages of an old incarnation dropped without a word.
 */
static void clock_set_back_at_restart_is_overcome(void **state)
{
	struct fleet *f = fleet_up(4);
	uint32_t i;

	(void)state;
	fleet_kill(f, 2);
	f->incarnation = 1;
	fleet_start(f, 2);
	fleet_roster(f, 2, 0, 4);
	for (i = 0; i < 40; i++) {
		fleet_run(f, 50 * NS_PER_MS);
		assert_int_equal(fleet_holders(f, 2, MEMBER_SUSPECT), 0);
	}
	assert_true(fleet_converged(f));
	assert_true(lease(f, 2));
	fleet_free(f);
}

static void fleet_of_one_acts(void **state)
{
	struct fleet *f = fleet_new(1, 3);

	(void)state;
	fleet_start(f, 0);
	fleet_run(f, NS_PER_S);
	assert_true(member_has_majority(f->node[0].m));
	assert_true(lease(f, 0));
	fleet_free(f);
}

/*
 * Symptom: control traffic grows with the fleet until it fills the budget.
 * Events: none; the same settings at three sizes.
 * Cause: each member heard by each.
 */
static void load_is_the_same_in_any_fleet(void **state)
{
	const uint32_t sizes[] = { 8, 32, 128 };
	uint64_t sent;
	struct fleet *f;
	uint32_t i, k;

	(void)state;
	for (k = 0; k < 3; k++) {
		f = fleet_up(sizes[k]);
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
		cmocka_unit_test(dead_member_is_found),
		cmocka_unit_test(listed_but_never_heard_is_not_alive),
		cmocka_unit_test(unlisted_that_answers_stays),
		cmocka_unit_test(paused_member_validates_before_it_acts),
		cmocka_unit_test(paused_together_do_not_validate_each_other),
		cmocka_unit_test(majority_just_won_waits),
		cmocka_unit_test(paused_member_blames_nobody),
		cmocka_unit_test(death_is_told_after_refutation),
		cmocka_unit_test(leaving_member_stays_leaving),
		cmocka_unit_test(one_side_of_a_cut_goes_on),
		cmocka_unit_test(cut_off_member_loses_its_lease),
		cmocka_unit_test(joining_member_owns_nothing_before_it_says_so),
		cmocka_unit_test(any_message_is_a_sign_of_life),
		cmocka_unit_test(cut_between_two_kills_neither),
		cmocka_unit_test(clock_set_back_at_restart_is_overcome),
		cmocka_unit_test(fleet_of_one_acts),
		cmocka_unit_test(load_is_the_same_in_any_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
