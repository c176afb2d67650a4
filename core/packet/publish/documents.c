#include "documents.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/*
 * @known, @through, @newest and @floor are revisions of @epoch; @carried is up
 * to date as of @carried_changes.
 */
struct documents {
	struct documents_port port;
	struct documents_times times;
	struct document **all;
	uint32_t n;
	uint32_t capacity;
	struct index *by_key;
	uint64_t epoch;
	uint64_t began_ns;
	uint64_t known;
	uint64_t through;
	uint64_t newest;
	uint64_t floor;
	uint64_t changes;
	uint64_t carried;
	uint64_t carried_changes;
	uint32_t listing;
};

/**
 * documents_new() - an empty store
 * @port: who is told of changes
 * @times: how long what is kept
 *
 * Return: store, or NULL without memory.
 */
struct documents *documents_new(struct documents_port port,
				struct documents_times times)
{
	struct documents *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->port = port;
	s->times = times;
	s->by_key = index_new(DOCUMENTS_MAX);
	if (s->by_key)
		return s;
	free(s);
	return NULL;
}

/* Earlier values are of use while peers may still have them. */
#define EARLIER_KEEP_NS (20 * NS_PER_S)

static void document_free(struct document *d)
{
	for (uint32_t i = 0; d->earlier && i < DOCUMENT_EARLIER_MAX; i++)
		free(d->earlier[i].bytes);
	free(d->earlier);
	free(d->value);
	free(d);
}

void documents_free(struct documents *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i < s->n; i++)
		document_free(s->all[i]);
	free(s->all);
	index_free(s->by_key);
	free(s);
}

static struct document *find(const struct documents *s, const char *key)
{
	uint32_t i = index_get(s->by_key, hash_text(key));

	if (i == INDEX_NONE || strcmp(s->all[i]->key, key))
		return NULL;
	return s->all[i];
}

static struct document *add(struct documents *s, const char *key)
{
	struct document *d;

	if (s->n == s->capacity) {
		uint32_t capacity = s->capacity ? s->capacity * 2 : 64;
		struct document **grown =
			realloc(s->all, capacity * sizeof(*grown));

		if (!grown)
			return NULL;
		s->all = grown;
		s->capacity = capacity;
	}
	d = calloc(1, sizeof(*d));
	if (!d || index_put(s->by_key, hash_text(key), s->n)) {
		free(d);
		return NULL;
	}
	memcpy(d->key, key, strnlen(key, DOCUMENT_KEY_MAX_BYTES));
	s->all[s->n++] = d;
	return d;
}

/* Make the value one of the earlier ones, or drop it. */
static void retire(struct document *d, uint64_t now_ns)
{
	struct document_value *last = NULL;

	if (d->size_bytes >= DOCUMENT_LARGE_BYTES && !d->earlier)
		d->earlier = calloc(DOCUMENT_EARLIER_MAX, sizeof(*d->earlier));
	if (d->size_bytes < DOCUMENT_LARGE_BYTES || !d->earlier) {
		free(d->value);
		return;
	}
	last = &d->earlier[DOCUMENT_EARLIER_MAX - 1];
	free(last->bytes);
	memmove(d->earlier + 1, d->earlier,
		(DOCUMENT_EARLIER_MAX - 1) * sizeof(*d->earlier));
	d->earlier[0] = (struct document_value){ document_position(d),
						 now_ns + EARLIER_KEEP_NS,
						 d->value, d->size_bytes };
}

static int keep_value(struct document *d, const struct document *news,
		      uint64_t now_ns)
{
	uint8_t *copy;

	if (news->deleted && !news->value)
		return 0; /* the last value stays */
	copy = malloc(news->size_bytes + 1);
	if (!copy)
		return -ENOMEM;
	if (news->size_bytes)
		memcpy(copy, news->value, news->size_bytes);
	copy[news->size_bytes] = '\0';
	retire(d, now_ns);
	d->value = copy;
	d->size_bytes = news->size_bytes;
	return 0;
}

static void show(struct documents *s, struct document *d)
{
	s->changes++;
	d->held = !s->port.changed(s->port.ctx, d);
}

static void delete_at(struct documents *s, struct document *d,
		      struct position at, uint64_t now_ns)
{
	d->epoch = at.epoch;
	d->revision = at.revision;
	d->outdated = (struct position){ 0 };
	d->deleted = true;
	d->forget_ns = now_ns + s->times.deleted_ns;
	show(s, d);
}

static bool same_value(const struct document *a, const struct document *b)
{
	return a->deleted == b->deleted && a->size_bytes == b->size_bytes &&
	       (!a->size_bytes || !memcmp(a->value, b->value, a->size_bytes));
}

/* Revisions known are of an epoch: those of the one before end. */
static void enter(struct documents *s, uint64_t epoch, uint64_t now_ns)
{
	if (epoch <= s->epoch)
		return;
	s->epoch = epoch;
	s->began_ns = now_ns;
	s->known = 0;
	s->through = 0;
	s->newest = 0;
	s->floor = 0;
	s->changes++;
	for (uint32_t i = 0; i < s->n; i++)
		if (s->all[i]->epoch == epoch &&
		    s->all[i]->revision > s->newest)
			s->newest = s->all[i]->revision;
}

static bool carries(const struct documents *s, uint64_t now_ns)
{
	return now_ns < s->began_ns + s->times.carried_ns;
}

/*
 * A fact of another epoch than what is known under its key. A later epoch's
 * copy may have less than what is known, and a peer may have carried over what
 * the copy lacks: then contents tell which is later.
 */
static bool wins(struct documents *s, struct document *d,
		 const struct document *news)
{
	int order = news->deleted ? 0 : s->port.compare(s->port.ctx, news);

	if (news->epoch < d->epoch)
		return order > 0 && !d->deleted;
	if (order >= 0)
		return true;
	d->outdated = document_position(news);
	s->changes++;
	return false;
}

/*
 * What a peer says that the platform has less of: of no account when more is
 * known here, and the platform has nothing under the key.
 */
static struct position outdated_by_peer(const struct documents *s,
					const struct document *news)
{
	struct position none = { 0 };

	return position_after(news->outdated, documents_known(s))
		       ? news->outdated
		       : none;
}

/* What gives way to @news is less, and the platform has it. */
static struct position outdated_now(const struct documents *s,
				    const struct document *d,
				    const struct document *news)
{
	return news->epoch < d->epoch ? document_position(d)
				      : outdated_by_peer(s, news);
}

/*
 * Whether @news may be taken under a new key. Of an epoch that is over, what a
 * peer still carries may, and what was deleted: that names departed targets.
 */
static bool may_add(const struct documents *s, const struct document *news,
		    uint64_t now_ns)
{
	return news->epoch >= s->epoch || news->deleted ||
	       outdated_by_peer(s, news).revision || carries(s, now_ns);
}

/**
 * documents_put() - take a fact
 * @s: store
 * @news: the document; its value is copied
 * @origin: how it came
 * @now_ns: time
 *
 * Return: 0 when it was taken; -EALREADY when as late a one is known;
 * -ENOMEM, also when there are too many.
 */
int documents_put(struct documents *s, const struct document *news,
		  enum document_origin origin, uint64_t now_ns)
{
	struct document *d = find(s, news->key);
	bool same = false;
	int err;

	/* Neither an end that a peer remembers nor what it carries over shows
	 * that a later one stands. */
	if (d && origin == DOCUMENT_LISTED && !news->deleted &&
	    news->epoch >= d->epoch)
		d->seen = s->listing;
	if (d && news->epoch == d->epoch && news->revision <= d->revision) {
		if (origin == DOCUMENT_LISTED)
			d->outdated = news->outdated;
		return -EALREADY;
	}
	if (d ? news->epoch != d->epoch && !wins(s, d, news)
	      : !may_add(s, news, now_ns))
		return -EALREADY;
	if (!s->known && !s->through)
		enter(s, news->epoch, now_ns);
	if (d)
		same = news->epoch > d->epoch && same_value(d, news);
	else
		d = add(s, news->key);
	if (!d)
		return -ENOMEM;
	/* Peers that have a large value at its earlier position need no other. */
	err = same && d->size_bytes < DOCUMENT_LARGE_BYTES
		      ? 0
		      : keep_value(d, news, now_ns);
	if (err)
		return err;
	d->outdated = origin == DOCUMENT_LISTED ? news->outdated
						: outdated_now(s, d, news);
	d->epoch = news->epoch;
	d->revision = news->revision;
	if (news->created)
		d->created = news->created;
	d->deleted = news->deleted;
	d->forget_ns = now_ns + s->times.deleted_ns;
	if (origin == DOCUMENT_LISTED)
		d->seen = s->listing;
	documents_knows(s, document_position(d));
	s->changes++;
	if (!same)
		show(s, d);
	return 0;
}

/**
 * documents_again() - show the documents that were not taken once more
 * @s: store
 */
void documents_again(struct documents *s)
{
	for (uint32_t i = 0; i < s->n; i++)
		if (s->all[i]->held)
			show(s, s->all[i]);
}

/**
 * documents_list_begin() - a whole listing of the platform begins
 * @s: store
 */
void documents_list_begin(struct documents *s)
{
	s->listing++;
}

/**
 * documents_list_end() - every page of the listing was put
 * @s: store
 * @at: least position that one of its pages shows
 * @floor: what was deleted up to there it does not name; of the platform's
 *	listing @at, of a peer's whole state that peer's documents_floor()
 * @now_ns: time
 *
 * What it lacks was deleted, unless it came after that position, or is carried
 * over from an earlier epoch.
 */
void documents_list_end(struct documents *s, struct position at,
			struct position floor, uint64_t now_ns)
{
	enter(s, at.epoch, now_ns);
	if (at.epoch < s->epoch)
		return;
	for (uint32_t i = 0; i < s->n; i++) {
		struct document *d = s->all[i];

		if (d->seen == s->listing || d->deleted ||
		    position_after(document_position(d), at))
			continue;
		d->outdated = (struct position){ 0 };
		if (d->epoch == at.epoch || !carries(s, now_ns))
			delete_at(s, d, at, now_ns);
	}
	documents_knows(s, at);
	s->floor = floor.revision;
	if (at.revision > s->known)
		s->known = at.revision;
}

/**
 * documents_covered() - everything up to a position is known, and that was all
 *	there was when the platform was asked
 * @s: store
 * @at: position
 * @now_ns: time
 */
void documents_covered(struct documents *s, struct position at, uint64_t now_ns)
{
	enter(s, at.epoch, now_ns);
	if (at.epoch < s->epoch)
		return;
	if (at.revision > s->through)
		s->through = at.revision;
	if (at.revision > s->known)
		s->known = at.revision;
}

/**
 * documents_knows() - a peer with this newest position told all it knows
 * @s: store
 * @newest: its newest position, also when that was a deletion since forgotten
 */
void documents_knows(struct documents *s, struct position newest)
{
	if (newest.epoch == s->epoch && newest.revision > s->newest)
		s->newest = newest.revision;
}

/**
 * documents_began() - a peer tells when it heard of an epoch
 * @s: store
 * @epoch: epoch
 * @began_ns: when
 *
 * What is carried over ends at the same time everywhere; by the time at which
 * each entry heard of the epoch, peers would hand it on for ever.
 */
void documents_began(struct documents *s, uint64_t epoch, uint64_t began_ns)
{
	if (epoch == s->epoch && began_ns < s->began_ns)
		s->began_ns = began_ns;
}

static void forget(struct documents *s, uint32_t i)
{
	struct document *d = s->all[i];

	index_del(s->by_key, hash_text(d->key), i);
	if (d->epoch == s->epoch && d->revision > s->floor)
		s->floor = d->revision;
	s->changes++;
	s->n--;
	if (i != s->n) {
		struct document *last = s->all[s->n];

		index_put(s->by_key, hash_text(last->key), i);
		s->all[i] = last;
	}
	document_free(d);
}

static void forget_earlier(struct document *d, uint64_t now_ns)
{
	for (uint32_t i = 0; d->earlier && i < DOCUMENT_EARLIER_MAX; i++) {
		struct document_value *v = &d->earlier[i];

		if (!v->bytes || now_ns < v->forget_ns)
			continue;
		free(v->bytes);
		*v = (struct document_value){ 0 };
	}
}

/* Nobody has written again what the platform lost: it is gone. */
static void end_carried(struct documents *s, uint64_t now_ns)
{
	struct position at = { s->epoch, s->known };

	for (uint32_t i = 0; i < s->n; i++) {
		struct document *d = s->all[i];

		if (documents_is_carried(s, d) && d->outdated.epoch != s->epoch)
			delete_at(s, d, at, now_ns);
	}
}

/**
 * documents_tick() - forget what was deleted, or changed, long ago
 * @s: store
 * @now_ns: time
 */
void documents_tick(struct documents *s, uint64_t now_ns)
{
	if (documents_carried(s) && !carries(s, now_ns))
		end_carried(s, now_ns);
	for (uint32_t i = s->n; i-- > 0;) {
		forget_earlier(s->all[i], now_ns);
		if (s->all[i]->deleted && now_ns >= s->all[i]->forget_ns)
			forget(s, i);
	}
}

/**
 * documents_known() - position up to which everything is known, though there
 *	may have been more for seconds
 * @s: store
 *
 * Return: position, of revision 0 before the first listing of its epoch.
 */
struct position documents_known(const struct documents *s)
{
	return (struct position){ s->epoch, s->known };
}

/**
 * documents_through() - position up to which everything is known, of an answer
 *	that was not old
 * @s: store
 *
 * Return: position, of revision 0 before the first such answer.
 */
struct position documents_through(const struct documents *s)
{
	return (struct position){ s->epoch, s->through };
}

/**
 * documents_newest() - latest position of a document known
 * @s: store
 *
 * Return: position; it tells peers whether there is anything to fetch, which
 * @documents_through doesn't: that grows with every heartbeat of a target.
 */
struct position documents_newest(const struct documents *s)
{
	return (struct position){ s->epoch, s->newest };
}

/**
 * documents_floor() - what was deleted up to there may not be known here: it was
 *	forgotten, or happened before a listing, which names what stands
 * @s: store
 *
 * Return: position; who knows less than this needs everything.
 */
struct position documents_floor(const struct documents *s)
{
	return (struct position){ s->epoch, s->floor };
}

/**
 * documents_began_ns() - when the present epoch was first heard of
 * @s: store
 *
 * Return: time.
 */
uint64_t documents_began_ns(const struct documents *s)
{
	return s->began_ns;
}

/**
 * documents_changes() - how often anything changed here
 * @s: store
 *
 * Return: a count that is greater after each change.
 */
uint64_t documents_changes(const struct documents *s)
{
	return s->changes;
}

/**
 * documents_is_carried() - whether a document is of an epoch before this one
 * @s: store
 * @d: document
 *
 * Return: whether it stands, and the platform has nothing as late under its key.
 */
bool documents_is_carried(const struct documents *s, const struct document *d)
{
	return !d->deleted && d->epoch < s->epoch;
}

/**
 * documents_carried() - tells apart what two entries carry over
 * @s: store
 *
 * Return: a number that is the same for the same documents; 0 for none.
 */
uint64_t documents_carried(struct documents *s)
{
	if (s->carried_changes == s->changes)
		return s->carried;
	s->carried_changes = s->changes;
	s->carried = 0;
	for (uint32_t i = 0; i < s->n; i++) {
		const struct document *d = s->all[i];

		if (documents_is_carried(s, d))
			s->carried += hash_u64(hash_text(d->key) ^ d->revision,
					       d->epoch);
	}
	return s->carried;
}

/**
 * documents_lacks() - whether a peer lacks a document
 * @s: store
 * @after: position up to which it knows everything; of this epoch
 * @d: document
 *
 * Return: whether. What is carried over has no place in this epoch, so each
 * peer is sent it.
 */
bool documents_lacks(const struct documents *s, struct position after,
		     const struct document *d)
{
	return documents_is_carried(s, d) ||
	       position_after(document_position(d), after);
}

/**
 * documents_needs_all() - whether a peer needs everything that stands
 * @s: store
 * @after: position up to which it knows everything
 *
 * Return: whether deletions since may not be known here, or it knows an earlier
 * epoch, or nothing.
 */
bool documents_needs_all(const struct documents *s, struct position after)
{
	if (!after.revision)
		return true;
	return after.epoch < s->epoch ||
	       (after.epoch == s->epoch && after.revision < s->floor);
}

const struct document *documents_at(const struct documents *s, uint32_t i)
{
	return i < s->n ? s->all[i] : NULL;
}

uint32_t documents_count(const struct documents *s)
{
	return s->n;
}

/**
 * documents_largest() - the largest document that stands
 * @s: store
 *
 * Return: document of DOCUMENT_LARGE_BYTES or more, or NULL.
 */
const struct document *documents_largest(const struct documents *s)
{
	const struct document *best = NULL;

	for (uint32_t i = 0; i < s->n; i++) {
		const struct document *d = s->all[i];

		if (d->deleted || d->size_bytes < DOCUMENT_LARGE_BYTES)
			continue;
		if (!best || d->size_bytes > best->size_bytes)
			best = d;
	}
	return best;
}

/**
 * document_value() - value that a document had since a position
 * @d: document
 * @since: that position
 *
 * Return: value, not owned; without bytes when it is not known any more.
 */
struct document_value document_value(const struct document *d,
				     struct position since)
{
	if (!position_compare(document_position(d), since) && !d->deleted)
		return (struct document_value){ since, 0, d->value,
						d->size_bytes };
	for (uint32_t i = 0; d->earlier && i < DOCUMENT_EARLIER_MAX; i++)
		if (d->earlier[i].bytes &&
		    !position_compare(d->earlier[i].since, since))
			return d->earlier[i];
	return (struct document_value){ 0 };
}

/**
 * documents_value() - the same by the hash of the document's key
 * @s: store
 * @key_hash: hash
 * @since: position of the document
 *
 * Return: as document_value().
 */
struct document_value documents_value(const struct documents *s,
				      uint64_t key_hash, struct position since)
{
	uint32_t i = index_get(s->by_key, key_hash);

	if (i == INDEX_NONE)
		return (struct document_value){ 0 };
	return document_value(s->all[i], since);
}
