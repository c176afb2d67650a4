#include "hello_codec.h"

#include "msgpack_bound.h"
#include "msgpack_fields.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define HELLO_VERSION 5
#define HELLO_FIELDS 15
#define HELLO_LEAVING 1
#define HELLO_REPLY 2
#define HELLO_LOADS 4
#define LOAD_FIELDS 4
#define CLAIM_FIELDS 6

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
		put_numbers(
			p, CLAIM_FIELDS,
			(uint64_t[]){ h->claims[i].zone, h->claims[i].reader,
				      h->claims[i].position.epoch,
				      h->claims[i].position.revision,
				      h->claims[i].seq, h->claims[i].age_ms });
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
	msgpack_pack_uint64(&p, h->newest.epoch);
	msgpack_pack_uint64(&p, h->newest.revision);
	msgpack_pack_uint64(&p, h->retained_digest);
	msgpack_pack_uint64(&p, h->epoch_age_ms);
	msgpack_pack_uint64(&p, h->platform_failed_age_ms);
	put_lists(&p, h);
	if (buf.size <= HELLO_MAX_BYTES) {
		size_bytes = (uint32_t)buf.size;
		memcpy(out, buf.data, size_bytes);
	}
	msgpack_sbuffer_destroy(&buf);
	return size_bytes;
}

static bool numbers(const msgpack_object *o, uint32_t n, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != n)
		return false;
	for (uint32_t i = 0; i < n; i++)
		if (!msgpack_get_uint(&o->via.array.ptr[i], UINT64_MAX,
				      &out[i]))
			return false;
	return true;
}

/* Rows of @fields numbers each, one after the other in @out. Return: how many
 * rows, or -EPROTO. */
static int rows(const msgpack_object *o, uint32_t max, uint32_t fields,
		uint64_t *out)
{
	if (!msgpack_is_array(o, max))
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
			(struct hello_claim){ (uint32_t)v[i][0],
					      v[i][1],
					      { v[i][2], v[i][3] },
					      (uint32_t)v[i][4],
					      (uint32_t)v[i][5] };
	return n >= 0;
}

static bool get_hello(const msgpack_object *o, struct hello *h)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t version, zone, flags, age, trouble;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != HELLO_FIELDS ||
	    !msgpack_get_uint(&f[0], UINT64_MAX, &version) ||
	    version != HELLO_VERSION ||
	    !msgpack_get_uint(&f[1], UINT64_MAX, &h->from) ||
	    !msgpack_get_uint(&f[2], UINT32_MAX, &zone) ||
	    !msgpack_get_uint(&f[3], UINT64_MAX, &h->boot) ||
	    !msgpack_get_uint(&f[4], UINT32_MAX, &flags) ||
	    !msgpack_get_uint(&f[5], UINT64_MAX, &h->newest.epoch) ||
	    !msgpack_get_uint(&f[6], UINT64_MAX, &h->newest.revision) ||
	    !msgpack_get_uint(&f[7], UINT64_MAX, &h->retained_digest) ||
	    !msgpack_get_uint(&f[8], UINT32_MAX, &age) ||
	    !msgpack_get_uint(&f[9], UINT32_MAX, &trouble))
		return false;
	h->zone = (uint32_t)zone;
	h->leaving = flags & HELLO_LEAVING;
	h->reply = flags & HELLO_REPLY;
	h->has_loads = flags & HELLO_LOADS;
	h->epoch_age_ms = (uint32_t)age;
	h->platform_failed_age_ms = (uint32_t)trouble;
	return get_peers(&f[10], h) && get_loads(&f[11], h) &&
	       get_dead(&f[12], h) && get_failing(&f[13], h) &&
	       get_claims(&f[14], h);
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
	if (msgpack_check_bounds(data, size_bytes))
		return -EPROTO;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, (const char *)data, size_bytes, &at) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    get_hello(&u.data, out))
		err = 0;
	msgpack_unpacked_destroy(&u);
	return err;
}
