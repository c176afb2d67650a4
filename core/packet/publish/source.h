/*
 * When this VM reads the platform, and how: one full listing, then watches for
 * changes. In each data centre one VM reads as long as the platform answers it;
 * when it does not, the others take over in the order of their rank.
 */
#ifndef CB_SOURCE_H
#define CB_SOURCE_H

#include "policy.h"

/**
 * enum source_step - what to do next
 * @SOURCE_WAIT: make no call
 * @SOURCE_LIST: ask for a page of a full listing
 * @SOURCE_WATCH: ask for changes
 */
enum source_step { SOURCE_WAIT, SOURCE_LIST, SOURCE_WATCH };

/**
 * enum source_outcome - how a call ended
 * @SOURCE_OK: the answer was processed
 * @SOURCE_FAILED: no answer, or an error status
 * @SOURCE_UNREADABLE: the answer is too large or malformed, or to a watch and
 *	cut off. Asking again would not help: the answer to a watch only grows.
 * @SOURCE_GONE: the platform no longer has the history asked for; list again
 * @SOURCE_DEFERRED: the request was not sent, see source_may_send()
 */
enum source_outcome {
	SOURCE_OK,
	SOURCE_FAILED,
	SOURCE_UNREADABLE,
	SOURCE_GONE,
	SOURCE_DEFERRED
};

/**
 * struct source_view - input of the decisions
 * @policy: limits and switches
 * @now_ns: current time
 * @rank: rank of this VM among the live ones of its data centre, from 0
 * @complete: revision up to which every change is known, after which a watch
 *	asks; 0 before the first listing
 * @synced: the same, of an answer that was not stale; 0 before the first one.
 *	Less than @complete after a listing that may be stale.
 * @others_contact_ns: when the platform last answered another VM of the data
 *	centre
 * @live_peers: number of live peers
 * @readers_before: number of data centres with a reader that precede this one
 * @fetching: a call to a peer with newer documents is in progress
 * @fetch_failures: consecutive calls to such peers that failed
 * @random: random number, different at each VM
 */
struct source_view {
	const struct policy *policy;
	uint64_t now_ns;
	uint32_t rank;
	uint64_t complete;
	uint64_t synced;
	uint64_t others_contact_ns;
	uint32_t live_peers;
	uint32_t readers_before;
	bool fetching;
	uint32_t fetch_failures;
	uint64_t random;
};

/**
 * struct source - state of the reads
 * @start_ns: start of this process
 * @next_ns: earliest time of the next call
 * @calling: a call is in progress
 * @listing: a listing is in progress
 * @relist: the next call begins a new listing
 * @exact: no page of a listing may be stale; otherwise only its first page may
 *	not
 * @transfer_ns: time between the first and the last byte of the last answer
 * @failures: consecutive calls that failed or had an unreadable answer
 * @gone_count: calls with outcome SOURCE_GONE since a watch was answered
 * @deferrals: calls with outcome SOURCE_DEFERRED
 */
struct source {
	uint64_t start_ns;
	uint64_t next_ns;
	bool calling;
	bool listing;
	bool relist;
	bool exact;
	uint64_t transfer_ns;
	uint32_t failures;
	uint32_t gone_count;
	uint32_t deferrals;
};

/* Longest wait of a watch. It limits how long a lost connection can hide a
 * change, which has to be in force everywhere within 3 s. */
#define SOURCE_WATCH_WAIT_MS 2000
/* A reader that uses watches is answered at least this often. */
#define SOURCE_CONTACT_NS ((SOURCE_WATCH_WAIT_MS + 400) * NS_PER_MS)

enum source_step source_next(const struct source *source,
			     const struct source_view *view);
uint64_t source_watch_wait_ns(const struct source_view *view);
void source_begin(struct source *source, enum source_step step);
bool source_may_send(const struct source *source,
		     const struct source_view *view, uint64_t connect_ns);
void source_cancel_listing(struct source *source);
void source_end(struct source *source, enum source_outcome outcome,
		bool has_more, bool changed, const struct source_view *view);

#endif
