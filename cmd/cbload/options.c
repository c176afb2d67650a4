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

static int read_count(const struct arg_int *a, int low, uint32_t *out)
{
	if (a->ival[0] >= low) {
		*out = (uint32_t)a->ival[0];
		return 0;
	}
	fprintf(stderr, "cbload: --%s: expected %d or more\n", a->hdr.longopts,
		low);
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

/**
 * options_read() - read and check the command line
 * @argc, @argv: as main() got them
 * @o: filled
 *
 * Return: 0 to go on; 1 when help was printed; -EINVAL after every mistake
 * was printed.
 */
int options_read(int argc, char **argv, struct options *o)
{
	struct arg_str *live = arg_str0(NULL, "live", "VIP",
					"service of feeds, forecasts, reports");
	struct arg_str *ingest =
		arg_str0(NULL, "ingest", "VIP", "service of readings");
	struct arg_str *from =
		arg_str0(NULL, "from", "IP", "first of 200 caller addresses");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N", "load for");
	struct arg_int *feeds = arg_int0(NULL, "feeds", "N", "feeds held open");
	struct arg_int *callers = arg_int0(NULL, "callers", "N",
					   "callers of each service before one "
					   "calls again (200)");
	struct arg_dbl *rate =
		arg_dbl0(NULL, "rate", "X", "requests a second (Poisson)");
	struct arg_str *mix = arg_str0(NULL, "mix", "F:R:U",
				       "shares of forecasts, reports, "
				       "readings (" DEFAULT_MIX ")");
	struct arg_int *wake_at = arg_int0(NULL, "wake-at", "S",
					   "every caller wakes at second S");
	struct arg_dbl *wake = arg_dbl0(NULL, "wake-factor", "X",
					"with X seconds' worth of requests");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
	struct arg_int *ack = arg_int0(NULL, "ack-timeout-ms", "MS",
				       "first retransmission (2000)");
	struct arg_int *again =
		arg_int0(NULL, "max-retransmit", "N", "retransmissions (4)");
	struct arg_int *timeout = arg_int0(
		NULL, "timeout-ms", "MS", "timeout carried by requests (5000)");
	struct arg_int *gap = arg_int0(NULL, "feed-gap-ms", "MS",
				       "a feed silent for longer is broken "
				       "(3000)");
	struct arg_lit *back = arg_lit0(NULL, "come-back",
					"after 5.03, ask anew after Max-Age");
	struct arg_str *runs = arg_strn(NULL, "runs", "[SERVICE=]FILE", 0,
					MAX_FILES, "a target's run log");
	struct arg_str *metrics = arg_strn(NULL, "metrics", "URL", 0, MAX_FILES,
					   "an entry's /metrics");
	struct arg_str *ready = arg_str0(NULL, "wait-ready", "URL",
					 "only wait until it says ready");
	struct arg_lit *json = arg_lit0(NULL, "json", "end with a JSON line");
	struct arg_lit *histogram =
		arg_lit0(NULL, "histogram", "waits by kind");
	struct arg_lit *verbose =
		arg_lit0("v", "verbose", "name each bad request");
	struct arg_lit *help = arg_lit0("h", "help", "this help");
	struct arg_end *end = arg_end(20);
	void *table[] = { live,	 ingest,  from,	     seconds, feeds, callers,
			  rate,	 mix,	  wake_at,   wake,    seed,  ack,
			  again, timeout, gap,	     back,    runs,  metrics,
			  ready, json,	  histogram, verbose, help,  end };
	int mistakes, err = 0;

	if (arg_nullcheck(table))
		return -ENOMEM;
	from->sval[0] = "127.20.1.1";
	seconds->ival[0] = 10;
	feeds->ival[0] = 50;
	callers->ival[0] = 200;
	rate->dval[0] = 100;
	mix->sval[0] = DEFAULT_MIX;
	wake_at->ival[0] = -1;
	wake->dval[0] = 10;
	seed->ival[0] = 1;
	ack->ival[0] = 2000;
	again->ival[0] = 4;
	timeout->ival[0] = 5000;
	gap->ival[0] = 3000;
	mistakes = arg_parse(argc, argv, table);
	if (help->count) {
		print_help(table);
		return 1;
	}
	if (mistakes) {
		arg_print_errors(stderr, end, "cbload");
		return -EINVAL;
	}
	memset(o, 0, sizeof(*o));
	err |= read_addr(live, &o->live);
	err |= read_addr(ingest, &o->ingest);
	err |= read_from(from, &o->from_ip);
	err |= read_mix(mix, o->mix);
	err |= read_rate(rate, &o->rate);
	err |= read_rate(wake, &o->wake_factor);
	err |= read_count(seconds, 1, &o->seconds);
	err |= read_count(feeds, 0, &o->feeds);
	err |= read_count(callers, 1, &o->callers);
	err |= read_count(ack, 10, &o->ack_timeout_ms);
	err |= read_count(again, 0, &o->max_retransmit);
	err |= read_count(timeout, 1, &o->timeout_ms);
	err |= read_count(gap, 1, &o->feed_gap_ms);
	o->wake_at_s = wake_at->ival[0];
	o->seed = (uint64_t)seed->ival[0];
	o->come_back = back->count > 0;
	o->json = json->count > 0;
	o->histogram = histogram->count > 0;
	o->verbose = verbose->count > 0;
	o->wait_ready = ready->count ? ready->sval[0] : NULL;
	read_runs(runs, o);
	o->n_metrics = (uint32_t)metrics->count;
	for (int i = 0; i < metrics->count; i++)
		o->metrics[i] = metrics->sval[i];
	if (!err && !o->live && !o->ingest && !o->wait_ready) {
		fprintf(stderr, "cbload: expected --live or --ingest\n");
		err = -EINVAL;
	}
	return err ? -EINVAL : 0;
}
