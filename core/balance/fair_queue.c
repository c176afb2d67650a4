/*
 * Weighted fair queueing of the services that share a target: start-time fair
 * queueing by the slot time that each service uses, weighted by client account.
 */
#include "balance_state.h"

/* Assumed slot time of a request before one of its service has ended. */
#define DURATION_DEFAULT_NS (20 * NS_PER_MS)
/* Items at the head of a queue that are checked for one that may start. */
#define QUEUE_SCAN_MAX 4
#define COST_SCALE 1000

static struct backend *linked_backend(struct balancer *balancer,
				      const struct target *t, uint32_t i)
{
	return &balancer->tables
			.backends[balancer->tables.links[t->first_link + i]];
}

/*
 * Number of services of the backend's account with queued work that list the
 * target, including its own: they divide the account's share.
 */
static uint32_t count_sharing(struct balancer *balancer, const struct target *t,
			      const struct backend *self)
{
	uint32_t account = balancer->tables.services[self->service].account;
	uint32_t n = 1;

	for (uint32_t i = 0; i < t->n_links; i++) {
		const struct backend *be = linked_backend(balancer, t, i);
		const struct service *s =
			&balancer->tables.services[be->service];

		if (be != self && s->account == account && s->n_queued)
			n++;
	}
	return n;
}

static uint64_t cost_of(struct balancer *balancer, const struct target *t,
			const struct backend *be)
{
	const struct service *s = &balancer->tables.services[be->service];
	uint64_t duration_ns =
		s->mean_duration_ns ? s->mean_duration_ns : DURATION_DEFAULT_NS;

	return duration_ns * COST_SCALE /
	       balancer->tables.accounts[s->account].weight *
	       count_sharing(balancer, t, be);
}

/*
 * Start tag of the backend's next request. A service that was idle starts one
 * request behind the target's virtual time. With its old finish tag, a burst of
 * it would block the services that were busy meanwhile.
 */
static uint64_t start_tag(struct balancer *balancer, const struct target *t,
			  const struct backend *be)
{
	uint64_t cost = cost_of(balancer, t, be);

	if (be->finish_tag + cost < t->virtual_time)
		return t->virtual_time - cost;
	return be->finish_tag;
}

/**
 * fair_queue_charge() - charge a request that is sent to a backend
 * @balancer: balancer
 * @be: backend; its finish tag and the target's virtual time advance
 */
void fair_queue_charge(struct balancer *balancer, struct backend *be)
{
	struct target *t = &balancer->tables.targets[be->target];

	if (t->n_links < 2)
		return;
	be->finish_tag = start_tag(balancer, t, be);
	if (be->finish_tag > t->virtual_time)
		t->virtual_time = be->finish_tag;
	be->finish_tag += cost_of(balancer, t, be);
}

static uint32_t startable_pinned(struct balancer *balancer, struct backend *be,
				 uint64_t now_ns)
{
	uint32_t handle = be->pinned.head;
	struct target *t = &balancer->tables.targets[be->target];

	if (handle == INDEX_NONE)
		return INDEX_NONE;
	if (!select_allows_pinned(&balancer->tables.services[be->service], t,
				  &balancer->items[handle].work, now_ns))
		return INDEX_NONE;
	return handle;
}

static uint32_t startable_unpinned(struct balancer *balancer,
				   struct backend *be, uint64_t now_ns)
{
	uint32_t handle = balancer->tables.services[be->service].queue.head;

	for (uint32_t i = 0; i < QUEUE_SCAN_MAX && handle != INDEX_NONE; i++) {
		if (select_allows(balancer, be, &balancer->items[handle].work,
				  now_ns))
			return handle;
		handle = balancer->items[handle].next;
	}
	return INDEX_NONE;
}

/* Of the items that may start, pinned or not, the one that was queued first. */
static uint32_t first_startable(struct balancer *balancer, struct backend *be,
				uint64_t now_ns)
{
	uint32_t pinned = startable_pinned(balancer, be, now_ns);
	uint32_t unpinned = startable_unpinned(balancer, be, now_ns);

	if (pinned == INDEX_NONE)
		return unpinned;
	if (unpinned == INDEX_NONE)
		return pinned;
	return balancer->items[pinned].queued_ns <=
			       balancer->items[unpinned].queued_ns
		       ? pinned
		       : unpinned;
}

/**
 * fair_queue_next() - find the queued item that gets a target's next free slot
 * @balancer: balancer
 * @t: target
 * @now_ns: current time
 * @backend: set to the index of the backend that the item is sent to
 *
 * Return: handle of the item, which remains queued, or INDEX_NONE when no item
 * may start at the target now.
 */
uint32_t fair_queue_next(struct balancer *balancer, struct target *t,
			 uint64_t now_ns, uint32_t *backend)
{
	uint32_t best = INDEX_NONE;
	uint64_t best_tag = 0;

	for (uint32_t i = 0; i < t->n_links; i++) {
		struct backend *be = linked_backend(balancer, t, i);
		uint64_t tag;
		uint32_t handle;

		if (!balancer->tables.services[be->service].n_queued)
			continue;
		handle = first_startable(balancer, be, now_ns);
		if (handle == INDEX_NONE)
			continue;
		tag = start_tag(balancer, t, be);
		if (best != INDEX_NONE && tag >= best_tag)
			continue;
		best = handle;
		best_tag = tag;
		*backend = balancer->tables.links[t->first_link + i];
	}
	return best;
}

/**
 * fair_queue_recheck() - have balance_next() check a target for a free slot
 * @balancer: balancer
 * @target: index of the target
 */
void fair_queue_recheck(struct balancer *balancer, uint32_t target)
{
	struct target *t = &balancer->tables.targets[target];

	if (t->needs_recheck)
		return;
	t->needs_recheck = true;
	t->recheck_next = balancer->recheck_head;
	balancer->recheck_head = target;
}
