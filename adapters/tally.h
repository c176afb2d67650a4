/*
 * What became of the requests of a run: the callers' records compared with
 * the targets' run logs, by id. No balancer's counter is used.
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

/* How a request ended, as its caller saw it. */
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
 * struct call_record - one request, written by its caller
 * @id: unique id that the request carried
 * @sent_ns: when it was first sent
 * @ended_ns: when its final answer came, or its caller gave up
 * @answer_id: id in the answer's body, 0 when the answer named none
 * @answer_service: service in the answer's body, empty when it named none
 * @kind: enum call_kind
 * @end: enum call_end
 * @crossed: an answer with another id or service came for it
 * @stalled: a feed that had no update for longer than the gap allowed
 */
struct call_record {
	uint64_t id;
	uint64_t sent_ns;
	uint64_t ended_ns;
	uint64_t answer_id;
	char answer_service[SERVICE_MAX_BYTES];
	uint8_t kind;
	uint8_t end;
	uint8_t crossed;
	uint8_t stalled;
};

/**
 * struct run_record - one line of a target's run log
 * @id: id of the request that the target ran
 * @at_ms: the target's monotonic clock
 * @service: service that the target serves
 * @target: the target's name
 * @log: index of the log that the line stood in
 */
struct run_record {
	uint64_t id;
	uint64_t at_ms;
	char service[SERVICE_MAX_BYTES];
	char target[NAME_MAX_BYTES];
	uint32_t log;
};

/**
 * struct call_count - counts of the requests of one kind
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
 * @kind: counts by kind
 * @sum: their sum; @sum.broken counts feeds only
 * @strangers: lines of run logs whose id no caller wrote down
 */
struct tally {
	struct call_count kind[N_CALL_KINDS];
	struct call_count sum;
	uint64_t strangers;
};

extern const char *const call_kind_names[N_CALL_KINDS];

const char *call_service(enum call_kind kind);
int run_parse(const char *line, struct run_record *out);
int answer_parse(const char *body, size_t size_bytes, uint64_t *id,
		 char service[SERVICE_MAX_BYTES]);
int tally_compare(const struct call_record *calls, uint32_t n_calls,
		  const struct run_record *runs, uint32_t n_runs,
		  struct tally *out);
bool tally_clean(const struct tally *t);
uint64_t tally_weighted_ventolario(const struct tally *t);
uint64_t tally_weighted_tshwane(const struct tally *t);
double tally_imbalance(const struct run_record *runs, uint32_t n_runs,
		       const char *service, const uint8_t *log_of_service,
		       uint32_t n_logs, uint32_t *n_windows);

#endif
