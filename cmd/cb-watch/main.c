/* cb-watch: reads or relays what is published, for the cb-entry of its VM. */
#include "watch.h"

#include "daemon_args.h"
#include "log.h"

#define VERSION "0.1.0"

static int read_settings(const char *path, struct watch_settings *s)
{
	struct mistakes mistakes = { 0 };
	int err = watch_settings_read(path, s, &mistakes);

	mistakes_print(&mistakes, stderr);
	mistakes_free(&mistakes);
	return err;
}

static int run(const struct watch_settings *settings)
{
	struct watch w = { 0 };
	uv_loop_t loop;
	int err;

	uv_loop_init(&loop);
	err = log_open("cb-watch", &settings->log);
	if (!err)
		err = watch_open(&w, &loop, settings);
	if (!err)
		uv_run(&loop, UV_RUN_DEFAULT);
	if (w.loop)
		watch_close(&w);
	uv_loop_close(&loop);
	return err ? DAEMON_FAULT : DAEMON_OK;
}

static int run_with_settings(const char *path, bool check)
{
	struct watch_settings settings = { 0 };

	if (read_settings(path, &settings))
		return DAEMON_USAGE;
	return check ? DAEMON_OK : run(&settings);
}

int main(int argc, char **argv)
{
	static const struct daemon_info info = {
		"cb-watch", VERSION,
		"Reads or relays what operators published, and gives it to "
		"the cb-entry of this VM.",
		run_with_settings
	};

	return daemon_main(&info, argc, argv);
}
