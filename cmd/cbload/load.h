/*
 * cbload: a load generator for CoAP callers. Shared types: options, plan of
 * arrivals, callers, run logs of targets, report.
 */
#ifndef CB_LOAD_H
#define CB_LOAD_H

#include "tally.h"

#include <coap3/coap.h>
#include <glib.h>

/* Most run logs, and most entries whose counters are read. */
#define MAX_FILES 64

/**
 * struct options - options of the command line
 * @live: VIP of feeds, forecasts and reports; ADDR_NONE sends none of them
 * @ingest: VIP of readings; ADDR_NONE sends none
 * @from_ip: first of the source addresses that callers are bound to, host
 *	byte order
 * @seconds: length of the load
 * @feeds: feeds that are opened
 * @callers: callers of each service before an idle one is used again
 * @rate: mean requests per second, feeds excluded
 * @mix: relative shares of @rate by kind
 * @wake_at_s: second of the load spike, negative for none
 * @wake_factor: requests of the load spike, in seconds of @rate
 * @seed: seed of the arrivals and of the requests' ids
 * @ack_timeout_ms: ACK_TIMEOUT of RFC 7252
 * @max_retransmit: MAX_RETRANSMIT of RFC 7252
 * @timeout_ms: timeout option of each request: time that its caller waits
 * @feed_gap_ms: time without an update after which a feed counts as stalled
 * @come_back: repeat a refused or cut request, by default after its Max-Age
 * @json: print a JSON line at the end
 * @histogram: print histograms of the waits
 * @verbose: print each request that is lost or cut, and each stalled feed
 * @wait_ready: /status URL of an entry: only wait until it is ready; or NULL
 * @n_run_logs: entries of @run_logs and @run_log_services in use
 * @run_logs: paths of the targets' run logs
 * @run_log_services: service given for each run log, or NULL; if set, the path
 *	is part of the same allocation
 * @n_metrics_urls: entries of @metrics_urls in use
 * @metrics_urls: /metrics URL of each entry; owned by argv
 */
struct options {
	uint64_t live;
	uint64_t ingest;
	uint32_t from_ip;
	uint32_t seconds;
	uint32_t feeds;
	uint32_t callers;
	double rate;
	double mix[N_CALL_KINDS];
	int32_t wake_at_s;
	double wake_factor;
	uint64_t seed;
	uint32_t ack_timeout_ms;
	uint32_t max_retransmit;
	uint32_t timeout_ms;
	uint32_t feed_gap_ms;
	bool come_back;
	bool json;
	bool histogram;
	bool verbose;
	const char *wait_ready;
	uint32_t n_run_logs;
	char *run_logs[MAX_FILES];
	char *run_log_services[MAX_FILES];
	uint32_t n_metrics_urls;
	const char *metrics_urls[MAX_FILES];
};

/**
 * struct arrival - a request to be sent
 * @at_ns: time since the start of the run
 * @kind: enum call_kind
 */
struct arrival {
	uint64_t at_ns;
	uint8_t kind;
};

struct callers;

int options_read(int argc, char **argv, struct options *options);
void options_free(struct options *options);

GArray *plan_arrivals(const struct options *options);

int callers_open(const struct options *options, struct callers **out);
int callers_fd(const struct callers *callers);
void callers_process(struct callers *callers, uint64_t now_ns);
void callers_send(struct callers *callers, uint8_t kind, uint64_t now_ns);
void callers_stop_retries(struct callers *callers);
uint32_t callers_unanswered(const struct callers *callers);
void callers_close_feeds(struct callers *callers, uint64_t now_ns);
GArray *callers_records(struct callers *callers);
void callers_close(struct callers *callers);

/* Services that cbload calls, and whose targets write run logs. */
enum { LOG_LIVE, LOG_INGEST, N_LOG_SERVICES };

/**
 * struct run_logs - contents of the targets' run logs
 * @runs: struct run_record of all logs; owned
 * @is_of_service: by service and log: 1 if the log is of that service
 * @n_logs: number of logs
 */
struct run_logs {
	GArray *runs;
	uint8_t is_of_service[N_LOG_SERVICES][MAX_FILES];
	uint32_t n_logs;
};
extern const char *const log_service_names[N_LOG_SERVICES];

int run_logs_read(const struct options *options, struct run_logs *out);

/**
 * struct peer_bytes - bytes that an entry has sent to other entries
 * @answered: the entry's counters could be read
 * @control: bytes of control messages
 * @forwarded: bytes of callers' datagrams forwarded to the flow's owner
 */
struct peer_bytes {
	bool answered;
	double control;
	double forwarded;
};

/**
 * struct control_sample - counters of every entry at one time
 * @entry: by index in metrics_urls of struct options
 */
struct control_sample {
	struct peer_bytes entry[MAX_FILES];
};

/**
 * struct control_rate - mean bytes per second that an entry sent to its peers
 * @bytes_per_s: control messages
 * @forwarded_per_s: forwarded datagrams of callers
 * @n_entries: entries that the mean is taken over; 0 leaves the rates 0
 */
struct control_rate {
	double bytes_per_s;
	double forwarded_per_s;
	uint32_t n_entries;
};

void control_sample_read(const struct options *options,
			 struct control_sample *out);
void control_rate_compute(const struct options *options,
			  const struct control_sample *begin,
			  const struct control_sample *end, double seconds,
			  struct control_rate *out);
int wait_ready(const char *url);

/**
 * struct report - figures that are printed at the end
 * @tally: callers' records compared with the targets' run logs
 * @imbalance: by service, as tally_imbalance()
 * @windows: by service, windows that the imbalance is taken over
 * @wait_p50_ms: median wait of answered requests, feeds excluded
 * @wait_p99_ms: 99th percentile of the same waits
 * @control: traffic between entries
 */
struct report {
	struct tally tally;
	double imbalance[N_LOG_SERVICES];
	uint32_t windows[N_LOG_SERVICES];
	double wait_p50_ms;
	double wait_p99_ms;
	struct control_rate control;
};

int report_compute(const struct options *options, GArray *records,
		   const struct run_logs *logs, struct report *out);
void report_print(const struct options *options, const struct report *report,
		  GArray *records);

#endif
