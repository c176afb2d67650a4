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
 * Return: queue, to be freed with wait_queue_free(), or NULL when out of
 * memory.
 */
struct wait_queue *wait_queue_new(uint32_t packets_max)
{
	struct wait_queue *queue = calloc(1, sizeof(*queue));

	if (!queue)
		return NULL;
	queue->packets_max = packets_max;
	queue->slots = calloc(packets_max + 1, sizeof(*queue->slots));
	if (queue->slots)
		return queue;
	free(queue);
	return NULL;
}

void wait_queue_free(struct wait_queue *queue)
{
	if (!queue)
		return;
	free(queue->slots);
	free(queue);
}

static uint32_t alloc_slot(struct wait_queue *queue)
{
	uint32_t i = queue->free_list;

	if (i) {
		queue->free_list = queue->slots[i].next;
		return i;
	}
	return queue->slots_used < queue->packets_max ? ++queue->slots_used : 0;
}

/**
 * wait_queue_add() - queue a packet for its flow's target
 * @queue: queue
 * @flow: flow of the packet; must have no packet in the queue
 * @bytes: packet, copied
 * @n_bytes: size of the packet
 *
 * Return: true when queued, false when the queue is full or the packet is
 * larger than WAIT_QUEUE_PACKET_MAX_BYTES.
 */
bool wait_queue_add(struct wait_queue *queue, struct flow_state *flow,
		    const uint8_t *bytes, uint32_t n_bytes)
{
	uint32_t i =
		n_bytes <= WAIT_QUEUE_PACKET_MAX_BYTES ? alloc_slot(queue) : 0;
	struct slot *slot = &queue->slots[i];
	struct target *target = flow->target;

	if (!i)
		return false;
	queue->count++;
	slot->flow = flow;
	slot->n_bytes = n_bytes;
	memcpy(slot->bytes, bytes, n_bytes);
	slot->previous = 0;
	slot->next = target->queue_head;
	if (target->queue_head)
		queue->slots[target->queue_head].previous = i;
	target->queue_head = i;
	flow->waiting = i;
	return true;
}

/**
 * wait_queue_remove() - drop the queued packet of a flow
 * @queue: queue
 * @flow: flow; nothing happens when it has no packet in the queue
 */
void wait_queue_remove(struct wait_queue *queue, struct flow_state *flow)
{
	struct slot *slot = &queue->slots[flow->waiting];

	if (!flow->waiting)
		return;
	if (slot->next)
		queue->slots[slot->next].previous = slot->previous;
	if (slot->previous)
		queue->slots[slot->previous].next = slot->next;
	else
		flow->target->queue_head = slot->next;
	slot->next = queue->free_list;
	queue->free_list = flow->waiting;
	flow->waiting = 0;
	queue->count--;
}

/**
 * wait_queue_packet() - get the queued packet of a flow
 * @queue: queue
 * @flow: flow with a packet in the queue
 * @n_bytes: set to the size of the packet
 *
 * Return: packet, owned by the queue and valid until it is removed.
 */
const uint8_t *wait_queue_packet(const struct wait_queue *queue,
				 const struct flow_state *flow,
				 uint32_t *n_bytes)
{
	*n_bytes = queue->slots[flow->waiting].n_bytes;
	return queue->slots[flow->waiting].bytes;
}

/**
 * wait_queue_latest() - get the flow that was queued last for a target
 * @queue: queue
 * @target: target
 *
 * Return: flow, or NULL when none is queued for @target.
 */
struct flow_state *wait_queue_latest(const struct wait_queue *queue,
				     const struct target *target)
{
	return target->queue_head ? queue->slots[target->queue_head].flow
				  : NULL;
}

/**
 * wait_queue_earlier() - get the flow that was queued before another one for the
 *	same target
 * @queue: queue
 * @flow: flow with a packet in the queue
 *
 * Return: flow, or NULL when @flow was queued first.
 */
struct flow_state *wait_queue_earlier(const struct wait_queue *queue,
				      const struct flow_state *flow)
{
	uint32_t next = queue->slots[flow->waiting].next;

	return next ? queue->slots[next].flow : NULL;
}

uint32_t wait_queue_count(const struct wait_queue *queue)
{
	return queue->count;
}
