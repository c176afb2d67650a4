/* The table and the JSON line at the end of a run. */
#include "load.h"

#include <gsl/gsl_histogram.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <inttypes.h>
#include <stdio.h>

/* Histogram of waits: powers of two from 1/4 ms. */
#define BUCKETS 18
#define FIRST_BOUND_MS 0.25

static double wait_ms(const struct call_record *r)
{
	return (double)(r->ended_ns - r->sent_ns) / NS_PER_MS;
}

/* Waits of answered requests, in order; a feed has no end to wait for. */
static GArray *sorted_waits(GArray *records)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint i = 0; i < records->len; i++) {
		const struct call_record *r =
			&g_array_index(records, struct call_record, i);
		double w = wait_ms(r);

		if (r->kind != CALL_FEED && r->end == CALL_ANSWERED)
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
 * report_make() - work out every figure
 * @o: command line
 * @records: struct call_record
 * @logs: the targets' run logs
 * @out: filled, but for the control figures
 *
 * Return: 0 or -ENOMEM.
 */
int report_make(const struct options *o, GArray *records,
		const struct logs *logs, struct report *out)
{
	const struct run_record *runs = (const void *)logs->runs->data;
	GArray *waits;
	int err = tally_compare((const void *)records->data, records->len, runs,
				logs->runs->len, &out->tally);

	(void)o;
	if (err)
		return err;
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		out->imbalance[s] =
			tally_imbalance(runs, logs->runs->len, log_services[s],
					logs->of_service[s], logs->n,
					&out->windows[s]);
	waits = sorted_waits(records);
	out->wait_p50_ms = quantile(waits, 0.50);
	out->wait_p99_ms = quantile(waits, 0.99);
	g_array_free(waits, TRUE);
	return 0;
}

static double worst_imbalance(const struct report *r)
{
	double worst = 0;

	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		if (r->imbalance[s] > worst)
			worst = r->imbalance[s];
	return worst;
}

static void print_row(const char *name, const struct call_count *c)
{
	printf("%-9s %8" PRIu64 " %8" PRIu64 " %7" PRIu64 " %7" PRIu64
	       " %5" PRIu64 " %5" PRIu64 " %7" PRIu64 " %9" PRIu64 " %13" PRIu64
	       " %6" PRIu64 "\n",
	       name, c->requests, c->answered, c->refused, c->unknown, c->lost,
	       c->cut, c->doubled, c->misrouted, c->false_not_run, c->broken);
}

static void print_table(const struct report *r)
{
	printf("%-9s %8s %8s %7s %7s %5s %5s %7s %9s %13s %6s\n", "kind",
	       "requests", "answered", "refused", "unknown", "lost", "cut",
	       "doubled", "misrouted", "false_not_run", "broken");
	for (uint32_t k = 0; k < N_CALL_KINDS; k++)
		print_row(call_kind_names[k], &r->tally.kind[k]);
	print_row("all", &r->tally.sum);
	printf("broken of \"all\" is feeds\n");
	if (r->tally.unknown_runs)
		printf("%" PRIu64 " lines of run logs are of other callers\n",
		       r->tally.unknown_runs);
	printf("broken_weighted_ventolario %" PRIu64 "\n",
	       tally_weighted_ventolario(&r->tally));
	printf("broken_weighted_tshwane %" PRIu64 "\n",
	       tally_weighted_tshwane(&r->tally));
}

static void print_measures(const struct options *o, const struct report *r)
{
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		printf("imbalance %-6s %.3f over %u windows\n", log_services[s],
		       r->imbalance[s], r->windows[s]);
	printf("wait p50 %.2f ms, p99 %.2f ms\n", r->wait_p50_ms,
	       r->wait_p99_ms);
	if (!o->n_metrics)
		printf("control bytes: no --metrics given\n");
	else
		printf("control %.0f bytes/s an entry, callers' datagrams "
		       "forwarded %.0f (%u of %u entries)\n",
		       r->control.bytes_per_s, r->control.forwarded_per_s,
		       r->control.n_entries, o->n_metrics);
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
		const struct call_record *r =
			&g_array_index(records, struct call_record, i);

		if (r->kind == kind && r->end == CALL_ANSWERED)
			gsl_histogram_increment(h, wait_ms(r));
	}
	for (size_t b = 0; b < BUCKETS; b++)
		if (gsl_histogram_get(h, b) > 0)
			printf("%-9s < %9.2f ms %8.0f\n", call_kind_names[kind],
			       h->range[b + 1], gsl_histogram_get(h, b));
	gsl_histogram_free(h);
}

static void print_json(const struct report *r)
{
	const struct tally *t = &r->tally;
	const struct call_count *s = &t->sum;

	printf("{\"requests\":%" PRIu64 ",\"answered\":%" PRIu64
	       ",\"refused\":%" PRIu64 ",\"unknown\":%" PRIu64
	       ",\"lost\":%" PRIu64 ",\"cut\":%" PRIu64 ",\"doubled\":%" PRIu64
	       ",\"misrouted\":%" PRIu64 ",\"false_not_run\":%" PRIu64
	       ",\"broken_flows\":%" PRIu64,
	       s->requests, s->answered, s->refused, s->unknown, s->lost,
	       s->cut, s->doubled, s->misrouted, s->false_not_run, s->broken);
	printf(",\"imbalance\":%.3f,\"wait_p50_ms\":%.2f"
	       ",\"wait_p99_ms\":%.2f,\"control_bytes_per_s\":%.0f",
	       worst_imbalance(r), r->wait_p50_ms, r->wait_p99_ms,
	       r->control.bytes_per_s);
	printf(",\"broken_weighted_ventolario\":%" PRIu64
	       ",\"broken_weighted_tshwane\":%" PRIu64 "}\n",
	       tally_weighted_ventolario(t), tally_weighted_tshwane(t));
}

/**
 * report_print() - print the table and, if asked, histograms and JSON
 * @o: command line
 * @r: figures
 * @records: struct call_record
 */
void report_print(const struct options *o, const struct report *r,
		  GArray *records)
{
	print_table(r);
	print_measures(o, r);
	for (uint8_t k = 0; o->histogram && k < N_CALL_KINDS; k++)
		if (k != CALL_FEED)
			print_histogram(records, k);
	if (o->json)
		print_json(r);
}
