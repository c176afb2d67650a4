#include "msgpack_bound.h"

#include <errno.h>

#define DEPTH_MAX 8

/*
 * First bytes from 0xc0 to 0xdf: the number of bytes that follow, and what they
 * are: a scalar value, the length of a string or binary, or the number of
 * elements of an array.
 */
enum meaning { SCALAR, LENGTH, ARRAY, REFUSED };

static const struct {
	uint8_t size_bytes;
	uint8_t meaning;
} heads[32] = {
	[0x00] = { 0, SCALAR },	 [0x01] = { 0, REFUSED },
	[0x02] = { 0, SCALAR },	 [0x03] = { 0, SCALAR },
	[0x04] = { 1, LENGTH },	 [0x05] = { 2, LENGTH },
	[0x06] = { 4, LENGTH },	 [0x07] = { 0, REFUSED },
	[0x08] = { 0, REFUSED }, [0x09] = { 0, REFUSED },
	[0x0a] = { 4, SCALAR },	 [0x0b] = { 8, SCALAR },
	[0x0c] = { 1, SCALAR },	 [0x0d] = { 2, SCALAR },
	[0x0e] = { 4, SCALAR },	 [0x0f] = { 8, SCALAR },
	[0x10] = { 1, SCALAR },	 [0x11] = { 2, SCALAR },
	[0x12] = { 4, SCALAR },	 [0x13] = { 8, SCALAR },
	[0x14] = { 0, REFUSED }, [0x15] = { 0, REFUSED },
	[0x16] = { 0, REFUSED }, [0x17] = { 0, REFUSED },
	[0x18] = { 0, REFUSED }, [0x19] = { 1, LENGTH },
	[0x1a] = { 2, LENGTH },	 [0x1b] = { 4, LENGTH },
	[0x1c] = { 2, ARRAY },	 [0x1d] = { 4, ARRAY },
	[0x1e] = { 0, REFUSED }, [0x1f] = { 0, REFUSED },
};

/**
 * struct walk - position in a value
 * @at: next byte
 * @left: bytes from @at to the end
 * @depth: number of arrays around @at
 * @pending: by depth, number of elements that follow
 */
struct walk {
	const uint8_t *at;
	uint32_t left;
	uint32_t depth;
	uint32_t pending[DEPTH_MAX + 1];
};

static int walk_skip(struct walk *w, uint32_t size_bytes)
{
	if (size_bytes > w->left)
		return -EPROTO;
	w->at += size_bytes;
	w->left -= size_bytes;
	return 0;
}

static int walk_enter_array(struct walk *w, uint32_t n_elements)
{
	/* Each element takes at least one byte. */
	if (n_elements > w->left || w->depth == DEPTH_MAX)
		return -EPROTO;
	w->pending[++w->depth] = n_elements;
	return 0;
}

static int walk_extended(struct walk *w, uint8_t head)
{
	uint8_t size_bytes = heads[head - 0xc0].size_bytes;
	uint32_t value = 0;

	if (size_bytes > w->left)
		return -EPROTO;
	for (uint8_t i = 0; i < size_bytes; i++)
		value = value << 8 | w->at[i];
	walk_skip(w, size_bytes);
	switch (heads[head - 0xc0].meaning) {
	case SCALAR:
		return 0;
	case LENGTH:
		return walk_skip(w, value);
	case ARRAY:
		return walk_enter_array(w, value);
	default:
		return -EPROTO;
	}
}

static int walk_value(struct walk *w)
{
	uint8_t head;

	if (!w->left)
		return -EPROTO;
	head = *w->at;
	walk_skip(w, 1);
	if (head < 0x80 || head >= 0xe0)
		return 0;
	if (head < 0x90)
		return -EPROTO;
	if (head < 0xa0)
		return walk_enter_array(w, head & 0x0f);
	if (head < 0xc0)
		return walk_skip(w, head & 0x1f);
	return walk_extended(w, head);
}

int msgpack_check_bounds(const uint8_t *buf, uint32_t size_bytes)
{
	struct walk w = { .at = buf, .left = size_bytes, .pending = { 1 } };
	int err = 0;

	while (!err) {
		while (!w.pending[w.depth]) {
			if (!w.depth)
				return w.left ? -EPROTO : 0;
			w.depth--;
		}
		w.pending[w.depth]--;
		err = walk_value(&w);
	}
	return err;
}
