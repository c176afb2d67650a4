/* Command line of cbload. */
#include "load.h"
#include "settings.h"

#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Default of --mix: forecasts, reports, readings. */
#define DEFAULT_MIX "4:4:2"
#define VERSION "0.1"
/*
 * coap_session_set_ack_timeout() silently ignores values below one second:
 * callers would keep its default of 2 s, and requests would count as lost
 * before their last retransmission.
 */
#define ACK_TIMEOUT_MIN_MS 1000

/**
 * struct option_table - argtable2's entries, in the order of --help
 */
struct option_table {
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

static void add_load_options(struct option_table *table)
{
	table->live = arg_str0(NULL, "live", "VIP",
			       "service of feeds, forecasts and reports");
	table->ingest = arg_str0(NULL, "ingest", "VIP", "service of readings");
	table->from = arg_str0(NULL, "from", "IP",
			       "first of 200 caller addresses (127.20.1.1)");
	table->seconds = arg_int0(NULL, "seconds", "N", "length of load (10)");
	table->feeds = arg_int0(NULL, "feeds", "N", "feeds held open (50)");
	table->callers =
		arg_int0(NULL, "callers", "N",
			 "callers of each service before one calls again "
			 "(200)");
	table->rate =
		arg_dbl0(NULL, "rate", "X", "requests a second, Poisson (100)");
	table->mix = arg_str0(NULL, "mix", "F:R:U",
			      "shares of forecasts, reports, readings "
			      "(" DEFAULT_MIX ")");
	table->wake_at = arg_int0(NULL, "wake-at", "S",
				  "devices wake together at second S");
	table->wake_factor = arg_dbl0(NULL, "wake-factor", "X",
				      "with X seconds' worth of requests (10)");
	table->seed = arg_int0(NULL, "seed", "N", "random seed (1)");
	table->ack_timeout = arg_int0(NULL, "ack-timeout-ms", "MS",
				      "wait for an acknowledgement (2000)");
	table->max_retransmit =
		arg_int0(NULL, "max-retransmit", "N", "retransmissions (4)");
	table->timeout = arg_int0(NULL, "timeout-ms", "MS",
				  "timeout that requests carry (5000)");
}

static void add_other_options(struct option_table *table)
{
	table->feed_gap = arg_int0(NULL, "feed-gap-ms", "MS",
				   "a feed silent for longer is broken (3000)");
	table->come_back = arg_lit0(NULL, "come-back",
				    "after 5.03, ask anew after Max-Age");
	table->runs = arg_strn(NULL, "runs", "[SERVICE=]FILE", 0, MAX_FILES,
			       "a target's run log");
	table->metrics = arg_strn(NULL, "metrics", "URL", 0, MAX_FILES,
				  "an entry's /metrics");
	table->wait_ready =
		arg_str0(NULL, "wait-ready", "URL",
			 "only wait until an entry's /status is ready");
	table->json = arg_lit0(NULL, "json", "end with a JSON line");
	table->histogram = arg_lit0(NULL, "histogram", "waits by kind");
	table->verbose = arg_lit0("v", "verbose", "name each bad request");
	table->help = arg_lit0("h", "help", "this help");
	table->version = arg_lit0(NULL, "version", "version");
	table->end = arg_end(20);
}

static void set_defaults(struct option_table *table)
{
	table->from->sval[0] = "127.20.1.1";
	table->seconds->ival[0] = 10;
	table->feeds->ival[0] = 50;
	table->callers->ival[0] = 200;
	table->rate->dval[0] = 100;
	table->mix->sval[0] = DEFAULT_MIX;
	table->wake_at->ival[0] = -1;
	table->wake_factor->dval[0] = 10;
	table->seed->ival[0] = 1;
	table->ack_timeout->ival[0] = 2000;
	table->max_retransmit->ival[0] = 4;
	table->timeout->ival[0] = 5000;
	table->feed_gap->ival[0] = 3000;
}

static int read_address(const struct arg_str *option, uint64_t *out)
{
	if (!option->count)
		return 0;
	if (addr_parse(option->sval[0], out) == 0)
		return 0;
	fprintf(stderr, "cbload: --%s: \"%s\" is no ADDRESS:PORT\n",
		option->hdr.longopts, option->sval[0]);
	return -EINVAL;
}

static int read_first_address(const struct arg_str *option, uint32_t *ip)
{
	char text[64];
	uint64_t addr;

	snprintf(text, sizeof(text), "%s:1", option->sval[0]);
	if (addr_parse(text, &addr) == 0 && ADDR_IP(addr) >> 24 == 127) {
		*ip = ADDR_IP(addr);
		return 0;
	}
	fprintf(stderr, "cbload: --from: \"%s\" is not in 127.0.0.0/8\n",
		option->sval[0]);
	return -EINVAL;
}

static int read_mix(const struct arg_str *option, double *mix)
{
	double *forecast = &mix[CALL_FORECAST];
	double *report = &mix[CALL_REPORT];
	double *readings = &mix[CALL_READINGS];

	if (sscanf(option->sval[0], "%lf:%lf:%lf", forecast, report,
		   readings) == 3 &&
	    *forecast >= 0 && *report >= 0 && *readings >= 0 &&
	    *forecast + *report + *readings > 0)
		return 0;
	fprintf(stderr,
		"cbload: --mix: \"%s\" is not "
		"FORECASTS:REPORTS:READINGS\n",
		option->sval[0]);
	return -EINVAL;
}

static int read_count(const struct arg_int *option, int low, int high,
		      uint32_t *out)
{
	if (option->ival[0] >= low && option->ival[0] <= high) {
		*out = (uint32_t)option->ival[0];
		return 0;
	}
	fprintf(stderr, "cbload: --%s: expected %d to %d\n",
		option->hdr.longopts, low, high);
	return -EINVAL;
}

static int read_rate(const struct arg_dbl *option, double *out)
{
	if (option->dval[0] >= 0) {
		*out = option->dval[0];
		return 0;
	}
	fprintf(stderr, "cbload: --%s: expected 0 or more\n",
		option->hdr.longopts);
	return -EINVAL;
}

static void read_run_logs(const struct arg_str *option, struct options *options)
{
	for (int i = 0; i < option->count; i++) {
		char *text = strdup(option->sval[i]);
		char *file = strchr(text, '=');

		if (file)
			*file++ = '\0';
		options->run_logs[i] = file ? file : text;
		options->run_log_services[i] = file ? text : NULL;
	}
	options->n_run_logs = (uint32_t)option->count;
}

static int read_counts(const struct option_table *table,
		       struct options *options)
{
	const struct {
		const struct arg_int *arg;
		int low, high;
		uint32_t *out;
	} counts[] = {
		{ table->seconds, 1, 86400, &options->seconds },
		{ table->feeds, 0, 100000, &options->feeds },
		{ table->callers, 1, 100000, &options->callers },
		{ table->ack_timeout, ACK_TIMEOUT_MIN_MS, 60000,
		  &options->ack_timeout_ms },
		{ table->max_retransmit, 0, 10, &options->max_retransmit },
		{ table->timeout, 1, 600000, &options->timeout_ms },
		{ table->feed_gap, 1, 600000, &options->feed_gap_ms },
	};
	int err = 0;

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++)
		err |= read_count(counts[i].arg, counts[i].low, counts[i].high,
				  counts[i].out);
	return err;
}

static int read_table(const struct option_table *table, struct options *options)
{
	int err = 0;

	err |= read_address(table->live, &options->live);
	err |= read_address(table->ingest, &options->ingest);
	err |= read_first_address(table->from, &options->from_ip);
	err |= read_mix(table->mix, options->mix);
	err |= read_rate(table->rate, &options->rate);
	err |= read_rate(table->wake_factor, &options->wake_factor);
	err |= read_counts(table, options);
	options->wake_at_s = table->wake_at->ival[0];
	options->seed = (uint64_t)table->seed->ival[0];
	options->come_back = table->come_back->count > 0;
	options->json = table->json->count > 0;
	options->histogram = table->histogram->count > 0;
	options->verbose = table->verbose->count > 0;
	if (table->wait_ready->count)
		options->wait_ready = table->wait_ready->sval[0];
	read_run_logs(table->runs, options);
	options->n_metrics_urls = (uint32_t)table->metrics->count;
	for (uint32_t i = 0; i < options->n_metrics_urls; i++)
		options->metrics_urls[i] = table->metrics->sval[i];
	if (!table->live->count && !table->ingest->count &&
	    !options->wait_ready) {
		fprintf(stderr, "cbload: expected --live or --ingest\n");
		err = -EINVAL;
	}
	return err ? -EINVAL : 0;
}

static void print_help(void **table)
{
	printf("Usage: cbload");
	arg_print_syntax(stdout, table, "\n");
	printf("Load generator on libcoap sessions; counts by the ids that "
	       "callers and targets recorded.\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("Exit: 0 nothing lost, cut, doubled, misrouted, falsely "
	       "refused or broken; 1 something was; 2 bad usage.\n");
}

static int parse(int argc, char **argv, struct option_table *table,
		 struct options *options)
{
	int mistakes;

	if (arg_nullcheck((void **)table))
		return -ENOMEM;
	set_defaults(table);
	mistakes = arg_parse(argc, argv, (void **)table);
	if (table->help->count) {
		print_help((void **)table);
		return 1;
	}
	if (table->version->count) {
		printf("cbload " VERSION "\n");
		return 1;
	}
	if (mistakes) {
		arg_print_errors(stderr, table->end, "cbload");
		return -EINVAL;
	}
	return read_table(table, options);
}

/**
 * options_read() - parse and check the command line
 * @argc: of main()
 * @argv: of main(); @options refers to its strings
 * @options: receives the options; to be freed with options_free() in any case
 *
 * Return: 0 to go on; 1 when help or version was printed; -EINVAL after
 * all mistakes were printed; -ENOMEM.
 */
int options_read(int argc, char **argv, struct options *options)
{
	struct option_table table;
	int err;

	memset(options, 0, sizeof(*options));
	add_load_options(&table);
	add_other_options(&table);
	err = parse(argc, argv, &table, options);
	arg_freetable((void **)&table, sizeof(table) / sizeof(void *));
	return err;
}

/**
 * options_free() - free the strings that options_read() allocated
 * @options: options; the structure itself belongs to the caller
 */
void options_free(struct options *options)
{
	for (uint32_t i = 0; i < options->n_run_logs; i++)
		free(options->run_log_services[i] ? options->run_log_services[i]
						  : options->run_logs[i]);
	options->n_run_logs = 0;
}
