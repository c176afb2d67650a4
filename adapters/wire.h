/* Codec for messages between entries: version byte, msgpack, keyed MAC. */
#ifndef CB_WIRE_H
#define CB_WIRE_H

#include "peer.h"

#define WIRE_VERSION 1
#define WIRE_MAX_BYTES 4096
#define WIRE_KEY_BYTES 32

/**
 * wire_encode() - encode and authenticate a message
 * @msg: message
 * @key: shared key of the data centre
 * @buf: set to the datagram
 * @capacity_bytes: size of @buf
 *
 * Return: size of the datagram in bytes; -EMSGSIZE when @buf is too small;
 * -EINVAL for a message of an unknown kind or out of bounds.
 */
int32_t wire_encode(const struct peer_msg *msg,
		    const uint8_t key[WIRE_KEY_BYTES], uint8_t *buf,
		    uint32_t capacity_bytes);

/**
 * wire_decode() - authenticate and decode a datagram from a peer
 * @buf: datagram; has to outlive @msg
 * @size_bytes: size of the datagram
 * @key: shared key of the data centre
 * @msg: set to the message; @msg->data points into @buf
 *
 * Return: 0; -EBADMSG for a wrong MAC; -EPROTONOSUPPORT for another version;
 * -EPROTO for a message that is malformed, truncated or out of bounds.
 */
int wire_decode(const uint8_t *buf, uint32_t size_bytes,
		const uint8_t key[WIRE_KEY_BYTES], struct peer_msg *msg);

#endif
