#include "fabric.h"

#include "settings.h"

#include <errno.h>
#include <stdio.h>

#define DELAY_MAX_MS 60000

static const char *const counter_names[COUNTERS] = {
	[COUNT_TO_ENTRIES] = "to_entries", [COUNT_TO_CALLERS] = "to_callers",
	[COUNT_PARTITIONED] = "cut",	   [COUNT_DROPPED] = "dropped",
	[COUNT_DUPLICATED] = "duplicated", [COUNT_DELAYED] = "delayed",
	[COUNT_UNSENT] = "unsent",	   [COUNT_MALFORMED] = "malformed",
};

static int set_partitioned(struct fabric *f, char **argv, bool partitioned)
{
	uint64_t addr;

	if (addr_parse(argv[1], &addr))
		return -EINVAL;
	return entries_set_partitioned(&f->entries, addr, partitioned);
}

static int do_cut(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	(void)argc, (void)reply, (void)n;
	return set_partitioned(ctx, argv, true);
}

static int do_heal(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	(void)argc, (void)reply, (void)n;
	return set_partitioned(ctx, argv, false);
}

static int do_drop(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct fabric *f = ctx;

	(void)argc, (void)reply, (void)n;
	return control_parse_percent(argv[1], &f->faults.drop_percent);
}

static int do_dup(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct fabric *f = ctx;

	(void)argc, (void)reply, (void)n;
	return control_parse_percent(argv[1], &f->faults.dup_percent);
}

static int do_reorder(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct fabric *f = ctx;
	uint32_t percent;
	uint32_t ms;

	(void)argc, (void)reply, (void)n;
	if (control_parse_percent(argv[1], &percent))
		return -EINVAL;
	if (control_parse_number(argv[2], DELAY_MAX_MS, &ms))
		return -EINVAL;
	f->faults.reorder_percent = percent;
	f->faults.reorder_ns = ms * NS_PER_MS;
	return 0;
}

static int do_delay(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct fabric *f = ctx;
	uint32_t ms;

	(void)argc, (void)reply, (void)n;
	if (control_parse_number(argv[1], DELAY_MAX_MS, &ms))
		return -EINVAL;
	f->faults.delay_ns = ms * NS_PER_MS;
	return 0;
}

static int do_entries(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct fabric *f = ctx;
	uint64_t addrs[CONTROL_ARGS_MAX];
	int i;

	(void)reply, (void)n;
	for (i = 1; i < argc; i++) {
		if (addr_parse(argv[i], &addrs[i - 1]))
			return -EINVAL;
	}
	return entries_set(&f->entries, addrs, (uint32_t)argc - 1);
}

static int do_ok(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct fabric *f = ctx;
	uint32_t i;

	(void)argc, (void)argv, (void)reply, (void)n;
	faults_clear(&f->faults);
	for (i = 0; i < f->entries.n; i++)
		f->entries.list[i].partitioned = false;
	return 0;
}

static int do_stats(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct fabric *f = ctx;

	(void)argc, (void)argv;
	control_write_counts(counter_names, f->counts, COUNTERS, reply, n);
	return 0;
}

static int do_quit(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct fabric *f = ctx;

	(void)argc, (void)argv, (void)reply, (void)n;
	uv_stop(&f->loop);
	return 0;
}

const struct control_command fabric_commands[] = {
	{ "cut", 1, 1, "ENTRY (IP:PORT of a listed entry)", do_cut },
	{ "heal", 1, 1, "ENTRY (IP:PORT of a listed entry)", do_heal },
	{ "drop", 1, 1, "PCT (0 to 100)", do_drop },
	{ "dup", 1, 1, "PCT (0 to 100)", do_dup },
	{ "reorder", 2, 2, "PCT MS (0 to 100, 0 to 60000)", do_reorder },
	{ "delay", 1, 1, "MS (0 to 60000)", do_delay },
	{ "entries", 1, CONTROL_ARGS_MAX - 1, "IP:PORT...", do_entries },
	{ "ok", 0, 0, "", do_ok },
	{ "stats", 0, 0, "", do_stats },
	{ "quit", 0, 0, "", do_quit },
	{ NULL, 0, 0, NULL, NULL }
};
