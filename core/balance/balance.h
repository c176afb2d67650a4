/*
 * Choice of target, limits, queues, refusals and retries at one entry.
 */
#ifndef CB_BALANCE_H
#define CB_BALANCE_H

#include "config.h"
#include "histogram.h"

/**
 * enum refusal - why a request was not run
 * @REFUSE_NONE: it was not refused
 * @REFUSE_QUEUE: queue full
 * @REFUSE_SHARE: its client account is over its share
 * @REFUSE_DEADLINE: can't be started before its deadline
 * @REFUSE_NO_TARGET: no target in this data centre takes work
 * @REFUSE_CONNECTIONS: every target holds its most feeds
 * @REFUSE_MEMORY: no room for the request
 * @REFUSE_SHED: targets shed it and the retry budget is spent
 * @REFUSE_TRANSFER: block of a transfer that another entry began and lost
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

enum verdict { VERDICT_GO, VERDICT_QUEUED, VERDICT_REFUSED };

/**
 * enum outcome - how a request at a target ended
 * @OUTCOME_OK: answered
 * @OUTCOME_SHED: target refused it, it was not run
 * @OUTCOME_ERROR: target failed it
 * @OUTCOME_TIMEOUT: no answer in time
 * @OUTCOME_CANCELLED: caller gave up
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
 * struct work - a request or feed that wants a target
 * @handle: caller's own number for it, given back by balance_next()
 * @vip: service
 * @class: enum service_class
 * @feed: a feed: takes a connection, and no slot once it is open
 * @pinned: target it has to go to, or ADDR_NONE
 * @avoid: target not to choose (a retry), or ADDR_NONE
 * @hash: flow's hash, for placement that repeats
 * @deadline_ns: latest start that is still of use
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
 * struct ruling - what becomes of a piece of work
 * @verdict: enum verdict
 * @target: where to, when it may go
 * @reason: enum refusal
 * @retry_after_s: when to come back, spread over callers
 */
struct ruling {
	uint8_t verdict;
	uint8_t reason;
	uint64_t target;
	uint32_t retry_after_s;
};

/**
 * struct load_report - what a target says of itself; may lag or mislead
 * @running: requests in its slots
 * @waiting: requests it queues
 * @connections: open feeds
 */
struct load_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t connections;
};

/**
 * struct class_stats - counters of one class of one client account
 * @admitted: sent to a target
 * @queued: had to wait first
 * @refused: by enum refusal
 * @outcome: ends by enum outcome
 * @retries: granted by the budget
 * @retries_denied: asked for when it was empty
 * @wait_us: time in the queue of those admitted, microseconds
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
 * struct target_stats - what the balancer holds of one target
 * @addr: target
 * @inflight: requests of this entry there
 * @feeds: open feeds of this entry there
 * @own: requests of this entry's own share
 * @extra: further ones, while the target is seen to be idle
 * @connections: feeds of this entry's share
 * @ejected: gets no new work but trials
 * @trust_milli: how far its reports are believed, in 1/1000
 * @latency_ns: mean time of answered requests
 * @error_milli: share of failures, in 1/1000
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
void balance_free(struct balancer *b);
int balance_config(struct balancer *b, const struct config *c, uint64_t now_ns);
void balance_peers(struct balancer *b, uint32_t n_entries, uint32_t self_rank);
struct ruling balance_submit(struct balancer *b, const struct work *w,
			     uint64_t now_ns);
bool balance_next(struct balancer *b, uint64_t now_ns, uint32_t *handle,
		  struct ruling *r);
void balance_cancel(struct balancer *b, uint32_t handle);
void balance_done(struct balancer *b, uint64_t vip, uint64_t target,
		  enum outcome outcome, uint64_t took_ns, uint64_t now_ns);
bool balance_may_retry(struct balancer *b, uint64_t vip, uint64_t now_ns);
void balance_feed(struct balancer *b, uint64_t vip, uint64_t target,
		  int32_t change);
void balance_report(struct balancer *b, uint64_t target,
		    const struct load_report *report, uint64_t now_ns);
uint64_t balance_next_ns(const struct balancer *b);
bool balance_stats(const struct balancer *b, uint32_t *cursor,
		   const char **account, uint8_t *class,
		   const struct class_stats **stats);
bool balance_targets(const struct balancer *b, uint32_t *cursor,
		     struct target_stats *out);

#endif
