/*
 * Content of a relayed key: a sorted set of opaque items, so that a change
 * travels as the items that differ and not as the whole.
 */
#ifndef CB_CONTENT_H
#define CB_CONTENT_H

#include "types.h"

#define CONTENT_ITEMS_MAX (1U << 20)

/**
 * struct item - one element of a content
 * @data: its bytes; contents don't look into them
 * @size_bytes: how many
 */
struct item {
	const uint8_t *data;
	uint32_t size_bytes;
};

/**
 * struct content - immutable sorted set of items
 * @hash: of all items; equal sets have equal hashes on every VM
 * @size_bytes: sum of the items' sizes
 * @n: how many
 * @items: ascending by bytes, each once
 */
struct content {
	uint64_t hash;
	uint32_t size_bytes;
	uint32_t n;
	struct item items[];
};

/**
 * struct delta - what turns one content into another
 * @removed: indexes into the base's items, ascending
 * @n_removed: how many
 * @added: items that the base lacks
 * @n_added: how many
 */
struct delta {
	uint32_t *removed;
	uint32_t n_removed;
	struct item *added;
	uint32_t n_added;
};

struct content *content_new(const struct item *items, uint32_t n);
void content_free(struct content *c);
int content_diff(const struct content *from, const struct content *to,
		 struct delta *out);
void delta_clear(struct delta *d);
struct content *content_patch(const struct content *from,
			      const struct delta *d);

#endif
