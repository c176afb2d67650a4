/* Ejection of targets that fail or crawl though their health is green. */
#ifndef CB_EJECT_H
#define CB_EJECT_H

#include "balance.h"

/* Of a service's targets, at most one in this many is ejected. */
#define EJECT_SHARE 3

/**
 * struct health - how this entry's requests at a target end
 * @latency_ns: mean time of answered requests
 * @error_milli: share of failures, in 1/1000
 * @samples: ends counted since the last ejection
 * @timeouts: timeouts in a row
 * @steps: ejections in a row, each doubles the next one's length
 * @ejected: gets no new work
 * @trial: a request on trial is at the target
 * @trial_deadline_ns: earliest next trial
 */
struct health {
	uint64_t latency_ns;
	uint32_t error_milli;
	uint32_t samples;
	uint8_t timeouts;
	uint8_t steps;
	bool ejected;
	bool trial;
	uint64_t trial_deadline_ns;
};

void health_ended(struct health *h, enum outcome outcome, uint64_t took_ns);
bool health_failing(const struct health *h);
bool health_crawling(const struct health *h, uint64_t peers_ns);
bool health_trial_due(const struct health *h, uint64_t now_ns);
void health_eject(struct health *h, uint64_t now_ns);
void health_readmit(struct health *h);

struct balancer;
struct target;
void eject_ended(struct balancer *b, struct target *t, enum outcome outcome,
		 uint64_t took_ns, uint64_t now_ns);
void eject_round(struct balancer *b, uint64_t now_ns);
void eject_recount(struct balancer *b);

#endif
