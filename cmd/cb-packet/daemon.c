#include "daemon.h"

#include "log.h"

#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

/* Short enough for the 40 ms after which an unanswered SYN goes elsewhere. */
#define TICK_MS 20
#define LINE_BYTES 512
#define BYTES_PER_S_PER_MBPS 125000
/* Part of the time until it is killed that a planned stop may take; the rest is
 * for a process that is held up. */
#define STOP_PERCENT 75
/* The settings may change without a signal; what is taken can wait so long. */
#define SETTINGS_LOOK_NS (5 * NS_PER_S)

static uint64_t boot_gap_ns(void)
{
	struct timespec boot, steady;

	if (clock_gettime(CLOCK_BOOTTIME, &boot) ||
	    clock_gettime(CLOCK_MONOTONIC, &steady))
		return 0;
	return (uint64_t)(boot.tv_sec - steady.tv_sec) * NS_PER_S +
	       (uint64_t)(boot.tv_nsec - steady.tv_nsec);
}

/**
 * daemon_turn() - the loop runs; to be called first in each callback that
 *	brings something from outside
 * @d: process
 *
 * Return: time.
 */
uint64_t daemon_turn(struct packet_daemon *d)
{
	uint64_t now_ns = uv_hrtime();
	uint64_t suspended_ns = 0;
	uint64_t gap_ns = now_ns - d->turn_ns;
	uint64_t boot_ns;

	d->now_ns = now_ns;
	if (gap_ns < TICK_MS * NS_PER_MS)
		return now_ns;
	boot_ns = boot_gap_ns();
	if (boot_ns > d->boot_gap_ns)
		suspended_ns = boot_ns - d->boot_gap_ns;
	d->boot_gap_ns = boot_ns;
	d->turn_ns = now_ns;
	gap_ns += suspended_ns;
	if (node_process_stalled(d->node, gap_ns, now_ns))
		clients_discard(d);
	return now_ns;
}

static uint32_t seeds(const struct packet_settings *s,
		      uint64_t out[PACKET_SEEDS_MAX])
{
	uint32_t n = 0;

	/* A seed names a VM; peers listen on one port everywhere. */
	for (uint32_t i = 0; i < PACKET_SEEDS_MAX; i++)
		if (s->seeds[i])
			out[n++] =
				ADDR(ADDR_IP(s->seeds[i]), ADDR_PORT(s->peer));
	return n;
}

/* Return: when the settings file changed last; 0 when it can't be told. */
static int64_t settings_changed_ns(const struct packet_daemon *d)
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
	struct mistakes m = { 0 };
	uint64_t addrs[PACKET_SEEDS_MAX];

	d->settings_file_ns = settings_changed_ns(d);
	if (packet_settings_read(d->settings_path, &next, &m)) {
		log_line(LOG_ERROR, "reload", d->settings_path,
			 "refused, the settings in force stay");
		mistakes_print(&m, stderr);
	} else {
		peer_set_set_seeds(d->node->peers, addrs, seeds(&next, addrs));
		d->settings.decisions_per_s = next.decisions_per_s;
		log_open("cb-packet", &next.log);
		log_line(LOG_INFO, "reload", d->settings_path,
			 "seeds, log and decisions_per_s taken");
	}
	mistakes_free(&m);
}

static void on_reload(uv_signal_t *signal, int number)
{
	(void)number;
	reload(signal->data);
}

static void look_at_settings(struct packet_daemon *d, uint64_t now_ns)
{
	if (now_ns < d->settings_look_ns)
		return;
	d->settings_look_ns = now_ns + SETTINGS_LOOK_NS;
	if (settings_changed_ns(d) != d->settings_file_ns)
		reload(d);
}

static void on_tick(uv_timer_t *timer)
{
	struct packet_daemon *d = timer->data;
	uint64_t now_ns = daemon_turn(d);

	probes_tick(d, now_ns);
	node_tick(d->node, now_ns);
	clients_pace(d);
	look_at_settings(d, now_ns);
	d->log_tokens += (double)d->settings.decisions_per_s * TICK_MS / 1000;
	if (d->log_tokens > d->settings.decisions_per_s)
		d->log_tokens = d->settings.decisions_per_s;
	if (!node_may_exit(d->node, now_ns))
		return;
	log_line(
		LOG_INFO, "stop", NULL,
		"after %llu ms, last datagram %llu ms ago",
		(unsigned long long)((now_ns - d->node->stop_ns) / NS_PER_MS),
		(unsigned long long)((now_ns - d->node->last_client_packet_ns) /
				     NS_PER_MS));
	uv_stop(d->loop);
}

static void on_stop(uv_signal_t *signal, int number)
{
	struct packet_daemon *d = signal->data;

	log_line(LOG_INFO, "stop", NULL,
		 "signal %d, not ready from now, forwarding goes on", number);
	node_stop(d->node, daemon_turn(d));
}

static void send_again(void *ctx, const struct flow_state *f, uint8_t reason)
{
	decisions_again(ctx, f, reason);
	clients_again(ctx, f);
}

static void reset_flow(void *ctx, const struct flow_state *f)
{
	decisions_reset(ctx, f);
	clients_reset(ctx, &f->key, f->ack);
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
		.list = reading_list,
		.watch = reading_watch,
		.cancel = reading_cancel,
		.fetch = reading_fetch,
		.hello = peers_send,
		.probe = probes_start,
		.resend = send_again,
		.send_queued = clients_send,
		.reset = reset_flow,
		.health = decisions_health,
		.decode = d->platform->read_document,
		.log = write_log,
	};

	strcpy(conf.data_centre, d->settings.data_centre);
	conf.n_seeds = seeds(&d->settings, conf.seeds);
	d->node = node_new(&conf, port, now_ns);
	return d->node ? 0 : -ENOMEM;
}

static void watch_signal(struct packet_daemon *d, uv_signal_t *s, int number,
			 uv_signal_cb cb)
{
	uv_signal_init(d->loop, s);
	s->data = d;
	uv_signal_start(s, cb, number);
}

static int failed(const char *step, int err)
{
	if (err)
		log_line(LOG_ERROR, step, NULL, "%s", strerror(-err));
	return err;
}

/**
 * daemon_open() - start all of it
 * @d: process; settings, platform, loop and boot are set
 *
 * Return: 0, or a negative error that was logged with its step.
 */
int daemon_open(struct packet_daemon *d)
{
	int err;

	signal(SIGPIPE, SIG_IGN);
	d->now_ns = d->turn_ns = uv_hrtime();
	d->boot_gap_ns = boot_gap_ns();
	d->settings_file_ns = settings_changed_ns(d);
	err = failed("start", make_node(d, d->now_ns));
	if (!err)
		err = failed("clients", clients_open(d));
	if (!err)
		err = failed("peers", peers_open(d));
	if (!err)
		err = failed("platform", reading_open(d));
	if (!err)
		err = failed("http", operators_open(d));
	if (err)
		return err;
	watch_signal(d, &d->sigterm, SIGTERM, on_stop);
	watch_signal(d, &d->sigint, SIGINT, on_stop);
	watch_signal(d, &d->sighup, SIGHUP, on_reload);
	uv_timer_init(d->loop, &d->tick);
	d->tick.data = d;
	uv_timer_start(&d->tick, on_tick, 0, TICK_MS);
	return 0;
}

static void close_handle(uv_handle_t *h)
{
	if (h->data && !uv_is_closing(h))
		uv_close(h, NULL);
}

/**
 * daemon_close() - end all of it, also after a daemon_open() that failed
 * @d: process
 */
void daemon_close(struct packet_daemon *d)
{
	close_handle((uv_handle_t *)&d->tick);
	close_handle((uv_handle_t *)&d->sigterm);
	close_handle((uv_handle_t *)&d->sigint);
	close_handle((uv_handle_t *)&d->sighup);
	operators_close(d);
	reading_close(d);
	probes_close(d);
	peers_close(d);
	clients_close(d);
	uv_run(d->loop, UV_RUN_DEFAULT);
	node_free(d->node);
}
