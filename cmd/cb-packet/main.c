/* cb-packet: carries opaque flows of one VM to their targets. */
#include "daemon.h"

#include "daemon_args.h"
#include "log.h"
#include "users_platform.h"

#include <stdlib.h>
#include <time.h>

#define VERSION "0.1.0"

/* Tells this process from an earlier one at its address; not a time. */
static uint64_t boot_number(const struct packet_settings *s)
{
	struct timespec t = { 0 };

	clock_gettime(CLOCK_BOOTTIME, &t);
	return hash_u64((uint64_t)t.tv_nsec ^ (uint64_t)t.tv_sec << 32,
			s->peer) >>
		       1 |
	       1;
}

static int run(struct packet_daemon *d)
{
	d->loop = uv_default_loop();
	if (!d->loop)
		return DAEMON_FAULT;
	d->platform = users_platform();
	d->boot = boot_number(&d->settings);
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

static int with_settings(const char *path, bool check)
{
	/* Large for a stack: it holds the room for a batch of datagrams. */
	struct packet_daemon *d = calloc(1, sizeof(*d));
	struct mistakes m = { 0 };
	int code = DAEMON_USAGE;
	int err;

	if (!d)
		return DAEMON_FAULT;
	d->settings_path = path;
	err = packet_settings_read(path, &d->settings, &m);
	mistakes_print(&m, stderr);
	mistakes_free(&m);
	if (!err && check)
		code = DAEMON_OK;
	else if (!err && log_open("cb-packet", &d->settings.log) == 0)
		code = run(d);
	free(d);
	return code;
}

int main(int argc, char **argv)
{
	static const struct daemon_info about = {
		"cb-packet", VERSION,
		"Carries opaque flows of one VM to their targets.",
		with_settings
	};

	return daemon_main(&about, argc, argv);
}
