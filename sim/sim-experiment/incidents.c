/* Kinds of incidents. */
#include "experiment.h"

#include "world_state.h"

static bool is_drawn(struct world *w, const struct incident *incident)
{
	return world_random_unit(&w->rng) < incident->share;
}

static uint32_t zone_of(struct world *w, const struct incident *incident)
{
	return incident->zone == UINT32_MAX
		       ? (uint32_t)(rng_next(&w->rng) % w->conf.site.n_zones)
		       : incident->zone;
}

static bool in_zone(const struct incident *incident, uint32_t zone)
{
	return incident->zone == UINT32_MAX || incident->zone == zone;
}

static bool is_living_target(const struct world *w,
			     const struct incident *incident, uint32_t i)
{
	return w->targets[i].alive && w->targets[i].service == SERVICE_MAIN &&
	       in_zone(incident, w->targets[i].zone);
}

/* Apply to a share of the living targets, drawn without replacement. */
static void apply_to_targets(struct world *w, const struct incident *incident,
			     void (*apply)(struct world *w, uint32_t target,
					   const struct incident *incident))
{
	uint32_t n = w->n_targets, left = 0, want;

	for (uint32_t i = 0; i < n; i++)
		left += is_living_target(w, incident, i);
	want = (uint32_t)((double)left * incident->share + 0.5);
	for (uint32_t i = 0; i < n && want; i++) {
		if (!is_living_target(w, incident, i))
			continue;
		if (rng_next(&w->rng) % left-- < want) {
			want--;
			apply(w, i, incident);
		}
	}
}

static void restart_one(struct world *w, uint32_t target,
			const struct incident *incident)
{
	world_restart_target(w, target, incident->for_ns);
}

static void kill_one(struct world *w, uint32_t target,
		     const struct incident *incident)
{
	(void)incident;
	world_kill_target(w, target, false);
}

static void kill_one_with_vm(struct world *w, uint32_t target,
			     const struct incident *incident)
{
	(void)incident;
	world_kill_target(w, target, true);
}

static void fail_one(struct world *w, uint32_t target,
		     const struct incident *incident)
{
	world_fail_target(w, target, TARGET_FAILS, incident->for_ns);
}

static void hang_one(struct world *w, uint32_t target,
		     const struct incident *incident)
{
	world_fail_target(w, target, TARGET_HANGS, incident->for_ns);
}

static void slow_one(struct world *w, uint32_t target,
		     const struct incident *incident)
{
	world_fail_target(w, target, TARGET_SLOW, incident->for_ns);
}

static void restart_targets(struct world *w, const struct incident *incident)
{
	apply_to_targets(w, incident, restart_one);
}

static void kill_targets(struct world *w, const struct incident *incident)
{
	apply_to_targets(w, incident, kill_one);
}

static void darken_targets(struct world *w, const struct incident *incident)
{
	apply_to_targets(w, incident, kill_one_with_vm);
}

static void fail_targets(struct world *w, const struct incident *incident)
{
	apply_to_targets(w, incident, fail_one);
}

static void hang_targets(struct world *w, const struct incident *incident)
{
	apply_to_targets(w, incident, hang_one);
}

static void crawl_targets(struct world *w, const struct incident *incident)
{
	apply_to_targets(w, incident, slow_one);
}

static void on_release(struct world *w, const struct event *e)
{
	world_release_target(w, (uint32_t)e->arg0);
}

static void release_targets(struct world *w, const struct incident *incident)
{
	uint32_t n = w->n_targets, k = 0;

	for (uint32_t i = 0; i < n; i++)
		if (is_living_target(w, incident, i) && is_drawn(w, incident))
			world_schedule(w, k++ * incident->gap_ns, on_release, i,
				       0, 0);
}

static void kill_entries(struct world *w, const struct incident *incident)
{
	for (uint32_t i = 0; i < w->n_entries; i++)
		if (in_zone(incident, w->entries[i].zone) &&
		    is_drawn(w, incident))
			world_kill_entry(w, i, incident->for_ns);
}

static void freeze_entries(struct world *w, const struct incident *incident)
{
	for (uint32_t i = 0; i < w->n_entries; i++)
		if (in_zone(incident, w->entries[i].zone) &&
		    is_drawn(w, incident))
			world_freeze_entry(w, i, incident->for_ns);
}

static void on_stop(struct world *w, const struct event *e)
{
	world_stop_entry(w, (uint32_t)e->arg0);
}

static void roll_entries(struct world *w, const struct incident *incident)
{
	uint32_t k = 0;

	for (uint32_t i = 0; i < w->n_entries; i++)
		if (in_zone(incident, w->entries[i].zone) &&
		    is_drawn(w, incident))
			world_schedule(w, k++ * incident->gap_ns, on_stop, i, 0,
				       0);
}

static void cut_zone(struct world *w, const struct incident *incident)
{
	world_partition_zone(w, zone_of(w, incident), incident->for_ns);
}

static void store_down(struct world *w, const struct incident *incident)
{
	world_store_down(w, incident->for_ns, false);
}

static void store_lapse(struct world *w, const struct incident *incident)
{
	world_store_down(w, incident->for_ns, true);
}

static void load_spike(struct world *w, const struct incident *incident)
{
	for (uint32_t z = 0; z < w->conf.site.n_zones; z++)
		if (in_zone(incident, z))
			world_scale_load(w, z, incident->factor,
					 incident->for_ns);
}

/* Move a share of one data centre's load to the next data centre. */
static void shift_load(struct world *w, const struct incident *incident)
{
	uint32_t from = zone_of(w, incident);
	uint32_t to = (from + 1) % w->conf.site.n_zones;

	world_scale_load(w, from, 1 - incident->share, incident->for_ns);
	world_scale_load(w, to, 1 + incident->share, incident->for_ns);
}

const struct incident_kind incident_kinds[] = {
	{ "kill_entries", "share of the entries end and restart after for_s",
	  kill_entries },
	{ "freeze_entries", "share of the entries do not run for for_s",
	  freeze_entries },
	{ "roll_entries", "share of the entries are restarted, one each gap_s",
	  roll_entries },
	{ "kill_targets", "share of the first service's targets end for good",
	  kill_targets },
	{ "darken_targets", "the same, and connections to them time out",
	  darken_targets },
	{ "restart_targets",
	  "share of the targets restart under their id after for_s",
	  restart_targets },
	{ "release_targets",
	  "share of the targets are replaced, one each gap_s",
	  release_targets },
	{ "fail_targets", "share of the targets answer with errors for for_s",
	  fail_targets },
	{ "hang_targets", "share of the targets do not answer for for_s",
	  hang_targets },
	{ "crawl_targets",
	  "share of the targets are seven times slower for for_s",
	  crawl_targets },
	{ "cut_zone", "a data centre is partitioned for for_s", cut_zone },
	{ "store_down", "the store is unavailable for for_s", store_down },
	{ "store_lapse", "the same, and the records of all targets expire",
	  store_lapse },
	{ "crowd", "clients send factor times the requests for for_s",
	  load_spike },
	{ "shift", "share of a data centre's load moves to the next for for_s",
	  shift_load },
};

const char *const incident_names[] = {
	"kill_entries",	  "freeze_entries",  "roll_entries",	"kill_targets",
	"darken_targets", "restart_targets", "release_targets", "fail_targets",
	"hang_targets",	  "crawl_targets",   "cut_zone",	"store_down",
	"store_lapse",	  "crowd",	     "shift",		NULL
};

const uint32_t n_incident_kinds =
	sizeof(incident_kinds) / sizeof(incident_kinds[0]);
