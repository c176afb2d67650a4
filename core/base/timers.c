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
	struct timers *timers = calloc(1, sizeof(*timers));

	if (!timers)
		return NULL;
	timers->heap = malloc((size_t)ids_max * sizeof(*timers->heap));
	timers->position = malloc((size_t)ids_max * sizeof(*timers->position));
	if (!timers->heap || !timers->position) {
		timers_free(timers);
		return NULL;
	}
	memset(timers->position, 0xff,
	       (size_t)ids_max * sizeof(*timers->position));
	return timers;
}

void timers_free(struct timers *timers)
{
	if (!timers)
		return;
	free(timers->heap);
	free(timers->position);
	free(timers);
}

static void set_node(struct timers *timers, uint32_t i, struct node node)
{
	timers->heap[i] = node;
	timers->position[node.id] = i;
}

static void sift_up(struct timers *timers, uint32_t i, struct node node)
{
	while (i > 0) {
		uint32_t parent = (i - 1) / 2;

		if (timers->heap[parent].deadline_ns <= node.deadline_ns)
			break;
		set_node(timers, i, timers->heap[parent]);
		i = parent;
	}
	set_node(timers, i, node);
}

static void sift_down(struct timers *timers, uint32_t i, struct node node)
{
	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= timers->n)
			break;
		if (child + 1 < timers->n &&
		    timers->heap[child + 1].deadline_ns <
			    timers->heap[child].deadline_ns)
			child++;
		if (timers->heap[child].deadline_ns >= node.deadline_ns)
			break;
		set_node(timers, i, timers->heap[child]);
		i = child;
	}
	set_node(timers, i, node);
}

/**
 * timers_clear() - remove the deadline of a timer
 * @timers: timers
 * @id: timer; ignored when it has no deadline
 */
void timers_clear(struct timers *timers, uint32_t id)
{
	uint32_t i = timers->position[id];
	struct node last;

	if (i == NOT_IN_HEAP)
		return;
	timers->position[id] = NOT_IN_HEAP;
	last = timers->heap[--timers->n];
	if (last.id == id)
		return;
	if (i > 0 && timers->heap[(i - 1) / 2].deadline_ns > last.deadline_ns)
		sift_up(timers, i, last);
	else
		sift_down(timers, i, last);
}

/**
 * timers_set() - set the deadline of a timer, replacing an earlier one
 * @timers: timers
 * @id: timer
 * @deadline_ns: deadline; DEADLINE_NEVER removes it
 */
void timers_set(struct timers *timers, uint32_t id, uint64_t deadline_ns)
{
	struct node node = { deadline_ns, id };

	timers_clear(timers, id);
	if (deadline_ns == DEADLINE_NEVER)
		return;
	sift_up(timers, timers->n++, node);
}

/**
 * timers_next_ns() - earliest deadline of all timers
 * @timers: timers
 *
 * Return: the deadline, or DEADLINE_NEVER when no timer has one.
 */
uint64_t timers_next_ns(const struct timers *timers)
{
	return timers->n ? timers->heap[0].deadline_ns : DEADLINE_NEVER;
}

/**
 * timers_pop() - remove the earliest deadline if it has passed
 * @timers: timers
 * @now_ns: current time
 * @id: set to the timer whose deadline was removed
 *
 * Return: false, with @id unchanged, when no deadline has passed.
 */
bool timers_pop(struct timers *timers, uint64_t now_ns, uint32_t *id)
{
	if (!timers->n || timers->heap[0].deadline_ns > now_ns)
		return false;
	*id = timers->heap[0].id;
	timers_clear(timers, *id);
	return true;
}
