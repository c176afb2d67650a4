/* What is still to happen in a model, by time. */
#ifndef CB_BENCH_EVENTS_H
#define CB_BENCH_EVENTS_H

#include "types.h"

/**
 * struct event - one thing that happens
 * @at_ns: when
 * @order: decides between events of the same time
 * @id: whom it is about
 * @kind: the model's word for it
 */
struct event {
	uint64_t at_ns;
	uint64_t order;
	uint32_t id;
	uint8_t kind;
};

/**
 * struct events - heap of events, the earliest first
 * @heap: heap order
 * @n: how many
 * @max: room
 * @order: of the next one added
 */
struct events {
	struct event *heap;
	uint32_t n;
	uint32_t max;
	uint64_t order;
};

void events_add(struct events *q, uint64_t at_ns, uint8_t kind, uint32_t id);
struct event events_take(struct events *q);

#endif
