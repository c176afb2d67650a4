/* Start, timers, reload of the settings and planned stop of cb-packet. */
#include "daemon.h"

#include "log.h"

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

/*
 * Half of the 40 ms after which an unanswered SYN is sent to another target.
 */
#define TICK_MS 20
#define LINE_BYTES 512
#define BYTES_PER_S_PER_MBPS 125000
/*
 * Share of the grace period, after which the process is killed, that a planned
 * stop may take. The rest is a reserve for a process that stalls.
 */
#define STOP_PERCENT 75
/*
 * The settings file may change without a signal. The settings that a reload
 * applies are not urgent.
 */
#define SETTINGS_CHECK_PERIOD_NS (5 * NS_PER_S)

/* CLOCK_BOOTTIME counts the time that the machine is suspended. */
static uint64_t read_total_suspended_ns(void)
{
	struct timespec boot, steady;

	if (clock_gettime(CLOCK_BOOTTIME, &boot) ||
	    clock_gettime(CLOCK_MONOTONIC, &steady))
		return 0;
	return (uint64_t)(boot.tv_sec - steady.tv_sec) * NS_PER_S +
	       (uint64_t)(boot.tv_nsec - steady.tv_nsec);
}

/**
 * daemon_begin_event() - update the clock and detect a stall of the process
 * @d: process
 *
 * Called first by each callback that handles an event from outside. After a
 * long stall, or a suspension of the machine, the datagrams that wait in the
 * clients' socket are discarded.
 *
 * Return: current time in nanoseconds (uv_hrtime()).
 */
uint64_t daemon_begin_event(struct packet_daemon *d)
{
	uint64_t now_ns = uv_hrtime();
	uint64_t suspended_ns = 0;
	uint64_t gap_ns = now_ns - d->stall_checked_ns;
	uint64_t total_ns;

	d->now_ns = now_ns;
	if (gap_ns < TICK_MS * NS_PER_MS)
		return now_ns;
	total_ns = read_total_suspended_ns();
	if (total_ns > d->total_suspended_ns)
		suspended_ns = total_ns - d->total_suspended_ns;
	d->total_suspended_ns = total_ns;
	d->stall_checked_ns = now_ns;
	gap_ns += suspended_ns;
	if (node_process_stalled(d->node, gap_ns, now_ns))
		clients_discard_received(d);
	return now_ns;
}

static uint32_t seed_addrs(const struct packet_settings *settings,
			   uint64_t out[PACKET_SEEDS_MAX])
{
	uint32_t n = 0;

	/* A seed is the address of a VM; all peers listen on the same port. */
	for (uint32_t i = 0; i < PACKET_SEEDS_MAX; i++)
		if (settings->seeds[i])
			out[n++] = ADDR(ADDR_IP(settings->seeds[i]),
					ADDR_PORT(settings->peer));
	return n;
}

/* Modification time of the settings file; 0 when it can't be read. */
static int64_t read_settings_mtime_ns(const struct packet_daemon *d)
{
	struct stat st;

	if (stat(d->settings_path, &st))
		return 0;
	return (int64_t)st.st_mtim.tv_sec * (int64_t)NS_PER_S +
	       st.st_mtim.tv_nsec;
}

static void reload(struct packet_daemon *d)
{
	struct packet_settings next;
	struct mistakes mistakes = { 0 };
	uint64_t addrs[PACKET_SEEDS_MAX];

	d->settings_mtime_ns = read_settings_mtime_ns(d);
	if (packet_settings_read(d->settings_path, &next, &mistakes)) {
		log_line(LOG_ERROR, "reload", d->settings_path,
			 "invalid file, the settings in force stay");
		mistakes_print(&mistakes, stderr);
	} else {
		peer_set_set_seeds(d->node->peers, addrs,
				   seed_addrs(&next, addrs));
		d->settings.decisions_per_s = next.decisions_per_s;
		log_open("cb-packet", &next.log);
		log_line(LOG_INFO, "reload", d->settings_path,
			 "seeds, log and decisions_per_s taken");
	}
	mistakes_free(&mistakes);
}

static void on_reload(uv_signal_t *signal, int number)
{
	(void)number;
	reload(signal->data);
}

static void reload_if_changed(struct packet_daemon *d, uint64_t now_ns)
{
	if (now_ns < d->settings_check_ns)
		return;
	d->settings_check_ns = now_ns + SETTINGS_CHECK_PERIOD_NS;
	if (read_settings_mtime_ns(d) != d->settings_mtime_ns)
		reload(d);
}

static void on_tick(uv_timer_t *timer)
{
	struct packet_daemon *d = timer->data;
	uint64_t now_ns = daemon_begin_event(d);

	probes_tick(d, now_ns);
	node_tick(d->node, now_ns);
	clients_send_paced(d);
	reload_if_changed(d, now_ns);
	d->log_tokens += (double)d->settings.decisions_per_s * TICK_MS / 1000;
	if (d->log_tokens > d->settings.decisions_per_s)
		d->log_tokens = d->settings.decisions_per_s;
	if (!node_may_exit(d->node, now_ns))
		return;
	log_line(
		LOG_INFO, "stop", NULL,
		"exiting after %llu ms, last client packet %llu ms ago",
		(unsigned long long)((now_ns - d->node->stop_ns) / NS_PER_MS),
		(unsigned long long)((now_ns - d->node->last_client_packet_ns) /
				     NS_PER_MS));
	uv_stop(d->loop);
}

static void on_stop(uv_signal_t *signal, int number)
{
	struct packet_daemon *d = signal->data;

	log_line(LOG_INFO, "stop", NULL,
		 "signal %d: reporting not ready, still forwarding", number);
	node_stop(d->node, daemon_begin_event(d));
}

static void resend_packet(void *ctx, const struct flow_state *flow,
			  uint8_t reason)
{
	decision_log_resend(ctx, flow, reason);
	clients_resend(ctx, flow);
}

static void reset_flow(void *ctx, const struct flow_state *flow)
{
	decision_log_reset(ctx, flow);
	clients_send_reset(ctx, &flow->key, flow->ack);
}

static void write_log(void *ctx, enum node_log_level level, const char *step,
		      const char *peer, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

static void write_log(void *ctx, enum node_log_level level, const char *step,
		      const char *peer, const char *format, ...)
{
	static const enum log_level levels[] = {
		[NODE_INFO] = LOG_INFO,
		[NODE_WARNING] = LOG_WARNING,
		[NODE_ERROR] = LOG_ERROR,
	};
	char message[LINE_BYTES];
	va_list ap;

	(void)ctx;
	va_start(ap, format);
	vsnprintf(message, sizeof(message), format, ap);
	va_end(ap);
	log_line(levels[level], step, peer, "%s", message);
}

static int make_node(struct packet_daemon *d, uint64_t now_ns)
{
	struct node_conf conf = {
		.policy = &d->settings.policy,
		.self = d->settings.peer,
		.boot = d->boot,
		.link_bytes_per_s = (uint64_t)(d->settings.link_mbps *
					       BYTES_PER_S_PER_MBPS),
		.cold = { (float)d->settings.cold_overrun,
			  (float)d->settings.cold_slack },
		.flows_max = d->settings.flows,
		.flow_lifetime_ns = d->settings.flow_lifetime_ns,
		.stop_ns = d->settings.grace_ns * STOP_PERCENT / 100,
	};
	struct node_port port = {
		.ctx = d,
		.list = sync_list,
		.watch = sync_watch,
		.cancel = sync_cancel,
		.fetch = sync_fetch,
		.hello = peers_send,
		.probe = probes_start,
		.resend = resend_packet,
		.send_queued = clients_send_queued,
		.reset = reset_flow,
		.health = decision_log_health,
		.decode = d->platform->read_document,
		.log = write_log,
	};

	strcpy(conf.data_centre, d->settings.data_centre);
	conf.n_seeds = seed_addrs(&d->settings, conf.seeds);
	d->node = node_new(&conf, port, now_ns);
	return d->node ? 0 : -ENOMEM;
}

static void start_signal(struct packet_daemon *d, uv_signal_t *s, int number,
			 uv_signal_cb cb)
{
	uv_signal_init(d->loop, s);
	s->data = d;
	uv_signal_start(s, cb, number);
}

/* Return: @err. */
static int log_if_failed(const char *step, int err)
{
	if (err)
		log_line(LOG_ERROR, step, NULL, "%s", strerror(-err));
	return err;
}

/**
 * daemon_open() - open all sockets and start the timers
 * @d: process; @settings, @settings_path, @platform, @loop and @boot are set
 *
 * Return: 0, or a negative error, which has been logged with its step.
 */
int daemon_open(struct packet_daemon *d)
{
	int err;

	signal(SIGPIPE, SIG_IGN);
	d->now_ns = d->stall_checked_ns = uv_hrtime();
	d->total_suspended_ns = read_total_suspended_ns();
	d->settings_mtime_ns = read_settings_mtime_ns(d);
	err = log_if_failed("start", make_node(d, d->now_ns));
	if (!err)
		err = log_if_failed("clients", clients_open(d));
	if (!err)
		err = log_if_failed("peers", peers_open(d));
	if (!err)
		err = log_if_failed("platform", sync_open(d));
	if (!err)
		err = log_if_failed("http", operators_open(d));
	if (err)
		return err;
	start_signal(d, &d->sigterm, SIGTERM, on_stop);
	start_signal(d, &d->sigint, SIGINT, on_stop);
	start_signal(d, &d->sighup, SIGHUP, on_reload);
	uv_timer_init(d->loop, &d->tick_timer);
	d->tick_timer.data = d;
	uv_timer_start(&d->tick_timer, on_tick, 0, TICK_MS);
	return 0;
}

static void close_handle(uv_handle_t *h)
{
	if (h->data && !uv_is_closing(h))
		uv_close(h, NULL);
}

/**
 * daemon_close() - close all handles and free the entry
 * @d: process, also when daemon_open() failed
 */
void daemon_close(struct packet_daemon *d)
{
	close_handle((uv_handle_t *)&d->tick_timer);
	close_handle((uv_handle_t *)&d->sigterm);
	close_handle((uv_handle_t *)&d->sigint);
	close_handle((uv_handle_t *)&d->sighup);
	operators_close(d);
	sync_close(d);
	probes_close(d);
	peers_close(d);
	clients_close(d);
	uv_run(d->loop, UV_RUN_DEFAULT);
	node_free(d->node);
}
