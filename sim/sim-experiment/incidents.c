/* Kinds of incidents. */
#include "experiment.h"

#include "world_state.h"

static bool is_drawn(struct world *w, const struct incident *t)
{
	return world_random_unit(&w->rng) < t->share;
}

static uint32_t zone_of(struct world *w, const struct incident *t)
{
	return t->zone == UINT32_MAX
		       ? (uint32_t)(rng_next(&w->rng) % w->conf.site.n_zones)
		       : t->zone;
}

static bool in_zone(const struct incident *t, uint32_t zone)
{
	return t->zone == UINT32_MAX || t->zone == zone;
}

static bool is_living_target(const struct world *w, const struct incident *t,
			     uint32_t i)
{
	return w->targets[i].alive && w->targets[i].service == SERVICE_MAIN &&
	       in_zone(t, w->targets[i].zone);
}

/* Apply to a share of the living targets, drawn without replacement. */
static void apply_to_targets(struct world *w, const struct incident *t,
			     void (*apply)(struct world *w, uint32_t target,
					   const struct incident *t))
{
	uint32_t n = w->n_targets, left = 0, want;

	for (uint32_t i = 0; i < n; i++)
		left += is_living_target(w, t, i);
	want = (uint32_t)((double)left * t->share + 0.5);
	for (uint32_t i = 0; i < n && want; i++) {
		if (!is_living_target(w, t, i))
			continue;
		if (rng_next(&w->rng) % left-- < want) {
			want--;
			apply(w, i, t);
		}
	}
}

static void restart_one(struct world *w, uint32_t target,
			const struct incident *t)
{
	world_restart_target(w, target, t->for_ns);
}

static void kill_one(struct world *w, uint32_t target, const struct incident *t)
{
	(void)t;
	world_kill_target(w, target, false);
}

static void darken_one(struct world *w, uint32_t target,
		       const struct incident *t)
{
	(void)t;
	world_kill_target(w, target, true);
}

static void fail_one(struct world *w, uint32_t target, const struct incident *t)
{
	world_fail_target(w, target, TARGET_FAILS, t->for_ns);
}

static void hang_one(struct world *w, uint32_t target, const struct incident *t)
{
	world_fail_target(w, target, TARGET_HANGS, t->for_ns);
}

static void crawl_one(struct world *w, uint32_t target,
		      const struct incident *t)
{
	world_fail_target(w, target, TARGET_SLOW, t->for_ns);
}

static void restart_targets(struct world *w, const struct incident *t)
{
	apply_to_targets(w, t, restart_one);
}

static void kill_targets(struct world *w, const struct incident *t)
{
	apply_to_targets(w, t, kill_one);
}

static void darken_targets(struct world *w, const struct incident *t)
{
	apply_to_targets(w, t, darken_one);
}

static void fail_targets(struct world *w, const struct incident *t)
{
	apply_to_targets(w, t, fail_one);
}

static void hang_targets(struct world *w, const struct incident *t)
{
	apply_to_targets(w, t, hang_one);
}

static void crawl_targets(struct world *w, const struct incident *t)
{
	apply_to_targets(w, t, crawl_one);
}

static void on_release(struct world *w, const struct event *e)
{
	world_release_target(w, (uint32_t)e->arg0);
}

static void release_targets(struct world *w, const struct incident *t)
{
	uint32_t n = w->n_targets, k = 0;

	for (uint32_t i = 0; i < n; i++)
		if (is_living_target(w, t, i) && is_drawn(w, t))
			world_schedule(w, k++ * t->gap_ns, on_release, i, 0, 0);
}

static void kill_entries(struct world *w, const struct incident *t)
{
	for (uint32_t i = 0; i < w->n_entries; i++)
		if (in_zone(t, w->entries[i].zone) && is_drawn(w, t))
			world_kill_entry(w, i, t->for_ns);
}

static void freeze_entries(struct world *w, const struct incident *t)
{
	for (uint32_t i = 0; i < w->n_entries; i++)
		if (in_zone(t, w->entries[i].zone) && is_drawn(w, t))
			world_freeze_entry(w, i, t->for_ns);
}

static void on_stop(struct world *w, const struct event *e)
{
	world_stop_entry(w, (uint32_t)e->arg0);
}

static void roll_entries(struct world *w, const struct incident *t)
{
	uint32_t k = 0;

	for (uint32_t i = 0; i < w->n_entries; i++)
		if (in_zone(t, w->entries[i].zone) && is_drawn(w, t))
			world_schedule(w, k++ * t->gap_ns, on_stop, i, 0, 0);
}

static void cut_zone(struct world *w, const struct incident *t)
{
	world_cut_zone(w, zone_of(w, t), t->for_ns);
}

static void store_down(struct world *w, const struct incident *t)
{
	world_store_down(w, t->for_ns, false);
}

static void store_lapse(struct world *w, const struct incident *t)
{
	world_store_down(w, t->for_ns, true);
}

static void load_spike(struct world *w, const struct incident *t)
{
	for (uint32_t z = 0; z < w->conf.site.n_zones; z++)
		if (in_zone(t, z))
			world_scale_load(w, z, t->factor, t->for_ns);
}

/* Move a share of one data centre's load to the next data centre. */
static void shift_load(struct world *w, const struct incident *t)
{
	uint32_t from = zone_of(w, t);
	uint32_t to = (from + 1) % w->conf.site.n_zones;

	world_scale_load(w, from, 1 - t->share, t->for_ns);
	world_scale_load(w, to, 1 + t->share, t->for_ns);
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
