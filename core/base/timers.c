#include "timers.h"

#include <stdlib.h>
#include <string.h>

#define NOT_IN_HEAP UINT32_MAX

struct node {
	uint64_t deadline_ns;
	uint32_t id;
};

struct timers {
	struct node *heap;
	uint32_t *position;
	uint32_t n;
};

/**
 * timers_new() - allocate timers, all without a deadline
 * @ids_max: timer ids are below this
 *
 * Return: timers, to be freed with timers_free(), or NULL when out of memory.
 */
struct timers *timers_new(uint32_t ids_max)
{
	struct timers *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->heap = malloc((size_t)ids_max * sizeof(*t->heap));
	t->position = malloc((size_t)ids_max * sizeof(*t->position));
	if (!t->heap || !t->position) {
		timers_free(t);
		return NULL;
	}
	memset(t->position, 0xff, (size_t)ids_max * sizeof(*t->position));
	return t;
}

void timers_free(struct timers *t)
{
	if (!t)
		return;
	free(t->heap);
	free(t->position);
	free(t);
}

static void set_node(struct timers *t, uint32_t i, struct node node)
{
	t->heap[i] = node;
	t->position[node.id] = i;
}

static void sift_up(struct timers *t, uint32_t i, struct node node)
{
	while (i > 0) {
		uint32_t parent = (i - 1) / 2;

		if (t->heap[parent].deadline_ns <= node.deadline_ns)
			break;
		set_node(t, i, t->heap[parent]);
		i = parent;
	}
	set_node(t, i, node);
}

static void sift_down(struct timers *t, uint32_t i, struct node node)
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
		set_node(t, i, t->heap[child]);
		i = child;
	}
	set_node(t, i, node);
}

/**
 * timers_clear() - remove the deadline of a timer
 * @t: timers
 * @id: timer; ignored when it has no deadline
 */
void timers_clear(struct timers *t, uint32_t id)
{
	uint32_t i = t->position[id];
	struct node last;

	if (i == NOT_IN_HEAP)
		return;
	t->position[id] = NOT_IN_HEAP;
	last = t->heap[--t->n];
	if (last.id == id)
		return;
	if (i > 0 && t->heap[(i - 1) / 2].deadline_ns > last.deadline_ns)
		sift_up(t, i, last);
	else
		sift_down(t, i, last);
}

/**
 * timers_set() - set the deadline of a timer, replacing an earlier one
 * @t: timers
 * @id: timer
 * @deadline_ns: deadline; DEADLINE_NEVER removes it
 */
void timers_set(struct timers *t, uint32_t id, uint64_t deadline_ns)
{
	struct node node = { deadline_ns, id };

	timers_clear(t, id);
	if (deadline_ns == DEADLINE_NEVER)
		return;
	sift_up(t, t->n++, node);
}

/**
 * timers_next_ns() - earliest deadline of all timers
 * @t: timers
 *
 * Return: the deadline, or DEADLINE_NEVER when no timer has one.
 */
uint64_t timers_next_ns(const struct timers *t)
{
	return t->n ? t->heap[0].deadline_ns : DEADLINE_NEVER;
}

/**
 * timers_pop() - remove the earliest deadline if it has passed
 * @t: timers
 * @now_ns: current time
 * @id: set to the timer whose deadline was removed
 *
 * Return: false, with @id unchanged, when no deadline has passed.
 */
bool timers_pop(struct timers *t, uint64_t now_ns, uint32_t *id)
{
	if (!t->n || t->heap[0].deadline_ns > now_ns)
		return false;
	*id = t->heap[0].id;
	timers_clear(t, *id);
	return true;
}
