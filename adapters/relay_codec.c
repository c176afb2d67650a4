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
/* Bound for all documents of a data centre; a configuration may have 1 MB. */
#define RELAY_MAX_BYTES (16U << 20)
#define VALUE_MAX_BYTES (2U << 20)

/**
 * relay_select_base() - select the document that a peer may send as a delta
 * @docs: documents of this process
 *
 * Return: key hash and position of the largest document; zeros when there is
 * none.
 */
struct relay_base relay_select_base(const struct documents *docs)
{
	const struct document *document = documents_largest(docs);

	if (!document)
		return (struct relay_base){ 0 };
	return (struct relay_base){ hash_text(document->key),
				    document_position(document) };
}

static struct zstd_bytes value_bytes(struct document_value v)
{
	return (struct zstd_bytes){ v.bytes, v.size_bytes };
}

static bool bases_equal(const struct relay_base *a, const struct relay_base *b)
{
	return a->key_hash == b->key_hash &&
	       !position_compare(a->since, b->since);
}

/* Whether a document is the one that the requesting peer has, unchanged. */
static bool is_base(const struct document *document,
		    const struct relay_base *base)
{
	return base->key_hash &&
	       !position_compare(document_position(document), base->since) &&
	       hash_text(document->key) == base->key_hash;
}

/*
 * Delta of a document from the value that the requesting peer has; NULL when
 * there is none. Sent completely, each change of a large configuration would go
 * to every VM; a series of changes would saturate their links and delay the
 * advertisements of targets.
 */
static const GString *delta_of(const struct document *document,
			       const struct relay_base *base,
			       struct relay_delta_cache *cache)
{
	struct position to = document_position(document);
	struct document_value from;

	if (!base->key_hash || hash_text(document->key) != base->key_hash ||
	    document->deleted || !position_compare(base->since, to))
		return NULL;
	if (cache->bytes && bases_equal(&cache->base, base) &&
	    !position_compare(cache->to, to))
		return cache->bytes;
	from = document_value_at(document, base->since);
	if (!from.bytes)
		return NULL;
	if (!cache->bytes)
		cache->bytes = g_string_new(NULL);
	cache->base = *base;
	cache->to = (struct position){ 0 };
	if (!zstd_delta_compress(value_bytes(from),
				 (struct zstd_bytes){ document->value,
						      document->size_bytes },
				 cache->bytes))
		return NULL;
	cache->to = to;
	return cache->bytes;
}

static void pack_document(msgpack_packer *p, const struct document *document,
			  const struct relay_base *base,
			  struct relay_delta_cache *cache)
{
	const GString *delta = delta_of(document, base, cache);
	bool is_unchanged = is_base(document, base) && !document->deleted;
	struct position from = { 0 };

	if (delta || is_unchanged)
		from = base->since;
	msgpack_pack_array(p, ITEM_FIELDS);
	msgpack_pack_str_with_body(p, document->key, strlen(document->key));
	msgpack_pack_uint64(p, document->epoch);
	msgpack_pack_uint64(p, document->revision);
	msgpack_pack_uint64(p, document->created);
	msgpack_pack_uint64(p, document->stale_at.epoch);
	msgpack_pack_uint64(p, document->stale_at.revision);
	msgpack_pack_uint64(p, document->deleted);
	msgpack_pack_uint64(p, from.epoch);
	msgpack_pack_uint64(p, from.revision);
	if (delta)
		msgpack_pack_bin_with_body(p, delta->str, delta->len);
	else
		msgpack_pack_bin_with_body(p, document->value,
					   is_unchanged ? 0
							: document->size_bytes);
}

/*
 * Whether the requesting peer needs a document. It has its base, even one that
 * is retained from an earlier epoch. A complete state contains the base as
 * well, since the peer deletes all documents that are missing in it.
 */
static bool peer_needs(const struct documents *docs, struct position after,
		       const struct relay_base *base,
		       const struct document *document)
{
	if (after.revision && is_base(document, base))
		return false;
	return documents_peer_lacks(docs, after, document);
}

static void pack_documents(msgpack_packer *p, const struct documents *docs,
			   struct position after, const struct relay_base *base,
			   struct relay_delta_cache *cache)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < documents_count(docs); i++)
		n += peer_needs(docs, after, base, documents_at(docs, i));
	msgpack_pack_array(p, n);
	for (uint32_t i = 0; i < documents_count(docs); i++)
		if (peer_needs(docs, after, base, documents_at(docs, i)))
			pack_document(p, documents_at(docs, i), base, cache);
}

/*
 * A deleted document keeps its last value: it allows even new processes to
 * distinguish the flows of an absent target from forged ones.
 */
void relay_encode(const struct documents *docs, struct position after,
		  const struct relay_base *base,
		  struct relay_delta_cache *cache, GString *out)
{
	bool is_complete = documents_peer_needs_full(docs, after);
	struct position through = documents_synced(docs);
	msgpack_sbuffer buf;
	msgpack_packer p;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, RELAY_FIELDS);
	msgpack_pack_uint64(&p, RELAY_VERSION);
	msgpack_pack_uint64(&p, through.epoch);
	msgpack_pack_uint64(&p, through.revision);
	msgpack_pack_uint64(&p, documents_newest(docs).revision);
	msgpack_pack_uint64(&p, documents_floor(docs).revision);
	msgpack_pack_uint64(&p, is_complete);
	if (is_complete)
		after = (struct position){ 0 };
	pack_documents(&p, docs, after, base, cache);
	zstd_delta_compress((struct zstd_bytes){ 0 },
			    (struct zstd_bytes){ (uint8_t *)buf.data,
						 (uint32_t)buf.size },
			    out);
	msgpack_sbuffer_destroy(&buf);
}

static bool unpack_document(const msgpack_object *o, struct document *document,
			    struct position *base)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t deleted;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != ITEM_FIELDS ||
	    f[0].type != MSGPACK_OBJECT_STR ||
	    f[0].via.str.size > DOCUMENT_KEY_MAX_BYTES ||
	    !msgpack_get_uint(&f[1], UINT64_MAX, &document->epoch) ||
	    !msgpack_get_uint(&f[2], UINT64_MAX, &document->revision) ||
	    !msgpack_get_uint(&f[3], UINT64_MAX, &document->created) ||
	    !msgpack_get_uint(&f[4], UINT64_MAX, &document->stale_at.epoch) ||
	    !msgpack_get_uint(&f[5], UINT64_MAX,
			      &document->stale_at.revision) ||
	    !msgpack_get_uint(&f[6], 1, &deleted) ||
	    !msgpack_get_uint(&f[7], UINT64_MAX, &base->epoch) ||
	    !msgpack_get_uint(&f[8], UINT64_MAX, &base->revision) ||
	    f[9].type != MSGPACK_OBJECT_BIN)
		return false;
	memcpy(document->key, f[0].via.str.ptr, f[0].via.str.size);
	document->deleted = deleted;
	document->value = (uint8_t *)f[9].via.bin.ptr;
	document->size_bytes = f[9].via.bin.size;
	return true;
}

/*
 * Passes a document that came as a delta to @to; an empty delta means that the
 * value is unchanged.
 *
 * Return: 0; -ESTALE when this process does not have the base value; -EPROTO.
 */
static int apply_delta(struct document *document, struct position base,
		       struct relay_receiver receiver, struct document_sink to)
{
	struct document_value from = receiver.find_value(
		receiver.ctx, hash_text(document->key), base);
	struct zstd_bytes delta = { document->value, document->size_bytes };

	if (!from.bytes)
		return -ESTALE;
	if (!delta.size_bytes) {
		document->value = from.bytes;
		document->size_bytes = from.size_bytes;
		to.take(to.ctx, document);
		return 0;
	}
	document->value =
		zstd_delta_decompress(value_bytes(from), delta, VALUE_MAX_BYTES,
				      &document->size_bytes);
	if (!document->value)
		return -EPROTO;
	to.take(to.ctx, document);
	free(document->value);
	return 0;
}

static bool unpack_head(const msgpack_object *o, struct relay_head *head)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t version, is_complete;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != RELAY_FIELDS ||
	    !msgpack_get_uint(&f[0], UINT64_MAX, &version) ||
	    version != RELAY_VERSION ||
	    !msgpack_get_uint(&f[1], UINT64_MAX, &head->through.epoch) ||
	    !msgpack_get_uint(&f[2], UINT64_MAX, &head->through.revision) ||
	    !msgpack_get_uint(&f[3], UINT64_MAX, &head->newest.revision) ||
	    !msgpack_get_uint(&f[4], UINT64_MAX, &head->floor.revision) ||
	    !msgpack_get_uint(&f[5], 1, &is_complete) ||
	    !msgpack_is_array(&f[6], DOCUMENTS_MAX))
		return false;
	head->newest.epoch = head->floor.epoch = head->through.epoch;
	head->is_full_state = is_complete;
	return true;
}

static int unpack_documents(const msgpack_object *o,
			    struct relay_receiver receiver,
			    struct document_sink to)
{
	const msgpack_object_array *all = &o->via.array.ptr[6].via.array;
	int err = 0;

	for (uint32_t i = 0; !err && i < all->size; i++) {
		struct document document = { 0 };
		struct position base;

		if (!unpack_document(&all->ptr[i], &document, &base))
			return -EPROTO;
		if (base.revision)
			err = apply_delta(&document, base, receiver, to);
		else
			to.take(to.ctx, &document);
	}
	return err;
}

static int unpack_relay(const msgpack_object *o, struct relay_receiver receiver,
			struct relay_head *head)
{
	struct document_sink to;

	if (!unpack_head(o, head))
		return -EPROTO;
	if (!receiver.begin(receiver.ctx, head, &to))
		return -EBUSY;
	return unpack_documents(o, receiver, to);
}

/**
 * relay_decode() - decode the documents of a peer
 * @data: message of relay_encode()
 * @size_bytes: size of the message
 * @receiver: receives the documents
 * @head: set to the positions of the peer
 *
 * Return: 0; -EBUSY when @receiver refused the message; -ESTALE when the base
 * value of a delta is not known any more; -EPROTO. Documents before an invalid
 * one have been passed on.
 */
int relay_decode(const uint8_t *data, uint32_t size_bytes,
		 struct relay_receiver receiver, struct relay_head *head)
{
	struct zstd_bytes packed = { data, size_bytes };
	msgpack_unpacked u;
	uint32_t n = 0;
	size_t at = 0;
	uint8_t *message = zstd_delta_decompress((struct zstd_bytes){ 0 },
						 packed, RELAY_MAX_BYTES, &n);
	int err = -EPROTO;

	if (!message)
		return -EPROTO;
	msgpack_unpacked_init(&u);
	if (!msgpack_check_bounds(message, n) &&
	    msgpack_unpack_next(&u, (const char *)message, n, &at) ==
		    MSGPACK_UNPACK_SUCCESS)
		err = unpack_relay(&u.data, receiver, head);
	msgpack_unpacked_destroy(&u);
	free(message);
	return err;
}
