/* Messages that carry publications from one cb-watch to another. */
#include "spread_internal.h"

#include <string.h>

/* A version was taken: put it in force and tell others. */
void relay_accepted(struct spread *s, struct record *r, uint64_t from,
		    uint64_t now_ns)
{
	s->counters.accepted++;
	store_announce(s, r);
	peers_offer(s, r, from, now_ns);
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
		relay_accepted(s, r, from, now_ns);
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
	store_take(r, c);
	store_join(s, r, &o->version);
	r->asked_deadline_ns = 0;
	relay_accepted(s, r, msg->from, now_ns);
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
