#include "documents.h"

#include "index.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct documents {
	struct documents_port port;
	uint64_t keep_ns;
	struct document **all;
	uint32_t n;
	uint32_t capacity;
	struct index *by_key;
	uint64_t known;
	uint64_t through;
	uint64_t newest;
	uint64_t floor;
	uint32_t listing;
};

/**
 * documents_new() - an empty store
 * @port: who is told of changes
 * @keep_ns: deleted ones are kept for this long
 *
 * Return: store, or NULL without memory.
 */
struct documents *documents_new(struct documents_port port, uint64_t keep_ns)
{
	struct documents *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->port = port;
	s->keep_ns = keep_ns;
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
	d->earlier[0] =
		(struct document_value){ d->revision, now_ns + EARLIER_KEEP_NS,
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
	d->held = !s->port.changed(s->port.ctx, d);
}

/**
 * documents_put() - take a fact
 * @s: store
 * @news: the document; its value is copied
 * @origin: how it came
 * @now_ns: time
 *
 * Return: 0 when it was taken; -EALREADY when as new a one is known;
 * -ENOMEM, also when there are too many.
 */
int documents_put(struct documents *s, const struct document *news,
		  enum document_origin origin, uint64_t now_ns)
{
	struct document *d = find(s, news->key);
	int err;

	if (d && origin == DOCUMENT_LISTED)
		d->seen = s->listing;
	if (d && news->revision <= d->revision)
		return -EALREADY;
	if (!d)
		d = add(s, news->key);
	if (!d)
		return -ENOMEM;
	err = keep_value(d, news, now_ns);
	if (err)
		return err;
	d->revision = news->revision;
	if (news->created)
		d->created = news->created;
	d->deleted = news->deleted;
	d->forget_ns = now_ns + s->keep_ns;
	if (origin == DOCUMENT_LISTED)
		d->seen = s->listing;
	if (d->revision > s->newest)
		s->newest = d->revision;
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
 * @revision: least revision that one of its pages shows
 * @now_ns: time
 *
 * What it lacks was deleted, unless it came after that revision.
 */
void documents_list_end(struct documents *s, uint64_t revision, uint64_t now_ns)
{
	for (uint32_t i = 0; i < s->n; i++) {
		struct document *d = s->all[i];

		if (d->seen == s->listing || d->deleted ||
		    d->revision > revision)
			continue;
		d->revision = revision;
		d->deleted = true;
		d->forget_ns = now_ns + s->keep_ns;
		show(s, d);
	}
	documents_knows(s, revision);
	if (revision > s->known)
		s->known = revision;
}

/**
 * documents_covered() - everything up to a revision is known, and that was all
 *	there was when the platform was asked
 * @s: store
 * @revision: revision
 */
void documents_covered(struct documents *s, uint64_t revision)
{
	if (revision > s->through)
		s->through = revision;
	if (revision > s->known)
		s->known = revision;
}

/**
 * documents_knows() - a peer with this newest revision told all it knows
 * @s: store
 * @newest: its newest revision, also when that was a deletion since forgotten
 */
void documents_knows(struct documents *s, uint64_t newest)
{
	if (newest > s->newest)
		s->newest = newest;
}

static void forget(struct documents *s, uint32_t i)
{
	struct document *d = s->all[i];

	index_del(s->by_key, hash_text(d->key), i);
	if (d->revision > s->floor)
		s->floor = d->revision;
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

/**
 * documents_tick() - forget what was deleted, or changed, long ago
 * @s: store
 * @now_ns: time
 */
void documents_tick(struct documents *s, uint64_t now_ns)
{
	for (uint32_t i = s->n; i-- > 0;) {
		forget_earlier(s->all[i], now_ns);
		if (s->all[i]->deleted && now_ns >= s->all[i]->forget_ns)
			forget(s, i);
	}
}

/**
 * documents_known() - revision up to which everything is known, though there
 *	may have been more for seconds
 * @s: store
 *
 * Return: revision, 0 before the first listing.
 */
uint64_t documents_known(const struct documents *s)
{
	return s->known;
}

/**
 * documents_through() - revision up to which everything is known, of an answer
 *	that was not old
 * @s: store
 *
 * Return: revision, 0 before the first such answer.
 */
uint64_t documents_through(const struct documents *s)
{
	return s->through;
}

/**
 * documents_newest() - highest revision of a document known
 * @s: store
 *
 * Return: revision; it tells peers whether there is anything to fetch, which
 * @documents_through doesn't: that grows with every heartbeat of a target.
 */
uint64_t documents_newest(const struct documents *s)
{
	return s->newest;
}

/**
 * documents_floor() - highest revision of a forgotten deletion
 * @s: store
 *
 * Return: revision; who knows less than this needs everything.
 */
uint64_t documents_floor(const struct documents *s)
{
	return s->floor;
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
 * document_value() - value that a document had at a revision of its own
 * @d: document
 * @revision: that revision
 *
 * Return: value, not owned; without bytes when it is not known any more.
 */
struct document_value document_value(const struct document *d,
				     uint64_t revision)
{
	if (d->revision == revision && !d->deleted)
		return (struct document_value){ revision, 0, d->value,
						d->size_bytes };
	for (uint32_t i = 0; d->earlier && i < DOCUMENT_EARLIER_MAX; i++)
		if (d->earlier[i].bytes && d->earlier[i].revision == revision)
			return d->earlier[i];
	return (struct document_value){ 0 };
}

/**
 * documents_value() - the same by the hash of the document's key
 * @s: store
 * @key_hash: hash
 * @revision: revision of the document
 *
 * Return: as document_value().
 */
struct document_value documents_value(const struct documents *s,
				      uint64_t key_hash, uint64_t revision)
{
	uint32_t i = index_get(s->by_key, key_hash);

	if (i == INDEX_NONE)
		return (struct document_value){ 0 };
	return document_value(s->all[i], revision);
}
