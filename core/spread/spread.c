/* Versions read from the platform, and access to the records. */
#include "spread_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/**
 * spread_new() - make the state of a cb-watch that has no records yet
 * @conf: settings, copied
 * @port: callbacks of the owner
 * @rng: random source of its own
 * @now_ns: current time
 *
 * Return: spread, to be freed with spread_free(); NULL when memory is short.
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
	s->offer_buffer = calloc(SPREAD_OFFERS_MAX, sizeof(*s->offer_buffer));
	if (!s->records || !s->peers || !s->offer_buffer) {
		spread_free(s);
		return NULL;
	}
	s->best_reader_heard_ns = now_ns;
	s->digest_deadline_ns = now_ns;
	s->heartbeat_deadline_ns = now_ns;
	return s;
}

void spread_free(struct spread *s)
{
	if (!s)
		return;
	if (s->records)
		store_free(s);
	free(s->peers);
	free(s->offer_buffer);
	free(s);
}

/* 0 or the reason for which a document of the platform is refused. */
static int check_publication(struct spread *s, const struct record *r,
			     uint64_t generation, uint64_t hash)
{
	if (generation < r->version.generation) {
		s->counters.stale_refused++;
		return -ESTALE;
	}
	if (generation > r->version.generation)
		return 0;
	if (version_is_withdrawn(&r->version)) {
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
 * spread_publish() - accept a document that was read from the platform
 * @s: spread
 * @key: key
 * @generation: generation of the document, at least 1
 * @revision: platform's revision of the document
 * @content: rendered content, copied
 * @now_ns: current time
 *
 * Return: 0 when the version is put in force and offered to peers; -EALREADY
 * when it is known; -ESTALE for an older generation; -EEXIST for the generation
 * in force with another content; -EPERM for a withdrawn key that is published
 * again without a higher generation, or whose deletion is newer than @revision;
 * -EPROTO when this process cannot parse @content; -EINVAL for generation 0;
 * -ENOSPC when the table is full or @key too long; -ENOMEM.
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
	if (s->port.check_content(s->port.ctx, key, content)) {
		s->counters.contents_unreadable++;
		return -EPROTO;
	}
	r = store_find_or_create(s, key);
	if (!r)
		return -ENOSPC;
	err = check_publication(s, r, generation, content->hash);
	if (err)
		return err;
	if (revision < r->version.withdrawn_revision) {
		s->counters.stale_refused++;
		return -EPERM;
	}
	copy = content_new(content->items, content->n);
	if (!copy)
		return -ENOMEM;
	store_replace_content(r, copy);
	store_merge(s, r, &v);
	relay_version(s, r, ADDR_NONE, now_ns);
	return 0;
}

/**
 * spread_withdraw() - withdraw a key that the platform does not have any more
 * @s: spread
 * @key: key
 * @revision: platform's revision at which the key was missing
 * @now_ns: current time
 *
 * A stale platform lacks keys that were created after its state. It must not
 * withdraw them, so @revision has to be higher than the publication's.
 *
 * Return: 0; -ENOENT for an unknown key; -EALREADY for a withdrawn one; -ESTALE
 * when the platform is behind the publication.
 */
int spread_withdraw(struct spread *s, const char *key, uint64_t revision,
		    uint64_t now_ns)
{
	struct record *r = store_find(s, key);
	struct version v = { .withdrawn_revision = revision };

	if (!r || !r->version.generation)
		return -ENOENT;
	if (version_is_withdrawn(&r->version))
		return -EALREADY;
	if (revision <= r->version.revision) {
		s->counters.stale_refused++;
		return -ESTALE;
	}
	store_merge(s, r, &v);
	relay_version(s, r, ADDR_NONE, now_ns);
	return 0;
}

/**
 * spread_store_digest() - digest of all records
 * @s: spread
 *
 * Return: hash; equal on VMs that have the same versions.
 */
uint64_t spread_store_digest(const struct spread *s)
{
	return s->store_digest;
}

/**
 * spread_version() - version of a key
 * @s: spread
 * @key: key
 *
 * Return: version, valid until the next call that changes @s; NULL for an
 * unknown key.
 */
const struct version *spread_version(const struct spread *s, const char *key)
{
	const struct record *r = store_find(s, key);

	return r ? &r->version : NULL;
}

/**
 * spread_content() - content of a key
 * @s: spread
 * @key: key
 *
 * Return: content, valid until the next call that changes @s; NULL when the key
 * is unknown, withdrawn or only requested.
 */
const struct content *spread_content(const struct spread *s, const char *key)
{
	const struct record *r = store_find(s, key);

	return r ? r->content : NULL;
}

/**
 * spread_next_key() - iterate over the records in ascending order of their keys
 * @s: spread
 * @index: 0, then the value returned last
 * @key: set to the key
 * @version: set to its version
 * @content: set to its content; NULL when it is withdrawn or only requested
 *
 * Return: index for the next call; 0 past the last record, with nothing set.
 */
uint32_t spread_next_key(const struct spread *s, uint32_t index,
			 const char **key, const struct version **version,
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
