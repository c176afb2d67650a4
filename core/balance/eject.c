#include "eject.h"

#include "balance_state.h"

#include <stdlib.h>

/* Requests before the averages of a target are used. */
#define SAMPLES_MIN 8
#define ERROR_MILLI_MAX 500
#define TIMEOUTS_MAX 3
/* A slow target exceeds the others' median by this factor and this time. */
#define SLOW_FACTOR 3
#define SLOW_MIN_NS (20 * NS_PER_MS)
/*
 * With more candidates than this, one median of all of them is used for each:
 * leaving out the target itself would hardly change it.
 */
#define SHARED_MEDIAN_TARGETS_MIN 8
#define EJECT_BASE_NS (3 * NS_PER_S)
#define EJECT_BACKOFF_STEPS_MAX 5

/**
 * health_record_end() - record the end of a request
 * @health: health of its target
 * @outcome: how the request ended
 * @duration_ns: time since it was sent to the target
 *
 * A shed request is not counted: it is a sign of load, not of failure. The
 * duration of a cancelled request is a lower bound of its latency, so it is
 * counted only when it is not below the average.
 */
void health_record_end(struct health *health, enum outcome outcome,
		       uint64_t duration_ns)
{
	bool failed = outcome == OUTCOME_ERROR || outcome == OUTCOME_TIMEOUT;

	if (outcome == OUTCOME_SHED)
		return;
	if (outcome == OUTCOME_CANCELLED && duration_ns < health->latency_ns)
		return;
	health->samples++;
	health->consecutive_timeouts =
		outcome == OUTCOME_TIMEOUT ? health->consecutive_timeouts + 1
					   : 0;
	if (outcome != OUTCOME_ERROR && !health->latency_ns)
		health->latency_ns = duration_ns;
	else if (outcome != OUTCOME_ERROR)
		health->latency_ns = (7 * health->latency_ns + duration_ns) / 8;
	health->error_milli =
		(7 * health->error_milli + (failed ? 1000 : 0)) / 8;
}

/**
 * health_is_failing() - test whether too many requests fail
 * @health: health of the target
 *
 * Return: true after TIMEOUTS_MAX consecutive timeouts, or when the failed
 * share exceeds ERROR_MILLI_MAX.
 */
bool health_is_failing(const struct health *health)
{
	if (health->consecutive_timeouts >= TIMEOUTS_MAX)
		return true;
	return health->samples >= SAMPLES_MIN &&
	       health->error_milli > ERROR_MILLI_MAX;
}

/**
 * health_is_slow() - test whether a target is much slower than the others
 * @health: health of the target
 * @peers_ns: median latency of the service's other targets, 0 when not known
 *
 * Return: true when it is.
 */
bool health_is_slow(const struct health *health, uint64_t peers_ns)
{
	if (!peers_ns || health->samples < SAMPLES_MIN)
		return false;
	return health->latency_ns > SLOW_FACTOR * peers_ns &&
	       health->latency_ns > peers_ns + SLOW_MIN_NS;
}

/**
 * health_trial_is_due() - test whether a trial request may be sent
 * @health: health of the target
 * @now_ns: current time
 *
 * Return: true for an ejected target without a pending trial request, when the
 * time of the next one has come.
 */
bool health_trial_is_due(const struct health *health, uint64_t now_ns)
{
	return health->ejected && !health->trial_pending &&
	       now_ns >= health->next_trial_ns;
}

/**
 * health_eject() - eject a target, each time for twice as long up to a limit
 * @health: health of the target
 * @now_ns: current time
 */
void health_eject(struct health *health, uint64_t now_ns)
{
	health->ejected = true;
	health->trial_pending = false;
	health->next_trial_ns =
		now_ns + (EJECT_BASE_NS << health->backoff_steps);
	if (health->backoff_steps < EJECT_BACKOFF_STEPS_MAX)
		health->backoff_steps++;
}

/**
 * health_readmit() - end an ejection and reset all but the backoff
 * @health: health of the target
 */
void health_readmit(struct health *health)
{
	uint8_t backoff_steps = health->backoff_steps;

	*health = (struct health){ .backoff_steps = backoff_steps };
}

static int compare_ns(const void *a, const void *b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static struct target *candidate_target(struct balancer *balancer,
				       const struct service *s, uint32_t i)
{
	uint32_t backend = balancer->tables.candidates[s->first_candidate + i];

	return &balancer->tables
			.targets[balancer->tables.backends[backend].target];
}

/*
 * Median latency of the service's candidates, 0 when not known. Left out are
 * @self (may be NULL), ejected targets and those with too few samples.
 */
static uint64_t median_latency_ns(struct balancer *balancer,
				  const struct service *s,
				  const struct target *self)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_candidates; i++) {
		const struct target *t = candidate_target(balancer, s, i);

		if (t == self || t->health.ejected ||
		    t->health.samples < SAMPLES_MIN)
			continue;
		balancer->tables.latencies_ns[n++] = t->health.latency_ns;
	}
	if (!n)
		return 0;
	qsort(balancer->tables.latencies_ns, n,
	      sizeof(*balancer->tables.latencies_ns), compare_ns);
	return balancer->tables.latencies_ns[n / 2];
}

static uint32_t max_ejections(const struct service *s)
{
	uint32_t share = s->n_up / EJECT_SHARE_DEN;
	uint32_t spare = s->n_candidates ? s->n_candidates - 1 : 0;

	return share < spare ? share : spare;
}

/* A target is ejected only if each service that lists it is below its limit. */
static bool may_eject(const struct balancer *balancer, const struct target *t)
{
	for (uint32_t i = 0; i < t->n_links; i++) {
		const struct backend *be =
			&balancer->tables.backends
				 [balancer->tables.links[t->first_link + i]];
		const struct service *s =
			&balancer->tables.services[be->service];

		if (be->candidate && s->n_ejected >= max_ejections(s))
			return false;
	}
	return true;
}

static void recount_service(struct balancer *balancer, struct service *s)
{
	s->n_ejected = 0;
	s->n_own = 0;
	for (uint32_t i = 0; i < s->n_candidates; i++) {
		const struct target *t = candidate_target(balancer, s, i);

		s->n_ejected += t->health.ejected;
		s->n_own += t->share.own && !t->health.ejected;
	}
}

static void readmit(struct balancer *balancer, struct target *t)
{
	health_readmit(&t->health);
	fair_queue_recheck(balancer, (uint32_t)(t - balancer->tables.targets));
}

/**
 * eject_enforce_limits() - recount the ejected targets, and readmit those above
 *	the limit of a service, so that no service is left without targets
 * @balancer: balancer
 */
void eject_enforce_limits(struct balancer *balancer)
{
	for (uint32_t i = 0; i < balancer->tables.n_services; i++) {
		struct service *s = &balancer->tables.services[i];

		recount_service(balancer, s);
		for (uint32_t j = 0; j < s->n_candidates; j++) {
			struct target *t = candidate_target(balancer, s, j);

			if (s->n_ejected <= max_ejections(s))
				break;
			if (!t->health.ejected)
				continue;
			readmit(balancer, t);
			s->n_ejected--;
		}
	}
	for (uint32_t i = 0; i < balancer->tables.n_services; i++)
		recount_service(balancer, &balancer->tables.services[i]);
}

static void recount_services_of(struct balancer *balancer,
				const struct target *t)
{
	for (uint32_t i = 0; i < t->n_links; i++) {
		uint32_t backend = balancer->tables.links[t->first_link + i];

		recount_service(
			balancer,
			&balancer->tables.services
				 [balancer->tables.backends[backend].service]);
	}
}

static void eject(struct balancer *balancer, struct target *t, uint64_t now_ns)
{
	health_eject(&t->health, now_ns);
	recount_services_of(balancer, t);
}

/* The first request to end during a trial decides about the ejected target. */
static void record_trial_end(struct balancer *balancer, struct target *t,
			     enum outcome outcome, uint64_t duration_ns,
			     uint64_t now_ns)
{
	uint64_t peers_ns = 0;

	if (t->n_links) {
		uint32_t backend = balancer->tables.links[t->first_link];
		const struct backend *be = &balancer->tables.backends[backend];

		peers_ns = median_latency_ns(
			balancer, &balancer->tables.services[be->service], t);
	}
	if (outcome == OUTCOME_CANCELLED || outcome == OUTCOME_SHED) {
		t->health.trial_pending = false;
		return;
	}
	if (outcome != OUTCOME_OK ||
	    (peers_ns && duration_ns > SLOW_FACTOR * peers_ns + SLOW_MIN_NS)) {
		health_eject(&t->health, now_ns);
		return;
	}
	readmit(balancer, t);
	recount_services_of(balancer, t);
}

/**
 * eject_record_end() - record the end of a request, and eject or readmit its
 *	target accordingly
 * @balancer: balancer
 * @t: target
 * @outcome: how the request ended
 * @duration_ns: time since it was sent to the target
 * @now_ns: current time
 */
void eject_record_end(struct balancer *balancer, struct target *t,
		      enum outcome outcome, uint64_t duration_ns,
		      uint64_t now_ns)
{
	if (t->health.ejected) {
		if (t->health.trial_pending)
			record_trial_end(balancer, t, outcome, duration_ns,
					 now_ns);
		return;
	}
	health_record_end(&t->health, outcome, duration_ns);
	if (health_is_failing(&t->health) && may_eject(balancer, t))
		eject(balancer, t, now_ns);
}

static void eject_slow_of_service(struct balancer *balancer, struct service *s,
				  uint64_t now_ns)
{
	uint64_t median_ns = 0;

	if (s->n_candidates > SHARED_MEDIAN_TARGETS_MIN)
		median_ns = median_latency_ns(balancer, s, NULL);
	for (uint32_t i = 0; i < s->n_candidates; i++) {
		struct target *t = candidate_target(balancer, s, i);
		uint64_t peers_ns = median_ns;

		if (t->health.ejected || now_ns < t->slow_start_end_ns ||
		    t->health.samples < SAMPLES_MIN)
			continue;
		if (!peers_ns)
			peers_ns = median_latency_ns(balancer, s, t);
		if (!health_is_slow(&t->health, peers_ns))
			continue;
		if (may_eject(balancer, t))
			eject(balancer, t, now_ns);
	}
}

/**
 * eject_slow_targets() - compare the latencies of each service's targets and
 *	eject the slow ones
 * @balancer: balancer
 * @now_ns: current time
 */
void eject_slow_targets(struct balancer *balancer, uint64_t now_ns)
{
	for (uint32_t i = 0; i < balancer->tables.n_services; i++)
		eject_slow_of_service(balancer, &balancer->tables.services[i],
				      now_ns);
}
