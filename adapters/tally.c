/* Comparison of the records of callers with the run logs of targets. */
#include "tally.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_MS 1000
/*
 * A window counts when its runs would give each target this many on average:
 * with fewer, chance alone makes one target look busier than the others.
 */
#define WINDOW_RUNS_PER_TARGET 8

/**
 * struct kind_rule - how a kind of request is compared
 * @service: service that it is sent to
 * @idempotent: may run more than once
 * @ventolario_weight: weight of a broken request in the sum for Ventolario
 */
struct kind_rule {
	const char *service;
	bool idempotent;
	uint8_t ventolario_weight;
};

/* The weights name only the other three kinds; a forecast has none. */
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
 * call_kind_service() - service that a kind of request is sent to
 * @kind: kind of request
 *
 * Return: name of the service, a constant string.
 */
const char *call_kind_service(enum call_kind kind)
{
	return rules[kind].service;
}

/**
 * run_record_parse() - parse a line of a target's run log
 * @line: "run ID SERVICE PATH METHOD TARGET MONOTONIC_MS\n"
 * @out: set, except for @log
 *
 * Return: 0; -EPROTO for a line of another kind or one that is truncated.
 */
int run_record_parse(const char *line, struct run_record *out)
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
 * answer_parse() - parse the body of a target's answer
 * @body: "ID SERVICE TARGET SEQUENCE", not terminated; NULL when there is none
 * @size_bytes: size of the body
 * @id: set to the id of the request
 * @service: set to the name of the service
 *
 * Return: 0, or -EPROTO when the body is incomplete.
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

static int compare_ids(const void *a, const void *b)
{
	uint64_t x = (*(const struct run_record *const *)a)->id;
	uint64_t y = (*(const struct run_record *const *)b)->id;

	return x < y ? -1 : x > y;
}

/* Index of the first of the sorted @runs whose id is not below @id. */
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

static bool answer_mismatched(const struct call_record *call)
{
	if (call->mismatched)
		return true;
	if (call->answer_id && call->answer_id != call->id)
		return true;
	return call->answer_service[0] &&
	       strcmp(call->answer_service, rules[call->kind].service) != 0;
}

/*
 * Adds one request to the counts of its kind; @runs are the @n lines with its
 * id.
 */
static void count_call(const struct call_record *call,
		       const struct run_record *const *runs, uint32_t n,
		       struct call_count *count)
{
	bool misrouted = answer_mismatched(call);
	bool doubled = n > 1 && !rules[call->kind].idempotent;
	bool false_not_run = call->end == CALL_REFUSED && n > 0;
	bool broken;

	for (uint32_t i = 0; i < n; i++)
		if (strcmp(runs[i]->service, rules[call->kind].service) != 0)
			misrouted = true;
	count->requests++;
	count->answered += call->end == CALL_ANSWERED;
	count->refused += call->end == CALL_REFUSED;
	count->unknown += call->end == CALL_UNKNOWN;
	count->lost += call->end == CALL_LOST || call->end == CALL_OPEN;
	count->cut += call->end == CALL_CUT;
	count->doubled += doubled;
	count->misrouted += misrouted;
	count->false_not_run += false_not_run;
	broken = call->stalled || call->end == CALL_CUT;
	if (call->kind != CALL_FEED)
		broken |= doubled || misrouted || false_not_run ||
			  call->end == CALL_LOST || call->end == CALL_OPEN;
	count->broken += broken;
}

static void add_count(struct call_count *sum, const struct call_count *count)
{
	sum->requests += count->requests;
	sum->answered += count->answered;
	sum->refused += count->refused;
	sum->unknown += count->unknown;
	sum->lost += count->lost;
	sum->cut += count->cut;
	sum->doubled += count->doubled;
	sum->misrouted += count->misrouted;
	sum->false_not_run += count->false_not_run;
}

/**
 * tally_compare() - compare the records of callers with the runs of targets
 * @calls: records of the callers; each id occurs once
 * @n_calls: number of records
 * @runs: lines of all run logs
 * @n_runs: number of lines
 * @out: set to the counts
 *
 * Return: 0, or -ENOMEM.
 */
int tally_compare(const struct call_record *calls, uint32_t n_calls,
		  const struct run_record *runs, uint32_t n_runs,
		  struct tally *out)
{
	const struct run_record **sorted =
		malloc((n_runs + 1ULL) * sizeof(*sorted));
	uint64_t matched = 0;

	if (!sorted)
		return -ENOMEM;
	for (uint32_t i = 0; i < n_runs; i++)
		sorted[i] = &runs[i];
	qsort(sorted, n_runs, sizeof(*sorted), compare_ids);
	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < n_calls; i++) {
		uint64_t id = calls[i].id;
		uint32_t from = first_run(sorted, n_runs, id);
		uint32_t n = first_run(sorted, n_runs, id + 1) - from;

		count_call(&calls[i], sorted + from, n,
			   &out->kind[calls[i].kind]);
		matched += n;
	}
	for (uint32_t kind = 0; kind < N_CALL_KINDS; kind++)
		add_count(&out->sum, &out->kind[kind]);
	out->sum.broken = out->kind[CALL_FEED].broken;
	out->unknown_runs = n_runs - matched;
	free(sorted);
	return 0;
}

/**
 * tally_is_clean() - whether a run passed
 * @tally: result of the comparison
 *
 * Return: true when no request was lost, cut, doubled, misrouted, refused
 * although it ran, or broken.
 */
bool tally_is_clean(const struct tally *tally)
{
	const struct call_count *s = &tally->sum;

	return !(s->lost || s->cut || s->doubled || s->misrouted ||
		 s->false_not_run || s->broken);
}

/**
 * tally_weighted_ventolario() - broken flows with Ventolario's weights
 * @tally: result of the comparison
 *
 * Return: sum in which reports count twice, feeds and uploads once.
 */
uint64_t tally_weighted_ventolario(const struct tally *tally)
{
	uint64_t sum = 0;

	for (uint32_t kind = 0; kind < N_CALL_KINDS; kind++)
		sum += rules[kind].ventolario_weight * tally->kind[kind].broken;
	return sum;
}

/**
 * tally_weighted_tshwane() - broken flows for Tshwane
 * @tally: result of the comparison
 *
 * Return: number of broken pressure feeds, commands and uploads; no weights
 * between them are published.
 */
uint64_t tally_weighted_tshwane(const struct tally *tally)
{
	return tally->kind[CALL_FEED].broken + tally->kind[CALL_REPORT].broken +
	       tally->kind[CALL_READINGS].broken;
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

/* Maximum over mean of the counts of one window; 0 when it has too few runs. */
static double window_ratio(const uint32_t *counts,
			   const uint8_t *log_of_service, uint32_t n_logs)
{
	uint32_t targets = 0;
	uint32_t sum = 0;
	uint32_t max = 0;

	for (uint32_t log = 0; log < n_logs; log++) {
		if (!log_of_service[log])
			continue;
		targets++;
		sum += counts[log];
		if (counts[log] > max)
			max = counts[log];
	}
	if (!targets || sum < targets * WINDOW_RUNS_PER_TARGET)
		return 0;
	return (double)max * targets / sum;
}

/**
 * tally_imbalance() - imbalance of the runs between the targets of a service
 * @runs: lines of all run logs
 * @n_runs: number of lines
 * @service: name of the service; other lines are ignored
 * @log_of_service: by log, 1 when it belongs to a target of the service; a
 *	target without runs counts as well
 * @n_logs: number of logs
 * @n_windows: set to the number of windows with enough runs
 *
 * Return: maximum over mean in windows of one second, averaged; 0 when no
 * window has enough runs; -ENOMEM.
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
		double ratio = window_ratio(counts + w * n_logs, log_of_service,
					    n_logs);

		*n_windows += ratio > 0;
		sum += ratio;
	}
	free(counts);
	return *n_windows ? sum / *n_windows : 0;
}
