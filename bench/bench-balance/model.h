/*
 * Simulation in which policies serve the same sequence of callers: entries that
 * select targets, targets with slots and a short queue, a simulated clock and
 * one seed.
 */
#ifndef CB_BENCH_MODEL_H
#define CB_BENCH_MODEL_H

#include "balance.h"

#define NONE UINT32_MAX
#define TARGETS_MAX 8192
#define TARGET_QUEUE_MAX 16

/**
 * struct job - one request, through all its tries
 *
 * Times are simulated, in nanoseconds.
 *
 * @arrive_ns: time at which the current try reached its entry
 * @deadline_ns: time at which the caller gives up the current try
 * @sent_ns: time at which it was last sent to a target
 * @start_ns: time at which it got a slot
 * @service_ns: duration in a slot of a warm target
 * @caller: number of the caller
 * @entry: index of the entry that selects the target
 * @target: index of the target that it was last sent to
 * @avoid: index of the target that shed it, or NONE
 * @handle: handle of the request at the entry's balancer, set by
 *	policy_balancer
 * @tries: number of tries so far
 * @is_shed: the target answered that it sheds the request
 * @is_expired: the target dropped it from its queue after @deadline_ns
 * @report: load of the target, carried by the answer
 * @next: next job in the target's queue or in the list of free jobs, or NONE
 */
struct job {
	uint64_t arrive_ns;
	uint64_t deadline_ns;
	uint64_t sent_ns;
	uint64_t start_ns;
	uint64_t service_ns;
	uint32_t caller;
	uint32_t entry;
	uint32_t target;
	uint32_t avoid;
	uint32_t handle;
	uint8_t tries;
	bool is_shed;
	bool is_expired;
	struct load_report report;
	uint32_t next;
};

/**
 * struct scenario - service, load and incidents of a run
 * @deployment: name of the deployment and service, printed with the results
 * @name: name of the scenario, printed with the results
 * @n_entries: number of entries
 * @n_targets: number of targets, with the one that joins; at most TARGETS_MAX
 * @slots: slots of each target
 * @delay_ns: one-way delay between entry and target
 * @service_ns: mean time of a request in a slot
 * @load_milli: offered load relative to all slots, in 1/1000
 * @peak_milli: offered load between @peak_ns and @peak_end_ns, in 1/1000
 * @peak_ns: start of the load peak; 0 for no peak
 * @peak_end_ns: end of the load peak
 * @join_ns: time at which the last target joins, cold; 0 for never
 * @slow_from_ns: time from which target 0 is ten times slower; 0 for never
 * @reports_idle: target 0 always reports that it is idle
 * @is_skewed: entry 0 gets twice as many callers as each other entry
 * @warmup_ns: time before which nothing is measured
 * @end_ns: time at which the run ends
 */
struct scenario {
	const char *deployment;
	const char *name;
	uint32_t n_entries;
	uint32_t n_targets;
	uint32_t slots;
	uint64_t delay_ns;
	uint64_t service_ns;
	uint32_t load_milli;
	uint32_t peak_milli;
	uint64_t peak_ns;
	uint64_t peak_end_ns;
	uint64_t join_ns;
	uint64_t slow_from_ns;
	bool reports_idle;
	bool is_skewed;
	uint64_t warmup_ns;
	uint64_t end_ns;
};

/**
 * struct results - results of a run
 * @imbalance: requests started at the busiest target over the mean target,
 *	averaged over windows of one second
 * @occupancy_imbalance: the same ratio for the time that requests waited and
 *	ran at the target
 * @wait_p50_ms: median time from arrival at the entry to a slot
 * @wait_p99_ms: 99th percentile of that time
 * @refused: share of the requests refused at their last try, 0 to 1
 * @late: share of the requests answered after their deadline or dropped, 0 to 1
 * @goodput: requests answered in time, per second
 * @excess: most requests at a target at once beyond its slots
 * @balanced_after_s: seconds from a target's join until it has its share of the
 *	requests; -1 for never
 * @decision_ns: mean wall-clock time of one decision
 */
struct results {
	double imbalance;
	double occupancy_imbalance;
	double wait_p50_ms;
	double wait_p99_ms;
	double refused;
	double late;
	double goodput;
	double excess;
	double balanced_after_s;
	double decision_ns;
};

struct model;

/**
 * struct policy - policy of selecting a target, to be compared with others
 * @name: name printed with the results
 * @open: allocates the policy's state for a simulation
 * @close: frees that state
 * @submit: called when a job arrives; sends, queues or refuses it
 * @done: called when the answer to a job arrives at the entry
 * @report: called when a target reports its load; NULL if the policy ignores it
 * @polls: returns whether the entry polls the target for its load; NULL only if
 *	@report is
 * @tick: called every 20 ms of simulated time for each entry
 * @join: called when the last target joined
 */
struct policy {
	const char *name;
	void *(*open)(struct model *model);
	void (*close)(void *ctx);
	void (*submit)(void *ctx, uint32_t job);
	void (*done)(void *ctx, uint32_t job, enum outcome outcome);
	void (*report)(void *ctx, uint32_t entry, uint32_t target,
		       const struct load_report *r);
	bool (*polls)(void *ctx, uint32_t entry, uint32_t target);
	void (*tick)(void *ctx, uint32_t entry);
	void (*join)(void *ctx);
};

extern const struct policy policy_balancer;
extern const struct policy policy_round;
extern const struct policy policy_hash;
extern const struct policy policy_least;
extern const struct policy policy_two;

void model_run(const struct scenario *scenario, const struct policy *policy,
	       struct results *out);

/* Called by the policies. */
const struct scenario *model_scenario(const struct model *model);
uint64_t model_now_ns(const struct model *model);
uint32_t model_targets(const struct model *model);
struct job *model_job(struct model *model, uint32_t job);
void model_send(struct model *model, uint32_t job, uint32_t target);
void model_refuse(struct model *model, uint32_t job, uint32_t retry_after_s);

#endif
