/* What the end of a request teaches, and what it pays for. */
#include "balance_state.h"

/* A pause after a shed: this long, doubled by each further one. */
#define HOLD_NS (5 * NS_PER_MS)
#define HOLD_STEPS_MAX 6
/* The same for extra requests, when one of them was shed. */
#define EXTRA_HOLD_NS (200 * NS_PER_MS)
#define EXTRA_STEPS_MAX 6
/* A shed takes this share off the requests allowed at the target. */
#define LIMIT_CUT_NUM 7
#define LIMIT_CUT_DEN 10
#define TOOK_SAMPLES 16

static void shed_ended(struct target *t, uint64_t now_ns)
{
	uint32_t limit = t->share.own * 1000;

	if (t->limit_milli < limit)
		limit = t->limit_milli;
	t->limit_milli = limit / LIMIT_CUT_DEN * LIMIT_CUT_NUM;
	if (t->limit_milli < 1000)
		t->limit_milli = 1000;
	t->hold_deadline_ns = now_ns + (HOLD_NS << t->hold_steps);
	if (t->hold_steps < HOLD_STEPS_MAX)
		t->hold_steps++;
}

/*
 * A target without a queue of its own sheds every request that crosses another
 * entry's, and each costs a retry. It gets extra ones ever more rarely.
 */
static void extra_ended(struct target *t, enum outcome outcome, uint64_t now_ns)
{
	if (outcome == OUTCOME_SHED) {
		t->extra_deadline_ns =
			now_ns + (EXTRA_HOLD_NS << t->extra_steps);
		if (t->extra_steps < EXTRA_STEPS_MAX)
			t->extra_steps++;
	} else if (outcome == OUTCOME_OK) {
		t->extra_steps = 0;
	}
}

static void ok_ended(struct target *t)
{
	t->hold_steps = 0;
	if (t->limit_milli / 1000 < t->share.own)
		t->limit_milli += 1000 * 1000 / t->limit_milli;
}

static void service_ended(struct balancer *b, struct service *s,
			  enum outcome outcome, uint64_t took_ns)
{
	stats_of(b, s, s->class)->outcome[outcome]++;
	if (outcome != OUTCOME_OK)
		return;
	budget_success(&b->t.accounts[s->account].budget);
	if (!s->took_ns)
		s->took_ns = took_ns;
	else
		s->took_ns = ((TOOK_SAMPLES - 1) * s->took_ns + took_ns) /
			     TOOK_SAMPLES;
}

/**
 * balance_done() - a request that got VERDICT_GO ended, or a feed opened
 * @b: balancer
 * @vip: its service
 * @target: its target
 * @outcome: how it ended
 * @took_ns: time since it was sent
 * @now_ns: time
 */
void balance_done(struct balancer *b, uint64_t vip, uint64_t target,
		  enum outcome outcome, uint64_t took_ns, uint64_t now_ns)
{
	uint32_t service = tables_service(&b->t, vip);
	uint32_t index = tables_target(&b->t, target);
	struct target *t;

	if (service != INDEX_NONE)
		service_ended(b, &b->t.services[service], outcome, took_ns);
	if (index == INDEX_NONE)
		return;
	t = &b->t.targets[index];
	if (t->inflight > t->share.own)
		extra_ended(t, outcome, now_ns);
	if (t->inflight)
		t->inflight--;
	view_ended(&t->view, outcome, t->slots, now_ns);
	if (outcome == OUTCOME_SHED)
		shed_ended(t, now_ns);
	else if (outcome == OUTCOME_OK)
		ok_ended(t);
	eject_ended(b, t, outcome, took_ns, now_ns);
	fair_ready(b, index);
}

/**
 * balance_may_retry() - take one retry from the budget of the service's account
 * @b: balancer
 * @vip: service
 * @now_ns: time
 *
 * Return: true when there was one.
 */
bool balance_may_retry(struct balancer *b, uint64_t vip, uint64_t now_ns)
{
	uint32_t service = tables_service(&b->t, vip);
	struct service *s;
	struct class_stats *stats;

	(void)now_ns;
	if (service == INDEX_NONE)
		return false;
	s = &b->t.services[service];
	stats = stats_of(b, s, s->class);
	if (!budget_take(&b->t.accounts[s->account].budget)) {
		stats->retries_denied++;
		return false;
	}
	stats->retries++;
	return true;
}
