#include "waiting.h"

#include "flow_seen.h"

#include <stdlib.h>
#include <string.h>

/*
 * Places are numbered from 1; 0 is none, in targets and flows too, which begin
 * as zeros. @next is of the target's list, or of the free places.
 */
struct place {
	struct flow_seen *flow;
	uint32_t previous;
	uint32_t next;
	uint32_t n_bytes;
	uint8_t bytes[WAITING_MAX_BYTES];
};

struct waiting {
	struct place *places;
	uint32_t packets_max;
	uint32_t used; /* places that were ever in use */
	uint32_t spare;
	uint32_t count;
};

/**
 * waiting_new() - nobody waits
 * @packets_max: most that may
 *
 * Return: state, or NULL without memory.
 */
struct waiting *waiting_new(uint32_t packets_max)
{
	struct waiting *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	w->packets_max = packets_max;
	w->places = calloc(packets_max + 1, sizeof(*w->places));
	if (w->places)
		return w;
	free(w);
	return NULL;
}

void waiting_free(struct waiting *w)
{
	if (!w)
		return;
	free(w->places);
	free(w);
}

static uint32_t take_place(struct waiting *w)
{
	uint32_t i = w->spare;

	if (i) {
		w->spare = w->places[i].next;
		return i;
	}
	return w->used < w->packets_max ? ++w->used : 0;
}

/**
 * waiting_add() - keep a packet
 * @w: state
 * @f: its flow, of which none waits
 * @bytes: packet, copied
 * @n_bytes: its size
 *
 * Return: whether there was room.
 */
bool waiting_add(struct waiting *w, struct flow_seen *f, const uint8_t *bytes,
		 uint32_t n_bytes)
{
	uint32_t i = n_bytes <= WAITING_MAX_BYTES ? take_place(w) : 0;
	struct place *at = &w->places[i];
	struct target *t = f->target;

	if (!i)
		return false;
	w->count++;
	at->flow = f;
	at->n_bytes = n_bytes;
	memcpy(at->bytes, bytes, n_bytes);
	at->previous = 0;
	at->next = t->queue_head;
	if (t->queue_head)
		w->places[t->queue_head].previous = i;
	t->queue_head = i;
	f->waiting = i;
	return true;
}

/**
 * waiting_remove() - forget a flow's packet, if one waits
 * @w: state
 * @f: flow
 */
void waiting_remove(struct waiting *w, struct flow_seen *f)
{
	struct place *at = &w->places[f->waiting];

	if (!f->waiting)
		return;
	if (at->next)
		w->places[at->next].previous = at->previous;
	if (at->previous)
		w->places[at->previous].next = at->next;
	else
		f->target->queue_head = at->next;
	at->next = w->spare;
	w->spare = f->waiting;
	f->waiting = 0;
	w->count--;
}

/**
 * waiting_packet() - the packet of a flow that waits
 * @w: state
 * @f: flow
 * @n_bytes: set to its size
 *
 * Return: packet, valid until it is removed.
 */
const uint8_t *waiting_packet(const struct waiting *w,
			      const struct flow_seen *f, uint32_t *n_bytes)
{
	*n_bytes = w->places[f->waiting].n_bytes;
	return w->places[f->waiting].bytes;
}

/**
 * waiting_first() - a flow that waits for a target, the last to come
 * @w: state
 * @t: target
 *
 * Return: flow, or NULL.
 */
struct flow_seen *waiting_first(const struct waiting *w, const struct target *t)
{
	return t->queue_head ? w->places[t->queue_head].flow : NULL;
}

/**
 * waiting_next() - the one that came before it for the same target
 * @w: state
 * @f: flow that waits
 *
 * Return: flow, or NULL.
 */
struct flow_seen *waiting_next(const struct waiting *w,
			       const struct flow_seen *f)
{
	uint32_t next = w->places[f->waiting].next;

	return next ? w->places[next].flow : NULL;
}

uint32_t waiting_count(const struct waiting *w)
{
	return w->count;
}
