/*
 * Targets that restart with their id, and entries that no target wrote: when a
 * process counts as ended, when the next one gets flows, which entry is in
 * force.
 */
#include "packet_bed.h"

#include "outlier.h"
#include "assign.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <errno.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)
#define STARTED_MS 1785000000000ULL

static struct target_advertisement entry(struct bed *b, uint64_t id,
					 uint64_t started_ms, uint64_t sequence)
{
	return (struct target_advertisement){
		.id = id,
		.key_hash = id,
		.started_ms = started_ms,
		.sequence = sequence,
		.addr = ADDR(0x0a000000 + id, 8000),
		.service = directory_add_service(b->directory, SERVICE),
		.zone = (uint32_t)hash_text(ZONE),
		.slots = 3,
		.created = { 0, id },
	};
}

static struct target *publish(struct bed *b, uint64_t id, uint64_t started_ms,
			      uint64_t sequence)
{
	struct target_advertisement news = entry(b, id, started_ms, sequence);

	return bed_publish(b, &news);
}

static void tick(struct bed *b)
{
	directory_tick(b->directory, &(struct directory_tick_times){
					     b->now_ns, 0, b->now_ns });
}

/*
 * A service would lose its targets one by one though all run: a target crashes,
 * its port refuses a connection, and it restarts with its id. It must not stay
 * dead until its entry is forgotten.
 */
static void test_restarted_target_gets_flows_again(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, STARTED_MS },
				b.now_ns);
	t->failures = 9;
	t->ejected_until_ns = b.now_ns + NS_PER_S;
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_RESET);
	publish(&b, 1, STARTED_MS + 900, 1);
	assert_int_equal(b.change, TARGET_RESTARTED);
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).action, PATH_FORWARD);
	assert_false(outlier_is_ejected(t, b.now_ns));
	assert_true(outlier_failure_count(t, &policy_default, b.now_ns) == 0);
	bed_close(&b);
}

/*
 * As above while the platform does not answer, so that nobody can publish the
 * restart: the entry has to go on probing a dead target.
 */
static void test_unpublished_restart_is_found_by_probe(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, STARTED_MS },
				b.now_ns);
	bed_advance(&b, 600 * MS);
	assert_int_equal(bed_pending_probes(&b), 1);
	bed_end_probes(&b, 1, PROBE_REFUSED);
	assert_int_equal(t->health, HEALTH_DEAD);
	bed_advance(&b, 600 * MS);
	bed_end_probes(&b, 1, PROBE_ACCEPTED);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_FORWARD);
	bed_close(&b);
}

/* It is probed for as long as it is presumed to live. */
static void test_dead_target_with_lapsed_entry_is_probed(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	publish(&b, 1, STARTED_MS, 7);
	bed_remove_entry(&b, 1, b.now_ns);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, STARTED_MS },
				b.now_ns);
	bed_advance(&b, 600 * MS);
	bed_end_probes(&b, 1, PROBE_ACCEPTED);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_FORWARD);
	bed_close(&b);
}

/*
 * A target that has just restarted would get no flows: a peer's report of the
 * earlier process's end, or a refusal of a probe sent before the restart, comes
 * after the next process was published. Reports name the process, not only the
 * id.
 */
static void test_late_report_about_earlier_process_is_ignored(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	bed_open_flow(&b, CALLER, VIP);
	bed_data(&b, CALLER, VIP, t->cookie, 2, 2, 100);
	bed_advance(&b, 500 * MS);
	assert_int_equal(bed_pending_probes(&b), 1);
	publish(&b, 1, STARTED_MS + 900, 1);
	bed_end_probes(&b, 1, PROBE_REFUSED);
	assert_int_equal(t->health, HEALTH_GOOD);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, STARTED_MS },
				b.now_ns);
	assert_int_equal(t->health, HEALTH_GOOD);
	/* A later process than the published one has ended, so this one has
	 * too. */
	path_peer_reported_dead(b.path,
				&(struct incarnation){ 1, STARTED_MS + 2000 },
				b.now_ns);
	assert_int_equal(t->health, HEALTH_DEAD);
	bed_close(&b);
}

/*
 * Clients would wait until their deadlines for an answer of a process that has
 * ended, when a target restarts faster than any probe notices. The target
 * resets their flows when it gets any packet of them.
 */
static void test_packets_of_earlier_process_are_resent_to_next(void **state)
{
	static const uint8_t ack[32];
	struct packet k = {
		.flow = { CALLER, VIP },
		.seq = 1,
		.ack = 1,
		.flags = PACKET_ACK,
		.bytes = ack,
		.n_bytes = sizeof(ack),
	};
	struct path_verdict v;
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	bed_syn(&b, CALLER, VIP, 0);
	k.cookie = t->cookie;
	path_packet(b.path, &k, true, b.now_ns, &v);
	bed_data(&b, CALLER, VIP, t->cookie, 1, 1, 100);
	assert_int_equal(t->busy, 1);
	publish(&b, 1, STARTED_MS + 900, 1);
	assert_int_equal(b.n_resent, 1);
	/* A reset by the entry could end a flow that the next process has
	 * opened. */
	assert_int_equal(b.n_resets, 0);
	assert_int_equal(t->busy, 0);
	assert_int_equal(t->flows, 0);
	assert_int_equal(bed_data(&b, CALLER, VIP, t->cookie, 2, 2, 9).action,
			 PATH_FORWARD);
	bed_close(&b);
}

/*
 * A draining target would get new flows again, or a restarted one would lose
 * its state, when the platform applies a write after later ones: the newest
 * revision need not be the newest entry.
 */
static void test_late_write_of_entry_is_ignored(void **state)
{
	struct target_advertisement leaving, late;
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	leaving = entry(&b, 1, STARTED_MS, 9);
	leaving.leaving = true;
	bed_publish(&b, &leaving);
	publish(&b, 1, STARTED_MS, 8);
	assert_int_equal(b.change, TARGET_OUTDATED);
	assert_int_equal(t->stage, TARGET_LEAVING);
	publish(&b, 1, STARTED_MS + 900, 1);
	late = entry(&b, 1, STARTED_MS, 10);
	late.addr = ADDR(1, 1);
	bed_publish(&b, &late);
	assert_int_equal(b.change, TARGET_OUTDATED);
	assert_int_equal(t->advertised.started_ms, STARTED_MS + 900);
	assert_int_not_equal(t->advertised.addr, ADDR(1, 1));
	bed_close(&b);
}

static void test_next_process_may_change_service_and_address(void **state)
{
	struct target *const *all = NULL;
	struct target_advertisement news;
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	news = entry(&b, 1, STARTED_MS + 900, 1);
	news.service = directory_add_service(b.directory, OTHER_SERVICE);
	news.addr = ADDR(7, 7);
	news.slots = 5;
	bed_publish(&b, &news);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_RESET);
	assert_int_equal(bed_syn(&b, CALLER, OTHER_VIP, 0).action,
			 PATH_FORWARD);
	assert_int_equal(t->advertised.addr, ADDR(7, 7));
	assert_int_equal(
		directory_service_targets(b.directory, news.service, &all), 1);
	assert_ptr_equal(all[0], t);
	bed_close(&b);
}

/*
 * All flows of a serving target would be reset, and it would get no more, when
 * somebody else writes an entry with its address: two entries of an address
 * don't prove that the first process has ended.
 */
static void test_foreign_entry_with_same_address_keeps_target(void **state)
{
	struct target_advertisement other;
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	bed_open_flow(&b, CALLER, VIP);
	other = entry(&b, 2, STARTED_MS + 5000, 1);
	other.addr = t->advertised.addr;
	bed_publish(&b, &other);
	assert_false(directory_is_serving(b.directory, t));
	/* The target answers, so no other one listens at its address. */
	b.now_ns += 10 * MS;
	bed_data(&b, CALLER, VIP, t->cookie, 2, 2, 100);
	b.now_ns += 10 * MS;
	bed_data(&b, CALLER, VIP, t->cookie, 102, 300, 0);
	assert_true(directory_is_serving(b.directory, t));
	bed_advance(&b, NS_PER_S);
	assert_int_equal(b.n_resets, 0);
	assert_int_equal(t->health, HEALTH_GOOD);
	bed_close(&b);
}

static void test_entry_of_earlier_start_does_not_take_address(void **state)
{
	struct target_advertisement other;
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	other = entry(&b, 2, STARTED_MS - 5000, 1);
	other.addr = t->advertised.addr;
	bed_publish(&b, &other);
	assert_true(directory_is_serving(b.directory, t));
	for (uint32_t i = 0; i < 16; i++)
		assert_int_equal(
			bed_syn(&b, CALLER + i, VIP, 0).target->advertised.id,
			1);
	bed_close(&b);
}

/*
 * Where the targets publish when they started, an entry without a start was not
 * written by a target.
 */
static void test_entry_without_start_gets_no_flows_beside_others(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	publish(&b, 1, STARTED_MS, 7);
	publish(&b, 2, STARTED_MS + 1, 7);
	publish(&b, 3, 0, 7);
	tick(&b);
	for (uint32_t i = 0; i < 32; i++)
		assert_int_not_equal(
			bed_syn(&b, CALLER + i, VIP, 0).target->advertised.id,
			3);
	bed_close(&b);
}

/* Where targets do not publish their start, one that does has no precedence. */
static void test_single_entry_with_start_has_no_precedence(void **state)
{
	uint32_t others = 0;
	struct bed b;

	(void)state;
	bed_open(&b);
	publish(&b, 1, 0, 7);
	publish(&b, 2, 0, 7);
	publish(&b, 3, STARTED_MS, 7);
	tick(&b);
	for (uint32_t i = 0; i < 32; i++)
		others +=
			bed_syn(&b, CALLER + i, VIP, 0).target->advertised.id !=
			3;
	assert_in_range(others, 8, 32);
	bed_close(&b);
}

/*
 * Of two keys with one id the one created first has it, in whatever order they
 * come.
 */
static void test_id_belongs_to_key_created_first(void **state)
{
	(void)state;
	for (uint32_t order = 0; order < 2; order++) {
		struct target_advertisement first, second;
		struct bed b;

		bed_open(&b);
		first = entry(&b, 1, STARTED_MS, 7);
		second = entry(&b, 1, STARTED_MS + 900, 1);
		second.key_hash = 2;
		second.created.revision = 50;
		second.addr = ADDR(9, 9);
		bed_publish(&b, order ? &first : &second);
		bed_publish(&b, order ? &second : &first);
		assert_int_equal(
			directory_by_id(b.directory, 1)->advertised.addr,
			first.addr);
		/* Deleting the second key doesn't end the target. */
		directory_mark_absent(b.directory, &second, b.now_ns, 0);
		assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action,
				 PATH_FORWARD);
		bed_close(&b);
	}
}

/*
 * A successor would count as the earlier target: the store was restored from an
 * older copy, so that the creation of its entry has a lower revision, of a
 * later epoch.
 */
static void test_successor_of_later_epoch_has_lower_revision(void **state)
{
	struct target_advertisement first, second;
	struct bed b;

	(void)state;
	bed_open(&b);
	first = entry(&b, 1, 0, 7);
	first.created = (struct position){ 1, 30 };
	second = entry(&b, 2, 0, 1);
	second.addr = first.addr;
	second.created = (struct position){ 2, 26 };
	bed_publish(&b, &first);
	bed_publish(&b, &second);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).target->advertised.id, 2);
	bed_close(&b);
}

/*
 * A second key would take the id, since its creation has a lower revision, of a
 * later epoch.
 */
static void test_second_key_of_later_epoch_does_not_take_id(void **state)
{
	struct target_advertisement first, second;
	struct bed b;

	(void)state;
	bed_open(&b);
	first = entry(&b, 1, STARTED_MS, 7);
	first.created = (struct position){ 1, 30 };
	second = entry(&b, 1, STARTED_MS + 900, 1);
	second.key_hash = 2;
	second.created = (struct position){ 2, 26 };
	second.addr = ADDR(9, 9);
	bed_publish(&b, &first);
	bed_publish(&b, &second);
	assert_int_equal(b.change, TARGET_ID_CONFLICT);
	bed_close(&b);
}

/* An entry of an older copy of the store would end the draining of a target. */
static void test_entries_are_ordered_by_start_and_sequence(void **state)
{
	struct target_advertisement news, other;
	struct bed b;

	(void)state;
	bed_open(&b);
	publish(&b, 1, STARTED_MS, 7);
	news = entry(&b, 1, STARTED_MS, 6);
	assert_true(directory_compare_advertisement(b.directory, &news) < 0);
	news.sequence = 7;
	assert_int_equal(directory_compare_advertisement(b.directory, &news),
			 0);
	news.sequence = 8;
	assert_true(directory_compare_advertisement(b.directory, &news) > 0);
	news = entry(&b, 1, STARTED_MS - 1, 9);
	assert_true(directory_compare_advertisement(b.directory, &news) < 0);
	/* Entries of another key and of unknown targets have no order. */
	other = entry(&b, 1, STARTED_MS + 1, 1);
	other.key_hash = 2;
	assert_int_equal(directory_compare_advertisement(b.directory, &other),
			 0);
	other = entry(&b, 5, STARTED_MS, 1);
	assert_int_equal(directory_compare_advertisement(b.directory, &other),
			 0);
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_restarted_target_gets_flows_again),
		cmocka_unit_test(test_unpublished_restart_is_found_by_probe),
		cmocka_unit_test(test_dead_target_with_lapsed_entry_is_probed),
		cmocka_unit_test(
			test_late_report_about_earlier_process_is_ignored),
		cmocka_unit_test(
			test_packets_of_earlier_process_are_resent_to_next),
		cmocka_unit_test(test_late_write_of_entry_is_ignored),
		cmocka_unit_test(
			test_next_process_may_change_service_and_address),
		cmocka_unit_test(
			test_foreign_entry_with_same_address_keeps_target),
		cmocka_unit_test(
			test_entry_of_earlier_start_does_not_take_address),
		cmocka_unit_test(
			test_entry_without_start_gets_no_flows_beside_others),
		cmocka_unit_test(
			test_single_entry_with_start_has_no_precedence),
		cmocka_unit_test(test_id_belongs_to_key_created_first),
		cmocka_unit_test(
			test_second_key_of_later_epoch_does_not_take_id),
		cmocka_unit_test(
			test_entries_are_ordered_by_start_and_sequence),
		cmocka_unit_test(
			test_successor_of_later_epoch_has_lower_revision),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
