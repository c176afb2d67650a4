/* Answers of many packets: when they begin and end, and their sizes. */
#include "packet_bed.h"

#include "outlier.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)
#define PACKET_BYTES 1400
#define PACKETS 14
#define ERROR_BYTES 210

/* One target; the reports of bed_table() are downloads. */
static struct target *open_bed(struct bed *b)
{
	struct route_table *t;

	bed_open(b);
	t = bed_table(b, 2);
	t->routes[1].kind = ROUTE_DOWNLOAD;
	directory_set_routes(b->directory, t, b->now_ns);
	return bed_target(b, 1, SERVICE, ZONE);
}

static void ack(struct bed *b, uint64_t caller, uint32_t bytes)
{
	bed_data(b, caller, REPORT_VIP, target_cookie(1), 3, 1 + bytes, 0);
}

static void request(struct bed *b, uint64_t caller)
{
	bed_open_flow(b, caller, REPORT_VIP);
	bed_data(b, caller, REPORT_VIP, target_cookie(1), 2, 1, 100);
	b->now_ns += 10 * MS;
}

static void ack_packets(struct bed *b, uint64_t caller, uint32_t packets)
{
	for (uint32_t i = 1; i <= packets; i++) {
		ack(b, caller, i * PACKET_BYTES);
		b->now_ns += MS;
	}
}

/* Downloads whose clients close their flows: makes the mean size known. */
static void download(struct bed *b, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		uint64_t caller = CALLER + 1000 + i;

		request(b, caller);
		ack_packets(b, caller, PACKETS);
		bed_fin(b, caller, REPORT_VIP, target_cookie(1), 3,
			1 + PACKETS * PACKET_BYTES);
	}
}

/* Guards against good targets that are ejected for downloads: a client
 * acknowledges one packet at first, or many together. */
static void test_download_is_no_small_answer(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	t = open_bed(&b);
	for (uint32_t i = 0; i < 20; i++) {
		request(&b, CALLER + i);
		ack(&b, CALLER + i, (i % 2 ? PACKETS : 1) * PACKET_BYTES);
		b.now_ns += MS;
		ack(&b, CALLER + i, PACKETS * PACKET_BYTES);
		bed_fin(&b, CALLER + i, REPORT_VIP, t->cookie, 3,
			1 + PACKETS * PACKET_BYTES);
	}
	assert_true(t->failures <= 0);
	bed_close(&b);
}

/* Guards against slots that look taken while an answer is on its way, and
 * against answer times that grow with the client's link. */
static void test_first_acknowledgement_ends_the_answer_time(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	t = open_bed(&b);
	request(&b, CALLER);
	assert_int_equal(t->running, 1);
	ack(&b, CALLER, PACKET_BYTES);
	assert_int_equal(t->running, 0);
	assert_int_equal(t->busy, 0);
	b.now_ns += 100 * MS;
	ack(&b, CALLER, 2 * PACKET_BYTES);
	assert_int_equal(
		path_latencies(b.path, ROUTE_DOWNLOAD)->answer_us.count, 1);
	bed_fin(&b, CALLER, REPORT_VIP, target_cookie(1), 3,
		1 + 2 * PACKET_BYTES);
	assert_in_range(path_limits(b.path, 0).work_ns, 9 * MS, 11 * MS);
	bed_close(&b);
}

/* Guards against a target that answers downloads with errors and is never
 * noticed: each way in which a download ends records its size once. */
static void test_size_is_recorded_once_at_each_end(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	t = open_bed(&b);
	download(&b, 20);
	request(&b, CALLER);
	ack(&b, CALLER, ERROR_BYTES);
	assert_true(t->failures <= 0);
	bed_fin(&b, CALLER, REPORT_VIP, target_cookie(1), 3, 1 + ERROR_BYTES);
	assert_float_equal(t->failures, 1, 0.001);
	bed_advance(&b, 1000 * MS);
	assert_float_equal(t->failures, 1, 0.001);

	t->failures = 0;
	request(&b, CALLER + 1);
	ack(&b, CALLER + 1, ERROR_BYTES);
	bed_data(&b, CALLER + 1, REPORT_VIP, t->cookie, 9, 1 + ERROR_BYTES, 9);
	assert_float_equal(t->failures, 1, 0.001);
	bed_fin(&b, CALLER + 1, REPORT_VIP, t->cookie, 10, 1 + ERROR_BYTES);

	t->failures = 0;
	request(&b, CALLER + 2);
	ack(&b, CALLER + 2, ERROR_BYTES);
	bed_advance(&b, 400 * MS);
	assert_true(t->failures <= 0);
	bed_advance(&b, 200 * MS);
	assert_float_equal(t->failures, 1, 0.001);
	bed_fin(&b, CALLER + 2, REPORT_VIP, t->cookie, 3, 1 + ERROR_BYTES);
	assert_float_equal(t->failures, 1, 0.001);
	bed_close(&b);
}

/* Guards against downloads that count as ended while this VM was paused: their
 * packets are unread in the socket. */
static void test_stall_does_not_end_a_download(void **state)
{
	struct target *t;
	struct bed b;

	(void)state;
	t = open_bed(&b);
	download(&b, 20);
	request(&b, CALLER);
	ack(&b, CALLER, PACKET_BYTES);
	b.now_ns += 550 * MS;
	path_process_stalled(b.path, b.now_ns);
	bed_advance(&b, 40 * MS);
	ack_packets(&b, CALLER, PACKETS);
	bed_fin(&b, CALLER, REPORT_VIP, t->cookie, 3,
		1 + PACKETS * PACKET_BYTES);
	assert_true(t->failures <= 0);
	bed_close(&b);
}

/* Guards against windows that don't shrink when a full target rejects downloads,
 * and against work times that shrink by fast rejections. */
static void test_rejected_download_is_seen_at_its_end(void **state)
{
	uint64_t work_ns;
	struct target *t;
	struct bed b;

	(void)state;
	t = open_bed(&b);
	download(&b, 20);
	work_ns = path_limits(b.path, 0).work_ns;
	t->peers_running = 9;
	bed_open_flow(&b, CALLER, REPORT_VIP);
	bed_data(&b, CALLER, REPORT_VIP, t->cookie, 2, 1, 100);
	b.now_ns += MS;
	ack(&b, CALLER, ERROR_BYTES);
	bed_fin(&b, CALLER, REPORT_VIP, t->cookie, 3, 1 + ERROR_BYTES);
	assert_int_equal(path_verdict_counts(b.path)[PATH_refused], 1);
	assert_int_equal(path_limits(b.path, 0).work_ns, work_ns);
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_download_is_no_small_answer),
		cmocka_unit_test(
			test_first_acknowledgement_ends_the_answer_time),
		cmocka_unit_test(test_size_is_recorded_once_at_each_end),
		cmocka_unit_test(test_stall_does_not_end_a_download),
		cmocka_unit_test(test_rejected_download_is_seen_at_its_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
