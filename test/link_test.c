/* The link between cb-watch and cb-entry over ZeroMQ on loopback. */
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
#define GIVE_UP_MS 10000

static const uint8_t key[32] = { 1 };
static const uint8_t other_key[32] = { 2 };

struct entry_side {
	uint64_t generation;
	uint32_t n_accounts;
	uint32_t n_gone;
	uint32_t n_vms;
};

struct watch_side {
	struct spread *spread;
	struct watch_link *link;
};

struct fixture {
	char endpoint[64];
	uv_loop_t loop;
	uv_timer_t give_up;
	bool gave_up;
	struct entry_side entry;
	struct watch_side watch;
	struct entry_link *link;
};

static void on_account(void *ctx, struct account_conf *a)
{
	struct entry_side *e = ctx;

	e->generation = a->generation;
	e->n_accounts++;
	account_free(a);
}

static void on_gone(void *ctx, const char *name)
{
	struct entry_side *e = ctx;

	assert_string_equal(name, "sailing");
	e->n_gone++;
}

static void on_roster(void *ctx, const uint64_t *vms, uint32_t n)
{
	struct entry_side *e = ctx;

	assert_int_equal(vms[0], VM);
	e->n_vms = n;
}

static void no_send(void *ctx, uint64_t vm, const struct spread_msg *msg)
{
	(void)ctx;
	(void)vm;
	(void)msg;
}

static int all_readable(void *ctx, const char *name, const struct content *c)
{
	(void)ctx;
	(void)name;
	(void)c;
	return 0;
}

static void in_force(void *ctx, const char *name, const struct version *v,
		     const struct content *c)
{
	struct watch_side *w = ctx;

	watch_link_entries(w->link, name, v, c);
}

static void no_peer(void *ctx, const struct spread_msg *msg)
{
	(void)ctx;
	(void)msg;
}

static void on_give_up(uv_timer_t *timer)
{
	struct fixture *f = timer->data;

	f->gave_up = true;
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

/* A cb-watch process that knows of no peers and serves at once. */
static void watch_start(struct fixture *f, uint64_t generation)
{
	struct watch_side *w = &f->watch;
	struct watch_link_conf conf = { f->endpoint, PORT, VM, DATA_CENTRE,
					key };
	struct watch_link_handler handler = { w, no_peer };
	struct spread_conf sconf = { .self = VM, .readers = 2 };
	struct spread_port port = { w, no_send, all_readable, in_force };
	struct rng rng = { 1 };

	w->spread = spread_new(&sconf, port, rng, 1);
	assert_int_equal(watch_link_open(&f->loop, &conf, handler, &w->link),
			 0);
	watch_link_spread(w->link, w->spread);
	publish_account(f, generation);
	spread_set_platform_state(w->spread, true, true, 1);
	spread_set_roster(w->spread, NULL, 0, 1);
	spread_tick(w->spread, 1);
	assert_true(spread_is_serving(w->spread));
}

static void watch_stop(struct fixture *f)
{
	watch_link_close(f->watch.link);
	spread_free(f->watch.spread);
	f->watch.spread = NULL;
}

static void entry_start(struct fixture *f, const uint8_t *with_key)
{
	struct link_conf conf = { f->endpoint, VM, DATA_CENTRE, with_key };
	struct link_handler handler = { &f->entry, on_account, on_gone,
					on_roster };

	assert_int_equal(entry_link_start(&f->loop, &conf, handler, &f->link),
			 0);
}

static void wait_for(struct fixture *f, const uint64_t *value, uint64_t least)
{
	while (*value < least && !f->gave_up)
		uv_run(&f->loop, UV_RUN_ONCE);
	assert_true(*value >= least);
}

static void wait_for_u32(struct fixture *f, const uint32_t *value,
			 uint32_t least)
{
	while (*value < least && !f->gave_up)
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
	uv_timer_init(&f.loop, &f.give_up);
	f.give_up.data = &f;
	uv_timer_start(&f.give_up, on_give_up, GIVE_UP_MS, 0);
	*state = &f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	if (f->watch.spread)
		watch_stop(f);
	entry_link_close(f->link);
	uv_close((uv_handle_t *)&f->give_up, NULL);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	return uv_loop_close(&f->loop);
}

static void accounts_and_roster_arrive(void **state)
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
	wait_for_u32(f, &f->entry.n_gone, 1);
}

/*
 * Symptom: an entry falls back to an older generation.
 * Events: cb-watch dies with generation 5 in force; the one that follows has
 * read a stale platform, and reached no peer.
 * Cause: the entry takes whatever its cb-watch sends.
 */
static void watch_replaced_by_older(void **state)
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
 * Symptom: an entry takes its configuration from a stranger, or gives its
 * list away.
 * Events: a process without the shared key answers at the endpoint.
 * Cause: frames are not authenticated.
 */
static void wrong_key(void **state)
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
		cmocka_unit_test_setup_teardown(accounts_and_roster_arrive,
						setup, teardown),
		cmocka_unit_test_setup_teardown(watch_replaced_by_older, setup,
						teardown),
		cmocka_unit_test_setup_teardown(wrong_key, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
