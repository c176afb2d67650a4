/* What entries say over HTTP: readiness, and bytes sent to their peers. */
#include "load.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PEER_BYTES_COUNTER "cb_peer_bytes_sent_total"
#define FETCH_TIMEOUT_MS 500L
#define READY_TIMEOUT_US (15 * G_USEC_PER_SEC)
#define READY_PAUSE_US (50 * 1000)

static size_t keep(char *data, size_t size, size_t n, void *to)
{
	g_string_append_len(to, data, (gssize)(size * n));
	return size * n;
}

/* Body of @url, or NULL when it did not answer 200 in time. */
static GString *fetch(const char *url)
{
	CURL *curl = curl_easy_init();
	GString *body = g_string_new(NULL);
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, FETCH_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, keep);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	if (status == 200)
		return body;
	g_string_free(body, TRUE);
	return NULL;
}

/* Sum of a counter's lines, whatever their labels. */
static double counter_sum(const char *text, const char *name)
{
	char **lines = g_strsplit(text, "\n", -1);
	size_t size = strlen(name);
	double sum = 0;

	for (char **l = lines; *l; l++) {
		const char *value = strrchr(*l, ' ');

		if (strncmp(*l, name, size) != 0 || !value)
			continue;
		if ((*l)[size] == ' ' || (*l)[size] == '{')
			sum += strtod(value, NULL);
	}
	g_strfreev(lines);
	return sum;
}

/**
 * control_sample() - read every entry's counter of bytes sent to peers
 * @o: command line
 * @out: filled
 */
void control_sample(const struct options *o, struct control *out)
{
	for (uint32_t i = 0; i < o->n_metrics; i++) {
		GString *body = fetch(o->metrics[i]);

		out->bytes[i] = -1;
		if (!body)
			continue;
		out->bytes[i] = counter_sum(body->str, PEER_BYTES_COUNTER);
		g_string_free(body, TRUE);
	}
}

/**
 * control_rate() - bytes a second that one entry sent to its peers
 * @o: command line
 * @begin, @end: samples
 * @seconds: time between them
 * @n_entries: entries that answered both times
 *
 * Return: the mean over those entries, 0 when there are none.
 */
double control_rate(const struct options *o, const struct control *begin,
		    const struct control *end, double seconds,
		    uint32_t *n_entries)
{
	double sum = 0;

	*n_entries = 0;
	for (uint32_t i = 0; i < o->n_metrics; i++) {
		/* A counter that went down is of an entry started anew. */
		if (begin->bytes[i] < 0 || end->bytes[i] < begin->bytes[i])
			continue;
		sum += end->bytes[i] - begin->bytes[i];
		(*n_entries)++;
	}
	return *n_entries ? sum / seconds / *n_entries : 0;
}

static bool says_ready(const GString *body)
{
	char **lines = g_strsplit(body->str, "\n", -1);
	bool ready = g_strv_contains((const gchar *const *)lines, "ready");

	g_strfreev(lines);
	return ready;
}

/**
 * wait_ready() - wait until an entry's status has the line "ready"
 * @url: its /status
 *
 * Return: 0, or 1 when it did not within 15 s.
 */
int wait_ready(const char *url)
{
	int64_t deadline_us = g_get_monotonic_time() + READY_TIMEOUT_US;

	while (g_get_monotonic_time() < deadline_us) {
		GString *body = fetch(url);
		bool ready = body && says_ready(body);

		if (body)
			g_string_free(body, TRUE);
		if (ready)
			return 0;
		g_usleep(READY_PAUSE_US);
	}
	fprintf(stderr, "cbload: %s: not ready\n", url);
	return 1;
}
