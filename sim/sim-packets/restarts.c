/* Restarts of targets under the same id, and records that no target wrote. */
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

static void on_target_restart(struct world *w, const struct event *e)
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
 * world_restart_target() - end a target's process and start another one under
 *	the same id and address, without any state of the old one
 * @w: emulator
 * @target: index of the target; nothing happens when it is dead or leaving
 * @down_ns: time between end and start
 */
void world_restart_target(struct world *w, uint32_t target, uint64_t down_ns)
{
	struct sim_target *t = &w->targets[target];

	if (!t->alive || t->leaving_since_ns)
		return;
	t->alive = false;
	t->process++;
	targets_close_idle_unsafe(w, t);
	targets_clear(t);
	targets_report_change(w, target);
	world_schedule(w, down_ns, on_target_restart, target, 0, 0);
}

static void on_delayed_write(struct world *w, const struct event *e)
{
	struct target_value v;

	store_target_value(w, &w->targets[e->arg0], &v);
	v.advertised.started_ms = e->arg1;
	v.advertised.sequence = e->arg2;
	v.advertised.leaving = false;
	store_write_target(w, v.advertised.id, &v);
}

/**
 * world_delay_record() - delay a write of a target's record
 * @w: emulator
 * @target: index of the target
 * @delay_ns: time until the write
 *
 * The write overwrites what the target, or its next process, writes meanwhile.
 */
void world_delay_record(struct world *w, uint32_t target, uint64_t delay_ns)
{
	struct sim_target *t = &w->targets[target];

	world_schedule(w, delay_ns, on_delayed_write, target,
		       t->advertised.started_ms, ++t->advertised.sequence);
}

/**
 * world_write_unreachable_record() - publish a target at an address that cannot
 *	be reached
 * @w: emulator
 * @like: index of the target whose other fields the record has
 * @addr: the address
 */
void world_write_unreachable_record(struct world *w, uint32_t like,
				    uint64_t addr)
{
	struct target_value v;

	store_target_value(w, &w->targets[like], &v);
	v.advertised.id = ++w->last_id;
	v.advertised.addr = addr;
	store_write_target(w, v.advertised.id, &v);
}

/**
 * world_write_foreign_record() - write an invalid record of a target
 * @w: emulator
 * @defect: what is wrong with it
 * @target: index of the target whose other fields it has
 * @under_its_key: overwrite that target's record, which the target writes
 *	again a second later; otherwise use a new key
 */
void world_write_foreign_record(struct world *w, enum record_defect defect,
				uint32_t target, bool under_its_key)
{
	struct sim_target *t = &w->targets[target];
	struct target_value v;

	store_target_value(w, t, &v);
	v.defect = defect;
	/* Newer than the target's own record, so that it would win if accepted. */
	v.advertised.started_ms = w->now_ns / NS_PER_MS;
	v.advertised.sequence += 100;
	if (defect == DEFECT_NO_START_TIME)
		v.advertised.started_ms = 0;
	store_write_target(w, under_its_key ? t->advertised.id : ++w->last_id,
			   &v);
	if (under_its_key)
		world_schedule(w, NS_PER_S, on_publish, target, t->process, 0);
}
