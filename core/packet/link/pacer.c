#include "pacer.h"

#include "index.h"
#include "route_table.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Headers of IP and UDP. */
#define HEADER_BYTES 28
#define COPY_ID_SEED 0x70616365ULL
#define PERCENT 100
/* Numbers of buffers start at 1; this one marks the end of a list. */
#define NO_BUFFER 0

/**
 * struct buffer - storage for a queued datagram
 * @destination: as in struct datagram
 * @copy_id: as in struct datagram
 * @n_bytes: used length of @bytes
 * @next: next buffer of the same queue or of the free list, NO_BUFFER at its
 *	end
 * @bytes: both parts of the datagram
 */
struct buffer {
	uint64_t destination;
	uint64_t copy_id;
	uint32_t n_bytes;
	uint32_t next;
	uint8_t bytes[PACER_DATAGRAM_MAX_BYTES];
};

/**
 * struct queue - datagrams of one class in order of arrival
 * @first: buffer of the oldest, NO_BUFFER when empty
 * @last: buffer of the newest
 * @bytes: total size, headers included
 */
struct queue {
	uint32_t first;
	uint32_t last;
	uint64_t bytes;
};

/**
 * struct pacer - state of the link
 * @bytes_per_s: rate at which datagrams are sent; 0 for no pacing
 * @ahead_ns: longest backlog handed to the link
 * @link_free_ns: when the link has carried all that was handed to it
 * @buffers: storage for the queues, from index 1
 * @buffers_max: number of @buffers
 * @used: buffers that were ever in use; those above have never been
 * @free_buffer: first of the free list, NO_BUFFER when empty
 * @queued: datagrams in all queues
 * @by_copy_id: buffers of queued datagrams with a copy id
 * @queues: by enum pacer_class
 */
struct pacer {
	uint64_t bytes_per_s;
	uint64_t ahead_ns;
	uint64_t link_free_ns;
	struct buffer *buffers;
	uint32_t buffers_max;
	uint32_t used;
	uint32_t free_buffer;
	uint32_t queued;
	struct index *by_copy_id;
	struct queue queues[PACER_CLASS_COUNT];
};

/**
 * pacer_new() - create a pacer with empty queues
 * @policy: limits and switches, not kept
 * @link_bytes_per_s: capacity of the VM's link; 0 when unknown, then nothing is
 *	queued
 *
 * Return: pacer, to be freed with pacer_free(); NULL when out of memory.
 */
struct pacer *pacer_new(const struct policy *policy, uint64_t link_bytes_per_s)
{
	struct pacer *pacer = calloc(1, sizeof(*pacer));

	if (!pacer)
		return NULL;
	pacer->bytes_per_s = link_bytes_per_s * policy->link_percent / PERCENT;
	pacer->ahead_ns = policy->link_ahead_ns;
	pacer->buffers_max = policy->link_waiting_max;
	pacer->buffers =
		calloc(pacer->buffers_max + 1, sizeof(*pacer->buffers));
	pacer->by_copy_id = index_new(pacer->buffers_max + 1);
	if (pacer->buffers && pacer->by_copy_id)
		return pacer;
	pacer_free(pacer);
	return NULL;
}

void pacer_free(struct pacer *pacer)
{
	if (!pacer)
		return;
	index_free(pacer->by_copy_id);
	free(pacer->buffers);
	free(pacer);
}

/**
 * pacer_classify() - priority of a client's packet
 * @packet: packet
 * @route_kind: enum route_kind of its flow
 *
 * Return: class.
 */
enum pacer_class pacer_classify(const struct packet *packet, uint8_t route_kind)
{
	if (!packet->size_bytes)
		return PACER_CONTROL;
	return route_kind == ROUTE_UPLOAD ? PACER_BULK : PACER_REQUEST;
}

/**
 * pacer_copy_id() - hash that is the same for all transmissions of a packet
 * @packet: packet of a client
 *
 * Return: hash of the flow and the sequence number, never 0; 0 for a packet
 * without data, since each of those carries new information.
 */
uint64_t pacer_copy_id(const struct packet *packet)
{
	uint64_t id;

	if (!packet->size_bytes)
		return 0;
	id = hash_u64(flow_hash(&packet->flow), COPY_ID_SEED ^ packet->seq);
	return id ? id : 1;
}

static uint64_t transmit_ns(const struct pacer *pacer, uint64_t n_bytes)
{
	return n_bytes * NS_PER_S / pacer->bytes_per_s;
}

static bool link_accepts(const struct pacer *pacer, uint64_t now_ns)
{
	return pacer->link_free_ns <= now_ns + pacer->ahead_ns;
}

/**
 * pacer_charge() - account for a datagram handed to the link
 * @pacer: pacer
 * @n_bytes: size without IP and UDP headers
 * @now_ns: current time
 *
 * For datagrams that bypass the pacer, such as heartbeats.
 */
void pacer_charge(struct pacer *pacer, uint32_t n_bytes, uint64_t now_ns)
{
	if (!pacer->bytes_per_s)
		return;
	if (pacer->link_free_ns < now_ns)
		pacer->link_free_ns = now_ns;
	pacer->link_free_ns += transmit_ns(pacer, n_bytes + HEADER_BYTES);
}

/**
 * pacer_try_send() - ask to send a datagram at once, charge it if granted
 * @pacer: pacer
 * @c: class of the datagram
 * @n_bytes: size without IP and UDP headers
 * @now_ns: current time
 *
 * Return: true when the caller is to send it now; false when the link is busy
 * or datagrams of the same or a more urgent class are queued.
 */
bool pacer_try_send(struct pacer *pacer, enum pacer_class c, uint32_t n_bytes,
		    uint64_t now_ns)
{
	if (!pacer->bytes_per_s)
		return true;
	for (uint32_t i = 0; i <= c; i++)
		if (pacer->queues[i].first != NO_BUFFER)
			return false;
	if (!link_accepts(pacer, now_ns))
		return false;
	pacer_charge(pacer, n_bytes, now_ns);
	return true;
}

static uint32_t allocate_buffer(struct pacer *pacer)
{
	uint32_t i = pacer->free_buffer;

	if (i != NO_BUFFER) {
		pacer->free_buffer = pacer->buffers[i].next;
		return i;
	}
	return pacer->used < pacer->buffers_max ? ++pacer->used : NO_BUFFER;
}

static void append(struct pacer *pacer, struct queue *q, uint32_t i)
{
	pacer->buffers[i].next = NO_BUFFER;
	if (q->first == NO_BUFFER)
		q->first = i;
	else
		pacer->buffers[q->last].next = i;
	q->last = i;
	q->bytes += pacer->buffers[i].n_bytes + HEADER_BYTES;
	pacer->queued++;
}

/**
 * pacer_enqueue() - queue a datagram until the link accepts it
 * @pacer: pacer
 * @c: class of the datagram
 * @d: datagram, copied
 *
 * Return: 0; -EALREADY when a datagram with its copy id is queued; -ENOBUFS
 * when the queues are full; -EMSGSIZE when it is too large. On error the caller
 * drops it; its sender retransmits it.
 */
int pacer_enqueue(struct pacer *pacer, enum pacer_class c,
		  const struct datagram *d)
{
	uint32_t n_bytes = d->head_bytes + d->data_bytes;
	struct buffer *b;
	uint32_t i;

	if (n_bytes > PACER_DATAGRAM_MAX_BYTES)
		return -EMSGSIZE;
	if (d->copy_id &&
	    index_get(pacer->by_copy_id, d->copy_id) != INDEX_NONE)
		return -EALREADY;
	i = allocate_buffer(pacer);
	if (i == NO_BUFFER)
		return -ENOBUFS;
	b = &pacer->buffers[i];
	b->destination = d->destination;
	b->copy_id = d->copy_id;
	b->n_bytes = n_bytes;
	memcpy(b->bytes, d->head, d->head_bytes);
	if (d->data_bytes)
		memcpy(b->bytes + d->head_bytes, d->data, d->data_bytes);
	if (d->copy_id)
		index_put(pacer->by_copy_id, d->copy_id, i);
	append(pacer, &pacer->queues[c], i);
	return 0;
}

static struct queue *most_urgent_queue(struct pacer *pacer)
{
	for (uint32_t i = 0; i < PACER_CLASS_COUNT; i++)
		if (pacer->queues[i].first != NO_BUFFER)
			return &pacer->queues[i];
	return NULL;
}

/**
 * pacer_dequeue() - remove the next datagram that the link accepts, charge it
 * @pacer: pacer
 * @now_ns: current time
 * @out: set to the datagram, all of it in @head; its bytes are owned by the
 *	pacer and valid until the next pacer_enqueue()
 *
 * Return: true when the caller is to send @out; false when the queues are empty
 * or the link is busy.
 */
bool pacer_dequeue(struct pacer *pacer, uint64_t now_ns, struct datagram *out)
{
	struct queue *q = most_urgent_queue(pacer);
	struct buffer *b;
	uint32_t i;

	if (!q || !link_accepts(pacer, now_ns))
		return false;
	i = q->first;
	b = &pacer->buffers[i];
	q->first = b->next;
	q->bytes -= b->n_bytes + HEADER_BYTES;
	if (b->copy_id)
		index_del(pacer->by_copy_id, b->copy_id, i);
	b->next = pacer->free_buffer;
	pacer->free_buffer = i;
	pacer->queued--;
	pacer_charge(pacer, b->n_bytes, now_ns);
	*out = (struct datagram){ .destination = b->destination,
				  .copy_id = b->copy_id,
				  .head = b->bytes,
				  .head_bytes = b->n_bytes };
	return true;
}

/**
 * pacer_due_ns() - when the link accepts the next queued datagram
 * @pacer: pacer
 *
 * Return: time, possibly in the past; 0 when the queues are empty.
 */
uint64_t pacer_due_ns(const struct pacer *pacer)
{
	if (!pacer->queued)
		return 0;
	return pacer->link_free_ns > pacer->ahead_ns
		       ? pacer->link_free_ns - pacer->ahead_ns
		       : 1;
}

/**
 * pacer_delay_ns() - time that the link needs for all that goes before a
 *	datagram which arrives now
 * @pacer: pacer
 * @c: class of the datagram
 * @now_ns: current time
 *
 * Return: duration in nanoseconds; 0 on an idle link.
 */
uint64_t pacer_delay_ns(const struct pacer *pacer, enum pacer_class c,
			uint64_t now_ns)
{
	uint64_t backlog_ns =
		pacer->link_free_ns > now_ns ? pacer->link_free_ns - now_ns : 0;
	uint64_t queued_bytes = 0;

	if (!pacer->queued)
		return backlog_ns;
	for (uint32_t i = 0; i <= c; i++)
		queued_bytes += pacer->queues[i].bytes;
	return backlog_ns + transmit_ns(pacer, queued_bytes);
}

uint32_t pacer_queue_length(const struct pacer *pacer)
{
	return pacer->queued;
}
