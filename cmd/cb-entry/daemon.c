/* Life of the daemon: start, ticks of the decisions, planned stop. */
#include "daemon.h"
#include "log.h"

#include <errno.h>
#include <sodium.h>
#include <sys/time.h>

#define PROBES 3
#define INDIRECT_PROBES 3
#define SECOND_MS 1000
#define SIGNALS_TO_ABORT 2

static uint64_t wall_clock_ms(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return (uint64_t)tv.tv_sec * 1000 + (uint64_t)tv.tv_usec / 1000;
}

static uint64_t ms(uint32_t milliseconds)
{
	return milliseconds * NS_PER_MS;
}

static uint64_t random_u64(void)
{
	uint64_t x;

	randombytes_buf(&x, sizeof(x));
	return x;
}

static struct member_conf member_conf_of(const struct daemon *d)
{
	const struct entry_settings *s = &d->settings;

	return (struct member_conf){
		.self = s->peer,
		.incarnation = d->incarnation,
		.probe_period_ns = ms(s->probe_period_ms),
		.probe_timeout_ns = ms(s->probe_timeout_ms),
		.suspect_timeout_ns = ms(s->suspect_timeout_ms),
		.lease_ns = ms(s->lease_ms),
		.probes_per_period = PROBES,
		.indirect_probes = INDIRECT_PROBES,
	};
}

static struct entry_conf entry_conf_of(const struct daemon *d)
{
	const struct entry_settings *s = &d->settings;

	return (struct entry_conf){
		.member = member_conf_of(d),
		.requests_max = s->requests,
		.feeds_max = s->feeds,
		.claims_max = s->claims,
		.flows_max = s->flows,
		.settle_ns = ms(s->settle_ms),
		.cover_ns = ms(s->cover_ms),
		.claim_timeout_ns = ms(s->claim_timeout_ms),
		.probe_idle_ns = ms(s->probe_idle_ms),
		.drain_ns = ms(s->drain_ms),
		.peer_bytes_per_s = s->peer_bytes_per_s,
		.n_buckets = RING_BUCKETS,
		.seed = random_u64(),
	};
}

/* Stop when what the planned stop waits for is done. */
static void watch_leaving(struct daemon *d)
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
	act(d);
	d->armed_ns = entry_next_ns(d->entry);
	watch_leaving(d);
}

/* Time by which the loop is late, beyond the deadline it waited for. */
static uint64_t late_ns(const struct daemon *d, uint64_t now_ns)
{
	uint64_t due_ns = d->armed_ns > d->turn_ns ? d->armed_ns : d->turn_ns;

	return now_ns > due_ns ? now_ns - due_ns : 0;
}

/* Later than a lease lasts: the process, or its VM, stood still. */
static void note_pause(const struct daemon *d, uint64_t now_ns)
{
	uint64_t late = late_ns(d, now_ns);

	if (late > ms(d->settings.lease_ms))
		log_line(LOG_WARNING, "pause", NULL, "stood still for %llu ms",
			 (unsigned long long)(late / NS_PER_MS));
}

/**
 * daemon_catch_up() - act on deadlines that have passed, before an event
 * @d: daemon
 *
 * After a pause (of the process, or of its VM) the loop hands over waiting
 * datagrams before it runs timers. The decisions would act on them with a
 * lease that ended long ago; so the tick that is due goes first.
 *
 * Return: time of the event.
 */
uint64_t daemon_catch_up(struct daemon *d)
{
	uint64_t now_ns = uv_hrtime();

	if (now_ns < d->armed_ns)
		return now_ns;
	note_pause(d, now_ns);
	tick(d, now_ns);
	return now_ns;
}

static void on_tick(uv_timer_t *timer)
{
	daemon_catch_up(timer->loop->data);
}

static void on_second(uv_timer_t *timer)
{
	struct daemon *d = timer->loop->data;

	act_second(d);
	callers_retry(d);
}

/* Arm the timer once a turn of the loop, not once a datagram. */
static void before_wait(uv_prepare_t *prepare)
{
	struct daemon *d = prepare->loop->data;
	uint64_t now_ns = uv_hrtime();
	uint64_t wait_ms = 0;

	d->turn_ns = now_ns;
	d->armed_ns = entry_next_ns(d->entry);
	if (d->armed_ns > now_ns)
		wait_ms = (d->armed_ns - now_ns + NS_PER_MS - 1) / NS_PER_MS;
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
	now_ns = daemon_catch_up(d);
	d->leaving = true;
	entry_leave(d->entry, now_ns, &d->actions);
	act(d);
}

static void open_timers(struct daemon *d)
{
	uv_timer_init(d->loop, &d->tick_timer);
	uv_timer_init(d->loop, &d->second_timer);
	uv_prepare_init(d->loop, &d->prepare);
	uv_signal_init(d->loop, &d->sigterm);
	uv_signal_init(d->loop, &d->sigint);
	uv_timer_start(&d->second_timer, on_second, 0, SECOND_MS);
	uv_prepare_start(&d->prepare, before_wait);
	uv_signal_start(&d->sigterm, on_stop, SIGTERM);
	uv_signal_start(&d->sigint, on_stop, SIGINT);
}

/**
 * daemon_open() - make the decisions and open every socket
 * @d: daemon with its settings
 *
 * Return: 0 or a negative error number, with the step and the peer logged.
 */
int daemon_open(struct daemon *d)
{
	static int (*const opens[])(struct daemon * d) = {
		callers_open, targets_open,  polls_open,
		peers_open,   operator_open, intake_open,
	};
	struct entry_conf conf;

	d->incarnation = wall_clock_ms();
	d->armed_ns = UINT64_MAX;
	d->turn_ns = uv_hrtime();
	conf = entry_conf_of(d);
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
 * daemon_close() - close all that is open
 * @d: daemon, also one that daemon_open() could not open
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
