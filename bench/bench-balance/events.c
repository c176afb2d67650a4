#include "events.h"

#include <stdlib.h>

static bool is_earlier(const struct event *a, const struct event *b)
{
	if (a->at_ns != b->at_ns)
		return a->at_ns < b->at_ns;
	return a->order < b->order;
}

void events_add(struct events *q, uint64_t at_ns, uint8_t kind, uint32_t id)
{
	struct event e = { at_ns, q->order++, id, kind };
	uint32_t at = q->n++;

	if (q->n > q->max) {
		q->max = q->max ? 2 * q->max : 1024;
		q->heap = realloc(q->heap, q->max * sizeof(*q->heap));
	}
	while (at && is_earlier(&e, &q->heap[(at - 1) / 2])) {
		q->heap[at] = q->heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	q->heap[at] = e;
}

struct event events_pop(struct events *q)
{
	struct event first = q->heap[0];
	struct event last = q->heap[--q->n];
	uint32_t at = 0;

	for (;;) {
		uint32_t child = 2 * at + 1;

		if (child >= q->n)
			break;
		if (child + 1 < q->n &&
		    is_earlier(&q->heap[child + 1], &q->heap[child]))
			child++;
		if (!is_earlier(&q->heap[child], &last))
			break;
		q->heap[at] = q->heap[child];
		at = child;
	}
	q->heap[at] = last;
	return first;
}
