#include "target.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct running {
	void *job;
	uint64_t finish_ns;
};

struct waiting {
	void *job;
	uint64_t deadline_ns;
};

/* @queue[0] waits longest. */
struct slots {
	uint32_t n_slots;
	uint32_t queue_max;
	uint32_t n_running;
	uint32_t n_waiting;
	struct running *running;
	struct waiting *queue;
};

/**
 * slots_new() - a target's slots and the queue before them
 * @n_slots: requests that run at once
 * @queue_max: requests that wait while all slots are taken
 *
 * Return: the slots.
 */
struct slots *slots_new(uint32_t n_slots, uint32_t queue_max)
{
	struct slots *s = g_new0(struct slots, 1);

	s->n_slots = n_slots;
	s->queue_max = queue_max;
	s->running = g_new0(struct running, n_slots);
	s->queue = g_new0(struct waiting, n_slots + queue_max);
	return s;
}

void slots_free(struct slots *s)
{
	if (!s)
		return;
	g_free(s->running);
	g_free(s->queue);
	g_free(s);
}

/**
 * slots_offer() - queue a job; slots_next() says when it starts
 * @s: slots
 * @job: job
 * @deadline_ns: when it need not start any more
 *
 * Return: 0, or -EBUSY when the slots and the queue are full.
 */
int slots_offer(struct slots *s, void *job, uint64_t deadline_ns)
{
	uint32_t n_free = s->n_slots - s->n_running;

	if (s->n_waiting >= s->queue_max + n_free)
		return -EBUSY;
	s->queue[s->n_waiting].job = job;
	s->queue[s->n_waiting].deadline_ns = deadline_ns;
	s->n_waiting++;
	return 0;
}

static void unqueue(struct slots *s, uint32_t i)
{
	s->n_waiting--;
	memmove(&s->queue[i], &s->queue[i + 1],
		(s->n_waiting - i) * sizeof(s->queue[0]));
}

/**
 * slots_next() - take the next job out of the queue
 * @s: slots
 * @now_ns: time
 * @job: filled unless SLOTS_NONE
 *
 * Return: whether to start it, to give it up, or that there is none.
 */
enum slots_verdict slots_next(struct slots *s, uint64_t now_ns, void **job)
{
	uint64_t deadline_ns;

	if (s->n_waiting == 0 || s->n_running == s->n_slots)
		return SLOTS_NONE;
	*job = s->queue[0].job;
	deadline_ns = s->queue[0].deadline_ns;
	unqueue(s, 0);
	return deadline_ns <= now_ns ? SLOTS_EXPIRED : SLOTS_START;
}

/**
 * slots_run() - put a job that slots_next() gave into a slot
 * @s: slots, one of them free
 * @job: job
 * @finish_ns: when it is done
 */
void slots_run(struct slots *s, void *job, uint64_t finish_ns)
{
	s->running[s->n_running].job = job;
	s->running[s->n_running].finish_ns = finish_ns;
	s->n_running++;
}

/**
 * slots_done() - free the slot of a job that is done
 * @s: slots
 * @now_ns: time
 * @job: filled when there is one
 *
 * Return: whether there was one.
 */
bool slots_done(struct slots *s, uint64_t now_ns, void **job)
{
	uint32_t i;

	for (i = 0; i < s->n_running; i++) {
		if (s->running[i].finish_ns > now_ns)
			continue;
		*job = s->running[i].job;
		s->running[i] = s->running[--s->n_running];
		return true;
	}
	return false;
}

/**
 * slots_cancel() - take a job that waits out of the queue
 * @s: slots
 * @match: tells the job
 * @arg: passed to @match
 * @job: filled when found
 *
 * Return: whether it was found waiting; a job that runs goes on.
 */
bool slots_cancel(struct slots *s, bool (*match)(const void *job, void *arg),
		  void *arg, void **job)
{
	uint32_t i;

	for (i = 0; i < s->n_waiting; i++) {
		if (!match(s->queue[i].job, arg))
			continue;
		*job = s->queue[i].job;
		unqueue(s, i);
		return true;
	}
	return false;
}

/**
 * slots_next_ns() - when the next slot frees
 * @s: slots
 *
 * Return: absolute time, NEVER_NS when nothing runs.
 */
uint64_t slots_next_ns(const struct slots *s)
{
	uint64_t next_ns = NEVER_NS;
	uint32_t i;

	for (i = 0; i < s->n_running; i++) {
		if (s->running[i].finish_ns < next_ns)
			next_ns = s->running[i].finish_ns;
	}
	return next_ns;
}

uint32_t slots_running(const struct slots *s)
{
	return s->n_running;
}

uint32_t slots_waiting(const struct slots *s)
{
	return s->n_waiting;
}
