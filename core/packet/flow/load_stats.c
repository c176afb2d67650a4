#include "load_stats.h"

#include "directory.h"
#include "route_table.h"

#include <stdlib.h>

struct load_stats {
	uint64_t counts[DIRECTORY_SERVICES_MAX][ROUTE_KINDS][LOAD_EVENT_COUNT];
};

const char *const load_event_names[LOAD_EVENT_COUNT] = {
#define X(name) #name,
	LOAD_EVENTS(X)
#undef X
};

/**
 * load_stats_new() - create counters, all 0
 *
 * Return: counters, to be freed with load_stats_free(), or NULL when out of
 * memory.
 */
struct load_stats *load_stats_new(void)
{
	return calloc(1, sizeof(struct load_stats));
}

void load_stats_free(struct load_stats *stats)
{
	free(stats);
}

/**
 * load_stats_count() - count an event
 * @stats: counters
 * @service: number of the service in the directory; others are ignored
 * @kind: enum route_kind
 * @event: what became of the request
 */
void load_stats_count(struct load_stats *stats, uint32_t service, uint8_t kind,
		      enum load_event event)
{
	if (service < DIRECTORY_SERVICES_MAX)
		stats->counts[service][kind][event]++;
}

/**
 * load_stats_get() - get a counter
 * @stats: counters
 * @service: number of the service in the directory
 * @kind: enum route_kind
 * @event: what became of the requests
 *
 * Return: number of such events since the start; 0 for an unknown service.
 */
uint64_t load_stats_get(const struct load_stats *stats, uint32_t service,
			uint8_t kind, enum load_event event)
{
	return service < DIRECTORY_SERVICES_MAX
		       ? stats->counts[service][kind][event]
		       : 0;
}
