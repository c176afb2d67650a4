/* drain-watch: follow an entry from the order to stop until it has left. */
#include "cbctl.h"

#include "fetch.h"
#include "settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define POLL_US (200 * 1000)
#define POLL_TIMEOUT_MS 1000
#define US_PER_S 1000000

/**
 * struct drain - an entry that is watched
 * @peer: its HTTP address
 * @url: its status
 * @seen: it answered at least once
 * @leaving: its last answer said so
 * @last: last line printed, so that each state is printed once
 */
struct drain {
	const char *peer;
	char *url;
	bool seen;
	bool leaving;
	char *last;
};

static uint64_t gauge(const char *body, const char *name)
{
	char *word = g_strdup_printf("gauge %s ", name);
	const char *at = strstr(body, word);
	uint64_t value = at ? g_ascii_strtoull(at + strlen(word), NULL, 10) : 0;

	g_free(word);
	return value;
}

static void print_state(struct drain *d, bool json, const char *phase,
			const char *body)
{
	uint64_t requests = gauge(body, "requests_active");
	uint64_t feeds = gauge(body, "feeds_held");
	uint64_t due = gauge(body, "handover_due");
	char *line;

	if (json)
		line = g_strdup_printf("{\"peer\":\"%s\",\"phase\":\"%s\","
				       "\"requests_active\":%" PRIu64
				       ",\"feeds_held\":%" PRIu64
				       ",\"handover_due\":%" PRIu64 "}",
				       d->peer, phase, requests, feeds, due);
	else
		line = g_strdup_printf("%s %s requests_active=%" PRIu64
				       " feeds_held=%" PRIu64
				       " handover_due=%" PRIu64,
				       d->peer, phase, requests, feeds, due);
	if (g_strcmp0(line, d->last)) {
		puts(line);
		fflush(stdout);
	}
	g_free(d->last);
	d->last = line;
}

/* True when the entry has left: it said it leaves, then answers no more. */
static bool look(struct drain *d, bool json, GString *body)
{
	char error[FETCH_ERROR_BYTES];
	char *phase;

	if (fetch(d->url, POLL_TIMEOUT_MS, body, error)) {
		if (!d->leaving)
			return false;
		print_state(d, json, "left", "");
		return true;
	}
	phase = g_strndup(body->str, strcspn(body->str, "\n"));
	d->seen = true;
	d->leaving = !strcmp(phase, "leaving");
	print_state(d, json, phase, body->str);
	g_free(phase);
	return false;
}

static enum exit_code verdict(const struct drain *d, bool left)
{
	if (left)
		return EXIT_OK;
	complain("drain-watch", d->peer,
		 d->seen ? "has not left in time" : "no answer");
	return d->seen ? EXIT_PROBLEMS : EXIT_UNREACHABLE;
}

enum exit_code drain_run(const struct request *r)
{
	struct drain d = { .peer = r->operands[0] };
	gint64 deadline_us =
		g_get_monotonic_time() + (gint64)r->timeout_s * US_PER_S;
	GString *body;
	bool left = false;
	uint64_t addr;

	if (addr_parse(d.peer, &addr)) {
		complain("address", d.peer, "expected IP:PORT");
		return EXIT_USAGE;
	}
	body = g_string_new(NULL);
	d.url = g_strdup_printf("http://%s/status", d.peer);
	while (!(left = look(&d, r->json, body)) &&
	       g_get_monotonic_time() < deadline_us)
		g_usleep(POLL_US);
	g_string_free(body, TRUE);
	g_free(d.url);
	g_free(d.last);
	return verdict(&d, left);
}
