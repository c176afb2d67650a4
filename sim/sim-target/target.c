#include "settings.h"
#include "target.h"

#include <errno.h>
#include <signal.h>
#include <string.h>

/* RFC 7252 section 4.8.2, with the default transmission parameters. */
#define EXCHANGE_LIFETIME_NS (247 * NS_PER_S)
#define EXCHANGES_MAX 32768
/* Period of calls that run libcoap's retransmission timers. */
#define COAP_TICK_MS 50

static const char program[] = "sim-target";

static void process_coap(struct target *t)
{
	coap_io_process(t->coap, COAP_IO_NO_WAIT);
	target_apply_packet_loss(t);
}

static void on_coap_readable(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	process_coap(poll->data);
}

static void on_coap_timer(uv_timer_t *timer)
{
	process_coap(timer->data);
}

static void on_feed_timer(uv_timer_t *timer)
{
	target_notify_observers(timer->data);
	process_coap(timer->data);
	/* A quitting target ends when its last feed has closed. */
	target_schedule(timer->data);
}

static void on_term(uv_signal_t *sig, int number)
{
	(void)number;
	target_quit_when_idle(sig->data);
}

static int open_runs(struct target *t)
{
	if (!t->opt.runs_path)
		return 0;
	t->runs = fopen(t->opt.runs_path, "a");
	if (t->runs)
		return 0;
	fprintf(stderr, "%s: open %s: %s\n", program, t->opt.runs_path,
		strerror(errno));
	return -errno;
}

static int open_loop(struct target *t)
{
	uint64_t feed_ms = t->opt.feed_ns / NS_PER_MS;

	uv_timer_init(&t->loop, &t->work_timer);
	t->work_timer.data = t;
	uv_timer_init(&t->loop, &t->coap_timer);
	t->coap_timer.data = t;
	uv_timer_start(&t->coap_timer, on_coap_timer, COAP_TICK_MS,
		       COAP_TICK_MS);
	uv_timer_init(&t->loop, &t->feed_timer);
	t->feed_timer.data = t;
	uv_timer_start(&t->feed_timer, on_feed_timer, feed_ms, feed_ms);
	uv_signal_init(&t->loop, &t->term);
	t->term.data = t;
	uv_signal_start(&t->term, on_term, SIGTERM);
	uv_poll_init(&t->loop, &t->coap_poll,
		     coap_context_get_coap_fd(t->coap));
	t->coap_poll.data = t;
	return uv_poll_start(&t->coap_poll, UV_READABLE, on_coap_readable);
}

/**
 * target_open() - open the endpoint, the control port and the timers
 * @t: zeroed but for @opt
 *
 * Return: 0, or a negative errno value after printing an error message.
 */
int target_open(struct target *t)
{
	int rc;

	uv_loop_init(&t->loop);
	addr_text(t->opt.addr, t->name, sizeof(t->name));
	t->slots = slots_new(t->opt.n_slots, t->opt.queue_max);
	t->dedup = dedup_new(EXCHANGES_MAX, EXCHANGE_LIFETIME_NS);
	t->uploads = uploads_new(EXCHANGE_LIFETIME_NS);
	t->observers = observers_new();
	t->report.lag_ns = t->opt.load_lag_ns;
	t->report.constant = t->opt.load_constant;
	t->behaviour.rng.state = hash_u64(t->opt.addr, t->opt.seed) | 1;
	behaviour_reset(&t->behaviour);
	rc = open_runs(t);
	if (rc)
		return rc;
	rc = target_serve_open(t);
	if (rc) {
		fprintf(stderr, "%s: serve %s: %s\n", program, t->name,
			strerror(-rc));
		return rc;
	}
	t->control.ctx = t;
	t->control.commands = target_commands;
	if (t->opt.control)
		rc = control_open(&t->control, &t->loop, t->opt.control,
				  program);
	return rc ? rc : open_loop(t);
}

/**
 * target_close() - free a target; libcoap sends 4.04 to remaining observers
 * @t: target
 */
void target_close(struct target *t)
{
	/* libcoap asserts that its sessions are no longer referenced. */
	target_free_jobs(t);
	observers_free(t->observers);
	sim_loop_close(&t->loop);
	coap_free_context(t->coap);
	uploads_free(t->uploads);
	dedup_free(t->dedup);
	slots_free(t->slots);
	if (t->runs)
		fclose(t->runs);
}
