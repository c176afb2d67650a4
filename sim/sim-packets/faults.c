/* Faults and planned work, except those of targets. */
#include "world_state.h"

/* A process restarts after this time, plus a random time of up to as long. */
#define RESTART_NS (100 * NS_PER_MS)
/* Lost values are written again this long after the store is restored. */
#define REWRITE_NS (600 * NS_PER_MS)

/**
 * world_start_entry() - start an entry's process
 * @w: emulator
 * @entry: index of the entry
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
 * world_kill_entry() - kill an entry's process, which then restarts
 * @w: emulator
 * @entry: index of the entry
 * @down_ns: time until the restart, to which a random delay is added
 */
void world_kill_entry(struct world *w, uint32_t entry, uint64_t down_ns)
{
	w->conf.driver.kill(w->conf.driver.ctx, w, entry);
	w->entries[entry].up = false;
	w->entries[entry].disturbed_ns = w->now_ns;
	world_schedule(w, down_ns + restart_ns(w), on_restart, entry, 0, 0);
}

/**
 * world_entry_ended() - record that an entry's process exited, and restart it
 * @w: emulator
 * @entry: index of the entry
 */
void world_entry_ended(struct world *w, uint32_t entry)
{
	w->entries[entry].up = false;
	world_record_entry_state(w, entry, false);
	w->entries[entry].disturbed_ns = w->now_ns;
	world_schedule(w, restart_ns(w), on_restart, entry, 0, 0);
}

/**
 * world_stop_entry() - shut an entry down gracefully; its process restarts
 *	after its exit
 * @w: emulator
 * @entry: index of the entry
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
 * world_freeze_entry() - suspend an entry's process
 * @w: emulator
 * @entry: index of the entry
 * @ns: time until it is resumed
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
 * world_partition_zone() - partition a data centre from others and the store
 * @w: emulator
 * @zone: index of the data centre; its clients still reach it
 * @ns: duration
 */
void world_partition_zone(struct world *w, uint32_t zone, uint64_t ns)
{
	w->partitioned_until_ns[zone] = w->now_ns + ns;
	disturb_zone(w, zone, w->now_ns + ns);
}

/**
 * world_set_store_mode() - change how the store handles one entry's calls
 * @w: emulator
 * @entry: index of the entry
 * @mode: how they are handled
 * @ns: duration
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
 * world_store_slow() - slow down all answers of the store
 * @w: emulator
 * @store_answer_ns: time until an answer
 * @ns: duration
 */
void world_store_slow(struct world *w, uint64_t store_answer_ns, uint64_t ns)
{
	w->store_slow_ns = store_answer_ns;
	w->store_slow_until_ns = w->now_ns + ns;
	w->store_disturbed_ns = w->now_ns + ns;
}

/**
 * world_store_down() - make the store unavailable to all
 * @w: emulator
 * @ns: duration
 * @records_expire: the records of all targets expire meanwhile, and are renewed 1.5 s
 *	after the store is available again
 */
void world_store_down(struct world *w, uint64_t ns, bool records_expire)
{
	w->store_down_until_ns = w->now_ns + ns;
	w->store_disturbed_ns = w->now_ns + ns;
	if (!records_expire)
		return;
	world_schedule(w, ns - NS_PER_MS, on_expire, 0, 0, 0);
	world_schedule(w, ns + 1500 * NS_PER_MS, on_renew, 0, 0, 0);
}

static void on_restore(struct world *w, const struct event *e)
{
	(void)e;
	store_restore_copy(w);
}

/* Writers wait until the store is available again. */
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
 * world_restore_store() - make the store unavailable, then restore it from the
 *	copy of world_copy_store()
 * @w: emulator
 * @ns: time for which it is unavailable
 *
 * Values written since the copy are written again REWRITE_NS after the restore.
 */
void world_restore_store(struct world *w, uint64_t ns)
{
	world_store_down(w, ns, false);
	world_schedule(w, ns - 1, on_restore, 0, 0, 0);
	world_schedule(w, ns + REWRITE_NS, on_rewrite, 0, 0, 0);
}

/**
 * world_copy_store() - copy the store for a later world_restore_store()
 * @w: emulator
 */
void world_copy_store(struct world *w)
{
	store_save_copy(w);
}

/**
 * world_evacuate() - publish the evacuation of a data centre, or its end
 * @w: emulator
 * @zone: index of the data centre
 * @on: true while its targets are to get no new flows
 */
void world_evacuate(struct world *w, uint32_t zone, bool on)
{
	w->evacuated[zone] = on;
	w->evacuated_ns[zone] = w->now_ns;
	store_set_evacuation(w, zone, on);
}

/**
 * world_add_route() - publish a configuration with the extra route
 * @w: emulator
 */
void world_add_route(struct world *w)
{
	w->extra_route = true;
	w->extra_route_changed_ns = w->now_ns;
	store_publish_routes(w);
}

/**
 * world_drop_route() - publish a configuration without the extra route
 * @w: emulator
 */
void world_drop_route(struct world *w)
{
	w->extra_route = false;
	w->extra_route_changed_ns = w->now_ns;
	w->extra_route_dropped_ns = w->now_ns;
	store_publish_routes(w);
}

/**
 * world_scale_load() - scale the request rates of a data centre
 * @w: emulator
 * @zone: index of the data centre
 * @factor: multiplier of the rates
 * @ns: duration
 */
void world_scale_load(struct world *w, uint32_t zone, double factor,
		      uint64_t ns)
{
	w->load_factor[zone] = factor;
	w->load_until_ns[zone] = w->now_ns + ns;
}

/**
 * world_scale_class() - scale the request rate of a class in all data centres
 * @w: emulator
 * @class: index of the class
 * @factor: multiplier of the rate
 * @ns: duration
 */
void world_scale_class(struct world *w, uint32_t class, double factor,
		       uint64_t ns)
{
	w->class_factor[class] = factor;
	w->class_until_ns[class] = w->now_ns + ns;
}
