/* Data centres that are evacuated: their targets get no new flows. */
#include "packet_bed.h"

#include "evacuations.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)
#define FLOWS 16

static int setup(void **state)
{
	static struct bed b;

	bed_open(&b);
	*state = &b;
	return 0;
}

static int teardown(void **state)
{
	bed_close(*state);
	return 0;
}

/*
 * Symptom: targets that are being emptied go on getting flows. Sequence: the
 * operator evacuates a data centre; its own entries place nearest first. Cause:
 * nothing but a target's own word took it out of the choice.
 */
static void test_evacuated_targets_get_no_flows(void **state)
{
	struct bed *b = *state;

	bed_target(b, 1, SERVICE, ZONE);
	bed_target(b, 2, SERVICE, OTHER_ZONE);
	assert_int_equal(directory_evacuate(b->directory, ZONE, true), 0);
	for (uint32_t i = 0; i < FLOWS; i++)
		assert_int_equal(bed_syn(b, CALLER + i, VIP, 0).target->news.id,
				 2);
	assert_int_equal(directory_evacuate(b->directory, ZONE, false), 0);
	for (uint32_t i = 0; i < FLOWS; i++)
		assert_int_equal(
			bed_syn(b, CALLER + FLOWS + i, VIP, 0).target->news.id,
			1);
}

/* A reset would break a live flow: it ends where it is. */
static void test_open_flows_stay(void **state)
{
	struct bed *b = *state;
	struct target *t = bed_target(b, 1, SERVICE, ZONE);
	struct path_verdict v;

	bed_target(b, 2, SERVICE, OTHER_ZONE);
	bed_open_flow(b, CALLER, VIP);
	directory_evacuate(b->directory, ZONE, true);
	v = bed_data(b, CALLER, VIP, t->cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_FORWARD);
	assert_ptr_equal(v.target, t);
	bed_advance(b, 2 * NS_PER_S);
	assert_int_equal(b->n_resets, 0);
}

/*
 * Symptom: an opening packet arrives at an evacuated target a second after the
 * evacuation is in force. Sequence: the target does not answer; the entry, or
 * the client, sends the packet again. Cause: the flow's first target was kept.
 */
static void test_repeated_opening_packet_goes_elsewhere(void **state)
{
	struct bed *b = *state;

	bed_target(b, 1, SERVICE, ZONE);
	assert_int_equal(bed_syn(b, CALLER, VIP, 0).target->news.id, 1);
	assert_int_equal(bed_syn(b, CALLER + 1, VIP, 0).target->news.id, 1);
	bed_target(b, 2, SERVICE, OTHER_ZONE);
	directory_evacuate(b->directory, ZONE, true);
	assert_int_equal(bed_syn(b, CALLER, VIP, 1).target->news.id, 2);
	bed_advance(b, 100 * MS);
	assert_int_equal(b->n_resent, 1);
	assert_int_equal(b->resent_to[0], 2);
}

static void test_refused_at_once_with_no_target_left(void **state)
{
	struct bed *b = *state;
	struct path_verdict v;

	bed_target(b, 1, SERVICE, ZONE);
	bed_target(b, 2, SERVICE, OTHER_ZONE);
	directory_evacuate(b->directory, ZONE, true);
	directory_evacuate(b->directory, OTHER_ZONE, true);
	v = bed_syn(b, CALLER, VIP, 0);
	assert_int_equal(v.action, PATH_RESET);
	assert_int_equal(v.reason, PATH_no_target);
}

/* Nobody waits for whether an evacuated target without flows lives again. */
static void test_evacuated_targets_without_flows_are_not_probed(void **state)
{
	struct bed *b = *state;
	struct target *t = bed_target(b, 1, SERVICE, ZONE);

	t->health = HEALTH_DEAD;
	directory_evacuate(b->directory, ZONE, true);
	bed_advance(b, 2 * NS_PER_S);
	assert_int_equal(b->n_probes, 0);
	directory_evacuate(b->directory, ZONE, false);
	bed_advance(b, NS_PER_S);
	assert_int_not_equal(b->n_probes, 0);
}

/*
 * Symptom: requests wait until their clients give up. Sequence: targets have
 * all they can do and their data centre is evacuated; nothing there has to be
 * spared any more. Cause: what waited went on waiting for a free slot.
 */
static void test_waiting_requests_go_at_once(void **state)
{
	struct bed *b = *state;
	struct target *t = bed_target(b, 1, SERVICE, ZONE);
	uint32_t asked = 0;

	bed_set_route_times(b, 300, 2000);
	for (; asked < FLOWS * 2; asked++) {
		bed_open_flow(b, CALLER + asked, VIP);
		bed_data(b, CALLER + asked, VIP, t->cookie, 2, 1, 100);
	}
	assert_int_not_equal(path_queued_count(b->path), 0);
	directory_evacuate(b->directory, ZONE, true);
	bed_advance(b, 20 * MS);
	assert_int_equal(path_queued_count(b->path), 0);
	assert_int_equal(b->n_resets, 0);
}

static void test_begun_and_ended_by_name(void **state)
{
	struct evacuations e = { 0 };

	(void)state;
	assert_int_equal(evacuations_end(&e, ZONE), -EALREADY);
	assert_int_equal(evacuations_begin(&e, ZONE), 0);
	assert_int_equal(evacuations_begin(&e, ZONE), -EALREADY);
	assert_int_equal(evacuations_begin(&e, "nowhere"), 0);
	assert_true(evacuations_has(&e, (uint32_t)hash_text(ZONE)));
	assert_int_equal(evacuations_end(&e, ZONE), 0);
	assert_false(evacuations_has(&e, (uint32_t)hash_text(ZONE)));
	assert_true(evacuations_has(&e, (uint32_t)hash_text("nowhere")));
	assert_int_equal(evacuations_begin(&e, ZONE), 0);
	assert_true(evacuations_has(&e, (uint32_t)hash_text(ZONE)));
}

static void test_bounds(void **state)
{
	struct evacuations e = { 0 };
	char name[NAME_MAX_BYTES + 1];

	(void)state;
	memset(name, 'z', sizeof(name));
	name[NAME_MAX_BYTES] = '\0';
	assert_int_equal(evacuations_begin(&e, name), -ENAMETOOLONG);
	for (uint32_t i = 0; i < EVACUATIONS_MAX; i++) {
		snprintf(name, sizeof(name), "z%u", i);
		assert_int_equal(evacuations_begin(&e, name), 0);
	}
	assert_int_equal(evacuations_begin(&e, ZONE), -ENOSPC);
	assert_int_equal(evacuations_end(&e, "z7"), 0);
	assert_int_equal(evacuations_begin(&e, ZONE), 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_evacuated_targets_get_no_flows),
		TEST(test_open_flows_stay),
		TEST(test_repeated_opening_packet_goes_elsewhere),
		TEST(test_refused_at_once_with_no_target_left),
		TEST(test_evacuated_targets_without_flows_are_not_probed),
		TEST(test_waiting_requests_go_at_once),
		cmocka_unit_test(test_begun_and_ended_by_name),
		cmocka_unit_test(test_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
