#include "balance_state.h"

#include <errno.h>
#include <stdlib.h>

#define EJECT_ROUND_INTERVAL_NS (500 * NS_PER_MS)

/**
 * balance_new() - allocate a balancer without a configuration
 * @work_max: handles of work are numbers below this
 * @rng: seeded pseudo-random generator, copied
 *
 * Return: balancer, to be freed with balance_free(), or NULL when out of
 * memory.
 */
struct balancer *balance_new(uint32_t work_max, struct rng rng)
{
	struct balancer *balancer = calloc(1, sizeof(*balancer));

	if (!balancer)
		return NULL;
	balancer->items = calloc(work_max, sizeof(*balancer->items));
	if (!balancer->items ||
	    deadline_heap_init(&balancer->deadlines, work_max)) {
		free(balancer->items);
		free(balancer);
		return NULL;
	}
	queue_init(&balancer->refused);
	balancer->work_max = work_max;
	balancer->recheck_head = INDEX_NONE;
	balancer->n_entries = 1;
	balancer->rng = rng;
	return balancer;
}

/**
 * balance_free() - free a balancer and all queued work
 * @balancer: balancer, or NULL
 */
void balance_free(struct balancer *balancer)
{
	if (!balancer)
		return;
	tables_clear(&balancer->tables);
	deadline_heap_destroy(&balancer->deadlines);
	free(balancer->items);
	free(balancer);
}

/**
 * balance_set_config() - put a configuration in force
 * @balancer: balancer
 * @config: configuration; not used after the call
 * @now_ns: current time
 *
 * Queued work remains queued. balance_next() returns it as refused when its
 * service, or the target it is pinned to, was removed.
 *
 * Return: 0, or -ENOMEM; then the previous configuration remains in force.
 */
int balance_set_config(struct balancer *balancer, const struct config *config,
		       uint64_t now_ns)
{
	return tables_build(balancer, config, now_ns);
}

/**
 * balance_set_entries() - set the entries that share the targets
 * @balancer: balancer
 * @n_entries: entries of the data centre, including this one; 0 counts as 1
 * @self_rank: rank of this entry among them, in an order that all entries
 *	share
 */
void balance_set_entries(struct balancer *balancer, uint32_t n_entries,
			 uint32_t self_rank)
{
	uint32_t n = n_entries ? n_entries : 1;

	if (balancer->n_entries == n && balancer->rank == self_rank % n)
		return;
	balancer->n_entries = n;
	balancer->rank = self_rank % n;
	shares_allocate(balancer);
}

static struct decision refuse(struct balancer *balancer, uint32_t service,
			      uint8_t class, uint8_t reason, uint64_t now_ns)
{
	struct decision decision = { .verdict = VERDICT_REFUSED,
				     .reason = reason };
	struct service *s;

	if (service == INDEX_NONE) {
		decision.retry_after_s = 1;
		return decision;
	}
	s = &balancer->tables.services[service];
	class_stats_of(balancer, s, class)->refused[reason]++;
	decision.retry_after_s = admit_retry_after_s(balancer, s, now_ns);
	return decision;
}

static struct decision admit(struct balancer *balancer, uint32_t backend,
			     uint8_t class, uint64_t now_ns)
{
	struct backend *be = &balancer->tables.backends[backend];
	struct decision decision = { .verdict = VERDICT_ADMITTED };

	select_record(balancer, backend, now_ns);
	fair_queue_charge(balancer, be);
	class_stats_of(balancer, &balancer->tables.services[be->service], class)
		->admitted++;
	decision.target = balancer->tables.targets[be->target].addr;
	return decision;
}

/* Find a backend that accepts the work now; REFUSE_QUEUE: queue the work. */
static uint8_t find_backend(struct balancer *balancer, struct service *s,
			    const struct work *work, uint64_t now_ns,
			    uint32_t *backend)
{
	if (work->pinned != ADDR_NONE) {
		struct backend *be;

		*backend =
			tables_find_backend(&balancer->tables, s, work->pinned);
		if (*backend == INDEX_NONE)
			return REFUSE_NO_TARGET;
		be = &balancer->tables.backends[*backend];
		if (be->pinned.n ||
		    !select_allows_pinned(s,
					  &balancer->tables.targets[be->target],
					  work, now_ns))
			return REFUSE_QUEUE;
		return REFUSE_NONE;
	}
	*backend = INDEX_NONE;
	if (!s->n_candidates)
		return REFUSE_NO_TARGET;
	if (s->queue.n)
		return REFUSE_QUEUE;
	switch (select_backend(balancer, s, work, now_ns, backend)) {
	case SELECTION_FOUND:
		return REFUSE_NONE;
	case SELECTION_CONNECTIONS:
		return REFUSE_CONNECTIONS;
	case SELECTION_NONE:
		return REFUSE_NO_TARGET;
	default:
		return REFUSE_QUEUE;
	}
}

/**
 * balance_submit() - admit, queue or refuse a request or feed
 * @balancer: balancer
 * @work: request or feed; copied when it is queued
 * @now_ns: current time
 *
 * Return: VERDICT_ADMITTED with the target; VERDICT_QUEUED when balance_next()
 * returns the decision later; VERDICT_REFUSED with the reason and the time
 * after which the caller should retry.
 */
struct decision balance_submit(struct balancer *balancer,
			       const struct work *work, uint64_t now_ns)
{
	uint32_t service = tables_find_service(&balancer->tables, work->vip);
	uint32_t backend;
	uint8_t reason;

	if (service == INDEX_NONE)
		return refuse(balancer, service, work->class, REFUSE_NO_TARGET,
			      now_ns);
	if (work->handle >= balancer->work_max)
		return refuse(balancer, service, work->class, REFUSE_MEMORY,
			      now_ns);
	if (now_ns >= work->deadline_ns)
		return refuse(balancer, service, work->class, REFUSE_DEADLINE,
			      now_ns);
	reason = find_backend(balancer, &balancer->tables.services[service],
			      work, now_ns, &backend);
	if (reason == REFUSE_NONE) {
		histogram_add(
			&class_stats_of(balancer,
					&balancer->tables.services[service],
					work->class)
				 ->wait_us,
			0);
		return admit(balancer, backend, work->class, now_ns);
	}
	if (reason == REFUSE_QUEUE)
		reason =
			admit_enqueue(balancer, service, backend, work, now_ns);
	if (reason != REFUSE_NONE)
		return refuse(balancer, service, work->class, reason, now_ns);
	class_stats_of(balancer, &balancer->tables.services[service],
		       work->class)
		->queued++;
	return (struct decision){ .verdict = VERDICT_QUEUED };
}

static void run_due_round(struct balancer *balancer, uint64_t now_ns)
{
	if (now_ns < balancer->next_round_ns)
		return;
	balancer->next_round_ns = now_ns + ROUND_INTERVAL_NS;
	if (now_ns >= balancer->next_eject_ns) {
		balancer->next_eject_ns = now_ns + EJECT_ROUND_INTERVAL_NS;
		eject_slow_targets(balancer, now_ns);
	}
	if (!balancer->n_queued)
		return;
	admit_refuse_late(balancer, now_ns);
	for (uint32_t i = 0; i < balancer->tables.n_targets; i++)
		fair_queue_recheck(balancer, i);
}

static void refuse_expired(struct balancer *balancer, uint64_t now_ns)
{
	while (deadline_heap_earliest_ns(&balancer->deadlines) <= now_ns)
		admit_refuse_queued(balancer, balancer->deadlines.handles[0],
				    REFUSE_DEADLINE);
}

static bool next_refused(struct balancer *balancer, uint64_t now_ns,
			 uint32_t *handle, struct decision *decision)
{
	struct item *item;

	if (balancer->refused.head == INDEX_NONE)
		return false;
	*handle = balancer->refused.head;
	item = &balancer->items[*handle];
	queue_remove(balancer, &balancer->refused, *handle);
	item->state = ITEM_FREE;
	*decision = refuse(balancer, item->service, item->work.class,
			   item->reason, now_ns);
	return true;
}

static void start_queued(struct balancer *balancer, uint32_t handle,
			 uint32_t backend, uint64_t now_ns,
			 struct decision *decision)
{
	struct item *item = &balancer->items[handle];
	struct service *s = &balancer->tables.services[item->service];

	admit_dequeue(balancer, handle);
	admit_record_start(balancer, s, now_ns);
	histogram_add(&class_stats_of(balancer, s, item->work.class)->wait_us,
		      (now_ns - item->queued_ns) / 1000);
	*decision = admit(balancer, backend, item->work.class, now_ns);
}

/**
 * balance_next() - return the decision about one queued item
 * @balancer: balancer
 * @now_ns: current time
 * @handle: set to the handle of the work
 * @decision: set to the decision, VERDICT_ADMITTED or VERDICT_REFUSED
 *
 * To be called after each other call that changes the balancer, and at
 * balance_next_ns(), until it returns false. Then no queued work is past its
 * deadline, and none could use a free slot.
 *
 * Return: true when @handle and @decision were set.
 */
bool balance_next(struct balancer *balancer, uint64_t now_ns, uint32_t *handle,
		  struct decision *decision)
{
	refuse_expired(balancer, now_ns);
	run_due_round(balancer, now_ns);
	if (next_refused(balancer, now_ns, handle, decision))
		return true;
	while (balancer->recheck_head != INDEX_NONE) {
		struct target *t =
			&balancer->tables.targets[balancer->recheck_head];
		uint32_t backend;

		*handle = fair_queue_next(balancer, t, now_ns, &backend);
		if (*handle != INDEX_NONE) {
			start_queued(balancer, *handle, backend, now_ns,
				     decision);
			return true;
		}
		t->needs_recheck = false;
		balancer->recheck_head = t->recheck_next;
	}
	return false;
}

/**
 * balance_cancel() - remove queued work that its caller cancelled
 * @balancer: balancer
 * @handle: handle of the work; ignored when it is not queued
 */
void balance_cancel(struct balancer *balancer, uint32_t handle)
{
	struct item *item;

	if (handle >= balancer->work_max)
		return;
	item = &balancer->items[handle];
	if (item->state == ITEM_QUEUED)
		admit_dequeue(balancer, handle);
	else if (item->state == ITEM_REFUSED)
		queue_remove(balancer, &balancer->refused, handle);
	item->state = ITEM_FREE;
}

/**
 * balance_change_feeds() - count a feed that opened, closed or moved here
 * @balancer: balancer
 * @vip: address of the service; not used
 * @target: address of the target
 * @change: +1 or -1
 */
void balance_change_feeds(struct balancer *balancer, uint64_t vip,
			  uint64_t target, int32_t change)
{
	uint32_t index = tables_find_target(&balancer->tables, target);
	struct target *t;

	(void)vip;
	if (index == INDEX_NONE)
		return;
	t = &balancer->tables.targets[index];
	if (change < 0 && t->feeds < (uint32_t)-change)
		t->feeds = 0;
	else
		t->feeds += (uint32_t)change;
	fair_queue_recheck(balancer, index);
}

/**
 * balance_record_load() - record a load report of a target
 * @balancer: balancer
 * @target: address of the target; ignored when it is not known
 * @report: report
 * @now_ns: current time
 */
void balance_record_load(struct balancer *balancer, uint64_t target,
			 const struct load_report *report, uint64_t now_ns)
{
	uint32_t index = tables_find_target(&balancer->tables, target);
	struct target *t;

	if (index == INDEX_NONE)
		return;
	t = &balancer->tables.targets[index];
	load_view_record_report(&t->load_view, report, t->inflight, now_ns);
	fair_queue_recheck(balancer, index);
}

/**
 * balance_next_ns() - time at which balance_next() must be called at the latest
 * @balancer: balancer
 *
 * Return: the time, 0 for at once, or UINT64_MAX when nothing is queued.
 */
uint64_t balance_next_ns(const struct balancer *balancer)
{
	uint64_t first_ns = deadline_heap_earliest_ns(&balancer->deadlines);

	if (balancer->refused.n)
		return 0;
	if (!balancer->n_queued)
		return UINT64_MAX;
	return first_ns < balancer->next_round_ns ? first_ns
						  : balancer->next_round_ns;
}
