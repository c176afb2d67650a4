/*
 * When this VM reads the platform, and what: everything once, then changes as
 * they come. In each data centre one VM reads while it is answered; the others
 * stand in by rank when it is not.
 */
#ifndef CB_SOURCE_H
#define CB_SOURCE_H

#include "policy.h"

enum source_step { SOURCE_WAIT, SOURCE_LIST, SOURCE_WATCH };

/**
 * enum source_outcome - how a call ended
 * @SOURCE_OK: answered and taken
 * @SOURCE_FAILED: no answer, refused, or not understood
 * @SOURCE_BEHIND: the history asked for is gone: list again
 * @SOURCE_BUSY: not asked, since source_connected() said so
 */
enum source_outcome { SOURCE_OK, SOURCE_FAILED, SOURCE_BEHIND, SOURCE_BUSY };

/**
 * struct source_view - what the decision goes by
 * @policy: figures to go by
 * @now_ns: time
 * @rank: place among the live VMs of the data centre
 * @known: revision after which changes are to be asked for, 0 before the first
 *	listing
 * @through: revision up to which everything was known when the platform was
 *	asked last, 0 for nothing; less than @known after a listing that may be
 *	old
 * @others_ns: when the platform last answered another VM of the data centre
 * @peers: live VMs known
 * @readers_before: data centres that read and come before this one
 * @fetching: a peer that knows more is being asked
 * @chance: a random number, another one for each VM
 */
struct source_view {
	const struct policy *policy;
	uint64_t now_ns;
	uint32_t rank;
	uint64_t known;
	uint64_t through;
	uint64_t others_ns;
	uint32_t peers;
	uint32_t readers_before;
	bool fetching;
	uint64_t chance;
};

/**
 * struct source - state
 * @start_ns: when this process began
 * @next_ns: no call before this
 * @calling: a call is under way
 * @listing: pages are being read
 * @relist: the next call has to list
 * @exact: all pages of a listing have to be of this moment, not only its first
 * @came_ns: time that the last answer took from its first byte to its last
 * @failures: calls in a row that failed
 * @behind: times that the history was gone since a watch was answered
 * @gave_way: times that a first listing was put off for others
 */
struct source {
	uint64_t start_ns;
	uint64_t next_ns;
	bool calling;
	bool listing;
	bool relist;
	bool exact;
	uint64_t came_ns;
	uint32_t failures;
	uint32_t behind;
	uint32_t gave_way;
};

/* Longest wait of a watch. It bounds how long a watch that went silent hides
 * a change, which has to be in force everywhere in 3 s. */
#define SOURCE_WATCH_MS 2000
/* A reader that waits in a watch is answered at least this often. */
#define SOURCE_CONTACT_NS ((SOURCE_WATCH_MS + 400) * NS_PER_MS)

enum source_step source_next(const struct source *s,
			     const struct source_view *v);
uint64_t source_wait_ns(const struct source_view *v);
void source_begin(struct source *s, enum source_step step);
bool source_connected(const struct source *s, const struct source_view *v,
		      uint64_t took_ns);
void source_needless(struct source *s);
void source_end(struct source *s, enum source_outcome outcome, bool more,
		bool changed, const struct source_view *v);

#endif
