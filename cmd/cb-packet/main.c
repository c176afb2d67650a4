/* cb-packet: forwards opaque flows that arrive at one VM to their targets. */
#include "daemon.h"

#include "daemon_args.h"
#include "log.h"
#include "users_platform.h"

#include <stdlib.h>
#include <time.h>

#define VERSION "0.1.0"

/* Distinguishes this process from earlier ones at its address; not a time. */
static uint64_t make_boot_number(const struct packet_settings *settings)
{
	struct timespec now = { 0 };

	clock_gettime(CLOCK_BOOTTIME, &now);
	return hash_u64((uint64_t)now.tv_nsec ^ (uint64_t)now.tv_sec << 32,
			settings->peer) >>
		       1 |
	       1;
}

static int run(struct packet_daemon *d)
{
	d->loop = uv_default_loop();
	if (!d->loop)
		return DAEMON_FAULT;
	d->platform = users_platform();
	d->boot = make_boot_number(&d->settings);
	if (daemon_open(d)) {
		d->exit_code = DAEMON_FAULT;
	} else {
		log_line(LOG_INFO, "start", NULL,
			 "version " VERSION ", data centre %s",
			 d->settings.data_centre);
		uv_run(d->loop, UV_RUN_DEFAULT);
	}
	daemon_close(d);
	uv_loop_close(d->loop);
	return d->exit_code;
}

static int run_with_settings(const char *path, bool check)
{
	/* Too large for the stack: it contains the receive buffers. */
	struct packet_daemon *d = calloc(1, sizeof(*d));
	struct mistakes mistakes = { 0 };
	int code = DAEMON_USAGE;
	int err;

	if (!d)
		return DAEMON_FAULT;
	d->settings_path = path;
	err = packet_settings_read(path, &d->settings, &mistakes);
	mistakes_print(&mistakes, stderr);
	mistakes_free(&mistakes);
	if (!err && check)
		code = DAEMON_OK;
	else if (!err && log_open("cb-packet", &d->settings.log) == 0)
		code = run(d);
	free(d);
	return code;
}

int main(int argc, char **argv)
{
	static const struct daemon_info info = {
		"cb-packet", VERSION,
		"Carries opaque flows of one VM to their targets.",
		run_with_settings
	};

	return daemon_main(&info, argc, argv);
}
