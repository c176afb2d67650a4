#include "hello_codec.h"

#include "msgpack_bound.h"
#include "msgpack_fields.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define HELLO_VERSION 5
#define HELLO_FIELDS 15
#define HELLO_FLAG_LEAVING 1
#define HELLO_FLAG_REPLY 2
#define HELLO_FLAG_LOADS 4
/* Numbers in a row of each list. */
#define PEER_FIELDS 3
#define LOAD_FIELDS 4
#define DEAD_FIELDS 2
#define FAILING_FIELDS 2
#define CLAIM_FIELDS 6

static void pack_row(msgpack_packer *packer, uint32_t n, const uint64_t *v)
{
	msgpack_pack_array(packer, n);
	for (uint32_t i = 0; i < n; i++)
		msgpack_pack_uint64(packer, v[i]);
}

static void pack_lists(msgpack_packer *packer, const struct hello *hello)
{
	msgpack_pack_array(packer, hello->n_peers);
	for (uint32_t i = 0; i < hello->n_peers; i++)
		pack_row(packer, PEER_FIELDS,
			 (uint64_t[]){ hello->peers[i].addr,
				       hello->peers[i].zone,
				       hello->peers[i].age_ms });
	msgpack_pack_array(packer, hello->n_loads);
	for (uint32_t i = 0; i < hello->n_loads; i++)
		pack_row(packer, LOAD_FIELDS,
			 (uint64_t[]){ hello->loads[i].cookie,
				       hello->loads[i].feeds,
				       hello->loads[i].short_centi,
				       hello->loads[i].running_centi });
	msgpack_pack_array(packer, hello->n_dead);
	for (uint32_t i = 0; i < hello->n_dead; i++)
		pack_row(packer, DEAD_FIELDS,
			 (uint64_t[]){ hello->dead[i].id,
				       hello->dead[i].started_ms });
	msgpack_pack_array(packer, hello->n_failing);
	for (uint32_t i = 0; i < hello->n_failing; i++)
		pack_row(packer, FAILING_FIELDS,
			 (uint64_t[]){ hello->failing[i].cookie,
				       hello->failing[i].failures_centi });
	msgpack_pack_array(packer, hello->n_claims);
	for (uint32_t i = 0; i < hello->n_claims; i++)
		pack_row(packer, CLAIM_FIELDS,
			 (uint64_t[]){ hello->claims[i].zone,
				       hello->claims[i].reader,
				       hello->claims[i].position.epoch,
				       hello->claims[i].position.revision,
				       hello->claims[i].seq,
				       hello->claims[i].age_ms });
}

/**
 * hello_encode() - encode a heartbeat
 * @hello: heartbeat
 * @out: datagram
 *
 * Return: size of the datagram in bytes; 0 when it exceeds HELLO_MAX_BYTES.
 */
uint32_t hello_encode(const struct hello *hello, uint8_t out[HELLO_MAX_BYTES])
{
	msgpack_sbuffer buf;
	msgpack_packer packer;
	uint32_t size_bytes = 0;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&packer, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, HELLO_FIELDS);
	msgpack_pack_uint64(&packer, HELLO_VERSION);
	msgpack_pack_uint64(&packer, hello->from);
	msgpack_pack_uint64(&packer, hello->zone);
	msgpack_pack_uint64(&packer, hello->boot);
	msgpack_pack_uint64(&packer,
			    (hello->leaving ? HELLO_FLAG_LEAVING : 0) |
				    (hello->reply ? HELLO_FLAG_REPLY : 0) |
				    (hello->has_loads ? HELLO_FLAG_LOADS : 0));
	msgpack_pack_uint64(&packer, hello->newest.epoch);
	msgpack_pack_uint64(&packer, hello->newest.revision);
	msgpack_pack_uint64(&packer, hello->retained_digest);
	msgpack_pack_uint64(&packer, hello->epoch_age_ms);
	msgpack_pack_uint64(&packer, hello->platform_failed_age_ms);
	pack_lists(&packer, hello);
	if (buf.size <= HELLO_MAX_BYTES) {
		size_bytes = (uint32_t)buf.size;
		memcpy(out, buf.data, size_bytes);
	}
	msgpack_sbuffer_destroy(&buf);
	return size_bytes;
}

static bool unpack_row(const msgpack_object *o, uint32_t n, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != n)
		return false;
	for (uint32_t i = 0; i < n; i++)
		if (!msgpack_get_uint(&o->via.array.ptr[i], UINT64_MAX,
				      &out[i]))
			return false;
	return true;
}

/*
 * Decodes at most @max rows of @fields numbers each into @out, one row after
 * another. Returns the number of rows, or -EPROTO.
 */
static int unpack_rows(const msgpack_object *o, uint32_t max, uint32_t fields,
		       uint64_t *out)
{
	if (!msgpack_is_array(o, max))
		return -EPROTO;
	for (uint32_t i = 0; i < o->via.array.size; i++)
		if (!unpack_row(&o->via.array.ptr[i], fields, out + i * fields))
			return -EPROTO;
	return (int)o->via.array.size;
}

static bool decode_peers(const msgpack_object *o, struct hello *hello)
{
	uint64_t v[HELLO_PEERS_MAX][PEER_FIELDS];
	int n = unpack_rows(o, HELLO_PEERS_MAX, PEER_FIELDS, v[0]);

	for (int i = 0; i < n; i++)
		hello->peers[hello->n_peers++] =
			(struct hello_peer){ v[i][0], (uint32_t)v[i][1],
					     (uint32_t)v[i][2] };
	return n >= 0;
}

static bool decode_loads(const msgpack_object *o, struct hello *hello)
{
	uint64_t v[HELLO_LOADS_MAX][LOAD_FIELDS];
	int n = unpack_rows(o, HELLO_LOADS_MAX, LOAD_FIELDS, v[0]);

	for (int i = 0; i < n; i++)
		hello->loads[hello->n_loads++] = (struct hello_load){
			(uint32_t)v[i][0], (uint32_t)v[i][1], (uint32_t)v[i][2],
			(uint32_t)v[i][3]
		};
	return n >= 0;
}

static bool decode_failing(const msgpack_object *o, struct hello *hello)
{
	uint64_t v[HELLO_FAILING_MAX][FAILING_FIELDS];
	int n = unpack_rows(o, HELLO_FAILING_MAX, FAILING_FIELDS, v[0]);

	for (int i = 0; i < n; i++)
		hello->failing[hello->n_failing++] =
			(struct hello_failing){ (uint32_t)v[i][0],
						(uint32_t)v[i][1] };
	return n >= 0;
}

static bool decode_dead(const msgpack_object *o, struct hello *hello)
{
	uint64_t v[HELLO_DEAD_MAX][DEAD_FIELDS];
	int n = unpack_rows(o, HELLO_DEAD_MAX, DEAD_FIELDS, v[0]);

	for (int i = 0; i < n; i++)
		hello->dead[hello->n_dead++] =
			(struct incarnation){ v[i][0], v[i][1] };
	return n >= 0;
}

static bool decode_claims(const msgpack_object *o, struct hello *hello)
{
	uint64_t v[HELLO_CLAIMS_MAX][CLAIM_FIELDS];
	int n = unpack_rows(o, HELLO_CLAIMS_MAX, CLAIM_FIELDS, v[0]);

	for (int i = 0; i < n; i++)
		hello->claims[hello->n_claims++] =
			(struct hello_claim){ (uint32_t)v[i][0],
					      v[i][1],
					      { v[i][2], v[i][3] },
					      (uint32_t)v[i][4],
					      (uint32_t)v[i][5] };
	return n >= 0;
}

static bool decode_fields(const msgpack_object *o, struct hello *hello)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t version, zone, flags, epoch_age_ms, platform_failed_age_ms;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != HELLO_FIELDS ||
	    !msgpack_get_uint(&f[0], UINT64_MAX, &version) ||
	    version != HELLO_VERSION ||
	    !msgpack_get_uint(&f[1], UINT64_MAX, &hello->from) ||
	    !msgpack_get_uint(&f[2], UINT32_MAX, &zone) ||
	    !msgpack_get_uint(&f[3], UINT64_MAX, &hello->boot) ||
	    !msgpack_get_uint(&f[4], UINT32_MAX, &flags) ||
	    !msgpack_get_uint(&f[5], UINT64_MAX, &hello->newest.epoch) ||
	    !msgpack_get_uint(&f[6], UINT64_MAX, &hello->newest.revision) ||
	    !msgpack_get_uint(&f[7], UINT64_MAX, &hello->retained_digest) ||
	    !msgpack_get_uint(&f[8], UINT32_MAX, &epoch_age_ms) ||
	    !msgpack_get_uint(&f[9], UINT32_MAX, &platform_failed_age_ms))
		return false;
	hello->zone = (uint32_t)zone;
	hello->leaving = flags & HELLO_FLAG_LEAVING;
	hello->reply = flags & HELLO_FLAG_REPLY;
	hello->has_loads = flags & HELLO_FLAG_LOADS;
	hello->epoch_age_ms = (uint32_t)epoch_age_ms;
	hello->platform_failed_age_ms = (uint32_t)platform_failed_age_ms;
	return decode_peers(&f[10], hello) && decode_loads(&f[11], hello) &&
	       decode_dead(&f[12], hello) && decode_failing(&f[13], hello) &&
	       decode_claims(&f[14], hello);
}

/**
 * hello_decode() - decode a heartbeat
 * @data: datagram
 * @size_bytes: size of @data
 * @out: heartbeat
 *
 * Return: 0, or -EPROTO when the datagram is malformed, exceeds a limit or has
 * another version of the codec.
 */
int hello_decode(const uint8_t *data, uint32_t size_bytes, struct hello *out)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int err = -EPROTO;

	*out = (struct hello){ 0 };
	if (msgpack_check_bounds(data, size_bytes))
		return -EPROTO;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size_bytes,
				&offset) == MSGPACK_UNPACK_SUCCESS &&
	    decode_fields(&unpacked.data, out))
		err = 0;
	msgpack_unpacked_destroy(&unpacked);
	return err;
}
