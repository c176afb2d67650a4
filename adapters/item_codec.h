/* Items of a content, coded with msgpack one by one. */
#ifndef CB_ITEM_CODEC_H
#define CB_ITEM_CODEC_H

#include "content.h"

#include <msgpack.h>

#define ITEM_CODEC_VERSION 1
#define WEIGHT_MAX 1000

/*
 * First byte of each item, before an array of its fields, so that the items
 * of a content stand in the order of their kinds.
 */
enum item_kind { ITEM_HEADER = 1, ITEM_SERVICE, ITEM_TARGET, ITEM_VM };

#define HEADER_FIELDS 2
#define SERVICE_FIELDS 8
#define TARGET_FIELDS 6
#define VM_FIELDS 2

/* Items under construction, one behind the other in one buffer. */
struct item_list {
	msgpack_sbuffer bytes;
	msgpack_packer packer;
	uint32_t *ends;
	uint32_t n;
	uint32_t cap;
};

/* Fields of an item that was read; good until the next one is. */
struct item_fields {
	const msgpack_object *f;
	uint8_t kind;
};

int item_list_open(struct item_list *l, uint32_t cap);
void item_begin(struct item_list *l, enum item_kind kind, uint32_t n_fields);
void item_add_u64(struct item_list *l, uint64_t value);
void item_end(struct item_list *l);
void item_add_header(struct item_list *l, uint64_t weight);
int item_list_finish(struct item_list *l, struct content **out);

int item_decode(const struct item *item, msgpack_unpacked *u,
		struct item_fields *f);
bool item_field_u64(const struct item_fields *f, uint32_t i, uint64_t max,
		    uint64_t *out);
bool item_field_addr(const struct item_fields *f, uint32_t i, uint64_t *out);
int item_decode_header(const struct item_fields *f, uint16_t *weight);

#endif
