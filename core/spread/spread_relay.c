/* Messages that relay versions from one cb-watch to another. */
#include "spread_internal.h"

#include <string.h>

/* Put an accepted version in force and offer it to peers other than @from. */
void relay_version(struct spread *s, struct record *r, uint64_t from,
		   uint64_t now_ns)
{
	s->counters.accepted++;
	store_put_in_force(s, r);
	peers_offer(s, r, from, now_ns);
}

static struct spread_msg new_message(const struct spread *s,
				     enum spread_kind kind)
{
	return (struct spread_msg){
		.kind = kind,
		.from = s->conf.self,
		.bucket = -1,
	};
}

static void add_offer(struct spread *s, struct spread_msg *m, const char *key,
		      const struct version *v)
{
	if (m->n_offers == SPREAD_OFFERS_MAX)
		return;
	memcpy(s->offer_buffer[m->n_offers].key, key, PUBLISHED_KEY_MAX_BYTES);
	s->offer_buffer[m->n_offers].version = *v;
	m->offers = s->offer_buffer;
	m->n_offers++;
}

static void send_if_any(struct spread *s, uint64_t vm,
			const struct spread_msg *m)
{
	if (m->n_offers)
		s->port.send(s->port.ctx, vm, m);
}

/* Offer all versions of a bucket and request newer ones in reply. */
static void send_bucket_offer(struct spread *s, uint64_t vm, uint32_t bucket)
{
	struct spread_msg m = new_message(s, SPREAD_OFFER);

	m.wants_reply = true;
	m.bucket = (int32_t)bucket;
	for (uint32_t i = 0; i < s->n_records; i++) {
		const struct record *r = &s->records[i];

		if (key_bucket(r->key) == bucket &&
		    !version_is_empty(&r->version))
			add_offer(s, &m, r->key, &r->version);
	}
	s->port.send(s->port.ctx, vm, &m);
}

static const struct spread_offer *find_offer(const struct spread_msg *msg,
					     const char *key)
{
	for (uint32_t i = 0; i < msg->n_offers; i++)
		if (!strcmp(msg->offers[i].key, key))
			return &msg->offers[i];
	return NULL;
}

/* Reply to the offer of a whole bucket with the versions newer than in it. */
static void answer_bucket_offer(struct spread *s, const struct spread_msg *msg)
{
	struct spread_msg m = new_message(s, SPREAD_OFFER);

	for (uint32_t i = 0; i < s->n_records; i++) {
		const struct record *r = &s->records[i];
		const struct spread_offer *o;

		if (key_bucket(r->key) != (uint32_t)msg->bucket ||
		    version_is_empty(&r->version))
			continue;
		o = find_offer(msg, r->key);
		if (!o || version_adds_to(&r->version, &o->version))
			add_offer(s, &m, r->key, &r->version);
	}
	send_if_any(s, msg->from, &m);
}

/*
 * Merge the parts of an offered version that need no content: a withdrawal, or
 * another revision with the content that is stored. Returns true when the
 * content has to be requested.
 */
static bool apply_offer(struct spread *s, struct record *r,
			const struct spread_offer *o, uint64_t from,
			uint64_t now_ns)
{
	struct version merged = r->version;
	struct version v = { .withdrawn_revision =
				     o->version.withdrawn_revision };

	version_merge(&merged, &o->version);
	if (version_is_withdrawn(&merged) ||
	    (r->content && r->content->hash == merged.hash))
		v = o->version;
	if (version_adds_to(&v, &r->version)) {
		store_merge(s, r, &v);
		relay_version(s, r, from, now_ns);
	}
	return version_supersedes(&o->version, &r->version);
}

static void receive_offer(struct spread *s, const struct spread_msg *msg,
			  uint64_t now_ns)
{
	struct spread_msg request = new_message(s, SPREAD_WANT);

	if (msg->wants_reply && msg->bucket >= 0)
		answer_bucket_offer(s, msg);
	for (uint32_t i = 0; i < msg->n_offers; i++) {
		const struct spread_offer *o = &msg->offers[i];
		struct record *r = store_find_or_create(s, o->key);
		struct version base = { 0 };

		if (!r || !apply_offer(s, r, o, msg->from, now_ns))
			continue;
		if (now_ns < r->request_deadline_ns)
			continue;
		r->request_deadline_ns = now_ns + WANT_TIMEOUT_NS;
		base.hash = r->content ? r->content->hash : 0;
		add_offer(s, &request, o->key, &base);
	}
	s->counters.wants += request.n_offers;
	send_if_any(s, msg->from, &request);
}

static void send_data(struct spread *s, uint64_t vm, const struct record *r,
		      uint64_t base_hash)
{
	struct spread_msg m = new_message(s, SPREAD_DATA);
	const struct content *base = store_find_content(r, base_hash);
	struct spread_offer one = { .version = r->version };

	memcpy(one.key, r->key, sizeof(one.key));
	m.offers = &one;
	m.n_offers = 1;
	m.base_hash = base ? base->hash : 0;
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

static void request_whole_content(struct spread *s, uint64_t vm,
				  const char *key)
{
	struct spread_msg request = new_message(s, SPREAD_WANT);
	struct version none = { 0 };

	add_offer(s, &request, key, &none);
	s->counters.wants++;
	send_if_any(s, vm, &request);
}

static void receive_data(struct spread *s, const struct spread_msg *msg,
			 uint64_t now_ns)
{
	const struct spread_offer *o = msg->offers;
	const struct content *base;
	struct content *c;
	struct record *r;

	r = msg->n_offers == 1 ? store_find_or_create(s, o->key) : NULL;
	if (!r || !version_supersedes(&o->version, &r->version))
		return;
	base = msg->base_hash ? store_find_content(r, msg->base_hash) : NULL;
	c = msg->base_hash && !base ? NULL : content_patch(base, &msg->delta);
	if (!c || c->hash != o->version.hash) {
		content_free(c);
		s->counters.deltas_unusable++;
		if (msg->base_hash)
			request_whole_content(s, msg->from, o->key);
		return;
	}
	if (s->port.check_content(s->port.ctx, o->key, c)) {
		content_free(c);
		s->counters.contents_unreadable++;
		return;
	}
	if (o->version.generation == r->version.generation)
		s->counters.conflicts++;
	store_replace_content(r, c);
	store_merge(s, r, &o->version);
	r->request_deadline_ns = 0;
	relay_version(s, r, msg->from, now_ns);
}

static void receive_digest(struct spread *s, const struct spread_msg *msg,
			   uint64_t now_ns)
{
	struct spread_msg m;

	s->counters.digests++;
	if (msg->store_digest == s->store_digest)
		peers_record_agreement(s, msg->from, now_ns);
	if (msg->store_digest == s->store_digest || !msg->wants_reply) {
		if (msg->wants_reply)
			peers_send_digest(s, msg->from, false, now_ns);
		return;
	}
	m = new_message(s, SPREAD_BUCKET_DIGESTS);
	m.store_digest = s->store_digest;
	memcpy(m.bucket_digests, s->bucket_digests, sizeof(m.bucket_digests));
	s->port.send(s->port.ctx, msg->from, &m);
}

static void receive_buckets(struct spread *s, const struct spread_msg *msg,
			    uint64_t now_ns)
{
	(void)now_ns;
	for (uint32_t i = 0; i < SPREAD_BUCKETS; i++)
		if (msg->bucket_digests[i] != s->bucket_digests[i])
			send_bucket_offer(s, msg->from, i);
}

/**
 * spread_receive() - handle a message from another cb-watch
 * @s: spread
 * @msg: message, authenticated and decoded without errors
 * @now_ns: current time
 */
void spread_receive(struct spread *s, const struct spread_msg *msg,
		    uint64_t now_ns)
{
	static void (*const handlers[SPREAD_KIND_COUNT])(
		struct spread *, const struct spread_msg *, uint64_t) = {
		[SPREAD_DIGEST] = receive_digest,
		[SPREAD_BUCKET_DIGESTS] = receive_buckets,
		[SPREAD_OFFER] = receive_offer,
		[SPREAD_WANT] = receive_want,
		[SPREAD_DATA] = receive_data,
	};

	if (msg->from == s->conf.self || msg->kind >= SPREAD_KIND_COUNT)
		return;
	peers_record_message(s, msg, now_ns);
	if (handlers[msg->kind])
		handlers[msg->kind](s, msg, now_ns);
}
