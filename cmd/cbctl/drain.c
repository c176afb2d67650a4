/* drain-watch: polls an entry's status until the entry has drained and left. */
#include "cbctl.h"

#include "fetch.h"
#include "settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define POLL_PERIOD_US (200 * 1000)
#define POLL_TIMEOUT_MS 1000
#define PRINT_PERIOD_US 1000000
#define US_PER_S 1000000

/* Work that an entry has left to finish or hand over, from its gauges. */
struct open_work {
	uint64_t requests_active;
	uint64_t feeds_held;
	uint64_t handover_due;
};

/**
 * struct drain - an entry whose drain is watched
 * @peer: IP:PORT of the entry's HTTP listener
 * @url: URL of the entry's /status; owned
 * @json: write JSON instead of plain lines
 * @has_answered: the entry answered at least once
 * @phase: first line of the last answer
 * @open_work: gauges of the last answer
 * @next_print_us: monotonic time from which an unchanged phase is printed
 *	again
 */
struct drain {
	const char *peer;
	char *url;
	bool json;
	bool has_answered;
	char phase[16];
	struct open_work open_work;
	gint64 next_print_us;
};

/* Return: value of the line "gauge NAME VALUE", 0 without one. */
static uint64_t parse_gauge(const char *body, const char *name)
{
	char *word = g_strdup_printf("gauge %s ", name);
	const char *at = strstr(body, word);
	uint64_t value = at ? g_ascii_strtoull(at + strlen(word), NULL, 10) : 0;

	g_free(word);
	return value;
}

static void print_phase_text(const struct drain *drain, const char *phase)
{
	printf("%s %s requests_active=%" PRIu64 " feeds_held=%" PRIu64
	       " handover_due=%" PRIu64 "\n",
	       drain->peer, phase, drain->open_work.requests_active,
	       drain->open_work.feeds_held, drain->open_work.handover_due);
}

static void print_phase_json(const struct drain *drain, const char *phase)
{
	GString *json = g_string_new(NULL);

	json_open(json, NULL, '{');
	json_string(json, "peer", drain->peer);
	json_string(json, "phase", phase);
	json_number(json, "requests_active", drain->open_work.requests_active);
	json_number(json, "feeds_held", drain->open_work.feeds_held);
	json_number(json, "handover_due", drain->open_work.handover_due);
	json_close(json, '}');
	json_print_and_free(json);
}

static void print_phase(const struct drain *drain, const char *phase)
{
	if (drain->json)
		print_phase_json(drain, phase);
	else
		print_phase_text(drain, phase);
	fflush(stdout);
}

static void update_status(struct drain *drain, const char *body)
{
	char phase[sizeof(drain->phase)];
	gint64 now_us = g_get_monotonic_time();
	bool changed;

	g_strlcpy(phase, body, MIN(sizeof(phase), strcspn(body, "\n") + 1));
	changed = strcmp(phase, drain->phase) != 0;
	g_strlcpy(drain->phase, phase, sizeof(drain->phase));
	drain->has_answered = true;
	drain->open_work =
		(struct open_work){ parse_gauge(body, "requests_active"),
				    parse_gauge(body, "feeds_held"),
				    parse_gauge(body, "handover_due") };
	if (!changed && now_us < drain->next_print_us)
		return;
	drain->next_print_us = now_us + PRINT_PERIOD_US;
	print_phase(drain, drain->phase);
}

/*
 * Return: true when the entry has left: its last phase is "leaving" and it no
 * longer answers. The line printed then repeats the gauges of its last answer.
 */
static bool poll_entry(struct drain *drain, GString *body)
{
	char error[FETCH_ERROR_BYTES];

	if (!fetch(drain->url, POLL_TIMEOUT_MS, body, error)) {
		update_status(drain, body->str);
		return false;
	}
	if (strcmp(drain->phase, "leaving"))
		return false;
	print_phase(drain, "left");
	return true;
}

static enum exit_code exit_code_of(const struct drain *drain, bool left)
{
	if (left)
		return EXIT_OK;
	report_error("drain-watch", drain->peer, "%s",
		     drain->has_answered ? "has not left in time"
					 : "no answer");
	return drain->has_answered ? EXIT_PROBLEMS : EXIT_UNREACHABLE;
}

static bool poll_until_left(struct drain *drain, uint32_t timeout_s)
{
	gint64 deadline_us =
		g_get_monotonic_time() + (gint64)timeout_s * US_PER_S;
	GString *body = g_string_new(NULL);
	bool left;

	while (!(left = poll_entry(drain, body)) &&
	       g_get_monotonic_time() < deadline_us)
		g_usleep(POLL_PERIOD_US);
	g_string_free(body, TRUE);
	return left;
}

enum exit_code drain_watch_run(const struct command_args *args)
{
	struct drain drain = { .peer = args->operands[0], .json = args->json };
	uint64_t addr;
	bool left;

	if (addr_parse(drain.peer, &addr)) {
		report_error("address", drain.peer, "expected IP:PORT");
		return EXIT_USAGE;
	}
	drain.url = g_strdup_printf("http://%s/status", drain.peer);
	left = poll_until_left(&drain, args->timeout_s);
	g_free(drain.url);
	return exit_code_of(&drain, left);
}
