/* Types that the parts of cbload share. */
#ifndef CB_LOAD_H
#define CB_LOAD_H

#include "tally.h"

#include <coap3/coap.h>
#include <glib.h>

#define MAX_FILES 64

/**
 * struct options - command line
 * @live, @ingest: addresses of the two services, ADDR_NONE leaves one out
 * @from_ip: callers are bound to this address and those after it
 * @callers: of each service, before one calls again
 * @rate: requests a second, all kinds but feeds
 * @mix: shares of @rate by kind
 * @wake_at_s: second at which every caller wakes, negative for never
 * @wake_factor: times the rate during that second
 * @timeout_ms: carried by each request: how long its caller waits
 * @run_logs, @run_log_services: run logs and the service named for each, or NULL
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

/* A request to be sent. */
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

/**
 * struct run_logs - what the targets wrote
 * @runs: struct run_record
 * @is_of_service: by service and log, whether the log is of that service
 * @n_logs: logs
 */
enum { LOG_LIVE, LOG_INGEST, N_LOG_SERVICES };
struct run_logs {
	GArray *runs;
	uint8_t is_of_service[N_LOG_SERVICES][MAX_FILES];
	uint32_t n_logs;
};
extern const char *const log_service_names[N_LOG_SERVICES];

int run_logs_read(const struct options *options, struct run_logs *out);

/**
 * struct peer_bytes - bytes that an entry sent to other entries
 * @answered: the entry answered
 * @control: messages of its own
 * @forwarded: callers' datagrams on their hop to the owner
 */
struct peer_bytes {
	bool answered;
	double control;
	double forwarded;
};

struct control_sample {
	struct peer_bytes entry[MAX_FILES];
};

/**
 * struct control_rate - the same a second, mean of @n_entries entries
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
 * struct report - everything that is printed at the end
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
