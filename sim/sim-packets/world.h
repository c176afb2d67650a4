/*
 * An emulator of a whole deployment on a fake clock: clients, routers, entries
 * (the real core/packet/node), targets and the store that publishes. A run is a
 * function of its seed, and what clients ask is the same whatever the entries
 * do. Nothing here uses sockets.
 */
#ifndef SIM_PACKETS_WORLD_H
#define SIM_PACKETS_WORLD_H

#include "node.h"
#include "site.h"

#define ENTRIES_MAX 320
#define TARGETS_MAX 2048
#define USERS_MAX 8192
#define STORE_KEYS_MAX 2048

#define STORE_ANSWER_NS (4 * NS_PER_MS)
/* After a disturbance what it touched may be wrong for this long. */
#define SETTLE_NS (4 * NS_PER_S)
/* Longest time until a publication is in force. */
#define PUBLISH_MAX_NS (3 * NS_PER_S)
/* The same of an evacuation, with a store that is well. */
#define EVACUATE_MAX_NS (2 * NS_PER_S)
/* What a cold target may get in any second: its rate so many times, and more. */
#define COLD_OVERRUN 1.5
#define COLD_SLACK 5.0
/* Flows that reach a cold target within a second, as far as they are counted. */
#define COLD_WINDOW 64

struct world;

/**
 * struct sim_packet - a client's packet on its way
 * @user: who sent it
 * @port: of the flow, as it was then
 * @flags: enum packet_flag
 * @size_bytes: bytes carried
 * @seq: first of them
 * @ack: next byte that the client expects; in a SYN, copies sent before it
 */
struct sim_packet {
	uint32_t user;
	uint16_t port;
	uint8_t flags;
	uint16_t size_bytes;
	uint32_t seq;
	uint32_t ack;
};

/**
 * struct entry_driver - what runs the entries: the emulator itself, or real
 *	processes
 * @ctx: passed back
 * @start: start the process of an entry
 * @kill: end it without a word
 * @stop: ask it to end
 * @freeze: stop it from running, or let it run again
 * @ready: whether it says that it is ready
 * @packet: hand it a client's packet
 * @target: a target started or ended; may be NULL
 */
struct entry_driver {
	void *ctx;
	void (*start)(void *ctx, struct world *w, uint32_t entry);
	void (*kill)(void *ctx, struct world *w, uint32_t entry);
	void (*stop)(void *ctx, struct world *w, uint32_t entry);
	void (*freeze)(void *ctx, struct world *w, uint32_t entry, bool frozen);
	bool (*ready)(void *ctx, struct world *w, uint32_t entry);
	void (*deliver)(void *ctx, struct world *w, uint32_t entry,
			const struct sim_packet *k);
	void (*target_changed)(void *ctx, struct world *w, uint32_t target);
};

/**
 * struct world_conf - what to emulate
 * @seed: of all chance
 * @site: the deployment
 * @policy: figures that the entries go by; NULL for policy_default
 * @driver: what runs the entries; the emulator when @driver.start is NULL
 */
struct world_conf {
	uint64_t seed;
	struct site site;
	const struct policy *policy;
	struct entry_driver driver;
};

/**
 * enum store_mode - what the store does with an entry's calls
 * @STORE_ANSWERS: answers them
 * @STORE_REFUSES: refuses them at once
 * @STORE_SILENT: does not answer
 */
enum store_mode { STORE_ANSWERS, STORE_REFUSES, STORE_SILENT };

/**
 * enum world_failing - what a target does with requests
 * @TARGET_WORKS: runs them
 * @TARGET_FAILS: answers at once that they failed
 * @TARGET_HANGS: takes them and does not answer
 * @TARGET_CRAWLS: runs them much slower
 */
enum target_mode { TARGET_WORKS, TARGET_FAILS, TARGET_HANGS, TARGET_SLOW };

/**
 * enum record_defect - an entry that no target wrote
 * @FOREIGN_NONE: it is a target's
 * @FOREIGN_BYTES: not readable
 * @FOREIGN_MISSING: a field is missing
 * @FOREIGN_TYPE: a field is of another type
 * @FOREIGN_STATE: a state that there is not
 * @FOREIGN_SERVICE: a service that no configuration names
 * @FOREIGN_UNBORN: all but the start of its process
 */
enum record_defect {
	FOREIGN_NONE,
	FOREIGN_BYTES,
	FOREIGN_MISSING,
	FOREIGN_TYPE,
	FOREIGN_STATE,
	FOREIGN_SERVICE,
	FOREIGN_UNBORN,
	FOREIGN_KINDS,
};

/**
 * struct world_report - what clients and targets saw
 * @requests: requests asked
 * @in_aim: answered within the target latency
 * @late: answered later
 * @failed: not answered
 * @misrouted: flows that a target of a service got that no configuration
 *	allowed
 * @broken: open flows that an entry reset while their target served
 * @late_drain: flows that reached a target long after its leave was published
 * @evacuated: flows that reached a target long after its data centre's
 *	evacuation was published
 * @overrun: flows that reached a cold target beyond what it may get in a second
 * @stale: flows handled as only an older configuration allows
 * @doubled: non-idempotent requests that ran twice
 * @swamped: requests that targets refused, since their queues were full
 * @probes: connection attempts of entries
 * @store_calls: calls to the store
 * @far_bytes: bytes between data centres
 * @owed: worth of all requests
 * @earned: worth of those that were answered
 * @imbalance: most requests of a target over the mean of its service
 */
struct world_report {
	uint64_t requests;
	uint64_t on_time;
	uint64_t late;
	uint64_t failed;
	uint64_t misrouted;
	uint64_t broken;
	uint64_t late_drain;
	uint64_t evacuated;
	uint64_t overrun;
	uint64_t stale;
	uint64_t doubled;
	uint64_t queue_full;
	uint64_t probes;
	uint64_t store_calls;
	uint64_t cross_dc_bytes;
	double offered;
	double earned;
	double imbalance;
};

/**
 * enum world_cause - why a request was not answered in time
 * @CAUSE_NONE: it was
 * @CAUSE_CUT: its packets met no entry
 * @CAUSE_GONE: sent to a target that was gone
 * @CAUSE_REFUSED: every try was refused by targets, or reset by entries
 * @CAUSE_WAITED: waited behind others, at the target or on the way there
 * @CAUSE_WORK: its own work took longer than the target latency
 * @CAUSE_FAILED: a target took it and failed
 */
enum world_cause {
	CAUSE_NONE,
	CAUSE_CUT,
	CAUSE_GONE,
	CAUSE_REFUSED,
	CAUSE_WAITED,
	CAUSE_WORK,
	CAUSE_FAILED,
	CAUSES,
};

extern const char *const world_cause_names[CAUSES];

/**
 * struct world_request - a request that ended
 * @asked_ns: when it was asked
 * @took_ns: until its answer; 0 for none
 * @work_ns: what it takes at a target that is warm
 * @zone: of its client
 * @class: kind of request
 * @cause: enum world_cause
 */
struct world_request {
	uint64_t arrival_ns;
	uint64_t latency_ns;
	uint64_t work_ns;
	uint8_t zone;
	uint8_t class;
	uint8_t cause;
};

struct world *world_new(const struct world_conf *conf);
void world_free(struct world *w);
void world_run(struct world *w, uint64_t ns);
void world_reset_report(struct world *w);
uint64_t world_now_ns(const struct world *w);
uint64_t world_next_event_delay_ns(const struct world *w);
void world_report(const struct world *w, struct world_report *out);
uint64_t world_broken_rules(const struct world_report *r);
uint32_t world_entry_count(const struct world *w);
uint32_t world_target_count(const struct world *w);
uint32_t world_ready_count(struct world *w);
const struct world_request *world_requests(const struct world *w, uint32_t *n);

/* Faults and planned work; each takes effect at once. */
void world_start_entry(struct world *w, uint32_t entry);
void world_entry_ended(struct world *w, uint32_t entry);
void world_kill_entry(struct world *w, uint32_t entry, uint64_t down_ns);
void world_stop_entry(struct world *w, uint32_t entry);
void world_freeze_entry(struct world *w, uint32_t entry, uint64_t ns);
void world_cut_zone(struct world *w, uint32_t zone, uint64_t ns);
void world_set_store_mode(struct world *w, uint32_t entry, enum store_mode mode,
			  uint64_t ns);
void world_store_slow(struct world *w, uint64_t store_answer_ns, uint64_t ns);
void world_store_down(struct world *w, uint64_t ns, bool lapse);
void world_copy_store(struct world *w);
void world_restore_store(struct world *w, uint64_t ns);
void world_kill_target(struct world *w, uint32_t target, bool machine_down);
void world_fail_target(struct world *w, uint32_t target, enum target_mode mode,
		       uint64_t ns);
void world_restart_target(struct world *w, uint32_t target, uint64_t down_ns);
void world_delay_record(struct world *w, uint32_t target, uint64_t late_ns);
void world_write_foreign_record(struct world *w, enum record_defect defect,
				uint32_t target, bool under_its_key);
void world_release_target(struct world *w, uint32_t target);
void world_reuse_address(struct world *w, uint32_t target);
void world_evacuate(struct world *w, uint32_t zone, bool on);
void world_add_route(struct world *w);
void world_drop_route(struct world *w);
void world_scale_load(struct world *w, uint32_t zone, double factor,
		      uint64_t ns);

/* The store answers, is slow, refuses half, is silent to half, is down. */
#define RECOVERY_CONDITIONS 5
#define RECOVERY_ENTRIES_MAX ENTRIES_MAX

/**
 * struct recovery - times of one run, 0 where it did not come to it
 * @first_ns: from the first process's start until the first entry was ready
 * @each_ns: from each process's start until it was ready
 * @agree_ns: from the last process's start until all were ready and knew the
 *	newest revision
 */
struct recovery {
	uint64_t first_ready_ns;
	uint64_t ready_ns[RECOVERY_ENTRIES_MAX];
	uint64_t all_agree_ns;
};

void recovery_run(uint64_t seed, uint32_t entries, uint32_t condition,
		  struct recovery *r);
int recovery_table(uint64_t first_seed, uint32_t seeds, uint32_t entries);

/* Nothing, targets publish, configurations change, a slow store, half refused. */
#define EVACUATION_CONDITIONS 5

void evacuation_run(uint64_t seed, uint32_t entries, uint32_t condition,
		    uint64_t *in_force_ns);
int evacuation_table(uint64_t first_seed, uint32_t seeds, uint32_t entries);

/**
 * struct world_fault - a fault or planned work, by name
 * @name: name
 * @help: what happens
 * @apply: make it happen, now
 * @served: least part of the requests that is served all the same, over the
 *	12 s that follow
 */
struct world_fault {
	const char *name;
	const char *help;
	void (*apply)(struct world *w);
	double served_min;
};

extern const struct world_fault world_faults[];
extern const uint32_t n_world_faults;
const struct world_fault *world_fault_find(const char *name);

#endif
