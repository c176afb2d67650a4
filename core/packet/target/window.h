/*
 * How many requests one entry has at the targets of a service at a time, as
 * their refusals taught it.
 *
 * The load that this is for: a fleet wakes before more entries than a target
 * has places in its queue. Each entry sees one request or none of its own at a
 * target, and the peers' figures are a second old; together they overrun the
 * queues, targets refuse a third of all, and clients use up their tries.
 */
#ifndef CB_WINDOW_H
#define CB_WINDOW_H

#include "policy.h"

/**
 * struct window - what one entry knows of a service's room
 * @size: requests that it may have there; 0 for no limit, until one is refused
 * @refused: part of the requests that were refused of late
 * @cut_ns: when it was last made smaller
 */
struct window {
	float size;
	float refused;
	uint64_t cut_ns;
};

bool window_open(const struct window *w, uint32_t running);
void window_refused(struct window *w, const struct policy *policy,
		    uint32_t running, uint64_t now_ns);
void window_answered(struct window *w, uint32_t running);

#endif
