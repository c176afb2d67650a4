#include "opening_queue.h"

#include <stdlib.h>

/**
 * struct turn - when a route was last served
 * @vip: VIP of the route
 * @served: number of openings that had been admitted by then
 */
struct turn {
	uint64_t vip;
	uint64_t served;
};

struct opening_queue {
	struct opening openings[OPENINGS_MAX];
	uint32_t count;
	struct turn turns[OPENING_ROUTES_MAX];
	uint64_t served;
};

/**
 * opening_queue_new() - create an empty queue
 *
 * Return: queue, to be freed with opening_queue_free(), or NULL when out of
 * memory.
 */
struct opening_queue *opening_queue_new(void)
{
	return calloc(1, sizeof(struct opening_queue));
}

void opening_queue_free(struct opening_queue *queue)
{
	free(queue);
}

/**
 * opening_queue_add() - hold an opening
 * @queue: queue
 * @opening: opening, copied; its flow must not be in the queue
 *
 * Return: false when the queue is full.
 */
bool opening_queue_add(struct opening_queue *queue,
		       const struct opening *opening)
{
	if (queue->count == OPENINGS_MAX)
		return false;
	queue->openings[queue->count++] = *opening;
	return true;
}

/**
 * opening_queue_remove() - drop a held opening
 * @queue: queue
 * @opening: opening in the queue; invalid afterwards, like all others that the
 *	queue returned
 */
void opening_queue_remove(struct opening_queue *queue,
			  const struct opening *opening)
{
	uint32_t i = (uint32_t)(opening - queue->openings);

	queue->openings[i] = queue->openings[--queue->count];
}

uint32_t opening_queue_count(const struct opening_queue *queue)
{
	return queue->count;
}

/**
 * opening_queue_find() - look up the opening of a flow
 * @queue: queue
 * @key: client address and VIP
 *
 * Return: opening, valid until the queue is changed, or NULL.
 */
const struct opening *opening_queue_find(const struct opening_queue *queue,
					 const struct flow_key *key)
{
	for (uint32_t i = 0; i < queue->count; i++)
		if (queue->openings[i].key.caller == key->caller &&
		    queue->openings[i].key.vip == key->vip)
			return &queue->openings[i];
	return NULL;
}

/**
 * opening_queue_ahead() - count the openings that are admitted before a new one
 * @queue: queue
 * @service: number of the service in the directory
 * @priority: priority of the new one
 *
 * Return: held openings of the service that are as urgent or more.
 */
uint32_t opening_queue_ahead(const struct opening_queue *queue,
			     uint32_t service, uint8_t priority)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < queue->count; i++)
		n += queue->openings[i].service == service &&
		     queue->openings[i].priority <= priority;
	return n;
}

static const struct turn *find_turn(const struct opening_queue *queue,
				    uint64_t vip)
{
	const struct turn *last = &queue->turns[OPENING_ROUTES_MAX - 1];

	for (const struct turn *t = queue->turns; t < last; t++)
		if (t->vip == vip || !t->vip)
			return t;
	return last;
}

/**
 * opening_queue_take_turn() - record that an opening of a route was admitted
 * @queue: queue
 * @vip: VIP of the route
 */
void opening_queue_take_turn(struct opening_queue *queue, uint64_t vip)
{
	struct turn *t = &queue->turns[find_turn(queue, vip) - queue->turns];

	t->vip = vip;
	t->served = ++queue->served;
}

/**
 * struct order - what the order of two openings depends on
 * @in_time: its request can still meet the latency objective
 * @opening: opening
 * @served: when its route was last served, as in struct turn
 */
struct order {
	bool in_time;
	const struct opening *opening;
	uint64_t served;
};

/*
 * Whether @a is admitted before @b: the more urgent first, then those that can
 * be in time, since the others are late in any case, then the route that was
 * served less recently. Of those in time the newest comes first: in overload
 * the order of arrival would make each of them late. Of late ones the oldest,
 * since its client gives up first.
 */
static bool is_before(const struct order *a, const struct order *b)
{
	if (a->opening->priority != b->opening->priority)
		return a->opening->priority < b->opening->priority;
	if (a->in_time != b->in_time)
		return a->in_time;
	if (a->served != b->served)
		return a->served < b->served;
	return a->in_time ? a->opening->arrived_ns > b->opening->arrived_ns
			  : a->opening->arrived_ns < b->opening->arrived_ns;
}

/**
 * opening_queue_next() - get the opening to admit first
 * @queue: queue
 * @service: number of the service in the directory
 * @work_ns: mean time that its targets need for a request
 * @now_ns: current time
 *
 * Return: opening, valid until the queue is changed; NULL when none is held for
 * the service.
 */
const struct opening *opening_queue_next(const struct opening_queue *queue,
					 uint32_t service, uint64_t work_ns,
					 uint64_t now_ns)
{
	struct order best = { 0 };

	for (uint32_t i = 0; i < queue->count; i++) {
		const struct opening *o = &queue->openings[i];
		struct order order = {
			.in_time = now_ns + work_ns <= o->objective_deadline_ns,
			.opening = o,
			.served = find_turn(queue, o->key.vip)->served,
		};

		if (o->service != service)
			continue;
		if (!best.opening || is_before(&order, &best))
			best = order;
	}
	return best.opening;
}

/**
 * opening_queue_expired() - get an opening that may not be held any longer
 * @queue: queue
 * @now_ns: current time
 *
 * Return: opening, valid until the queue is changed, or NULL.
 */
const struct opening *opening_queue_expired(const struct opening_queue *queue,
					    uint64_t now_ns)
{
	for (uint32_t i = 0; i < queue->count; i++)
		if (queue->openings[i].expires_ns <= now_ns)
			return &queue->openings[i];
	return NULL;
}

/**
 * opening_queue_oldest() - get the opening of a service that came first
 * @queue: queue
 * @service: number of the service in the directory
 *
 * Return: opening, valid until the queue is changed, or NULL.
 */
const struct opening *opening_queue_oldest(const struct opening_queue *queue,
					   uint32_t service)
{
	const struct opening *oldest = NULL;

	for (uint32_t i = 0; i < queue->count; i++) {
		const struct opening *o = &queue->openings[i];

		if (o->service == service &&
		    (!oldest || o->arrived_ns < oldest->arrived_ns))
			oldest = o;
	}
	return oldest;
}
