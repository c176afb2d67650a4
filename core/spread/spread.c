/* Publications that are read from the platform, and what is held. */
#include "spread_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * spread_new() - a cb-watch that knows nothing yet
 * @conf: settings
 * @port: what it needs from outside
 * @rng: random source
 * @now_ns: time
 *
 * Return: spread, to be freed with spread_free(); NULL without memory.
 */
struct spread *spread_new(const struct spread_conf *conf,
			  struct spread_port port, struct rng rng,
			  uint64_t now_ns)
{
	struct spread *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->conf = *conf;
	s->port = port;
	s->rng = rng;
	s->records = calloc(SPREAD_KEYS_MAX + 1, sizeof(*s->records));
	s->peers = calloc(SPREAD_PEERS_MAX, sizeof(*s->peers));
	s->scratch = calloc(SPREAD_OFFERS_MAX, sizeof(*s->scratch));
	if (!s->records || !s->peers || !s->scratch) {
		spread_free(s);
		return NULL;
	}
	s->best_heard_ns = now_ns;
	s->digest_deadline_ns = now_ns;
	s->beat_deadline_ns = now_ns;
	return s;
}

void spread_free(struct spread *s)
{
	if (!s)
		return;
	if (s->records)
		store_free(s);
	free(s->peers);
	free(s->scratch);
	free(s);
}

/* Why the platform's document can't be taken, or 0. */
static int publish_check(struct spread *s, const struct record *r,
			 uint64_t generation, uint64_t hash)
{
	if (generation < r->version.generation) {
		s->counters.stale_refused++;
		return -ESTALE;
	}
	if (generation > r->version.generation)
		return 0;
	if (version_withdrawn(&r->version)) {
		s->counters.returns_refused++;
		return -EPERM;
	}
	if (hash != r->version.hash) {
		s->counters.conflicts++;
		return -EEXIST;
	}
	return -EALREADY;
}

/**
 * spread_publish() - a document that was read from the platform and rendered
 * @s: spread
 * @key: key
 * @generation: its generation, at least 1
 * @revision: platform's revision of it
 * @content: rendered content, copied
 * @now_ns: time
 *
 * Return: 0 when it is accepted; -EALREADY when it is known; -ESTALE for an
 * older generation; -EEXIST for the generation in force with another content;
 * -EPERM for a withdrawn key that comes back without a higher generation, or
 * for one whose deletion is newer than @revision; -EPROTO when it can't be
 * read here; -EINVAL, -ENOSPC, -ENOMEM.
 */
int spread_publish(struct spread *s, const char *key, uint64_t generation,
		   uint64_t revision, const struct content *content,
		   uint64_t now_ns)
{
	struct version v = { generation, revision, content->hash, 0 };
	struct content *copy;
	struct record *r;
	int err;

	if (!generation)
		return -EINVAL;
	if (s->port.check(s->port.ctx, key, content)) {
		s->counters.contents_unreadable++;
		return -EPROTO;
	}
	r = store_get(s, key);
	if (!r)
		return -ENOSPC;
	err = publish_check(s, r, generation, content->hash);
	if (err)
		return err;
	if (revision < r->version.withdrawn_revision) {
		s->counters.stale_refused++;
		return -EPERM;
	}
	copy = content_new(content->items, content->n);
	if (!copy)
		return -ENOMEM;
	store_take(r, copy);
	store_join(s, r, &v);
	relay_accepted(s, r, ADDR_NONE, now_ns);
	return 0;
}

/**
 * spread_withdraw() - the platform does not have a key any more
 * @s: spread
 * @key: key
 * @revision: platform's revision when it was asked
 * @now_ns: time
 *
 * A stale platform lacks keys that were made after its view; it must not
 * withdraw them, so its revision has to be past the publication's.
 *
 * Return: 0; -ENOENT for an unknown key; -EALREADY; -ESTALE when the platform
 * is behind the publication.
 */
int spread_withdraw(struct spread *s, const char *key, uint64_t revision,
		    uint64_t now_ns)
{
	struct record *r = store_find(s, key);
	struct version v = { .withdrawn_revision = revision };

	if (!r || !r->version.generation)
		return -ENOENT;
	if (version_withdrawn(&r->version))
		return -EALREADY;
	if (revision <= r->version.revision) {
		s->counters.stale_refused++;
		return -ESTALE;
	}
	store_join(s, r, &v);
	relay_accepted(s, r, ADDR_NONE, now_ns);
	return 0;
}

uint64_t spread_root(const struct spread *s)
{
	return s->root;
}

/**
 * spread_version() - the version of a key held here
 * @s: spread
 * @key: key
 *
 * Return: version, or NULL for an unknown key.
 */
const struct version *spread_version(const struct spread *s, const char *key)
{
	const struct record *r = store_find(s, key);

	return r ? &r->version : NULL;
}

const struct content *spread_content(const struct spread *s, const char *key)
{
	const struct record *r = store_find(s, key);

	return r ? r->content : NULL;
}

/**
 * spread_each() - walk all keys in order
 * @s: spread
 * @index: from 0
 * @key: set
 * @version: set
 * @content: set, NULL when withdrawn
 *
 * Return: next index, or 0 at the end.
 */
uint32_t spread_each(const struct spread *s, uint32_t index, const char **key,
		     const struct version **version,
		     const struct content **content)
{
	if (index >= s->n_records)
		return 0;
	*key = s->records[index].key;
	*version = &s->records[index].version;
	*content = s->records[index].content;
	return index + 1;
}

const struct spread_counters *spread_counters(const struct spread *s)
{
	return &s->counters;
}
