/*
 * What the platform publishes, as it stands there, by key. Facts from the
 * platform and from peers join by position: a later one wins whatever way and
 * in whatever order it came, so nothing ever moves back.
 *
 * When the platform comes back from an older copy of itself, a new epoch
 * begins. What was known before and is not in the copy is carried over: it was
 * acknowledged, and whoever wrote it writes it again. It ends when the new
 * epoch says something later of it, or has said nothing for long enough.
 */
#ifndef CB_DOCUMENTS_H
#define CB_DOCUMENTS_H

#include "position.h"

#define DOCUMENT_KEY_MAX_BYTES 200
#define DOCUMENTS_MAX 32768
/* Of larger values earlier ones are kept for a while, so that a peer which has
 * one of these is sent what changed. */
#define DOCUMENT_LARGE_BYTES 4096
/* A peer that is further behind, in a row of changes, is sent it whole. */
#define DOCUMENT_EARLIER_MAX 3

/**
 * struct document_value - a value that a document had
 * @since: since which position
 * @forget_ns: when it is forgotten
 * @bytes: value, owned
 * @size_bytes: its size
 */
struct document_value {
	struct position since;
	uint64_t forget_ns;
	uint8_t *bytes;
	uint32_t size_bytes;
};

/**
 * struct document - one key
 * @key: key
 * @epoch: epoch of its last change
 * @revision: revision of its last change
 * @created: revision of its creation
 * @outdated: position at which the platform has less than @value under the key,
 *	in a later epoch; of revision 0 for none
 * @deleted: it is gone; its last value is kept for late flows
 * @forget_ns: when a deleted one is forgotten
 * @seen: mark of the listing that named it last
 * @held: who is told of changes waits for another document first
 * @value: value, owned
 * @size_bytes: size of @value
 * @earlier: values before it, the latest first; NULL when it was never large
 */
struct document {
	char key[DOCUMENT_KEY_MAX_BYTES + 1];
	uint64_t epoch;
	uint64_t revision;
	uint64_t created;
	struct position outdated;
	bool deleted;
	uint64_t forget_ns;
	uint32_t seen;
	bool held;
	uint8_t *value;
	uint32_t size_bytes;
	struct document_value *earlier;
};

/**
 * enum document_origin - how a fact came
 * @DOCUMENT_CHANGED: as a change, or from a peer
 * @DOCUMENT_LISTED: in the listing under way; what a listing lacks is gone, so
 *	nothing else may count as listed
 */
enum document_origin { DOCUMENT_CHANGED, DOCUMENT_LISTED };

/**
 * struct documents_port - who is told of changes
 * @ctx: passed back
 * @changed: @d is new, changed or deleted. Return: whether it was taken; if not,
 *	documents_again() shows it once more
 * @compare: the order of @d and what is known under its key, by their contents:
 *	above 0 when @d is the later one, below 0 when it is the earlier one, 0
 *	when contents do not tell
 */
struct documents_port {
	void *ctx;
	bool (*changed)(void *ctx, const struct document *d);
	int (*compare)(void *ctx, const struct document *d);
};

/**
 * struct documents_times - how long what is kept
 * @deleted_ns: deleted documents
 * @carried_ns: what the platform lost, from the beginning of an epoch
 */
struct documents_times {
	uint64_t deleted_ns;
	uint64_t carried_ns;
};

struct documents;

struct documents *documents_new(struct documents_port port,
				struct documents_times times);
void documents_free(struct documents *s);
int documents_put(struct documents *s, const struct document *news,
		  enum document_origin origin, uint64_t now_ns);
void documents_again(struct documents *s);
void documents_list_begin(struct documents *s);
void documents_list_end(struct documents *s, struct position at,
			struct position floor, uint64_t now_ns);
void documents_covered(struct documents *s, struct position at,
		       uint64_t now_ns);
void documents_knows(struct documents *s, struct position newest);
void documents_began(struct documents *s, uint64_t epoch, uint64_t began_ns);
void documents_tick(struct documents *s, uint64_t now_ns);
struct position documents_known(const struct documents *s);
struct position documents_through(const struct documents *s);
struct position documents_newest(const struct documents *s);
struct position documents_floor(const struct documents *s);
uint64_t documents_began_ns(const struct documents *s);
uint64_t documents_changes(const struct documents *s);
uint64_t documents_carried(struct documents *s);
bool documents_is_carried(const struct documents *s, const struct document *d);
bool documents_lacks(const struct documents *s, struct position after,
		     const struct document *d);
bool documents_needs_all(const struct documents *s, struct position after);
const struct document *documents_at(const struct documents *s, uint32_t i);
uint32_t documents_count(const struct documents *s);
const struct document *documents_largest(const struct documents *s);
struct document_value documents_value(const struct documents *s,
				      uint64_t key_hash, struct position since);
struct document_value document_value(const struct document *d,
				     struct position since);

static inline struct position document_position(const struct document *d)
{
	return (struct position){ d->epoch, d->revision };
}

#endif
