#include "target.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* A job in a slot. */
struct running_job {
	void *job;
	uint64_t finish_ns;
};

/* A queued job. */
struct queued_job {
	void *job;
	uint64_t deadline_ns;
};

/* @queue is in order of arrival; @running is unordered. */
struct slots {
	uint32_t n_slots;
	uint32_t queue_max;
	uint32_t n_running;
	uint32_t n_queued;
	struct running_job *running;
	struct queued_job *queue;
};

/**
 * slots_new() - create the slots of a target and their queue
 * @n_slots: greatest number of running jobs
 * @queue_max: greatest number of queued jobs while all slots are in use
 *
 * Return: slots, to be freed with slots_free(); the jobs belong to the caller.
 */
struct slots *slots_new(uint32_t n_slots, uint32_t queue_max)
{
	struct slots *s = g_new0(struct slots, 1);

	s->n_slots = n_slots;
	s->queue_max = queue_max;
	s->running = g_new0(struct running_job, n_slots);
	s->queue = g_new0(struct queued_job, n_slots + queue_max);
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
 * slots_enqueue() - append a job to the queue
 * @s: slots
 * @job: job, owned by the caller
 * @deadline_ns: time from which the job must not start
 *
 * Return: 0, or -EBUSY if all slots are in use and the queue is full.
 */
int slots_enqueue(struct slots *s, void *job, uint64_t deadline_ns)
{
	uint32_t n_free = s->n_slots - s->n_running;

	if (s->n_queued >= s->queue_max + n_free)
		return -EBUSY;
	s->queue[s->n_queued].job = job;
	s->queue[s->n_queued].deadline_ns = deadline_ns;
	s->n_queued++;
	return 0;
}

static void unqueue(struct slots *s, uint32_t i)
{
	s->n_queued--;
	memmove(&s->queue[i], &s->queue[i + 1],
		(s->n_queued - i) * sizeof(s->queue[0]));
}

/**
 * slots_dequeue() - take the oldest job out of the queue if a slot is free
 * @s: slots
 * @now_ns: monotonic time
 * @job: receives the job unless the result is SLOTS_NONE
 *
 * Return: whether the job must start, has expired, or there is none.
 */
enum slots_verdict slots_dequeue(struct slots *s, uint64_t now_ns, void **job)
{
	uint64_t deadline_ns;

	if (s->n_queued == 0 || s->n_running == s->n_slots)
		return SLOTS_NONE;
	*job = s->queue[0].job;
	deadline_ns = s->queue[0].deadline_ns;
	unqueue(s, 0);
	return deadline_ns <= now_ns ? SLOTS_EXPIRED : SLOTS_START;
}

/**
 * slots_start() - put a job returned by slots_dequeue() into a slot
 * @s: slots, with a free one
 * @job: job
 * @finish_ns: time at which the job ends
 */
void slots_start(struct slots *s, void *job, uint64_t finish_ns)
{
	s->running[s->n_running].job = job;
	s->running[s->n_running].finish_ns = finish_ns;
	s->n_running++;
}

/**
 * slots_pop_finished() - remove a finished job from its slot
 * @s: slots
 * @now_ns: monotonic time
 * @job: receives the job
 *
 * Return: true if a job was removed; @job is unchanged otherwise.
 */
bool slots_pop_finished(struct slots *s, uint64_t now_ns, void **job)
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
 * slots_cancel() - remove a job from the queue; running jobs continue
 * @s: slots
 * @match: returns true for the job to remove
 * @arg: passed to @match
 * @job: receives the job
 *
 * Return: true if a queued job was removed; @job is unchanged otherwise.
 */
bool slots_cancel(struct slots *s, bool (*match)(const void *job, void *arg),
		  void *arg, void **job)
{
	uint32_t i;

	for (i = 0; i < s->n_queued; i++) {
		if (!match(s->queue[i].job, arg))
			continue;
		*job = s->queue[i].job;
		unqueue(s, i);
		return true;
	}
	return false;
}

/**
 * slots_next_finish_ns() - time at which the next running job ends
 * @s: slots
 *
 * Return: monotonic time, NEVER_NS if no job is running.
 */
uint64_t slots_next_finish_ns(const struct slots *s)
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

uint32_t slots_queued(const struct slots *s)
{
	return s->n_queued;
}
