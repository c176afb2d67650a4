#include "watch.h"

#include "log.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>

#define VERSION "0.1"
#define EXIT_USAGE 2
#define MISTAKES_SHOWN 20

/* What the command line said. */
struct options {
	struct arg_file *settings;
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static int read_settings(const struct options *o, struct watch_settings *s)
{
	struct mistakes mistakes = { 0 };
	int err = watch_settings_read(o->settings->filename[0], s, &mistakes);

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
	curl_global_init(CURL_GLOBAL_DEFAULT);
	err = log_open("cb-watch", &settings->log);
	if (!err)
		err = watch_open(&w, &loop, settings);
	if (!err)
		uv_run(&loop, UV_RUN_DEFAULT);
	if (w.loop)
		watch_close(&w);
	uv_loop_close(&loop);
	curl_global_cleanup();
	return err ? EXIT_FAILURE : EXIT_SUCCESS;
}

static void print_help(void **table)
{
	printf("usage: cb-watch");
	arg_print_syntax(stdout, table, "\n");
	printf("Reads or relays what operators published, and gives it to the "
	       "cb-entry of this VM.\n");
	arg_print_glossary(stdout, table, "  %-20s %s\n");
}

static int act(const struct options *o, void **table, int n_errors)
{
	struct watch_settings settings = { 0 };

	if (o->help->count) {
		print_help(table);
		return EXIT_SUCCESS;
	}
	if (o->version->count) {
		printf("cb-watch %s\n", VERSION);
		return EXIT_SUCCESS;
	}
	if (n_errors) {
		arg_print_errors(stderr, o->end, "cb-watch");
		return EXIT_USAGE;
	}
	if (read_settings(o, &settings))
		return EXIT_USAGE;
	return o->check->count ? EXIT_SUCCESS : run(&settings);
}

int main(int argc, char **argv)
{
	struct options o = {
		.settings =
			arg_file1(NULL, "settings", "FILE", "settings in TOML"),
		.check = arg_lit0(NULL, "check", "check the settings and stop"),
		.help = arg_lit0(NULL, "help", "print this and stop"),
		.version =
			arg_lit0(NULL, "version", "print the version and stop"),
		.end = arg_end(MISTAKES_SHOWN),
	};
	void *table[] = { o.settings, o.check, o.help, o.version, o.end };
	int status;

	if (arg_nullcheck(table))
		return EXIT_FAILURE;
	status = act(&o, table, arg_parse(argc, argv, table));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
