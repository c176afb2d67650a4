/* Computes and prints the figures at the end of a run. */
#include "load.h"

#include <gsl/gsl_histogram.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <inttypes.h>
#include <stdio.h>

/* Histogram of waits: upper bounds are FIRST_BOUND_MS times powers of two. */
#define BUCKETS 18
#define FIRST_BOUND_MS 0.25

static double wait_ms(const struct call_record *record)
{
	return (double)(record->ended_ns - record->sent_ns) / NS_PER_MS;
}

/* Waits of answered requests, ascending; feeds have no final answer. */
static GArray *sorted_waits(GArray *records)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint i = 0; i < records->len; i++) {
		const struct call_record *record =
			&g_array_index(records, struct call_record, i);
		double w = wait_ms(record);

		if (record->kind != CALL_FEED && record->end == CALL_ANSWERED)
			g_array_append_val(waits, w);
	}
	gsl_sort((double *)(void *)waits->data, 1, waits->len);
	return waits;
}

static double quantile(const GArray *waits, double q)
{
	if (!waits->len)
		return 0;
	return gsl_stats_quantile_from_sorted_data(
		(const double *)(const void *)waits->data, 1, waits->len, q);
}

/**
 * report_compute() - compute all figures of a run but the control rates
 * @options: unused
 * @records: struct call_record of every request
 * @logs: the targets' run logs
 * @out: receives the figures; its member control is left alone
 *
 * Return: 0 or -ENOMEM.
 */
int report_compute(const struct options *options, GArray *records,
		   const struct run_logs *logs, struct report *out)
{
	const struct run_record *runs = (const void *)logs->runs->data;
	GArray *waits;
	int err = tally_compare((const void *)records->data, records->len, runs,
				logs->runs->len, &out->tally);

	(void)options;
	if (err)
		return err;
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		out->imbalance[s] = tally_imbalance(
			runs, logs->runs->len, log_service_names[s],
			logs->is_of_service[s], logs->n_logs, &out->windows[s]);
	waits = sorted_waits(records);
	out->wait_p50_ms = quantile(waits, 0.50);
	out->wait_p99_ms = quantile(waits, 0.99);
	g_array_free(waits, TRUE);
	return 0;
}

static double worst_imbalance(const struct report *report)
{
	double worst = 0;

	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		if (report->imbalance[s] > worst)
			worst = report->imbalance[s];
	return worst;
}

static void print_row(const char *name, const struct call_count *count)
{
	printf("%-9s %8" PRIu64 " %8" PRIu64 " %7" PRIu64 " %7" PRIu64
	       " %5" PRIu64 " %5" PRIu64 " %7" PRIu64 " %9" PRIu64 " %13" PRIu64
	       " %6" PRIu64 "\n",
	       name, count->requests, count->answered, count->refused,
	       count->unknown, count->lost, count->cut, count->doubled,
	       count->misrouted, count->false_not_run, count->broken);
}

static void print_table(const struct report *report)
{
	printf("%-9s %8s %8s %7s %7s %5s %5s %7s %9s %13s %6s\n", "kind",
	       "requests", "answered", "refused", "unknown", "lost", "cut",
	       "doubled", "misrouted", "false_not_run", "broken");
	for (uint32_t k = 0; k < N_CALL_KINDS; k++)
		print_row(call_kind_names[k], &report->tally.kind[k]);
	print_row("all", &report->tally.sum);
	printf("broken of \"all\" is feeds\n");
	if (report->tally.strangers)
		printf("%" PRIu64 " lines of run logs are of other callers\n",
		       report->tally.strangers);
	printf("broken_weighted_ventolario %" PRIu64 "\n",
	       tally_weighted_ventolario(&report->tally));
	printf("broken_weighted_tshwane %" PRIu64 "\n",
	       tally_weighted_tshwane(&report->tally));
}

static void print_measures(const struct options *options,
			   const struct report *report)
{
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		printf("imbalance %-6s %.3f over %u windows\n",
		       log_service_names[s], report->imbalance[s],
		       report->windows[s]);
	printf("wait p50 %.2f ms, p99 %.2f ms\n", report->wait_p50_ms,
	       report->wait_p99_ms);
	if (!options->n_metrics_urls)
		printf("control bytes: no --metrics given\n");
	else
		printf("control %.0f bytes/s an entry, callers' datagrams "
		       "forwarded %.0f (%u of %u entries)\n",
		       report->control.bytes_per_s,
		       report->control.forwarded_per_s,
		       report->control.n_entries, options->n_metrics_urls);
}

static void set_bounds(gsl_histogram *h)
{
	double bounds[BUCKETS + 1] = { 0 };

	for (uint32_t b = 1; b <= BUCKETS; b++)
		bounds[b] = FIRST_BOUND_MS * (double)(1U << (b - 1));
	gsl_histogram_set_ranges(h, bounds, BUCKETS + 1);
}

static void print_histogram(GArray *records, uint8_t kind)
{
	gsl_histogram *h = gsl_histogram_alloc(BUCKETS);

	set_bounds(h);
	for (guint i = 0; i < records->len; i++) {
		const struct call_record *record =
			&g_array_index(records, struct call_record, i);

		if (record->kind == kind && record->end == CALL_ANSWERED)
			gsl_histogram_increment(h, wait_ms(record));
	}
	for (size_t b = 0; b < BUCKETS; b++)
		if (gsl_histogram_get(h, b) > 0)
			printf("%-9s < %9.2f ms %8.0f\n", call_kind_names[kind],
			       h->range[b + 1], gsl_histogram_get(h, b));
	gsl_histogram_free(h);
}

static void print_json(const struct report *report)
{
	const struct tally *tally = &report->tally;
	const struct call_count *sum = &tally->sum;

	printf("{\"requests\":%" PRIu64 ",\"answered\":%" PRIu64
	       ",\"refused\":%" PRIu64 ",\"unknown\":%" PRIu64
	       ",\"lost\":%" PRIu64 ",\"cut\":%" PRIu64 ",\"doubled\":%" PRIu64
	       ",\"misrouted\":%" PRIu64 ",\"false_not_run\":%" PRIu64
	       ",\"broken_flows\":%" PRIu64,
	       sum->requests, sum->answered, sum->refused, sum->unknown,
	       sum->lost, sum->cut, sum->doubled, sum->misrouted,
	       sum->false_not_run, sum->broken);
	printf(",\"imbalance\":%.3f,\"wait_p50_ms\":%.2f"
	       ",\"wait_p99_ms\":%.2f,\"control_bytes_per_s\":%.0f",
	       worst_imbalance(report), report->wait_p50_ms,
	       report->wait_p99_ms, report->control.bytes_per_s);
	printf(",\"broken_weighted_ventolario\":%" PRIu64
	       ",\"broken_weighted_tshwane\":%" PRIu64 "}\n",
	       tally_weighted_ventolario(tally), tally_weighted_tshwane(tally));
}

/**
 * report_print() - print the table and, on request, histograms and JSON
 * @options: options of the command line
 * @report: figures of the run
 * @records: struct call_record of every request
 */
void report_print(const struct options *options, const struct report *report,
		  GArray *records)
{
	print_table(report);
	print_measures(options, report);
	for (uint8_t k = 0; options->histogram && k < N_CALL_KINDS; k++)
		if (k != CALL_FEED)
			print_histogram(records, k);
	if (options->json)
		print_json(report);
}
