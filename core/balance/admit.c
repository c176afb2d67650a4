/* Queues of work: admission to a queue, order, early refusal, retry times. */
#include "balance_state.h"

#include <string.h>

#define INTERVAL_SAMPLES 8
#define RETRY_AFTER_MAX_S 120
/*
 * Work is queued when its estimated wait is at most 1/ADMIT_WAIT_DEN of the
 * time left: the time to its deadline less the mean duration of a request.
 * Queued work is refused when its estimated wait exceeds
 * LATE_WAIT_NUM/LATE_WAIT_DEN of the time to its deadline.
 */
#define ADMIT_WAIT_DEN 4
#define LATE_WAIT_NUM 5
#define LATE_WAIT_DEN 4
/* 1/OPEN_CAPACITY_DEN of the queue capacity may be used by any account. */
#define OPEN_CAPACITY_DEN 2

/**
 * queue_init() - initialize an empty queue
 * @q: queue
 */
void queue_init(struct queue *q)
{
	*q = (struct queue){ .head = INDEX_NONE, .tail = INDEX_NONE };
}

/**
 * queue_add() - append an item to a queue
 * @balancer: balancer
 * @q: queue
 * @handle: handle of the item, which is in no queue
 */
void queue_add(struct balancer *balancer, struct queue *q, uint32_t handle)
{
	struct item *item = &balancer->items[handle];

	item->next = INDEX_NONE;
	item->prev = q->tail;
	if (q->tail == INDEX_NONE)
		q->head = handle;
	else
		balancer->items[q->tail].next = handle;
	q->tail = handle;
	q->n++;
}

/**
 * queue_remove() - remove an item from its queue
 * @balancer: balancer
 * @q: queue that contains the item
 * @handle: handle of the item
 */
void queue_remove(struct balancer *balancer, struct queue *q, uint32_t handle)
{
	struct item *item = &balancer->items[handle];

	if (item->prev == INDEX_NONE)
		q->head = item->next;
	else
		balancer->items[item->prev].next = item->next;
	if (item->next == INDEX_NONE)
		q->tail = item->prev;
	else
		balancer->items[item->next].prev = item->prev;
	q->n--;
}

static struct queue *item_queue(struct balancer *balancer,
				const struct item *item)
{
	if (item->backend != INDEX_NONE)
		return &balancer->tables.backends[item->backend].pinned;
	return &balancer->tables.services[item->service].queue;
}

/*
 * Estimated time between two starts from the queues. When the last start is
 * longer ago than the average, that time is used instead: with the outdated
 * average, work would be queued behind a queue from which nothing starts.
 */
static uint64_t current_interval_ns(const struct service *s, uint64_t now_ns)
{
	uint64_t idle_ns;

	if (!s->n_queued)
		return s->start_interval_ns;
	idle_ns = now_ns - s->last_start_ns;
	return idle_ns > s->start_interval_ns ? idle_ns : s->start_interval_ns;
}

static bool exceeds_deadline(uint64_t wait_ns, uint64_t deadline_ns,
			     uint64_t now_ns)
{
	return now_ns >= deadline_ns || wait_ns > deadline_ns - now_ns;
}

/* Half of the capacity is open to all, the rest is divided by weight. */
static bool exceeds_share(const struct balancer *balancer,
			  const struct account *a)
{
	uint64_t share;

	if (balancer->n_queued < balancer->work_max / OPEN_CAPACITY_DEN)
		return false;
	share = (uint64_t)(balancer->work_max -
			   balancer->work_max / OPEN_CAPACITY_DEN) *
		a->weight / balancer->tables.weight_sum;
	return a->n_queued > share;
}

/**
 * admit_enqueue() - queue work, or refuse it at once
 * @balancer: balancer
 * @service: index of the service
 * @backend: index of the backend that the work is pinned to, or INDEX_NONE
 * @work: work, copied when it is queued
 * @now_ns: current time
 *
 * Return: REFUSE_NONE when it was queued, else the reason.
 */
uint8_t admit_enqueue(struct balancer *balancer, uint32_t service,
		      uint32_t backend, const struct work *work,
		      uint64_t now_ns)
{
	struct service *s = &balancer->tables.services[service];
	struct account *a = &balancer->tables.accounts[s->account];
	struct item *item = &balancer->items[work->handle];
	uint64_t wait_ns;

	if (s->n_queued >= s->queue_max)
		return REFUSE_QUEUE;
	if (exceeds_share(balancer, a))
		return REFUSE_SHARE;
	wait_ns = current_interval_ns(s, now_ns) * (s->n_queued + 1);
	if (exceeds_deadline(wait_ns * ADMIT_WAIT_DEN + s->mean_duration_ns,
			     work->deadline_ns, now_ns))
		return REFUSE_DEADLINE;
	if (!s->n_queued)
		s->last_start_ns = now_ns;
	item->work = *work;
	item->queued_ns = now_ns;
	item->service = service;
	item->backend = backend;
	item->state = ITEM_QUEUED;
	queue_add(balancer, item_queue(balancer, item), work->handle);
	deadline_heap_add(&balancer->deadlines, work->handle,
			  work->deadline_ns);
	s->n_queued++;
	a->n_queued++;
	balancer->n_queued++;
	return REFUSE_NONE;
}

/**
 * admit_dequeue() - remove a queued item from its queue and the counts
 * @balancer: balancer
 * @handle: handle of the item, in state ITEM_QUEUED
 */
void admit_dequeue(struct balancer *balancer, uint32_t handle)
{
	struct item *item = &balancer->items[handle];
	struct service *s = &balancer->tables.services[item->service];

	queue_remove(balancer, item_queue(balancer, item), handle);
	deadline_heap_remove(&balancer->deadlines, handle);
	s->n_queued--;
	balancer->tables.accounts[s->account].n_queued--;
	balancer->n_queued--;
	item->state = ITEM_FREE;
}

/**
 * admit_refuse_queued() - refuse a queued item; balance_next() returns it
 * @balancer: balancer
 * @handle: handle of the item, in state ITEM_QUEUED
 * @reason: enum refusal
 */
void admit_refuse_queued(struct balancer *balancer, uint32_t handle,
			 uint8_t reason)
{
	admit_dequeue(balancer, handle);
	balancer->items[handle].state = ITEM_REFUSED;
	balancer->items[handle].reason = reason;
	queue_add(balancer, &balancer->refused, handle);
}

/*
 * Reduce the number of refused callers that are expected to retry: by one per
 * average interval between two starts from the queues.
 */
static void expire_returning(struct service *s, uint64_t now_ns)
{
	uint64_t interval_ns =
		s->start_interval_ns ? s->start_interval_ns : NS_PER_MS;
	uint64_t expired_milli =
		(now_ns - s->returning_updated_ns) * 1000 / interval_ns;

	s->returning_updated_ns = now_ns;
	s->returning_milli -= expired_milli < s->returning_milli
				      ? expired_milli
				      : s->returning_milli;
}

/**
 * admit_retry_after_s() - time after which a refused caller should retry
 * @balancer: balancer
 * @s: service; the caller is counted as expected to retry
 * @now_ns: current time
 *
 * With one Max-Age for all refused callers, their load spike would only come
 * later. The retry times are random, within twice the time that it takes to run
 * the queue and the retries of all refused callers that are expected.
 *
 * Return: seconds, 1 to RETRY_AFTER_MAX_S.
 */
uint32_t admit_retry_after_s(struct balancer *balancer, struct service *s,
			     uint64_t now_ns)
{
	uint64_t expected;
	uint64_t window_s;

	expire_returning(s, now_ns);
	s->returning_milli += 1000;
	expected = s->n_queued + s->returning_milli / 1000;
	window_s = 2 * expected * current_interval_ns(s, now_ns) / NS_PER_S;
	if (window_s < 1)
		window_s = 1;
	if (window_s > RETRY_AFTER_MAX_S)
		window_s = RETRY_AFTER_MAX_S;
	return 1 + (uint32_t)(rng_next(&balancer->rng) % window_s);
}

/**
 * admit_record_start() - record that a queued item is sent to a target
 * @balancer: balancer; not used
 * @s: service of the item
 * @now_ns: current time
 */
void admit_record_start(struct balancer *balancer, struct service *s,
			uint64_t now_ns)
{
	uint64_t interval_ns = now_ns - s->last_start_ns;

	(void)balancer;
	s->last_start_ns = now_ns;
	if (!s->start_interval_ns)
		s->start_interval_ns = interval_ns;
	else
		s->start_interval_ns =
			((INTERVAL_SAMPLES - 1) * s->start_interval_ns +
			 interval_ns) /
			INTERVAL_SAMPLES;
}

static void refuse_late_of_service(struct balancer *balancer, struct service *s,
				   uint64_t now_ns)
{
	uint64_t interval_ns = current_interval_ns(s, now_ns);
	uint32_t handle = s->queue.head;
	uint64_t ahead = 0;

	while (handle != INDEX_NONE) {
		uint32_t next = balancer->items[handle].next;

		if (exceeds_deadline(interval_ns * (ahead + 1) / LATE_WAIT_NUM *
					     LATE_WAIT_DEN,
				     balancer->items[handle].work.deadline_ns,
				     now_ns))
			admit_refuse_queued(balancer, handle, REFUSE_DEADLINE);
		else
			ahead++;
		handle = next;
	}
}

/**
 * admit_refuse_late() - refuse queued work that won't start in time
 * @balancer: balancer
 * @now_ns: current time
 *
 * When targets drain or stall, queued work can't meet its deadlines any more.
 * Its callers are refused now, while they still have time to retry.
 */
void admit_refuse_late(struct balancer *balancer, uint64_t now_ns)
{
	for (uint32_t i = 0; i < balancer->tables.n_services; i++)
		if (balancer->tables.services[i].queue.n)
			refuse_late_of_service(balancer,
					       &balancer->tables.services[i],
					       now_ns);
}
