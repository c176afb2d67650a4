#include "eject.h"

#include "balance_state.h"

#include <stdlib.h>

/* Ends before a target is judged. */
#define SAMPLES_MIN 8
#define ERROR_MILLI_MAX 500
#define TIMEOUTS_MAX 3
/* Crawling: this many times the peers' median, and this much above it. */
#define CRAWL_FACTOR 3
#define CRAWL_MIN_NS (20 * NS_PER_MS)
/* Above this many targets the median hardly changes with one of them. */
#define SELF_MATTERS_MAX 8
#define EJECT_NS (3 * NS_PER_S)
#define EJECT_STEPS_MAX 5

/**
 * health_ended() - count the end of a request
 * @h: health
 * @outcome: how it ended
 * @took_ns: time from its start at the target
 *
 * A shed says nothing of health. Of a cancelled request it is only known that
 * it took longer than that.
 */
void health_ended(struct health *h, enum outcome outcome, uint64_t took_ns)
{
	bool failed = outcome == OUTCOME_ERROR || outcome == OUTCOME_TIMEOUT;

	if (outcome == OUTCOME_SHED)
		return;
	if (outcome == OUTCOME_CANCELLED && took_ns < h->latency_ns)
		return;
	h->samples++;
	h->timeouts = outcome == OUTCOME_TIMEOUT ? h->timeouts + 1 : 0;
	if (outcome != OUTCOME_ERROR && !h->latency_ns)
		h->latency_ns = took_ns;
	else if (outcome != OUTCOME_ERROR)
		h->latency_ns = (7 * h->latency_ns + took_ns) / 8;
	h->error_milli = (7 * h->error_milli + (failed ? 1000 : 0)) / 8;
}

/**
 * health_failing() - do too many requests fail
 * @h: health
 *
 * Return: true when they do.
 */
bool health_failing(const struct health *h)
{
	if (h->timeouts >= TIMEOUTS_MAX)
		return true;
	return h->samples >= SAMPLES_MIN && h->error_milli > ERROR_MILLI_MAX;
}

/**
 * health_crawling() - is it far slower than its peers
 * @h: health
 * @peers_ns: their median latency, 0 when not known
 *
 * Return: true when it is.
 */
bool health_crawling(const struct health *h, uint64_t peers_ns)
{
	if (!peers_ns || h->samples < SAMPLES_MIN)
		return false;
	return h->latency_ns > CRAWL_FACTOR * peers_ns &&
	       h->latency_ns > peers_ns + CRAWL_MIN_NS;
}

/**
 * health_trial_due() - may an ejected target get a request on trial
 * @h: health
 * @now_ns: time
 *
 * Return: true when none is under way and the time has come.
 */
bool health_trial_due(const struct health *h, uint64_t now_ns)
{
	return h->ejected && !h->trial && now_ns >= h->trial_deadline_ns;
}

/**
 * health_eject() - eject, for longer each time
 * @h: health
 * @now_ns: time
 */
void health_eject(struct health *h, uint64_t now_ns)
{
	h->ejected = true;
	h->trial = false;
	h->trial_deadline_ns = now_ns + (EJECT_NS << h->steps);
	if (h->steps < EJECT_STEPS_MAX)
		h->steps++;
}

/**
 * health_readmit() - forget what led to the ejection, but not how often
 * @h: health
 */
void health_readmit(struct health *h)
{
	uint8_t steps = h->steps;

	*h = (struct health){ .steps = steps };
}

static int compare_ns(const void *a, const void *b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x > *y) - (*x < *y);
}

static struct target *candidate(struct balancer *b, const struct service *s,
				uint32_t i)
{
	uint32_t place = b->t.candidates[s->first_candidate + i];

	return &b->t.targets[b->t.places[place].target];
}

/* Median latency of the service's candidates but @self (or NULL), 0 when not known. */
static uint64_t peers_median_ns(struct balancer *b, const struct service *s,
				const struct target *self)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_candidates; i++) {
		const struct target *t = candidate(b, s, i);

		if (t == self || t->health.ejected ||
		    t->health.samples < SAMPLES_MIN)
			continue;
		b->t.scratch[n++] = t->health.latency_ns;
	}
	if (!n)
		return 0;
	qsort(b->t.scratch, n, sizeof(*b->t.scratch), compare_ns);
	return b->t.scratch[n / 2];
}

static uint32_t ejections_max(const struct service *s)
{
	uint32_t share = s->n_up / EJECT_SHARE;
	uint32_t spare = s->n_candidates ? s->n_candidates - 1 : 0;

	return share < spare ? share : spare;
}

/* A target shared by services may go only if each of them can spare it. */
static bool may_eject(const struct balancer *b, const struct target *t)
{
	for (uint32_t i = 0; i < t->n_links; i++) {
		const struct place *p =
			&b->t.places[b->t.links[t->first_link + i]];
		const struct service *s = &b->t.services[p->service];

		if (p->candidate && s->n_ejected >= ejections_max(s))
			return false;
	}
	return true;
}

static void recount_service(struct balancer *b, struct service *s)
{
	s->n_ejected = 0;
	s->n_own = 0;
	for (uint32_t i = 0; i < s->n_candidates; i++) {
		const struct target *t = candidate(b, s, i);

		s->n_ejected += t->health.ejected;
		s->n_own += t->share.own && !t->health.ejected;
	}
}

static void readmit(struct balancer *b, struct target *t)
{
	health_readmit(&t->health);
	fair_ready(b, (uint32_t)(t - b->t.targets));
}

/**
 * eject_recount() - count the ejected anew; more than the share of a service
 *	are taken back, so that it is never left without targets
 * @b: balancer
 */
void eject_recount(struct balancer *b)
{
	for (uint32_t i = 0; i < b->t.n_services; i++) {
		struct service *s = &b->t.services[i];

		recount_service(b, s);
		for (uint32_t j = 0; j < s->n_candidates; j++) {
			struct target *t = candidate(b, s, j);

			if (s->n_ejected <= ejections_max(s))
				break;
			if (!t->health.ejected)
				continue;
			readmit(b, t);
			s->n_ejected--;
		}
	}
	for (uint32_t i = 0; i < b->t.n_services; i++)
		recount_service(b, &b->t.services[i]);
}

static void recount_linked(struct balancer *b, const struct target *t)
{
	for (uint32_t i = 0; i < t->n_links; i++) {
		uint32_t place = b->t.links[t->first_link + i];

		recount_service(b, &b->t.services[b->t.places[place].service]);
	}
}

static void eject(struct balancer *b, struct target *t, uint64_t now_ns)
{
	health_eject(&t->health, now_ns);
	recount_linked(b, t);
}

/* The first end after a trial began decides on an ejected target. */
static void trial_ended(struct balancer *b, struct target *t,
			enum outcome outcome, uint64_t took_ns, uint64_t now_ns)
{
	uint64_t peers_ns = 0;

	if (t->n_links) {
		uint32_t place = b->t.links[t->first_link];

		peers_ns = peers_median_ns(
			b, &b->t.services[b->t.places[place].service], t);
	}
	if (outcome == OUTCOME_CANCELLED || outcome == OUTCOME_SHED) {
		t->health.trial = false;
		return;
	}
	if (outcome != OUTCOME_OK ||
	    (peers_ns && took_ns > CRAWL_FACTOR * peers_ns + CRAWL_MIN_NS)) {
		health_eject(&t->health, now_ns);
		return;
	}
	readmit(b, t);
	recount_linked(b, t);
}

/**
 * eject_ended() - judge a target by the end of a request
 * @b: balancer
 * @t: target
 * @outcome: how it ended
 * @took_ns: time from its start at the target
 * @now_ns: time
 */
void eject_ended(struct balancer *b, struct target *t, enum outcome outcome,
		 uint64_t took_ns, uint64_t now_ns)
{
	if (t->health.ejected) {
		if (t->health.trial)
			trial_ended(b, t, outcome, took_ns, now_ns);
		return;
	}
	health_ended(&t->health, outcome, took_ns);
	if (health_failing(&t->health) && may_eject(b, t))
		eject(b, t, now_ns);
}

static void round_service(struct balancer *b, struct service *s,
			  uint64_t now_ns)
{
	uint64_t median_ns = 0;

	if (s->n_candidates > SELF_MATTERS_MAX)
		median_ns = peers_median_ns(b, s, NULL);
	for (uint32_t i = 0; i < s->n_candidates; i++) {
		struct target *t = candidate(b, s, i);
		uint64_t peers_ns = median_ns;

		if (t->health.ejected || now_ns < t->warm_deadline_ns ||
		    t->health.samples < SAMPLES_MIN)
			continue;
		if (!peers_ns)
			peers_ns = peers_median_ns(b, s, t);
		if (!health_crawling(&t->health, peers_ns))
			continue;
		if (may_eject(b, t))
			eject(b, t, now_ns);
	}
}

/**
 * eject_round() - compare the targets of each service
 * @b: balancer
 * @now_ns: time
 */
void eject_round(struct balancer *b, uint64_t now_ns)
{
	for (uint32_t i = 0; i < b->t.n_services; i++)
		round_service(b, &b->t.services[i], now_ns);
}
