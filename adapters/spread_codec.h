/*
 * Frames between cb-watch processes and to cb-entry: a version byte, a keyed
 * MAC by libsodium, and a message coded with msgpack.
 */
#ifndef CB_SPREAD_CODEC_H
#define CB_SPREAD_CODEC_H

#include "spread.h"

#define SPREAD_CODEC_VERSION 1
#define SPREAD_FRAME_MAX_BYTES (4U << 20)
#define SPREAD_AUTH_BYTES 32

/**
 * struct spread_auth - key of one data centre's links
 * @key: derived from the shared key and the data centre's name
 */
struct spread_auth {
	uint8_t key[SPREAD_AUTH_BYTES];
};

/**
 * spread_auth_derive() - key of the links from the key in the settings
 * @shared: key in the settings
 * @data_centre: data centre; a frame of another one fails its MAC
 * @out: key of the links
 */
void spread_auth_derive(const uint8_t shared[SPREAD_AUTH_BYTES],
			const char *data_centre, struct spread_auth *out);

/**
 * spread_encode() - code and authenticate a message
 * @m: message
 * @auth: key
 * @out: frame, to be freed with free()
 * @size_bytes: its size
 *
 * Return: 0, -EMSGSIZE or -ENOMEM.
 */
int spread_encode(const struct spread_msg *m, const struct spread_auth *auth,
		  uint8_t **out, uint32_t *size_bytes);

/**
 * spread_decode() - check and read a frame
 * @buf: frame; the message's items point into it
 * @size_bytes: its size
 * @auth: key
 * @m: message, to be cleared with spread_msg_clear() when 0 is returned
 *
 * Return: 0; -EBADMSG for a wrong MAC; -EPROTONOSUPPORT for another version;
 * -EPROTO for a message that is malformed or out of bounds; -ENOMEM.
 */
int spread_decode(const uint8_t *buf, uint32_t size_bytes,
		  const struct spread_auth *auth, struct spread_msg *m);
void spread_msg_clear(struct spread_msg *m);

#endif
