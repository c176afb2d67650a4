#include "target.h"

#include <errno.h>

#define CRAWL_MAX 1000
#define COLD_MAX_MS 600000

static const char *const counter_names[COUNTERS] = {
	[COUNT_RUNS] = "runs",
	[COUNT_RETRANSMISSIONS] = "repeats",
	[COUNT_REUSED_IDS] = "reused_ids",
	[COUNT_SHED] = "shed",
	[COUNT_SHED_DRAINING] = "shed_draining",
	[COUNT_EXPIRED] = "expired",
	[COUNT_CANCELLED] = "cancelled",
	[COUNT_FAILED] = "failed",
	[COUNT_GAPS] = "gaps",
	[COUNT_NOTIFICATIONS] = "notifications",
};

static int do_drain(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;

	(void)argc, (void)argv, (void)reply, (void)n;
	t->behaviour.draining = true;
	return 0;
}

static int do_crawl(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;
	uint32_t factor;

	(void)argc, (void)reply, (void)n;
	if (control_parse_number(argv[1], CRAWL_MAX, &factor) || factor == 0)
		return -EINVAL;
	t->behaviour.work_factor = factor;
	return 0;
}

static int do_silent(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;

	(void)argc, (void)argv, (void)reply, (void)n;
	t->behaviour.silent = true;
	target_apply_packet_loss(t);
	return 0;
}

static int do_silent_feeds(void *ctx, int argc, char **argv, char *reply,
			   size_t n)
{
	struct target *t = ctx;

	(void)argc, (void)argv, (void)reply, (void)n;
	observers_forget_all(t->observers);
	return 0;
}

static int do_shed(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;

	(void)argc, (void)reply, (void)n;
	return control_parse_percent(argv[1], &t->behaviour.shed_percent);
}

static int do_fail(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;

	(void)argc, (void)reply, (void)n;
	return control_parse_percent(argv[1], &t->behaviour.fail_percent);
}

static int do_lose(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;
	int rc = control_parse_percent(argv[1], &t->behaviour.loss_percent);

	(void)argc, (void)reply, (void)n;
	target_apply_packet_loss(t);
	return rc;
}

static int do_cold(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;
	uint32_t ms;

	(void)argc, (void)reply, (void)n;
	if (control_parse_number(argv[1], COLD_MAX_MS, &ms) || ms == 0)
		return -EINVAL;
	behaviour_start_cold(&t->behaviour, uv_hrtime(), ms * NS_PER_MS);
	return 0;
}

static int do_ok(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;

	(void)argc, (void)argv, (void)reply, (void)n;
	behaviour_reset(&t->behaviour);
	target_apply_packet_loss(t);
	return 0;
}

static int do_quit(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	(void)argc, (void)argv, (void)reply, (void)n;
	target_quit_when_idle(ctx);
	return 0;
}

static int do_stats(void *ctx, int argc, char **argv, char *reply, size_t n)
{
	struct target *t = ctx;
	struct load l = target_current_load(t);
	size_t used;

	(void)argc, (void)argv;
	used = (size_t)snprintf(reply, n, "running %u waiting %u feeds %u ",
				l.running, l.waiting, l.connections);
	control_write_counts(counter_names, t->counts, COUNTERS, reply + used,
			     n - used);
	return 0;
}

const struct control_command target_commands[] = {
	{ "drain", 0, 0, "", do_drain },
	{ "crawl", 1, 1, "FACTOR (1 to 1000)", do_crawl },
	{ "silent", 0, 0, "", do_silent },
	{ "silent-feeds", 0, 0, "", do_silent_feeds },
	{ "shed", 1, 1, "N% (0 to 100)", do_shed },
	{ "fail", 1, 1, "N% (0 to 100)", do_fail },
	{ "lose", 1, 1, "N% (0 to 100)", do_lose },
	{ "cold", 1, 1, "MS (1 to 600000)", do_cold },
	{ "ok", 0, 0, "", do_ok },
	{ "stats", 0, 0, "", do_stats },
	{ "quit", 0, 0, "", do_quit },
	{ NULL, 0, 0, NULL, NULL }
};
