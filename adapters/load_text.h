/*
 * Load of the services of a cb-packet, as metrics and as lines of its status
 * page: counters of requests by class and event, and the admission of openings.
 */
#ifndef CB_LOAD_TEXT_H
#define CB_LOAD_TEXT_H

#include "path.h"

#include <glib.h>

/**
 * struct load_source - what the load is read from
 * @path: state of the decisions on packets
 * @directory: names of the services
 * @now_ns: current time
 */
struct load_source {
	const struct path *path;
	const struct directory *directory;
	uint64_t now_ns;
};

extern const char *const load_class_names[ROUTE_KINDS];

void load_append_metrics(GString *out, const struct load_source *source);
void load_append_status(GString *out, const struct load_source *source);

#endif
