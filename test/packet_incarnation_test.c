/*
 * Targets that start again under their id, and entries that no target wrote:
 * what ends a process, what brings the next one back, whose word counts.
 */
#include "packet_bed.h"

#include "outlier.h"
#include "place.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <errno.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)
#define STARTED_MS 1785000000000ULL

static struct target_news entry(struct bed *b, uint64_t id, uint64_t started_ms,
				uint64_t sequence)
{
	return (struct target_news){
		.id = id,
		.entry = id,
		.started_ms = started_ms,
		.sequence = sequence,
		.addr = ADDR(0x0a000000 + id, 8000),
		.service = directory_name(b->directory, SERVICE),
		.zone = (uint32_t)hash_text(ZONE),
		.slots = 3,
		.created = { 0, id },
	};
}

static struct target *publish(struct bed *b, uint64_t id, uint64_t started_ms,
			      uint64_t sequence)
{
	struct target_news news = entry(b, id, started_ms, sequence);

	return bed_publish(b, &news);
}

static void tick(struct bed *b)
{
	directory_tick(b->directory,
		       &(struct directory_clock){ b->now_ns, 0, b->now_ns });
}

/*
 * Symptom: a service has fewer and fewer targets, though all run. Sequence: a
 * target crashes, its port refuses a connection, it starts again under its id.
 * Cause: "an id never comes back" kept it dead until its entry was forgotten.
 */
static void test_started_again_serves_again(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, STARTED_MS });
	t->failures = 9;
	t->ejected_until_ns = b.now_ns + NS_PER_S;
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_RESET);
	publish(&b, 1, STARTED_MS + 900, 1);
	assert_int_equal(b.change, TARGET_RESTARTED);
	assert_int_equal(bed_syn(&b, CALLER + 1, VIP, 0).action, PATH_FORWARD);
	assert_false(outlier_ejected(t, b.now_ns));
	assert_true(outlier_failures(t, &policy_usual, b.now_ns) == 0);
	bed_close(&b);
}

/*
 * Symptom: as above, while the platform is away. Sequence: a target crashes and
 * starts again; nobody can publish it. Cause: nothing looked at it any more.
 */
static void test_started_again_unpublished_is_found(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, STARTED_MS });
	bed_pass(&b, 600 * MS);
	assert_int_equal(bed_open_probes(&b), 1);
	bed_answer(&b, 1, PROBE_REFUSED);
	assert_int_equal(t->health, HEALTH_DEAD);
	bed_pass(&b, 600 * MS);
	bed_answer(&b, 1, PROBE_OPEN);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_FORWARD);
	bed_close(&b);
}

/* A lapsed entry's target is looked at as long as it is presumed to live. */
static void test_presumed_one_is_looked_at(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	publish(&b, 1, STARTED_MS, 7);
	bed_absent(&b, 1, b.now_ns);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, STARTED_MS });
	bed_pass(&b, 600 * MS);
	bed_answer(&b, 1, PROBE_OPEN);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_FORWARD);
	bed_close(&b);
}

/*
 * Symptom: a target that has just started again gets no flows. Sequence: a peer
 * finds its earlier process dead, and its word comes after the next process was
 * published; or a connection attempt of before is refused after it. Cause: the
 * word named the id alone.
 */
static void test_late_word_of_the_earlier_process(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	bed_open_flow(&b, CALLER, VIP);
	bed_data(&b, CALLER, VIP, t->cookie, 2, 2, 100);
	bed_pass(&b, 500 * MS);
	assert_int_equal(bed_open_probes(&b), 1);
	publish(&b, 1, STARTED_MS + 900, 1);
	bed_answer(&b, 1, PROBE_REFUSED);
	assert_int_equal(t->health, HEALTH_GOOD);
	path_peer_reported_dead(b.path, &(struct incarnation){ 1, STARTED_MS });
	assert_int_equal(t->health, HEALTH_GOOD);
	/* A later one than is known here has ended, so this one has too. */
	path_peer_reported_dead(b.path,
				&(struct incarnation){ 1, STARTED_MS + 2000 });
	assert_int_equal(t->health, HEALTH_DEAD);
	bed_close(&b);
}

/*
 * Symptom: clients wait until their deadlines for an answer of a process that
 * is gone. Sequence: a target starts again so fast that no connection attempt
 * met the gap. Cause: nothing told the clients; the target itself would, if it
 * got any packet of their flows.
 */
static void
test_flows_of_the_earlier_process_are_shown_to_the_next(void **state)
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
	assert_int_equal(b.n_again, 1);
	/* A reset of ours might meet a flow that the next process has opened. */
	assert_int_equal(b.n_resets, 0);
	assert_int_equal(t->busy, 0);
	assert_int_equal(t->flows, 0);
	assert_int_equal(bed_data(&b, CALLER, VIP, t->cookie, 2, 2, 9).action,
			 PATH_FORWARD);
	bed_close(&b);
}

/*
 * Symptom: a target that drains gets new flows again, or one that has started
 * again loses what was learned of it. Sequence: the platform does a write late,
 * after the ones that followed it. Cause: the newest revision was taken for the
 * newest word.
 */
static void test_late_write_changes_nothing(void **state)
{
	struct target_news leaving, late;
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
	assert_int_equal(t->news.started_ms, STARTED_MS + 900);
	assert_int_not_equal(t->news.addr, ADDR(1, 1));
	bed_close(&b);
}

/* The next process may be elsewhere, of another service and size. */
static void test_next_process_has_its_own_place(void **state)
{
	struct target *const *all = NULL;
	struct target_news news;
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	news = entry(&b, 1, STARTED_MS + 900, 1);
	news.service = directory_name(b.directory, OTHER_SERVICE);
	news.addr = ADDR(7, 7);
	news.slots = 5;
	bed_publish(&b, &news);
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action, PATH_RESET);
	assert_int_equal(bed_syn(&b, CALLER, OTHER_VIP, 0).action,
			 PATH_FORWARD);
	assert_int_equal(t->news.addr, ADDR(7, 7));
	assert_int_equal(directory_of_service(b.directory, news.service, &all),
			 1);
	assert_ptr_equal(all[0], t);
	bed_close(&b);
}

/*
 * Symptom: all flows of a target that serves are reset, and it gets no more.
 * Sequence: somebody else writes an entry with its address. Cause: an address
 * with two entries was taken for one whose first process has ended.
 */
static void test_entry_with_its_address_ends_no_target(void **state)
{
	struct target_news other;
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	bed_open_flow(&b, CALLER, VIP);
	other = entry(&b, 2, STARTED_MS + 5000, 1);
	other.addr = t->news.addr;
	bed_publish(&b, &other);
	assert_false(directory_serving(b.directory, t));
	/* It answers: whoever was published at its address is not there. */
	b.now_ns += 10 * MS;
	bed_data(&b, CALLER, VIP, t->cookie, 2, 2, 100);
	b.now_ns += 10 * MS;
	bed_data(&b, CALLER, VIP, t->cookie, 102, 300, 0);
	assert_true(directory_serving(b.directory, t));
	bed_pass(&b, NS_PER_S);
	assert_int_equal(b.n_resets, 0);
	assert_int_equal(t->health, HEALTH_GOOD);
	bed_close(&b);
}

/* An earlier process than the one that has the address takes nothing from it. */
static void test_earlier_entry_takes_no_address(void **state)
{
	struct target_news other;
	struct target *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = publish(&b, 1, STARTED_MS, 7);
	other = entry(&b, 2, STARTED_MS - 5000, 1);
	other.addr = t->news.addr;
	bed_publish(&b, &other);
	assert_true(directory_serving(b.directory, t));
	for (uint32_t i = 0; i < 16; i++)
		assert_int_equal(
			bed_syn(&b, CALLER + i, VIP, 0).target->news.id, 1);
	bed_close(&b);
}

/* Where targets tell when they started, an entry that doesn't is no target's. */
static void test_entry_without_a_start_among_others(void **state)
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
			bed_syn(&b, CALLER + i, VIP, 0).target->news.id, 3);
	bed_close(&b);
}

/* Where none tells, one that does takes nothing from the others. */
static void test_start_told_by_one_alone(void **state)
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
		others += bed_syn(&b, CALLER + i, VIP, 0).target->news.id != 3;
	assert_in_range(others, 8, 32);
	bed_close(&b);
}

/* Two keys of one id: the entry created first has it, in whatever order. */
static void test_second_key_of_an_id(void **state)
{
	(void)state;
	for (uint32_t order = 0; order < 2; order++) {
		struct target_news first, second;
		struct bed b;

		bed_open(&b);
		first = entry(&b, 1, STARTED_MS, 7);
		second = entry(&b, 1, STARTED_MS + 900, 1);
		second.entry = 2;
		second.created.revision = 50;
		second.addr = ADDR(9, 9);
		bed_publish(&b, order ? &first : &second);
		bed_publish(&b, order ? &second : &first);
		assert_int_equal(directory_by_id(b.directory, 1)->news.addr,
				 first.addr);
		/* Nor does its end end the target. */
		directory_absent(b.directory, &second, b.now_ns, 0);
		assert_int_equal(bed_syn(&b, CALLER, VIP, 0).action,
				 PATH_FORWARD);
		bed_close(&b);
	}
}

/* Guards against a successor taken for the earlier one: its entry's creation has
 * a lower revision when the store has come back from an older copy. */
static void test_successor_created_in_a_later_epoch(void **state)
{
	struct target_news first, second;
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
	assert_int_equal(bed_syn(&b, CALLER, VIP, 0).target->news.id, 2);
	bed_close(&b);
}

/* Guards against a second key that has the id since its creation has a lower
 * revision, of a later epoch. */
static void test_second_key_of_an_id_in_a_later_epoch(void **state)
{
	struct target_news first, second;
	struct bed b;

	(void)state;
	bed_open(&b);
	first = entry(&b, 1, STARTED_MS, 7);
	first.created = (struct position){ 1, 30 };
	second = entry(&b, 1, STARTED_MS + 900, 1);
	second.entry = 2;
	second.created = (struct position){ 2, 26 };
	second.addr = ADDR(9, 9);
	bed_publish(&b, &first);
	bed_publish(&b, &second);
	assert_int_equal(b.change, TARGET_FOREIGN);
	bed_close(&b);
}

/* Guards against an older copy's entry that ends a target's leaving. */
static void test_entries_are_ordered_by_start_and_number(void **state)
{
	struct target_news news, other;
	struct bed b;

	(void)state;
	bed_open(&b);
	publish(&b, 1, STARTED_MS, 7);
	news = entry(&b, 1, STARTED_MS, 6);
	assert_true(directory_compare(b.directory, &news) < 0);
	news.sequence = 7;
	assert_int_equal(directory_compare(b.directory, &news), 0);
	news.sequence = 8;
	assert_true(directory_compare(b.directory, &news) > 0);
	news = entry(&b, 1, STARTED_MS - 1, 9);
	assert_true(directory_compare(b.directory, &news) < 0);
	/* Nothing orders another key's entry, nor an unknown target's. */
	other = entry(&b, 1, STARTED_MS + 1, 1);
	other.entry = 2;
	assert_int_equal(directory_compare(b.directory, &other), 0);
	other = entry(&b, 5, STARTED_MS, 1);
	assert_int_equal(directory_compare(b.directory, &other), 0);
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_started_again_serves_again),
		cmocka_unit_test(test_started_again_unpublished_is_found),
		cmocka_unit_test(test_presumed_one_is_looked_at),
		cmocka_unit_test(test_late_word_of_the_earlier_process),
		cmocka_unit_test(
			test_flows_of_the_earlier_process_are_shown_to_the_next),
		cmocka_unit_test(test_late_write_changes_nothing),
		cmocka_unit_test(test_next_process_has_its_own_place),
		cmocka_unit_test(test_entry_with_its_address_ends_no_target),
		cmocka_unit_test(test_earlier_entry_takes_no_address),
		cmocka_unit_test(test_entry_without_a_start_among_others),
		cmocka_unit_test(test_start_told_by_one_alone),
		cmocka_unit_test(test_second_key_of_an_id),
		cmocka_unit_test(test_second_key_of_an_id_in_a_later_epoch),
		cmocka_unit_test(test_entries_are_ordered_by_start_and_number),
		cmocka_unit_test(test_successor_created_in_a_later_epoch),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
