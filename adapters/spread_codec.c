#include "spread_codec.h"
#include "msgpack_bound.h"

#include <errno.h>
#include <msgpack.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define MAC_BYTES 16
#define HEAD_BYTES (1 + MAC_BYTES)
#define OFFER_FIELDS 5
#define AUTH_CONTEXT "cb-watch link "

void spread_auth_derive(const uint8_t shared[SPREAD_AUTH_BYTES],
			const char *data_centre, struct spread_auth *out)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, shared, SPREAD_AUTH_BYTES,
				SPREAD_AUTH_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)AUTH_CONTEXT,
				  strlen(AUTH_CONTEXT));
	crypto_generichash_update(&state, (const uint8_t *)data_centre,
				  strlen(data_centre));
	crypto_generichash_final(&state, out->key, sizeof(out->key));
}

static void frame_mac(const uint8_t *frame, uint32_t size_bytes,
		      const struct spread_auth *auth, uint8_t mac[MAC_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, auth->key, sizeof(auth->key),
				MAC_BYTES);
	crypto_generichash_update(&state, frame, 1);
	crypto_generichash_update(&state, frame + HEAD_BYTES,
				  size_bytes - HEAD_BYTES);
	crypto_generichash_final(&state, mac, MAC_BYTES);
}

static void put_offers(msgpack_packer *p, const struct spread_msg *m)
{
	msgpack_pack_array(p, m->n_offers);
	for (uint32_t i = 0; i < m->n_offers; i++) {
		const struct spread_offer *o = &m->offers[i];

		msgpack_pack_array(p, OFFER_FIELDS);
		msgpack_pack_str_with_body(p, o->key, strlen(o->key));
		msgpack_pack_uint64(p, o->version.generation);
		msgpack_pack_uint64(p, o->version.revision);
		msgpack_pack_uint64(p, o->version.hash);
		msgpack_pack_uint64(p, o->version.withdrawn_revision);
	}
}

static void put_nothing(msgpack_packer *p, const struct spread_msg *m)
{
	(void)p;
	(void)m;
}

static void put_digest(msgpack_packer *p, const struct spread_msg *m)
{
	msgpack_pack_uint64(p, m->store_digest);
	msgpack_pack_uint64(p, m->wants_reply);
	msgpack_pack_uint64(p, m->live_reader);
	msgpack_pack_uint64(p, m->live_reader_age_ms);
}

static void put_buckets(msgpack_packer *p, const struct spread_msg *m)
{
	msgpack_pack_array(p, SPREAD_BUCKETS);
	for (uint32_t i = 0; i < SPREAD_BUCKETS; i++)
		msgpack_pack_uint64(p, m->bucket_digests[i]);
}

static void put_offer(msgpack_packer *p, const struct spread_msg *m)
{
	msgpack_pack_uint64(p, m->wants_reply);
	msgpack_pack_uint64(p, m->bucket < 0 ? SPREAD_BUCKETS
					     : (uint64_t)m->bucket);
	put_offers(p, m);
}

static void put_data(msgpack_packer *p, const struct spread_msg *m)
{
	const struct delta *d = &m->delta;

	put_offers(p, m);
	msgpack_pack_uint64(p, m->base_hash);
	msgpack_pack_array(p, d->n_removed);
	for (uint32_t i = 0; i < d->n_removed; i++)
		msgpack_pack_uint64(p, d->removed[i]);
	msgpack_pack_array(p, d->n_added);
	for (uint32_t i = 0; i < d->n_added; i++)
		msgpack_pack_bin_with_body(p, d->added[i].data,
					   d->added[i].size_bytes);
}

static void put_beat(msgpack_packer *p, const struct spread_msg *m)
{
	msgpack_pack_uint64(p, m->platform_ok);
}

static void put_hello(msgpack_packer *p, const struct spread_msg *m)
{
	msgpack_pack_uint64(p, m->store_digest);
}

/* Fields of a message under reading; @at moves past each. */
struct fields {
	const msgpack_object *at;
	const msgpack_object *end;
};

static const msgpack_object *next(struct fields *f, msgpack_object_type type)
{
	if (f->at == f->end || f->at->type != type)
		return NULL;
	return f->at++;
}

static int get_u64(struct fields *f, uint64_t max, uint64_t *out)
{
	const msgpack_object *o = next(f, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!o || o->via.u64 > max)
		return -EPROTO;
	*out = o->via.u64;
	return 0;
}

static int get_bool(struct fields *f, bool *out)
{
	uint64_t value = 0;
	int err = get_u64(f, 1, &value);

	*out = value;
	return err;
}

static int get_array(struct fields *f, uint32_t max, struct fields *inner)
{
	const msgpack_object *o = next(f, MSGPACK_OBJECT_ARRAY);

	if (!o || o->via.array.size > max)
		return -EPROTO;
	inner->at = o->via.array.ptr;
	inner->end = inner->at + o->via.array.size;
	return 0;
}

static int get_key(struct fields *f, char key[PUBLISHED_KEY_MAX_BYTES])
{
	const msgpack_object *o = next(f, MSGPACK_OBJECT_STR);

	if (!o || !o->via.str.size ||
	    o->via.str.size >= PUBLISHED_KEY_MAX_BYTES ||
	    memchr(o->via.str.ptr, 0, o->via.str.size))
		return -EPROTO;
	memcpy(key, o->via.str.ptr, o->via.str.size);
	return 0;
}

static int get_one_offer(struct fields *f, struct spread_offer *o)
{
	struct version *v = &o->version;
	struct fields in;

	if (get_array(f, OFFER_FIELDS, &in) || get_key(&in, o->key) ||
	    get_u64(&in, UINT64_MAX, &v->generation) ||
	    get_u64(&in, UINT64_MAX, &v->revision) ||
	    get_u64(&in, UINT64_MAX, &v->hash) ||
	    get_u64(&in, UINT64_MAX, &v->withdrawn_revision))
		return -EPROTO;
	return in.at == in.end ? 0 : -EPROTO;
}

static int get_offers(struct fields *f, struct spread_msg *m)
{
	struct fields in;
	uint32_t n;

	if (get_array(f, SPREAD_OFFERS_MAX, &in))
		return -EPROTO;
	n = (uint32_t)(in.end - in.at);
	m->offers = calloc(n + 1, sizeof(*m->offers));
	if (!m->offers)
		return -ENOMEM;
	for (; m->n_offers < n; m->n_offers++)
		if (get_one_offer(&in, &m->offers[m->n_offers]))
			return -EPROTO;
	return 0;
}

/* A version without a generation says nothing of a content. */
static int check_versions(const struct spread_msg *m)
{
	for (uint32_t i = 0; i < m->n_offers; i++) {
		const struct version *v = &m->offers[i].version;

		if (!v->generation && (v->revision || v->hash))
			return -EPROTO;
	}
	return 0;
}

static int get_nothing(struct fields *f, struct spread_msg *m)
{
	(void)f;
	(void)m;
	return 0;
}

static int get_digest(struct fields *f, struct spread_msg *m)
{
	if (get_u64(f, UINT64_MAX, &m->store_digest) ||
	    get_bool(f, &m->wants_reply) ||
	    get_u64(f, UINT64_MAX, &m->live_reader))
		return -EPROTO;
	return get_u64(f, UINT64_MAX / NS_PER_MS, &m->live_reader_age_ms);
}

static int get_buckets(struct fields *f, struct spread_msg *m)
{
	struct fields in;

	if (get_array(f, SPREAD_BUCKETS, &in))
		return -EPROTO;
	for (uint32_t i = 0; i < SPREAD_BUCKETS; i++)
		if (get_u64(&in, UINT64_MAX, &m->bucket_digests[i]))
			return -EPROTO;
	return 0;
}

static int get_offer(struct fields *f, struct spread_msg *m)
{
	uint64_t bucket;
	int err;

	if (get_bool(f, &m->wants_reply) || get_u64(f, SPREAD_BUCKETS, &bucket))
		return -EPROTO;
	m->bucket = bucket == SPREAD_BUCKETS ? -1 : (int32_t)bucket;
	err = get_offers(f, m);
	return err ? err : check_versions(m);
}

static int get_removed(struct fields *f, struct delta *d)
{
	struct fields in;
	uint64_t index;
	uint32_t n;

	if (get_array(f, CONTENT_ITEMS_MAX, &in))
		return -EPROTO;
	n = (uint32_t)(in.end - in.at);
	d->removed = calloc(n + 1, sizeof(*d->removed));
	if (!d->removed)
		return -ENOMEM;
	for (; d->n_removed < n; d->n_removed++) {
		if (get_u64(&in, UINT32_MAX, &index))
			return -EPROTO;
		d->removed[d->n_removed] = (uint32_t)index;
	}
	return 0;
}

static int get_added(struct fields *f, struct delta *d)
{
	struct fields in;
	uint32_t n;

	if (get_array(f, CONTENT_ITEMS_MAX, &in))
		return -EPROTO;
	n = (uint32_t)(in.end - in.at);
	d->added = calloc(n + 1, sizeof(*d->added));
	if (!d->added)
		return -ENOMEM;
	for (; d->n_added < n; d->n_added++) {
		const msgpack_object *o = next(&in, MSGPACK_OBJECT_BIN);

		if (!o)
			return -EPROTO;
		d->added[d->n_added].data = (const uint8_t *)o->via.bin.ptr;
		d->added[d->n_added].size_bytes = o->via.bin.size;
	}
	return 0;
}

static int get_data(struct fields *f, struct spread_msg *m)
{
	int err = get_offers(f, m);

	if (!err && m->n_offers != 1)
		err = -EPROTO;
	if (!err)
		err = check_versions(m);
	if (!err)
		err = get_u64(f, UINT64_MAX, &m->base_hash);
	if (!err)
		err = get_removed(f, &m->delta);
	return err ? err : get_added(f, &m->delta);
}

static int get_beat(struct fields *f, struct spread_msg *m)
{
	return get_bool(f, &m->platform_ok);
}

static int get_hello(struct fields *f, struct spread_msg *m)
{
	return get_u64(f, UINT64_MAX, &m->store_digest);
}

static const struct {
	uint32_t n_fields;
	void (*put)(msgpack_packer *p, const struct spread_msg *m);
	int (*get)(struct fields *f, struct spread_msg *m);
} kinds[SPREAD_KIND_COUNT] = {
	[SPREAD_DIGEST] = { 4, put_digest, get_digest },
	[SPREAD_BUCKET_DIGESTS] = { 1, put_buckets, get_buckets },
	[SPREAD_OFFER] = { 3, put_offer, get_offer },
	[SPREAD_WANT] = { 1, put_offers, get_offers },
	[SPREAD_DATA] = { 4, put_data, get_data },
	[SPREAD_HEARTBEAT] = { 1, put_beat, get_beat },
	[SPREAD_HELLO] = { 1, put_hello, get_hello },
	[SPREAD_VERSIONS_QUERY] = { 0, put_nothing, get_nothing },
	[SPREAD_VERSIONS] = { 1, put_offers, get_offers },
};

#define COMMON_FIELDS 2

int spread_encode(const struct spread_msg *m, const struct spread_auth *auth,
		  uint8_t **out, uint32_t *size_bytes)
{
	uint8_t head[HEAD_BYTES] = { SPREAD_CODEC_VERSION };
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	*out = NULL;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_sbuffer_write(&buffer, (const char *)head, sizeof(head));
	msgpack_pack_array(&packer, COMMON_FIELDS + kinds[m->kind].n_fields);
	msgpack_pack_uint8(&packer, m->kind);
	msgpack_pack_uint64(&packer, m->from);
	kinds[m->kind].put(&packer, m);
	if (buffer.size > SPREAD_FRAME_MAX_BYTES) {
		msgpack_sbuffer_destroy(&buffer);
		return -EMSGSIZE;
	}
	*size_bytes = (uint32_t)buffer.size;
	*out = (uint8_t *)msgpack_sbuffer_release(&buffer);
	frame_mac(*out, *size_bytes, auth, *out + 1);
	return 0;
}

static int get_message(const msgpack_object *root, struct spread_msg *m)
{
	struct fields f;
	uint64_t kind;
	int err;

	if (root->type != MSGPACK_OBJECT_ARRAY)
		return -EPROTO;
	f.at = root->via.array.ptr;
	f.end = f.at + root->via.array.size;
	if (get_u64(&f, SPREAD_KIND_COUNT - 1, &kind) || !kind ||
	    get_u64(&f, UINT64_MAX, &m->from) || !m->from)
		return -EPROTO;
	m->kind = (uint8_t)kind;
	if ((uint32_t)(f.end - f.at) != kinds[kind].n_fields)
		return -EPROTO;
	err = kinds[kind].get(&f, m);
	if (!err && f.at != f.end)
		err = -EPROTO;
	return err;
}

int spread_decode(const uint8_t *buf, uint32_t size_bytes,
		  const struct spread_auth *auth, struct spread_msg *m)
{
	uint8_t mac[MAC_BYTES];
	msgpack_unpacked u;
	size_t used = 0;
	int err = -EPROTO;

	*m = (struct spread_msg){ .bucket = -1 };
	if (size_bytes < HEAD_BYTES || size_bytes > SPREAD_FRAME_MAX_BYTES)
		return -EPROTO;
	if (buf[0] != SPREAD_CODEC_VERSION)
		return -EPROTONOSUPPORT;
	frame_mac(buf, size_bytes, auth, mac);
	if (sodium_memcmp(mac, buf + 1, MAC_BYTES))
		return -EBADMSG;
	if (msgpack_bound(buf + HEAD_BYTES, size_bytes - HEAD_BYTES))
		return -EPROTO;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, (const char *)buf + HEAD_BYTES,
				size_bytes - HEAD_BYTES,
				&used) == MSGPACK_UNPACK_SUCCESS &&
	    used == size_bytes - HEAD_BYTES)
		err = get_message(&u.data, m);
	msgpack_unpacked_destroy(&u);
	if (err)
		spread_msg_clear(m);
	return err;
}

/**
 * spread_msg_clear() - free what a decoded message holds
 * @m: message; empty afterwards
 */
void spread_msg_clear(struct spread_msg *m)
{
	free(m->offers);
	delta_clear(&m->delta);
	*m = (struct spread_msg){ .bucket = -1 };
}
