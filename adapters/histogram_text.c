#include "histogram_text.h"

static void append_bucket(GString *out, const char *name, const char *labels,
			  const char *bound, uint64_t cumulative)
{
	g_string_append_printf(out,
			       "%s_bucket{%s,le=\"%s\"} %" G_GUINT64_FORMAT
			       "\n",
			       name, labels, bound, cumulative);
}

/**
 * histogram_append_text() - append a histogram as a metric
 * @out: page to which the text is appended
 * @name: name of the metric
 * @labels: labels without braces, at least one
 * @histogram: histogram
 *
 * Buckets without samples are left out; the bucket "+Inf" is always written,
 * sum and count only when there are samples.
 */
void histogram_append_text(GString *out, const char *name, const char *labels,
			   const struct histogram *histogram)
{
	uint64_t cumulative = 0;
	char bound[32];

	for (uint32_t i = 0; histogram->count && i < HISTOGRAM_BUCKETS - 1;
	     i++) {
		cumulative += histogram->bucket[i];
		g_snprintf(bound, sizeof(bound), "%" G_GUINT64_FORMAT,
			   histogram_upper_bound(i));
		if (histogram->bucket[i])
			append_bucket(out, name, labels, bound, cumulative);
	}
	append_bucket(out, name, labels, "+Inf", histogram->count);
	if (!histogram->count)
		return;
	g_string_append_printf(out,
			       "%s_sum{%s} %" G_GUINT64_FORMAT
			       "\n%s_count{%s} %" G_GUINT64_FORMAT "\n",
			       name, labels, histogram->sum, name, labels,
			       histogram->count);
}
