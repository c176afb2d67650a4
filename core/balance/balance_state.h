/* Tables of the balancer, shared by the modules behind balance.h only. */
#ifndef CB_BALANCE_STATE_H
#define CB_BALANCE_STATE_H

#include "balance.h"
#include "budget.h"
#include "deadline_heap.h"
#include "deal.h"
#include "eject.h"
#include "histogram.h"
#include "loadview.h"

#define INDEX_NONE UINT32_MAX

/* Rounds of estimates and queues come this often. */
#define ROUND_NS (20 * NS_PER_MS)

/* Slow start of a target that appears in a configuration. */
#define SLOW_START_NS (10 * NS_PER_S)

enum item_state { ITEM_FREE, ITEM_WAITING, ITEM_DOOMED };

/**
 * struct queue - items linked through their handles
 * @head: first handle
 * @tail: last handle
 * @n: how many
 */
struct queue {
	uint32_t head;
	uint32_t tail;
	uint32_t n;
};

/**
 * struct item - a piece of work that waits
 * @work: what it wants
 * @queued_ns: since when
 * @next: neighbour in its queue
 * @prev: neighbour in its queue
 * @service: index
 * @place: place it is pinned to, or INDEX_NONE
 * @state: enum item_state
 * @reason: enum refusal of a doomed one
 */
struct item {
	struct work work;
	uint64_t queued_ns;
	uint32_t next;
	uint32_t prev;
	uint32_t service;
	uint32_t place;
	uint8_t state;
	uint8_t reason;
};

/**
 * struct account - a client account's part in contention
 * @name: name
 * @weight: share
 * @n_waiting: items in its queues
 * @budget: its retries
 * @stats: by class
 */
struct account {
	char name[NAME_MAX_BYTES];
	uint16_t weight;
	uint32_t n_waiting;
	struct retry_budget budget;
	struct class_stats stats[CLASS_COUNT];
};

/**
 * struct service - a service's queue and what is known of its speed
 * @vip: its address, the key
 * @account: index
 * @class: enum service_class of plain requests
 * @queue_max: items that may wait
 * @first_place: its places are contiguous, sorted by target
 * @n_places: how many
 * @first_candidate: index into the candidates
 * @n_candidates: places that new work of this entry may go to
 * @n_up: places that are not draining
 * @n_ejected: candidates ejected
 * @n_own: candidates with a share of their own that are not ejected
 * @turn: latest turn given, where a new target starts
 * @others_milli: others' work at a target on the average, in 1/1000
 * @queue: work that may go to any target
 * @n_waiting: that and the pinned work
 * @gap_ns: mean time between two starts from the queue while it had work
 * @started_ns: last start from the queue, or when it began to wait
 * @took_ns: mean time of a request at a target
 * @debt_milli: refused callers told to come back and not yet due, in 1/1000
 * @debt_ns: when @debt_milli was brought up to date
 */
struct service {
	uint64_t vip;
	uint32_t account;
	uint8_t class;
	uint32_t queue_max;
	uint32_t first_place;
	uint32_t n_places;
	uint32_t first_candidate;
	uint32_t n_candidates;
	uint32_t n_up;
	uint32_t n_ejected;
	uint32_t n_own;
	uint64_t turn;
	uint32_t others_milli;
	struct queue queue;
	uint32_t n_waiting;
	uint64_t gap_ns;
	uint64_t started_ns;
	uint64_t took_ns;
	uint64_t debt_milli;
	uint64_t debt_ns;
};

/**
 * struct place - one target of one service
 * @service: index
 * @target: index
 * @state: enum target_state
 * @weight: share within the service
 * @candidate: new work may go there
 * @turn: grows by 1/weight with each choice; the smallest is due
 * @served: slot time given through this place over the account's weight
 * @pinned: work that has to go there
 */
struct place {
	uint32_t service;
	uint32_t target;
	uint8_t state;
	uint16_t weight;
	bool candidate;
	uint64_t turn;
	uint64_t served;
	struct queue pinned;
};

/**
 * struct target - a target, whichever services list it
 * @addr: the key
 * @listed: in force; one that is not is kept while it has work
 * @slots: smallest that a service states
 * @connections: smallest that a service states
 * @dealt: its slots were dealt in this round of dealing
 * @share: what this entry may use
 * @limit_milli: own requests allowed after sheds, in 1/1000
 * @hold_steps: doublings of the pause after sheds in a row
 * @hold_deadline_ns: no new work before
 * @extra_steps: doublings of the time without extra requests
 * @extra_deadline_ns: no extra requests before, since one was shed
 * @warm_deadline_ns: end of slow start
 * @inflight: requests of this entry there
 * @feeds: open feeds of this entry there
 * @view: others' work
 * @health: failures and latency
 * @served: slot time at which the last item of contention started
 * @first_link: its places, through the balancer's links
 * @n_links: how many
 * @ready: on the list of targets whose queues have to be looked at
 * @ready_next: next on it
 */
struct target {
	uint64_t addr;
	bool listed;
	uint16_t slots;
	uint32_t connections;
	bool dealt;
	struct deal share;
	uint32_t limit_milli;
	uint8_t hold_steps;
	uint64_t hold_deadline_ns;
	uint8_t extra_steps;
	uint64_t extra_deadline_ns;
	uint64_t warm_deadline_ns;
	uint32_t inflight;
	uint32_t feeds;
	struct load_view view;
	struct health health;
	uint64_t served;
	uint32_t first_link;
	uint32_t n_links;
	bool ready;
	uint32_t ready_next;
};

/**
 * struct tables - everything that a change of configuration builds anew
 * @accounts: sorted by name
 * @services: sorted by VIP
 * @places: by service, sorted by target address
 * @targets: sorted by address
 * @links: places by target
 * @candidates: places by service
 * @scratch: room for one service's latencies
 * @weights: sum of the accounts' weights
 */
struct tables {
	struct account *accounts;
	struct service *services;
	struct place *places;
	struct target *targets;
	uint32_t *links;
	uint32_t *candidates;
	uint64_t *scratch;
	uint64_t weights;
	uint32_t n_accounts;
	uint32_t n_services;
	uint32_t n_places;
	uint32_t n_targets;
};

/**
 * struct balancer - an entry's decisions about work
 * @t: tables
 * @work_max: handles are below this
 * @items: by handle
 * @deadlines: of the waiting items
 * @doomed: items to be refused at the next balance_next()
 * @ready: first target whose queues have to be looked at
 * @n_waiting: items in all queues
 * @n_entries: entries of the data centre
 * @rank: this entry's place among them
 * @round_deadline_ns: next round
 * @eject_deadline_ns: next comparison of the targets
 * @rng: random source
 */
struct balancer {
	struct tables t;
	uint32_t work_max;
	struct item *items;
	struct deadline_heap deadlines;
	struct queue doomed;
	uint32_t ready;
	uint32_t n_waiting;
	uint32_t n_entries;
	uint32_t rank;
	uint64_t round_deadline_ns;
	uint64_t eject_deadline_ns;
	struct rng rng;
};

/* tables.c */
int tables_build(struct balancer *b, const struct config *c, uint64_t now_ns);
void tables_clear(struct tables *t);

/* shares.c */
void shares_deal(struct balancer *b);

/* lookup.c */
uint32_t tables_service(const struct tables *t, uint64_t vip);
uint32_t tables_target(const struct tables *t, uint64_t addr);
uint32_t tables_place(const struct tables *t, const struct service *s,
		      uint64_t addr);

/* pick.c */
enum pick { PICK_FOUND, PICK_FULL, PICK_CONNECTIONS, PICK_NONE };
enum pick pick_place(struct balancer *b, struct service *s,
		     const struct work *w, uint64_t now_ns, uint32_t *place);
bool pick_pinned_room(const struct service *s, const struct target *t,
		      const struct work *w, uint64_t now_ns);
bool pick_allowed(struct balancer *b, const struct place *p,
		  const struct work *w, uint64_t now_ns);
void pick_count(struct balancer *b, uint32_t place, uint64_t now_ns);

/* admit.c */
void queue_init(struct queue *q);
void queue_add(struct balancer *b, struct queue *q, uint32_t handle);
void queue_take(struct balancer *b, struct queue *q, uint32_t handle);
uint8_t admit_wait(struct balancer *b, uint32_t service, uint32_t place,
		   const struct work *w, uint64_t now_ns);
void admit_leave(struct balancer *b, uint32_t handle);
void admit_doom(struct balancer *b, uint32_t handle, uint8_t reason);
uint32_t admit_retry_after_s(struct balancer *b, struct service *s,
			     uint64_t now_ns);
void admit_started(struct balancer *b, struct service *s, uint64_t now_ns);
void admit_sweep(struct balancer *b, uint64_t now_ns);

/* balance_stats.c */
struct class_stats *stats_of(struct balancer *b, const struct service *s,
			     uint8_t class);

/* fair.c */
uint32_t fair_next(struct balancer *b, struct target *t, uint64_t now_ns,
		   uint32_t *place);
void fair_charge(struct balancer *b, struct place *p);
void fair_ready(struct balancer *b, uint32_t target);

#endif
