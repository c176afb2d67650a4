/*
 * Ejection of targets that accept flows but fail their requests. Such a target
 * looks idle, so it would get more flows than the others. In the client's
 * packets a failed request shows as an answer much smaller than the mean or as
 * none in time. A target with far more of these than the others of its service
 * gets no new flows for a while.
 */
#ifndef CB_OUTLIER_H
#define CB_OUTLIER_H

#include "directory.h"
#include "policy.h"

void outlier_record_failure(struct target *t, const struct policy *policy,
			    uint64_t now_ns);
void outlier_record_weighted(struct target *t, const struct policy *policy,
			     float weight, uint64_t now_ns);
void outlier_take_back_failure(struct target *t, const struct policy *policy,
			       float weight, uint64_t failed_ns);
float outlier_failure_count(const struct target *t, const struct policy *policy,
			    uint64_t now_ns);
bool outlier_is_ejected(const struct target *t, uint64_t now_ns);
bool outlier_is_on_trial(const struct target *t, const struct policy *policy,
			 uint64_t now_ns);
bool outlier_is_suspicious(const struct directory *d, const struct target *t,
			   const struct policy *policy, uint64_t now_ns);
bool outlier_eject_if_failing(const struct directory *d, struct target *t,
			      const struct policy *policy, uint64_t now_ns,
			      float *others_mean);

#endif
