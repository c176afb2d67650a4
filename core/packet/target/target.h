/* One target of an opaque-packet service, and what this entry knows of it. */
#ifndef CB_TARGET_H
#define CB_TARGET_H

#include "position.h"

/**
 * enum target_stage - what was published of a target
 * @TARGET_SERVING: takes new flows
 * @TARGET_LEAVING: keeps its flows, takes no new ones
 * @TARGET_ABSENT: its entry is gone from the platform
 */
enum target_stage { TARGET_SERVING, TARGET_LEAVING, TARGET_ABSENT };

/**
 * enum target_health - what packets and probes say of a target
 * @HEALTH_GOOD: nothing speaks against it
 * @HEALTH_DOUBTED: a packet went unanswered, a probe is out
 * @HEALTH_SILENT: probes go unanswered: paused, cut off or without power
 * @HEALTH_DEAD: its process has ended; another may start under its id
 */
enum target_health { HEALTH_GOOD, HEALTH_DOUBTED, HEALTH_SILENT, HEALTH_DEAD };

/**
 * struct incarnation - one process of a target
 * @id: the target's id; the next process may have the same
 * @started_ms: its start, Unix milliseconds by its own clock; 0 when it is not
 *	told. Compared only with starts of the same target or address.
 */
struct incarnation {
	uint64_t id;
	uint64_t started_ms;
};

/**
 * struct target_news - what the platform's entry of a target says
 * @id: target's id
 * @started_ms: start of its process, as in struct incarnation
 * @sequence: number of the entry among those of this process
 * @entry: hash of the key that the entry stands under
 * @addr: address and port
 * @service: number of its service's name
 * @zone: hash of its data centre's name
 * @slots: requests it runs at once
 * @cold_ms: how much longer it is slow after its start
 * @leaving: takes no new flows
 * @created: position of the entry's creation; what is created later is later
 *	at every reader
 */
struct target_news {
	uint64_t id;
	uint64_t started_ms;
	uint64_t sequence;
	uint64_t entry;
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
 * @news: what was published last
 * @cookie: routing cookie of its flows
 * @stage: enum target_stage
 * @absent_ns: when its entry vanished; valid when @stage is TARGET_ABSENT
 * @presumed: its entry vanished while the platform was in trouble: it counts
 *	as lapsed, not as gone
 * @presumed_until_ns: an answer of the platform after this ends that
 * @forget_ns: when an absent one is forgotten
 * @health: enum target_health
 * @alive_ns: last sign of life
 * @successor_ns: when a later process at its address was published; 0 for never
 * @refused_ns: when it first refused a connection while it was leaving; 0 for
 *	not
 * @probe_ns: earliest time of the next probe
 * @probing: a probe is out
 * @probed_ns: when it, or the last one, went out
 * @misses: probes in a row without an answer
 * @held: flows of the cache that point here, closed ones too
 * @flows: of them, open or opening
 * @feeds: of these, feeds
 * @busy: flows with a request in progress
 * @busy_short: of these, no feeds
 * @running: of @busy, those that went to it and are neither answered nor
 *	overdue; the rest wait here, or are taken for lost
 * @waiting: where the latest of those that wait here is, see struct wait_queue
 * @short_mean: @busy_short, averaged over LOAD_WINDOW_NS
 * @mean_ns: when the means were brought up to date
 * @peers_feeds: sum of the peers' @feeds
 * @running_mean: @running, averaged over struct policy's running_window_ns
 * @peers_short: sum of the peers' @short_mean
 * @peers_running: sum of the peers' @running_mean
 * @failures: requests that failed of late, as seen here
 * @failures_ns: when @failures was brought up to date
 * @peers_failures: sum of the peers' @failures
 * @ejected_until_ns: gets no new flows until then, for its failures
 * @ejections: how often in a row it was ejected, less one
 * @cold_until_ns: it has started lately, and is slow until then
 * @cold_presumed: what it published last says nothing of that
 * @cold_seat: this entry may open flows there all the same
 * @cold_credit: so many
 * @credit_ns: when @cold_credit was brought up to date
 * @returned_ns: when it answered again after it was taken for silent or dead;
 *	0 for never. It may have started anew.
 * @twin: next target with this cookie, oldest first
 * @slot: its index in the directory
 */
struct target {
	struct target_news news;
	uint32_t cookie;
	uint8_t stage;
	uint64_t absent_ns;
	bool presumed;
	uint64_t presumed_until_ns;
	uint64_t forget_ns;
	uint8_t health;
	uint64_t alive_ns;
	uint64_t successor_ns;
	uint64_t refused_ns;
	uint64_t probe_ns;
	bool probing;
	uint64_t probed_ns;
	uint8_t misses;
	uint32_t held;
	uint32_t flows;
	uint32_t feeds;
	uint32_t busy;
	uint32_t busy_short;
	uint32_t running;
	uint32_t waiting;
	float short_mean;
	float running_mean;
	uint64_t mean_ns;
	float peers_feeds;
	float peers_short;
	float peers_running;
	float failures;
	uint64_t failures_ns;
	float peers_failures;
	uint64_t ejected_until_ns;
	uint8_t ejections;
	uint64_t cold_until_ns;
	bool cold_presumed;
	bool cold_seat;
	float cold_credit;
	uint64_t credit_ns;
	uint64_t returned_ns;
	struct target *twin;
	uint32_t slot;
};

static inline struct incarnation target_incarnation(const struct target *t)
{
	return (struct incarnation){ t->news.id, t->news.started_ms };
}

#endif
