#include "item_codec.h"
#include "msgpack_bound.h"

#include <errno.h>
#include <stdlib.h>

#define ITEM_MAX_BYTES 256
/*
 * Bounds of endpoints, see ADDR(). msgpack encodes all numbers in this range
 * with the same length, so the order by bytes is the order by number.
 */
#define ADDR_MIN (1ULL << 32)
#define ADDR_END (1ULL << 48)

/**
 * item_list_open() - initialise an empty list of items
 * @list: list, to be freed with item_list_finish() after success
 * @cap: maximum number of items
 *
 * Return: 0 or -ENOMEM.
 */
int item_list_open(struct item_list *list, uint32_t cap)
{
	msgpack_sbuffer_init(&list->bytes);
	msgpack_packer_init(&list->packer, &list->bytes, msgpack_sbuffer_write);
	list->end_offsets = calloc(cap, sizeof(*list->end_offsets));
	list->n = 0;
	list->cap = cap;
	return list->end_offsets ? 0 : -ENOMEM;
}

/**
 * item_begin() - start an item; the caller adds its fields and item_end()
 * @list: list
 * @kind: kind of the item
 * @n_fields: number of fields of that kind
 */
void item_begin(struct item_list *list, enum item_kind kind, uint32_t n_fields)
{
	msgpack_pack_uint8(&list->packer, kind);
	msgpack_pack_array(&list->packer, n_fields);
}

/**
 * item_add_u64() - add a number as the next field of the current item
 * @list: list
 * @value: number
 */
void item_add_u64(struct item_list *list, uint64_t value)
{
	msgpack_pack_uint64(&list->packer, value);
}

/**
 * item_end() - complete the current item
 * @list: list with fewer items than its capacity
 */
void item_end(struct item_list *list)
{
	list->end_offsets[list->n++] = (uint32_t)list->bytes.size;
}

/**
 * item_list_finish() - turn a list into a content and free the list
 * @list: list
 * @out: content, to be freed with content_free(); NULL on error
 *
 * Return: 0 or -ENOMEM.
 */
int item_list_finish(struct item_list *list, struct content **out)
{
	struct item *items = calloc(list->n + 1, sizeof(*items));
	uint32_t start = 0;

	*out = NULL;
	for (uint32_t i = 0; items && i < list->n; i++) {
		items[i].data = (const uint8_t *)list->bytes.data + start;
		items[i].size_bytes = list->end_offsets[i] - start;
		start = list->end_offsets[i];
	}
	if (items)
		*out = content_new(items, list->n);
	free(items);
	free(list->end_offsets);
	msgpack_sbuffer_destroy(&list->bytes);
	return *out ? 0 : -ENOMEM;
}

/**
 * item_add_header() - add the header item, the first of every content
 * @list: list
 * @weight: weight of the account, 0 for the list of VMs
 */
void item_add_header(struct item_list *list, uint64_t weight)
{
	item_begin(list, ITEM_HEADER, HEADER_FIELDS);
	item_add_u64(list, ITEM_CODEC_VERSION);
	item_add_u64(list, weight);
	item_end(list);
}

/**
 * item_field_u64() - get a field as a number
 * @fields: fields of an item
 * @index: index of the field, below the number of fields of the item's kind
 * @max: largest valid value
 * @out: value; unchanged on error
 *
 * Return: false when the field is not an unsigned integer up to @max.
 */
bool item_field_u64(const struct item_fields *fields, uint32_t index,
		    uint64_t max, uint64_t *out)
{
	if (fields->values[index].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields->values[index].via.u64 > max)
		return false;
	*out = fields->values[index].via.u64;
	return true;
}

/**
 * item_field_addr() - get a field as an endpoint
 * @fields: fields of an item
 * @index: index of the field, below the number of fields of the item's kind
 * @out: endpoint, see ADDR(); undefined on error
 *
 * Return: false when the field is not an endpoint in the codec's range.
 */
bool item_field_addr(const struct item_fields *fields, uint32_t index,
		     uint64_t *out)
{
	return item_field_u64(fields, index, ADDR_END - 1, out) &&
	       *out >= ADDR_MIN;
}

/**
 * item_decode() - decode an item received from another process
 * @item: item
 * @unpacked: owns the memory of @fields; initialised by the caller once for all
 *	items
 * @fields: kind and fields, valid until @unpacked is used again
 *
 * Return: 0; -EPROTO when the item is malformed, of an unknown kind or has
 * another number of fields than its kind.
 */
int item_decode(const struct item *item, msgpack_unpacked *unpacked,
		struct item_fields *fields)
{
	static const uint32_t n_fields[] = {
		[ITEM_HEADER] = HEADER_FIELDS,
		[ITEM_SERVICE] = SERVICE_FIELDS,
		[ITEM_TARGET] = TARGET_FIELDS,
		[ITEM_VM] = VM_FIELDS,
	};
	size_t used = 1;

	if (!item->size_bytes || item->size_bytes > ITEM_MAX_BYTES ||
	    msgpack_check_bounds(item->data + 1, item->size_bytes - 1) ||
	    msgpack_unpack_next(unpacked, (const char *)item->data,
				item->size_bytes,
				&used) != MSGPACK_UNPACK_SUCCESS ||
	    used != item->size_bytes ||
	    unpacked->data.type != MSGPACK_OBJECT_ARRAY)
		return -EPROTO;
	fields->values = unpacked->data.via.array.ptr;
	fields->kind = item->data[0];
	if (!fields->kind || fields->kind > ITEM_VM ||
	    unpacked->data.via.array.size != n_fields[fields->kind])
		return -EPROTO;
	return 0;
}

/**
 * item_decode_header() - check the codec's version and get the weight
 * @fields: fields of the content's header item
 * @weight: weight of the account, 0 for the list of VMs
 *
 * Return: 0; -EPROTONOSUPPORT for another version; -EPROTO for a malformed
 * header.
 */
int item_decode_header(const struct item_fields *fields, uint16_t *weight)
{
	uint64_t version, weight_value;

	if (!item_field_u64(fields, 0, UINT64_MAX, &version))
		return -EPROTO;
	if (version != ITEM_CODEC_VERSION)
		return -EPROTONOSUPPORT;
	if (!item_field_u64(fields, 1, WEIGHT_MAX, &weight_value))
		return -EPROTO;
	*weight = (uint16_t)weight_value;
	return 0;
}
