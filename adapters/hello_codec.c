#include "hello_codec.h"

#include "msgpack_bound.h"

#include <errno.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>

#define HELLO_VERSION 4
#define HELLO_FIELDS 12
#define HELLO_LEAVING 1
#define HELLO_REPLY 2
#define HELLO_LOADS 4
#define LOAD_FIELDS 4
#define CLAIM_FIELDS 5
#define RELAY_VERSION 1
#define RELAY_FIELDS 5
#define RELAY_ITEM_FIELDS 5

static void put_numbers(msgpack_packer *p, uint32_t n, const uint64_t *v)
{
	msgpack_pack_array(p, n);
	for (uint32_t i = 0; i < n; i++)
		msgpack_pack_uint64(p, v[i]);
}

static void put_lists(msgpack_packer *p, const struct hello *h)
{
	msgpack_pack_array(p, h->n_peers);
	for (uint32_t i = 0; i < h->n_peers; i++)
		put_numbers(p, 3,
			    (uint64_t[]){ h->peers[i].addr, h->peers[i].zone,
					  h->peers[i].age_ms });
	msgpack_pack_array(p, h->n_loads);
	for (uint32_t i = 0; i < h->n_loads; i++)
		put_numbers(p, LOAD_FIELDS,
			    (uint64_t[]){ h->loads[i].cookie, h->loads[i].feeds,
					  h->loads[i].short_centi,
					  h->loads[i].running_centi });
	msgpack_pack_array(p, h->n_dead);
	for (uint32_t i = 0; i < h->n_dead; i++)
		put_numbers(p, 2,
			    (uint64_t[]){ h->dead[i].id,
					  h->dead[i].started_ms });
	msgpack_pack_array(p, h->n_failing);
	for (uint32_t i = 0; i < h->n_failing; i++)
		put_numbers(p, 2,
			    (uint64_t[]){ h->failing[i].cookie,
					  h->failing[i].failures_centi });
	msgpack_pack_array(p, h->n_claims);
	for (uint32_t i = 0; i < h->n_claims; i++)
		put_numbers(p, CLAIM_FIELDS,
			    (uint64_t[]){ h->claims[i].zone, h->claims[i].by,
					  h->claims[i].revision,
					  h->claims[i].number,
					  h->claims[i].age_ms });
}

/**
 * hello_encode() - encode a heartbeat
 * @h: heartbeat
 * @out: filled
 *
 * Return: size in bytes; 0 when it does not fit.
 */
uint32_t hello_encode(const struct hello *h, uint8_t out[HELLO_MAX_BYTES])
{
	msgpack_sbuffer buf;
	msgpack_packer p;
	uint32_t size_bytes = 0;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, HELLO_FIELDS);
	msgpack_pack_uint64(&p, HELLO_VERSION);
	msgpack_pack_uint64(&p, h->from);
	msgpack_pack_uint64(&p, h->zone);
	msgpack_pack_uint64(&p, h->boot);
	msgpack_pack_uint64(&p, (h->leaving ? HELLO_LEAVING : 0) |
					(h->reply ? HELLO_REPLY : 0) |
					(h->has_loads ? HELLO_LOADS : 0));
	msgpack_pack_uint64(&p, h->newest);
	msgpack_pack_uint64(&p, h->trouble_age_ms);
	put_lists(&p, h);
	if (buf.size <= HELLO_MAX_BYTES) {
		size_bytes = (uint32_t)buf.size;
		memcpy(out, buf.data, size_bytes);
	}
	msgpack_sbuffer_destroy(&buf);
	return size_bytes;
}

static bool number(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

static bool numbers(const msgpack_object *o, uint32_t n, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != n)
		return false;
	for (uint32_t i = 0; i < n; i++)
		if (!number(&o->via.array.ptr[i], UINT64_MAX, &out[i]))
			return false;
	return true;
}

static bool list(const msgpack_object *o, uint32_t max)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size <= max;
}

/* Rows of @fields numbers each, one after the other in @out. Return: how many
 * rows, or -EPROTO. */
static int rows(const msgpack_object *o, uint32_t max, uint32_t fields,
		uint64_t *out)
{
	if (!list(o, max))
		return -EPROTO;
	for (uint32_t i = 0; i < o->via.array.size; i++)
		if (!numbers(&o->via.array.ptr[i], fields, out + i * fields))
			return -EPROTO;
	return (int)o->via.array.size;
}

static bool get_peers(const msgpack_object *o, struct hello *h)
{
	uint64_t v[HELLO_PEERS_MAX][3];
	int n = rows(o, HELLO_PEERS_MAX, 3, v[0]);

	for (int i = 0; i < n; i++)
		h->peers[h->n_peers++] =
			(struct hello_peer){ v[i][0], (uint32_t)v[i][1],
					     (uint32_t)v[i][2] };
	return n >= 0;
}

static bool get_loads(const msgpack_object *o, struct hello *h)
{
	uint64_t v[HELLO_LOADS_MAX][LOAD_FIELDS];
	int n = rows(o, HELLO_LOADS_MAX, LOAD_FIELDS, v[0]);

	for (int i = 0; i < n; i++)
		h->loads[h->n_loads++] = (struct hello_load){
			(uint32_t)v[i][0], (uint32_t)v[i][1], (uint32_t)v[i][2],
			(uint32_t)v[i][3]
		};
	return n >= 0;
}

static bool get_failing(const msgpack_object *o, struct hello *h)
{
	uint64_t v[HELLO_FAILING_MAX][2];
	int n = rows(o, HELLO_FAILING_MAX, 2, v[0]);

	for (int i = 0; i < n; i++)
		h->failing[h->n_failing++] =
			(struct hello_failing){ (uint32_t)v[i][0],
						(uint32_t)v[i][1] };
	return n >= 0;
}

static bool get_dead(const msgpack_object *o, struct hello *h)
{
	uint64_t v[HELLO_DEAD_MAX][2];
	int n = rows(o, HELLO_DEAD_MAX, 2, v[0]);

	for (int i = 0; i < n; i++)
		h->dead[h->n_dead++] = (struct incarnation){ v[i][0], v[i][1] };
	return n >= 0;
}

static bool get_claims(const msgpack_object *o, struct hello *h)
{
	uint64_t v[HELLO_CLAIMS_MAX][CLAIM_FIELDS];
	int n = rows(o, HELLO_CLAIMS_MAX, CLAIM_FIELDS, v[0]);

	for (int i = 0; i < n; i++)
		h->claims[h->n_claims++] =
			(struct hello_claim){ (uint32_t)v[i][0], v[i][1],
					      v[i][2], (uint32_t)v[i][3],
					      (uint32_t)v[i][4] };
	return n >= 0;
}

static bool get_hello(const msgpack_object *o, struct hello *h)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t version, zone, flags, trouble;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != HELLO_FIELDS ||
	    !number(&f[0], UINT64_MAX, &version) || version != HELLO_VERSION ||
	    !number(&f[1], UINT64_MAX, &h->from) ||
	    !number(&f[2], UINT32_MAX, &zone) ||
	    !number(&f[3], UINT64_MAX, &h->boot) ||
	    !number(&f[4], UINT32_MAX, &flags) ||
	    !number(&f[5], UINT64_MAX, &h->newest) ||
	    !number(&f[6], UINT32_MAX, &trouble))
		return false;
	h->zone = (uint32_t)zone;
	h->leaving = flags & HELLO_LEAVING;
	h->reply = flags & HELLO_REPLY;
	h->has_loads = flags & HELLO_LOADS;
	h->trouble_age_ms = (uint32_t)trouble;
	return get_peers(&f[7], h) && get_loads(&f[8], h) &&
	       get_dead(&f[9], h) && get_failing(&f[10], h) &&
	       get_claims(&f[11], h);
}

/**
 * hello_decode() - decode a heartbeat
 * @data: datagram
 * @size_bytes: its size
 * @out: filled
 *
 * Return: 0, or -EPROTO.
 */
int hello_decode(const uint8_t *data, uint32_t size_bytes, struct hello *out)
{
	msgpack_unpacked u;
	size_t at = 0;
	int err = -EPROTO;

	*out = (struct hello){ 0 };
	if (msgpack_bound(data, size_bytes))
		return -EPROTO;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, (const char *)data, size_bytes, &at) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    get_hello(&u.data, out))
		err = 0;
	msgpack_unpacked_destroy(&u);
	return err;
}

/* What all documents of a data centre may take; a configuration has 1 MB. */
#define RELAY_MAX_BYTES (16U << 20)
/* Fastest level: 250 KB of routes become 20 KB in 1 ms. */
#define RELAY_LEVEL 1

/* Uncompressed, a large configuration fills a link of 10 Mbit/s for 0.2 s a
 * peer, and what waits behind it looks lost. */
static void compress(const msgpack_sbuffer *from, GString *out)
{
	size_t bound = ZSTD_compressBound(from->size);
	size_t n;

	g_string_set_size(out, bound);
	n = ZSTD_compress(out->str, bound, from->data, from->size, RELAY_LEVEL);
	g_string_truncate(out, ZSTD_isError(n) ? 0 : n);
}

/* Return: the message, to be freed, or NULL when it is none of ours. */
static uint8_t *decompress(const uint8_t *data, uint32_t size_bytes,
			   uint32_t *out_bytes)
{
	unsigned long long n = ZSTD_getFrameContentSize(data, size_bytes);
	uint8_t *out;

	if (n > RELAY_MAX_BYTES) /* also when it is unknown */
		return NULL;
	out = malloc(n + 1);
	if (out && ZSTD_decompress(out, n, data, size_bytes) == n) {
		*out_bytes = (uint32_t)n;
		return out;
	}
	free(out);
	return NULL;
}

static void put_document(msgpack_packer *p, const struct document *d)
{
	msgpack_pack_array(p, RELAY_ITEM_FIELDS);
	msgpack_pack_str_with_body(p, d->key, strlen(d->key));
	msgpack_pack_uint64(p, d->revision);
	msgpack_pack_uint64(p, d->created);
	msgpack_pack_uint64(p, d->deleted);
	msgpack_pack_bin_with_body(p, d->value, d->size_bytes);
}

/**
 * relay_encode() - encode what a peer that knows everything up to a revision
 *	lacks
 * @s: documents
 * @after: that revision
 * @out: replaced
 *
 * A deleted document keeps its last value: flows of a departed target are told
 * from forged ones by it, at young processes too.
 */
void relay_encode(const struct documents *s, uint64_t after, GString *out)
{

	bool whole = after < documents_floor(s);
	uint32_t n = 0;
	msgpack_sbuffer buf;
	msgpack_packer p;

	if (whole)
		after = 0;
	for (uint32_t i = 0; i < documents_count(s); i++)
		n += documents_at(s, i)->revision > after;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p, RELAY_FIELDS);
	msgpack_pack_uint64(&p, RELAY_VERSION);
	msgpack_pack_uint64(&p, documents_through(s));
	msgpack_pack_uint64(&p, documents_newest(s));
	msgpack_pack_uint64(&p, whole);
	msgpack_pack_array(&p, n);
	for (uint32_t i = 0; i < documents_count(s); i++)
		if (documents_at(s, i)->revision > after)
			put_document(&p, documents_at(s, i));
	compress(&buf, out);
	msgpack_sbuffer_destroy(&buf);
}

static bool get_document(const msgpack_object *o, struct document *d)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t deleted;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != RELAY_ITEM_FIELDS ||
	    f[0].type != MSGPACK_OBJECT_STR ||
	    f[0].via.str.size > DOCUMENT_KEY_MAX_BYTES ||
	    !number(&f[1], UINT64_MAX, &d->revision) ||
	    !number(&f[2], UINT64_MAX, &d->created) ||
	    !number(&f[3], 1, &deleted) || f[4].type != MSGPACK_OBJECT_BIN)
		return false;
	memcpy(d->key, f[0].via.str.ptr, f[0].via.str.size);
	d->deleted = deleted;
	d->value = (uint8_t *)f[4].via.bin.ptr;
	d->size_bytes = f[4].via.bin.size;
	return true;
}

static bool get_relay(const msgpack_object *o, struct relay_head *head)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t version, whole;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != RELAY_FIELDS ||
	    !number(&f[0], UINT64_MAX, &version) || version != RELAY_VERSION ||
	    !number(&f[1], UINT64_MAX, &head->through) ||
	    !number(&f[2], UINT64_MAX, &head->newest) ||
	    !number(&f[3], 1, &whole) || !list(&f[4], DOCUMENTS_MAX))
		return false;
	head->whole = whole;
	return true;
}

static int get_documents(const msgpack_object *o, struct facts_port to)
{
	const msgpack_object_array *all = &o->via.array.ptr[4].via.array;

	for (uint32_t i = 0; i < all->size; i++) {
		struct document d = { 0 };

		if (!get_document(&all->ptr[i], &d))
			return -EPROTO;
		to.fact(to.ctx, &d);
	}
	return 0;
}

static int take_relay(const msgpack_object *o, struct relay_port port,
		      struct relay_head *head)
{
	struct facts_port to;

	if (!get_relay(o, head))
		return -EPROTO;
	return port.begin(port.ctx, head, &to) ? get_documents(o, to) : -EBUSY;
}

/**
 * relay_decode() - a peer's documents
 * @data: body
 * @size_bytes: its size
 * @port: takes them
 * @head: filled
 *
 * Return: 0; -EBUSY when @port refused them; -EPROTO, documents before the
 * mistake were taken.
 */
int relay_decode(const uint8_t *data, uint32_t size_bytes,
		 struct relay_port port, struct relay_head *head)
{
	msgpack_unpacked u;
	uint32_t n = 0;
	size_t at = 0;
	uint8_t *message = decompress(data, size_bytes, &n);
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
