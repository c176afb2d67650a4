/*
 * What the platform publishes, as it stands there, by key. Facts from the
 * platform and from peers join by revision: a newer one wins whatever way and
 * in whatever order it came, so nothing ever moves back.
 */
#ifndef CB_DOCUMENTS_H
#define CB_DOCUMENTS_H

#include "types.h"

#define DOCUMENT_KEY_MAX_BYTES 200
#define DOCUMENTS_MAX 32768
/* Of larger values earlier ones are kept for a while, so that a peer which has
 * one of these is sent what changed. */
#define DOCUMENT_LARGE_BYTES 4096
/* A peer that is further behind, in a row of changes, is sent it whole. */
#define DOCUMENT_EARLIER_MAX 3

/**
 * struct document_value - a value that a document had
 * @revision: since which revision
 * @forget_ns: when it is forgotten
 * @bytes: value, owned
 * @size_bytes: its size
 */
struct document_value {
	uint64_t revision;
	uint64_t forget_ns;
	uint8_t *bytes;
	uint32_t size_bytes;
};

/**
 * struct document - one key
 * @key: key
 * @revision: revision of its last change
 * @created: revision of its creation
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
	uint64_t revision;
	uint64_t created;
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
 */
struct documents_port {
	void *ctx;
	bool (*changed)(void *ctx, const struct document *d);
};

struct documents;

struct documents *documents_new(struct documents_port port, uint64_t keep_ns);
void documents_free(struct documents *s);
int documents_put(struct documents *s, const struct document *news,
		  enum document_origin origin, uint64_t now_ns);
void documents_again(struct documents *s);
void documents_list_begin(struct documents *s);
void documents_list_end(struct documents *s, uint64_t revision,
			uint64_t now_ns);
void documents_covered(struct documents *s, uint64_t revision);
void documents_knows(struct documents *s, uint64_t newest);
void documents_tick(struct documents *s, uint64_t now_ns);
uint64_t documents_known(const struct documents *s);
uint64_t documents_through(const struct documents *s);
uint64_t documents_newest(const struct documents *s);
uint64_t documents_floor(const struct documents *s);
const struct document *documents_at(const struct documents *s, uint32_t i);
uint32_t documents_count(const struct documents *s);
const struct document *documents_largest(const struct documents *s);
struct document_value documents_value(const struct documents *s,
				      uint64_t key_hash, uint64_t revision);
struct document_value document_value(const struct document *d,
				     uint64_t revision);

#endif
