/*
 * Whose turn it is at a target: start-time fair queueing over the slot time
 * that each service took there, by its client account's weight.
 */
#include "balance_state.h"

/* Slot time of a request before one has ended. */
#define TOOK_DEFAULT_NS (20 * NS_PER_MS)
/* Items at a queue's head of which one may go while others may not. */
#define LOOK_AHEAD 4
#define SERVED_SCALE 1000

static struct place *link(struct balancer *b, const struct target *t,
			  uint32_t i)
{
	return &b->t.places[b->t.links[t->first_link + i]];
}

/* Services of the same account that wait for this target share its part. */
static uint32_t siblings(struct balancer *b, const struct target *t,
			 const struct place *self)
{
	uint32_t account = b->t.services[self->service].account;
	uint32_t n = 1;

	for (uint32_t i = 0; i < t->n_links; i++) {
		const struct place *p = link(b, t, i);
		const struct service *s = &b->t.services[p->service];

		if (p != self && s->account == account && s->n_waiting)
			n++;
	}
	return n;
}

static uint64_t cost_of(struct balancer *b, const struct target *t,
			const struct place *p)
{
	const struct service *s = &b->t.services[p->service];
	uint64_t took_ns = s->took_ns ? s->took_ns : TOOK_DEFAULT_NS;

	return took_ns * SERVED_SCALE / b->t.accounts[s->account].weight *
	       siblings(b, t, p);
}

/*
 * A service that was idle must not have saved up a claim on the target, or its
 * burst would shut out those who kept working: it starts one request behind.
 */
static uint64_t served_of(struct balancer *b, const struct target *t,
			  const struct place *p)
{
	uint64_t cost = cost_of(b, t, p);

	if (p->served + cost < t->served)
		return t->served - cost;
	return p->served;
}

/**
 * fair_charge() - a request of the place's service takes a slot of its target
 * @b: balancer
 * @p: place
 */
void fair_charge(struct balancer *b, struct place *p)
{
	struct target *t = &b->t.targets[p->target];

	if (t->n_links < 2)
		return;
	p->served = served_of(b, t, p);
	if (p->served > t->served)
		t->served = p->served;
	p->served += cost_of(b, t, p);
}

static uint32_t first_pinned(struct balancer *b, struct place *p,
			     uint64_t now_ns)
{
	uint32_t handle = p->pinned.head;
	struct target *t = &b->t.targets[p->target];

	if (handle == INDEX_NONE)
		return INDEX_NONE;
	if (!pick_pinned_room(&b->t.services[p->service], t,
			      &b->items[handle].work, now_ns))
		return INDEX_NONE;
	return handle;
}

static uint32_t first_free(struct balancer *b, struct place *p, uint64_t now_ns)
{
	uint32_t handle = b->t.services[p->service].queue.head;

	for (uint32_t i = 0; i < LOOK_AHEAD && handle != INDEX_NONE; i++) {
		if (pick_allowed(b, p, &b->items[handle].work, now_ns))
			return handle;
		handle = b->items[handle].next;
	}
	return INDEX_NONE;
}

/* Of a service's two queues the older head goes first. */
static uint32_t first_of(struct balancer *b, struct place *p, uint64_t now_ns)
{
	uint32_t pinned = first_pinned(b, p, now_ns);
	uint32_t free = first_free(b, p, now_ns);

	if (pinned == INDEX_NONE)
		return free;
	if (free == INDEX_NONE)
		return pinned;
	return b->items[pinned].queued_ns <= b->items[free].queued_ns ? pinned
								      : free;
}

/**
 * fair_next() - waiting item that is to have a target's free slot
 * @b: balancer
 * @t: target
 * @now_ns: time
 * @place: place through which it goes
 *
 * Return: its handle, or INDEX_NONE when nothing can go there.
 */
uint32_t fair_next(struct balancer *b, struct target *t, uint64_t now_ns,
		   uint32_t *place)
{
	uint32_t best = INDEX_NONE;
	uint64_t best_served = 0;

	for (uint32_t i = 0; i < t->n_links; i++) {
		struct place *p = link(b, t, i);
		uint64_t served;
		uint32_t handle;

		if (!b->t.services[p->service].n_waiting)
			continue;
		handle = first_of(b, p, now_ns);
		if (handle == INDEX_NONE)
			continue;
		served = served_of(b, t, p);
		if (best != INDEX_NONE && served >= best_served)
			continue;
		best = handle;
		best_served = served;
		*place = b->t.links[t->first_link + i];
	}
	return best;
}

/**
 * fair_ready() - look at a target's queues at the next balance_next()
 * @b: balancer
 * @target: index
 */
void fair_ready(struct balancer *b, uint32_t target)
{
	struct target *t = &b->t.targets[target];

	if (t->ready)
		return;
	t->ready = true;
	t->ready_next = b->ready;
	b->ready = target;
}
