/*
 * A datagram consists of the version byte, msgpack scalars and the MAC. There
 * are no msgpack arrays: msgpack-c allocates an array by the count in its
 * header, before it has seen the elements.
 */
#include "wire.h"

#include <errno.h>
#include <msgpack.h>
#include <sodium.h>
#include <string.h>

#define MAC_BYTES crypto_shorthash_siphashx24_BYTES
#define STATE_BITS 3
#define STATE_MASK ((1 << STATE_BITS) - 1)
#define GRANTED_BIT (1 << STATE_BITS)
#define HISTORY_KNOWN_BIT (1 << (STATE_BITS + 1))
#define CLAIM_BITS_MAX ((1 << (STATE_BITS + 2)) - 1)

/* Optional fields of a message; a field that is zero is omitted. */
enum field {
	FIELD_VIEW = 1 << 0,
	FIELD_SEQ = 1 << 1,
	FIELD_SUBJECT = 1 << 2,
	FIELD_HOPS = 1 << 3,
	FIELD_KEY = 1 << 4,
	FIELD_TARGET = 1 << 5,
	FIELD_TOKEN = 1 << 6,
	FIELD_GOSSIP = 1 << 7,
	FIELD_CLAIMS = 1 << 8,
	FIELD_DATA = 1 << 9,
	FIELD_ALL = (1 << 10) - 1
};

/**
 * struct writer - datagram that is being encoded
 * @buf: datagram
 * @size_bytes: bytes written so far
 * @capacity_bytes: size of @buf without the MAC
 */
struct writer {
	uint8_t *buf;
	uint32_t size_bytes;
	uint32_t capacity_bytes;
};

/**
 * struct reader - datagram that is being decoded
 * @buf: datagram
 * @size_bytes: size without the MAC
 * @offset: offset of the next value
 * @err: first error, or 0
 */
struct reader {
	const char *buf;
	size_t size_bytes;
	size_t offset;
	int err;
};

static int writer_append(void *ctx, const char *bytes, size_t n)
{
	struct writer *w = ctx;

	if (n > w->capacity_bytes - w->size_bytes)
		return -1;
	memcpy(w->buf + w->size_bytes, bytes, n);
	w->size_bytes += n;
	return 0;
}

static uint32_t fields_of(const struct peer_msg *msg)
{
	uint32_t f = 0;

	f |= msg->view ? FIELD_VIEW : 0;
	f |= msg->seq ? FIELD_SEQ : 0;
	f |= msg->subject ? FIELD_SUBJECT : 0;
	f |= msg->hops ? FIELD_HOPS : 0;
	f |= msg->key.caller || msg->key.vip ? FIELD_KEY : 0;
	f |= msg->target ? FIELD_TARGET : 0;
	f |= msg->token_len ? FIELD_TOKEN : 0;
	f |= msg->n_gossip ? FIELD_GOSSIP : 0;
	f |= msg->n_claims ? FIELD_CLAIMS : 0;
	f |= msg->size_bytes ? FIELD_DATA : 0;
	return f;
}

static int pack_bytes(msgpack_packer *pk, const uint8_t *bytes, uint32_t n)
{
	return msgpack_pack_bin(pk, n) | msgpack_pack_bin_body(pk, bytes, n);
}

static int pack_gossip(msgpack_packer *pk, const struct peer_msg *msg)
{
	int err = msgpack_pack_uint8(pk, msg->n_gossip);

	for (uint32_t i = 0; i < msg->n_gossip; i++) {
		err |= msgpack_pack_uint64(pk, msg->gossip[i].vm);
		err |= msgpack_pack_uint64(pk, msg->gossip[i].incarnation);
		err |= msgpack_pack_uint8(pk, msg->gossip[i].state);
	}
	return err;
}

static int pack_claim(msgpack_packer *pk, const struct claim *c)
{
	uint8_t bits = c->state;
	int err = 0;

	bits |= c->granted ? GRANTED_BIT : 0;
	bits |= c->history_known ? HISTORY_KNOWN_BIT : 0;
	err |= msgpack_pack_uint64(pk, c->request);
	err |= msgpack_pack_uint32(pk, c->bucket);
	err |= msgpack_pack_uint64(pk, c->claimer);
	err |= msgpack_pack_uint64(pk, c->start_incarnation);
	err |= msgpack_pack_uint64(pk, c->target);
	err |= msgpack_pack_uint8(pk, bits);
	return err;
}

static int pack_claims(msgpack_packer *pk, const struct peer_msg *msg)
{
	int err = msgpack_pack_uint8(pk, msg->n_claims);

	for (uint32_t i = 0; i < msg->n_claims; i++)
		err |= pack_claim(pk, &msg->claims[i]);
	return err;
}

static int pack_head(msgpack_packer *pk, const struct peer_msg *msg, uint32_t f)
{
	int err = 0;

	err |= msgpack_pack_uint8(pk, msg->kind);
	err |= msgpack_pack_uint32(pk, f);
	err |= msgpack_pack_uint64(pk, msg->from);
	err |= msgpack_pack_uint64(pk, msg->incarnation);
	return err;
}

static int pack_fields(msgpack_packer *pk, const struct peer_msg *msg,
		       uint32_t f)
{
	int err = 0;

	if (f & FIELD_VIEW)
		err |= msgpack_pack_uint64(pk, msg->view);
	if (f & FIELD_SEQ)
		err |= msgpack_pack_uint64(pk, msg->seq);
	if (f & FIELD_SUBJECT)
		err |= msgpack_pack_uint64(pk, msg->subject);
	if (f & FIELD_HOPS)
		err |= msgpack_pack_uint8(pk, msg->hops);
	if (f & FIELD_KEY)
		err |= msgpack_pack_uint64(pk, msg->key.caller) |
		       msgpack_pack_uint64(pk, msg->key.vip);
	if (f & FIELD_TARGET)
		err |= msgpack_pack_uint64(pk, msg->target);
	if (f & FIELD_TOKEN)
		err |= pack_bytes(pk, msg->token, msg->token_len);
	if (f & FIELD_GOSSIP)
		err |= pack_gossip(pk, msg);
	if (f & FIELD_CLAIMS)
		err |= pack_claims(pk, msg);
	if (f & FIELD_DATA)
		err |= pack_bytes(pk, msg->data, msg->size_bytes);
	return err;
}

static bool in_bounds(const struct peer_msg *msg)
{
	if (msg->kind == 0 || msg->kind >= PEER_KIND_COUNT)
		return false;
	if (msg->token_len > TOKEN_MAX_BYTES)
		return false;
	return msg->n_gossip <= GOSSIP_UPDATES_MAX &&
	       msg->n_claims <= CLAIMS_MAX;
}

/*
 * SipHash-2-4 with a 128-bit result, which is made for short messages. It uses
 * a key of 16 bytes: the first half of the shared key.
 * docs/design/peer-protocol.md compares alternatives.
 */
static void sign(uint8_t *buf, uint32_t body_bytes, const uint8_t *key)
{
	crypto_shorthash_siphashx24(buf + body_bytes, buf, body_bytes, key);
}

int32_t wire_encode(const struct peer_msg *msg,
		    const uint8_t key[WIRE_KEY_BYTES], uint8_t *buf,
		    uint32_t capacity_bytes)
{
	struct writer w = { .buf = buf };
	uint32_t f = fields_of(msg);
	msgpack_packer pk;

	if (!in_bounds(msg))
		return -EINVAL;
	if (capacity_bytes < 1 + MAC_BYTES)
		return -EMSGSIZE;
	w.capacity_bytes = capacity_bytes - MAC_BYTES;
	buf[w.size_bytes++] = WIRE_VERSION;
	msgpack_packer_init(&pk, &w, writer_append);
	if (pack_head(&pk, msg, f) || pack_fields(&pk, msg, f))
		return -EMSGSIZE;
	sign(buf, w.size_bytes, key);
	return (int32_t)(w.size_bytes + MAC_BYTES);
}

/* First bytes of arrays and maps: 0x80 to 0x9f and 0xdc to 0xdf. */
static bool is_container(uint8_t first_byte)
{
	return (first_byte & 0xe0) == 0x80 || (first_byte & 0xfc) == 0xdc;
}

/* After an error all further reads return zeros and keep the error. */
static msgpack_object next_scalar(struct reader *r, msgpack_object_type type)
{
	msgpack_unpacked u = { .zone = NULL };
	const msgpack_object none = { .type = MSGPACK_OBJECT_NIL };
	int ret;

	if (r->err)
		return none;
	r->err = -EPROTO;
	if (r->offset >= r->size_bytes)
		return none;
	if (is_container((uint8_t)r->buf[r->offset]))
		return none;
	ret = msgpack_unpack_next(&u, r->buf, r->size_bytes, &r->offset);
	/* A scalar needs no zone; frees one that msgpack-c may have created. */
	msgpack_zone_free(msgpack_unpacked_release_zone(&u));
	if (ret != MSGPACK_UNPACK_SUCCESS || u.data.type != type)
		return none;
	r->err = 0;
	return u.data;
}

static uint64_t read_uint(struct reader *r, uint64_t max)
{
	msgpack_object o = next_scalar(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (r->err)
		return 0;
	if (o.via.u64 > max) {
		r->err = -EPROTO;
		return 0;
	}
	return o.via.u64;
}

static const uint8_t *read_bytes(struct reader *r, uint32_t max_bytes,
				 uint32_t *size_bytes)
{
	msgpack_object o = next_scalar(r, MSGPACK_OBJECT_BIN);

	*size_bytes = 0;
	if (r->err)
		return NULL;
	if (o.via.bin.size > max_bytes) {
		r->err = -EPROTO;
		return NULL;
	}
	*size_bytes = o.via.bin.size;
	return (const uint8_t *)o.via.bin.ptr;
}

static void read_token(struct reader *r, struct peer_msg *msg)
{
	uint32_t n;
	const uint8_t *bytes = read_bytes(r, TOKEN_MAX_BYTES, &n);

	if (n)
		memcpy(msg->token, bytes, n);
	msg->token_len = n;
}

static void read_gossip(struct reader *r, struct peer_msg *msg)
{
	msg->n_gossip = read_uint(r, GOSSIP_UPDATES_MAX);
	for (uint32_t i = 0; i < msg->n_gossip && !r->err; i++) {
		msg->gossip[i].vm = read_uint(r, UINT64_MAX);
		msg->gossip[i].incarnation = read_uint(r, UINT64_MAX);
		msg->gossip[i].state = read_uint(r, MEMBER_DEAD);
	}
}

static void read_claim(struct reader *r, struct claim *c)
{
	uint32_t bits;

	c->request = read_uint(r, UINT64_MAX);
	c->bucket = read_uint(r, UINT32_MAX);
	c->claimer = read_uint(r, UINT64_MAX);
	c->start_incarnation = read_uint(r, UINT64_MAX);
	c->target = read_uint(r, UINT64_MAX);
	bits = read_uint(r, CLAIM_BITS_MAX);
	c->state = bits & STATE_MASK;
	c->granted = bits & GRANTED_BIT;
	c->history_known = bits & HISTORY_KNOWN_BIT;
	if (c->state > CLAIM_UNKNOWN)
		r->err = -EPROTO;
}

static void read_claims(struct reader *r, struct peer_msg *msg)
{
	msg->n_claims = read_uint(r, CLAIMS_MAX);
	for (uint32_t i = 0; i < msg->n_claims && !r->err; i++)
		read_claim(r, &msg->claims[i]);
}

static uint32_t read_head(struct reader *r, struct peer_msg *msg)
{
	uint32_t f;

	msg->kind = read_uint(r, PEER_KIND_COUNT - 1);
	f = read_uint(r, FIELD_ALL);
	msg->from = read_uint(r, UINT64_MAX);
	msg->incarnation = read_uint(r, UINT64_MAX);
	if (msg->kind == 0)
		r->err = -EPROTO;
	return f;
}

static void read_fields(struct reader *r, struct peer_msg *msg, uint32_t f)
{
	if (f & FIELD_VIEW)
		msg->view = read_uint(r, UINT64_MAX);
	if (f & FIELD_SEQ)
		msg->seq = read_uint(r, UINT64_MAX);
	if (f & FIELD_SUBJECT)
		msg->subject = read_uint(r, UINT64_MAX);
	if (f & FIELD_HOPS)
		msg->hops = read_uint(r, UINT8_MAX);
	if (f & FIELD_KEY) {
		msg->key.caller = read_uint(r, UINT64_MAX);
		msg->key.vip = read_uint(r, UINT64_MAX);
	}
	if (f & FIELD_TARGET)
		msg->target = read_uint(r, UINT64_MAX);
	if (f & FIELD_TOKEN)
		read_token(r, msg);
	if (f & FIELD_GOSSIP)
		read_gossip(r, msg);
	if (f & FIELD_CLAIMS)
		read_claims(r, msg);
	if (f & FIELD_DATA)
		msg->data = read_bytes(r, WIRE_MAX_BYTES, &msg->size_bytes);
}

static int check_mac(const uint8_t *buf, uint32_t body_bytes,
		     const uint8_t key[WIRE_KEY_BYTES])
{
	uint8_t mac[MAC_BYTES];

	crypto_shorthash_siphashx24(mac, buf, body_bytes, key);
	return sodium_memcmp(mac, buf + body_bytes, MAC_BYTES) ? -EBADMSG : 0;
}

int wire_decode(const uint8_t *buf, uint32_t size_bytes,
		const uint8_t key[WIRE_KEY_BYTES], struct peer_msg *msg)
{
	struct reader r = { .buf = (const char *)buf, .offset = 1 };
	uint32_t f;
	int err;

	memset(msg, 0, sizeof(*msg));
	if (size_bytes < 1 + MAC_BYTES || size_bytes > WIRE_MAX_BYTES)
		return -EPROTO;
	/* Checked first, since another version may have another MAC. */
	if (buf[0] != WIRE_VERSION)
		return -EPROTONOSUPPORT;
	err = check_mac(buf, size_bytes - MAC_BYTES, key);
	if (err)
		return err;
	r.size_bytes = size_bytes - MAC_BYTES;
	f = read_head(&r, msg);
	read_fields(&r, msg, f);
	if (r.offset != r.size_bytes)
		return -EPROTO;
	return r.err;
}
