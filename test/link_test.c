/* Link between cb-watch and cb-entry over ZeroMQ on loopback addresses. */
#include "account_codec.h"
#include "link.h"
#include "link_watch.h"
#include "loopback.h"
#include "settings.h"
#include "spread.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define PORT 7002
#define VM ADDR(loopback_host(), 7000)
#define DATA_CENTRE "garda"
#define TIMEOUT_MS 10000

static const uint8_t key[32] = { 1 };
static const uint8_t other_key[32] = { 2 };

struct entry_side {
	uint64_t generation;
	uint32_t n_accounts;
	uint32_t n_withdrawn;
	uint32_t n_vms;
};

struct watch_side {
	struct spread *spread;
	struct watch_link *link;
};

struct fixture {
	char endpoint[64];
	uv_loop_t loop;
	uv_timer_t timeout;
	bool timed_out;
	struct entry_side entry;
	struct watch_side watch;
	struct entry_link *link;
};

static void on_account(void *ctx, struct account_conf *a)
{
	struct entry_side *entry = ctx;

	entry->generation = a->generation;
	entry->n_accounts++;
	account_free(a);
}

static void on_withdrawn(void *ctx, const char *name)
{
	struct entry_side *entry = ctx;

	assert_string_equal(name, "sailing");
	entry->n_withdrawn++;
}

static void on_roster(void *ctx, const uint64_t *vms, uint32_t n)
{
	struct entry_side *entry = ctx;

	assert_int_equal(vms[0], VM);
	entry->n_vms = n;
}

static void ignore_send(void *ctx, uint64_t vm, const struct spread_msg *msg)
{
	(void)ctx;
	(void)vm;
	(void)msg;
}

static int accept_content(void *ctx, const char *name, const struct content *c)
{
	(void)ctx;
	(void)name;
	(void)c;
	return 0;
}

static void put_in_force(void *ctx, const char *name, const struct version *v,
			 const struct content *c)
{
	struct watch_side *watch = ctx;

	watch_link_send_to_entries(watch->link, name, v, c);
}

static void ignore_peer(void *ctx, const struct spread_msg *msg)
{
	(void)ctx;
	(void)msg;
}

static void on_timeout(uv_timer_t *timer)
{
	struct fixture *f = timer->data;

	f->timed_out = true;
}

static void publish_account(struct fixture *f, uint64_t generation)
{
	struct target_conf target = {
		.addr = ADDR(0x7f020001, 5683),
		.weight = (uint16_t)generation,
	};
	struct service_conf service = {
		.name = "live",
		.vip = ADDR(0x7f01000a, 5683),
		.targets = &target,
		.n_targets = 1,
	};
	struct account_conf a = {
		.weight = 1,
		.services = &service,
		.n_services = 1,
	};
	struct content *c;

	assert_int_equal(account_encode(&a, &c), 0);
	assert_int_equal(spread_publish(f->watch.spread, "account/sailing",
					generation, generation, c, 1),
			 0);
	content_free(c);
}

/* Starts a cb-watch that has no peers and serves at once. */
static void watch_start(struct fixture *f, uint64_t generation)
{
	struct watch_side *watch = &f->watch;
	struct watch_link_conf conf = { f->endpoint, PORT, VM, DATA_CENTRE,
					key };
	struct watch_link_handler handler = { watch, ignore_peer };
	struct spread_conf sconf = { .self = VM, .readers = 2 };
	struct spread_port port = { watch, ignore_send, accept_content,
				    put_in_force };
	struct rng rng = { 1 };

	watch->spread = spread_new(&sconf, port, rng, 1);
	assert_int_equal(
		watch_link_open(&f->loop, &conf, handler, &watch->link), 0);
	watch_link_set_spread(watch->link, watch->spread);
	publish_account(f, generation);
	spread_set_platform_state(watch->spread, true, true, 1);
	spread_set_roster(watch->spread, NULL, 0, 1);
	spread_tick(watch->spread, 1);
	assert_true(spread_is_serving(watch->spread));
}

static void watch_stop(struct fixture *f)
{
	watch_link_close(f->watch.link);
	spread_free(f->watch.spread);
	f->watch.spread = NULL;
}

static void entry_start(struct fixture *f, const uint8_t *shared_key)
{
	struct entry_link_conf conf = { f->endpoint, VM, DATA_CENTRE,
					shared_key };
	struct entry_link_handler handler = { &f->entry, on_account,
					      on_withdrawn, on_roster };

	assert_int_equal(entry_link_start(&f->loop, &conf, handler, &f->link),
			 0);
}

static void wait_for(struct fixture *f, const uint64_t *value, uint64_t least)
{
	while (*value < least && !f->timed_out)
		uv_run(&f->loop, UV_RUN_ONCE);
	assert_true(*value >= least);
}

static void wait_for_u32(struct fixture *f, const uint32_t *value,
			 uint32_t least)
{
	while (*value < least && !f->timed_out)
		uv_run(&f->loop, UV_RUN_ONCE);
	assert_true(*value >= least);
}

static int setup(void **state)
{
	static struct fixture f;
	char vm[32];

	memset(&f, 0, sizeof(f));
	snprintf(f.endpoint, sizeof(f.endpoint), "tcp://%s",
		 addr_text(ADDR(loopback_host(), PORT), vm, sizeof(vm)));
	uv_loop_init(&f.loop);
	uv_timer_init(&f.loop, &f.timeout);
	f.timeout.data = &f;
	uv_timer_start(&f.timeout, on_timeout, TIMEOUT_MS, 0);
	*state = &f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	if (f->watch.spread)
		watch_stop(f);
	entry_link_close(f->link);
	uv_close((uv_handle_t *)&f->timeout, NULL);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	return uv_loop_close(&f->loop);
}

static void entry_receives_accounts_and_roster(void **state)
{
	char vm[32];
	char vms[128];
	struct fixture *f = *state;
	struct content *c;

	snprintf(vms, sizeof(vms), "%s live\n127.0.9.9:7000 leaving\n",
		 addr_text(VM, vm, sizeof(vm)));
	watch_start(f, 2);
	entry_start(f, key);
	wait_for(f, &f->entry.generation, 2);
	publish_account(f, 3);
	wait_for(f, &f->entry.generation, 3);
	assert_int_equal(roster_encode(vms, strlen(vms), &c), 0);
	spread_publish(f->watch.spread, "vms/garda", 4, 4, c, 1);
	content_free(c);
	wait_for_u32(f, &f->entry.n_vms, 1);
	assert_int_equal(f->entry.n_vms, 1);
	spread_withdraw(f->watch.spread, "account/sailing", 9, 1);
	wait_for_u32(f, &f->entry.n_withdrawn, 1);
}

/*
 * A cb-watch stops with generation 5 in force. Its successor has read a stale
 * copy of the platform and reached no peer. An entry that applied whatever its
 * cb-watch sends would return to an older generation.
 */
static void entry_keeps_generation_after_watch_restarts_with_older(void **state)
{
	struct fixture *f = *state;

	watch_start(f, 5);
	entry_start(f, key);
	wait_for(f, &f->entry.generation, 5);
	watch_stop(f);
	watch_start(f, 3);
	wait_for(f, &watch_link_counters(f->watch.link)->entry_ahead, 1);
	publish_account(f, 4);
	wait_for(f, &entry_link_counters(f->link)->link_stale_refused, 1);
	publish_account(f, 6);
	wait_for(f, &f->entry.generation, 6);
	assert_int_equal(f->entry.n_accounts, 2);
}

/*
 * A process without the shared key answers at the endpoint. Without
 * authentication of frames an entry would apply its configuration, or send it
 * the list of versions in force.
 */
static void frames_with_another_key_are_refused(void **state)
{
	struct fixture *f = *state;

	watch_start(f, 2);
	entry_start(f, other_key);
	wait_for(f, &watch_link_counters(f->watch.link)->frames_bad_mac, 2);
	assert_int_equal(f->entry.n_accounts, 0);
	assert_int_equal(watch_link_counters(f->watch.link)->entry_hellos, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			entry_receives_accounts_and_roster, setup, teardown),
		cmocka_unit_test_setup_teardown(
			entry_keeps_generation_after_watch_restarts_with_older,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			frames_with_another_key_are_refused, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
