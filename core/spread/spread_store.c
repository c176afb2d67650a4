/* Records of published keys and their digests. */
#include "spread_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BUCKET_SEED 0x6275636bULL

/* Index of @key, or of the place where it belongs with *found false. */
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
	uint32_t at = store_index(s, key, &found);

	return found ? &s->records[at] : NULL;
}

/* Find or make a record; NULL when the table is full or the key too long. */
struct record *store_get(struct spread *s, const char *key)
{
	bool found;
	uint32_t at = store_index(s, key, &found);
	struct record *r = &s->records[at];

	if (found)
		return r;
	if (s->n_records == SPREAD_KEYS_MAX ||
	    strlen(key) >= PUBLISHED_KEY_MAX_BYTES) {
		s->counters.table_full++;
		return NULL;
	}
	memmove(r + 1, r, (s->n_records - at) * sizeof(*r));
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

static void store_toggle(struct spread *s, const struct record *r)
{
	uint64_t digest;

	if (version_empty(&r->version))
		return;
	digest = version_digest(r->key, &r->version);
	s->root ^= digest;
	s->buckets[key_bucket(r->key)] ^= digest;
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

/* Join a version whose content, if it needs one, is already in place. */
void store_join(struct spread *s, struct record *r, const struct version *v)
{
	store_toggle(s, r);
	version_join(&r->version, v);
	store_toggle(s, r);
	if (version_withdrawn(&r->version) && r->content) {
		record_clear(r);
		s->counters.withdrawn++;
	}
}

/* Replace the content; the old one is kept as a base for deltas. */
void store_take(struct record *r, struct content *take)
{
	if (r->content) {
		content_free(r->history[CONTENT_HISTORY - 1]);
		memmove(&r->history[1], &r->history[0],
			(CONTENT_HISTORY - 1) * sizeof(r->history[0]));
		r->history[0] = r->content;
	}
	r->content = take;
}

/* The content with @hash, now or earlier; NULL when it is not held. */
const struct content *store_base(const struct record *r, uint64_t hash)
{
	if (r->content && r->content->hash == hash)
		return r->content;
	for (uint32_t i = 0; i < CONTENT_HISTORY; i++)
		if (r->history[i] && r->history[i]->hash == hash)
			return r->history[i];
	return NULL;
}

/* Tell the owner of this store what is in force. */
void store_announce(struct spread *s, const struct record *r)
{
	bool early = !strcmp(r->key, s->conf.roster_key);

	if (!(s->serving || early) || version_empty(&r->version))
		return;
	s->port.in_force(s->port.ctx, r->key, &r->version, r->content);
}

void store_free(struct spread *s)
{
	for (uint32_t i = 0; i < s->n_records; i++)
		record_clear(&s->records[i]);
	free(s->records);
}
