/*
 * Experiments on the emulator, described in files: a deployment, the incidents
 * that affect it, and policies that are compared on the same seeds.
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
 * struct incident - something that happens to a deployment
 * @kind: index in incident_kinds
 * @at_ns: when, since the warm-up ended
 * @share: part of the targets, entries or clients that it affects
 * @for_ns: duration
 * @gap_ns: time between one affected target or entry and the next
 * @factor: multiplier of the load
 * @zone: index of the data centre; UINT32_MAX for all, or where the kind needs
 *	a single one for a random one
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
 * struct incident_kind - a kind of incident
 * @name: its name in files
 * @help: one line on its effect and the fields that it uses
 * @begin: starts an incident at the emulator's current time
 */
struct incident_kind {
	const char *name;
	const char *help;
	void (*begin)(struct world *w, const struct incident *incident);
};

extern const struct incident_kind incident_kinds[];
extern const char *const incident_names[];
extern const uint32_t n_incident_kinds;

/**
 * struct variant - a policy under test
 * @title: its name in the results
 * @policy: limits and switches of the entries
 */
struct variant {
	char title[TITLE_BYTES];
	struct policy policy;
};

/**
 * struct experiment - description of an experiment
 * @title: name in the results
 * @site: deployment
 * @load_factor: multiplier of the request rates
 * @seeds: number of runs of each policy
 * @first_seed: seed of the first run; later ones count up
 * @warm_up_ns: time before the incidents, left out of the results
 * @run_ns: time that counts
 * @n_incidents: number of @incidents in use
 * @incidents: what happens to the deployment
 * @n_variants: number of @variants in use
 * @variants: policies; the others are compared with the first
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
 * struct outcome - results of one run
 * @earned: earned part of the offered value
 * @worst: the same for the two worst windows, their mean
 * @on_time: part of the requests answered within the latency objective
 * @served: part of the requests answered at all
 * @bound: upper bound of @earned
 * @bound_worst: upper bound of @worst
 * @lost: lost part of the offered value, by enum world_cause
 * @queue_full: part of the requests that targets refused
 * @cross_dc_bytes: bytes between data centres per request
 * @probes: connection attempts of entries per request
 * @imbalance: largest number of requests at a target, divided by the mean
 * @rules: number of broken rules
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
	double cross_dc_bytes;
	double probes;
	double imbalance;
	uint64_t rules;
};

/* read.c, read_site.c */
int experiment_read(const char *path, struct experiment *out,
		    struct mistakes *m);
int site_read(const char *path, struct site *out, struct mistakes *m);

/* run.c */
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
