/* Queues: what may wait, for how long, and who is refused early. */
#include "balance_state.h"

#include <string.h>

#define GAP_SAMPLES 8
#define RETRY_AFTER_MAX_S 120
/*
 * Work is let in when its estimated wait is below 1/WAIT_DEN of the time it
 * has left; it is thrown out when the estimate is SLACK_NUM/SLACK_DEN of it.
 */
#define WAIT_DEN 4
#define SLACK_NUM 5
#define SLACK_DEN 4
/* Share of the waiting room that any account may fill. */
#define ROOM_OPEN_DEN 2

/**
 * queue_init() - make a queue empty
 * @q: queue
 */
void queue_init(struct queue *q)
{
	*q = (struct queue){ .head = INDEX_NONE, .tail = INDEX_NONE };
}

/**
 * queue_add() - add an item at the end
 * @b: balancer
 * @q: queue
 * @handle: item
 */
void queue_add(struct balancer *b, struct queue *q, uint32_t handle)
{
	struct item *it = &b->items[handle];

	it->next = INDEX_NONE;
	it->prev = q->tail;
	if (q->tail == INDEX_NONE)
		q->head = handle;
	else
		b->items[q->tail].next = handle;
	q->tail = handle;
	q->n++;
}

/**
 * queue_take() - take an item out
 * @b: balancer
 * @q: queue that holds it
 * @handle: item
 */
void queue_take(struct balancer *b, struct queue *q, uint32_t handle)
{
	struct item *it = &b->items[handle];

	if (it->prev == INDEX_NONE)
		q->head = it->next;
	else
		b->items[it->prev].next = it->next;
	if (it->next == INDEX_NONE)
		q->tail = it->prev;
	else
		b->items[it->next].prev = it->prev;
	q->n--;
}

static struct queue *queue_of(struct balancer *b, const struct item *it)
{
	if (it->place != INDEX_NONE)
		return &b->t.places[it->place].pinned;
	return &b->t.services[it->service].queue;
}

/*
 * Time between two starts from the queue. When nothing started for longer, the
 * mean is out of date, and work would wait behind a queue that stands still.
 */
static uint64_t gap_now_ns(const struct service *s, uint64_t now_ns)
{
	uint64_t idle_ns;

	if (!s->n_waiting)
		return s->gap_ns;
	idle_ns = now_ns - s->started_ns;
	return idle_ns > s->gap_ns ? idle_ns : s->gap_ns;
}

static bool starts_late(uint64_t wait_ns, uint64_t deadline_ns, uint64_t now_ns)
{
	return now_ns >= deadline_ns || wait_ns > deadline_ns - now_ns;
}

/* Half of the room is open to all, the rest is shared out by weight. */
static bool over_share(const struct balancer *b, const struct account *a)
{
	uint64_t share;

	if (b->n_waiting < b->work_max / ROOM_OPEN_DEN)
		return false;
	share = (uint64_t)(b->work_max - b->work_max / ROOM_OPEN_DEN) *
		a->weight / b->t.weights;
	return a->n_waiting > share;
}

/**
 * admit_wait() - let a piece of work wait, or refuse it at once
 * @b: balancer
 * @service: index
 * @place: place it is pinned to, or INDEX_NONE
 * @w: work
 * @now_ns: time
 *
 * Return: REFUSE_NONE when it waits, else the reason.
 */
uint8_t admit_wait(struct balancer *b, uint32_t service, uint32_t place,
		   const struct work *w, uint64_t now_ns)
{
	struct service *s = &b->t.services[service];
	struct account *a = &b->t.accounts[s->account];
	struct item *it = &b->items[w->handle];
	uint64_t wait_ns;

	if (s->n_waiting >= s->queue_max)
		return REFUSE_QUEUE;
	if (over_share(b, a))
		return REFUSE_SHARE;
	wait_ns = gap_now_ns(s, now_ns) * (s->n_waiting + 1);
	if (starts_late(wait_ns * WAIT_DEN + s->took_ns, w->deadline_ns,
			now_ns))
		return REFUSE_DEADLINE;
	if (!s->n_waiting)
		s->started_ns = now_ns;
	it->work = *w;
	it->queued_ns = now_ns;
	it->service = service;
	it->place = place;
	it->state = ITEM_WAITING;
	queue_add(b, queue_of(b, it), w->handle);
	deadline_heap_add(&b->deadlines, w->handle, w->deadline_ns);
	s->n_waiting++;
	a->n_waiting++;
	b->n_waiting++;
	return REFUSE_NONE;
}

/**
 * admit_leave() - take a waiting item out of its queue
 * @b: balancer
 * @handle: item
 */
void admit_leave(struct balancer *b, uint32_t handle)
{
	struct item *it = &b->items[handle];
	struct service *s = &b->t.services[it->service];

	queue_take(b, queue_of(b, it), handle);
	deadline_heap_remove(&b->deadlines, handle);
	s->n_waiting--;
	b->t.accounts[s->account].n_waiting--;
	b->n_waiting--;
	it->state = ITEM_FREE;
}

/**
 * admit_doom() - have a waiting item refused at the next balance_next()
 * @b: balancer
 * @handle: item
 * @reason: enum refusal
 */
void admit_doom(struct balancer *b, uint32_t handle, uint8_t reason)
{
	admit_leave(b, handle);
	b->items[handle].state = ITEM_DOOMED;
	b->items[handle].reason = reason;
	queue_add(b, &b->doomed, handle);
}

/* Refused callers come back; those whose time has come are no longer owed. */
static void pay_debt(struct service *s, uint64_t now_ns)
{
	uint64_t gap_ns = s->gap_ns ? s->gap_ns : NS_PER_MS;
	uint64_t paid_milli = (now_ns - s->debt_ns) * 1000 / gap_ns;

	s->debt_ns = now_ns;
	s->debt_milli -=
		paid_milli < s->debt_milli ? paid_milli : s->debt_milli;
}

/**
 * admit_retry_after_s() - when a refused caller should come back
 * @b: balancer
 * @s: service
 * @now_ns: time
 *
 * Refusing a thousand callers with one Max-Age only moves their peak. Each
 * refusal is owed a start later, and the window over which they are spread is
 * twice the time that the backlog and all that is owed take to run.
 *
 * Return: seconds, at least 1.
 */
uint32_t admit_retry_after_s(struct balancer *b, struct service *s,
			     uint64_t now_ns)
{
	uint64_t owed;
	uint64_t window_s;

	pay_debt(s, now_ns);
	s->debt_milli += 1000;
	owed = s->n_waiting + s->debt_milli / 1000;
	window_s = 2 * owed * gap_now_ns(s, now_ns) / NS_PER_S;
	if (window_s < 1)
		window_s = 1;
	if (window_s > RETRY_AFTER_MAX_S)
		window_s = RETRY_AFTER_MAX_S;
	return 1 + (uint32_t)(rng_next(&b->rng) % window_s);
}

/**
 * admit_started() - an item of the service's queue goes to a target
 * @b: balancer
 * @s: service
 * @now_ns: time
 */
void admit_started(struct balancer *b, struct service *s, uint64_t now_ns)
{
	uint64_t gap_ns = now_ns - s->started_ns;

	(void)b;
	s->started_ns = now_ns;
	if (!s->gap_ns)
		s->gap_ns = gap_ns;
	else
		s->gap_ns =
			((GAP_SAMPLES - 1) * s->gap_ns + gap_ns) / GAP_SAMPLES;
}

static void sweep_service(struct balancer *b, struct service *s,
			  uint64_t now_ns)
{
	uint64_t gap_ns = gap_now_ns(s, now_ns);
	uint32_t handle = s->queue.head;
	uint64_t ahead = 0;

	while (handle != INDEX_NONE) {
		uint32_t next = b->items[handle].next;

		if (starts_late(gap_ns * (ahead + 1) / SLACK_NUM * SLACK_DEN,
				b->items[handle].work.deadline_ns, now_ns))
			admit_doom(b, handle, REFUSE_DEADLINE);
		else
			ahead++;
		handle = next;
	}
}

/**
 * admit_sweep() - refuse what waits and can no longer start in time
 * @b: balancer
 * @now_ns: time
 *
 * Targets that drain or stall make a queue too long for deadlines that it could
 * meet before. Its callers get their answer now, while another try is of use.
 */
void admit_sweep(struct balancer *b, uint64_t now_ns)
{
	for (uint32_t i = 0; i < b->t.n_services; i++)
		if (b->t.services[i].queue.n)
			sweep_service(b, &b->t.services[i], now_ns);
}
