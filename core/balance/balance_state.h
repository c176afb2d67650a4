/* State of the balancer, private to the modules that implement balance.h. */
#ifndef CB_BALANCE_STATE_H
#define CB_BALANCE_STATE_H

#include "balance.h"
#include "budget.h"
#include "deadline_heap.h"
#include "eject.h"
#include "histogram.h"
#include "load_view.h"
#include "target_share.h"

#define INDEX_NONE UINT32_MAX

/* Interval of the periodic checks of targets and queues. */
#define ROUND_INTERVAL_NS (20 * NS_PER_MS)

/* Duration of slow start for a target that a configuration adds. */
#define SLOW_START_NS (10 * NS_PER_S)

/**
 * enum item_state - state of a handle
 * @ITEM_FREE: not queued
 * @ITEM_QUEUED: in the queue of its service or, when pinned, of its backend
 * @ITEM_REFUSED: refused, balance_next() has not returned it yet
 */
enum item_state { ITEM_FREE, ITEM_QUEUED, ITEM_REFUSED };

/**
 * struct queue - doubly linked list of items, linked by their handles
 * @head: first handle, INDEX_NONE when empty
 * @tail: last handle, INDEX_NONE when empty
 * @n: number of items
 */
struct queue {
	uint32_t head;
	uint32_t tail;
	uint32_t n;
};

/**
 * struct item - queued work
 * @work: the request or feed
 * @queued_ns: time at which it was queued
 * @next: next handle in its queue, or INDEX_NONE
 * @prev: previous handle in its queue, or INDEX_NONE
 * @service: index of its service; INDEX_NONE when it is refused and its service
 *	was removed
 * @backend: index of the backend that it is pinned to, or INDEX_NONE
 * @state: enum item_state
 * @reason: enum refusal, when @state is ITEM_REFUSED
 */
struct item {
	struct work work;
	uint64_t queued_ns;
	uint32_t next;
	uint32_t prev;
	uint32_t service;
	uint32_t backend;
	uint8_t state;
	uint8_t reason;
};

/**
 * struct account - balancing state of a client account
 * @name: name
 * @weight: share relative to other accounts, at least 1
 * @n_queued: items in the queues of its services
 * @budget: retry budget
 * @stats: counters by enum service_class
 */
struct account {
	char name[NAME_MAX_BYTES];
	uint16_t weight;
	uint32_t n_queued;
	struct retry_budget budget;
	struct class_stats stats[CLASS_COUNT];
};

/**
 * struct service - queue, backends and moving averages of a service
 * @vip: address, key of the table
 * @account: index of its account
 * @class: enum service_class of requests that open no feed
 * @queue_max: maximum of @n_queued
 * @first_backend: index of its first backend; its backends are contiguous and
 *	sorted by target
 * @n_backends: number of its backends
 * @first_candidate: index of its first candidate in the table of candidates
 * @n_candidates: number of its candidates: backends to which this entry may
 *	send new work
 * @n_up: backends that are not draining
 * @n_ejected: candidates whose target is ejected
 * @n_own: candidates where this entry has own requests and the target is not
 *	ejected
 * @pass: pass of the last selected backend; a new backend starts with it
 * @others_milli: moving average over its targets of other entries' requests at
 *	a target, in 1/1000
 * @queue: queued work that is not pinned
 * @n_queued: items in @queue and in the queues of pinned work of its backends
 * @start_interval_ns: moving average of the time between two starts from its
 *	queues while they were not empty, 0 before the first
 * @last_start_ns: time of the last start from its queues, or when they became
 *	non-empty
 * @mean_duration_ns: moving average of the duration of a successful request at
 *	a target, 0 before the first
 * @returning_milli: refused callers that are expected to retry later, in 1/1000
 * @returning_updated_ns: time at which @returning_milli was last reduced
 */
struct service {
	uint64_t vip;
	uint32_t account;
	uint8_t class;
	uint32_t queue_max;
	uint32_t first_backend;
	uint32_t n_backends;
	uint32_t first_candidate;
	uint32_t n_candidates;
	uint32_t n_up;
	uint32_t n_ejected;
	uint32_t n_own;
	uint64_t pass;
	uint32_t others_milli;
	struct queue queue;
	uint32_t n_queued;
	uint64_t start_interval_ns;
	uint64_t last_start_ns;
	uint64_t mean_duration_ns;
	uint64_t returning_milli;
	uint64_t returning_updated_ns;
};

/**
 * struct backend - one target of one service
 * @service: index of the service
 * @target: index of the target
 * @state: enum target_state
 * @weight: share relative to other backends of the service, at least 1
 * @candidate: this entry may send new work to it
 * @pass: stride scheduling: increases by a stride of STRIDE_SCALE / @weight
 *	with each request; the backend with the smallest pass is next
 * @finish_tag: start-time fair queueing: virtual time at which the slot time
 *	of the service's requests at the target ends
 * @pinned: queue of work that only this target may run
 */
struct backend {
	uint32_t service;
	uint32_t target;
	uint8_t state;
	uint16_t weight;
	bool candidate;
	uint64_t pass;
	uint64_t finish_tag;
	struct queue pinned;
};

/**
 * struct target - a target, shared by all services that list it
 * @addr: address, key of the table
 * @listed: a service in force lists it; others are kept while they have work
 * @slots: smallest number that a service configures, at least 1
 * @connections: smallest number that a service configures
 * @is_allocated: @share was computed in the current run of shares_allocate()
 * @share: part of the target that this entry may use
 * @aimd_limit_milli: limit of own requests, in 1/1000: decreased by a factor on
 *	a shed, increased additively on success; UINT32_MAX before the first
 *	shed
 * @pause_steps: doublings of the pause after a shed; 0 after a success
 * @pause_end_ns: no new work before this time, after a shed
 * @extra_pause_steps: doublings of the pause for extra requests; 0 after the
 *	success of one
 * @extra_pause_end_ns: no extra requests before this time, after one was shed
 * @slow_start_end_ns: end of slow start
 * @inflight: requests of this entry at the target
 * @feeds: open feeds of this entry at the target
 * @load_view: estimated load, including other entries' requests
 * @health: failures and latency
 * @virtual_time: start-time fair queueing: highest start tag of a request that
 *	was sent to the target
 * @first_link: index of its first element in the table of links
 * @n_links: number of its backends
 * @needs_recheck: in the list of targets whose queues balance_next() checks
 * @recheck_next: index of the next target in that list, or INDEX_NONE
 */
struct target {
	uint64_t addr;
	bool listed;
	uint16_t slots;
	uint32_t connections;
	bool is_allocated;
	struct target_share share;
	uint32_t aimd_limit_milli;
	uint8_t pause_steps;
	uint64_t pause_end_ns;
	uint8_t extra_pause_steps;
	uint64_t extra_pause_end_ns;
	uint64_t slow_start_end_ns;
	uint32_t inflight;
	uint32_t feeds;
	struct load_view load_view;
	struct health health;
	uint64_t virtual_time;
	uint32_t first_link;
	uint32_t n_links;
	bool needs_recheck;
	uint32_t recheck_next;
};

/**
 * struct tables - tables that each change of the configuration rebuilds
 * @accounts: sorted by name
 * @services: sorted by VIP
 * @backends: grouped by service, sorted by target address within each
 * @targets: sorted by address
 * @links: indexes of the backends, grouped by target
 * @candidates: indexes of the candidate backends, grouped by service
 * @latencies_ns: buffer for computing the median of one service
 * @weight_sum: sum of the accounts' weights
 * @n_accounts: number of accounts
 * @n_services: number of services
 * @n_backends: number of backends, and of links
 * @n_targets: number of targets
 */
struct tables {
	struct account *accounts;
	struct service *services;
	struct backend *backends;
	struct target *targets;
	uint32_t *links;
	uint32_t *candidates;
	uint64_t *latencies_ns;
	uint64_t weight_sum;
	uint32_t n_accounts;
	uint32_t n_services;
	uint32_t n_backends;
	uint32_t n_targets;
};

/**
 * struct balancer - load balancing state of one entry
 * @tables: accounts, services, backends and targets
 * @work_max: handles are numbers below this
 * @items: indexed by handle
 * @deadlines: deadlines of the queued items, by handle
 * @refused: items that balance_next() returns as refused
 * @recheck_head: index of the first target whose queues balance_next() checks,
 *	or INDEX_NONE
 * @n_queued: items in all queues
 * @n_entries: entries of the data centre, at least 1
 * @rank: rank of this entry among them, below @n_entries
 * @next_round_ns: time of the next periodic check
 * @next_eject_ns: time of the next comparison of latencies
 * @rng: pseudo-random generator
 */
struct balancer {
	struct tables tables;
	uint32_t work_max;
	struct item *items;
	struct deadline_heap deadlines;
	struct queue refused;
	uint32_t recheck_head;
	uint32_t n_queued;
	uint32_t n_entries;
	uint32_t rank;
	uint64_t next_round_ns;
	uint64_t next_eject_ns;
	struct rng rng;
};

/* tables.c */
int tables_build(struct balancer *balancer, const struct config *config,
		 uint64_t now_ns);
void tables_clear(struct tables *tables);

/* shares.c */
void shares_allocate(struct balancer *balancer);

/* lookup.c */
uint32_t tables_find_service(const struct tables *tables, uint64_t vip);
uint32_t tables_find_target(const struct tables *tables, uint64_t addr);
uint32_t tables_find_backend(const struct tables *tables,
			     const struct service *s, uint64_t addr);

/* select.c */
/**
 * enum selection - result of select_backend()
 * @SELECTION_FOUND: a backend was selected
 * @SELECTION_FULL: no backend accepts the work now
 * @SELECTION_CONNECTIONS: no target may open another feed
 * @SELECTION_NONE: no target accepts new work
 */
enum selection {
	SELECTION_FOUND,
	SELECTION_FULL,
	SELECTION_CONNECTIONS,
	SELECTION_NONE
};
enum selection select_backend(struct balancer *balancer, struct service *s,
			      const struct work *work, uint64_t now_ns,
			      uint32_t *backend);
bool select_allows_pinned(const struct service *s, const struct target *t,
			  const struct work *work, uint64_t now_ns);
bool select_allows(struct balancer *balancer, const struct backend *be,
		   const struct work *work, uint64_t now_ns);
void select_record(struct balancer *balancer, uint32_t backend,
		   uint64_t now_ns);

/* admit.c */
void queue_init(struct queue *q);
void queue_add(struct balancer *balancer, struct queue *q, uint32_t handle);
void queue_remove(struct balancer *balancer, struct queue *q, uint32_t handle);
uint8_t admit_enqueue(struct balancer *balancer, uint32_t service,
		      uint32_t backend, const struct work *work,
		      uint64_t now_ns);
void admit_dequeue(struct balancer *balancer, uint32_t handle);
void admit_refuse_queued(struct balancer *balancer, uint32_t handle,
			 uint8_t reason);
uint32_t admit_retry_after_s(struct balancer *balancer, struct service *s,
			     uint64_t now_ns);
void admit_record_start(struct balancer *balancer, struct service *s,
			uint64_t now_ns);
void admit_refuse_late(struct balancer *balancer, uint64_t now_ns);

/* balance_stats.c */
struct class_stats *class_stats_of(struct balancer *balancer,
				   const struct service *s, uint8_t class);

/* fair_queue.c */
uint32_t fair_queue_next(struct balancer *balancer, struct target *t,
			 uint64_t now_ns, uint32_t *backend);
void fair_queue_charge(struct balancer *balancer, struct backend *be);
void fair_queue_recheck(struct balancer *balancer, uint32_t target);

#endif
