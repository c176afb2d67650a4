/* Internal state of the emulator, shared by its source files. */
#ifndef SIM_PACKETS_WORLD_STATE_H
#define SIM_PACKETS_WORLD_STATE_H

#include "world.h"

#define EVENTS_MAX (1 << 19)
#define QUEUE_MAX 64
#define PENDING_MAX 32
/* Loopback addresses, which real processes can bind too. */
#define PEER_IP 0x7f030001
#define PEER_PORT 7720
#define TARGET_IP 0x7f020001
#define TARGET_PORT 8000
#define NO_TARGET UINT32_MAX
#define SEGMENT_BYTES 1200
#define WINDOW_PACKETS 16
/* Packets of the largest request. */
#define SEGMENTS_MAX 512

enum sim_service { SERVICE_MAIN, SERVICE_OTHER };

/**
 * struct event - an entry of the event queue
 * @at_ns: when it is due
 * @order: sequence number; orders events that are due at the same time
 * @run: handler
 * @arg0: first argument of the handler
 * @arg1: second argument
 * @arg2: third argument
 */
struct event {
	uint64_t at_ns;
	uint64_t order;
	void (*run)(struct world *w, const struct event *e);
	uint64_t arg0;
	uint64_t arg1;
	uint64_t arg2;
};

/**
 * struct sim_entry - an entry and its process
 * @node: the real node; NULL when another driver runs the process
 * @zone: data centre
 * @boot: random number of the process, different from that of earlier ones
 * @up: the process exists
 * @frozen: it is suspended
 * @last_tick_ns: when it last ran
 * @missed_probes: failed readiness checks in a row, up to a maximum
 * @disturbed_ns: end of the last fault that affected it; rules apply SETTLE_NS
 *	later
 * @store_mode: how the store handles its calls until @store_mode_until_ns
 * @store_mode_until_ns: the store answers its calls from then on
 * @list_answer_ns: when its listing is answered; 0 for a cancelled one
 * @watching: a watch is in progress
 * @watch_after: revision after which that watch reads changes
 * @watch_epoch: epoch of the store when the watch started
 * @link_free_ns: when its link has sent all queued packets
 * @pace_scheduled: an event is pending for the next paced packet
 */
struct sim_entry {
	struct node *node;
	uint32_t zone;
	uint64_t boot;
	bool up;
	bool frozen;
	uint64_t last_tick_ns;
	uint8_t missed_probes;
	uint64_t disturbed_ns;
	enum store_mode store_mode;
	uint64_t store_mode_until_ns;
	uint64_t list_answer_ns;
	bool watching;
	uint64_t watch_after;
	uint64_t watch_epoch;
	uint64_t link_free_ns;
	bool pace_scheduled;
};

/**
 * struct request_spec - a request that a client is about to send
 * @arrival_ns: when the client issued it
 * @work_ns: service time at a warm target
 * @request_bytes: size of the request
 * @answer_bytes: size of its answer
 */
struct request_spec {
	uint64_t arrival_ns;
	uint64_t work_ns;
	uint32_t request_bytes;
	uint32_t answer_bytes;
};

/* A request at a target. */
struct sim_request {
	uint32_t user;
	uint16_t port;
	uint64_t request_number;
	uint64_t work_ns;
};

/**
 * struct sim_flow - an open flow at a target
 * @user: index of the client in struct world's users
 * @port: the client's source port
 * @request_number: newest request on this flow; later copies of its packets
 *	don't count as a new request
 * @received: bitmap of the received packets of that request
 * @n_received: number of bits that are set
 * @is_complete: the request was run, queued or refused
 */
struct sim_flow {
	uint32_t user;
	uint16_t port;
	uint64_t request_number;
	uint64_t received[SEGMENTS_MAX / 64];
	uint32_t n_received;
	bool is_complete;
};

/**
 * enum sim_answer - outcome of a request at its target
 * @ANSWER_DONE: it ran
 * @ANSWER_REFUSED: it did not run
 * @ANSWER_FAILED: it ran and failed
 */
enum sim_answer { ANSWER_DONE, ANSWER_REFUSED, ANSWER_FAILED };

/**
 * struct sim_target - a target and its process
 * @advertised: the target's own fields of its record
 * @process: number of its processes that ended
 * @restarted_ns: start of the current process if it is not the first
 * @cold_until_ns: end of its cold phase
 * @service: index of its service
 * @zone: data centre
 * @alive: a process runs
 * @vm_down: its VM failed, so that connections to it time out
 * @mode: enum target_mode until @mode_until_ns
 * @mode_until_ns: it works normally from then on
 * @leaving_since_ns: when it published that it leaves; 0 before
 * @disturbed_ns: end of the last fault that affected it
 * @opened_ns: ring buffer of the times at which flows opened
 * @n_opened: number of flows opened
 * @flows: open flows, in any order
 * @n_flows: number of @flows
 * @flows_capacity: size of @flows
 * @busy: slots in use
 * @queue: requests that wait for a slot
 * @n_queue: length of @queue
 * @requests_run: requests started since the report was reset
 * @ejections: times that an entry ejected it
 */
struct sim_target {
	struct target_advertisement advertised;
	uint32_t process;
	uint64_t restarted_ns;
	uint64_t cold_until_ns;
	uint32_t service;
	uint32_t zone;
	bool alive;
	bool vm_down;
	uint8_t mode;
	uint64_t mode_until_ns;
	uint64_t leaving_since_ns;
	uint64_t disturbed_ns;
	uint64_t opened_ns[COLD_WINDOW];
	uint32_t n_opened;
	struct sim_flow *flows;
	uint32_t n_flows;
	uint32_t flows_capacity;
	uint32_t busy;
	struct sim_request queue[QUEUE_MAX];
	uint32_t n_queue;
	uint64_t requests_run;
	uint32_t ejections;
};

/* States of a user's flow. */
enum user_state { USER_IDLE, USER_OPENING, USER_OPEN };

/**
 * struct sim_user - a client, with one flow and one request at a time
 * @zone: data centre
 * @ip: IPv4 address
 * @class: index of the struct site_class of its requests
 * @state: enum user_state of its flow
 * @port: source port of its flow
 * @cookie: cookie of the flow's target; 0 until the flow is open
 * @target: index of the target of the open flow, or NO_TARGET
 * @process: incarnation count of that target when the flow opened
 * @opened_ns: when the flow opened
 * @opened_with_extra_route: the extra route was published at that time
 * @used_ns: last answer on the flow
 * @pending: requests that wait for the current one to end
 * @n_pending: how many of @pending
 * @has_request: a request is in progress
 * @request_number: number of that request
 * @spec: that request
 * @attempts: attempts so far
 * @runs: times that a target ran it
 * @syn_copies: retransmissions of the SYN
 * @request_seq: sequence number of the request's first byte
 * @segments: packets of the request
 * @sent: packets sent at least once
 * @acked: packets acknowledged, counted from the first
 * @ack: next byte expected from the target
 * @answer_left: bytes of a download that haven't arrived
 * @packet_lost: a packet reached no running entry
 * @target_gone: a packet was sent to a target that no longer existed
 * @was_refused: an attempt ended with a refusal or a reset
 * @has_failed: a target answered with an error
 */
struct sim_user {
	uint32_t zone;
	uint32_t ip;
	uint8_t class;
	uint8_t state;
	uint16_t port;
	uint32_t cookie;
	uint32_t target;
	uint32_t process;
	uint64_t opened_ns;
	bool opened_with_extra_route;
	uint64_t used_ns;
	struct request_spec pending[PENDING_MAX];
	uint32_t n_pending;
	bool has_request;
	uint64_t request_number;
	struct request_spec spec;
	uint32_t attempts;
	uint32_t runs;
	uint32_t syn_copies;
	uint32_t request_seq;
	uint32_t segments;
	uint32_t sent;
	uint32_t acked;
	uint32_t ack;
	uint32_t answer_left;
	bool packet_lost;
	bool target_gone;
	bool was_refused;
	bool has_failed;
};

/* Context of the port functions of an entry's node. */
struct port_ctx {
	struct world *w;
	struct sim_entry *entry;
};

/* Values of the store: the record of a target, and a configuration. */
struct target_value {
	struct target_advertisement advertised;
	enum record_defect defect;
	char service[SITE_NAME_BYTES];
	char zone[SITE_NAME_BYTES];
};

struct route_value {
	uint32_t service;
	uint32_t other_service;
	uint32_t other_percent;
	uint8_t kind;
	uint8_t priority;
	uint32_t timeout_ms;
	uint32_t objective_ms;
};

struct routes_value {
	uint64_t version;
	uint32_t n_services;
	double cold_per_s[SERVICES_MAX];
	uint32_t cold_ms[SERVICES_MAX];
	char services[SERVICES_MAX][SITE_NAME_BYTES];
	uint32_t n_routes;
	struct route_value routes[CLASSES_MAX + 1];
};

struct store_key {
	struct document d;
	uint8_t value[sizeof(struct routes_value)];
};

/* A heartbeat in flight; an event refers to it by its index. Unused ones are
 * linked by @next. */
struct hello_in_flight {
	struct hello hello;
	uint32_t next;
};

#define HELLOS_IN_FLIGHT_MAX 8192

/* A connection attempt of an entry. */
struct sim_attempt {
	uint32_t entry;
	struct incarnation incarnation;
	uint64_t start_ns;
};

#define ATTEMPTS_MAX 65536

/**
 * struct slot_change - the slots of a service changed
 * @at_ns: when
 * @service: index of the service
 * @slots: slots of its living targets from then on
 */
struct slot_change {
	uint64_t at_ns;
	uint32_t service;
	uint32_t slots;
};

/**
 * struct entry_change - an entry started or stopped running
 * @at_ns: when
 * @entry: index of the entry
 * @up: whether it runs from then on
 */
struct entry_change {
	uint64_t at_ns;
	uint32_t entry;
	bool up;
};

/**
 * struct world - state of an emulator
 * @conf: copy of the configuration
 * @classes: classes of the site, and that of the extra route
 * @rng: random numbers of everything but arrivals of requests
 * @arrival_rng: random numbers of arrivals, which so are the same in all runs
 *	of a seed
 * @now_ns: simulated time
 * @start_ns: start of the report
 * @order: sequence number of the next event
 * @events: binary heap of events
 * @n_events: size of @events
 * @entries: entries, ordered by data centre at first
 * @n_entries: number of @entries
 * @targets: targets; dead ones stay
 * @n_targets: number of @targets
 * @users: clients
 * @n_users: number of @users
 * @next_idle_user: where the search for an idle user starts
 * @load_factor: multiplier of the request rates until @load_until_ns
 * @load_until_ns: end of the changed load, by data centre
 * @class_factor: multiplier of the rates of a class until @class_until_ns
 * @class_until_ns: end of the changed load, by class
 * @keys: the store's keys; deleted ones stay
 * @n_keys: number of @keys
 * @stale_keys: older copy of @keys, for answers that may be stale
 * @n_stale_keys: number of @stale_keys
 * @stale_copy_ns: when that copy was made
 * @stale_revision: newest revision in it
 * @stale_epoch: epoch of the store at that time
 * @copied_keys: copy that a restore of the store uses
 * @n_copied_keys: number of @copied_keys
 * @copied_revision: newest revision in it
 * @epoch: the store's epoch; a restore starts a new one
 * @revision: the store's newest revision
 * @version: version of the newest configuration
 * @extra_route: the newest configuration has the extra route
 * @evacuated: data centres under evacuation
 * @evacuated_ns: last change of @evacuated; 0 for none
 * @extra_route_changed_ns: last change of @extra_route; 0 for none
 * @extra_route_dropped_ns: when the extra route was last dropped
 * @store_down_until_ns: the store is available from then on
 * @store_slow_ns: time until an answer, until @store_slow_until_ns
 * @store_slow_until_ns: the store answers at its normal speed from then on
 * @store_disturbed_ns: end of the last fault of the store
 * @partitioned_until_ns: end of the last partition, by data centre
 * @last_id: newest id of a target
 * @last_request_number: newest number of a request
 * @contexts: contexts of the entries' ports
 * @hellos_in_flight: heartbeats in flight and unused elements
 * @free_hello: first unused element
 * @attempts: ring buffer of connection attempts
 * @next_attempt: number of attempts so far
 * @requests: requests that ended since the report was reset
 * @n_requests: number of @requests
 * @requests_capacity: size of @requests
 * @slot_changes: changes of the services' slots, in order of time
 * @n_slot_changes: number of @slot_changes
 * @slot_changes_capacity: size of @slot_changes
 * @entry_changes: starts and stops of entries, in order of time
 * @n_entry_changes: number of @entry_changes
 * @entry_changes_capacity: size of @entry_changes
 * @report: totals so far, without the imbalance
 */
struct world {
	struct world_conf conf;
	struct site_class classes[CLASSES_MAX + 1];
	struct rng rng;
	struct rng arrival_rng;
	uint64_t now_ns;
	uint64_t start_ns;
	uint64_t order;
	struct event *events;
	uint32_t n_events;
	struct sim_entry entries[ENTRIES_MAX];
	uint32_t n_entries;
	struct sim_target targets[TARGETS_MAX];
	uint32_t n_targets;
	struct sim_user users[USERS_MAX];
	uint32_t n_users;
	uint32_t next_idle_user[ZONES_MAX][CLASSES_MAX];
	double load_factor[ZONES_MAX];
	uint64_t load_until_ns[ZONES_MAX];
	double class_factor[CLASSES_MAX];
	uint64_t class_until_ns[CLASSES_MAX];
	struct store_key keys[STORE_KEYS_MAX];
	uint32_t n_keys;
	struct store_key *stale_keys;
	uint32_t n_stale_keys;
	uint64_t stale_copy_ns;
	uint64_t stale_revision;
	uint64_t stale_epoch;
	struct store_key *copied_keys;
	uint32_t n_copied_keys;
	uint64_t copied_revision;
	uint64_t epoch;
	uint64_t revision;
	uint64_t version;
	bool extra_route;
	bool evacuated[ZONES_MAX];
	uint64_t evacuated_ns[ZONES_MAX];
	uint64_t extra_route_changed_ns;
	uint64_t extra_route_dropped_ns;
	uint64_t store_down_until_ns;
	uint64_t store_slow_ns;
	uint64_t store_slow_until_ns;
	uint64_t store_disturbed_ns;
	uint64_t partitioned_until_ns[ZONES_MAX];
	uint64_t last_id;
	uint64_t last_request_number;
	struct port_ctx contexts[ENTRIES_MAX];
	struct hello_in_flight hellos_in_flight[HELLOS_IN_FLIGHT_MAX];
	uint32_t free_hello;
	struct sim_attempt attempts[ATTEMPTS_MAX];
	uint32_t next_attempt;
	struct world_request *requests;
	uint32_t n_requests;
	uint32_t requests_capacity;
	struct slot_change *slot_changes;
	uint32_t n_slot_changes;
	uint32_t slot_changes_capacity;
	struct entry_change *entry_changes;
	uint32_t n_entry_changes;
	uint32_t entry_changes_capacity;
	struct world_report report;
};

void world_schedule(struct world *w, uint64_t delay_ns,
		    void (*run)(struct world *w, const struct event *e),
		    uint64_t a, uint64_t b, uint64_t c);
double world_random_unit(struct rng *rng);
uint64_t world_sample(struct rng *rng, const struct site_spread *s);
bool world_is_partitioned(const struct world *w, uint32_t zone_a,
			  uint32_t zone_b);
uint64_t world_one_way_ns(const struct world *w, uint32_t zone_a,
			  uint32_t zone_b);
uint64_t route_vip(uint32_t route);
uint32_t extra_route_index(const struct world *w);
void world_record_request(struct world *w, const struct world_request *r);
void world_record_entry_state(struct world *w, uint32_t entry, bool up);
void world_record_slots(struct world *w, uint32_t service);

/* store.c */
void store_publish_routes(struct world *w);
void store_publish_target(struct world *w, struct sim_target *t);
void store_target_value(const struct world *w, const struct sim_target *t,
			struct target_value *v);
void store_write_target(struct world *w, uint64_t id,
			const struct target_value *v);
void store_delete_target(struct world *w, const struct sim_target *t);
void store_set_evacuation(struct world *w, uint32_t zone, bool on);
void store_save_copy(struct world *w);
void store_restore_copy(struct world *w);
void store_republish_lost(struct world *w);
enum store_mode store_mode_of(const struct world *w, uint32_t entry);
void store_list(void *ctx, const char *after_key, bool exact);
void store_watch(void *ctx, uint64_t after, uint64_t wait_ns);
int store_decode(const struct document *d, struct directory *names,
		 struct decoded_document *out, const char **problem);

/* entries.c */
struct entry_driver emulated_entry_driver(void);

/* router.c */
void router_probe(struct world *w, const struct event *e);
uint32_t router_select(struct world *w, const struct sim_user *u);

/* targets.c */
uint32_t targets_add(struct world *w, uint32_t service, uint32_t zone,
		     uint64_t addr);
void targets_receive(struct world *w, uint32_t target, uint32_t entry,
		     const struct sim_packet *k);
void targets_start_cold(struct world *w, uint32_t target);
void targets_report_change(struct world *w, uint32_t target);
uint32_t targets_find_by_addr(const struct world *w, uint64_t addr);
void targets_end(struct world *w, uint32_t target, bool vm_down);
void targets_clear(struct sim_target *t);
void targets_close_idle_unsafe(struct world *w, const struct sim_target *t);

/* arrivals.c */
void arrivals_start(struct world *w);
bool arrivals_start_pending(struct world *w, uint32_t user);
void arrivals_schedule_test_user(struct world *w, uint32_t user);

/* users.c */
void users_start_request(struct world *w, uint32_t user,
			 const struct request_spec *spec);
void users_opened(struct world *w, uint32_t user, uint16_t port,
		  uint32_t target, uint32_t cookie);
void users_acked(struct world *w, uint32_t user, uint16_t port,
		 uint64_t request_number, uint32_t acked);
void users_answered(struct world *w, uint32_t user, uint16_t port,
		    uint64_t request_number, enum sim_answer answer);
void users_reset(struct world *w, const struct flow_key *flow, uint32_t entry);
void users_flow_unknown(struct world *w, uint32_t user, uint16_t port);
struct flow_key users_flow(const struct world *w, uint32_t user, uint16_t port);

#endif
