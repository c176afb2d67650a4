/*
 * Codec for documents between cb-packet processes: msgpack, compressed. A large
 * document of which the peer has an earlier value is sent as a delta.
 */
#ifndef CB_RELAY_CODEC_H
#define CB_RELAY_CODEC_H

#include "node.h"

#include <glib.h>

/**
 * struct relay_base - large document that the requesting peer has
 * @key_hash: hash of its key; 0 for none
 * @since: position at which the peer got its value
 */
struct relay_base {
	uint64_t key_hash;
	struct position since;
};

/**
 * struct relay_delta_cache - last delta that was encoded; most peers request
 *	the same
 * @base: document and value that it applies to
 * @to: position of the value that it results in; zero when it is invalid
 * @bytes: compressed delta; NULL before the first
 */
struct relay_delta_cache {
	struct relay_base base;
	struct position to;
	GString *bytes;
};

/**
 * struct relay_receiver - callbacks that receive the documents of a peer
 * @ctx: first argument of each callback
 * @begin: called first, with the positions of the peer; sets @to to the
 *	receiver of the documents, or returns false to refuse them
 * @find_value: value of the document with @key_hash since a position; its bytes
 *	are NULL when it is not known
 */
struct relay_receiver {
	void *ctx;
	bool (*begin)(void *ctx, const struct relay_head *head,
		      struct document_sink *to);
	struct document_value (*find_value)(void *ctx, uint64_t key_hash,
					    struct position since);
};

struct relay_base relay_select_base(const struct documents *docs);
void relay_encode(const struct documents *docs, struct position after,
		  const struct relay_base *base,
		  struct relay_delta_cache *cache, GString *out);
int relay_decode(const uint8_t *data, uint32_t size_bytes,
		 struct relay_receiver receiver, struct relay_head *head);

#endif
