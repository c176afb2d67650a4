/*
 * What a target did lately: whether its process ended or was ejected, whether
 * it leaves openings unanswered, and how long it takes for a request compared
 * with the other targets of its service.
 *
 * A target that goes down and up by turns completes handshakes and then resets
 * each request. A request that may not be repeated is lost there.
 *
 * The address of a target that ended may belong to a process of another service
 * before that is published. It accepts connection attempts, so the target seems
 * to be back, and ignores openings that are meant for the target.
 */
#ifndef CB_TRACK_RECORD_H
#define CB_TRACK_RECORD_H

#include "policy.h"
#include "target.h"

/* Openings in a row that a target leaves unanswered until it is unresponsive:
 * a single packet may be lost. */
#define TRACK_UNANSWERED_MIN 2

void track_record_avoid(struct target *t, uint64_t since_ns);
bool track_record_is_doubtful(const struct target *t, uint64_t now_ns);
float track_record_failure_cost(const struct target *t,
				const struct policy *policy, uint64_t now_ns);
void track_record_unanswered(struct target *t, uint64_t now_ns);
void track_record_answered(struct target *t);
void track_record_accepted(struct target *t, uint64_t now_ns);
bool track_record_is_unresponsive(const struct target *t, uint64_t now_ns);
void track_record_assigned(struct target *t, uint64_t now_ns);
void track_record_service_time(struct target *t, uint64_t service_ns,
			       uint64_t mean_ns, uint64_t now_ns);
float track_record_slowness(const struct target *t, uint64_t now_ns);

#endif
