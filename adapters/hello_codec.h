/* Heartbeats and documents between cb-packet processes, in msgpack. */
#ifndef CB_HELLO_CODEC_H
#define CB_HELLO_CODEC_H

#include "node.h"

#include <glib.h>

#define HELLO_MAX_BYTES 1400

uint32_t hello_encode(const struct hello *h, uint8_t out[HELLO_MAX_BYTES]);
int hello_decode(const uint8_t *data, uint32_t size_bytes, struct hello *out);
void relay_encode(const struct documents *s, uint64_t after, GString *out);
/**
 * struct relay_port - takes a peer's documents
 * @ctx: passed back
 * @begin: what they come with; sets who takes them, or returns false to refuse
 */
struct relay_port {
	void *ctx;
	bool (*begin)(void *ctx, const struct relay_head *head,
		      struct facts_port *to);
};

int relay_decode(const uint8_t *data, uint32_t size_bytes,
		 struct relay_port port, struct relay_head *head);

#endif
