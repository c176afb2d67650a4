/* Packets that wait for the VM's own link. */
#include "pacer.h"

#include "route_table.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define MS NS_PER_MS
/* Of 2 Mbit/s, all of it. */
#define LINK_BYTES_PER_S 250000
#define SEGMENT_BYTES 1240
/* With 28 bytes of IP and UDP. */
#define SEGMENT_NS ((SEGMENT_BYTES + 28) * NS_PER_S / LINK_BYTES_PER_S)
#define WINDOW_PACKETS 16
/* A link keeps what it carries within this time, and loses the rest. */
#define LINK_KEEPS_NS (50 * MS)

struct fixture {
	struct policy policy;
	struct pacer *pacer;
	uint64_t now_ns;
	uint64_t sent;
};

static int setup(void **state)
{
	static struct fixture f;

	f = (struct fixture){ .policy = policy_usual, .now_ns = NS_PER_S };
	f.policy.link_percent = 100;
	f.policy.link_waiting_max = 64;
	f.pacer = pacer_new(&f.policy, LINK_BYTES_PER_S);
	*state = &f;
	return 0;
}

static int teardown(void **state)
{
	pacer_free(((struct fixture *)*state)->pacer);
	return 0;
}

static int give(struct fixture *f, enum pacer_class c, uint64_t name,
		uint32_t n_bytes)
{
	static const uint8_t bytes[PACER_DATAGRAM_MAX_BYTES + 1];
	struct datagram d = { .destination = 1,
			      .copy_id = name,
			      .head = bytes,
			      .head_bytes = n_bytes };

	if (pacer_try_send(f->pacer, c, n_bytes, f->now_ns)) {
		f->sent++;
		return 1;
	}
	return pacer_enqueue(f->pacer, c, &d);
}

/* Let all go that may, as time passes; returns how many went. */
static uint32_t drain(struct fixture *f, uint64_t ns)
{
	uint64_t end_ns = f->now_ns + ns;
	struct datagram d;
	uint32_t n = 0;

	for (; f->now_ns < end_ns; f->now_ns += MS)
		while (pacer_dequeue(f->pacer, f->now_ns, &d))
			n++;
	return n;
}

static void test_empty_link_lets_pass(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(give(f, PACER_BULK, 1, SEGMENT_BYTES), 1);
	assert_int_equal(pacer_queue_length(f->pacer), 0);
	assert_int_equal(pacer_due_ns(f->pacer), 0);
}

/*
 * Symptom: an upload of 40 KB takes two seconds on a link that carries it in
 * 160 ms. Sequence: its client sends sixteen packets at once, all are handed to
 * the link, which keeps ten; the rest is repeated after 200 ms, all sixteen
 * again. Cause: the link was handed more than it keeps.
 */
static void
test_window_of_an_upload_is_never_more_than_the_link_keeps(void **state)
{
	struct fixture *f = *state;
	uint64_t from_ns = f->now_ns;
	uint32_t went = 0;

	for (uint64_t i = 1; i <= WINDOW_PACKETS; i++)
		went += give(f, PACER_BULK, i, SEGMENT_BYTES) == 1;
	while (went < WINDOW_PACKETS) {
		uint64_t carried = (f->now_ns - from_ns) / SEGMENT_NS;

		assert_true((went - carried) * SEGMENT_NS < LINK_KEEPS_NS);
		went += drain(f, MS);
	}
	/* And no slower than the link carries them. */
	assert_in_range(f->now_ns - from_ns, 0, WINDOW_PACKETS * SEGMENT_NS);
}

/*
 * Symptom: feeds and reports take a second beside an upload. Sequence: their
 * packets come while a window of an upload waits. Cause: they stood behind it.
 */
static void test_urgent_packets_pass_what_waits(void **state)
{
	struct fixture *f = *state;
	struct datagram d;
	uint64_t names[4];
	uint32_t n = 0;

	for (uint64_t i = 1; i <= 5; i++)
		give(f, PACER_BULK, i, SEGMENT_BYTES);
	give(f, PACER_REQUEST, 11, 300);
	give(f, PACER_CONTROL, 12, 40);
	while (n < 4 && drain(f, 0) == 0) {
		if (pacer_dequeue(f->pacer, f->now_ns, &d))
			names[n++] = d.copy_id;
		else
			f->now_ns += MS;
	}
	assert_int_equal(names[0], 12);
	assert_int_equal(names[1], 11);
	assert_int_equal(names[2], f->sent + 1);
	assert_int_equal(names[3], f->sent + 2);
}

/*
 * Symptom: a link is full for seconds with packets that were sent already.
 * Sequence: a window waits for longer than the 200 ms after which clients
 * repeat. Cause: each repeat took a place behind its first copy.
 */
static void test_repeat_of_what_waits_is_dropped(void **state)
{
	struct fixture *f = *state;
	uint32_t wait;

	for (uint64_t i = 1; i <= 6; i++)
		give(f, PACER_BULK, i, SEGMENT_BYTES);
	wait = pacer_queue_length(f->pacer);
	assert_int_not_equal(wait, 0);
	assert_int_equal(give(f, PACER_BULK, 6, SEGMENT_BYTES), -EALREADY);
	assert_int_equal(drain(f, NS_PER_S), wait);
	/* It went: a repeat may be of a lost one. */
	assert_int_equal(give(f, PACER_BULK, 6, SEGMENT_BYTES), 1);
}

static void test_packets_without_a_name_are_never_repeats(void **state)
{
	struct fixture *f = *state;

	for (uint32_t i = 0; i < 8; i++)
		give(f, PACER_BULK, 100 + i, SEGMENT_BYTES);
	assert_int_equal(give(f, PACER_CONTROL, 0, 40), 0);
	assert_int_equal(give(f, PACER_CONTROL, 0, 40), 0);
}

static void test_no_room(void **state)
{
	struct fixture *f = *state;
	uint64_t i = 1;
	int err;

	do
		err = give(f, PACER_BULK, i++, SEGMENT_BYTES);
	while (err >= 0);
	assert_int_equal(err, -ENOBUFS);
	assert_int_equal(pacer_queue_length(f->pacer),
			 f->policy.link_waiting_max);
	assert_int_equal(give(f, PACER_BULK, i, PACER_DATAGRAM_MAX_BYTES + 1),
			 -EMSGSIZE);
	drain(f, 10 * NS_PER_S);
	assert_int_equal(pacer_queue_length(f->pacer), 0);
	assert_int_equal(give(f, PACER_BULK, i, SEGMENT_BYTES), 1);
}

/* What others hand to the link counts too. */
static void test_heartbeats_take_their_part(void **state)
{
	struct fixture *f = *state;

	pacer_charge(f->pacer, 10 * SEGMENT_BYTES, f->now_ns);
	assert_int_equal(give(f, PACER_CONTROL, 0, 40), 0);
	assert_true(pacer_due_ns(f->pacer) > f->now_ns + 30 * MS);
}

static void test_wait_is_of_what_goes_before(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(pacer_delay_ns(f->pacer, PACER_BULK, f->now_ns), 0);
	for (uint64_t i = 1; i <= WINDOW_PACKETS; i++)
		give(f, PACER_BULK, i, SEGMENT_BYTES);
	assert_in_range(pacer_delay_ns(f->pacer, PACER_BULK, f->now_ns),
			(WINDOW_PACKETS - 1) * SEGMENT_NS,
			WINDOW_PACKETS * SEGMENT_NS);
	assert_in_range(pacer_delay_ns(f->pacer, PACER_CONTROL, f->now_ns), 0,
			f->policy.link_ahead_ns + SEGMENT_NS);
}

static void test_unknown_link_holds_nothing(void **state)
{
	struct pacer *p = pacer_new(&policy_usual, 0);

	(void)state;
	for (uint32_t i = 0; i < 1000; i++)
		assert_true(pacer_try_send(p, PACER_BULK, SEGMENT_BYTES, 1));
	pacer_charge(p, SEGMENT_BYTES, 1);
	assert_int_equal(pacer_delay_ns(p, PACER_BULK, 1), 0);
	pacer_free(p);
}

static void test_classes_and_names(void **state)
{
	struct packet k = { .flow = { 1, 2 }, .seq = 7 };
	struct packet other = { .flow = { 1, 2 }, .seq = 8, .size_bytes = 1 };

	(void)state;
	assert_int_equal(pacer_classify(&k, ROUTE_UPLOAD), PACER_CONTROL);
	assert_int_equal(pacer_copy_id(&k), 0);
	k.size_bytes = 100;
	assert_int_equal(pacer_classify(&k, ROUTE_UPLOAD), PACER_BULK);
	assert_int_equal(pacer_classify(&k, ROUTE_REPORT), PACER_REQUEST);
	assert_int_equal(pacer_classify(&k, ROUTE_FEED), PACER_REQUEST);
	assert_int_not_equal(pacer_copy_id(&k), 0);
	assert_true(pacer_copy_id(&k) != pacer_copy_id(&other));
	other.seq = 7;
	assert_true(pacer_copy_id(&k) == pacer_copy_id(&other));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_empty_link_lets_pass),
		TEST(test_window_of_an_upload_is_never_more_than_the_link_keeps),
		TEST(test_urgent_packets_pass_what_waits),
		TEST(test_repeat_of_what_waits_is_dropped),
		TEST(test_packets_without_a_name_are_never_repeats),
		TEST(test_no_room),
		TEST(test_heartbeats_take_their_part),
		TEST(test_wait_is_of_what_goes_before),
		cmocka_unit_test(test_unknown_link_holds_nothing),
		cmocka_unit_test(test_classes_and_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
