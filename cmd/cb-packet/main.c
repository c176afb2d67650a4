/* cb-packet: carries opaque flows of one VM to their targets. */
#include "daemon.h"

#include "log.h"
#include "users_platform.h"

#include <argtable2.h>
#include <stdlib.h>
#include <time.h>

#define VERSION "0.1.0"

enum exit_code { EXIT_OK, EXIT_FAULT, EXIT_USAGE };

/* Arguments; end stands last, as argtable wants it. */
struct args {
	struct arg_file *settings;
	struct arg_lit *check;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static struct args args_new(void)
{
	return (struct args){
		.settings =
			arg_file1(NULL, "settings", "FILE", "settings, TOML"),
		.check = arg_lit0(NULL, "check",
				  "read the settings, print mistakes, stop"),
		.help = arg_lit0(NULL, "help", "print this and stop"),
		.version = arg_lit0(NULL, "version", "print it and stop"),
		.end = arg_end(8),
	};
}

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
		return EXIT_FAULT;
	d->platform = users_platform();
	d->boot = boot_number(&d->settings);
	if (daemon_open(d)) {
		d->exit_code = EXIT_FAULT;
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
	int code = EXIT_USAGE;
	int err;

	if (!d)
		return EXIT_FAULT;
	d->settings_path = path;
	err = packet_settings_read(path, &d->settings, &m);
	mistakes_print(&m, stderr);
	mistakes_free(&m);
	if (!err && check)
		code = EXIT_OK;
	else if (!err && log_open("cb-packet", &d->settings.log) == 0)
		code = run(d);
	free(d);
	return code;
}

static int with_args(struct args *a, void **table, int argc, char **argv)
{
	int errors = arg_parse(argc, argv, table);

	if (a->help->count) {
		printf("Usage: cb-packet");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-18s %s\n");
		return EXIT_OK;
	}
	if (a->version->count) {
		puts("cb-packet " VERSION);
		return EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, a->end, "cb-packet");
		return EXIT_USAGE;
	}
	return with_settings(a->settings->filename[0], a->check->count > 0);
}

int main(int argc, char **argv)
{
	struct args a = args_new();
	void *table[] = { a.settings, a.check, a.help, a.version, a.end };
	int code = EXIT_FAULT;

	if (!arg_nullcheck(table))
		code = with_args(&a, table, argc, argv);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
