/* Pacing of the datagrams sent over the VM's own link. */
#include "pacer.h"

#include "route_table.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define MS NS_PER_MS
/* 2 Mbit/s. */
#define LINK_BYTES_PER_S 250000
#define SEGMENT_BYTES 1240
/* Time to carry a segment with its 28 bytes of IP and UDP headers. */
#define SEGMENT_NS ((SEGMENT_BYTES + 28) * NS_PER_S / LINK_BYTES_PER_S)
#define BURST_PACKETS 16
/* A link buffers what it carries within this time and loses the rest. */
#define LINK_BUFFER_NS (50 * MS)

struct fixture {
	struct policy policy;
	struct pacer *pacer;
	uint64_t now_ns;
	uint64_t sent;
};

static int setup(void **state)
{
	static struct fixture f;

	f = (struct fixture){ .policy = policy_default, .now_ns = NS_PER_S };
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

/*
 * Sends or queues a datagram. Returns 1 when sent, otherwise the result of
 * pacer_enqueue().
 */
static int offer(struct fixture *f, enum pacer_class c, uint64_t copy_id,
		 uint32_t n_bytes)
{
	static const uint8_t bytes[PACER_DATAGRAM_MAX_BYTES + 1];
	struct datagram d = { .destination = 1,
			      .copy_id = copy_id,
			      .head = bytes,
			      .head_bytes = n_bytes };

	if (pacer_try_send(f->pacer, c, n_bytes, f->now_ns)) {
		f->sent++;
		return 1;
	}
	return pacer_enqueue(f->pacer, c, &d);
}

/*
 * Advances the time by @ns and sends what the link accepts. Returns the number
 * of datagrams sent.
 */
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

static void test_idle_link_sends_at_once(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(offer(f, PACER_BULK, 1, SEGMENT_BYTES), 1);
	assert_int_equal(pacer_queue_length(f->pacer), 0);
	assert_int_equal(pacer_due_ns(f->pacer), 0);
}

/*
 * Guards against an upload of 40 KB that takes two seconds on a link that
 * carries it in 160 ms. Its client sends sixteen packets in a burst, the link's
 * buffer keeps ten of them, and after 200 ms the client retransmits all
 * sixteen.
 */
static void test_upload_burst_never_overflows_the_link_buffer(void **state)
{
	struct fixture *f = *state;
	uint64_t from_ns = f->now_ns;
	uint32_t n_sent = 0;

	for (uint64_t i = 1; i <= BURST_PACKETS; i++)
		n_sent += offer(f, PACER_BULK, i, SEGMENT_BYTES) == 1;
	while (n_sent < BURST_PACKETS) {
		uint64_t carried = (f->now_ns - from_ns) / SEGMENT_NS;

		assert_true((n_sent - carried) * SEGMENT_NS < LINK_BUFFER_NS);
		n_sent += drain(f, MS);
	}
	/* The pacer sends no slower than the link carries. */
	assert_in_range(f->now_ns - from_ns, 0, BURST_PACKETS * SEGMENT_NS);
}

/*
 * Guards against feeds and reports that take a second because their packets
 * queue behind a burst of an upload.
 */
static void test_urgent_packets_overtake_queued_bulk(void **state)
{
	struct fixture *f = *state;
	struct datagram d;
	uint64_t copy_ids[4];
	uint32_t n = 0;

	for (uint64_t i = 1; i <= 5; i++)
		offer(f, PACER_BULK, i, SEGMENT_BYTES);
	offer(f, PACER_REQUEST, 11, 300);
	offer(f, PACER_CONTROL, 12, 40);
	while (n < 4 && drain(f, 0) == 0) {
		if (pacer_dequeue(f->pacer, f->now_ns, &d))
			copy_ids[n++] = d.copy_id;
		else
			f->now_ns += MS;
	}
	assert_int_equal(copy_ids[0], 12);
	assert_int_equal(copy_ids[1], 11);
	assert_int_equal(copy_ids[2], f->sent + 1);
	assert_int_equal(copy_ids[3], f->sent + 2);
}

/*
 * Guards against a link that is full for seconds with copies of packets already
 * sent: a burst is queued for longer than the 200 ms after which clients
 * retransmit, and each copy would be queued too.
 */
static void test_retransmission_of_a_queued_packet_is_dropped(void **state)
{
	struct fixture *f = *state;
	uint32_t queued;

	for (uint64_t i = 1; i <= 6; i++)
		offer(f, PACER_BULK, i, SEGMENT_BYTES);
	queued = pacer_queue_length(f->pacer);
	assert_int_not_equal(queued, 0);
	assert_int_equal(offer(f, PACER_BULK, 6, SEGMENT_BYTES), -EALREADY);
	assert_int_equal(drain(f, NS_PER_S), queued);
	/* After the first copy was sent it may have been lost. */
	assert_int_equal(offer(f, PACER_BULK, 6, SEGMENT_BYTES), 1);
}

static void test_packets_without_copy_id_are_all_queued(void **state)
{
	struct fixture *f = *state;

	for (uint32_t i = 0; i < 8; i++)
		offer(f, PACER_BULK, 100 + i, SEGMENT_BYTES);
	assert_int_equal(offer(f, PACER_CONTROL, 0, 40), 0);
	assert_int_equal(offer(f, PACER_CONTROL, 0, 40), 0);
}

static void test_full_queue_and_oversized_datagram_are_refused(void **state)
{
	struct fixture *f = *state;
	uint64_t i = 1;
	int err;

	do
		err = offer(f, PACER_BULK, i++, SEGMENT_BYTES);
	while (err >= 0);
	assert_int_equal(err, -ENOBUFS);
	assert_int_equal(pacer_queue_length(f->pacer),
			 f->policy.link_waiting_max);
	assert_int_equal(offer(f, PACER_BULK, i, PACER_DATAGRAM_MAX_BYTES + 1),
			 -EMSGSIZE);
	drain(f, 10 * NS_PER_S);
	assert_int_equal(pacer_queue_length(f->pacer), 0);
	assert_int_equal(offer(f, PACER_BULK, i, SEGMENT_BYTES), 1);
}

/* Datagrams that bypass the pacer count too. */
static void test_heartbeats_are_charged_to_the_link(void **state)
{
	struct fixture *f = *state;

	pacer_charge(f->pacer, 10 * SEGMENT_BYTES, f->now_ns);
	assert_int_equal(offer(f, PACER_CONTROL, 0, 40), 0);
	assert_true(pacer_due_ns(f->pacer) > f->now_ns + 30 * MS);
}

static void test_delay_counts_more_urgent_classes_only(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(pacer_delay_ns(f->pacer, PACER_BULK, f->now_ns), 0);
	for (uint64_t i = 1; i <= BURST_PACKETS; i++)
		offer(f, PACER_BULK, i, SEGMENT_BYTES);
	assert_in_range(pacer_delay_ns(f->pacer, PACER_BULK, f->now_ns),
			(BURST_PACKETS - 1) * SEGMENT_NS,
			BURST_PACKETS * SEGMENT_NS);
	assert_in_range(pacer_delay_ns(f->pacer, PACER_CONTROL, f->now_ns), 0,
			f->policy.link_ahead_ns + SEGMENT_NS);
}

static void test_unknown_link_capacity_queues_nothing(void **state)
{
	struct pacer *p = pacer_new(&policy_default, 0);

	(void)state;
	for (uint32_t i = 0; i < 1000; i++)
		assert_true(pacer_try_send(p, PACER_BULK, SEGMENT_BYTES, 1));
	pacer_charge(p, SEGMENT_BYTES, 1);
	assert_int_equal(pacer_delay_ns(p, PACER_BULK, 1), 0);
	pacer_free(p);
}

static void test_classes_and_copy_ids(void **state)
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
		TEST(test_idle_link_sends_at_once),
		TEST(test_upload_burst_never_overflows_the_link_buffer),
		TEST(test_urgent_packets_overtake_queued_bulk),
		TEST(test_retransmission_of_a_queued_packet_is_dropped),
		TEST(test_packets_without_copy_id_are_all_queued),
		TEST(test_full_queue_and_oversized_datagram_are_refused),
		TEST(test_heartbeats_are_charged_to_the_link),
		TEST(test_delay_counts_more_urgent_classes_only),
		cmocka_unit_test(test_unknown_link_capacity_queues_nothing),
		cmocka_unit_test(test_classes_and_copy_ids),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
