#include "pacer.h"

#include "index.h"
#include "route_table.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Of IP and UDP. */
#define DATAGRAM_HEAD_BYTES 28
#define NAME_SEED 0x70616365ULL
#define PERCENT 100
/* Places are numbered from 1; 0 is none. */
#define NONE 0

/* A datagram that waits; @next is of its queue, or of the free places. */
struct place {
	uint64_t to;
	uint64_t name;
	uint32_t n_bytes;
	uint32_t next;
	uint8_t bytes[DATAGRAM_ROOM_BYTES];
};

/* Datagrams of one class, in the order in which they came. */
struct queue {
	uint32_t first;
	uint32_t last;
	uint64_t bytes;
};

struct pacer {
	uint64_t bytes_per_s;
	uint64_t ahead_ns;
	uint64_t free_ns; /* when the link has carried what it was handed */
	struct place *places;
	uint32_t places_max;
	uint32_t used; /* places that were ever in use */
	uint32_t spare;
	uint32_t count;
	struct index *by_name;
	struct queue queues[PACER_CLASSES];
};

/**
 * pacer_new() - nothing waits
 * @policy: figures to go by
 * @link_bytes_per_s: what the VM's link carries; 0 for unknown: nothing waits
 *
 * Return: state, or NULL without memory.
 */
struct pacer *pacer_new(const struct policy *policy, uint64_t link_bytes_per_s)
{
	struct pacer *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->bytes_per_s = link_bytes_per_s * policy->link_percent / PERCENT;
	p->ahead_ns = policy->link_ahead_ns;
	p->places_max = policy->link_waiting_max;
	p->places = calloc(p->places_max + 1, sizeof(*p->places));
	p->by_name = index_new(p->places_max + 1);
	if (p->places && p->by_name)
		return p;
	pacer_free(p);
	return NULL;
}

void pacer_free(struct pacer *p)
{
	if (!p)
		return;
	index_free(p->by_name);
	free(p->places);
	free(p);
}

/**
 * pacer_class_of() - how urgent a client's packet is
 * @k: packet
 * @route_kind: enum route_kind
 *
 * Return: its class.
 */
enum pacer_class pacer_class_of(const struct packet *k, uint8_t route_kind)
{
	if (!k->size_bytes)
		return PACER_CONTROL;
	return route_kind == ROUTE_UPLOAD ? PACER_BULK : PACER_REQUEST;
}

/**
 * pacer_name() - what all copies of a client's packet have in common
 * @k: packet
 *
 * Return: name; 0 for one without data, whose copies say something new each.
 */
uint64_t pacer_name(const struct packet *k)
{
	uint64_t name;

	if (!k->size_bytes)
		return 0;
	name = hash_u64(flow_hash(&k->flow), NAME_SEED ^ k->seq);
	return name ? name : 1;
}

static uint64_t takes_ns(const struct pacer *p, uint64_t n_bytes)
{
	return n_bytes * NS_PER_S / p->bytes_per_s;
}

static bool room(const struct pacer *p, uint64_t now_ns)
{
	return p->free_ns <= now_ns + p->ahead_ns;
}

/**
 * pacer_spent() - the link was handed a datagram
 * @p: state
 * @n_bytes: its size
 * @now_ns: time
 */
void pacer_spent(struct pacer *p, uint32_t n_bytes, uint64_t now_ns)
{
	if (!p->bytes_per_s)
		return;
	if (p->free_ns < now_ns)
		p->free_ns = now_ns;
	p->free_ns += takes_ns(p, n_bytes + DATAGRAM_HEAD_BYTES);
}

/**
 * pacer_passes() - whether a datagram may go at once
 * @p: state
 * @c: how urgent it is
 * @n_bytes: its size
 * @now_ns: time
 *
 * Return: whether; it counts as gone then.
 */
bool pacer_passes(struct pacer *p, enum pacer_class c, uint32_t n_bytes,
		  uint64_t now_ns)
{
	if (!p->bytes_per_s)
		return true;
	for (uint32_t i = 0; i <= c; i++)
		if (p->queues[i].first != NONE)
			return false;
	if (!room(p, now_ns))
		return false;
	pacer_spent(p, n_bytes, now_ns);
	return true;
}

static uint32_t take_place(struct pacer *p)
{
	uint32_t i = p->spare;

	if (i != NONE) {
		p->spare = p->places[i].next;
		return i;
	}
	return p->used < p->places_max ? ++p->used : NONE;
}

static void append(struct pacer *p, struct queue *q, uint32_t i)
{
	p->places[i].next = NONE;
	if (q->first == NONE)
		q->first = i;
	else
		p->places[q->last].next = i;
	q->last = i;
	q->bytes += p->places[i].n_bytes + DATAGRAM_HEAD_BYTES;
	p->count++;
}

/**
 * pacer_hold() - keep a datagram until the link has room
 * @p: state
 * @c: how urgent it is
 * @d: datagram, copied
 *
 * Return: 0; -EALREADY when a copy of it waits, and -ENOBUFS or -EMSGSIZE when
 * there is no room: it is to be dropped, its sender repeats it.
 */
int pacer_hold(struct pacer *p, enum pacer_class c, const struct datagram *d)
{
	uint32_t n_bytes = d->head_bytes + d->data_bytes;
	struct place *at;
	uint32_t i;

	if (n_bytes > DATAGRAM_ROOM_BYTES)
		return -EMSGSIZE;
	if (d->name && index_get(p->by_name, d->name) != INDEX_NONE)
		return -EALREADY;
	i = take_place(p);
	if (i == NONE)
		return -ENOBUFS;
	at = &p->places[i];
	at->to = d->to;
	at->name = d->name;
	at->n_bytes = n_bytes;
	memcpy(at->bytes, d->head, d->head_bytes);
	if (d->data_bytes)
		memcpy(at->bytes + d->head_bytes, d->data, d->data_bytes);
	if (d->name)
		index_put(p->by_name, d->name, i);
	append(p, &p->queues[c], i);
	return 0;
}

static struct queue *urgent(struct pacer *p)
{
	for (uint32_t i = 0; i < PACER_CLASSES; i++)
		if (p->queues[i].first != NONE)
			return &p->queues[i];
	return NULL;
}

/**
 * pacer_next() - the next datagram that may go
 * @p: state
 * @now_ns: time
 * @out: set to it, in one part that stays valid until the next one is held
 *
 * Return: whether there is one; it counts as gone then.
 */
bool pacer_next(struct pacer *p, uint64_t now_ns, struct datagram *out)
{
	struct queue *q = urgent(p);
	struct place *at;
	uint32_t i;

	if (!q || !room(p, now_ns))
		return false;
	i = q->first;
	at = &p->places[i];
	q->first = at->next;
	q->bytes -= at->n_bytes + DATAGRAM_HEAD_BYTES;
	if (at->name)
		index_del(p->by_name, at->name, i);
	at->next = p->spare;
	p->spare = i;
	p->count--;
	pacer_spent(p, at->n_bytes, now_ns);
	*out = (struct datagram){ .to = at->to,
				  .name = at->name,
				  .head = at->bytes,
				  .head_bytes = at->n_bytes };
	return true;
}

/**
 * pacer_due_ns() - when the next datagram may go
 * @p: state
 *
 * Return: time; 0 when none waits.
 */
uint64_t pacer_due_ns(const struct pacer *p)
{
	if (!p->count)
		return 0;
	return p->free_ns > p->ahead_ns ? p->free_ns - p->ahead_ns : 1;
}

/**
 * pacer_wait_ns() - how long a packet that came now would be on its way to the
 *	end of the link
 * @p: state
 * @c: how urgent it is
 * @now_ns: time
 *
 * Return: time, 0 on an empty link.
 */
uint64_t pacer_wait_ns(const struct pacer *p, enum pacer_class c,
		       uint64_t now_ns)
{
	uint64_t wait_ns = p->free_ns > now_ns ? p->free_ns - now_ns : 0;
	uint64_t ahead = 0;

	if (!p->count)
		return wait_ns;
	for (uint32_t i = 0; i <= c; i++)
		ahead += p->queues[i].bytes;
	return wait_ns + takes_ns(p, ahead);
}

uint32_t pacer_waiting(const struct pacer *p)
{
	return p->count;
}
