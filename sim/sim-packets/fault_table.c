/* Table of all faults by name, for tests and experiments. */
#include "world_state.h"

#include <string.h>

/* Targets that alternate between down and up: time of each, duration, and one
 * in how many targets of a service. As in docs/design/load-parts.md. */
#define FLAP_NS (1760 * NS_PER_MS)
#define FLAPPING_NS (6 * NS_PER_S)
#define FLAPPING_PART 10

static uint32_t random_entry(struct world *w)
{
	return (uint32_t)(rng_next(&w->rng) % w->n_entries);
}

static uint32_t random_target(struct world *w)
{
	uint32_t i;

	do
		i = (uint32_t)(rng_next(&w->rng) % w->n_targets);
	while (!w->targets[i].alive || w->targets[i].service != SERVICE_MAIN);
	return i;
}

static void kill_entry(struct world *w)
{
	world_kill_entry(w, random_entry(w), NS_PER_S);
}

static void kill_entries(struct world *w)
{
	for (uint32_t i = 0; i < w->n_entries; i++)
		world_kill_entry(w, i, 500 * NS_PER_MS);
}

static void kill_entries_store_down(struct world *w)
{
	world_store_down(w, 2 * NS_PER_S, false);
	kill_entries(w);
}

static void stop_entry(struct world *w)
{
	world_stop_entry(w, random_entry(w));
}

static void on_stop(struct world *w, const struct event *e)
{
	world_stop_entry(w, (uint32_t)e->arg0);
}

static void roll(struct world *w)
{
	for (uint32_t i = 0; i < w->n_entries; i++)
		world_schedule(w, i * NS_PER_S, on_stop, i, 0, 0);
}

static void freeze(struct world *w)
{
	world_freeze_entry(w, random_entry(w), 3 * NS_PER_S);
}

static void freeze_half(struct world *w)
{
	for (uint32_t i = 0; i < w->n_entries; i += 2)
		world_freeze_entry(w, i, 2 * NS_PER_S);
}

static void cut_zone(struct world *w)
{
	world_partition_zone(
		w, (uint32_t)(rng_next(&w->rng) % w->conf.site.n_zones),
		5 * NS_PER_S);
}

static void cut_zone_during_roll(struct world *w)
{
	cut_zone(w);
	roll(w);
}

static void kill_target(struct world *w)
{
	world_kill_target(w, random_target(w), false);
}

static void darken_targets(struct world *w)
{
	for (uint32_t i = 0; i < 3; i++)
		world_kill_target(w, random_target(w), true);
}

/* Affect the first target of each data centre, so that all faults of this kind
 * hit the same targets. */
static void fail_targets(struct world *w, enum target_mode mode)
{
	for (uint32_t z = 0; z < w->conf.site.n_zones; z++)
		for (uint32_t i = 0; i < w->n_targets; i++)
			if (w->targets[i].zone == z && w->targets[i].alive &&
			    w->targets[i].service == SERVICE_MAIN) {
				world_fail_target(w, i, mode, 8 * NS_PER_S);
				break;
			}
}

static void targets_fail(struct world *w)
{
	fail_targets(w, TARGET_FAILS);
}

static void targets_hang(struct world *w)
{
	fail_targets(w, TARGET_HANGS);
}

static void targets_crawl(struct world *w)
{
	fail_targets(w, TARGET_SLOW);
}

static void on_reset_mode(struct world *w, const struct event *e)
{
	world_fail_target(w, (uint32_t)e->arg0, TARGET_RESETS, FLAP_NS);
}

/* A tenth of the targets, one at least. Their health checks still pass. */
static void targets_flap(struct world *w)
{
	uint32_t flapping = 0, n = 0;

	for (uint32_t i = 0; i < w->n_targets; i++)
		n += w->targets[i].alive &&
		     w->targets[i].service == SERVICE_MAIN;
	for (uint32_t i = 0; i < w->n_targets; i++) {
		if (!w->targets[i].alive ||
		    w->targets[i].service != SERVICE_MAIN ||
		    (flapping && flapping >= n / FLAPPING_PART))
			continue;
		flapping++;
		for (uint64_t at_ns = 0; at_ns < FLAPPING_NS;
		     at_ns += 2 * FLAP_NS)
			world_schedule(w, at_ns, on_reset_mode, i, 0, 0);
	}
}

/* The class depends only on the seed, so that runs of different policies can be
 * compared. */
static void burst_of_one_class(struct world *w)
{
	world_scale_class(w, (uint32_t)(w->conf.seed % w->conf.site.n_classes),
			  2.6, 5 * NS_PER_S);
}

static void reuse(struct world *w)
{
	for (uint32_t i = 0; i < 3; i++)
		world_reuse_address(w, random_target(w));
}

static void reuse_store_down(struct world *w)
{
	world_store_down(w, 6 * NS_PER_S, false);
	reuse(w);
}

static void restart_targets(struct world *w)
{
	for (uint32_t i = 0; i < 3; i++)
		world_restart_target(w, random_target(w), 300 * NS_PER_MS);
}

/* Too fast for probes and connections to notice; only the record shows it. */
static void restart_targets_at_once(struct world *w)
{
	for (uint32_t i = 0; i < 3; i++)
		world_restart_target(w, random_target(w), NS_PER_MS);
}

static void on_restart(struct world *w, const struct event *e)
{
	world_restart_target(w, (uint32_t)e->arg0, e->arg1);
}

static void restart_targets_twice(struct world *w)
{
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t t = random_target(w);

		world_restart_target(w, t, 200 * NS_PER_MS);
		world_schedule(w, 500 * NS_PER_MS, on_restart, t,
			       200 * NS_PER_MS, 0);
	}
}

static void restart_targets_store_down(struct world *w)
{
	world_store_down(w, 6 * NS_PER_S, false);
	restart_targets(w);
}

static void restart_targets_and_roll(struct world *w)
{
	roll(w);
	restart_targets(w);
}

/* Targets restart during the partition and are published after it. */
static void restart_targets_cut(struct world *w)
{
	uint32_t zone = (uint32_t)(rng_next(&w->rng) % w->conf.site.n_zones);

	world_partition_zone(w, zone, 5 * NS_PER_S);
	for (uint32_t i = 0; i < w->n_targets; i++)
		if (w->targets[i].zone == zone &&
		    w->targets[i].service == SERVICE_MAIN)
			world_restart_target(w, i, NS_PER_S);
}

static void restart_most_targets(struct world *w)
{
	for (uint32_t i = 0; i < w->n_targets; i++)
		if (i % 3 && w->targets[i].service == SERVICE_MAIN)
			world_restart_target(w, i, NS_PER_S);
}

static void on_leave(struct world *w, const struct event *e)
{
	world_release_target(w, (uint32_t)e->arg0);
}

static void late_entries(struct world *w)
{
	for (uint32_t i = 0; i < 3; i++) {
		uint32_t t = random_target(w);

		world_delay_record(w, t, 2 * NS_PER_S);
		if (i)
			world_schedule(w, 500 * NS_PER_MS, on_leave, t, 0, 0);
		else
			world_restart_target(w, t, 300 * NS_PER_MS);
	}
}

static void foreign_entries(struct world *w)
{
	for (uint32_t i = DEFECT_NONE + 1; i < DEFECT_KINDS; i++)
		world_write_foreign_record(w, (enum record_defect)i,
					   random_target(w), false);
}

/* Two addresses that the kernel refuses to connect to, and one of each kind that
 * no target can have. */
static void unreachable_targets(struct world *w)
{
	static const uint64_t addrs[] = {
		ADDR(0x7fffffff, 9), /* 127.255.255.255, broadcast */
		ADDR(0x7f000000, 9), /* 127.0.0.0, network */
		ADDR(0xe0000001, 9), /* 224.0.0.1, multicast */
		ADDR(0xffffffff, 9), /* limited broadcast */
		ADDR(0, 9),	     ADDR(0x7f000001, 0),
	};

	for (size_t i = 0; i < sizeof(addrs) / sizeof(addrs[0]); i++)
		world_write_unreachable_record(w, random_target(w), addrs[i]);
}

static void foreign_entries_in_place(struct world *w)
{
	for (uint32_t i = DEFECT_NONE + 1; i < DEFECT_KINDS; i++)
		world_write_foreign_record(w, (enum record_defect)i,
					   random_target(w), true);
}

static void on_release(struct world *w, const struct event *e)
{
	world_release_target(w, (uint32_t)e->arg0);
}

static void release(struct world *w)
{
	uint32_t n = w->n_targets;

	for (uint32_t i = 0; i < n; i++)
		world_schedule(w, i * 400 * NS_PER_MS, on_release, i, 0, 0);
}

static void release_and_roll(struct world *w)
{
	release(w);
	roll(w);
}

static uint32_t any_zone(struct world *w)
{
	return (uint32_t)(rng_next(&w->rng) % w->conf.site.n_zones);
}

static void on_evacuate(struct world *w, const struct event *e)
{
	world_evacuate(w, (uint32_t)e->arg0, e->arg1);
}

static void evacuate_for(struct world *w, uint32_t zone, uint64_t ns)
{
	world_evacuate(w, zone, true);
	world_schedule(w, ns, on_evacuate, zone, false, 0);
}

static void evacuate(struct world *w)
{
	evacuate_for(w, any_zone(w), 8 * NS_PER_S);
}

/* Cancelled before it is in force anywhere, and started again. */
static void evacuate_twice(struct world *w)
{
	uint32_t zone = any_zone(w);

	evacuate_for(w, zone, 50 * NS_PER_MS);
	world_schedule(w, 100 * NS_PER_MS, on_evacuate, zone, true, 0);
	world_schedule(w, 3 * NS_PER_S, on_evacuate, zone, false, 0);
	world_schedule(w, 3100 * NS_PER_MS, on_evacuate, zone, true, 0);
}

static void evacuate_and_roll(struct world *w)
{
	evacuate(w);
	roll(w);
}

static void evacuate_and_release(struct world *w)
{
	evacuate(w);
	release(w);
}

static void evacuate_and_kill_entries(struct world *w)
{
	evacuate(w);
	kill_entries(w);
}

static void on_store_down(struct world *w, const struct event *e)
{
	world_store_down(w, e->arg0, e->arg1);
}

/* The store goes down when only some entries have read the evacuation. */
static void evacuate_store_down(struct world *w)
{
	evacuate(w);
	world_schedule(w, 100 * NS_PER_MS, on_store_down, 5 * NS_PER_S, true,
		       0);
}

static void evacuate_store_refuses_half(struct world *w)
{
	for (uint32_t i = 0; i < w->n_entries; i += 2)
		world_set_store_mode(w, i, STORE_REFUSES, 6 * NS_PER_S);
	evacuate(w);
}

static void evacuate_other_zone_cut(struct world *w)
{
	uint32_t zone = any_zone(w);

	evacuate_for(w, zone, 8 * NS_PER_S);
	world_partition_zone(w, (zone + 1) % w->conf.site.n_zones,
			     5 * NS_PER_S);
}

static void evacuate_in_burst(struct world *w)
{
	for (uint32_t z = 0; z < w->conf.site.n_zones; z++)
		world_scale_load(w, z, 3, 4 * NS_PER_S);
	evacuate(w);
}

static void store_down(struct world *w)
{
	world_store_down(w, 5 * NS_PER_S, false);
}

static void store_lapse(struct world *w)
{
	world_store_down(w, 4 * NS_PER_S, true);
}

static void on_partition(struct world *w, const struct event *e)
{
	world_partition_zone(w, (uint32_t)e->arg0, 5 * NS_PER_S);
}

static void lapse_then_cut(struct world *w)
{
	world_store_down(w, 4 * NS_PER_S, true);
	world_schedule(w, 4200 * NS_PER_MS, on_partition, 0, 0, 0);
}

static void store_refuses_half(struct world *w)
{
	for (uint32_t i = 0; i < w->n_entries; i += 2)
		world_set_store_mode(w, i, STORE_REFUSES, 6 * NS_PER_S);
	world_add_route(w);
}

static void store_silent_release(struct world *w)
{
	for (uint32_t i = 1; i < w->n_entries; i += 2)
		world_set_store_mode(w, i, STORE_SILENT, 6 * NS_PER_S);
	release(w);
}

static void on_change(struct world *w, const struct event *e)
{
	if (e->arg0 % 2)
		world_drop_route(w);
	else
		world_add_route(w);
}

static void storm(struct world *w)
{
	for (uint32_t i = 0; i < 12; i++)
		world_schedule(w, i * 300 * NS_PER_MS, on_change, i, 0, 0);
}

/* The restored store lacks these changes of the configuration, and the record of
 * a target that leaves. */
#define LOST_CHANGES 5
#define LOST_GAP_NS (200 * NS_PER_MS)
#define STORE_DOWN_NS NS_PER_S

static void on_restored(struct world *w, const struct event *e)
{
	world_restore_store(w, e->arg0);
}

/* A target leaves and a route is dropped, when the rules apply again. */
static void on_release_and_drop(struct world *w, const struct event *e)
{
	(void)e;
	world_release_target(w, random_target(w));
	world_drop_route(w);
}

/* Return: time from now until the store is restored. */
static uint64_t schedule_restore(struct world *w)
{
	uint64_t down_after_ns = LOST_CHANGES * LOST_GAP_NS;

	world_copy_store(w);
	world_add_route(w);
	for (uint32_t i = 1; i < LOST_CHANGES; i++)
		world_schedule(w, i * LOST_GAP_NS, on_change, 2 * i, 0, 0);
	world_schedule(w, LOST_GAP_NS, on_release, random_target(w), 0, 0);
	world_schedule(w, down_after_ns, on_restored, STORE_DOWN_NS, 0, 0);
	return down_after_ns + STORE_DOWN_NS;
}

static void store_restored(struct world *w)
{
	uint64_t restored_ns = schedule_restore(w);

	world_schedule(w, restored_ns + SETTLE_NS + LOST_GAP_NS,
		       on_release_and_drop, 0, 0, 0);
}

/* The store refuses the other entries, which learn of the restore from peers. */
static void store_restored_few_see(struct world *w)
{
	uint64_t restored_ns = schedule_restore(w);

	for (uint32_t i = 0; i < w->n_entries; i++)
		if (i % 4)
			world_set_store_mode(w, i, STORE_REFUSES,
					     restored_ns + STORE_DOWN_NS);
	world_schedule(w, restored_ns + STORE_DOWN_NS + SETTLE_NS + LOST_GAP_NS,
		       on_release_and_drop, 0, 0, 0);
}

static void store_restored_twice(struct world *w)
{
	uint64_t restored_ns = schedule_restore(w);

	world_schedule(w, restored_ns + LOST_GAP_NS, on_restored, STORE_DOWN_NS,
		       0, 0);
	world_schedule(w,
		       restored_ns + LOST_GAP_NS + STORE_DOWN_NS + SETTLE_NS +
			       LOST_GAP_NS,
		       on_release_and_drop, 0, 0, 0);
}

static void on_kill_entries(struct world *w, const struct event *e)
{
	(void)e;
	kill_entries(w);
}

/* All entries list the store when it becomes unavailable. */
static void store_restored_mid_listing(struct world *w)
{
	world_schedule(w, LOST_CHANGES * LOST_GAP_NS - 650 * NS_PER_MS,
		       on_kill_entries, 0, 0, 0);
	store_restored(w);
}

/* All entries start after the restore, before lost values are written again. */
static void store_restored_and_kill_entries(struct world *w)
{
	world_schedule(
		w, LOST_CHANGES * LOST_GAP_NS + STORE_DOWN_NS - 500 * NS_PER_MS,
		on_kill_entries, 0, 0, 0);
	store_restored(w);
}

static void store_restored_and_roll(struct world *w)
{
	store_restored(w);
	roll(w);
}

static void store_restored_and_cut(struct world *w)
{
	store_restored(w);
	cut_zone(w);
}

static void store_restored_and_release(struct world *w)
{
	store_restored(w);
	release(w);
}

/* The restored store has lost the start of the evacuation. */
static void store_restored_and_evacuate(struct world *w)
{
	store_restored(w);
	evacuate_for(w, any_zone(w), 11 * NS_PER_S);
}

/* The restored store has lost the end of the evacuation. */
static void store_restored_evacuation_over(struct world *w)
{
	uint32_t zone = any_zone(w);

	world_evacuate(w, zone, true);
	store_restored(w);
	world_schedule(w, 2 * LOST_GAP_NS, on_evacuate, zone, false, 0);
}

static void add_route(struct world *w)
{
	world_add_route(w);
}

static void no_fault(struct world *w)
{
	(void)w;
}

/* The least parts served are the worst of 20 seeds, less a margin for other
 * seeds; a different fault must not fit into the margin. */
const struct world_fault world_faults[] = {
	{ "none", "no fault", no_fault, 0.999 },
	{ "kill_entry", "an entry's process is killed", kill_entry, 0.995 },
	{ "kill_entries", "all entries are killed at once", kill_entries,
	  0.99 },
	{ "kill_entries_store_down",
	  "all entries are killed while the store is down",
	  kill_entries_store_down, 0.93 },
	{ "stop_entry", "planned stop of an entry", stop_entry, 0.999 },
	{ "roll", "every entry is stopped and restarted in turn", roll, 0.995 },
	{ "freeze", "an entry does not run for 3 s", freeze, 0.995 },
	{ "freeze_half", "half of the entries do not run for 2 s", freeze_half,
	  0.97 },
	{ "cut_zone", "a data centre is partitioned for 5 s", cut_zone, 0.995 },
	{ "cut_zone_during_roll",
	  "a data centre is partitioned during a rolling restart",
	  cut_zone_during_roll, 0.995 },
	{ "kill_target", "a target's process ends", kill_target, 0.995 },
	{ "darken_targets", "three targets lose power", darken_targets, 0.995 },
	{ "targets_fail", "three targets answer with errors", targets_fail,
	  0.98 },
	{ "targets_hang", "three targets do not answer requests", targets_hang,
	  0.99 },
	{ "targets_crawl", "three targets are seven times slower",
	  targets_crawl, 0.999 },
	{ "reuse", "three targets die, other services get their addresses",
	  reuse, 0.995 },
	{ "reuse_store_down", "the same while the store is down",
	  reuse_store_down, 0.995 },
	{ "release", "every target is replaced", release, 0.995 },
	{ "release_and_roll",
	  "every target is replaced during a rolling restart", release_and_roll,
	  0.995 },
	{ "restart_targets", "three targets restart under their id in 0.3 s",
	  restart_targets, 0.995 },
	{ "restart_targets_at_once",
	  "three targets restart under their id in 1 ms",
	  restart_targets_at_once, 0.995 },
	{ "restart_targets_twice",
	  "three targets restart twice in half a second", restart_targets_twice,
	  0.995 },
	{ "restart_targets_store_down",
	  "three targets restart while the store is down",
	  restart_targets_store_down, 0.995 },
	{ "restart_targets_and_roll",
	  "three targets restart during a rolling restart",
	  restart_targets_and_roll, 0.995 },
	{ "restart_targets_cut",
	  "all targets of a partitioned data centre restart",
	  restart_targets_cut, 0.97 },
	{ "restart_most_targets", "two of three targets restart in 1 s",
	  restart_most_targets, 0.95 },
	{ "late_entries", "delayed writes of records replace newer ones",
	  late_entries, 0.995 },
	{ "foreign_entries", "invalid records under keys of their own",
	  foreign_entries, 0.999 },
	{ "unreachable_targets", "targets at addresses without a route",
	  unreachable_targets, 0.98 },
	{ "foreign_entries_in_place",
	  "invalid records in place of those of targets",
	  foreign_entries_in_place, 0.995 },
	{ "evacuate", "a data centre is evacuated and used again", evacuate,
	  0.995 },
	{ "evacuate_twice", "an evacuation is cancelled and started again",
	  evacuate_twice, 0.995 },
	{ "evacuate_and_roll", "evacuation during a rolling restart",
	  evacuate_and_roll, 0.99 },
	{ "evacuate_and_release", "evacuation while every target is replaced",
	  evacuate_and_release, 0.99 },
	{ "evacuate_and_kill_entries",
	  "evacuation while all entries are killed", evacuate_and_kill_entries,
	  0.98 },
	{ "evacuate_store_down", "evacuation, then the store is down",
	  evacuate_store_down, 0.99 },
	{ "evacuate_store_refuses_half",
	  "evacuation, every other entry is refused",
	  evacuate_store_refuses_half, 0.99 },
	{ "evacuate_other_zone_cut",
	  "evacuation while another one is partitioned",
	  evacuate_other_zone_cut, 0.98 },
	{ "evacuate_in_burst", "evacuation at three times the load",
	  evacuate_in_burst, 0.9 },
	{ "store_down", "the store is down for 5 s", store_down, 0.999 },
	{ "store_lapse", "the same, and the records of all targets expire",
	  store_lapse, 0.999 },
	{ "lapse_then_cut", "records expire, then a data centre is partitioned",
	  lapse_then_cut, 0.995 },
	{ "store_refuses_half",
	  "every other entry is refused, a route is added", store_refuses_half,
	  0.999 },
	{ "store_silent_release",
	  "every other entry gets no answer, targets leave",
	  store_silent_release, 0.995 },
	{ "storm", "twelve configurations in 4 s", storm, 0.999 },
	{ "add_route", "a route is added", add_route, 0.999 },
	{ "store_restored", "the store is restored from an older copy",
	  store_restored, 0.995 },
	{ "store_restored_few_see", "the restored store refuses most entries",
	  store_restored_few_see, 0.995 },
	{ "store_restored_twice", "the store is restored twice in a row",
	  store_restored_twice, 0.995 },
	{ "store_restored_mid_listing",
	  "restore while all entries list the store",
	  store_restored_mid_listing, 0.93 },
	{ "store_restored_and_kill_entries",
	  "restore, and all entries restart after it",
	  store_restored_and_kill_entries, 0.93 },
	{ "store_restored_and_roll", "restore during a rolling restart",
	  store_restored_and_roll, 0.99 },
	{ "store_restored_and_cut",
	  "restore while a data centre is partitioned", store_restored_and_cut,
	  0.99 },
	{ "store_restored_and_release",
	  "restore while every target is replaced", store_restored_and_release,
	  0.99 },
	{ "store_restored_and_evacuate",
	  "the restored store has lost an evacuation",
	  store_restored_and_evacuate, 0.99 },
	{ "store_restored_evacuation_over",
	  "the restored store has lost an evacuation's end",
	  store_restored_evacuation_over, 0.99 },
	{ "targets_flap", "a tenth of the targets is down and up by turns",
	  targets_flap, 0.995 },
	{ "burst_of_one_class", "one class at 2.6 times its rate for 5 s",
	  burst_of_one_class, 0.999 },
};

const uint32_t n_world_faults = sizeof(world_faults) / sizeof(world_faults[0]);

/**
 * world_fault_find() - a fault by its name
 * @name: name
 *
 * Return: fault, or NULL.
 */
const struct world_fault *world_fault_find(const char *name)
{
	for (uint32_t i = 0; i < n_world_faults; i++)
		if (!strcmp(world_faults[i].name, name))
			return &world_faults[i];
	return NULL;
}
