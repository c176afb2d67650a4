#include "relay_codec.h"

#include "msgpack_bound.h"
#include "msgpack_fields.h"
#include "zstd_delta.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define RELAY_VERSION 3
#define RELAY_FIELDS 7
#define ITEM_FIELDS 10
/* What all documents of a data centre may take; a configuration has 1 MB. */
#define RELAY_MAX_BYTES (16U << 20)
#define VALUE_MAX_BYTES (2U << 20)

/**
 * relay_base() - the document that a peer need not send whole
 * @s: documents here
 *
 * Return: the largest one's key and position.
 */
struct relay_base relay_base(const struct documents *s)
{
	const struct document *d = documents_largest(s);

	if (!d)
		return (struct relay_base){ 0 };
	return (struct relay_base){ hash_text(d->key), document_position(d) };
}

static struct zstd_bytes bytes_of(struct document_value v)
{
	return (struct zstd_bytes){ v.bytes, v.size_bytes };
}

static bool same(const struct relay_base *a, const struct relay_base *b)
{
	return a->key_hash == b->key_hash &&
	       !position_compare(a->since, b->since);
}

/* Whether the asking peer has a document as it is. */
static bool is_base(const struct document *d, const struct relay_base *base)
{
	return base->key_hash &&
	       !position_compare(document_position(d), base->since) &&
	       hash_text(d->key) == base->key_hash;
}

/*
 * What changed in a document since the asking peer's value of it. Whole, each
 * change of a large configuration would go to every VM, and a row of changes
 * would fill their links: news of targets would come too late.
 */
static const GString *delta_of(const struct document *d,
			       const struct relay_base *base,
			       struct relay_delta *last)
{
	struct position to = document_position(d);
	struct document_value from;

	if (!base->key_hash || hash_text(d->key) != base->key_hash ||
	    d->deleted || !position_compare(base->since, to))
		return NULL;
	if (last->bytes && same(&last->base, base) &&
	    !position_compare(last->to, to))
		return last->bytes;
	from = document_value_at(d, base->since);
	if (!from.bytes)
		return NULL;
	if (!last->bytes)
		last->bytes = g_string_new(NULL);
	last->base = *base;
	last->to = (struct position){ 0 };
	if (!zstd_pack(bytes_of(from),
		       (struct zstd_bytes){ d->value, d->size_bytes },
		       last->bytes))
		return NULL;
	last->to = to;
	return last->bytes;
}

static void put_document(msgpack_packer *p, const struct document *d,
			 const struct relay_base *base,
			 struct relay_delta *last)
{
	const GString *delta = delta_of(d, base, last);
	bool same = is_base(d, base) && !d->deleted;
	struct position from = { 0 };

	if (delta || same)
		from = base->since;
	msgpack_pack_array(p, ITEM_FIELDS);
	msgpack_pack_str_with_body(p, d->key, strlen(d->key));
	msgpack_pack_uint64(p, d->epoch);
	msgpack_pack_uint64(p, d->revision);
	msgpack_pack_uint64(p, d->created);
	msgpack_pack_uint64(p, d->stale_at.epoch);
	msgpack_pack_uint64(p, d->stale_at.revision);
	msgpack_pack_uint64(p, d->deleted);
	msgpack_pack_uint64(p, from.epoch);
	msgpack_pack_uint64(p, from.revision);
	if (delta)
		msgpack_pack_bin_with_body(p, delta->str, delta->len);
	else
		msgpack_pack_bin_with_body(p, d->value,
					   same ? 0 : d->size_bytes);
}

/*
 * The asking peer has its base, also when it is carried over. Of a whole state
 * it is a part all the same: what that lacks was deleted.
 */
static bool lacks(const struct documents *s, struct position after,
		  const struct relay_base *base, const struct document *d)
{
	if (after.revision && is_base(d, base))
		return false;
	return documents_peer_lacks(s, after, d);
}

static void put_documents(msgpack_packer *p, const struct documents *s,
			  struct position after, const struct relay_base *base,
			  struct relay_delta *last)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < documents_count(s); i++)
		n += lacks(s, after, base, documents_at(s, i));
	msgpack_pack_array(p, n);
	for (uint32_t i = 0; i < documents_count(s); i++)
		if (lacks(s, after, base, documents_at(s, i)))
			put_document(p, documents_at(s, i), base, last);
}

/**
 * relay_encode() - encode what a peer that knows everything up to a position
 *	lacks
 * @s: documents
 * @after: that position
 * @base: a large document that the peer has
 * @delta: kept between calls
 * @out: replaced; empty without memory
 *
 * A deleted document keeps its last value: flows of a departed target are told
 * from forged ones by it, at young processes too.
 */
void relay_encode(const struct documents *s, struct position after,
		  const struct relay_base *base, struct relay_delta *delta,
		  GString *out)
{
	bool whole = documents_peer_needs_full(s, after);
	struct position through = documents_synced(s);
	msgpack_sbuffer buf;
	msgpack_packer p;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, RELAY_FIELDS);
	msgpack_pack_uint64(&p, RELAY_VERSION);
	msgpack_pack_uint64(&p, through.epoch);
	msgpack_pack_uint64(&p, through.revision);
	msgpack_pack_uint64(&p, documents_newest(s).revision);
	msgpack_pack_uint64(&p, documents_floor(s).revision);
	msgpack_pack_uint64(&p, whole);
	if (whole)
		after = (struct position){ 0 };
	put_documents(&p, s, after, base, delta);
	zstd_pack((struct zstd_bytes){ 0 },
		  (struct zstd_bytes){ (uint8_t *)buf.data,
				       (uint32_t)buf.size },
		  out);
	msgpack_sbuffer_destroy(&buf);
}

static bool get_document(const msgpack_object *o, struct document *d,
			 struct position *base)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t deleted;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != ITEM_FIELDS ||
	    f[0].type != MSGPACK_OBJECT_STR ||
	    f[0].via.str.size > DOCUMENT_KEY_MAX_BYTES ||
	    !msgpack_number(&f[1], UINT64_MAX, &d->epoch) ||
	    !msgpack_number(&f[2], UINT64_MAX, &d->revision) ||
	    !msgpack_number(&f[3], UINT64_MAX, &d->created) ||
	    !msgpack_number(&f[4], UINT64_MAX, &d->stale_at.epoch) ||
	    !msgpack_number(&f[5], UINT64_MAX, &d->stale_at.revision) ||
	    !msgpack_number(&f[6], 1, &deleted) ||
	    !msgpack_number(&f[7], UINT64_MAX, &base->epoch) ||
	    !msgpack_number(&f[8], UINT64_MAX, &base->revision) ||
	    f[9].type != MSGPACK_OBJECT_BIN)
		return false;
	memcpy(d->key, f[0].via.str.ptr, f[0].via.str.size);
	d->deleted = deleted;
	d->value = (uint8_t *)f[9].via.bin.ptr;
	d->size_bytes = f[9].via.bin.size;
	return true;
}

/* Nothing changed when the change is empty. Return: 0; -ESTALE when the value
 * that it goes from is not here. */
static int take_delta(struct document *d, struct position base,
		      struct relay_port port, struct document_sink to)
{
	struct document_value from =
		port.known(port.ctx, hash_text(d->key), base);
	struct zstd_bytes delta = { d->value, d->size_bytes };

	if (!from.bytes)
		return -ESTALE;
	if (!delta.size_bytes) {
		d->value = from.bytes;
		d->size_bytes = from.size_bytes;
		to.take(to.ctx, d);
		return 0;
	}
	d->value = zstd_unpack(bytes_of(from), delta, VALUE_MAX_BYTES,
			       &d->size_bytes);
	if (!d->value)
		return -EPROTO;
	to.take(to.ctx, d);
	free(d->value);
	return 0;
}

static bool get_relay(const msgpack_object *o, struct relay_head *head)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t version, whole;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != RELAY_FIELDS ||
	    !msgpack_number(&f[0], UINT64_MAX, &version) ||
	    version != RELAY_VERSION ||
	    !msgpack_number(&f[1], UINT64_MAX, &head->through.epoch) ||
	    !msgpack_number(&f[2], UINT64_MAX, &head->through.revision) ||
	    !msgpack_number(&f[3], UINT64_MAX, &head->newest.revision) ||
	    !msgpack_number(&f[4], UINT64_MAX, &head->floor.revision) ||
	    !msgpack_number(&f[5], 1, &whole) ||
	    !msgpack_list(&f[6], DOCUMENTS_MAX))
		return false;
	head->newest.epoch = head->floor.epoch = head->through.epoch;
	head->whole = whole;
	return true;
}

static int get_documents(const msgpack_object *o, struct relay_port port,
			 struct document_sink to)
{
	const msgpack_object_array *all = &o->via.array.ptr[6].via.array;
	int err = 0;

	for (uint32_t i = 0; !err && i < all->size; i++) {
		struct document d = { 0 };
		struct position base;

		if (!get_document(&all->ptr[i], &d, &base))
			return -EPROTO;
		if (base.revision)
			err = take_delta(&d, base, port, to);
		else
			to.take(to.ctx, &d);
	}
	return err;
}

static int take_relay(const msgpack_object *o, struct relay_port port,
		      struct relay_head *head)
{
	struct document_sink to;

	if (!get_relay(o, head))
		return -EPROTO;
	if (!port.begin(port.ctx, head, &to))
		return -EBUSY;
	return get_documents(o, port, to);
}

/**
 * relay_decode() - a peer's documents
 * @data: body
 * @size_bytes: its size
 * @port: takes them
 * @head: filled
 *
 * Return: 0; -EBUSY when @port refused them; -ESTALE when one came as a change
 * of a value that is not known any more, and -EPROTO: documents before it were
 * taken.
 */
int relay_decode(const uint8_t *data, uint32_t size_bytes,
		 struct relay_port port, struct relay_head *head)
{
	struct zstd_bytes packed = { data, size_bytes };
	msgpack_unpacked u;
	uint32_t n = 0;
	size_t at = 0;
	uint8_t *message = zstd_unpack((struct zstd_bytes){ 0 }, packed,
				       RELAY_MAX_BYTES, &n);
	int err = -EPROTO;

	if (!message)
		return -EPROTO;
	msgpack_unpacked_init(&u);
	if (!msgpack_bound(message, n) &&
	    msgpack_unpack_next(&u, (const char *)message, n, &at) ==
		    MSGPACK_UNPACK_SUCCESS)
		err = take_relay(&u.data, port, head);
	msgpack_unpacked_destroy(&u);
	free(message);
	return err;
}
