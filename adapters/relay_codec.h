/*
 * Documents between cb-packet processes: msgpack, compressed. A large document
 * of which the peer has an earlier value goes as what changed.
 */
#ifndef CB_RELAY_CODEC_H
#define CB_RELAY_CODEC_H

#include "node.h"

#include <glib.h>

/**
 * struct relay_base - a large document that the asking peer has
 * @key_hash: hash of its key; 0 for none
 * @since: its position there
 */
struct relay_base {
	uint64_t key_hash;
	struct position since;
};

/**
 * struct relay_delta - what changed in a document, as it was encoded last: most
 *	peers ask for the same
 * @base: from which value
 * @to: to the one of this position
 * @bytes: NULL before the first
 */
struct relay_delta {
	struct relay_base base;
	struct position to;
	GString *bytes;
};

/**
 * struct relay_port - takes a peer's documents
 * @ctx: passed back
 * @begin: what they come with; sets who takes them, or returns false to refuse
 * @known: value that a document had here since a position; without bytes when it
 *	is not known
 */
struct relay_port {
	void *ctx;
	bool (*begin)(void *ctx, const struct relay_head *head,
		      struct document_sink *to);
	struct document_value (*known)(void *ctx, uint64_t key_hash,
				       struct position since);
};

struct relay_base relay_base(const struct documents *s);
void relay_encode(const struct documents *s, struct position after,
		  const struct relay_base *base, struct relay_delta *delta,
		  GString *out);
int relay_decode(const uint8_t *data, uint32_t size_bytes,
		 struct relay_port port, struct relay_head *head);

#endif
