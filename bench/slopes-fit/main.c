/*
 * Reads lines "NAME SIZE VALUE UNIT" and fits a straight line to the points of
 * each name by least squares. Prints "fit NAME SLOPE INTERCEPT R2 UNIT POINTS".
 * A name with fewer than three points, or with one size only, gets no fit.
 * Input lines of another form are ignored.
 */
#include <glib.h>
#include <gsl/gsl_fit.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define LINE_MAX_BYTES 512
#define WORD_MAX_BYTES 128
#define POINTS_MIN 3

struct series {
	char name[WORD_MAX_BYTES];
	char unit[WORD_MAX_BYTES];
	GArray *x;
	GArray *y;
};

static struct series *find_or_add_series(GPtrArray *all, const char *name,
					 const char *unit)
{
	struct series *s;

	for (guint i = 0; i < all->len; i++) {
		s = all->pdata[i];
		if (!g_strcmp0(s->name, name))
			return s;
	}
	s = g_new0(struct series, 1);
	g_strlcpy(s->name, name, sizeof(s->name));
	g_strlcpy(s->unit, unit, sizeof(s->unit));
	s->x = g_array_new(FALSE, FALSE, sizeof(double));
	s->y = g_array_new(FALSE, FALSE, sizeof(double));
	g_ptr_array_add(all, s);
	return s;
}

static void read_line(GPtrArray *all, const char *line)
{
	char name[WORD_MAX_BYTES];
	char unit[WORD_MAX_BYTES];
	struct series *s;
	double x, y;

	if (sscanf(line, "%127s %lf %lf %127s", name, &x, &y, unit) != 4)
		return;
	s = find_or_add_series(all, name, unit);
	g_array_append_val(s->x, x);
	g_array_append_val(s->y, y);
}

static double sum_of_squared_deviations(const double *y, size_t n)
{
	double mean = 0;
	double sum = 0;

	for (size_t i = 0; i < n; i++)
		mean += y[i] / (double)n;
	for (size_t i = 0; i < n; i++)
		sum += (y[i] - mean) * (y[i] - mean);
	return sum;
}

static void print_fit(const struct series *s)
{
	const double *x = (const double *)(void *)s->x->data;
	const double *y = (const double *)(void *)s->y->data;
	double slope, intercept, c00, c01, c11, residual_sum;
	double total_sum = sum_of_squared_deviations(y, s->y->len);

	if (s->x->len < POINTS_MIN ||
	    sum_of_squared_deviations(x, s->x->len) <= 0)
		return;
	gsl_fit_linear(x, 1, y, 1, s->x->len, &intercept, &slope, &c00, &c01,
		       &c11, &residual_sum);
	printf("fit %s %.6g %.6g %.4f %s %u\n", s->name, slope, intercept,
	       total_sum > 0 ? 1 - residual_sum / total_sum : 1, s->unit,
	       s->x->len);
}

static void series_free(struct series *s)
{
	g_array_free(s->x, TRUE);
	g_array_free(s->y, TRUE);
	g_free(s);
}

int main(void)
{
	GPtrArray *all = g_ptr_array_new();
	char line[LINE_MAX_BYTES];

	while (fgets(line, sizeof(line), stdin))
		read_line(all, line);
	for (guint i = 0; i < all->len; i++) {
		print_fit(all->pdata[i]);
		series_free(all->pdata[i]);
	}
	g_ptr_array_free(all, TRUE);
	return EXIT_SUCCESS;
}
