#include "item_codec.h"
#include "msgpack_bound.h"

#include <errno.h>
#include <stdlib.h>

#define ITEM_MAX_BYTES 256
/* Within these, msgpack's order of bytes is the order of numbers. */
#define ADDR_LEAST (1ULL << 32)
#define ADDR_LIMIT (1ULL << 48)

/**
 * item_list_open() - start a list of items
 * @l: list
 * @cap: most items it will hold
 *
 * Return: 0 or -ENOMEM.
 */
int item_list_open(struct item_list *l, uint32_t cap)
{
	msgpack_sbuffer_init(&l->bytes);
	msgpack_packer_init(&l->packer, &l->bytes, msgpack_sbuffer_write);
	l->ends = calloc(cap, sizeof(*l->ends));
	l->n = 0;
	l->cap = cap;
	return l->ends ? 0 : -ENOMEM;
}

/**
 * item_begin() - start an item; its fields follow
 * @l: list
 * @kind: kind
 * @n_fields: how many fields follow
 */
void item_begin(struct item_list *l, enum item_kind kind, uint32_t n_fields)
{
	msgpack_pack_uint8(&l->packer, kind);
	msgpack_pack_array(&l->packer, n_fields);
}

void item_u64(struct item_list *l, uint64_t value)
{
	msgpack_pack_uint64(&l->packer, value);
}

void item_end(struct item_list *l)
{
	l->ends[l->n++] = (uint32_t)l->bytes.size;
}

/**
 * item_list_close() - make a content of the list and free the list
 * @l: list
 * @out: content, to be freed with content_free()
 *
 * Return: 0 or -ENOMEM.
 */
int item_list_close(struct item_list *l, struct content **out)
{
	struct item *items = calloc(l->n + 1, sizeof(*items));
	uint32_t start = 0;

	*out = NULL;
	for (uint32_t i = 0; items && i < l->n; i++) {
		items[i].data = (const uint8_t *)l->bytes.data + start;
		items[i].size_bytes = l->ends[i] - start;
		start = l->ends[i];
	}
	if (items)
		*out = content_new(items, l->n);
	free(items);
	free(l->ends);
	msgpack_sbuffer_destroy(&l->bytes);
	return *out ? 0 : -ENOMEM;
}

/**
 * item_header() - add the header that every content begins with
 * @l: list
 * @weight: account's weight, 0 when it has none
 */
void item_header(struct item_list *l, uint64_t weight)
{
	item_begin(l, ITEM_HEADER, HEADER_FIELDS);
	item_u64(l, ITEM_CODEC_VERSION);
	item_u64(l, weight);
	item_end(l);
}

/**
 * item_field_u64() - one field as a number
 * @f: fields
 * @i: index of the field, within the kind's number of fields
 * @max: largest value that is allowed
 * @out: value
 *
 * Return: false when it is no number or too large.
 */
bool item_field_u64(const struct item_fields *f, uint32_t i, uint64_t max,
		    uint64_t *out)
{
	if (f->f[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f->f[i].via.u64 > max)
		return false;
	*out = f->f[i].via.u64;
	return true;
}

bool item_field_addr(const struct item_fields *f, uint32_t i, uint64_t *out)
{
	return item_field_u64(f, i, ADDR_LIMIT - 1, out) && *out >= ADDR_LEAST;
}

/**
 * item_read() - read one item from another process
 * @item: item
 * @u: unpacked value, initialised once for all items
 * @f: its fields
 *
 * Return: 0, or -EPROTO when it is malformed.
 */
int item_read(const struct item *item, msgpack_unpacked *u,
	      struct item_fields *f)
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
	    msgpack_unpack_next(u, (const char *)item->data, item->size_bytes,
				&used) != MSGPACK_UNPACK_SUCCESS ||
	    used != item->size_bytes || u->data.type != MSGPACK_OBJECT_ARRAY)
		return -EPROTO;
	f->f = u->data.via.array.ptr;
	f->kind = item->data[0];
	if (!f->kind || f->kind > ITEM_VM ||
	    u->data.via.array.size != n_fields[f->kind])
		return -EPROTO;
	return 0;
}

/**
 * item_read_header() - check the version of a content
 * @f: fields of its header
 * @weight: account's weight
 *
 * Return: 0, -EPROTONOSUPPORT for another version, -EPROTO.
 */
int item_read_header(const struct item_fields *f, uint16_t *weight)
{
	uint64_t version, w;

	if (!item_field_u64(f, 0, UINT64_MAX, &version))
		return -EPROTO;
	if (version != ITEM_CODEC_VERSION)
		return -EPROTONOSUPPORT;
	if (!item_field_u64(f, 1, WEIGHT_MAX, &w))
		return -EPROTO;
	*weight = (uint16_t)w;
	return 0;
}
