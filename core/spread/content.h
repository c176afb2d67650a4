/*
 * Content of a published key: a sorted set of opaque items, so that a change is
 * sent as the items that differ and not as the whole content.
 */
#ifndef CB_CONTENT_H
#define CB_CONTENT_H

#include "types.h"

#define CONTENT_ITEMS_MAX (1U << 20)

/**
 * struct item - one element of a content
 * @data: opaque bytes
 * @size_bytes: size of @data
 */
struct item {
	const uint8_t *data;
	uint32_t size_bytes;
};

/**
 * struct content - immutable sorted set of items
 * @hash: hash of all items; equal sets have equal hashes on every VM
 * @size_bytes: sum of the sizes of @items
 * @n: number of items
 * @items: in ascending order of their bytes, without duplicates; their data is
 *	in the same allocation
 */
struct content {
	uint64_t hash;
	uint32_t size_bytes;
	uint32_t n;
	struct item items[];
};

/**
 * struct delta - difference between a base content and a new one
 * @removed: indexes of the base's items that the new content lacks, ascending
 * @n_removed: their number
 * @added: items that the base lacks; their data belongs to the new content
 * @n_added: their number
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
