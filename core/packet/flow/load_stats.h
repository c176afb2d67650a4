/* Counters of requests, by service, kind of route and what became of them. */
#ifndef CB_LOAD_STATS_H
#define CB_LOAD_STATS_H

#include "types.h"

/*
 * Events of requests:
 * offered: an opening, or a request on an open flow, came from a client
 * admitted: an opening was forwarded to a target
 * held: an opening waits until a target has room
 * refused_timeout: an opening was refused, since it can't be served in time
 * refused_expired: an opening was refused after the longest time of waiting
 * refused_no_target: an opening was refused, since no target may take it
 * late: answered after the latency objective
 * expired: its client gave up while it waited at this entry
 * rejected: a target answered that it has no capacity
 * repeated: a client opened another flow soon after a refusal
 * failed: answered with far fewer bytes than usual, or not in time
 */
#define LOAD_EVENTS(X)       \
	X(offered)           \
	X(admitted)          \
	X(held)              \
	X(refused_timeout)   \
	X(refused_expired)   \
	X(refused_no_target) \
	X(late)              \
	X(expired)           \
	X(rejected)          \
	X(repeated)          \
	X(failed)

enum load_event {
#define X(name) LOAD_##name,
	LOAD_EVENTS(X)
#undef X
		LOAD_EVENT_COUNT
};

extern const char *const load_event_names[LOAD_EVENT_COUNT];

struct load_stats;

struct load_stats *load_stats_new(void);
void load_stats_free(struct load_stats *stats);
void load_stats_count(struct load_stats *stats, uint32_t service, uint8_t kind,
		      enum load_event event);
uint64_t load_stats_get(const struct load_stats *stats, uint32_t service,
			uint8_t kind, enum load_event event);

#endif
