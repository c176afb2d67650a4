#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "flow_list.h"

#define REQUESTS 16
#define FEEDS 20000 /* more slots than one call examines */
#define OPEN_FEEDS 3

static const uint64_t self = ADDR(0x7f460101, 7000);
static const uint64_t vip = ADDR(0x7f46020a, 5683);

static struct target_conf target = { .addr = ADDR(0x7f460301, 5683),
				     .weight = 100,
				     .slots = 10,
				     .connections = 100 };
static struct service_conf service = { .name = "live",
				       .vip = ADDR(0x7f46020a, 5683),
				       .class = CLASS_REPORT,
				       .request_timeout_ns = 5 * NS_PER_S,
				       .queue_max = 10,
				       .targets = &target,
				       .n_targets = 1 };
static struct account_conf account = { .name = "club",
				       .generation = 1,
				       .weight = 10,
				       .services = &service,
				       .n_services = 1 };
static const struct config config = { &account, 1 };
static struct actions out;
static uint64_t now_ns = NS_PER_S;

static struct entry *make_ready_entry(void)
{
	const struct entry_conf conf = {
		.member = { .self = self,
			    .incarnation = 1,
			    .probe_period_ns = NS_PER_S,
			    .probe_timeout_ns = NS_PER_S,
			    .suspect_timeout_ns = NS_PER_S,
			    .lease_ns = NS_PER_S,
			    .probes_per_period = 1,
			    .indirect_probes = 1 },
		.requests_max = REQUESTS,
		.feeds_max = FEEDS,
		.claims_max = 16,
		.flows_max = 16,
		.settle_ns = NS_PER_S,
		.cover_ns = NS_PER_S,
		.claim_timeout_ns = NS_PER_S,
		.probe_idle_ns = 10 * NS_PER_S,
		.drain_ns = NS_PER_S,
		.peer_bytes_per_s = 16000,
		.n_buckets = 16,
		.seed = 7,
	};
	struct entry *e = entry_new(&conf, now_ns);

	entry_config(e, &config, now_ns, &out);
	entry_roster(e, &self, 1, now_ns, &out);
	for (uint32_t i = 0; i < 1000 && !entry_ready(e, now_ns); i++) {
		now_ns += 100 * NS_PER_MS;
		entry_tick(e, now_ns, &out);
	}
	return e;
}

static void send_request(struct entry *e, uint16_t id, uint16_t flags)
{
	static const uint8_t data[] = { 0x40, 1, 0, 1 };
	const struct flow_key key = { ADDR(0x7f460801, 40000 + id), vip };
	const struct message m = { .kind = MESSAGE_REQUEST,
				   .flags = MESSAGE_CONFIRM |
					    MESSAGE_IDEMPOTENT | flags,
				   .id = id,
				   .token_len = 1,
				   .token = { (uint8_t)id },
				   .data = data,
				   .size_bytes = sizeof(data) };

	entry_caller(e, &key, &m, now_ns, &out);
}

/*
 * Listing the flows of an almost empty table delays datagrams, because one call
 * examines every slot, or never ends, because a call starts over.
 */
static void list_in_parts_is_complete_and_bounded_per_call(void **state)
{
	struct entry *e = make_ready_entry();
	struct flow_row rows[2];
	uint32_t requests = 0;
	uint32_t feeds = 0;
	uint32_t calls = 0;
	uint64_t cursor = 0;

	(void)state;
	send_request(e, 1, 0);
	for (uint16_t i = 0; i < OPEN_FEEDS; i++)
		send_request(e, 10 + i, MESSAGE_FEED_OPEN);
	while (cursor != UINT64_MAX && calls++ < 100) {
		uint32_t n = entry_flows(e, &cursor, rows, 2);

		for (uint32_t i = 0; i < n; i++) {
			requests += rows[i].kind == ROW_REQUEST;
			feeds += rows[i].kind == ROW_FEED;
			assert_int_equal(rows[i].key.vip, vip);
			/* Only its request knows an opening feed's target. */
			assert_int_equal(rows[i].target,
					 rows[i].kind == ROW_FEED
						 ? ADDR_NONE
						 : target.addr);
		}
	}
	assert_int_equal(feeds, OPEN_FEEDS);
	assert_int_equal(requests, 1 + OPEN_FEEDS);
	assert_in_range(calls, 4, 8);
	cursor = REQUESTS + OPEN_FEEDS;
	assert_int_equal(entry_flows(e, &cursor, rows, 2), 0);
	assert_true(cursor < REQUESTS + FEEDS);
	entry_free(e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			list_in_parts_is_complete_and_bounded_per_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
