#include "balance_state.h"

#include <errno.h>
#include <stdlib.h>

#define EJECT_ROUND_NS (500 * NS_PER_MS)

/**
 * balance_new() - make a balancer that has no configuration yet
 * @work_max: handles of work are below this
 * @rng: random source
 *
 * Return: the balancer, NULL without memory.
 */
struct balancer *balance_new(uint32_t work_max, struct rng rng)
{
	struct balancer *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->items = calloc(work_max, sizeof(*b->items));
	if (!b->items || deadline_heap_init(&b->deadlines, work_max)) {
		free(b->items);
		free(b);
		return NULL;
	}
	queue_init(&b->doomed);
	b->work_max = work_max;
	b->ready = INDEX_NONE;
	b->n_entries = 1;
	b->rng = rng;
	return b;
}

/**
 * balance_free() - free it, with all that waits
 * @b: balancer, or NULL
 */
void balance_free(struct balancer *b)
{
	if (!b)
		return;
	tables_clear(&b->t);
	deadline_heap_destroy(&b->deadlines);
	free(b->items);
	free(b);
}

/**
 * balance_config() - put a configuration in force
 * @b: balancer
 * @c: configuration, read only during the call
 * @now_ns: time
 *
 * Waiting work stays in its queues. Work of a service, or pinned to a target,
 * that is gone comes out of balance_next() as refused.
 *
 * Return: 0, or -ENOMEM with the old configuration in force.
 */
int balance_config(struct balancer *b, const struct config *c, uint64_t now_ns)
{
	return tables_build(b, c, now_ns);
}

/**
 * balance_peers() - tell the entries among which targets are shared
 * @b: balancer
 * @n_entries: entries of the data centre, this one included
 * @self_rank: this entry's place among them in an order that all agree on
 */
void balance_peers(struct balancer *b, uint32_t n_entries, uint32_t self_rank)
{
	uint32_t n = n_entries ? n_entries : 1;

	if (b->n_entries == n && b->rank == self_rank % n)
		return;
	b->n_entries = n;
	b->rank = self_rank % n;
	shares_deal(b);
}

static struct ruling refuse(struct balancer *b, uint32_t service, uint8_t class,
			    uint8_t reason, uint64_t now_ns)
{
	struct ruling r = { .verdict = VERDICT_REFUSED, .reason = reason };
	struct service *s;

	if (service == INDEX_NONE) {
		r.retry_after_s = 1;
		return r;
	}
	s = &b->t.services[service];
	stats_of(b, s, class)->refused[reason]++;
	r.retry_after_s = admit_retry_after_s(b, s, now_ns);
	return r;
}

static struct ruling go(struct balancer *b, uint32_t place, uint8_t class,
			uint64_t now_ns)
{
	struct place *p = &b->t.places[place];
	struct ruling r = { .verdict = VERDICT_GO };

	pick_count(b, place, now_ns);
	fair_charge(b, p);
	stats_of(b, &b->t.services[p->service], class)->admitted++;
	r.target = b->t.targets[p->target].addr;
	return r;
}

/* Find room for the work now; REFUSE_QUEUE says that it has to wait. */
static uint8_t find_room(struct balancer *b, struct service *s,
			 const struct work *w, uint64_t now_ns, uint32_t *place)
{
	if (w->pinned != ADDR_NONE) {
		struct place *p;

		*place = tables_place(&b->t, s, w->pinned);
		if (*place == INDEX_NONE)
			return REFUSE_NO_TARGET;
		p = &b->t.places[*place];
		if (p->pinned.n ||
		    !pick_pinned_room(s, &b->t.targets[p->target], w, now_ns))
			return REFUSE_QUEUE;
		return REFUSE_NONE;
	}
	*place = INDEX_NONE;
	if (!s->n_candidates)
		return REFUSE_NO_TARGET;
	if (s->queue.n)
		return REFUSE_QUEUE;
	switch (pick_place(b, s, w, now_ns, place)) {
	case PICK_FOUND:
		return REFUSE_NONE;
	case PICK_CONNECTIONS:
		return REFUSE_CONNECTIONS;
	case PICK_NONE:
		return REFUSE_NO_TARGET;
	default:
		return REFUSE_QUEUE;
	}
}

/**
 * balance_submit() - a request or a feed wants a target
 * @b: balancer
 * @w: what it wants; copied when it has to wait
 * @now_ns: time
 *
 * Return: VERDICT_GO with the target, VERDICT_QUEUED when balance_next() will
 * tell, or VERDICT_REFUSED with the reason and when to come back.
 */
struct ruling balance_submit(struct balancer *b, const struct work *w,
			     uint64_t now_ns)
{
	uint32_t service = tables_service(&b->t, w->vip);
	uint32_t place;
	uint8_t reason;

	if (service == INDEX_NONE)
		return refuse(b, service, w->class, REFUSE_NO_TARGET, now_ns);
	if (w->handle >= b->work_max)
		return refuse(b, service, w->class, REFUSE_MEMORY, now_ns);
	if (now_ns >= w->deadline_ns)
		return refuse(b, service, w->class, REFUSE_DEADLINE, now_ns);
	reason = find_room(b, &b->t.services[service], w, now_ns, &place);
	if (reason == REFUSE_NONE) {
		histogram_add(&stats_of(b, &b->t.services[service], w->class)
				       ->wait_us,
			      0);
		return go(b, place, w->class, now_ns);
	}
	if (reason == REFUSE_QUEUE)
		reason = admit_wait(b, service, place, w, now_ns);
	if (reason != REFUSE_NONE)
		return refuse(b, service, w->class, reason, now_ns);
	stats_of(b, &b->t.services[service], w->class)->queued++;
	return (struct ruling){ .verdict = VERDICT_QUEUED };
}

static void round_due(struct balancer *b, uint64_t now_ns)
{
	if (now_ns < b->round_deadline_ns)
		return;
	b->round_deadline_ns = now_ns + ROUND_NS;
	if (now_ns >= b->eject_deadline_ns) {
		b->eject_deadline_ns = now_ns + EJECT_ROUND_NS;
		eject_round(b, now_ns);
	}
	if (!b->n_waiting)
		return;
	admit_sweep(b, now_ns);
	for (uint32_t i = 0; i < b->t.n_targets; i++)
		fair_ready(b, i);
}

static void doom_expired(struct balancer *b, uint64_t now_ns)
{
	while (deadline_heap_earliest_ns(&b->deadlines) <= now_ns)
		admit_doom(b, b->deadlines.handles[0], REFUSE_DEADLINE);
}

static bool next_doomed(struct balancer *b, uint64_t now_ns, uint32_t *handle,
			struct ruling *r)
{
	struct item *it;

	if (b->doomed.head == INDEX_NONE)
		return false;
	*handle = b->doomed.head;
	it = &b->items[*handle];
	queue_take(b, &b->doomed, *handle);
	it->state = ITEM_FREE;
	*r = refuse(b, it->service, it->work.class, it->reason, now_ns);
	return true;
}

static void start_waiting(struct balancer *b, uint32_t handle, uint32_t place,
			  uint64_t now_ns, struct ruling *r)
{
	struct item *it = &b->items[handle];
	struct service *s = &b->t.services[it->service];

	admit_leave(b, handle);
	admit_started(b, s, now_ns);
	histogram_add(&stats_of(b, s, it->work.class)->wait_us,
		      (now_ns - it->queued_ns) / 1000);
	*r = go(b, place, it->work.class, now_ns);
}

/**
 * balance_next() - what has become of waiting work; call it after each event
 *	and when balance_next_ns() is due, until it returns false
 * @b: balancer
 * @now_ns: time
 * @handle: the work
 * @r: VERDICT_GO or VERDICT_REFUSED
 *
 * When it returns false, nothing waits past its deadline and no queue stands
 * before a free slot that it may use.
 *
 * Return: true when @handle and @r were set.
 */
bool balance_next(struct balancer *b, uint64_t now_ns, uint32_t *handle,
		  struct ruling *r)
{
	doom_expired(b, now_ns);
	round_due(b, now_ns);
	if (next_doomed(b, now_ns, handle, r))
		return true;
	while (b->ready != INDEX_NONE) {
		struct target *t = &b->t.targets[b->ready];
		uint32_t place;

		*handle = fair_next(b, t, now_ns, &place);
		if (*handle != INDEX_NONE) {
			start_waiting(b, *handle, place, now_ns, r);
			return true;
		}
		t->ready = false;
		b->ready = t->ready_next;
	}
	return false;
}

/**
 * balance_cancel() - the caller gave up on work that waits
 * @b: balancer
 * @handle: the work; nothing happens when it does not wait
 */
void balance_cancel(struct balancer *b, uint32_t handle)
{
	struct item *it;

	if (handle >= b->work_max)
		return;
	it = &b->items[handle];
	if (it->state == ITEM_WAITING)
		admit_leave(b, handle);
	else if (it->state == ITEM_DOOMED)
		queue_take(b, &b->doomed, handle);
	it->state = ITEM_FREE;
}

/**
 * balance_feed() - a feed opened or closed, or was taken over
 * @b: balancer
 * @vip: service
 * @target: its target
 * @change: +1 or -1
 */
void balance_feed(struct balancer *b, uint64_t vip, uint64_t target,
		  int32_t change)
{
	uint32_t index = tables_target(&b->t, target);
	struct target *t;

	(void)vip;
	if (index == INDEX_NONE)
		return;
	t = &b->t.targets[index];
	if (change < 0 && t->feeds < (uint32_t)-change)
		t->feeds = 0;
	else
		t->feeds += (uint32_t)change;
	fair_ready(b, index);
}

/**
 * balance_report() - a target told its load
 * @b: balancer
 * @target: the target
 * @report: what it told
 * @now_ns: time
 */
void balance_report(struct balancer *b, uint64_t target,
		    const struct load_report *report, uint64_t now_ns)
{
	uint32_t index = tables_target(&b->t, target);
	struct target *t;

	if (index == INDEX_NONE)
		return;
	t = &b->t.targets[index];
	view_report(&t->view, report, t->inflight, now_ns);
	fair_ready(b, index);
}

/**
 * balance_next_ns() - when balance_next() has to be called at the latest
 * @b: balancer
 *
 * Return: time, UINT64_MAX while nothing waits.
 */
uint64_t balance_next_ns(const struct balancer *b)
{
	uint64_t first_ns = deadline_heap_earliest_ns(&b->deadlines);

	if (b->doomed.n)
		return 0;
	if (!b->n_waiting)
		return UINT64_MAX;
	return first_ns < b->round_deadline_ns ? first_ns
					       : b->round_deadline_ns;
}
