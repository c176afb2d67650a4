/*
 * What a target did lately, for requests that clients can't repeat: whether its
 * process ended or was ejected, and how long it takes for a request compared
 * with the other targets of its service.
 *
 * A target that goes down and up by turns completes handshakes and then resets
 * each request. A request that may not be repeated is lost there.
 */
#ifndef CB_TRACK_RECORD_H
#define CB_TRACK_RECORD_H

#include "policy.h"
#include "target.h"

void track_record_end(struct target *t, uint64_t ended_ns);
bool track_record_is_doubtful(const struct target *t, uint64_t now_ns);
float track_record_failure_cost(const struct target *t,
				const struct policy *policy, uint64_t now_ns);
void track_record_service_time(struct target *t, uint64_t service_ns,
			       uint64_t mean_ns, uint64_t now_ns);
float track_record_slowness(const struct target *t, uint64_t now_ns);

#endif
