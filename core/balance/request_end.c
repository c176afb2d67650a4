/* State changes at the end of a request, and the retry budget. */
#include "balance_state.h"

/* Pause of new work to a target after a shed, doubled by each further shed. */
#define SHED_PAUSE_NS (5 * NS_PER_MS)
#define SHED_PAUSE_STEPS_MAX 6
/* Pause of extra requests after one was shed, doubled in the same way. */
#define EXTRA_PAUSE_NS (200 * NS_PER_MS)
#define EXTRA_PAUSE_STEPS_MAX 6
/* A shed multiplies the limit of own requests at the target by this factor. */
#define LIMIT_DECREASE_NUM 7
#define LIMIT_DECREASE_DEN 10
#define DURATION_SAMPLES 16

static void record_shed(struct target *t, uint64_t now_ns)
{
	uint32_t limit = t->share.own * 1000;

	if (t->aimd_limit_milli < limit)
		limit = t->aimd_limit_milli;
	t->aimd_limit_milli = limit / LIMIT_DECREASE_DEN * LIMIT_DECREASE_NUM;
	if (t->aimd_limit_milli < 1000)
		t->aimd_limit_milli = 1000;
	t->pause_end_ns = now_ns + (SHED_PAUSE_NS << t->pause_steps);
	if (t->pause_steps < SHED_PAUSE_STEPS_MAX)
		t->pause_steps++;
}

/*
 * Two entries may use the same idle slot at the same time. A target without a
 * queue then sheds one of the two requests, which costs a retry. Each such shed
 * doubles the pause until the next extra request.
 */
static void record_extra_end(struct target *t, enum outcome outcome,
			     uint64_t now_ns)
{
	if (outcome == OUTCOME_SHED) {
		t->extra_pause_end_ns =
			now_ns + (EXTRA_PAUSE_NS << t->extra_pause_steps);
		if (t->extra_pause_steps < EXTRA_PAUSE_STEPS_MAX)
			t->extra_pause_steps++;
	} else if (outcome == OUTCOME_OK) {
		t->extra_pause_steps = 0;
	}
}

static void record_success(struct target *t)
{
	t->pause_steps = 0;
	if (t->aimd_limit_milli / 1000 < t->share.own)
		t->aimd_limit_milli += 1000 * 1000 / t->aimd_limit_milli;
}

static void record_service_end(struct balancer *balancer, struct service *s,
			       enum outcome outcome, uint64_t duration_ns)
{
	class_stats_of(balancer, s, s->class)->outcome[outcome]++;
	if (outcome != OUTCOME_OK)
		return;
	budget_record_success(&balancer->tables.accounts[s->account].budget);
	if (!s->mean_duration_ns)
		s->mean_duration_ns = duration_ns;
	else
		s->mean_duration_ns =
			((DURATION_SAMPLES - 1) * s->mean_duration_ns +
			 duration_ns) /
			DURATION_SAMPLES;
}

/**
 * balance_record_end() - record that an admitted request ended or opened a feed
 * @balancer: balancer
 * @vip: address of its service
 * @target: address of its target
 * @outcome: how it ended
 * @duration_ns: time since it was sent to the target
 * @now_ns: current time
 */
void balance_record_end(struct balancer *balancer, uint64_t vip,
			uint64_t target, enum outcome outcome,
			uint64_t duration_ns, uint64_t now_ns)
{
	uint32_t service = tables_find_service(&balancer->tables, vip);
	uint32_t index = tables_find_target(&balancer->tables, target);
	struct target *t;

	if (service != INDEX_NONE)
		record_service_end(balancer,
				   &balancer->tables.services[service], outcome,
				   duration_ns);
	if (index == INDEX_NONE)
		return;
	t = &balancer->tables.targets[index];
	if (t->inflight > t->share.own)
		record_extra_end(t, outcome, now_ns);
	if (t->inflight)
		t->inflight--;
	load_view_record_end(&t->load_view, outcome, t->slots, now_ns);
	if (outcome == OUTCOME_SHED)
		record_shed(t, now_ns);
	else if (outcome == OUTCOME_OK)
		record_success(t);
	eject_record_end(balancer, t, outcome, duration_ns, now_ns);
	fair_queue_recheck(balancer, index);
}

/**
 * balance_take_retry() - take one retry from the retry budget of the account
 * @balancer: balancer
 * @vip: address of the service
 * @now_ns: current time; not used
 *
 * Return: true when the budget contained one; the retry is counted.
 */
bool balance_take_retry(struct balancer *balancer, uint64_t vip,
			uint64_t now_ns)
{
	uint32_t service = tables_find_service(&balancer->tables, vip);
	struct service *s;
	struct class_stats *stats;

	(void)now_ns;
	if (service == INDEX_NONE)
		return false;
	s = &balancer->tables.services[service];
	stats = class_stats_of(balancer, s, s->class);
	if (!budget_take(&balancer->tables.accounts[s->account].budget)) {
		stats->retries_denied++;
		return false;
	}
	stats->retries++;
	return true;
}
