/* Sorted table of the records, and its digests. */
#include "spread_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BUCKET_SEED 0x6275636bULL

/* Index of @key; with *found false, index at which it is to be inserted. */
static uint32_t store_index(const struct spread *s, const char *key,
			    bool *found)
{
	uint32_t low = 0, high = s->n_records;

	*found = false;
	while (low < high) {
		uint32_t middle = (low + high) / 2;
		int order = strcmp(s->records[middle].key, key);

		if (!order) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

struct record *store_find(const struct spread *s, const char *key)
{
	bool found;
	uint32_t index = store_index(s, key, &found);

	return found ? &s->records[index] : NULL;
}

/* Find or insert a record; NULL when the table is full or the key too long. */
struct record *store_find_or_create(struct spread *s, const char *key)
{
	bool found;
	uint32_t index = store_index(s, key, &found);
	struct record *r = &s->records[index];

	if (found)
		return r;
	if (s->n_records == SPREAD_KEYS_MAX ||
	    strlen(key) >= PUBLISHED_KEY_MAX_BYTES) {
		s->counters.table_full++;
		return NULL;
	}
	memmove(r + 1, r, (s->n_records - index) * sizeof(*r));
	*r = (struct record){ 0 };
	strcpy(r->key, key);
	s->n_records++;
	return r;
}

uint32_t key_bucket(const char *key)
{
	return XXH3_64bits_withSeed(key, strlen(key), BUCKET_SEED) %
	       SPREAD_BUCKETS;
}

/* Exclusive or with the digests adds a record to them or removes it. */
static void toggle_digest(struct spread *s, const struct record *r)
{
	uint64_t digest;

	if (version_is_empty(&r->version))
		return;
	digest = version_digest(r->key, &r->version);
	s->store_digest ^= digest;
	s->bucket_digests[key_bucket(r->key)] ^= digest;
}

static void record_clear(struct record *r)
{
	content_free(r->content);
	r->content = NULL;
	for (uint32_t i = 0; i < CONTENT_HISTORY; i++) {
		content_free(r->history[i]);
		r->history[i] = NULL;
	}
}

/*
 * Merge a version into a record. The content that it may need has been stored
 * before.
 */
void store_merge(struct spread *s, struct record *r, const struct version *v)
{
	toggle_digest(s, r);
	version_merge(&r->version, v);
	toggle_digest(s, r);
	if (version_is_withdrawn(&r->version) && r->content) {
		record_clear(r);
		s->counters.withdrawn++;
	}
}

/* Replace the content; older ones are kept as bases for deltas. */
void store_replace_content(struct record *r, struct content *new_content)
{
	if (r->content) {
		content_free(r->history[CONTENT_HISTORY - 1]);
		memmove(&r->history[1], &r->history[0],
			(CONTENT_HISTORY - 1) * sizeof(r->history[0]));
		r->history[0] = r->content;
	}
	r->content = new_content;
}

/* Current or earlier content with this hash; NULL when there is none. */
const struct content *store_find_content(const struct record *r, uint64_t hash)
{
	if (r->content && r->content->hash == hash)
		return r->content;
	for (uint32_t i = 0; i < CONTENT_HISTORY; i++)
		if (r->history[i] && r->history[i]->hash == hash)
			return r->history[i];
	return NULL;
}

/* Report a version to the owner, once joining has ended. */
void store_put_in_force(struct spread *s, const struct record *r)
{
	bool is_roster = !strcmp(r->key, s->conf.roster_key);

	if (!(s->serving || is_roster) || version_is_empty(&r->version))
		return;
	s->port.put_in_force(s->port.ctx, r->key, &r->version, r->content);
}

void store_free(struct spread *s)
{
	for (uint32_t i = 0; i < s->n_records; i++)
		record_clear(&s->records[i]);
	free(s->records);
}
