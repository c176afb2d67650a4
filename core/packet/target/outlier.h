/*
 * Targets that open flows and fail their requests: such a target looks idle,
 * so it is given more flows than others. What shows of a failed request in the
 * client's packets is an answer much smaller than usual, or none in time. A
 * target that has far more of them than the others of its service gets no new
 * flows for a while.
 */
#ifndef CB_OUTLIER_H
#define CB_OUTLIER_H

#include "directory.h"
#include "policy.h"

/**
 * struct answer_sizes - how large answers are, by kind of route
 * @mean_bytes: mean, 0 before the first
 */
struct answer_sizes {
	float mean_bytes[ROUTE_KINDS];
};

bool outlier_small(struct answer_sizes *s, const struct policy *policy,
		   uint8_t kind, uint32_t size_bytes);
void outlier_failed(struct target *t, const struct policy *policy,
		    uint64_t now_ns);
float outlier_failures(const struct target *t, const struct policy *policy,
		       uint64_t now_ns);
bool outlier_ejected(const struct target *t, uint64_t now_ns);
bool outlier_on_trial(const struct target *t, const struct policy *policy,
		      uint64_t now_ns);
bool outlier_judge(const struct directory *d, struct target *t,
		   const struct policy *policy, uint64_t now_ns, float *others);

#endif
