/*
 * Results of the requests of a test run: the records of the callers are
 * compared with the run logs of the targets, by id. Counters of the balancer
 * are not used.
 */
#ifndef CB_TALLY_H
#define CB_TALLY_H

#include "types.h"

enum call_kind {
	CALL_FEED,
	CALL_FORECAST,
	CALL_REPORT,
	CALL_READINGS,
	N_CALL_KINDS
};

/**
 * enum call_end - result of a request as its caller saw it
 * @CALL_OPEN: no result yet
 * @CALL_ANSWERED: final answer of a target
 * @CALL_REFUSED: refused, with the promise that it did not run
 * @CALL_UNKNOWN: error which says that it may have run
 * @CALL_LOST: no answer
 * @CALL_CUT: ended incomplete, or with another error
 */
enum call_end {
	CALL_OPEN,
	CALL_ANSWERED,
	CALL_REFUSED,
	CALL_UNKNOWN,
	CALL_LOST,
	CALL_CUT
};

#define SERVICE_MAX_BYTES 32

/**
 * struct call_record - record of one request by its caller
 * @id: unique id that the request carries
 * @sent_ns: time of its first transmission
 * @ended_ns: time of its final answer, or at which its caller gave up
 * @answer_id: id in the body of the answer; 0 when there is none
 * @answer_service: service in the body of the answer; "" when there is none
 * @kind: enum call_kind
 * @end: enum call_end
 * @mismatched: 1 when it got an answer for another id or service
 * @stalled: 1 for a feed without a notification for longer than allowed
 */
struct call_record {
	uint64_t id;
	uint64_t sent_ns;
	uint64_t ended_ns;
	uint64_t answer_id;
	char answer_service[SERVICE_MAX_BYTES];
	uint8_t kind;
	uint8_t end;
	uint8_t mismatched;
	uint8_t stalled;
};

/**
 * struct run_record - line of the run log of a target
 * @id: id of the request that the target ran
 * @at_ms: monotonic clock of the target
 * @service: service of the target
 * @target: name of the target
 * @log: index of the log that contains the line
 */
struct run_record {
	uint64_t id;
	uint64_t at_ms;
	char service[SERVICE_MAX_BYTES];
	char target[NAME_MAX_BYTES];
	uint32_t log;
};

/**
 * struct call_count - counts of requests of one kind
 * @requests: all requests
 * @answered: requests that were answered
 * @refused: requests that were refused as not run
 * @unknown: requests that ended with an error which says that they may have run
 * @lost: requests without a result
 * @cut: requests that ended incomplete, or with another error
 * @doubled: requests that ran more than once without being idempotent
 * @misrouted: requests that ran at another service, or got an answer of another
 *	request or service
 * @false_not_run: requests that were refused as not run, but ran
 * @broken: feeds that stalled or were cut; of other kinds, also requests that
 *	were lost, doubled, misrouted or refused although they ran
 */
struct call_count {
	uint64_t requests;
	uint64_t answered;
	uint64_t refused;
	uint64_t unknown;
	uint64_t lost;
	uint64_t cut;
	uint64_t doubled;
	uint64_t misrouted;
	uint64_t false_not_run;
	uint64_t broken;
};

/**
 * struct tally - result of a comparison
 * @kind: counts by enum call_kind
 * @sum: their sum, except that @sum.broken counts feeds only
 * @unknown_runs: lines of run logs with an id that no caller recorded
 */
struct tally {
	struct call_count kind[N_CALL_KINDS];
	struct call_count sum;
	uint64_t unknown_runs;
};

extern const char *const call_kind_names[N_CALL_KINDS];

const char *call_kind_service(enum call_kind kind);
int run_record_parse(const char *line, struct run_record *out);
int answer_parse(const char *body, size_t size_bytes, uint64_t *id,
		 char service[SERVICE_MAX_BYTES]);
int tally_compare(const struct call_record *calls, uint32_t n_calls,
		  const struct run_record *runs, uint32_t n_runs,
		  struct tally *out);
bool tally_is_clean(const struct tally *tally);
uint64_t tally_weighted_ventolario(const struct tally *tally);
uint64_t tally_weighted_tshwane(const struct tally *tally);
double tally_imbalance(const struct run_record *runs, uint32_t n_runs,
		       const char *service, const uint8_t *log_of_service,
		       uint32_t n_logs, uint32_t *n_windows);

#endif
