/*
 * Ejection of targets whose requests fail or are slow, even when the targets
 * report themselves healthy.
 */
#ifndef CB_EJECT_H
#define CB_EJECT_H

#include "balance.h"

/* At most 1/EJECT_SHARE_DEN of a service's targets are ejected. */
#define EJECT_SHARE_DEN 3

/**
 * struct health - results of this entry's requests at a target
 * @latency_ns: moving average of the latency
 * @error_milli: moving average of the failed share, 0 to 1000
 * @samples: requests counted since the target was last readmitted
 * @consecutive_timeouts: timeouts since the last other end
 * @backoff_steps: ejections so far, at most EJECT_BACKOFF_STEPS_MAX; each
 *	doubles the duration of the next
 * @ejected: gets no new work except trial requests
 * @trial_pending: a trial request is at the target
 * @next_trial_ns: earliest time of the next trial request
 */
struct health {
	uint64_t latency_ns;
	uint32_t error_milli;
	uint32_t samples;
	uint8_t consecutive_timeouts;
	uint8_t backoff_steps;
	bool ejected;
	bool trial_pending;
	uint64_t next_trial_ns;
};

void health_record_end(struct health *health, enum outcome outcome,
		       uint64_t duration_ns);
bool health_is_failing(const struct health *health);
bool health_is_slow(const struct health *health, uint64_t peers_ns);
bool health_trial_is_due(const struct health *health, uint64_t now_ns);
void health_eject(struct health *health, uint64_t now_ns);
void health_readmit(struct health *health);

struct balancer;
struct target;
void eject_record_end(struct balancer *balancer, struct target *t,
		      enum outcome outcome, uint64_t duration_ns,
		      uint64_t now_ns);
void eject_slow_targets(struct balancer *balancer, uint64_t now_ns);
void eject_enforce_limits(struct balancer *balancer);

#endif
