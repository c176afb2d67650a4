/* Reads readiness and counters of entries over HTTP. */
#include "fetch.h"
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PEER_BYTES_COUNTER "cb_peer_bytes_sent_total"
/* Forwarded datagrams are callers' traffic and don't count as control traffic. */
#define FORWARDED_LABEL "kind=\"forward\""
#define FETCH_TIMEOUT_MS 500
#define READY_TIMEOUT_US (15 * G_USEC_PER_SEC)
#define READY_PAUSE_US (50 * 1000)

/* Return: body of @url, to be freed, or NULL without an answer 200 in time. */
static GString *fetch_page(const char *url)
{
	char error[FETCH_ERROR_BYTES];
	GString *body = g_string_new(NULL);

	if (!fetch(url, FETCH_TIMEOUT_MS, body, error))
		return body;
	g_string_free(body, TRUE);
	return NULL;
}

/* Adds the value of a line of PEER_BYTES_COUNTER; skips other lines. */
static void add_counter(const char *line, struct peer_bytes *sum)
{
	size_t size = strlen(PEER_BYTES_COUNTER);
	const char *value = strrchr(line, ' ');

	if (strncmp(line, PEER_BYTES_COUNTER, size) != 0 || !value)
		return;
	if (line[size] != ' ' && line[size] != '{')
		return;
	if (strstr(line, FORWARDED_LABEL))
		sum->forwarded += strtod(value, NULL);
	else
		sum->control += strtod(value, NULL);
}

static struct peer_bytes sum_counters(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	struct peer_bytes sum = { .answered = true };

	for (char **l = lines; *l; l++)
		add_counter(*l, &sum);
	g_strfreev(lines);
	return sum;
}

/**
 * control_sample_read() - read every entry's counters of bytes sent to peers
 * @options: options of the command line
 * @out: receives the counters; an entry without an answer isn't @answered
 */
void control_sample_read(const struct options *options,
			 struct control_sample *out)
{
	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < options->n_metrics_urls; i++) {
		GString *body = fetch_page(options->metrics_urls[i]);

		if (!body)
			continue;
		out->entry[i] = sum_counters(body->str);
		g_string_free(body, TRUE);
	}
}

/* A counter that decreased is of an entry that restarted in between. */
static bool is_comparable(const struct peer_bytes *begin,
			  const struct peer_bytes *end)
{
	return begin->answered && end->answered &&
	       end->control >= begin->control;
}

/**
 * control_rate_compute() - mean rate of bytes that an entry sent to its peers
 * @options: options of the command line
 * @begin: sample at the start
 * @end: sample at the end
 * @seconds: time between the samples
 * @out: receives the mean over the entries that answered both times and did not
 *	restart
 */
void control_rate_compute(const struct options *options,
			  const struct control_sample *begin,
			  const struct control_sample *end, double seconds,
			  struct control_rate *out)
{
	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < options->n_metrics_urls; i++) {
		const struct peer_bytes *before = &begin->entry[i];
		const struct peer_bytes *after = &end->entry[i];

		if (!is_comparable(before, after))
			continue;
		out->bytes_per_s +=
			(after->control - before->control) / seconds;
		out->forwarded_per_s +=
			(after->forwarded - before->forwarded) / seconds;
		out->n_entries++;
	}
	if (!out->n_entries)
		return;
	out->bytes_per_s /= out->n_entries;
	out->forwarded_per_s /= out->n_entries;
}

static bool is_ready(const GString *body)
{
	char **lines = g_strsplit(body->str, "\n", -1);
	bool ready = g_strv_contains((const gchar *const *)lines, "ready");

	g_strfreev(lines);
	return ready;
}

/**
 * wait_ready() - wait until an entry's status has the line "ready"
 * @url: URL of the entry's /status
 *
 * Return: 0, or 1 after a message when it isn't ready within READY_TIMEOUT_US.
 */
int wait_ready(const char *url)
{
	int64_t deadline_us = g_get_monotonic_time() + READY_TIMEOUT_US;

	while (g_get_monotonic_time() < deadline_us) {
		GString *body = fetch_page(url);
		bool ready = body && is_ready(body);

		if (body)
			g_string_free(body, TRUE);
		if (ready)
			return 0;
		g_usleep(READY_PAUSE_US);
	}
	fprintf(stderr, "cbload: %s: not ready\n", url);
	return 1;
}
