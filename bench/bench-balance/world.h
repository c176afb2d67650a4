/*
 * A small model in which policies meet the same callers: entries that decide,
 * targets with slots and a short queue, a fake clock, one seed.
 */
#ifndef CB_BENCH_WORLD_H
#define CB_BENCH_WORLD_H

#include "balance.h"

#define NONE UINT32_MAX
#define TARGETS_MAX 8192
#define TARGET_QUEUE_MAX 16

/**
 * struct job - one request, through all its tries
 * @arrive_ns: this try reached its entry
 * @deadline_ns: its caller gives up
 * @sent_ns: sent to its target
 * @start_ns: got a slot
 * @service_ns: time it needs in a slot of a warm target
 * @caller: who sent it
 * @entry: which entry decides
 * @target: index
 * @avoid: target that shed it, or NONE
 * @handle: the entry's number for it
 * @tries: so far
 * @shed: answered by a shed
 * @expired: dropped by the target, too late
 * @report: load that its answer carries
 * @next: in the target's queue
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
	bool shed;
	bool expired;
	struct load_report report;
	uint32_t next;
};

/**
 * struct scene - what happens in a run
 * @deployment: name
 * @name: name
 * @n_entries: entries
 * @n_targets: targets
 * @slots: of each
 * @delay_ns: one way between entry and target
 * @service_ns: mean time in a slot
 * @load_milli: offered load over all slots, in 1/1000
 * @peak_milli: offered load between @peak_ns and @peak_end_ns
 * @peak_ns: start of the peak, 0 for none
 * @peak_end_ns: end of the peak
 * @join_ns: the last target joins then, cold; 0 for never
 * @crawl_ns: target 0 is ten times slower from then on; 0 for never
 * @lie: target 0 always reports an idle self
 * @skew: entry 0 gets twice the share of the others
 * @warmup_ns: not counted
 * @end_ns: end of the run
 */
struct scene {
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
	uint64_t crawl_ns;
	bool lie;
	bool skew;
	uint64_t warmup_ns;
	uint64_t end_ns;
};

/**
 * struct figures - what a run gave
 * @imbalance: mean over the seconds of the busiest target over the mean one, by
 *	requests begun
 * @held: the same by time that requests spent there, waiting or running
 * @wait_p50_ms: from arrival to a slot
 * @wait_p99_ms: from arrival to a slot
 * @refused: share of the requests given up as refused
 * @late: share of the requests answered too late or never
 * @goodput: answered in time, a second
 * @excess: most requests at a target at once, over its slots
 * @even_s: seconds until a target that joined has its part; -1 for never
 * @decide_ns: time of one decision
 */
struct figures {
	double imbalance;
	double held;
	double wait_p50_ms;
	double wait_p99_ms;
	double refused;
	double late;
	double goodput;
	double excess;
	double even_s;
	double decide_ns;
};

struct world;

/**
 * struct policy - what is compared
 * @name: name
 * @open: state for a world
 * @close: free it
 * @submit: a job arrived; send, keep or refuse it
 * @done: a job's answer is back
 * @report: a target told its load, or NULL
 * @polls: does the entry ask the target for its load
 * @tick: called every 20 ms for each entry
 * @join: the last target joined
 */
struct policy {
	const char *name;
	void *(*open)(struct world *w);
	void (*close)(void *ctx);
	void (*submit)(void *ctx, uint32_t job);
	void (*done)(void *ctx, uint32_t job, enum outcome outcome);
	void (*report)(void *ctx, uint32_t entry, uint32_t target,
		       const struct load_report *r);
	bool (*polls)(void *ctx, uint32_t entry, uint32_t target);
	void (*tick)(void *ctx, uint32_t entry);
	void (*join)(void *ctx);
};

extern const struct policy policy_ours;
extern const struct policy policy_round;
extern const struct policy policy_hash;
extern const struct policy policy_least;
extern const struct policy policy_two;

void world_run(const struct scene *scene, const struct policy *policy,
	       struct figures *out);

/* For policies. */
const struct scene *world_scene(const struct world *w);
uint64_t world_now_ns(const struct world *w);
uint32_t world_targets(const struct world *w);
struct job *world_job(struct world *w, uint32_t job);
void world_send(struct world *w, uint32_t job, uint32_t target);
void world_refuse(struct world *w, uint32_t job, uint32_t retry_after_s);

#endif
