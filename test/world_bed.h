/* Test bed: an emulated deployment with one or two faults. */
#ifndef CB_WORLD_BED_H
#define CB_WORLD_BED_H

#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#define WORLD_SEEDS 3
/* Seed of the runs with routing by remainder. */
#define WORLD_SEED_REMAINDER 11
#define WORLD_WARM_UP_NS (5 * NS_PER_S)
#define WORLD_AFTER_NS (12 * NS_PER_S)

static inline struct world *world_bed_new(uint64_t seed, bool by_remainder)
{
	struct site_size size = { 3, 3, 5, 90, 90, 25 };
	struct world_conf conf = { .seed = seed };
	struct world *w;

	site_default(&conf.site, &size);
	conf.site.by_remainder = by_remainder;
	w = world_new(&conf);
	assert_non_null(w);
	return w;
}

#define WORLD_RULES_BYTES 256

/* Format the number of violations of each rule. */
static inline const char *world_bed_rules_text(const struct world_report *r,
					       char out[WORLD_RULES_BYTES])
{
	snprintf(out, WORLD_RULES_BYTES,
		 "misrouted %llu, broken %llu, late drain %llu, evacuated "
		 "%llu, overrun %llu, stale %llu, doubled %llu",
		 (unsigned long long)r->misrouted,
		 (unsigned long long)r->broken,
		 (unsigned long long)r->late_drain,
		 (unsigned long long)r->evacuated,
		 (unsigned long long)r->overrun, (unsigned long long)r->stale,
		 (unsigned long long)r->doubled);
	return out;
}

static inline void world_bed_run(const struct world_fault *f, uint64_t seed,
				 bool by_remainder)
{
	struct world *w = world_bed_new(seed, by_remainder);
	char rules[WORLD_RULES_BYTES];
	struct world_report r;
	double served;

	world_run(w, WORLD_WARM_UP_NS);
	f->apply(w);
	world_run(w, WORLD_AFTER_NS);
	world_report(w, &r);
	served = (double)(r.on_time + r.late) / (double)r.requests;
	if (world_broken_rules(&r) || served < f->served_min)
		fail_msg("%s, seed %llu: served %.4f of %llu, %s", f->name,
			 (unsigned long long)seed, served,
			 (unsigned long long)r.requests,
			 world_bed_rules_text(&r, rules));
	assert_int_equal(world_ready_count(w), world_entry_count(w));
	world_free(w);
}

/* Start a second fault while the first lasts, and check only the rules. */
static inline void world_bed_run_pair(const struct world_fault *first,
				      const struct world_fault *second,
				      uint64_t seed, bool by_remainder)
{
	struct world *w = world_bed_new(seed, by_remainder);
	char rules[WORLD_RULES_BYTES];
	struct world_report r;

	world_run(w, WORLD_WARM_UP_NS);
	first->apply(w);
	world_run(w, 2 * NS_PER_S);
	second->apply(w);
	world_run(w, WORLD_AFTER_NS);
	world_report(w, &r);
	if (world_broken_rules(&r))
		fail_msg("%s then %s: %s", first->name, second->name,
			 world_bed_rules_text(&r, rules));
	world_free(w);
}

/* Covered by packet_slow_test, with the same seeds. */
static inline bool has_slow_targets(const struct world_fault *f)
{
	return !strcmp(f->name, "targets_crawl");
}

/* Covered by packet_restore_test, with the same seeds. */
static inline bool restores_store(const struct world_fault *f)
{
	return !strncmp(f->name, "store_restored", strlen("store_restored"));
}

#endif
