/*
 * Described experiments on the emulator: a deployment, what happens to it, and
 * policies side by side on the same seeds.
 */
#ifndef SIM_EXPERIMENT_H
#define SIM_EXPERIMENT_H

#include "fields.h"
#include "windows.h"

#define INCIDENTS_MAX 32
#define POLICIES_MAX 32
#define SEEDS_MAX 1000
#define TITLE_BYTES 64
#define PATH_BYTES 256

/**
 * struct trouble - something that happens to a deployment
 * @kind: index of trouble_kinds
 * @at_ns: when, since the warm-up ended
 * @share: part of the things that it strikes
 * @for_ns: how long
 * @gap_ns: time between one thing and the next
 * @factor: how strong
 * @zone: data centre; UINT32_MAX for any, drawn by the seed
 */
struct incident {
	uint8_t kind;
	uint64_t at_ns;
	double share;
	uint64_t for_ns;
	uint64_t gap_ns;
	double factor;
	uint32_t zone;
};

/**
 * struct trouble_kind - a kind of trouble, by name
 * @name: name
 * @help: what it does with the figures of struct trouble
 * @begin: make it happen, now
 */
struct incident_kind {
	const char *name;
	const char *help;
	void (*begin)(struct world *w, const struct incident *t);
};

extern const struct incident_kind incident_kinds[];
extern const char *const incident_names[];
extern const uint32_t n_incident_kinds;

/**
 * struct variant - a policy under test
 * @title: its name in the results
 * @policy: its figures
 */
struct variant {
	char title[TITLE_BYTES];
	struct policy policy;
};

/**
 * struct experiment - what to play
 * @title: name
 * @site: deployment
 * @load: times its rates
 * @seeds: runs of each policy
 * @first_seed: seed of the first
 * @warm_up_ns: before the first trouble; not counted
 * @run_ns: what is counted
 * @n_troubles: how many of @troubles
 * @troubles: what happens
 * @n_variants: how many of @variants
 * @variants: policies; the first is what the others are compared with
 */
struct experiment {
	char title[TITLE_BYTES];
	struct site site;
	double load_factor;
	uint32_t seeds;
	uint32_t first_seed;
	uint64_t warm_up_ns;
	uint64_t run_ns;
	uint32_t n_incidents;
	struct incident incidents[INCIDENTS_MAX];
	uint32_t n_variants;
	struct variant variants[POLICIES_MAX];
};

/**
 * struct outcome - what one run earned
 * @earned: part of the worth owed
 * @worst: of the two worst windows, their mean
 * @in_aim: part of the requests answered in time
 * @served: part answered at all
 * @bound: of @earned
 * @bound_worst: of @worst
 * @lost: part of the worth owed, by enum world_cause
 * @swamped: part of the requests that targets refused
 * @far: bytes between data centres a request
 * @probes: connection attempts a request
 * @imbalance: most requests of a target over the mean
 * @rules: how often a rule was broken
 */
struct outcome {
	double earned;
	double worst;
	double on_time;
	double served;
	double bound;
	double bound_worst;
	double lost[CAUSES];
	double queue_full;
	double far;
	double probes;
	double imbalance;
	uint64_t rules;
};

/* read.c, read_site.c */
int experiment_read(const char *path, struct experiment *out,
		    struct mistakes *m);
int site_read(const char *path, struct site *out, struct mistakes *m);

/* play.c */
int experiment_run(const struct experiment *experiment, uint32_t variant,
		   uint64_t seed, struct outcome *out, struct windows *windows);

/* report.c */
void report_table(const struct experiment *experiment,
		  const struct outcome *all);
void report_json(const struct experiment *experiment,
		 const struct outcome *all);
void report_windows(const struct experiment *experiment, uint32_t variant,
		    const struct windows *v);

#endif
