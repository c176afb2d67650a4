/* Publications, and messages that carry them. */
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

static void accepted(struct spread *s, struct record *r, uint64_t from,
		     uint64_t now_ns)
{
	s->counters.accepted++;
	store_announce(s, r);
	peers_offer(s, r, from, now_ns);
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
	store_take(s, r, copy);
	store_join(s, r, &v);
	accepted(s, r, ADDR_NONE, now_ns);
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
	accepted(s, r, ADDR_NONE, now_ns);
	return 0;
}

static struct spread_msg reply(const struct spread *s, enum spread_kind kind)
{
	return (struct spread_msg){
		.kind = kind,
		.from = s->conf.self,
		.bucket = -1,
	};
}

static void offer_add(struct spread *s, struct spread_msg *m, const char *key,
		      const struct version *v)
{
	if (m->n_offers == SPREAD_OFFERS_MAX)
		return;
	memcpy(s->scratch[m->n_offers].key, key, PUBLISHED_KEY_MAX_BYTES);
	s->scratch[m->n_offers].version = *v;
	m->offers = s->scratch;
	m->n_offers++;
}

static void send_some(struct spread *s, uint64_t vm, const struct spread_msg *m)
{
	if (m->n_offers)
		s->port.send(s->port.ctx, vm, m);
}

/* Offer a bucket whole and ask for what the other has newer. */
static void offer_bucket(struct spread *s, uint64_t vm, uint32_t bucket)
{
	struct spread_msg m = reply(s, SPREAD_OFFER);

	m.ask = true;
	m.bucket = (int32_t)bucket;
	for (uint32_t i = 0; i < s->n_records; i++) {
		const struct record *r = &s->records[i];

		if (key_bucket(r->key) == bucket && !version_empty(&r->version))
			offer_add(s, &m, r->key, &r->version);
	}
	s->port.send(s->port.ctx, vm, &m);
}

static const struct spread_offer *offer_find(const struct spread_msg *msg,
					     const char *key)
{
	for (uint32_t i = 0; i < msg->n_offers; i++)
		if (!strcmp(msg->offers[i].key, key))
			return &msg->offers[i];
	return NULL;
}

/* Answer a whole bucket's offer with what is newer here. */
static void offer_back(struct spread *s, const struct spread_msg *msg)
{
	struct spread_msg m = reply(s, SPREAD_OFFER);

	for (uint32_t i = 0; i < s->n_records; i++) {
		const struct record *r = &s->records[i];
		const struct spread_offer *o;

		if (key_bucket(r->key) != (uint32_t)msg->bucket ||
		    version_empty(&r->version))
			continue;
		o = offer_find(msg, r->key);
		if (!o || version_newer(&r->version, &o->version))
			offer_add(s, &m, r->key, &r->version);
	}
	send_some(s, msg->from, &m);
}

/*
 * Learn from an offered version what needs no content: a withdrawal, or an
 * order of revisions under the content held. True when the content is lacking.
 */
static bool offer_learn(struct spread *s, struct record *r,
			const struct spread_offer *o, uint64_t from,
			uint64_t now_ns)
{
	struct version joined = r->version;
	struct version v = { .withdrawn_revision =
				     o->version.withdrawn_revision };

	version_join(&joined, &o->version);
	if (version_withdrawn(&joined) ||
	    (r->content && r->content->hash == joined.hash))
		v = o->version;
	if (version_newer(&v, &r->version)) {
		store_join(s, r, &v);
		accepted(s, r, from, now_ns);
	}
	return version_beats(&o->version, &r->version);
}

static void receive_offer(struct spread *s, const struct spread_msg *msg,
			  uint64_t now_ns)
{
	struct spread_msg want = reply(s, SPREAD_WANT);

	if (msg->ask && msg->bucket >= 0)
		offer_back(s, msg);
	for (uint32_t i = 0; i < msg->n_offers; i++) {
		const struct spread_offer *o = &msg->offers[i];
		struct record *r = store_get(s, o->key);
		struct version base = { 0 };

		if (!r || !offer_learn(s, r, o, msg->from, now_ns))
			continue;
		if (now_ns < r->asked_deadline_ns)
			continue;
		r->asked_deadline_ns = now_ns + WANT_TIMEOUT_NS;
		base.hash = r->content ? r->content->hash : 0;
		offer_add(s, &want, o->key, &base);
	}
	s->counters.wants += want.n_offers;
	send_some(s, msg->from, &want);
}

static void send_data(struct spread *s, uint64_t vm, const struct record *r,
		      uint64_t base_hash)
{
	struct spread_msg m = reply(s, SPREAD_DATA);
	const struct content *base = store_base(r, base_hash);
	struct spread_offer one = { .version = r->version };

	memcpy(one.key, r->key, sizeof(one.key));
	m.offers = &one;
	m.n_offers = 1;
	m.base = base ? base->hash : 0;
	if (content_diff(base, r->content, &m.delta))
		return;
	if (base)
		s->counters.deltas_sent++;
	else
		s->counters.wholes_sent++;
	s->port.send(s->port.ctx, vm, &m);
	delta_clear(&m.delta);
}

static void receive_want(struct spread *s, const struct spread_msg *msg,
			 uint64_t now_ns)
{
	(void)now_ns;
	for (uint32_t i = 0; i < msg->n_offers; i++) {
		const struct spread_offer *o = &msg->offers[i];
		const struct record *r = store_find(s, o->key);

		if (r && r->content)
			send_data(s, msg->from, r, o->version.hash);
	}
}

static void want_whole(struct spread *s, uint64_t vm, const char *key)
{
	struct spread_msg want = reply(s, SPREAD_WANT);
	struct version none = { 0 };

	offer_add(s, &want, key, &none);
	s->counters.wants++;
	send_some(s, vm, &want);
}

static void receive_data(struct spread *s, const struct spread_msg *msg,
			 uint64_t now_ns)
{
	const struct spread_offer *o = msg->offers;
	const struct content *base;
	struct content *c;
	struct record *r;

	r = msg->n_offers == 1 ? store_get(s, o->key) : NULL;
	if (!r || !version_beats(&o->version, &r->version))
		return;
	base = msg->base ? store_base(r, msg->base) : NULL;
	c = msg->base && !base ? NULL : content_patch(base, &msg->delta);
	if (!c || c->hash != o->version.hash) {
		content_free(c);
		s->counters.deltas_unusable++;
		if (msg->base)
			want_whole(s, msg->from, o->key);
		return;
	}
	if (s->port.check(s->port.ctx, o->key, c)) {
		content_free(c);
		s->counters.contents_unreadable++;
		return;
	}
	if (o->version.generation == r->version.generation)
		s->counters.conflicts++;
	store_take(s, r, c);
	store_join(s, r, &o->version);
	r->asked_deadline_ns = 0;
	accepted(s, r, msg->from, now_ns);
}

static void receive_digest(struct spread *s, const struct spread_msg *msg,
			   uint64_t now_ns)
{
	struct spread_msg m;

	s->counters.digests++;
	if (msg->root == s->root)
		peers_agreed(s, msg->from, now_ns);
	if (msg->root == s->root || !msg->ask) {
		if (msg->ask)
			peers_digest(s, msg->from, false, now_ns);
		return;
	}
	m = reply(s, SPREAD_BUCKETS_DIFFER);
	m.root = s->root;
	memcpy(m.buckets, s->buckets, sizeof(m.buckets));
	s->port.send(s->port.ctx, msg->from, &m);
}

static void receive_buckets(struct spread *s, const struct spread_msg *msg,
			    uint64_t now_ns)
{
	(void)now_ns;
	for (uint32_t i = 0; i < SPREAD_BUCKETS; i++)
		if (msg->buckets[i] != s->buckets[i])
			offer_bucket(s, msg->from, i);
}

/**
 * spread_receive() - a message from another cb-watch
 * @s: spread
 * @msg: message, authenticated and well formed
 * @now_ns: time
 */
void spread_receive(struct spread *s, const struct spread_msg *msg,
		    uint64_t now_ns)
{
	static void (*const receive[SPREAD_KIND_COUNT])(
		struct spread *, const struct spread_msg *, uint64_t) = {
		[SPREAD_DIGEST] = receive_digest,
		[SPREAD_BUCKETS_DIFFER] = receive_buckets,
		[SPREAD_OFFER] = receive_offer,
		[SPREAD_WANT] = receive_want,
		[SPREAD_DATA] = receive_data,
	};

	if (msg->from == s->conf.self || msg->kind >= SPREAD_KIND_COUNT)
		return;
	peers_heard(s, msg, now_ns);
	if (receive[msg->kind])
		receive[msg->kind](s, msg, now_ns);
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
