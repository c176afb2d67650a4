/* Command line of cbload. */
#include "load.h"
#include "settings.h"

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Shares of forecasts, reports and uploads unless --mix says otherwise. */
#define DEFAULT_MIX "4:4:2"
#define VERSION "0.1"
/*
 * coap_session_set_ack_timeout() ignores less than one second without a word:
 * callers would go on with its default of 2 s and be taken for lost too early.
 */
#define ACK_TIMEOUT_MIN_MS 1000

/**
 * struct table - argtable2's entries, in the order that --help has
 */
struct table {
	struct arg_str *live;
	struct arg_str *ingest;
	struct arg_str *from;
	struct arg_int *seconds;
	struct arg_int *feeds;
	struct arg_int *callers;
	struct arg_dbl *rate;
	struct arg_str *mix;
	struct arg_int *wake_at;
	struct arg_dbl *wake_factor;
	struct arg_int *seed;
	struct arg_int *ack_timeout;
	struct arg_int *max_retransmit;
	struct arg_int *timeout;
	struct arg_int *feed_gap;
	struct arg_lit *come_back;
	struct arg_str *runs;
	struct arg_str *metrics;
	struct arg_str *wait_ready;
	struct arg_lit *json;
	struct arg_lit *histogram;
	struct arg_lit *verbose;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

static void make_load(struct table *t)
{
	t->live = arg_str0(NULL, "live", "VIP",
			   "service of feeds, forecasts and reports");
	t->ingest = arg_str0(NULL, "ingest", "VIP", "service of readings");
	t->from = arg_str0(NULL, "from", "IP",
			   "first of 200 caller addresses (127.20.1.1)");
	t->seconds = arg_int0(NULL, "seconds", "N", "length of load (10)");
	t->feeds = arg_int0(NULL, "feeds", "N", "feeds held open (50)");
	t->callers = arg_int0(NULL, "callers", "N",
			      "callers of each service before one calls again "
			      "(200)");
	t->rate =
		arg_dbl0(NULL, "rate", "X", "requests a second, Poisson (100)");
	t->mix = arg_str0(NULL, "mix", "F:R:U",
			  "shares of forecasts, reports, readings "
			  "(" DEFAULT_MIX ")");
	t->wake_at = arg_int0(NULL, "wake-at", "S",
			      "devices wake together at second S");
	t->wake_factor = arg_dbl0(NULL, "wake-factor", "X",
				  "with X seconds' worth of requests (10)");
	t->seed = arg_int0(NULL, "seed", "N", "random seed (1)");
	t->ack_timeout = arg_int0(NULL, "ack-timeout-ms", "MS",
				  "wait for an acknowledgement (2000)");
	t->max_retransmit =
		arg_int0(NULL, "max-retransmit", "N", "retransmissions (4)");
	t->timeout = arg_int0(NULL, "timeout-ms", "MS",
			      "timeout that requests carry (5000)");
}

static void make_rest(struct table *t)
{
	t->feed_gap = arg_int0(NULL, "feed-gap-ms", "MS",
			       "a feed silent for longer is broken (3000)");
	t->come_back = arg_lit0(NULL, "come-back",
				"after 5.03, ask anew after Max-Age");
	t->runs = arg_strn(NULL, "runs", "[SERVICE=]FILE", 0, MAX_FILES,
			   "a target's run log");
	t->metrics = arg_strn(NULL, "metrics", "URL", 0, MAX_FILES,
			      "an entry's /metrics");
	t->wait_ready = arg_str0(NULL, "wait-ready", "URL",
				 "only wait until an entry's /status is ready");
	t->json = arg_lit0(NULL, "json", "end with a JSON line");
	t->histogram = arg_lit0(NULL, "histogram", "waits by kind");
	t->verbose = arg_lit0("v", "verbose", "name each bad request");
	t->help = arg_lit0("h", "help", "this help");
	t->version = arg_lit0(NULL, "version", "version");
	t->end = arg_end(20);
}

static void set_defaults(struct table *t)
{
	t->from->sval[0] = "127.20.1.1";
	t->seconds->ival[0] = 10;
	t->feeds->ival[0] = 50;
	t->callers->ival[0] = 200;
	t->rate->dval[0] = 100;
	t->mix->sval[0] = DEFAULT_MIX;
	t->wake_at->ival[0] = -1;
	t->wake_factor->dval[0] = 10;
	t->seed->ival[0] = 1;
	t->ack_timeout->ival[0] = 2000;
	t->max_retransmit->ival[0] = 4;
	t->timeout->ival[0] = 5000;
	t->feed_gap->ival[0] = 3000;
}

static int read_addr(const struct arg_str *a, uint64_t *out)
{
	if (!a->count)
		return 0;
	if (addr_parse(a->sval[0], out) == 0)
		return 0;
	fprintf(stderr, "cbload: --%s: \"%s\" is no ADDRESS:PORT\n",
		a->hdr.longopts, a->sval[0]);
	return -EINVAL;
}

static int read_from(const struct arg_str *a, uint32_t *ip)
{
	char text[64];
	uint64_t addr;

	snprintf(text, sizeof(text), "%s:1", a->sval[0]);
	if (addr_parse(text, &addr) == 0 && ADDR_IP(addr) >> 24 == 127) {
		*ip = ADDR_IP(addr);
		return 0;
	}
	fprintf(stderr, "cbload: --from: \"%s\" is not in 127.0.0.0/8\n",
		a->sval[0]);
	return -EINVAL;
}

static int read_mix(const struct arg_str *a, double *mix)
{
	double *forecast = &mix[CALL_FORECAST];
	double *report = &mix[CALL_REPORT];
	double *readings = &mix[CALL_READINGS];

	if (sscanf(a->sval[0], "%lf:%lf:%lf", forecast, report, readings) ==
		    3 &&
	    *forecast >= 0 && *report >= 0 && *readings >= 0 &&
	    *forecast + *report + *readings > 0)
		return 0;
	fprintf(stderr,
		"cbload: --mix: \"%s\" is not "
		"FORECASTS:REPORTS:READINGS\n",
		a->sval[0]);
	return -EINVAL;
}

static int read_count(const struct arg_int *a, int low, int high, uint32_t *out)
{
	if (a->ival[0] >= low && a->ival[0] <= high) {
		*out = (uint32_t)a->ival[0];
		return 0;
	}
	fprintf(stderr, "cbload: --%s: expected %d to %d\n", a->hdr.longopts,
		low, high);
	return -EINVAL;
}

static int read_rate(const struct arg_dbl *a, double *out)
{
	if (a->dval[0] >= 0) {
		*out = a->dval[0];
		return 0;
	}
	fprintf(stderr, "cbload: --%s: expected 0 or more\n", a->hdr.longopts);
	return -EINVAL;
}

static void read_runs(const struct arg_str *a, struct options *o)
{
	for (int i = 0; i < a->count; i++) {
		char *text = strdup(a->sval[i]);
		char *file = strchr(text, '=');

		if (file)
			*file++ = '\0';
		o->runs[i] = file ? file : text;
		o->runs_service[i] = file ? text : NULL;
	}
	o->n_runs = (uint32_t)a->count;
}

static int read_counts(const struct table *t, struct options *o)
{
	const struct {
		const struct arg_int *arg;
		int low, high;
		uint32_t *out;
	} counts[] = {
		{ t->seconds, 1, 86400, &o->seconds },
		{ t->feeds, 0, 100000, &o->feeds },
		{ t->callers, 1, 100000, &o->callers },
		{ t->ack_timeout, ACK_TIMEOUT_MIN_MS, 60000,
		  &o->ack_timeout_ms },
		{ t->max_retransmit, 0, 10, &o->max_retransmit },
		{ t->timeout, 1, 600000, &o->timeout_ms },
		{ t->feed_gap, 1, 600000, &o->feed_gap_ms },
	};
	int err = 0;

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++)
		err |= read_count(counts[i].arg, counts[i].low, counts[i].high,
				  counts[i].out);
	return err;
}

static int read_table(const struct table *t, struct options *o)
{
	int err = 0;

	err |= read_addr(t->live, &o->live);
	err |= read_addr(t->ingest, &o->ingest);
	err |= read_from(t->from, &o->from_ip);
	err |= read_mix(t->mix, o->mix);
	err |= read_rate(t->rate, &o->rate);
	err |= read_rate(t->wake_factor, &o->wake_factor);
	err |= read_counts(t, o);
	o->wake_at_s = t->wake_at->ival[0];
	o->seed = (uint64_t)t->seed->ival[0];
	o->come_back = t->come_back->count > 0;
	o->json = t->json->count > 0;
	o->histogram = t->histogram->count > 0;
	o->verbose = t->verbose->count > 0;
	if (t->wait_ready->count)
		o->wait_ready = t->wait_ready->sval[0];
	read_runs(t->runs, o);
	o->n_metrics = (uint32_t)t->metrics->count;
	for (uint32_t i = 0; i < o->n_metrics; i++)
		o->metrics[i] = t->metrics->sval[i];
	if (!t->live->count && !t->ingest->count && !o->wait_ready) {
		fprintf(stderr, "cbload: expected --live or --ingest\n");
		err = -EINVAL;
	}
	return err ? -EINVAL : 0;
}

static void print_help(void **table)
{
	printf("Usage: cbload");
	arg_print_syntax(stdout, table, "\n");
	printf("Load of callers on libcoap sessions; counts from the ids that "
	       "callers and targets wrote down.\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("Exit: 0 nothing lost, cut, doubled, misrouted, falsely "
	       "refused or broken; 1 something was; 2 bad usage.\n");
}

static int parse(int argc, char **argv, struct table *t, struct options *o)
{
	int mistakes;

	if (arg_nullcheck((void **)t))
		return -ENOMEM;
	set_defaults(t);
	mistakes = arg_parse(argc, argv, (void **)t);
	if (t->help->count) {
		print_help((void **)t);
		return 1;
	}
	if (t->version->count) {
		printf("cbload " VERSION "\n");
		return 1;
	}
	if (mistakes) {
		arg_print_errors(stderr, t->end, "cbload");
		return -EINVAL;
	}
	return read_table(t, o);
}

/**
 * options_read() - read and check the command line
 * @argc, @argv: as main() got them
 * @o: filled; to be freed with options_free() in any case
 *
 * Return: 0 to go on; 1 when help or version was printed; -EINVAL after
 * every mistake was printed; -ENOMEM.
 */
int options_read(int argc, char **argv, struct options *o)
{
	struct table t;
	int err;

	memset(o, 0, sizeof(*o));
	make_load(&t);
	make_rest(&t);
	err = parse(argc, argv, &t, o);
	arg_freetable((void **)&t, sizeof(t) / sizeof(void *));
	return err;
}

/**
 * options_free() - free what options_read() kept
 * @o: command line
 */
void options_free(struct options *o)
{
	for (uint32_t i = 0; i < o->n_runs; i++)
		free(o->runs_service[i] ? o->runs_service[i] : o->runs[i]);
	o->n_runs = 0;
}
