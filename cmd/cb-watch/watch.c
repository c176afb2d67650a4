/* Start, timers and stop of cb-watch, and the connections between its parts. */
#include "watch.h"

#include "log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define EXPIRY_PERIOD_MS 5000

static void arm_timer(struct watch *w);

/* Sets what to read from the platform, and handles all expired deadlines. */
static void run_due(struct watch *w)
{
	uint64_t now_ns = uv_hrtime();
	enum reader_mode mode = READER_OFF;

	if (now_ns >= spread_next_ns(w->spread))
		spread_tick(w->spread, now_ns);
	if (spread_is_reader(w->spread))
		mode = READER_ALL;
	else if (!w->has_roster)
		mode = READER_ROSTER;
	reader_set_mode(w->reader, mode, now_ns);
	reader_tick(w->reader, now_ns);
	arm_timer(w);
}

static void on_tick(uv_timer_t *timer)
{
	run_due(timer->data);
}

static void arm_timer(struct watch *w)
{
	uint64_t next_ns = spread_next_ns(w->spread);
	uint64_t now_ns = uv_hrtime();
	uint64_t wait_ms = 1;

	/*
	 * At least 1 ms: libuv runs a timer that its own callback starts with 0
	 * again in the same iteration, and no frames would be received
	 * meanwhile.
	 */
	if (reader_next_ns(w->reader) < next_ns)
		next_ns = reader_next_ns(w->reader);
	if (next_ns > now_ns)
		wait_ms = (next_ns - now_ns + NS_PER_MS - 1) / NS_PER_MS;
	uv_timer_start(&w->tick_timer, on_tick, wait_ms, 0);
}

static void on_expire(uv_timer_t *timer)
{
	struct watch *w = timer->data;

	watch_link_close_idle(w->link);
}

static void on_signal(uv_signal_t *signal, int number)
{
	struct watch *w = signal->data;

	log_line(LOG_INFO, "stop", NULL, "signal %d", number);
	uv_stop(w->loop);
}

static void on_platform_answer(void *ctx, const struct reader_answer *answer)
{
	struct watch *w = ctx;

	reader_handle_answer(w->reader, answer, uv_hrtime());
	arm_timer(w);
}

static void on_peer_message(void *ctx, const struct spread_msg *msg)
{
	struct watch *w = ctx;

	spread_receive(w->spread, msg, uv_hrtime());
}

static void send_to_peer(void *ctx, uint64_t vm, const struct spread_msg *msg)
{
	struct watch *w = ctx;

	watch_link_send_to_peer(w->link, vm, msg);
}

static void put_in_force(void *ctx, const char *key,
			 const struct version *version,
			 const struct content *content)
{
	struct watch *w = ctx;

	log_line(LOG_INFO, "in force", key, "generation %lu revision %lu%s",
		 version->generation, version->revision,
		 content ? "" : " withdrawn");
	watch_link_send_to_entries(w->link, key, version, content);
	documents_put_in_force(w, key, content);
}

static int create_core(struct watch *w, uint64_t now_ns)
{
	struct spread_conf conf = {
		.self = w->settings.peer,
		.readers = w->settings.readers,
	};
	struct spread_port port = { w, send_to_peer, documents_check_content,
				    put_in_force };
	struct rng rng = { hash_u64(now_ns, w->settings.peer) | 1 };

	g_strlcpy(conf.roster_key, w->vms_key, sizeof(conf.roster_key));
	w->spread = spread_new(&conf, port, rng, now_ns);
	rng.state = rng_next(&rng) | 1;
	w->reader = reader_new(w->settings.data_centre, documents_port(w), rng,
			       now_ns);
	w->vms_scratch = calloc(VMS_MAX, sizeof(*w->vms_scratch));
	return w->spread && w->reader && w->vms_scratch ? 0 : -ENOMEM;
}

static int open_link(struct watch *w)
{
	struct watch_link_conf conf = {
		.listen = w->settings.listen,
		.port = w->settings.port,
		.self = w->settings.peer,
		.data_centre = w->settings.data_centre,
		.key = w->settings.key,
	};
	struct watch_link_handler handler = { w, on_peer_message };
	int err = watch_link_open(w->loop, &conf, handler, &w->link);

	if (err) {
		log_line(LOG_ERROR, "listen", w->settings.listen, "%s",
			 strerror(-err));
		return err;
	}
	watch_link_set_spread(w->link, w->spread);
	return 0;
}

static int open_http(struct watch *w)
{
	struct http_handler handler = { w, operators_respond };
	char addr[32];
	int err =
		http_server_open(w->loop, w->settings.http, handler, &w->http);

	if (err)
		log_line(LOG_ERROR, "http",
			 addr_text(w->settings.http, addr, sizeof(addr)), "%s",
			 strerror(-err));
	return err;
}

static void start_handles(struct watch *w)
{
	uv_timer_init(w->loop, &w->tick_timer);
	uv_timer_init(w->loop, &w->expire_timer);
	uv_signal_init(w->loop, &w->sigterm);
	uv_signal_init(w->loop, &w->sigint);
	w->tick_timer.data = w;
	w->expire_timer.data = w;
	w->sigterm.data = w;
	w->sigint.data = w;
	uv_timer_start(&w->expire_timer, on_expire, EXPIRY_PERIOD_MS,
		       EXPIRY_PERIOD_MS);
	uv_signal_start(&w->sigterm, on_signal, SIGTERM);
	uv_signal_start(&w->sigint, on_signal, SIGINT);
}

/**
 * watch_open() - open all connections and start the timers
 * @w: process, zeroed
 * @loop: loop that runs it
 * @settings: checked settings, copied
 *
 * Return: 0, or a negative error, which has been logged with its step.
 */
int watch_open(struct watch *w, uv_loop_t *loop,
	       const struct watch_settings *settings)
{
	struct platform_handler answers = { w, on_platform_answer };
	int err;

	w->loop = loop;
	w->settings = *settings;
	snprintf(w->vms_key, sizeof(w->vms_key), "vms/%s",
		 settings->data_centre);
	w->refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->vips = vips_new();
	err = create_core(w, uv_hrtime());
	if (!err)
		err = platform_open(loop, settings->platform_url, answers,
				    &w->platform);
	if (err) {
		log_line(LOG_ERROR, "start", NULL, "%s", strerror(-err));
		return err;
	}
	err = open_link(w);
	if (!err)
		err = open_http(w);
	if (err)
		return err;
	start_handles(w);
	run_due(w);
	return 0;
}

/**
 * watch_close() - close all handles and free the state
 * @w: process, also when watch_open() failed
 */
void watch_close(struct watch *w)
{
	if (w->tick_timer.data) {
		uv_close((uv_handle_t *)&w->tick_timer, NULL);
		uv_close((uv_handle_t *)&w->expire_timer, NULL);
		uv_close((uv_handle_t *)&w->sigterm, NULL);
		uv_close((uv_handle_t *)&w->sigint, NULL);
	}
	if (w->http)
		http_server_close(w->http);
	watch_link_close(w->link);
	platform_close(w->platform);
	uv_run(w->loop, UV_RUN_DEFAULT);
	reader_free(w->reader);
	spread_free(w->spread);
	documents_free(w);
	free(w->vms_scratch);
}
