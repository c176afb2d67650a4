#include "track_record.h"

#include "outlier.h"

#include <math.h>

/* How long a target is avoided at first: longer than a first ejection, since
 * targets that go down and up by turns are often down again when that is over.
 * Doubled for each further outage, AVOID_STEPS_MAX times at most. */
#define AVOID_NS (6 * NS_PER_S)
#define AVOID_STEPS_MAX 3
/* Outages that are further apart have different causes. */
#define HISTORY_NS (60 * NS_PER_S)
/* Entries notice the same outage within this time, by packets, probes and
 * peers. */
#define SAME_OUTAGE_NS NS_PER_S
/* Time between the openings with which an unresponsive target is tried; doubled
 * each time, TRIAL_STEPS_MAX times at most. */
#define TRIAL_NS (500 * NS_PER_MS)
#define TRIAL_STEPS_MAX 2
/* Weight of one answer in the relative service time. */
#define SLOWNESS_WEIGHT 0.125f
/* One answer counts as at most this multiple of the mean, since single requests
 * take far longer than others at good targets too. */
#define SLOWNESS_SAMPLE_MAX 4.0f
/* A slow target gets few requests, so that its relative service time has few
 * new samples; it returns to 1 with this time constant. */
#define SLOWNESS_DECAY_NS (10 * NS_PER_S)

/**
 * track_record_avoid() - send no requests that may not be repeated to a target
 *	for some time, since its process ended, it is suspicious, or it was
 *	ejected
 * @t: target
 * @since_ns: when that was noticed; for an ejection, when it is over
 *
 * A target that is reported again within SAME_OUTAGE_NS is still in the same
 * outage: the time for which it is avoided begins anew, without doubling.
 */
void track_record_avoid(struct target *t, uint64_t since_ns)
{
	bool known = t->avoided_ns != 0;

	if (!known || since_ns > t->avoided_ns + HISTORY_NS)
		t->avoidances = 0;
	else if (since_ns > t->avoided_ns + SAME_OUTAGE_NS &&
		 t->avoidances < AVOID_STEPS_MAX)
		t->avoidances++;
	if (since_ns > t->avoided_ns)
		t->avoided_ns = since_ns;
	t->avoid_until_ns = t->avoided_ns + (AVOID_NS << t->avoidances);
}

/**
 * track_record_is_doubtful() - whether a target is avoided
 * @t: target
 * @now_ns: current time
 *
 * Return: true when a request that may not be repeated should go elsewhere if
 * another target has a free slot.
 */
bool track_record_is_doubtful(const struct target *t, uint64_t now_ns)
{
	return now_ns < t->avoid_until_ns;
}

/**
 * track_record_unanswered() - record that a target left an opening unanswered
 *	while others answered
 * @t: target
 * @now_ns: current time
 */
void track_record_unanswered(struct target *t, uint64_t now_ns)
{
	uint32_t steps;

	if (t->unanswered < TRACK_UNANSWERED_MIN + TRIAL_STEPS_MAX)
		t->unanswered++;
	if (t->unanswered < TRACK_UNANSWERED_MIN)
		return;
	steps = t->unanswered - TRACK_UNANSWERED_MIN;
	t->trial_ns = now_ns + (TRIAL_NS << steps);
}

/**
 * track_record_answered() - record that a target answered a packet of a flow
 * @t: target
 */
void track_record_answered(struct target *t)
{
	t->unanswered = 0;
}

/**
 * track_record_accepted() - record that a process accepts connections at the
 *	address of a target that was silent or had ended
 * @t: target
 * @now_ns: current time
 *
 * It may be another process. One opening is tried.
 */
void track_record_accepted(struct target *t, uint64_t now_ns)
{
	if (t->unanswered < TRACK_UNANSWERED_MIN)
		t->unanswered = TRACK_UNANSWERED_MIN;
	if (t->trial_ns < now_ns)
		t->trial_ns = now_ns;
}

/**
 * track_record_is_unresponsive() - whether a target leaves openings unanswered
 * @t: target
 * @now_ns: current time
 *
 * Return: true until it may be tried with another opening.
 */
bool track_record_is_unresponsive(const struct target *t, uint64_t now_ns)
{
	return t->unanswered >= TRACK_UNANSWERED_MIN && now_ns < t->trial_ns;
}

/**
 * track_record_assigned() - record that an opening was assigned to a target
 * @t: target
 * @now_ns: current time
 *
 * An unresponsive target gets one opening at a time.
 */
void track_record_assigned(struct target *t, uint64_t now_ns)
{
	if (t->unanswered >= TRACK_UNANSWERED_MIN)
		t->trial_ns = now_ns + TRIAL_NS;
}

/**
 * track_record_failure_cost() - weight of a target's recent failures in the
 *	choice of a target for a request that may not be repeated
 * @t: target
 * @policy: limits and switches
 * @now_ns: current time
 *
 * All entries together fail a few good requests by their own measure, so that
 * no single failure rules a target out. Entries see the failures of their peers
 * within a heartbeat, long before there are enough for an ejection.
 *
 * Return: recent failures at all entries; 0 for this entry's own when an
 * answer came after them.
 */
float track_record_failure_cost(const struct target *t,
				const struct policy *policy, uint64_t now_ns)
{
	float own = outlier_failure_count(t, policy, now_ns);

	if (t->last_alive_ns > t->failures_updated_ns)
		own = 0;
	return own + t->peers_failures;
}

static float decayed_slowness(const struct target *t, uint64_t now_ns)
{
	float age_ns = (float)(now_ns - t->slowness_updated_ns);

	return t->slowness * expf(-age_ns / (float)SLOWNESS_DECAY_NS);
}

/**
 * track_record_service_time() - compare the time of a request with the mean of
 *	its service
 * @t: its target
 * @service_ns: time that the request took, or has taken so far when it is
 *	overdue
 * @mean_ns: mean time of such requests at all targets; 0 when unknown
 * @now_ns: current time
 */
void track_record_service_time(struct target *t, uint64_t service_ns,
			       uint64_t mean_ns, uint64_t now_ns)
{
	float ratio;

	if (!mean_ns)
		return;
	ratio = fminf((float)service_ns / (float)mean_ns, SLOWNESS_SAMPLE_MAX);
	t->slowness = decayed_slowness(t, now_ns);
	t->slowness += (ratio - 1 - t->slowness) * SLOWNESS_WEIGHT;
	t->slowness_updated_ns = now_ns;
}

/**
 * track_record_slowness() - time that a target needs for a request, relative to
 *	the mean of its service
 * @t: target
 * @now_ns: current time
 *
 * Return: 1 or more; a target that is faster than the mean counts as average,
 * since an idle one would otherwise attract the requests of all entries.
 */
float track_record_slowness(const struct target *t, uint64_t now_ns)
{
	return 1 + fmaxf(0, decayed_slowness(t, now_ns));
}
