/* Codec for the list of VMs as a content of the store. */
#include "account_codec.h"
#include "item_codec.h"
#include "settings.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define VM_LINE_MAX_BYTES 64

static int append_vm(struct item_list *list, const char *start,
		     uint32_t size_bytes)
{
	char line[VM_LINE_MAX_BYTES], address[32], state[16];
	uint64_t addr;
	int used = 0;

	if (size_bytes >= sizeof(line))
		return -EPROTO;
	memcpy(line, start, size_bytes);
	line[size_bytes] = 0;
	if (sscanf(line, "%31s %15s %n", address, state, &used) != 2 ||
	    line[used] || addr_parse(address, &addr))
		return -EPROTO;
	if (strcmp(state, "live") && strcmp(state, "leaving"))
		return -EPROTO;
	item_begin(list, ITEM_VM, VM_FIELDS);
	item_add_u64(list, addr);
	item_add_u64(list, !strcmp(state, "leaving"));
	item_end(list);
	return 0;
}

static uint32_t count_lines(const char *text, uint32_t size_bytes)
{
	uint32_t n = 1;

	for (uint32_t i = 0; i < size_bytes; i++)
		n += text[i] == '\n';
	return n;
}

int roster_encode(const char *text, uint32_t size_bytes, struct content **out)
{
	const char *end = text + size_bytes;
	struct item_list list;
	int err, finish_err;

	*out = NULL;
	err = item_list_open(&list, 1 + count_lines(text, size_bytes));
	if (!err)
		item_add_header(&list, 0);
	while (!err && text < end) {
		const char *newline = memchr(text, '\n', end - text);
		const char *stop = newline ? newline : end;

		if (stop > text)
			err = append_vm(&list, text, (uint32_t)(stop - text));
		text = stop + 1;
	}
	finish_err = item_list_finish(&list, out);
	if (!err && !finish_err)
		return 0;
	content_free(*out);
	*out = NULL;
	return err ? err : finish_err;
}

static int decode_vm(const struct item_fields *fields, uint64_t *addr,
		     uint64_t *leaving)
{
	if (fields->kind != ITEM_VM || !item_field_addr(fields, 0, addr) ||
	    !item_field_u64(fields, 1, 1, leaving))
		return -EPROTO;
	return 0;
}

int32_t roster_decode(const struct content *content, uint64_t *vms,
		      uint32_t capacity)
{
	msgpack_unpacked u;
	uint32_t n = 0;
	uint16_t weight;
	int err = content->n ? 0 : -EPROTO;

	msgpack_unpacked_init(&u);
	for (uint32_t i = 0; !err && i < content->n; i++) {
		uint64_t addr, leaving;
		struct item_fields fields;

		err = item_decode(&content->items[i], &u, &fields);
		if (err || i == 0) {
			if (!err)
				err = fields.kind == ITEM_HEADER
					      ? item_decode_header(&fields,
								   &weight)
					      : -EPROTO;
			continue;
		}
		err = decode_vm(&fields, &addr, &leaving);
		if (err || leaving)
			continue;
		if (n == capacity)
			err = -ENOSPC;
		else
			vms[n++] = addr;
	}
	msgpack_unpacked_destroy(&u);
	return err ? err : (int32_t)n;
}
