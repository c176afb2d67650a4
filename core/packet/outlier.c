#include "outlier.h"

#include "place.h"

#include <math.h>

/*
 * An answer below this part of the mean of its kind counts as failed. Errors
 * had 0.25 of a report's usual size and 0.39 of an upload's: below 0.4, 197 of
 * 2,683 uploads failed where 15 % of their targets did, below 0.45 148. Of the
 * answers of feeds, whose sizes vary, some 4 % are below it at every target.
 */
#define SMALL_PART 0.45f
/* Weight of one answer in the mean size. */
#define SIZE_WEIGHT 0.03f
/* Failures are forgotten over this time: a target that mends is used again. */
#define WINDOW_NS (2 * NS_PER_S)
/* Fewer failures may be chance at any target; on trial fewer do, since it has
 * failed before. */
#define FAILURES_MIN 5
#define FAILURES_MIN_TRIAL 2
/*
 * And so many standard deviations (of a Poisson count) above those of the
 * others, with so many to spare: under overload all have some, and feeds always
 * have, 1.1 of late in the mean. With four times the others' mean instead four
 * of 14 targets were ejected on a calm day.
 */
#define DEVIATIONS 4
#define DEVIATIONS_TRIAL 2
#define FAILURES_SPARE 2
/* Then it is tried again; twice as long each time that it fails again soon. */
#define EJECT_NS (3 * NS_PER_S)
#define EJECT_STEPS_MAX 3
/* Then it gets a part of its flows: all entries try it again at about the same
 * time, and an idle target would be given many at once. */
#define TRIAL_NS (2 * NS_PER_S)
/* At most this part of a service's targets is ejected at a time: the others
 * have to carry its load. */
#define EJECT_PART 3

/**
 * outlier_small() - take the size of an answer
 * @s: sizes so far
 * @kind: enum route_kind
 * @size_bytes: what the client acknowledged first of it
 *
 * Return: whether it is far smaller than usual.
 */
bool outlier_small(struct answer_sizes *s, uint8_t kind, uint32_t size_bytes)
{
	float *mean_bytes = &s->mean_bytes[kind];
	bool small = (float)size_bytes < SMALL_PART * *mean_bytes;

	if (*mean_bytes <= 0)
		*mean_bytes = (float)size_bytes;
	*mean_bytes += ((float)size_bytes - *mean_bytes) * SIZE_WEIGHT;
	return small;
}

static float decayed(const struct target *t, uint64_t now_ns)
{
	float age_ns = (float)(now_ns - t->failures_ns);

	return t->failures * expf(-age_ns / (float)WINDOW_NS);
}

/**
 * outlier_failed() - a request failed
 * @t: its target
 * @now_ns: time
 */
void outlier_failed(struct target *t, uint64_t now_ns)
{
	t->failures = decayed(t, now_ns) + 1;
	t->failures_ns = now_ns;
}

/**
 * outlier_failures() - requests that failed of late, as seen here
 * @t: target
 * @now_ns: time
 *
 * Return: number, older ones counting less.
 */
float outlier_failures(const struct target *t, uint64_t now_ns)
{
	return t->failures > 0 ? decayed(t, now_ns) : 0;
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
 * @now_ns: time
 *
 * Return: that.
 */
bool outlier_on_trial(const struct target *t, uint64_t now_ns)
{
	return t->ejected_until_ns && !outlier_ejected(t, now_ns) &&
	       now_ns < t->ejected_until_ns + TRIAL_NS;
}

static float failures(const struct target *t, uint64_t now_ns)
{
	return outlier_failures(t, now_ns) + t->peers_failures;
}

/**
 * outlier_usual() - failures of late at the other targets of a service
 * @d: directory
 * @t: target
 * @now_ns: time
 *
 * Return: their mean, without those that are ejected.
 */
float outlier_usual(const struct directory *d, const struct target *t,
		    uint64_t now_ns)
{
	struct target *const *all = NULL;
	uint32_t n = directory_of_service(d, t->news.service, &all);
	uint32_t others = 0;
	float sum = 0;

	for (uint32_t i = 0; i < n; i++) {
		if (all[i] == t || !place_serving(d, all[i]) ||
		    outlier_ejected(all[i], now_ns))
			continue;
		sum += failures(all[i], now_ns);
		others++;
	}
	return others ? sum / (float)others : 0;
}

/* So many failures are no chance any more. */
static float limit(const struct target *t, float usual, uint64_t now_ns)
{
	bool trial = outlier_on_trial(t, now_ns);
	float deviations = trial ? DEVIATIONS_TRIAL : DEVIATIONS;
	float least = trial ? FAILURES_MIN_TRIAL : FAILURES_MIN;
	float spare = trial ? 0 : FAILURES_SPARE;
	float chance = usual + deviations * sqrtf(usual) + spare;

	return chance > least ? chance : least;
}

/* Whether one more may be ejected. */
static bool room(const struct directory *d, const struct target *t,
		 uint64_t now_ns)
{
	struct target *const *all = NULL;
	uint32_t n = directory_of_service(d, t->news.service, &all);
	uint32_t serving = 0, ejected = 0;

	for (uint32_t i = 0; i < n; i++) {
		serving += place_serving(d, all[i]);
		ejected += place_serving(d, all[i]) &&
			   outlier_ejected(all[i], now_ns);
	}
	return (ejected + 1) * EJECT_PART <= serving;
}

/**
 * outlier_judge() - eject a target if it fails far more than the others
 * @d: directory
 * @t: target
 * @now_ns: time
 *
 * Without it a target that answers every request with an error is given more
 * flows than any other, since it is always idle, and a request that is not
 * idempotent is lost there each time.
 *
 * Return: whether it was ejected now.
 */
bool outlier_judge(const struct directory *d, struct target *t, uint64_t now_ns)
{
	float sum = failures(t, now_ns);
	uint64_t last_ns = EJECT_NS << t->ejections;

	if (sum < FAILURES_MIN_TRIAL || !place_serving(d, t) ||
	    outlier_ejected(t, now_ns) ||
	    sum < limit(t, outlier_usual(d, t, now_ns), now_ns) ||
	    !room(d, t, now_ns))
		return false;
	if (now_ns > t->ejected_until_ns + last_ns)
		t->ejections = 0;
	else if (t->ejections < EJECT_STEPS_MAX)
		t->ejections++;
	t->ejected_until_ns = now_ns + (EJECT_NS << t->ejections);
	return true;
}
