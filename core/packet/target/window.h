/*
 * Limit of the concurrent requests that one entry has at the targets of a
 * service, adapted to their refusals.
 *
 * When a load spike arrives through more entries than a target has places in
 * its queue, each entry sees one request or none of its own at a target, and
 * the peers' figures are a second old. Together the entries overflow the
 * queues: targets refuse a third of all requests, and clients use up their
 * retries.
 */
#ifndef CB_WINDOW_H
#define CB_WINDOW_H

#include "policy.h"

/**
 * struct request_window - request limit of one entry at one service
 * @size: limit of concurrent requests; 0 for none, until one is refused
 * @refused_ratio: moving average of the part of requests that were refused, 0
 *	to 1
 * @reduced_ns: when @size was last reduced
 */
struct request_window {
	float size;
	float refused_ratio;
	uint64_t reduced_ns;
};

bool window_is_open(const struct request_window *w, uint32_t running);
void window_record_refusal(struct request_window *w,
			   const struct policy *policy, uint32_t running,
			   uint64_t now_ns);
void window_record_answer(struct request_window *w, uint32_t running);

#endif
