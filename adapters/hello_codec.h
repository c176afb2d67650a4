/* Encodes heartbeats between cb-packet processes with msgpack. */
#ifndef CB_HELLO_CODEC_H
#define CB_HELLO_CODEC_H

#include "peer_set.h"

#define HELLO_MAX_BYTES 1400

uint32_t hello_encode(const struct hello *hello, uint8_t out[HELLO_MAX_BYTES]);
int hello_decode(const uint8_t *data, uint32_t size_bytes, struct hello *out);

#endif
