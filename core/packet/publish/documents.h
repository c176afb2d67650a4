/*
 * Replica of the documents that the platform publishes, by key. Versions from
 * the platform and from peers are merged by position: the later one wins,
 * whatever way and in whatever order they arrive, so that no document goes back
 * to an earlier version.
 *
 * When the platform is restored from an older copy of itself, a new epoch
 * begins. Documents known before that are missing in the copy are retained:
 * they were acknowledged, and their writers write them again. A document is
 * retained until the new epoch has a later version of it; one that the platform
 * has no version of at all is deleted after a limited time.
 */
#ifndef CB_DOCUMENTS_H
#define CB_DOCUMENTS_H

#include "position.h"

#define DOCUMENT_KEY_MAX_BYTES 200
#define DOCUMENTS_MAX 32768
/* Documents of this size or more keep earlier values for some time, so that a
 * peer that has one of these is sent only the difference. */
#define DOCUMENT_LARGE_BYTES 4096
/* A peer that is more versions behind than this is sent the whole value. */
#define DOCUMENT_EARLIER_MAX 3

/**
 * struct document_value - a version of a document's value
 * @since: position at which the document got this value
 * @forget_ns: when the value is freed; of an earlier value only
 * @bytes: value; NULL when it is not known
 * @size_bytes: size of @bytes
 */
struct document_value {
	struct position since;
	uint64_t forget_ns;
	uint8_t *bytes;
	uint32_t size_bytes;
};

/**
 * struct document - a key and its latest known version
 * @key: key, NUL-terminated
 * @epoch: epoch of its last change
 * @revision: revision of its last change
 * @created: revision at which the key was created
 * @stale_at: position of the older version that the platform has under the key
 *	in a later epoch; revision 0 when it has none
 * @deleted: the key was deleted; @value is the last one before, which flows
 *	that are still open need
 * @forget_ns: when a deleted document is removed
 * @listing: number of the last listing that contained the key
 * @deferred: the listener could not apply the last change yet, see
 *	documents_redeliver()
 * @value: value, owned; NULL when a deletion came first
 * @size_bytes: size of @value
 * @earlier: DOCUMENT_EARLIER_MAX earlier values, the latest first, owned; NULL
 *	when the value was never large
 */
struct document {
	char key[DOCUMENT_KEY_MAX_BYTES + 1];
	uint64_t epoch;
	uint64_t revision;
	uint64_t created;
	struct position stale_at;
	bool deleted;
	uint64_t forget_ns;
	uint32_t listing;
	bool deferred;
	uint8_t *value;
	uint32_t size_bytes;
	struct document_value *earlier;
};

/**
 * enum document_origin - how a version of a document arrived
 * @DOCUMENT_CHANGED: as a change, from the platform or from a peer
 * @DOCUMENT_LISTED: in the listing in progress. Documents that the listing
 *	lacks are deleted at its end, so nothing else may count as listed.
 */
enum document_origin { DOCUMENT_CHANGED, DOCUMENT_LISTED };

/**
 * struct documents_port - callbacks of the owner of the documents
 * @ctx: first argument of the callbacks
 * @changed: @doc is new, changed or deleted. Return: whether the change was
 *	applied; if not, documents_redeliver() reports it again.
 * @compare: order @doc and the version known under its key by their contents.
 *	Return: positive when @doc is later, negative when it is earlier, 0 when
 *	the contents do not tell.
 */
struct documents_port {
	void *ctx;
	bool (*changed)(void *ctx, const struct document *doc);
	int (*compare)(void *ctx, const struct document *doc);
};

/**
 * struct documents_expiry - how long documents are kept
 * @deleted_ns: deleted documents, from their deletion
 * @retained_ns: documents that a restored platform has no version of, from the
 *	start of its epoch
 */
struct documents_expiry {
	uint64_t deleted_ns;
	uint64_t retained_ns;
};

struct documents;

struct documents *documents_new(struct documents_port port,
				struct documents_expiry expiry);
void documents_free(struct documents *docs);
int documents_put(struct documents *docs, const struct document *update,
		  enum document_origin origin, uint64_t now_ns);
void documents_redeliver(struct documents *docs);
void documents_list_begin(struct documents *docs);
void documents_list_end(struct documents *docs, struct position at,
			struct position floor, uint64_t now_ns);
void documents_advance_synced(struct documents *docs, struct position at,
			      uint64_t now_ns);
void documents_raise_newest(struct documents *docs, struct position newest);
void documents_lower_epoch_start(struct documents *docs, uint64_t epoch,
				 uint64_t start_ns);
void documents_tick(struct documents *docs, uint64_t now_ns);
struct position documents_complete(const struct documents *docs);
struct position documents_synced(const struct documents *docs);
struct position documents_newest(const struct documents *docs);
struct position documents_floor(const struct documents *docs);
uint64_t documents_epoch_start_ns(const struct documents *docs);
uint64_t documents_change_count(const struct documents *docs);
uint64_t documents_late_count(const struct documents *docs);
uint64_t documents_retained_digest(struct documents *docs);
bool documents_is_retained(const struct documents *docs,
			   const struct document *doc);
bool documents_peer_lacks(const struct documents *docs, struct position after,
			  const struct document *doc);
bool documents_peer_needs_full(const struct documents *docs,
			       struct position after);
const struct document *documents_at(const struct documents *docs, uint32_t i);
uint32_t documents_count(const struct documents *docs);
const struct document *documents_largest(const struct documents *docs);
struct document_value documents_value_at(const struct documents *docs,
					 uint64_t key_hash,
					 struct position since);
struct document_value document_value_at(const struct document *doc,
					struct position since);

static inline struct position document_position(const struct document *doc)
{
	return (struct position){ doc->epoch, doc->revision };
}

#endif
