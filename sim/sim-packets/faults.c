/* Faults and planned work, but those of targets. */
#include "world_state.h"

/* A process is started again after this, and up to as long again. */
#define RESTART_NS (100 * NS_PER_MS)
/* What the store lost is written again so long after its return. */
#define REWRITE_NS (600 * NS_PER_MS)

/**
 * world_start_entry() - start an entry's process
 * @w: world
 * @entry: entry
 */
void world_start_entry(struct world *w, uint32_t entry)
{
	w->conf.driver.start(w->conf.driver.ctx, w, entry);
}

static uint64_t restart_ns(struct world *w)
{
	return RESTART_NS + rng_next(&w->rng) % RESTART_NS;
}

static void on_restart(struct world *w, const struct event *e)
{
	if (!w->entries[e->arg0].up)
		world_start_entry(w, (uint32_t)e->arg0);
	w->entries[e->arg0].disturbed_ns = w->now_ns;
}

/**
 * world_kill_entry() - an entry's process ends and starts again
 * @w: world
 * @entry: entry
 * @down_ns: time in between
 */
void world_kill_entry(struct world *w, uint32_t entry, uint64_t down_ns)
{
	w->conf.driver.kill(w->conf.driver.ctx, w, entry);
	w->entries[entry].up = false;
	w->entries[entry].disturbed_ns = w->now_ns;
	world_schedule(w, down_ns + restart_ns(w), on_restart, entry, 0, 0);
}

/**
 * world_entry_ended() - an entry's process ended by itself
 * @w: world
 * @entry: entry
 */
void world_entry_ended(struct world *w, uint32_t entry)
{
	w->entries[entry].up = false;
	world_record_entry_state(w, entry, false);
	w->entries[entry].disturbed_ns = w->now_ns;
	world_schedule(w, restart_ns(w), on_restart, entry, 0, 0);
}

/**
 * world_stop_entry() - a planned stop; the process starts again afterwards
 * @w: world
 * @entry: entry
 */
void world_stop_entry(struct world *w, uint32_t entry)
{
	w->conf.driver.stop(w->conf.driver.ctx, w, entry);
}

static void on_unfreeze(struct world *w, const struct event *e)
{
	w->conf.driver.freeze(w->conf.driver.ctx, w, (uint32_t)e->arg0, false);
	w->entries[e->arg0].disturbed_ns = w->now_ns;
}

/**
 * world_freeze_entry() - an entry stands still
 * @w: world
 * @entry: entry
 * @ns: how long
 */
void world_freeze_entry(struct world *w, uint32_t entry, uint64_t ns)
{
	w->conf.driver.freeze(w->conf.driver.ctx, w, entry, true);
	w->entries[entry].disturbed_ns = w->now_ns;
	world_schedule(w, ns, on_unfreeze, entry, 0, 0);
}

static void disturb_zone(struct world *w, uint32_t zone, uint64_t until_ns)
{
	for (uint32_t i = 0; i < w->n_entries; i++)
		if (w->entries[i].zone == zone)
			w->entries[i].disturbed_ns = until_ns;
	for (uint32_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].zone == zone)
			w->targets[i].disturbed_ns = until_ns;
}

/**
 * world_cut_zone() - a data centre is cut off from the others and the store
 * @w: world
 * @zone: data centre; its clients still reach it
 * @ns: how long
 */
void world_cut_zone(struct world *w, uint32_t zone, uint64_t ns)
{
	w->cut_until_ns[zone] = w->now_ns + ns;
	disturb_zone(w, zone, w->now_ns + ns);
}

/**
 * world_store() - the store turns one entry away
 * @w: world
 * @entry: entry
 * @mode: how
 * @ns: how long
 */
void world_set_store_mode(struct world *w, uint32_t entry, enum store_mode mode,
			  uint64_t ns)
{
	w->entries[entry].store_mode = mode;
	w->entries[entry].store_mode_until_ns = w->now_ns + ns;
	w->store_disturbed_ns = w->now_ns + ns;
}

static void on_expire(struct world *w, const struct event *e)
{
	(void)e;
	for (uint32_t i = 0; i < w->n_targets; i++)
		store_delete_target(w, &w->targets[i]);
}

static void on_renew(struct world *w, const struct event *e)
{
	(void)e;
	for (uint32_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].alive)
			store_publish_target(w, &w->targets[i]);
}

/**
 * world_store_slow() - the store answers late
 * @w: world
 * @answer_ns: time until an answer
 * @ns: how long
 */
void world_store_slow(struct world *w, uint64_t store_answer_ns, uint64_t ns)
{
	w->store_slow_ns = store_answer_ns;
	w->store_slow_until_ns = w->now_ns + ns;
	w->store_disturbed_ns = w->now_ns + ns;
}

/**
 * world_store_down() - the store answers nobody
 * @w: world
 * @ns: how long
 * @lapse: every target's entry runs out meanwhile and is renewed up to 1.5 s
 *	after its return
 */
void world_store_down(struct world *w, uint64_t ns, bool lapse)
{
	w->store_down_until_ns = w->now_ns + ns;
	w->store_disturbed_ns = w->now_ns + ns;
	if (!lapse)
		return;
	world_schedule(w, ns - NS_PER_MS, on_expire, 0, 0, 0);
	world_schedule(w, ns + 1500 * NS_PER_MS, on_renew, 0, 0, 0);
}

static void on_restore(struct world *w, const struct event *e)
{
	(void)e;
	store_restore_copy(w);
}

/* Whoever finds the store away writes once it is back. */
static void on_rewrite(struct world *w, const struct event *e)
{
	(void)e;
	if (w->now_ns >= w->store_down_until_ns)
		store_republish_lost(w);
	else
		world_schedule(w,
			       w->store_down_until_ns - w->now_ns + REWRITE_NS,
			       on_rewrite, 0, 0, 0);
}

/**
 * world_store_restored() - the store is away and comes back from the copy that
 *	world_store_copied() made
 * @w: world
 * @ns: how long it is away
 *
 * What was written since the copy is written again REWRITE_NS after that.
 */
void world_restore_store(struct world *w, uint64_t ns)
{
	world_store_down(w, ns, false);
	world_schedule(w, ns - 1, on_restore, 0, 0, 0);
	world_schedule(w, ns + REWRITE_NS, on_rewrite, 0, 0, 0);
}

/**
 * world_store_copied() - the store is copied
 * @w: world
 */
void world_copy_store(struct world *w)
{
	store_save_copy(w);
}

/**
 * world_evacuate() - publish that a data centre's targets are to get nothing
 * @w: world
 * @zone: data centre
 * @on: or that they may get flows again
 */
void world_evacuate(struct world *w, uint32_t zone, bool on)
{
	w->evacuated[zone] = on;
	w->evacuated_ns[zone] = w->now_ns;
	store_set_evacuation(w, zone, on);
}

/**
 * world_add_route() - publish a configuration with one route more
 * @w: world
 */
void world_add_route(struct world *w)
{
	w->extra_route = true;
	w->extra_route_changed_ns = w->now_ns;
	store_publish_routes(w);
}

/**
 * world_drop_route() - publish a configuration without that route
 * @w: world
 */
void world_drop_route(struct world *w)
{
	w->extra_route = false;
	w->extra_route_changed_ns = w->now_ns;
	w->extra_route_dropped_ns = w->now_ns;
	store_publish_routes(w);
}

/**
 * world_load() - clients of a data centre ask more, or less
 * @w: world
 * @zone: data centre
 * @factor: times as much
 * @ns: how long
 */
void world_scale_load(struct world *w, uint32_t zone, double factor,
		      uint64_t ns)
{
	w->load_factor[zone] = factor;
	w->load_until_ns[zone] = w->now_ns + ns;
}
