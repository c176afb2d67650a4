/* Targets of evacuated data centres get no new flows. */
#include "packet_bed.h"

#include "evacuations.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define CLIENT ADDR(0x64400001, 1000)
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
 * Targets being evacuated still get flows: the entries of their own data centre
 * prefer local targets, and excluded only targets that announced their own
 * leave.
 */
static void test_evacuated_targets_get_no_flows(void **state)
{
	struct bed *b = *state;

	bed_target(b, 1, SERVICE, ZONE);
	bed_target(b, 2, SERVICE, OTHER_ZONE);
	assert_int_equal(directory_set_evacuated(b->directory, ZONE, true), 0);
	for (uint32_t i = 0; i < FLOWS; i++)
		assert_int_equal(
			bed_syn(b, CLIENT + i, VIP, 0).target->advertised.id,
			2);
	assert_int_equal(directory_set_evacuated(b->directory, ZONE, false), 0);
	for (uint32_t i = 0; i < FLOWS; i++)
		assert_int_equal(bed_syn(b, CLIENT + FLOWS + i, VIP, 0)
					 .target->advertised.id,
				 1);
}

/* A reset would break a live flow; it ends at its target. */
static void test_open_flows_survive_evacuation(void **state)
{
	struct bed *b = *state;
	struct target *t = bed_target(b, 1, SERVICE, ZONE);
	struct path_verdict v;

	bed_target(b, 2, SERVICE, OTHER_ZONE);
	bed_open_flow(b, CLIENT, VIP);
	directory_set_evacuated(b->directory, ZONE, true);
	v = bed_data(b, CLIENT, VIP, t->cookie, 2, 2, 100);
	assert_int_equal(v.action, PATH_FORWARD);
	assert_ptr_equal(v.target, t);
	bed_advance(b, 2 * NS_PER_S);
	assert_int_equal(b->n_resets, 0);
}

/*
 * An evacuated target receives a SYN a second after the evacuation is in force.
 * The target does not answer, the entry or the client sends the SYN again, and
 * the flow must not keep its first target.
 */
static void test_retransmitted_syn_avoids_evacuated_target(void **state)
{
	struct bed *b = *state;

	bed_target(b, 1, SERVICE, ZONE);
	assert_int_equal(bed_syn(b, CLIENT, VIP, 0).target->advertised.id, 1);
	assert_int_equal(bed_syn(b, CLIENT + 1, VIP, 0).target->advertised.id,
			 1);
	bed_target(b, 2, SERVICE, OTHER_ZONE);
	directory_set_evacuated(b->directory, ZONE, true);
	assert_int_equal(bed_syn(b, CLIENT, VIP, 1).target->advertised.id, 2);
	bed_advance(b, 100 * MS);
	assert_int_equal(b->n_resent, 1);
	assert_int_equal(b->resent_to[0], 2);
}

static void test_syn_is_reset_at_once_without_targets(void **state)
{
	struct bed *b = *state;
	struct path_verdict v;

	bed_target(b, 1, SERVICE, ZONE);
	bed_target(b, 2, SERVICE, OTHER_ZONE);
	directory_set_evacuated(b->directory, ZONE, true);
	directory_set_evacuated(b->directory, OTHER_ZONE, true);
	v = bed_syn(b, CLIENT, VIP, 0);
	assert_int_equal(v.action, PATH_RESET);
	assert_int_equal(v.reason, PATH_no_target);
}

/* No client waits for an evacuated target without flows to live again. */
static void test_evacuated_targets_without_flows_are_not_probed(void **state)
{
	struct bed *b = *state;
	struct target *t = bed_target(b, 1, SERVICE, ZONE);

	t->health = HEALTH_DEAD;
	directory_set_evacuated(b->directory, ZONE, true);
	bed_advance(b, 2 * NS_PER_S);
	assert_int_equal(b->n_probes, 0);
	directory_set_evacuated(b->directory, ZONE, false);
	bed_advance(b, NS_PER_S);
	assert_int_not_equal(b->n_probes, 0);
}

/*
 * Queued requests expire: their targets are busy and their data centre is
 * evacuated. Its targets need no protection from load any more, so the requests
 * must not wait for a free slot.
 */
static void test_evacuation_releases_queued_requests(void **state)
{
	struct bed *b = *state;
	struct target *t = bed_target(b, 1, SERVICE, ZONE);
	uint32_t sent = 0;

	bed_set_route_times(b, 300, 2000);
	for (; sent < FLOWS * 2; sent++) {
		bed_open_flow(b, CLIENT + sent, VIP);
		bed_data(b, CLIENT + sent, VIP, t->cookie, 2, 1, 100);
	}
	assert_int_not_equal(path_queued_count(b->path), 0);
	directory_set_evacuated(b->directory, ZONE, true);
	bed_advance(b, 20 * MS);
	assert_int_equal(path_queued_count(b->path), 0);
	assert_int_equal(b->n_resets, 0);
}

static void test_evacuation_begins_and_ends_by_name(void **state)
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

static void
test_too_long_names_and_too_many_evacuations_are_refused(void **state)
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
		TEST(test_open_flows_survive_evacuation),
		TEST(test_retransmitted_syn_avoids_evacuated_target),
		TEST(test_syn_is_reset_at_once_without_targets),
		TEST(test_evacuated_targets_without_flows_are_not_probed),
		TEST(test_evacuation_releases_queued_requests),
		cmocka_unit_test(test_evacuation_begins_and_ends_by_name),
		cmocka_unit_test(
			test_too_long_names_and_too_many_evacuations_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
