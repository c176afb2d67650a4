/*
 * Targets known to this entry, by cookie and by service, and the routes in
 * force. Both only move forward.
 */
#ifndef CB_DIRECTORY_H
#define CB_DIRECTORY_H

#include "evacuations.h"
#include "route_table.h"
#include "target.h"

/* Targets known at once, departed ones counted: two years' size is 130,000
 * targets in 24 data centres, and 60 s of replacements. */
#define DIRECTORY_TARGETS_MAX 16384
#define DIRECTORY_SERVICES_MAX 4096
#define DIRECTORY_NAME_NONE UINT32_MAX

struct directory;

/**
 * struct directory_conf - settings of a directory
 * @flow_lifetime_ns: an open flow lives no longer
 * @return_ns: entries that lapsed while the platform was away are back within
 *	this time of its return
 */
struct directory_conf {
	uint64_t flow_lifetime_ns;
	uint64_t return_ns;
};

struct directory *directory_new(const struct directory_conf *conf);
void directory_free(struct directory *d);

uint32_t directory_known(const struct directory *d, const char *name);
uint32_t directory_name(struct directory *d, const char *name);
uint32_t directory_names(const struct directory *d);
const char *directory_name_text(const struct directory *d, uint32_t name);

int directory_routes(struct directory *d, struct route_table *take,
		     uint64_t now_ns);
const struct route_table *directory_table(const struct directory *d);
int directory_evacuate(struct directory *d, const char *data_centre, bool on);
const struct evacuations *directory_evacuations(const struct directory *d);
struct service_cold directory_cold(const struct directory *d, uint32_t service);
bool directory_any_cold(const struct directory *d);
bool directory_evacuated(const struct directory *d, const struct target *t);

/**
 * enum target_change - what an entry meant
 * @TARGET_NEW: an unknown target
 * @TARGET_UPDATED: more of the process that is known
 * @TARGET_RESTARTED: the next process under the same id
 * @TARGET_NO_ROOM: not taken, there are too many
 * @TARGET_OUTDATED: not taken, older than what is known
 * @TARGET_FOREIGN: not taken, another key has this id
 */
enum target_change {
	TARGET_NEW,
	TARGET_UPDATED,
	TARGET_RESTARTED,
	TARGET_NO_ROOM,
	TARGET_OUTDATED,
	TARGET_FOREIGN,
};

struct target *directory_target(struct directory *d,
				const struct target_news *news, uint64_t now_ns,
				enum target_change *change);
int directory_compare(const struct directory *d,
		      const struct target_news *news);
struct target *directory_absent(struct directory *d,
				const struct target_news *news, uint64_t now_ns,
				uint64_t trouble_ns);

/**
 * struct directory_clock - what the end of a presumption goes by
 * @now_ns: time
 * @trouble_ns: when the platform was last seen in trouble; 0 for never
 * @contact_ns: when the platform last answered, here or at a live peer
 */
struct directory_clock {
	uint64_t now_ns;
	uint64_t trouble_ns;
	uint64_t contact_ns;
};

void directory_tick(struct directory *d, const struct directory_clock *c);
bool directory_starts_told(const struct directory *d);
bool directory_serving(const struct directory *d, const struct target *t);

struct target *directory_by_cookie(const struct directory *d, uint32_t cookie);
struct target *directory_by_id(const struct directory *d, uint64_t id);
struct target *directory_slot(const struct directory *d, uint32_t slot);
uint32_t directory_slots(const struct directory *d);
uint32_t directory_of_service(const struct directory *d, uint32_t service,
			      struct target *const **out);
uint32_t target_cookie(uint64_t id);

#endif
