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
 * @runs, @runs_service: run logs and the service named for each, or NULL
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
	uint32_t n_runs;
	char *runs[MAX_FILES];
	char *runs_service[MAX_FILES];
	uint32_t n_metrics;
	const char *metrics[MAX_FILES];
};

/* A request to be sent. */
struct planned {
	uint64_t at_ns;
	uint8_t kind;
};

struct callers;

int options_read(int argc, char **argv, struct options *o);
void options_free(struct options *o);

GArray *plan_make(const struct options *o);

int callers_open(const struct options *o, struct callers **out);
int callers_fd(const struct callers *c);
void callers_process(struct callers *c, uint64_t now_ns);
void callers_send(struct callers *c, uint8_t kind, uint64_t now_ns);
void callers_no_more(struct callers *c);
uint32_t callers_waiting(const struct callers *c);
void callers_end_feeds(struct callers *c, uint64_t now_ns);
GArray *callers_records(struct callers *c);
void callers_close(struct callers *c);

/**
 * struct logs - what the targets wrote
 * @runs: struct run_record
 * @of_service: by service and log, whether the log is of that service
 * @n: logs
 */
enum { LOG_LIVE, LOG_INGEST, N_LOG_SERVICES };
struct logs {
	GArray *runs;
	uint8_t of_service[N_LOG_SERVICES][MAX_FILES];
	uint32_t n;
};
extern const char *const log_services[N_LOG_SERVICES];

int logs_read(const struct options *o, struct logs *out);

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

struct control {
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

void control_sample(const struct options *o, struct control *out);
void control_rate(const struct options *o, const struct control *begin,
		  const struct control *end, double seconds,
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

int report_make(const struct options *o, GArray *records,
		const struct logs *logs, struct report *out);
void report_print(const struct options *o, const struct report *r,
		  GArray *records);

#endif
