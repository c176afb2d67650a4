/* Start of the daemon, its timers and the planned stop. */
#include "daemon.h"
#include "log.h"

#include <errno.h>
#include <sodium.h>
#include <sys/time.h>

#define PROBES_PER_PERIOD 3
#define INDIRECT_PROBES 3
#define SECOND_MS 1000
#define SIGNALS_TO_ABORT 2

static uint64_t wall_clock_ms(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return (uint64_t)tv.tv_sec * 1000 + (uint64_t)tv.tv_usec / 1000;
}

static uint64_t ms_to_ns(uint32_t ms)
{
	return ms * NS_PER_MS;
}

static uint64_t random_u64(void)
{
	uint64_t x;

	randombytes_buf(&x, sizeof(x));
	return x;
}

static struct member_conf make_member_conf(const struct daemon *d)
{
	const struct entry_settings *s = &d->settings;

	return (struct member_conf){
		.self = s->peer,
		.incarnation = d->incarnation,
		.probe_period_ns = ms_to_ns(s->probe_period_ms),
		.probe_timeout_ns = ms_to_ns(s->probe_timeout_ms),
		.suspect_timeout_ns = ms_to_ns(s->suspect_timeout_ms),
		.lease_ns = ms_to_ns(s->lease_ms),
		.probes_per_period = PROBES_PER_PERIOD,
		.indirect_probes = INDIRECT_PROBES,
	};
}

static struct entry_conf make_entry_conf(const struct daemon *d)
{
	const struct entry_settings *s = &d->settings;

	return (struct entry_conf){
		.member = make_member_conf(d),
		.requests_max = s->requests,
		.feeds_max = s->feeds,
		.claims_max = s->claims,
		.flows_max = s->flows,
		.settle_ns = ms_to_ns(s->settle_ms),
		.cover_ns = ms_to_ns(s->cover_ms),
		.claim_timeout_ns = ms_to_ns(s->claim_timeout_ms),
		.probe_idle_ns = ms_to_ns(s->probe_idle_ms),
		.drain_ns = ms_to_ns(s->drain_ms),
		.peer_bytes_per_s = s->peer_bytes_per_s,
		.n_buckets = RING_BUCKETS,
		.seed = random_u64(),
	};
}

/* End the loop when a planned stop has completed. */
static void stop_when_left(struct daemon *d)
{
	const struct entry_counters *c = entry_counters(d->entry);
	struct entry_gauges g;

	if (!d->leaving || !entry_has_left(d->entry))
		return;
	g = entry_gauges(d->entry);
	log_line(LOG_INFO, "leave", NULL,
		 "left: handed_over=%llu requests_open=%u feeds_open=%u "
		 "handover_due=%u",
		 (unsigned long long)c->handed_over, g.requests_active,
		 g.feeds_held, g.handover_due);
	uv_stop(d->loop);
}

static void tick(struct daemon *d, uint64_t now_ns)
{
	entry_tick(d->entry, now_ns, &d->actions);
	actions_execute(d);
	d->tick_due_ns = entry_next_ns(d->entry);
	stop_when_left(d);
}

/*
 * Time since the tick was due, or since the loop began to wait if that is
 * later.
 */
static uint64_t lateness_ns(const struct daemon *d, uint64_t now_ns)
{
	uint64_t due_ns = d->tick_due_ns > d->wait_start_ns ? d->tick_due_ns
							    : d->wait_start_ns;

	return now_ns > due_ns ? now_ns - due_ns : 0;
}

/*
 * Lateness of more than a lease means that the process, or its VM, did not run.
 */
static void log_stall(const struct daemon *d, uint64_t now_ns)
{
	uint64_t late_ns = lateness_ns(d, now_ns);

	if (late_ns > ms_to_ns(d->settings.lease_ms))
		log_line(LOG_WARNING, "pause", NULL,
			 "process did not run for %llu ms",
			 (unsigned long long)(late_ns / NS_PER_MS));
}

/**
 * daemon_run_due_tick() - run entry_tick() if it is due, before an event
 * @d: daemon
 *
 * After the process or its VM did not run for a while, libuv delivers the
 * datagrams that wait in the sockets before it runs timers. The entry would
 * handle them under a lease that expired long ago. So each callback for an
 * event runs a tick that is due first.
 *
 * Return: time of the event in nanoseconds (uv_hrtime()).
 */
uint64_t daemon_run_due_tick(struct daemon *d)
{
	uint64_t now_ns = uv_hrtime();

	if (now_ns < d->tick_due_ns)
		return now_ns;
	log_stall(d, now_ns);
	tick(d, now_ns);
	return now_ns;
}

static void on_tick(uv_timer_t *timer)
{
	daemon_run_due_tick(timer->loop->data);
}

static void on_second(uv_timer_t *timer)
{
	struct daemon *d = timer->loop->data;

	actions_reset_log_limit(d);
	callers_retry_binds(d);
}

/* Start the timer once in each iteration of the loop, not for each datagram. */
static void on_prepare(uv_prepare_t *prepare)
{
	struct daemon *d = prepare->loop->data;
	uint64_t now_ns = uv_hrtime();
	uint64_t wait_ms = 0;

	d->wait_start_ns = now_ns;
	d->tick_due_ns = entry_next_ns(d->entry);
	if (d->tick_due_ns > now_ns)
		wait_ms = (d->tick_due_ns - now_ns + NS_PER_MS - 1) / NS_PER_MS;
	uv_update_time(d->loop);
	uv_timer_start(&d->tick_timer, on_tick, wait_ms, 0);
}

static void on_stop(uv_signal_t *signal, int number)
{
	struct daemon *d = signal->loop->data;
	uint64_t now_ns;

	if (d->leaving) {
		log_line(LOG_WARNING, "leave", NULL,
			 "second signal %d: stopping at once", number);
		d->exit_code = 1;
		uv_stop(d->loop);
		return;
	}
	log_line(LOG_INFO, "leave", NULL, "signal %d: leaving", number);
	now_ns = daemon_run_due_tick(d);
	d->leaving = true;
	entry_leave(d->entry, now_ns, &d->actions);
	actions_execute(d);
}

static void open_timers(struct daemon *d)
{
	uv_timer_init(d->loop, &d->tick_timer);
	uv_timer_init(d->loop, &d->one_second_timer);
	uv_prepare_init(d->loop, &d->prepare);
	uv_signal_init(d->loop, &d->sigterm);
	uv_signal_init(d->loop, &d->sigint);
	uv_timer_start(&d->one_second_timer, on_second, 0, SECOND_MS);
	uv_prepare_start(&d->prepare, on_prepare);
	uv_signal_start(&d->sigterm, on_stop, SIGTERM);
	uv_signal_start(&d->sigint, on_stop, SIGINT);
}

/**
 * daemon_open() - create the entry, open all sockets and start the timers
 * @d: daemon; @settings and @loop are set
 *
 * Return: 0 or a negative error number. Errors of a socket have been logged
 * with their step and address.
 */
int daemon_open(struct daemon *d)
{
	static int (*const opens[])(struct daemon * d) = {
		callers_open, targets_open,   polls_open,
		peers_open,   operators_open, intake_open,
	};
	struct entry_conf conf;

	d->incarnation = wall_clock_ms();
	d->tick_due_ns = UINT64_MAX;
	d->wait_start_ns = uv_hrtime();
	conf = make_entry_conf(d);
	d->entry = entry_new(&conf, uv_hrtime());
	if (!d->entry)
		return -ENOMEM;
	for (size_t i = 0; i < sizeof(opens) / sizeof(opens[0]); i++) {
		int err = opens[i](d);

		if (err)
			return err;
	}
	open_timers(d);
	return 0;
}

static void close_handle(uv_handle_t *handle, void *ctx)
{
	(void)ctx;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/**
 * daemon_close() - close all handles and free the entry
 * @d: daemon, also when daemon_open() failed
 */
void daemon_close(struct daemon *d)
{
	intake_close(d);
	if (d->http)
		http_server_close(d->http);
	callers_close(d);
	uv_walk(d->loop, close_handle, NULL);
	uv_run(d->loop, UV_RUN_DEFAULT);
	polls_close(d);
	entry_free(d->entry);
	config_free(&d->config);
}
