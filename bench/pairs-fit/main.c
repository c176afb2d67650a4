/*
 * pairs-fit FIRST SECOND: reads lines "BUILD SITE DAY SEED WORTH BROKEN" of these
 * two builds, pairs those of one site, day and seed, and prints each pair, then
 * by site and over all the mean difference of the second to the first with its
 * 95 % interval, by Student's t. A play that failed has "-" for its worth, and makes no pair.
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

struct play {
	double worth;
	unsigned long broken;
	bool known;
};

struct pair {
	char site[WORD_MAX_BYTES];
	char day[WORD_MAX_BYTES];
	char seed[WORD_MAX_BYTES];
	struct play plays[2];
};

struct pairs {
	const char *builds[2];
	GPtrArray *all;
};

/* Number of a build: the first named is the one compared with. */
static int build_of(const struct pairs *p, const char *name)
{
	for (int i = 0; i < 2; i++)
		if (!g_strcmp0(p->builds[i], name))
			return i;
	return -1;
}

static struct pair *pair_of(struct pairs *p, const char *site, const char *day,
			    const char *seed)
{
	struct pair *new;

	for (guint i = 0; i < p->all->len; i++) {
		struct pair *at = p->all->pdata[i];

		if (!g_strcmp0(at->site, site) && !g_strcmp0(at->day, day) &&
		    !g_strcmp0(at->seed, seed))
			return at;
	}
	new = g_new0(struct pair, 1);
	g_strlcpy(new->site, site, WORD_MAX_BYTES);
	g_strlcpy(new->day, day, WORD_MAX_BYTES);
	g_strlcpy(new->seed, seed, WORD_MAX_BYTES);
	g_ptr_array_add(p->all, new);
	return new;
}

static int read_line(struct pairs *p, const char *line)
{
	char build[WORD_MAX_BYTES], site[WORD_MAX_BYTES], day[WORD_MAX_BYTES];
	char seed[WORD_MAX_BYTES], worth[WORD_MAX_BYTES];
	unsigned long broken;
	struct play *play;
	int which;

	if (sscanf(line, "%127s %127s %127s %127s %127s %lu", build, site, day,
		   seed, worth, &broken) != 6)
		return -1;
	which = build_of(p, build);
	if (which < 0)
		return -1;
	play = &pair_of(p, site, day, seed)->plays[which];
	play->known = worth[0] != '-';
	play->worth = g_ascii_strtod(worth, NULL);
	play->broken = broken;
	return 0;
}

static bool whole(const struct pair *p)
{
	return p->plays[0].known && p->plays[1].known;
}

static void print_pair(const struct pair *p)
{
	if (!whole(p))
		printf("%-24s %-28s %6s  not played by both\n", p->site, p->day,
		       p->seed);
	else
		printf("%-24s %-28s %6s  %.3f %.3f %+.3f  broken %lu %lu\n",
		       p->site, p->day, p->seed, p->plays[0].worth,
		       p->plays[1].worth, p->plays[1].worth - p->plays[0].worth,
		       p->plays[0].broken, p->plays[1].broken);
}

/* Half of the interval's width; infinite for a single pair. */
static double half_width(const double *d, size_t n)
{
	double deviation = n > 1 ? gsl_stats_sd(d, 1, n) : INFINITY;

	if (n < 2)
		return INFINITY;
	return gsl_cdf_tdist_Pinv(TWO_SIDED_95, (double)n - 1) * deviation /
	       sqrt((double)n);
}

static void print_sum(const struct pairs *p, const char *site)
{
	double *d = g_new(double, p->all->len);
	double worth[2] = { 0 };
	double worst = INFINITY;
	unsigned long broken[2] = { 0 };
	size_t n = 0;

	for (guint i = 0; i < p->all->len; i++) {
		const struct pair *at = p->all->pdata[i];

		if ((g_strcmp0(site, ALL) && g_strcmp0(site, at->site)) ||
		    !whole(at))
			continue;
		d[n] = at->plays[1].worth - at->plays[0].worth;
		worst = fmin(worst, d[n++]);
		for (int b = 0; b < 2; b++) {
			worth[b] += at->plays[b].worth;
			broken[b] += at->plays[b].broken;
		}
	}
	if (n)
		printf("%-24s %4zu pairs  %.4f %.4f  %+.4f +- %.4f  worst "
		       "%+.3f  broken %lu %lu\n",
		       site, n, worth[0] / (double)n, worth[1] / (double)n,
		       gsl_stats_mean(d, 1, n), half_width(d, n), worst,
		       broken[0], broken[1]);
	g_free(d);
}

static void print_sites(const struct pairs *p)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < p->all->len; i++) {
		struct pair *at = p->all->pdata[i];

		if (g_hash_table_add(seen, at->site))
			print_sum(p, at->site);
	}
	g_hash_table_destroy(seen);
}

int main(int argc, char **argv)
{
	struct pairs p = { .all = g_ptr_array_new_with_free_func(g_free) };
	char line[LINE_MAX_BYTES];
	int bad = 0;

	if (argc != 3) {
		fprintf(stderr, "usage: pairs-fit FIRST SECOND\n");
		return 2;
	}
	p.builds[0] = argv[1];
	p.builds[1] = argv[2];
	while (fgets(line, sizeof(line), stdin)) {
		if (!read_line(&p, line))
			continue;
		fprintf(stderr, "pairs-fit: no play: %s", line);
		bad = 1;
	}
	for (guint i = 0; i < p.all->len; i++)
		print_pair(p.all->pdata[i]);
	print_sites(&p);
	print_sum(&p, ALL);
	g_ptr_array_free(p.all, TRUE);
	return bad;
}
