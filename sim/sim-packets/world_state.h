/* Insides of the emulator. */
#ifndef SIM_PACKETS_WORLD_STATE_H
#define SIM_PACKETS_WORLD_STATE_H

#include "world.h"

#define EVENTS_MAX (1 << 19)
#define QUEUE_MAX 64
#define PENDING_MAX 32
/* Loopback addresses, so that real processes can be driven too. */
#define PEER_IP 0x7f030001
#define PEER_PORT 7720
#define TARGET_IP 0x7f020001
#define TARGET_PORT 8000
#define NO_TARGET UINT32_MAX
#define SEGMENT_BYTES 1200
#define WINDOW_PACKETS 16
/* The largest request, in packets. */
#define SEGMENTS_MAX 512

enum sim_service { SERVICE_MAIN, SERVICE_OTHER };

/**
 * struct event - something that happens later
 * @at_ns: when
 * @order: of those at one time, the one made first goes first
 * @run: what happens
 * @a: first argument
 * @b: second
 * @c: third
 */
struct event {
	uint64_t at_ns;
	uint64_t order;
	void (*run)(struct world *w, const struct event *e);
	uint64_t a;
	uint64_t b;
	uint64_t c;
};

struct sim_entry {
	struct node *node;
	uint32_t zone;
	uint64_t boot;
	bool up;
	bool frozen;
	uint64_t ran_ns;
	uint8_t missed;
	uint64_t disturbed_ns;
	enum store_mode store;
	uint64_t store_until_ns;
	uint64_t list_due_ns;
	bool watching;
	uint64_t watch_after;
	uint64_t watch_epoch;
	uint64_t link_free_ns;
	bool pacing;
};

/**
 * struct sim_ask - a request before it is sent
 * @asked_ns: when it was asked
 * @work_ns: what it takes at a warm target
 * @request_bytes: size
 * @answer_bytes: size of its answer
 */
struct sim_ask {
	uint64_t asked_ns;
	uint64_t work_ns;
	uint32_t request_bytes;
	uint32_t answer_bytes;
};

/* A request at a target. */
struct sim_request {
	uint32_t user;
	uint16_t port;
	uint64_t number;
	uint64_t work_ns;
};

/**
 * struct sim_flow - a flow that a target holds
 * @user: whose
 * @port: its port there
 * @number: request that it took last: a repeated packet is none again
 * @got: packets of that request, by number
 * @n_got: how many
 * @done: it was handed to a slot, the queue, or refused
 */
struct sim_flow {
	uint32_t user;
	uint16_t port;
	uint64_t number;
	uint64_t got[SEGMENTS_MAX / 64];
	uint32_t n_got;
	bool done;
};

/**
 * enum sim_answer - what a client hears of its request
 * @ANSWER_DONE: it ran
 * @ANSWER_REFUSED: it did not run
 * @ANSWER_FAILED: it ran and failed
 */
enum sim_answer { ANSWER_DONE, ANSWER_REFUSED, ANSWER_FAILED };

struct sim_target {
	struct target_advertisement news;
	uint32_t process;
	uint64_t restarted_ns;
	uint64_t cold_until_ns;
	uint32_t service;
	uint32_t zone;
	bool alive;
	bool dark;
	uint8_t failing;
	uint64_t failing_until_ns;
	uint64_t left_ns;
	uint64_t disturbed_ns;
	uint64_t opened_ns[COLD_WINDOW];
	uint32_t n_opened;
	struct sim_flow *flows;
	uint32_t n_flows;
	uint32_t room;
	uint32_t busy;
	struct sim_request queue[QUEUE_MAX];
	uint32_t n_queue;
	uint64_t runs;
};

enum user_state { USER_IDLE, USER_OPENING, USER_OPEN };

/**
 * struct sim_user - a client's user: one flow and one request at a time
 * @zone: data centre
 * @ip: its address
 * @class: kind of its requests
 * @state: enum user_state, of its flow
 * @port: of its flow
 * @cookie: what the flow's target returned
 * @target: where the flow is open
 * @process: process of that target
 * @opened_ns: when the flow opened
 * @opened_in_force: the route that comes and goes was published then
 * @used_ns: last answer on the flow
 * @pending: requests asked that wait for this user
 * @n_pending: how many
 * @waiting: a request is in progress
 * @number: it
 * @ask: it
 * @attempts: tries begun
 * @ran: how often it ran
 * @copies: of the opening packet
 * @base: sequence number of its first byte
 * @segments: packets that it takes
 * @sent: of them, sent once
 * @acked: of them, acknowledged
 * @ack: next byte expected of the target
 * @lost: a packet met no entry
 * @gone: a packet went to a target that was gone
 * @refused: a try ended with a refusal or a reset
 * @failed: a target answered that it failed
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
	bool opened_in_force;
	uint64_t used_ns;
	struct sim_ask pending[PENDING_MAX];
	uint32_t n_pending;
	bool waiting;
	uint64_t number;
	struct sim_ask ask;
	uint32_t attempts;
	uint32_t ran;
	uint32_t copies;
	uint32_t base;
	uint32_t segments;
	uint32_t sent;
	uint32_t acked;
	uint32_t ack;
	bool lost;
	bool gone;
	bool refused;
	bool failed;
};

/* What the ports of an entry's node get passed back. */
struct port_ctx {
	struct world *w;
	struct sim_entry *e;
};

/* A target's entry and a configuration, as values of the store. */
struct target_value {
	struct target_advertisement news;
	enum world_foreign foreign;
	char service[SITE_NAME_BYTES];
	char zone[SITE_NAME_BYTES];
};

struct route_value {
	uint32_t service;
	uint8_t kind;
	uint8_t priority;
	uint32_t timeout_ms;
	uint32_t aim_ms;
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

/* A heartbeat on its way; an event carries its number. */
struct letter {
	struct hello hello;
	uint32_t next;
};

#define LETTERS_MAX 8192

/* An entry's connection attempt. */
struct sim_attempt {
	uint32_t entry;
	struct incarnation who;
	uint64_t since_ns;
};

#define ATTEMPTS_MAX 65536

/**
 * struct capacity_mark - slots of a service's living targets from a time on
 * @at_ns: when
 * @service: service
 * @slots: how many
 */
struct capacity_mark {
	uint64_t at_ns;
	uint32_t service;
	uint32_t slots;
};

/**
 * struct entry_mark - whether an entry ran from a time on
 * @at_ns: when
 * @entry: entry
 * @up: whether
 */
struct entry_mark {
	uint64_t at_ns;
	uint32_t entry;
	bool up;
};

struct world {
	struct world_conf conf;
	struct site_class classes[CLASSES_MAX + 1];
	struct rng rng;
	struct rng ask_rng;
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
	uint32_t fresh_next[ZONES_MAX][CLASSES_MAX];
	double load[ZONES_MAX];
	uint64_t load_until_ns[ZONES_MAX];
	struct store_key keys[STORE_KEYS_MAX];
	uint32_t n_keys;
	struct store_key *old_keys;
	uint32_t n_old_keys;
	uint64_t old_ns;
	uint64_t old_revision;
	uint64_t old_epoch;
	struct store_key *copied_keys;
	uint32_t n_copied_keys;
	uint64_t copied_revision;
	uint64_t epoch;
	uint64_t revision;
	uint64_t version;
	bool extra_route;
	bool evacuated[ZONES_MAX];
	uint64_t evacuated_ns[ZONES_MAX];
	uint64_t extra_ns;
	uint64_t dropped_ns;
	uint64_t store_down_ns;
	uint64_t store_slow_ns;
	uint64_t store_slow_until_ns;
	uint64_t store_disturbed_ns;
	uint64_t cut_until_ns[ZONES_MAX];
	uint64_t next_id;
	uint64_t next_number;
	struct port_ctx contexts[ENTRIES_MAX];
	struct letter letters[LETTERS_MAX];
	uint32_t spare_letter;
	struct sim_attempt attempts[ATTEMPTS_MAX];
	uint32_t next_attempt;
	struct world_request *requests;
	uint32_t n_requests;
	uint32_t requests_room;
	struct capacity_mark *capacity;
	uint32_t n_capacity;
	uint32_t capacity_room;
	struct entry_mark *runs;
	uint32_t n_runs;
	uint32_t runs_room;
	struct world_report report;
};

void world_at(struct world *w, uint64_t delay_ns,
	      void (*run)(struct world *w, const struct event *e), uint64_t a,
	      uint64_t b, uint64_t c);
double world_chance(struct rng *rng);
uint64_t world_draw(struct rng *rng, const struct site_spread *s);
bool world_cut(const struct world *w, uint32_t zone_a, uint32_t zone_b);
uint64_t world_way_ns(const struct world *w, uint32_t zone_a, uint32_t zone_b);
uint64_t route_vip(uint32_t route);
uint32_t probe_route(const struct world *w);
void world_note(struct world *w, const struct world_request *r);
void world_mark_entry(struct world *w, uint32_t entry, bool up);
void world_mark_capacity(struct world *w, uint32_t service);

/* store.c */
void store_routes(struct world *w);
void store_target(struct world *w, struct sim_target *t);
void store_value(const struct world *w, const struct sim_target *t,
		 struct target_value *v);
void store_foreign(struct world *w, uint64_t id, const struct target_value *v);
void store_delete(struct world *w, const struct sim_target *t);
void store_evacuate(struct world *w, uint32_t zone, bool on);
void store_copy(struct world *w);
void store_restore(struct world *w);
void store_rewrite(struct world *w);
enum store_mode store_mode_of(const struct world *w, uint32_t entry);
void store_list(void *ctx, const char *after_key, bool exact);
void store_watch(void *ctx, uint64_t after, uint64_t wait_ns);
int store_decode(const struct document *d, struct directory *names,
		 struct decoded_document *out, const char **problem);

/* entries.c */
struct entry_driver entries_emulated(void);

/* router.c */
void router_probe(struct world *w, const struct event *e);
uint32_t router_pick(struct world *w, const struct sim_user *u);

/* targets.c */
uint32_t targets_add(struct world *w, uint32_t service, uint32_t zone,
		     uint64_t addr);
void targets_packet(struct world *w, uint32_t target, uint32_t entry,
		    const struct sim_packet *k);
void targets_cold(struct world *w, uint32_t target);
void targets_told(struct world *w, uint32_t target);
uint32_t targets_at(const struct world *w, uint64_t addr);
void targets_end(struct world *w, uint32_t target, bool dark);
void targets_clear(struct sim_target *t);

/* arrivals.c */
void arrivals_start(struct world *w);
bool arrivals_next(struct world *w, uint32_t user);
void arrivals_again(struct world *w, uint32_t user);

/* users.c */
void users_ask(struct world *w, uint32_t user, const struct sim_ask *ask);
void users_opened(struct world *w, uint32_t user, uint16_t port,
		  uint32_t target, uint32_t cookie);
void users_acked(struct world *w, uint32_t user, uint16_t port, uint64_t number,
		 uint32_t acked);
void users_answered(struct world *w, uint32_t user, uint16_t port,
		    uint64_t number, enum sim_answer answer);
void users_reset(struct world *w, const struct flow_key *flow, uint32_t entry);
void users_cut(struct world *w, uint32_t user, uint16_t port);
struct flow_key users_flow(const struct world *w, uint32_t user, uint16_t port);

#endif
