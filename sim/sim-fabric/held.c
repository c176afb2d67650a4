#include "fabric.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/* A heap of indexes into a pool; @heap[0] is due first. */
struct held_queue {
	uint32_t capacity;
	uint32_t n;
	uint64_t next_order;
	uint32_t *heap;
	struct held *pool;
};

/**
 * held_new() - a queue of datagrams by the time they are due
 * @capacity: most datagrams held
 *
 * Return: the queue.
 */
struct held_queue *held_new(uint32_t capacity)
{
	struct held_queue *q = g_new0(struct held_queue, 1);
	uint32_t i;

	q->capacity = capacity;
	q->pool = g_new0(struct held, capacity);
	q->heap = g_new(uint32_t, capacity);
	for (i = 0; i < capacity; i++)
		q->heap[i] = i;
	return q;
}

void held_free(struct held_queue *q)
{
	if (!q)
		return;
	g_free(q->pool);
	g_free(q->heap);
	g_free(q);
}

static bool before(const struct held_queue *q, uint32_t i, uint32_t j)
{
	const struct held *a = &q->pool[q->heap[i]];
	const struct held *b = &q->pool[q->heap[j]];

	if (a->due_ns != b->due_ns)
		return a->due_ns < b->due_ns;
	return a->order < b->order;
}

static void swap(struct held_queue *q, uint32_t i, uint32_t j)
{
	uint32_t index = q->heap[i];

	q->heap[i] = q->heap[j];
	q->heap[j] = index;
}

static void rise(struct held_queue *q, uint32_t i)
{
	while (i && before(q, i, (i - 1) / 2)) {
		swap(q, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sink(struct held_queue *q)
{
	uint32_t i = 0;
	uint32_t child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= q->n)
			return;
		if (child + 1 < q->n && before(q, child + 1, child))
			child++;
		if (!before(q, child, i))
			return;
		swap(q, i, child);
		i = child;
	}
}

/**
 * held_put() - hold a datagram back
 * @q: queue
 * @h: datagram, copied; its order is set here
 *
 * Return: 0, or -ENOBUFS when the queue is full.
 */
int held_put(struct held_queue *q, const struct held *h)
{
	struct held *copy;

	if (q->n == q->capacity)
		return -ENOBUFS;
	copy = &q->pool[q->heap[q->n]];
	copy->due_ns = h->due_ns;
	copy->order = q->next_order++;
	copy->to = h->to;
	copy->via = h->via;
	copy->size_bytes = h->size_bytes;
	memcpy(copy->data, h->data, h->size_bytes);
	rise(q, q->n++);
	return 0;
}

/**
 * held_take() - take the next datagram that is due
 * @q: queue
 * @now_ns: time
 *
 * Return: the datagram, good until the next held_put(); NULL for none.
 */
const struct held *held_take(struct held_queue *q, uint64_t now_ns)
{
	uint32_t first;

	if (q->n == 0 || q->pool[q->heap[0]].due_ns > now_ns)
		return NULL;
	first = q->heap[0];
	swap(q, 0, --q->n);
	sink(q);
	return &q->pool[first];
}

/**
 * held_next_ns() - when the next datagram is due
 * @q: queue
 *
 * Return: absolute time, NEVER_NS for none.
 */
uint64_t held_next_ns(const struct held_queue *q)
{
	return q->n ? q->pool[q->heap[0]].due_ns : NEVER_NS;
}
