/*
 * pairs-fit FIRST SECOND: reads lines "BUILD SITE DAY SEED VALUE BROKEN" of two
 * builds and pairs the runs of the same site, day and seed. Prints each pair,
 * then, for each site and for all sites, the mean difference (SECOND minus
 * FIRST) with its 95 % confidence interval by Student's t. A run that failed
 * has "-" for its value and makes no pair.
 */
#include <glib.h>
#include <gsl/gsl_cdf.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define LINE_MAX_BYTES 512
#define WORD_MAX_BYTES 128
#define TWO_SIDED_95 0.975
#define ALL "all"

struct run {
	double value;
	unsigned long broken;
	bool succeeded;
};

struct pair {
	char site[WORD_MAX_BYTES];
	char day[WORD_MAX_BYTES];
	char seed[WORD_MAX_BYTES];
	struct run runs[2];
};

struct pairs {
	const char *builds[2];
	GPtrArray *list;
};

/* Index of a build on the command line, -1 if absent; 0 is the reference. */
static int find_build(const struct pairs *p, const char *name)
{
	for (int i = 0; i < 2; i++)
		if (!g_strcmp0(p->builds[i], name))
			return i;
	return -1;
}

static struct pair *find_or_add_pair(struct pairs *p, const char *site,
				     const char *day, const char *seed)
{
	struct pair *new;

	for (guint i = 0; i < p->list->len; i++) {
		struct pair *pair = p->list->pdata[i];

		if (!g_strcmp0(pair->site, site) &&
		    !g_strcmp0(pair->day, day) && !g_strcmp0(pair->seed, seed))
			return pair;
	}
	new = g_new0(struct pair, 1);
	g_strlcpy(new->site, site, WORD_MAX_BYTES);
	g_strlcpy(new->day, day, WORD_MAX_BYTES);
	g_strlcpy(new->seed, seed, WORD_MAX_BYTES);
	g_ptr_array_add(p->list, new);
	return new;
}

static int read_line(struct pairs *p, const char *line)
{
	char build[WORD_MAX_BYTES], site[WORD_MAX_BYTES], day[WORD_MAX_BYTES];
	char seed[WORD_MAX_BYTES], value[WORD_MAX_BYTES];
	unsigned long broken;
	struct run *run;
	int which;

	if (sscanf(line, "%127s %127s %127s %127s %127s %lu", build, site, day,
		   seed, value, &broken) != 6)
		return -1;
	which = find_build(p, build);
	if (which < 0)
		return -1;
	run = &find_or_add_pair(p, site, day, seed)->runs[which];
	run->succeeded = value[0] != '-';
	run->value = g_ascii_strtod(value, NULL);
	run->broken = broken;
	return 0;
}

static bool both_succeeded(const struct pair *p)
{
	return p->runs[0].succeeded && p->runs[1].succeeded;
}

static void print_pair(const struct pair *p)
{
	if (!both_succeeded(p))
		printf("%-24s %-28s %6s  not run by both\n", p->site, p->day,
		       p->seed);
	else
		printf("%-24s %-28s %6s  %.3f %.3f %+.3f  broken %lu %lu\n",
		       p->site, p->day, p->seed, p->runs[0].value,
		       p->runs[1].value, p->runs[1].value - p->runs[0].value,
		       p->runs[0].broken, p->runs[1].broken);
}

/* Half of the confidence interval's width; infinite for a single pair. */
static double half_width(const double *d, size_t n)
{
	double deviation = n > 1 ? gsl_stats_sd(d, 1, n) : INFINITY;

	if (n < 2)
		return INFINITY;
	return gsl_cdf_tdist_Pinv(TWO_SIDED_95, (double)n - 1) * deviation /
	       sqrt((double)n);
}

static void print_summary(const struct pairs *p, const char *site)
{
	double *d = g_new(double, p->list->len);
	double value[2] = { 0 };
	double worst = INFINITY;
	unsigned long broken[2] = { 0 };
	size_t n = 0;

	for (guint i = 0; i < p->list->len; i++) {
		const struct pair *pair = p->list->pdata[i];

		if ((g_strcmp0(site, ALL) && g_strcmp0(site, pair->site)) ||
		    !both_succeeded(pair))
			continue;
		d[n] = pair->runs[1].value - pair->runs[0].value;
		worst = fmin(worst, d[n++]);
		for (int b = 0; b < 2; b++) {
			value[b] += pair->runs[b].value;
			broken[b] += pair->runs[b].broken;
		}
	}
	if (n)
		printf("%-24s %4zu pairs  %.4f %.4f  %+.4f +- %.4f  worst "
		       "%+.3f  broken %lu %lu\n",
		       site, n, value[0] / (double)n, value[1] / (double)n,
		       gsl_stats_mean(d, 1, n), half_width(d, n), worst,
		       broken[0], broken[1]);
	g_free(d);
}

static void print_sites(const struct pairs *p)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < p->list->len; i++) {
		struct pair *pair = p->list->pdata[i];

		if (g_hash_table_add(seen, pair->site))
			print_summary(p, pair->site);
	}
	g_hash_table_destroy(seen);
}

int main(int argc, char **argv)
{
	struct pairs p = { .list = g_ptr_array_new_with_free_func(g_free) };
	char line[LINE_MAX_BYTES];
	int has_bad_line = 0;

	if (argc != 3) {
		fprintf(stderr, "usage: pairs-fit FIRST SECOND\n");
		return 2;
	}
	p.builds[0] = argv[1];
	p.builds[1] = argv[2];
	while (fgets(line, sizeof(line), stdin)) {
		if (!read_line(&p, line))
			continue;
		fprintf(stderr,
			"pairs-fit: malformed line or unknown build: %s", line);
		has_bad_line = 1;
	}
	for (guint i = 0; i < p.list->len; i++)
		print_pair(p.list->pdata[i]);
	print_sites(&p);
	print_summary(&p, ALL);
	g_ptr_array_free(p.list, TRUE);
	return has_bad_line;
}
