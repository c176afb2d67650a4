/* Output of results: a table, JSON, and windows for plots. */
#include "experiment.h"

#include <gsl/gsl_cdf.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Quantile of a two-sided 95 % confidence interval. */
#define QUANTILE 0.975

/**
 * struct figure - a column of the table
 * @name: heading, and key in JSON
 * @offset: of the double in struct outcome
 */
struct figure {
	const char *name;
	size_t offset;
};

#define FIGURE(name, member)                           \
	{                                              \
		name, offsetof(struct outcome, member) \
	}

static const struct figure figures[] = {
	FIGURE("earned", earned),
	FIGURE("worst", worst),
	FIGURE("in_aim", on_time),
	FIGURE("served", served),
	FIGURE("swamped", queue_full),
	FIGURE("far", cross_dc_bytes),
	FIGURE("probes", probes),
	FIGURE("imbalance", imbalance),
	FIGURE("bound", bound),
	FIGURE("bound_worst", bound_worst),
	FIGURE("cut", lost[CAUSE_NO_ENTRY]),
	FIGURE("gone", lost[CAUSE_GONE]),
	FIGURE("refused", lost[CAUSE_REFUSED]),
	FIGURE("waited", lost[CAUSE_WAITED]),
	FIGURE("work", lost[CAUSE_WORK]),
	FIGURE("failed", lost[CAUSE_FAILED]),
};

#define N_FIGURES (sizeof(figures) / sizeof(figures[0]))
/* The first figures are also printed as differences to the first policy. */
#define COMPARED 3

static double figure_value(const struct outcome *o, const struct figure *f)
{
	double v;

	memcpy(&v, (const char *)o + f->offset, sizeof(v));
	return v;
}

static const struct outcome *
variant_outcomes(const struct experiment *experiment, const struct outcome *all,
		 uint32_t variant)
{
	return all + (size_t)variant * experiment->seeds;
}

static double mean(const struct experiment *experiment,
		   const struct outcome *outcomes, const struct figure *f)
{
	double sum = 0;

	for (uint32_t i = 0; i < experiment->seeds; i++)
		sum += figure_value(&outcomes[i], f);
	return sum / experiment->seeds;
}

/* Half width of the confidence interval of the mean paired difference. */
static double interval(const struct experiment *experiment,
		       const struct outcome *a, const struct outcome *b,
		       const struct figure *f)
{
	double d = mean(experiment, a, f) - mean(experiment, b, f), sum = 0;

	if (experiment->seeds < 2)
		return 0;
	for (uint32_t i = 0; i < experiment->seeds; i++) {
		double e = figure_value(&a[i], f) - figure_value(&b[i], f) - d;

		sum += e * e;
	}
	return gsl_cdf_tdist_Pinv(QUANTILE, experiment->seeds - 1) *
	       sqrt(sum / (experiment->seeds - 1) / experiment->seeds);
}

static uint64_t rules(const struct experiment *experiment,
		      const struct outcome *outcomes)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < experiment->seeds; i++)
		n += outcomes[i].rules;
	return n;
}

/**
 * report_table() - print means and differences to the first policy
 * @experiment: description
 * @all: results of all runs, ordered by policy
 */
void report_table(const struct experiment *experiment,
		  const struct outcome *all)
{
	printf("%s: %s, %u seeds from %u, load %.2f\n", experiment->title,
	       experiment->site.name, experiment->seeds, experiment->first_seed,
	       experiment->load_factor);
	printf("%-28s", "");
	for (uint32_t k = 0; k < N_FIGURES; k++)
		printf(" %9s", figures[k].name);
	printf(" rules\n");
	for (uint32_t v = 0; v < experiment->n_variants; v++) {
		printf("%-28s", experiment->variants[v].title);
		for (uint32_t k = 0; k < N_FIGURES; k++)
			printf(" %9.4f",
			       mean(experiment,
				    variant_outcomes(experiment, all, v),
				    &figures[k]));
		printf(" %5llu\n",
		       (unsigned long long)rules(experiment,
						 variant_outcomes(experiment,
								  all, v)));
	}
	for (uint32_t v = 1; v < experiment->n_variants; v++) {
		printf("%-28s", experiment->variants[v].title);
		for (uint32_t k = 0; k < COMPARED; k++)
			printf(" %s %+.4f +- %.4f", figures[k].name,
			       mean(experiment,
				    variant_outcomes(experiment, all, v),
				    &figures[k]) -
				       mean(experiment, all, &figures[k]),
			       interval(experiment,
					variant_outcomes(experiment, all, v),
					all, &figures[k]));
		printf("\n");
	}
}

/**
 * report_json() - print one line of JSON for each policy
 * @experiment: description
 * @all: results of all runs, ordered by policy
 */
void report_json(const struct experiment *experiment, const struct outcome *all)
{
	for (uint32_t v = 0; v < experiment->n_variants; v++) {
		printf("{\"experiment\":\"%s\",\"site\":\"%s\",\"seeds\":%u,"
		       "\"policy\":\"%s\"",
		       experiment->title, experiment->site.name,
		       experiment->seeds, experiment->variants[v].title);
		for (uint32_t k = 0; k < N_FIGURES; k++)
			printf(",\"%s\":%.5f", figures[k].name,
			       mean(experiment,
				    variant_outcomes(experiment, all, v),
				    &figures[k]));
		for (uint32_t k = 0; v && k < COMPARED; k++)
			printf(",\"%s_change\":%.5f,\"%s_interval\":%.5f",
			       figures[k].name,
			       mean(experiment,
				    variant_outcomes(experiment, all, v),
				    &figures[k]) -
				       mean(experiment, all, &figures[k]),
			       figures[k].name,
			       interval(experiment,
					variant_outcomes(experiment, all, v),
					all, &figures[k]));
		printf(",\"rules\":%llu}\n",
		       (unsigned long long)rules(experiment,
						 variant_outcomes(experiment,
								  all, v)));
	}
}

/**
 * report_windows() - print one row for each window of a run, for plots
 * @experiment: description
 * @variant: index of the policy
 * @v: windows of the run
 */
void report_windows(const struct experiment *experiment, uint32_t variant,
		    const struct windows *v)
{
	printf("# %s, %s\n", experiment->title,
	       experiment->variants[variant].title);
	printf("# from_s requests in_aim late failed earned bound");
	for (uint32_t k = 1; k < CAUSES; k++)
		printf(" %s", world_cause_names[k]);
	printf("\n");
	for (uint32_t i = 0; i < v->n; i++) {
		const struct window *o = &v->all[i];

		printf("%.0f %llu %llu %llu %llu %.4f %.4f",
		       (double)o->from_ns / NS_PER_S,
		       (unsigned long long)o->requests,
		       (unsigned long long)o->on_time,
		       (unsigned long long)o->late,
		       (unsigned long long)o->failed, o->earned / o->offered,
		       o->bound / o->offered);
		for (uint32_t k = 1; k < CAUSES; k++)
			printf(" %.4f", o->lost[k] / o->offered);
		printf("\n");
	}
}
