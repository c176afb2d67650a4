/* Queue of the pending events of a simulation, ordered by time. */
#ifndef CB_BENCH_EVENTS_H
#define CB_BENCH_EVENTS_H

#include "types.h"

/**
 * struct event - one pending event
 * @at_ns: simulated time at which it happens, nanoseconds
 * @order: sequence number; of events at the same time the lowest comes first
 * @id: job or entry that it concerns, by kind; 0 if neither
 * @kind: kind of event, defined by the simulation
 */
struct event {
	uint64_t at_ns;
	uint64_t order;
	uint32_t id;
	uint8_t kind;
};

/**
 * struct events - queue of events, a binary heap with the earliest on top
 * @heap: array of @max events in heap order, owned by the queue
 * @n: number of pending events
 * @max: capacity of @heap, in events
 * @order: sequence number of the next event added
 */
struct events {
	struct event *heap;
	uint32_t n;
	uint32_t max;
	uint64_t order;
};

void events_add(struct events *q, uint64_t at_ns, uint8_t kind, uint32_t id);
struct event events_pop(struct events *q);

#endif
