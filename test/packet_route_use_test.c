/* Observed use of the flows of each route. */
#include "packet_bed.h"

#include "route_use.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)

/* Flows whose clients send @requests requests each and close them. */
static void use_flows(struct route_use *use, uint64_t vip, uint8_t kind,
		      uint32_t n, uint32_t requests)
{
	uint32_t slot = route_use_slot(use, vip, kind);

	for (uint32_t i = 0; i < n; i++) {
		route_use_count_flow(use, slot, true);
		for (uint32_t r = 1; r <= requests; r++)
			route_use_request(use, slot, r);
		route_use_end(use, slot, requests);
		route_use_count_flow(use, slot, false);
	}
}

/* Guards against decisions by a few flows: the kind decides until there are
 * enough. */
static void test_kind_decides_until_there_is_evidence(void **state)
{
	struct route_use *use = route_use_new();

	(void)state;
	assert_true(route_use_is_long(use, VIP, ROUTE_FEED));
	assert_false(route_use_is_long(use, VIP, ROUTE_REPORT));
	assert_false(route_use_is_long(use, VIP, ROUTE_DOWNLOAD));
	use_flows(use, VIP, ROUTE_FEED, ROUTE_USE_FLOWS_MIN - 1, 1);
	use_flows(use, REPORT_VIP, ROUTE_REPORT, ROUTE_USE_FLOWS_MIN - 1, 5);
	assert_true(route_use_is_long(use, VIP, ROUTE_FEED));
	assert_false(route_use_is_long(use, REPORT_VIP, ROUTE_REPORT));
	use_flows(use, VIP, ROUTE_FEED, 1, 1);
	use_flows(use, REPORT_VIP, ROUTE_REPORT, 1, 5);
	assert_false(route_use_is_long(use, VIP, ROUTE_FEED));
	assert_true(route_use_is_long(use, REPORT_VIP, ROUTE_REPORT));
	route_use_free(use);
}

/* Guards against feeds that are spread as short flows, since a release closes
 * half of them after one request. */
static void test_early_ends_do_not_make_a_route_short(void **state)
{
	struct route_use *use = route_use_new();

	(void)state;
	for (uint32_t i = 0; i < 100; i++) {
		use_flows(use, VIP, ROUTE_FEED, 1, 1);
		use_flows(use, VIP, ROUTE_FEED, 1, 40);
		assert_true(route_use_is_long(use, VIP, ROUTE_FEED));
	}
	use_flows(use, REPORT_VIP, ROUTE_REPORT, 100, 1);
	use_flows(use, REPORT_VIP, ROUTE_REPORT, 10, 2);
	assert_false(route_use_is_long(use, REPORT_VIP, ROUTE_REPORT));
	route_use_free(use);
}

/* Guards against a use that is learned once and for all. */
static void test_other_use_is_followed(void **state)
{
	struct route_use *use = route_use_new();

	(void)state;
	use_flows(use, VIP, ROUTE_REPORT, 200, 1);
	use_flows(use, VIP, ROUTE_REPORT, 60, 3);
	assert_true(route_use_is_long(use, VIP, ROUTE_REPORT));
	assert_true(route_use_requests_per_flow(use, VIP) > 2.5f);
	/* Another kind is another use. */
	use_flows(use, VIP, ROUTE_UPLOAD, 1, 3);
	assert_false(route_use_is_long(use, VIP, ROUTE_UPLOAD));
	route_use_free(use);
}

/* Guards against a write behind the end of the table, and against a route that
 * is never observed since others of earlier filled it. */
static void test_full_table_uses_the_kinds(void **state)
{
	struct route_use *use = route_use_new();
	uint32_t slot;

	(void)state;
	for (uint32_t i = 0; i < ROUTE_USE_MAX; i++) {
		slot = route_use_slot(use, VIP + i, ROUTE_REPORT);
		assert_int_equal(slot, i);
		route_use_count_flow(use, slot, true);
	}
	slot = route_use_slot(use, VIP - 1, ROUTE_FEED);
	assert_int_equal(slot, ROUTE_USE_NONE);
	route_use_request(use, slot, 2);
	route_use_end(use, slot, 1);
	assert_true(route_use_is_long(use, VIP - 1, ROUTE_FEED));
	route_use_count_flow(use, 1, false);
	assert_int_equal(route_use_slot(use, VIP - 1, ROUTE_FEED), 1);
	assert_int_equal(route_use_slot(use, VIP - 1, ROUTE_FEED), 1);
	route_use_free(use);
}

/* Guards against targets that get as many flows of a busy route as of a quiet
 * one: of ten flows, four have a request in progress. */
static void test_flow_load_is_the_mean_of_open_flows(void **state)
{
	struct route_use *use = route_use_new();
	uint32_t slot = route_use_slot(use, VIP, ROUTE_FEED);
	uint64_t now_ns = NS_PER_S;

	(void)state;
	assert_float_equal(route_use_flow_load(use, VIP),
			   ROUTE_USE_LOAD_INITIAL, 0.0001);
	for (uint32_t i = 0; i < 10; i++) {
		route_use_count_flow(use, slot, true);
		if (i < 4)
			route_use_count_busy(use, slot, true);
	}
	for (uint32_t i = 0; i < 1000; i++, now_ns += 20 * MS)
		route_use_sample(use, now_ns);
	assert_float_equal(route_use_flow_load(use, VIP), 0.4, 0.01);
	for (uint32_t i = 0; i < 10; i++) {
		route_use_count_flow(use, slot, false);
		if (i < 4)
			route_use_count_busy(use, slot, false);
	}
	for (uint32_t i = 0; i < 1000; i++, now_ns += 20 * MS)
		route_use_sample(use, now_ns);
	assert_float_equal(route_use_flow_load(use, VIP), 0.4, 0.01);
	route_use_free(use);
}

static void open_bed(struct bed *b, uint8_t load_control)
{
	static struct policy policy;

	policy = policy_default;
	policy.load_control = load_control;
	bed_open_with(b, &policy);
	for (uint32_t i = 1; i <= 3; i++)
		bed_target(b, i, SERVICE, ZONE);
}

static uint32_t send_request(struct bed *b, uint64_t caller, uint64_t vip,
			     uint32_t cookie, uint32_t number)
{
	uint32_t seq = 2 * number, ack = 1 + 500 * number;

	bed_data(b, caller, vip, cookie, seq, ack - 500, 100);
	b->now_ns += 10 * MS;
	bed_data(b, caller, vip, cookie, seq + 1, ack, 0);
	return ack;
}

/* A flow with @requests requests; closed by its client when @ends. */
static void use_flow(struct bed *b, uint64_t caller, uint64_t vip,
		     uint32_t requests, bool ends)
{
	struct path_verdict v = bed_open_flow(b, caller, vip);
	uint32_t ack = 1;

	for (uint32_t i = 1; i <= requests; i++)
		ack = send_request(b, caller, vip, v.target->cookie, i);
	if (ends)
		bed_fin(b, caller, vip, v.target->cookie, 3 * requests + 9,
			ack);
}

static bool next_is_long(struct bed *b, uint64_t vip)
{
	struct flow_key key = { CALLER + 9999, vip };

	bed_open_flow(b, key.caller, vip);
	return path_find_flow(b->path, &key)->is_long;
}

/* Guards against long flows of unsafe requests that are spread by the requests
 * of the moment, as short ones are. */
static void test_unsafe_requests_on_long_flows_become_long(void **state)
{
	uint32_t feeds = 0;
	struct bed b;

	(void)state;
	open_bed(&b, LOAD_CONTROL_ON);
	for (uint32_t i = 0; i < 20; i++)
		use_flow(&b, CALLER + i, REPORT_VIP, 3, false);
	/* Flows that became long before the next request count as long. */
	for (uint32_t i = 0; i < 3; i++)
		feeds += directory_target_at(b.directory, i)->feeds;
	assert_in_range(feeds, 4, 5);
	assert_true(next_is_long(&b, REPORT_VIP));
	bed_close(&b);
}

/* Guards against safe requests with one request a flow that are spread by the
 * number of flows, with a load that none of them has. */
static void test_safe_requests_on_short_flows_become_short(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, LOAD_CONTROL_ON);
	for (uint32_t i = 0; i < 20; i++)
		use_flow(&b, CALLER + i, VIP, 1, true);
	assert_false(next_is_long(&b, VIP));
	bed_close(&b);
}

/* Guards against a change for deployments that don't call for load control. */
static void test_kinds_decide_without_load_control(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, LOAD_CONTROL_AUTO);
	for (uint32_t i = 0; i < 20; i++) {
		use_flow(&b, CALLER + i, VIP, 1, true);
		use_flow(&b, CALLER + i, REPORT_VIP, 3, false);
	}
	assert_true(next_is_long(&b, VIP));
	assert_false(next_is_long(&b, REPORT_VIP));
	bed_close(&b);
}

/* Guards against observations that are taken over from before a restart, and
 * against flows of before it that count as new: the first request that is seen
 * on them need not be their first. */
static void test_restart_begins_with_the_kinds(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, LOAD_CONTROL_ON);
	for (uint32_t i = 0; i < 20; i++) {
		send_request(&b, CALLER + i, VIP, target_cookie(1), 1);
		bed_fin(&b, CALLER + i, VIP, target_cookie(1), 9, 501);
	}
	assert_true(next_is_long(&b, VIP));
	assert_false(next_is_long(&b, REPORT_VIP));
	bed_close(&b);
}

/* Guards against feeds that become short while targets end: clients close the
 * flows of a leaving target, and give up those of one that doesn't answer. */
static void test_ends_by_the_target_are_no_evidence(void **state)
{
	struct bed b;

	(void)state;
	open_bed(&b, LOAD_CONTROL_ON);
	for (uint32_t i = 0; i < 20; i++) {
		uint64_t caller = CALLER + i;
		struct path_verdict v = bed_open_flow(&b, caller, VIP);

		send_request(&b, caller, VIP, v.target->cookie, 1);
		directory_target_at(b.directory, 0)->stage = TARGET_LEAVING;
		directory_target_at(b.directory, 1)->stage = TARGET_LEAVING;
		directory_target_at(b.directory, 2)->stage = TARGET_LEAVING;
		bed_fin(&b, caller, VIP, v.target->cookie, 9, 501);
		for (uint32_t k = 0; k < 3; k++)
			directory_target_at(b.directory, k)->stage =
				TARGET_SERVING;
		v = bed_open_flow(&b, caller + 100, VIP);
		bed_data(&b, caller + 100, VIP, v.target->cookie, 2, 1, 100);
		bed_fin(&b, caller + 100, VIP, v.target->cookie, 9, 1);
	}
	assert_true(next_is_long(&b, VIP));
	bed_close(&b);
}

/* Guards against the load of one route that is taken for that of another. */
static void test_flow_load_is_kept_by_route(void **state)
{
	const struct route_table *t;
	struct bed b;

	(void)state;
	open_bed(&b, LOAD_CONTROL_ON);
	for (uint32_t i = 0; i < 4; i++) {
		struct path_verdict v =
			bed_open_flow(&b, CALLER + i, REPORT_VIP);

		bed_open_flow(&b, CALLER + i, VIP);
		bed_data(&b, CALLER + i, REPORT_VIP, v.target->cookie, 2, 1,
			 100);
	}
	bed_advance(&b, 10 * NS_PER_S);
	t = directory_route_table(b.directory);
	assert_true(path_flow_load(b.path, route_table_find(t, REPORT_VIP)) >
		    0.8f);
	assert_true(path_flow_load(b.path, route_table_find(t, VIP)) < 0.02f);
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_kind_decides_until_there_is_evidence),
		cmocka_unit_test(test_early_ends_do_not_make_a_route_short),
		cmocka_unit_test(test_other_use_is_followed),
		cmocka_unit_test(test_full_table_uses_the_kinds),
		cmocka_unit_test(test_flow_load_is_the_mean_of_open_flows),
		cmocka_unit_test(
			test_unsafe_requests_on_long_flows_become_long),
		cmocka_unit_test(
			test_safe_requests_on_short_flows_become_short),
		cmocka_unit_test(test_kinds_decide_without_load_control),
		cmocka_unit_test(test_restart_begins_with_the_kinds),
		cmocka_unit_test(test_ends_by_the_target_are_no_evidence),
		cmocka_unit_test(test_flow_load_is_kept_by_route),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
