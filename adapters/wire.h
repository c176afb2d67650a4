/* Codec of messages between entries: msgpack, version byte, keyed MAC. */
#ifndef CB_WIRE_H
#define CB_WIRE_H

#include "peer.h"

#define WIRE_VERSION 1
#define WIRE_MAX_BYTES 4096
#define WIRE_KEY_BYTES 32

/**
 * wire_encode() - code and authenticate a message
 * @m: message
 * @key: shared key of the data centre
 * @buf: room for the datagram
 * @cap_bytes: its size
 *
 * Return: bytes written, or -EMSGSIZE.
 */
int32_t wire_encode(const struct peer_msg *m, const uint8_t key[WIRE_KEY_BYTES],
		    uint8_t *buf, uint32_t cap_bytes);

/**
 * wire_decode() - check and read a datagram from a peer
 * @buf: datagram
 * @size_bytes: its size
 * @key: shared key of the data centre
 * @m: filled; @m->data points into @buf
 *
 * Return: 0; -EBADMSG for a wrong MAC; -EPROTONOSUPPORT for another
 * version; -EPROTO for a message that is malformed, truncated or out of
 * bounds.
 */
int wire_decode(const uint8_t *buf, uint32_t size_bytes,
		const uint8_t key[WIRE_KEY_BYTES], struct peer_msg *m);

#endif
