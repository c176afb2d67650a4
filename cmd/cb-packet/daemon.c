#include "daemon.h"

#include "loads.h"
#include "log.h"

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <time.h>

/* Short enough for the 40 ms after which an unanswered SYN goes elsewhere. */
#define TICK_MS 20
#define HEARTBEAT_NS (200 * NS_PER_MS)
/* The loop did not run for this long: answers may lie unread in the sockets. */
#define LATE_NS (120 * NS_PER_MS)
/* Clients have sent again, or given up, what waited for this long. */
#define PAUSED_NS NS_PER_S
/* Entries are back within 2 s of the platform's return; then they are gone. */
#define RETURN_NS (2500 * NS_PER_MS)
/* A router that misses two answers, half a second apart, sends nothing more. */
#define STOP_LEAST_NS (1600 * NS_PER_MS)
#define STOP_QUIET_NS (600 * NS_PER_MS)

static uint64_t boot_gap_ns(void)
{
	struct timespec boot, steady;

	if (clock_gettime(CLOCK_BOOTTIME, &boot) ||
	    clock_gettime(CLOCK_MONOTONIC, &steady))
		return 0;
	return (uint64_t)(boot.tv_sec - steady.tv_sec) * NS_PER_S +
	       (uint64_t)(boot.tv_nsec - steady.tv_nsec);
}

/*
 * After a pause the sockets hold what clients sent long ago: flows would be
 * opened for nobody, on a view of the fleet that may have gone on.
 */
static void held_up(struct packet_daemon *d, uint64_t now_ns, uint64_t gap_ns)
{
	d->counters.held_up++;
	path_held_up(d->path, now_ns);
	if (gap_ns < PAUSED_NS)
		return;
	log_line(LOG_WARNING, "paused", NULL,
		 "did not run for %llu ms, what waited is dropped",
		 (unsigned long long)(gap_ns / NS_PER_MS));
	clients_discard(d);
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

	if (gap_ns < TICK_MS * NS_PER_MS)
		return now_ns;
	boot_ns = boot_gap_ns();
	if (boot_ns > d->boot_gap_ns)
		suspended_ns = boot_ns - d->boot_gap_ns;
	d->boot_gap_ns = boot_ns;
	d->turn_ns = now_ns;
	gap_ns += suspended_ns;
	if (gap_ns > LATE_NS)
		held_up(d, now_ns, gap_ns);
	return now_ns;
}

/**
 * daemon_fresh() - whether no peer is known to know more
 * @d: process
 * @now_ns: time
 *
 * Return: whether what is missing here may be taken as absent.
 */
bool daemon_fresh(const struct packet_daemon *d, uint64_t now_ns)
{
	return documents_through(d->documents) &&
	       !peer_set_ahead(d->peer_set, documents_newest(d->documents),
			       now_ns);
}

static void judge_ready(struct packet_daemon *d, uint64_t now_ns)
{
	bool ready = d->ready;

	/* Once ready it stays so: a peer that is ahead is no reason to leave. */
	if (directory_table(d->directory) && (ready || daemon_fresh(d, now_ns)))
		ready = true;
	if (d->stop_ns)
		ready = false;
	if (ready == d->ready)
		return;
	d->ready = ready;
	log_line(LOG_INFO, "ready", NULL,
		 "%s, configuration %llu, revision %llu, %u targets, %u peers",
		 ready ? "yes" : "no",
		 (unsigned long long)(directory_table(d->directory)
					      ? directory_table(d->directory)
							->version
					      : 0),
		 (unsigned long long)documents_through(d->documents),
		 directory_slots(d->directory),
		 peer_set_live(d->peer_set, now_ns));
}

static void stop_when_quiet(struct packet_daemon *d, uint64_t now_ns)
{
	uint64_t since_ns;

	if (!d->stop_ns)
		return;
	since_ns = now_ns - d->stop_ns;
	if (since_ns < d->settings.stop_ms * NS_PER_MS &&
	    (since_ns < STOP_LEAST_NS || d->client_ns + STOP_QUIET_NS > now_ns))
		return;
	log_line(LOG_INFO, "stop", NULL,
		 "after %llu ms, last datagram %llu ms ago",
		 (unsigned long long)(since_ns / NS_PER_MS),
		 (unsigned long long)((now_ns - d->client_ns) / NS_PER_MS));
	uv_stop(d->loop);
}

static void on_tick(uv_timer_t *timer)
{
	struct packet_daemon *d = timer->data;
	uint64_t now_ns = daemon_turn(d);
	uint64_t trouble_ns = peer_set_trouble_ns(d->peer_set);

	probes_tick(d, now_ns);
	path_tick(d->path, now_ns);
	clients_flush(d);
	peers_tick(d, now_ns);
	reading_tick(d, now_ns);
	documents_tick(d->documents, now_ns);
	directory_tick(d->directory, now_ns, trouble_ns);
	d->log_tokens += (double)d->settings.decisions_per_s * TICK_MS / 1000;
	if (d->log_tokens > d->settings.decisions_per_s)
		d->log_tokens = d->settings.decisions_per_s;
	judge_ready(d, now_ns);
	stop_when_quiet(d, now_ns);
}

static void on_stop(uv_signal_t *signal, int number)
{
	struct packet_daemon *d = signal->data;

	if (d->stop_ns)
		return;
	d->stop_ns = daemon_turn(d);
	log_line(LOG_INFO, "stop", NULL,
		 "signal %d, not ready from now, forwarding goes on", number);
	judge_ready(d, d->stop_ns);
	peers_urgent(d, NULL);
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

static void on_reload(uv_signal_t *signal, int number)
{
	struct packet_daemon *d = signal->data;
	struct packet_settings next;
	struct mistakes m = { 0 };
	uint64_t addrs[PACKET_SEEDS_MAX];

	(void)number;
	if (packet_settings_read(d->settings_path, &next, &m)) {
		log_line(LOG_ERROR, "reload", d->settings_path,
			 "refused, the settings in force stay");
		mistakes_print(&m, stderr);
	} else {
		peer_set_seeds(d->peer_set, addrs, seeds(&next, addrs));
		d->settings.decisions_per_s = next.decisions_per_s;
		log_open("cb-packet", &next.log);
		log_line(LOG_INFO, "reload", d->settings_path,
			 "seeds, log and decisions_per_s taken");
	}
	mistakes_free(&m);
}

static void probe_target(void *ctx, const struct target *t)
{
	probes_start(ctx, t);
}

static void send_again(void *ctx, const struct flow_seen *f)
{
	decisions_again(ctx, f);
	clients_again(ctx, f);
}

static void reset_flow(void *ctx, const struct flow_seen *f)
{
	decisions_reset(ctx, f);
	clients_reset(ctx, &f->key, f->ack);
}

static void tell_dead(void *ctx, const struct target *t)
{
	peers_urgent(ctx, t);
}

static void health_changed(void *ctx, const struct target *t, uint8_t before)
{
	decisions_health(ctx, t, before);
}

static int make_core(struct packet_daemon *d)
{
	uint64_t lifetime_ns = d->settings.flow_lifetime_s * NS_PER_S;
	struct directory_conf dir = { lifetime_ns, RETURN_NS };
	struct documents_port changed = { d, view_changed };
	struct path_port port = { d,	      probe_target, send_again,
				  reset_flow, tell_dead,    health_changed };
	struct peer_set_conf peers = {
		.self = d->settings.peer,
		.boot = d->boot,
		.period_ns = HEARTBEAT_NS,
	};
	struct path_conf path = {
		.flows_max = d->settings.flows,
		.flow_lifetime_ns = lifetime_ns,
		.start_ns = d->start_ns,
	};
	struct rng rng = { hash_u64(d->settings.peer, d->boot) | 1 };

	d->directory = directory_new(&dir);
	d->documents = documents_new(changed, lifetime_ns);
	if (!d->directory || !d->documents)
		return -ENOMEM;
	path.zone = directory_name(d->directory, d->settings.data_centre);
	for (const char *c = d->settings.data_centre; *c; c++)
		peers.zone = (uint32_t)hash_u64((uint8_t)*c, peers.zone);
	peers.n_seeds = seeds(&d->settings, peers.seeds);
	d->path = path_new(&path, d->directory, port, rng);
	rng.s = rng_next(&rng) | 1;
	d->peer_set = peer_set_new(&peers, rng);
	return d->path && d->peer_set ? 0 : -ENOMEM;
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
	d->start_ns = d->turn_ns = uv_hrtime();
	d->boot_gap_ns = boot_gap_ns();
	err = failed("start", make_core(d));
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
	path_free(d->path);
	peer_set_free(d->peer_set);
	documents_free(d->documents);
	directory_free(d->directory);
}
