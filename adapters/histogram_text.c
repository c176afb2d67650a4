#include "histogram_text.h"

static void bucket(GString *to, const char *name, const char *labels,
		   const char *bound, uint64_t below)
{
	g_string_append_printf(to,
			       "%s_bucket{%s,le=\"%s\"} %" G_GUINT64_FORMAT
			       "\n",
			       name, labels, bound, below);
}

/**
 * histogram_text() - write a histogram; buckets without samples are left out
 * @to: appended to
 * @name: name of the metric
 * @labels: its labels, without braces; at least one
 * @h: histogram
 */
void histogram_text(GString *to, const char *name, const char *labels,
		    const struct histogram *h)
{
	uint64_t below = 0;
	char bound[32];

	for (uint32_t i = 0; h->count && i < HISTOGRAM_BUCKETS - 1; i++) {
		below += h->bucket[i];
		g_snprintf(bound, sizeof(bound), "%" G_GUINT64_FORMAT,
			   histogram_upper_bound(i));
		if (h->bucket[i])
			bucket(to, name, labels, bound, below);
	}
	bucket(to, name, labels, "+Inf", h->count);
	if (!h->count)
		return;
	g_string_append_printf(to,
			       "%s_sum{%s} %" G_GUINT64_FORMAT
			       "\n%s_count{%s} %" G_GUINT64_FORMAT "\n",
			       name, labels, h->sum, name, labels, h->count);
}
