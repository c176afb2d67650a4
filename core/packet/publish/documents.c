#include "documents.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/*
 * @complete, @synced, @newest, @latest and @floor are revisions of @epoch.
 * @latest is that of the latest stored change; it exceeds @synced after the
 * first pages of a listing, when earlier changes may still be unknown.
 * @late_count counts changes at or below @newest, which had been advertised.
 * @retained_digest was computed when @change_count was @digest_change_count.
 */
struct documents {
	struct documents_port port;
	struct documents_expiry expiry;
	struct document **all;
	uint32_t n;
	uint32_t capacity;
	struct index *by_key;
	uint64_t epoch;
	uint64_t epoch_start_ns;
	uint64_t complete;
	uint64_t synced;
	uint64_t newest;
	uint64_t latest;
	uint64_t floor;
	uint64_t late_count;
	uint64_t change_count;
	uint64_t retained_digest;
	uint64_t digest_change_count;
	uint32_t listing;
};

/**
 * documents_new() - create an empty replica
 * @port: callbacks
 * @expiry: how long documents are kept
 *
 * Return: documents, freed by documents_free(); NULL when memory is exhausted.
 */
struct documents *documents_new(struct documents_port port,
				struct documents_expiry expiry)
{
	struct documents *docs = calloc(1, sizeof(*docs));

	if (!docs)
		return NULL;
	docs->port = port;
	docs->expiry = expiry;
	docs->by_key = index_new(DOCUMENTS_MAX);
	if (docs->by_key)
		return docs;
	free(docs);
	return NULL;
}

/* A peer may still have an earlier value for this long. */
#define EARLIER_KEEP_NS (20 * NS_PER_S)

static void document_free(struct document *doc)
{
	for (uint32_t i = 0; doc->earlier && i < DOCUMENT_EARLIER_MAX; i++)
		free(doc->earlier[i].bytes);
	free(doc->earlier);
	free(doc->value);
	free(doc);
}

void documents_free(struct documents *docs)
{
	if (!docs)
		return;
	for (uint32_t i = 0; i < docs->n; i++)
		document_free(docs->all[i]);
	free(docs->all);
	index_free(docs->by_key);
	free(docs);
}

static struct document *find(const struct documents *docs, const char *key)
{
	uint32_t i = index_get(docs->by_key, hash_text(key));

	if (i == INDEX_NONE || strcmp(docs->all[i]->key, key))
		return NULL;
	return docs->all[i];
}

static struct document *add(struct documents *docs, const char *key)
{
	struct document *doc;

	if (docs->n == docs->capacity) {
		uint32_t capacity = docs->capacity ? docs->capacity * 2 : 64;
		struct document **grown =
			realloc(docs->all, capacity * sizeof(*grown));

		if (!grown)
			return NULL;
		docs->all = grown;
		docs->capacity = capacity;
	}
	doc = calloc(1, sizeof(*doc));
	if (!doc || index_put(docs->by_key, hash_text(key), docs->n)) {
		free(doc);
		return NULL;
	}
	memcpy(doc->key, key, strnlen(key, DOCUMENT_KEY_MAX_BYTES));
	docs->all[docs->n++] = doc;
	return doc;
}

/* Moves a large value to the earlier ones; frees a small one. */
static void keep_earlier(struct document *doc, uint64_t now_ns)
{
	struct document_value *last = NULL;

	if (doc->size_bytes >= DOCUMENT_LARGE_BYTES && !doc->earlier)
		doc->earlier =
			calloc(DOCUMENT_EARLIER_MAX, sizeof(*doc->earlier));
	if (doc->size_bytes < DOCUMENT_LARGE_BYTES || !doc->earlier) {
		free(doc->value);
		return;
	}
	last = &doc->earlier[DOCUMENT_EARLIER_MAX - 1];
	free(last->bytes);
	memmove(doc->earlier + 1, doc->earlier,
		(DOCUMENT_EARLIER_MAX - 1) * sizeof(*doc->earlier));
	doc->earlier[0] =
		(struct document_value){ document_position(doc),
					 now_ns + EARLIER_KEEP_NS, doc->value,
					 doc->size_bytes };
}

static int store_value(struct document *doc, const struct document *update,
		       uint64_t now_ns)
{
	uint8_t *copy;

	if (update->deleted && !update->value)
		return 0; /* open flows need the last value */
	copy = malloc(update->size_bytes + 1);
	if (!copy)
		return -ENOMEM;
	if (update->size_bytes)
		memcpy(copy, update->value, update->size_bytes);
	copy[update->size_bytes] = '\0';
	keep_earlier(doc, now_ns);
	doc->value = copy;
	doc->size_bytes = update->size_bytes;
	return 0;
}

static void report_change(struct documents *docs, struct document *doc)
{
	docs->change_count++;
	doc->deferred = !docs->port.changed(docs->port.ctx, doc);
}

static void delete_at(struct documents *docs, struct document *doc,
		      struct position at, uint64_t now_ns)
{
	doc->epoch = at.epoch;
	doc->revision = at.revision;
	doc->stale_at = (struct position){ 0 };
	doc->deleted = true;
	doc->forget_ns = now_ns + docs->expiry.deleted_ns;
	report_change(docs, doc);
}

static bool same_value(const struct document *a, const struct document *b)
{
	return a->deleted == b->deleted && a->size_bytes == b->size_bytes &&
	       (!a->size_bytes || !memcmp(a->value, b->value, a->size_bytes));
}

/* Revision of the latest stored change of the epoch that is at or below
 * @limit; 0 for none. */
static uint64_t latest_up_to(const struct documents *docs, uint64_t limit)
{
	uint64_t latest = 0;

	for (uint32_t i = 0; i < docs->n; i++) {
		const struct document *doc = docs->all[i];

		if (doc->epoch == docs->epoch && doc->revision <= limit &&
		    doc->revision > latest)
			latest = doc->revision;
	}
	return latest;
}

static void raise_latest(struct documents *docs, struct position at)
{
	if (at.epoch == docs->epoch && at.revision > docs->latest)
		docs->latest = at.revision;
}

/*
 * Raise the newest position to the latest change that every earlier one is
 * known of. Peers take the newest position as a promise of everything up to it,
 * and fetch nothing that arrives below it later.
 */
static void raise_newest(struct documents *docs)
{
	uint64_t newest = docs->latest <= docs->synced
				  ? docs->latest
				  : latest_up_to(docs, docs->synced);

	if (newest <= docs->newest)
		return;
	docs->newest = newest;
	docs->change_count++;
}

/* Revisions of the earlier epoch have no meaning in the new one. */
static void enter_epoch(struct documents *docs, uint64_t epoch, uint64_t now_ns)
{
	if (epoch <= docs->epoch)
		return;
	docs->epoch = epoch;
	docs->epoch_start_ns = now_ns;
	docs->complete = 0;
	docs->synced = 0;
	docs->newest = 0;
	docs->floor = 0;
	docs->change_count++;
	docs->latest = latest_up_to(docs, UINT64_MAX);
}

static bool may_retain(const struct documents *docs, uint64_t now_ns)
{
	return now_ns < docs->epoch_start_ns + docs->expiry.retained_ns;
}

/*
 * Returns whether @update, which is of another epoch than @doc, is the later
 * version. The copy that an epoch begins with may have an older version than
 * the one known here, and a peer may have retained one that the copy lacks.
 * Then the contents decide, and @doc records that the platform has an older
 * version.
 */
static bool resolve_across_epochs(struct documents *docs, struct document *doc,
				  const struct document *update)
{
	int order = update->deleted
			    ? 0
			    : docs->port.compare(docs->port.ctx, update);

	if (update->epoch < doc->epoch)
		return order > 0 && !doc->deleted;
	if (order >= 0)
		return true;
	doc->stale_at = document_position(update);
	docs->change_count++;
	return false;
}

/*
 * The @stale_at of a peer's document. It is ignored when this replica is
 * complete beyond it: the platform then has nothing under the key.
 */
static struct position stale_at_of_peer(const struct documents *docs,
					const struct document *update)
{
	struct position none = { 0 };

	return position_after(update->stale_at, documents_complete(docs))
		       ? update->stale_at
		       : none;
}

/*
 * The @stale_at of a document that becomes @update. When @update is of an
 * earlier epoch, the version that it replaces is the older one that the
 * platform has.
 */
static struct position stale_at_after(const struct documents *docs,
				      const struct document *doc,
				      const struct document *update)
{
	return update->epoch < doc->epoch ? document_position(doc)
					  : stale_at_of_peer(docs, update);
}

/*
 * Whether @update may be added under a new key. Of an earlier epoch, only
 * documents that a peer still retains may, and deleted ones: these identify
 * absent targets.
 */
static bool may_add(const struct documents *docs, const struct document *update,
		    uint64_t now_ns)
{
	return update->epoch >= docs->epoch || update->deleted ||
	       stale_at_of_peer(docs, update).revision ||
	       may_retain(docs, now_ns);
}

/* Whether a change comes after a position was advertised that includes it. A
 * deletion of what is not known here changes nothing. */
static bool is_late(const struct documents *docs, const struct document *doc,
		    const struct document *update)
{
	return update->epoch == docs->epoch &&
	       update->revision <= docs->newest &&
	       !(update->deleted && (!doc || doc->deleted));
}

/**
 * documents_put() - merge a version of a document
 * @docs: replica of the documents
 * @update: the version; its value is copied
 * @origin: how it arrived
 * @now_ns: current time
 *
 * Return: 0 when it was stored; -EALREADY when the known version is as late or
 * later; -ENOMEM when memory or DOCUMENTS_MAX is exhausted.
 */
int documents_put(struct documents *docs, const struct document *update,
		  enum document_origin origin, uint64_t now_ns)
{
	struct document *doc = find(docs, update->key);
	bool same = false;
	int err;

	/* Neither a deletion nor a retained document in a peer's full state
	 * shows that the later version known here still exists. */
	if (doc && origin == DOCUMENT_LISTED && !update->deleted &&
	    update->epoch >= doc->epoch)
		doc->listing = docs->listing;
	if (doc && update->epoch == doc->epoch &&
	    update->revision <= doc->revision) {
		if (origin == DOCUMENT_LISTED)
			doc->stale_at = update->stale_at;
		return -EALREADY;
	}
	if (doc ? update->epoch != doc->epoch &&
			    !resolve_across_epochs(docs, doc, update)
		: !may_add(docs, update, now_ns))
		return -EALREADY;
	if (!docs->complete && !docs->synced)
		enter_epoch(docs, update->epoch, now_ns);
	docs->late_count += is_late(docs, doc, update);
	if (doc)
		same = update->epoch > doc->epoch && same_value(doc, update);
	else
		doc = add(docs, update->key);
	if (!doc)
		return -ENOMEM;
	/* A large value is stored again, so that it stays known at its earlier
	 * position: peers that have it there need no other. */
	err = same && doc->size_bytes < DOCUMENT_LARGE_BYTES
		      ? 0
		      : store_value(doc, update, now_ns);
	if (err)
		return err;
	doc->stale_at = origin == DOCUMENT_LISTED
				? update->stale_at
				: stale_at_after(docs, doc, update);
	doc->epoch = update->epoch;
	doc->revision = update->revision;
	if (update->created)
		doc->created = update->created;
	doc->deleted = update->deleted;
	doc->forget_ns = now_ns + docs->expiry.deleted_ns;
	if (origin == DOCUMENT_LISTED)
		doc->listing = docs->listing;
	raise_latest(docs, document_position(doc));
	docs->change_count++;
	if (!same)
		report_change(docs, doc);
	return 0;
}

/**
 * documents_redeliver() - report again the changes that could not be applied
 * @docs: replica of the documents
 */
void documents_redeliver(struct documents *docs)
{
	for (uint32_t i = 0; i < docs->n; i++)
		if (docs->all[i]->deferred)
			report_change(docs, docs->all[i]);
}

/**
 * documents_list_begin() - begin a full listing
 * @docs: replica of the documents
 *
 * The documents of the listing are put as DOCUMENT_LISTED, up to
 * documents_list_end().
 */
void documents_list_begin(struct documents *docs)
{
	docs->listing++;
}

/**
 * documents_list_end() - end a full listing after its last page
 * @docs: replica of the documents
 * @at: lowest position of its pages
 * @floor: compaction floor of the listing: it lacks the deletions up to there.
 *	For a listing of the platform this is @at, for the full state of a peer
 *	that peer's documents_floor().
 * @now_ns: current time
 *
 * Documents that the listing lacks are deleted, except later ones than @at and
 * ones that are retained from an earlier epoch.
 */
void documents_list_end(struct documents *docs, struct position at,
			struct position floor, uint64_t now_ns)
{
	enter_epoch(docs, at.epoch, now_ns);
	if (at.epoch < docs->epoch)
		return;
	for (uint32_t i = 0; i < docs->n; i++) {
		struct document *doc = docs->all[i];

		if (doc->listing == docs->listing || doc->deleted ||
		    position_after(document_position(doc), at))
			continue;
		doc->stale_at = (struct position){ 0 };
		if (doc->epoch == at.epoch || !may_retain(docs, now_ns))
			delete_at(docs, doc, at, now_ns);
	}
	raise_latest(docs, at);
	docs->floor = floor.revision;
	if (at.revision > docs->complete)
		docs->complete = at.revision;
}

/**
 * documents_advance_synced() - record that every change up to a position is
 *	known, from an answer that was not stale
 * @docs: replica of the documents
 * @at: that position
 * @now_ns: current time; start of the epoch of @at if that is a new one
 */
void documents_advance_synced(struct documents *docs, struct position at,
			      uint64_t now_ns)
{
	enter_epoch(docs, at.epoch, now_ns);
	if (at.epoch < docs->epoch)
		return;
	if (at.revision > docs->synced)
		docs->synced = at.revision;
	if (at.revision > docs->complete)
		docs->complete = at.revision;
	raise_newest(docs);
}

/**
 * documents_raise_newest() - raise the newest position after a peer sent all
 *	its changes
 * @docs: replica of the documents
 * @newest: newest position of the peer; the document may be gone, when it was a
 *	deletion that has expired since. What exceeds documents_synced()
 *	counts once that has reached it.
 */
void documents_raise_newest(struct documents *docs, struct position newest)
{
	raise_latest(docs, newest);
	raise_newest(docs);
}

/**
 * documents_lower_epoch_start() - record that a peer saw an epoch begin earlier
 * @docs: replica of the documents
 * @epoch: epoch; ignored unless it is the current one
 * @start_ns: when the peer, or one that it learned it from, first saw the epoch
 *
 * Retained documents have to expire at the same time everywhere. If each entry
 * counted from when it learned of the epoch itself, peers would relay expired
 * documents to each other without end.
 */
void documents_lower_epoch_start(struct documents *docs, uint64_t epoch,
				 uint64_t start_ns)
{
	if (epoch == docs->epoch && start_ns < docs->epoch_start_ns)
		docs->epoch_start_ns = start_ns;
}

static void forget(struct documents *docs, uint32_t i)
{
	struct document *doc = docs->all[i];

	index_del(docs->by_key, hash_text(doc->key), i);
	if (doc->epoch == docs->epoch && doc->revision > docs->floor)
		docs->floor = doc->revision;
	docs->change_count++;
	docs->n--;
	if (i != docs->n) {
		struct document *last = docs->all[docs->n];

		index_put(docs->by_key, hash_text(last->key), i);
		docs->all[i] = last;
	}
	document_free(doc);
}

static void forget_earlier(struct document *doc, uint64_t now_ns)
{
	for (uint32_t i = 0; doc->earlier && i < DOCUMENT_EARLIER_MAX; i++) {
		struct document_value *v = &doc->earlier[i];

		if (!v->bytes || now_ns < v->forget_ns)
			continue;
		free(v->bytes);
		*v = (struct document_value){ 0 };
	}
}

/* Deletes retained documents of which the platform has no version at all: their
 * writers did not write them again in time. */
static void delete_retained(struct documents *docs, uint64_t now_ns)
{
	struct position at = { docs->epoch, docs->complete };

	for (uint32_t i = 0; i < docs->n; i++) {
		struct document *doc = docs->all[i];

		if (documents_is_retained(docs, doc) &&
		    doc->stale_at.epoch != docs->epoch)
			delete_at(docs, doc, at, now_ns);
	}
}

/**
 * documents_tick() - remove expired documents and earlier values
 * @docs: replica of the documents
 * @now_ns: current time
 *
 * Deletes retained documents whose time is over, and reports that.
 */
void documents_tick(struct documents *docs, uint64_t now_ns)
{
	if (documents_retained_digest(docs) && !may_retain(docs, now_ns))
		delete_retained(docs, now_ns);
	for (uint32_t i = docs->n; i-- > 0;) {
		forget_earlier(docs->all[i], now_ns);
		if (docs->all[i]->deleted && now_ns >= docs->all[i]->forget_ns)
			forget(docs, i);
	}
}

/**
 * documents_complete() - position up to which every change is known
 * @docs: replica of the documents
 *
 * After a listing of stale pages, the platform may have been seconds ahead of
 * it when it answered.
 *
 * Return: position in the current epoch; revision 0 before the first listing.
 */
struct position documents_complete(const struct documents *docs)
{
	return (struct position){ docs->epoch, docs->complete };
}

/**
 * documents_synced() - position up to which every change is known, from an
 *	answer that was not stale
 * @docs: replica of the documents
 *
 * Return: position in the current epoch; revision 0 before the first such
 * answer.
 */
struct position documents_synced(const struct documents *docs)
{
	return (struct position){ docs->epoch, docs->synced };
}

/**
 * documents_newest() - position of the latest change before which none is
 *	missing
 * @docs: replica of the documents
 *
 * Peers compare it to see whether there is anything to fetch.
 * documents_synced() would not do: it grows with every heartbeat of a target.
 * Changes after documents_synced() don't count, such as those of the first
 * pages of a listing: an entry that fetched these would not ask for what the
 * later pages bring.
 *
 * Return: position in the current epoch; revision 0 for none.
 */
struct position documents_newest(const struct documents *docs)
{
	return (struct position){ docs->epoch, docs->newest };
}

/**
 * documents_floor() - compaction floor: deletions up to this position may be
 *	missing
 * @docs: replica of the documents
 *
 * They have expired, or came before a listing, which contains only what exists.
 *
 * Return: position in the current epoch; a peer that is complete only up to an
 * earlier one needs the full state.
 */
struct position documents_floor(const struct documents *docs)
{
	return (struct position){ docs->epoch, docs->floor };
}

/**
 * documents_epoch_start_ns() - when the current epoch was first seen, here or
 *	at a peer
 * @docs: replica of the documents
 *
 * Return: time in nanoseconds.
 */
uint64_t documents_epoch_start_ns(const struct documents *docs)
{
	return docs->epoch_start_ns;
}

/**
 * documents_change_count() - number of changes so far
 * @docs: replica of the documents
 *
 * Return: number that grows with each change of a document, an epoch, a
 * @stale_at or the newest position. An encoded state is out of date when it has
 * grown.
 */
uint64_t documents_change_count(const struct documents *docs)
{
	return docs->change_count;
}

/**
 * documents_late_count() - number of changes that came too late
 * @docs: replica of the documents
 *
 * Return: number of changes stored at or below documents_newest(). Peers that
 * have that position don't fetch them.
 */
uint64_t documents_late_count(const struct documents *docs)
{
	return docs->late_count;
}

/**
 * documents_is_retained() - whether a document is retained from an earlier
 *	epoch
 * @docs: replica of the documents
 * @doc: one of them
 *
 * Return: true when it is not deleted and the platform has no version as late.
 */
bool documents_is_retained(const struct documents *docs,
			   const struct document *doc)
{
	return !doc->deleted && doc->epoch < docs->epoch;
}

/**
 * documents_retained_digest() - digest of the retained documents
 * @docs: replica of the documents; the digest is cached until the next change
 *
 * Return: a sum of hashes, the same at two entries that retain the same
 * documents; 0 when there are none.
 */
uint64_t documents_retained_digest(struct documents *docs)
{
	if (docs->digest_change_count == docs->change_count)
		return docs->retained_digest;
	docs->digest_change_count = docs->change_count;
	docs->retained_digest = 0;
	for (uint32_t i = 0; i < docs->n; i++) {
		const struct document *doc = docs->all[i];

		if (documents_is_retained(docs, doc))
			docs->retained_digest +=
				hash_u64(hash_text(doc->key) ^ doc->revision,
					 doc->epoch);
	}
	return docs->retained_digest;
}

/**
 * documents_peer_lacks() - whether a peer has to be sent a document
 * @docs: replica of the documents
 * @after: position of the current epoch up to which the peer knows every change
 * @doc: one of @docs
 *
 * A retained document has no position in the current epoch, so every peer is
 * sent it.
 *
 * Return: true when it is retained or later than @after.
 */
bool documents_peer_lacks(const struct documents *docs, struct position after,
			  const struct document *doc)
{
	return documents_is_retained(docs, doc) ||
	       position_after(document_position(doc), after);
}

/**
 * documents_peer_needs_full() - whether a peer has to be sent the full state
 * @docs: replica of the documents
 * @after: position up to which the peer knows every change; revision 0 for none
 *
 * Return: true when deletions since @after may be missing here, or @after is of
 * an earlier epoch, or the peer has no documents.
 */
bool documents_peer_needs_full(const struct documents *docs,
			       struct position after)
{
	if (!after.revision)
		return true;
	return after.epoch < docs->epoch ||
	       (after.epoch == docs->epoch && after.revision < docs->floor);
}

const struct document *documents_at(const struct documents *docs, uint32_t i)
{
	return i < docs->n ? docs->all[i] : NULL;
}

uint32_t documents_count(const struct documents *docs)
{
	return docs->n;
}

/**
 * documents_largest() - the largest document
 * @docs: replica of the documents
 *
 * Return: a document that is not deleted, of DOCUMENT_LARGE_BYTES or more; NULL
 * when there is none. Owned by @docs.
 */
const struct document *documents_largest(const struct documents *docs)
{
	const struct document *best = NULL;

	for (uint32_t i = 0; i < docs->n; i++) {
		const struct document *doc = docs->all[i];

		if (doc->deleted || doc->size_bytes < DOCUMENT_LARGE_BYTES)
			continue;
		if (!best || doc->size_bytes > best->size_bytes)
			best = doc;
	}
	return best;
}

/**
 * document_value_at() - value that a document got at a position
 * @doc: document
 * @since: that position
 *
 * Return: the current or an earlier value, owned by @doc; its bytes are NULL
 * when it is not known.
 */
struct document_value document_value_at(const struct document *doc,
					struct position since)
{
	if (!position_compare(document_position(doc), since) && !doc->deleted)
		return (struct document_value){ since, 0, doc->value,
						doc->size_bytes };
	for (uint32_t i = 0; doc->earlier && i < DOCUMENT_EARLIER_MAX; i++)
		if (doc->earlier[i].bytes &&
		    !position_compare(doc->earlier[i].since, since))
			return doc->earlier[i];
	return (struct document_value){ 0 };
}

/**
 * documents_value_at() - value of the document with a given hash of its key
 * @docs: replica of the documents
 * @key_hash: hash_text() of the key
 * @since: position at which the document got the value
 *
 * Return: as document_value_at().
 */
struct document_value documents_value_at(const struct documents *docs,
					 uint64_t key_hash,
					 struct position since)
{
	uint32_t i = index_get(docs->by_key, key_hash);

	if (i == INDEX_NONE)
		return (struct document_value){ 0 };
	return document_value_at(docs->all[i], since);
}
