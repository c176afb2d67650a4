/* Prometheus text format of histograms. */
#ifndef CB_HISTOGRAM_TEXT_H
#define CB_HISTOGRAM_TEXT_H

#include "histogram.h"

#include <glib.h>

void histogram_append_text(GString *out, const char *name, const char *labels,
			   const struct histogram *histogram);

#endif
