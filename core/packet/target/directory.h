/*
 * Targets known to this entry, by id, cookie and service, and the routes in
 * force. An older version of either never replaces a newer one.
 */
#ifndef CB_DIRECTORY_H
#define CB_DIRECTORY_H

#include "evacuations.h"
#include "route_table.h"
#include "target.h"

/*
 * Capacity for targets, absent ones that still have flows included: 130,000
 * targets in 24 data centres, the size expected in two years, and the targets
 * replaced within 60 s.
 */
#define DIRECTORY_TARGETS_MAX 16384
#define DIRECTORY_SERVICES_MAX 4096
#define DIRECTORY_SERVICE_NONE UINT32_MAX

struct directory;

/**
 * struct directory_conf - settings of a directory
 * @flow_lifetime_ns: maximum lifetime of an open flow
 * @recovery_ns: time after a platform outage within which live targets have
 *	renewed records that lapsed during it
 */
struct directory_conf {
	uint64_t flow_lifetime_ns;
	uint64_t recovery_ns;
};

struct directory *directory_new(const struct directory_conf *conf);
void directory_free(struct directory *d);

uint32_t directory_find_service(const struct directory *d, const char *name);
uint32_t directory_add_service(struct directory *d, const char *name);
uint32_t directory_service_count(const struct directory *d);
const char *directory_service_name(const struct directory *d, uint32_t service);

int directory_set_routes(struct directory *d, struct route_table *routes,
			 uint64_t now_ns);
const struct route_table *directory_route_table(const struct directory *d);
int directory_set_evacuated(struct directory *d, const char *data_centre,
			    bool evacuated);
const struct evacuations *directory_evacuations(const struct directory *d);
struct service_cold directory_cold_limits(const struct directory *d,
					  uint32_t service);
bool directory_has_cold_limits(const struct directory *d);
bool directory_is_evacuated(const struct directory *d, const struct target *t);

/**
 * enum target_change - effect of an advertisement on the directory
 * @TARGET_NEW: added an unknown target
 * @TARGET_UPDATED: updated a known process of a target
 * @TARGET_RESTARTED: replaced a process by the next one with the same id
 * @TARGET_NO_CAPACITY: rejected, the directory is full or out of memory
 * @TARGET_OUTDATED: rejected, older than the known advertisement
 * @TARGET_ID_CONFLICT: rejected, a record under another key has this id
 *
 * The rejections are the last values, from TARGET_NO_CAPACITY on.
 */
enum target_change {
	TARGET_NEW,
	TARGET_UPDATED,
	TARGET_RESTARTED,
	TARGET_NO_CAPACITY,
	TARGET_OUTDATED,
	TARGET_ID_CONFLICT,
};

struct target *directory_update_target(struct directory *d,
				       const struct target_advertisement *a,
				       uint64_t now_ns,
				       enum target_change *change);
int directory_compare_advertisement(const struct directory *d,
				    const struct target_advertisement *a);
struct target *directory_mark_absent(struct directory *d,
				     const struct target_advertisement *a,
				     uint64_t now_ns,
				     uint64_t platform_failed_ns);

/**
 * struct directory_tick_times - input of directory_tick()
 * @now_ns: current time
 * @platform_failed_ns: when the platform last failed to answer; 0 for never
 * @platform_answered_ns: when the platform last answered this entry or a live
 *	peer
 */
struct directory_tick_times {
	uint64_t now_ns;
	uint64_t platform_failed_ns;
	uint64_t platform_answered_ns;
};

void directory_tick(struct directory *d,
		    const struct directory_tick_times *times);
bool directory_start_times_published(const struct directory *d);
bool directory_is_serving(const struct directory *d, const struct target *t);

struct target *directory_by_cookie(const struct directory *d, uint32_t cookie);
struct target *directory_by_id(const struct directory *d, uint64_t id);
struct target *directory_target_at(const struct directory *d, uint32_t index);
uint32_t directory_target_count(const struct directory *d);
uint32_t directory_service_targets(const struct directory *d, uint32_t service,
				   struct target *const **targets);
uint32_t target_cookie(uint64_t id);

#endif
