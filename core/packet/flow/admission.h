/*
 * Decides whether an opening of a flow is admitted, waits, or is refused, from
 * figures of its service. In overload a target serves requests in the order of
 * their arrival: each opening admitted beyond what it can serve makes all later
 * ones late, and one that is bound to a target fails with it.
 */
#ifndef CB_ADMISSION_H
#define CB_ADMISSION_H

#include "types.h"

/* A client gives up a handshake 1.4 s after its first SYN. An opening is held
 * for less, so that its handshake can complete. */
#define ADMISSION_HOLD_MAX_NS (1300 * NS_PER_MS)

enum admission { ADMISSION_ADMIT, ADMISSION_HOLD, ADMISSION_REFUSE };

/**
 * struct admission_query - an opening and the figures of its service
 * @has_room: a target can answer a request within the latency objective
 * @ahead: openings held before this one
 * @answers_per_s: held openings that can be admitted a second, as answers free
 *	slots; 0 when unknown
 * @work_ns: mean time that targets need for such a request; 0 when unknown
 * @timeout_ns: longest time that the request may take
 * @refusing: openings like this one are being refused
 */
struct admission_query {
	bool has_room;
	uint32_t ahead;
	float answers_per_s;
	uint64_t work_ns;
	uint64_t timeout_ns;
	bool refusing;
};

/**
 * struct answer_rate - rate at which a service answers this entry's requests
 * @per_s: moving average
 * @count: answers since the last update
 * @updated_ns: when @per_s was last updated; 0 for never
 */
struct answer_rate {
	float per_s;
	uint32_t count;
	uint64_t updated_ns;
};

uint64_t admission_predicted_wait_ns(const struct admission_query *q);
enum admission admission_decide(const struct admission_query *q);
void answer_rate_update(struct answer_rate *rate, uint64_t now_ns);

#endif
