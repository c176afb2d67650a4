/* Heartbeats and documents between cb-packet processes, in msgpack. */
#ifndef CB_HELLO_CODEC_H
#define CB_HELLO_CODEC_H

#include "documents.h"
#include "peer_set.h"
#include "platform_port.h"

#include <glib.h>

#define HELLO_MAX_BYTES 1400

/**
 * struct relay_head - what a peer's documents come with
 * @through: revision up to which the peer knows everything
 * @newest: newest revision it knows
 * @whole: everything it knows: what is missing was deleted
 */
struct relay_head {
	uint64_t through;
	uint64_t newest;
	bool whole;
};

uint32_t hello_encode(const struct hello *h, uint8_t out[HELLO_MAX_BYTES]);
int hello_decode(const uint8_t *data, uint32_t size_bytes, struct hello *out);
void relay_encode(const struct documents *s, uint64_t after, GString *out);
int relay_head_decode(const uint8_t *data, uint32_t size_bytes,
		      struct relay_head *head);
int relay_decode(const uint8_t *data, uint32_t size_bytes,
		 struct facts_port to);

#endif
