/* Insides of the emulator. */
#ifndef SIM_PACKETS_WORLD_STATE_H
#define SIM_PACKETS_WORLD_STATE_H

#include "world.h"

#define EVENTS_MAX (1 << 17)
#define FLOWS_A_TARGET_MAX 512
#define QUEUE_MAX 12
#define SLOTS 3
#define ROUTES 3
#define FEED_ROUTE 0
#define REPORT_ROUTE 1
#define PROBE_ROUTE 2
/* Loopback addresses, so that real processes can be driven too. */
#define PEER_IP 0x7f030001
#define PEER_PORT 7720
#define TARGET_IP 0x7f020001
#define TARGET_PORT 8000
#define NO_TARGET UINT32_MAX

enum sim_service { SERVICE_MAIN, SERVICE_OTHER, SERVICES };

extern const char *const service_names[SERVICES];

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
	bool watching;
	uint64_t watch_after;
};

struct sim_request {
	uint32_t client;
	uint64_t number;
	struct flow_key flow;
};

/* A flow that a target holds, and the last request that it took of it: a
 * repeated packet is not a request again. */
struct sim_flow {
	struct flow_key key;
	uint64_t number;
};

/**
 * enum sim_answer - what a client hears of its request
 * @ANSWER_DONE: it ran
 * @ANSWER_REFUSED: it did not run
 * @ANSWER_FAILED: it ran and failed
 */
enum sim_answer { ANSWER_DONE, ANSWER_REFUSED, ANSWER_FAILED };

struct sim_target {
	struct target_news news;
	uint32_t process;
	uint64_t restarted_ns;
	uint32_t service;
	uint32_t zone;
	bool alive;
	bool dark;
	uint8_t failing;
	uint64_t failing_until_ns;
	uint64_t left_ns;
	uint64_t disturbed_ns;
	struct sim_flow flows[FLOWS_A_TARGET_MAX];
	uint32_t n_flows;
	uint32_t busy;
	struct sim_request queue[QUEUE_MAX];
	uint32_t n_queue;
	uint64_t runs;
};

enum client_state { CLIENT_IDLE, CLIENT_OPENING, CLIENT_OPEN, CLIENT_GONE };

struct sim_client {
	uint32_t zone;
	uint32_t ip;
	uint16_t port;
	uint8_t route;
	uint8_t state;
	uint32_t cookie;
	uint32_t target;
	uint32_t process;
	uint32_t seq;
	uint32_t ack;
	bool waiting;
	uint64_t number;
	uint64_t asked_ns;
	uint64_t deadline_ns;
	uint32_t attempts;
	uint32_t ran;
	uint32_t repeats;
};

/* What the ports of an entry's node get passed back. */
struct port_ctx {
	struct world *w;
	struct sim_entry *e;
};

/* A target's entry and a configuration, as values of the store. */
struct target_value {
	struct target_news news;
	enum world_foreign foreign;
	uint32_t service;
	uint32_t zone;
};

struct routes_value {
	uint64_t version;
	uint32_t extra;
};

struct store_key {
	struct document d;
	uint8_t value[256];
};

/* A heartbeat on its way; an event carries its number. */
struct letter {
	struct hello hello;
	bool used;
};

#define LETTERS_MAX 4096

struct world {
	struct world_conf conf;
	struct rng rng;
	uint64_t now_ns;
	uint64_t order;
	struct event *events;
	uint32_t n_events;
	struct sim_entry entries[ENTRIES_MAX];
	uint32_t n_entries;
	struct sim_target targets[TARGETS_MAX];
	uint32_t n_targets;
	struct sim_client clients[CLIENTS_MAX];
	uint32_t n_clients;
	struct store_key keys[STORE_KEYS_MAX];
	uint32_t n_keys;
	uint64_t revision;
	uint64_t version;
	bool extra_route;
	uint64_t extra_ns;
	uint64_t store_down_ns;
	uint64_t store_slow_ns;
	uint64_t store_slow_until_ns;
	uint64_t store_disturbed_ns;
	uint64_t cut_until_ns[ZONES_MAX];
	uint64_t next_id;
	uint64_t next_number;
	struct port_ctx contexts[ENTRIES_MAX];
	struct letter letters[LETTERS_MAX];
	struct world_report report;
};

void world_at(struct world *w, uint64_t delay_ns,
	      void (*run)(struct world *w, const struct event *e), uint64_t a,
	      uint64_t b, uint64_t c);
double world_chance(struct world *w);
uint64_t world_work_ns(struct world *w);
bool world_cut(const struct world *w, uint32_t zone_a, uint32_t zone_b);
uint64_t world_way_ns(uint32_t zone_a, uint32_t zone_b);
uint64_t route_vip(uint32_t route);

/* store.c */
void store_routes(struct world *w);
void store_target(struct world *w, struct sim_target *t);
void store_foreign(struct world *w, uint64_t id, const struct target_value *v);
void store_delete(struct world *w, const struct sim_target *t);
enum store_mode store_mode_of(const struct world *w, uint32_t entry);
void store_list(void *ctx, const char *after_key);
void store_watch(void *ctx, uint64_t after);
int store_decode(const struct document *d, struct directory *names,
		 struct document_news *out, const char **problem);

/* entries.c */
struct entry_driver entries_emulated(void);

/* router.c */
void router_probe(struct world *w, const struct event *e);
uint32_t router_pick(struct world *w, const struct sim_client *c);

/* targets.c */
uint32_t targets_add(struct world *w, uint32_t service, uint32_t zone,
		     uint64_t addr);
void targets_packet(struct world *w, uint32_t target, uint32_t client,
		    uint32_t entry, uint8_t flags, uint32_t size_bytes,
		    const struct flow_key *flow, uint64_t number);
void targets_told(struct world *w, uint32_t target);
uint32_t targets_at(const struct world *w, uint64_t addr);
void targets_end(struct world *w, uint32_t target, bool dark);

/* clients.c */
void clients_start(struct world *w);
void clients_opened(struct world *w, uint32_t client, uint16_t port,
		    uint32_t target, uint32_t cookie);
void clients_answered(struct world *w, uint32_t client, uint16_t port,
		      uint64_t number, enum sim_answer answer);
void clients_reset(struct world *w, const struct flow_key *flow,
		   uint32_t entry);
void clients_cut(struct world *w, uint32_t client, uint16_t port);

#endif
