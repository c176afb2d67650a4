#include "outlier.h"

#include <math.h>

#define PERCENT 100.0f
/* Standard deviations of a Poisson count, one less than for an ejection: a
 * suspicious target only gets no requests that may not be repeated, so that
 * chance may rule out more good targets. */
#define SUSPICIOUS_DEVIATIONS 3.0f
/* Two failures within half a second; one alone is chance too often. */
#define SUSPICIOUS_FAILURES 1.75f

static float decayed_failures(const struct target *t,
			      const struct policy *policy, uint64_t now_ns)
{
	float age_ns = (float)(now_ns - t->failures_updated_ns);

	return t->failures * expf(-age_ns / (float)policy->failures_window_ns);
}

/**
 * outlier_record_failure() - count a failed request
 * @t: its target
 * @policy: limits and switches
 * @now_ns: current time
 */
void outlier_record_failure(struct target *t, const struct policy *policy,
			    uint64_t now_ns)
{
	outlier_record_weighted(t, policy, 1, now_ns);
}

/**
 * outlier_record_weighted() - count a request that may have failed
 * @t: its target
 * @policy: limits and switches
 * @weight: how much it counts; 1 for a failed request
 * @now_ns: current time
 */
void outlier_record_weighted(struct target *t, const struct policy *policy,
			     float weight, uint64_t now_ns)
{
	t->failures = decayed_failures(t, policy, now_ns) + weight;
	t->failures_updated_ns = now_ns;
}

/**
 * outlier_take_back_failure() - subtract a request that was counted as a failure
 *	and is answered after all
 * @t: its target
 * @policy: limits and switches
 * @weight: how much it counted
 * @failed_ns: when it was counted
 *
 * A few in a hundred requests take many times the mean at good targets too.
 */
void outlier_take_back_failure(struct target *t, const struct policy *policy,
			       float weight, uint64_t failed_ns)
{
	float age_ns;

	if (t->failures_updated_ns < failed_ns)
		return;
	age_ns = (float)(t->failures_updated_ns - failed_ns);
	weight *= expf(-age_ns / (float)policy->failures_window_ns);
	t->failures = fmaxf(0, t->failures - weight);
}

/**
 * outlier_failure_count() - recent failed requests of a target at this entry
 * @t: target
 * @policy: limits and switches
 * @now_ns: current time
 *
 * Return: number of failures, each weighted by exponential decay over policy's
 * failures_window_ns.
 */
float outlier_failure_count(const struct target *t, const struct policy *policy,
			    uint64_t now_ns)
{
	return t->failures > 0 ? decayed_failures(t, policy, now_ns) : 0;
}

/**
 * outlier_is_ejected() - whether a target gets no new flows because of failures
 * @t: target
 * @now_ns: current time
 *
 * Return: true until its ejection ends.
 */
bool outlier_is_ejected(const struct target *t, uint64_t now_ns)
{
	return now_ns < t->ejected_until_ns;
}

/**
 * outlier_is_on_trial() - whether the ejection of a target ended recently
 * @t: target
 * @policy: limits and switches
 * @now_ns: current time
 *
 * Return: true for policy's trial_ns after the end.
 */
bool outlier_is_on_trial(const struct target *t, const struct policy *policy,
			 uint64_t now_ns)
{
	return t->ejected_until_ns && !outlier_is_ejected(t, now_ns) &&
	       now_ns < t->ejected_until_ns + policy->trial_ns;
}

/* Recent failures at all entries. */
static float total_failures(const struct target *t, const struct policy *policy,
			    uint64_t now_ns)
{
	return outlier_failure_count(t, policy, now_ns) + t->peers_failures;
}

/* Mean failures of the other targets of the service that take flows. */
static float mean_failures_of_others(const struct directory *d,
				     const struct target *t,
				     const struct policy *policy,
				     uint64_t now_ns)
{
	struct target *const *all = NULL;
	uint32_t n = directory_service_targets(d, t->advertised.service, &all);
	uint32_t others = 0;
	float sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		if (all[i] == t || !directory_is_serving(d, all[i]) ||
		    outlier_is_ejected(all[i], now_ns))
			continue;
		sum += total_failures(all[i], policy, now_ns);
		others++;
	}
	return others ? sum / (float)others : 0;
}

/*
 * Number of failures from which a target counts as failing. Fewer may be
 * random: it lies above the mean of the others by some standard deviations of a
 * Poisson distribution.
 */
static float ejection_threshold(const struct target *t,
				const struct policy *policy, float others_mean,
				uint64_t now_ns)
{
	bool on_trial = outlier_is_on_trial(t, policy, now_ns);
	float deviations = (float)(on_trial ? policy->deviations_trial
					    : policy->deviations);
	float minimum = (float)(on_trial ? policy->failures_min_trial
					 : policy->failures_min);
	float spare = on_trial ? 0 : (float)policy->failures_spare;
	float random_max =
		others_mean + deviations * sqrtf(others_mean) + spare;

	return random_max > minimum ? random_max : minimum;
}

/**
 * outlier_is_suspicious() - whether a target fails more requests than the others
 *	of its service, by less evidence than an ejection takes
 * @d: directory
 * @t: target
 * @policy: limits and switches
 * @now_ns: current time
 *
 * Return: true from SUSPICIOUS_FAILURES, and SUSPICIOUS_DEVIATIONS standard
 * deviations above the mean of the others.
 */
bool outlier_is_suspicious(const struct directory *d, const struct target *t,
			   const struct policy *policy, uint64_t now_ns)
{
	float failures = total_failures(t, policy, now_ns);
	float others;

	if (failures < SUSPICIOUS_FAILURES)
		return false;
	others = mean_failures_of_others(d, t, policy, now_ns);
	return failures > others + SUSPICIOUS_DEVIATIONS * sqrtf(others);
}

/* Whether the limit of ejected targets allows one more in the service of @t. */
static bool may_eject_another(const struct directory *d, const struct target *t,
			      const struct policy *policy, uint64_t now_ns)
{
	struct target *const *all = NULL;
	uint32_t n = directory_service_targets(d, t->advertised.service, &all);
	uint32_t serving = 0, ejected = 0;

	for (uint32_t i = 0; i < n; i++) {
		serving += directory_is_serving(d, all[i]);
		ejected += directory_is_serving(d, all[i]) &&
			   outlier_is_ejected(all[i], now_ns);
	}
	return (ejected + 1) * policy->eject_part <= serving;
}

/**
 * outlier_eject_if_failing() - eject a target that fails far more requests than
 *	the others of its service
 * @d: directory
 * @t: target
 * @policy: limits and switches
 * @now_ns: current time
 * @others_mean: set to the mean failures of the others when @t is ejected,
 *	otherwise unspecified
 *
 * Without ejection a target that answers every request with an error gets more
 * flows than any other, since it is always idle, and every request there that
 * is not idempotent is lost.
 *
 * Return: true when @t was ejected by this call.
 */
bool outlier_eject_if_failing(const struct directory *d, struct target *t,
			      const struct policy *policy, uint64_t now_ns,
			      float *others_mean)
{
	float failures = total_failures(t, policy, now_ns);
	uint64_t last_ejection_ns = policy->eject_ns << t->ejections;

	if (!policy->eject || failures < (float)policy->failures_min_trial ||
	    !directory_is_serving(d, t) || outlier_is_ejected(t, now_ns))
		return false;
	*others_mean = mean_failures_of_others(d, t, policy, now_ns);
	if (failures < ejection_threshold(t, policy, *others_mean, now_ns) ||
	    !may_eject_another(d, t, policy, now_ns))
		return false;
	if (now_ns > t->ejected_until_ns + last_ejection_ns)
		t->ejections = 0;
	else if (t->ejections < policy->eject_steps)
		t->ejections++;
	t->ejected_until_ns = now_ns + (policy->eject_ns << t->ejections);
	return true;
}
