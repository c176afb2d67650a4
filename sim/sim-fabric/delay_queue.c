#include "fabric.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/* A binary heap of indexes into @pool; @heap[0] is due first. */
struct delay_queue {
	uint32_t capacity;
	uint32_t n;
	uint64_t next_order;
	uint32_t *heap;
	struct delayed_datagram *pool;
};

/**
 * delay_queue_new() - create a queue of delayed datagrams
 * @capacity: greatest number of datagrams
 *
 * Return: empty queue, to be freed with delay_queue_free().
 */
struct delay_queue *delay_queue_new(uint32_t capacity)
{
	struct delay_queue *q = g_new0(struct delay_queue, 1);
	uint32_t i;

	q->capacity = capacity;
	q->pool = g_new0(struct delayed_datagram, capacity);
	q->heap = g_new(uint32_t, capacity);
	for (i = 0; i < capacity; i++)
		q->heap[i] = i;
	return q;
}

void delay_queue_free(struct delay_queue *q)
{
	if (!q)
		return;
	g_free(q->pool);
	g_free(q->heap);
	g_free(q);
}

static bool is_due_before(const struct delay_queue *q, uint32_t i, uint32_t j)
{
	const struct delayed_datagram *a = &q->pool[q->heap[i]];
	const struct delayed_datagram *b = &q->pool[q->heap[j]];

	if (a->due_ns != b->due_ns)
		return a->due_ns < b->due_ns;
	return a->order < b->order;
}

static void swap(struct delay_queue *q, uint32_t i, uint32_t j)
{
	uint32_t index = q->heap[i];

	q->heap[i] = q->heap[j];
	q->heap[j] = index;
}

static void sift_up(struct delay_queue *q, uint32_t i)
{
	while (i && is_due_before(q, i, (i - 1) / 2)) {
		swap(q, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct delay_queue *q)
{
	uint32_t i = 0;
	uint32_t child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= q->n)
			return;
		if (child + 1 < q->n && is_due_before(q, child + 1, child))
			child++;
		if (!is_due_before(q, child, i))
			return;
		swap(q, i, child);
		i = child;
	}
}

/**
 * delay_queue_put() - add a datagram
 * @q: queue
 * @datagram: datagram, copied; @datagram->order is ignored
 *
 * Return: 0, or -ENOBUFS if the queue is full.
 */
int delay_queue_put(struct delay_queue *q,
		    const struct delayed_datagram *datagram)
{
	struct delayed_datagram *copy;

	if (q->n == q->capacity)
		return -ENOBUFS;
	copy = &q->pool[q->heap[q->n]];
	copy->due_ns = datagram->due_ns;
	copy->order = q->next_order++;
	copy->to = datagram->to;
	copy->via = datagram->via;
	copy->size_bytes = datagram->size_bytes;
	memcpy(copy->data, datagram->data, datagram->size_bytes);
	sift_up(q, q->n++);
	return 0;
}

/**
 * delay_queue_pop_due() - remove the next datagram that is due
 * @q: queue
 * @now_ns: monotonic time
 *
 * Return: datagram, valid until the next delay_queue_put(), or NULL.
 */
const struct delayed_datagram *delay_queue_pop_due(struct delay_queue *q,
						   uint64_t now_ns)
{
	uint32_t first;

	if (q->n == 0 || q->pool[q->heap[0]].due_ns > now_ns)
		return NULL;
	first = q->heap[0];
	swap(q, 0, --q->n);
	sift_down(q);
	return &q->pool[first];
}

/**
 * delay_queue_next_ns() - time at which the next datagram is due
 * @q: queue
 *
 * Return: monotonic time, NEVER_NS if the queue is empty.
 */
uint64_t delay_queue_next_ns(const struct delay_queue *q)
{
	return q->n ? q->pool[q->heap[0]].due_ns : NEVER_NS;
}
