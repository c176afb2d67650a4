/* Encodes and decodes the items of a content, each with msgpack. */
#ifndef CB_ITEM_CODEC_H
#define CB_ITEM_CODEC_H

#include "content.h"

#include <msgpack.h>

#define ITEM_CODEC_VERSION 1
#define WEIGHT_MAX 1000

/*
 * First byte of each item; the array of its fields follows. Contents are sorted
 * by bytes, so their items are ordered by kind.
 */
enum item_kind { ITEM_HEADER = 1, ITEM_SERVICE, ITEM_TARGET, ITEM_VM };

#define HEADER_FIELDS 2
#define SERVICE_FIELDS 8
#define TARGET_FIELDS 6
#define VM_FIELDS 2

/**
 * struct item_list - items being encoded
 * @bytes: all items, one after another
 * @packer: writes to @bytes
 * @end_offsets: end of each item in @bytes, owned
 * @n: number of items that are complete
 * @cap: capacity of @end_offsets
 */
struct item_list {
	msgpack_sbuffer bytes;
	msgpack_packer packer;
	uint32_t *end_offsets;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct item_fields - a decoded item, valid until the next one is decoded
 * @values: fields; their number depends on @kind
 * @kind: enum item_kind
 */
struct item_fields {
	const msgpack_object *values;
	uint8_t kind;
};

int item_list_open(struct item_list *list, uint32_t cap);
void item_begin(struct item_list *list, enum item_kind kind, uint32_t n_fields);
void item_add_u64(struct item_list *list, uint64_t value);
void item_end(struct item_list *list);
void item_add_header(struct item_list *list, uint64_t weight);
int item_list_finish(struct item_list *list, struct content **out);

int item_decode(const struct item *item, msgpack_unpacked *unpacked,
		struct item_fields *fields);
bool item_field_u64(const struct item_fields *fields, uint32_t index,
		    uint64_t max, uint64_t *out);
bool item_field_addr(const struct item_fields *fields, uint32_t index,
		     uint64_t *out);
int item_decode_header(const struct item_fields *fields, uint16_t *weight);

#endif
