/* Targets that start again under their id, and entries that no target wrote. */
#include "world_state.h"

static void on_publish(struct world *w, const struct event *e)
{
	struct sim_target *t = &w->targets[e->arg0];

	if (!t->alive || t->process != e->arg1)
		return;
	if (w->now_ns >= w->store_down_until_ns)
		store_publish_target(w, t);
	else
		world_schedule(w, w->store_down_until_ns - w->now_ns,
			       on_publish, e->arg0, e->arg1, 0);
}

static void on_start_again(struct world *w, const struct event *e)
{
	struct sim_target *t = &w->targets[e->arg0];

	if (t->alive)
		return;
	t->alive = true;
	targets_start_cold(w, (uint32_t)e->arg0);
	t->restarted_ns = w->now_ns;
	t->advertised.started_ms = w->now_ns / NS_PER_MS;
	t->advertised.sequence = 0;
	t->advertised.leaving = false;
	t->leaving_since_ns = 0;
	targets_report_change(w, (uint32_t)e->arg0);
	world_schedule(w, 0, on_publish, e->arg0, t->process, 0);
}

/**
 * world_restart_target() - a target's process ends, and another starts under
 *	its id and address, with nothing of before
 * @w: world
 * @target: target
 * @down_ns: time in between
 */
void world_restart_target(struct world *w, uint32_t target, uint64_t down_ns)
{
	struct sim_target *t = &w->targets[target];

	if (!t->alive || t->leaving_since_ns)
		return;
	t->alive = false;
	t->process++;
	targets_clear(t);
	targets_report_change(w, target);
	world_schedule(w, down_ns, on_start_again, target, 0, 0);
}

static void on_late(struct world *w, const struct event *e)
{
	struct target_value v;

	store_target_value(w, &w->targets[e->arg0], &v);
	v.advertised.started_ms = e->arg1;
	v.advertised.sequence = e->arg2;
	v.advertised.leaving = false;
	store_write_target(w, v.advertised.id, &v);
}

/**
 * world_late_entry() - what a target writes now is done later, after what it, or
 *	its next process, writes in between
 * @w: world
 * @target: target
 * @late_ns: how much later
 */
void world_delay_record(struct world *w, uint32_t target, uint64_t late_ns)
{
	struct sim_target *t = &w->targets[target];

	world_schedule(w, late_ns, on_late, target, t->advertised.started_ms,
		       ++t->advertised.sequence);
}

/**
 * world_foreign_entry() - somebody else writes where targets publish themselves
 * @w: world
 * @what: what is wrong with it
 * @target: target that it copies otherwise
 * @under_its_key: in place of that target's own, which writes again a second
 *	later; else under a key of its own
 */
void world_write_foreign_record(struct world *w, enum record_defect defect,
				uint32_t target, bool under_its_key)
{
	struct sim_target *t = &w->targets[target];
	struct target_value v;

	store_target_value(w, t, &v);
	v.foreign = defect;
	/* Later than the target itself, so that it would win if it counted. */
	v.advertised.started_ms = w->now_ns / NS_PER_MS;
	v.advertised.sequence += 100;
	if (defect == FOREIGN_UNBORN)
		v.advertised.started_ms = 0;
	store_write_target(w, under_its_key ? t->advertised.id : ++w->next_id,
			   &v);
	if (under_its_key)
		world_schedule(w, NS_PER_S, on_publish, target, t->process, 0);
}
