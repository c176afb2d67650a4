/* A target of an opaque-packet service and what this entry knows about it. */
#ifndef CB_TARGET_H
#define CB_TARGET_H

#include "position.h"

/**
 * enum target_stage - state of a target as published on the platform
 * @TARGET_SERVING: takes new flows
 * @TARGET_LEAVING: keeps its flows, takes no new ones
 * @TARGET_ABSENT: has no record on the platform any more
 */
enum target_stage { TARGET_SERVING, TARGET_LEAVING, TARGET_ABSENT };

/**
 * enum target_health - state of a target as seen from packets and probes
 * @HEALTH_GOOD: no sign of a failure
 * @HEALTH_SUSPECTED: a packet was not answered, a probe is pending
 * @HEALTH_SILENT: probes time out: the target is paused, partitioned or without
 *	power
 * @HEALTH_DEAD: its process has ended; another one may start under its id
 *
 * Ordered from best to worst: assign_target() ranks targets by it, and a target
 * is probed periodically from HEALTH_SILENT on.
 */
enum target_health {
	HEALTH_GOOD,
	HEALTH_SUSPECTED,
	HEALTH_SILENT,
	HEALTH_DEAD
};

/**
 * struct incarnation - one process of a target
 * @id: id of the target; the next process may have the same
 * @started_ms: start of the process, Unix time in milliseconds by the target's
 *	clock; 0 when not published. Comparable only with starts of the same
 *	target or address.
 */
struct incarnation {
	uint64_t id;
	uint64_t started_ms;
};

/**
 * struct target_advertisement - a target's record on the platform
 * @id: id of the target
 * @started_ms: start of its process, as in struct incarnation
 * @sequence: number of this version among those that the process wrote
 * @key_hash: hash of the record's key
 * @addr: address and port
 * @service: number of its service, see directory_find_service()
 * @zone: hash of its data centre's name
 * @slots: requests that it runs concurrently
 * @cold_ms: remaining time in which it serves slowly after its start,
 *	milliseconds
 * @leaving: takes no new flows
 * @created: position at which the record was created; orders creations the same
 *	way at every reader
 */
struct target_advertisement {
	uint64_t id;
	uint64_t started_ms;
	uint64_t sequence;
	uint64_t key_hash;
	uint64_t addr;
	uint32_t service;
	uint32_t zone;
	uint16_t slots;
	uint32_t cold_ms;
	bool leaving;
	struct position created;
};

/**
 * struct target - one target
 * @advertised: its latest record on the platform
 * @cookie: routing cookie of its flows
 * @stage: enum target_stage
 * @absent_ns: when its record disappeared; valid when @stage is TARGET_ABSENT
 * @presumed_alive: its record disappeared during a platform outage, so it
 *	probably lapsed while the target lives
 * @presumed_until_ns: @presumed_alive ends when the platform answers after this
 * @forget_ns: when an absent target may be deleted
 * @health: enum target_health
 * @last_alive_ns: latest proof that its process lives
 * @successor_ns: when a later process at its address was published; 0 for never
 * @leaving_refused_ns: when it first refused a connection after it began to
 *	leave; 0 for never
 * @next_probe_ns: earliest time of the next probe
 * @probe_pending: a probe was sent and has no outcome yet
 * @probe_sent_ns: when the latest probe was sent
 * @probe_misses: consecutive probes without an answer
 * @cached_flows: flows in the flow cache that refer to it, closed ones included
 * @flows: of @cached_flows, those that are open or opening
 * @openings: of @flows, those that are opening, or opened shortly ago and have
 *	not sent a request; not those whose handshake or request is overdue
 * @feeds: of @flows, the long ones (struct flow_state's is_long)
 * @busy: flows with a request in progress
 * @busy_short: of @busy, those of short flows
 * @running: of @busy, those whose request was sent to the target and is neither
 *	answered nor overdue; the others are queued at this entry or presumed
 *	lost
 * @queue_head: latest of its requests that are queued at this entry, 0 for
 *	none, see struct wait_queue
 * @short_mean: @busy_short, averaged over LOAD_WINDOW_NS
 * @running_mean: @running, averaged over struct policy's running_window_ns
 * @means_updated_ns: when the two means were last updated
 * @peers_feeds: sum of the peers' @feeds
 * @peers_short: sum of the peers' @short_mean
 * @peers_running: sum of the peers' @running_mean
 * @failures: failed requests seen by this entry, decaying over time
 * @failures_updated_ns: when @failures was last updated
 * @peers_failures: sum of the peers' @failures
 * @ejected_until_ns: gets no new flows until then because of its failures; 0
 *	when it was never ejected
 * @ejections: consecutive ejections after the first one
 * @avoided_ns: when its process was last seen to end, it was last suspicious, or
 *	its last ejection was over; 0 for never
 * @avoidances: consecutive times that it was avoided after the first
 * @avoid_until_ns: gets no requests that may not be repeated until then, unless
 *	others have no free slot
 * @unanswered: consecutive openings that it left unanswered, or
 *	TRACK_UNANSWERED_MIN when only a connection attempt has shown it alive
 *	since its end
 * @trial_ns: with that many unanswered, when it may be tried with another
 *	opening
 * @slowness: excess of its service time over the mean of its service, as a part
 *	of that mean, decaying over time
 * @slowness_updated_ns: when @slowness was last updated
 * @cold_until_ns: end of the period after its start in which it serves slowly
 * @cold_presumed: that period was inferred from a recovery; its record does not
 *	have it
 * @has_cold_permit: this entry may open flows at it while it is cold
 * @cold_credit: flows that this entry may open there now
 * @cold_credit_ns: when @cold_credit was last updated
 * @recovered_ns: when it answered again after HEALTH_SILENT or HEALTH_DEAD; 0
 *	for never. It may be a new process.
 * @next_same_cookie: next target in the list of those with the same cookie,
 *	sorted oldest first
 * @index: its index in the directory
 */
struct target {
	struct target_advertisement advertised;
	uint32_t cookie;
	uint8_t stage;
	uint64_t absent_ns;
	bool presumed_alive;
	uint64_t presumed_until_ns;
	uint64_t forget_ns;
	uint8_t health;
	uint64_t last_alive_ns;
	uint64_t successor_ns;
	uint64_t leaving_refused_ns;
	uint64_t next_probe_ns;
	bool probe_pending;
	uint64_t probe_sent_ns;
	uint8_t probe_misses;
	uint32_t cached_flows;
	uint32_t flows;
	uint32_t openings;
	uint32_t feeds;
	uint32_t busy;
	uint32_t busy_short;
	uint32_t running;
	uint32_t queue_head;
	float short_mean;
	float running_mean;
	uint64_t means_updated_ns;
	float peers_feeds;
	float peers_short;
	float peers_running;
	float failures;
	uint64_t failures_updated_ns;
	float peers_failures;
	uint64_t ejected_until_ns;
	uint8_t ejections;
	uint64_t avoided_ns;
	uint8_t avoidances;
	uint64_t avoid_until_ns;
	uint8_t unanswered;
	uint64_t trial_ns;
	float slowness;
	uint64_t slowness_updated_ns;
	uint64_t cold_until_ns;
	bool cold_presumed;
	bool has_cold_permit;
	float cold_credit;
	uint64_t cold_credit_ns;
	uint64_t recovered_ns;
	struct target *next_same_cookie;
	uint32_t index;
};

/* Slots by which a load is divided; 1 for a record without slots. */
static inline float target_slots(const struct target *t)
{
	return t->advertised.slots ? t->advertised.slots : 1;
}

static inline struct incarnation target_incarnation(const struct target *t)
{
	return (struct incarnation){ t->advertised.id,
				     t->advertised.started_ms };
}

#endif
