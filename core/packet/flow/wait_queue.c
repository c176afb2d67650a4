#include "wait_queue.h"

#include "flow_state.h"

#include <stdlib.h>
#include <string.h>

/*
 * Slots are numbered from 1. 0 means none, in targets and flows as well, which
 * start zeroed. @next links the list of a target, or the free list.
 */
struct slot {
	struct flow_state *flow;
	uint32_t previous;
	uint32_t next;
	uint32_t n_bytes;
	uint8_t bytes[WAIT_QUEUE_PACKET_MAX_BYTES];
};

struct wait_queue {
	struct slot *slots;
	uint32_t packets_max;
	uint32_t slots_used; /* slots that were ever in use */
	uint32_t free_list;
	uint32_t count;
};

/**
 * wait_queue_new() - create an empty queue
 * @packets_max: capacity in packets, for all targets together; may be 0
 *
 * Return: queue, to be freed with wait_queue_free(), or NULL when out of memory.
 */
struct wait_queue *wait_queue_new(uint32_t packets_max)
{
	struct wait_queue *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->packets_max = packets_max;
	w->slots = calloc(packets_max + 1, sizeof(*w->slots));
	if (w->slots)
		return w;
	free(w);
	return NULL;
}

void wait_queue_free(struct wait_queue *w)
{
	if (!w)
		return;
	free(w->slots);
	free(w);
}

static uint32_t alloc_slot(struct wait_queue *w)
{
	uint32_t i = w->free_list;

	if (i) {
		w->free_list = w->slots[i].next;
		return i;
	}
	return w->slots_used < w->packets_max ? ++w->slots_used : 0;
}

/**
 * wait_queue_add() - queue a packet for its flow's target
 * @w: queue
 * @f: flow of the packet; must have no packet in the queue
 * @bytes: packet, copied
 * @n_bytes: size of the packet
 *
 * Return: true when queued, false when the queue is full or the packet is larger
 * than WAIT_QUEUE_PACKET_MAX_BYTES.
 */
bool wait_queue_add(struct wait_queue *w, struct flow_state *f,
		    const uint8_t *bytes, uint32_t n_bytes)
{
	uint32_t i = n_bytes <= WAIT_QUEUE_PACKET_MAX_BYTES ? alloc_slot(w) : 0;
	struct slot *slot = &w->slots[i];
	struct target *t = f->target;

	if (!i)
		return false;
	w->count++;
	slot->flow = f;
	slot->n_bytes = n_bytes;
	memcpy(slot->bytes, bytes, n_bytes);
	slot->previous = 0;
	slot->next = t->waiting;
	if (t->waiting)
		w->slots[t->waiting].previous = i;
	t->waiting = i;
	f->waiting = i;
	return true;
}

/**
 * wait_queue_remove() - drop the queued packet of a flow
 * @w: queue
 * @f: flow; nothing happens when it has no packet in the queue
 */
void wait_queue_remove(struct wait_queue *w, struct flow_state *f)
{
	struct slot *slot = &w->slots[f->waiting];

	if (!f->waiting)
		return;
	if (slot->next)
		w->slots[slot->next].previous = slot->previous;
	if (slot->previous)
		w->slots[slot->previous].next = slot->next;
	else
		f->target->waiting = slot->next;
	slot->next = w->free_list;
	w->free_list = f->waiting;
	f->waiting = 0;
	w->count--;
}

/**
 * wait_queue_packet() - get the queued packet of a flow
 * @w: queue
 * @f: flow with a packet in the queue
 * @n_bytes: set to the size of the packet
 *
 * Return: packet, owned by the queue and valid until it is removed.
 */
const uint8_t *wait_queue_packet(const struct wait_queue *w,
				 const struct flow_state *f, uint32_t *n_bytes)
{
	*n_bytes = w->slots[f->waiting].n_bytes;
	return w->slots[f->waiting].bytes;
}

/**
 * wait_queue_first() - get the flow that was queued last for a target
 * @w: queue
 * @t: target
 *
 * Return: flow, or NULL when none is queued for @t.
 */
struct flow_state *wait_queue_first(const struct wait_queue *w,
				    const struct target *t)
{
	return t->waiting ? w->slots[t->waiting].flow : NULL;
}

/**
 * wait_queue_next() - get the flow that was queued before another one for the
 *	same target
 * @w: queue
 * @f: flow with a packet in the queue
 *
 * Return: flow, or NULL when @f was queued first.
 */
struct flow_state *wait_queue_next(const struct wait_queue *w,
				   const struct flow_state *f)
{
	uint32_t next = w->slots[f->waiting].next;

	return next ? w->slots[next].flow : NULL;
}

uint32_t wait_queue_count(const struct wait_queue *w)
{
	return w->count;
}
