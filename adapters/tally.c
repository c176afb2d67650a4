/* Comparison of the callers' records with the targets' run logs. */
#include "tally.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_MS 1000
/*
 * A window counts when each target could have had this many requests: with
 * fewer, chance alone makes one target look busy.
 */
#define WINDOW_RUNS_PER_TARGET 8

/**
 * struct kind_rule - what a kind of request means to the comparison
 * @service: service that it is meant for
 * @idempotent: may run twice
 * @ventolario: weight of a broken one for Ventolario
 */
struct kind_rule {
	const char *service;
	bool idempotent;
	uint8_t ventolario;
};

/* A forecast has no weight of its own: the weights name the other three. */
static const struct kind_rule rules[N_CALL_KINDS] = {
	[CALL_FEED] = { "live", true, 1 },
	[CALL_FORECAST] = { "live", true, 0 },
	[CALL_REPORT] = { "live", false, 2 },
	[CALL_READINGS] = { "ingest", false, 1 },
};

const char *const call_kind_names[N_CALL_KINDS] = {
	[CALL_FEED] = "feed",
	[CALL_FORECAST] = "forecast",
	[CALL_REPORT] = "report",
	[CALL_READINGS] = "readings",
};

/**
 * call_service() - service that a kind of request is meant for
 * @kind: kind of request
 *
 * Return: the service's name.
 */
const char *call_service(enum call_kind kind)
{
	return rules[kind].service;
}

/**
 * run_parse() - read one line of a target's run log
 * @line: "run ID SERVICE PATH METHOD TARGET MONOTONIC_MS"
 * @out: filled but for @out->log
 *
 * Return: 0, or -EPROTO when the line is another one or cut short.
 */
int run_parse(const char *line, struct run_record *out)
{
	int end = 0;
	int n = sscanf(line,
		       "run %16" SCNx64 " %31s %*63s %*15s %63s %" SCNu64 "%n",
		       &out->id, out->service, out->target, &out->at_ms, &end);

	if (n != 4 || line[end] != '\n')
		return -EPROTO;
	return 0;
}

/**
 * answer_parse() - read a target's answer
 * @body: "ID SERVICE TARGET SEQUENCE", not terminated
 * @size_bytes: its size
 * @id: the id
 * @service: the service
 *
 * Return: 0, or -EPROTO when the body is not whole.
 */
int answer_parse(const char *body, size_t size_bytes, uint64_t *id,
		 char service[SERVICE_MAX_BYTES])
{
	char text[256];
	uint64_t sequence;
	size_t n = size_bytes < sizeof(text) ? size_bytes : sizeof(text) - 1;

	if (!body)
		return -EPROTO;
	memcpy(text, body, n);
	text[n] = '\0';
	if (sscanf(text, "%16" SCNx64 " %31s %*63s %" SCNu64, id, service,
		   &sequence) != 3)
		return -EPROTO;
	return 0;
}

static int by_id(const void *a, const void *b)
{
	uint64_t x = (*(const struct run_record *const *)a)->id;
	uint64_t y = (*(const struct run_record *const *)b)->id;

	return x < y ? -1 : x > y;
}

/* First of the sorted @runs whose id is not below @id. */
static uint32_t first_run(const struct run_record *const *runs, uint32_t n,
			  uint64_t id)
{
	uint32_t low = 0;

	while (low < n) {
		uint32_t middle = low + (n - low) / 2;

		if (runs[middle]->id < id)
			low = middle + 1;
		else
			n = middle;
	}
	return low;
}

static bool answer_crossed(const struct call_record *c)
{
	if (c->crossed)
		return true;
	if (c->answer_id && c->answer_id != c->id)
		return true;
	return c->answer_service[0] &&
	       strcmp(c->answer_service, rules[c->kind].service) != 0;
}

/* Counts one request; @runs are the @n lines that carry its id. */
static void count_call(const struct call_record *c,
		       const struct run_record *const *runs, uint32_t n,
		       struct call_count *k)
{
	bool misrouted = answer_crossed(c);
	bool doubled = n > 1 && !rules[c->kind].idempotent;
	bool false_not_run = c->end == CALL_REFUSED && n > 0;
	bool broken;

	for (uint32_t i = 0; i < n; i++)
		if (strcmp(runs[i]->service, rules[c->kind].service) != 0)
			misrouted = true;
	k->requests++;
	k->answered += c->end == CALL_ANSWERED;
	k->refused += c->end == CALL_REFUSED;
	k->unknown += c->end == CALL_UNKNOWN;
	k->lost += c->end == CALL_LOST || c->end == CALL_OPEN;
	k->cut += c->end == CALL_CUT;
	k->doubled += doubled;
	k->misrouted += misrouted;
	k->false_not_run += false_not_run;
	broken = c->stalled || c->end == CALL_CUT;
	if (c->kind != CALL_FEED)
		broken |= doubled || misrouted || false_not_run ||
			  c->end == CALL_LOST || c->end == CALL_OPEN;
	k->broken += broken;
}

static void add_count(struct call_count *sum, const struct call_count *k)
{
	sum->requests += k->requests;
	sum->answered += k->answered;
	sum->refused += k->refused;
	sum->unknown += k->unknown;
	sum->lost += k->lost;
	sum->cut += k->cut;
	sum->doubled += k->doubled;
	sum->misrouted += k->misrouted;
	sum->false_not_run += k->false_not_run;
}

/**
 * tally_compare() - compare what callers saw with what targets ran
 * @calls: the callers' records, each id once
 * @n_calls: how many
 * @runs: lines of all run logs
 * @n_runs: how many
 * @out: filled
 *
 * Return: 0, or -ENOMEM.
 */
int tally_compare(const struct call_record *calls, uint32_t n_calls,
		  const struct run_record *runs, uint32_t n_runs,
		  struct tally *out)
{
	const struct run_record **sorted =
		malloc((n_runs + 1ULL) * sizeof(*sorted));
	uint64_t known = 0;

	if (!sorted)
		return -ENOMEM;
	for (uint32_t i = 0; i < n_runs; i++)
		sorted[i] = &runs[i];
	qsort(sorted, n_runs, sizeof(*sorted), by_id);
	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < n_calls; i++) {
		uint64_t id = calls[i].id;
		uint32_t from = first_run(sorted, n_runs, id);
		uint32_t n = first_run(sorted, n_runs, id + 1) - from;

		count_call(&calls[i], sorted + from, n,
			   &out->kind[calls[i].kind]);
		known += n;
	}
	for (uint32_t k = 0; k < N_CALL_KINDS; k++)
		add_count(&out->sum, &out->kind[k]);
	out->sum.broken = out->kind[CALL_FEED].broken;
	out->strangers = n_runs - known;
	free(sorted);
	return 0;
}

/**
 * tally_clean() - whether a run may count as passed
 * @t: tally
 *
 * Return: true when nothing was lost, cut, doubled, misrouted, falsely
 * refused or broken.
 */
bool tally_clean(const struct tally *t)
{
	const struct call_count *s = &t->sum;

	return !(s->lost || s->cut || s->doubled || s->misrouted ||
		 s->false_not_run || s->broken);
}

/**
 * tally_weighted_ventolario() - broken flows by Ventolario's weights
 * @t: tally
 *
 * Return: reports count double, feeds and uploads once.
 */
uint64_t tally_weighted_ventolario(const struct tally *t)
{
	uint64_t sum = 0;

	for (uint32_t k = 0; k < N_CALL_KINDS; k++)
		sum += rules[k].ventolario * t->kind[k].broken;
	return sum;
}

/**
 * tally_weighted_tshwane() - broken flows for Tshwane
 * @t: tally
 *
 * Return: pressure feeds, commands and uploads, each once: no weight
 * between them is published.
 */
uint64_t tally_weighted_tshwane(const struct tally *t)
{
	return t->kind[CALL_FEED].broken + t->kind[CALL_REPORT].broken +
	       t->kind[CALL_READINGS].broken;
}

static void clock_range(const struct run_record *runs, uint32_t n,
			uint64_t *first_ms, uint64_t *last_ms)
{
	*first_ms = UINT64_MAX;
	*last_ms = 0;
	for (uint32_t i = 0; i < n; i++) {
		if (runs[i].at_ms < *first_ms)
			*first_ms = runs[i].at_ms;
		if (runs[i].at_ms > *last_ms)
			*last_ms = runs[i].at_ms;
	}
}

/* Max over mean of one window's @counts, or 0 when it had too little work. */
static double window_ratio(const uint32_t *counts,
			   const uint8_t *log_of_service, uint32_t n_logs)
{
	uint32_t targets = 0;
	uint32_t sum = 0;
	uint32_t max = 0;

	for (uint32_t t = 0; t < n_logs; t++) {
		if (!log_of_service[t])
			continue;
		targets++;
		sum += counts[t];
		if (counts[t] > max)
			max = counts[t];
	}
	if (!targets || sum < targets * WINDOW_RUNS_PER_TARGET)
		return 0;
	return (double)max * targets / sum;
}

/**
 * tally_imbalance() - how unevenly a service's targets were given work
 * @runs: lines of all run logs
 * @n_runs: how many
 * @service: only this service's lines count
 * @log_of_service: by log, whether it belongs to a target of the service; a
 *	target that ran nothing counts too
 * @n_logs: how many logs
 * @n_windows: windows that had enough work
 *
 * Return: the mean of max over mean in windows of one second; 0 when no
 * window had enough work; negative -ENOMEM.
 */
double tally_imbalance(const struct run_record *runs, uint32_t n_runs,
		       const char *service, const uint8_t *log_of_service,
		       uint32_t n_logs, uint32_t *n_windows)
{
	uint64_t first_ms, last_ms;
	uint64_t windows;
	uint32_t *counts;
	double sum = 0;

	*n_windows = 0;
	if (!n_runs || !n_logs)
		return 0;
	clock_range(runs, n_runs, &first_ms, &last_ms);
	windows = (last_ms - first_ms) / WINDOW_MS + 1;
	counts = calloc(windows * n_logs, sizeof(*counts));
	if (!counts)
		return -ENOMEM;
	for (uint32_t i = 0; i < n_runs; i++) {
		uint64_t w = (runs[i].at_ms - first_ms) / WINDOW_MS;

		if (strcmp(runs[i].service, service) == 0)
			counts[w * n_logs + runs[i].log]++;
	}
	for (uint64_t w = 0; w < windows; w++) {
		double r = window_ratio(counts + w * n_logs, log_of_service,
					n_logs);

		*n_windows += r > 0;
		sum += r;
	}
	free(counts);
	return *n_windows ? sum / *n_windows : 0;
}
