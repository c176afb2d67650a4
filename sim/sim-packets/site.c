#include "site.h"

#include "route_table.h"

#include <stdio.h>

static void add_default_service(struct site *s, const char *name,
				uint32_t targets)
{
	struct site_service *v = &s->services[s->n_services++];

	*v = (struct site_service){
		.slots = 3,
		.queue = 12,
		.connections = 2000,
		.cold_ns = 2 * NS_PER_S,
		.cold_percent = 160,
		.idle_close_ns = 12 * NS_PER_S,
	};
	snprintf(v->name, sizeof(v->name), "%s", name);
	for (uint32_t z = 0; z < s->n_zones; z++)
		v->targets[z] = targets;
}

static void add_default_zones(struct site *s, const struct site_size *size)
{
	for (uint32_t z = 0; z < s->n_zones; z++) {
		struct site_zone *v = &s->zones[z];

		snprintf(v->name, sizeof(v->name), "zone%u", z);
		v->entries = size->entries;
		v->users = size->users;
		v->per_s[0] = size->feeds_per_s;
		v->per_s[1] = size->reports_per_s;
	}
}

/**
 * site_default() - describe the deployment that the tests use
 * @s: receives the description
 * @size: number of data centres, entries and targets, and rates
 *
 * Clients send feeds and reports to one service. A second service has one
 * target in each data centre and gets no requests.
 */
void site_default(struct site *s, const struct site_size *size)
{
	static const struct site_class classes[] = {
		{
			.name = "feed",
			.kind = ROUTE_FEED,
			.priority = 2,
			.work_ns = { 55 * NS_PER_MS, 50, 330 * NS_PER_MS },
			.request_bytes = { 200, 0, 0 },
			.answer_bytes = { 2000, 60, 12000 },
			.objective_ns = 250 * NS_PER_MS,
			.deadline_ns = 2500 * NS_PER_MS,
			.value = 1,
			.late_value = 0.1,
			.retries = 2,
			.long_flows = true,
		},
		{
			.name = "report",
			.kind = ROUTE_REPORT,
			.priority = 1,
			.work_ns = { 72 * NS_PER_MS, 50, 430 * NS_PER_MS },
			.request_bytes = { 900, 50, 5400 },
			.answer_bytes = { 600, 50, 3600 },
			.objective_ns = 300 * NS_PER_MS,
			.deadline_ns = 3 * NS_PER_S,
			.value = 2,
			.late_value = 0.2,
			.retries = 2,
		},
	};

	*s = (struct site){
		.n_zones = size->zones,
		.same_dc_delay_ns = 200 * NS_PER_US,
		.other_dc_delay_ns = NS_PER_MS,
		.client_delay_ns = NS_PER_MS,
	};
	snprintf(s->name, sizeof(s->name), "plain");
	add_default_zones(s, size);
	add_default_service(s, "main", size->targets);
	add_default_service(s, "other", 1);
	for (uint32_t i = 0; i < sizeof(classes) / sizeof(classes[0]); i++)
		s->classes[s->n_classes++] = classes[i];
}
