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

static void pack_offers(msgpack_packer *p, const struct spread_msg *msg)
{
	msgpack_pack_array(p, msg->n_offers);
	for (uint32_t i = 0; i < msg->n_offers; i++) {
		const struct spread_offer *o = &msg->offers[i];

		msgpack_pack_array(p, OFFER_FIELDS);
		msgpack_pack_str_with_body(p, o->key, strlen(o->key));
		msgpack_pack_uint64(p, o->version.generation);
		msgpack_pack_uint64(p, o->version.revision);
		msgpack_pack_uint64(p, o->version.hash);
		msgpack_pack_uint64(p, o->version.withdrawn_revision);
	}
}

static void pack_nothing(msgpack_packer *p, const struct spread_msg *msg)
{
	(void)p;
	(void)msg;
}

static void pack_digest(msgpack_packer *p, const struct spread_msg *msg)
{
	msgpack_pack_uint64(p, msg->store_digest);
	msgpack_pack_uint64(p, msg->wants_reply);
	msgpack_pack_uint64(p, msg->live_reader);
	msgpack_pack_uint64(p, msg->live_reader_age_ms);
}

static void pack_buckets(msgpack_packer *p, const struct spread_msg *msg)
{
	msgpack_pack_array(p, SPREAD_BUCKETS);
	for (uint32_t i = 0; i < SPREAD_BUCKETS; i++)
		msgpack_pack_uint64(p, msg->bucket_digests[i]);
}

static void pack_offer(msgpack_packer *p, const struct spread_msg *msg)
{
	msgpack_pack_uint64(p, msg->wants_reply);
	msgpack_pack_uint64(p, msg->bucket < 0 ? SPREAD_BUCKETS
					       : (uint64_t)msg->bucket);
	pack_offers(p, msg);
}

static void pack_data(msgpack_packer *p, const struct spread_msg *msg)
{
	const struct delta *d = &msg->delta;

	pack_offers(p, msg);
	msgpack_pack_uint64(p, msg->base_hash);
	msgpack_pack_array(p, d->n_removed);
	for (uint32_t i = 0; i < d->n_removed; i++)
		msgpack_pack_uint64(p, d->removed[i]);
	msgpack_pack_array(p, d->n_added);
	for (uint32_t i = 0; i < d->n_added; i++)
		msgpack_pack_bin_with_body(p, d->added[i].data,
					   d->added[i].size_bytes);
}

static void pack_heartbeat(msgpack_packer *p, const struct spread_msg *msg)
{
	msgpack_pack_uint64(p, msg->platform_ok);
}

static void pack_hello(msgpack_packer *p, const struct spread_msg *msg)
{
	msgpack_pack_uint64(p, msg->store_digest);
}

/**
 * struct fields - fields of an array that are still to be decoded
 * @at: next field
 * @end: end of the array
 */
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

static int unpack_offer_item(struct fields *f, struct spread_offer *o)
{
	struct version *v = &o->version;
	struct fields inner;

	if (get_array(f, OFFER_FIELDS, &inner) || get_key(&inner, o->key) ||
	    get_u64(&inner, UINT64_MAX, &v->generation) ||
	    get_u64(&inner, UINT64_MAX, &v->revision) ||
	    get_u64(&inner, UINT64_MAX, &v->hash) ||
	    get_u64(&inner, UINT64_MAX, &v->withdrawn_revision))
		return -EPROTO;
	return inner.at == inner.end ? 0 : -EPROTO;
}

static int unpack_offers(struct fields *f, struct spread_msg *msg)
{
	struct fields inner;
	uint32_t n;

	if (get_array(f, SPREAD_OFFERS_MAX, &inner))
		return -EPROTO;
	n = (uint32_t)(inner.end - inner.at);
	msg->offers = calloc(n + 1, sizeof(*msg->offers));
	if (!msg->offers)
		return -ENOMEM;
	for (; msg->n_offers < n; msg->n_offers++)
		if (unpack_offer_item(&inner, &msg->offers[msg->n_offers]))
			return -EPROTO;
	return 0;
}

/* A version without a generation has no content, hence no revision or hash. */
static int check_versions(const struct spread_msg *msg)
{
	for (uint32_t i = 0; i < msg->n_offers; i++) {
		const struct version *v = &msg->offers[i].version;

		if (!v->generation && (v->revision || v->hash))
			return -EPROTO;
	}
	return 0;
}

static int unpack_nothing(struct fields *f, struct spread_msg *msg)
{
	(void)f;
	(void)msg;
	return 0;
}

static int unpack_digest(struct fields *f, struct spread_msg *msg)
{
	if (get_u64(f, UINT64_MAX, &msg->store_digest) ||
	    get_bool(f, &msg->wants_reply) ||
	    get_u64(f, UINT64_MAX, &msg->live_reader))
		return -EPROTO;
	return get_u64(f, UINT64_MAX / NS_PER_MS, &msg->live_reader_age_ms);
}

static int unpack_buckets(struct fields *f, struct spread_msg *msg)
{
	struct fields inner;

	if (get_array(f, SPREAD_BUCKETS, &inner))
		return -EPROTO;
	for (uint32_t i = 0; i < SPREAD_BUCKETS; i++)
		if (get_u64(&inner, UINT64_MAX, &msg->bucket_digests[i]))
			return -EPROTO;
	return 0;
}

static int unpack_offer(struct fields *f, struct spread_msg *msg)
{
	uint64_t bucket;
	int err;

	if (get_bool(f, &msg->wants_reply) ||
	    get_u64(f, SPREAD_BUCKETS, &bucket))
		return -EPROTO;
	msg->bucket = bucket == SPREAD_BUCKETS ? -1 : (int32_t)bucket;
	err = unpack_offers(f, msg);
	return err ? err : check_versions(msg);
}

static int unpack_removed(struct fields *f, struct delta *d)
{
	struct fields inner;
	uint64_t index;
	uint32_t n;

	if (get_array(f, CONTENT_ITEMS_MAX, &inner))
		return -EPROTO;
	n = (uint32_t)(inner.end - inner.at);
	d->removed = calloc(n + 1, sizeof(*d->removed));
	if (!d->removed)
		return -ENOMEM;
	for (; d->n_removed < n; d->n_removed++) {
		if (get_u64(&inner, UINT32_MAX, &index))
			return -EPROTO;
		d->removed[d->n_removed] = (uint32_t)index;
	}
	return 0;
}

static int unpack_added(struct fields *f, struct delta *d)
{
	struct fields inner;
	uint32_t n;

	if (get_array(f, CONTENT_ITEMS_MAX, &inner))
		return -EPROTO;
	n = (uint32_t)(inner.end - inner.at);
	d->added = calloc(n + 1, sizeof(*d->added));
	if (!d->added)
		return -ENOMEM;
	for (; d->n_added < n; d->n_added++) {
		const msgpack_object *o = next(&inner, MSGPACK_OBJECT_BIN);

		if (!o)
			return -EPROTO;
		d->added[d->n_added].data = (const uint8_t *)o->via.bin.ptr;
		d->added[d->n_added].size_bytes = o->via.bin.size;
	}
	return 0;
}

static int unpack_data(struct fields *f, struct spread_msg *msg)
{
	int err = unpack_offers(f, msg);

	if (!err && msg->n_offers != 1)
		err = -EPROTO;
	if (!err)
		err = check_versions(msg);
	if (!err)
		err = get_u64(f, UINT64_MAX, &msg->base_hash);
	if (!err)
		err = unpack_removed(f, &msg->delta);
	return err ? err : unpack_added(f, &msg->delta);
}

static int unpack_heartbeat(struct fields *f, struct spread_msg *msg)
{
	return get_bool(f, &msg->platform_ok);
}

static int unpack_hello(struct fields *f, struct spread_msg *msg)
{
	return get_u64(f, UINT64_MAX, &msg->store_digest);
}

/* Number of fields after the common ones, and their codec, by kind. */
static const struct {
	uint32_t n_fields;
	void (*pack)(msgpack_packer *p, const struct spread_msg *msg);
	int (*unpack)(struct fields *f, struct spread_msg *msg);
} kinds[SPREAD_KIND_COUNT] = {
	[SPREAD_DIGEST] = { 4, pack_digest, unpack_digest },
	[SPREAD_BUCKET_DIGESTS] = { 1, pack_buckets, unpack_buckets },
	[SPREAD_OFFER] = { 3, pack_offer, unpack_offer },
	[SPREAD_WANT] = { 1, pack_offers, unpack_offers },
	[SPREAD_DATA] = { 4, pack_data, unpack_data },
	[SPREAD_HEARTBEAT] = { 1, pack_heartbeat, unpack_heartbeat },
	[SPREAD_HELLO] = { 1, pack_hello, unpack_hello },
	[SPREAD_VERSIONS_QUERY] = { 0, pack_nothing, unpack_nothing },
	[SPREAD_VERSIONS] = { 1, pack_offers, unpack_offers },
};

/* Fields of every message: kind and sender. */
#define COMMON_FIELDS 2

int spread_encode(const struct spread_msg *msg, const struct spread_auth *auth,
		  uint8_t **out, uint32_t *size_bytes)
{
	uint8_t head[HEAD_BYTES] = { SPREAD_CODEC_VERSION };
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	*out = NULL;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_sbuffer_write(&buffer, (const char *)head, sizeof(head));
	msgpack_pack_array(&packer, COMMON_FIELDS + kinds[msg->kind].n_fields);
	msgpack_pack_uint8(&packer, msg->kind);
	msgpack_pack_uint64(&packer, msg->from);
	kinds[msg->kind].pack(&packer, msg);
	if (buffer.size > SPREAD_FRAME_MAX_BYTES) {
		msgpack_sbuffer_destroy(&buffer);
		return -EMSGSIZE;
	}
	*size_bytes = (uint32_t)buffer.size;
	*out = (uint8_t *)msgpack_sbuffer_release(&buffer);
	frame_mac(*out, *size_bytes, auth, *out + 1);
	return 0;
}

static int unpack_message(const msgpack_object *root, struct spread_msg *msg)
{
	struct fields f;
	uint64_t kind;
	int err;

	if (root->type != MSGPACK_OBJECT_ARRAY)
		return -EPROTO;
	f.at = root->via.array.ptr;
	f.end = f.at + root->via.array.size;
	if (get_u64(&f, SPREAD_KIND_COUNT - 1, &kind) || !kind ||
	    get_u64(&f, UINT64_MAX, &msg->from) || !msg->from)
		return -EPROTO;
	msg->kind = (uint8_t)kind;
	if ((uint32_t)(f.end - f.at) != kinds[kind].n_fields)
		return -EPROTO;
	err = kinds[kind].unpack(&f, msg);
	if (!err && f.at != f.end)
		err = -EPROTO;
	return err;
}

int spread_decode(const uint8_t *buf, uint32_t size_bytes,
		  const struct spread_auth *auth, struct spread_msg *msg)
{
	uint8_t mac[MAC_BYTES];
	msgpack_unpacked u;
	size_t used = 0;
	int err = -EPROTO;

	*msg = (struct spread_msg){ .bucket = -1 };
	if (size_bytes < HEAD_BYTES || size_bytes > SPREAD_FRAME_MAX_BYTES)
		return -EPROTO;
	if (buf[0] != SPREAD_CODEC_VERSION)
		return -EPROTONOSUPPORT;
	frame_mac(buf, size_bytes, auth, mac);
	if (sodium_memcmp(mac, buf + 1, MAC_BYTES))
		return -EBADMSG;
	if (msgpack_check_bounds(buf + HEAD_BYTES, size_bytes - HEAD_BYTES))
		return -EPROTO;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, (const char *)buf + HEAD_BYTES,
				size_bytes - HEAD_BYTES,
				&used) == MSGPACK_UNPACK_SUCCESS &&
	    used == size_bytes - HEAD_BYTES)
		err = unpack_message(&u.data, msg);
	msgpack_unpacked_destroy(&u);
	if (err)
		spread_msg_clear(msg);
	return err;
}

/**
 * spread_msg_clear() - free the memory of a decoded message
 * @msg: message; empty afterwards
 */
void spread_msg_clear(struct spread_msg *msg)
{
	free(msg->offers);
	delta_clear(&msg->delta);
	*msg = (struct spread_msg){ .bucket = -1 };
}
