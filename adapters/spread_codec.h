/*
 * Codec for frames between cb-watch processes, and between cb-watch and
 * cb-entry: a version byte, a keyed MAC (libsodium) and a msgpack message.
 */
#ifndef CB_SPREAD_CODEC_H
#define CB_SPREAD_CODEC_H

#include "spread.h"

#define SPREAD_CODEC_VERSION 1
#define SPREAD_FRAME_MAX_BYTES (4U << 20)
#define SPREAD_AUTH_BYTES 32

/**
 * struct spread_auth - key that authenticates the frames of one data centre
 * @key: derived from the shared key and the name of the data centre
 */
struct spread_auth {
	uint8_t key[SPREAD_AUTH_BYTES];
};

/**
 * spread_auth_derive() - derive the key of a data centre's links
 * @shared: shared key from the settings
 * @data_centre: name of the data centre; frames of another one fail
 *	authentication
 * @out: set to the key
 */
void spread_auth_derive(const uint8_t shared[SPREAD_AUTH_BYTES],
			const char *data_centre, struct spread_auth *out);

/**
 * spread_encode() - encode and authenticate a message
 * @msg: message
 * @auth: key
 * @out: set to the frame, to be freed with free(); NULL after an error
 * @size_bytes: set to the size of the frame
 *
 * Return: 0, or -EMSGSIZE when the frame would exceed SPREAD_FRAME_MAX_BYTES.
 */
int spread_encode(const struct spread_msg *msg, const struct spread_auth *auth,
		  uint8_t **out, uint32_t *size_bytes);

/**
 * spread_decode() - authenticate and decode a frame
 * @buf: frame; has to outlive @msg, whose items point into it
 * @size_bytes: size of the frame
 * @auth: key
 * @msg: set to the message; to be freed with spread_msg_clear() when 0 is
 *	returned
 *
 * Return: 0; -EBADMSG for a wrong MAC; -EPROTONOSUPPORT for another version;
 * -EPROTO for a message that is malformed or out of bounds; -ENOMEM.
 */
int spread_decode(const uint8_t *buf, uint32_t size_bytes,
		  const struct spread_auth *auth, struct spread_msg *msg);
void spread_msg_clear(struct spread_msg *msg);

#endif
