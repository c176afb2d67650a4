/* cb-entry: forwards requests of callers at one VM to targets. */
#include "daemon.h"
#include "daemon_args.h"
#include "log.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define VERSION "0.1.0"

static int run(struct daemon *d)
{
	int err;

	d->loop = uv_default_loop();
	if (!d->loop)
		return DAEMON_FAULT;
	d->loop->data = d;
	err = daemon_open(d);
	if (err) {
		log_line(LOG_ERROR, "start", NULL, "%s", uv_strerror(err));
		d->exit_code = DAEMON_FAULT;
	} else {
		log_line(LOG_INFO, "start", NULL, "running, incarnation %llu",
			 (unsigned long long)d->incarnation);
		uv_run(d->loop, UV_RUN_DEFAULT);
	}
	daemon_close(d);
	uv_loop_close(d->loop);
	return d->exit_code;
}

static int run_with_settings(const char *path, bool check)
{
	/* Too large for the stack: it contains the receive buffer. */
	struct daemon *d = calloc(1, sizeof(*d));
	struct mistakes mistakes = { 0 };
	int code = DAEMON_USAGE;
	int err;

	if (!d)
		return DAEMON_FAULT;
	err = entry_settings_read(path, &d->settings, &mistakes);
	mistakes_print(&mistakes, stderr);
	mistakes_free(&mistakes);
	if (!err && check)
		code = DAEMON_OK;
	else if (!err && log_open("cb-entry", &d->settings.log) == 0)
		code = run(d);
	free(d);
	return code;
}

int main(int argc, char **argv)
{
	static const struct daemon_info info = { "cb-entry", VERSION,
						 "The data path of one VM.",
						 run_with_settings };

	if (sodium_init() < 0)
		return DAEMON_FAULT;
	return daemon_main(&info, argc, argv);
}
