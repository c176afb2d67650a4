/*
 * The two deployments of docs/design/load-parts.md at a tenth of their size.
 * Where the page gives no number, that of site_default() is used: the spread of
 * the work, the sizes of requests and of short answers, and retries.
 */
#include "site.h"

#include "route_table.h"

#include <stdio.h>

#define ZONES 3
#define TAIL_PERCENT 3
#define TAIL_FACTOR 7

enum demand_service { SERVICE_QUERY, SERVICE_DOWNLOAD };

static void add_service(struct site *s, const char *name,
			uint32_t targets_per_zone)
{
	struct site_service *v = &s->services[s->n_services++];

	*v = (struct site_service){
		.slots = 2,
		.queue = 8,
		.connections = 2000,
		.cold_ns = 2 * NS_PER_S,
		.cold_percent = 160,
		.idle_close_ns = 12 * NS_PER_S,
	};
	snprintf(v->name, sizeof(v->name), "%s", name);
	for (uint32_t z = 0; z < ZONES; z++)
		v->targets[z] = targets_per_zone;
}

static void add_zones(struct site *s, const uint32_t entries[ZONES],
		      uint32_t users)
{
	s->n_zones = ZONES;
	for (uint32_t z = 0; z < ZONES; z++) {
		snprintf(s->zones[z].name, sizeof(s->zones[z].name), "zone%u",
			 z);
		s->zones[z].entries = entries[z];
		s->zones[z].users = users;
	}
}

/* @per_s is the rate of all data centres together. */
static void add_class(struct site *s, const struct site_class *c, double per_s)
{
	for (uint32_t z = 0; z < ZONES; z++)
		s->zones[z].per_s[s->n_classes] = per_s / ZONES;
	s->classes[s->n_classes++] = *c;
}

static void begin_site(struct site *s, const char *name)
{
	*s = (struct site){
		.same_dc_delay_ns = 200 * NS_PER_US,
		.other_dc_delay_ns = 900 * NS_PER_US,
	};
	snprintf(s->name, sizeof(s->name), "%s", name);
	add_service(s, "query", 4);
	add_service(s, "download", 1);
}

/**
 * site_one_request_flows() - describe deployment Y at a tenth of its size
 * @s: receives the description
 *
 * Queries, check-ins and logs (downloads) with one request per flow.
 */
void site_one_request_flows(struct site *s)
{
	static const uint32_t entries[ZONES] = { 3, 3, 2 };
	static const struct site_class query = {
		.name = "query",
		.service = SERVICE_QUERY,
		.kind = ROUTE_FEED,
		.priority = 2,
		.work_ns = { 40 * NS_PER_MS, 50, 240 * NS_PER_MS },
		.request_bytes = { 200, 0, 0 },
		.answer_bytes = { 2000, 60, 12000 },
		.objective_ns = 300 * NS_PER_MS,
		.deadline_ns = 2500 * NS_PER_MS,
		.value = 1,
		.late_value = 0.3,
		.retries = 2,
	};
	static const struct site_class check_in = {
		.name = "check-in",
		.service = SERVICE_QUERY,
		.kind = ROUTE_REPORT,
		.priority = 1,
		.work_ns = { 52 * NS_PER_MS, 50, 312 * NS_PER_MS },
		.request_bytes = { 900, 50, 5400 },
		.answer_bytes = { 600, 50, 3600 },
		.objective_ns = 400 * NS_PER_MS,
		.deadline_ns = 3 * NS_PER_S,
		.value = 2,
		.late_value = 0.6,
		.retries = 2,
	};
	static const struct site_class log = {
		.name = "log",
		.service = SERVICE_DOWNLOAD,
		.kind = ROUTE_DOWNLOAD,
		.priority = 2,
		.work_ns = { 5 * NS_PER_MS, 50, 30 * NS_PER_MS },
		.request_bytes = { 200, 0, 0 },
		.answer_bytes = { 20000, 70, 120000 },
		.objective_ns = 800 * NS_PER_MS,
		.deadline_ns = 6 * NS_PER_S,
		.value = 1,
		.late_value = 0.3,
		.retries = 2,
	};

	begin_site(s, "one-request-flows");
	s->client_delay_ns = 3 * NS_PER_MS;
	add_zones(s, entries, 0);
	add_class(s, &query, 98.4);
	add_class(s, &check_in, 48.7);
	add_class(s, &log, 8.43);
}

static void add_waves(struct site *s)
{
	for (uint32_t z = 0; z < ZONES; z++) {
		s->zones[z].amplitude = 0.55;
		s->zones[z].period_ns = 60 * NS_PER_S;
		s->zones[z].phase = (double)z / ZONES;
	}
}

/**
 * site_long_flows() - describe deployment R at a tenth of its size
 * @s: receives the description
 *
 * Feeds and applications with many requests per flow, and exports (downloads)
 * with one. A tenth of the feeds goes to the download service.
 */
void site_long_flows(struct site *s)
{
	static const uint32_t entries[ZONES] = { 2, 1, 1 };
	static const struct site_class feed = {
		.name = "feed",
		.service = SERVICE_QUERY,
		.kind = ROUTE_FEED,
		.priority = 2,
		.work_ns = { 47 * NS_PER_MS, 50, 282 * NS_PER_MS },
		.request_bytes = { 200, 0, 0 },
		.answer_bytes = { 2000, 60, 12000 },
		.objective_ns = 400 * NS_PER_MS,
		.deadline_ns = 2 * NS_PER_S,
		.value = 1,
		.late_value = 0.3,
		.retries = 2,
		.long_flows = true,
		.other_percent = 10,
		.other_service = SERVICE_DOWNLOAD,
		.tail_percent = TAIL_PERCENT,
		.tail_factor = TAIL_FACTOR,
	};
	static const struct site_class application = {
		.name = "application",
		.service = SERVICE_QUERY,
		.kind = ROUTE_REPORT,
		.priority = 1,
		.work_ns = { 61 * NS_PER_MS, 50, 366 * NS_PER_MS },
		.request_bytes = { 900, 50, 5400 },
		.answer_bytes = { 600, 50, 3600 },
		.objective_ns = 400 * NS_PER_MS,
		.deadline_ns = 2500 * NS_PER_MS,
		.value = 2,
		.late_value = 0.6,
		.retries = 2,
		.long_flows = true,
		.tail_percent = TAIL_PERCENT,
		.tail_factor = TAIL_FACTOR,
	};
	static const struct site_class export = {
		.name = "export",
		.service = SERVICE_DOWNLOAD,
		.kind = ROUTE_DOWNLOAD,
		.priority = 2,
		.work_ns = { 4200 * NS_PER_US, 50, 25200 * NS_PER_US },
		.request_bytes = { 200, 0, 0 },
		.answer_bytes = { 20000, 70, 120000 },
		.objective_ns = 800 * NS_PER_MS,
		.deadline_ns = 4 * NS_PER_S,
		.value = 1,
		.late_value = 0.3,
		.retries = 2,
		.tail_percent = TAIL_PERCENT,
		.tail_factor = TAIL_FACTOR,
	};

	begin_site(s, "long-flows");
	s->client_delay_ns = NS_PER_MS;
	add_zones(s, entries, 40);
	add_waves(s);
	add_class(s, &feed, 115.5);
	add_class(s, &application, 33);
	add_class(s, &export, 9.9);
}
