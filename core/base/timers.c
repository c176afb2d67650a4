#include "timers.h"

#include <stdlib.h>
#include <string.h>

#define NOT_SET UINT32_MAX

struct node {
	uint64_t deadline_ns;
	uint32_t id;
};

struct timers {
	struct node *heap;
	uint32_t *place;
	uint32_t n;
};

/**
 * timers_new() - make a heap without deadlines
 * @ids_max: ids go from 0 to @ids_max - 1
 *
 * Return: heap, or NULL without memory.
 */
struct timers *timers_new(uint32_t ids_max)
{
	struct timers *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->heap = malloc((size_t)ids_max * sizeof(*t->heap));
	t->place = malloc((size_t)ids_max * sizeof(*t->place));
	if (!t->heap || !t->place) {
		timers_free(t);
		return NULL;
	}
	memset(t->place, 0xff, (size_t)ids_max * sizeof(*t->place));
	return t;
}

void timers_free(struct timers *t)
{
	if (!t)
		return;
	free(t->heap);
	free(t->place);
	free(t);
}

static void put(struct timers *t, uint32_t i, struct node node)
{
	t->heap[i] = node;
	t->place[node.id] = i;
}

static void up(struct timers *t, uint32_t i, struct node node)
{
	while (i > 0) {
		uint32_t parent = (i - 1) / 2;

		if (t->heap[parent].deadline_ns <= node.deadline_ns)
			break;
		put(t, i, t->heap[parent]);
		i = parent;
	}
	put(t, i, node);
}

static void down(struct timers *t, uint32_t i, struct node node)
{
	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= t->n)
			break;
		if (child + 1 < t->n &&
		    t->heap[child + 1].deadline_ns < t->heap[child].deadline_ns)
			child++;
		if (t->heap[child].deadline_ns >= node.deadline_ns)
			break;
		put(t, i, t->heap[child]);
		i = child;
	}
	put(t, i, node);
}

/**
 * timers_clear() - drop the deadline of an id, if it has one
 * @t: heap
 * @id: id
 */
void timers_clear(struct timers *t, uint32_t id)
{
	uint32_t i = t->place[id];
	struct node last;

	if (i == NOT_SET)
		return;
	t->place[id] = NOT_SET;
	last = t->heap[--t->n];
	if (last.id == id)
		return;
	if (i > 0 && t->heap[(i - 1) / 2].deadline_ns > last.deadline_ns)
		up(t, i, last);
	else
		down(t, i, last);
}

/**
 * timers_set() - give an id a deadline, replacing an earlier one
 * @t: heap
 * @id: id
 * @deadline_ns: deadline; DEADLINE_NEVER clears it
 */
void timers_set(struct timers *t, uint32_t id, uint64_t deadline_ns)
{
	struct node node = { deadline_ns, id };

	timers_clear(t, id);
	if (deadline_ns == DEADLINE_NEVER)
		return;
	up(t, t->n++, node);
}

/**
 * timers_next_ns() - earliest deadline
 * @t: heap
 *
 * Return: deadline, or DEADLINE_NEVER.
 */
uint64_t timers_next_ns(const struct timers *t)
{
	return t->n ? t->heap[0].deadline_ns : DEADLINE_NEVER;
}

/**
 * timers_pop() - take one id whose deadline has come
 * @t: heap
 * @now_ns: time
 * @id: filled
 *
 * Return: false when none has come.
 */
bool timers_pop(struct timers *t, uint64_t now_ns, uint32_t *id)
{
	if (!t->n || t->heap[0].deadline_ns > now_ns)
		return false;
	*id = t->heap[0].id;
	timers_clear(t, *id);
	return true;
}
