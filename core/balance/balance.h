/*
 * Load balancing at one entry: target selection, limits, queues, refusals and
 * the retry budget.
 */
#ifndef CB_BALANCE_H
#define CB_BALANCE_H

#include "config.h"
#include "histogram.h"

/**
 * enum refusal - why a request was not run
 * @REFUSE_NONE: not refused
 * @REFUSE_QUEUE: the service's queue is full
 * @REFUSE_SHARE: its client account exceeds its share of the entry's queues
 * @REFUSE_DEADLINE: it can't be started before its deadline
 * @REFUSE_NO_TARGET: no target in this data centre accepts work
 * @REFUSE_CONNECTIONS: every target has its maximum of open feeds
 * @REFUSE_MEMORY: the entry's request table is full
 * @REFUSE_SHED: targets shed it and the retry budget is spent
 * @REFUSE_TRANSFER: block of a transfer whose state was lost with another entry
 */
enum refusal {
	REFUSE_NONE,
	REFUSE_QUEUE,
	REFUSE_SHARE,
	REFUSE_DEADLINE,
	REFUSE_NO_TARGET,
	REFUSE_CONNECTIONS,
	REFUSE_MEMORY,
	REFUSE_SHED,
	REFUSE_TRANSFER,
	REFUSE_COUNT
};

/**
 * enum verdict - decision about a request
 * @VERDICT_ADMITTED: to be sent to a target now
 * @VERDICT_QUEUED: queued; balance_next() returns the final decision
 * @VERDICT_REFUSED: not run; the caller may retry later
 */
enum verdict { VERDICT_ADMITTED, VERDICT_QUEUED, VERDICT_REFUSED };

/**
 * enum outcome - how a request at a target ended
 * @OUTCOME_OK: answered
 * @OUTCOME_SHED: refused by the overloaded target and not run
 * @OUTCOME_ERROR: answered with an error
 * @OUTCOME_TIMEOUT: no answer before the timeout
 * @OUTCOME_CANCELLED: cancelled by the caller
 */
enum outcome {
	OUTCOME_OK,
	OUTCOME_SHED,
	OUTCOME_ERROR,
	OUTCOME_TIMEOUT,
	OUTCOME_CANCELLED,
	OUTCOME_COUNT
};

/**
 * struct work - a request, or the opening of a feed, that needs a target
 * @handle: number below @work_max of balance_new(), chosen by the user of the
 *	balancer and returned by balance_next()
 * @vip: address of the service
 * @class: enum service_class
 * @feed: opens a feed, which uses a connection and no slot once it is open
 * @pinned: the only target that may run it, or ADDR_NONE
 * @avoid: target that a retry should not go to again, or ADDR_NONE
 * @hash: flow_hash() of the request's flow; not read by the balancer
 * @deadline_ns: latest time at which it may be started
 */
struct work {
	uint32_t handle;
	uint64_t vip;
	uint8_t class;
	bool feed;
	uint64_t pinned;
	uint64_t avoid;
	uint64_t hash;
	uint64_t deadline_ns;
};

/**
 * struct decision - decision about a request
 * @verdict: enum verdict
 * @reason: enum refusal, when it is refused
 * @target: address of the target, when it is admitted
 * @retry_after_s: when it is refused: time after which the caller should
 *	retry, random so that callers don't retry at the same time
 */
struct decision {
	uint8_t verdict;
	uint8_t reason;
	uint64_t target;
	uint32_t retry_after_s;
};

/**
 * struct load_report - load that a target reports; may be old or wrong
 * @running: requests in its slots
 * @waiting: requests in its queue
 * @connections: open feeds
 */
struct load_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t connections;
};

/**
 * struct class_stats - request counters of one class of one client account
 *
 * Outcomes and retries are counted for the class of the service, the other
 * events for the class of the request.
 *
 * @admitted: sent to a target
 * @queued: queued before they were admitted or refused
 * @refused: refused, by enum refusal
 * @outcome: ended at a target, by enum outcome
 * @retries: retries granted by the retry budget
 * @retries_denied: retries denied because the budget was spent
 * @wait_us: time in the queue of admitted requests, in microseconds
 */
struct class_stats {
	uint64_t admitted;
	uint64_t queued;
	uint64_t refused[REFUSE_COUNT];
	uint64_t outcome[OUTCOME_COUNT];
	uint64_t retries;
	uint64_t retries_denied;
	struct histogram wait_us;
};

/**
 * struct target_stats - state of one target, for operators
 * @addr: address
 * @inflight: requests of this entry at the target
 * @feeds: open feeds of this entry at the target
 * @own: requests that this entry's share allows
 * @extra: further requests allowed while the target has an idle slot
 * @connections: open feeds that this entry's share allows
 * @ejected: gets no new work except trial requests
 * @trust_milli: trust in its load reports, 0 to 1000
 * @latency_ns: moving average of the latency of its requests
 * @error_milli: moving average of the failed share, 0 to 1000
 */
struct target_stats {
	uint64_t addr;
	uint32_t inflight;
	uint32_t feeds;
	uint32_t own;
	uint32_t extra;
	uint32_t connections;
	bool ejected;
	uint32_t trust_milli;
	uint64_t latency_ns;
	uint32_t error_milli;
};

struct balancer;

struct balancer *balance_new(uint32_t work_max, struct rng rng);
void balance_free(struct balancer *balancer);
int balance_set_config(struct balancer *balancer, const struct config *config,
		       uint64_t now_ns);
void balance_set_entries(struct balancer *balancer, uint32_t n_entries,
			 uint32_t self_rank);
struct decision balance_submit(struct balancer *balancer,
			       const struct work *work, uint64_t now_ns);
bool balance_next(struct balancer *balancer, uint64_t now_ns, uint32_t *handle,
		  struct decision *decision);
void balance_cancel(struct balancer *balancer, uint32_t handle);
void balance_record_end(struct balancer *balancer, uint64_t vip,
			uint64_t target, enum outcome outcome,
			uint64_t duration_ns, uint64_t now_ns);
bool balance_take_retry(struct balancer *balancer, uint64_t vip,
			uint64_t now_ns);
void balance_change_feeds(struct balancer *balancer, uint64_t vip,
			  uint64_t target, int32_t change);
void balance_record_load(struct balancer *balancer, uint64_t target,
			 const struct load_report *report, uint64_t now_ns);
uint64_t balance_next_ns(const struct balancer *balancer);
bool balance_next_class_stats(const struct balancer *balancer, uint32_t *cursor,
			      const char **account, uint8_t *class,
			      const struct class_stats **stats);
bool balance_next_target_stats(const struct balancer *balancer,
			       uint32_t *cursor, struct target_stats *out);

#endif
