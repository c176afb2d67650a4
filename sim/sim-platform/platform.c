#include "platform.h"

#include "settings.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Period at which watches and faults are checked. */
#define TICK_MS 10

static const char program[] = "sim-platform";

static void on_tick(uv_timer_t *timer)
{
	struct platform *p = timer->data;
	uint64_t now_ns = uv_hrtime();
	uint32_t i;

	for (i = 0; i < p->opt.n_addrs; i++)
		frontend_tick(&p->frontends[i], now_ns);
}

static void on_term(uv_signal_t *sig, int number)
{
	struct platform *p = sig->data;

	(void)number;
	uv_stop(&p->loop);
}

static int print_failure(const char *step, uint64_t addr, int rc)
{
	char text[32];

	fprintf(stderr, "%s: %s %s: %s\n", program, step,
		addr_text(addr, text, sizeof(text)), strerror(-rc));
	return rc;
}

static int open_frontends(struct platform *p)
{
	uint32_t i;
	int rc;

	for (i = 0; i < p->opt.n_addrs; i++) {
		p->frontends[i].platform = p;
		p->frontends[i].addr = p->opt.addrs[i];
		g_queue_init(&p->frontends[i].watchers);
		rc = frontend_open(&p->frontends[i]);
		if (rc)
			return print_failure("serve", p->opt.addrs[i], rc);
	}
	return 0;
}

static int open_admin(struct platform *p)
{
	struct http_handler handler = { p, admin_handle };
	int rc;

	if (p->opt.admin == ADDR_NONE)
		return 0;
	rc = http_server_open(&p->loop, p->opt.admin, handler, &p->admin);
	return rc ? print_failure("admin", p->opt.admin, rc) : 0;
}

static void open_loop(struct platform *p)
{
	uv_loop_init(&p->loop);
	uv_timer_init(&p->loop, &p->timer);
	p->timer.data = p;
	uv_timer_start(&p->timer, on_tick, TICK_MS, TICK_MS);
	uv_signal_init(&p->loop, &p->term);
	p->term.data = p;
	uv_signal_start(&p->term, on_term, SIGTERM);
}

/**
 * sim_platform_open() - load the keys and open all addresses
 * @p: zeroed but for @opt
 *
 * Return: 0, or a negative error after printing an error message.
 */
int sim_platform_open(struct platform *p)
{
	int rc = 0;

	open_loop(p);
	p->store = key_store_new();
	if (p->opt.keys_dir)
		rc = key_store_load(p->store, p->opt.keys_dir, program);
	if (!rc)
		rc = open_frontends(p);
	return rc ? rc : open_admin(p);
}

/**
 * sim_platform_close() - close all addresses and free the keys
 * @p: service; unanswered watches are aborted
 */
void sim_platform_close(struct platform *p)
{
	uint32_t i;

	for (i = 0; i < p->opt.n_addrs; i++)
		frontend_set_down(&p->frontends[i], 0);
	if (p->admin)
		http_server_close(p->admin);
	sim_loop_close(&p->loop);
	key_store_free(p->store);
}
