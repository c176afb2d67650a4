/* drain-watch: follow an entry from the order to stop until it has left. */
#include "cbctl.h"

#include "fetch.h"
#include "settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define POLL_US (200 * 1000)
#define POLL_TIMEOUT_MS 1000
#define PRINT_US 1000000
#define US_PER_S 1000000

/* What an entry still holds. */
struct held {
	uint64_t requests_active;
	uint64_t feeds_held;
	uint64_t handover_due;
};

/**
 * struct drain - an entry that is watched
 * @peer: its HTTP address
 * @url: its status
 * @json: write JSON
 * @seen: it answered at least once
 * @phase: as last answered
 * @held: as last answered
 * @next_us: when to print again although only numbers changed
 */
struct drain {
	const char *peer;
	char *url;
	bool json;
	bool seen;
	char phase[16];
	struct held held;
	gint64 next_us;
};

static uint64_t gauge(const char *body, const char *name)
{
	char *word = g_strdup_printf("gauge %s ", name);
	const char *at = strstr(body, word);
	uint64_t value = at ? g_ascii_strtoull(at + strlen(word), NULL, 10) : 0;

	g_free(word);
	return value;
}

static void print_text(const struct drain *d, const char *phase)
{
	printf("%s %s requests_active=%" PRIu64 " feeds_held=%" PRIu64
	       " handover_due=%" PRIu64 "\n",
	       d->peer, phase, d->held.requests_active, d->held.feeds_held,
	       d->held.handover_due);
}

static void print_object(const struct drain *d, const char *phase)
{
	GString *json = g_string_new(NULL);

	json_open(json, NULL, '{');
	json_string(json, "peer", d->peer);
	json_string(json, "phase", phase);
	json_number(json, "requests_active", d->held.requests_active);
	json_number(json, "feeds_held", d->held.feeds_held);
	json_number(json, "handover_due", d->held.handover_due);
	json_close(json, '}');
	print_json(json);
}

static void print_phase(const struct drain *d, const char *phase)
{
	if (d->json)
		print_object(d, phase);
	else
		print_text(d, phase);
	fflush(stdout);
}

static void take(struct drain *d, const char *body)
{
	char phase[sizeof(d->phase)];
	gint64 now_us = g_get_monotonic_time();
	bool changed;

	g_strlcpy(phase, body, MIN(sizeof(phase), strcspn(body, "\n") + 1));
	changed = strcmp(phase, d->phase) != 0;
	g_strlcpy(d->phase, phase, sizeof(d->phase));
	d->seen = true;
	d->held = (struct held){ gauge(body, "requests_active"),
				 gauge(body, "feeds_held"),
				 gauge(body, "handover_due") };
	if (!changed && now_us < d->next_us)
		return;
	d->next_us = now_us + PRINT_US;
	print_phase(d, d->phase);
}

/*
 * True when the entry has left: it said it leaves, then answers no more. The
 * last line tells what it held when it last answered.
 */
static bool look(struct drain *d, GString *body)
{
	char error[FETCH_ERROR_BYTES];

	if (!fetch(d->url, POLL_TIMEOUT_MS, body, error)) {
		take(d, body->str);
		return false;
	}
	if (strcmp(d->phase, "leaving"))
		return false;
	print_phase(d, "left");
	return true;
}

static enum exit_code verdict(const struct drain *d, bool left)
{
	if (left)
		return EXIT_OK;
	complain("drain-watch", d->peer, "%s",
		 d->seen ? "has not left in time" : "no answer");
	return d->seen ? EXIT_PROBLEMS : EXIT_UNREACHABLE;
}

static bool follow(struct drain *d, uint32_t timeout_s)
{
	gint64 deadline_us =
		g_get_monotonic_time() + (gint64)timeout_s * US_PER_S;
	GString *body = g_string_new(NULL);
	bool left;

	while (!(left = look(d, body)) && g_get_monotonic_time() < deadline_us)
		g_usleep(POLL_US);
	g_string_free(body, TRUE);
	return left;
}

enum exit_code drain_run(const struct request *r)
{
	struct drain d = { .peer = r->operands[0], .json = r->json };
	uint64_t addr;
	bool left;

	if (addr_parse(d.peer, &addr)) {
		complain("address", d.peer, "expected IP:PORT");
		return EXIT_USAGE;
	}
	d.url = g_strdup_printf("http://%s/status", d.peer);
	left = follow(&d, r->timeout_s);
	g_free(d.url);
	return verdict(&d, left);
}
