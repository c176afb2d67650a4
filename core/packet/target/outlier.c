#include "outlier.h"

#include <math.h>

#define PERCENT 100.0f
/* Weight of one answer in the mean size. */
#define SIZE_WEIGHT 0.03f

/**
 * outlier_small() - take the size of an answer
 * @s: sizes so far
 * @policy: figures to go by
 * @kind: enum route_kind
 * @size_bytes: what the client acknowledged first of it
 *
 * Return: whether it is far smaller than usual.
 */
bool outlier_small(struct answer_sizes *s, const struct policy *policy,
		   uint8_t kind, uint32_t size_bytes)
{
	float part = (float)policy->small_percent / PERCENT;
	float *mean_bytes = &s->mean_bytes[kind];
	bool small = (float)size_bytes < part * *mean_bytes;

	if (*mean_bytes <= 0)
		*mean_bytes = (float)size_bytes;
	*mean_bytes += ((float)size_bytes - *mean_bytes) * SIZE_WEIGHT;
	return small;
}

static float decayed(const struct target *t, const struct policy *policy,
		     uint64_t now_ns)
{
	float age_ns = (float)(now_ns - t->failures_ns);

	return t->failures * expf(-age_ns / (float)policy->failures_window_ns);
}

/**
 * outlier_failed() - a request failed
 * @t: its target
 * @policy: figures to go by
 * @now_ns: time
 */
void outlier_failed(struct target *t, const struct policy *policy,
		    uint64_t now_ns)
{
	t->failures = decayed(t, policy, now_ns) + 1;
	t->failures_ns = now_ns;
}

/**
 * outlier_failures() - requests that failed of late, as seen here
 * @t: target
 * @policy: figures to go by
 * @now_ns: time
 *
 * Return: number, older ones counting less.
 */
float outlier_failures(const struct target *t, const struct policy *policy,
		       uint64_t now_ns)
{
	return t->failures > 0 ? decayed(t, policy, now_ns) : 0;
}

/**
 * outlier_ejected() - whether a target gets no new flows for its failures
 * @t: target
 * @now_ns: time
 *
 * Return: that.
 */
bool outlier_ejected(const struct target *t, uint64_t now_ns)
{
	return now_ns < t->ejected_until_ns;
}

/**
 * outlier_on_trial() - whether a target was ejected until lately
 * @t: target
 * @policy: figures to go by
 * @now_ns: time
 *
 * Return: that.
 */
bool outlier_on_trial(const struct target *t, const struct policy *policy,
		      uint64_t now_ns)
{
	return t->ejected_until_ns && !outlier_ejected(t, now_ns) &&
	       now_ns < t->ejected_until_ns + policy->trial_ns;
}

static float failures(const struct target *t, const struct policy *policy,
		      uint64_t now_ns)
{
	return outlier_failures(t, policy, now_ns) + t->peers_failures;
}

/* Mean of the failures of the service's other targets that take flows. */
static float usual(const struct directory *d, const struct target *t,
		   const struct policy *policy, uint64_t now_ns)
{
	struct target *const *all = NULL;
	uint32_t n = directory_of_service(d, t->news.service, &all);
	uint32_t others = 0;
	float sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		if (all[i] == t || !directory_serving(d, all[i]) ||
		    outlier_ejected(all[i], now_ns))
			continue;
		sum += failures(all[i], policy, now_ns);
		others++;
	}
	return others ? sum / (float)others : 0;
}

/* So many failures are no chance any more. */
static float limit(const struct target *t, const struct policy *policy,
		   float others, uint64_t now_ns)
{
	bool trial = outlier_on_trial(t, policy, now_ns);
	float deviations =
		(float)(trial ? policy->deviations_trial : policy->deviations);
	float least = (float)(trial ? policy->failures_min_trial
				    : policy->failures_min);
	float spare = trial ? 0 : (float)policy->failures_spare;
	float chance = others + deviations * sqrtf(others) + spare;

	return chance > least ? chance : least;
}

/* Whether one more may be ejected. */
static bool room(const struct directory *d, const struct target *t,
		 const struct policy *policy, uint64_t now_ns)
{
	struct target *const *all = NULL;
	uint32_t n = directory_of_service(d, t->news.service, &all);
	uint32_t serving = 0, ejected = 0;

	for (uint32_t i = 0; i < n; i++) {
		serving += directory_serving(d, all[i]);
		ejected += directory_serving(d, all[i]) &&
			   outlier_ejected(all[i], now_ns);
	}
	return (ejected + 1) * policy->eject_part <= serving;
}

/**
 * outlier_judge() - eject a target if it fails far more than the others
 * @d: directory
 * @t: target
 * @policy: figures to go by
 * @now_ns: time
 * @others: set to the mean failures of the others when it was ejected
 *
 * Without it a target that answers every request with an error is given more
 * flows than any other, since it is always idle, and a request that is not
 * idempotent is lost there each time.
 *
 * Return: whether it was ejected now.
 */
bool outlier_judge(const struct directory *d, struct target *t,
		   const struct policy *policy, uint64_t now_ns, float *others)
{
	float sum = failures(t, policy, now_ns);
	uint64_t last_ns = policy->eject_ns << t->ejections;

	if (!policy->eject || sum < (float)policy->failures_min_trial ||
	    !directory_serving(d, t) || outlier_ejected(t, now_ns))
		return false;
	*others = usual(d, t, policy, now_ns);
	if (sum < limit(t, policy, *others, now_ns) ||
	    !room(d, t, policy, now_ns))
		return false;
	if (now_ns > t->ejected_until_ns + last_ns)
		t->ejections = 0;
	else if (t->ejections < policy->eject_steps)
		t->ejections++;
	t->ejected_until_ns = now_ns + (policy->eject_ns << t->ejections);
	return true;
}
