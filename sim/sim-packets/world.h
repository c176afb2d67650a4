/*
 * Discrete-event emulator of a whole deployment on a simulated clock: clients,
 * routers, entries (the real core/packet/node), targets and the store that
 * publishes records of targets and configurations. A run is a function of its
 * seed, and the requests of the clients don't depend on what the entries do.
 * No sockets are used.
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
/* Rules aren't checked on what a fault affected until this long after it. */
#define SETTLE_NS (4 * NS_PER_S)
/* Longest time until a publication is in force at all entries. */
#define PUBLISH_MAX_NS (3 * NS_PER_S)
/* The same for an evacuation while the store is available. */
#define EVACUATE_MAX_NS (2 * NS_PER_S)
/* Limit of new flows to a cold target in any second: its rate times
 * COLD_OVERRUN, plus COLD_SLACK. */
#define COLD_OVERRUN 1.5
#define COLD_SLACK 5.0
/* Most recent flows of a target that count towards that limit. */
#define COLD_WINDOW 64

struct world;

/**
 * struct sim_packet - a client's packet in flight
 * @user: index of the sender in struct world's users
 * @port: source port of the flow when the packet was sent
 * @flags: bits of enum packet_flag
 * @size_bytes: payload
 * @seq: sequence number of the first payload byte
 * @ack: next byte that the client expects; in a SYN, number of copies sent
 *	before this one
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
 * struct entry_driver - runs the entries: inside the emulator, or as real
 *	processes
 * @ctx: passed to every function
 * @start: start the process of an entry
 * @kill: end the process without a shutdown
 * @stop: request a graceful shutdown
 * @freeze: suspend the process, or resume it
 * @ready: whether the entry reports that it is ready
 * @deliver: deliver a client's packet to an entry
 * @target_changed: a target's process started or ended; may be NULL
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
 * struct world_conf - configuration of an emulator
 * @seed: of the random numbers; equal seeds give equal runs
 * @site: the deployment
 * @policy: limits and switches of the entries; NULL for policy_default; must
 *	outlive the emulator
 * @driver: runs the entries; inside the emulator when @driver.start is NULL
 */
struct world_conf {
	uint64_t seed;
	struct site site;
	const struct policy *policy;
	struct entry_driver driver;
};

/**
 * enum store_mode - how the store handles an entry's calls
 * @STORE_ANSWERS: it answers them
 * @STORE_REFUSES: it fails them at once
 * @STORE_SILENT: they time out
 */
enum store_mode { STORE_ANSWERS, STORE_REFUSES, STORE_SILENT };

/**
 * enum target_mode - how a target handles requests
 * @TARGET_WORKS: runs them
 * @TARGET_FAILS: answers at once with an error
 * @TARGET_HANGS: accepts them and doesn't answer
 * @TARGET_SLOW: takes several times as long
 * @TARGET_RESETS: resets their flows and doesn't run them
 */
enum target_mode {
	TARGET_WORKS,
	TARGET_FAILS,
	TARGET_HANGS,
	TARGET_SLOW,
	TARGET_RESETS,
};

/**
 * enum record_defect - what is wrong with a record that no target wrote
 * @DEFECT_NONE: nothing, a target wrote it
 * @DEFECT_BYTES: its bytes can't be decoded
 * @DEFECT_NO_ADDRESS: the address is missing
 * @DEFECT_SLOTS_TYPE: the number of slots has the wrong type
 * @DEFECT_STATE: the state is unknown
 * @DEFECT_SERVICE: no configuration names the service
 * @DEFECT_NO_START_TIME: the start time of the process is missing
 * @DEFECT_KINDS: number of values
 */
enum record_defect {
	DEFECT_NONE,
	DEFECT_BYTES,
	DEFECT_NO_ADDRESS,
	DEFECT_SLOTS_TYPE,
	DEFECT_STATE,
	DEFECT_SERVICE,
	DEFECT_NO_START_TIME,
	DEFECT_KINDS,
};

/**
 * struct world_report - totals that clients and targets observed
 * @requests: requests that ended
 * @on_time: answered within the latency objective
 * @late: answered later
 * @failed: not answered
 * @misrouted: flows that reached a target of a service that no configuration
 *	allowed for them
 * @broken: open flows that an entry reset although their target served them
 * @late_drain: flows that reached a target more than PUBLISH_MAX_NS after it
 *	published that it leaves
 * @evacuated: flows that reached a target more than EVACUATE_MAX_NS after the
 *	evacuation of its data centre was published
 * @overrun: flows to cold targets above the limit of new flows in a second
 * @stale: flows that were forwarded or denied by an outdated configuration
 * @doubled: non-idempotent requests that ran twice
 * @queue_full: requests that targets refused because their queues were full
 * @probes: connection attempts of entries
 * @store_calls: calls to the store
 * @cross_dc_bytes: bytes that entries sent to targets of other data centres
 * @offered: sum of the values of all requests
 * @earned: sum of the values of the answered requests
 * @imbalance: largest number of requests at a target, divided by the mean of
 *	its service
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
 * enum world_cause - why a request wasn't answered within its objective
 * @CAUSE_NONE: it was
 * @CAUSE_NO_ENTRY: a packet reached no running entry
 * @CAUSE_GONE: it was sent to a target that no longer existed
 * @CAUSE_REFUSED: targets refused every attempt, or entries reset it
 * @CAUSE_WAITED: queueing, at the target or on the way there
 * @CAUSE_WORK: its own work took longer than the objective
 * @CAUSE_FAILED: a target accepted it and failed
 * @CAUSES: number of values
 */
enum world_cause {
	CAUSE_NONE,
	CAUSE_NO_ENTRY,
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
 * @arrival_ns: when the client issued it
 * @latency_ns: time until its answer; 0 when it failed
 * @work_ns: service time at a warm target
 * @zone: data centre of its client
 * @class: index of its struct site_class
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
uint32_t world_most_ejections(const struct world *w);
const struct world_request *world_requests(const struct world *w, uint32_t *n);

/* Faults and planned work. All take effect at once. */
void world_start_entry(struct world *w, uint32_t entry);
void world_entry_ended(struct world *w, uint32_t entry);
void world_kill_entry(struct world *w, uint32_t entry, uint64_t down_ns);
void world_stop_entry(struct world *w, uint32_t entry);
void world_freeze_entry(struct world *w, uint32_t entry, uint64_t ns);
void world_partition_zone(struct world *w, uint32_t zone, uint64_t ns);
void world_set_store_mode(struct world *w, uint32_t entry, enum store_mode mode,
			  uint64_t ns);
void world_store_slow(struct world *w, uint64_t store_answer_ns, uint64_t ns);
void world_store_down(struct world *w, uint64_t ns, bool records_expire);
void world_copy_store(struct world *w);
void world_restore_store(struct world *w, uint64_t ns);
void world_kill_target(struct world *w, uint32_t target, bool vm_down);
void world_fail_target(struct world *w, uint32_t target, enum target_mode mode,
		       uint64_t ns);
void world_restart_target(struct world *w, uint32_t target, uint64_t down_ns);
void world_delay_record(struct world *w, uint32_t target, uint64_t delay_ns);
void world_write_foreign_record(struct world *w, enum record_defect defect,
				uint32_t target, bool under_its_key);
void world_write_unreachable_record(struct world *w, uint32_t like,
				    uint64_t addr);
void world_release_target(struct world *w, uint32_t target);
void world_reuse_address(struct world *w, uint32_t target);
void world_evacuate(struct world *w, uint32_t zone, bool on);
void world_add_route(struct world *w);
void world_drop_route(struct world *w);
void world_scale_load(struct world *w, uint32_t zone, double factor,
		      uint64_t ns);
void world_scale_class(struct world *w, uint32_t class, double factor,
		       uint64_t ns);

/* The store answers, is slow, refuses half, is silent to half, is down. */
#define RECOVERY_CONDITIONS 5
#define RECOVERY_ENTRIES_MAX ENTRIES_MAX

/**
 * struct recovery - recovery times of one run; 0 where nothing recovered
 * @first_ready_ns: from the first start of a process until an entry was ready
 * @ready_ns: of each entry, from the start of its process until it was ready
 * @all_agree_ns: from the last start of a process until all entries were ready
 *	and had the newest revision
 */
struct recovery {
	uint64_t first_ready_ns;
	uint64_t ready_ns[RECOVERY_ENTRIES_MAX];
	uint64_t all_agree_ns;
};

void recovery_run(uint64_t seed, uint32_t entries, uint32_t condition,
		  struct recovery *r);
int recovery_table(uint64_t first_seed, uint32_t seeds, uint32_t entries);

/* No load on the store, targets publish, configurations change, the store is
 * slow, the store refuses half. */
#define EVACUATION_CONDITIONS 5

void evacuation_run(uint64_t seed, uint32_t entries, uint32_t condition,
		    uint64_t *in_force_ns);
int evacuation_table(uint64_t first_seed, uint32_t seeds, uint32_t entries);

/**
 * struct world_fault - a named fault or planned operation
 * @name: identifier on the command line
 * @help: one line of description
 * @apply: starts the fault at the emulator's current time
 * @served_min: least part of the requests that has to be answered during the
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
